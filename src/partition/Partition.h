#pragma once

#include "base/Clock.h"
#include "base/Error.h"
#include "cluster/InstanceList.h"
#include "cluster/WorkerGateway.h"
#include "config/Model.h"
#include "partition/Job.h"
#include "schedule/Planner.h"
#include "store/KeyValueStore.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace crocuslead::partition {

//! Durations that govern a partition; see the design page, section 3.
struct PartitionTimes {
  base::Duration CommitInterval_ = std::chrono::milliseconds(100);
  base::Duration WorkerLease_ = std::chrono::seconds(72);
  //! Below the idle limits of the connections (25 s), which would otherwise be
  //! made anew for each renewal.
  base::Duration RenewInterval_ = std::chrono::seconds(24);
  //! Renewals ask for a report this often. Ends of tasks are noticed by polls
  //! at their expected ends, and counters are cumulative, so only usage and
  //! interference are known later.
  base::Duration ReportInterval_ = std::chrono::seconds(96);
  base::Duration LongLeaseHorizon_ = std::chrono::minutes(15);
  base::Duration StoreOutageBeforeLongLease_ = std::chrono::seconds(10);
  base::Duration ClockMargin_ = std::chrono::seconds(2);
  base::Duration StartDeadline_ = std::chrono::milliseconds(1500);
};

struct PartitionSettings {
  std::string Id_;
  //! Create revision of the owner key; fences commits and worker commands.
  int64_t Epoch_ = 0;
  std::string OwnerKey_;
  //! Prefix of the journal and snapshot keys. Empty: the owner key's folder.
  std::string KeyPrefix_;
  std::string DomainsKey_;
  //! Failure domain of the partition's racks.
  std::string Domain_;
  PartitionTimes Times_;
  schedule::PlannerPolicy Policy_;
  uint64_t Seed_ = 1;
  //! The journal is compacted into the snapshot after this many batches or
  //! bytes.
  uint32_t SnapshotAfterBatches_ = 256;
  std::size_t SnapshotAfterBytes_ = 256 << 10;
};

//! Commits Txn_; report the result with commitDone().
struct CommitAction {
  uint64_t Sequence_ = 0;
  store::Txn Txn_;
};

//! Reads back the journal key of an uncertain commit; report with
//! readBackDone().
struct ReadBackAction {
  uint64_t Sequence_ = 0;
  std::string Key_;
};

//! Sends one message to a worker; report with workerReply().
struct WorkerAction {
  uint64_t Token_ = 0;
  cluster::WorkerRequest Request_;
};

//! Answers a submit or cancel call.
struct AnswerAction {
  uint64_t Call_ = 0;
  std::optional<base::Error> Error_;
  std::string JobId_;
};

//! Offers a job to another partition; repeated until transferAccepted().
struct TransferAction {
  std::string ToPartition_;
  std::string JobId_;
  uint64_t Number_ = 0;
  //! CBOR of the job record.
  std::string Record_;
};

//! Tells the sending partition that its offer is durable here.
struct TransferAckAction {
  std::string ToPartition_;
  std::string JobId_;
  uint64_t Number_ = 0;
};

//! The epoch has ended: the partition does nothing more.
struct FencedAction {};

//! The configuration that decisions were based on is old: read it again, then
//! configure().
struct RefreshConfigAction {};

using Action = std::variant<CommitAction, ReadBackAction, WorkerAction,
                            AnswerAction, TransferAction, TransferAckAction,
                            FencedAction, RefreshConfigAction>;

enum class CommitStatus : uint8_t {
  Committed,
  CompareFailed,
  Uncertain,
  NotApplied
};

//! Room of a partition, for the choice of a transfer's target and for share
//! accounting.
struct PartitionSummary {
  std::string Id_;
  base::Resources Free_;
  base::Resources Capacity_;
  uint32_t PendingUrgent_ = 0;
  uint32_t Pending_ = 0;
  //! Resources that each workspace's tasks hold here.
  std::map<std::string, base::Resources> HeldByWorkspace_;
};

//! Usage of one workspace in one settlement period (a calendar month,
//! "2026-12").
struct UsageRow {
  std::string Period_;
  std::string Workspace_;
  //! CPU time granted by the agreed share, held by tasks, and measured;
  //! core-milliseconds.
  int64_t GrantedCpuMillis_ = 0;
  int64_t HeldCpuMillis_ = 0;
  int64_t UsedCpuMillis_ = 0;
  //! Part of UsedCpuMillis_ that was estimated because a worker's report was
  //! lost.
  int64_t EstimatedCpuMillis_ = 0;
  uint32_t Evictions_ = 0;
};

//! One line of the decision log.
struct DecisionRecord {
  int64_t UnixMs_ = 0;
  std::string Task_;
  std::string Event_;
  std::string Reason_;
  std::string Worker_;
};

struct TaskView {
  std::string Task_;
  std::string State_;
  std::string Worker_;
  uint32_t Attempt_ = 0;
  std::string PendingReason_;
};

struct JobView {
  std::string Id_;
  std::string Workspace_;
  JobState State_ = JobState::Pending;
  std::string TransferredTo_;
  std::string RejectReason_;
  std::vector<TaskView> Tasks_;
};

//! Life cycle of all jobs and tasks of one partition in one epoch. No I/O:
//! inputs come as calls, outputs as actions. All durable state can be rebuilt
//! from the snapshot and the journal.
class Partition {
public:
  explicit Partition(PartitionSettings Settings);
  Partition(const Partition &) = delete;
  Partition &operator=(const Partition &) = delete;
  ~Partition();

  //! Rebuilds the state from the keys under the partition's prefix. Call once,
  //! first. Fails when a key cannot be decoded.
  base::Result<void> recover(const std::vector<store::KeyValue> &Stored,
                             base::TimePoint Now, base::WallTime Wall);

  //! Newest configuration. FleetCapacity is that of all workers of all
  //! partitions.
  void configure(const config::Configuration &Config,
                 const base::Resources &FleetCapacity, base::TimePoint Now);
  //! Workers that belong to this partition, as the instance list has them.
  void setWorkers(const std::vector<cluster::InstanceEntry> &Workers,
                  base::TimePoint Now);
  void setPeerSummaries(std::vector<PartitionSummary> Summaries);

  void submit(uint64_t Call, const JobSpec &Job, base::TimePoint Now,
              base::WallTime Wall);
  void cancel(uint64_t Call, const std::string &JobId, base::TimePoint Now);

  void commitDone(uint64_t Sequence, CommitStatus Status, base::TimePoint Now);
  void readBackDone(uint64_t Sequence,
                    const std::optional<store::KeyValue> &Found,
                    base::TimePoint Now);
  void workerReply(uint64_t Token,
                   const std::variant<cluster::WorkerReply, base::Error> &Reply,
                   base::TimePoint Now);
  void transferOffered(const std::string &FromPartition,
                       const std::string &Record, uint64_t Number,
                       base::TimePoint Now);
  void transferAccepted(const std::string &JobId, uint64_t Number,
                        base::TimePoint Now);
  //! Time of the last store call that surely reached the store (its send time).
  void recordStoreContact(base::TimePoint At);

  //! Makes decisions; call at least every 50 ms and after inputs.
  void tick(base::TimePoint Now, base::WallTime Wall);
  std::vector<Action> takeActions();

  //! True when nothing is uncommitted, so that the partition can be handed
  //! over.
  bool isQuiescent() const;
  //! Stops taking submissions and making decisions, to hand the partition over.
  void beginHandover();

  PartitionSummary summary() const;
  std::vector<UsageRow> usage() const;
  std::optional<JobView> job(const std::string &JobId) const;
  std::vector<JobView> jobs() const;
  std::vector<DecisionRecord> explain(const std::string &TaskOrJob) const;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace crocuslead::partition
