#include "http/Client.h"
#include "support/LoopFakes.h"

#include <chrono>
#include <doctest/doctest.h>
#include <optional>
#include <thread>

using namespace crocuslead;
using tests::okAnswer;
using tests::RawServer;
using tests::runUntil;

// Guards against a request that a process sends after a pause, long after the
// time that it was given: the check of a relay comes before the connection.
TEST_CASE("A request whose time passes during a pause is not sent") {
  asio::io_context Loop;
  auto Client = http::makePooledClient(Loop);
  RawServer Server(Loop, {{okAnswer("x")}});
  http::ClientRequest Request;
  Request.Method_ = "POST";
  Request.Url_ = Server.url("/");
  Request.Body_ = "start";
  Request.Timeout_ = std::chrono::milliseconds(700);
  Request.ConnectTimeout_ = std::chrono::milliseconds(400);
  std::optional<http::ExchangeResult> Got;
  auto Running = Client->send(
      std::move(Request), [&](http::ExchangeResult R) { Got = std::move(R); });
  std::this_thread::sleep_for(std::chrono::milliseconds(1500));
  runUntil(Loop, [&] { return Got.has_value(); });
  CHECK(Got->BytesSent_ == 0);
}
