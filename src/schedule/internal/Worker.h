#pragma once

#include "schedule/Planner.h"

#include <cstdint>
#include <vector>

namespace crocuslead::schedule::internal {

struct Worker;

//! A task together with the worker whose resources are allocated to it.
struct Allocation {
  RunningTask Run_;
  Worker *Worker_ = nullptr;
  //! Index of the task's kind, see Fleet::internKind().
  uint32_t Kind_ = 0;
  bool Evicting_ = false;
  int ThrottlePercent_ = 0;
};

//! Number of tasks of one kind on a worker, by class.
struct KindCount {
  uint32_t Kind_ = 0;
  uint32_t LatencyCritical_ = 0;
  uint32_t Batch_ = 0;
};

struct Worker {
  WorkerInfo Info_;
  base::Resources Allocated_;
  //! Part of Allocated_ held by tasks whose eviction was issued.
  base::Resources Evicting_;
  //! Reserved for pending tasks that evictions were issued for.
  base::Resources Reserved_;
  std::vector<Allocation *> Tasks_;
  std::vector<KindCount> KindCounts_;
  //! Set after failed starts. While quarantined, the worker receives at most
  //! one task, and only when ProbeAllowed_ is set.
  bool Quarantined_ = false;
  bool ProbeAllowed_ = false;
  uint32_t ConsecutiveFailures_ = 0;
  bool Removed_ = false;
  //! Capacity available to new tasks, as of the last update of the index.
  base::Resources Usable_;
  int32_t IndexCell_ = -1;
  uint32_t IndexSlot_ = 0;

  base::Resources free() const { return Info_.Capacity_ - Allocated_; }
  //! Free capacity once the issued evictions are released, less reservations.
  base::Resources freeAfterEvictions() const {
    return free() + Evicting_ - Reserved_;
  }
};

inline base::Resources minOf(const base::Resources &A,
                             const base::Resources &B) {
  return {std::min(A.MilliCpu_, B.MilliCpu_),
          std::min(A.MemoryMb_, B.MemoryMb_),
          std::min(A.Accelerators_, B.Accelerators_)};
}

inline base::Resources maxOf(const base::Resources &A,
                             const base::Resources &B) {
  return {std::max(A.MilliCpu_, B.MilliCpu_),
          std::max(A.MemoryMb_, B.MemoryMb_),
          std::max(A.Accelerators_, B.Accelerators_)};
}

} // namespace crocuslead::schedule::internal
