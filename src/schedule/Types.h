#pragma once

#include "base/Clock.h"
#include "base/Resources.h"

#include <cstdint>
#include <string>

namespace crocuslead::schedule {

//! Dense numbers that the partition gives out; the planner never sees strings
//! on its hot path.
using TaskNumber = uint64_t;
using JobNumber = uint64_t;
using WorkerNumber = uint32_t;
using WorkspaceNumber = uint32_t;
using KindNumber = uint32_t;
//! Numbers of racks and failure domains.
using RackNumber = uint32_t;
using DomainNumber = uint32_t;

enum class TaskClass : uint8_t { LatencyCritical, Batch };

struct WorkerInfo {
  WorkerNumber Worker_ = 0;
  RackNumber Rack_ = 0;
  DomainNumber Domain_ = 0;
  base::Resources Capacity_;
  //! False while the worker leaves or cannot be reached: it keeps its tasks and
  //! gets no new one.
  bool Schedulable_ = true;
  //! The worker is about to end: its tasks are evicted and it gets no new one.
  bool Leaving_ = false;
};

struct WorkspaceShare {
  WorkspaceNumber Workspace_ = 0;
  std::string Name_;
  //! Part of the fleet that the workspace is granted, 0 to 1.
  double AgreedShare_ = 0;
  //! Higher goes first among workspaces at the same distance from their share.
  int Priority_ = 0;
  //! Use by this workspace in other partitions, as a share of the fleet.
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
  //! Tasks of one gang start together; 0 for none. GangSize_ tasks must be
  //! pending.
  JobNumber Gang_ = 0;
  uint32_t GangSize_ = 0;
  base::Resources Request_;
  base::TimePoint Submitted_;
  //! How often the task was evicted before.
  uint32_t Restarts_ = 0;
  //! Expected run time; zero when unknown. Makes a batch task near its end
  //! costlier to evict in the last days of a month.
  base::Duration ExpectedRun_{};
};

enum class DecisionKind : uint8_t { Start, Evict, Throttle, Reject };

enum class Reason : uint8_t {
  BestFit,
  UrgentFirst,
  ReclaimedShare,
  MakeRoomForUrgent,
  Interference,
  DomainOut,
  WorkerLeaving,
  NoRoom,
  OverShare,
  DomainUnavailable,
  NeverFits,
  WorkerSetAside,
  GangIncomplete,
};

struct Decision {
  DecisionKind Kind_ = DecisionKind::Start;
  TaskNumber Task_ = 0;
  WorkerNumber Worker_ = 0;
  Reason Reason_ = Reason::BestFit;
  //! Throttle only: 0 (full speed) to 100 (paused).
  int ThrottlePercent_ = 0;
  //! Reject only: the largest request that could run.
  base::Resources NearestFit_;
};

} // namespace crocuslead::schedule
