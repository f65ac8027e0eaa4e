#pragma once

#include "base/Clock.h"
#include "link/Messages.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace crocuslead::member {

struct PeerInfo {
  std::string Id_;
  std::string Region_;
};

struct PeerView {
  std::string Id_;
  std::string Region_;
  std::string Incarnation_;
  bool Alive_ = false;
  bool Draining_ = false;
  int64_t ConfigRevision_ = 0;
  int64_t StoreContactAgeMs_ = 0;
  uint32_t SlotDemand_ = 0;
};

struct MembershipTimes {
  base::Duration PingInterval_ = std::chrono::seconds(2);
  //! Age of the last store contact from which this instance counts as without
  //! the store. Calls are up to 5 s apart while the store answers.
  base::Duration StoreLossAge_ = std::chrono::seconds(6);
  //! Silence after which a peer no longer counts as alive.
  base::Duration SuspectAfter_ = std::chrono::seconds(6);
  //! A pong counts as evidence of a peer's store loss for this long after its
  //! ping was sent.
  base::Duration OutageEvidence_ = std::chrono::seconds(2);
};

//! Which other instances are alive, and what they say of the store and the
//! configuration. Cost grows with instances, not with workers or requests: one
//! ping and one pong for each pair and interval.
class Membership {
public:
  Membership(std::string Self, std::vector<PeerInfo> Peers,
             MembershipTimes Times = {});

  //! What this instance says of itself in the next pings and pongs. Call it
  //! right before tick(): a peer takes a pong as the state after its ping.
  void setOwnState(int64_t ConfigRevision, int64_t StoreContactAgeMs,
                   bool Draining, uint32_t SlotDemand);

  //! Call it before the first message of a new connection is passed on.
  void peerConnected(const std::string &Peer, bool Connected,
                     base::TimePoint Now);
  void received(const std::string &Peer, const std::string &Incarnation,
                const link::Ping &Message, base::TimePoint Now);
  void received(const std::string &Peer, const std::string &Incarnation,
                const link::Pong &Message, base::TimePoint Now);

  //! Messages to send now: (peer, message). Holds the pongs to the pings that
  //! arrived since the last call, so call it after a ping as well. While this
  //! instance has no store contact it pings twice as often: at the normal
  //! interval the evidence would lapse between the ping and its pong.
  std::vector<std::pair<std::string, link::Message>> tick(base::TimePoint Now);

  std::vector<PeerView> peers(base::TimePoint Now) const;
  bool isAlive(const std::string &Peer, base::TimePoint Now) const;
  //! True when every configured peer answered a recent ping that it has no
  //! store contact either. LossAgeMs is the age from which a peer counts as
  //! without contact. Says nothing of this instance's own contact.
  bool storeLostEverywhere(base::TimePoint Now, int64_t LossAgeMs) const;
  //! The connected peer with the newest configuration, if it is newer than
  //! OwnRevision, to pull from; or empty.
  std::string newerConfigPeer(int64_t OwnRevision, base::TimePoint Now) const;

private:
  struct Peer {
    PeerView View_;
    base::TimePoint LastHeard_;
    base::TimePoint LastPing_;
    bool Connected_ = false;
    bool Heard_ = false;
    std::map<uint64_t, base::TimePoint> PingsInFlight_;
    //! Send time of the newest answered ping, and the store contact age in its
    //! pong.
    base::TimePoint EvidenceSentAt_;
    int64_t EvidenceAgeMs_ = 0;
    bool HasEvidence_ = false;
    //! Sequence of the newest ping that waits for a pong; 0 for none.
    uint64_t PongDue_ = 0;
  };

  link::Ping ownPing(uint64_t Sequence) const;
  link::Pong ownPong(uint64_t Sequence) const;
  bool storeLost() const;
  base::Duration pingInterval() const;
  bool pings(const std::string &Peer) const;
  template <typename Report>
  Peer *heard(const std::string &Peer, const std::string &Incarnation,
              const Report &Message, base::TimePoint Now);
  bool isAlive(const Peer &Other, base::TimePoint Now) const;
  bool hasLostStore(const Peer &Other, base::TimePoint Now,
                    int64_t LossAgeMs) const;

  std::string Self_;
  MembershipTimes Times_;
  std::map<std::string, Peer> Peers_;
  link::Ping Own_;
  uint64_t NextSequence_ = 1;
};

} // namespace crocuslead::member
