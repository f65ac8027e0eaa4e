#include "app/PartitionHost.h"

#include "app/internal/HostedPartition.h"
#include "base/Hash.h"
#include "base/Log.h"

#include <cctype>

namespace crocuslead::app {

namespace {

constexpr auto OwnershipInterval = std::chrono::milliseconds(500);
constexpr std::size_t MaxRackDigits = 9;
// A summary visits all tasks of a partition; those of peers are 2 s old anyway.
constexpr auto SummaryInterval = std::chrono::milliseconds(500);

partition::PartitionSummary toSummary(const link::PartitionLoad &Load) {
  partition::PartitionSummary Out;
  Out.Id_ = Load.Partition_;
  Out.Free_ = {Load.FreeMilliCpu_, Load.FreeMemoryMb_, Load.FreeAccelerators_};
  Out.Capacity_ = {Load.CapacityMilliCpu_, Load.CapacityMemoryMb_,
                   Load.CapacityAccelerators_};
  Out.PendingUrgent_ = Load.PendingUrgent_;
  Out.Pending_ = Load.Pending_;
  return Out;
}

link::PartitionLoad toLoad(const partition::PartitionSummary &Summary) {
  link::PartitionLoad Out;
  Out.Partition_ = Summary.Id_;
  Out.FreeMilliCpu_ = Summary.Free_.MilliCpu_;
  Out.FreeMemoryMb_ = Summary.Free_.MemoryMb_;
  Out.FreeAccelerators_ = Summary.Free_.Accelerators_;
  Out.CapacityMilliCpu_ = Summary.Capacity_.MilliCpu_;
  Out.CapacityMemoryMb_ = Summary.Capacity_.MemoryMb_;
  Out.CapacityAccelerators_ = Summary.Capacity_.Accelerators_;
  Out.PendingUrgent_ = Summary.PendingUrgent_;
  Out.Pending_ = Summary.Pending_;
  return Out;
}

} // namespace

std::string partitionOfRack(const std::string &Domain, const std::string &Rack,
                            int PartitionsPerDomain) {
  // Racks are usually numbered. Their numbers spread them evenly, where a hash
  // of a few names can leave a partition without workers.
  std::size_t Digits = Rack.size();
  while (Digits > 0 && Rack.size() - Digits < MaxRackDigits &&
         std::isdigit(static_cast<unsigned char>(Rack[Digits - 1])) != 0)
    --Digits;
  uint64_t Number = Digits < Rack.size() ? std::stoull(Rack.substr(Digits))
                                         : base::stableHash(Rack);
  return Domain + "-" +
         std::to_string(Number % static_cast<uint64_t>(PartitionsPerDomain));
}

PartitionHost::PartitionHost(const Context &Shared, StoreSession &Session,
                             cluster::WorkerGateway &Workers,
                             ClaimService &Claims, SendToPeer Send)
    : Shared_(Shared), Session_(Session), Workers_(Workers), Claims_(Claims),
      Send_(std::move(Send)) {}

PartitionHost::~PartitionHost() = default;

void PartitionHost::rebuildPartitions() {
  std::vector<partition::PartitionInfo> Built;
  for (const auto &[Name, Domain] : Session_.config().configuration().Domains_)
    for (int I = 0; I < Shared_.Settings_.PartitionsPerDomain_; ++I)
      Built.push_back({Name + "-" + std::to_string(I), Name, Domain.Region_});
  if (Built.size() == Partitions_.size())
    return;
  Partitions_ = std::move(Built);
  Claims_.setPartitions(Partitions_);
  if (Ownership_) {
    Ownership_->setPartitions(Partitions_, Shared_.Clock_.now());
    return;
  }
  Ownership_ = std::make_unique<partition::Ownership>(
      Shared_.Settings_.InstanceId_, Shared_.Incarnation_, Partitions_,
      Shared_.Clock_.now());
  Ownership_->setLiveInstances(Live_);
  Ownership_->setOwners(Session_.owners());
  if (Draining_)
    Ownership_->beginDrain();
}

void PartitionHost::configChanged() {
  rebuildPartitions();
  feedAll();
}

void PartitionHost::ownersChanged() {
  if (Ownership_)
    Ownership_->setOwners(Session_.owners());
}

void PartitionHost::leaseRenewed(base::TimePoint SentAt) {
  if (Ownership_)
    Ownership_->leaseRenewed(
        SentAt, std::chrono::seconds(Shared_.Settings_.StoreLeaseSeconds_));
}

void PartitionHost::leaseLost() {
  if (Ownership_)
    Ownership_->leaseRenewed(Shared_.Clock_.now(), base::Duration(0));
  std::vector<std::string> Ids = ownedIds();
  for (const std::string &Id : Ids)
    abandon(Id);
  Session_.refresh();
}

void PartitionHost::storeRegained() {
  if (Ownership_)
    Ownership_->storeRegained(Shared_.Clock_.now());
}

void PartitionHost::setInstances(const cluster::InstanceSnapshot &Snapshot) {
  Instances_ = Snapshot;
  feedAll();
}

void PartitionHost::setLive(std::vector<partition::LiveInstance> Live) {
  Live_ = std::move(Live);
  if (Ownership_)
    Ownership_->setLiveInstances(Live_);
}

void PartitionHost::setPeerLoad(const std::string & /*Peer*/,
                                const link::LoadSummary &Summary) {
  for (const link::PartitionLoad &Load : Summary.Partitions_) {
    partition::PartitionSummary &Known = PeerLoad_[Load.Partition_];
    std::map<std::string, base::Resources> Held =
        std::move(Known.HeldByWorkspace_);
    Known = toSummary(Load);
    for (const link::WorkspaceUse &Use : Load.Use_) {
      base::Resources Value{Use.MilliCpu_, Use.MemoryMb_, Use.Accelerators_};
      if (Value == base::Resources{})
        Held.erase(Use.Workspace_);
      else
        Held[Use.Workspace_] = Value;
    }
    Known.HeldByWorkspace_ = std::move(Held);
  }
}

std::string PartitionHost::ownerOf(const std::string &Partition) const {
  if (Hosted_.count(Partition) != 0)
    return Shared_.Settings_.InstanceId_;
  auto Found = Session_.owners().find(Partition);
  return Found == Session_.owners().end() ? std::string()
                                          : Found->second.Instance_;
}

bool PartitionHost::ownershipConfirmed() const {
  return Ownership_ && Ownership_->leaseConfirmed(Shared_.Clock_.now());
}

partition::Partition *PartitionHost::owned(const std::string &Id) {
  auto Found = Hosted_.find(Id);
  return Found == Hosted_.end() ? nullptr : &Found->second->Partition_;
}

std::vector<std::string> PartitionHost::ownedIds() const {
  std::vector<std::string> Out;
  for (const auto &[Id, Each] : Hosted_)
    Out.push_back(Id);
  return Out;
}

void PartitionHost::tick() {
  base::TimePoint Now = Shared_.Clock_.now();
  if (Ownership_ && Now >= NextOwnershipStep_) {
    NextOwnershipStep_ = Now + OwnershipInterval;
    for (const partition::OwnershipAction &Action : Ownership_->step(Now)) {
      if (Action.Kind_ == partition::OwnershipActionKind::Acquire)
        acquire(Action.Partition_);
      else if (Action.Kind_ == partition::OwnershipActionKind::Yield)
        yield(Action.Partition_);
      else
        abandon(Action.Partition_);
    }
  }
  retryRecoveries(Now);
  releaseOrphans(Now);
  bool NewSummaries = Now >= NextSummaries_;
  std::vector<partition::PartitionSummary> Summaries;
  if (NewSummaries) {
    NextSummaries_ = Now + SummaryInterval;
    Summaries = otherSummaries();
  }
  std::vector<std::string> Ids = ownedIds();
  for (const std::string &Id : Ids) {
    auto Found = Hosted_.find(Id);
    if (Found == Hosted_.end())
      continue;
    Hosted &Each = *Found->second;
    if (Session_.hasContact() && ownershipConfirmed())
      Each.Partition_.recordStoreContact(Session_.lastContact());
    if (NewSummaries)
      Each.Partition_.setPeerSummaries(Summaries);
    Each.Partition_.tick(Now, Shared_.Clock_.wallNow());
    perform(Each);
    // perform() may have ended the partition.
    Found = Hosted_.find(Id);
    if (Found != Hosted_.end() && Found->second->Yielding_)
      continueYield(*Found->second);
  }
}

void PartitionHost::abandon(const std::string &Id) {
  auto Found = Hosted_.find(Id);
  if (Found == Hosted_.end())
    return;
  std::unique_ptr<Hosted> Ended = std::move(Found->second);
  Hosted_.erase(Found);
  Claims_.partitionLost(Id);
  base::logEvent(base::LogLevel::Info, "partition-ended", {{"partition", Id}});
  for (auto &[Call, Done] : Ended->Calls_)
    Done({Call,
          base::Error{base::ErrorKind::OutcomeUnknown,
                      "the partition moved to another instance before the "
                      "answer was durable; repeat the call"},
          ""});
}

void PartitionHost::call(
    const std::string &Partition, AnswerCallback Done,
    const std::function<void(partition::Partition &, uint64_t)> &Input) {
  auto Found = Hosted_.find(Partition);
  if (Found == Hosted_.end()) {
    Done({0, base::Error{base::ErrorKind::NotOwner, "not the owner"}, ""});
    return;
  }
  uint64_t Call = NextCall_++;
  Found->second->Calls_[Call] = std::move(Done);
  Input(Found->second->Partition_, Call);
  perform(*Found->second);
}

void PartitionHost::submit(const std::string &Partition,
                           const partition::JobSpec &Job, AnswerCallback Done) {
  call(Partition, std::move(Done),
       [this, &Job](partition::Partition &Target, uint64_t Call) {
         Target.submit(Call, Job, Shared_.Clock_.now(),
                       Shared_.Clock_.wallNow());
       });
}

void PartitionHost::cancel(const std::string &Partition,
                           const std::string &JobId, AnswerCallback Done) {
  call(Partition, std::move(Done),
       [this, &JobId](partition::Partition &Target, uint64_t Call) {
         Target.cancel(Call, JobId, Shared_.Clock_.now());
       });
}

void PartitionHost::received(const std::string & /*Peer*/,
                             const link::TransferOffer &Message) {
  auto Found = Hosted_.find(Message.ToPartition_);
  if (Found == Hosted_.end())
    return;
  Found->second->Partition_.transferOffered(Message.FromPartition_,
                                            Message.Record_, Message.Number_,
                                            Shared_.Clock_.now());
  perform(*Found->second);
}

void PartitionHost::received(const std::string & /*Peer*/,
                             const link::TransferAccept &Message) {
  auto Found = Hosted_.find(Message.FromPartition_);
  if (Found == Hosted_.end())
    return;
  Found->second->Partition_.transferAccepted(Message.JobId_, Message.Number_,
                                             Shared_.Clock_.now());
  perform(*Found->second);
}

link::LoadSummary PartitionHost::loadSummary() {
  link::LoadSummary Out;
  for (auto &[Id, Each] : Hosted_) {
    partition::PartitionSummary Summary = Each->Partition_.summary();
    link::PartitionLoad Load = toLoad(Summary);
    for (const auto &[Workspace, Held] : Summary.HeldByWorkspace_) {
      base::Resources &Sent =
          LastSentUse_[std::string(Id).append("/").append(Workspace)];
      if (Sent == Held)
        continue;
      Sent = Held;
      Load.Use_.push_back(
          {Workspace, Held.MilliCpu_, Held.MemoryMb_, Held.Accelerators_});
    }
    Out.Partitions_.push_back(std::move(Load));
  }
  return Out;
}

void PartitionHost::beginDrain() {
  Draining_ = true;
  if (Ownership_)
    Ownership_->beginDrain();
}

PartitionHost::Hosted *PartitionHost::find(const std::string &Id,
                                           int64_t Epoch) {
  auto Found = Hosted_.find(Id);
  if (Found == Hosted_.end() || Found->second->Epoch_ != Epoch)
    return nullptr;
  return Found->second.get();
}

std::vector<cluster::InstanceEntry>
PartitionHost::workersOf(const std::string &Partition) const {
  std::vector<cluster::InstanceEntry> Out;
  for (const cluster::InstanceEntry &Entry : Instances_.Entries_)
    if (!Entry.AgentAddress_.empty() &&
        partitionOfRack(Entry.Domain_, Entry.Rack_,
                        Shared_.Settings_.PartitionsPerDomain_) == Partition)
      Out.push_back(Entry);
  return Out;
}

std::vector<partition::PartitionSummary> PartitionHost::otherSummaries() const {
  std::vector<partition::PartitionSummary> Out;
  for (const auto &[Id, Summary] : PeerLoad_)
    if (Hosted_.count(Id) == 0)
      Out.push_back(Summary);
  for (const auto &[Id, Each] : Hosted_)
    Out.push_back(Each->Partition_.summary());
  return Out;
}

void PartitionHost::feed(Hosted &Target) {
  base::TimePoint Now = Shared_.Clock_.now();
  base::Resources Fleet;
  for (const cluster::InstanceEntry &Entry : Instances_.Entries_)
    if (!Entry.AgentAddress_.empty())
      Fleet += Entry.Capacity_;
  Target.Partition_.configure(Session_.config().configuration(), Fleet, Now);
  Target.Partition_.setWorkers(workersOf(Target.Id_), Now);
  perform(Target);
}

// Performing actions may end a partition, so the map must not be iterated.
void PartitionHost::feedAll() {
  for (const std::string &Id : ownedIds()) {
    auto Found = Hosted_.find(Id);
    if (Found != Hosted_.end())
      feed(*Found->second);
  }
}

void PartitionHost::perform(Hosted &Target) {
  std::string Id = Target.Id_;
  int64_t Epoch = Target.Epoch_;
  for (partition::Action &Action : Target.Partition_.takeActions()) {
    // An earlier action may have ended the epoch.
    if (find(Id, Epoch) == nullptr)
      return;
    std::visit(ActionPerformer{*this, Id, Epoch}, Action);
  }
}

} // namespace crocuslead::app
