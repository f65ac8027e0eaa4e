#pragma once

#include "base/NameTable.h"
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

//! How accepted jobs are written. Both forms are read.
enum class RecordFormat : uint8_t {
  //! Each record contains its payload, as in all versions.
  PayloadsInline,
  //! Versions that know only the form above can't read such a record. When they
  //! lead, they stop the job's tasks and discard their results.
  PayloadsApart,
};

constexpr auto RecordFormatNames = base::makeNameTable<RecordFormat>(
    {{RecordFormat::PayloadsInline, "payloads-inline"},
     {RecordFormat::PayloadsApart, "payloads-apart"}});

//! An accepted job as stored. Immutable once written.
struct JobRecord {
  std::string Queue_;
  JobSpec Spec_;
  base::WallTime AcceptedAt_;
  //! IP:port at which the instance that accepted the job listens for others;
  //! empty in records of earlier versions.
  std::string AcceptedBy_;
  //! The payload is stored under a key of its own, and Spec_ has none.
  bool PayloadApart_ = false;
  //! Of a payload that is stored apart: an id may be used again once its job is
  //! removed.
  uint64_t PayloadHash_ = 0;
};

//! A payload of up to this many bytes is part of the job's record; the request
//! for one that is stored apart takes as many.
constexpr std::size_t MaxInlinePayload = 256;

//! How strongly the loss of a worker speaks against a run on it.
enum class CrashEvidence : uint8_t {
  //! Stands for the next run, which has not been lost. Stored before that run
  //! starts, so that a takeover does not hide its crash.
  Announced,
  //! Other causes are as likely: the run was not isolated.
  Shared,
  //! It was isolated, but a later incarnation may have got its start, or other
  //! workers were lost without a suspect.
  SoleUncertain,
  //! It was isolated, and located on the incarnation that ended.
  Sole,
};

constexpr auto CrashEvidenceNames = base::makeNameTable<CrashEvidence>(
    {{CrashEvidence::Announced, "announced"},
     {CrashEvidence::Shared, "shared"},
     {CrashEvidence::SoleUncertain, "sole-uncertain"},
     {CrashEvidence::Sole, "sole"}});

//! A run whose worker was lost before the run was known to have outlived its
//! start, so the run may have crashed it.
struct SuspectedCrash {
  //! Of an announced run, the least number that it can have. Earlier versions
  //! recorded 0.
  uint64_t Run_ = 0;
  CrashEvidence Evidence_ = CrashEvidence::Shared;
};

//! Stored progress of a task that is not done.
struct TaskProgress {
  //! Numbers of the failed runs. Kept as numbers, so that a result reported
  //! twice is counted once.
  std::vector<uint64_t> FailedRuns_;
  std::string Checkpoint_;
  std::vector<SuspectedCrash> Crashes_;
};

//! The one worker that may be running a task.
struct TaskLocation {
  //! Empty if an earlier version of the program recorded the location, which
  //! may be any worker.
  std::string Worker_;
  //! The incarnation on record has taken the start. Unset, the start may be on
  //! its way, or may have been taken by a later incarnation.
  bool Located_ = false;
};

//! What is known of a start that may be executed late: how many copies were
//! sent.
enum class LateStartState : uint8_t {
  //! Nothing: it may not have been sent yet.
  InFlight,
  //! It was sent, and its worker has neither answered nor listed the run.
  Missing,
  //! The same, and another copy was sent since. A report of the run does not
  //! tell which of them was executed.
  Repeated,
};

constexpr auto LateStartStateNames = base::makeNameTable<LateStartState>(
    {{LateStartState::InFlight, "in-flight"},
     {LateStartState::Missing, "missing"},
     {LateStartState::Repeated, "repeated"}});

//! A start that any incarnation of its worker may still execute.
struct LateStart {
  std::string Worker_;
  uint64_t Run_ = 0;
  LateStartState State_ = LateStartState::InFlight;
};

//! Stored progress of a job.
struct JobProgress {
  JobState State_ = JobState::Queued;
  //! The term that learned of the job when it was accepted; 0 if it is not
  //! known.
  uint64_t FirstTerm_ = 0;
  //! Only set in a final state.
  std::optional<base::WallTime> EndedAt_;
  //! Occurrences with a lower number are done.
  uint32_t OccurrencesDone_ = 0;
  std::vector<TaskPosition> DoneTasks_;
  //! Of unfinished tasks. No start was sent to another worker since. A
  //! long-running task without one has no run.
  std::map<TaskPosition, TaskLocation> Locations_;
  //! Of tasks that are done as well. They may be over.
  std::map<TaskPosition, LateStart> LateStarts_;
  std::map<TaskPosition, TaskProgress> UnfinishedTasks_;
};

//! Records are encoded as CBOR. Decoding a malformed record fails with
//! InvalidRequest.
std::string encode(const JobRecord &Record);
std::string encode(const JobProgress &Progress);
base::Result<JobRecord> decodeJobRecord(const std::string &Bytes);
base::Result<JobProgress> decodeJobProgress(const std::string &Bytes);

} // namespace crocuslead::jobs
