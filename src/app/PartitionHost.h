#pragma once

#include "app/ClaimService.h"
#include "app/Context.h"
#include "app/StoreSession.h"
#include "cluster/InstanceList.h"
#include "cluster/WorkerGateway.h"
#include "link/Messages.h"
#include "partition/Ownership.h"
#include "partition/Partition.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace crocuslead::app {

//! Runs the partitions that this instance owns: performs their actions and
//! feeds results back.
class PartitionHost {
public:
  using SendToPeer =
      std::function<bool(const std::string &Peer, const link::Message &)>;
  using AnswerCallback = std::function<void(const partition::AnswerAction &)>;

  PartitionHost(const Context &Shared, StoreSession &Session,
                cluster::WorkerGateway &Workers, ClaimService &Claims,
                SendToPeer Send);
  ~PartitionHost();
  PartitionHost(const PartitionHost &) = delete;
  PartitionHost &operator=(const PartitionHost &) = delete;

  //! Call about every 50 ms.
  void tick();
  void configChanged();
  void ownersChanged();
  void leaseRenewed(base::TimePoint SentAt);
  void leaseLost();
  void storeRegained();
  void setInstances(const cluster::InstanceSnapshot &Snapshot);
  void setLive(std::vector<partition::LiveInstance> Live);
  void setPeerLoad(const std::string &Peer, const link::LoadSummary &Summary);

  const std::vector<partition::PartitionInfo> &partitions() const {
    return Partitions_;
  }
  //! Instance that owns the partition as last known; empty when none.
  std::string ownerOf(const std::string &Partition) const;
  bool ownershipConfirmed() const;
  //! Partition of this instance, or nullptr.
  partition::Partition *owned(const std::string &Id);
  std::vector<std::string> ownedIds() const;

  //! Done gets not-owner when the partition is lost before the answer.
  void submit(const std::string &Partition, const partition::JobSpec &Job,
              AnswerCallback Done);
  void cancel(const std::string &Partition, const std::string &JobId,
              AnswerCallback Done);

  void received(const std::string &Peer, const link::TransferOffer &Message);
  void received(const std::string &Peer, const link::TransferAccept &Message);
  //! Load of the owned partitions, for the peers.
  link::LoadSummary loadSummary();

  void beginDrain();
  bool drained() const { return Hosted_.empty() && Acquiring_.empty(); }

private:
  struct Hosted;
  struct ActionPerformer;

  //! Passes a call to an owned partition; Done gets not-owner for another one.
  void
  call(const std::string &Partition, AnswerCallback Done,
       const std::function<void(partition::Partition &, uint64_t Call)> &Input);
  void rebuildPartitions();
  void acquire(const std::string &Id);
  //! One acquisition; the owner key lives as long as the lease.
  struct Acquisition {
    std::string Id_;
    int64_t Lease_ = 0;
    int64_t PriorEpoch_ = 0;
    int64_t Epoch_ = 0;
  };
  void writeOwner(const Acquisition &Wanted);
  void confirmOwner(Acquisition Wanted);
  void recover(const Acquisition &Won);
  void retryRecoveries(base::TimePoint Now);
  void host(const Acquisition &Won, const store::RangeReply &Stored);
  //! Deletes owner keys of this process whose partitions it does not run: after
  //! a failed recovery, a fenced commit, a lost answer or a failed deletion.
  void releaseOrphans(base::TimePoint Now);
  void acquireFailed(const std::string &Id);
  void yield(const std::string &Id);
  void continueYield(Hosted &Target);
  void abandon(const std::string &Id);
  //! Ends an epoch whose commits are refused, and deletes the owner key if it
  //! is still this epoch's.
  void endFenced(const std::string &Id, int64_t Epoch);
  void deleteOwner(const std::string &Id, int64_t Epoch,
                   std::vector<store::Put> Records, std::function<void()> Done);
  void feed(Hosted &Target);
  void feedAll();
  void perform(Hosted &Target);
  Hosted *find(const std::string &Id, int64_t Epoch);
  std::vector<cluster::InstanceEntry>
  workersOf(const std::string &Partition) const;
  std::vector<partition::PartitionSummary> otherSummaries() const;

  const Context &Shared_;
  StoreSession &Session_;
  cluster::WorkerGateway &Workers_;
  ClaimService &Claims_;
  SendToPeer Send_;
  std::vector<partition::PartitionInfo> Partitions_;
  std::unique_ptr<partition::Ownership> Ownership_;
  std::vector<partition::LiveInstance> Live_;
  std::map<std::string, std::unique_ptr<Hosted>> Hosted_;
  std::set<std::string> Acquiring_;
  std::vector<std::pair<base::TimePoint, Acquisition>> Recoveries_;
  cluster::InstanceSnapshot Instances_;
  std::map<std::string, partition::PartitionSummary> PeerLoad_;
  std::map<std::string, base::Resources> LastSentUse_;
  base::TimePoint NextSummaries_;
  base::TimePoint NextOwnershipStep_;
  base::TimePoint NextRelease_;
  bool Draining_ = false;
  uint64_t NextCall_ = 1;
};

//! Partition whose workers include this rack: by the number at the end of its
//! name, else by a hash.
std::string partitionOfRack(const std::string &Domain, const std::string &Rack,
                            int PartitionsPerDomain);

} // namespace crocuslead::app
