#include "schedule/internal/Evictor.h"

#include "schedule/internal/Placement.h"

#include <algorithm>

namespace crocuslead::schedule::internal {

namespace {

// Evictions of departing tasks in one plan.
constexpr std::size_t MaxDrainEvictions = 64;
// Searches for victims in one plan; bounds its cost when much work waits.
constexpr std::size_t UrgentSearches = 32;
constexpr std::size_t ReclaimSearches = 16;
// Batch work below its share gets the next capacity that comes free, so it
// waits this long for it before it has tasks evicted.
constexpr std::chrono::seconds ReclaimGrace(10);
// A shape without victims waits this long, so that others get a search.
constexpr std::chrono::seconds ClaimBackoff(1);

} // namespace

void Evictor::drainWorkers() {
  std::size_t Step =
      std::min(MaxDrainEvictions, (remainingDecisions() + 1) / 2);
  std::size_t End = Out_.size() + Step;
  auto Departing = State_.Fleet_.drainingWorkers();
  for (WorkerNumber Number : Departing) {
    Worker &Target = *State_.Fleet_.find(Number);
    Reason Why = State_.Fleet_.domainOf(Target).Available_
                     ? Reason::WorkerLeaving
                     : Reason::DomainOut;
    for (Allocation *Each : Target.Tasks_) {
      if (Out_.size() >= End)
        return;
      auto Unit = State_.evictionGroup(*Each);
      if (Each->Evicting_ || Unit.size() > remainingDecisions())
        continue;
      for (Allocation *Member : Unit)
        if (!Member->Evicting_)
          State_.evict(*Member, Why, Out_);
    }
  }
}

bool Evictor::evictUnprotected(Allocation &Task, Reason Why) {
  auto Unit = State_.evictionGroup(Task);
  if (Unit.size() > remainingDecisions() || State_.isProtected(Task))
    return false;
  for (Allocation *Member : Unit)
    if (!Member->Evicting_)
      State_.evict(*Member, Why, Out_);
  return true;
}

bool Evictor::isEntitled(const PendingTask &Task,
                         const base::Resources &Request) {
  Account &Of = State_.Shares_.account(Task.Workspace_);
  return State_.Shares_.shareAfterChange(Of, Of.Reserved_ + Request, {}) <=
         State_.Shares_.entitlement(Of);
}

bool Evictor::inGracePeriod(const PendingTask &Task) const {
  return Task.Class_ == TaskClass::Batch &&
         State_.Now_ < Task.Submitted_ + ReclaimGrace;
}

std::optional<Evictor::EvictionPlan>
Evictor::findCheapestPlan(const PendingTask &Task) {
  // Room that comes free by evictions already issued costs nothing.
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
    auto Found = planOn(Task, It->second);
    if (Found && (!Best || Found->Cost_ < Best->Cost_))
      Best = std::move(Found);
  }
  return Best;
}

bool Evictor::preemptForTasks(const std::vector<PendingTask> &Unit,
                              Reason Why) {
  std::vector<EvictionPlan> Offers;
  std::size_t Victims = 0;
  bool Complete = true;
  State_.Fleet_.suppressWakeups(true);
  for (const PendingTask &Task : Unit) {
    std::optional<EvictionPlan> Found;
    // Members of a gang may also use room that is free already.
    if (Worker *Free = Unit.size() > 1 ? bestWorker(State_, Task) : nullptr)
      Found = EvictionPlan{Free, {}, 0};
    else
      Found = findCheapestPlan(Task);
    Complete =
        Found && (Victims += Found->Victims_.size()) <= remainingDecisions();
    if (!Complete)
      break;
    for (Allocation *Each : Found->Victims_)
      State_.markEvicting(*Each);
    State_.reserve(Task, *Found->Worker_);
    Offers.push_back(std::move(*Found));
  }
  for (std::size_t I = 0; I < Offers.size(); ++I) {
    // A waiting gang holds nothing, so free room is not kept for its members.
    bool Keep = Complete && Offers[I].Worker_->Evicting_ != base::Resources{};
    if (!Keep)
      State_.unreserve(Unit[I].Task_);
    for (Allocation *Each : Offers[I].Victims_)
      if (Complete)
        State_.evict(*Each, Why, Out_);
      else
        State_.unmarkEvicting(*Each);
  }
  State_.Fleet_.suppressWakeups(false);
  return Complete;
}

bool Evictor::preemptForClass(EquivalenceClass &Target, Reason Why,
                              std::size_t &Searches) {
  const PendingEntry *Next = Target.Head_;
  std::size_t Size = Target.groupSize();
  while (Next != nullptr && Searches > 0 && remainingDecisions() > 0) {
    std::vector<PendingTask> Unit;
    base::Resources Sum;
    for (std::size_t I = 0; I < Size && Next != nullptr;
         ++I, Next = Next->Next_) {
      if (State_.Reservations_.count(Next->Task_.Task_) > 0)
        continue;
      Unit.push_back(Next->Task_);
      Sum += Next->Task_.Request_;
    }
    if (Unit.empty())
      continue;
    if (Why == Reason::ReclaimedShare &&
        (!isEntitled(Unit.front(), Sum) || inGracePeriod(Unit.front())))
      return false;
    Searches -= std::min(Searches, Unit.size());
    if (!preemptForTasks(Unit, Why))
      return false;
    if (Target.isGang())
      return true;
  }
  return true;
}

void Evictor::preemptForQueue(SubQueue &Place, Reason Why,
                              std::size_t &Searches) {
  for (EquivalenceClass *Each : Place.Blocked_) {
    if (Searches == 0 || remainingDecisions() == 0)
      return;
    if (!Each->isUrgent() && State_.Now_ < Each->NextPreemption_)
      continue;
    if (!preemptForClass(*Each, Why, Searches))
      Each->NextPreemption_ = State_.Now_ + ClaimBackoff;
  }
}

void Evictor::preemptForUrgent() {
  std::size_t Searches = UrgentSearches;
  preemptForQueue(State_.Queue_.urgentQueue(), Reason::UrgentPreemption,
                  Searches);
}

void Evictor::reclaim() {
  std::vector<std::pair<double, SubQueue *>> Order;
  for (auto &[Number, Place] : State_.Queue_.workspaceQueues())
    if (!Place.Blocked_.empty())
      Order.emplace_back(State_.Shares_.rank(State_.Shares_.account(Number)),
                         &Place);
  std::stable_sort(Order.begin(), Order.end(),
                   [](auto &A, auto &B) { return A.first < B.first; });
  std::size_t Searches = ReclaimSearches;
  for (auto &[Rank, Place] : Order)
    preemptForQueue(*Place, Reason::ReclaimedShare, Searches);
}

} // namespace crocuslead::schedule::internal
