#include "partition/internal/Impl.h"

#include "base/NameTable.h"

#include <algorithm>

namespace crocuslead::partition {

using cluster::CommandKind;
using schedule::DecisionKind;

namespace {

constexpr std::size_t MaxDecisionsPerTick = 200;
//! Delay before a task that fits no worker is planned again. Its job is not
//! rejected while other tasks of it run or another partition may take it.
constexpr base::Duration NoFitRetryDelay = std::chrono::minutes(5);

constexpr auto ReasonNames = base::makeNameTable<schedule::Reason>(
    {{schedule::Reason::BestFit, "best-fit"},
     {schedule::Reason::UrgentFirst, "urgent-first"},
     {schedule::Reason::ReclaimedShare, "reclaimed-share"},
     {schedule::Reason::UrgentPreemption, "make-room-for-urgent"},
     {schedule::Reason::Interference, "interference"},
     {schedule::Reason::DomainOut, "domain-out"},
     {schedule::Reason::WorkerLeaving, "worker-leaving"},
     {schedule::Reason::NoCapacity, "no-room"},
     {schedule::Reason::OverShare, "over-share"},
     {schedule::Reason::DomainUnavailable, "domain-unavailable"},
     {schedule::Reason::NeverFits, "never-fits"},
     {schedule::Reason::WorkerQuarantined, "worker-set-aside"},
     {schedule::Reason::GangIncomplete, "gang-incomplete"}});

uint32_t findOrAddNumber(std::map<std::string, uint32_t> &Table,
                         const std::string &Name) {
  return Table.try_emplace(Name, static_cast<uint32_t>(Table.size()))
      .first->second;
}

std::string describeResources(const base::Resources &Value) {
  return std::to_string(Value.MilliCpu_) + " milli-CPU, " +
         std::to_string(Value.MemoryMb_) + " MB, " +
         std::to_string(Value.Accelerators_) + " accelerators";
}

} // namespace

std::string reasonName(schedule::Reason Value) {
  return std::string(ReasonNames.name(Value));
}

schedule::PendingTask
Partition::Impl::makePendingTask(const LiveTask &Task) const {
  const JobRecord &Job = jobRecord(Task);
  auto &MutableThis = const_cast<Impl &>(*this);
  schedule::PendingTask Out;
  Out.Task_ = Task.Job_->FirstTask_ + Task.Index_;
  Out.Job_ = Task.Job_->Number_;
  Out.Workspace_ =
      findOrAddNumber(MutableThis.WorkspaceNumbers_, Job.Spec_.Workspace_);
  Out.Kind_ = findOrAddNumber(MutableThis.KindNumbers_, Job.Spec_.Kind_);
  Out.Class_ = Job.Spec_.Class_;
  Out.Urgent_ = Job.Spec_.Urgent_;
  Out.Deferrable_ = Job.Spec_.Deferrable_;
  if (Job.Spec_.Gang_) {
    Out.Gang_ = Task.Job_->Number_;
    Out.GangSize_ = static_cast<uint32_t>(std::count_if(
        Job.Tasks_.begin(), Job.Tasks_.end(), [](const TaskRecord &Record) {
          return Record.State_ != TaskState::Finished;
        }));
  }
  Out.Request_ = Job.Spec_.PerTask_;
  // The waiting time starts at the submission and survives a change of owner.
  Out.Submitted_ = Now_ - std::chrono::milliseconds(std::max<int64_t>(
                              0, wallClockMs() - Job.SubmittedMs_));
  Out.Restarts_ = Job.Tasks_[Task.Index_].Evictions_;
  return Out;
}

void Partition::Impl::queueTask(LiveTask &Task, base::TimePoint Now) {
  const JobRecord &Job = jobRecord(Task);
  const TaskRecord &Record = Job.Tasks_[Task.Index_];
  if (Record.State_ != TaskState::Pending || Task.InPlanner_ ||
      Job.Cancelled_ || Task.Job_->CancelRequested_ ||
      Job.TransferPhase_ != TransferPhase::None)
    return;
  TaskNumber Number = Task.Job_->FirstTask_ + Task.Index_;
  if (Task.NotBefore_ > Now) {
    Backoffs_.insert({Task.NotBefore_, Number});
    return;
  }
  if (Job.Spec_.Gang_) {
    queueGang(*Task.Job_, Now);
    return;
  }
  Task.InPlanner_ = true;
  Planner_.addPending(makePendingTask(Task));
}

// The tasks of a gang start together, so none is queued while another one still
// holds a worker or is in backoff.
void Partition::Impl::queueGang(LiveJob &Job, base::TimePoint Now) {
  const JobRecord &Record = *State_.find(Job.Id_);
  std::vector<LiveTask *> TasksToQueue;
  for (uint32_t I = 0; I < Record.Tasks_.size(); ++I) {
    LiveTask &Task = Tasks_[Job.FirstTask_ + I];
    if (holdsWorker(Record.Tasks_[I].State_))
      return;
    if (Record.Tasks_[I].State_ != TaskState::Pending || Task.InPlanner_)
      continue;
    if (Task.NotBefore_ > Now)
      return;
    TasksToQueue.push_back(&Task);
  }
  for (LiveTask *Task : TasksToQueue) {
    Task->InPlanner_ = true;
    Planner_.addPending(makePendingTask(*Task));
  }
}

void Partition::Impl::queueTasksAfterBackoff(base::TimePoint Now) {
  while (!Backoffs_.empty() && Backoffs_.begin()->first <= Now) {
    TaskNumber Number = Backoffs_.begin()->second;
    Backoffs_.erase(Backoffs_.begin());
    auto Task = Tasks_.find(Number);
    if (Task != Tasks_.end())
      queueTask(Task->second, Now);
  }
}

config::DomainState
Partition::Impl::domainState(const std::string &Domain) const {
  auto Found = Config_.Domains_.find(Domain);
  return Found == Config_.Domains_.end() ? config::DomainState::InService
                                         : Found->second.State_;
}

std::string Partition::Impl::ownDomain() const {
  if (!Settings_.Domain_.empty())
    return Settings_.Domain_;
  for (const WorkerState &Worker : Workers_)
    if (!Worker.Domain_.empty())
      return Worker.Domain_;
  return {};
}

// A worker that the instance list has not contained in this epoch has no known
// domain; it is taken to be in the partition's.
const std::string &Partition::Impl::domainOf(const WorkerState &Worker) const {
  return Worker.Domain_.empty() ? Settings_.Domain_ : Worker.Domain_;
}

void Partition::Impl::configure(const config::Configuration &Config,
                                const base::Resources &FleetCapacity,
                                base::TimePoint Now) {
  Now_ = std::max(Now_, Now);
  Config_ = Config;
  FleetCapacity_ = FleetCapacity;
  Configured_ = true;
  Journal_.setDomainsRevision(Config.DomainsRevision_);
  for (const auto &[Name, Number] : DomainNumbers_)
    Planner_.setDomainAvailable(Number, domainState(Name) ==
                                            config::DomainState::InService);
  updateWorkspaceShares();
}

void Partition::Impl::updateWorkspaceShares() {
  std::vector<schedule::WorkspaceShare> Shares;
  for (const auto &[Name, Value] : Config_.Workspaces_) {
    schedule::WorkspaceShare Share;
    Share.Workspace_ = findOrAddNumber(WorkspaceNumbers_, Name);
    Share.Name_ = Name;
    Share.AgreedShare_ = Value.AgreedShare_;
    Share.Priority_ = Value.Priority_;
    base::Resources UsedElsewhere;
    for (const PartitionSummary &Peer : Peers_)
      if (auto Held = Peer.HeldByWorkspace_.find(Name);
          Held != Peer.HeldByWorkspace_.end())
        UsedElsewhere += Held->second;
    Share.UsedElsewhere_ = base::dominantShare(UsedElsewhere, FleetCapacity_);
    Shares.push_back(std::move(Share));
  }
  Planner_.setWorkspaces(std::move(Shares), FleetCapacity_);
}

void Partition::Impl::setPeerSummaries(
    std::vector<PartitionSummary> Summaries) {
  for (const PartitionSummary &OldSummary : Peers_)
    for (const PartitionSummary &NewSummary : Summaries)
      if (NewSummary.Id_ == OldSummary.Id_ &&
          !(NewSummary.Free_ == OldSummary.Free_))
        OfferedCapacity_.erase(NewSummary.Id_);
  Peers_ = std::move(Summaries);
  updateWorkspaceShares();
}

void Partition::Impl::plan(base::TimePoint Now) {
  if (HandingOver_ || !Configured_ || !WorkersKnown_ ||
      !hasRecentStoreContact(Now) || Journal_.startsBlocked())
    return;
  for (const schedule::Decision &Decision :
       Planner_.plan(Now, MaxDecisionsPerTick))
    applyDecision(Decision, Now);
}

void Partition::Impl::applyDecision(const schedule::Decision &Decision,
                                    base::TimePoint Now) {
  auto Found = Tasks_.find(Decision.Task_);
  if (Found == Tasks_.end())
    return;
  LiveTask &Task = Found->second;
  switch (Decision.Kind_) {
  case DecisionKind::Start:
    stageStart(Task, Decision, Now);
    return;
  case DecisionKind::Evict:
    Task.EvictionRequested_ = true;
    Task.BlocksUrgentTask_ =
        Decision.Reason_ == schedule::Reason::UrgentPreemption;
    if (Task.Dispatch_ != DispatchState::Uncommitted)
      evict(Task, ReasonNames.name(Decision.Reason_).data(), Now);
    return;
  case DecisionKind::Throttle: {
    // Throttles are not journalled: they hold no resources, and a new owner
    // derives them again from measurements.
    if (!holdsWorker(taskRecord(Task).State_) ||
        Task.Dispatch_ == DispatchState::Uncommitted)
      return;
    queueCommand(Task, CommandKind::Throttle);
    for (cluster::WorkerCommand &Command : Workers_[Task.Worker_].Outbox_)
      if (Command.Kind_ == CommandKind::Throttle &&
          Command.Task_ == taskName(Task))
        Command.ThrottlePercent_ = Decision.ThrottlePercent_;
    logDecision(taskName(Task), "throttle", reasonName(Decision.Reason_),
                Workers_[Task.Worker_].Id_);
    return;
  }
  case DecisionKind::Reject:
    if (canRunElsewhere(jobRecord(Task))) {
      if (Task.InPlanner_)
        Planner_.removePending(Decision.Task_);
      Task.InPlanner_ = false;
      Task.NotBefore_ = Now + NoFitRetryDelay;
      queueTask(Task, Now);
      return;
    }
    rejectJob(Task,
              reasonName(Decision.Reason_) +
                  "; nearest size: " + describeResources(Decision.NearestFit_),
              Now);
    return;
  }
}

void Partition::Impl::stageStart(LiveTask &Task,
                                 const schedule::Decision &Decision,
                                 base::TimePoint Now) {
  TaskNumber Number = Decision.Task_;
  WorkerState &Worker = Workers_[Decision.Worker_];
  Task.InPlanner_ = false;
  JournalEntry Entry;
  Entry.Attempt_ = taskRecord(Task).Attempt_ + 1;
  Entry.Text_ = Worker.Id_;
  uint32_t Attempt = Entry.Attempt_;
  if (Task.Job_->CancelRequested_ ||
      !stageTaskEntry(EntryKind::Start, Task, std::move(Entry),
                      [this, Number, Attempt](base::TimePoint At) {
                        onStartDurable(Number, Attempt, At);
                      })) {
    Planner_.release(Number);
    return;
  }
  Task.Dispatch_ = DispatchState::Uncommitted;
  Task.EvictionRequested_ = Task.BlocksUrgentTask_ = false;
  Task.Worker_ = Decision.Worker_;
  Task.StartDeadlineMs_ = estimateWorkerClockMs(Worker, Now) +
                          base::toMillis(Settings_.Times_.StartDeadline_);
  int64_t RunMs = jobRecord(Task).Spec_.RunTimeMs_;
  // The progress stored in a checkpoint is unknown, so the end is assumed
  // early, after an eighth of the declared run time. While the task goes on,
  // updateUsage() postpones it, by a quarter of the time run if no progress is
  // reported.
  if (!taskRecord(Task).Checkpoint_.empty())
    RunMs = (RunMs + 7) / 8;
  Task.ExpectedEnd_ = RunMs > 0 ? Now + std::chrono::milliseconds(RunMs)
                                : base::TimePoint::max();
  Worker.ActiveTasks_.insert(Number);
  logDecision(taskName(Task), "start", reasonName(Decision.Reason_),
              Worker.Id_);
}

void Partition::Impl::onStartDurable(TaskNumber Number, uint32_t Attempt,
                                     base::TimePoint Now) {
  auto Found = Tasks_.find(Number);
  if (Found == Tasks_.end() || taskRecord(Found->second).Attempt_ != Attempt ||
      Found->second.Dispatch_ != DispatchState::Uncommitted)
    return;
  LiveTask &Task = Found->second;
  Task.Dispatch_ = DispatchState::Queued;
  queueCommand(Task, CommandKind::Start);
  if (Task.EvictionRequested_)
    evict(Task, "evicted before its start", Now);
}

// Called when a start was not committed because the domain states changed after
// the decision.
void Partition::Impl::withdrawStart(const JournalEntry &Start) {
  State_.withdrawStart(Start);
  LiveTask *Task = findTask(Start.Job_ + "/" + std::to_string(Start.Task_));
  if (Task == nullptr)
    return;
  TaskNumber Number = Task->Job_->FirstTask_ + Task->Index_;
  Workers_[Task->Worker_].ActiveTasks_.erase(Number);
  Task->Dispatch_ = DispatchState::None;
  Task->EvictionRequested_ = false;
  Planner_.release(Number);
  logDecision(taskName(*Task), "withdraw", "domain states changed");
  queueTask(*Task, Now_);
}

void Partition::Impl::rejectJob(LiveTask &Task, std::string Reason,
                                base::TimePoint Now) {
  const JobRecord &Job = jobRecord(Task);
  if (Task.InPlanner_)
    Planner_.removePending(Task.Job_->FirstTask_ + Task.Index_);
  Task.InPlanner_ = false;
  bool HasActiveTask = std::any_of(
      Job.Tasks_.begin(), Job.Tasks_.end(),
      [](const TaskRecord &Record) { return holdsWorker(Record.State_); });
  if (HasActiveTask || Job.TransferPhase_ != TransferPhase::None ||
      Job.Cancelled_) {
    // Other tasks of the job run, so its task size fits in principle and the
    // workers must have changed since.
    Task.NotBefore_ = Now + NoFitRetryDelay;
    queueTask(Task, Now);
    return;
  }
  JournalEntry Entry;
  Entry.Kind_ = EntryKind::Reject;
  Entry.Job_ = Job.Spec_.Id_;
  Entry.TimeMs_ = wallClockMs();
  Entry.Text_ = std::move(Reason);
  std::string Id = Job.Spec_.Id_;
  logDecision(taskName(Task), "reject", Entry.Text_);
  if (stage(std::move(Entry), Job.Spec_.Urgent_))
    refreshLiveJob(Id, Now);
}

} // namespace crocuslead::partition
