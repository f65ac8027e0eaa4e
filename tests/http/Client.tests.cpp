#include "http/Client.h"

#include "base/Random.h"
#include "support/LoopFakes.h"

#include <algorithm>
#include <map>
#include <optional>

using namespace crocuslead;
using http::ExchangeFailure;
using tests::okAnswer;
using tests::RawServer;
using tests::runUntil;
using tests::Then;

namespace {

//! Maker is a function object that makes the client for a loop.
template <typename Maker> struct Fixture {
  asio::io_context Loop_;
  decltype(Maker()(Loop_)) Client_ = Maker()(Loop_);

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

struct MakeCurlClient {
  auto operator()(asio::io_context &Loop) const {
    return http::makeClient(Loop, 0);
  }
};

struct MakePooledClient {
  auto operator()(asio::io_context &Loop) const {
    return http::makePooledClient(Loop);
  }
};

using CurlFixture = Fixture<MakeCurlClient>;
using PooledFixture = Fixture<MakePooledClient>;

} // namespace

// Guards against answers that are cut short and pass for whole ones (P5).
TEST_CASE_TEMPLATE("an answer that is cut short is truncated", F, CurlFixture,
                   PooledFixture) {
  F Test;
  for (const char *Cut :
       {"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nshort",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10\r\nshort",
        "HTTP/1.1 200 OK\r\n\r\nwithout a length",
        "HTTP/1.0 200 OK\r\nConnection: close\r\n\r\nwithout a length"})
    for (Then How : {Then::Close, Then::Reset}) {
      CAPTURE(Cut);
      RawServer Fake(Test.Loop_, {{Cut, How}});
      auto Result = Test.get(Fake.url());
      // A reset may overtake the header that was sent before it.
      if (How == Then::Reset && Result.BytesReceived_ == 0)
        CHECK(Result.Failure_ == ExchangeFailure::Reset);
      else
        CHECK(Result.Failure_ == ExchangeFailure::Truncated);
    }
}

TEST_CASE_TEMPLATE("a connection lost before the answer header ends is "
                   "a reset",
                   F, CurlFixture, PooledFixture) {
  F Test;
  for (const char *Partial :
       {"", "HTTP/1.1 200 OK\r\nContent-Le", "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 100 Continue\r\n\r\n", "no HTTP at all\r\n\r\n"})
    for (Then How : {Then::Close, Then::Reset}) {
      CAPTURE(Partial);
      RawServer Fake(Test.Loop_, {{Partial, How}});
      CHECK(Test.post(Fake.url(), "x").Failure_ == ExchangeFailure::Reset);
    }
}

TEST_CASE_TEMPLATE("a refused connection sends nothing", F, CurlFixture,
                   PooledFixture) {
  F Test;
  uint16_t Port = RawServer(Test.Loop_, {{"", Then::Close}}).port();
  auto Result =
      Test.post("http://127.0.0.1:" + std::to_string(Port) + "/", "x");
  CHECK(Result.Failure_ == ExchangeFailure::ConnectFailed);
  CHECK(Result.BytesSent_ == 0);
}

// Guards against libcurl's own retry, which sends a request a second time on a
// new connection when a reused one closes before the answer (P7).
TEST_CASE_TEMPLATE("a request other than GET is sent once when the "
                   "server closes the reused connection",
                   F, CurlFixture, PooledFixture) {
  F Test;
  for (const char *Body : {"", "charge"})
    for (Then How : {Then::Close, Then::Reset}) {
      CAPTURE(Body);
      RawServer Fake(Test.Loop_,
                     {{okAnswer("first")}, {"", How}, {okAnswer("no")}});
      CHECK(Test.post(Fake.url(), "a").Answer_.Body_ == "first");
      auto Second = Test.post(Fake.url("/second"), Body);
      CHECK(Second.Failure_ == ExchangeFailure::Reset);
      CHECK(Fake.Requests_.size() == 2);
    }
}

// Guards against ConnectFailed, which stands for "nothing was sent", when
// libcurl reconnects in vain after it sent the request on a reused connection.
TEST_CASE_TEMPLATE("a request that was sent is never reported as not "
                   "sent when the server stops listening",
                   F, CurlFixture, PooledFixture) {
  F Test;
  for (const char *Method : {"POST", "GET", "PUT"}) {
    RawServer Fake(Test.Loop_, {{okAnswer("first")}, {"", Then::CloseAll}});
    CHECK(Test.post(Fake.url(), "a").Answer_.Body_ == "first");
    http::ClientRequest Request;
    Request.Method_ = Method;
    Request.Url_ = Fake.url();
    CHECK(Test.call(Request).Failure_ == ExchangeFailure::Reset);
    CHECK(Fake.Requests_.size() == 2);
  }
}

TEST_CASE_TEMPLATE("a GET is repeated when the server closed the "
                   "reused connection",
                   F, CurlFixture, PooledFixture) {
  F Test;
  RawServer Fake(Test.Loop_,
                 {{okAnswer("first")}, {"", Then::Close}, {okAnswer("third")}});
  CHECK(Test.get(Fake.url()).Answer_.Body_ == "first");
  CHECK(Test.get(Fake.url()).Answer_.Body_ == "third");
}

TEST_CASE_TEMPLATE("connections are reused", F, CurlFixture, PooledFixture) {
  F Test;
  RawServer Fake(Test.Loop_, {{okAnswer("x")}});
  for (int I = 0; I < 20; ++I)
    CHECK(Test.post(Fake.url(), std::to_string(I)).Failure_ ==
          ExchangeFailure::None);
  CHECK(Fake.Connections_ == 1);
}

TEST_CASE_TEMPLATE("an answer that does not come times out", F, CurlFixture,
                   PooledFixture) {
  F Test;
  RawServer Fake(Test.Loop_, {{""}});
  http::ClientRequest Request;
  Request.Url_ = Fake.url();
  Request.Timeout_ = std::chrono::milliseconds(50);
  CHECK(Test.call(Request).Failure_ == ExchangeFailure::TimedOut);
}

TEST_CASE_TEMPLATE("an answer above the limit is refused", F, CurlFixture,
                   PooledFixture) {
  F Test;
  RawServer Fake(Test.Loop_, {{okAnswer(std::string(5000, 'x'))}});
  http::ClientRequest Request;
  Request.Url_ = Fake.url();
  Request.MaxAnswerBytes_ = 4999;
  CHECK(Test.call(Request).Failure_ == ExchangeFailure::TooLarge);
  Request.MaxAnswerBytes_ = 5000;
  CHECK(Test.call(Request).Failure_ == ExchangeFailure::None);
}

TEST_CASE_TEMPLATE("headers and bytes are those on the wire", F, CurlFixture,
                   PooledFixture) {
  F Test;
  std::string Answer = okAnswer("hello");
  RawServer Fake(Test.Loop_, {{Answer}});
  http::ClientRequest Request;
  Request.Method_ = "PUT";
  Request.Url_ = Fake.url("/a?b=c");
  Request.Headers_ = {{"X-Empty", ""},
                      {"X-Bad", "a\r\nX-Injected: 1"},
                      {"Content-Length", "99"},
                      {"Content-Type", "text/plain"}};
  Request.Body_ = std::string("a\0b", 3);
  auto Result = Test.call(Request);
  REQUIRE(Fake.Requests_.size() == 1);
  CHECK(
      Fake.Requests_[0] ==
      "PUT /a?b=c HTTP/1.1\r\nHost: 127.0.0.1:" + std::to_string(Fake.port()) +
          "\r\nX-Empty:\r\nContent-Type: text/plain\r\nContent-Length: 3"
          "\r\n\r\n" +
          std::string("a\0b", 3));
  CHECK(Result.BytesSent_ == Fake.Requests_[0].size());
  CHECK(Result.BytesReceived_ == Answer.size());
  CHECK(Test.Client_->counters().BytesSent_ == Result.BytesSent_);
  CHECK(Test.Client_->counters().BytesReceived_ == Result.BytesReceived_);
}

TEST_CASE_TEMPLATE("a destroyed exchange does not call back", F, CurlFixture,
                   PooledFixture) {
  F Test;
  RawServer Fake(Test.Loop_, {{okAnswer("x")}});
  http::ClientRequest Request;
  Request.Url_ = Fake.url();
  bool Called = false;
  auto Running = Test.Client_->send(Request, [&](auto) { Called = true; });
  Running.reset();
  CHECK(Test.get(Fake.url()).Failure_ == ExchangeFailure::None);
  CHECK_FALSE(Called);
}

// Guards against calls into libcurl from its own callbacks.
TEST_CASE_FIXTURE(CurlFixture, "a stream can be cancelled and another exchange "
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

TEST_CASE_TEMPLATE("the client can be destroyed from a callback", F,
                   CurlFixture, PooledFixture) {
  F Test;
  RawServer Fake(Test.Loop_, {{okAnswer("x")}});
  http::ClientRequest Request;
  Request.Url_ = Fake.url();
  bool Called = false;
  auto One = Test.Client_->send(Request, [&](auto) {
    Called = true;
    Test.Client_.reset();
  });
  Request.Url_ = "http://127.0.0.1:1/";
  runUntil(Test.Loop_, [&] { return Called; });
}

TEST_CASE_TEMPLATE("an exception of a callback stays out of the loop", F,
                   CurlFixture, PooledFixture) {
  F Test;
  RawServer Fake(Test.Loop_, {{okAnswer("x")}});
  http::ClientRequest Request;
  Request.Url_ = Fake.url();
  bool Called = false;
  auto One = Test.Client_->send(Request, [&](auto) {
    Called = true;
    throw std::runtime_error("from the receiver");
  });
  runUntil(Test.Loop_, [&] { return Called; });
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
TEST_CASE_TEMPLATE("a connection lost while the body is sent is a "
                   "reset",
                   F, CurlFixture, PooledFixture) {
  F Test;
  asio::ip::tcp::acceptor Listener(Test.Loop_,
                                   {asio::ip::address_v4::loopback(), 0});
  Listener.async_accept([](auto, asio::ip::tcp::socket S) {
    S.set_option(asio::socket_base::linger(true, 0));
  });
  auto Port = std::to_string(Listener.local_endpoint().port());
  auto Result = Test.post("http://127.0.0.1:" + Port + "/",
                          std::string(std::size_t{32} << 20U, 'x'));
  CHECK(Result.Failure_ == ExchangeFailure::Reset);
}

TEST_CASE_TEMPLATE("a connection that its server closed while idle is not used",
                   F, CurlFixture, PooledFixture) {
  F Test;
  RawServer Fake(Test.Loop_,
                 {{okAnswer("first"), Then::Close}, {okAnswer("second")}});
  CHECK(Test.post(Fake.url(), "a").Answer_.Body_ == "first");
  Test.Loop_.restart();
  Test.Loop_.run_for(std::chrono::milliseconds(20));
  CHECK(Test.post(Fake.url(), "b").Answer_.Body_ == "second");
}

// Guards against one timeout after another on connections that a fault of the
// path has silenced.
TEST_CASE_FIXTURE(PooledFixture, "after a timeout an address gets a new "
                                 "connection") {
  RawServer Fake(Loop_,
                 {{okAnswer("1")}, {okAnswer("2")}, {""}, {okAnswer("4")}});
  http::ClientRequest Request;
  Request.Method_ = "POST";
  Request.Url_ = Fake.url();
  int Done = 0;
  auto First = Client_->send(Request, [&](auto) { ++Done; });
  auto Second = Client_->send(Request, [&](auto) { ++Done; });
  runUntil(Loop_, [&] { return Done == 2; });
  CHECK(Fake.Connections_ == 2);
  Request.Timeout_ = std::chrono::milliseconds(50);
  CHECK(call(Request).Failure_ == ExchangeFailure::TimedOut);
  CHECK(post(Fake.url(), "").Answer_.Body_ == "4");
  CHECK(Fake.Connections_ == 3);
}

TEST_CASE_FIXTURE(PooledFixture, "an answer to HEAD and interim answers leave "
                                 "the connection in order") {
  RawServer Fake(Loop_,
                 {{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"},
                  {"HTTP/1.1 100 Continue\r\n\r\n" + okAnswer("second")},
                  {"HTTP/1.1 204 No Content\r\n\r\n"},
                  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX: a \r\n"
                   "\r\n5\r\nchunk\r\n0\r\nTrailer: b\r\n\r\n"}});
  http::ClientRequest Request;
  Request.Method_ = "HEAD";
  Request.Url_ = Fake.url();
  CHECK(call(Request).Failure_ == ExchangeFailure::None);
  CHECK(get(Fake.url()).Answer_.Body_ == "second");
  CHECK(get(Fake.url()).Answer_.Status_ == 204);
  auto Last = get(Fake.url());
  CHECK(Last.Answer_.Body_ == "chunk");
  CHECK(*http::findHeader(Last.Answer_.Headers_, "x") == "a");
  CHECK(Fake.Connections_ == 1);
}

TEST_CASE_FIXTURE(PooledFixture, "data after an answer ends the connection") {
  RawServer Fake(Loop_, {{okAnswer("first") + "more"}, {okAnswer("second")}});
  CHECK(post(Fake.url(), "a").Answer_.Body_ == "first");
  CHECK(post(Fake.url(), "b").Answer_.Body_ == "second");
  CHECK(Fake.Connections_ == 2);
}

TEST_CASE_FIXTURE(PooledFixture,
                  "an address that is none is not connected to") {
  for (const char *Url : {"http://host/", "http://127.0.0.1/", "http:///",
                          "http://127.0.0.1:99999/", "http://127.0.0.1:1x/"}) {
    CAPTURE(Url);
    CHECK(get(Url).Failure_ == ExchangeFailure::ConnectFailed);
  }
}

TEST_CASE_FIXTURE(PooledFixture,
                  "on servers that fail at random, each exchange "
                  "ends once and no request arrives twice") {
  base::Random Random(7);
  std::vector<tests::Step> Steps;
  for (int I = 0; I < 400; ++I) {
    std::string Whole = okAnswer("x");
    bool Cut = Random.below(5) == 0;
    Steps.push_back({Cut ? Whole.substr(0, Random.below(Whole.size())) : Whole,
                     Random.below(3) != 0   ? Then::KeepOpen
                     : Random.below(2) == 0 ? Then::Close
                                            : Then::Reset});
  }
  RawServer Fake(Loop_, Steps);
  std::map<std::string, int> Ends;
  std::map<std::string, ExchangeFailure> Failures;
  std::vector<std::unique_ptr<http::Exchange>> Running;
  int Cancelled = 0;
  for (int I = 0; I < 300; ++I) {
    http::ClientRequest Request;
    Request.Method_ = "POST";
    Request.Url_ = Fake.url();
    Request.Body_ = "body" + std::to_string(I) + ";";
    Request.Timeout_ = std::chrono::milliseconds(50 + Random.below(200));
    Running.push_back(
        Client_->send(Request, [&, Name = Request.Body_](const auto &Result) {
          ++Ends[Name];
          Failures[Name] = Result.Failure_;
        }));
    if (Random.below(10) == 0 && Ends.count(Request.Body_) == 0) {
      Running.back().reset();
      ++Cancelled;
    }
    Loop_.restart();
    Loop_.run_for(std::chrono::microseconds(Random.below(1500)));
  }
  runUntil(Loop_, [&] {
    return Ends.size() + static_cast<std::size_t>(Cancelled) >= 300;
  });
  for (const auto &[Name, Count] : Ends) {
    CAPTURE(Name);
    CHECK(Count == 1);
    auto Arrived = std::count_if(
        Fake.Requests_.begin(), Fake.Requests_.end(), [&](const auto &Text) {
          return Text.find("\r\n\r\n" + Name) != std::string::npos;
        });
    CHECK(Arrived <= 1);
    if (Failures[Name] == ExchangeFailure::ConnectFailed)
      CHECK(Arrived == 0);
    if (Failures[Name] == ExchangeFailure::None)
      CHECK(Arrived == 1);
  }
}
