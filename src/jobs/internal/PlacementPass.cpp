#include "jobs/internal/Impl.h"

#include <algorithm>
#include <tuple>

// The order in which ready steps get workers.

namespace crocuslead::jobs {

namespace {

// Limits how many steps of one urgency get starts in a pass, so that a long
// queue does not block the event loop.
constexpr int MaxStepsPerPass = 200;

} // namespace

void Coordinator::Impl::placeReadySteps() {
  PlacementRequested_ = false;
  if (Superseded_ || !mayStartRuns())
    return;
  renewReservations();
  base::TimePoint Now = now();
  internal::UnplaceableSteps Unplaceable;
  placeServingSteps(Unplaceable);
  for (Urgency Level : {Urgency::Useful, Urgency::Overdue})
    placeSteps(Level, Now, Unplaceable);
  if (!maySendStart() && !ReadySteps_.empty()) {
    ++WithheldPasses_;
    Congestion_.recordWithheld();
  }
}

// Long-running tasks come first because their service is degraded whenever they
// do not run. Jobs whose result will be of little use come last: otherwise, on
// a full fleet, they would make the next jobs overdue as well.
Coordinator::Impl::Urgency Coordinator::Impl::urgencyOf(const StepEntry &Step,
                                                        base::TimePoint Now) {
  if (Step.Spec_->LongRunning_)
    return Urgency::Serving;
  base::TimePoint End = Now + Step.Spec_->EstimatedDuration_ -
                        dueDelay(*Step.Job_, Step.Occurrence_);
  return End > Step.Job_->OverdueAt_ ? Urgency::Overdue : Urgency::Useful;
}

// Queue order would let the oldest jobs start all their tasks again before the
// next job gets any, so what has lost its run longest comes first.
void Coordinator::Impl::placeServingSteps(
    internal::UnplaceableSteps &Unplaceable) {
  struct ServingStep {
    StepEntry *Step_;
    int Priority_;
    base::Duration WithoutRun_;
  };
  std::vector<ServingStep> Steps;
  for (const auto &[Key, Step] : ReadySteps_)
    if (Step->Spec_->LongRunning_)
      Steps.push_back(
          {Step, Key.Priority_,
           hasLostRun(*Step) ? longestWait(*Step) : base::Duration{}});
  std::stable_sort(Steps.begin(), Steps.end(),
                   [](const ServingStep &A, const ServingStep &B) {
                     return std::tie(A.Priority_, B.WithoutRun_) <
                            std::tie(B.Priority_, A.WithoutRun_);
                   });
  int PlacedSteps = 0;
  for (const ServingStep &Each : Steps) {
    bool GoOn = tryToPlace(*Each.Step_, Unplaceable, PlacedSteps);
    if (!hasPendingTasks(*Each.Step_))
      ReadySteps_.erase(readyKey(*Each.Step_));
    if (!GoOn)
      return;
  }
}

void Coordinator::Impl::placeSteps(Urgency Level, base::TimePoint Now,
                                   internal::UnplaceableSteps &Unplaceable) {
  int PlacedSteps = 0;
  for (auto It = ReadySteps_.begin(); It != ReadySteps_.end();) {
    StepEntry &Step = *It->second;
    if (urgencyOf(Step, Now) != Level) {
      ++It;
      continue;
    }
    bool GoOn = tryToPlace(Step, Unplaceable, PlacedSteps);
    It = hasPendingTasks(Step) ? std::next(It) : ReadySteps_.erase(It);
    if (!GoOn)
      return;
  }
}

// Returns false if the pass must end.
bool Coordinator::Impl::tryToPlace(StepEntry &Step,
                                   internal::UnplaceableSteps &Unplaceable,
                                   int &PlacedSteps) {
  if (isUnsatisfiable(Step) || now() < Step.WithheldUntil_)
    return true;
  // Steps that were kept from the workers reserved for this one are no sign.
  if (!isReserving(Step) && Unplaceable.covers(placementNeeds(Step))) {
    if (hasLostRun(Step))
      reserveIfStarving(Step);
    return true;
  }
  if (!maySendStart())
    return false;
  if (placeStep(Step)) {
    ++PlacedSteps;
    if (isReserving(Step))
      NextRenewalAt_ = now();
  }
  if (!maySendStart())
    return false;
  bool LacksWorker = std::any_of(
      Step.Tasks_.begin(), Step.Tasks_.end(), [&](const TaskEntry &Task) {
        return isStartable(Step, Task) && !mustIsolate(Task);
      });
  if (LacksWorker) {
    Unplaceable.add(placementNeeds(Step));
    reserveIfStarving(Step);
  }
  if (PlacedSteps < MaxStepsPerPass)
    return true;
  PlacementRequested_ = true;
  return false;
}

bool Coordinator::Impl::hasPendingTasks(const StepEntry &Step) {
  return std::any_of(
      Step.Tasks_.begin(), Step.Tasks_.end(),
      [](const TaskEntry &Task) { return !Task.Done_ && Task.Runs_.empty(); });
}

// Of a job that an earlier term started, any task may have run.
bool Coordinator::Impl::hasLostRun(const StepEntry &Step) {
  bool MayHaveRun = Step.Job_->Restored_ && Step.Job_->Started_;
  return Step.Spec_->LongRunning_ &&
         std::any_of(Step.Tasks_.begin(), Step.Tasks_.end(),
                     [&](const TaskEntry &Task) {
                       return Task.Runs_.empty() &&
                              (MayHaveRun || Task.LastRun_ > 0);
                     });
}

} // namespace crocuslead::jobs
