#pragma once

#include "app/Context.h"
#include "link/Messages.h"
#include "partition/Ownership.h"
#include "route/ClaimTable.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace crocuslead::app {

//! What the claim service needs from the rest of the process.
struct ClaimHooks {
  //! Sends to a peer; false when it is not connected.
  std::function<bool(const std::string &Peer, const link::Message &)> Send_;
  //! Owner of a partition as last known; empty when none.
  std::function<std::string(const std::string &Partition)> OwnerOf_;
  //! Whether this instance is surely the only owner of its partitions now.
  std::function<bool()> OwnershipConfirmed_;
};

//! Claims on request keys: the tables of the partitions that this instance
//! owns, and calls to the owners of the others.
class ClaimService {
public:
  using Callback = std::function<void(route::ClaimReply)>;

  ClaimService(const Context &Shared, ClaimHooks Hooks);

  void setPartitions(std::vector<partition::PartitionInfo> Partitions);
  //! Claims a key for this instance. Done gets Unknown when no owner answers in
  //! time.
  void claim(const std::string &Key, uint64_t Fingerprint, Callback Done);
  //! Reports how a claimed request ended.
  void finish(const std::string &Key, route::ClaimEnd End);

  //! The partition's epoch began here. PriorEpoch is the one before it, from
  //! the store.
  void partitionAcquired(const std::string &Partition, int64_t PriorEpoch);
  void partitionLost(const std::string &Partition);
  //! Sends the table to the next owner.
  void handOver(const std::string &Partition, int64_t Epoch,
                const std::string &NextOwner);

  void received(const std::string &Peer, const link::ClaimRequest &Message);
  void received(const std::string &Peer, const link::ClaimAnswer &Message);
  void received(const std::string &Peer, const link::ClaimDone &Message);
  void received(const std::string &Peer, const link::ClaimTransfer &Message);

  //! Repeats unanswered calls and ends those that took too long; call about
  //! every 50 ms.
  void tick();
  std::size_t tableSize() const;

private:
  struct Call {
    std::string Key_;
    uint64_t Fingerprint_ = 0;
    Callback Done_;
    base::TimePoint Deadline_;
    base::TimePoint NextTry_;
  };
  struct Incoming {
    int64_t FormerEpoch_ = 0;
    base::WallTime KnownSince_;
    std::vector<route::ClaimEntry> Rows_;
    bool Complete_ = false;
  };

  std::string home(const std::string &Key) const;
  void tryCall(uint64_t Number, Call &Target);
  route::ClaimReply claimLocally(const std::string &Partition,
                                 const std::string &Key, uint64_t Fingerprint,
                                 const std::string &Executor);

  const Context &Shared_;
  ClaimHooks Hooks_;
  std::vector<partition::PartitionInfo> Partitions_;
  std::map<std::string, std::unique_ptr<route::ClaimTable>> Tables_;
  std::map<std::string, Incoming> Incoming_;
  std::map<uint64_t, Call> Calls_;
  uint64_t NextCall_ = 1;
  base::TimePoint NextExpiry_;
};

} // namespace crocuslead::app
