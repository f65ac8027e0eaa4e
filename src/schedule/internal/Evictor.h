#pragma once

#include "schedule/internal/State.h"

#include <optional>
#include <vector>

namespace crocuslead::schedule::internal {

//! Chooses evictions: departing workers, room for urgent work, and capacity
//! that its owner takes back.
class Evictor {
public:
  Evictor(State &Of, std::size_t Limit, std::vector<Decision> &Out)
      : State_(Of), Limit_(Limit), Out_(Out) {}

  void drainWorkers();
  void preemptForUrgent();
  void reclaim();
  //! Evicts the task with its gang unless protected or over the limit.
  bool evictUnprotected(Allocation &Task, Reason Why);

private:
  //! Room on one worker after the eviction of some victims.
  struct EvictionPlan {
    Worker *Worker_ = nullptr;
    std::vector<Allocation *> Victims_;
    double Cost_ = 0;
  };
  struct Candidate {
    double Cost_ = 0;
    std::vector<Allocation *> Unit_;
    base::Resources Here_;
  };

  std::size_t remainingDecisions() const {
    return Limit_ - std::min(Limit_, Out_.size());
  }
  void preemptForQueue(SubQueue &Place, Reason Why, std::size_t &Searches);
  //! Claims room for the waiting tasks of a shape until one finds none.
  bool preemptForClass(EquivalenceClass &Target, Reason Why,
                       std::size_t &Searches);
  bool preemptForTasks(const std::vector<PendingTask> &Unit, Reason Why);
  bool isEntitled(const PendingTask &Task, const base::Resources &Request);
  bool inGracePeriod(const PendingTask &Task) const;
  std::optional<EvictionPlan> findCheapestPlan(const PendingTask &Task);
  std::optional<EvictionPlan> planOn(const PendingTask &Task, Worker &Target);
  std::vector<Candidate> candidates(const PendingTask &Task, Worker &Target);
  bool isEvictable(const PendingTask &For,
                   const std::vector<Allocation *> &Unit);
  double evictionCost(const Allocation &Victim);

  State &State_;
  std::size_t Limit_;
  std::vector<Decision> &Out_;
};

} // namespace crocuslead::schedule::internal
