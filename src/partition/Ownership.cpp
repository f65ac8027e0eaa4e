#include "partition/Ownership.h"

#include "base/Hash.h"
#include "base/NameTable.h"
#include "chart/Chart.h"

#include <algorithm>
#include <utility>

namespace crocuslead::partition {

namespace {

//! After a start, and after a store outage, no partition is acquired for this
//! long, and only a draining instance yields any: the lists of live instances
//! and owners need time to settle.
constexpr base::Duration SettleTime = std::chrono::seconds(4);
//! Minimum time between two yields of an instance that is not draining.
constexpr base::Duration YieldInterval = std::chrono::seconds(10);
//! Covers the time that a keep-alive takes to reach the store.
constexpr base::Duration LeaseMargin = std::chrono::seconds(2);
//! Up to this long after an acquisition, a read of the owner keys may still
//! predate it.
constexpr base::Duration MaxOwnerReadAge = std::chrono::seconds(10);
constexpr base::Duration AcquireRetryDelay = std::chrono::seconds(1);

} // namespace

struct Ownership::ChartBinding {
  static const chart::BoundChart<Phase, Event> &chart() {
    static constexpr auto Phases =
        base::makeNameTable<Phase>({{Phase::Idle, "idle"},
                                    {Phase::Acquiring, "acquiring"},
                                    {Phase::Held, "held"},
                                    {Phase::Yielding, "yielding"}});
    static constexpr auto Events =
        base::makeNameTable<Event>({{Event::Acquire, "acquire"},
                                    {Event::Won, "won"},
                                    {Event::Lost, "lost"},
                                    {Event::Yield, "yield"},
                                    {Event::Yielded, "yielded"},
                                    {Event::Abandon, "abandon"}});
    static const chart::BoundChart<Phase, Event> Bound("partition_lease",
                                                       Phases, Events);
    return Bound;
  }
};

Ownership::Ownership(std::string Self, std::string Incarnation,
                     std::vector<PartitionInfo> Partitions,
                     base::TimePoint StartedAt)
    : Self_(std::move(Self)), Incarnation_(std::move(Incarnation)),
      SettledAt_(StartedAt + SettleTime),
      LastYieldAt_(StartedAt - YieldInterval) {
  setPartitions(std::move(Partitions), StartedAt);
}

void Ownership::setPartitions(std::vector<PartitionInfo> Partitions,
                              base::TimePoint Now) {
  Partitions_ = std::move(Partitions);
  std::sort(Partitions_.begin(), Partitions_.end(),
            [](const PartitionInfo &A, const PartitionInfo &B) {
              return A.Id_ < B.Id_;
            });
  for (const PartitionInfo &Partition : Partitions_) {
    auto [It, Inserted] = TrackedPartitions_.try_emplace(Partition.Id_);
    if (Inserted)
      It->second.Since_ = Now - AcquireRetryDelay;
  }
  updateAssignment();
}

void Ownership::setLiveInstances(std::vector<LiveInstance> Live) {
  LiveInstances_ = std::move(Live);
  updateAssignment();
}

void Ownership::setOwners(std::map<std::string, OwnerRecord> Owners) {
  Owners_ = std::move(Owners);
}

void Ownership::leaseRenewed(base::TimePoint SentAt,
                             base::Duration TimeToLive) {
  LeaseLost_ = TimeToLive.count() <= 0;
  LeaseEnd_ = LeaseLost_ ? base::TimePoint() : SentAt + TimeToLive;
}

void Ownership::storeRegained(base::TimePoint At) {
  SettledAt_ = std::max(SettledAt_, At + SettleTime);
}

void Ownership::beginDrain() {
  Draining_ = true;
  updateAssignment();
}

bool Ownership::leaseConfirmed(base::TimePoint Now) const {
  return Now < LeaseEnd_ - LeaseMargin;
}

std::optional<std::string>
Ownership::preferredOwner(const std::string &Partition) const {
  auto It = PreferredOwners_.find(Partition);
  if (It == PreferredOwners_.end())
    return std::nullopt;
  return It->second;
}

std::optional<std::size_t>
Ownership::bestCandidate(const PartitionInfo &Partition,
                         const std::vector<std::size_t> &Load,
                         bool SameRegion) const {
  auto Accepting = static_cast<std::size_t>(std::count_if(
      LiveInstances_.begin(), LiveInstances_.end(),
      [](const LiveInstance &Instance) { return Instance.Accepting_; }));
  if (Accepting == 0)
    return std::nullopt;
  std::size_t MaxLoad = (Partitions_.size() + Accepting - 1) / Accepting + 1;
  std::optional<std::size_t> Best;
  uint64_t BestWeight = 0;
  for (std::size_t I = 0; I < LiveInstances_.size(); ++I) {
    const LiveInstance &Instance = LiveInstances_[I];
    if (!Instance.Accepting_ || (Draining_ && Instance.Id_ == Self_) ||
        Load[I] >= MaxLoad ||
        (SameRegion && Instance.Region_ != Partition.Region_))
      continue;
    uint64_t Weight = base::rendezvousWeight(Partition.Id_, Instance.Id_);
    if (Best && Weight <= BestWeight)
      continue;
    Best = I;
    BestWeight = Weight;
  }
  return Best;
}

// Deterministic: every instance computes the same assignment from the same live
// instances.
void Ownership::updateAssignment() {
  PreferredOwners_.clear();
  std::vector<std::size_t> Load(LiveInstances_.size(), 0);
  for (const PartitionInfo &Partition : Partitions_) {
    auto Best = bestCandidate(Partition, Load, true);
    if (!Best)
      Best = bestCandidate(Partition, Load, false);
    if (!Best)
      continue;
    ++Load[*Best];
    PreferredOwners_[Partition.Id_] = LiveInstances_[*Best].Id_;
  }
}

bool Ownership::applyEvent(TrackedPartition &Partition, Event Trigger,
                           base::TimePoint Now) {
  auto Next = ChartBinding::chart().next(Partition.Phase_, Trigger);
  if (!Next)
    return false;
  Partition.Phase_ = *Next;
  Partition.Since_ = Now;
  return true;
}

void Ownership::acquireFinished(const std::string &Partition, bool Won,
                                base::TimePoint Now) {
  TrackedPartition &Tracked = TrackedPartitions_[Partition];
  Tracked.OwnerKeySeen_ = false;
  applyEvent(Tracked, Won ? Event::Won : Event::Lost, Now);
}

void Ownership::yieldFinished(const std::string &Partition) {
  TrackedPartition &Tracked = TrackedPartitions_[Partition];
  applyEvent(Tracked, Event::Yielded, Tracked.Since_);
  // The key has been deleted; an older read of the owners must not make the
  // partition look owned.
  Owners_.erase(Partition);
}

void Ownership::epochEnded(const std::string &Partition, base::TimePoint Now) {
  applyEvent(TrackedPartitions_[Partition], Event::Abandon, Now);
}

bool Ownership::ownerKeyLost(const std::string &Partition,
                             TrackedPartition &Tracked,
                             base::TimePoint Now) const {
  auto Owner = Owners_.find(Partition);
  if (Owner != Owners_.end() && Owner->second.Instance_ == Self_ &&
      Owner->second.Incarnation_ == Incarnation_) {
    Tracked.OwnerKeySeen_ = true;
    return false;
  }
  return Tracked.OwnerKeySeen_ || Now - Tracked.Since_ > MaxOwnerReadAge;
}

bool Ownership::shouldAcquire(const std::string &Partition,
                              const TrackedPartition &Tracked,
                              base::TimePoint Now) const {
  return !Draining_ && Now >= SettledAt_ && leaseConfirmed(Now) &&
         Owners_.count(Partition) == 0 &&
         Now - Tracked.Since_ >= AcquireRetryDelay &&
         preferredOwner(Partition) == Self_;
}

bool Ownership::shouldYield(const std::string &Partition,
                            base::TimePoint Now) const {
  // A draining instance is about to stop, so its partitions are yielded without
  // delay.
  if (Draining_)
    return true;
  auto Preferred = preferredOwner(Partition);
  return Preferred && *Preferred != Self_ && Now >= SettledAt_ &&
         Now - LastYieldAt_ >= YieldInterval;
}

std::vector<OwnershipAction> Ownership::step(base::TimePoint Now) {
  std::vector<OwnershipAction> Actions;
  for (auto &[Id, Tracked] : TrackedPartitions_) {
    bool Owns =
        Tracked.Phase_ == Phase::Held || Tracked.Phase_ == Phase::Yielding;
    // Without store contact the owner continues with long worker leases. The
    // epoch ends only when the store reports that the lease or the owner key is
    // gone.
    if (Owns && (LeaseLost_ || ownerKeyLost(Id, Tracked, Now))) {
      applyEvent(Tracked, Event::Abandon, Now);
      Actions.push_back({OwnershipActionKind::Abandon, Id});
    } else if (Tracked.Phase_ == Phase::Held && shouldYield(Id, Now)) {
      LastYieldAt_ = Now;
      applyEvent(Tracked, Event::Yield, Now);
      Actions.push_back({OwnershipActionKind::Yield, Id});
    } else if (Tracked.Phase_ == Phase::Idle &&
               shouldAcquire(Id, Tracked, Now)) {
      applyEvent(Tracked, Event::Acquire, Now);
      Actions.push_back({OwnershipActionKind::Acquire, Id});
    }
  }
  return Actions;
}

std::string homePartition(const std::string &Key,
                          const std::vector<PartitionInfo> &Partitions) {
  std::vector<std::string> Ids;
  Ids.reserve(Partitions.size());
  for (const PartitionInfo &Partition : Partitions)
    Ids.push_back(Partition.Id_);
  auto Best = base::rendezvousPick(Key, Ids);
  return Best ? Ids[*Best] : std::string();
}

} // namespace crocuslead::partition
