#include "jobs/internal/WorkerStability.h"

#include <algorithm>

namespace crocuslead::jobs::internal {

namespace {
// Each further loss makes the probation this many times as long.
constexpr int ProbationGrowth = 3;
} // namespace

void WorkerStability::recordLoss(const std::string &Worker,
                                 base::TimePoint Now) {
  History &Past = Histories_[Worker];
  if (Now - Past.LastLossAt_ > MemoryTime)
    Past.Losses_ = 0;
  ++Past.Losses_;
  Past.LastLossAt_ = Now;
}

base::Duration WorkerStability::probation(const std::string &Worker,
                                          base::TimePoint Now) const {
  auto It = Histories_.find(Worker);
  if (It == Histories_.end() || Now - It->second.LastLossAt_ > MemoryTime)
    return {};
  base::Duration Time = FirstProbation;
  for (int I = 1; I < It->second.Losses_ && Time < MaxProbation; ++I)
    Time *= ProbationGrowth;
  return std::min(Time, MaxProbation);
}

void WorkerStability::prune(base::TimePoint Now) {
  for (auto It = Histories_.begin(); It != Histories_.end();)
    It = Now - It->second.LastLossAt_ > MemoryTime ? Histories_.erase(It)
                                                   : std::next(It);
}

} // namespace crocuslead::jobs::internal
