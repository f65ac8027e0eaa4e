#pragma once

#include "base/Error.h"
#include "link/Messages.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace asio {
class io_context;
}

namespace crocuslead::link {

struct LinkPeer {
  std::string Id_;
  std::string Address_;
};

struct LinkSettings {
  std::string Self_;
  //! Differs in every process, so that a restarted instance is told from its
  //! predecessor.
  std::string Incarnation_;
  std::string ListenAddress_;
  std::string SharedKey_;
  std::vector<LinkPeer> Peers_;
  std::size_t MaxQueuedFrames_ = 1024;
  std::size_t MaxQueuedBytes_ = 1U << 20U;
};

struct LinkCounters {
  uint64_t FramesSent_ = 0;
  uint64_t FramesReceived_ = 0;
  uint64_t BytesSent_ = 0;
  uint64_t BytesReceived_ = 0;
  //! Part of the above that flows without work, see isControl().
  uint64_t ControlFrames_ = 0;
  uint64_t ControlBytes_ = 0;
  uint64_t FramesMalformed_ = 0;
  uint64_t FramesRefused_ = 0;
  uint64_t HandshakesFailed_ = 0;
};

//! Connections to all other instances. Reconnects by itself with jittered
//! backoff; the instance with the lower id connects. Nothing from a peer is
//! used before its handshake verifies.
class Link {
public:
  using OnMessage = std::function<void(
      const std::string &Peer, const std::string &Incarnation, Message)>;
  using OnPeerChange =
      std::function<void(const std::string &Peer, bool Connected)>;

  Link() = default;
  Link(const Link &) = delete;
  Link &operator=(const Link &) = delete;
  virtual ~Link() = default;

  //! Queues a message; false when the peer is not connected or its queue is
  //! full.
  virtual bool send(const std::string &Peer, const Message &Value) = 0;
  virtual bool isConnected(const std::string &Peer) const = 0;
  virtual LinkCounters counters() const = 0;
  virtual void close() = 0;
};

base::Result<std::unique_ptr<Link>> openLink(asio::io_context &Loop,
                                             LinkSettings Settings,
                                             Link::OnMessage HandleMessage,
                                             Link::OnPeerChange HandleChange);

} // namespace crocuslead::link
