#pragma once

#include "http/Client.h"
#include "http/internal/ResponseParser.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>

namespace crocuslead::http::internal {

class Connection;
class ConnectionPool;

//! A request and what is known about its answer.
struct PendingExchange {
  using Deadlines = std::multimap<asio::steady_timer::time_point,
                                  std::shared_ptr<PendingExchange>>;

  //! IP:port
  std::string Address_;
  //! Header and body as sent.
  std::string Message_;
  bool IsHead_ = false;
  //! The request may be sent again on another connection.
  bool Repeatable_ = false;
  std::size_t MaxAnswerBytes_ = 0;
  asio::steady_timer::time_point Deadline_;
  asio::steady_timer::time_point ConnectDeadline_;
  RequestClient::Callback Done_;

  std::shared_ptr<Connection> Connection_;
  //! Entry with the deadline that applies now.
  Deadlines::iterator Timeout_;
  uint64_t BytesSent_ = 0;
  uint64_t BytesReceived_ = 0;
  bool Ended_ = false;
};

//! One connection of a pool. Carries one exchange at a time and stays open for
//! the next one.
class Connection : public std::enable_shared_from_this<Connection> {
public:
  using Idle = std::list<std::shared_ptr<Connection>>;

  Connection(asio::io_context &Loop, std::weak_ptr<ConnectionPool> Pool,
             std::string Address);

  //! Connects and then sends the request.
  void connect(std::shared_ptr<PendingExchange> Exchange);
  //! Sends the request on the open connection.
  void send(std::shared_ptr<PendingExchange> Exchange);
  //! close() resets the connection, so that what was not delivered is lost.
  void discardUnsent();
  void close();
  //! The exchange has ended; the connection stays open.
  void clear() { Exchange_.reset(); }
  const std::string &address() const { return Address_; }
  //! The exchange that it carries, or null.
  const std::shared_ptr<PendingExchange> &exchange() const { return Exchange_; }
  //! It carried an exchange before the present one.
  bool reused() const { return Exchanges_ > 1; }
  //! Bytes of the present request and of its answer on this connection.
  std::size_t bytesSent() const { return BytesSent_; }
  std::size_t bytesReceived() const { return BytesReceived_; }

  //! Place among the pool's idle connections, valid while it is one.
  Idle::iterator IdlePlace_;
  asio::steady_timer::time_point IdleSince_;

private:
  void begin(std::shared_ptr<PendingExchange> Exchange);
  void sendRest();
  void read();
  void onRead(const asio::error_code &Failure, std::size_t Size);
  void fail(ExchangeFailure Failure, const std::string &Reason);
  void complete();

  std::weak_ptr<ConnectionPool> Pool_;
  std::string Address_;
  asio::ip::tcp::socket Socket_;
  std::shared_ptr<PendingExchange> Exchange_;
  ResponseParser Parser_;
  std::array<char, 4096> Buffer_{};
  std::size_t BytesSent_ = 0;
  std::size_t BytesReceived_ = 0;
  uint64_t Exchanges_ = 0;
};

} // namespace crocuslead::http::internal
