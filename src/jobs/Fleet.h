#pragma once

#include "base/Clock.h"
#include "base/Resources.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace crocuslead::jobs {

//! Operator configuration of a job queue.
struct QueueConfig {
  std::string Name_;
  //! Service whose workers run the tasks of the queue.
  std::string Service_;
  //! Lower values are scheduled first; 0 is the highest priority.
  int Priority_ = 0;
  //! Failed runs of one task after which its job fails.
  uint32_t MaxAttempts_ = 1;
  //! A job should complete within TargetFactor_ times its critical path plus
  //! TargetOffset_, counted from its acceptance.
  double TargetFactor_ = 1;
  base::Duration TargetOffset_{};
  //! Longest time to answer a caller.
  base::Duration Timeout_{};
};

//! Operator configuration that is in force for jobs.
struct FleetConfig {
  int64_t Version_ = 0;
  std::map<std::string, QueueConfig> Queues_;
};

//! One incarnation of a worker, as listed in the platform's registry.
struct WorkerInfo {
  std::string Id_;
  std::string Address_;
  std::string Domain_;
  std::string Service_;
  std::string Rack_;
  std::vector<std::string> Labels_;
  base::Resources Capacity_;
  bool Draining_ = false;
  //! Minimum time before a draining worker goes away; unset unless Draining_.
  std::optional<base::Duration> DrainTimeLeft_;
  //! Start time of this incarnation in Unix milliseconds. Distinguishes
  //! incarnations that share an id.
  int64_t StartTimeMs_ = 0;

  friend bool operator==(const WorkerInfo &A, const WorkerInfo &B) {
    return A.Id_ == B.Id_ && A.Address_ == B.Address_ &&
           A.Domain_ == B.Domain_ && A.Service_ == B.Service_ &&
           A.Labels_ == B.Labels_ && A.Capacity_ == B.Capacity_ &&
           A.Draining_ == B.Draining_ && A.StartTimeMs_ == B.StartTimeMs_;
  }
};

} // namespace crocuslead::jobs
