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
  std::optional<base::TimePoint> ReturnedAt_;
  bool JustReturned_ = false;
  base::Resources Capacity_;
  base::Resources Committed_;
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
  bool departing(const Worker &Target) const;
  //! Whether starts may go to the worker; a quarantined one only for a probe.
  bool usable(const Worker &Target) const;

  Occupant &allocate(const RunningTask &Run, Worker &Target);
  void release(Occupant &Task);
  Occupant *task(TaskNumber Number);
  std::size_t taskCount() const { return Tasks_.size(); }
  const std::vector<Occupant *> *gang(JobNumber Gang) const;
  void markEvicting(Occupant &Task);
  //! Undoes markEvicting() for a trial that is given up.
  void unmarkEvicting(Occupant &Task);
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
  const JobSpread *spread(JobNumber Job) const;
  const base::Resources &totalCapacity() const { return TotalCapacity_; }
  //! Workers that leave or whose domain is out, with tasks to evict.
  const std::set<WorkerNumber> &departingWorkers() const { return Departing_; }
  //! Workers with evictions issued and not yet released.
  const std::set<WorkerNumber> &evictingWorkers() const { return EvictingAt_; }
  //! While true, capacity that comes free wakes no waiting task; for undoing a
  //! trial placement.
  void setQuiet(bool Quiet) { Quiet_ = Quiet; }
  uint32_t kindIndex(KindNumber Kind);
  //! Index of a kind, or UINT32_MAX when no task of it has run.
  uint32_t knownKind(KindNumber Kind) const {
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
  void noteFreed(const base::Resources &Usable);
  void countCapacity(const base::Resources &Capacity, int Change);
  void countSpread(const Occupant &Task, int Change);
  void attach(Worker &Target, int Sign);

  std::map<WorkerNumber, Worker> Workers_;
  std::map<DomainNumber, Domain> Domains_;
  std::unordered_map<TaskNumber, Occupant> Tasks_;
  std::unordered_map<JobNumber, std::vector<Occupant *>> Gangs_;
  std::unordered_map<JobNumber, JobSpread> Spreads_;
  std::unordered_map<KindNumber, uint32_t> KindIndex_;
  std::map<CapacityKey, CapacityCount> Capacities_;
  uint64_t CapacityVersion_ = 0;
  CapacityIndex Index_;
  base::Resources TotalCapacity_;
  std::set<WorkerNumber> Departing_;
  std::set<WorkerNumber> EvictingAt_;
  base::TimePoint Now_;
  base::TimePoint LastRampWake_;
  bool Quiet_ = false;

  static constexpr std::size_t EpochsKept = 256;
  uint64_t Epoch_ = 1;
  std::array<base::Resources, EpochsKept> Freed_{};
  //! Largest capacity freed in an epoch or any later one, as of the plan.
  std::array<base::Resources, EpochsKept> FreedSince_{};
};

} // namespace crocuslead::schedule::internal
