#include "partition/internal/Impl.h"

#include <algorithm>

namespace crocuslead::partition {

using cluster::AttemptState;
using cluster::CommandKind;
using cluster::CommandStatus;

namespace {

//! Minimum interval between journal entries for the usage of one task. Usage in
//! between is not lost, because the workers' counters are cumulative.
constexpr int64_t UsageIntervalMs = 60'000;
//! An evicted task that takes longer to write its checkpoint is stopped without
//! one.
constexpr base::Duration CheckpointTimeout = std::chrono::minutes(2);

bool hasEnded(AttemptState State) {
  return State == AttemptState::Finished || State == AttemptState::Failed ||
         State == AttemptState::Stopped;
}

} // namespace

void Partition::Impl::workerReply(
    uint64_t Token,
    const std::variant<cluster::WorkerReply, base::Error> &Reply,
    base::TimePoint Now) {
  auto Found = WorkerByToken_.find(Token);
  if (Found == WorkerByToken_.end() || Journal_.fenced())
    return;
  Now_ = std::max(Now_, Now);
  WorkerState &Worker = Workers_[Found->second];
  WorkerByToken_.erase(Found);
  Worker.Token_ = 0;
  const auto *Answer = std::get_if<cluster::WorkerReply>(&Reply);
  if (Answer == nullptr) {
    handleMessageFailure(Worker, Now);
    Worker.InFlight_.clear();
    return;
  }
  if (Answer->EpochRefused_) {
    Journal_.fence();
    return;
  }
  bool Restarted = !Worker.Incarnation_.empty() &&
                   Worker.Incarnation_ != Answer->Incarnation_;
  bool FirstReply = !Worker.AnsweredThisEpoch_;
  bool WasReachable = Worker.Reachable_;
  // After a restart the old incarnation is kept until a report shows which
  // attempts the new one has.
  if (Answer->HasReport_ || !Restarted)
    Worker.Incarnation_ = Answer->Incarnation_;
  if (Answer->Changed_ || (Restarted && !Answer->HasReport_))
    Worker.NextPollAt_ = Now;
  Worker.ClockMs_ = Answer->WorkerClockMs_;
  Worker.ClockRequestSentAt_ = Worker.SentAt_;
  Worker.AnsweredThisEpoch_ = Worker.Reachable_ = true;
  // Each grant replaces the previous one, so a confirmed grant of this epoch is
  // the only lease in force. If the first reply to this epoch shows no
  // attempts, there is no lease of an earlier owner left to wait for.
  if (Worker.GrantedLease_.count() > 0)
    Worker.LeaseEnd_ = Now + withClockMargin(Worker.GrantedLease_);
  else if (FirstReply && Answer->HasReport_ && Answer->Attempts_.empty())
    Worker.LeaseEnd_ = Now;
  handleCommandReplies(Worker, *Answer, Now);
  if (Answer->HasReport_)
    handleReport(Worker, *Answer, Restarted, Now);
  Worker.InFlight_.clear();
  if (!WasReachable) {
    Worker.NextRenewalAt_ = Now;
    updatePlannerWorker(Worker);
  }
  schedulePoll(Worker, Now);
}

void Partition::Impl::handleCommandReplies(const WorkerState &Worker,
                                           const cluster::WorkerReply &Reply,
                                           base::TimePoint Now) {
  std::size_t Count = std::min(Worker.InFlight_.size(), Reply.Commands_.size());
  for (std::size_t I = 0; I < Count; ++I) {
    const cluster::WorkerCommand &Command = Worker.InFlight_[I];
    if (Command.Kind_ != CommandKind::Start)
      continue;
    LiveTask *Task = findTask(Command.Task_);
    if (Task == nullptr || Task->Dispatch_ != DispatchState::Sent ||
        taskRecord(*Task).Attempt_ != Command.Attempt_)
      continue;
    const cluster::CommandReply &Result = Reply.Commands_[I];
    if (Result.Status_ == CommandStatus::Done) {
      Task->Dispatch_ = DispatchState::Confirmed;
      continue;
    }
    bool Failed = Result.Status_ == CommandStatus::Failed;
    if (Failed)
      Planner_.reportStart(Task->Worker_, Task->Job_->Number_, false, Now);
    endAttempt(*Task,
               Failed ? AttemptOutcome::Failed : AttemptOutcome::NotStarted, {},
               Failed ? "start failed" : "start refused", Now);
  }
}

void Partition::Impl::handleReport(WorkerState &Worker,
                                   const cluster::WorkerReply &Reply,
                                   bool Restarted, base::TimePoint Now) {
  if (!Restarted && Reply.ReportSequence_ <= Worker.ReportSequence_)
    return;
  Worker.ReportSequence_ = Reply.ReportSequence_;
  std::set<TaskNumber> Missing = Worker.ActiveTasks_;
  for (const cluster::AttemptReport &Report : Reply.Attempts_) {
    LiveTask *Task = findTask(Report.Task_);
    if (Task != nullptr && taskRecord(*Task).Attempt_ == Report.Attempt_)
      Missing.erase(Task->Job_->FirstTask_ + Task->Index_);
    handleAttemptReport(Worker, Report, Now);
  }
  for (TaskNumber Number : Missing) {
    auto Found = Tasks_.find(Number);
    if (Found == Tasks_.end())
      continue;
    LiveTask &Task = Found->second;
    if (Task.Dispatch_ == DispatchState::Uncommitted ||
        Task.Dispatch_ == DispatchState::Queued)
      continue;
    // An unanswered start can still reach the worker and be executed until its
    // deadline has passed.
    if (Task.Dispatch_ == DispatchState::Sent &&
        Reply.WorkerClockMs_ <= Task.StartDeadlineMs_)
      continue;
    bool Ran = Restarted || taskRecord(Task).HeldCountedUntilMs_ != 0;
    JournalEntry Entry;
    Entry.EstimatedCpuMillis_ = Ran ? estimateUncountedCpuMs(Task) : 0;
    endAttempt(Task, Ran ? AttemptOutcome::Stopped : AttemptOutcome::NotStarted,
               std::move(Entry),
               Restarted ? "worker restarted" : "unknown to its worker", Now);
  }
}

void Partition::Impl::handleAttemptReport(WorkerState &Worker,
                                          const cluster::AttemptReport &Report,
                                          base::TimePoint Now) {
  LiveTask *Task = findTask(Report.Task_);
  bool Active = Task != nullptr && holdsWorker(taskRecord(*Task).State_) &&
                taskRecord(*Task).Attempt_ == Report.Attempt_ &&
                Task->Worker_ == Worker.Info_.Worker_ &&
                Task->Dispatch_ != DispatchState::Uncommitted;
  if (Active)
    handleActiveAttempt(*Task, Report, Now);
  else
    handleUnknownAttempt(Worker, Report);
}

void Partition::Impl::handleUnknownAttempt(
    WorkerState &Worker, const cluster::AttemptReport &Report) {
  if (EndingAttempts_.count(Report.Task_ + "#" +
                            std::to_string(Report.Attempt_)) != 0)
    return;
  cluster::WorkerCommand Command;
  Command.Kind_ =
      hasEnded(Report.State_) ? CommandKind::Forget : CommandKind::Stop;
  Command.Task_ = Report.Task_;
  Command.Attempt_ = Report.Attempt_;
  for (const cluster::WorkerCommand &Queued : Worker.Outbox_)
    if (Queued.Kind_ == Command.Kind_ && Queued.Task_ == Command.Task_ &&
        Queued.Attempt_ == Command.Attempt_)
      return;
  Worker.Outbox_.push_back(std::move(Command));
}

void Partition::Impl::handleActiveAttempt(LiveTask &Task,
                                          const cluster::AttemptReport &Report,
                                          base::TimePoint Now) {
  Task.Dispatch_ = DispatchState::Confirmed;
  TaskNumber Number = Task.Job_->FirstTask_ + Task.Index_;
  if (hasEnded(Report.State_)) {
    JournalEntry Entry;
    Entry.Number_ = Report.CpuMillis_;
    Entry.Text_ = Report.Checkpoint_;
    AttemptOutcome Outcome = AttemptOutcome::Stopped;
    if (Report.State_ == AttemptState::Finished)
      Outcome = AttemptOutcome::Finished;
    if (Report.State_ == AttemptState::Failed)
      Outcome = AttemptOutcome::Failed;
    if (taskRecord(Task).State_ == TaskState::Starting)
      Planner_.reportStart(Task.Worker_, Task.Job_->Number_,
                           Outcome != AttemptOutcome::Failed, Now);
    endAttempt(Task, Outcome, std::move(Entry), "worker report", Now);
    return;
  }
  TaskState State = taskRecord(Task).State_;
  if (State == TaskState::Starting && Report.State_ == AttemptState::Running) {
    Planner_.reportStart(Task.Worker_, Task.Job_->Number_, true, Now);
    stageTaskEntry(EntryKind::Started, Task, {});
  } else if (State == TaskState::Evicting) {
    if (Report.State_ != AttemptState::Checkpointing)
      queueCommand(Task, CommandKind::CheckpointStop);
    else if (Now - Task.StopRequestedAt_ > CheckpointTimeout)
      queueCommand(Task, CommandKind::Stop);
  } else if (State == TaskState::Stopping) {
    queueCommand(Task, CommandKind::Stop);
  }
  schedule::TaskUsage Usage;
  Usage.Task_ = Number;
  Usage.MeasuredAt_ = Workers_[Task.Worker_].SentAt_;
  if (Report.RunMillis_ > 0)
    Usage.Used_ = {Report.CpuMillis_ * 1000 / Report.RunMillis_,
                   Report.MemoryMbMillis_ / Report.RunMillis_,
                   Report.AcceleratorMillis_ / Report.RunMillis_};
  Usage.Speed_ = Report.SpeedPercent_ > 0 ? Report.SpeedPercent_ / 100.0 : -1;
  Planner_.reportUsage(Usage);
  updateUsage(Task, Report, Now);
}

void Partition::Impl::updateUsage(LiveTask &Task,
                                  const cluster::AttemptReport &Report,
                                  base::TimePoint Now) {
  const TaskRecord &Record = taskRecord(Task);
  if (Task.ExpectedEnd_ <= Now) {
    // Declared run times are inaccurate, so the remaining time is extrapolated
    // from the reported progress. Without one it is assumed to be a quarter of
    // the time already run.
    int64_t RemainingMs = Report.RunMillis_ / 4;
    if (Report.ProgressPercent_ > 0 && Report.ProgressPercent_ < 100)
      RemainingMs = Report.RunMillis_ * (100 - Report.ProgressPercent_) /
                    Report.ProgressPercent_;
    Task.ExpectedEnd_ = Now + std::chrono::milliseconds(RemainingMs);
  }
  bool NewCheckpoint =
      !Report.Checkpoint_.empty() && Report.Checkpoint_ != Record.Checkpoint_;
  if (NewCheckpoint)
    Planner_.reportCheckpoint(Task.Job_->FirstTask_ + Task.Index_, Now);
  bool UsageDue =
      wallClockMs() - Record.UsageCountedUntilMs_ >= UsageIntervalMs &&
      Report.CpuMillis_ > Record.CountedCpuMillis_;
  if (!NewCheckpoint && !UsageDue)
    return;
  JournalEntry Entry;
  Entry.Number_ = Report.CpuMillis_;
  if (NewCheckpoint)
    Entry.Text_ = Report.Checkpoint_;
  stageTaskEntry(EntryKind::Usage, Task, std::move(Entry));
}

// Estimates the CPU time since the last counted report, assuming that the
// requested CPU was fully used.
int64_t Partition::Impl::estimateUncountedCpuMs(const LiveTask &Task) {
  const TaskRecord &Record = taskRecord(Task);
  int64_t UncountedMs =
      std::max<int64_t>(0, wallClockMs() - Record.UsageCountedUntilMs_);
  return jobRecord(Task).Spec_.PerTask_.MilliCpu_ * UncountedMs / 1000;
}

} // namespace crocuslead::partition
