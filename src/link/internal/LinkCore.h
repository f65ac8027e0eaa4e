#pragma once

#include "base/Random.h"
#include "link/Link.h"
#include "link/internal/Handshake.h"
#include "link/internal/Transport.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace crocuslead::link::internal {

//! Peers and their connections. Shared, so that a handler that is running keeps
//! it alive when its owner closes the link.
class LinkCore final : public std::enable_shared_from_this<LinkCore> {
public:
  LinkCore(asio::io_context &Loop, LinkSettings Settings,
           Link::OnMessage HandleMessage, Link::OnPeerChange HandleChange);

  base::Result<void> start();
  bool send(const std::string &Peer, const Message &Value);
  bool isConnected(const std::string &Peer) const;
  LinkCounters counters() const { return Counters_; }
  void close();

private:
  //! One connection, from its opening on.
  struct Session {
    Session(asio::io_context &Loop, Handshake Start)
        : Handshake_(std::move(Start)), Deadline_(Loop) {}

    Handshake Handshake_;
    asio::steady_timer Deadline_;
    bool Incoming_ = false;
    bool Verified_ = false;
    int Malformed_ = 0;
    //! Sizes of the frames that wait in the transport, oldest first, and their
    //! sum.
    std::deque<std::size_t> Waiting_;
    std::size_t WaitingBytes_ = 0;
  };
  struct PeerState {
    PeerState(asio::io_context &Loop, std::string Address)
        : Address_(std::move(Address)), Retry_(Loop) {}

    std::string Address_;
    //! Verified connection, or 0.
    ConnectionId Current_ = 0;
    asio::steady_timer Retry_;
    unsigned Failures_ = 0;
  };

  TransportEvents events();
  Session makeSession(Role Own, const std::string &DialledPeer);
  //! Whether this instance is the one that connects.
  bool dials(const std::string &Peer) const { return Settings_.Self_ < Peer; }
  void dial(const std::string &Peer);
  void retryLater(const std::string &Peer);
  void opened(ConnectionId Id, bool Incoming);
  void awaitHandshake(ConnectionId Id, Session &Opened);
  void received(ConnectionId Id, const std::string &Frame, bool Binary);
  void receivedHandshake(ConnectionId Id, Session &From,
                         const std::string &Frame, bool Binary);
  void receivedMessage(ConnectionId Id, Session &From, const std::string &Frame,
                       bool Binary);
  void verified(ConnectionId Id, Session &Proved);
  void refuse(ConnectionId Id, const char *Why);
  void closed(ConnectionId Id, bool ProtocolError);
  //! Forgets a connection and its place as a peer's current one.
  void forget(ConnectionId Id);
  void countControl(const Message &Value, std::size_t Bytes);
  bool hasRoom(Session &To, ConnectionId Id, std::size_t Bytes) const;
  bool transmit(ConnectionId Id, Session &To, const std::string &Frame);
  std::size_t unverifiedIncoming() const;

  asio::io_context &Loop_;
  LinkSettings Settings_;
  Link::OnMessage HandleMessage_;
  Link::OnPeerChange HandleChange_;
  base::Random Random_;
  std::shared_ptr<Transport> Transport_;
  std::map<std::string, PeerState> Peers_;
  std::map<ConnectionId, Session> Sessions_;
  //! Peers of the connections that this instance started.
  std::map<ConnectionId, std::string> Dialled_;
  LinkCounters Counters_;
  bool Closed_ = false;
};

} // namespace crocuslead::link::internal
