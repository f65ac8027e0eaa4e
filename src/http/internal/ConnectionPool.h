#pragma once

#include "http/internal/Connection.h"

#include <unordered_map>
#include <vector>

namespace crocuslead::http::internal {

//! Connections to many addresses and the exchanges on them.
class ConnectionPool : public std::enable_shared_from_this<ConnectionPool> {
public:
  explicit ConnectionPool(asio::io_context &Loop);

  std::shared_ptr<PendingExchange> start(const ClientRequest &Request,
                                         RequestClient::Callback Done);
  //! Drops the exchange without calling back.
  void cancel(PendingExchange &Exchange);
  //! Drops all exchanges without calling back.
  void shutdown();
  const ClientCounters &counters() const { return Counters_; }

  // Called by connections.
  void connected(const std::shared_ptr<PendingExchange> &Exchange);
  void addBytes(PendingExchange &Exchange, std::size_t Sent,
                std::size_t Received);
  //! The exchange of the connection has its answer.
  void complete(const std::shared_ptr<Connection> &Carrier, Response Answer,
                bool KeepsConnection);
  //! The connection has failed, with or without an exchange.
  void fail(const std::shared_ptr<Connection> &Carrier, ExchangeFailure Failure,
            const std::string &Reason);

private:
  using Clock = asio::steady_timer::clock_type;

  void connect(const std::shared_ptr<PendingExchange> &Exchange);
  std::shared_ptr<Connection> takeIdle(const std::string &Address);
  void addIdle(const std::shared_ptr<Connection> &Free);
  void removeIdle(Connection &Free);
  void closeOldIdle();
  void closeIdle(const std::string &Address);
  void setDeadline(const std::shared_ptr<PendingExchange> &Exchange,
                   Clock::time_point Deadline);
  void waitForDeadlines();
  void expire();
  //! Ends the exchange and calls back.
  void finish(const std::shared_ptr<PendingExchange> &Exchange,
              ExchangeResult Result);
  void release(PendingExchange &Exchange);

  asio::io_context &Loop_;
  asio::steady_timer Timer_;
  Clock::time_point TimerAt_ = Clock::time_point::max();
  //! All exchanges in progress.
  PendingExchange::Deadlines Deadlines_;
  //! Idle connections, the longest idle one first.
  Connection::Idle Idle_;
  std::unordered_map<std::string, std::vector<Connection *>> IdleByAddress_;
  ClientCounters Counters_;
  bool Down_ = false;
};

} // namespace crocuslead::http::internal
