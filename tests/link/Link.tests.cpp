#include "link/LinkFixture.h"

using namespace crocuslead;
using tests::Node;
using tests::RawClient;
using tests::runUntil;

namespace {

link::Ping pingOf(uint64_t Sequence) {
  link::Ping Out;
  Out.Sequence_ = Sequence;
  return Out;
}

bool connected(const Node &A, const std::string &B) {
  return A.Link_->isConnected(B);
}

using Strings = std::vector<std::string>;

} // namespace

TEST_CASE("three links connect pairwise and carry messages both ways") {
  asio::io_context Loop;
  Node A(Loop, "a", "of-a");
  Node B(Loop, "b");
  Node C(Loop, "c");
  runUntil(Loop, [&] {
    return connected(A, "b") && connected(B, "a") && connected(A, "c") &&
           connected(C, "a") && connected(B, "c") && connected(C, "b");
  });
  CHECK(A.Link_->send("b", pingOf(1)));
  CHECK(B.Link_->send("a", pingOf(2)));
  CHECK_FALSE(A.Link_->send("unknown", pingOf(3)));
  runUntil(Loop, [&] { return !A.Received_.empty() && !B.Received_.empty(); });
  CHECK(std::get<link::Ping>(A.Received_[0]).Sequence_ == 2);
  CHECK(std::get<link::Ping>(B.Received_[0]).Sequence_ == 1);
  CHECK(B.Incarnations_["a"] == "of-a");
  CHECK(B.Link_->counters().HandshakesFailed_ == 0);
}

TEST_CASE("instances with different keys never connect") {
  asio::io_context Loop;
  Node A(Loop, "a", "i1", "another key of 16");
  Node B(Loop, "b");
  // The second failure shows that the connector tries again.
  runUntil(Loop, [&] { return B.Link_->counters().HandshakesFailed_ >= 2; });
  CHECK(A.Changes_.empty());
  CHECK(B.Changes_.empty());
}

// Guards against input that is used before its sender is known.
TEST_CASE("a frame before verification closes the connection") {
  asio::io_context Loop;
  Node B(Loop, "b");
  RawClient Client(Loop, "b");
  Client.send(link::encode(pingOf(1)));
  runUntil(Loop, [&] { return Client.closed(); });
  CHECK(B.Received_.empty());
  CHECK(B.Link_->counters().HandshakesFailed_ == 1);
}

TEST_CASE("a large frame before verification closes the connection") {
  asio::io_context Loop;
  Node B(Loop, "b");
  RawClient Client(Loop, "b");
  Client.send(std::string(4096, 'x'));
  runUntil(Loop, [&] { return Client.closed(); });
  CHECK(B.Link_->counters().HandshakesFailed_ == 1);
}

TEST_CASE("a silent connection is closed after the handshake timeout") {
  asio::io_context Loop;
  Node B(Loop, "b");
  RawClient Client(Loop, "b");
  runUntil(Loop, [&] { return Client.closed(); });
  CHECK(B.Link_->counters().HandshakesFailed_ == 1);
}

// Guards against recorded frames that open a connection later.
TEST_CASE("a replayed handshake is refused") {
  asio::io_context Loop;
  Node B(Loop, "b");
  Strings Frames;
  {
    RawClient Honest(Loop, "b");
    Frames = Honest.verify();
    runUntil(Loop, [&] { return B.Changes_ == Strings{"a+"}; });
  }
  runUntil(Loop, [&] { return B.Changes_ == Strings{"a+", "a-"}; });
  RawClient Attacker(Loop, "b");
  for (const std::string &Frame : Frames)
    Attacker.send(Frame);
  runUntil(Loop, [&] { return Attacker.closed(); });
  CHECK(B.Changes_ == Strings{"a+", "a-"});
  CHECK(B.Link_->counters().HandshakesFailed_ == 1);
}

// Guards against a queue that grows without bound, and against an older message
// that is dropped for a newer one.
TEST_CASE("a full queue refuses the new message and keeps the old ones") {
  asio::io_context Loop;
  Node A(Loop, "a");
  Node B(Loop, "b");
  runUntil(Loop, [&] { return connected(A, "b") && connected(B, "a"); });
  // Nothing is written while the loop does not run.
  uint64_t Accepted = 0;
  while (A.Link_->send("b", pingOf(Accepted)))
    ++Accepted;
  CHECK(Accepted == 1024);
  CHECK(A.Link_->counters().FramesRefused_ == 1);
  runUntil(Loop, [&] { return B.Received_.size() == Accepted; });
  CHECK(std::get<link::Ping>(B.Received_.back()).Sequence_ == Accepted - 1);

  link::OperatorCall Large;
  Large.Body_ = std::string(600'000, 'x');
  CHECK(A.Link_->send("b", Large));
  CHECK_FALSE(A.Link_->send("b", Large));
  CHECK(A.Link_->send("b", pingOf(1)));
  runUntil(Loop, [&] { return B.Received_.size() == Accepted + 2; });
  Large.Body_ = std::string(1U << 20U, 'x');
  CHECK_FALSE(A.Link_->send("b", Large));
  CHECK(A.Link_->counters().FramesRefused_ == 3);
}

TEST_CASE("a restarted instance connects again with its new incarnation") {
  asio::io_context Loop;
  Node A(Loop, "a");
  auto B = std::make_unique<Node>(Loop, "b", "first");
  runUntil(Loop, [&] { return connected(A, "b"); });
  B.reset();
  runUntil(Loop, [&] { return !connected(A, "b"); });
  CHECK_FALSE(A.Link_->send("b", pingOf(1)));
  B = std::make_unique<Node>(Loop, "b", "second");
  runUntil(Loop, [&] { return connected(A, "b") && connected(*B, "a"); });
  CHECK(B->Link_->send("a", pingOf(2)));
  runUntil(Loop, [&] { return !A.Received_.empty(); });
  CHECK(A.Incarnations_["b"] == "second");
  CHECK(A.Changes_ == Strings{"b+", "b-", "b+"});

  // The connector's restart is told from the listener's side.
  Node C(Loop, "c");
  runUntil(Loop, [&] { return connected(C, "b"); });
  B.reset();
  B = std::make_unique<Node>(Loop, "b", "third");
  runUntil(Loop, [&] {
    return C.Changes_.size() >= 4 && connected(C, "b") && connected(*B, "c");
  });
}

TEST_CASE("malformed frames are counted and the tenth closes") {
  asio::io_context Loop;
  Node B(Loop, "b");
  RawClient Client(Loop, "b");
  Client.verify();
  for (int I = 0; I < 9; ++I)
    Client.send("\xff");
  Client.send(link::encode(pingOf(4)));
  runUntil(Loop, [&] { return B.Received_.size() == 1; });
  CHECK(B.Link_->counters().FramesMalformed_ == 9);
  CHECK(connected(B, "a"));
  Client.send("");
  runUntil(Loop, [&] { return Client.closed(); });
  CHECK(B.Link_->counters().FramesMalformed_ == 10);
  CHECK(B.Changes_ == Strings{"a+", "a-"});
}

TEST_CASE("a frame above 1 MiB closes the connection") {
  asio::io_context Loop;
  Node B(Loop, "b");
  RawClient Client(Loop, "b");
  Client.verify();
  Client.send(std::string((1U << 20U) + 1, 'x'));
  runUntil(Loop, [&] { return B.Changes_ == Strings{"a+", "a-"}; });
  CHECK(B.Link_->counters().FramesMalformed_ == 1);
}

// Guards against a dead connection that keeps a restarted peer out.
TEST_CASE("a newer verified connection replaces the older one") {
  asio::io_context Loop;
  Node B(Loop, "b");
  RawClient First(Loop, "b");
  First.verify();
  RawClient Second(Loop, "b");
  Second.verify();
  runUntil(Loop, [&] { return First.closed(); });
  CHECK(B.Changes_ == Strings{"a+", "a-", "a+"});
  CHECK(connected(B, "a"));
  Second.send(link::encode(pingOf(1)));
  runUntil(Loop, [&] { return B.Received_.size() == 1; });
}

// Guards against a handler that outlives the link, and against a loop that
// never ends because of a closed link.
TEST_CASE("a closed link leaves no work and reports nothing more") {
  asio::io_context Loop;
  {
    Node A(Loop, "a");
    Node B(Loop, "b");
    runUntil(Loop, [&] { return connected(A, "b") && connected(B, "a"); });
    A.Link_->send("b", pingOf(1));
    A.Link_->close();
    CHECK_FALSE(A.Link_->send("b", pingOf(2)));
    CHECK(A.Changes_ == Strings{"b+"});
  }
  Loop.restart();
  Loop.run();
  CHECK(Loop.poll() == 0);
}

TEST_CASE("a link is refused without key, or with a host name") {
  asio::io_context Loop;
  auto Open = [&](link::LinkSettings Settings) {
    return link::openLink(Loop, std::move(Settings), nullptr, nullptr)
        .has_value();
  };
  link::LinkSettings Good{
      "a", "i", tests::addressOf("a"), tests::SharedKey, {}};
  link::LinkSettings NoKey = Good;
  NoKey.SharedKey_.clear();
  CHECK_FALSE(Open(NoKey));
  link::LinkSettings Named = Good;
  Named.Peers_ = {{"b", "localhost:1"}};
  CHECK_FALSE(Open(Named));
  link::LinkSettings BadListen = Good;
  BadListen.ListenAddress_ = "localhost:1";
  CHECK_FALSE(Open(BadListen));
  CHECK(Open(Good));
}
