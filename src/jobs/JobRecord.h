#pragma once

#include "jobs/JobSpec.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace crocuslead::jobs {

enum class JobState : uint8_t { Queued, Running, Completed, Failed, Cancelled };

std::string_view jobStateName(JobState State);
std::optional<JobState> parseJobState(std::string_view Name);
inline bool isFinal(JobState State) {
  return State == JobState::Completed || State == JobState::Failed ||
         State == JobState::Cancelled;
}

//! An accepted job as it is stored; never changed afterwards.
struct JobRecord {
  std::string Queue_;
  JobSpec Spec_;
  base::WallTime Accepted_;
};

//! What is durable of one task that is not done.
struct TaskProgress {
  //! Numbers of the runs that ended failed; a repeated report adds nothing.
  std::vector<uint64_t> FailedRuns_;
  std::string Checkpoint_;
};

//! What is durable of a job's work.
struct JobProgress {
  JobState State_ = JobState::Queued;
  //! Set with a final state.
  std::optional<base::WallTime> Ended_;
  //! Occurrences below this one are done.
  uint32_t OccurrencesDone_ = 0;
  std::vector<TaskPosition> Done_;
  std::map<TaskPosition, TaskProgress> Open_;
};

//! CBOR. Decoding fails with InvalidRequest.
std::string encode(const JobRecord &Record);
std::string encode(const JobProgress &Progress);
base::Result<JobRecord> decodeJobRecord(const std::string &Bytes);
base::Result<JobProgress> decodeJobProgress(const std::string &Bytes);

} // namespace crocuslead::jobs
