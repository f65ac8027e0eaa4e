#include "link/internal/LinkCore.h"

#include "base/Hash.h"
#include "base/Log.h"
#include <algorithm>
#include <boost/leaf/handle_errors.hpp>

namespace crocuslead::link::internal {

namespace {

constexpr std::chrono::seconds HandshakeTimeout(3);
constexpr std::chrono::milliseconds FirstRetry(100);
constexpr std::chrono::milliseconds LongestRetry(5000);
//! Bytes of a frame before its sender is known: a hello with the longest id.
constexpr std::size_t MaxHandshakeFrameBytes = 2048;
//! Bounds what strangers can hold open; peers need one connection each.
constexpr std::size_t MaxUnverifiedIncoming = 64;
constexpr int MaxMalformedFrames = 10;

} // namespace

LinkCore::LinkCore(asio::io_context &Loop, LinkSettings Settings,
                   Link::OnMessage HandleMessage,
                   Link::OnPeerChange HandleChange)
    : Loop_(Loop), Settings_(std::move(Settings)),
      HandleMessage_(std::move(HandleMessage)),
      HandleChange_(std::move(HandleChange)),
      Random_(base::stableHash(Settings_.Incarnation_)) {}

TransportEvents LinkCore::events() {
  TransportEvents Out;
  std::weak_ptr<LinkCore> Weak = weak_from_this();
  Out.OnOpen_ = [Weak](ConnectionId Id, bool Incoming) {
    if (auto Self = Weak.lock())
      Self->opened(Id, Incoming);
  };
  Out.OnFrame_ = [Weak](ConnectionId Id, const std::string &Frame,
                        bool Binary) {
    if (auto Self = Weak.lock())
      Self->received(Id, Frame, Binary);
  };
  Out.OnClosed_ = [Weak](ConnectionId Id, bool ProtocolError) {
    if (auto Self = Weak.lock())
      Self->closed(Id, ProtocolError);
  };
  return Out;
}

base::Result<void> LinkCore::start() {
  BOOST_LEAF_ASSIGN(Transport_,
                    openTransport(Loop_, Settings_.ListenAddress_, events()));
  for (const LinkPeer &Peer : Settings_.Peers_)
    if (Peer.Id_ != Settings_.Self_)
      Peers_.try_emplace(Peer.Id_, Loop_, Peer.Address_);
  for (const auto &[Id, State] : Peers_)
    if (dials(Id))
      dial(Id);
  return {};
}

LinkCore::Session LinkCore::makeSession(Role Own,
                                        const std::string &DialledPeer) {
  Handshake::Identity Self{Settings_.Self_, Settings_.Incarnation_,
                           Settings_.SharedKey_};
  auto Expected = [this, DialledPeer](const std::string &Peer) {
    if (!DialledPeer.empty())
      return Peer == DialledPeer;
    return Peers_.count(Peer) > 0 && !dials(Peer);
  };
  // Without randomness the nonce is empty, and the peer refuses it.
  std::string Nonce = makeNonce().value_or("");
  Session Made(Loop_, Handshake(Own, Self, Nonce, Expected));
  Made.Incoming_ = Own == Role::Listener;
  return Made;
}

void LinkCore::dial(const std::string &Peer) {
  ConnectionId Id = Transport_->connect(Peers_.at(Peer).Address_);
  if (Id == 0)
    retryLater(Peer);
  else
    Dialled_[Id] = Peer;
}

void LinkCore::retryLater(const std::string &Peer) {
  PeerState &State = Peers_.at(Peer);
  auto Delay = std::min(FirstRetry * (1U << std::min(State.Failures_, 6U)),
                        LongestRetry);
  ++State.Failures_;
  // Jitter keeps instances that lost the same peer from returning together.
  double Part = 0.5 + Random_.unit() / 2;
  State.Retry_.expires_after(std::chrono::milliseconds(
      static_cast<int64_t>(static_cast<double>(Delay.count()) * Part)));
  State.Retry_.async_wait([Weak = weak_from_this(), Peer](std::error_code Why) {
    auto Self = Weak.lock();
    if (!Why && Self && !Self->Closed_)
      Self->dial(Peer);
  });
}

std::size_t LinkCore::unverifiedIncoming() const {
  auto Waits = [](const auto &Entry) {
    return Entry.second.Incoming_ && !Entry.second.Verified_;
  };
  return static_cast<std::size_t>(
      std::count_if(Sessions_.begin(), Sessions_.end(), Waits));
}

void LinkCore::opened(ConnectionId Id, bool Incoming) {
  if (Closed_ || (Incoming && unverifiedIncoming() >= MaxUnverifiedIncoming)) {
    Transport_->close(Id, "too many connections");
    return;
  }
  Transport_->setMaxFrameBytes(Id, MaxHandshakeFrameBytes);
  Role Own = Incoming ? Role::Listener : Role::Connector;
  auto Placed = Sessions_.emplace(
      Id, makeSession(Own, Incoming ? std::string() : Dialled_.at(Id)));
  Session &Opened = Placed.first->second;
  awaitHandshake(Id, Opened);
  if (auto Frame = Opened.Handshake_.open())
    transmit(Id, Opened, *Frame);
}

void LinkCore::awaitHandshake(ConnectionId Id, Session &Opened) {
  Opened.Deadline_.expires_after(HandshakeTimeout);
  Opened.Deadline_.async_wait(
      [Weak = weak_from_this(), Id](std::error_code Why) {
        auto Self = Weak.lock();
        if (Why || !Self)
          return;
        auto Found = Self->Sessions_.find(Id);
        // The timer can expire just before the verification cancels it.
        if (Found != Self->Sessions_.end() && !Found->second.Verified_)
          Self->refuse(Id, "handshake timeout");
      });
}

void LinkCore::received(ConnectionId Id, const std::string &Frame,
                        bool Binary) {
  auto Found = Sessions_.find(Id);
  if (Closed_ || Found == Sessions_.end())
    return;
  ++Counters_.FramesReceived_;
  Counters_.BytesReceived_ += Frame.size();
  if (Found->second.Verified_)
    receivedMessage(Id, Found->second, Frame, Binary);
  else
    receivedHandshake(Id, Found->second, Frame, Binary);
}

void LinkCore::receivedHandshake(ConnectionId Id, Session &From,
                                 const std::string &Frame, bool Binary) {
  if (!Binary) {
    refuse(Id, "a text frame");
    return;
  }
  auto Reply = From.Handshake_.receive(Frame);
  if (From.Handshake_.state() == Handshake::State::Failed) {
    refuse(Id, From.Handshake_.failure());
    return;
  }
  if (Reply)
    transmit(Id, From, *Reply);
  if (From.Handshake_.state() == Handshake::State::Verified)
    verified(Id, From);
}

void LinkCore::receivedMessage(ConnectionId Id, Session &From,
                               const std::string &Frame, bool Binary) {
  base::Result<Message> Parsed = Binary ? decode(Frame) : Message();
  if (Binary && Parsed) {
    // The handler may close the link and with it this session.
    std::string Peer = From.Handshake_.peerId();
    countControl(*Parsed, Frame.size());
    std::string Incarnation = From.Handshake_.peerIncarnation();
    HandleMessage_(Peer, Incarnation, std::move(*Parsed));
    return;
  }
  ++Counters_.FramesMalformed_;
  if (++From.Malformed_ < MaxMalformedFrames)
    return;
  base::logEvent(base::LogLevel::Warn, "link-malformed-frames",
                 {{"peer", From.Handshake_.peerId()}});
  Transport_->close(Id, "malformed frames");
  forget(Id);
}

void LinkCore::verified(ConnectionId Id, Session &Proved) {
  Proved.Verified_ = true;
  Proved.Deadline_.cancel();
  Transport_->setMaxFrameBytes(Id, MaxFrameBytes);
  std::string Peer = Proved.Handshake_.peerId();
  PeerState &State = Peers_.at(Peer);
  State.Failures_ = 0;
  // A verified peer that connects again has lost the older connection, or has
  // restarted.
  if (ConnectionId Older = State.Current_) {
    Transport_->close(Older, "replaced by a newer connection");
    forget(Older);
    if (Closed_)
      return;
  }
  State.Current_ = Id;
  base::logEvent(
      base::LogLevel::Info, "link-connected",
      {{"peer", Peer}, {"incarnation", Proved.Handshake_.peerIncarnation()}});
  HandleChange_(Peer, true);
}

void LinkCore::refuse(ConnectionId Id, const char *Why) {
  ++Counters_.HandshakesFailed_;
  base::logEvent(base::LogLevel::Warn, "link-handshake-failed",
                 {{"reason", Why}});
  Transport_->close(Id, Why);
  forget(Id);
}

void LinkCore::closed(ConnectionId Id, bool ProtocolError) {
  if (Closed_)
    return;
  if (ProtocolError)
    ++Counters_.FramesMalformed_;
  auto Found = Sessions_.find(Id);
  if (Found != Sessions_.end() && !Found->second.Verified_)
    ++Counters_.HandshakesFailed_;
  forget(Id);
}

void LinkCore::forget(ConnectionId Id) {
  std::string Peer;
  auto Found = Sessions_.find(Id);
  if (Found != Sessions_.end() && Found->second.Verified_)
    Peer = Found->second.Handshake_.peerId();
  Sessions_.erase(Id);
  auto Started = Dialled_.find(Id);
  if (Started != Dialled_.end()) {
    std::string Again = Started->second;
    Dialled_.erase(Started);
    retryLater(Again);
  }
  if (Peer.empty() || Peers_.at(Peer).Current_ != Id)
    return;
  Peers_.at(Peer).Current_ = 0;
  base::logEvent(base::LogLevel::Info, "link-disconnected", {{"peer", Peer}});
  HandleChange_(Peer, false);
}

bool LinkCore::hasRoom(Session &To, ConnectionId Id, std::size_t Bytes) const {
  // The transport tells only bytes. The frames that it still holds are the
  // newest ones with that sum.
  std::size_t Held = Transport_->waitingBytes(Id);
  while (!To.Waiting_.empty() && To.WaitingBytes_ > Held) {
    To.WaitingBytes_ -= To.Waiting_.front();
    To.Waiting_.pop_front();
  }
  return To.Waiting_.size() < Settings_.MaxQueuedFrames_ &&
         Held + Bytes <= Settings_.MaxQueuedBytes_;
}

bool LinkCore::transmit(ConnectionId Id, Session &To,
                        const std::string &Frame) {
  if (!Transport_->send(Id, Frame))
    return false;
  To.Waiting_.push_back(Frame.size());
  To.WaitingBytes_ += Frame.size();
  ++Counters_.FramesSent_;
  Counters_.BytesSent_ += Frame.size();
  return true;
}

bool LinkCore::send(const std::string &Peer, const Message &Value) {
  if (!isConnected(Peer))
    return false;
  ConnectionId Id = Peers_.at(Peer).Current_;
  Session &To = Sessions_.at(Id);
  std::string Frame = encode(Value);
  if (Frame.size() <= MaxFrameBytes && hasRoom(To, Id, Frame.size()) &&
      transmit(Id, To, Frame)) {
    countControl(Value, Frame.size());
    return true;
  }
  ++Counters_.FramesRefused_;
  return false;
}

void LinkCore::countControl(const Message &Value, std::size_t Bytes) {
  if (!isControl(Value))
    return;
  ++Counters_.ControlFrames_;
  Counters_.ControlBytes_ += Bytes;
}

bool LinkCore::isConnected(const std::string &Peer) const {
  auto Found = Peers_.find(Peer);
  return !Closed_ && Found != Peers_.end() && Found->second.Current_ != 0;
}

void LinkCore::close() {
  if (Closed_)
    return;
  Closed_ = true;
  for (auto &[Id, State] : Peers_)
    State.Retry_.cancel();
  for (auto &[Id, Open] : Sessions_)
    Open.Deadline_.cancel();
  if (Transport_)
    Transport_->closeAll();
}

} // namespace crocuslead::link::internal
