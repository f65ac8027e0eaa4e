#pragma once

#include "app/Context.h"
#include "link/Link.h"
#include "member/Membership.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace crocuslead::app {

//! The other instances: the link to each, which are alive, and dispatch of
//! their messages.
class PeerHub {
public:
  //! Called for every message but pings and pongs.
  using Handler =
      std::function<void(const std::string &Peer, link::Message Message)>;
  //! State that pings and pongs carry.
  struct OwnState {
    int64_t ConfigRevision_ = 0;
    int64_t StoreContactAgeMs_ = 0;
    bool Draining_ = false;
    uint32_t SlotDemand_ = 0;
  };

  PeerHub(const Context &Shared, Handler OnMessage);

  //! Opens the listener; fails when the address cannot be bound.
  base::Result<void> open();
  void tick(const OwnState &Own);
  bool send(const std::string &Peer, const link::Message &Message);
  void broadcast(const link::Message &Message);

  std::vector<member::PeerView> peers() const;
  //! Ids of this instance and all live peers.
  std::vector<std::string> liveIds() const;
  bool storeLostEverywhere(int64_t LossAgeMs) const;
  std::string newerConfigPeer(int64_t OwnRevision) const;
  link::LinkCounters counters() const;
  void close();

private:
  void received(const std::string &Peer, const std::string &Incarnation,
                link::Message Message);

  const Context &Shared_;
  Handler OnMessage_;
  member::Membership Members_;
  std::unique_ptr<link::Link> Link_;
};

} // namespace crocuslead::app
