#include "schedule/internal/Evictor.h"

#include "schedule/internal/Placement.h"

#include <algorithm>

namespace crocuslead::schedule::internal {

namespace {

// Evictions of departing tasks in one plan.
constexpr std::size_t EvacuationStep = 64;
// Searches for victims in one plan; bounds its cost when much work waits.
constexpr std::size_t UrgentSearches = 32;
constexpr std::size_t ReclaimSearches = 16;
// Batch work below its share gets the next capacity that comes free, so it
// waits this long for it before it has tasks evicted.
constexpr std::chrono::seconds ReclaimGrace(10);
// A shape without victims waits this long, so that others get a search.
constexpr std::chrono::seconds ClaimBackoff(1);

} // namespace

void Evictor::evacuate() {
  std::size_t Step = std::min(EvacuationStep, (room() + 1) / 2);
  std::size_t End = Out_.size() + Step;
  auto Departing = State_.Fleet_.departingWorkers();
  for (WorkerNumber Number : Departing) {
    Worker &Target = *State_.Fleet_.find(Number);
    Reason Why = State_.Fleet_.domainOf(Target).Available_
                     ? Reason::WorkerLeaving
                     : Reason::DomainOut;
    for (Occupant *Each : Target.Tasks_) {
      if (Out_.size() >= End)
        return;
      auto Unit = State_.unitOf(*Each);
      if (Each->Evicting_ || Unit.size() > room())
        continue;
      for (Occupant *Member : Unit)
        if (!Member->Evicting_)
          State_.evict(*Member, Why, Out_);
    }
  }
}

bool Evictor::evictUnprotected(Occupant &Task, Reason Why) {
  auto Unit = State_.unitOf(Task);
  if (Unit.size() > room() || State_.isProtected(Task))
    return false;
  for (Occupant *Member : Unit)
    if (!Member->Evicting_)
      State_.evict(*Member, Why, Out_);
  return true;
}

bool Evictor::isEntitled(const PendingTask &Task,
                         const base::Resources &Request) {
  Account &Of = State_.Shares_.account(Task.Workspace_);
  return State_.Shares_.shareAfter(Of, Of.Reserved_ + Request, {}) <=
         State_.Shares_.entitlement(Of);
}

bool Evictor::inGrace(const PendingTask &Task) const {
  return Task.Class_ == TaskClass::Batch &&
         State_.Now_ < Task.Submitted_ + ReclaimGrace;
}

std::optional<Evictor::Offer> Evictor::bestOffer(const PendingTask &Task) {
  // Room that comes free by evictions already issued costs nothing.
  for (WorkerNumber Number : State_.Fleet_.evictingWorkers()) {
    Worker &Target = *State_.Fleet_.find(Number);
    if (Task.Request_.fitsIn(Target.freeLater()) &&
        mayStart(State_, Task, Target))
      return Offer{&Target, {}, 0};
  }
  auto &Workers = State_.Fleet_.workers();
  std::optional<Offer> Best;
  auto It = Workers.lower_bound(State_.EvictionCursor_);
  for (std::size_t I = 0, N = std::min(State::WorkersPerSearch, Workers.size());
       I < N; ++I, ++It) {
    if (It == Workers.end())
      It = Workers.begin();
    State_.EvictionCursor_ = It->first + 1;
    auto Found = offerOf(Task, It->second);
    if (Found && (!Best || Found->Cost_ < Best->Cost_))
      Best = std::move(Found);
  }
  return Best;
}

bool Evictor::claimUnit(const std::vector<PendingTask> &Unit, Reason Why) {
  std::vector<Offer> Offers;
  std::size_t Victims = 0;
  bool Complete = true;
  State_.Fleet_.setQuiet(true);
  for (const PendingTask &Task : Unit) {
    std::optional<Offer> Found;
    // Members of a gang may also use room that is free already.
    if (Worker *Free = Unit.size() > 1 ? bestWorker(State_, Task) : nullptr)
      Found = Offer{Free, {}, 0};
    else
      Found = bestOffer(Task);
    Complete = Found && (Victims += Found->Victims_.size()) <= room();
    if (!Complete)
      break;
    for (Occupant *Each : Found->Victims_)
      State_.mark(*Each);
    State_.reserve(Task, *Found->Worker_);
    Offers.push_back(std::move(*Found));
  }
  for (std::size_t I = 0; I < Offers.size(); ++I) {
    // A waiting gang holds nothing, so free room is not kept for its members.
    bool Keep = Complete && Offers[I].Worker_->Evicting_ != base::Resources{};
    if (!Keep)
      State_.unreserve(Unit[I].Task_);
    for (Occupant *Each : Offers[I].Victims_)
      if (Complete)
        State_.evict(*Each, Why, Out_);
      else
        State_.unmark(*Each);
  }
  State_.Fleet_.setQuiet(false);
  return Complete;
}

bool Evictor::claimShape(Shape &Target, Reason Why, std::size_t &Searches) {
  const Entry *Next = Target.Head_;
  std::size_t Size = Target.unitSize();
  while (Next != nullptr && Searches > 0 && room() > 0) {
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
        (!isEntitled(Unit.front(), Sum) || inGrace(Unit.front())))
      return false;
    Searches -= std::min(Searches, Unit.size());
    if (!claimUnit(Unit, Why))
      return false;
    if (Target.isGang())
      return true;
  }
  return true;
}

void Evictor::claimLane(Lane &Place, Reason Why, std::size_t &Searches) {
  for (Shape *Each : Place.Blocked_) {
    if (Searches == 0 || room() == 0)
      return;
    if (!Each->urgent() && State_.Now_ < Each->NextClaim_)
      continue;
    if (!claimShape(*Each, Why, Searches))
      Each->NextClaim_ = State_.Now_ + ClaimBackoff;
  }
}

void Evictor::makeRoomForUrgent() {
  std::size_t Searches = UrgentSearches;
  claimLane(State_.Queue_.urgent(), Reason::UrgentPreemption, Searches);
}

void Evictor::reclaim() {
  std::vector<std::pair<double, Lane *>> Order;
  for (auto &[Number, Place] : State_.Queue_.lanes())
    if (!Place.Blocked_.empty())
      Order.emplace_back(State_.Shares_.rank(State_.Shares_.account(Number)),
                         &Place);
  std::stable_sort(Order.begin(), Order.end(),
                   [](auto &A, auto &B) { return A.first < B.first; });
  std::size_t Searches = ReclaimSearches;
  for (auto &[Rank, Place] : Order)
    claimLane(*Place, Reason::ReclaimedShare, Searches);
}

} // namespace crocuslead::schedule::internal
