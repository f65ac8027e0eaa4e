#include "schedule/internal/State.h"

#include <algorithm>

namespace crocuslead::schedule::internal {

namespace {

// A reservation whose evictions take longer is made anew without evicting more.
constexpr std::chrono::seconds ReservationTime(30);

} // namespace

void State::hold(const RunningTask &Run, Worker &Target) {
  Queue_.remove(Run.Task_.Task_);
  unreserve(Run.Task_.Task_);
  Shares_.account(Run.Task_.Workspace_).Used_ += Run.Task_.Request_;
  Fleet_.allocate(Run, Target);
}

void State::release(Occupant &Task) {
  const PendingTask Spec = Task.Run_.Task_;
  Worker &Target = *Task.Worker_;
  Account &Of = Shares_.account(Spec.Workspace_);
  Of.Used_ -= Spec.Request_;
  if (Task.Evicting_)
    Of.Evicting_ -= Spec.Request_;
  Health_.noteRelease(Target, Spec.Task_);
  Ladder_.noteRelease(Spec.Task_, Target.Info_.Worker_);
  Fleet_.release(Task);
}

void State::start(const PendingTask &Task, Worker &Target, Reason Why,
                  std::vector<Decision> &Out) {
  const PendingTask Copy = Task;
  if (Target.Quarantined_)
    Health_.noteProbe(Target, Copy.Task_);
  hold({Copy, Target.Info_.Worker_, Now_, Now_}, Target);
  Out.push_back({DecisionKind::Start, Copy.Task_, Target.Info_.Worker_, Why, 0,
                 base::Resources{}});
}

std::vector<Occupant *> State::unitOf(Occupant &Task) const {
  const auto *Members =
      Task.Run_.Task_.Gang_ == 0 ? nullptr : Fleet_.gang(Task.Run_.Task_.Gang_);
  return Members == nullptr ? std::vector<Occupant *>{&Task} : *Members;
}

bool State::isProtected(Occupant &Task) const {
  auto Unit = unitOf(Task);
  return std::any_of(Unit.begin(), Unit.end(), [&](Occupant *Each) {
    return History_.isProtected(Each->Run_, Now_);
  });
}

void State::mark(Occupant &Task) {
  Fleet_.markEvicting(Task);
  Shares_.account(Task.Run_.Task_.Workspace_).Evicting_ +=
      Task.Run_.Task_.Request_;
}

void State::unmark(Occupant &Task) {
  Fleet_.unmarkEvicting(Task);
  Shares_.account(Task.Run_.Task_.Workspace_).Evicting_ -=
      Task.Run_.Task_.Request_;
}

void State::evict(Occupant &Task, Reason Why, std::vector<Decision> &Out) {
  if (!Task.Evicting_)
    mark(Task);
  History_.note(Task.Run_.Task_.Task_, Now_);
  Out.push_back({DecisionKind::Evict, Task.Run_.Task_.Task_,
                 Task.Worker_->Info_.Worker_, Why, 0, base::Resources{}});
}

void State::reserve(const PendingTask &Task, Worker &Target) {
  Fleet_.reserve(Target, Task.Request_);
  Shares_.account(Task.Workspace_).Reserved_ += Task.Request_;
  Reservations_[Task.Task_] = {Task, &Target, Now_ + ReservationTime};
}

void State::unreserve(TaskNumber Task) {
  auto Found = Reservations_.find(Task);
  if (Found == Reservations_.end())
    return;
  Reservation Gone = Found->second;
  Reservations_.erase(Found);
  Shares_.account(Gone.Task_.Workspace_).Reserved_ -= Gone.Task_.Request_;
  Fleet_.unreserve(*Gone.Worker_, Gone.Task_.Request_);
}

void State::dropReservationsOn(const Worker &Target) {
  std::vector<TaskNumber> Gone;
  for (const auto &[Task, Each] : Reservations_)
    if (Each.Worker_ == &Target)
      Gone.push_back(Task);
  for (TaskNumber Task : Gone)
    unreserve(Task);
}

} // namespace crocuslead::schedule::internal
