#include "schedule/Planner.h"

#include "schedule/internal/Evictor.h"
#include "schedule/internal/Feasibility.h"
#include "schedule/internal/Starter.h"
#include "schedule/internal/State.h"

#include <deque>
#include <utility>

namespace crocuslead::schedule {

using internal::Allocation;
using internal::EquivalenceClass;
using internal::Worker;

class Planner::Impl {
public:
  explicit Impl(PlannerPolicy Policy) : State_(Policy) {}

  void setWorker(const WorkerInfo &Info);
  void allocate(const RunningTask &Task);
  void release(TaskNumber Task);
  void beginPlan(base::TimePoint Now);
  void reject(std::size_t Limit, std::vector<Decision> &Decisions);
  Reason pendingReason(const internal::PendingEntry &Entry);

  internal::State State_;
  //! Infeasible tasks whose rejection was not issued yet, with the nearest
  //! feasible request.
  std::deque<std::pair<TaskNumber, base::Resources>> Rejected_;
  uint64_t CapacityVersion_ = 0;
};

void Planner::Impl::setWorker(const WorkerInfo &Info) {
  Worker &W = State_.Fleet_.upsert(Info);
  if (!State_.Fleet_.isUsable(W))
    State_.dropReservationsOn(W);
}

void Planner::Impl::allocate(const RunningTask &Task) {
  Allocation *Existing = State_.Fleet_.findTask(Task.Task_.Task_);
  if (Existing != nullptr && Existing->Worker_->Info_.Worker_ == Task.Worker_ &&
      Existing->Run_.Task_.Request_ == Task.Task_.Request_) {
    Existing->Run_.Started_ = Task.Started_;
    Existing->Run_.CheckpointAt_ = Task.CheckpointAt_;
    return;
  }
  if (Existing != nullptr)
    State_.release(*Existing);
  Worker *Target = State_.Fleet_.find(Task.Worker_);
  if (Target == nullptr) {
    // After a takeover of the partition, a task may be known before its worker.
    WorkerInfo Placeholder;
    Placeholder.Worker_ = Task.Worker_;
    Placeholder.Schedulable_ = false;
    Target = &State_.Fleet_.upsert(Placeholder);
  }
  State_.allocate(Task, *Target);
}

void Planner::Impl::release(TaskNumber Task) {
  Allocation *Existing = State_.Fleet_.findTask(Task);
  if (Existing != nullptr)
    State_.release(*Existing);
  auto It = State_.PendingAfterRelease_.find(Task);
  if (It == State_.PendingAfterRelease_.end())
    return;
  State_.Queue_.add(It->second);
  State_.PendingAfterRelease_.erase(It);
}

void Planner::Impl::beginPlan(base::TimePoint Now) {
  State_.Now_ = Now;
  State_.EvictionHistory_.prune(Now);
  for (WorkerNumber Number : State_.Health_.takeDueProbes(Now)) {
    Worker *W = State_.Fleet_.find(Number);
    if (W == nullptr || !W->Quarantined_)
      continue;
    W->ProbeAllowed_ = true;
    State_.Fleet_.refresh(*W);
  }
  std::vector<TaskNumber> Expired;
  for (const auto &[Task, Reserved] : State_.Reservations_)
    if (Now >= Reserved.Expires_)
      Expired.push_back(Task);
  for (TaskNumber Task : Expired)
    State_.unreserve(Task);
  // Must come last, so that capacity freed above wakes pending tasks in this
  // plan.
  State_.Fleet_.beginPlan(Now);
  State_.Shares_.setLocalCapacity(State_.Fleet_.totalCapacity());
  State_.Shares_.beginPlan();
}

void Planner::Impl::reject(std::size_t Limit,
                           std::vector<Decision> &Decisions) {
  if (CapacityVersion_ != State_.Fleet_.capacityVersion()) {
    Rejected_.clear();
    State_.Queue_.recheckAll();
  }
  CapacityVersion_ = State_.Fleet_.capacityVersion();
  for (EquivalenceClass *Class : State_.Queue_.takeUnchecked()) {
    // A gang that was rejected in part can never start, so its remaining
    // members are rejected too.
    bool Remainder = Class->Infeasible_ && !Class->isComplete();
    if (!Remainder && !Class->isComplete())
      continue;
    auto Nearest = nearestFit(State_.Fleet_, *Class);
    Class->Infeasible_ = Remainder || Nearest.has_value();
    if (!Class->Infeasible_)
      continue;
    for (auto *Entry = Class->Head_; Entry != nullptr; Entry = Entry->Next_)
      Rejected_.emplace_back(Entry->Task_.Task_,
                             Nearest.value_or(Entry->Task_.Request_));
  }
  while (Decisions.size() < Limit && !Rejected_.empty()) {
    auto [Task, Nearest] = Rejected_.front();
    Rejected_.pop_front();
    const internal::PendingEntry *Entry = State_.Queue_.find(Task);
    if (Entry == nullptr || !Entry->EquivalenceClass_->Infeasible_)
      continue;
    State_.unreserve(Task);
    State_.Queue_.remove(Task);
    Decisions.push_back(
        {DecisionKind::Reject, Task, 0, Reason::NeverFits, 0, Nearest});
  }
}

// Called only for requests of operators, which are rare, so it may iterate over
// all workers.
Reason Planner::Impl::pendingReason(const internal::PendingEntry &Entry) {
  const EquivalenceClass &Class = *Entry.EquivalenceClass_;
  if (!Class.isComplete())
    return Reason::GangIncomplete;
  if (nearestFit(State_.Fleet_, Class))
    return Reason::NeverFits;
  bool Quarantined = false;
  bool DomainOut = false;
  for (const auto &[Number, W] : State_.Fleet_.workers()) {
    if (!Entry.Task_.Request_.fitsIn(W.free()))
      continue;
    bool Available = State_.Fleet_.domainOf(W).Available_;
    Quarantined = Quarantined || (Available && W.Quarantined_);
    DomainOut = DomainOut || !Available;
  }
  if (Quarantined)
    return Reason::WorkerQuarantined;
  if (DomainOut)
    return Reason::DomainUnavailable;
  internal::Account &Account = State_.Shares_.account(Entry.Task_.Workspace_);
  return State_.Shares_.excess(Account) > 0 ? Reason::OverShare
                                            : Reason::NoCapacity;
}

Planner::Planner(PlannerPolicy Policy)
    : Impl_(std::make_unique<Impl>(Policy)) {}
Planner::~Planner() = default;

void Planner::upsertWorker(const WorkerInfo &Info) { Impl_->setWorker(Info); }

void Planner::removeWorker(WorkerNumber Number) {
  auto &State = Impl_->State_;
  Worker *W = State.Fleet_.find(Number);
  if (W == nullptr)
    return;
  State.dropReservationsOn(*W);
  State.Health_.reset(*W);
  State.InterferenceController_.reset(Number);
  State.Fleet_.remove(Number);
}

void Planner::setWorkspaces(std::vector<WorkspaceShare> Shares,
                            const base::Resources &FleetCapacity) {
  Impl_->State_.Shares_.configure(std::move(Shares), FleetCapacity);
}

void Planner::setDomainAvailable(DomainNumber Domain, bool Available) {
  auto &State = Impl_->State_;
  State.Fleet_.setDomainAvailable(Domain, Available);
  if (Available)
    return;
  for (auto &[Number, W] : State.Fleet_.workers())
    if (W.Info_.Domain_ == Domain)
      State.dropReservationsOn(W);
}

void Planner::setMonthEnd(std::optional<base::TimePoint> MonthEnd) {
  Impl_->State_.MonthEnd_ = MonthEnd;
}

void Planner::addPending(const PendingTask &Task) {
  auto &State = Impl_->State_;
  if (State.Fleet_.findTask(Task.Task_) != nullptr) {
    State.PendingAfterRelease_[Task.Task_] = Task;
    return;
  }
  State.unreserve(Task.Task_);
  State.Queue_.add(Task);
}

void Planner::removePending(TaskNumber Task) {
  auto &State = Impl_->State_;
  State.PendingAfterRelease_.erase(Task);
  State.unreserve(Task);
  State.Queue_.remove(Task);
}

void Planner::allocate(const RunningTask &Task) { Impl_->allocate(Task); }

void Planner::release(TaskNumber Task) { Impl_->release(Task); }

void Planner::reportCheckpoint(TaskNumber Task, base::TimePoint At) {
  Allocation *Existing = Impl_->State_.Fleet_.findTask(Task);
  if (Existing != nullptr)
    Existing->Run_.CheckpointAt_ = At;
}

void Planner::reportUsage(const TaskUsage &Usage) {
  auto &State = Impl_->State_;
  Allocation *Existing = State.Fleet_.findTask(Usage.Task_);
  if (Existing != nullptr && !State.Policy_.IgnoreInterference_)
    State.InterferenceController_.report(Usage, *Existing, State.Interference_);
}

void Planner::reportStart(WorkerNumber Number, JobNumber Job, bool Succeeded,
                          base::TimePoint Now) {
  auto &State = Impl_->State_;
  Worker *W = State.Fleet_.find(Number);
  // The last starts on a removed worker fail because it is shutting down, so
  // they are ignored.
  if (W == nullptr || (W->Removed_ && !Succeeded) ||
      !State.Health_.recordStart(*W, Job, Succeeded, Now))
    return;
  State.Fleet_.refresh(*W);
  if (W->Quarantined_)
    State.dropReservationsOn(*W);
}

std::vector<Decision> Planner::plan(base::TimePoint Now, std::size_t Limit) {
  auto &State = Impl_->State_;
  std::vector<Decision> Decisions;
  Impl_->beginPlan(Now);
  internal::Starter Starter(State, Limit, Decisions);
  internal::Evictor Evictor(State, Limit, Decisions);
  Starter.wake();
  Starter.startUrgent();
  Evictor.preemptForUrgent();
  Evictor.drainWorkers();
  Impl_->reject(Limit, Decisions);
  State.InterferenceController_.step(
      State.Fleet_, State.Interference_, Now, Limit - Decisions.size(),
      [&](Allocation &Task) {
        return Evictor.evictUnprotected(Task, Reason::Interference);
      },
      Decisions);
  Starter.startByShare();
  Evictor.reclaim();
  return Decisions;
}

base::Resources Planner::allocated(WorkerNumber Number) const {
  const Worker *W = Impl_->State_.Fleet_.find(Number);
  return W == nullptr ? base::Resources{} : W->Allocated_;
}

base::Resources Planner::freeCapacity() const {
  base::Resources Free;
  const auto &Fleet = std::as_const(Impl_->State_.Fleet_);
  for (const auto &[Number, W] : Fleet.workers())
    if (Fleet.isUsable(W) && !W.Quarantined_)
      Free += internal::maxOf(W.free(), {});
  return Free;
}

std::size_t Planner::pendingCount() const {
  return Impl_->State_.Queue_.size();
}

std::optional<Reason> Planner::pendingReason(TaskNumber Task) const {
  const internal::PendingEntry *Entry = Impl_->State_.Queue_.find(Task);
  if (Entry == nullptr)
    return std::nullopt;
  return Impl_->pendingReason(*Entry);
}

} // namespace crocuslead::schedule
