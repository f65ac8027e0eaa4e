#include "jobs/internal/Impl.h"

#include <chrono>

namespace crocuslead::jobs {

namespace {

// Polls report progress at intervals of at most PollWait_ plus one round trip;
// a run without progress for longer than this has stalled.
constexpr auto StallTime = std::chrono::milliseconds(2200);
// A long-running task that is not ready after this time has stalled.
constexpr auto StartupTime = std::chrono::milliseconds(3000);
// Below this speed a lack of progress is no evidence of a stall.
constexpr int MinReliableSpeed = 30;
// A run whose projected run time exceeds the mean of its step by this factor is
// a straggler and is moved.
constexpr double StragglerFactor = 3.5;
// A task that is slow on every worker is not moved more often than this.
constexpr uint32_t MaxStragglerMoves = 2;

} // namespace

bool Coordinator::Impl::isStopDue(const RunEntry &Run, base::TimePoint Now) {
  return Run.Phase_ == RunPhase::Stopping && !Run.StopAcceptedAt_ &&
         Now >= Run.NextStopSendAt_ && Run.Worker_->Polled_;
}

bool Coordinator::Impl::isProgressReliable(const RunEntry &Run) const {
  return Run.Phase_ == RunPhase::Running &&
         Run.SpeedPercent_ >= MinReliableSpeed && isReachable(*Run.Worker_);
}

bool Coordinator::Impl::isStalled(const RunEntry &Run,
                                  base::TimePoint Now) const {
  if (!isProgressReliable(Run))
    return false;
  const StepSpec &Spec = *Run.Step_->Spec_;
  base::Duration SinceProgress = Now - Run.LastProgressAt_;
  return Spec.LongRunning_ ? Run.ProgressPercent_ < internal::FullPercent &&
                                 SinceProgress > StartupTime
                           : SinceProgress > StallTime && !Spec.Gang_;
}

bool Coordinator::Impl::isStraggler(const RunEntry &Run,
                                    base::TimePoint Now) const {
  if (!isProgressReliable(Run) || Run.ProgressPercent_ <= 0 ||
      Run.ProgressPercent_ > internal::FullPercent / 2 ||
      Run.Step_->RunSamples_ < 2 || Run.Adopted_)
    return false;
  const StepSpec &Spec = *Run.Step_->Spec_;
  const TaskEntry &Task = Run.Step_->Tasks_[Run.Position_.Index_];
  if (Task.StragglerMoves_ >= MaxStragglerMoves || Spec.LongRunning_ ||
      Spec.Gang_ || Spec.BestEffort_)
    return false;
  double Elapsed = base::toSeconds(Now - Run.StartedAt_);
  double Reported = base::toSeconds(Run.LastProgressAt_ - Run.StartedAt_);
  double Expected = Reported * internal::FullPercent / Run.ProgressPercent_;
  return Expected > StragglerFactor * Run.Step_->MeanRunSeconds_ &&
         Elapsed > Run.Step_->MeanRunSeconds_;
}

void Coordinator::Impl::moveSlowRun(RunEntry &Run, base::TimePoint Now) {
  TaskEntry &Task = Run.Step_->Tasks_[Run.Position_.Index_];
  WorkerEntry &Worker = *Run.Worker_;
  if (isStalled(Run, Now)) {
    ++Worker.ConsecutiveFailures_;
    requestStop(Run, "no-progress");
  } else if (isStraggler(Run, Now)) {
    ++Task.StragglerMoves_;
    requestStop(Run, "straggler");
  } else {
    return;
  }
  Worker.AvoidUntil_ = Now + internal::SuspectAvoidance;
  Task.AvoidedWorker_ = Worker.Info_.Id_;
}

void Coordinator::Impl::checkRuns() {
  base::TimePoint Now = now();
  // Sending a stop may remove runs, so they are collected before any is sent.
  std::vector<uint64_t> Due;
  for (auto &[Serial, Run] : Runs_) {
    noteLongestWait(*Run);
    if (isStopDue(*Run, Now) || isStalled(*Run, Now) || isStraggler(*Run, Now))
      Due.push_back(Serial);
  }
  for (uint64_t Serial : Due)
    if (RunEntry *Run = findRun(Serial)) {
      if (isStopDue(*Run, Now))
        sendStop(*Run);
      else
        moveSlowRun(*Run, Now);
    }
}

} // namespace crocuslead::jobs
