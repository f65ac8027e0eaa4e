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

//! An accepted job as stored. Immutable once written.
struct JobRecord {
  std::string Queue_;
  JobSpec Spec_;
  base::WallTime AcceptedAt_;
};

//! Stored progress of a task that is not done.
struct TaskProgress {
  //! Numbers of the failed runs. Kept as numbers, so that a result reported
  //! twice is counted once.
  std::vector<uint64_t> FailedRuns_;
  std::string Checkpoint_;
};

//! Stored progress of a job.
struct JobProgress {
  JobState State_ = JobState::Queued;
  //! Only set in a final state.
  std::optional<base::WallTime> EndedAt_;
  //! Occurrences with a lower number are done.
  uint32_t OccurrencesDone_ = 0;
  std::vector<TaskPosition> DoneTasks_;
  std::map<TaskPosition, TaskProgress> UnfinishedTasks_;
};

//! Records are encoded as CBOR. Decoding a malformed record fails with
//! InvalidRequest.
std::string encode(const JobRecord &Record);
std::string encode(const JobProgress &Progress);
base::Result<JobRecord> decodeJobRecord(const std::string &Bytes);
base::Result<JobProgress> decodeJobProgress(const std::string &Bytes);

} // namespace crocuslead::jobs
