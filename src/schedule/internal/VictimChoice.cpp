#include "schedule/internal/Evictor.h"

#include "schedule/internal/Placement.h"

#include <algorithm>

namespace crocuslead::schedule::internal {

namespace {

// Work that each eviction costs beside what is lost since the checkpoint:
// stopping, writing the checkpoint and starting again.
constexpr double FixedCostSeconds = 30;
constexpr double NotDeferrableFactor = 8;
constexpr double LatencyCriticalFactor = 64;
// Month-end surcharge of a batch task that is complete but for its last second.
constexpr double MonthEndFactor = 4;
constexpr std::chrono::hours MonthEndWindow(72);
constexpr double MostExcess = 10;

bool overlaps(const base::Resources &Need, const base::Resources &Given) {
  return (Need.MilliCpu_ > 0 && Given.MilliCpu_ > 0) ||
         (Need.MemoryMb_ > 0 && Given.MemoryMb_ > 0) ||
         (Need.Accelerators_ > 0 && Given.Accelerators_ > 0);
}

} // namespace

double Evictor::evictionCost(const Allocation &Victim) {
  const RunningTask &Run = Victim.Run_;
  const PendingTask &Spec = Run.Task_;
  auto Since = std::max(Run.CheckpointAt_, Run.Started_);
  double Cost =
      FixedCostSeconds + std::max(0.0, base::toSeconds(State_.Now_ - Since));
  Cost *= 1.0 + Spec.Restarts_;
  if (Spec.Class_ == TaskClass::LatencyCritical)
    Cost *= LatencyCriticalFactor;
  if (!Spec.Deferrable_)
    Cost *= NotDeferrableFactor;
  bool MonthEnd = State_.MonthEnd_ && State_.Now_ < *State_.MonthEnd_ &&
                  State_.Now_ >= *State_.MonthEnd_ - MonthEndWindow;
  if (MonthEnd && Spec.Class_ == TaskClass::Batch &&
      Spec.ExpectedRun_ > base::Duration{}) {
    double Progress = base::toSeconds(State_.Now_ - Run.Started_) /
                      base::toSeconds(Spec.ExpectedRun_);
    Cost *= 1 + MonthEndFactor * std::clamp(Progress, 0.0, 1.0);
  }
  double Excess =
      State_.Shares_.excess(State_.Shares_.account(Spec.Workspace_));
  return Cost / (1 + std::clamp(Excess, 0.0, MostExcess));
}

// Urgent work may evict any deferrable batch task, and others of workspaces
// above their share. Reclaiming leaves the victim's workspace its own share:
// otherwise the two would evict each other in turn.
bool Evictor::isEvictable(const PendingTask &For,
                          const std::vector<Allocation *> &Unit) {
  base::Resources Sum;
  for (Allocation *Each : Unit) {
    const PendingTask &Spec = Each->Run_.Task_;
    if (Each->Evicting_ || Spec.Urgent_ ||
        State_.EvictionHistory_.isProtected(Each->Run_, State_.Now_))
      return false;
    if (Spec.Class_ != TaskClass::Batch && (For.Urgent_ || !Spec.Deferrable_))
      return false;
    Sum += Spec.Request_;
  }
  const PendingTask &First = Unit.front()->Run_.Task_;
  const Account &Of = State_.Shares_.account(First.Workspace_);
  if (For.Urgent_ && First.Deferrable_)
    return true;
  if (!For.Urgent_ && First.Workspace_ == For.Workspace_)
    return false;
  return State_.Shares_.shareAfterChange(Of, {}, Sum) >=
         State_.Shares_.entitlement(Of);
}

std::vector<Evictor::Candidate> Evictor::candidates(const PendingTask &Task,
                                                    Worker &Target) {
  std::vector<Candidate> Result;
  for (Allocation *Each : Target.Tasks_) {
    auto Unit = State_.evictionGroup(*Each);
    // A gang is listed once, at its first member on the worker.
    auto First = std::find_if(Unit.begin(), Unit.end(), [&](Allocation *M) {
      return M->Worker_ == &Target;
    });
    if (*First != Each || !isEvictable(Task, Unit))
      continue;
    Candidate Listed;
    for (Allocation *Member : Unit) {
      Listed.Cost_ += evictionCost(*Member);
      if (Member->Worker_ == &Target)
        Listed.Here_ += Member->Run_.Task_.Request_;
    }
    Listed.Unit_ = std::move(Unit);
    Result.push_back(std::move(Listed));
  }
  std::sort(Result.begin(), Result.end(), [](auto &A, auto &B) {
    return A.Cost_ != B.Cost_ ? A.Cost_ < B.Cost_
                              : A.Unit_.front()->Run_.Task_.Task_ <
                                    B.Unit_.front()->Run_.Task_.Task_;
  });
  return Result;
}

// Takes the cheapest victims until the request fits, then gives back those it
// fits without, the costliest first.
std::optional<Evictor::EvictionPlan> Evictor::planOn(const PendingTask &Task,
                                                     Worker &Target) {
  if (!mayStart(State_, Task, Target) ||
      !Task.Request_.fitsIn(Target.Info_.Capacity_ - Target.Reserved_))
    return std::nullopt;
  base::Resources Need = Task.Request_ - Target.freeAfterEvictions();
  std::vector<Candidate> Chosen;
  auto Undo = [&](const Candidate &Each) {
    for (Allocation *Member : Each.Unit_)
      State_.unmarkEvicting(*Member);
  };
  for (Candidate &Each : candidates(Task, Target)) {
    if (Need.fitsIn({}))
      break;
    // Victims chosen before count against the share of their workspace.
    if (!overlaps(Need, Each.Here_) || !isEvictable(Task, Each.Unit_))
      continue;
    for (Allocation *Member : Each.Unit_)
      State_.markEvicting(*Member);
    Need -= Each.Here_;
    Chosen.push_back(std::move(Each));
  }
  bool Enough = Need.fitsIn({});
  EvictionPlan Result{&Target, {}, 0};
  for (auto It = Chosen.rbegin(); It != Chosen.rend(); ++It) {
    Undo(*It);
    if (Enough && (Need + It->Here_).fitsIn({})) {
      Need += It->Here_;
      continue;
    }
    Result.Cost_ += It->Cost_;
    Result.Victims_.insert(Result.Victims_.end(), It->Unit_.begin(),
                           It->Unit_.end());
  }
  if (!Enough || Result.Victims_.empty())
    return std::nullopt;
  return Result;
}

} // namespace crocuslead::schedule::internal
