#pragma once

#include "base/Error.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace asio {
class io_context;
}

namespace crocuslead::link::internal {

using ConnectionId = uint64_t;

//! Called on the event loop. For an outgoing connection that fails to open,
//! OnClosed_ comes without OnOpen_.
struct TransportEvents {
  std::function<void(ConnectionId, bool Incoming)> OnOpen_;
  std::function<void(ConnectionId, const std::string &Frame, bool Binary)>
      OnFrame_;
  //! ProtocolError: this side closed for an oversized or invalid frame.
  std::function<void(ConnectionId, bool ProtocolError)> OnClosed_;
};

//! WebSocket connections over websocketpp. They carry frames and know nothing
//! of peers. Objects of websocketpp refer to their endpoint by bare pointers;
//! therefore every connection shares the ownership of the transport, and its
//! memory is freed once the loop has run the last handler after close().
class Transport {
public:
  Transport() = default;
  Transport(const Transport &) = delete;
  Transport &operator=(const Transport &) = delete;
  virtual ~Transport() = default;

  //! Starts a connection to IP:port.
  virtual ConnectionId connect(const std::string &Address) = 0;
  virtual bool send(ConnectionId Connection, const std::string &Frame) = 0;
  //! Bytes of frames that wait behind the write in progress.
  virtual std::size_t waitingBytes(ConnectionId Connection) const = 0;
  virtual void setMaxFrameBytes(ConnectionId Connection, std::size_t Bytes) = 0;
  //! Sends what is queued, then closes; no event of the connection follows.
  virtual void close(ConnectionId Connection, const char *Why) = 0;
  //! Stops listening and closes all connections; no event follows.
  virtual void closeAll() = 0;
};

//! Listens on an IP:port.
base::Result<std::shared_ptr<Transport>>
openTransport(asio::io_context &Loop, const std::string &Listen,
              TransportEvents Events);

//! Whether Address is IP:port with a numeric IP.
bool isSocketAddress(const std::string &Address);

} // namespace crocuslead::link::internal
