#include "schedule/internal/Starter.h"

#include "schedule/internal/Placement.h"

#include <algorithm>
#include <queue>

namespace crocuslead::schedule::internal {

namespace {

constexpr std::size_t MaxFailedRequests = 32;
// A task waits this long before capacity is kept free for it.
constexpr std::chrono::seconds StarvationTime(15);
// A gang that found no capacity waits up to 2^4 plans before the next attempt,
// since an attempt costs a search for each member.
constexpr uint32_t MaxGangBackoffExponent = 4;

} // namespace

void Starter::wakeQueue(SubQueue &Queue) {
  std::vector<EquivalenceClass *> Woken;
  for (EquivalenceClass *Class : Queue.Blocked_) {
    if (Class->isGang() &&
        State_.Fleet_.epoch() <
            Class->BlockedEpoch_ + (1ULL << std::min(Class->Failures_ - 1,
                                                     MaxGangBackoffExponent)))
      continue;
    if (State_.Fleet_.freedSince(Class->BlockedEpoch_, Class->Request_))
      Woken.push_back(Class);
  }
  for (EquivalenceClass *Class : Woken)
    State_.Queue_.wake(*Class);
}

void Starter::wake() {
  wakeQueue(State_.Queue_.urgentQueue());
  for (auto &[Workspace, Queue] : State_.Queue_.workspaceQueues())
    wakeQueue(Queue);
}

bool Starter::isDominated(const PendingTask &Task) const {
  return std::any_of(FailedRequests_.begin(), FailedRequests_.end(),
                     [&](const auto &Failed) {
                       return Failed.first == Task.Urgent_ &&
                              Failed.second.fitsIn(Task.Request_);
                     });
}

bool Starter::startTask(const PendingTask &Task, Reason Cause) {
  if (isDominated(Task))
    return false;
  Worker *Target = bestWorker(State_, Task);
  if (Target == nullptr) {
    if (FailedRequests_.size() < MaxFailedRequests && Task.Gang_ == 0)
      FailedRequests_.emplace_back(Task.Urgent_, Task.Request_);
    return false;
  }
  State_.start(Task, *Target, Cause, Decisions_);
  return true;
}

// Places the members one after another on trial. The placements are undone in
// any case; the decisions are issued only when every member found capacity.
bool Starter::startGang(EquivalenceClass &Gang, Reason Cause) {
  std::vector<PendingTask> Members;
  std::size_t Size = Gang.groupSize();
  for (const PendingEntry *Entry = Gang.Head_; Members.size() < Size;
       Entry = Entry->Next_)
    Members.push_back(Entry->Task_);
  std::vector<std::pair<PendingTask, Worker *>> Placed;
  State_.Fleet_.suppressWakeups(true);
  for (const PendingTask &Member : Members) {
    auto Reserved = State_.Reservations_.find(Member.Task_);
    Worker *Target = nullptr;
    if (Reserved != State_.Reservations_.end() &&
        Member.Request_.fitsIn(Reserved->second.Worker_->free()) &&
        mayStart(State_, Member, *Reserved->second.Worker_))
      Target = Reserved->second.Worker_;
    else
      Target = bestWorker(State_, Member);
    if (Target == nullptr)
      break;
    State_.Fleet_.allocate(
        {Member, Target->Info_.Worker_, State_.Now_, State_.Now_}, *Target);
    Placed.emplace_back(Member, Target);
  }
  for (auto &[Task, Target] : Placed)
    State_.Fleet_.release(*State_.Fleet_.findTask(Task.Task_));
  State_.Fleet_.suppressWakeups(false);
  if (Placed.size() < Size)
    return false;
  for (auto &[Task, Target] : Placed)
    State_.start(Task, *Target, Cause, Decisions_);
  return true;
}

bool Starter::startFirst(SubQueue &Queue, Reason Cause) {
  EquivalenceClass &First = **Queue.Ready_.begin();
  if (Decisions_.size() + First.groupSize() > Limit_) {
    // A gang larger than the limit of a plan must not stop the other classes.
    if (First.groupSize() > Limit_)
      State_.Queue_.block(First, State_.Fleet_.epoch());
    else
      Limit_ = Decisions_.size();
    return false;
  }
  bool Started = First.isGang() ? startGang(First, Cause)
                                : startTask(PendingTask(First.first()), Cause);
  if (!Started)
    State_.Queue_.block(First, State_.Fleet_.epoch());
  return Started;
}

void Starter::startReserved(bool Urgent) {
  std::vector<Reservation> Ready;
  for (const auto &[Task, Reserved] : State_.Reservations_)
    if (Reserved.Task_.Urgent_ == Urgent &&
        Reserved.Task_.Request_.fitsIn(Reserved.Worker_->free()))
      Ready.push_back(Reserved);
  for (const Reservation &Reserved : Ready) {
    const PendingEntry *Entry = State_.Queue_.find(Reserved.Task_.Task_);
    if (limitReached() || Entry == nullptr)
      continue;
    if (Entry->EquivalenceClass_->isGang()) {
      if (Entry->EquivalenceClass_->State_ == EquivalenceClass::State::Blocked)
        State_.Queue_.wake(*Entry->EquivalenceClass_);
    } else if (Reserved.Task_.Request_.fitsIn(Reserved.Worker_->free()) &&
               mayStart(State_, Reserved.Task_, *Reserved.Worker_)) {
      State_.start(Reserved.Task_, *Reserved.Worker_, Reserved.Cause_,
                   Decisions_);
    }
  }
}

// A starving task has waited for long while later ones of its workspace were
// started. It gets a worker on which freed capacity is kept for it, since
// smaller tasks would take each gap. One at a time, because the capacity is
// idle until enough of it is free.
void Starter::reserveForStarving() {
  const PendingTask *Starving = nullptr;
  for (auto &[Workspace, Queue] : State_.Queue_.workspaceQueues()) {
    base::TimePoint Newest = State_.Shares_.account(Workspace).NewestStarted_;
    for (const EquivalenceClass *Class : Queue.Blocked_) {
      const PendingTask &Task = Class->first();
      if (Class->isGang() || Task.Submitted_ >= Newest ||
          State_.Now_ < Task.Submitted_ + StarvationTime)
        continue;
      if (State_.Reservations_.count(Task.Task_) > 0)
        return;
      if (Starving == nullptr || Task.Submitted_ < Starving->Submitted_)
        Starving = &Task;
    }
  }
  if (Starving == nullptr)
    return;
  if (Worker *Target = workerWithLeastMissing(*Starving))
    State_.reserve(PendingTask(*Starving), *Target, Reason::BestFit);
}

Worker *Starter::workerWithLeastMissing(const PendingTask &Task) {
  Worker *Best = nullptr;
  double LeastMissing = 0;
  for (auto &[Number, Target] : State_.Fleet_.workers()) {
    if (Target.Reserved_ != base::Resources{} || Target.Quarantined_ ||
        !Task.Request_.fitsIn(Target.Info_.Capacity_) ||
        !mayStart(State_, Task, Target))
      continue;
    double Missing = base::dominantShare(
        maxOf(Task.Request_ - Target.free(), {}), Target.Info_.Capacity_);
    if (Best == nullptr || Missing < LeastMissing) {
      Best = &Target;
      LeastMissing = Missing;
    }
  }
  return Best;
}

void Starter::startUrgent() {
  startReserved(true);
  SubQueue &Urgent = State_.Queue_.urgentQueue();
  while (!limitReached() && !Urgent.Ready_.empty())
    startFirst(Urgent, Reason::UrgentFirst);
}

void Starter::startByShare() {
  startReserved(false);
  reserveForStarving();
  using RankedWorkspace = std::pair<double, WorkspaceNumber>;
  std::priority_queue<RankedWorkspace, std::vector<RankedWorkspace>,
                      std::greater<>>
      ByRank;
  auto &Queues = State_.Queue_.workspaceQueues();
  auto Enqueue = [&](WorkspaceNumber Workspace) {
    ByRank.emplace(State_.Shares_.rank(State_.Shares_.account(Workspace)),
                   Workspace);
  };
  for (auto &[Workspace, Queue] : Queues)
    if (!Queue.Ready_.empty())
      Enqueue(Workspace);
  while (!limitReached() && !ByRank.empty()) {
    WorkspaceNumber Workspace = ByRank.top().second;
    ByRank.pop();
    SubQueue &Queue = Queues.at(Workspace);
    // A failed attempt does not change the rank, so the next class of the same
    // queue is tried.
    while (!limitReached() && !Queue.Ready_.empty() &&
           !startFirst(Queue, Reason::BestFit)) {
    }
    if (!Queue.Ready_.empty())
      Enqueue(Workspace);
  }
}

} // namespace crocuslead::schedule::internal
