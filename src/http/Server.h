#pragma once

#include "base/Error.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

// Forward declaration keeps Asio out of widely included headers.
namespace asio {
class io_context;
}

namespace crocuslead::http {

using Headers = std::vector<std::pair<std::string, std::string>>;

//! Value of a header, compared without case; nullptr when absent.
const std::string *findHeader(const Headers &All, std::string_view Name);

struct Request {
  std::string Method_;
  //! Path and query.
  std::string Target_;
  Headers Headers_;
  std::string Body_;
};

struct Response {
  int Status_ = 200;
  Headers Headers_;
  std::string Body_;
};

//! Answers one request, at any later time, once; a second answer is ignored.
class Responder {
public:
  Responder() = default;
  Responder(const Responder &) = delete;
  Responder &operator=(const Responder &) = delete;
  virtual ~Responder() = default;

  virtual void send(Response Answer) = 0;
  //! Starts an answer whose body follows in pieces; end with finish() or, cut
  //! short, abort().
  virtual void begin(int Status, Headers AllHeaders) = 0;
  virtual void write(std::string Piece) = 0;
  virtual void finish() = 0;
  //! Closes the connection, so that the caller sees a truncated answer.
  virtual void abort() = 0;
  //! Called once when the caller closes its connection before the answer is
  //! complete.
  virtual void onClosed(std::function<void()> Handler) = 0;
};

struct ServerLimits {
  std::size_t MaxBodyBytes_ = 8U << 20U;
  std::size_t MaxHeaderBytes_ = 64U << 10U;
  int ReadTimeoutMs_ = 30'000;
  int WriteTimeoutMs_ = 30'000;
  //! Longest time for a handler to answer.
  int HandleTimeoutMs_ = 120'000;
  std::size_t MaxConnections_ = 10'000;
};

//! An HTTP/1.1 server on an event loop.
class Server {
public:
  using Handler = std::function<void(Request, std::shared_ptr<Responder>)>;

  Server() = default;
  Server(const Server &) = delete;
  Server &operator=(const Server &) = delete;
  virtual ~Server() = default;

  //! Port that the server listens on (useful when it was opened on port 0).
  virtual uint16_t port() const = 0;
  //! Closes the listening socket; open connections go on.
  virtual void stopAccepting() = 0;
  virtual std::size_t openConnections() const = 0;
  virtual void close() = 0;
};

//! Opens a server; Address is an IP number. Fails when the address cannot be
//! bound.
base::Result<std::unique_ptr<Server>>
openServer(asio::io_context &Loop, const std::string &Address, uint16_t Port,
           const ServerLimits &Limits, Server::Handler OnRequest);

} // namespace crocuslead::http
