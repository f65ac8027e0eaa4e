#pragma once

#include "base/Clock.h"
#include "base/Resources.h"

#include <cstdint>
#include <string>

namespace crocuslead::schedule {

//! Integer identifiers that the partition assigns, so that the planner handles
//! no strings on its hot path.
using TaskNumber = uint64_t;
using JobNumber = uint64_t;
using WorkerNumber = uint32_t;
using WorkspaceNumber = uint32_t;
using KindNumber = uint32_t;
using RackNumber = uint32_t;
using DomainNumber = uint32_t;

enum class TaskClass : uint8_t { LatencyCritical, Batch };

struct WorkerInfo {
  WorkerNumber Worker_ = 0;
  RackNumber Rack_ = 0;
  DomainNumber Domain_ = 0;
  base::Resources Capacity_;
  //! False while the worker is leaving or unreachable: it keeps its tasks but
  //! receives no new ones.
  bool Schedulable_ = true;
  //! The worker is about to shut down: its tasks are evicted and it receives no
  //! new ones.
  bool Leaving_ = false;
};

struct WorkspaceShare {
  WorkspaceNumber Workspace_ = 0;
  std::string Name_;
  //! Fraction of the fleet's capacity granted to the workspace, 0 to 1.
  double AgreedShare_ = 0;
  //! Among workspaces with the same ratio of use to share, the one with the
  //! higher priority is served first.
  int Priority_ = 0;
  //! Usage of this workspace in other partitions, as a fraction of the fleet.
  double UsedElsewhere_ = 0;
};

struct PendingTask {
  TaskNumber Task_ = 0;
  JobNumber Job_ = 0;
  WorkspaceNumber Workspace_ = 0;
  KindNumber Kind_ = 0;
  TaskClass Class_ = TaskClass::Batch;
  bool Urgent_ = false;
  bool Deferrable_ = true;
  //! Gang of the task, 0 for none. The tasks of a gang start together, once
  //! GangSize_ of them are pending.
  JobNumber Gang_ = 0;
  uint32_t GangSize_ = 0;
  base::Resources Request_;
  base::TimePoint Submitted_;
  //! Number of earlier evictions of the task.
  uint32_t Restarts_ = 0;
  //! Expected run time; zero when unknown. Raises the eviction cost of a batch
  //! task that is close to completion in the last days of a month.
  base::Duration ExpectedRun_{};
};

enum class DecisionKind : uint8_t { Start, Evict, Throttle, Reject };

enum class Reason : uint8_t {
  BestFit,
  UrgentFirst,
  ReclaimedShare,
  UrgentPreemption,
  Interference,
  DomainOut,
  WorkerLeaving,
  NoCapacity,
  OverShare,
  DomainUnavailable,
  NeverFits,
  WorkerQuarantined,
  GangIncomplete,
};

struct Decision {
  DecisionKind Kind_ = DecisionKind::Start;
  TaskNumber Task_ = 0;
  WorkerNumber Worker_ = 0;
  Reason Reason_ = Reason::BestFit;
  //! Throttle only: 0 (full speed) to 100 (paused).
  int ThrottlePercent_ = 0;
  //! Reject only: the feasible request nearest to the rejected one.
  base::Resources NearestFit_;
};

} // namespace crocuslead::schedule
