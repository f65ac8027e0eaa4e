#include "PartitionRig.h"

#include <chrono>
#include <utility>

namespace crocuslead::bench {

using cluster::AttemptState;
using cluster::CommandKind;
using partition::CommitStatus;

namespace {

const std::string Prefix = "/crocuslead/partitions/p01/";
const std::string DomainsKey = "/crocuslead/config/domains";
constexpr int64_t StepMs = 50;
constexpr int64_t CheckpointMs = 2000;
constexpr base::Resources WorkerSize{16'000, 64'000, 0};

std::string keyOf(const std::string &Task, uint32_t Attempt) {
  return Task + "#" + std::to_string(Attempt);
}

bool isLive(AttemptState State) {
  return State == AttemptState::Running || State == AttemptState::Checkpointing;
}

} // namespace

PartitionRig::PartitionRig(int Workers) : Partition_(settings()) {
  Data_[DomainsKey] = {DomainsKey, "x", 50, 50, 1};
  Data_[Prefix + "owner"] = {Prefix + "owner", "x", 100, 100, 1};
  (void)Partition_.recover({}, now(), wall());
  configure(Partition_);
  std::vector<cluster::InstanceEntry> Entries;
  for (int I = 0; I < Workers; ++I) {
    cluster::InstanceEntry Entry;
    Entry.Id_ = "worker-" + std::to_string(I);
    Entry.AgentAddress_ = Entry.Id_;
    Entry.Domain_ = "ibadan";
    Entry.Rack_ = "rack-" + std::to_string(I / 11);
    Entry.Capacity_ = WorkerSize;
    Workers_[Entry.Id_].Id_ = Entry.Id_;
    Entries.push_back(std::move(Entry));
  }
  Partition_.setWorkers(Entries, now());
}

base::TimePoint PartitionRig::now() const {
  return base::TimePoint(std::chrono::milliseconds(NowMs_));
}

base::WallTime PartitionRig::wall() const {
  return base::WallTime(std::chrono::milliseconds(1'780'000'000'000 + NowMs_));
}

partition::PartitionSettings PartitionRig::settings() const {
  partition::PartitionSettings Out;
  Out.Id_ = "p01";
  Out.Epoch_ = 100;
  Out.OwnerKey_ = Prefix + "owner";
  Out.DomainsKey_ = DomainsKey;
  Out.Domain_ = "ibadan";
  return Out;
}

void PartitionRig::configure(partition::Partition &Of) const {
  config::Configuration Config;
  for (const char *Name : {"guild", "bureau"}) {
    config::Workspace &Space = Config.Workspaces_[Name];
    Space.Name_ = Name;
    Space.AgreedShare_ = 0.5;
  }
  Config.Domains_["ibadan"] = {"ibadan", "south-west", Domain_};
  Config.DomainsRevision_ = Data_.at(DomainsKey).ModRevision_;
  Of.configure(Config, {16LL * 69 * 16'000, 16LL * 69 * 64'000, 0}, now());
}

void PartitionRig::setDomain(config::DomainState State) {
  Domain_ = State;
  Data_[DomainsKey].ModRevision_ = ++Revision_;
  configure(Partition_);
}

std::vector<store::KeyValue> PartitionRig::stored() const {
  std::vector<store::KeyValue> Out;
  for (const auto &[Key, Value] : Data_)
    if (Key.compare(0, Prefix.size(), Prefix) == 0)
      Out.push_back(Value);
  return Out;
}

void PartitionRig::submit(const std::string &Id, int64_t RunMs, bool Urgent,
                          uint32_t Tasks) {
  partition::JobSpec Job;
  Job.Id_ = Id;
  Job.Workspace_ = Urgent ? "guild" : "bureau";
  Job.Kind_ = Urgent ? "charge-check" : "allocation-run";
  Job.Urgent_ = Urgent;
  Job.TaskCount_ = Tasks;
  Job.PerTask_ = {1000, 3000, 0};
  Job.RunTimeMs_ = RunMs;
  if (Urgent)
    SubmittedMs_[Id + "/0"] = NowMs_;
  Partition_.submit(1, Job, now(), wall());
}

void PartitionRig::step() {
  NowMs_ += StepMs;
  for (auto &[Id, One] : Workers_)
    for (auto &[Key, Task] : One.Attempts_) {
      cluster::AttemptReport &Report = Task.Report_;
      if (!isLive(Report.State_))
        continue;
      Report.CpuMillis_ += StepMs;
      if (Report.State_ == AttemptState::Running) {
        Report.RunMillis_ += StepMs;
        WorkMillis_ += StepMs;
      }
      if (Report.State_ == AttemptState::Checkpointing &&
          NowMs_ >= Task.StopMs_) {
        Report.State_ = AttemptState::Stopped;
        Report.Checkpoint_ = std::to_string(Task.EndMs_ - Task.StopMs_);
      } else if (Report.State_ == AttemptState::Running &&
                 NowMs_ >= Task.EndMs_) {
        Report.State_ = AttemptState::Finished;
        ++Finished_;
      }
    }
  auto Began = std::chrono::steady_clock::now();
  Partition_.recordStoreContact(now());
  Partition_.tick(now(), wall());
  std::vector<partition::Action> Out = Partition_.takeActions();
  CpuSeconds_ +=
      std::chrono::duration<double>(std::chrono::steady_clock::now() - Began)
          .count();
  for (const partition::Action &Value : Out)
    perform(Value);
}

void PartitionRig::perform(const partition::Action &Value) {
  if (const auto *Commit = std::get_if<partition::CommitAction>(&Value))
    commit(*Commit);
  else if (const auto *Message = std::get_if<partition::WorkerAction>(&Value))
    answer(*Message);
  else if (const auto *Read = std::get_if<partition::ReadBackAction>(&Value)) {
    ++Reads_;
    Partition_.readBackDone(Read->Sequence_, std::nullopt, now());
  } else if (std::holds_alternative<partition::RefreshConfigAction>(Value)) {
    ++Reads_;
    configure(Partition_);
  }
}

void PartitionRig::commit(const partition::CommitAction &Commit) {
  ++Writes_;
  bool Holds = true;
  for (const store::Compare &One : Commit.Txn_.Compares_)
    if (One.Key_ == DomainsKey)
      Holds = Holds && Data_[DomainsKey].ModRevision_ == One.Value_;
  if (Holds) {
    ++Revision_;
    for (const store::Delete &One : Commit.Txn_.Deletes_)
      Data_.erase(Data_.lower_bound(One.Key_),
                  Data_.lower_bound(One.RangeEnd_));
    for (const store::Put &One : Commit.Txn_.Puts_) {
      store::KeyValue &Kept = Data_[One.Key_];
      Kept = {One.Key_, One.Value_, Revision_, Revision_, Kept.Version_ + 1};
      WrittenBytes_ += One.Value_.size();
    }
  }
  auto Began = std::chrono::steady_clock::now();
  Partition_.commitDone(
      Commit.Sequence_,
      Holds ? CommitStatus::Committed : CommitStatus::CompareFailed, now());
  CpuSeconds_ +=
      std::chrono::duration<double>(std::chrono::steady_clock::now() - Began)
          .count();
}

void PartitionRig::run(Worker &Of, const cluster::WorkerCommand &Command) {
  std::string Key = keyOf(Command.Task_, Command.Attempt_);
  if (Command.Kind_ == CommandKind::Start) {
    Attempt &New = Of.Attempts_[Key];
    New.Report_.Task_ = Command.Task_;
    New.Report_.Attempt_ = Command.Attempt_;
    int64_t Left = Command.Checkpoint_.empty()
                       ? Command.RunTimeMs_
                       : std::stoll(Command.Checkpoint_);
    New.EndMs_ = NowMs_ + Left;
    ++Starts_;
    if (auto At = SubmittedMs_.find(Command.Task_); At != SubmittedMs_.end()) {
      UrgentDelaysMs_.push_back(static_cast<double>(NowMs_ - At->second));
      SubmittedMs_.erase(At);
    }
    return;
  }
  auto Found = Of.Attempts_.find(Key);
  if (Found == Of.Attempts_.end())
    return;
  Attempt &Task = Found->second;
  if (Command.Kind_ == CommandKind::Forget && !isLive(Task.Report_.State_)) {
    Of.Attempts_.erase(Found);
  } else if (Command.Kind_ == CommandKind::Stop &&
             isLive(Task.Report_.State_)) {
    Task.Report_.State_ = AttemptState::Stopped;
  } else if (Command.Kind_ == CommandKind::CheckpointStop &&
             Task.Report_.State_ == AttemptState::Running) {
    Task.Report_.State_ = AttemptState::Checkpointing;
    Task.StopMs_ = NowMs_ + CheckpointMs;
  }
}

void PartitionRig::answer(const partition::WorkerAction &Message) {
  Worker &To = Workers_[Message.Request_.Worker_];
  cluster::WorkerReply Reply;
  for (const cluster::WorkerCommand &Command : Message.Request_.Commands_) {
    run(To, Command);
    Reply.Commands_.emplace_back();
  }
  Reply.WorkerClockMs_ = NowMs_;
  Reply.HighestEpoch_ = Message.Request_.Epoch_;
  Reply.Incarnation_ = "i1";
  Reply.HasReport_ = true;
  Reply.ReportSequence_ = ++To.Sequence_;
  for (const auto &[Key, Task] : To.Attempts_)
    Reply.Attempts_.push_back(Task.Report_);
  if (Message.Request_.Commands_.empty()) {
    LastRequest_ = Message.Request_;
    LastReply_ = Reply;
  }
  auto Began = std::chrono::steady_clock::now();
  Partition_.workerReply(Message.Token_, Reply, now());
  CpuSeconds_ +=
      std::chrono::duration<double>(std::chrono::steady_clock::now() - Began)
          .count();
}

} // namespace crocuslead::bench
