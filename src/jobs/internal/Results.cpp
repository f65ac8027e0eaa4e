#include "jobs/internal/Impl.h"

#include "base/Log.h"

#include <algorithm>

// Ends of runs that workers list.

namespace crocuslead::jobs {

namespace {

// Consecutive failed runs after which a worker is suspected to be faulty.
constexpr int SuspectFailures = 2;
// Weight of a new sample in the moving average of Slowdown_.
constexpr double SlowdownSampleWeight = 0.25;

const char *outcomeName(RunOutcome Outcome) {
  constexpr const char *Names[] = {"done",        "failed",
                                   "stopped",     "lease-expired",
                                   "gang-broken", "gang-incomplete"};
  return Names[static_cast<int>(Outcome)];
}

internal::TimeUse timeUse(RunOutcome Outcome) {
  switch (Outcome) {
  case RunOutcome::Done:
    return internal::TimeUse::Run;
  case RunOutcome::Failed:
    return internal::TimeUse::FailedRun;
  case RunOutcome::LeaseExpired:
    return internal::TimeUse::LostWorker;
  default:
    return internal::TimeUse::StoppedRun;
  }
}

} // namespace

void Coordinator::Impl::recordOutcome(WorkerEntry &Worker, RunEntry *Run,
                                      const RunResult &Result) {
  if (Result.Outcome_ == RunOutcome::Done) {
    Worker.ConsecutiveFailures_ = 0;
    if (Run == nullptr || Run->Adopted_ || Run->Resumed_)
      return;
    StepEntry &Step = *Run->Step_;
    double RunSeconds = base::toSeconds(now() - Run->StartedAt_);
    if (Step.RunSamples_ > 0 && Run->SpeedPercent_ == internal::FullPercent &&
        Step.MeanRunSeconds_ > 0)
      Worker.Slowdown_ +=
          SlowdownSampleWeight *
          (RunSeconds / Step.MeanRunSeconds_ - Worker.Slowdown_);
    ++Step.RunSamples_;
    Step.MeanRunSeconds_ +=
        (RunSeconds - Step.MeanRunSeconds_) / Step.RunSamples_;
    Metrics_.histogram("crocuslead_task_run_seconds", "Run time of done tasks.")
        .record(now() - Run->StartedAt_);
  } else if (Result.Outcome_ == RunOutcome::Failed) {
    if (++Worker.ConsecutiveFailures_ >= SuspectFailures) {
      Worker.AvoidUntil_ = now() + internal::SuspectAvoidance;
      base::logEvent(base::LogLevel::Warn, "worker-suspected",
                     {{"worker", Worker.Info_.Id_},
                      {"failures_in_a_row", Worker.ConsecutiveFailures_}});
    }
  }
}

// A run of the term that first knew the job follows no earlier end of its task.
// A poll of that term may still wait at the worker when this one adopts the
// run.
bool Coordinator::Impl::isEndNews(const RunEntry &Run) const {
  if (Run.Step_->Spec_->Speculative_)
    return false;
  bool IsFirst = Run.Adopted_ &&
                 termOfRun(Run.Number_) == Run.Job_->FirstTerm_ &&
                 now() - Run.KnownSince_ > Settings_.Times_.PollWait_;
  return IsFirst || Run.Step_->FirstReleased_;
}

void Coordinator::Impl::handleResult(WorkerEntry &Worker,
                                     const RunResult &Result) {
  RunEntry *Run = findRunOnWorker(Worker, Result.Task_, Result.Run_);
  JobEntry *Job = findJob(Result.Task_.Job_);
  StepEntry *Step =
      Job != nullptr ? findStep(*Job, Result.Task_.Position_) : nullptr;
  recordOutcome(Worker, Run, Result);
  ++RunsEnded_;
  Metrics_
      .counter("crocuslead_runs_ended_total", "Runs of tasks by their end.",
               {{"how", outcomeName(Result.Outcome_)}})
      .add();
  base::logEvent(base::LogLevel::Info, "task-run-ended",
                 {{"task", taskName(Result.Task_)},
                  {"run", Result.Run_},
                  {"worker", Worker.Info_.Id_},
                  {"how", outcomeName(Result.Outcome_)},
                  {"end", Result.SequenceNumber_},
                  {"known", Step != nullptr}});
  if (Run != nullptr) {
    markStarted(*Run->Job_);
    TaskEntry &Task = Run->Step_->Tasks_[Run->Position_.Index_];
    Task.EndedInTerm_ = isEndNews(*Run);
    if (Result.Outcome_ == RunOutcome::Done ||
        Result.Outcome_ == RunOutcome::Failed)
      proveRun(*Run);
    if (!Result.Checkpoint_.empty())
      Task.Checkpoint_ = Result.Checkpoint_;
    else if (!Run->Checkpoint_.empty())
      Task.Checkpoint_ = Run->Checkpoint_;
    endRun(*Run, timeUse(Result.Outcome_), outcomeName(Result.Outcome_), true);
  }
  if (Step == nullptr || isFinal(Job->State_))
    return;
  TaskEntry &Task = Step->Tasks_[Result.Task_.Position_.Index_];
  Task.EarlierRunEnded_ = true;
  noteOutlived(*Job, Task, Result);
  if (Result.Outcome_ == RunOutcome::Done) {
    if (Step->Spec_->LongRunning_)
      return;
    if (Step->Spec_->Gang_)
      for (TaskEntry &Member : Step->Tasks_)
        completeTask(*Job, *Step, Member);
    else
      completeTask(*Job, *Step, Task);
    markDirty(*Job);
  } else if (Result.Outcome_ == RunOutcome::Failed) {
    Task.AvoidedWorker_ = Worker.Info_.Id_;
    recordFailure(*Job, *Step, Task, Result);
  } else if (!Task.Checkpoint_.empty() ||
             (Task.Location_ && isStoreFailing())) {
    markDirty(*Job);
  }
  if (Task.Previous_)
    Task.Previous_->EndVersion_ = Job->Version_;
}

void Coordinator::Impl::recordFailure(JobEntry &Job, StepEntry &Step,
                                      TaskEntry &Task,
                                      const RunResult &Result) {
  auto &Failed = Task.FailedRuns_;
  if (Task.Done_ ||
      std::find(Failed.begin(), Failed.end(), Result.Run_) != Failed.end())
    return;
  if (Step.Spec_->LongRunning_)
    return;
  Failed.push_back(Result.Run_);
  const QueueConfig *Queue = queueConfig(Job);
  markDirty(Job);
  if (Queue != nullptr && Failed.size() >= Queue->MaxAttempts_)
    finishJob(Job, JobState::Failed, "attempts-used-up", unfinishedTime(Job));
}

} // namespace crocuslead::jobs
