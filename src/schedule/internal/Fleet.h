#pragma once

#include "schedule/internal/CapacityIndex.h"

#include <array>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace crocuslead::schedule::internal {

struct Domain {
  bool Available_ = true;
  //! Set while starts in the domain are limited after it became available
  //! again.
  std::optional<base::TimePoint> RampStartedAt_;
  //! The ramp starts with the next plan.
  bool RampPending_ = false;
  base::Resources Capacity_;
  base::Resources Allocated_;
};

//! Number of latency-critical tasks of a job in each rack and failure domain.
struct JobSpread {
  std::vector<std::pair<RackNumber, uint32_t>> Racks_;
  std::vector<std::pair<DomainNumber, uint32_t>> Domains_;
  uint32_t Total_ = 0;
};

//! Workers, the tasks allocated to them, and the index of their capacity.
class Fleet {
public:
  Worker &upsert(const WorkerInfo &Info);
  void remove(WorkerNumber Number);
  Worker *find(WorkerNumber Number);
  const std::map<WorkerNumber, Worker> &workers() const { return Workers_; }
  std::map<WorkerNumber, Worker> &workers() { return Workers_; }

  void setDomainAvailable(DomainNumber Number, bool Available);
  const Domain &domainOf(const Worker &W) const;
  bool isDraining(const Worker &W) const;
  //! Whether the worker accepts tasks. A quarantined worker does so only for a
  //! probe.
  bool isUsable(const Worker &W) const;

  Allocation &allocate(const RunningTask &Run, Worker &Target);
  void release(Allocation &Task);
  Allocation *findTask(TaskNumber Number);
  std::size_t taskCount() const { return Tasks_.size(); }
  const std::vector<Allocation *> *findGang(JobNumber Gang) const;
  void markEvicting(Allocation &Task);
  //! Reverts markEvicting() when the eviction is not carried out.
  void unmarkEvicting(Allocation &Task);
  void reserve(Worker &Target, const base::Resources &Amount);
  void unreserve(Worker &Target, const base::Resources &Amount);
  //! Updates the index and the sets of workers after a change of the worker.
  void refresh(Worker &W);

  //! Begins a planning epoch and advances the ramps of domains.
  void beginPlan(base::TimePoint Now);
  uint64_t epoch() const { return Epoch_; }
  //! Whether capacity that may fit the request was freed since the epoch.
  bool freedSince(uint64_t Epoch, const base::Resources &Request) const;
  //! Whether the ramp of the worker's domain, if any, admits the request now.
  bool rampAllows(const Worker &Target, const base::Resources &Request,
                  base::TimePoint Now) const;

  const CapacityIndex &index() const { return Index_; }
  const JobSpread *findSpread(JobNumber Job) const;
  const base::Resources &totalCapacity() const { return TotalCapacity_; }
  //! Workers that leave or whose domain is unavailable, with tasks to evict.
  const std::set<WorkerNumber> &drainingWorkers() const {
    return DrainingWorkers_;
  }
  //! Workers with tasks whose eviction was issued and that are not released.
  const std::set<WorkerNumber> &evictingWorkers() const {
    return EvictingWorkers_;
  }
  //! While suppressed, freed capacity wakes no pending task. Used around trial
  //! placements, whose rollback frees nothing new.
  void suppressWakeups(bool Suppressed) { WakeupsSuppressed_ = Suppressed; }
  //! Index of a kind; assigns one to a new kind.
  uint32_t internKind(KindNumber Kind);
  //! Index of a kind, or UINT32_MAX when no task of it was ever allocated.
  uint32_t findKindIndex(KindNumber Kind) const {
    auto It = KindIndex_.find(Kind);
    return It == KindIndex_.end() ? UINT32_MAX : It->second;
  }

  //! Capacities of the known workers, and of those removed less than 15 min
  //! ago: while an instance is being replaced, its tasks must not become
  //! infeasible.
  struct CapacityCount {
    uint32_t Workers_ = 0;
    //! Largest number of workers of this capacity at the same time.
    uint32_t Peak_ = 0;
    base::TimePoint LastSeen_;
  };
  using CapacityKey = std::array<int64_t, 3>;
  const std::map<CapacityKey, CapacityCount> &capacities() const {
    return Capacities_;
  }
  //! Changes whenever the set of feasible requests may have changed.
  uint64_t capacityVersion() const { return CapacityVersion_; }

private:
  void recordFreed(const base::Resources &Usable);
  void countCapacity(const base::Resources &Capacity, int Change);
  void countSpread(const Allocation &Task, int Change);
  void countWorker(Worker &W, int Change);

  std::map<WorkerNumber, Worker> Workers_;
  std::map<DomainNumber, Domain> Domains_;
  std::unordered_map<TaskNumber, Allocation> Tasks_;
  std::unordered_map<JobNumber, std::vector<Allocation *>> Gangs_;
  std::unordered_map<JobNumber, JobSpread> Spreads_;
  std::unordered_map<KindNumber, uint32_t> KindIndex_;
  std::map<CapacityKey, CapacityCount> Capacities_;
  uint64_t CapacityVersion_ = 0;
  CapacityIndex Index_;
  base::Resources TotalCapacity_;
  std::set<WorkerNumber> DrainingWorkers_;
  std::set<WorkerNumber> EvictingWorkers_;
  base::TimePoint Now_;
  base::TimePoint LastRampWakeup_;
  bool WakeupsSuppressed_ = false;

  //! Number of epochs for which freed capacity is recorded.
  static constexpr std::size_t EpochHistory = 256;
  uint64_t Epoch_ = 1;
  //! Largest capacity freed in each epoch, component by component.
  std::array<base::Resources, EpochHistory> MaxFreed_{};
  //! Largest capacity freed in an epoch or any later one, as of the last
  //! beginPlan().
  std::array<base::Resources, EpochHistory> MaxFreedSince_{};
};

} // namespace crocuslead::schedule::internal
