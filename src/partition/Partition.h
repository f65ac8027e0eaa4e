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

//! Durations that govern a partition; see section 3 of the design page.
struct PartitionTimes {
  base::Duration CommitInterval_ = std::chrono::milliseconds(100);
  base::Duration WorkerLease_ = std::chrono::seconds(72);
  //! Less than the idle time-out of the connections (25 s), so that a renewal
  //! does not have to open a new connection.
  base::Duration RenewInterval_ = std::chrono::seconds(24);
  //! Interval at which a renewal also requests a report. Finished tasks are
  //! detected by polls at their expected end and counters are cumulative, so a
  //! longer interval delays only usage and interference data.
  base::Duration ReportInterval_ = std::chrono::seconds(96);
  //! During a store outage worker leases extend to this long after the last
  //! store contact.
  base::Duration LongLeaseHorizon_ = std::chrono::minutes(15);
  base::Duration StoreOutageBeforeLongLease_ = std::chrono::seconds(10);
  base::Duration ClockMargin_ = std::chrono::seconds(2);
  base::Duration StartDeadline_ = std::chrono::milliseconds(1500);
};

struct PartitionSettings {
  std::string Id_;
  //! Create revision of the owner key; the fencing token of commits and worker
  //! commands.
  int64_t Epoch_ = 0;
  //! Epoch of the owner before; 0 if there was none.
  int64_t PriorEpoch_ = 0;
  std::string OwnerKey_;
  //! Prefix of the journal and snapshot keys. When empty, the owner key up to
  //! and including its last '/' is used.
  std::string KeyPrefix_;
  std::string DomainsKey_;
  //! Failure domain of the partition's racks.
  std::string Domain_;
  PartitionTimes Times_;
  schedule::PlannerPolicy Policy_;
  uint64_t Seed_ = 1;
  //! The journal is compacted into a snapshot after this many batches or bytes,
  //! whichever comes first.
  uint32_t SnapshotAfterBatches_ = 256;
  std::size_t SnapshotAfterBytes_ = 256 << 10;
};

//! Commit Txn_ to the store and report the result with commitDone().
struct CommitAction {
  uint64_t Sequence_ = 0;
  store::Txn Txn_;
};

//! Read the journal key of a commit whose outcome has to be determined; report
//! the result with readBackDone().
struct ReadBackAction {
  uint64_t Sequence_ = 0;
  std::string Key_;
};

//! Send one message to a worker and report the reply or the failure with
//! workerReply().
struct WorkerAction {
  uint64_t Token_ = 0;
  cluster::WorkerRequest Request_;
};

//! Complete a submit or cancel call; Error_ is empty on success.
struct AnswerAction {
  uint64_t Call_ = 0;
  std::optional<base::Error> Error_;
  std::string JobId_;
};

//! Offer a job to another partition; repeated until transferAccepted() is
//! called.
struct TransferAction {
  std::string ToPartition_;
  std::string JobId_;
  //! Transfer number of the offer; grows with each transfer of the job.
  uint64_t Number_ = 0;
  //! Job record, CBOR-encoded.
  std::string Record_;
};

//! Acknowledge to the sending partition that the offered job is durable here.
struct TransferAckAction {
  std::string ToPartition_;
  std::string JobId_;
  uint64_t Number_ = 0;
};

//! The epoch has ended; the partition emits no further commits or commands.
struct FencedAction {};

//! Decisions were based on an outdated configuration: read it again, then call
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

//! Capacity and load of a partition, used to choose the target of a transfer
//! and to account for workspace shares.
struct PartitionSummary {
  std::string Id_;
  base::Resources Free_;
  base::Resources Capacity_;
  uint32_t PendingUrgent_ = 0;
  uint32_t Pending_ = 0;
  //! Resources held by the tasks of each workspace in this partition.
  std::map<std::string, base::Resources> HeldByWorkspace_;
};

//! Resource usage of one workspace in one settlement period (a calendar month
//! such as "2026-12").
struct UsageRow {
  std::string Period_;
  std::string Workspace_;
  //! CPU time in core-milliseconds: granted by the agreed share, reserved by
  //! tasks, and measured.
  int64_t GrantedCpuMillis_ = 0;
  int64_t HeldCpuMillis_ = 0;
  int64_t UsedCpuMillis_ = 0;
  //! Part of UsedCpuMillis_ that is an estimate because a worker's report was
  //! lost.
  int64_t EstimatedCpuMillis_ = 0;
  uint32_t Evictions_ = 0;
};

//! One record of the decision log.
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
  //! Why a pending task has not been placed; empty when unknown.
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

//! Manages the life cycle of all jobs and tasks of one partition during one
//! epoch. Performs no I/O: inputs arrive as calls, outputs leave as actions.
//! All durable state can be rebuilt from the snapshot and the journal.
class Partition {
public:
  explicit Partition(PartitionSettings Settings);
  Partition(const Partition &) = delete;
  Partition &operator=(const Partition &) = delete;
  ~Partition();

  //! Rebuilds the state from the keys under the partition's prefix. Must be
  //! called once, before any other function. Fails when a key is missing or
  //! cannot be decoded.
  base::Result<void> recover(const std::vector<store::KeyValue> &Stored,
                             base::TimePoint Now, base::WallTime Wall);

  //! Sets the newest configuration. FleetCapacity is the total capacity of the
  //! workers of all partitions.
  void configure(const config::Configuration &Config,
                 const base::Resources &FleetCapacity, base::TimePoint Now);
  //! Sets the workers of this partition, as found in the instance list.
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
                       const std::string &Record, uint64_t TransferNumber,
                       base::TimePoint Now);
  void transferAccepted(const std::string &JobId, uint64_t TransferNumber,
                        base::TimePoint Now);
  //! Records the send time of a store call that is known to have reached the
  //! store.
  void recordStoreContact(base::TimePoint At);

  //! Makes scheduling decisions. Must be called at least every 50 ms, and after
  //! inputs.
  void tick(base::TimePoint Now, base::WallTime Wall);
  //! Returns the actions emitted since the last call.
  std::vector<Action> takeActions();

  //! True when there are no uncommitted changes, so that the partition can be
  //! handed over.
  bool isQuiescent() const;
  //! Stops accepting submissions and making decisions, in preparation for a
  //! handover.
  void beginHandover();
  //! Ends the grants of leases. The record tells the next owner when those that
  //! were granted end; it is to be written with the deletion of the owner key.
  store::Put prepareHandover();

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
