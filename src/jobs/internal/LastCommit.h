#pragma once

#include "base/Clock.h"
#include "jobs/internal/ClockReading.h"
#include "jobs/internal/RecordedStarts.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace crocuslead::jobs::internal {

//! A worker that has left as planned, or drains and may execute a late start.
struct LeavingWorker {
  std::string Id_;
  //! At most this long since it was sent the last request that it answered; 0
  //! if it has left.
  base::Duration AnswerAge_{};
};

//! Written with each commit of a coordinator.
struct LastCommit {
  uint64_t Term_ = 0;
  //! Of the commits of the term.
  uint64_t Number_ = 0;
  RecordedStarts Starts_;
  //! At least this long since the record of used workers was written.
  base::Duration UsedWorkersAge_{};
  //! At most this long since the store had last confirmed the term.
  base::Duration StoreSilence_{};
  std::vector<ClockReading> Clocks_;
  std::vector<LeavingWorker> Leaving_{};
};

//! A JSON object: term, commit, used_workers_age_ms, store_silence_ms, clocks,
//! what RecordedStarts adds, and leaving, rows of id and milliseconds, which
//! records of earlier versions lack.
std::string encodeLastCommit(const LastCommit &From);
//! Empty if the record is unreadable, which is logged.
std::optional<LastCommit> decodeLastCommit(const std::string &Record);

} // namespace crocuslead::jobs::internal
