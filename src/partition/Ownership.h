#pragma once

#include "base/Clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace crocuslead::partition {

//! A partition manages a fixed set of racks within one failure domain.
struct PartitionInfo {
  std::string Id_;
  std::string Domain_;
  std::string Region_;
};

//! Owner of a partition as recorded in the store.
struct OwnerRecord {
  std::string Instance_;
  std::string Incarnation_;
  //! Create revision of the owner key; identifies the ownership epoch.
  int64_t Epoch_ = 0;
};

enum class OwnershipActionKind : uint8_t {
  //! Create the owner key, on condition that it does not exist, then recover
  //! the partition's state.
  Acquire,
  //! Hand the partition over, then delete the owner key.
  Yield,
  //! Stop immediately because the epoch has ended.
  Abandon,
};

struct OwnershipAction {
  OwnershipActionKind Kind_ = OwnershipActionKind::Acquire;
  std::string Partition_;
};

struct LiveInstance {
  std::string Id_;
  std::string Region_;
  //! False while draining: the instance acquires no partitions and keeps those
  //! it owns until it yields them.
  bool Accepting_ = true;
};

//! Decides which partitions this instance acquires, keeps and yields. Performs
//! no I/O: step() returns the actions that the caller has to carry out.
class Ownership {
public:
  Ownership(std::string Self, std::string Incarnation,
            std::vector<PartitionInfo> Partitions, base::TimePoint StartedAt);

  //! Replaces the list of partitions; keeps the state of partitions that are on
  //! both lists.
  void setPartitions(std::vector<PartitionInfo> Partitions,
                     base::TimePoint Now);
  void setLiveInstances(std::vector<LiveInstance> Live);
  void setOwners(std::map<std::string, OwnerRecord> Owners);
  //! Reports the send time of the last successful keep-alive of the store lease
  //! and the time to live it returned. A time to live of zero means that the
  //! store has ended the lease.
  void leaseRenewed(base::TimePoint SentAt, base::Duration TimeToLive);
  //! Reports that the store answers again after an outage.
  void storeRegained(base::TimePoint At);
  void acquireFinished(const std::string &Partition, bool Won,
                       base::TimePoint Now);
  void yieldFinished(const std::string &Partition);
  //! Reports that the partition ended its epoch because the store refused a
  //! commit.
  void epochEnded(const std::string &Partition, base::TimePoint Now);
  void beginDrain();

  //! Advances the state of all partitions; returns the actions to perform.
  std::vector<OwnershipAction> step(base::TimePoint Now);

  //! True when the store lease is certain to be valid still.
  bool leaseConfirmed(base::TimePoint Now) const;
  //! Instance that should own the partition, given the live instances.
  std::optional<std::string> preferredOwner(const std::string &Partition) const;

private:
  enum class Phase : uint8_t { Idle, Acquiring, Held, Yielding };
  enum class Event : uint8_t { Acquire, Won, Lost, Yield, Yielded, Abandon };
  struct ChartBinding;

  //! Ownership state of one partition, as this instance sees it.
  struct TrackedPartition {
    Phase Phase_ = Phase::Idle;
    base::TimePoint Since_;
    //! Since the acquisition, a read has shown this instance as the owner.
    bool OwnerKeySeen_ = false;
  };

  bool applyEvent(TrackedPartition &Partition, Event Trigger,
                  base::TimePoint Now);
  bool ownerKeyLost(const std::string &Partition, TrackedPartition &Tracked,
                    base::TimePoint Now) const;
  bool shouldAcquire(const std::string &Partition,
                     const TrackedPartition &Tracked,
                     base::TimePoint Now) const;
  bool shouldYield(const std::string &Partition, base::TimePoint Now) const;
  void updateAssignment();
  std::optional<std::size_t> bestCandidate(const PartitionInfo &Partition,
                                           const std::vector<std::size_t> &Load,
                                           bool SameRegion) const;

  std::string Self_;
  std::string Incarnation_;
  std::vector<PartitionInfo> Partitions_;
  std::vector<LiveInstance> LiveInstances_;
  std::map<std::string, OwnerRecord> Owners_;
  std::map<std::string, TrackedPartition> TrackedPartitions_;
  //! Assigned owner of each partition, computed from the live instances.
  std::map<std::string, std::string> PreferredOwners_;
  base::TimePoint SettledAt_;
  base::TimePoint LeaseEnd_;
  base::TimePoint LastYieldAt_;
  bool LeaseLost_ = false;
  bool Draining_ = false;
};

//! Home partition of a job id or request key: the one with the highest
//! rendezvous-hashing weight; empty when there are no partitions.
std::string homePartition(const std::string &Key,
                          const std::vector<PartitionInfo> &Partitions);

} // namespace crocuslead::partition
