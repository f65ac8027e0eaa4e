#pragma once

#include "schedule/Types.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <vector>

namespace crocuslead::schedule {

//! A task that is allocated to a worker.
struct RunningTask {
  PendingTask Task_;
  WorkerNumber Worker_ = 0;
  base::TimePoint Started_;
  //! Time of the last checkpoint; Started_ when there is none.
  base::TimePoint CheckpointAt_;
};

//! Resource usage of one running task, as measured on its worker.
struct TaskUsage {
  TaskNumber Task_ = 0;
  base::TimePoint MeasuredAt_;
  base::Resources Used_;
  //! Speed relative to running alone on the worker, 0 to 1; negative when not
  //! measured.
  double Speed_ = -1;
};

//! Policy switches that benchmarks vary.
struct PlannerPolicy {
  //! Baseline: order workspaces by dominant-resource fairness alone instead of
  //! by agreed shares.
  bool DominantResourceFairness_ = false;
  //! Baseline: ignore interference estimates.
  bool IgnoreInterference_ = false;
};

//! Decides which tasks of one partition to start, evict, throttle and reject.
//! Deterministic: the same sequence of calls yields the same decisions.
class Planner {
public:
  explicit Planner(PlannerPolicy Policy = {});
  Planner(const Planner &) = delete;
  Planner &operator=(const Planner &) = delete;
  ~Planner();

  void upsertWorker(const WorkerInfo &Info);
  //! Removes a worker. A worker that still has tasks is drained and removed
  //! when its last task is released.
  void removeWorker(WorkerNumber Worker);
  void setWorkspaces(std::vector<WorkspaceShare> Shares,
                     const base::Resources &FleetCapacity);
  //! Tasks in an unavailable domain are evicted, and none are started there.
  void setDomainAvailable(DomainNumber Domain, bool Available);
  //! Sets the end of the current month on the monotonic clock; none when
  //! unknown.
  void setMonthEnd(std::optional<base::TimePoint> MonthEnd);

  //! Adds a task to the queue. A task that is still allocated becomes pending
  //! when it is released.
  void addPending(const PendingTask &Task);
  void removePending(TaskNumber Task);

  //! Allocates the task's resources on its worker until release(), whether the
  //! task is starting, running, stopping or writing a checkpoint. plan()
  //! allocates the tasks that it starts; they need no call.
  void allocate(const RunningTask &Task);
  //! Frees the task's resources. Call only once the task has certainly ended on
  //! its worker.
  void release(TaskNumber Task);
  void reportCheckpoint(TaskNumber Task, base::TimePoint At);

  void reportUsage(const TaskUsage &Usage);
  //! Reports the outcome of a start; used to quarantine workers on which every
  //! start fails.
  void reportStart(WorkerNumber Worker, JobNumber Job, bool Succeeded,
                   base::TimePoint Now);

  //! Returns at most Limit decisions, starts of urgent tasks first. A Start
  //! allocates immediately. An Evict is issued once, and its resources stay
  //! allocated until release().
  std::vector<Decision> plan(base::TimePoint Now, std::size_t Limit);

  base::Resources allocated(WorkerNumber Worker) const;
  base::Resources freeCapacity() const;
  std::size_t pendingCount() const;
  //! Reason why a task is still pending; none for a task that is not pending.
  std::optional<Reason> pendingReason(TaskNumber Task) const;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace crocuslead::schedule
