#include "jobs/internal/Impl.h"

#include <chrono>

namespace crocuslead::jobs {

namespace {

// Looks show progress at most LookWait_ + one exchange apart; a task that
// shows none for longer stands still.
constexpr auto StallTime = std::chrono::milliseconds(2200);
// A long-running task is at work within its short startup.
constexpr auto StartupTime = std::chrono::milliseconds(3000);
// Below this pace a lack of progress says nothing.
constexpr int MinReliableSpeed = 30;
// A task this many times slower than its siblings is moved.
constexpr double StragglerFactor = 3.5;
// A task that is slow wherever it runs is left alone after this many moves.
constexpr uint32_t MaxMoves = 2;

} // namespace

bool Coordinator::Impl::isStopDue(const RunEntry &Which, base::TimePoint Now) {
  return Which.Phase_ == RunPhase::Stopping && !Which.StopAcceptedAt_ &&
         Now >= Which.NextStopSendAt_ && Which.Worker_->Polled_;
}

bool Coordinator::Impl::isProgressReliable(const RunEntry &Which) const {
  return Which.Phase_ == RunPhase::Running &&
         Which.SpeedPercent_ >= MinReliableSpeed && isReachable(*Which.Worker_);
}

bool Coordinator::Impl::isStalled(const RunEntry &Which,
                                  base::TimePoint Now) const {
  if (!isProgressReliable(Which))
    return false;
  const StepSpec &Spec = *Which.Step_->Spec_;
  base::Duration Still = Now - Which.LastProgressAt_;
  return Spec.LongRunning_
             ? Which.Percent_ < internal::FullPercent && Still > StartupTime
             : Still > StallTime && !Spec.Gang_;
}

bool Coordinator::Impl::isStraggler(const RunEntry &Which,
                                    base::TimePoint Now) const {
  if (!isProgressReliable(Which) || Which.Percent_ <= 0 ||
      Which.Percent_ > internal::FullPercent / 2 ||
      Which.Step_->RunSamples_ < 2 || Which.Adopted_)
    return false;
  const StepSpec &Spec = *Which.Step_->Spec_;
  const TaskEntry &Of = Which.Step_->Tasks_[Which.Position_.Index_];
  if (Of.StragglerMoves_ >= MaxMoves || Spec.LongRunning_ || Spec.Gang_ ||
      Spec.BestEffort_)
    return false;
  double Elapsed = base::toSeconds(Now - Which.StartedAt_);
  double Reported = base::toSeconds(Which.LastProgressAt_ - Which.StartedAt_);
  double Expected = Reported * internal::FullPercent / Which.Percent_;
  return Expected > StragglerFactor * Which.Step_->MeanRunSeconds_ &&
         Elapsed > Which.Step_->MeanRunSeconds_;
}

void Coordinator::Impl::moveSlowRun(RunEntry &Which, base::TimePoint Now) {
  TaskEntry &Of = Which.Step_->Tasks_[Which.Position_.Index_];
  WorkerEntry &On = *Which.Worker_;
  if (isStalled(Which, Now)) {
    ++On.ConsecutiveFailures_;
    requestStop(Which, "no-progress");
  } else if (isStraggler(Which, Now)) {
    ++Of.StragglerMoves_;
    requestStop(Which, "straggler");
  } else {
    return;
  }
  On.AvoidUntil_ = Now + internal::SuspectAvoidance;
  Of.AvoidedWorker_ = On.Info_.Id_;
}

void Coordinator::Impl::checkRuns() {
  base::TimePoint Now = now();
  // A stop may end runs, so the table is not walked while any is sent.
  std::vector<uint64_t> Due;
  for (auto &[Serial, Each] : Runs_)
    if (isStopDue(*Each, Now) || isStalled(*Each, Now) ||
        isStraggler(*Each, Now))
      Due.push_back(Serial);
  for (uint64_t Serial : Due)
    if (RunEntry *Which = findRun(Serial)) {
      if (isStopDue(*Which, Now))
        sendStop(*Which);
      else
        moveSlowRun(*Which, Now);
    }
}

} // namespace crocuslead::jobs
