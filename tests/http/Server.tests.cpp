#include "http/Server.h"
#include "http/Client.h"

#include "support/LoopFakes.h"

#include <asio/read.hpp>
#include <optional>

using namespace crocuslead;
using http::ExchangeFailure;
using tests::runUntil;

namespace {

struct Fixture {
  asio::io_context Loop_;
  http::ServerLimits Limits_;
  std::unique_ptr<http::Server> Server_;
  std::unique_ptr<http::Client> Client_ = http::makeClient(Loop_, 0);
  std::vector<std::shared_ptr<http::Responder>> Held_;

  void open(http::Server::Handler Handler) {
    auto Opened = http::openServer(Loop_, "127.0.0.1", 0, Limits_, Handler);
    REQUIRE(Opened);
    Server_ = std::move(*Opened);
  }
  //! A server that keeps its requests unanswered in Held_.
  void openHolding() {
    open([this](auto, auto R) { Held_.push_back(std::move(R)); });
  }
  std::string url() const {
    return "http://127.0.0.1:" + std::to_string(Server_->port()) +
           "/a/../path?q=1";
  }
  http::ClientRequest request(std::string Method, std::string Body = "") const {
    http::ClientRequest Made;
    Made.Method_ = std::move(Method);
    Made.Url_ = url();
    Made.Body_ = std::move(Body);
    return Made;
  }
  //! Size of the header that an otherwise bare request has.
  std::size_t headerBytes(const http::ClientRequest &Request) const {
    std::string Port = std::to_string(Server_->port());
    std::string Text = Request.Method_ + " /a/../path?q=1 HTTP/1.1\r\n" +
                       "Host: 127.0.0.1:" + Port + "\r\nX-Name: value\r\n\r\n";
    bool MayOmit = Request.Method_ == "GET" || Request.Method_ == "DELETE";
    if (!MayOmit || !Request.Body_.empty())
      Text +=
          "Content-Length: " + std::to_string(Request.Body_.size()) + "\r\n";
    return Text.size();
  }
  http::ExchangeResult call(http::ClientRequest Request) {
    std::optional<http::ExchangeResult> Got;
    auto Running =
        Client_->send(std::move(Request), [&](auto R) { Got = std::move(R); });
    runUntil(Loop_, [&] { return Got.has_value(); });
    return *Got;
  }
};

} // namespace

TEST_CASE_FIXTURE(Fixture, "a request and its answer arrive whole") {
  std::string Large(5U << 20U, 'y');
  open([&](http::Request In, auto R) {
    CHECK(In.Target_ == "/a/../path?q=1");
    CHECK(*http::findHeader(In.Headers_, "x-name") == "value");
    R->send({201,
             {{"X-Method", In.Method_}, {"X-Bad", "a\r\nX-Injected: 1"}},
             In.Body_});
  });
  for (const char *Method : {"GET", "POST", "PUT", "DELETE", "PATCH"})
    for (const std::string &Body : {std::string(), std::string("x"), Large}) {
      auto Request = request(Method, Body);
      Request.Headers_ = {{"X-Name", "value"}};
      auto Result = call(Request);
      REQUIRE(Result.Failure_ == ExchangeFailure::None);
      CHECK(Result.Answer_.Status_ == 201);
      CHECK(*http::findHeader(Result.Answer_.Headers_, "X-Method") == Method);
      CHECK_FALSE(http::findHeader(Result.Answer_.Headers_, "X-Injected"));
      CHECK(Result.Answer_.Body_ == Body);
      CHECK(Result.BytesSent_ > Body.size());
      CHECK(Result.BytesSent_ == Body.size() + headerBytes(Request));
      CHECK(Result.BytesReceived_ > Body.size());
    }
  CHECK(Server_->openConnections() == 1);
}

// A body after HEAD would be taken for the next answer on the connection.
TEST_CASE_FIXTURE(Fixture, "an answer to HEAD has no body") {
  open([](auto, auto R) {
    R->begin(200, {});
    R->write("body");
    R->finish();
    R->send({200, {}, "body"});
  });
  for (int I = 0; I < 2; ++I)
    CHECK(call(request("HEAD")).Failure_ == ExchangeFailure::None);
  CHECK(Server_->openConnections() == 1);
}

TEST_CASE_FIXTURE(Fixture, "a streamed answer arrives in pieces while it is "
                           "being made") {
  openHolding();
  std::string Got;
  int Status = 0;
  bool Done = false;
  http::StreamSink Sink;
  Sink.OnHeader_ = [&](int S, const http::Headers &) { Status = S; };
  Sink.OnData_ = [&](std::string_view Data) { Got.append(Data); };
  auto Running = Client_->stream(request("GET"), Sink, [&](auto R) {
    CHECK(R.Failure_ == ExchangeFailure::None);
    Done = true;
  });
  runUntil(Loop_, [&] { return Held_.size() == 1; });
  Held_[0]->begin(206, {});
  runUntil(Loop_, [&] { return Status == 206; });
  Held_[0]->write("one");
  runUntil(Loop_, [&] { return Got == "one"; });
  Held_[0]->write("two");
  runUntil(Loop_, [&] { return Got == "onetwo"; });
  CHECK_FALSE(Done);
  Held_[0]->finish();
  runUntil(Loop_, [&] { return Done; });
}

TEST_CASE_FIXTURE(Fixture,
                  "an aborted or dropped answer is never a whole one") {
  auto Begin = [](http::Responder &R) {
    R.begin(200, {});
    R.write("part");
  };
  open([&](http::Request In, auto R) {
    if (In.Body_ == "abort-begun" || In.Body_ == "drop-begun")
      Begin(*R);
    if (In.Body_ == "abort" || In.Body_ == "abort-begun")
      R->abort();
    if (In.Body_ == "throw")
      throw std::runtime_error("handler");
  });
  auto Failure = [&](const char *Body) {
    return call(request("POST", Body)).Failure_;
  };
  CHECK(Failure("abort-begun") == ExchangeFailure::Truncated);
  CHECK(Failure("drop-begun") == ExchangeFailure::Truncated);
  CHECK(Failure("abort") == ExchangeFailure::Reset);
  CHECK(call(request("POST", "drop")).Answer_.Status_ == 500);
  CHECK(call(request("POST", "throw")).Answer_.Status_ == 500);
}

TEST_CASE_FIXTURE(Fixture, "a second answer is ignored") {
  open([](auto, auto R) {
    R->send({200, {}, "first"});
    R->send({200, {}, "second"});
    R->begin(200, {});
    R->abort();
  });
  CHECK(call(request("GET")).Answer_.Body_ == "first");
  CHECK(call(request("GET")).Answer_.Body_ == "first");
}

// Guards against work for callers that have gone.
TEST_CASE_FIXTURE(Fixture, "the responder learns once that its caller closed") {
  openHolding();
  for (bool Begun : {false, true}) {
    int Closed = 0;
    auto Running = Client_->send(request("GET"), [](auto) {});
    runUntil(Loop_, [&] { return Held_.size() == 1; });
    Held_[0]->onClosed([&] { ++Closed; });
    if (Begun)
      Held_[0]->begin(200, {});
    Running.reset();
    runUntil(Loop_, [&] { return Closed == 1; });
    runUntil(Loop_, [&] { return Server_->openConnections() == 0; });
    Held_[0]->write("late");
    Held_[0]->send({});
    CHECK(Closed == 1);
    Held_.clear();
  }
}

TEST_CASE_FIXTURE(Fixture, "stopAccepting lets requests in progress finish and "
                           "ends their connections") {
  openHolding();
  std::optional<http::ExchangeResult> Got;
  auto Running = Client_->send(request("GET"), [&](auto R) { Got = R; });
  runUntil(Loop_, [&] { return Held_.size() == 1; });
  Server_->stopAccepting();
  asio::ip::tcp::socket Late(Loop_);
  asio::error_code Refused;
  Late.connect({asio::ip::address_v4::loopback(), Server_->port()}, Refused);
  CHECK(Refused == asio::error::connection_refused);
  CHECK(Server_->openConnections() == 1);
  Held_[0]->send({200, {}, "whole"});
  runUntil(Loop_, [&] { return Got.has_value(); });
  CHECK(Got->Failure_ == ExchangeFailure::None);
  CHECK(Got->Answer_.Body_ == "whole");
  runUntil(Loop_, [&] { return Server_->openConnections() == 0; });
}

TEST_CASE_FIXTURE(Fixture, "close ends all connections, idle or not") {
  openHolding();
  asio::ip::tcp::socket Idle(Loop_);
  Idle.connect({asio::ip::address_v4::loopback(), Server_->port()});
  std::optional<http::ExchangeResult> Got;
  auto Running = Client_->send(request("GET"), [&](auto R) { Got = R; });
  runUntil(Loop_, [&] {
    return Held_.size() == 1 && Server_->openConnections() == 2;
  });
  bool Closed = false;
  Held_[0]->onClosed([&] { Closed = true; });
  Server_->close();
  runUntil(Loop_, [&] { return Got && Closed; });
  CHECK(Got->Failure_ == ExchangeFailure::Reset);
  CHECK(Server_->openConnections() == 0);
  Server_.reset();
  Held_[0]->send({});
}

TEST_CASE_FIXTURE(Fixture, "limits refuse what exceeds them") {
  Limits_.MaxBodyBytes_ = 1000;
  Limits_.MaxHeaderBytes_ = 2000;
  Limits_.MaxConnections_ = 1;
  open([](auto, auto R) { R->send({}); });
  CHECK(call(request("POST", std::string(1000, 'x'))).Answer_.Status_ == 200);
  CHECK(call(request("POST", std::string(1001, 'x'))).Answer_.Status_ == 413);
  CHECK(call(request("POST", std::string(2001, 'x'))).Failure_ !=
        ExchangeFailure::None);
  auto Headed = request("GET");
  Headed.Headers_ = {{"A", std::string(1000, 'x')},
                     {"B", std::string(1000, 'x')}};
  CHECK(call(Headed).Answer_.Status_ == 431);
  auto Second = http::makeClient(Loop_, 0);
  std::optional<http::ExchangeResult> Got;
  auto Running = Second->send(request("GET"), [&](auto R) { Got = R; });
  runUntil(Loop_, [&] { return Got.has_value(); });
  CHECK(Got->Failure_ == ExchangeFailure::Reset);
}

TEST_CASE_FIXTURE(Fixture, "a slow handler and a slow caller are cut off") {
  Limits_.HandleTimeoutMs_ = 10;
  Limits_.ReadTimeoutMs_ = 10;
  openHolding();
  CHECK(call(request("GET")).Failure_ == ExchangeFailure::Reset);
  asio::ip::tcp::socket Silent(Loop_);
  Silent.connect({asio::ip::address_v4::loopback(), Server_->port()});
  runUntil(Loop_, [&] { return Server_->openConnections() == 1; });
  runUntil(Loop_, [&] { return Server_->openConnections() == 0; });
}

// Guards against upgraded connections, which RESTinio stops watching.
TEST_CASE_FIXTURE(Fixture,
                  "malformed and upgrade requests end the connection") {
  open([](auto, auto R) { R->send({200, {}, "served"}); });
  for (std::string Text :
       {"\x01\x02\r\n\r\n", "GET / HTTP/x.y\r\n\r\n",
        "POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n",
        "GET / HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: other\r\n\r\n"}) {
    CAPTURE(Text);
    asio::ip::tcp::socket Peer(Loop_);
    Peer.connect({asio::ip::address_v4::loopback(), Server_->port()});
    asio::write(Peer, asio::buffer(Text));
    std::string Answer;
    bool Ended = false;
    std::function<void(asio::error_code, std::size_t)> Read =
        [&](asio::error_code Error, std::size_t) {
          Ended = static_cast<bool>(Error);
          if (!Ended)
            asio::async_read(Peer, asio::dynamic_buffer(Answer),
                             asio::transfer_at_least(1), Read);
        };
    Read({}, 0);
    runUntil(Loop_, [&] { return Ended; });
    CHECK(Answer.find("served") == std::string::npos);
  }
}

TEST_CASE_FIXTURE(Fixture, "an address that cannot be bound is an error") {
  openHolding();
  for (auto [Address, Port] :
       {std::pair<const char *, uint16_t>{"127.0.0.1", Server_->port()},
        {"localhost", 0},
        {"192.0.2.1", 0}})
    CHECK_FALSE(http::openServer(Loop_, Address, Port, {}, {}));
}

// Guards against connections that outlive the event loop.
TEST_CASE("a responder may outlive its server, the client and the loop") {
  for (bool Begun : {false, true}) {
    std::vector<std::shared_ptr<http::Responder>> Held;
    auto Loop = std::make_unique<asio::io_context>();
    auto Client = http::makeClient(*Loop, 0);
    auto Opened =
        http::openServer(*Loop, "127.0.0.1", 0, {},
                         [&](auto, auto R) { Held.push_back(std::move(R)); });
    REQUIRE(Opened);
    http::ClientRequest Request;
    Request.Url_ = "http://127.0.0.1:" + std::to_string((*Opened)->port());
    auto Running = Client->send(Request, [](auto) {});
    runUntil(*Loop, [&] { return Held.size() == 1; });
    if (Begun)
      Held[0]->begin(200, {});
    Opened->reset();
    Client.reset();
    Loop.reset();
    Held[0]->write("late");
    Held[0]->send({});
  }
}

// With two requests of one connection in progress nothing is read from it, so
// nothing but the registry keeps the connection.
TEST_CASE_FIXTURE(Fixture, "pipelined requests get their answers in order") {
  openHolding();
  asio::ip::tcp::socket Peer(Loop_);
  Peer.connect({asio::ip::address_v4::loopback(), Server_->port()});
  asio::write(Peer, asio::buffer(std::string(
                        "GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n")));
  runUntil(Loop_, [&] { return Held_.size() == 2; });
  Held_[1]->send({200, {}, "second"});
  Held_[0]->send({200, {}, "first"});
  std::string Got;
  asio::async_read_until(Peer, asio::dynamic_buffer(Got), "second",
                         [](auto, std::size_t) {});
  runUntil(Loop_, [&] { return Got.find("second") != std::string::npos; });
  CHECK(Got.find("first") < Got.find("second"));
}
