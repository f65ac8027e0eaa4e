#pragma once

#include "base/Resources.h"
#include "schedule/Types.h"

#include <cstdint>
#include <string>

namespace crocuslead::partition {

//! Specification of a job as submitted.
struct JobSpec {
  //! Chosen by the submitter. Submitting the same id again refers to the same
  //! job.
  std::string Id_;
  std::string Workspace_;
  //! Name of the type of work; interference is estimated per type.
  std::string Kind_;
  schedule::TaskClass Class_ = schedule::TaskClass::Batch;
  bool Urgent_ = false;
  bool Deferrable_ = true;
  uint32_t TaskCount_ = 1;
  //! Gang scheduling: either all tasks start together or none does.
  bool Gang_ = false;
  base::Resources PerTask_;
  //! Declared run time of one batch task in milliseconds; with 0 the task runs
  //! until it is cancelled.
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
