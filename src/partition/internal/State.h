#pragma once

#include "partition/Job.h"
#include "partition/Partition.h"
#include "partition/internal/TaskLife.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace crocuslead::partition {

//! Durable state of one task. All times are wall-clock milliseconds.
struct TaskRecord {
  TaskState State_ = TaskState::Pending;
  //! Incremented with each start. The number of a durable start is never
  //! reused, not even after the job has been transferred.
  uint32_t Attempt_ = 0;
  uint32_t Evictions_ = 0;
  uint32_t Failures_ = 0;
  std::string Worker_;
  std::string Checkpoint_;
  //! Time of the start decision.
  int64_t StartMs_ = 0;
  //! Held CPU time is accounted for up to this time; 0 until the task has
  //! started.
  int64_t HeldCountedUntilMs_ = 0;
  //! Time of the last report whose usage was accounted for.
  int64_t UsageCountedUntilMs_ = 0;
  //! Part of the worker's CPU counter for this attempt that the usage rows
  //! already include.
  int64_t CountedCpuMillis_ = 0;
};

enum class TransferPhase : uint8_t { None, Offered, Moved };

//! Durable state of one job. The tasks of an ended job are dropped.
struct JobRecord {
  JobSpec Spec_;
  int64_t SubmittedMs_ = 0;
  //! Wall-clock time at which the job ended or moved to another partition; 0
  //! before that.
  int64_t EndedMs_ = 0;
  JobState FinalState_ = JobState::Pending;
  bool Cancelled_ = false;
  std::string RejectReason_;
  TransferPhase TransferPhase_ = TransferPhase::None;
  std::string TransferTo_;
  //! Number of the job's last transfer. Each transfer of a job has its own
  //! number, so that a repeated offer is recognised.
  uint64_t TransferNumber_ = 0;
  std::vector<TaskRecord> Tasks_;
};

enum class EntryKind : uint8_t {
  Submit = 1,
  Start,
  Started,
  Evict,
  End,
  Cancel,
  Reject,
  Offered,
  Moved,
  Accepted,
  Usage,
  Accrue,
  Prune
};

enum class AttemptOutcome : uint8_t {
  Stopped,
  Finished,
  Failed,
  //! The worker never accepted the start.
  NotStarted
};

//! One journal entry. Fields that a kind does not use keep their default value
//! and are not written to the journal.
struct JournalEntry {
  EntryKind Kind_ = EntryKind::Submit;
  std::string Job_;
  //! Task index; for Cancel the first index of the task range.
  uint32_t Task_ = 0;
  uint32_t Attempt_ = 0;
  int64_t TimeMs_ = 0;
  //! Submit and Accepted: encoded job record. Start: worker. End and Usage:
  //! checkpoint. Reject: reason. Offered: receiving partition.
  std::string Text_;
  //! End and Usage: CPU counter. Offered: transfer number. Cancel: end of the
  //! task range. Prune: jobs that ended at or before this time are dropped.
  int64_t Number_ = 0;
  //! End: estimated CPU time of an attempt whose last report is missing.
  int64_t EstimatedCpuMillis_ = 0;
  AttemptOutcome Outcome_ = AttemptOutcome::Stopped;
  //! Accrue: granted CPU time by workspace, core-milliseconds.
  std::vector<std::pair<std::string, int64_t>> GrantedByWorkspace_;
};

//! Durable state of a partition, built by applying journal entries in order.
//! Deterministic: the same sequence of entries gives the same state.
class DurableState {
public:
  //! Applies the entry. Returns false and changes nothing when the entry is not
  //! valid in the current state.
  bool apply(const JournalEntry &Entry);
  //! Undoes a start that did not become durable.
  void withdrawStart(const JournalEntry &Start);

  JobRecord *find(const std::string &Job);
  const JobRecord *find(const std::string &Job) const;
  //! Inserts a decoded record, replacing an existing one of the same id.
  void restoreJob(JobRecord Job);

  const std::map<std::string, JobRecord> &jobs() const { return Jobs_; }
  //! Ended jobs, ordered by the time at which they ended.
  const std::set<std::pair<int64_t, std::string>> &ended() const {
    return Ended_;
  }

  //! Usage rows by period and workspace.
  std::map<std::pair<std::string, std::string>, UsageRow> Usage_;
  //! Wall-clock time up to which held and granted CPU time is accounted for.
  int64_t AccruedUntilMs_ = 0;

private:
  bool applyTask(JobRecord &Job, const JournalEntry &Entry);
  bool applyStart(TaskRecord &Task, const JournalEntry &Entry);
  void applyEnd(JobRecord &Job, TaskRecord &Task, const JournalEntry &Entry);
  void applyCancel(JobRecord &Job, const JournalEntry &Entry);
  void applyAccrue(const JournalEntry &Entry);
  void addUsage(const JobRecord &Job, TaskRecord &Task,
                const JournalEntry &Entry);
  void addHeldTime(const JobRecord &Job, TaskRecord &Task, int64_t ToMs);
  void endJob(JobRecord &Job, JobState FinalState, int64_t AtMs);
  void endJobIfDone(JobRecord &Job, int64_t AtMs);
  UsageRow &usageRow(int64_t AtMs, const std::string &Workspace);

  std::map<std::string, JobRecord> Jobs_;
  std::set<std::pair<int64_t, std::string>> Ended_;
};

//! Settlement period (UTC month such as "2026-12") that contains the wall-clock
//! time WallMs.
std::string periodOf(int64_t WallMs);
//! First millisecond of the period after the one that contains WallMs.
int64_t nextPeriodStart(int64_t WallMs);

} // namespace crocuslead::partition
