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

//! Durable state of one task.
struct TaskRecord {
  TaskState State_ = TaskState::Pending;
  //! Grows by one with each start; never reused, also after a transfer.
  uint32_t Attempt_ = 0;
  uint32_t Evictions_ = 0;
  uint32_t Failures_ = 0;
  std::string Worker_;
  std::string Checkpoint_;
  //! Wall clock of the start decision; of the time up to which the held share
  //! is counted (0 until started); of the last counted report.
  int64_t StartMs_ = 0;
  int64_t HeldCountedUntilMs_ = 0;
  int64_t UsageCountedUntilMs_ = 0;
  //! Worker's CPU counter of this attempt that is already in the usage rows.
  int64_t CountedCpuMillis_ = 0;
};

enum class TransferPhase : uint8_t { None, Offered, Moved };

//! Durable state of one job. An ended job keeps no tasks.
struct JobRecord {
  JobSpec Spec_;
  int64_t SubmittedMs_ = 0;
  //! Wall clock of the end; 0 while the job lives here.
  int64_t EndedMs_ = 0;
  JobState FinalState_ = JobState::Pending;
  bool Cancelled_ = false;
  std::string RejectReason_;
  TransferPhase TransferPhase_ = TransferPhase::None;
  std::string TransferTo_;
  //! Number of the job's last transfer; the same job never moves twice under
  //! one number.
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
  //! The worker never took the start.
  NotStarted
};

//! One journal entry. Fields that a kind does not use keep their default and
//! are not written.
struct JournalEntry {
  EntryKind Kind_ = EntryKind::Submit;
  std::string Job_;
  //! Task index; for Cancel the first one.
  uint32_t Task_ = 0;
  uint32_t Attempt_ = 0;
  int64_t TimeMs_ = 0;
  //! Submit and Accepted: job record. Start: worker. End and Usage: checkpoint.
  //! Reject: reason. Offered: receiving partition.
  std::string Text_;
  //! End and Usage: CPU counter. Offered and Accepted: transfer number. Cancel:
  //! end of the task range. Prune: newest end that is dropped.
  int64_t Number_ = 0;
  //! End: CPU time estimated for an attempt without a last report.
  int64_t EstimatedCpuMillis_ = 0;
  AttemptOutcome Outcome_ = AttemptOutcome::Stopped;
  //! Accrue: granted core-milliseconds by workspace.
  std::vector<std::pair<std::string, int64_t>> GrantedByWorkspace_;
};

//! Durable state of a partition: a fold of entries. Equal entries in equal
//! order give an equal state.
class DurableState {
public:
  //! Applies the entry; false, and no change, when it does not fit the state.
  bool apply(const JournalEntry &Change);
  //! Takes back a start that did not become durable.
  void withdrawStart(const JournalEntry &Start);

  JobRecord *find(const std::string &Job);
  const JobRecord *find(const std::string &Job) const;
  //! Puts a record in place, as decoded from a snapshot.
  void restoreJob(JobRecord Job);

  const std::map<std::string, JobRecord> &jobs() const { return Jobs_; }
  //! Ended jobs by time of end.
  const std::set<std::pair<int64_t, std::string>> &ended() const {
    return Ended_;
  }

  std::map<std::pair<std::string, std::string>, UsageRow> Usage_;
  //! Wall clock up to which held and granted shares are counted.
  int64_t AccruedUntilMs_ = 0;

private:
  bool applyTask(JobRecord &Job, const JournalEntry &Change);
  bool applyStart(TaskRecord &Task, const JournalEntry &Change);
  void applyEnd(JobRecord &Job, TaskRecord &Task, const JournalEntry &Change);
  void applyCancel(JobRecord &Job, const JournalEntry &Change);
  void applyAccrue(const JournalEntry &Change);
  void countUse(const JobRecord &Job, TaskRecord &Task,
                const JournalEntry &Change);
  void countHeld(const JobRecord &Job, TaskRecord &Task, int64_t ToMs);
  void endJob(JobRecord &Job, JobState How, int64_t AtMs);
  void endIfDone(JobRecord &Job, int64_t AtMs);
  UsageRow &row(int64_t AtMs, const std::string &Workspace);

  std::map<std::string, JobRecord> Jobs_;
  std::set<std::pair<int64_t, std::string>> Ended_;
};

//! Settlement period of a wall clock reading in milliseconds, "2026-12" (UTC).
std::string periodOf(int64_t WallMs);
//! First millisecond of the period after the one that holds WallMs.
int64_t nextPeriodStart(int64_t WallMs);

} // namespace crocuslead::partition
