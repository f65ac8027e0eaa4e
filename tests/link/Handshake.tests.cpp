#include "link/internal/Handshake.h"
#include "link/internal/Codec.h"

#include <doctest/doctest.h>

using namespace crocuslead::link::internal;

namespace {

using State = Handshake::State;

const std::string Key = "0123456789abcdef";

Handshake make(Role Own, const std::string &Id, const std::string &Peer,
               const std::string &Nonce, const std::string &SharedKey = Key,
               const std::string &Incarnation = "i") {
  return {Own,
          {Id, Incarnation, SharedKey},
          std::string(NonceBytes, Nonce[0]),
          [Peer](const std::string &Found) { return Found == Peer; }};
}

//! Runs a whole handshake; returns the frames in their order.
std::vector<std::string> run(Handshake &Connector, Handshake &Listener) {
  std::vector<std::string> Frames{*Connector.open()};
  for (bool ToListener = true; Frames.size() < 6; ToListener = !ToListener) {
    auto Reply = (ToListener ? Listener : Connector).receive(Frames.back());
    if (!Reply)
      break;
    Frames.push_back(*Reply);
  }
  return Frames;
}

} // namespace

TEST_CASE("two instances with the same key verify each other") {
  Handshake A = make(Role::Connector, "a", "b", "1");
  Handshake B = make(Role::Listener, "b", "a", "2");
  CHECK(run(A, B).size() == 4);
  CHECK(A.state() == State::Verified);
  CHECK(B.state() == State::Verified);
  CHECK(A.peerId() == "b");
  CHECK(B.peerIncarnation() == "i");
}

TEST_CASE("a wrong key, id or version ends the handshake") {
  Handshake A = make(Role::Connector, "a", "b", "1", "another key of 16");
  Handshake B = make(Role::Listener, "b", "a", "2");
  run(A, B);
  CHECK(B.state() == State::Failed);
  CHECK(A.state() == State::Running);

  Handshake Stranger = make(Role::Connector, "x", "b", "1");
  Handshake B2 = make(Role::Listener, "b", "a", "2");
  CHECK(run(Stranger, B2).size() == 1);
  CHECK(B2.state() == State::Failed);

  Handshake B3 = make(Role::Listener, "b", "a", "2");
  B3.receive(encodeRecord(Hello{"a", "i", 2, std::string(NonceBytes, '1')}));
  CHECK(B3.state() == State::Failed);
}

// Guards against recorded frames that open a connection later.
TEST_CASE("a replayed proof does not verify against a new nonce") {
  Handshake A = make(Role::Connector, "a", "b", "1");
  Handshake B = make(Role::Listener, "b", "a", "2");
  auto Frames = run(A, B);
  Handshake Later = make(Role::Listener, "b", "a", "3");
  Later.receive(Frames[0]);
  Later.receive(Frames[2]);
  CHECK(Later.state() == State::Failed);

  Handshake Restarted =
      make(Role::Listener, "b", "a", "2", Key, "next incarnation");
  Restarted.receive(Frames[0]);
  Restarted.receive(Frames[2]);
  CHECK(Restarted.state() == State::Failed);
}

// Guards against an attacker without the key who sends an instance's frames
// back to it, on the same or on a second connection.
TEST_CASE("reflected frames do not verify") {
  Handshake A = make(Role::Connector, "a", "b", "1");
  A.receive(*A.open());
  CHECK(A.state() == State::Failed);

  // The connector would accept a hello in the name of b, but its own proof must
  // not count as b's.
  Handshake A2 = make(Role::Connector, "a", "b", "1");
  auto Proof = A2.receive(encodeRecord(
      Hello{"b", "i", ProtocolVersion, std::string(NonceBytes, '2')}));
  REQUIRE(Proof);
  A2.receive(*Proof);
  CHECK(A2.state() == State::Failed);
}

TEST_CASE("frames out of order or after the end change nothing") {
  Handshake B = make(Role::Listener, "b", "a", "2");
  CHECK_FALSE(B.open());
  CHECK_FALSE(B.receive(encodeRecord(HelloProof{"x"})));
  CHECK(B.state() == State::Failed);
  CHECK_FALSE(B.receive(encodeRecord(
      Hello{"a", "i", ProtocolVersion, std::string(NonceBytes, '1')})));
  CHECK(B.state() == State::Failed);
}
