#include "jobs/internal/Impl.h"

#include "base/Log.h"

#include <algorithm>

// Compares the runs that are known of a worker with those that it reports.

namespace crocuslead::jobs {

// A run that the worker reports neither as running nor as ended does not exist,
// provided that all results are listed and that the poll was sent after the
// reply to the run's last request. A stop keeps this incarnation from starting
// it; a later one could, as long as the start may arrive.
void Coordinator::Impl::reconcileRuns(WorkerEntry &Worker,
                                      const WorkerReport &Report,
                                      base::TimePoint SentAt) {
  bool MayHaveEnded = Report.Truncated_ && !areResultsVoid(Worker);
  for (RunEntry *Run : std::vector<RunEntry *>(Worker.Runs_)) {
    // The incarnation that accepted it is not a later one than this, which
    // would not answer any more. Its end may be among those that are not
    // listed.
    if (MayHaveEnded && Run->Accepted_ && Run->Phase_ == RunPhase::Running &&
        SentAt > Run->PhaseSince_)
      noteLocated(*Run);
    // The end of a long-running task only means that it starts again.
    if (MayHaveEnded && !Run->Step_->Spec_->LongRunning_)
      continue;
    bool Listed =
        std::any_of(Report.Running_.begin(), Report.Running_.end(),
                    [&](const RunStatus &Status) {
                      return Status.Run_ == Run->Number_ &&
                             Status.Task_.Position_ == Run->Position_ &&
                             Status.Task_.Job_ == Run->Job_->Id_;
                    });
    if (Listed)
      continue;
    if (Run->Phase_ == RunPhase::StartUnconfirmed && SentAt >= Run->PhaseSince_)
      handleMissingRun(*Run, "start-unanswered");
    else if (Run->Phase_ == RunPhase::Running && SentAt > Run->PhaseSince_)
      handleMissingRun(*Run, "not-listed");
    else if (Run->Phase_ == RunPhase::Stopping && Run->StopAcceptedAt_ &&
             SentAt > *Run->StopAcceptedAt_) {
      Run->Barred_ = true;
      if (mayStartLate(*Run) && SentAt < lastArrival(*Run)) {
        noteAbsent(*Run);
        continue;
      }
      confirmCrash(*Run);
      concludeUnreportedRun(*Run, "stopped-before-start");
    }
  }
}

void Coordinator::Impl::handleMissingRun(RunEntry &Run, const char *Reason) {
  bool MaySend = Run.StartsSent_ == 0 && !Run.Adopted_;
  if (!Run.Accepted_ && !MaySend && !areStartsRefused(Run))
    noteLateStart(Run);
  if ((!mayStartLate(Run) && !MaySend) || !isRepeatable(Run)) {
    requestStop(Run, Reason);
    return;
  }
  if (Run.Phase_ != RunPhase::StartUnconfirmed) {
    Run.Phase_ = RunPhase::StartUnconfirmed;
    Run.PhaseSince_ = now();
  }
  noteAbsent(Run);
  if (mayRepeatNow(Run))
    repeatStart(Run);
}

bool Coordinator::Impl::mayStartLate(const RunEntry &Run) const {
  bool IsUnanswered = isUnlocated(Run) && !Run.Accepted_ && Run.StartsSent_ > 0;
  return IsUnanswered || lateStartOf(Run) != nullptr;
}

bool Coordinator::Impl::isWaitingForLateStarts(
    const WorkerEntry &Worker) const {
  bool Any = isAwaitedWithoutRun(Worker);
  for (const RunEntry *Run : Worker.Runs_) {
    if (!isUnlocated(*Run) || Run->Phase_ == RunPhase::StartUnconfirmed)
      continue;
    if (Run->Phase_ != RunPhase::Stopping || !Run->StopAcceptedAt_ ||
        now() >= lastArrival(*Run))
      return false;
    Any = true;
  }
  return Any;
}

base::TimePoint Coordinator::Impl::lastArrival(const RunEntry &Run) const {
  base::TimePoint Out = Run.StartedAt_ + Settings_.Times_.MaxRequestDelay_;
  if (const internal::LateStartEntry *Late = lateStartOf(Run))
    return Run.Accepted_ ? Late->Until_ : std::max(Out, Late->Until_);
  return Out;
}

void Coordinator::Impl::adoptRun(WorkerEntry &Worker, const RunStatus &Status) {
  TaskEntry *Task = findTask(Status.Task_);
  JobEntry *Job = findJob(Status.Task_.Job_);
  if (Task == nullptr) {
    base::logEvent(base::LogLevel::Warn, "unknown-task-stopped",
                   {{"task", taskName(Status.Task_)},
                    {"run", Status.Run_},
                    {"worker", Worker.Info_.Id_}});
    Worker.RanUnknownTask_ = true;
    Port_.stop(addressOf(Worker),
               {Status.Task_, Status.Run_, Worker.FencingToken_, firstToken()},
               [](const RequestReply &) {
                 // If the stop was lost, the next poll reports the run again.
               });
    return;
  }
  StepEntry &Step = *findStep(*Job, Status.Task_.Position_);
  for (RunEntry *Each : std::vector<RunEntry *>(Task->Runs_))
    if (Each->Phase_ == RunPhase::Announced)
      cancelStart(*Each);
  RunEntry &Run = addRun(Step, *Task, Worker, Status.Run_);
  Task->LastRun_ = std::max(Task->LastRun_, Status.Run_);
  Run.Phase_ = RunPhase::Running;
  Run.Adopted_ = true;
  noteLocated(Run);
  // Until then this term must not say that all starts are on record.
  if ((Task->Location_ || isStartRecorded(*Step.Spec_)) && !isRecorded(Run))
    UnrecordedRuns_.push_back(Run.Serial_);
  if (Step.Spec_->BestEffort_)
    Run.SpeedPercent_ = internal::UnknownSpeed;
  Run.ProgressPercent_ = Status.ProgressPercent_;
  Run.Load_ = Status.Load_;
  Run.Checkpoint_ = Status.Checkpoint_;
  Job->NextRunNumber_ = std::max(Job->NextRunNumber_, Status.Run_ + 1);
  markStarted(*Job);
  base::logEvent(base::LogLevel::Info, "task-adopted",
                 {{"task", taskName(Status.Task_)},
                  {"run", Status.Run_},
                  {"worker", Worker.Info_.Id_},
                  {"born_ms", Worker.Info_.StartTimeMs_},
                  {"percent", Status.ProgressPercent_}});
  bool IsDuplicate = Task->Runs_.size() > 1 && !Step.Spec_->Speculative_;
  if (IsDuplicate)
    reportDuplicate(Run, *Task->Runs_.front());
  if (isFinal(Job->State_) || Task->Done_ || IsDuplicate)
    requestStop(Run, "not-wanted");
}

} // namespace crocuslead::jobs
