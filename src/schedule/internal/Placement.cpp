#include "schedule/internal/Placement.h"

#include <algorithm>

namespace crocuslead::schedule::internal {

namespace {

// Candidates scored for each start. Spread needs more of them, since the
// tightest workers may share a rack.
constexpr int BatchCandidates = 24;
constexpr int LatencyCriticalCandidates = 64;

// Added slowdown of a batch victim weighs less than of a latency-critical one.
constexpr double BatchVictimWeight = 0.25;
constexpr double SpreadOverWorkers = 2.0;
constexpr double SpreadOverRacks = 1.0;
constexpr double SpreadOverDomains = 0.5;
// Steers a retry away from a worker with failed starts.
constexpr double FailureCost = 0.5;

template <class Key>
double partOf(const std::vector<std::pair<Key, uint32_t>> &Counts, Key Number,
              uint32_t Total) {
  for (const auto &[Each, Count] : Counts)
    if (Each == Number)
      return static_cast<double>(Count) / Total;
  return 0;
}

double spreadCost(const State &Of, const PendingTask &Task,
                  const Worker &Target) {
  const JobSpread *Spread = Of.Fleet_.findSpread(Task.Job_);
  if (Spread == nullptr)
    return 0;
  auto Same =
      std::count_if(Target.Tasks_.begin(), Target.Tasks_.end(),
                    [&](auto *T) { return T->Run_.Task_.Job_ == Task.Job_; });
  return SpreadOverWorkers * static_cast<double>(Same) / Spread->Total_ +
         SpreadOverRacks *
             partOf(Spread->Racks_, Target.Info_.Rack_, Spread->Total_) +
         SpreadOverDomains *
             partOf(Spread->Domains_, Target.Info_.Domain_, Spread->Total_);
}

double interferenceCost(const State &Of, const PendingTask &Task, uint32_t Kind,
                        const Worker &Target) {
  if (Of.Policy_.IgnoreInterference_ || Of.Interference_.empty())
    return 0;
  double Mine =
      Task.Class_ == TaskClass::LatencyCritical ? 1.0 : BatchVictimWeight;
  double Cost = 0;
  for (const KindCount &Each : Target.KindCounts_) {
    Cost += Mine * (Each.LatencyCritical_ + Each.Batch_) *
            Of.Interference_.mean(Each.Kind_, Kind);
    Cost += (Each.LatencyCritical_ + BatchVictimWeight * Each.Batch_) *
            Of.Interference_.mean(Kind, Each.Kind_);
  }
  return Cost;
}

} // namespace

double placementCost(const State &Of, const PendingTask &Task, uint32_t Kind,
                     const Worker &Target) {
  double Cost = base::dominantShare(Target.Usable_ - Task.Request_,
                                    Target.Info_.Capacity_) +
                interferenceCost(Of, Task, Kind, Target) +
                FailureCost * Target.ConsecutiveFailures_;
  if (Task.Class_ == TaskClass::LatencyCritical)
    Cost += spreadCost(Of, Task, Target);
  return Cost;
}

bool mayStart(const State &Of, const PendingTask &Task, const Worker &Target) {
  // A probe must not cost an urgent task its time or a gang its start.
  if (Target.Quarantined_ && (Task.Urgent_ || Task.Gang_ != 0))
    return false;
  return Of.Fleet_.isUsable(Target) &&
         (Task.Urgent_ || Of.Fleet_.rampAllows(Target, Task.Request_, Of.Now_));
}

// An urgent task may take room that is promised to tasks that are not urgent.
static Worker *promisedRoom(const State &Of, const PendingTask &Task) {
  for (const auto &[Number, Each] : Of.Reservations_)
    if (!Each.Task_.Urgent_ && Task.Request_.fitsIn(Each.Worker_->free()) &&
        mayStart(Of, Task, *Each.Worker_))
      return Each.Worker_;
  return nullptr;
}

Worker *bestWorker(const State &Of, const PendingTask &Task) {
  Worker *Best = nullptr;
  double BestCost = 0;
  int Candidates = Task.Class_ == TaskClass::LatencyCritical
                       ? LatencyCriticalCandidates
                       : BatchCandidates;
  uint32_t Kind = Of.Fleet_.findKindIndex(Task.Kind_);
  auto Visit = [&](Worker &Target) {
    if (!Task.Request_.fitsIn(Target.Usable_) || !mayStart(Of, Task, Target))
      return true;
    double Cost = placementCost(Of, Task, Kind, Target);
    if (Best == nullptr || Cost < BestCost) {
      Best = &Target;
      BestCost = Cost;
    }
    return --Candidates > 0;
  };
  Of.Fleet_.index().search(Task.Request_, Visit,
                           [&] { return Best != nullptr; });
  if (Best == nullptr && Task.Urgent_)
    Best = promisedRoom(Of, Task);
  return Best;
}

} // namespace crocuslead::schedule::internal
