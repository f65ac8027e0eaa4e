#pragma once

#include "base/Clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace crocuslead::jobs::internal {

//! A worker incarnation that may run tasks, as recorded in the store for the
//! coordinators of later terms.
struct UsedWorker {
  std::string Id_;
  std::string Address_;
  int64_t StartTimeMs_ = 0;
  //! It may hold the longest lease that a worker accepts, not only the usual
  //! one.
  bool MayHoldLongestLease_ = false;
  //! Runs on it were given up and their tasks started elsewhere.
  bool RunsAbandoned_ = false;
  //! It holds no lease or runs nothing, and none is granted before its row says
  //! otherwise.
  bool LeaseEnded_ = false;
  //! Its last lease ends at most this long after the record was written, and
  //! none is granted before its row says otherwise.
  std::optional<base::Duration> LeaseLeft_;
  //! The term that wrote LeaseLeft_.
  uint64_t LeaseLeftTerm_ = 0;
  //! Runs that are not located end at most this long after the record was
  //! written. Unset if it holds no lease and there are none, or if an earlier
  //! version wrote the row.
  std::optional<base::Duration> UnlocatedLeft_;
  //! Results of runs that were given up may come from a later incarnation.
  bool UnseenAbandoned_ = false;
  //! The jobs of the runs of UnlocatedLeft_; unset if any may be among them.
  std::optional<std::vector<std::string>> UnlocatedJobs_{};
};

struct UsedWorkers {
  std::vector<UsedWorker> Rows_;
  //! False if a row was unreadable, so that workers may be missing.
  bool Complete_ = true;
};

//! A JSON array with one row for each worker: id, address, start time and, if
//! any is set, the flags MayHoldLongestLease_, RunsAbandoned_ and LeaseEnded_,
//! the milliseconds of LeaseLeft_, its term, the milliseconds of
//! UnlocatedLeft_, UnseenAbandoned_ and UnlocatedJobs_. Nulls stand for unset
//! values before one that is set.
std::string encodeUsedWorkers(const std::vector<UsedWorker> &Workers);
//! Leaves out rows of another shape and logs them.
UsedWorkers decodeUsedWorkers(const std::string &Record);

} // namespace crocuslead::jobs::internal
