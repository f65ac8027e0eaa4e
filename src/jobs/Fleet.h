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

//! A queue of jobs as the operators configured it.
struct QueueConfig {
  std::string Name_;
  //! Service whose workers run the queue's tasks.
  std::string Service_;
  //! 0 goes first.
  int Priority_ = 0;
  //! Runs of one task that may end failed before its job fails.
  uint32_t MaxAttempts_ = 1;
  //! Completion target: Stretch_ times the longest chain plus Target_.
  double Stretch_ = 1;
  base::Duration Target_{};
  //! Longest time to answer a caller.
  base::Duration Timeout_{};
};

//! What the operators have in force for jobs.
struct FleetConfig {
  int64_t Version_ = 0;
  std::map<std::string, QueueConfig> Queues_;
};

//! One life of a worker as the platform's registry has it.
struct WorkerInfo {
  std::string Id_;
  std::string Address_;
  std::string Domain_;
  std::string Service_;
  std::string Rack_;
  std::vector<std::string> Labels_;
  base::Resources Room_;
  bool Draining_ = false;
  //! Least time that a draining worker stays; only set while it drains.
  std::optional<base::Duration> Remaining_;
  //! Start of this life, Unix milliseconds; tells lives under one id apart.
  int64_t Born_ = 0;

  friend bool operator==(const WorkerInfo &A, const WorkerInfo &B) {
    return A.Id_ == B.Id_ && A.Address_ == B.Address_ &&
           A.Domain_ == B.Domain_ && A.Service_ == B.Service_ &&
           A.Labels_ == B.Labels_ && A.Room_ == B.Room_ &&
           A.Draining_ == B.Draining_ && A.Born_ == B.Born_;
  }
};

} // namespace crocuslead::jobs
