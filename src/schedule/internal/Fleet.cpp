#include "schedule/internal/Fleet.h"

#include <algorithm>

namespace crocuslead::schedule::internal {

namespace {

// How long the capacity of removed workers still counts as feasible.
constexpr std::chrono::minutes CapacityRetention(15);
// A domain that becomes available again may fill up to 5% of its capacity at
// once, and the rest linearly over 10 s. With a ramp of 2 min, a domain that
// was out for 60 s of 300 s completed 3,718 tasks; with 10 s it completed
// 5,021, and no other figure changed.
constexpr double InitialRampFraction = 0.05;
constexpr std::chrono::seconds RampTime(10);
constexpr std::chrono::seconds RampWakeupPeriod(1);
constexpr int64_t Unbounded = INT64_MAX / 4;

double rampFraction(const Domain &D, base::TimePoint Now) {
  return InitialRampFraction +
         base::toSeconds(Now - *D.RampStartedAt_) / base::toSeconds(RampTime);
}

template <class Key>
void addCount(std::vector<std::pair<Key, uint32_t>> &Counts, Key Number,
              int Change) {
  auto It = std::find_if(Counts.begin(), Counts.end(),
                         [&](auto &Count) { return Count.first == Number; });
  if (It == Counts.end())
    It = Counts.insert(Counts.end(), {Number, 0});
  It->second += static_cast<uint32_t>(Change);
  if (It->second == 0)
    Counts.erase(It);
}

} // namespace

Worker *Fleet::find(WorkerNumber Number) {
  auto It = Workers_.find(Number);
  return It == Workers_.end() ? nullptr : &It->second;
}

Allocation *Fleet::findTask(TaskNumber Number) {
  auto It = Tasks_.find(Number);
  return It == Tasks_.end() ? nullptr : &It->second;
}

const std::vector<Allocation *> *Fleet::findGang(JobNumber Gang) const {
  auto It = Gangs_.find(Gang);
  return It == Gangs_.end() ? nullptr : &It->second;
}

const JobSpread *Fleet::findSpread(JobNumber Job) const {
  auto It = Spreads_.find(Job);
  return It == Spreads_.end() ? nullptr : &It->second;
}

const Domain &Fleet::domainOf(const Worker &W) const {
  return Domains_.at(W.Info_.Domain_);
}

uint32_t Fleet::internKind(KindNumber Kind) {
  return KindIndex_.emplace(Kind, static_cast<uint32_t>(KindIndex_.size()))
      .first->second;
}

void Fleet::countCapacity(const base::Resources &Capacity, int Change) {
  TotalCapacity_ =
      Change > 0 ? TotalCapacity_ + Capacity : TotalCapacity_ - Capacity;
  if (Capacity == base::Resources{})
    return;
  CapacityKey Key{Capacity.MilliCpu_, Capacity.MemoryMb_,
                  Capacity.Accelerators_};
  CapacityCount &Count = Capacities_[Key];
  Count.Workers_ += static_cast<uint32_t>(Change);
  if (Count.Workers_ > Count.Peak_) {
    Count.Peak_ = Count.Workers_;
    ++CapacityVersion_;
  }
  Count.LastSeen_ = Now_;
}

void Fleet::countSpread(const Allocation &Task, int Change) {
  const PendingTask &Spec = Task.Run_.Task_;
  if (Spec.Class_ != TaskClass::LatencyCritical)
    return;
  JobSpread &Spread = Spreads_[Spec.Job_];
  addCount(Spread.Racks_, Task.Worker_->Info_.Rack_, Change);
  addCount(Spread.Domains_, Task.Worker_->Info_.Domain_, Change);
  Spread.Total_ += static_cast<uint32_t>(Change);
  if (Spread.Total_ == 0)
    Spreads_.erase(Spec.Job_);
}

// Adds the worker to the totals of its domain and of the fleet (Change is 1) or
// subtracts it from them (-1).
void Fleet::countWorker(Worker &W, int Change) {
  Domain &D = Domains_[W.Info_.Domain_];
  auto Add = [&](base::Resources &Sum, const base::Resources &Amount) {
    Sum = Change > 0 ? Sum + Amount : Sum - Amount;
  };
  Add(D.Capacity_, W.Info_.Capacity_);
  Add(D.Allocated_, W.Allocated_);
  countCapacity(W.Info_.Capacity_, Change);
  for (Allocation *Task : W.Tasks_)
    countSpread(*Task, Change);
}

Worker &Fleet::upsert(const WorkerInfo &Info) {
  auto [It, Inserted] = Workers_.try_emplace(Info.Worker_);
  Worker &W = It->second;
  if (!Inserted)
    countWorker(W, -1);
  W.Info_ = Info;
  W.Removed_ = false;
  countWorker(W, 1);
  refresh(W);
  return W;
}

void Fleet::remove(WorkerNumber Number) {
  Worker *W = find(Number);
  if (W == nullptr)
    return;
  if (!W->Tasks_.empty()) {
    W->Removed_ = true;
    refresh(*W);
    return;
  }
  Index_.remove(*W);
  countWorker(*W, -1);
  DrainingWorkers_.erase(Number);
  EvictingWorkers_.erase(Number);
  Workers_.erase(Number);
}

bool Fleet::isDraining(const Worker &W) const {
  return W.Removed_ || W.Info_.Leaving_ || !domainOf(W).Available_;
}

bool Fleet::isUsable(const Worker &W) const {
  return W.Info_.Schedulable_ && !isDraining(W) &&
         (!W.Quarantined_ || W.ProbeAllowed_);
}

void Fleet::refresh(Worker &W) {
  auto SetMembership = [&](std::set<WorkerNumber> &Set, bool IsMember) {
    if (IsMember)
      Set.insert(W.Info_.Worker_);
    else
      Set.erase(W.Info_.Worker_);
  };
  SetMembership(EvictingWorkers_, W.Evicting_ != base::Resources{});
  SetMembership(DrainingWorkers_, isDraining(W) && W.Evicting_ != W.Allocated_);
  base::Resources Before =
      W.IndexCell_ < 0 ? base::Resources{-1, -1, -1} : W.Usable_;
  if (!isUsable(W)) {
    Index_.remove(W);
    return;
  }
  W.Usable_ = minOf(W.free(), W.freeAfterEvictions());
  Index_.update(W);
  if (!W.Usable_.fitsIn(Before))
    recordFreed(W.Usable_);
}

void Fleet::setDomainAvailable(DomainNumber Number, bool Available) {
  Domain &D = Domains_[Number];
  if (D.Available_ == Available)
    return;
  D.Available_ = Available;
  D.RampPending_ = Available;
  for (auto &[WorkerId, W] : Workers_)
    if (W.Info_.Domain_ == Number)
      refresh(W);
}

Allocation &Fleet::allocate(const RunningTask &Run, Worker &Target) {
  Allocation &Task = Tasks_[Run.Task_.Task_];
  Task.Run_ = Run;
  Task.Worker_ = &Target;
  Task.Kind_ = internKind(Run.Task_.Kind_);
  Target.Tasks_.push_back(&Task);
  auto &Counts = Target.KindCounts_;
  auto Count = std::find_if(Counts.begin(), Counts.end(),
                            [&](auto &C) { return C.Kind_ == Task.Kind_; });
  if (Count == Counts.end())
    Count = Counts.insert(Counts.end(), KindCount{Task.Kind_, 0, 0});
  ++(Run.Task_.Class_ == TaskClass::Batch ? Count->Batch_
                                          : Count->LatencyCritical_);
  Target.Allocated_ += Run.Task_.Request_;
  Domains_[Target.Info_.Domain_].Allocated_ += Run.Task_.Request_;
  if (Run.Task_.Gang_ != 0)
    Gangs_[Run.Task_.Gang_].push_back(&Task);
  countSpread(Task, 1);
  refresh(Target);
  return Task;
}

void Fleet::release(Allocation &Task) {
  Worker &W = *Task.Worker_;
  const PendingTask Spec = Task.Run_.Task_;
  countSpread(Task, -1);
  W.Tasks_.erase(std::find(W.Tasks_.begin(), W.Tasks_.end(), &Task));
  auto &Counts = W.KindCounts_;
  auto Count = std::find_if(Counts.begin(), Counts.end(),
                            [&](auto &C) { return C.Kind_ == Task.Kind_; });
  --(Spec.Class_ == TaskClass::Batch ? Count->Batch_ : Count->LatencyCritical_);
  if (Count->Batch_ + Count->LatencyCritical_ == 0)
    Counts.erase(Count);
  if (Spec.Gang_ != 0) {
    auto Gang = Gangs_.find(Spec.Gang_);
    auto &Members = Gang->second;
    Members.erase(std::find(Members.begin(), Members.end(), &Task));
    if (Members.empty())
      Gangs_.erase(Gang);
  }
  W.Allocated_ -= Spec.Request_;
  Domains_[W.Info_.Domain_].Allocated_ -= Spec.Request_;
  if (Task.Evicting_)
    W.Evicting_ -= Spec.Request_;
  Tasks_.erase(Spec.Task_);
  if (W.Removed_ && W.Tasks_.empty())
    remove(W.Info_.Worker_);
  else
    refresh(W);
}

void Fleet::markEvicting(Allocation &Task) {
  if (Task.Evicting_)
    return;
  Task.Evicting_ = true;
  Task.Worker_->Evicting_ += Task.Run_.Task_.Request_;
  refresh(*Task.Worker_);
}

void Fleet::unmarkEvicting(Allocation &Task) {
  Task.Evicting_ = false;
  Task.Worker_->Evicting_ -= Task.Run_.Task_.Request_;
  refresh(*Task.Worker_);
}

void Fleet::reserve(Worker &Target, const base::Resources &Amount) {
  Target.Reserved_ += Amount;
  refresh(Target);
}

void Fleet::unreserve(Worker &Target, const base::Resources &Amount) {
  Target.Reserved_ -= Amount;
  refresh(Target);
}

void Fleet::recordFreed(const base::Resources &Usable) {
  if (WakeupsSuppressed_)
    return;
  auto &MaxFreed = MaxFreed_[Epoch_ % EpochHistory];
  MaxFreed = maxOf(MaxFreed, Usable);
}

bool Fleet::freedSince(uint64_t Epoch, const base::Resources &Request) const {
  return Epoch + EpochHistory <= Epoch_ + 1 ||
         Request.fitsIn(MaxFreedSince_[Epoch % EpochHistory]);
}

void Fleet::beginPlan(base::TimePoint Now) {
  Now_ = Now;
  bool Ramping = false;
  for (auto &[Number, D] : Domains_) {
    if (D.RampPending_)
      D.RampStartedAt_ = Now;
    D.RampPending_ = false;
    Ramping = Ramping || D.RampStartedAt_;
    if (D.RampStartedAt_ && (rampFraction(D, Now) >= 1 || !D.Available_)) {
      // Wakes the tasks that the ramp held back until now once more.
      D.RampStartedAt_.reset();
      LastRampWakeup_ = {};
    }
  }
  if (Ramping && Now >= LastRampWakeup_ + RampWakeupPeriod) {
    LastRampWakeup_ = Now;
    recordFreed({Unbounded, Unbounded, Unbounded});
  }
  base::Resources MaxFreed;
  for (uint64_t Age = 0; Age < EpochHistory && Age <= Epoch_; ++Age) {
    auto Slot = (Epoch_ - Age) % EpochHistory;
    MaxFreed = maxOf(MaxFreed, MaxFreed_[Slot]);
    MaxFreedSince_[Slot] = MaxFreed;
  }
  ++Epoch_;
  MaxFreed_[Epoch_ % EpochHistory] = {};
  MaxFreedSince_[Epoch_ % EpochHistory] = {};
  for (auto It = Capacities_.begin(); It != Capacities_.end();) {
    bool Drop = It->second.Workers_ == 0 &&
                Now >= It->second.LastSeen_ + CapacityRetention;
    CapacityVersion_ += Drop ? 1 : 0;
    It = Drop ? Capacities_.erase(It) : std::next(It);
  }
}

bool Fleet::rampAllows(const Worker &Target, const base::Resources &Request,
                       base::TimePoint Now) const {
  const Domain &D = domainOf(Target);
  if (!D.RampStartedAt_ || D.Allocated_ == base::Resources{})
    return true;
  return base::dominantShare(D.Allocated_ + Request, D.Capacity_) <=
         rampFraction(D, Now);
}

} // namespace crocuslead::schedule::internal
