#pragma once

#include "schedule/internal/Worker.h"

#include <deque>
#include <unordered_map>
#include <utility>

namespace crocuslead::schedule::internal {

//! Protects tasks from repeated eviction.
class EvictionHistory {
public:
  void record(TaskNumber Task, base::TimePoint Now) {
    ++Today_[Task];
    Order_.emplace_back(Now, Task);
  }

  bool isProtected(const RunningTask &Run, base::TimePoint Now) const {
    auto Found = Today_.find(Run.Task_.Task_);
    uint32_t Evictions = Found == Today_.end() ? 0 : Found->second;
    bool Restarted = Evictions > 0 || Run.Task_.Restarts_ > 0;
    return Evictions >= MostPerDay ||
           (Restarted && Now < Run.Started_ + AfterRestart);
  }

  //! Drops evictions older than a day.
  void prune(base::TimePoint Now) {
    while (!Order_.empty() && Now >= Order_.front().first + Day) {
      auto Found = Today_.find(Order_.front().second);
      if (--Found->second == 0)
        Today_.erase(Found);
      Order_.pop_front();
    }
  }

private:
  static constexpr uint32_t MostPerDay = 3;
  static constexpr std::chrono::minutes AfterRestart{10};
  static constexpr std::chrono::hours Day{24};

  std::unordered_map<TaskNumber, uint32_t> Today_;
  std::deque<std::pair<base::TimePoint, TaskNumber>> Order_;
};

} // namespace crocuslead::schedule::internal
