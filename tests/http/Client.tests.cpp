#include "http/Client.h"

#include "support/LoopFakes.h"

#include <optional>

using namespace crocuslead;
using http::ExchangeFailure;
using tests::okAnswer;
using tests::RawServer;
using tests::runUntil;
using tests::Then;

namespace {

struct Fixture {
  asio::io_context Loop_;
  std::unique_ptr<http::Client> Client_ = http::makeClient(Loop_, 0);

  http::ExchangeResult call(http::ClientRequest Request) {
    std::optional<http::ExchangeResult> Got;
    auto Running =
        Client_->send(std::move(Request), [&](auto R) { Got = std::move(R); });
    runUntil(Loop_, [&] { return Got.has_value(); });
    return *Got;
  }
  http::ExchangeResult get(const std::string &Url) {
    http::ClientRequest Request;
    Request.Url_ = Url;
    return call(Request);
  }
  http::ExchangeResult post(const std::string &Url, std::string Body) {
    http::ClientRequest Request;
    Request.Method_ = "POST";
    Request.Url_ = Url;
    Request.Body_ = std::move(Body);
    return call(Request);
  }
};

} // namespace

// Guards against answers that are cut short and pass for whole ones (P5).
TEST_CASE_FIXTURE(Fixture, "an answer that is cut short is truncated") {
  for (const char *Cut :
       {"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nshort",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10\r\nshort",
        "HTTP/1.1 200 OK\r\n\r\nwithout a length",
        "HTTP/1.0 200 OK\r\nConnection: close\r\n\r\nwithout a length"})
    for (Then How : {Then::Close, Then::Reset}) {
      CAPTURE(Cut);
      RawServer Fake(Loop_, {{Cut, How}});
      auto Result = get(Fake.url());
      // A reset may overtake the header that was sent before it.
      if (How == Then::Reset && Result.BytesReceived_ == 0)
        CHECK(Result.Failure_ == ExchangeFailure::Reset);
      else
        CHECK(Result.Failure_ == ExchangeFailure::Truncated);
    }
}

TEST_CASE_FIXTURE(Fixture, "a connection lost before the answer header ends is "
                           "a reset") {
  for (const char *Partial :
       {"", "HTTP/1.1 200 OK\r\nContent-Le", "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 100 Continue\r\n\r\n", "no HTTP at all\r\n\r\n"})
    for (Then How : {Then::Close, Then::Reset}) {
      CAPTURE(Partial);
      RawServer Fake(Loop_, {{Partial, How}});
      CHECK(post(Fake.url(), "x").Failure_ == ExchangeFailure::Reset);
    }
}

TEST_CASE_FIXTURE(Fixture, "a refused connection sends nothing") {
  uint16_t Port = RawServer(Loop_, {{"", Then::Close}}).port();
  auto Result = post("http://127.0.0.1:" + std::to_string(Port) + "/", "x");
  CHECK(Result.Failure_ == ExchangeFailure::ConnectFailed);
  CHECK(Result.BytesSent_ == 0);
}

// Guards against libcurl's own retry, which sends a request a second time on a
// new connection when a reused one closes before the answer (P7).
TEST_CASE_FIXTURE(Fixture, "a request other than GET is sent once when the "
                           "server closes the reused connection") {
  for (const char *Body : {"", "charge"})
    for (Then How : {Then::Close, Then::Reset}) {
      CAPTURE(Body);
      RawServer Fake(Loop_, {{okAnswer("first")}, {"", How}, {okAnswer("no")}});
      CHECK(post(Fake.url(), "a").Answer_.Body_ == "first");
      auto Second = post(Fake.url("/second"), Body);
      CHECK(Second.Failure_ == ExchangeFailure::Reset);
      CHECK(Fake.Requests_.size() == 2);
    }
}

// Guards against ConnectFailed, which stands for "nothing was sent", when
// libcurl reconnects in vain after it sent the request on a reused connection.
TEST_CASE_FIXTURE(Fixture, "a request that was sent is never reported as not "
                           "sent when the server stops listening") {
  for (const char *Method : {"POST", "GET", "PUT"}) {
    RawServer Fake(Loop_, {{okAnswer("first")}, {"", Then::CloseAll}});
    CHECK(post(Fake.url(), "a").Answer_.Body_ == "first");
    http::ClientRequest Request;
    Request.Method_ = Method;
    Request.Url_ = Fake.url();
    CHECK(call(Request).Failure_ == ExchangeFailure::Reset);
    CHECK(Fake.Requests_.size() == 2);
  }
}

TEST_CASE_FIXTURE(Fixture, "a GET is repeated when the server closed the "
                           "reused connection") {
  RawServer Fake(Loop_,
                 {{okAnswer("first")}, {"", Then::Close}, {okAnswer("third")}});
  CHECK(get(Fake.url()).Answer_.Body_ == "first");
  CHECK(get(Fake.url()).Answer_.Body_ == "third");
}

TEST_CASE_FIXTURE(Fixture, "connections are reused") {
  RawServer Fake(Loop_, {{okAnswer("x")}});
  for (int I = 0; I < 20; ++I)
    CHECK(post(Fake.url(), std::to_string(I)).Failure_ ==
          ExchangeFailure::None);
  CHECK(Fake.Connections_ == 1);
}

TEST_CASE_FIXTURE(Fixture, "an answer that does not come times out") {
  RawServer Fake(Loop_, {{""}});
  http::ClientRequest Request;
  Request.Url_ = Fake.url();
  Request.Timeout_ = std::chrono::milliseconds(50);
  CHECK(call(Request).Failure_ == ExchangeFailure::TimedOut);
}

TEST_CASE_FIXTURE(Fixture, "an answer above the limit is refused") {
  RawServer Fake(Loop_, {{okAnswer(std::string(5000, 'x'))}});
  http::ClientRequest Request;
  Request.Url_ = Fake.url();
  Request.MaxAnswerBytes_ = 4999;
  CHECK(call(Request).Failure_ == ExchangeFailure::TooLarge);
  Request.MaxAnswerBytes_ = 5000;
  CHECK(call(Request).Failure_ == ExchangeFailure::None);
}

TEST_CASE_FIXTURE(Fixture, "headers and bytes are those on the wire") {
  std::string Answer = okAnswer("hello");
  RawServer Fake(Loop_, {{Answer}});
  http::ClientRequest Request;
  Request.Method_ = "PUT";
  Request.Url_ = Fake.url("/a?b=c");
  Request.Headers_ = {{"X-Empty", ""},
                      {"X-Bad", "a\r\nX-Injected: 1"},
                      {"Content-Length", "99"},
                      {"Content-Type", "text/plain"}};
  Request.Body_ = std::string("a\0b", 3);
  auto Result = call(Request);
  REQUIRE(Fake.Requests_.size() == 1);
  CHECK(
      Fake.Requests_[0] ==
      "PUT /a?b=c HTTP/1.1\r\nHost: 127.0.0.1:" + std::to_string(Fake.port()) +
          "\r\nX-Empty:\r\nContent-Type: text/plain\r\nContent-Length: 3"
          "\r\n\r\n" +
          std::string("a\0b", 3));
  CHECK(Result.BytesSent_ == Fake.Requests_[0].size());
  CHECK(Result.BytesReceived_ == Answer.size());
  CHECK(Client_->counters().BytesSent_ == Result.BytesSent_);
  CHECK(Client_->counters().BytesReceived_ == Result.BytesReceived_);
}

TEST_CASE_FIXTURE(Fixture, "a destroyed exchange does not call back") {
  RawServer Fake(Loop_, {{okAnswer("x")}});
  http::ClientRequest Request;
  Request.Url_ = Fake.url();
  bool Called = false;
  auto Running = Client_->send(Request, [&](auto) { Called = true; });
  Running.reset();
  CHECK(get(Fake.url()).Failure_ == ExchangeFailure::None);
  CHECK_FALSE(Called);
}

// Guards against calls into libcurl from its own callbacks.
TEST_CASE_FIXTURE(Fixture, "a stream can be cancelled and another exchange "
                           "started from its own callbacks") {
  RawServer Fake(Loop_, {{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                          "\r\n5\r\nhello\r\n"},
                         {okAnswer("second")}});
  http::ClientRequest Request;
  Request.Url_ = Fake.url();
  std::unique_ptr<http::Exchange> Running;
  std::unique_ptr<http::Exchange> Next;
  std::string Got;
  http::StreamSink Sink;
  Sink.OnData_ = [&](std::string_view Data) {
    Got.append(Data);
    Running.reset();
    Next = Client_->send(Request, [&](auto R) { Got += R.Answer_.Body_; });
  };
  Running = Client_->stream(Request, Sink, [&](auto) { Got += "never"; });
  runUntil(Loop_, [&] { return Got == "hellosecond"; });
}

TEST_CASE_FIXTURE(Fixture, "the client can be destroyed from a callback") {
  RawServer Fake(Loop_, {{okAnswer("x")}});
  http::ClientRequest Request;
  Request.Url_ = Fake.url();
  bool Called = false;
  auto One = Client_->send(Request, [&](auto) {
    Called = true;
    Client_.reset();
  });
  Request.Url_ = "http://127.0.0.1:1/";
  runUntil(Loop_, [&] { return Called; });
}

TEST_CASE_FIXTURE(Fixture, "an exception of a callback stays out of the loop") {
  RawServer Fake(Loop_, {{okAnswer("x")}});
  http::ClientRequest Request;
  Request.Url_ = Fake.url();
  bool Called = false;
  auto One = Client_->send(Request, [&](auto) {
    Called = true;
    throw std::runtime_error("from the receiver");
  });
  runUntil(Loop_, [&] { return Called; });
}

TEST_CASE("the limit of connections to one address holds") {
  asio::io_context Loop;
  auto Client = http::makeClient(Loop, 2);
  RawServer Fake(Loop, {{okAnswer("x")}});
  std::vector<std::unique_ptr<http::Exchange>> All;
  int Done = 0;
  for (int I = 0; I < 10; ++I) {
    http::ClientRequest Request;
    Request.Url_ = Fake.url();
    All.push_back(Client->send(Request, [&](auto R) {
      Done += R.Failure_ == ExchangeFailure::None ? 1 : 0;
    }));
  }
  runUntil(Loop, [&] { return Done == 10; });
  CHECK(Fake.Connections_ == 2);
}

// Guards against exchanges that wait for a connection beyond their time.
TEST_CASE("an exchange that waits for a connection times out unsent") {
  asio::io_context Loop;
  auto Client = http::makeClient(Loop, 1);
  RawServer Fake(Loop, {{""}});
  http::ClientRequest Request;
  Request.Method_ = "POST";
  Request.Url_ = Fake.url();
  Request.Timeout_ = std::chrono::hours(1);
  auto First = Client->send(Request, [](auto) {});
  runUntil(Loop, [&] { return Fake.Requests_.size() == 1; });
  Request.Timeout_ = std::chrono::milliseconds(50);
  std::optional<ExchangeFailure> Got;
  auto Second = Client->send(Request, [&](auto R) { Got = R.Failure_; });
  runUntil(Loop, [&] { return Got.has_value(); });
  CHECK(*Got == ExchangeFailure::ConnectFailed);
  CHECK(Fake.Requests_.size() == 1);
}

// Guards against ConnectFailed for a request whose body was on its way.
TEST_CASE_FIXTURE(Fixture, "a connection lost while the body is sent is a "
                           "reset") {
  asio::ip::tcp::acceptor Listener(Loop_,
                                   {asio::ip::address_v4::loopback(), 0});
  Listener.async_accept([](auto, asio::ip::tcp::socket S) {
    S.set_option(asio::socket_base::linger(true, 0));
  });
  auto Port = std::to_string(Listener.local_endpoint().port());
  auto Result = post("http://127.0.0.1:" + Port + "/",
                     std::string(std::size_t{32} << 20U, 'x'));
  CHECK(Result.Failure_ == ExchangeFailure::Reset);
}
