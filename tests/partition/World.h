#pragma once

#include "base/Random.h"
#include "cluster/ReportDelta.h"
#include "partition/Partition.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace crocuslead::partition::test {

using base::Resources;

//! In-memory key-value store with compare-and-swap transactions. World injects
//! the faults.
struct FakeStore {
  std::map<std::string, store::KeyValue> Data_;
  int64_t Revision_ = 10;

  bool matches(const store::Compare &Compare) const;
  bool txn(const store::Txn &Request);
  void put(const std::string &Key, const std::string &Value);
  std::vector<store::KeyValue> range(const std::string &Prefix) const;
};

struct FakeAttempt {
  cluster::AttemptReport Report_;
  Resources Granted_;
  int64_t RunTimeMs_ = 0;
  //! Progress of the checkpoint that the attempt resumed from.
  int64_t InitialProgressMs_ = 0;
  //! When a stop with a checkpoint completes.
  int64_t StopAtMs_ = 0;
};

//! Checks the invariants of the partition protocol against what the workers
//! execute, and collects violations as text.
struct Oracle {
  std::vector<std::string> Violations_;
  //! Worker by running task.
  std::map<std::string, std::string> RunningOn_;
  std::set<std::string> StartedAttempts_;
  std::set<std::string> ConfirmedFinishedTasks_;
  //! By task: progress of its latest confirmed checkpoint.
  std::map<std::string, int64_t> MinResumeProgressMs_;
  //! CPU time used on the workers, and the part that a durable end confirmed.
  int64_t ActualCpuMillis_ = 0;
  int64_t ConfirmedCpuMillis_ = 0;
  //! Attempts that the owner ended without a report of their worker.
  std::set<std::string> UnreportedAttempts_;
  uint32_t StartCount_ = 0;
  //! Attempts with a durable eviction.
  std::set<std::string> EvictedAttempts_;

  void addViolation(const std::string &Violation) {
    Violations_.push_back(Violation);
  }
  //! First violation, for assertion messages; empty when there is none.
  std::string firstViolation() const {
    return Violations_.empty() ? "" : Violations_.front();
  }
  void onStarted(const std::string &Worker, const FakeAttempt &Attempt);
  void onStopped(const std::string &Worker, const std::string &Task);
  void onForgotten(const cluster::AttemptReport &Report);
};

//! Simulated worker agent with leases, epochs and a clock of its own.
struct FakeWorker {
  std::string Id_;
  Resources Capacity_{8000, 32000, 0};
  int64_t ClockOffset_ = 0;
  int Incarnation_ = 1;
  int64_t HighestEpoch_ = 0;
  int64_t Sequence_ = 0;
  cluster::ReportBase LastReport_;
  int64_t LeaseEnd_ = 0;
  bool FailStarts_ = false;
  bool DropsRequests_ = false;
  //! Requests arrive, but their replies are lost.
  bool DropsReplies_ = false;
  int64_t CheckpointMs_ = 1500;
  std::map<std::string, FakeAttempt> Attempts_;

  cluster::WorkerReply handle(const cluster::WorkerRequest &Request,
                              int64_t NowMs, Oracle &TestOracle);
  cluster::CommandReply execute(const cluster::WorkerCommand &Command,
                                int64_t NowMs, Oracle &TestOracle);
  void step(int64_t NowMs, int64_t StepMs, Oracle &TestOracle);
  void stop(FakeAttempt &Attempt, cluster::AttemptState Outcome,
            Oracle &TestOracle);
  void restart(Oracle &TestOracle);
};

//! A process that owns, or owned, the partition.
struct FakeOwner {
  std::unique_ptr<Partition> Partition_;
  int64_t Epoch_ = 0;
  bool Fenced_ = false;
  int64_t PausedUntilMs_ = 0;
  int64_t LastKeepAliveMs_ = 0;
  //! Inputs that arrived while the process was paused.
  std::vector<std::function<void()>> DeferredInputs_;
  //! A handover is in progress.
  bool HandingOver_ = false;
};

//! Simulation of one partition with its store, its workers and its current and
//! former owners, on a simulated clock. All random choices derive from the
//! seed.
class World {
public:
  //! Worlds that simulate partitions of the same fleet share an oracle and need
  //! different ids.
  World(uint64_t Seed, int Workers, std::string Id = "p1",
        Oracle *SharedOracle = nullptr);
  World(const World &) = delete;
  World &operator=(const World &) = delete;

  //! Lets a new owner acquire the partition; false while the owner key exists
  //! or the store is down.
  bool takeOver();
  //! The newest owner; null when it is fenced or has crashed.
  Partition *currentOwner();
  //! Compares the state of a quiescent owner with the state recovered from the
  //! store.
  void checkReplay();
  void step();
  void run(int64_t Ms);
  void setDomainState(config::DomainState State);
  void killOwner();
  void pauseOwner(int64_t Ms);
  //! Starts a handover to a new owner, as in a planned shutdown.
  void handOver();
  uint64_t submit(JobSpec Job);
  uint64_t cancel(const std::string &Job);
  bool succeeded(uint64_t Call) const;
  base::TimePoint now() const;
  base::WallTime wall() const;

  base::Random Random_;
  FakeStore Store_;
  std::string Id_;
  Oracle OwnOracle_;
  Oracle &Oracle_;
  std::vector<FakeWorker> Workers_;
  std::vector<FakeOwner> Owners_;
  std::vector<PartitionSummary> Peers_;
  std::map<uint64_t, std::optional<base::Error>> Answers_;
  std::vector<TransferAction> Offers_;
  std::vector<TransferAckAction> Acks_;
  int64_t NowMs_ = 1'000'000;
  bool StoreDown_ = false;
  //! Probability that a store call or worker message is lost.
  int LostMessagePercent_ = 0;
  //! Maximum delivery delay of a message.
  int64_t MaxDelayMs_ = 20;
  //! When positive, the next message with a start fails at once for its sender
  //! but still arrives after this delay, concurrently with newer messages.
  int64_t StartMessageDelayMs_ = 0;
  base::Duration StartDeadline_ = std::chrono::milliseconds(1500);
  uint64_t CommitCount_ = 0;
  uint64_t CommitBytes_ = 0;
  uint64_t ReadBackCount_ = 0;
  uint64_t ReplayCheckCount_ = 0;
  uint32_t SnapshotAfterBatches_ = 256;
  //! Fault injection: a stop is reported as complete while the worker is still
  //! writing the checkpoint.
  bool ReportsStopsEarly_ = false;
  //! The latest message that contained a start.
  cluster::WorkerRequest LastStartRequest_;

private:
  void performAction(FakeOwner &Owner, const Action &Value);
  void commit(FakeOwner &Owner, const CommitAction &Commit);
  void readBack(FakeOwner &Owner, const ReadBackAction &Read);
  void sendToWorker(FakeOwner &Owner, const WorkerAction &Message);
  void deliver(int64_t Epoch, std::function<void(Partition &)> Input);
  void scheduleEvent(int64_t Delay, std::function<void()> Event);
  bool losesMessage() {
    return Random_.below(100) < static_cast<uint64_t>(LostMessagePercent_);
  }
  int64_t randomDelayMs() {
    return static_cast<int64_t>(Random_.below(MaxDelayMs_ + 1));
  }
  void recordForgets(const FakeOwner &Owner,
                     const cluster::WorkerRequest &Request);
  void keepAlive(FakeOwner &Owner);
  void expireOwnerLease();
  void releaseWhenQuiescent(FakeOwner &Owner);
  PartitionSettings settings(int64_t Epoch, int64_t PriorEpoch = 0) const;
  static std::string describeState(const Partition &Owner);
  config::Configuration configuration() const;
  std::vector<cluster::InstanceEntry> instances() const;

  std::multimap<int64_t, std::function<void()>> Events_;
  config::DomainState DomainState_ = config::DomainState::InService;
  //! Since when the domain has been out of service; 0 while it is in service.
  int64_t DomainOutAt_ = 0;
  uint64_t NextCall_ = 1;
};

JobSpec batchJob(const std::string &Id, uint32_t Tasks, int64_t RunMs = 10'000);

} // namespace crocuslead::partition::test
