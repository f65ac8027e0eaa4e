#pragma once

#include "app/ClaimHandover.h"
#include "app/Context.h"
#include "app/ExecutedKeys.h"
#include "link/Messages.h"
#include "partition/Ownership.h"
#include "route/ClaimTable.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
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
  //! Reports how a claimed request ended. The report is repeated when the owner
  //! changes soon after.
  void finish(const std::string &Key, route::ClaimEnd End);

  //! The partition's epoch began here. PriorEpoch is the one before it, from
  //! the store.
  void partitionAcquired(const std::string &Partition, int64_t PriorEpoch);
  void partitionLost(const std::string &Partition);
  //! Starts to send the table to the next owner. Claims on the partition are no
  //! longer answered here, so that callers' instances ask the next owner.
  void handOver(const std::string &Partition, int64_t Epoch,
                const std::string &NextOwner);
  //! True until the link has taken the whole table or the time for it is over.
  bool isHandingOver(const std::string &Partition) const {
    return Sender_.isSending(Partition);
  }

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
  //! The table of a partition that this instance owns.
  struct Owned {
    Owned(base::WallTime EpochStart, int64_t PriorEpoch)
        : Table_(EpochStart), PriorEpoch_(PriorEpoch) {}
    route::ClaimTable Table_;
    int64_t PriorEpoch_;
    //! Call that a key was granted to, while that call may be repeated.
    std::unordered_map<std::string, uint64_t> GrantedCalls_;
    std::deque<std::pair<base::TimePoint, std::string>> GrantOrder_;
  };
  struct Report {
    std::string Key_;
    route::ClaimEnd End_;
    //! Owner that the report went to; empty when none took it.
    std::string SentTo_;
    base::TimePoint Until_;
  };

  std::string home(const std::string &Key) const;
  void tryCall(uint64_t Number, Call &Target);
  route::ClaimReply claimLocally(Owned &Target, uint64_t Call,
                                 const std::string &Key, uint64_t Fingerprint,
                                 const std::string &Executor);
  void endCall(uint64_t Number, const route::ClaimReply &Reply);
  std::string sendReport(const std::string &Key, route::ClaimEnd End);
  void repeatReports();
  void takeHandedTable(const std::string &Partition, Owned &Target);
  void forgetOldCalls();

  const Context &Shared_;
  ClaimHooks Hooks_;
  std::vector<partition::PartitionInfo> Partitions_;
  std::map<std::string, Owned> Tables_;
  ClaimSender Sender_;
  ClaimReceiver Receiver_;
  ExecutedKeys Executed_;
  std::deque<Report> Reports_;
  std::map<uint64_t, Call> Calls_;
  uint64_t NextCall_;
  base::TimePoint NextExpiry_;
  base::TimePoint NextReports_;
};

} // namespace crocuslead::app
