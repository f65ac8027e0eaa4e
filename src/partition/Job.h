#pragma once

#include "base/Resources.h"
#include "schedule/Types.h"

#include <cstdint>
#include <string>

namespace crocuslead::partition {

//! A job as submitted.
struct JobSpec {
  //! Chosen by the submitter; a repeated submission of the same id is the same
  //! job.
  std::string Id_;
  std::string Workspace_;
  //! Name of the kind of work, for interference estimates.
  std::string Kind_;
  schedule::TaskClass Class_ = schedule::TaskClass::Batch;
  bool Urgent_ = false;
  bool Deferrable_ = true;
  uint32_t TaskCount_ = 1;
  //! All tasks start together or none.
  bool Gang_ = false;
  base::Resources PerTask_;
  //! Declared run time of one batch task, milliseconds; 0 runs until cancelled.
  int64_t RunTimeMs_ = 0;
};

enum class JobState : uint8_t {
  Pending,
  Running,
  Finished,
  Cancelled,
  Rejected,
  Transferred
};

} // namespace crocuslead::partition
