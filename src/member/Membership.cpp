#include "member/Membership.h"

#include <algorithm>
#include <iterator>

namespace crocuslead::member {

Membership::Membership(std::string Self, std::vector<PeerInfo> Peers,
                       MembershipTimes Times)
    : Self_(std::move(Self)), Times_(Times) {
  for (PeerInfo &Info : Peers) {
    if (Info.Id_ == Self_)
      continue;
    Peer &Added = Peers_[Info.Id_];
    Added.View_.Id_ = Info.Id_;
    Added.View_.Region_ = std::move(Info.Region_);
  }
}

void Membership::setOwnState(int64_t ConfigRevision, int64_t StoreContactAgeMs,
                             bool Draining, uint32_t SlotDemand) {
  Own_.ConfigRevision_ = ConfigRevision;
  Own_.StoreContactAgeMs_ = StoreContactAgeMs;
  Own_.Draining_ = Draining;
  Own_.SlotDemand_ = SlotDemand;
}

void Membership::peerConnected(const std::string &Peer, bool Connected,
                               base::TimePoint Now) {
  auto Found = Peers_.find(Peer);
  if (Found == Peers_.end())
    return;
  auto &Other = Found->second;
  Other.Connected_ = Connected;
  Other.PingsInFlight_.clear();
  Other.HasEvidence_ = false;
  Other.PongDue_ = 0;
  // The first ping goes out at once.
  Other.LastPing_ = Now - Times_.PingInterval_;
}

template <typename Report>
Membership::Peer *
Membership::heard(const std::string &Peer, const std::string &Incarnation,
                  const Report &Message, base::TimePoint Now) {
  auto Found = Peers_.find(Peer);
  if (Found == Peers_.end())
    return nullptr;
  auto &Other = Found->second;
  PeerView &View = Other.View_;
  if (View.Incarnation_ != Incarnation) {
    // What the former process said does not bind its successor. Pings in flight
    // belong to the connection, which peerConnected() has renewed.
    Other.HasEvidence_ = false;
    View.Incarnation_ = Incarnation;
  }
  View.ConfigRevision_ = Message.ConfigRevision_;
  View.StoreContactAgeMs_ = Message.StoreContactAgeMs_;
  View.Draining_ = Message.Draining_;
  View.SlotDemand_ = Message.SlotDemand_;
  Other.LastHeard_ = Now;
  Other.Heard_ = true;
  return &Other;
}

void Membership::received(const std::string &Peer,
                          const std::string &Incarnation,
                          const link::Ping &Message, base::TimePoint Now) {
  if (auto *Other = heard(Peer, Incarnation, Message, Now))
    Other->PongDue_ = std::max(Other->PongDue_, Message.Sequence_);
}

void Membership::received(const std::string &Peer,
                          const std::string &Incarnation,
                          const link::Pong &Message, base::TimePoint Now) {
  auto *Other = heard(Peer, Incarnation, Message, Now);
  if (!Other)
    return;
  auto Ping = Other->PingsInFlight_.find(Message.Sequence_);
  if (Ping == Other->PingsInFlight_.end())
    return;
  Other->EvidenceSentAt_ = Ping->second;
  Other->EvidenceAgeMs_ = Message.StoreContactAgeMs_;
  Other->HasEvidence_ = true;
  // Earlier pings can no longer give newer evidence.
  Other->PingsInFlight_.erase(Other->PingsInFlight_.begin(), std::next(Ping));
}

bool Membership::storeLost() const {
  return Own_.StoreContactAgeMs_ > base::toMillis(Times_.StoreLossAge_);
}

base::Duration Membership::pingInterval() const {
  return storeLost() ? Times_.PingInterval_ / 2 : Times_.PingInterval_;
}

// A ping and its pong tell both sides the same, so one side of a pair pings.
// Without the store each side needs evidence of its own.
bool Membership::pings(const std::string &Peer) const {
  return Self_ < Peer || storeLost();
}

std::vector<std::pair<std::string, link::Message>>
Membership::tick(base::TimePoint Now) {
  std::vector<std::pair<std::string, link::Message>> Out;
  for (auto &[Id, Other] : Peers_) {
    if (!Other.Connected_)
      continue;
    if (Other.PongDue_ > 0)
      Out.emplace_back(Id, ownPong(Other.PongDue_));
    Other.PongDue_ = 0;
    if (!pings(Id) || Now - Other.LastPing_ < pingInterval())
      continue;
    Other.LastPing_ = Now;
    // An answer to an older ping would be no evidence any more.
    auto &InFlight = Other.PingsInFlight_;
    while (!InFlight.empty() &&
           Now - InFlight.begin()->second > Times_.OutageEvidence_)
      InFlight.erase(InFlight.begin());
    InFlight[NextSequence_] = Now;
    Out.emplace_back(Id, ownPing(NextSequence_++));
  }
  return Out;
}

link::Ping Membership::ownPing(uint64_t Sequence) const {
  link::Ping Out = Own_;
  Out.Sequence_ = Sequence;
  return Out;
}

link::Pong Membership::ownPong(uint64_t Sequence) const {
  return {Sequence, Own_.ConfigRevision_, Own_.StoreContactAgeMs_,
          Own_.Draining_, Own_.SlotDemand_};
}

bool Membership::isAlive(const Peer &Other, base::TimePoint Now) const {
  return Other.Heard_ && Now - Other.LastHeard_ < Times_.SuspectAfter_;
}

bool Membership::isAlive(const std::string &Peer, base::TimePoint Now) const {
  auto Found = Peers_.find(Peer);
  return Found != Peers_.end() && isAlive(Found->second, Now);
}

std::vector<PeerView> Membership::peers(base::TimePoint Now) const {
  std::vector<PeerView> Out;
  for (const auto &[Id, Other] : Peers_) {
    Out.push_back(Other.View_);
    Out.back().Alive_ = isAlive(Other, Now);
  }
  return Out;
}

bool Membership::hasLostStore(const Peer &Other, base::TimePoint Now,
                              int64_t LossAgeMs) const {
  // A later ping of the peer may already say that it is in contact again.
  return Other.Connected_ && Other.HasEvidence_ &&
         Now - Other.EvidenceSentAt_ <= Times_.OutageEvidence_ &&
         Other.EvidenceAgeMs_ >= LossAgeMs &&
         Other.View_.StoreContactAgeMs_ >= LossAgeMs;
}

bool Membership::storeLostEverywhere(base::TimePoint Now,
                                     int64_t LossAgeMs) const {
  return std::all_of(Peers_.begin(), Peers_.end(), [&](const auto &Entry) {
    return hasLostStore(Entry.second, Now, LossAgeMs);
  });
}

std::string Membership::newerConfigPeer(int64_t OwnRevision,
                                        base::TimePoint Now) const {
  std::string Best;
  int64_t Newest = OwnRevision;
  for (const auto &[Id, Other] : Peers_) {
    if (!Other.Connected_ || !isAlive(Other, Now) ||
        Other.View_.ConfigRevision_ <= Newest)
      continue;
    Newest = Other.View_.ConfigRevision_;
    Best = Id;
  }
  return Best;
}

} // namespace crocuslead::member
