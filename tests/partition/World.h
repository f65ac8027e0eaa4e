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

//! Key-value store with compare-and-swap; faults are the World's.
struct FakeStore {
  std::map<std::string, store::KeyValue> Data_;
  int64_t Revision_ = 10;

  bool holds(const store::Compare &One) const;
  bool txn(const store::Txn &Request);
  void put(const std::string &Key, const std::string &Value);
  std::vector<store::KeyValue> range(const std::string &Prefix) const;
};

struct FakeAttempt {
  cluster::AttemptReport Report_;
  Resources Granted_;
  int64_t RunTimeMs_ = 0;
  int64_t BaseProgressMs_ = 0;
  int64_t StopAt_ = 0;
};

//! Rules that the oracle holds; violations are collected as text.
struct Oracle {
  std::vector<std::string> Faults_;
  std::map<std::string, std::string> RunsOn_;
  std::set<std::string> EverStarted_;
  std::set<std::string> ConfirmedFinished_;
  std::map<std::string, int64_t> MustResumeMs_;
  int64_t RealCpu_ = 0;
  int64_t ConfirmedCpu_ = 0;
  //! Attempts that the owner ended without their worker's report.
  std::set<std::string> Unreported_;
  uint32_t Starts_ = 0;
  //! Attempts with a durable eviction.
  std::set<std::string> Evicted_;

  void fault(const std::string &What) { Faults_.push_back(What); }
  //! First fault, for messages; empty when every rule held.
  std::string text() const { return Faults_.empty() ? "" : Faults_.front(); }
  void started(const std::string &Worker, const FakeAttempt &Attempt);
  void over(const std::string &Worker, const std::string &Task);
  void forgotten(const cluster::AttemptReport &Report);
};

//! A worker agent: leases, epochs, its own clock.
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
  bool CutOff_ = false;
  //! Requests arrive, answers do not.
  bool LoseReplies_ = false;
  int64_t CheckpointMs_ = 1500;
  std::map<std::string, FakeAttempt> Attempts_;

  cluster::WorkerReply handle(const cluster::WorkerRequest &Request,
                              int64_t NowMs, Oracle &Rules);
  cluster::CommandReply run(const cluster::WorkerCommand &Command,
                            int64_t NowMs, Oracle &Rules);
  void step(int64_t NowMs, int64_t StepMs, Oracle &Rules);
  void stop(FakeAttempt &Attempt, cluster::AttemptState How, Oracle &Rules);
  void restart(Oracle &Rules);
};

struct FakeOwner {
  std::unique_ptr<Partition> Partition_;
  int64_t Epoch_ = 0;
  bool Fenced_ = false;
  int64_t PausedUntil_ = 0;
  int64_t KeepAliveAt_ = 0;
  std::vector<std::function<void()>> Held_;
  bool Yielding_ = false;
};

//! One partition, its store and workers, and up to a few owners, on a paused
//! clock. Every random choice comes from the seed.
class World {
public:
  //! Worlds of one fleet share an oracle and have different ids.
  World(uint64_t Seed, int Workers, std::string Id = "p1",
        Oracle *Shared = nullptr);
  World(const World &) = delete;
  World &operator=(const World &) = delete;

  //! Lets a new owner take the partition; false while the owner key is there.
  bool takeOver();
  //! The newest owner without its crash; none when there is none.
  Partition *current();
  //! Compares a quiescent owner with what the store gives on recovery.
  void checkReplay();
  void step();
  void run(int64_t Ms);
  void setDomain(config::DomainState State);
  void kill();
  void pause(int64_t Ms);
  //! Hands the partition over to a new owner, as at a planned stop.
  void handOver();
  uint64_t submit(JobSpec Job);
  uint64_t cancel(const std::string &Job);
  bool answered(uint64_t Call) const;
  base::TimePoint now() const;
  base::WallTime wall() const;

  base::Random Random_;
  FakeStore Store_;
  std::string Id_;
  Oracle OwnRules_;
  Oracle &Oracle_;
  std::vector<FakeWorker> Workers_;
  std::vector<FakeOwner> Owners_;
  std::vector<PartitionSummary> Peers_;
  std::map<uint64_t, std::optional<base::Error>> Answers_;
  std::vector<TransferAction> Offers_;
  std::vector<TransferAckAction> Acks_;
  int64_t NowMs_ = 1'000'000;
  bool StoreDown_ = false;
  //! Part of calls whose answer is lost, in percent, and longest delay.
  int LoseAnswers_ = 0;
  int64_t MaxDelayMs_ = 20;
  //! When set, the sender gives up messages with starts at once, and they
  //! arrive this much later, beside newer messages.
  int64_t DelayStartsMs_ = 0;
  base::Duration StartDeadline_ = std::chrono::milliseconds(1500);
  uint64_t Commits_ = 0;
  uint64_t CommitBytes_ = 0;
  uint64_t ReadBacks_ = 0;
  uint64_t Replays_ = 0;
  uint32_t SnapshotAfterBatches_ = 256;
  //! Breaks the rule under test in the fake's view of leases.
  bool ForgeStops_ = false;
  //! Last message with a start, as it was sent.
  cluster::WorkerRequest LastStart_;

private:
  void perform(FakeOwner &Owner, const Action &Value);
  void commit(FakeOwner &Owner, const CommitAction &Commit);
  void readBack(FakeOwner &Owner, const ReadBackAction &Read);
  void message(FakeOwner &Owner, const WorkerAction &Message);
  void deliver(int64_t Epoch, std::function<void(Partition &)> Input);
  void at(int64_t Delay, std::function<void()> What);
  bool lose() {
    return Random_.below(100) < static_cast<uint64_t>(LoseAnswers_);
  }
  int64_t delay() {
    return static_cast<int64_t>(Random_.below(MaxDelayMs_ + 1));
  }
  void noteForget(const FakeOwner &Owner, const cluster::WorkerRequest &To);
  void keepAlive(FakeOwner &Owner);
  void expireOwner();
  void yieldWhenQuiescent(FakeOwner &Owner);
  PartitionSettings settings(int64_t Epoch) const;
  static std::string stateText(const Partition &Of);
  config::Configuration configuration() const;
  std::vector<cluster::InstanceEntry> instances() const;

  std::multimap<int64_t, std::function<void()>> Events_;
  config::DomainState Domain_ = config::DomainState::InService;
  int64_t DomainOutAt_ = 0;
  uint64_t NextCall_ = 1;
};

JobSpec batchJob(const std::string &Id, uint32_t Tasks, int64_t RunMs = 10'000);

} // namespace crocuslead::partition::test
