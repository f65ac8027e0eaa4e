#pragma once

#include "schedule/internal/Worker.h"

#include <deque>
#include <unordered_map>
#include <utility>

namespace crocuslead::schedule::internal {

//! Recent evictions per task; protects tasks from repeated eviction.
class EvictionHistory {
public:
  void record(TaskNumber Task, base::TimePoint Now) {
    ++RecentCounts_[Task];
    ByTime_.emplace_back(Now, Task);
  }

  bool isProtected(const RunningTask &Run, base::TimePoint Now) const {
    auto It = RecentCounts_.find(Run.Task_.Task_);
    uint32_t Evictions = It == RecentCounts_.end() ? 0 : It->second;
    bool Restarted = Evictions > 0 || Run.Task_.Restarts_ > 0;
    return Evictions >= MaxPerDay ||
           (Restarted && Now < Run.Started_ + RestartProtection);
  }

  //! Drops evictions older than a day.
  void prune(base::TimePoint Now) {
    while (!ByTime_.empty() && Now >= ByTime_.front().first + Day) {
      auto It = RecentCounts_.find(ByTime_.front().second);
      if (--It->second == 0)
        RecentCounts_.erase(It);
      ByTime_.pop_front();
    }
  }

private:
  static constexpr uint32_t MaxPerDay = 3;
  //! A task that was evicted before is not evicted again this soon after its
  //! restart.
  static constexpr std::chrono::minutes RestartProtection{10};
  static constexpr std::chrono::hours Day{24};

  //! Evictions of the last day by task.
  std::unordered_map<TaskNumber, uint32_t> RecentCounts_;
  //! The same evictions, oldest first.
  std::deque<std::pair<base::TimePoint, TaskNumber>> ByTime_;
};

} // namespace crocuslead::schedule::internal
