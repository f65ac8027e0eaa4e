#include "schedule/internal/Starter.h"

#include "schedule/internal/Placement.h"

#include <algorithm>
#include <queue>

namespace crocuslead::schedule::internal {

namespace {

constexpr std::size_t FailedRequestsKept = 32;
// A gang that found no room waits up to 2^4 plans before the next
// trial, since a trial costs a search for each member.
constexpr uint32_t LongestGangBackoff = 4;

} // namespace

void Starter::wakeQueue(SubQueue &Place) {
  std::vector<EquivalenceClass *> Woken;
  for (EquivalenceClass *Each : Place.Blocked_) {
    if (Each->isGang() &&
        State_.Fleet_.epoch() <
            Each->BlockedEpoch_ +
                (1ULL << std::min(Each->Failures_ - 1, LongestGangBackoff)))
      continue;
    if (State_.Fleet_.freedSince(Each->BlockedEpoch_, Each->Request_))
      Woken.push_back(Each);
  }
  for (EquivalenceClass *Each : Woken)
    State_.Queue_.wake(*Each);
}

void Starter::wake() {
  wakeQueue(State_.Queue_.urgentQueue());
  for (auto &[Number, Place] : State_.Queue_.workspaceQueues())
    wakeQueue(Place);
}

bool Starter::isDominated(const PendingTask &Task) const {
  return std::any_of(Failed_.begin(), Failed_.end(), [&](const auto &Each) {
    return Each.first == Task.Urgent_ && Each.second.fitsIn(Task.Request_);
  });
}

bool Starter::startTask(const PendingTask &Task, Reason Why) {
  if (isDominated(Task))
    return false;
  Worker *Target = bestWorker(State_, Task);
  if (Target == nullptr) {
    if (Failed_.size() < FailedRequestsKept && Task.Gang_ == 0)
      Failed_.emplace_back(Task.Urgent_, Task.Request_);
    return false;
  }
  State_.start(Task, *Target, Why, Out_);
  return true;
}

// Members are placed one after another; when one finds no room, the placements
// of the others are undone before any decision is given out.
bool Starter::startGang(EquivalenceClass &Gang, Reason Why) {
  std::vector<PendingTask> Members;
  std::size_t Size = Gang.groupSize();
  for (const PendingEntry *Each = Gang.Head_; Members.size() < Size;
       Each = Each->Next_)
    Members.push_back(Each->Task_);
  std::vector<std::pair<PendingTask, Worker *>> Placed;
  State_.Fleet_.suppressWakeups(true);
  for (const PendingTask &Each : Members) {
    auto Promise = State_.Reservations_.find(Each.Task_);
    Worker *Target = nullptr;
    if (Promise != State_.Reservations_.end() &&
        Each.Request_.fitsIn(Promise->second.Worker_->free()) &&
        mayStart(State_, Each, *Promise->second.Worker_))
      Target = Promise->second.Worker_;
    else
      Target = bestWorker(State_, Each);
    if (Target == nullptr)
      break;
    State_.Fleet_.allocate(
        {Each, Target->Info_.Worker_, State_.Now_, State_.Now_}, *Target);
    Placed.emplace_back(Each, Target);
  }
  for (auto &[Task, Target] : Placed)
    State_.Fleet_.release(*State_.Fleet_.findTask(Task.Task_));
  State_.Fleet_.suppressWakeups(false);
  if (Placed.size() < Size)
    return false;
  for (auto &[Task, Target] : Placed)
    State_.start(Task, *Target, Why, Out_);
  return true;
}

bool Starter::startFirst(SubQueue &Place, Reason Why) {
  EquivalenceClass &First = **Place.Ready_.begin();
  if (Out_.size() + First.groupSize() > Limit_) {
    // A gang larger than any plan's limit must not stop the others.
    if (First.groupSize() > Limit_)
      State_.Queue_.block(First, State_.Fleet_.epoch());
    else
      Limit_ = Out_.size();
    return false;
  }
  bool Started = First.isGang() ? startGang(First, Why)
                                : startTask(PendingTask(First.first()), Why);
  if (!Started)
    State_.Queue_.block(First, State_.Fleet_.epoch());
  return Started;
}

void Starter::startReserved(bool Urgent) {
  std::vector<Reservation> Ready;
  for (const auto &[Task, Each] : State_.Reservations_)
    if (Each.Task_.Urgent_ == Urgent &&
        Each.Task_.Request_.fitsIn(Each.Worker_->free()))
      Ready.push_back(Each);
  for (const Reservation &Each : Ready) {
    const PendingEntry *Waiting = State_.Queue_.find(Each.Task_.Task_);
    if (limitReached() || Waiting == nullptr)
      continue;
    if (Waiting->EquivalenceClass_->isGang()) {
      if (Waiting->EquivalenceClass_->State_ ==
          EquivalenceClass::State::Blocked)
        State_.Queue_.wake(*Waiting->EquivalenceClass_);
    } else if (Each.Task_.Request_.fitsIn(Each.Worker_->free()) &&
               mayStart(State_, Each.Task_, *Each.Worker_)) {
      State_.start(Each.Task_, *Each.Worker_,
                   Urgent ? Reason::UrgentFirst : Reason::ReclaimedShare, Out_);
    }
  }
}

void Starter::startUrgent() {
  startReserved(true);
  SubQueue &Urgent = State_.Queue_.urgentQueue();
  while (!limitReached() && !Urgent.Ready_.empty())
    startFirst(Urgent, Reason::UrgentFirst);
}

void Starter::startByShare() {
  startReserved(false);
  using Turn = std::pair<double, WorkspaceNumber>;
  std::priority_queue<Turn, std::vector<Turn>, std::greater<>> Turns;
  auto &Lanes = State_.Queue_.workspaceQueues();
  auto Enqueue = [&](WorkspaceNumber Number) {
    Turns.emplace(State_.Shares_.rank(State_.Shares_.account(Number)), Number);
  };
  for (auto &[Number, Place] : Lanes)
    if (!Place.Ready_.empty())
      Enqueue(Number);
  while (!limitReached() && !Turns.empty()) {
    WorkspaceNumber Number = Turns.top().second;
    Turns.pop();
    SubQueue &Place = Lanes.at(Number);
    // Failed attempts leave the rank as it is, so the lane keeps its turn.
    while (!limitReached() && !Place.Ready_.empty() &&
           !startFirst(Place, Reason::BestFit)) {
    }
    if (!Place.Ready_.empty())
      Enqueue(Number);
  }
}

} // namespace crocuslead::schedule::internal
