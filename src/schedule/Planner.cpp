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
  void reject(std::size_t Limit, std::vector<Decision> &Out);
  Reason pendingReason(const internal::PendingEntry &Waiting);

  internal::State State_;
  //! Found infeasible and not yet rejected.
  std::deque<std::pair<TaskNumber, base::Resources>> Rejected_;
  uint64_t CapacityVersion_ = 0;
};

void Planner::Impl::setWorker(const WorkerInfo &Info) {
  Worker &Target = State_.Fleet_.upsert(Info);
  if (!State_.Fleet_.isUsable(Target))
    State_.dropReservationsOn(Target);
}

void Planner::Impl::allocate(const RunningTask &Task) {
  Allocation *Known = State_.Fleet_.findTask(Task.Task_.Task_);
  if (Known != nullptr && Known->Worker_->Info_.Worker_ == Task.Worker_ &&
      Known->Run_.Task_.Request_ == Task.Task_.Request_) {
    Known->Run_.Started_ = Task.Started_;
    Known->Run_.CheckpointAt_ = Task.CheckpointAt_;
    return;
  }
  if (Known != nullptr)
    State_.release(*Known);
  Worker *Target = State_.Fleet_.find(Task.Worker_);
  if (Target == nullptr) {
    // After a takeover a task may be known before its worker.
    WorkerInfo Unknown;
    Unknown.Worker_ = Task.Worker_;
    Unknown.Schedulable_ = false;
    Target = &State_.Fleet_.upsert(Unknown);
  }
  State_.allocate(Task, *Target);
}

void Planner::Impl::release(TaskNumber Task) {
  Allocation *Known = State_.Fleet_.findTask(Task);
  if (Known != nullptr)
    State_.release(*Known);
  auto Held = State_.PendingAfterRelease_.find(Task);
  if (Held == State_.PendingAfterRelease_.end())
    return;
  State_.Queue_.add(Held->second);
  State_.PendingAfterRelease_.erase(Held);
}

void Planner::Impl::beginPlan(base::TimePoint Now) {
  State_.Now_ = Now;
  State_.EvictionHistory_.prune(Now);
  for (WorkerNumber Number : State_.Health_.takeDueProbes(Now)) {
    Worker *Target = State_.Fleet_.find(Number);
    if (Target == nullptr || !Target->Quarantined_)
      continue;
    Target->ProbeAllowed_ = true;
    State_.Fleet_.refresh(*Target);
  }
  std::vector<TaskNumber> Expired;
  for (const auto &[Task, Each] : State_.Reservations_)
    if (Now >= Each.Expires_)
      Expired.push_back(Task);
  for (TaskNumber Task : Expired)
    State_.unreserve(Task);
  // Last, so that room opened above wakes waiting tasks in this plan.
  State_.Fleet_.beginPlan(Now);
  State_.Shares_.setLocalCapacity(State_.Fleet_.totalCapacity());
  State_.Shares_.beginPlan();
}

void Planner::Impl::reject(std::size_t Limit, std::vector<Decision> &Out) {
  if (CapacityVersion_ != State_.Fleet_.capacityVersion()) {
    Rejected_.clear();
    State_.Queue_.recheckAll();
  }
  CapacityVersion_ = State_.Fleet_.capacityVersion();
  for (EquivalenceClass *Each : State_.Queue_.takeUnchecked()) {
    // What is left of a gang that was rejected in part can never start.
    bool Remainder = Each->Infeasible_ && !Each->isComplete();
    if (!Remainder && !Each->isComplete())
      continue;
    auto Nearest = nearestFit(State_.Fleet_, *Each);
    Each->Infeasible_ = Remainder || Nearest.has_value();
    if (!Each->Infeasible_)
      continue;
    for (auto *Waiting = Each->Head_; Waiting != nullptr;
         Waiting = Waiting->Next_)
      Rejected_.emplace_back(Waiting->Task_.Task_,
                             Nearest.value_or(Waiting->Task_.Request_));
  }
  while (Out.size() < Limit && !Rejected_.empty()) {
    auto [Task, Nearest] = Rejected_.front();
    Rejected_.pop_front();
    const internal::PendingEntry *Waiting = State_.Queue_.find(Task);
    if (Waiting == nullptr || !Waiting->EquivalenceClass_->Infeasible_)
      continue;
    State_.unreserve(Task);
    State_.Queue_.remove(Task);
    Out.push_back(
        {DecisionKind::Reject, Task, 0, Reason::NeverFits, 0, Nearest});
  }
}

// A rare question from operators, so it may look at every worker.
Reason Planner::Impl::pendingReason(const internal::PendingEntry &Waiting) {
  const EquivalenceClass &Of = *Waiting.EquivalenceClass_;
  if (!Of.isComplete())
    return Reason::GangIncomplete;
  if (nearestFit(State_.Fleet_, Of))
    return Reason::NeverFits;
  bool Quarantined = false;
  bool DomainOut = false;
  for (const auto &[Number, Each] : State_.Fleet_.workers()) {
    if (!Waiting.Task_.Request_.fitsIn(Each.free()))
      continue;
    bool Available = State_.Fleet_.domainOf(Each).Available_;
    Quarantined = Quarantined || (Available && Each.Quarantined_);
    DomainOut = DomainOut || !Available;
  }
  if (Quarantined)
    return Reason::WorkerQuarantined;
  if (DomainOut)
    return Reason::DomainUnavailable;
  internal::Account &Account = State_.Shares_.account(Waiting.Task_.Workspace_);
  return State_.Shares_.excess(Account) > 0 ? Reason::OverShare
                                            : Reason::NoCapacity;
}

Planner::Planner(PlannerPolicy Policy)
    : Impl_(std::make_unique<Impl>(Policy)) {}
Planner::~Planner() = default;

void Planner::upsertWorker(const WorkerInfo &Info) { Impl_->setWorker(Info); }

void Planner::removeWorker(WorkerNumber Number) {
  auto &State = Impl_->State_;
  Worker *Target = State.Fleet_.find(Number);
  if (Target == nullptr)
    return;
  State.dropReservationsOn(*Target);
  State.Health_.reset(*Target);
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
  for (auto &[Number, Target] : State.Fleet_.workers())
    if (Target.Info_.Domain_ == Domain)
      State.dropReservationsOn(Target);
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
  Allocation *Known = Impl_->State_.Fleet_.findTask(Task);
  if (Known != nullptr)
    Known->Run_.CheckpointAt_ = At;
}

void Planner::reportUsage(const TaskUsage &Usage) {
  auto &State = Impl_->State_;
  Allocation *Known = State.Fleet_.findTask(Usage.Task_);
  if (Known != nullptr && !State.Policy_.IgnoreInterference_)
    State.InterferenceController_.report(Usage, *Known, State.Interference_);
}

void Planner::reportStart(WorkerNumber Number, JobNumber Job, bool Succeeded,
                          base::TimePoint Now) {
  auto &State = Impl_->State_;
  Worker *Target = State.Fleet_.find(Number);
  // A removed worker fails its last starts because it ends.
  if (Target == nullptr || (Target->Removed_ && !Succeeded) ||
      !State.Health_.recordStart(*Target, Job, Succeeded, Now))
    return;
  State.Fleet_.refresh(*Target);
  if (Target->Quarantined_)
    State.dropReservationsOn(*Target);
}

std::vector<Decision> Planner::plan(base::TimePoint Now, std::size_t Limit) {
  auto &State = Impl_->State_;
  std::vector<Decision> Out;
  Impl_->beginPlan(Now);
  internal::Starter Starts(State, Limit, Out);
  internal::Evictor Evictions(State, Limit, Out);
  Starts.wake();
  Starts.startUrgent();
  Evictions.preemptForUrgent();
  Evictions.drainWorkers();
  Impl_->reject(Limit, Out);
  State.InterferenceController_.step(
      State.Fleet_, State.Interference_, Now, Limit - Out.size(),
      [&](Allocation &Task) {
        return Evictions.evictUnprotected(Task, Reason::Interference);
      },
      Out);
  Starts.startByShare();
  Evictions.reclaim();
  return Out;
}

base::Resources Planner::allocated(WorkerNumber Number) const {
  const Worker *Target = Impl_->State_.Fleet_.find(Number);
  return Target == nullptr ? base::Resources{} : Target->Allocated_;
}

base::Resources Planner::freeCapacity() const {
  base::Resources Free;
  const auto &Fleet = std::as_const(Impl_->State_.Fleet_);
  for (const auto &[Number, Each] : Fleet.workers())
    if (Fleet.isUsable(Each) && !Each.Quarantined_)
      Free += internal::maxOf(Each.free(), {});
  return Free;
}

std::size_t Planner::pendingCount() const {
  return Impl_->State_.Queue_.size();
}

std::optional<Reason> Planner::pendingReason(TaskNumber Task) const {
  const internal::PendingEntry *Waiting = Impl_->State_.Queue_.find(Task);
  if (Waiting == nullptr)
    return std::nullopt;
  return Impl_->pendingReason(*Waiting);
}

} // namespace crocuslead::schedule
