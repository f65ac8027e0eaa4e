#pragma once

#include "schedule/internal/State.h"

#include <optional>
#include <vector>

namespace crocuslead::schedule::internal {

//! Selects tasks to evict: to drain workers, to free capacity for urgent tasks,
//! and to reclaim capacity for workspaces below their share.
class Evictor {
public:
  Evictor(State &PlannerState, std::size_t Limit,
          std::vector<Decision> &Decisions)
      : State_(PlannerState), Limit_(Limit), Decisions_(Decisions) {}

  void drainWorkers();
  void preemptForUrgent();
  void reclaim();
  //! Evicts the task and the rest of its gang, unless one of them is protected
  //! or the limit would be exceeded. Returns whether it did.
  bool evictUnprotected(Allocation &Task, Reason Cause);

private:
  //! Worker for a pending task, with the evictions that make it fit there.
  struct EvictionPlan {
    Worker *Worker_ = nullptr;
    std::vector<Allocation *> Victims_;
    double Cost_ = 0;
  };
  //! Tasks that can only be evicted together.
  struct Candidate {
    double Cost_ = 0;
    std::vector<Allocation *> Group_;
    //! Resources that the eviction frees on the worker under consideration.
    base::Resources Freed_;
  };

  std::size_t remainingDecisions() const {
    return Limit_ - std::min(Limit_, Decisions_.size());
  }
  void preemptForQueue(SubQueue &Queue, Reason Cause, std::size_t &Searches);
  //! Evicts for the pending tasks of a class until one finds no victims.
  bool preemptForClass(EquivalenceClass &Class, Reason Cause,
                       std::size_t &Searches);
  //! Evicts for all of the tasks or for none of them.
  bool preemptForTasks(const std::vector<PendingTask> &Tasks, Reason Cause);
  //! Whether the workspace stays within its entitlement with the request added.
  bool isEntitled(const PendingTask &Task, const base::Resources &Request);
  bool inGracePeriod(const PendingTask &Task) const;
  std::optional<EvictionPlan> findCheapestPlan(const PendingTask &Task);
  std::optional<EvictionPlan> planOn(const PendingTask &Task, Worker &Target);
  std::vector<Candidate> candidates(const PendingTask &Task, Worker &Target);
  bool isEvictable(const PendingTask &Preemptor,
                   const std::vector<Allocation *> &Group);
  double evictionCost(const Allocation &Victim);

  State &State_;
  std::size_t Limit_;
  std::vector<Decision> &Decisions_;
};

} // namespace crocuslead::schedule::internal
