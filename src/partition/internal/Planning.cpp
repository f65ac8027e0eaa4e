#include "partition/internal/Impl.h"

#include "base/NameTable.h"

#include <algorithm>

namespace crocuslead::partition {

using cluster::CommandKind;
using schedule::DecisionKind;

namespace {

constexpr std::size_t DecisionsPerTick = 200;
//! Delay before a job that no longer fits, while its tasks run, is tried again.
constexpr base::Duration RefitDelay = std::chrono::minutes(5);

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

uint32_t numberOf(std::map<std::string, uint32_t> &Table,
                  const std::string &Name) {
  return Table.try_emplace(Name, static_cast<uint32_t>(Table.size()))
      .first->second;
}

std::string describe(const base::Resources &Value) {
  return std::to_string(Value.MilliCpu_) + " milli-CPU, " +
         std::to_string(Value.MemoryMb_) + " MB, " +
         std::to_string(Value.Accelerators_) + " accelerators";
}

} // namespace

std::string reasonName(schedule::Reason Value) {
  return std::string(ReasonNames.name(Value));
}

schedule::PendingTask Partition::Impl::pendingTask(const LiveTask &Task) const {
  const JobRecord &Job = jobOf(Task);
  auto &Self = const_cast<Impl &>(*this);
  schedule::PendingTask Out;
  Out.Task_ = Task.Job_->FirstTask_ + Task.Index_;
  Out.Job_ = Task.Job_->Number_;
  Out.Workspace_ = numberOf(Self.Workspaces_, Job.Spec_.Workspace_);
  Out.Kind_ = numberOf(Self.Kinds_, Job.Spec_.Kind_);
  Out.Class_ = Job.Spec_.Class_;
  Out.Urgent_ = Job.Spec_.Urgent_;
  Out.Deferrable_ = Job.Spec_.Deferrable_;
  if (Job.Spec_.Gang_) {
    Out.Gang_ = Task.Job_->Number_;
    Out.GangSize_ = static_cast<uint32_t>(std::count_if(
        Job.Tasks_.begin(), Job.Tasks_.end(),
        [](const TaskRecord &T) { return T.State_ != TaskState::Finished; }));
  }
  Out.Request_ = Job.Spec_.PerTask_;
  // Waiting time counts from the submission, also over a takeover.
  Out.Submitted_ = Now_ - std::chrono::milliseconds(std::max<int64_t>(
                              0, wallMs() - Job.SubmittedMs_));
  Out.Restarts_ = Job.Tasks_[Task.Index_].Evictions_;
  return Out;
}

void Partition::Impl::makePending(LiveTask &Task, base::TimePoint Now) {
  const JobRecord &Job = jobOf(Task);
  const TaskRecord &Record = Job.Tasks_[Task.Index_];
  if (Record.State_ != TaskState::Pending || Task.InPlanner_ ||
      Job.Cancelled_ || Task.Job_->CancelWanted_ ||
      Job.TransferPhase_ != TransferPhase::None)
    return;
  TaskNumber Number = Task.Job_->FirstTask_ + Task.Index_;
  if (Task.NotBefore_ > Now) {
    Backoffs_.insert({Task.NotBefore_, Number});
    return;
  }
  if (Job.Spec_.Gang_) {
    makeGangPending(*Task.Job_, Now);
    return;
  }
  Task.InPlanner_ = true;
  Planner_.addPending(pendingTask(Task));
}

// A gang starts whole, so it waits until none of its tasks holds a worker.
void Partition::Impl::makeGangPending(LiveJob &Job, base::TimePoint Now) {
  const JobRecord &Record = *State_.find(Job.Id_);
  std::vector<LiveTask *> Waiting;
  for (uint32_t I = 0; I < Record.Tasks_.size(); ++I) {
    LiveTask &Task = Tasks_[Job.FirstTask_ + I];
    if (holdsWorker(Record.Tasks_[I].State_))
      return;
    if (Record.Tasks_[I].State_ != TaskState::Pending || Task.InPlanner_)
      continue;
    if (Task.NotBefore_ > Now)
      return;
    Waiting.push_back(&Task);
  }
  for (LiveTask *Task : Waiting) {
    Task->InPlanner_ = true;
    Planner_.addPending(pendingTask(*Task));
  }
}

void Partition::Impl::retryPending(base::TimePoint Now) {
  while (!Backoffs_.empty() && Backoffs_.begin()->first <= Now) {
    TaskNumber Number = Backoffs_.begin()->second;
    Backoffs_.erase(Backoffs_.begin());
    auto Task = Tasks_.find(Number);
    if (Task != Tasks_.end())
      makePending(Task->second, Now);
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
  for (const WorkerLink &Worker : Workers_)
    if (!Worker.Domain_.empty())
      return Worker.Domain_;
  return {};
}

// A worker that the instance list has dropped is in the partition's domain.
const std::string &Partition::Impl::domainOf(const WorkerLink &Worker) const {
  return Worker.Domain_.empty() ? Settings_.Domain_ : Worker.Domain_;
}

void Partition::Impl::configure(const config::Configuration &Config,
                                const base::Resources &FleetCapacity,
                                base::TimePoint Now) {
  Now_ = std::max(Now_, Now);
  Config_ = Config;
  Fleet_ = FleetCapacity;
  Configured_ = true;
  Journal_.setDomainsRevision(Config.DomainsRevision_);
  for (const auto &[Name, Number] : Domains_)
    Planner_.setDomainAvailable(Number, domainState(Name) ==
                                            config::DomainState::InService);
  applyShares();
}

void Partition::Impl::applyShares() {
  std::vector<schedule::WorkspaceShare> Shares;
  for (const auto &[Name, Value] : Config_.Workspaces_) {
    schedule::WorkspaceShare Share;
    Share.Workspace_ = numberOf(Workspaces_, Name);
    Share.Name_ = Name;
    Share.AgreedShare_ = Value.AgreedShare_;
    Share.Priority_ = Value.Priority_;
    base::Resources Elsewhere;
    for (const PartitionSummary &Peer : Peers_)
      if (auto Held = Peer.HeldByWorkspace_.find(Name);
          Held != Peer.HeldByWorkspace_.end())
        Elsewhere += Held->second;
    Share.UsedElsewhere_ = base::dominantShare(Elsewhere, Fleet_);
    Shares.push_back(std::move(Share));
  }
  Planner_.setWorkspaces(std::move(Shares), Fleet_);
}

void Partition::Impl::setPeerSummaries(
    std::vector<PartitionSummary> Summaries) {
  for (const PartitionSummary &Old : Peers_)
    for (const PartitionSummary &New : Summaries)
      if (New.Id_ == Old.Id_ && !(New.Free_ == Old.Free_))
        OfferedRoom_.erase(New.Id_);
  Peers_ = std::move(Summaries);
  applyShares();
}

void Partition::Impl::plan(base::TimePoint Now) {
  if (Handover_ || !Configured_ || !WorkersKnown_ || !storeFresh(Now) ||
      Journal_.startsBlocked())
    return;
  for (const schedule::Decision &Choice : Planner_.plan(Now, DecisionsPerTick))
    decide(Choice, Now);
}

void Partition::Impl::decide(const schedule::Decision &Choice,
                             base::TimePoint Now) {
  auto Found = Tasks_.find(Choice.Task_);
  if (Found == Tasks_.end())
    return;
  LiveTask &Task = Found->second;
  switch (Choice.Kind_) {
  case DecisionKind::Start:
    decideStart(Task, Choice, Now);
    return;
  case DecisionKind::Evict:
    Task.EvictWanted_ = true;
    Task.UrgentWaits_ = Choice.Reason_ == schedule::Reason::UrgentPreemption;
    if (Task.Dispatch_ != Dispatch::Undurable)
      evict(Task, ReasonNames.name(Choice.Reason_).data(), Now);
    return;
  case DecisionKind::Throttle: {
    // A throttle holds nothing and is relearned after a takeover, so it has no
    // journal entry.
    if (!holdsWorker(record(Task).State_) ||
        Task.Dispatch_ == Dispatch::Undurable)
      return;
    queueCommand(Task, CommandKind::Throttle);
    for (cluster::WorkerCommand &Command : Workers_[Task.Worker_].Outbox_)
      if (Command.Kind_ == CommandKind::Throttle &&
          Command.Task_ == nameOf(Task))
        Command.ThrottlePercent_ = Choice.ThrottlePercent_;
    log(nameOf(Task), "throttle", reasonName(Choice.Reason_),
        Workers_[Task.Worker_].Id_);
    return;
  }
  case DecisionKind::Reject:
    if (mayRunElsewhere(jobOf(Task))) {
      if (Task.InPlanner_)
        Planner_.removePending(Choice.Task_);
      Task.InPlanner_ = false;
      Task.NotBefore_ = Now + RefitDelay;
      makePending(Task, Now);
      return;
    }
    rejectJob(Task,
              reasonName(Choice.Reason_) +
                  "; nearest size: " + describe(Choice.NearestFit_),
              Now);
    return;
  }
}

void Partition::Impl::decideStart(LiveTask &Task,
                                  const schedule::Decision &Choice,
                                  base::TimePoint Now) {
  TaskNumber Number = Choice.Task_;
  WorkerLink &Worker = Workers_[Choice.Worker_];
  Task.InPlanner_ = false;
  JournalEntry Change;
  Change.Attempt_ = record(Task).Attempt_ + 1;
  Change.Text_ = Worker.Id_;
  uint32_t Attempt = Change.Attempt_;
  if (Task.Job_->CancelWanted_ ||
      !stageTask(EntryKind::Start, Task, std::move(Change),
                 [this, Number, Attempt](base::TimePoint At) {
                   startDurable(Number, Attempt, At);
                 })) {
    Planner_.release(Number);
    return;
  }
  Task.Dispatch_ = Dispatch::Undurable;
  Task.EvictWanted_ = Task.UrgentWaits_ = false;
  Task.Worker_ = Choice.Worker_;
  Task.DeadlineMs_ = workerClock(Worker, Now) +
                     base::toMillis(Settings_.Times_.StartDeadline_);
  int64_t RunMs = jobOf(Task).Spec_.RunTimeMs_;
  // How much a checkpoint saved is unknown. The first report is asked for early
  // and the later ones after a quarter of the time run, see countUsage().
  if (!record(Task).Checkpoint_.empty())
    RunMs = (RunMs + 7) / 8;
  Task.ExpectedEnd_ = RunMs > 0 ? Now + std::chrono::milliseconds(RunMs)
                                : base::TimePoint::max();
  Worker.Active_.insert(Number);
  log(nameOf(Task), "start", reasonName(Choice.Reason_), Worker.Id_);
}

void Partition::Impl::startDurable(TaskNumber Number, uint32_t Attempt,
                                   base::TimePoint Now) {
  auto Found = Tasks_.find(Number);
  if (Found == Tasks_.end() || record(Found->second).Attempt_ != Attempt ||
      Found->second.Dispatch_ != Dispatch::Undurable)
    return;
  LiveTask &Task = Found->second;
  Task.Dispatch_ = Dispatch::Queued;
  queueCommand(Task, CommandKind::Start);
  if (Task.EvictWanted_)
    evict(Task, "evicted before its start", Now);
}

// The domain states changed between decision and commit.
void Partition::Impl::withdrawStart(const JournalEntry &Start) {
  State_.withdrawStart(Start);
  LiveTask *Task = findTask(Start.Job_ + "/" + std::to_string(Start.Task_));
  if (Task == nullptr)
    return;
  TaskNumber Number = Task->Job_->FirstTask_ + Task->Index_;
  Workers_[Task->Worker_].Active_.erase(Number);
  Task->Dispatch_ = Dispatch::None;
  Task->EvictWanted_ = false;
  Planner_.release(Number);
  log(nameOf(*Task), "withdraw", "domain states changed");
  makePending(*Task, Now_);
}

void Partition::Impl::rejectJob(LiveTask &Task, std::string Why,
                                base::TimePoint Now) {
  const JobRecord &Job = jobOf(Task);
  if (Task.InPlanner_)
    Planner_.removePending(Task.Job_->FirstTask_ + Task.Index_);
  Task.InPlanner_ = false;
  bool Active =
      std::any_of(Job.Tasks_.begin(), Job.Tasks_.end(),
                  [](const TaskRecord &T) { return holdsWorker(T.State_); });
  if (Active || Job.TransferPhase_ != TransferPhase::None || Job.Cancelled_) {
    // Other tasks of the job run, so its size fits: the workers have changed.
    Task.NotBefore_ = Now + RefitDelay;
    makePending(Task, Now);
    return;
  }
  JournalEntry Change;
  Change.Kind_ = EntryKind::Reject;
  Change.Job_ = Job.Spec_.Id_;
  Change.TimeMs_ = wallMs();
  Change.Text_ = std::move(Why);
  std::string Id = Job.Spec_.Id_;
  log(nameOf(Task), "reject", Change.Text_);
  if (stage(std::move(Change), Job.Spec_.Urgent_))
    settleJob(Id, Now);
}

} // namespace crocuslead::partition
