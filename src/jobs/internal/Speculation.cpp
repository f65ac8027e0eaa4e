#include "jobs/internal/Impl.h"

namespace crocuslead::jobs {

namespace {

// A speculative copy is started once a run takes this many times the expected
// run time.
constexpr double SpeculationFactor = 2.0;
constexpr auto MinSpeculationAge = std::chrono::milliseconds(700);

} // namespace

void Coordinator::Impl::startSpeculativeCopies() {
  if (!mayStartRuns())
    return;
  std::vector<RunEntry *> SlowRuns;
  for (auto &[Serial, Run] : Runs_) {
    StepEntry &Step = *Run->Step_;
    const TaskEntry &Task = Step.Tasks_[Run->Position_.Index_];
    if (!Step.Spec_->Speculative_ || Run->Phase_ <= RunPhase::StartSent ||
        Task.Done_ || !Task.Crashes_.empty() || isFinal(Run->Job_->State_) ||
        Task.Runs_.size() > 1)
      continue;
    base::Duration Age = now() - Run->StartedAt_;
    double Expected = Step.RunSamples_ > 0
                          ? Step.MeanRunSeconds_
                          : base::toSeconds(Step.Spec_->EstimatedDuration_);
    bool StateUnknown =
        Run->Phase_ != RunPhase::Running || !isReachable(*Run->Worker_);
    if (StateUnknown || (Age > MinSpeculationAge &&
                         base::toSeconds(Age) > SpeculationFactor * Expected))
      SlowRuns.push_back(Run.get());
  }
  for (RunEntry *Run : SlowRuns) {
    TaskEntry &Task = Run->Step_->Tasks_[Run->Position_.Index_];
    if (WorkerEntry *Worker = chooseWorker(*Run->Step_, Task, "");
        Worker != nullptr && !Task.Done_)
      startRun(*Run->Step_, Task, *Worker, Run->Job_->NextRunNumber_++, false);
  }
}

} // namespace crocuslead::jobs
