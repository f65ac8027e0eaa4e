#pragma once

#include "schedule/internal/State.h"

#include <vector>

namespace crocuslead::schedule::internal {

//! Starts pending tasks on workers with free capacity.
class Starter {
public:
  Starter(State &PlannerState, std::size_t Limit,
          std::vector<Decision> &Decisions)
      : State_(PlannerState), Limit_(Limit), Decisions_(Decisions) {}

  //! Moves blocked classes that freed capacity may fit back to the ready ones.
  void wake();
  void startUrgent();
  void startByShare();

private:
  bool limitReached() const { return Decisions_.size() >= Limit_; }
  //! Starts tasks whose reserved capacity has been freed.
  void startReserved(bool Urgent);
  void reserveForStarving();
  //! The worker without reservations that lacks the least for the task; null if
  //! none can ever run it.
  Worker *workerWithLeastMissing(const PendingTask &Task);
  void wakeQueue(SubQueue &Queue);
  //! Attempts to start the first ready class of the queue once. Returns whether
  //! a task or gang was started.
  bool startFirst(SubQueue &Queue, Reason Cause);
  bool startGang(EquivalenceClass &Gang, Reason Cause);
  bool startTask(const PendingTask &Task, Reason Cause);
  //! Whether a request that is no larger in any component found no capacity in
  //! this plan.
  bool isDominated(const PendingTask &Task) const;

  State &State_;
  std::size_t Limit_;
  std::vector<Decision> &Decisions_;
  //! Urgency and request of tasks that found no capacity in this plan.
  std::vector<std::pair<bool, base::Resources>> FailedRequests_;
};

} // namespace crocuslead::schedule::internal
