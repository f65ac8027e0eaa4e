#pragma once

#include "schedule/internal/EvictionHistory.h"
#include "schedule/internal/Fleet.h"
#include "schedule/internal/Interference.h"
#include "schedule/internal/InterferenceController.h"
#include "schedule/internal/PendingQueue.h"
#include "schedule/internal/Shares.h"
#include "schedule/internal/WorkerHealth.h"

#include <deque>
#include <map>
#include <optional>
#include <unordered_map>

namespace crocuslead::schedule::internal {

//! Capacity on a worker that is kept free for one pending task.
struct Reservation {
  PendingTask Task_;
  Worker *Worker_ = nullptr;
  //! Reason of the start on the reserved capacity.
  Reason Cause_ = Reason::BestFit;
  base::TimePoint Expires_;
};

//! State of a planner, with the operations that span several of its parts.
struct State {
  explicit State(PlannerPolicy Policy)
      : Policy_(Policy), Shares_(Policy.DominantResourceFairness_) {}

  //! Allocates the task's resources on the worker; the task is no longer
  //! pending.
  void allocate(const RunningTask &Run, Worker &Target);
  void release(Allocation &Task);
  //! Allocates a pending task to the worker and issues the decision.
  void start(const PendingTask &Task, Worker &Target, Reason Cause,
             std::vector<Decision> &Decisions);

  //! The tasks that must be evicted together with this one: its gang, or only
  //! itself.
  std::vector<Allocation *> evictionGroup(Allocation &Task) const;
  bool isProtected(Allocation &Task) const;
  //! Marks the task without issuing a decision; reverted by unmarkEvicting().
  void markEvicting(Allocation &Task);
  void unmarkEvicting(Allocation &Task);
  void evict(Allocation &Task, Reason Cause, std::vector<Decision> &Decisions);

  void reserve(const PendingTask &Task, Worker &Target, Reason Cause);
  void unreserve(TaskNumber Task);
  void dropReservationsOn(const Worker &Target);

  PlannerPolicy Policy_;
  Fleet Fleet_;
  PendingQueue Queue_;
  Shares Shares_;
  InterferenceModel Interference_;
  InterferenceController InterferenceController_;
  WorkerHealth Health_;
  EvictionHistory EvictionHistory_;
  std::map<TaskNumber, Reservation> Reservations_;
  //! Tasks that were added while still allocated; pending once released.
  std::unordered_map<TaskNumber, PendingTask> PendingAfterRelease_;
  std::optional<base::TimePoint> MonthEnd_;
  base::TimePoint Now_;
  //! Number of workers that one search for victims examines, starting at a
  //! cursor that rotates over the fleet.
  static constexpr std::size_t WorkersPerSearch = 128;
  WorkerNumber EvictionCursor_ = 0;
};

} // namespace crocuslead::schedule::internal
