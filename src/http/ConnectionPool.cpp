#include "http/internal/ConnectionPool.h"

#include "http/internal/ClientRules.h"
#include "http/internal/Guarded.h"
#include "http/internal/HeaderRules.h"

#include <algorithm>

namespace crocuslead::http::internal {

namespace {

constexpr std::string_view Scheme = "http://";

//! The parts of "http://ADDRESS/path".
struct Url {
  std::string_view Address_;
  std::string_view Path_;
};

Url splitUrl(std::string_view Text) {
  if (Text.substr(0, Scheme.size()) == Scheme)
    Text.remove_prefix(Scheme.size());
  std::size_t Slash = std::min(Text.find('/'), Text.size());
  Url Out{Text.substr(0, Slash), Text.substr(Slash)};
  if (Out.Path_.empty())
    Out.Path_ = "/";
  return Out;
}

std::string encode(const ClientRequest &Request, const Url &To) {
  constexpr std::size_t UsualHeaderBytes = 256;
  std::string Out;
  Out.reserve(UsualHeaderBytes + Request.Body_.size());
  auto Append = [&Out](const auto &...Parts) { (Out.append(Parts), ...); };
  Append(Request.Method_, " ", To.Path_, " HTTP/1.1\r\nHost: ", To.Address_,
         "\r\n");
  for (const auto &[Name, Value] : Request.Headers_)
    if (!isFramingHeader(Name) && isValidHeader(Name, Value))
      Append(Name, Value.empty() ? ":" : ": ", Value, "\r\n");
  if (hasBody(Request))
    Append("Content-Length: ", std::to_string(Request.Body_.size()), "\r\n");
  Append("\r\n");
  if (hasBody(Request))
    Append(Request.Body_);
  return Out;
}

} // namespace

ConnectionPool::ConnectionPool(asio::io_context &Loop)
    : Loop_(Loop), Timer_(Loop) {}

std::shared_ptr<PendingExchange>
ConnectionPool::start(const ClientRequest &Request,
                      RequestClient::Callback Done) {
  Url To = splitUrl(Request.Url_);
  auto Made = std::make_shared<PendingExchange>();
  Made->Address_ = To.Address_;
  Made->Message_ = encode(Request, To);
  Made->IsHead_ = Request.Method_ == "HEAD";
  Made->Repeatable_ = Made->IsHead_ || Request.Method_ == "GET";
  Made->MaxAnswerBytes_ = Request.MaxAnswerBytes_;
  auto Now = Clock::now();
  Made->Deadline_ = Now + Request.Timeout_;
  Made->ConnectDeadline_ =
      Now + std::min(Request.Timeout_, Request.ConnectTimeout_);
  Made->Done_ = std::move(Done);
  Made->Timeout_ = Deadlines_.end();
  ++Counters_.Exchanges_;
  if (auto Free = takeIdle(Made->Address_)) {
    setDeadline(Made, Made->Deadline_);
    Free->send(Made);
  } else {
    connect(Made);
  }
  return Made;
}

void ConnectionPool::connect(const std::shared_ptr<PendingExchange> &Exchange) {
  ++Counters_.Connections_;
  setDeadline(Exchange, Exchange->ConnectDeadline_);
  std::make_shared<Connection>(Loop_, weak_from_this(), Exchange->Address_)
      ->connect(Exchange);
}

void ConnectionPool::connected(
    const std::shared_ptr<PendingExchange> &Exchange) {
  setDeadline(Exchange, Exchange->Deadline_);
}

void ConnectionPool::addBytes(PendingExchange &Exchange, std::size_t Sent,
                              std::size_t Received) {
  Exchange.BytesSent_ += Sent;
  Exchange.BytesReceived_ += Received;
  Counters_.BytesSent_ += Sent;
  Counters_.BytesReceived_ += Received;
}

void ConnectionPool::cancel(PendingExchange &Exchange) {
  if (!Exchange.Ended_)
    release(Exchange);
}

void ConnectionPool::shutdown() {
  Down_ = true;
  Timer_.cancel();
  while (!Deadlines_.empty()) {
    auto First = Deadlines_.begin()->second;
    release(*First);
  }
  for (const auto &Free : Idle_)
    Free->close();
  Idle_.clear();
  IdleByAddress_.clear();
}

// Takes the exchange off its connection, which can't be used again: its answer
// may still come.
void ConnectionPool::release(PendingExchange &Exchange) {
  Exchange.Ended_ = true;
  if (auto Carrier = std::move(Exchange.Connection_))
    Carrier->close();
  if (Exchange.Timeout_ != Deadlines_.end()) {
    auto Entry = std::exchange(Exchange.Timeout_, Deadlines_.end());
    Deadlines_.erase(Entry);
  }
}

void ConnectionPool::finish(const std::shared_ptr<PendingExchange> &Exchange,
                            ExchangeResult Result) {
  Result.BytesSent_ = Exchange->BytesSent_;
  Result.BytesReceived_ = Exchange->BytesReceived_;
  release(*Exchange);
  auto Done = std::move(Exchange->Done_);
  guarded([&] { Done(std::move(Result)); });
}

void ConnectionPool::complete(const std::shared_ptr<Connection> &Carrier,
                              Response Answer, bool KeepsConnection) {
  auto Exchange = Carrier->exchange();
  if (KeepsConnection) {
    Exchange->Connection_.reset();
    Carrier->clear();
    addIdle(Carrier);
  }
  ExchangeResult Result;
  Result.Answer_ = std::move(Answer);
  finish(Exchange, std::move(Result));
}

void ConnectionPool::fail(const std::shared_ptr<Connection> &Carrier,
                          ExchangeFailure Failure, const std::string &Reason) {
  auto Exchange = Carrier->exchange();
  if (!Exchange) {
    removeIdle(*Carrier);
    Carrier->close();
    return;
  }
  // The server may close a connection while a request is on its way. What was
  // not sent, or may be sent twice, gets a connection of its own.
  bool Unanswered = Carrier->reused() && Carrier->bytesReceived() == 0;
  if (Unanswered && (Carrier->bytesSent() == 0 || Exchange->Repeatable_)) {
    Exchange->Connection_.reset();
    Carrier->close();
    connect(Exchange);
    return;
  }
  ExchangeResult Result;
  Result.Failure_ = Failure;
  if (Failure == ExchangeFailure::ConnectFailed && Exchange->BytesSent_ > 0)
    Result.Failure_ = ExchangeFailure::Reset;
  Result.Detail_ = Reason;
  finish(Exchange, std::move(Result));
}

std::shared_ptr<Connection>
ConnectionPool::takeIdle(const std::string &Address) {
  closeOldIdle();
  auto It = IdleByAddress_.find(Address);
  if (It == IdleByAddress_.end())
    return nullptr;
  // The one used last is the least likely to be closed by the server.
  auto Taken = It->second.back()->shared_from_this();
  removeIdle(*Taken);
  return Taken;
}

void ConnectionPool::addIdle(const std::shared_ptr<Connection> &Free) {
  Free->IdleSince_ = Clock::now();
  Free->IdlePlace_ = Idle_.insert(Idle_.end(), Free);
  IdleByAddress_[Free->address()].push_back(Free.get());
  if (Idle_.size() > MaxKeptConnections) {
    auto Oldest = Idle_.front();
    removeIdle(*Oldest);
    Oldest->close();
  }
}

void ConnectionPool::removeIdle(Connection &Free) {
  auto It = IdleByAddress_.find(Free.address());
  auto &Others = It->second;
  Others.erase(std::find(Others.begin(), Others.end(), &Free));
  if (Others.empty())
    IdleByAddress_.erase(It);
  Idle_.erase(Free.IdlePlace_);
}

void ConnectionPool::closeOldIdle() {
  auto Limit = Clock::now() - MaxIdleTime;
  while (!Idle_.empty() && Idle_.front()->IdleSince_ < Limit) {
    auto Oldest = Idle_.front();
    removeIdle(*Oldest);
    Oldest->close();
  }
}

void ConnectionPool::closeIdle(const std::string &Address) {
  while (auto Free = takeIdle(Address))
    Free->close();
}

void ConnectionPool::setDeadline(
    const std::shared_ptr<PendingExchange> &Exchange,
    Clock::time_point Deadline) {
  if (Exchange->Timeout_ != Deadlines_.end())
    Deadlines_.erase(Exchange->Timeout_);
  Exchange->Timeout_ = Deadlines_.emplace(Deadline, Exchange);
  if (Deadline < TimerAt_)
    waitForDeadlines();
}

void ConnectionPool::waitForDeadlines() {
  TimerAt_ = Deadlines_.begin()->first;
  Timer_.expires_at(TimerAt_);
  Timer_.async_wait([Weak = weak_from_this()](const asio::error_code &Failure) {
    auto Self = Weak.lock();
    if (!Failure && Self && !Self->Down_)
      Self->expire();
  });
}

void ConnectionPool::expire() {
  TimerAt_ = Clock::time_point::max();
  auto Now = Clock::now();
  while (!Down_ && !Deadlines_.empty() && Deadlines_.begin()->first <= Now) {
    auto Exchange = Deadlines_.begin()->second;
    ExchangeResult Result;
    Result.Failure_ = Exchange->BytesSent_ == 0 ? ExchangeFailure::ConnectFailed
                                                : ExchangeFailure::TimedOut;
    Result.Detail_ = "timed out";
    // Else the kernel sends the rest once the path is back, after the caller
    // has given it up.
    if (Exchange->Connection_)
      Exchange->Connection_->discardUnsent();
    // A path that went silent has silenced the idle connections as well.
    closeIdle(Exchange->Address_);
    finish(Exchange, std::move(Result));
  }
  if (!Down_ && !Deadlines_.empty())
    waitForDeadlines();
}

} // namespace crocuslead::http::internal
