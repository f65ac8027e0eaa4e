#include "partition/internal/Impl.h"

#include <algorithm>

namespace crocuslead::partition {

using cluster::CommandKind;

namespace {

//! Delay between questions to a worker that does not answer, with and without
//! tasks; such a question grants no lease, so that the lease can end.
constexpr base::Duration ProbeBusy = std::chrono::seconds(2);
constexpr base::Duration ProbeIdle = std::chrono::seconds(5);
//! Delay between questions while an attempt starts or stops, and while urgent
//! work waits for the stop: 1 s there took most of the 1.5 s that urgent work
//! has until its start.
constexpr base::Duration PollChanging = std::chrono::seconds(1);
constexpr base::Duration PollForUrgent = std::chrono::milliseconds(100);
//! Shortest delay between questions about tasks past their declared end.
constexpr base::Duration PollEnding = std::chrono::seconds(2);

} // namespace

WorkerLink &Partition::Impl::workerByName(const std::string &Id) {
  auto [Found, New] = WorkerNumbers_.try_emplace(
      Id, static_cast<WorkerNumber>(Workers_.size()));
  if (New) {
    WorkerLink Link;
    Link.Id_ = Id;
    Link.Info_.Worker_ = Found->second;
    Link.Info_.Schedulable_ = false;
    Link.LeaseEnd_ =
        TakeoverAt_ + withMargin(Settings_.Times_.LongLeaseHorizon_);
    Workers_.push_back(std::move(Link));
  }
  return Workers_[Found->second];
}

void Partition::Impl::setWorkers(
    const std::vector<cluster::InstanceEntry> &Workers, base::TimePoint Now) {
  for (WorkerLink &Worker : Workers_)
    Worker.Listed_ = false;
  auto NumberOf = [](std::map<std::string, uint32_t> &Table,
                     const std::string &Name) {
    return Table.try_emplace(Name, static_cast<uint32_t>(Table.size()))
        .first->second;
  };
  for (const cluster::InstanceEntry &Listed : Workers) {
    if (Listed.AgentAddress_.empty())
      continue;
    WorkerLink &Worker = workerByName(Listed.Id_);
    Worker.Listed_ = true;
    Worker.Leaving_ = Listed.State_ == cluster::InstanceState::Leaving;
    Worker.Address_ = Listed.AgentAddress_;
    Worker.Domain_ = Listed.Domain_;
    Worker.Info_.Capacity_ = Listed.Capacity_;
    Worker.Info_.Rack_ = NumberOf(Racks_, Listed.Rack_);
    Worker.Info_.Domain_ = NumberOf(Domains_, Listed.Domain_);
  }
  WorkersKnown_ = true;
  for (const auto &[Name, Number] : Domains_)
    Planner_.setDomainAvailable(Number, domainState(Name) ==
                                            config::DomainState::InService);
  for (WorkerLink &Worker : Workers_)
    publishWorker(Worker);
  (void)Now;
}

void Partition::Impl::publishWorker(WorkerLink &Worker) {
  bool Wanted = Worker.Listed_ || !Worker.Active_.empty();
  if (!Wanted) {
    if (Worker.InPlanner_)
      Planner_.removeWorker(Worker.Info_.Worker_);
    Worker.InPlanner_ = false;
    return;
  }
  Worker.Info_.Schedulable_ = Worker.Listed_ && !Worker.Leaving_ &&
                              Worker.Reached_ && Worker.Reachable_;
  Worker.Info_.Leaving_ = Worker.Leaving_;
  Planner_.upsertWorker(Worker.Info_);
  Worker.InPlanner_ = true;
}

cluster::WorkerCommand
Partition::Impl::startCommand(const LiveTask &Task) const {
  const JobRecord &Job = jobOf(Task);
  cluster::WorkerCommand Command;
  Command.Kind_ = CommandKind::Start;
  Command.Task_ = nameOf(Task);
  Command.Attempt_ = Job.Tasks_[Task.Index_].Attempt_;
  Command.Granted_ = Job.Spec_.PerTask_;
  Command.WorkKind_ = Job.Spec_.Kind_;
  Command.Workspace_ = Job.Spec_.Workspace_;
  Command.RunTimeMs_ = Job.Spec_.RunTimeMs_;
  Command.Checkpoint_ = Job.Tasks_[Task.Index_].Checkpoint_;
  Command.DeadlineWorkerMs_ = Task.DeadlineMs_;
  return Command;
}

void Partition::Impl::queueCommand(LiveTask &Task, CommandKind Kind) {
  WorkerLink &Worker = Workers_[Task.Worker_];
  cluster::WorkerCommand Command;
  if (Kind == CommandKind::Start)
    Command = startCommand(Task);
  Command.Kind_ = Kind;
  Command.Task_ = nameOf(Task);
  Command.Attempt_ = record(Task).Attempt_;
  for (const cluster::WorkerCommand &Queued : Worker.Outbox_)
    if (Queued.Kind_ == Kind && Queued.Task_ == Command.Task_ &&
        Queued.Attempt_ == Command.Attempt_)
      return;
  Worker.Outbox_.push_back(std::move(Command));
}

base::Duration Partition::Impl::withMargin(base::Duration Wait) const {
  return Wait + Wait / 100 + Settings_.Times_.ClockMargin_;
}

base::Duration Partition::Impl::grantNow(base::TimePoint Now) const {
  const PartitionTimes &Times = Settings_.Times_;
  base::Duration ToHorizon = Contact_ + Times.LongLeaseHorizon_ - Now;
  if (Now - Contact_ >= Times.StoreOutageBeforeLongLease_)
    return std::max(ToHorizon, base::Duration(0));
  return std::min(Times.WorkerLease_, ToHorizon);
}

// The reading is taken after the request was sent, so this is at most one round
// trip ahead of the worker's clock.
int64_t Partition::Impl::workerClock(const WorkerLink &Worker,
                                     base::TimePoint Now) const {
  return Worker.ClockMs_ + base::toMillis(Now - Worker.ClockSentAt_);
}

void Partition::Impl::pushLongLeases(base::TimePoint Now) {
  bool Lost = Now - Contact_ >= Settings_.Times_.StoreOutageBeforeLongLease_;
  if (Lost && !LongLeases_)
    for (WorkerLink &Worker : Workers_)
      Worker.NextRenewAt_ = std::min(Worker.NextRenewAt_, Now);
  LongLeases_ = Lost;
}

void Partition::Impl::dropLateStarts(WorkerLink &Worker, base::TimePoint Now) {
  std::vector<cluster::WorkerCommand> Kept;
  std::vector<LiveTask *> Late;
  for (cluster::WorkerCommand &Command : Worker.Outbox_) {
    if (Command.Kind_ != CommandKind::Start) {
      Kept.push_back(std::move(Command));
      continue;
    }
    LiveTask *Task = findTask(Command.Task_);
    if (Task == nullptr || Task->Dispatch_ != Dispatch::Queued ||
        record(*Task).Attempt_ != Command.Attempt_)
      continue;
    if (workerClock(Worker, Now) > Command.DeadlineWorkerMs_)
      Late.push_back(Task);
    else
      Kept.push_back(std::move(Command));
  }
  Worker.Outbox_.swap(Kept);
  // The command was never sent, so the attempt certainly does not run.
  for (LiveTask *Task : Late)
    endAttempt(*Task, AttemptOutcome::NotStarted, {}, "start was too late",
               Now);
}

void Partition::Impl::sendMessages(base::TimePoint Now) {
  for (WorkerLink &Worker : Workers_) {
    if (Worker.Token_ != 0 || Worker.Address_.empty())
      continue;
    if (!Worker.Listed_ && Worker.Active_.empty() && Worker.Outbox_.empty())
      continue;
    dropLateStarts(Worker, Now);
    bool Due = Now >= Worker.NextRenewAt_ || Now >= Worker.NextPollAt_;
    if (Due || (Worker.Reachable_ && !Worker.Outbox_.empty()))
      sendMessage(Worker, Now);
  }
}

void Partition::Impl::sendMessage(WorkerLink &Worker, base::TimePoint Now) {
  WorkerAction Out;
  Out.Token_ = Worker.Token_ = NextToken_++;
  Tokens_[Out.Token_] = Worker.Info_.Worker_;
  Out.Request_.Worker_ = Worker.Id_;
  Out.Request_.Address_ = Worker.Address_;
  Out.Request_.Epoch_ = Settings_.Epoch_;
  Worker.SentAt_ = Now;
  Worker.Grant_ = Worker.Reachable_ ? grantNow(Now) : base::Duration(0);
  Out.Request_.LeaseMs_ = base::toMillis(Worker.Grant_);
  if (Worker.Reachable_)
    Worker.InFlight_.swap(Worker.Outbox_);
  for (const cluster::WorkerCommand &Command : Worker.InFlight_) {
    if (Command.Kind_ != CommandKind::Start)
      continue;
    // The deadline is a reading of this incarnation's clock.
    Out.Request_.ExpectedIncarnation_ = Worker.Incarnation_;
    if (LiveTask *Task = findTask(Command.Task_))
      Task->Dispatch_ = Dispatch::Sent;
  }
  Out.Request_.Commands_ = Worker.InFlight_;
  Out.Request_.WantReport_ = !Worker.Reachable_ || !Worker.InFlight_.empty() ||
                             Now >= Worker.NextPollAt_ ||
                             Now >= Worker.NextReportAt_;
  if (Out.Request_.WantReport_)
    Worker.NextReportAt_ = Now + Settings_.Times_.ReportInterval_;
  Worker.NextRenewAt_ = Now + Settings_.Times_.RenewInterval_;
  Worker.NextPollAt_ = base::TimePoint::max();
  Actions_.emplace_back(std::move(Out));
}

// Messages reach a worker in order, and a granted lease replaces the one
// before.
void Partition::Impl::messageFailed(WorkerLink &Worker, base::TimePoint Now) {
  if (Worker.Grant_.count() > 0)
    Worker.LeaseEnd_ =
        std::max(Worker.LeaseEnd_, Now + withMargin(Worker.Grant_));
  Worker.Reachable_ = false;
  Worker.NextPollAt_ = Now + (Worker.Active_.empty() ? ProbeIdle : ProbeBusy);
  publishWorker(Worker);
}

void Partition::Impl::expireLeases(base::TimePoint Now) {
  for (WorkerLink &Worker : Workers_) {
    if (Worker.Active_.empty())
      continue;
    bool Granting = Worker.Token_ != 0 && Worker.Grant_.count() > 0;
    if (domainState(domainOf(Worker)) == config::DomainState::OutConfirmedDead)
      loseTasks(Worker, "failure domain confirmed dead", Now);
    else if (!Granting && Now >= Worker.LeaseEnd_)
      loseTasks(Worker, "worker lease ended", Now);
  }
}

void Partition::Impl::loseTasks(WorkerLink &Worker, const char *Reason,
                                base::TimePoint Now) {
  std::set<TaskNumber> Lost = Worker.Active_;
  for (TaskNumber Number : Lost) {
    auto Task = Tasks_.find(Number);
    if (Task == Tasks_.end() || Task->second.Dispatch_ == Dispatch::Undurable)
      continue;
    JournalEntry Change;
    bool Sent = Task->second.Dispatch_ != Dispatch::Queued;
    Change.EstimatedCpuMillis_ = Sent ? estimateOf(Task->second) : 0;
    endAttempt(Task->second,
               Sent ? AttemptOutcome::Stopped : AttemptOutcome::NotStarted,
               std::move(Change), Reason, Now);
  }
  publishWorker(Worker);
}

void Partition::Impl::schedulePoll(WorkerLink &Worker, base::TimePoint Now) {
  base::TimePoint At = base::TimePoint::max();
  for (TaskNumber Number : Worker.Active_) {
    LiveTask &Task = Tasks_.at(Number);
    bool Urgent = jobOf(Task).Spec_.Urgent_;
    if (record(Task).State_ == TaskState::Running)
      At = std::min(At, std::max(Task.ExpectedEnd_,
                                 Now + (Urgent ? PollForUrgent : PollEnding)));
    else
      At = std::min(At,
                    Now + (Task.UrgentWaits_ ? PollForUrgent : PollChanging));
  }
  Worker.NextPollAt_ = std::min(Worker.NextPollAt_, At);
}

} // namespace crocuslead::partition
