#include "partition/internal/Impl.h"

#include <algorithm>

namespace crocuslead::partition {

using cluster::AttemptState;
using cluster::CommandKind;
using cluster::CommandStatus;

namespace {

//! Usage is journalled at most this often for each task; the rest waits for the
//! next report, because the counters are cumulative.
constexpr int64_t UsageIntervalMs = 60'000;
//! A checkpoint that takes longer ends with a plain stop.
constexpr base::Duration CheckpointLimit = std::chrono::minutes(2);

bool isOver(AttemptState State) {
  return State == AttemptState::Finished || State == AttemptState::Failed ||
         State == AttemptState::Stopped;
}

} // namespace

void Partition::Impl::workerReply(
    uint64_t Token,
    const std::variant<cluster::WorkerReply, base::Error> &Reply,
    base::TimePoint Now) {
  auto Found = Tokens_.find(Token);
  if (Found == Tokens_.end() || Journal_.fenced())
    return;
  Now_ = std::max(Now_, Now);
  WorkerLink &Worker = Workers_[Found->second];
  Tokens_.erase(Found);
  Worker.Token_ = 0;
  const auto *Answer = std::get_if<cluster::WorkerReply>(&Reply);
  if (Answer == nullptr) {
    messageFailed(Worker, Now);
    Worker.InFlight_.clear();
    return;
  }
  if (Answer->EpochRefused_) {
    Journal_.fence();
    return;
  }
  bool Restarted = !Worker.Incarnation_.empty() &&
                   Worker.Incarnation_ != Answer->Incarnation_;
  bool First = !Worker.Reached_;
  bool WasReachable = Worker.Reachable_;
  // A restart is settled by the first report of the new incarnation.
  if (Answer->HasReport_ || !Restarted)
    Worker.Incarnation_ = Answer->Incarnation_;
  if (Answer->Changed_ || (Restarted && !Answer->HasReport_))
    Worker.NextPollAt_ = Now;
  Worker.ClockMs_ = Answer->WorkerClockMs_;
  Worker.ClockSentAt_ = Worker.SentAt_;
  Worker.Reached_ = Worker.Reachable_ = true;
  // Only this epoch's grants and one before it can be in force, and a grant
  // replaces the one before.
  if (Worker.Grant_.count() > 0)
    Worker.LeaseEnd_ = Now + withMargin(Worker.Grant_);
  else if (First && Answer->HasReport_ && Answer->Attempts_.empty())
    Worker.LeaseEnd_ = Now;
  readCommandReplies(Worker, *Answer, Now);
  if (Answer->HasReport_)
    readReport(Worker, *Answer, Restarted, Now);
  Worker.InFlight_.clear();
  if (!WasReachable) {
    Worker.NextRenewAt_ = Now;
    publishWorker(Worker);
  }
  schedulePoll(Worker, Now);
}

void Partition::Impl::readCommandReplies(const WorkerLink &Worker,
                                         const cluster::WorkerReply &Reply,
                                         base::TimePoint Now) {
  std::size_t Count = std::min(Worker.InFlight_.size(), Reply.Commands_.size());
  for (std::size_t I = 0; I < Count; ++I) {
    const cluster::WorkerCommand &Command = Worker.InFlight_[I];
    if (Command.Kind_ != CommandKind::Start)
      continue;
    LiveTask *Task = findTask(Command.Task_);
    if (Task == nullptr || Task->Dispatch_ != Dispatch::Sent ||
        record(*Task).Attempt_ != Command.Attempt_)
      continue;
    const cluster::CommandReply &Result = Reply.Commands_[I];
    if (Result.Status_ == CommandStatus::Done) {
      Task->Dispatch_ = Dispatch::Known;
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

void Partition::Impl::readReport(WorkerLink &Worker,
                                 const cluster::WorkerReply &Reply,
                                 bool Restarted, base::TimePoint Now) {
  if (!Restarted && Reply.ReportSequence_ <= Worker.ReportSequence_)
    return;
  Worker.ReportSequence_ = Reply.ReportSequence_;
  std::set<TaskNumber> Missing = Worker.Active_;
  for (const cluster::AttemptReport &Report : Reply.Attempts_) {
    LiveTask *Task = findTask(Report.Task_);
    if (Task != nullptr && record(*Task).Attempt_ == Report.Attempt_)
      Missing.erase(Task->Job_->FirstTask_ + Task->Index_);
    readAttempt(Worker, Report, Now);
  }
  for (TaskNumber Number : Missing) {
    auto Found = Tasks_.find(Number);
    if (Found == Tasks_.end())
      continue;
    LiveTask &Task = Found->second;
    if (Task.Dispatch_ == Dispatch::Undurable ||
        Task.Dispatch_ == Dispatch::Queued)
      continue;
    // An unanswered start can still arrive until its deadline has passed.
    if (Task.Dispatch_ == Dispatch::Sent &&
        Reply.WorkerClockMs_ <= Task.DeadlineMs_)
      continue;
    bool Ran = Restarted || record(Task).HeldCountedUntilMs_ != 0;
    JournalEntry Change;
    Change.EstimatedCpuMillis_ = Ran ? estimateOf(Task) : 0;
    endAttempt(Task, Ran ? AttemptOutcome::Stopped : AttemptOutcome::NotStarted,
               std::move(Change),
               Restarted ? "worker restarted" : "unknown to its worker", Now);
  }
}

void Partition::Impl::readAttempt(WorkerLink &Worker,
                                  const cluster::AttemptReport &Report,
                                  base::TimePoint Now) {
  LiveTask *Task = findTask(Report.Task_);
  bool Active = Task != nullptr && holdsWorker(record(*Task).State_) &&
                record(*Task).Attempt_ == Report.Attempt_ &&
                Task->Worker_ == Worker.Info_.Worker_ &&
                Task->Dispatch_ != Dispatch::Undurable;
  if (Active)
    readActive(*Task, Report, Now);
  else
    readUnknown(Worker, Report);
}

void Partition::Impl::readUnknown(WorkerLink &Worker,
                                  const cluster::AttemptReport &Report) {
  if (Ending_.count(Report.Task_ + "#" + std::to_string(Report.Attempt_)) != 0)
    return;
  cluster::WorkerCommand Command;
  Command.Kind_ =
      isOver(Report.State_) ? CommandKind::Forget : CommandKind::Stop;
  Command.Task_ = Report.Task_;
  Command.Attempt_ = Report.Attempt_;
  for (const cluster::WorkerCommand &Queued : Worker.Outbox_)
    if (Queued.Kind_ == Command.Kind_ && Queued.Task_ == Command.Task_ &&
        Queued.Attempt_ == Command.Attempt_)
      return;
  Worker.Outbox_.push_back(std::move(Command));
}

void Partition::Impl::readActive(LiveTask &Task,
                                 const cluster::AttemptReport &Report,
                                 base::TimePoint Now) {
  Task.Dispatch_ = Dispatch::Known;
  TaskNumber Number = Task.Job_->FirstTask_ + Task.Index_;
  if (isOver(Report.State_)) {
    JournalEntry Change;
    Change.Number_ = Report.CpuMillis_;
    Change.Text_ = Report.Checkpoint_;
    AttemptOutcome How = AttemptOutcome::Stopped;
    if (Report.State_ == AttemptState::Finished)
      How = AttemptOutcome::Finished;
    if (Report.State_ == AttemptState::Failed)
      How = AttemptOutcome::Failed;
    if (record(Task).State_ == TaskState::Starting)
      Planner_.reportStart(Task.Worker_, Task.Job_->Number_,
                           How != AttemptOutcome::Failed, Now);
    endAttempt(Task, How, std::move(Change), "worker report", Now);
    return;
  }
  TaskState State = record(Task).State_;
  if (State == TaskState::Starting && Report.State_ == AttemptState::Running) {
    Planner_.reportStart(Task.Worker_, Task.Job_->Number_, true, Now);
    stageTask(EntryKind::Started, Task, {});
  } else if (State == TaskState::Evicting) {
    if (Report.State_ != AttemptState::Checkpointing)
      queueCommand(Task, CommandKind::CheckpointStop);
    else if (Now - Task.StopSince_ > CheckpointLimit)
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
  countUsage(Task, Report, Now);
}

void Partition::Impl::countUsage(LiveTask &Task,
                                 const cluster::AttemptReport &Report,
                                 base::TimePoint Now) {
  const TaskRecord &Record = record(Task);
  if (Task.ExpectedEnd_ <= Now) {
    // Declared run times are far off; the progress gives a better guess, and
    // without it the delay grows with the time already run.
    int64_t Left = Report.RunMillis_ / 4;
    if (Report.ProgressPercent_ > 0 && Report.ProgressPercent_ < 100)
      Left = Report.RunMillis_ * (100 - Report.ProgressPercent_) /
             Report.ProgressPercent_;
    Task.ExpectedEnd_ = Now + std::chrono::milliseconds(Left);
  }
  bool NewCheckpoint =
      !Report.Checkpoint_.empty() && Report.Checkpoint_ != Record.Checkpoint_;
  if (NewCheckpoint)
    Planner_.reportCheckpoint(Task.Job_->FirstTask_ + Task.Index_, Now);
  bool Due = wallMs() - Record.UsageCountedUntilMs_ >= UsageIntervalMs &&
             Report.CpuMillis_ > Record.CountedCpuMillis_;
  if (!NewCheckpoint && !Due)
    return;
  JournalEntry Change;
  Change.Number_ = Report.CpuMillis_;
  if (NewCheckpoint)
    Change.Text_ = Report.Checkpoint_;
  stageTask(EntryKind::Usage, Task, std::move(Change));
}

// Fills the gap since the last counted report with the granted share.
int64_t Partition::Impl::estimateOf(const LiveTask &Task) {
  const TaskRecord &Record = record(Task);
  int64_t Gap = std::max<int64_t>(0, wallMs() - Record.UsageCountedUntilMs_);
  return jobOf(Task).Spec_.PerTask_.MilliCpu_ * Gap / 1000;
}

} // namespace crocuslead::partition
