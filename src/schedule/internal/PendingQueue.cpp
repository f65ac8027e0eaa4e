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

SubQueue &PendingQueue::queueOf(const EquivalenceClass &Target) {
  return Target.isUrgent() ? Urgent_
                           : WorkspaceQueues_[std::get<0>(Target.Key_)];
}

// The order of shapes depends on their first tasks, so a shape leaves its set
// while its list changes.
void PendingQueue::removeFromQueue(EquivalenceClass &Target) {
  SubQueue &Place = queueOf(Target);
  if (Target.State_ == EquivalenceClass::State::Ready)
    Place.Ready_.erase(&Target);
  else if (Target.State_ == EquivalenceClass::State::Blocked)
    Place.Blocked_.erase(&Target);
}

void PendingQueue::insertIntoQueue(EquivalenceClass &Target) {
  SubQueue &Place = queueOf(Target);
  if (!Target.isComplete())
    Target.State_ = EquivalenceClass::State::Idle;
  else if (Target.State_ == EquivalenceClass::State::Idle)
    Target.State_ = EquivalenceClass::State::Ready;
  if (Target.State_ == EquivalenceClass::State::Ready)
    Place.Ready_.insert(&Target);
  else if (Target.State_ == EquivalenceClass::State::Blocked)
    Place.Blocked_.insert(&Target);
}

void PendingQueue::setState(EquivalenceClass &Target,
                            EquivalenceClass::State State) {
  removeFromQueue(Target);
  Target.State_ = State;
  insertIntoQueue(Target);
}

void PendingQueue::block(EquivalenceClass &Target, uint64_t Epoch) {
  Target.BlockedEpoch_ = Epoch;
  ++Target.Failures_;
  setState(Target, EquivalenceClass::State::Blocked);
}

void PendingQueue::wake(EquivalenceClass &Target) {
  setState(Target, EquivalenceClass::State::Ready);
}

void PendingQueue::add(const PendingTask &Task) {
  remove(Task.Task_);
  PendingEntry &Added = Entries_[Task.Task_];
  Added.Task_ = Task;
  EquivalenceClass::Key Key = keyOf(Task);
  auto &Slot = Classes_[Key];
  if (!Slot) {
    Slot = std::make_unique<EquivalenceClass>();
    Slot->Key_ = Key;
    Slot->Request_ = Task.Request_;
  }
  EquivalenceClass &Target = *Slot;
  bool Changes = Target.Head_ == nullptr || Target.isGang();
  if (Changes)
    removeFromQueue(Target);
  Added.EquivalenceClass_ = &Target;
  Added.Previous_ = Target.Tail_;
  (Target.Tail_ != nullptr ? Target.Tail_->Next_ : Target.Head_) = &Added;
  Target.Tail_ = &Added;
  ++Target.Count_;
  Target.Request_ = minOf(Target.Request_, Task.Request_);
  if (Changes || Target.Infeasible_)
    Unchecked_.insert(Key);
  if (Changes)
    insertIntoQueue(Target);
}

bool PendingQueue::remove(TaskNumber Task) {
  auto Found = Entries_.find(Task);
  if (Found == Entries_.end())
    return false;
  PendingEntry &Gone = Found->second;
  EquivalenceClass &Target = *Gone.EquivalenceClass_;
  bool Changes = Target.Head_ == &Gone || Target.isGang();
  if (Changes)
    removeFromQueue(Target);
  (Gone.Previous_ != nullptr ? Gone.Previous_->Next_ : Target.Head_) =
      Gone.Next_;
  (Gone.Next_ != nullptr ? Gone.Next_->Previous_ : Target.Tail_) =
      Gone.Previous_;
  --Target.Count_;
  Entries_.erase(Found);
  if (Target.Count_ == 0) {
    Unchecked_.erase(Target.Key_);
    Classes_.erase(EquivalenceClass::Key(Target.Key_));
  } else if (Changes) {
    insertIntoQueue(Target);
  }
  return true;
}

const PendingEntry *PendingQueue::find(TaskNumber Task) const {
  auto Found = Entries_.find(Task);
  return Found == Entries_.end() ? nullptr : &Found->second;
}

std::vector<EquivalenceClass *> PendingQueue::takeUnchecked() {
  std::vector<EquivalenceClass *> Result;
  for (const EquivalenceClass::Key &Key : Unchecked_)
    Result.push_back(Classes_.at(Key).get());
  Unchecked_.clear();
  return Result;
}

void PendingQueue::recheckAll() {
  for (const auto &[Key, Each] : Classes_)
    Unchecked_.insert(Key);
}

} // namespace crocuslead::schedule::internal
