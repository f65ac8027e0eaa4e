#include "schedule/internal/Evictor.h"

#include "schedule/internal/Placement.h"

#include <algorithm>

namespace crocuslead::schedule::internal {

namespace {

// Cost of every eviction besides the work lost since the last checkpoint:
// stopping the task, writing a checkpoint and starting it again.
constexpr double FixedCostSeconds = 30;
constexpr double NotDeferrableFactor = 8;
constexpr double LatencyCriticalFactor = 64;
// Month-end surcharge of a batch task that is about to complete. The surcharge
// grows in proportion to the task's progress.
constexpr double MonthEndFactor = 4;
constexpr std::chrono::hours MonthEndWindow(72);
constexpr double MaxExcess = 10;

bool overlaps(const base::Resources &Needed, const base::Resources &Freed) {
  return (Needed.MilliCpu_ > 0 && Freed.MilliCpu_ > 0) ||
         (Needed.MemoryMb_ > 0 && Freed.MemoryMb_ > 0) ||
         (Needed.Accelerators_ > 0 && Freed.Accelerators_ > 0);
}

} // namespace

double Evictor::evictionCost(const Allocation &Victim) {
  const RunningTask &Run = Victim.Run_;
  const PendingTask &Spec = Run.Task_;
  auto LastSaved = std::max(Run.CheckpointAt_, Run.Started_);
  double Cost = FixedCostSeconds +
                std::max(0.0, base::toSeconds(State_.Now_ - LastSaved));
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
  return Cost / (1 + std::clamp(Excess, 0.0, MaxExcess));
}

// An urgent task may preempt any deferrable batch task, and non-deferrable ones
// of workspaces above their share. Reclaiming never takes a workspace below its
// own share; otherwise two workspaces would evict each other in turn.
bool Evictor::isEvictable(const PendingTask &Preemptor,
                          const std::vector<Allocation *> &Group) {
  base::Resources Sum;
  for (Allocation *Member : Group) {
    const PendingTask &Spec = Member->Run_.Task_;
    if (Member->Evicting_ || Spec.Urgent_ ||
        State_.EvictionHistory_.isProtected(Member->Run_, State_.Now_))
      return false;
    if (Spec.Class_ != TaskClass::Batch &&
        (Preemptor.Urgent_ || !Spec.Deferrable_))
      return false;
    Sum += Spec.Request_;
  }
  const PendingTask &First = Group.front()->Run_.Task_;
  const Account &Owner = State_.Shares_.account(First.Workspace_);
  if (Preemptor.Urgent_ && First.Deferrable_)
    return true;
  if (!Preemptor.Urgent_ && First.Workspace_ == Preemptor.Workspace_)
    return false;
  return State_.Shares_.shareAfterChange(Owner, {}, Sum) >=
         State_.Shares_.entitlement(Owner);
}

std::vector<Evictor::Candidate> Evictor::candidates(const PendingTask &Task,
                                                    Worker &Target) {
  std::vector<Candidate> Result;
  for (Allocation *Victim : Target.Tasks_) {
    auto Group = State_.evictionGroup(*Victim);
    // Lists a gang once, at its first member on the worker.
    auto First = std::find_if(Group.begin(), Group.end(), [&](Allocation *A) {
      return A->Worker_ == &Target;
    });
    if (*First != Victim || !isEvictable(Task, Group))
      continue;
    Candidate New;
    for (Allocation *Member : Group) {
      New.Cost_ += evictionCost(*Member);
      if (Member->Worker_ == &Target)
        New.Freed_ += Member->Run_.Task_.Request_;
    }
    New.Group_ = std::move(Group);
    Result.push_back(std::move(New));
  }
  std::sort(Result.begin(), Result.end(), [](auto &A, auto &B) {
    return A.Cost_ != B.Cost_ ? A.Cost_ < B.Cost_
                              : A.Group_.front()->Run_.Task_.Task_ <
                                    B.Group_.front()->Run_.Task_.Task_;
  });
  return Result;
}

// Selects victims by increasing cost until the request fits, then drops those
// that are not needed, the most expensive first.
std::optional<Evictor::EvictionPlan> Evictor::planOn(const PendingTask &Task,
                                                     Worker &Target) {
  if (!mayStart(State_, Task, Target) ||
      !Task.Request_.fitsIn(Target.Info_.Capacity_ - Target.Reserved_))
    return std::nullopt;
  base::Resources Missing = Task.Request_ - Target.freeAfterEvictions();
  std::vector<Candidate> Selected;
  auto Unmark = [&](const Candidate &Victim) {
    for (Allocation *Member : Victim.Group_)
      State_.unmarkEvicting(*Member);
  };
  for (Candidate &Victim : candidates(Task, Target)) {
    if (Missing.fitsIn({}))
      break;
    // Checked again, since the victims selected so far reduce the share of
    // their workspace.
    if (!overlaps(Missing, Victim.Freed_) || !isEvictable(Task, Victim.Group_))
      continue;
    for (Allocation *Member : Victim.Group_)
      State_.markEvicting(*Member);
    Missing -= Victim.Freed_;
    Selected.push_back(std::move(Victim));
  }
  bool Fits = Missing.fitsIn({});
  EvictionPlan Result{&Target, {}, 0};
  for (auto It = Selected.rbegin(); It != Selected.rend(); ++It) {
    Unmark(*It);
    if (Fits && (Missing + It->Freed_).fitsIn({})) {
      Missing += It->Freed_;
      continue;
    }
    Result.Cost_ += It->Cost_;
    Result.Victims_.insert(Result.Victims_.end(), It->Group_.begin(),
                           It->Group_.end());
  }
  if (!Fits || Result.Victims_.empty())
    return std::nullopt;
  return Result;
}

} // namespace crocuslead::schedule::internal
