#include "http/internal/Connection.h"

#include "http/internal/ConnectionPool.h"

#include <asio/buffer.hpp>
#include <asio/post.hpp>

#include <charconv>
#include <optional>

namespace crocuslead::http::internal {

using asio::ip::tcp;

namespace {

std::optional<tcp::endpoint> parseEndpoint(std::string_view Address) {
  std::size_t Colon = Address.rfind(':');
  if (Colon == std::string_view::npos)
    return std::nullopt;
  asio::error_code Failure;
  auto Ip =
      asio::ip::make_address(std::string(Address.substr(0, Colon)), Failure);
  uint16_t Port = 0;
  const char *End = Address.data() + Address.size();
  auto Read = std::from_chars(Address.data() + Colon + 1, End, Port);
  if (Failure || Read.ec != std::errc() || Read.ptr != End)
    return std::nullopt;
  return tcp::endpoint(Ip, Port);
}

} // namespace

Connection::Connection(asio::io_context &Loop,
                       std::weak_ptr<ConnectionPool> Pool, std::string Address)
    : Pool_(std::move(Pool)), Address_(std::move(Address)), Socket_(Loop) {}

void Connection::begin(std::shared_ptr<PendingExchange> Exchange) {
  Exchange_ = std::move(Exchange);
  Exchange_->Connection_ = shared_from_this();
  Parser_.begin(Exchange_->IsHead_, Exchange_->MaxAnswerBytes_);
  BytesSent_ = BytesReceived_ = 0;
  ++Exchanges_;
}

void Connection::connect(std::shared_ptr<PendingExchange> Exchange) {
  begin(std::move(Exchange));
  auto End = parseEndpoint(Address_);
  asio::error_code Failure;
  if (End)
    Socket_.open(End->protocol(), Failure);
  if (!End || Failure) {
    asio::post(Socket_.get_executor(),
               [Self = shared_from_this(),
                Reason = End ? Failure.message()
                             : "'" + Address_ + "' is not IP:port"] {
                 if (Self->Exchange_)
                   Self->fail(ExchangeFailure::ConnectFailed, Reason);
               });
    return;
  }
  Socket_.async_connect(*End, [Self = shared_from_this()](
                                  const asio::error_code &Failure) {
    if (!Self->Exchange_)
      return;
    if (Failure) {
      Self->fail(ExchangeFailure::ConnectFailed, Failure.message());
      return;
    }
    // After a pause of the process this comes before the timer.
    if (std::chrono::steady_clock::now() >= Self->Exchange_->ConnectDeadline_) {
      Self->fail(ExchangeFailure::ConnectFailed, "connected too late");
      return;
    }
    asio::error_code Ignored;
    Self->Socket_.set_option(tcp::no_delay(true), Ignored);
    Self->Socket_.non_blocking(true, Ignored);
    if (auto Pool = Self->Pool_.lock())
      Pool->connected(Self->Exchange_);
    Self->sendRest();
    Self->read();
  });
}

void Connection::send(std::shared_ptr<PendingExchange> Exchange) {
  begin(std::move(Exchange));
  sendRest();
}

void Connection::sendRest() {
  const std::string &Message = Exchange_->Message_;
  asio::error_code Failure;
  std::size_t Taken = Socket_.write_some(
      asio::buffer(Message.data() + BytesSent_, Message.size() - BytesSent_),
      Failure);
  BytesSent_ += Taken;
  if (auto Pool = Pool_.lock())
    Pool->addBytes(*Exchange_, Taken, 0);
  if (Failure && Failure != asio::error::would_block) {
    // What the server sent before it closed is still to be read.
    if (BytesSent_ == 0)
      fail(ExchangeFailure::Reset, Failure.message());
    return;
  }
  if (BytesSent_ == Message.size())
    return;
  Socket_.async_wait(
      tcp::socket::wait_write, [Self = shared_from_this(), Number = Exchanges_](
                                   const asio::error_code &WaitFailure) {
        if (!WaitFailure && Self->Exchange_ && Self->Exchanges_ == Number)
          Self->sendRest();
      });
}

// One read always waits, so that a connection that its peer closes leaves the
// pool at once.
void Connection::read() {
  if (!Socket_.is_open())
    return;
  Socket_.async_read_some(
      asio::buffer(Buffer_),
      [Self = shared_from_this()](const asio::error_code &Failure,
                                  std::size_t Size) {
        Self->onRead(Failure, Size);
      });
}

void Connection::onRead(const asio::error_code &Failure, std::size_t Size) {
  if (!Socket_.is_open())
    return;
  if (Failure || !Exchange_) {
    fail(Parser_.headerComplete() ? ExchangeFailure::Truncated
                                  : ExchangeFailure::Reset,
         Failure ? Failure.message() : "unexpected data");
    return;
  }
  BytesReceived_ += Size;
  if (auto Pool = Pool_.lock())
    Pool->addBytes(*Exchange_, 0, Size);
  switch (Parser_.parse({Buffer_.data(), Size})) {
  case ResponseParser::Progress::Incomplete:
    break;
  case ResponseParser::Progress::Complete:
    complete();
    break;
  case ResponseParser::Progress::Malformed:
    fail(Parser_.headerComplete() ? ExchangeFailure::Truncated
                                  : ExchangeFailure::Reset,
         "malformed answer");
    break;
  case ResponseParser::Progress::TooLarge:
    fail(ExchangeFailure::TooLarge, "the answer is larger than allowed");
    break;
  }
  read();
}

void Connection::complete() {
  bool Whole = BytesSent_ == Exchange_->Message_.size();
  if (auto Pool = Pool_.lock())
    Pool->complete(shared_from_this(), Parser_.takeAnswer(),
                   Whole && Parser_.keepsConnection());
}

void Connection::fail(ExchangeFailure Failure, const std::string &Reason) {
  if (auto Pool = Pool_.lock())
    Pool->fail(shared_from_this(), Failure, Reason);
  else
    close();
}

void Connection::discardUnsent() {
  asio::error_code Ignored;
  Socket_.set_option(asio::socket_base::linger(true, 0), Ignored);
}

void Connection::close() {
  Exchange_.reset();
  asio::error_code Ignored;
  Socket_.close(Ignored);
}

} // namespace crocuslead::http::internal
