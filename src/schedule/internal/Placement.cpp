#include "schedule/internal/Placement.h"

#include <algorithm>

namespace crocuslead::schedule::internal {

namespace {

// Number of workers scored per start. Spreading needs more of them, since the
// tightest workers may share a rack.
constexpr int BatchCandidates = 24;
constexpr int LatencyCriticalCandidates = 64;

// Weight of the slowdown of a batch task; that of a latency-critical task is 1.
constexpr double BatchVictimWeight = 0.25;
constexpr double WorkerSpreadWeight = 2.0;
constexpr double RackSpreadWeight = 1.0;
constexpr double DomainSpreadWeight = 0.5;
// Steers retries away from workers with failed starts.
constexpr double FailureCost = 0.5;

template <class Key>
double fractionAt(const std::vector<std::pair<Key, uint32_t>> &Counts,
                  Key Number, uint32_t Total) {
  for (const auto &[Counted, Count] : Counts)
    if (Counted == Number)
      return static_cast<double>(Count) / Total;
  return 0;
}

double spreadCost(const State &PlannerState, const PendingTask &Task,
                  const Worker &Target) {
  const JobSpread *Spread = PlannerState.Fleet_.findSpread(Task.Job_);
  if (Spread == nullptr)
    return 0;
  auto OnWorker =
      std::count_if(Target.Tasks_.begin(), Target.Tasks_.end(),
                    [&](auto *T) { return T->Run_.Task_.Job_ == Task.Job_; });
  return WorkerSpreadWeight * static_cast<double>(OnWorker) / Spread->Total_ +
         RackSpreadWeight *
             fractionAt(Spread->Racks_, Target.Info_.Rack_, Spread->Total_) +
         DomainSpreadWeight *
             fractionAt(Spread->Domains_, Target.Info_.Domain_, Spread->Total_);
}

double interferenceCost(const State &PlannerState, const PendingTask &Task,
                        uint32_t Kind, const Worker &Target) {
  if (PlannerState.Policy_.IgnoreInterference_ ||
      PlannerState.Interference_.empty())
    return 0;
  double TaskWeight =
      Task.Class_ == TaskClass::LatencyCritical ? 1.0 : BatchVictimWeight;
  double Cost = 0;
  for (const KindCount &Count : Target.KindCounts_) {
    Cost += TaskWeight * (Count.LatencyCritical_ + Count.Batch_) *
            PlannerState.Interference_.mean(Count.Kind_, Kind);
    Cost += (Count.LatencyCritical_ + BatchVictimWeight * Count.Batch_) *
            PlannerState.Interference_.mean(Kind, Count.Kind_);
  }
  return Cost;
}

} // namespace

double placementCost(const State &PlannerState, const PendingTask &Task,
                     uint32_t Kind, const Worker &Target) {
  double Cost = base::dominantShare(Target.Usable_ - Task.Request_,
                                    Target.Info_.Capacity_) +
                interferenceCost(PlannerState, Task, Kind, Target) +
                FailureCost * Target.ConsecutiveFailures_;
  if (Task.Class_ == TaskClass::LatencyCritical)
    Cost += spreadCost(PlannerState, Task, Target);
  return Cost;
}

bool mayStart(const State &PlannerState, const PendingTask &Task,
              const Worker &Target) {
  // A failed probe would delay an urgent task or the start of a gang.
  if (Target.Quarantined_ && (Task.Urgent_ || Task.Gang_ != 0))
    return false;
  return PlannerState.Fleet_.isUsable(Target) &&
         (Task.Urgent_ || PlannerState.Fleet_.rampAllows(Target, Task.Request_,
                                                         PlannerState.Now_));
}

// An urgent task may use capacity that is reserved for tasks that are not
// urgent.
static Worker *reservedWorker(const State &PlannerState,
                              const PendingTask &Task) {
  for (const auto &[Number, Reserved] : PlannerState.Reservations_)
    if (!Reserved.Task_.Urgent_ &&
        Task.Request_.fitsIn(Reserved.Worker_->free()) &&
        mayStart(PlannerState, Task, *Reserved.Worker_))
      return Reserved.Worker_;
  return nullptr;
}

Worker *bestWorker(const State &PlannerState, const PendingTask &Task) {
  Worker *Best = nullptr;
  double BestCost = 0;
  int Candidates = Task.Class_ == TaskClass::LatencyCritical
                       ? LatencyCriticalCandidates
                       : BatchCandidates;
  uint32_t Kind = PlannerState.Fleet_.findKindIndex(Task.Kind_);
  auto Visit = [&](Worker &Target) {
    if (!Task.Request_.fitsIn(Target.Usable_) ||
        !mayStart(PlannerState, Task, Target))
      return true;
    double Cost = placementCost(PlannerState, Task, Kind, Target);
    if (Best == nullptr || Cost < BestCost) {
      Best = &Target;
      BestCost = Cost;
    }
    return --Candidates > 0;
  };
  PlannerState.Fleet_.index().search(Task.Request_, Visit,
                                     [&] { return Best != nullptr; });
  if (Best == nullptr && Task.Urgent_)
    Best = reservedWorker(PlannerState, Task);
  return Best;
}

} // namespace crocuslead::schedule::internal
