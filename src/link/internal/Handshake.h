#pragma once

#include "link/internal/Layout.h"

#include <functional>
#include <optional>
#include <string>

namespace crocuslead::link::internal {

inline constexpr uint32_t ProtocolVersion = 1;
inline constexpr std::size_t NonceBytes = 32;

//! Side of a connection.
enum class Role : uint8_t { Connector, Listener };

//! One side of the handshake of one connection:
//! connector: Hello; listener: Hello; connector: HelloProof; listener:
//! HelloProof. The listener proves itself last, so that nothing computed with
//! the key leaves an instance before its peer has proved to know it.
class Handshake {
public:
  enum class State : uint8_t { Running, Verified, Failed };

  struct Identity {
    std::string Id_;
    std::string Incarnation_;
    std::string SharedKey_;
  };
  //! Whether this instance expects a connection from a peer of that id.
  using IsExpected = std::function<bool(const std::string &PeerId)>;

  Handshake(Role Own, Identity Self, std::string Nonce, IsExpected Expected);

  //! Frame to send when the connection opens, if this side sends first.
  std::optional<std::string> open() const;
  //! Takes a frame and gives the one to send in reply, if any. Look at state()
  //! afterwards.
  std::optional<std::string> receive(const std::string &Frame);

  State state() const { return State_; }
  //! What went wrong, for the log.
  const char *failure() const { return Failure_; }
  //! Valid once verified.
  const std::string &peerId() const { return Peer_.Id_; }
  const std::string &peerIncarnation() const { return Peer_.Incarnation_; }

private:
  std::optional<std::string> receiveHello(const std::string &Frame);
  std::optional<std::string> receiveProof(const std::string &Frame);
  std::optional<std::string> fail(const char *Why);
  std::string helloFrame() const;
  std::string proofFrame() const;
  //! Proof of the side with this role.
  std::string mac(Role Prover) const;

  Role Own_;
  Identity Self_;
  std::string Nonce_;
  IsExpected Expected_;
  State State_ = State::Running;
  const char *Failure_ = "";
  bool HasHello_ = false;
  Hello Peer_;
};

//! Fresh random bytes; fails only when the system has no randomness.
std::optional<std::string> makeNonce();

} // namespace crocuslead::link::internal
