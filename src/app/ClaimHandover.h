#pragma once

#include "base/Clock.h"
#include "link/Messages.h"
#include "route/ClaimTable.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace crocuslead::app {

//! Claim table of a former epoch.
struct HandedTable {
  base::WallTime KnownSince_;
  std::vector<route::ClaimEntry> Entries_;
};

//! Sends claim tables to the next owners. The link refuses messages while its
//! queue is full, so a large table takes several ticks.
class ClaimSender {
public:
  using Send =
      std::function<bool(const std::string &Peer, const link::Message &)>;

  explicit ClaimSender(Send ToPeer) : Send_(std::move(ToPeer)) {}

  void start(const std::string &Partition, int64_t Epoch,
             const std::string &NextOwner, HandedTable Table,
             base::TimePoint Now);
  //! Sends what the link takes; a table that is not sent in time is dropped.
  void tick(base::TimePoint Now);
  bool isSending(const std::string &Partition) const {
    return Tables_.count(Partition) != 0;
  }

private:
  struct Sending {
    int64_t Epoch_ = 0;
    std::string NextOwner_;
    HandedTable Table_;
    std::size_t Sent_ = 0;
    base::TimePoint Deadline_;
  };

  //! True when the whole table was taken by the link.
  bool sendMore(const std::string &Partition, Sending &Target);

  Send Send_;
  std::map<std::string, Sending> Tables_;
};

//! Puts claim tables of former owners together.
class ClaimReceiver {
public:
  void received(const link::ClaimTransfer &Message, base::TimePoint Now);
  //! Takes the whole table that Epoch handed over; none when there is none or
  //! a part of it was lost.
  std::optional<HandedTable> take(const std::string &Partition, int64_t Epoch);
  //! Drops tables that were never taken.
  void expire(base::TimePoint Now);

private:
  struct Receiving {
    int64_t Epoch_ = 0;
    HandedTable Table_;
    bool Broken_ = false;
    bool Complete_ = false;
    base::TimePoint At_;
  };

  std::map<std::string, Receiving> Tables_;
};

} // namespace crocuslead::app
