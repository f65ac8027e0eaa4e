#include "schedule/internal/PendingQueue.h"

namespace crocuslead::schedule::internal {

namespace {

Shape::Key keyOf(const PendingTask &Task) {
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

Lane &PendingQueue::laneOf(const Shape &Target) {
  return Target.urgent() ? Urgent_ : Lanes_[std::get<0>(Target.Key_)];
}

// The order of shapes depends on their first tasks, so a shape leaves its set
// while its list changes.
void PendingQueue::unfile(Shape &Target) {
  Lane &Place = laneOf(Target);
  if (Target.State_ == Shape::State::Ready)
    Place.Ready_.erase(&Target);
  else if (Target.State_ == Shape::State::Blocked)
    Place.Blocked_.erase(&Target);
}

void PendingQueue::file(Shape &Target) {
  Lane &Place = laneOf(Target);
  if (!Target.complete())
    Target.State_ = Shape::State::Idle;
  else if (Target.State_ == Shape::State::Idle)
    Target.State_ = Shape::State::Ready;
  if (Target.State_ == Shape::State::Ready)
    Place.Ready_.insert(&Target);
  else if (Target.State_ == Shape::State::Blocked)
    Place.Blocked_.insert(&Target);
}

void PendingQueue::setState(Shape &Target, Shape::State State) {
  unfile(Target);
  Target.State_ = State;
  file(Target);
}

void PendingQueue::block(Shape &Target, uint64_t Epoch) {
  Target.BlockedEpoch_ = Epoch;
  ++Target.Failures_;
  setState(Target, Shape::State::Blocked);
}

void PendingQueue::wake(Shape &Target) {
  setState(Target, Shape::State::Ready);
}

void PendingQueue::add(const PendingTask &Task) {
  remove(Task.Task_);
  Entry &Added = Entries_[Task.Task_];
  Added.Task_ = Task;
  Shape::Key Key = keyOf(Task);
  auto &Slot = Shapes_[Key];
  if (!Slot) {
    Slot = std::make_unique<Shape>();
    Slot->Key_ = Key;
    Slot->Request_ = Task.Request_;
  }
  Shape &Target = *Slot;
  bool Changes = Target.Head_ == nullptr || Target.isGang();
  if (Changes)
    unfile(Target);
  Added.Shape_ = &Target;
  Added.Previous_ = Target.Tail_;
  (Target.Tail_ != nullptr ? Target.Tail_->Next_ : Target.Head_) = &Added;
  Target.Tail_ = &Added;
  ++Target.Count_;
  Target.Request_ = minOf(Target.Request_, Task.Request_);
  if (Changes || Target.Infeasible_)
    Unchecked_.insert(Key);
  if (Changes)
    file(Target);
}

bool PendingQueue::remove(TaskNumber Task) {
  auto Found = Entries_.find(Task);
  if (Found == Entries_.end())
    return false;
  Entry &Gone = Found->second;
  Shape &Target = *Gone.Shape_;
  bool Changes = Target.Head_ == &Gone || Target.isGang();
  if (Changes)
    unfile(Target);
  (Gone.Previous_ != nullptr ? Gone.Previous_->Next_ : Target.Head_) =
      Gone.Next_;
  (Gone.Next_ != nullptr ? Gone.Next_->Previous_ : Target.Tail_) =
      Gone.Previous_;
  --Target.Count_;
  Entries_.erase(Found);
  if (Target.Count_ == 0) {
    Unchecked_.erase(Target.Key_);
    Shapes_.erase(Shape::Key(Target.Key_));
  } else if (Changes) {
    file(Target);
  }
  return true;
}

const Entry *PendingQueue::find(TaskNumber Task) const {
  auto Found = Entries_.find(Task);
  return Found == Entries_.end() ? nullptr : &Found->second;
}

std::vector<Shape *> PendingQueue::takeUnchecked() {
  std::vector<Shape *> Result;
  for (const Shape::Key &Key : Unchecked_)
    Result.push_back(Shapes_.at(Key).get());
  Unchecked_.clear();
  return Result;
}

void PendingQueue::recheckAll() {
  for (const auto &[Key, Each] : Shapes_)
    Unchecked_.insert(Key);
}

} // namespace crocuslead::schedule::internal
