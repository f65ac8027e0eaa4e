#include "schedule/internal/Evictor.h"

#include "schedule/internal/Placement.h"

#include <algorithm>

namespace crocuslead::schedule::internal {

namespace {

// Evictions per plan from workers that are drained.
constexpr std::size_t MaxDrainEvictions = 64;
// Searches for victims per plan; bounds the cost of a plan when many tasks are
// pending.
constexpr std::size_t UrgentSearches = 32;
constexpr std::size_t ReclaimSearches = 16;
// Batch tasks of a workspace below its share are next in line for capacity that
// comes free, so they wait this long for it before they cause evictions.
constexpr std::chrono::seconds ReclaimGracePeriod(10);
// A class that found no victims is not searched for again within this time, so
// that other classes get a search.
constexpr std::chrono::seconds PreemptionBackoff(1);

} // namespace

void Evictor::drainWorkers() {
  std::size_t Evictions =
      std::min(MaxDrainEvictions, (remainingDecisions() + 1) / 2);
  std::size_t End = Decisions_.size() + Evictions;
  auto Draining = State_.Fleet_.drainingWorkers();
  for (WorkerNumber Number : Draining) {
    Worker &Source = *State_.Fleet_.find(Number);
    Reason Cause = State_.Fleet_.domainOf(Source).Available_
                       ? Reason::WorkerLeaving
                       : Reason::DomainOut;
    for (Allocation *Task : Source.Tasks_) {
      if (Decisions_.size() >= End)
        return;
      auto Group = State_.evictionGroup(*Task);
      if (Task->Evicting_ || Group.size() > remainingDecisions())
        continue;
      for (Allocation *Member : Group)
        if (!Member->Evicting_)
          State_.evict(*Member, Cause, Decisions_);
    }
  }
}

bool Evictor::evictUnprotected(Allocation &Task, Reason Cause) {
  auto Group = State_.evictionGroup(Task);
  if (Group.size() > remainingDecisions() || State_.isProtected(Task))
    return false;
  for (Allocation *Member : Group)
    if (!Member->Evicting_)
      State_.evict(*Member, Cause, Decisions_);
  return true;
}

bool Evictor::isEntitled(const PendingTask &Task,
                         const base::Resources &Request) {
  Account &Owner = State_.Shares_.account(Task.Workspace_);
  return State_.Shares_.shareAfterChange(Owner, Owner.Reserved_ + Request,
                                         {}) <=
         State_.Shares_.entitlement(Owner);
}

bool Evictor::inGracePeriod(const PendingTask &Task) const {
  return Task.Class_ == TaskClass::Batch &&
         State_.Now_ < Task.Submitted_ + ReclaimGracePeriod;
}

std::optional<Evictor::EvictionPlan>
Evictor::findCheapestPlan(const PendingTask &Task) {
  // Capacity that evictions already issued will free costs nothing.
  for (WorkerNumber Number : State_.Fleet_.evictingWorkers()) {
    Worker &Target = *State_.Fleet_.find(Number);
    if (Task.Request_.fitsIn(Target.freeAfterEvictions()) &&
        mayStart(State_, Task, Target))
      return EvictionPlan{&Target, {}, 0};
  }
  auto &Workers = State_.Fleet_.workers();
  std::optional<EvictionPlan> Best;
  auto It = Workers.lower_bound(State_.EvictionCursor_);
  for (std::size_t I = 0, N = std::min(State::WorkersPerSearch, Workers.size());
       I < N; ++I, ++It) {
    if (It == Workers.end())
      It = Workers.begin();
    State_.EvictionCursor_ = It->first + 1;
    auto Plan = planOn(Task, It->second);
    if (Plan && (!Best || Plan->Cost_ < Best->Cost_))
      Best = std::move(Plan);
  }
  return Best;
}

bool Evictor::preemptForTasks(const std::vector<PendingTask> &Tasks,
                              Reason Cause) {
  std::vector<EvictionPlan> Plans;
  std::size_t Victims = 0;
  bool Complete = true;
  State_.Fleet_.suppressWakeups(true);
  for (const PendingTask &Task : Tasks) {
    std::optional<EvictionPlan> Plan;
    // Members of a gang may also use capacity that is free already.
    if (Worker *Free = Tasks.size() > 1 ? bestWorker(State_, Task) : nullptr)
      Plan = EvictionPlan{Free, {}, 0};
    else
      Plan = findCheapestPlan(Task);
    Complete =
        Plan && (Victims += Plan->Victims_.size()) <= remainingDecisions();
    if (!Complete)
      break;
    for (Allocation *Victim : Plan->Victims_)
      State_.markEvicting(*Victim);
    State_.reserve(Task, *Plan->Worker_,
                   Task.Urgent_ ? Reason::UrgentFirst : Reason::ReclaimedShare);
    Plans.push_back(std::move(*Plan));
  }
  for (std::size_t I = 0; I < Plans.size(); ++I) {
    // A pending gang must not hold capacity, so free capacity is not kept
    // reserved for its members.
    bool Keep = Complete && Plans[I].Worker_->Evicting_ != base::Resources{};
    if (!Keep)
      State_.unreserve(Tasks[I].Task_);
    for (Allocation *Victim : Plans[I].Victims_)
      if (Complete)
        State_.evict(*Victim, Cause, Decisions_);
      else
        State_.unmarkEvicting(*Victim);
  }
  State_.Fleet_.suppressWakeups(false);
  return Complete;
}

bool Evictor::preemptForClass(EquivalenceClass &Class, Reason Cause,
                              std::size_t &Searches) {
  const PendingEntry *Next = Class.Head_;
  std::size_t Size = Class.groupSize();
  while (Next != nullptr && Searches > 0 && remainingDecisions() > 0) {
    std::vector<PendingTask> Tasks;
    base::Resources Sum;
    for (std::size_t I = 0; I < Size && Next != nullptr;
         ++I, Next = Next->Next_) {
      if (State_.Reservations_.count(Next->Task_.Task_) > 0)
        continue;
      Tasks.push_back(Next->Task_);
      Sum += Next->Task_.Request_;
    }
    if (Tasks.empty())
      continue;
    if (Cause == Reason::ReclaimedShare &&
        (!isEntitled(Tasks.front(), Sum) || inGracePeriod(Tasks.front())))
      return false;
    Searches -= std::min(Searches, Tasks.size());
    if (!preemptForTasks(Tasks, Cause))
      return false;
    if (Class.isGang())
      return true;
  }
  return true;
}

void Evictor::preemptForQueue(SubQueue &Queue, Reason Cause,
                              std::size_t &Searches) {
  for (EquivalenceClass *Class : Queue.Blocked_) {
    if (Searches == 0 || remainingDecisions() == 0)
      return;
    if (!Class->isUrgent() && State_.Now_ < Class->NextPreemption_)
      continue;
    if (!preemptForClass(*Class, Cause, Searches))
      Class->NextPreemption_ = State_.Now_ + PreemptionBackoff;
  }
}

void Evictor::preemptForUrgent() {
  std::size_t Searches = UrgentSearches;
  preemptForQueue(State_.Queue_.urgentQueue(), Reason::UrgentPreemption,
                  Searches);
}

void Evictor::reclaim() {
  std::vector<std::pair<double, SubQueue *>> Order;
  for (auto &[Workspace, Queue] : State_.Queue_.workspaceQueues())
    if (!Queue.Blocked_.empty())
      Order.emplace_back(State_.Shares_.rank(State_.Shares_.account(Workspace)),
                         &Queue);
  std::stable_sort(Order.begin(), Order.end(),
                   [](auto &A, auto &B) { return A.first < B.first; });
  std::size_t Searches = ReclaimSearches;
  for (auto &[Rank, Queue] : Order)
    preemptForQueue(*Queue, Reason::ReclaimedShare, Searches);
}

} // namespace crocuslead::schedule::internal
