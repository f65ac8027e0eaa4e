#include "schedule/internal/State.h"

#include <algorithm>

namespace crocuslead::schedule::internal {

namespace {

// A reservation that takes longer to be free is renewed, without further
// evictions.
constexpr std::chrono::seconds ReservationTime(30);

} // namespace

void State::allocate(const RunningTask &Run, Worker &Target) {
  Queue_.remove(Run.Task_.Task_);
  unreserve(Run.Task_.Task_);
  Shares_.account(Run.Task_.Workspace_).Used_ += Run.Task_.Request_;
  Fleet_.allocate(Run, Target);
}

void State::release(Allocation &Task) {
  const PendingTask Spec = Task.Run_.Task_;
  Worker &W = *Task.Worker_;
  Account &Owner = Shares_.account(Spec.Workspace_);
  Owner.Used_ -= Spec.Request_;
  if (Task.Evicting_)
    Owner.Evicting_ -= Spec.Request_;
  Health_.recordRelease(W, Spec.Task_);
  InterferenceController_.recordRelease(Spec.Task_, W.Info_.Worker_);
  Fleet_.release(Task);
}

void State::start(const PendingTask &Task, Worker &Target, Reason Cause,
                  std::vector<Decision> &Decisions) {
  const PendingTask Copy = Task;
  if (Target.Quarantined_)
    Health_.recordProbe(Target, Copy.Task_);
  base::TimePoint &Newest = Shares_.account(Copy.Workspace_).NewestStarted_;
  Newest = std::max(Newest, Copy.Submitted_);
  allocate({Copy, Target.Info_.Worker_, Now_, Now_}, Target);
  Decisions.push_back({DecisionKind::Start, Copy.Task_, Target.Info_.Worker_,
                       Cause, 0, base::Resources{}});
}

std::vector<Allocation *> State::evictionGroup(Allocation &Task) const {
  const auto *Members = Task.Run_.Task_.Gang_ == 0
                            ? nullptr
                            : Fleet_.findGang(Task.Run_.Task_.Gang_);
  return Members == nullptr ? std::vector<Allocation *>{&Task} : *Members;
}

bool State::isProtected(Allocation &Task) const {
  auto Group = evictionGroup(Task);
  return std::any_of(Group.begin(), Group.end(), [&](Allocation *Member) {
    return EvictionHistory_.isProtected(Member->Run_, Now_);
  });
}

void State::markEvicting(Allocation &Task) {
  Fleet_.markEvicting(Task);
  Shares_.account(Task.Run_.Task_.Workspace_).Evicting_ +=
      Task.Run_.Task_.Request_;
}

void State::unmarkEvicting(Allocation &Task) {
  Fleet_.unmarkEvicting(Task);
  Shares_.account(Task.Run_.Task_.Workspace_).Evicting_ -=
      Task.Run_.Task_.Request_;
}

void State::evict(Allocation &Task, Reason Cause,
                  std::vector<Decision> &Decisions) {
  if (!Task.Evicting_)
    markEvicting(Task);
  EvictionHistory_.record(Task.Run_.Task_.Task_, Now_);
  Decisions.push_back({DecisionKind::Evict, Task.Run_.Task_.Task_,
                       Task.Worker_->Info_.Worker_, Cause, 0,
                       base::Resources{}});
}

void State::reserve(const PendingTask &Task, Worker &Target, Reason Cause) {
  Fleet_.reserve(Target, Task.Request_);
  Shares_.account(Task.Workspace_).Reserved_ += Task.Request_;
  Reservations_[Task.Task_] = {Task, &Target, Cause, Now_ + ReservationTime};
}

void State::unreserve(TaskNumber Task) {
  auto It = Reservations_.find(Task);
  if (It == Reservations_.end())
    return;
  Reservation Removed = It->second;
  Reservations_.erase(It);
  Shares_.account(Removed.Task_.Workspace_).Reserved_ -= Removed.Task_.Request_;
  Fleet_.unreserve(*Removed.Worker_, Removed.Task_.Request_);
}

void State::dropReservationsOn(const Worker &Target) {
  std::vector<TaskNumber> Dropped;
  for (const auto &[Task, Reserved] : Reservations_)
    if (Reserved.Worker_ == &Target)
      Dropped.push_back(Task);
  for (TaskNumber Task : Dropped)
    unreserve(Task);
}

} // namespace crocuslead::schedule::internal
