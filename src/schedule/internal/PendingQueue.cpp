#include "schedule/internal/PendingQueue.h"

namespace crocuslead::schedule::internal {

namespace {

EquivalenceClass::Key keyOf(const PendingTask &Task) {
  if (Task.Gang_ != 0)
    return {Task.Workspace_, Task.Urgent_, Task.Class_, Task.Gang_, 0, 0, 0};
  return {Task.Workspace_,
          Task.Urgent_,
          Task.Class_,
          0,
          Task.Request_.MilliCpu_,
          Task.Request_.MemoryMb_,
          Task.Request_.Accelerators_};
}

} // namespace

SubQueue &PendingQueue::queueOf(const EquivalenceClass &Class) {
  return Class.isUrgent() ? Urgent_ : WorkspaceQueues_[std::get<0>(Class.Key_)];
}

// The order of the classes in a queue depends on their first tasks, so a class
// must be removed from its queue while its list of tasks changes.
void PendingQueue::removeFromQueue(EquivalenceClass &Class) {
  SubQueue &Queue = queueOf(Class);
  if (Class.State_ == EquivalenceClass::State::Ready)
    Queue.Ready_.erase(&Class);
  else if (Class.State_ == EquivalenceClass::State::Blocked)
    Queue.Blocked_.erase(&Class);
}

void PendingQueue::insertIntoQueue(EquivalenceClass &Class) {
  SubQueue &Queue = queueOf(Class);
  if (!Class.isComplete())
    Class.State_ = EquivalenceClass::State::Idle;
  else if (Class.State_ == EquivalenceClass::State::Idle)
    Class.State_ = EquivalenceClass::State::Ready;
  if (Class.State_ == EquivalenceClass::State::Ready)
    Queue.Ready_.insert(&Class);
  else if (Class.State_ == EquivalenceClass::State::Blocked)
    Queue.Blocked_.insert(&Class);
}

void PendingQueue::setState(EquivalenceClass &Class,
                            EquivalenceClass::State State) {
  removeFromQueue(Class);
  Class.State_ = State;
  insertIntoQueue(Class);
}

void PendingQueue::block(EquivalenceClass &Class, uint64_t Epoch) {
  Class.BlockedEpoch_ = Epoch;
  ++Class.Failures_;
  setState(Class, EquivalenceClass::State::Blocked);
}

void PendingQueue::wake(EquivalenceClass &Class) {
  setState(Class, EquivalenceClass::State::Ready);
}

void PendingQueue::add(const PendingTask &Task) {
  remove(Task.Task_);
  PendingEntry &Entry = Entries_[Task.Task_];
  Entry.Task_ = Task;
  EquivalenceClass::Key Key = keyOf(Task);
  auto &Slot = Classes_[Key];
  if (!Slot) {
    Slot = std::make_unique<EquivalenceClass>();
    Slot->Key_ = Key;
    Slot->Request_ = Task.Request_;
  }
  EquivalenceClass &Class = *Slot;
  bool OrderChanges = Class.Head_ == nullptr || Class.isGang();
  if (OrderChanges)
    removeFromQueue(Class);
  Entry.EquivalenceClass_ = &Class;
  Entry.Previous_ = Class.Tail_;
  (Class.Tail_ != nullptr ? Class.Tail_->Next_ : Class.Head_) = &Entry;
  Class.Tail_ = &Entry;
  ++Class.Count_;
  Class.Request_ = minOf(Class.Request_, Task.Request_);
  if (OrderChanges || Class.Infeasible_)
    Unchecked_.insert(Key);
  if (OrderChanges)
    insertIntoQueue(Class);
}

bool PendingQueue::remove(TaskNumber Task) {
  auto It = Entries_.find(Task);
  if (It == Entries_.end())
    return false;
  PendingEntry &Entry = It->second;
  EquivalenceClass &Class = *Entry.EquivalenceClass_;
  bool OrderChanges = Class.Head_ == &Entry || Class.isGang();
  if (OrderChanges)
    removeFromQueue(Class);
  (Entry.Previous_ != nullptr ? Entry.Previous_->Next_ : Class.Head_) =
      Entry.Next_;
  (Entry.Next_ != nullptr ? Entry.Next_->Previous_ : Class.Tail_) =
      Entry.Previous_;
  --Class.Count_;
  Entries_.erase(It);
  if (Class.Count_ == 0) {
    Unchecked_.erase(Class.Key_);
    Classes_.erase(EquivalenceClass::Key(Class.Key_));
  } else if (OrderChanges) {
    insertIntoQueue(Class);
  }
  return true;
}

const PendingEntry *PendingQueue::find(TaskNumber Task) const {
  auto It = Entries_.find(Task);
  return It == Entries_.end() ? nullptr : &It->second;
}

std::vector<EquivalenceClass *> PendingQueue::takeUnchecked() {
  std::vector<EquivalenceClass *> Result;
  for (const EquivalenceClass::Key &Key : Unchecked_)
    Result.push_back(Classes_.at(Key).get());
  Unchecked_.clear();
  return Result;
}

void PendingQueue::recheckAll() {
  for (const auto &[Key, Class] : Classes_)
    Unchecked_.insert(Key);
}

} // namespace crocuslead::schedule::internal
