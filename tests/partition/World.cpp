#include "World.h"

#include "cluster/WorkerCodec.h"
#include "partition/internal/Codec.h"

#include <algorithm>

namespace crocuslead::partition::test {

using cluster::AttemptState;
using cluster::CommandKind;
using cluster::CommandStatus;

namespace {

const std::string Prefix = "/crocuslead/partitions/p1/";
const std::string TermKey = "/crocuslead/terms/p1";
const std::string DomainsKey = "/crocuslead/config/domains";
constexpr int64_t StepMs = 50;
constexpr int64_t OwnerLeaseMs = 15'000;
constexpr int64_t KeepAliveIntervalMs = 2000;
//! Wall clock at the start of the simulated clock, milliseconds.
constexpr int64_t WallClockOriginMs = 1'780'000'000'000;

} // namespace

World::World(uint64_t Seed, int Workers, std::string Id, Oracle *SharedOracle)
    : Random_(Seed), Id_(std::move(Id)),
      Oracle_(SharedOracle == nullptr ? OwnOracle_ : *SharedOracle) {
  for (int I = 0; I < Workers; ++I) {
    FakeWorker Worker;
    Worker.Id_ =
        (SharedOracle == nullptr ? "w" : Id_ + "w") + std::to_string(I);
    Worker.ClockOffset_ = static_cast<int64_t>(Random_.below(1'000'000));
    Workers_.push_back(std::move(Worker));
  }
  Store_.put(DomainsKey, "in");
  takeOver();
}

base::TimePoint World::now() const {
  return base::TimePoint(std::chrono::milliseconds(NowMs_));
}

base::WallTime World::wall() const {
  return base::WallTime(std::chrono::milliseconds(WallClockOriginMs + NowMs_));
}

config::Configuration World::configuration() const {
  config::Configuration Out;
  for (const char *Name : {"guild", "bureau"}) {
    config::Workspace &Workspace = Out.Workspaces_[Name];
    Workspace.Name_ = Name;
    Workspace.AgreedShare_ = 0.5;
  }
  Out.Domains_["d1"] = {"d1", "r1", DomainState_};
  Out.DomainsRevision_ = Store_.Data_.at(DomainsKey).ModRevision_;
  return Out;
}

std::vector<cluster::InstanceEntry> World::instances() const {
  std::vector<cluster::InstanceEntry> Out;
  for (const FakeWorker &Worker : Workers_) {
    cluster::InstanceEntry Entry;
    Entry.Id_ = Worker.Id_;
    Entry.AgentAddress_ = Worker.Id_;
    Entry.Domain_ = "d1";
    Entry.Rack_ = "r";
    Entry.Capacity_ = Worker.Capacity_;
    Out.push_back(std::move(Entry));
  }
  return Out;
}

bool World::takeOver() {
  store::Txn Create;
  Create.Compares_ = {
      {Prefix + "owner", store::CompareTarget::CreateRevision, 0}};
  Create.Puts_ = {{Prefix + "owner", "x", 0}, {TermKey, "x", 0}};
  auto PriorTerm = Store_.Data_.find(TermKey);
  int64_t PriorEpoch =
      PriorTerm == Store_.Data_.end() ? 0 : PriorTerm->second.ModRevision_;
  if (StoreDown_ || !Store_.txn(Create))
    return false;
  FakeOwner Owner;
  Owner.Epoch_ = Store_.Revision_;
  Owner.LastKeepAliveMs_ = NowMs_;
  Owner.Partition_ =
      std::make_unique<Partition>(settings(Owner.Epoch_, PriorEpoch));
  if (!Owner.Partition_->recover(Store_.range(Prefix), now(), wall()))
    Oracle_.addViolation("recovery of a new owner failed");
  Owner.Partition_->configure(configuration(), {80'000, 320'000, 0}, now());
  Owner.Partition_->setWorkers(instances(), now());
  Owner.Partition_->setPeerSummaries(Peers_);
  Owners_.push_back(std::move(Owner));
  return true;
}

PartitionSettings World::settings(int64_t Epoch, int64_t PriorEpoch) const {
  PartitionSettings Settings;
  Settings.Id_ = Id_;
  Settings.Epoch_ = Epoch;
  Settings.PriorEpoch_ = PriorEpoch;
  Settings.OwnerKey_ = Prefix + "owner";
  Settings.DomainsKey_ = DomainsKey;
  Settings.Times_.StartDeadline_ = StartDeadline_;
  Settings.Domain_ = "d1";
  Settings.SnapshotAfterBatches_ = SnapshotAfterBatches_;
  return Settings;
}

std::string World::describeState(const Partition &Owner) {
  std::string Out;
  for (const JobView &Job : Owner.jobs()) {
    Out += Job.Id_ + ":" + std::to_string(static_cast<int>(Job.State_)) +
           Job.TransferredTo_ + Job.RejectReason_ + " ";
    for (const TaskView &Task : Job.Tasks_)
      Out += Task.State_ + std::to_string(Task.Attempt_) + Task.Worker_ + " ";
  }
  for (const UsageRow &Row : Owner.usage())
    for (int64_t Value :
         {Row.GrantedCpuMillis_, Row.HeldCpuMillis_, Row.UsedCpuMillis_,
          Row.EstimatedCpuMillis_, static_cast<int64_t>(Row.Evictions_)})
      Out += std::to_string(Value) + " ";
  return Out;
}

void World::checkReplay() {
  Partition *Owner = currentOwner();
  if (Owner == nullptr || !Owner->isQuiescent())
    return;
  auto Key = Store_.Data_.find(Prefix + "owner");
  if (Key == Store_.Data_.end() ||
      Key->second.CreateRevision_ != Owners_.back().Epoch_)
    return;
  ++ReplayCheckCount_;
  Partition Recovered(settings(Owners_.back().Epoch_));
  if (!Recovered.recover(Store_.range(Prefix), now(), wall()) ||
      describeState(Recovered) != describeState(*Owner))
    Oracle_.addViolation(
        "recovery from the store gives a different state than the owner has");
}

Partition *World::currentOwner() {
  if (Owners_.empty() || Owners_.back().Fenced_ || !Owners_.back().Partition_)
    return nullptr;
  return Owners_.back().Partition_.get();
}

void World::scheduleEvent(int64_t Delay, std::function<void()> Event) {
  Events_.emplace(NowMs_ + Delay, std::move(Event));
}

// Inputs for a paused owner are deferred until it resumes.
void World::deliver(int64_t Epoch, std::function<void(Partition &)> Input) {
  for (FakeOwner &Owner : Owners_) {
    if (Owner.Epoch_ != Epoch || !Owner.Partition_)
      continue;
    if (Owner.PausedUntilMs_ > NowMs_)
      Owner.DeferredInputs_.push_back(
          [this, Epoch, Input] { deliver(Epoch, Input); });
    else
      Input(*Owner.Partition_);
  }
}

void World::keepAlive(FakeOwner &Owner) {
  auto Key = Store_.Data_.find(Prefix + "owner");
  bool OwnsKey =
      Key != Store_.Data_.end() && Key->second.CreateRevision_ == Owner.Epoch_;
  if (StoreDown_)
    return;
  if (!OwnsKey) {
    Owner.Fenced_ = true;
    return;
  }
  if (NowMs_ - Owner.LastKeepAliveMs_ < KeepAliveIntervalMs)
    return;
  Owner.LastKeepAliveMs_ = NowMs_;
  Owner.Partition_->recordStoreContact(now());
  // Watch events may be lost. The owner then learns of a changed configuration
  // only when the store refuses a commit.
  if (LostMessagePercent_ == 0 || Random_.below(10) == 0)
    Owner.Partition_->configure(configuration(), {80'000, 320'000, 0}, now());
}

void World::expireOwnerLease() {
  auto Key = Store_.Data_.find(Prefix + "owner");
  if (Key == Store_.Data_.end() || StoreDown_)
    return;
  for (const FakeOwner &Owner : Owners_)
    if (Owner.Epoch_ == Key->second.CreateRevision_ &&
        NowMs_ - Owner.LastKeepAliveMs_ > OwnerLeaseMs) {
      ++Store_.Revision_;
      Store_.Data_.erase(Key);
      return;
    }
}

void World::step() {
  NowMs_ += StepMs;
  while (!Events_.empty() && Events_.begin()->first <= NowMs_) {
    auto Event = std::move(Events_.begin()->second);
    Events_.erase(Events_.begin());
    Event();
  }
  for (FakeWorker &Worker : Workers_)
    Worker.step(NowMs_, StepMs, Oracle_);
  for (FakeOwner &Owner : Owners_) {
    if (!Owner.Partition_ || Owner.Fenced_ || Owner.PausedUntilMs_ > NowMs_)
      continue;
    for (auto &Input : std::exchange(Owner.DeferredInputs_, {}))
      Input();
    Owner.Partition_->tick(now(), wall());
    for (const Action &Pending : Owner.Partition_->takeActions())
      performAction(Owner, Pending);
    keepAlive(Owner);
    releaseWhenQuiescent(Owner);
  }
  expireOwnerLease();
}

void World::run(int64_t Ms) {
  for (int64_t End = NowMs_ + Ms; NowMs_ < End;)
    step();
}

void World::setDomainState(config::DomainState State) {
  ++Store_.Revision_;
  Store_.put(DomainsKey, "changed");
  DomainOutAt_ = State == config::DomainState::InService
                     ? 0
                     : (DomainOutAt_ != 0 ? DomainOutAt_ : NowMs_);
  DomainState_ = State;
}

void World::killOwner() {
  if (!Owners_.empty())
    Owners_.back().Partition_.reset();
}

void World::handOver() {
  if (Partition *Owner = currentOwner()) {
    Owner->beginHandover();
    Owners_.back().HandingOver_ = true;
  }
}

// As in the server process, the owner keeps running until the store has
// answered the release of its key.
void World::releaseWhenQuiescent(FakeOwner &Owner) {
  if (!Owner.HandingOver_ || StoreDown_ || !Owner.Partition_->isQuiescent())
    return;
  Owner.HandingOver_ = false;
  store::Txn Release;
  Release.Compares_ = {
      {Prefix + "owner", store::CompareTarget::CreateRevision, Owner.Epoch_}};
  Release.Deletes_ = {{Prefix + "owner", ""}};
  Release.Puts_ = {Owner.Partition_->prepareHandover()};
  scheduleEvent(randomDelayMs(), [this, Epoch = Owner.Epoch_, Release] {
    Store_.txn(Release);
    takeOver();
    scheduleEvent(randomDelayMs(), [this, Epoch] {
      for (FakeOwner &Former : Owners_)
        if (Former.Epoch_ == Epoch)
          Former.Partition_.reset();
    });
  });
}

void World::pauseOwner(int64_t Ms) {
  if (!Owners_.empty())
    Owners_.back().PausedUntilMs_ = NowMs_ + Ms;
}

uint64_t World::submit(JobSpec Job) {
  Partition *Owner = currentOwner();
  if (Owner == nullptr || Owners_.back().PausedUntilMs_ > NowMs_)
    return 0;
  Owner->submit(NextCall_, Job, now(), wall());
  return NextCall_++;
}

uint64_t World::cancel(const std::string &Job) {
  Partition *Owner = currentOwner();
  if (Owner == nullptr || Owners_.back().PausedUntilMs_ > NowMs_)
    return 0;
  Owner->cancel(NextCall_, Job, now());
  return NextCall_++;
}

bool World::succeeded(uint64_t Call) const {
  auto Found = Answers_.find(Call);
  return Found != Answers_.end() && !Found->second;
}

JobSpec batchJob(const std::string &Id, uint32_t Tasks, int64_t RunMs) {
  JobSpec Job;
  Job.Id_ = Id;
  Job.Workspace_ = "guild";
  Job.Kind_ = "run";
  Job.TaskCount_ = Tasks;
  Job.PerTask_ = {1000, 2000, 0};
  Job.RunTimeMs_ = RunMs;
  return Job;
}

} // namespace crocuslead::partition::test
