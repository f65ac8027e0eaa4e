#pragma once

#include "base/Clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace crocuslead::partition {

//! A partition: a fixed set of racks of one failure domain.
struct PartitionInfo {
  std::string Id_;
  std::string Domain_;
  std::string Region_;
};

//! Owner of a partition as the store has it.
struct OwnerRecord {
  std::string Instance_;
  std::string Incarnation_;
  //! Create revision of the owner key.
  int64_t Epoch_ = 0;
};

enum class OwnershipActionKind : uint8_t {
  //! Create the owner key (compare: it does not exist), then recover.
  Acquire,
  //! Hand over: begin the handover, then delete the owner key.
  Yield,
  //! Stop at once: the epoch has ended.
  Abandon,
};

struct OwnershipAction {
  OwnershipActionKind Kind_ = OwnershipActionKind::Acquire;
  std::string Partition_;
};

struct LiveInstance {
  std::string Id_;
  std::string Region_;
  //! False while draining: it keeps what it owns until it yields and acquires
  //! nothing.
  bool Accepting_ = true;
};

//! Decides which partitions this instance acquires, keeps and yields.
class Ownership {
public:
  Ownership(std::string Self, std::string Incarnation,
            std::vector<PartitionInfo> Partitions, base::TimePoint Started);

  //! Replaces the list of partitions; what is known of those that stay is kept.
  void setPartitions(std::vector<PartitionInfo> Partitions,
                     base::TimePoint Now);
  void setLiveInstances(std::vector<LiveInstance> Live);
  void setOwners(std::map<std::string, OwnerRecord> Owners);
  //! Store lease state: when the last successful keep-alive was sent, and its
  //! time to live. Zero means that the store has ended the lease.
  void leaseRenewed(base::TimePoint SentAt, base::Duration TimeToLive);
  //! The store was out of reach and answers again.
  void storeRegained(base::TimePoint At);
  void acquireFinished(const std::string &Partition, bool Won,
                       base::TimePoint Now);
  void yieldFinished(const std::string &Partition);
  //! The partition ended its epoch by itself, because a commit was refused.
  void epochEnded(const std::string &Partition, base::TimePoint Now);
  void beginDrain();

  std::vector<OwnershipAction> step(base::TimePoint Now);

  //! True when the store lease is surely still in force.
  bool leaseConfirmed(base::TimePoint Now) const;
  //! Instance that should own the partition in the present live view.
  std::optional<std::string> preferredOwner(const std::string &Partition) const;

private:
  enum class Phase : uint8_t { Idle, Acquiring, Held, Yielding };
  enum class Event : uint8_t { Acquire, Won, Lost, Yield, Yielded, Abandon };
  struct Names;

  //! What this instance does with one partition.
  struct Tracked {
    Phase Phase_ = Phase::Idle;
    base::TimePoint Since_;
    //! The owner key was read as this instance's own since the acquisition.
    bool Seen_ = false;
  };

  bool moveTo(Tracked &Partition, Event On, base::TimePoint Now);
  bool ownerIsOther(const std::string &Partition, Tracked &State,
                    base::TimePoint Now) const;
  bool mayAcquire(const std::string &Partition, const Tracked &State,
                  base::TimePoint Now) const;
  bool mayYield(const std::string &Partition, base::TimePoint Now) const;
  void assign();
  std::optional<std::size_t> bestCandidate(const PartitionInfo &Partition,
                                           const std::vector<std::size_t> &Load,
                                           bool SameRegion) const;

  std::string Self_;
  std::string Incarnation_;
  std::vector<PartitionInfo> Partitions_;
  std::vector<LiveInstance> Live_;
  std::map<std::string, OwnerRecord> Owners_;
  std::map<std::string, Tracked> Tracked_;
  //! Assignment of partitions over the live view.
  std::map<std::string, std::string> Preferred_;
  base::TimePoint HoldOffUntil_;
  base::TimePoint LeaseEnd_;
  base::TimePoint LastYield_;
  bool LeaseLost_ = false;
  bool Draining_ = false;
};

//! Home of a job or request key: the partition with the highest rendezvous
//! weight.
std::string homePartition(const std::string &Key,
                          const std::vector<PartitionInfo> &Partitions);

} // namespace crocuslead::partition
