#pragma once

#include "schedule/Types.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <vector>

namespace crocuslead::schedule {

//! State of one task for the planner's use in evictions.
struct RunningTask {
  PendingTask Task_;
  WorkerNumber Worker_ = 0;
  base::TimePoint Started_;
  //! Time of the last checkpoint; Started_ when there is none.
  base::TimePoint CheckpointAt_;
};

//! A usage measurement of one running task.
struct TaskUsage {
  TaskNumber Task_ = 0;
  base::TimePoint MeasuredAt_;
  base::Resources Used_;
  //! Speed against running alone, 0 to 1; negative when not measured.
  double Speed_ = -1;
};

//! Strategy choices that benchmarks vary.
struct PlannerPolicy {
  //! Order by dominant-resource fairness alone (the baseline) instead of agreed
  //! shares.
  bool DominantResourceFairness_ = false;
  //! Ignore interference estimates (the baseline).
  bool IgnoreInterference_ = false;
};

//! Decides starts, evictions and throttles for the workers of one partition.
//! Deterministic: the same calls give the same decisions.
class Planner {
public:
  explicit Planner(PlannerPolicy Policy = {});
  Planner(const Planner &) = delete;
  Planner &operator=(const Planner &) = delete;
  ~Planner();

  void upsertWorker(const WorkerInfo &Info);
  //! Removes a worker without tasks. One with tasks leaves, and is removed when
  //! its last task is released.
  void removeWorker(WorkerNumber Worker);
  void setWorkspaces(std::vector<WorkspaceShare> Shares,
                     const base::Resources &FleetCapacity);
  //! A domain that is out gets no start, and its tasks are evicted.
  void setDomainAvailable(DomainNumber Domain, bool Available);
  //! End of the current month on the monotonic clock; none when unknown.
  void setMonthEnd(std::optional<base::TimePoint> MonthEnd);

  //! A task that still occupies a worker becomes pending at its release.
  void addPending(const PendingTask &Task);
  void removePending(TaskNumber Task);

  //! The task holds its resources on the worker from now on, whether starting,
  //! running, stopping or writing a checkpoint. A planned start occupies by
  //! itself.
  void occupy(const RunningTask &Task);
  //! The task's end on its worker is certain.
  void release(TaskNumber Task);
  void noteCheckpoint(TaskNumber Task, base::TimePoint At);

  void reportUsage(const TaskUsage &Usage);
  //! Outcome of a start on a worker; feeds the detection of workers that fail
  //! every start.
  void reportStart(WorkerNumber Worker, JobNumber Job, bool Succeeded,
                   base::TimePoint Now);

  //! At most Limit decisions, urgent starts first. A Start occupies at once; an
  //! Evict is issued once and the resources stay occupied until release().
  std::vector<Decision> plan(base::TimePoint Now, std::size_t Limit);

  base::Resources committed(WorkerNumber Worker) const;
  base::Resources freeCapacity() const;
  std::size_t pendingCount() const;
  //! Why a pending task waits; none for a task that is not pending.
  std::optional<Reason> whyPending(TaskNumber Task) const;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace crocuslead::schedule
