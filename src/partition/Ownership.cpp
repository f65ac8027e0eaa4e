#include "partition/Ownership.h"

#include "base/Hash.h"
#include "base/NameTable.h"
#include "chart/Chart.h"

#include <algorithm>
#include <utility>

namespace crocuslead::partition {

namespace {

//! After a start, and after the store is back, the live view and the owners
//! need time to settle.
constexpr base::Duration HoldOff = std::chrono::seconds(4);
constexpr base::Duration YieldInterval = std::chrono::seconds(10);
//! Margin that covers a keep-alive's way to the store.
constexpr base::Duration LeaseMargin = std::chrono::seconds(2);
//! A read of the owner keys may be older than the acquisition for this long.
constexpr base::Duration OwnersLag = std::chrono::seconds(10);
constexpr base::Duration AcquireRetry = std::chrono::seconds(1);

} // namespace

struct Ownership::Names {
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
                     base::TimePoint Started)
    : Self_(std::move(Self)), Incarnation_(std::move(Incarnation)),
      HoldOffUntil_(Started + HoldOff), LastYield_(Started - YieldInterval) {
  setPartitions(std::move(Partitions), Started);
}

void Ownership::setPartitions(std::vector<PartitionInfo> Partitions,
                              base::TimePoint Now) {
  Partitions_ = std::move(Partitions);
  std::sort(Partitions_.begin(), Partitions_.end(),
            [](const PartitionInfo &A, const PartitionInfo &B) {
              return A.Id_ < B.Id_;
            });
  for (const PartitionInfo &Partition : Partitions_) {
    auto [Found, New] = Tracked_.try_emplace(Partition.Id_);
    if (New)
      Found->second.Since_ = Now - AcquireRetry;
  }
  assign();
}

void Ownership::setLiveInstances(std::vector<LiveInstance> Live) {
  Live_ = std::move(Live);
  assign();
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
  HoldOffUntil_ = std::max(HoldOffUntil_, At + HoldOff);
}

void Ownership::beginDrain() {
  Draining_ = true;
  assign();
}

bool Ownership::leaseConfirmed(base::TimePoint Now) const {
  return Now < LeaseEnd_ - LeaseMargin;
}

std::optional<std::string>
Ownership::preferredOwner(const std::string &Partition) const {
  auto Found = Preferred_.find(Partition);
  if (Found == Preferred_.end())
    return std::nullopt;
  return Found->second;
}

std::optional<std::size_t>
Ownership::bestCandidate(const PartitionInfo &Partition,
                         const std::vector<std::size_t> &Load,
                         bool SameRegion) const {
  auto Accepting = static_cast<std::size_t>(
      std::count_if(Live_.begin(), Live_.end(),
                    [](const LiveInstance &One) { return One.Accepting_; }));
  if (Accepting == 0)
    return std::nullopt;
  std::size_t Cap = (Partitions_.size() + Accepting - 1) / Accepting + 1;
  std::optional<std::size_t> Best;
  uint64_t BestWeight = 0;
  for (std::size_t I = 0; I < Live_.size(); ++I) {
    const LiveInstance &One = Live_[I];
    if (!One.Accepting_ || (Draining_ && One.Id_ == Self_) || Load[I] >= Cap ||
        (SameRegion && One.Region_ != Partition.Region_))
      continue;
    uint64_t Weight = base::rendezvousWeight(Partition.Id_, One.Id_);
    if (Best && Weight <= BestWeight)
      continue;
    Best = I;
    BestWeight = Weight;
  }
  return Best;
}

// Every instance computes the same assignment from the same live view.
void Ownership::assign() {
  Preferred_.clear();
  std::vector<std::size_t> Load(Live_.size(), 0);
  for (const PartitionInfo &Partition : Partitions_) {
    auto Best = bestCandidate(Partition, Load, true);
    if (!Best)
      Best = bestCandidate(Partition, Load, false);
    if (!Best)
      continue;
    ++Load[*Best];
    Preferred_[Partition.Id_] = Live_[*Best].Id_;
  }
}

bool Ownership::moveTo(Tracked &Partition, Event On, base::TimePoint Now) {
  auto Next = Names::chart().next(Partition.Phase_, On);
  if (!Next)
    return false;
  Partition.Phase_ = *Next;
  Partition.Since_ = Now;
  return true;
}

void Ownership::acquireFinished(const std::string &Partition, bool Won,
                                base::TimePoint Now) {
  Tracked &State = Tracked_[Partition];
  State.Seen_ = false;
  moveTo(State, Won ? Event::Won : Event::Lost, Now);
}

void Ownership::yieldFinished(const std::string &Partition) {
  Tracked &State = Tracked_[Partition];
  moveTo(State, Event::Yielded, State.Since_);
  // The key is gone; an older read of the owners must not show it as taken.
  Owners_.erase(Partition);
}

void Ownership::epochEnded(const std::string &Partition, base::TimePoint Now) {
  moveTo(Tracked_[Partition], Event::Abandon, Now);
}

bool Ownership::ownerIsOther(const std::string &Partition, Tracked &State,
                             base::TimePoint Now) const {
  auto Owner = Owners_.find(Partition);
  if (Owner != Owners_.end() && Owner->second.Instance_ == Self_ &&
      Owner->second.Incarnation_ == Incarnation_) {
    State.Seen_ = true;
    return false;
  }
  return State.Seen_ || Now - State.Since_ > OwnersLag;
}

bool Ownership::mayAcquire(const std::string &Partition, const Tracked &State,
                           base::TimePoint Now) const {
  return !Draining_ && Now >= HoldOffUntil_ && leaseConfirmed(Now) &&
         Owners_.count(Partition) == 0 && Now - State.Since_ >= AcquireRetry &&
         preferredOwner(Partition) == Self_;
}

bool Ownership::mayYield(const std::string &Partition,
                         base::TimePoint Now) const {
  // A draining instance leaves soon, so its partitions move without a delay.
  if (Draining_)
    return true;
  auto Preferred = preferredOwner(Partition);
  return Preferred && *Preferred != Self_ && Now >= HoldOffUntil_ &&
         Now - LastYield_ >= YieldInterval;
}

std::vector<OwnershipAction> Ownership::step(base::TimePoint Now) {
  std::vector<OwnershipAction> Out;
  for (auto &[Id, State] : Tracked_) {
    bool Owns = State.Phase_ == Phase::Held || State.Phase_ == Phase::Yielding;
    // Without store contact the owner goes on with long worker leases: only the
    // store's word that the lease or the key is gone ends the epoch.
    if (Owns && (LeaseLost_ || ownerIsOther(Id, State, Now))) {
      moveTo(State, Event::Abandon, Now);
      Out.push_back({OwnershipActionKind::Abandon, Id});
    } else if (State.Phase_ == Phase::Held && mayYield(Id, Now)) {
      LastYield_ = Now;
      moveTo(State, Event::Yield, Now);
      Out.push_back({OwnershipActionKind::Yield, Id});
    } else if (State.Phase_ == Phase::Idle && mayAcquire(Id, State, Now)) {
      moveTo(State, Event::Acquire, Now);
      Out.push_back({OwnershipActionKind::Acquire, Id});
    }
  }
  return Out;
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
