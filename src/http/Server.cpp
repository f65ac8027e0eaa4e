#include "http/Server.h"

#include "base/Log.h"
#include "http/internal/ServerResponder.h"
#include "http/internal/ServerTraits.h"

#include <algorithm>
#include <limits>
#include <sys/resource.h>

namespace crocuslead::http {

namespace internal {

void ConnectionRegistry::attach(restinio::tcp_connection_ctx_handle_t Handle) {
  if (!Handle)
    return;
  auto It = Entries_.find(Handle->connection_id());
  if (It != Entries_.end())
    It->second.Handle_ = std::move(Handle);
}

void ConnectionRegistry::addResponder(
    restinio::connection_id_t Id, std::weak_ptr<ServerResponder> Responder) {
  auto It = Entries_.find(Id);
  if (It != Entries_.end())
    It->second.Responders_.push_back(std::move(Responder));
}

void ConnectionRegistry::removeResponder(restinio::connection_id_t Id) {
  auto It = Entries_.find(Id);
  if (It == Entries_.end())
    return;
  auto &All = It->second.Responders_;
  All.erase(std::remove_if(All.begin(), All.end(),
                           [](auto &Weak) {
                             auto R = Weak.lock();
                             return !R || R->ended();
                           }),
            All.end());
}

void ConnectionRegistry::closed(restinio::connection_id_t Id) noexcept {
  auto It = Entries_.find(Id);
  if (It == Entries_.end())
    return;
  auto Responders = std::move(It->second.Responders_);
  Entries_.erase(It);
  for (auto &Weak : Responders)
    if (auto R = Weak.lock())
      R->connectionClosed();
}

// A part for a request that does not exist makes RESTinio close the connection
// at once; it has no other call for that.
void ConnectionRegistry::closeAll() {
  constexpr auto NoRequest = std::numeric_limits<restinio::request_id_t>::max();
  auto All = Entries_;
  for (auto &[Id, One] : Entries_)
    One.Handle_.reset();
  for (auto &[Id, One] : All) {
    auto Connection =
        std::static_pointer_cast<restinio::impl::connection_base_t>(
            One.Handle_);
    if (Connection)
      Connection->write_response_parts(
          NoRequest,
          restinio::response_output_flags_t{
              restinio::response_parts_attr_t::final_parts,
              restinio::response_connection_attr_t::connection_close},
          restinio::write_group_t{restinio::writable_items_container_t{}});
  }
}

} // namespace internal

namespace {

using internal::ConnectionRegistry;
using internal::ServerResponder;
using internal::ServerTraits;
using RestinioServer = restinio::http_server_t<ServerTraits>;

constexpr int StatusTooLarge = 413;
constexpr int StatusHeaderTooLarge = 431;

// RESTinio closes the connection without an answer at its own body limit. It
// gets a larger one, so that bodies somewhat above MaxBodyBytes_ get status
// 413.
constexpr std::size_t HardBodyFactor = 2;
constexpr std::size_t MaxHeaderNameBytes = 1024;
constexpr std::size_t MaxHeaderCount = 256;
// Two, so that RESTinio keeps reading while one request is handled and thus
// notices when the caller closes.
constexpr std::size_t PipelinedRequests = 2;
constexpr std::size_t ReadBufferBytes = 16U << 10U;

//! RESTinio stops accepting for good after an accept that fails for lack of
//! file descriptors, so the limit stays below the process's own.
std::size_t connectionLimit(std::size_t Wanted) {
  rlimit Files{};
  if (getrlimit(RLIMIT_NOFILE, &Files) != 0 || Files.rlim_cur == RLIM_INFINITY)
    return Wanted;
  return std::min<std::size_t>(Wanted, Files.rlim_cur / 2);
}

Request convert(restinio::request_t &Incoming) {
  Request Out;
  Out.Method_ = Incoming.header().method().c_str();
  Out.Target_ = Incoming.header().request_target();
  Incoming.header().for_each_field([&](const auto &Field) {
    Out.Headers_.emplace_back(Field.name(), Field.value());
  });
  Out.Body_ = Incoming.body();
  return Out;
}

std::size_t headerBytes(const Request &Incoming) {
  constexpr std::size_t Separators = 4;
  std::size_t Sum = Incoming.Target_.size();
  for (const auto &[Name, Value] : Incoming.Headers_)
    Sum += Name.size() + Value.size() + Separators;
  return Sum;
}

class ServerImpl final : public Server {
public:
  ServerImpl(asio::io_context &Loop, const asio::ip::address &Address,
             uint16_t Port, const ServerLimits &Limits, Handler OnRequest)
      : Registry_(std::make_shared<ConnectionRegistry>(
            connectionLimit(Limits.MaxConnections_))),
        Port_(std::make_shared<uint16_t>(Port)),
        Inner_(std::make_unique<RestinioServer>(
            restinio::external_io_context(Loop), [&](auto &Settings) {
              configure(Settings, Address, Port, Limits, std::move(OnRequest));
            })) {
    Inner_->open_sync();
  }

  ~ServerImpl() override { close(); }

  uint16_t port() const override { return *Port_; }
  std::size_t openConnections() const override { return Registry_->size(); }

  void stopAccepting() override {
    Registry_->Draining_ = true;
    try {
      Inner_->close_sync();
    } catch (const std::exception &E) {
      base::logEvent(base::LogLevel::Error, "http-close-failed",
                     {{"reason", E.what()}});
    }
  }

  void close() override {
    if (Registry_->Closed_)
      return;
    stopAccepting();
    Registry_->closeAll();
    Registry_->Closed_ = true;
  }

private:
  template <typename Settings>
  void configure(Settings &To, const asio::ip::address &Address, uint16_t Port,
                 const ServerLimits &Limits, Handler OnRequest);
  static restinio::request_handling_status_t
  handle(const std::shared_ptr<ConnectionRegistry> &Registry,
         const ServerLimits &Limits, const Handler &OnRequest,
         const restinio::request_handle_t &Incoming);

  std::shared_ptr<ConnectionRegistry> Registry_;
  std::shared_ptr<uint16_t> Port_;
  std::unique_ptr<RestinioServer> Inner_;
};

template <typename Settings>
void ServerImpl::configure(Settings &To, const asio::ip::address &Address,
                           uint16_t Port, const ServerLimits &Limits,
                           Handler OnRequest) {
  using std::chrono::milliseconds;
  auto Parts = restinio::incoming_http_msg_limits_t()
                   .max_url_size(Limits.MaxHeaderBytes_)
                   .max_field_name_size(MaxHeaderNameBytes)
                   .max_field_value_size(Limits.MaxHeaderBytes_)
                   .max_field_count(MaxHeaderCount)
                   .max_body_size(Limits.MaxBodyBytes_ * HardBodyFactor);
  To.protocol(Address.is_v6() ? asio::ip::tcp::v6() : asio::ip::tcp::v4())
      .address(Address)
      .port(Port)
      .timer_manager(Registry_)
      .connection_state_listener(
          std::make_shared<internal::StateListener>(Registry_))
      .ip_blocker(std::make_shared<internal::ConnectionLimit>(Registry_))
      .buffer_size(ReadBufferBytes)
      .max_pipelined_requests(PipelinedRequests)
      .incoming_http_msg_limits(Parts)
      .read_next_http_message_timelimit(milliseconds(Limits.ReadTimeoutMs_))
      .write_http_response_timelimit(milliseconds(Limits.WriteTimeoutMs_))
      .handle_request_timeout(milliseconds(Limits.HandleTimeoutMs_))
      .acceptor_post_bind_hook([P = Port_](asio::ip::tcp::acceptor &Acceptor) {
        *P = Acceptor.local_endpoint().port();
      })
      .socket_options_setter([](auto &Options) {
        Options.set_option(asio::ip::tcp::no_delay(true));
      })
      .request_handler(
          [Registry = Registry_, Limits,
           OnRequest = std::move(OnRequest)](const auto &Incoming) {
            return handle(Registry, Limits, OnRequest, Incoming);
          });
}

restinio::request_handling_status_t
ServerImpl::handle(const std::shared_ptr<ConnectionRegistry> &Registry,
                   const ServerLimits &Limits, const Handler &OnRequest,
                   const restinio::request_handle_t &Incoming) {
  if (Registry->Closed_ || Incoming->header().connection() ==
                               restinio::http_connection_header_t::upgrade)
    return restinio::request_rejected();
  auto Answer = std::make_shared<ServerResponder>(Registry, Incoming);
  Registry->addResponder(Incoming->connection_id(), Answer);
  Request Converted = convert(*Incoming);
  Response Refusal;
  if (Converted.Body_.size() > Limits.MaxBodyBytes_)
    Refusal.Status_ = StatusTooLarge;
  else if (headerBytes(Converted) > Limits.MaxHeaderBytes_)
    Refusal.Status_ = StatusHeaderTooLarge;
  if (Refusal.Status_ != Response().Status_) {
    Answer->send(std::move(Refusal));
    return restinio::request_accepted();
  }
  // The responder answers with status 500 when the handler drops it by an
  // exception.
  try {
    OnRequest(std::move(Converted), std::move(Answer));
  } catch (const std::exception &E) {
    base::logEvent(base::LogLevel::Error, "http-handler-failed",
                   {{"reason", E.what()}});
  }
  return restinio::request_accepted();
}

} // namespace

base::Result<std::unique_ptr<Server>>
openServer(asio::io_context &Loop, const std::string &Address, uint16_t Port,
           const ServerLimits &Limits, Server::Handler OnRequest) {
  asio::error_code Bad;
  auto Parsed = asio::ip::make_address(Address, Bad);
  if (Bad)
    return base::fail(base::ErrorKind::InvalidRequest,
                      "listen address '" + Address + "' is not an IP number");
  try {
    return std::unique_ptr<Server>(std::make_unique<ServerImpl>(
        Loop, Parsed, Port, Limits, std::move(OnRequest)));
  } catch (const std::exception &E) {
    return base::fail(base::ErrorKind::Internal,
                      "cannot listen on " + Address + ":" +
                          std::to_string(Port) + ": " + E.what());
  }
}

} // namespace crocuslead::http
