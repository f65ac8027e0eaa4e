#include "partition/internal/Impl.h"

#include <algorithm>

namespace crocuslead::partition {

using cluster::CommandKind;

namespace {

//! Poll intervals for an unreachable worker with and without active tasks. Such
//! a poll grants no lease, so that the worker's lease can expire.
constexpr base::Duration ProbeIntervalBusy = std::chrono::seconds(2);
constexpr base::Duration ProbeIntervalIdle = std::chrono::seconds(5);
//! Poll intervals while an attempt starts or stops, and for urgent tasks or an
//! eviction that an urgent task waits for. For the latter, 1 s used up most of
//! the 1.5 s within which an urgent task has to start.
constexpr base::Duration PollIntervalChanging = std::chrono::seconds(1);
constexpr base::Duration PollIntervalUrgent = std::chrono::milliseconds(100);
//! Clock drift allowed for when waiting for a lease to expire: 1 part in 100.
constexpr int64_t ClockDriftDivisor = 100;
//! Minimum poll interval for running tasks that have passed their expected end.
constexpr base::Duration MinPollIntervalOverdue = std::chrono::seconds(2);

} // namespace

WorkerState &Partition::Impl::findOrAddWorker(const std::string &Id) {
  auto [Found, Inserted] = WorkerNumbers_.try_emplace(
      Id, static_cast<WorkerNumber>(Workers_.size()));
  if (Inserted) {
    WorkerState NewWorker;
    NewWorker.Id_ = Id;
    NewWorker.Info_.Worker_ = Found->second;
    NewWorker.Info_.Schedulable_ = false;
    base::Duration Left = withClockMargin(Settings_.Times_.LongLeaseHorizon_);
    if (auto Known = HandedOverLeases_.find(Id);
        Known != HandedOverLeases_.end())
      Left = std::min(Left, Known->second);
    NewWorker.LeaseEnd_ = TakeoverAt_ + Left;
    Workers_.push_back(std::move(NewWorker));
  }
  return Workers_[Found->second];
}

void Partition::Impl::setWorkers(
    const std::vector<cluster::InstanceEntry> &Workers, base::TimePoint Now) {
  for (WorkerState &Worker : Workers_)
    Worker.Listed_ = false;
  auto FindOrAddNumber = [](std::map<std::string, uint32_t> &Table,
                            const std::string &Name) {
    return Table.try_emplace(Name, static_cast<uint32_t>(Table.size()))
        .first->second;
  };
  for (const cluster::InstanceEntry &Listed : Workers) {
    if (Listed.AgentAddress_.empty())
      continue;
    WorkerState &Worker = findOrAddWorker(Listed.Id_);
    Worker.Listed_ = true;
    Worker.Leaving_ = Listed.State_ == cluster::InstanceState::Leaving;
    Worker.Address_ = Listed.AgentAddress_;
    Worker.Domain_ = Listed.Domain_;
    Worker.Info_.Capacity_ = Listed.Capacity_;
    Worker.Info_.Rack_ = FindOrAddNumber(RackNumbers_, Listed.Rack_);
    Worker.Info_.Domain_ = FindOrAddNumber(DomainNumbers_, Listed.Domain_);
  }
  WorkersKnown_ = true;
  for (const auto &[Name, Number] : DomainNumbers_)
    Planner_.setDomainAvailable(Number, domainState(Name) ==
                                            config::DomainState::InService);
  for (WorkerState &Worker : Workers_)
    updatePlannerWorker(Worker);
  (void)Now;
}

void Partition::Impl::updatePlannerWorker(WorkerState &Worker) {
  bool InUse = Worker.Listed_ || !Worker.ActiveTasks_.empty();
  if (!InUse) {
    if (Worker.InPlanner_)
      Planner_.removeWorker(Worker.Info_.Worker_);
    Worker.InPlanner_ = false;
    return;
  }
  Worker.Info_.Schedulable_ = Worker.Listed_ && !Worker.Leaving_ &&
                              Worker.AnsweredThisEpoch_ && Worker.Reachable_;
  Worker.Info_.Leaving_ = Worker.Leaving_;
  Planner_.upsertWorker(Worker.Info_);
  Worker.InPlanner_ = true;
}

cluster::WorkerCommand
Partition::Impl::makeStartCommand(const LiveTask &Task) const {
  const JobRecord &Job = jobRecord(Task);
  cluster::WorkerCommand Command;
  Command.Kind_ = CommandKind::Start;
  Command.Task_ = taskName(Task);
  Command.Attempt_ = Job.Tasks_[Task.Index_].Attempt_;
  Command.Granted_ = Job.Spec_.PerTask_;
  Command.WorkKind_ = Job.Spec_.Kind_;
  Command.Workspace_ = Job.Spec_.Workspace_;
  Command.RunTimeMs_ = Job.Spec_.RunTimeMs_;
  Command.Checkpoint_ = Job.Tasks_[Task.Index_].Checkpoint_;
  Command.DeadlineWorkerMs_ = Task.StartDeadlineMs_;
  return Command;
}

void Partition::Impl::queueCommand(LiveTask &Task, CommandKind Kind) {
  WorkerState &Worker = Workers_[Task.Worker_];
  cluster::WorkerCommand Command;
  if (Kind == CommandKind::Start)
    Command = makeStartCommand(Task);
  Command.Kind_ = Kind;
  Command.Task_ = taskName(Task);
  Command.Attempt_ = taskRecord(Task).Attempt_;
  for (const cluster::WorkerCommand &Queued : Worker.Outbox_)
    if (Queued.Kind_ == Kind && Queued.Task_ == Command.Task_ &&
        Queued.Attempt_ == Command.Attempt_)
      return;
  Worker.Outbox_.push_back(std::move(Command));
}

base::Duration Partition::Impl::withClockMargin(base::Duration Interval) const {
  return Interval + Interval / ClockDriftDivisor +
         Settings_.Times_.ClockMargin_;
}

base::Duration Partition::Impl::leaseToGrant(base::TimePoint Now) const {
  const PartitionTimes &Times = Settings_.Times_;
  base::Duration ToHorizon = LastStoreContact_ + Times.LongLeaseHorizon_ - Now;
  if (Now - LastStoreContact_ >= Times.StoreOutageBeforeLongLease_)
    return std::max(ToHorizon, base::Duration(0));
  return std::min(Times.WorkerLease_, ToHorizon);
}

// The worker read its clock after the request was sent, so the estimate is
// ahead of that clock by one round trip at most.
int64_t Partition::Impl::estimateWorkerClockMs(const WorkerState &Worker,
                                               base::TimePoint Now) const {
  return Worker.ClockMs_ + base::toMillis(Now - Worker.ClockRequestSentAt_);
}

void Partition::Impl::grantLongLeases(base::TimePoint Now) {
  bool StoreLost =
      Now - LastStoreContact_ >= Settings_.Times_.StoreOutageBeforeLongLease_;
  if (StoreLost && !GrantsLongLeases_)
    for (WorkerState &Worker : Workers_)
      Worker.NextRenewalAt_ = std::min(Worker.NextRenewalAt_, Now);
  GrantsLongLeases_ = StoreLost;
}

void Partition::Impl::dropExpiredStarts(WorkerState &Worker,
                                        base::TimePoint Now) {
  std::vector<cluster::WorkerCommand> KeptCommands;
  std::vector<LiveTask *> ExpiredTasks;
  for (cluster::WorkerCommand &Command : Worker.Outbox_) {
    if (Command.Kind_ != CommandKind::Start) {
      KeptCommands.push_back(std::move(Command));
      continue;
    }
    LiveTask *Task = findTask(Command.Task_);
    if (Task == nullptr || Task->Dispatch_ != DispatchState::Queued ||
        taskRecord(*Task).Attempt_ != Command.Attempt_)
      continue;
    if (estimateWorkerClockMs(Worker, Now) > Command.DeadlineWorkerMs_)
      ExpiredTasks.push_back(Task);
    else
      KeptCommands.push_back(std::move(Command));
  }
  Worker.Outbox_.swap(KeptCommands);
  // The commands were never sent, so the attempts cannot be running.
  for (LiveTask *Task : ExpiredTasks)
    endAttempt(*Task, AttemptOutcome::NotStarted, {}, "start was too late",
               Now);
}

void Partition::Impl::sendMessages(base::TimePoint Now) {
  if (GrantsEnded_)
    return;
  for (WorkerState &Worker : Workers_) {
    if (Worker.Token_ != 0 || Worker.Address_.empty())
      continue;
    if (!Worker.Listed_ && Worker.ActiveTasks_.empty() &&
        Worker.Outbox_.empty())
      continue;
    dropExpiredStarts(Worker, Now);
    bool Due = Now >= Worker.NextRenewalAt_ || Now >= Worker.NextPollAt_;
    if (Due || (Worker.Reachable_ && !Worker.Outbox_.empty()))
      sendMessage(Worker, Now);
  }
}

void Partition::Impl::sendMessage(WorkerState &Worker, base::TimePoint Now) {
  WorkerAction Message;
  Message.Token_ = Worker.Token_ = NextToken_++;
  WorkerByToken_[Message.Token_] = Worker.Info_.Worker_;
  Message.Request_.Worker_ = Worker.Id_;
  Message.Request_.Address_ = Worker.Address_;
  Message.Request_.Epoch_ = Settings_.Epoch_;
  Worker.SentAt_ = Now;
  Worker.GrantedLease_ =
      Worker.Reachable_ ? leaseToGrant(Now) : base::Duration(0);
  Message.Request_.LeaseMs_ = base::toMillis(Worker.GrantedLease_);
  if (Worker.Reachable_)
    Worker.InFlight_.swap(Worker.Outbox_);
  for (const cluster::WorkerCommand &Command : Worker.InFlight_) {
    if (Command.Kind_ != CommandKind::Start)
      continue;
    // The deadline is only valid for the clock of this incarnation.
    Message.Request_.ExpectedIncarnation_ = Worker.Incarnation_;
    if (LiveTask *Task = findTask(Command.Task_))
      Task->Dispatch_ = DispatchState::Sent;
  }
  Message.Request_.Commands_ = Worker.InFlight_;
  Message.Request_.WantReport_ =
      !Worker.Reachable_ || !Worker.InFlight_.empty() ||
      Now >= Worker.NextPollAt_ || Now >= Worker.NextReportAt_;
  if (Message.Request_.WantReport_)
    Worker.NextReportAt_ = Now + Settings_.Times_.ReportInterval_;
  Worker.NextRenewalAt_ = Now + Settings_.Times_.RenewInterval_;
  Worker.NextPollAt_ = base::TimePoint::max();
  Actions_.emplace_back(std::move(Message));
}

// The worker may have received the message, so its grant counts until it has
// expired. Messages reach a worker in order and each grant replaces the
// previous one.
void Partition::Impl::handleMessageFailure(WorkerState &Worker,
                                           base::TimePoint Now) {
  if (Worker.GrantedLease_.count() > 0)
    Worker.LeaseEnd_ =
        std::max(Worker.LeaseEnd_, Now + withClockMargin(Worker.GrantedLease_));
  Worker.Reachable_ = false;
  Worker.NextPollAt_ = Now + (Worker.ActiveTasks_.empty() ? ProbeIntervalIdle
                                                          : ProbeIntervalBusy);
  updatePlannerWorker(Worker);
}

void Partition::Impl::expireLeases(base::TimePoint Now) {
  for (WorkerState &Worker : Workers_) {
    if (Worker.ActiveTasks_.empty())
      continue;
    bool GrantInFlight = Worker.Token_ != 0 && Worker.GrantedLease_.count() > 0;
    if (domainState(domainOf(Worker)) == config::DomainState::OutConfirmedDead)
      endLostAttempts(Worker, "failure domain confirmed dead", Now);
    else if (!GrantInFlight && Now >= Worker.LeaseEnd_)
      endLostAttempts(Worker, "worker lease ended", Now);
  }
}

void Partition::Impl::endLostAttempts(WorkerState &Worker, const char *Reason,
                                      base::TimePoint Now) {
  std::set<TaskNumber> LostTasks = Worker.ActiveTasks_;
  for (TaskNumber Number : LostTasks) {
    auto Task = Tasks_.find(Number);
    if (Task == Tasks_.end() ||
        Task->second.Dispatch_ == DispatchState::Uncommitted)
      continue;
    JournalEntry Entry;
    bool Sent = Task->second.Dispatch_ != DispatchState::Queued;
    Entry.EstimatedCpuMillis_ = Sent ? estimateUncountedCpuMs(Task->second) : 0;
    endAttempt(Task->second,
               Sent ? AttemptOutcome::Stopped : AttemptOutcome::NotStarted,
               std::move(Entry), Reason, Now);
  }
  updatePlannerWorker(Worker);
}

void Partition::Impl::schedulePoll(WorkerState &Worker, base::TimePoint Now) {
  base::TimePoint NextPoll = base::TimePoint::max();
  for (TaskNumber Number : Worker.ActiveTasks_) {
    LiveTask &Task = Tasks_.at(Number);
    bool Urgent = jobRecord(Task).Spec_.Urgent_;
    if (taskRecord(Task).State_ == TaskState::Running)
      NextPoll =
          std::min(NextPoll, std::max(Task.ExpectedEnd_,
                                      Now + (Urgent ? PollIntervalUrgent
                                                    : MinPollIntervalOverdue)));
    else
      NextPoll = std::min(NextPoll, Now + (Task.BlocksUrgentTask_
                                               ? PollIntervalUrgent
                                               : PollIntervalChanging));
  }
  Worker.NextPollAt_ = std::min(Worker.NextPollAt_, NextPoll);
}

} // namespace crocuslead::partition
