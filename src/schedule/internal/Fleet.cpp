#include "schedule/internal/Fleet.h"

#include <algorithm>

namespace crocuslead::schedule::internal {

namespace {

constexpr std::chrono::minutes CapacityRetention(15);
// A returned domain may fill 5% at once and the rest linearly over 10 s. Over
// 2 min a domain that was out for 60 s of 300 s completed 3,718 tasks, over
// 10 s 5,021, and no other figure changed.
constexpr double RampStart = 0.05;
constexpr std::chrono::seconds RampTime(10);
constexpr std::chrono::seconds RampWakeupPeriod(1);
constexpr int64_t Unbounded = INT64_MAX / 4;

double rampFraction(const Domain &Target, base::TimePoint Now) {
  return RampStart + base::toSeconds(Now - *Target.RampStartedAt_) /
                         base::toSeconds(RampTime);
}

template <class Key>
void addCount(std::vector<std::pair<Key, uint32_t>> &Counts, Key Number,
              int Change) {
  auto Found = std::find_if(Counts.begin(), Counts.end(),
                            [&](auto &Each) { return Each.first == Number; });
  if (Found == Counts.end())
    Found = Counts.insert(Counts.end(), {Number, 0});
  Found->second += static_cast<uint32_t>(Change);
  if (Found->second == 0)
    Counts.erase(Found);
}

} // namespace

Worker *Fleet::find(WorkerNumber Number) {
  auto Found = Workers_.find(Number);
  return Found == Workers_.end() ? nullptr : &Found->second;
}

Allocation *Fleet::findTask(TaskNumber Number) {
  auto Found = Tasks_.find(Number);
  return Found == Tasks_.end() ? nullptr : &Found->second;
}

const std::vector<Allocation *> *Fleet::findGang(JobNumber Gang) const {
  auto Found = Gangs_.find(Gang);
  return Found == Gangs_.end() ? nullptr : &Found->second;
}

const JobSpread *Fleet::findSpread(JobNumber Job) const {
  auto Found = Spreads_.find(Job);
  return Found == Spreads_.end() ? nullptr : &Found->second;
}

const Domain &Fleet::domainOf(const Worker &Target) const {
  return Domains_.at(Target.Info_.Domain_);
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

// Counts the worker into (Sign 1) or out of (-1) the sums of its domain.
void Fleet::countWorker(Worker &Target, int Sign) {
  Domain &Place = Domains_[Target.Info_.Domain_];
  auto Add = [&](base::Resources &Sum, const base::Resources &Part) {
    Sum = Sign > 0 ? Sum + Part : Sum - Part;
  };
  Add(Place.Capacity_, Target.Info_.Capacity_);
  Add(Place.Allocated_, Target.Allocated_);
  countCapacity(Target.Info_.Capacity_, Sign);
  for (Allocation *Task : Target.Tasks_)
    countSpread(*Task, Sign);
}

Worker &Fleet::upsert(const WorkerInfo &Info) {
  auto [Found, Inserted] = Workers_.try_emplace(Info.Worker_);
  Worker &Target = Found->second;
  if (!Inserted)
    countWorker(Target, -1);
  Target.Info_ = Info;
  Target.Removed_ = false;
  countWorker(Target, 1);
  refresh(Target);
  return Target;
}

void Fleet::remove(WorkerNumber Number) {
  Worker *Target = find(Number);
  if (Target == nullptr)
    return;
  if (!Target->Tasks_.empty()) {
    Target->Removed_ = true;
    refresh(*Target);
    return;
  }
  Index_.remove(*Target);
  countWorker(*Target, -1);
  DrainingWorkers_.erase(Number);
  EvictingWorkers_.erase(Number);
  Workers_.erase(Number);
}

bool Fleet::isDraining(const Worker &Target) const {
  return Target.Removed_ || Target.Info_.Leaving_ ||
         !domainOf(Target).Available_;
}

bool Fleet::isUsable(const Worker &Target) const {
  return Target.Info_.Schedulable_ && !isDraining(Target) &&
         (!Target.Quarantined_ || Target.ProbeAllowed_);
}

void Fleet::refresh(Worker &Target) {
  auto File = [&](std::set<WorkerNumber> &Set, bool Member) {
    if (Member)
      Set.insert(Target.Info_.Worker_);
    else
      Set.erase(Target.Info_.Worker_);
  };
  File(EvictingWorkers_, Target.Evicting_ != base::Resources{});
  File(DrainingWorkers_,
       isDraining(Target) && Target.Evicting_ != Target.Allocated_);
  base::Resources Before =
      Target.IndexCell_ < 0 ? base::Resources{-1, -1, -1} : Target.Usable_;
  if (!isUsable(Target)) {
    Index_.remove(Target);
    return;
  }
  Target.Usable_ = minOf(Target.free(), Target.freeAfterEvictions());
  Index_.update(Target);
  if (!Target.Usable_.fitsIn(Before))
    recordFreed(Target.Usable_);
}

void Fleet::setDomainAvailable(DomainNumber Number, bool Available) {
  Domain &Place = Domains_[Number];
  if (Place.Available_ == Available)
    return;
  Place.Available_ = Available;
  Place.RampPending_ = Available;
  for (auto &[Each, Target] : Workers_)
    if (Target.Info_.Domain_ == Number)
      refresh(Target);
}

Allocation &Fleet::allocate(const RunningTask &Run, Worker &Target) {
  Allocation &Task = Tasks_[Run.Task_.Task_];
  Task.Run_ = Run;
  Task.Worker_ = &Target;
  Task.Kind_ = internKind(Run.Task_.Kind_);
  Target.Tasks_.push_back(&Task);
  auto &Kinds = Target.KindCounts_;
  auto Kind = std::find_if(Kinds.begin(), Kinds.end(), [&](auto &Each) {
    return Each.Kind_ == Task.Kind_;
  });
  if (Kind == Kinds.end())
    Kind = Kinds.insert(Kinds.end(), KindCount{Task.Kind_, 0, 0});
  ++(Run.Task_.Class_ == TaskClass::Batch ? Kind->Batch_
                                          : Kind->LatencyCritical_);
  Target.Allocated_ += Run.Task_.Request_;
  Domains_[Target.Info_.Domain_].Allocated_ += Run.Task_.Request_;
  if (Run.Task_.Gang_ != 0)
    Gangs_[Run.Task_.Gang_].push_back(&Task);
  countSpread(Task, 1);
  refresh(Target);
  return Task;
}

void Fleet::release(Allocation &Task) {
  Worker &Target = *Task.Worker_;
  const PendingTask Spec = Task.Run_.Task_;
  countSpread(Task, -1);
  Target.Tasks_.erase(
      std::find(Target.Tasks_.begin(), Target.Tasks_.end(), &Task));
  auto &Kinds = Target.KindCounts_;
  auto Kind = std::find_if(Kinds.begin(), Kinds.end(), [&](auto &Each) {
    return Each.Kind_ == Task.Kind_;
  });
  --(Spec.Class_ == TaskClass::Batch ? Kind->Batch_ : Kind->LatencyCritical_);
  if (Kind->Batch_ + Kind->LatencyCritical_ == 0)
    Kinds.erase(Kind);
  if (Spec.Gang_ != 0) {
    auto Members = Gangs_.find(Spec.Gang_);
    auto &List = Members->second;
    List.erase(std::find(List.begin(), List.end(), &Task));
    if (List.empty())
      Gangs_.erase(Members);
  }
  Target.Allocated_ -= Spec.Request_;
  Domains_[Target.Info_.Domain_].Allocated_ -= Spec.Request_;
  if (Task.Evicting_)
    Target.Evicting_ -= Spec.Request_;
  Tasks_.erase(Spec.Task_);
  if (Target.Removed_ && Target.Tasks_.empty())
    remove(Target.Info_.Worker_);
  else
    refresh(Target);
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
  auto &Slot = MaxFreed_[Epoch_ % EpochHistory];
  Slot = maxOf(Slot, Usable);
}

bool Fleet::freedSince(uint64_t Epoch, const base::Resources &Request) const {
  return Epoch + EpochHistory <= Epoch_ + 1 ||
         Request.fitsIn(MaxFreedSince_[Epoch % EpochHistory]);
}

void Fleet::beginPlan(base::TimePoint Now) {
  Now_ = Now;
  bool Ramping = false;
  for (auto &[Number, Place] : Domains_) {
    if (Place.RampPending_)
      Place.RampStartedAt_ = Now;
    Place.RampPending_ = false;
    Ramping = Ramping || Place.RampStartedAt_;
    if (Place.RampStartedAt_ &&
        (rampFraction(Place, Now) >= 1 || !Place.Available_)) {
      // Tasks that the last limit held back are woken once more.
      Place.RampStartedAt_.reset();
      LastRampWakeup_ = {};
    }
  }
  if (Ramping && Now >= LastRampWakeup_ + RampWakeupPeriod) {
    LastRampWakeup_ = Now;
    recordFreed({Unbounded, Unbounded, Unbounded});
  }
  base::Resources Sum;
  for (uint64_t Back = 0; Back < EpochHistory && Back <= Epoch_; ++Back) {
    auto Slot = (Epoch_ - Back) % EpochHistory;
    Sum = maxOf(Sum, MaxFreed_[Slot]);
    MaxFreedSince_[Slot] = Sum;
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
  const Domain &Place = domainOf(Target);
  if (!Place.RampStartedAt_ || Place.Allocated_ == base::Resources{})
    return true;
  return base::dominantShare(Place.Allocated_ + Request, Place.Capacity_) <=
         rampFraction(Place, Now);
}

} // namespace crocuslead::schedule::internal
