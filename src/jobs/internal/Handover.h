#pragma once

#include "base/Clock.h"
#include "jobs/JobRecord.h"
#include "jobs/internal/ClockReading.h"
#include "jobs/internal/RecordedStarts.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace crocuslead::jobs::internal {

//! What a coordinator that resigns knows of a worker that may hold a lease.
struct HandedOverWorker {
  std::string Id_;
  int64_t StartTimeMs_ = 0;
  //! Its last lease ends at most this long after the handover was written.
  base::Duration LeaseLeft_{};
  //! Ids of the jobs of which it may run a task or hold a result that is not
  //! durable; unset if any job may be among them.
  std::optional<std::vector<std::string>> Jobs_;
  //! Runs that are not located end at most this long after the handover was
  //! written. Unset if an earlier version wrote it.
  std::optional<base::Duration> UnlocatedLeft_;
  //! The jobs of these; unset if any may be among them.
  std::optional<std::vector<std::string>> UnlocatedJobs_;
};

//! A start that the next term has to look for.
struct HandedOverStart {
  TaskId Task_;
  LateStart Start_;
};

//! The last record of a coordinator that resigned. It grants no lease and
//! starts no run after it has made this.
struct Handover {
  uint64_t Term_ = 0;
  //! Workers confirm no term before Term_ any more.
  bool PredecessorsFenced_ = false;
  std::vector<HandedOverWorker> Workers_;
  RecordedStarts Starts_{};
  std::vector<ClockReading> Clocks_{};
  std::vector<HandedOverStart> LateStarts_{};
  //! LateStarts_ is complete: no earlier version wrote the record.
  bool NamesLateStarts_ = true;
};

//! A JSON object: term, fenced, clocks and what RecordedStarts adds, which
//! records of earlier versions lack, the ids of all jobs, and a row for each
//! worker with id, start time, milliseconds of lease left, the indexes of its
//! jobs or null, milliseconds for runs that are not located, and the indexes of
//! their jobs or null; and a row for each late start with the job, occurrence,
//! step, index, worker, run and state.
std::string encodeHandover(const Handover &From);
//! Leaves out rows of another shape; empty if the record as a whole is
//! unreadable. Both are logged.
std::optional<Handover> decodeHandover(const std::string &Record);

} // namespace crocuslead::jobs::internal
