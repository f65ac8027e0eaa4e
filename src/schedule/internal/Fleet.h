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
  //! Set while the domain refills after its return.
  std::optional<base::TimePoint> RampStartedAt_;
  bool RampPending_ = false;
  base::Resources Capacity_;
  base::Resources Allocated_;
};

//! Where the latency-critical tasks of a job stand.
struct JobSpread {
  std::vector<std::pair<RackNumber, uint32_t>> Racks_;
  std::vector<std::pair<DomainNumber, uint32_t>> Domains_;
  uint32_t Total_ = 0;
};

//! Workers, the tasks that occupy them, and the index of their capacity.
class Fleet {
public:
  Worker &upsert(const WorkerInfo &Info);
  void remove(WorkerNumber Number);
  Worker *find(WorkerNumber Number);
  const std::map<WorkerNumber, Worker> &workers() const { return Workers_; }
  std::map<WorkerNumber, Worker> &workers() { return Workers_; }

  void setDomainAvailable(DomainNumber Number, bool Available);
  const Domain &domainOf(const Worker &Target) const;
  bool isDraining(const Worker &Target) const;
  //! Whether starts may go to the worker; a quarantined one only for a probe.
  bool isUsable(const Worker &Target) const;

  Allocation &allocate(const RunningTask &Run, Worker &Target);
  void release(Allocation &Task);
  Allocation *findTask(TaskNumber Number);
  std::size_t taskCount() const { return Tasks_.size(); }
  const std::vector<Allocation *> *findGang(JobNumber Gang) const;
  void markEvicting(Allocation &Task);
  //! Undoes markEvicting() for a trial that is given up.
  void unmarkEvicting(Allocation &Task);
  void reserve(Worker &Target, const base::Resources &Amount);
  void unreserve(Worker &Target, const base::Resources &Amount);
  //! Files the worker anew after a change of its state.
  void refresh(Worker &Target);

  //! Begins a planning epoch and moves refilling domains on.
  void beginPlan(base::TimePoint Now);
  uint64_t epoch() const { return Epoch_; }
  //! Whether capacity that the request may use came free since the epoch.
  bool freedSince(uint64_t Epoch, const base::Resources &Request) const;
  //! Whether a refilling domain may take the request now.
  bool rampAllows(const Worker &Target, const base::Resources &Request,
                  base::TimePoint Now) const;

  const CapacityIndex &index() const { return Index_; }
  const JobSpread *findSpread(JobNumber Job) const;
  const base::Resources &totalCapacity() const { return TotalCapacity_; }
  //! Workers that leave or whose domain is out, with tasks to evict.
  const std::set<WorkerNumber> &drainingWorkers() const {
    return DrainingWorkers_;
  }
  //! Workers with evictions issued and not yet released.
  const std::set<WorkerNumber> &evictingWorkers() const {
    return EvictingWorkers_;
  }
  //! While true, capacity that comes free wakes no waiting task; for undoing a
  //! trial placement.
  void suppressWakeups(bool Quiet) { WakeupsSuppressed_ = Quiet; }
  uint32_t internKind(KindNumber Kind);
  //! Index of a kind, or UINT32_MAX when no task of it has run.
  uint32_t findKindIndex(KindNumber Kind) const {
    auto Found = KindIndex_.find(Kind);
    return Found == KindIndex_.end() ? UINT32_MAX : Found->second;
  }

  //! Capacities of the known workers, and of those removed less than 15 min
  //! ago: a replaced instance must not make its work infeasible.
  struct CapacityCount {
    uint32_t Workers_ = 0;
    //! Most workers of this capacity at the same time.
    uint32_t Peak_ = 0;
    base::TimePoint LastSeen_;
  };
  using CapacityKey = std::array<int64_t, 3>;
  const std::map<CapacityKey, CapacityCount> &capacities() const {
    return Capacities_;
  }
  //! Changes whenever what the fleet could hold changes.
  uint64_t capacityVersion() const { return CapacityVersion_; }

private:
  void recordFreed(const base::Resources &Usable);
  void countCapacity(const base::Resources &Capacity, int Change);
  void countSpread(const Allocation &Task, int Change);
  void countWorker(Worker &Target, int Sign);

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

  static constexpr std::size_t EpochHistory = 256;
  uint64_t Epoch_ = 1;
  std::array<base::Resources, EpochHistory> MaxFreed_{};
  //! Largest capacity freed in an epoch or any later one, as of the plan.
  std::array<base::Resources, EpochHistory> MaxFreedSince_{};
};

} // namespace crocuslead::schedule::internal
