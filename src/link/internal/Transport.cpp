#include "link/internal/Transport.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <map>
#include <netinet/tcp.h>
#include <optional>
#include <websocketpp/client.hpp>
#include <websocketpp/concurrency/none.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/logger/stub.hpp>
#include <websocketpp/random/random_device.hpp>
#include <websocketpp/server.hpp>
#include <websocketpp/transport/asio/endpoint.hpp>

namespace crocuslead::link::internal {

namespace {

using websocketpp::connection_hdl;

//! A frame that stays unacknowledged for this long ends the connection. After a
//! cut of minutes TCP would retransmit only every two minutes.
constexpr unsigned UnackedLimitMs = 10'000;

// NOLINTBEGIN(readability-identifier-naming): names that websocketpp looks up.
//! Configuration of websocketpp: one loop thread, no log. The base offers no
//! compression; enable_extensions must stay true, because a client of 0.8.2
//! fails every handshake without it.
struct WsConfig : websocketpp::config::core {
  using type = WsConfig;
  using base = websocketpp::config::core;
  using concurrency_type = websocketpp::concurrency::none;
  using alog_type = websocketpp::log::stub;
  using elog_type = websocketpp::log::stub;
  using rng_type =
      websocketpp::random::random_device::int_generator<uint32_t,
                                                        concurrency_type>;
  static const bool enable_multithreading = false;
  static const long timeout_open_handshake = 3000;
  static const long timeout_close_handshake = 1000;
  static const std::size_t max_http_body_size = 1024;

  struct transport_config : base::transport_config {
    using concurrency_type = type::concurrency_type;
    using alog_type = type::alog_type;
    using elog_type = type::elog_type;
    using socket_type = websocketpp::transport::asio::basic_socket::endpoint;
    static const bool enable_multithreading = false;
    static const long timeout_connect = 3000;
    static const long timeout_socket_shutdown = 1000;
  };
  using transport_type =
      websocketpp::transport::asio::endpoint<transport_config>;
};
// NOLINTEND(readability-identifier-naming)

using Server = websocketpp::server<WsConfig>;
using Client = websocketpp::client<WsConfig>;
using Connection = websocketpp::connection<WsConfig>;
namespace CloseCode = websocketpp::close::status;

std::optional<asio::ip::tcp::endpoint> parseAddress(const std::string &Text) {
  std::size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    return std::nullopt;
  std::string Host = Text.substr(0, Colon);
  std::string Port = Text.substr(Colon + 1);
  if (Host.size() > 2 && Host.front() == '[' && Host.back() == ']')
    Host = Host.substr(1, Host.size() - 2);
  bool Digits = !Port.empty() && Port.size() <= 5 &&
                Port.find_first_not_of("0123456789") == std::string::npos;
  asio::error_code Failure;
  asio::ip::address Ip = asio::ip::make_address(Host, Failure);
  int Number = Digits ? std::stoi(Port) : 0;
  if (Failure || Number < 1 || Number > 65'535)
    return std::nullopt;
  return asio::ip::tcp::endpoint(Ip, static_cast<uint16_t>(Number));
}

void setSocketOptions(const connection_hdl &, asio::ip::tcp::socket &Socket) {
  asio::error_code Ignored;
  Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
  using UserTimeout =
      asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  Socket.set_option(UserTimeout(UnackedLimitMs), Ignored);
}

class WsTransport final : public Transport,
                          public std::enable_shared_from_this<WsTransport> {
public:
  explicit WsTransport(TransportEvents Events) : Events_(std::move(Events)) {}

  base::Result<void> listen(asio::io_context &Loop,
                            const asio::ip::tcp::endpoint &Address);
  ConnectionId connect(const std::string &Address) override;
  bool send(ConnectionId Connection, const std::string &Frame) override;
  std::size_t waitingBytes(ConnectionId Connection) const override;
  void setMaxFrameBytes(ConnectionId Connection, std::size_t Bytes) override;
  void close(ConnectionId Connection, const char *Why) override;
  void closeAll() override;

private:
  using Pointer = std::shared_ptr<Connection>;

  ConnectionId add(const Pointer &Opened);
  Pointer find(ConnectionId Id) const;
  void accepted(const connection_hdl &Handle);
  void opened(ConnectionId Id, bool Incoming);
  void closed(ConnectionId Id);
  static void shut(const Pointer &Open, const char *Why);

  TransportEvents Events_;
  Server Server_;
  Client Client_;
  std::map<ConnectionId, std::weak_ptr<Connection>> Connections_;
  ConnectionId NextId_ = 1;
  bool Closed_ = false;
};

base::Result<void> WsTransport::listen(asio::io_context &Loop,
                                       const asio::ip::tcp::endpoint &Address) {
  std::error_code Failure;
  Server_.init_asio(&Loop, Failure);
  if (!Failure)
    Client_.init_asio(&Loop, Failure);
  Server_.set_reuse_addr(true);
  Server_.set_socket_init_handler(setSocketOptions);
  Client_.set_socket_init_handler(setSocketOptions);
  if (!Failure)
    Server_.listen(Address, Failure);
  if (Failure)
    return base::fail(base::ErrorKind::LinkFailed,
                      "cannot listen for peers: " + Failure.message());
  // The handlers keep the transport alive until closeAll() removes them.
  Server_.set_open_handler(
      [Self = shared_from_this()](const connection_hdl &Handle) {
        Self->accepted(Handle);
      });
  Server_.start_accept(Failure);
  if (Failure)
    return base::fail(base::ErrorKind::LinkFailed,
                      "cannot accept peers: " + Failure.message());
  return {};
}

ConnectionId WsTransport::add(const Pointer &Opened) {
  ConnectionId Id = NextId_++;
  Connections_[Id] = Opened;
  auto Self = shared_from_this();
  Opened->set_message_handler(
      [Self, Id](const connection_hdl &, const Server::message_ptr &Received) {
        if (Self->Connections_.count(Id) > 0)
          Self->Events_.OnFrame_(Id, Received->get_payload(),
                                 Received->get_opcode() ==
                                     websocketpp::frame::opcode::binary);
      });
  auto OnEnd = [Self, Id](const connection_hdl &) { Self->closed(Id); };
  Opened->set_close_handler(OnEnd);
  Opened->set_fail_handler(OnEnd);
  return Id;
}

WsTransport::Pointer WsTransport::find(ConnectionId Id) const {
  auto Found = Connections_.find(Id);
  return Found == Connections_.end() ? nullptr : Found->second.lock();
}

void WsTransport::accepted(const connection_hdl &Handle) {
  std::error_code Failure;
  Pointer Opened = Server_.get_con_from_hdl(Handle, Failure);
  if (!Opened)
    return;
  if (Closed_) {
    shut(Opened, "closing");
    return;
  }
  opened(add(Opened), true);
}

void WsTransport::opened(ConnectionId Id, bool Incoming) {
  if (Connections_.count(Id) > 0)
    Events_.OnOpen_(Id, Incoming);
}

void WsTransport::closed(ConnectionId Id) {
  Pointer Ended = find(Id);
  if (Connections_.erase(Id) == 0)
    return;
  auto Code = Ended ? Ended->get_local_close_code() : CloseCode::normal;
  Events_.OnClosed_(Id, Code == CloseCode::message_too_big ||
                            Code == CloseCode::protocol_error ||
                            Code == CloseCode::invalid_payload);
}

ConnectionId WsTransport::connect(const std::string &Address) {
  std::error_code Failure;
  Pointer Opened = Client_.get_connection("ws://" + Address, Failure);
  if (Failure || Closed_)
    return 0;
  ConnectionId Id = add(Opened);
  Opened->set_open_handler(
      [Self = shared_from_this(), Id](const connection_hdl &Handle) {
        std::error_code Ignored;
        if (Self->Connections_.count(Id) == 0)
          shut(Self->Client_.get_con_from_hdl(Handle, Ignored), "closing");
        else
          Self->opened(Id, false);
      });
  Client_.connect(Opened);
  return Id;
}

bool WsTransport::send(ConnectionId Id, const std::string &Frame) {
  Pointer Open = find(Id);
  return Open && !Open->send(Frame, websocketpp::frame::opcode::binary);
}

std::size_t WsTransport::waitingBytes(ConnectionId Id) const {
  Pointer Open = find(Id);
  return Open ? Open->get_buffered_amount() : 0;
}

void WsTransport::setMaxFrameBytes(ConnectionId Id, std::size_t Bytes) {
  if (Pointer Open = find(Id))
    Open->set_max_message_size(Bytes);
}

void WsTransport::shut(const Pointer &Open, const char *Why) {
  if (!Open)
    return;
  std::error_code Failure;
  Open->close(CloseCode::going_away, Why, Failure);
  // Not open yet: end the connection attempt.
  asio::error_code Ignored;
  if (Failure && Open->get_raw_socket().is_open())
    Open->get_raw_socket().close(Ignored);
}

void WsTransport::close(ConnectionId Id, const char *Why) {
  Pointer Open = find(Id);
  Connections_.erase(Id);
  shut(Open, Why);
}

void WsTransport::closeAll() {
  Closed_ = true;
  auto Open = std::move(Connections_);
  Connections_.clear();
  for (const auto &[Id, Each] : Open)
    shut(Each.lock(), "closing");
  std::error_code Ignored;
  Server_.stop_listening(Ignored);
  Server_.set_open_handler(nullptr);
}

} // namespace

bool isSocketAddress(const std::string &Address) {
  return parseAddress(Address).has_value();
}

base::Result<std::shared_ptr<Transport>>
openTransport(asio::io_context &Loop, const std::string &Listen,
              TransportEvents Events) {
  auto Address = parseAddress(Listen);
  if (!Address)
    return base::fail(base::ErrorKind::InvalidRequest,
                      "field 'link_address': found '" + Listen +
                          "', allowed: IP:port");
  auto Opened = std::make_shared<WsTransport>(std::move(Events));
  BOOST_LEAF_CHECK(Opened->listen(Loop, *Address));
  return std::shared_ptr<Transport>(Opened);
}

} // namespace crocuslead::link::internal
