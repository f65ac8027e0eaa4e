#pragma once

#include "schedule/internal/EvictionHistory.h"
#include "schedule/internal/Fleet.h"
#include "schedule/internal/Interference.h"
#include "schedule/internal/Ladder.h"
#include "schedule/internal/PendingQueue.h"
#include "schedule/internal/Shares.h"
#include "schedule/internal/WorkerHealth.h"

#include <deque>
#include <map>
#include <optional>
#include <unordered_map>

namespace crocuslead::schedule::internal {

//! Room on a worker that evictions make for one waiting task.
struct Reservation {
  PendingTask Task_;
  Worker *Worker_ = nullptr;
  base::TimePoint Expires_;
};

//! State of a planner with the operations that change several parts of it.
struct State {
  explicit State(PlannerPolicy Policy)
      : Policy_(Policy), Shares_(Policy.DominantResourceFairness_) {}

  //! The task holds its resources on the worker; it no longer waits.
  void allocate(const RunningTask &Run, Worker &Target);
  void release(Allocation &Task);
  //! Moves a waiting task to the worker and records the decision.
  void start(const PendingTask &Task, Worker &Target, Reason Why,
             std::vector<Decision> &Out);

  //! The tasks that an eviction of this one ends: its gang, or itself.
  std::vector<Allocation *> evictionGroup(Allocation &Task) const;
  bool isProtected(Allocation &Task) const;
  //! Marks without a decision; undone by unmark().
  void markEvicting(Allocation &Task);
  void unmarkEvicting(Allocation &Task);
  void evict(Allocation &Task, Reason Why, std::vector<Decision> &Out);

  void reserve(const PendingTask &Task, Worker &Target);
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
  //! Added while they still occupied a worker.
  std::unordered_map<TaskNumber, PendingTask> PendingAfterRelease_;
  std::optional<base::TimePoint> MonthEnd_;
  base::TimePoint Now_;
  //! Workers that one search for victims looks at, from a rotating cursor.
  static constexpr std::size_t WorkersPerSearch = 128;
  WorkerNumber EvictionCursor_ = 0;
};

} // namespace crocuslead::schedule::internal
