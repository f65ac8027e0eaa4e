#pragma once

#include "base/Clock.h"
#include "http/Server.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace crocuslead::http {

//! How an exchange failed.
enum class ExchangeFailure : uint8_t {
  None,
  //! No connection: nothing was sent.
  ConnectFailed,
  //! The connection broke before a complete answer header arrived.
  Reset,
  //! The answer's body was cut short.
  Truncated,
  TimedOut,
  TooLarge,
};

struct ExchangeResult {
  ExchangeFailure Failure_ = ExchangeFailure::None;
  //! Complete answer when Failure_ is None.
  Response Answer_;
  std::string Detail_;
  //! From the end of the header to the end of the answer; only of patient
  //! reads.
  base::Duration BodyTime_{};
  //! Bytes of this exchange, headers included.
  uint64_t BytesSent_ = 0;
  uint64_t BytesReceived_ = 0;
};

struct ClientRequest {
  std::string Method_ = "GET";
  //! http://IP:port/path
  std::string Url_;
  Headers Headers_;
  std::string Body_;
  base::Duration Timeout_ = std::chrono::seconds(5);
  base::Duration ConnectTimeout_ = std::chrono::milliseconds(500);
  std::size_t MaxAnswerBytes_ = 64U << 20U;
};

//! Receives an answer as it arrives. OnHeader comes once, then any number of
//! OnData, then the ExchangeResult with an empty body.
struct StreamSink {
  std::function<void(int Status, const Headers &)> OnHeader_;
  std::function<void(std::string_view)> OnData_;
};

//! Cancels its exchange when destroyed before the end; the callback is then not
//! called.
class Exchange {
public:
  Exchange() = default;
  Exchange(const Exchange &) = delete;
  Exchange &operator=(const Exchange &) = delete;
  virtual ~Exchange() = default;
};

struct ClientCounters {
  uint64_t BytesSent_ = 0;
  uint64_t BytesReceived_ = 0;
  uint64_t Exchanges_ = 0;
  //! Connections that were opened.
  uint64_t Connections_ = 0;
};

//! HTTP/1.1 client that reuses its connections.
class RequestClient {
public:
  using Callback = std::function<void(ExchangeResult)>;

  RequestClient() = default;
  RequestClient(const RequestClient &) = delete;
  RequestClient &operator=(const RequestClient &) = delete;
  virtual ~RequestClient() = default;

  //! Done is called on the event loop, never from within send().
  [[nodiscard]] virtual std::unique_ptr<Exchange> send(ClientRequest Request,
                                                       Callback Done) = 0;
  virtual ClientCounters counters() const = 0;
};

//! A client that also passes on answers while they arrive.
class Client : public RequestClient {
public:
  [[nodiscard]] virtual std::unique_ptr<Exchange>
  stream(ClientRequest Request, StreamSink Sink, Callback Done) = 0;
};

//! A client on libcurl's multi interface. MaxPerHost bounds the connections to
//! one address; 0 for no bound.
std::unique_ptr<Client> makeClient(asio::io_context &Loop, long MaxPerHost);

//! A client for many short exchanges with many addresses ("IP:port" in URLs).
//! An exchange takes a fraction of the processor time that it takes with
//! libcurl.
std::unique_ptr<RequestClient> makePooledClient(asio::io_context &Loop);

} // namespace crocuslead::http
