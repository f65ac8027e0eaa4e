#include "link/internal/Handshake.h"

#include "link/internal/Codec.h"
#include <array>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

namespace crocuslead::link::internal {

namespace {

//! Length before content, so that no two lists of parts give the same text.
void append(std::string &Out, const std::string &Part) {
  auto Size = static_cast<uint32_t>(Part.size());
  for (unsigned Shift : {24U, 16U, 8U, 0U})
    Out += static_cast<char>((Size >> Shift) & 0xFFU);
  Out += Part;
}

bool equalInConstantTime(const std::string &A, const std::string &B) {
  return A.size() == B.size() &&
         CRYPTO_memcmp(A.data(), B.data(), A.size()) == 0;
}

} // namespace

Handshake::Handshake(Role Own, Identity Self, std::string Nonce,
                     IsExpected Expected)
    : Own_(Own), Self_(std::move(Self)), Nonce_(std::move(Nonce)),
      Expected_(std::move(Expected)) {}

std::optional<std::string> Handshake::open() const {
  if (Own_ == Role::Connector)
    return helloFrame();
  return std::nullopt;
}

std::optional<std::string> Handshake::receive(const std::string &Frame) {
  if (State_ != State::Running)
    return std::nullopt;
  return HasHello_ ? receiveProof(Frame) : receiveHello(Frame);
}

std::optional<std::string> Handshake::receiveHello(const std::string &Frame) {
  if (!decodeRecord(Frame, Peer_))
    return fail("the first frame is no hello");
  if (Peer_.Version_ != ProtocolVersion)
    return fail("another protocol version");
  // The same nonce means that our own frames come back to us.
  if (Peer_.Nonce_.size() != NonceBytes || Peer_.Nonce_ == Nonce_)
    return fail("an unusable nonce");
  if (Peer_.Incarnation_.empty() || !Expected_(Peer_.Id_))
    return fail("an unexpected peer id");
  HasHello_ = true;
  return Own_ == Role::Connector ? proofFrame() : helloFrame();
}

std::optional<std::string> Handshake::receiveProof(const std::string &Frame) {
  HelloProof Proof;
  if (!decodeRecord(Frame, Proof))
    return fail("the second frame is no proof");
  Role Prover = Own_ == Role::Connector ? Role::Listener : Role::Connector;
  if (!equalInConstantTime(Proof.Mac_, mac(Prover)))
    return fail("a wrong proof");
  State_ = State::Verified;
  if (Own_ == Role::Listener)
    return proofFrame();
  return std::nullopt;
}

std::optional<std::string> Handshake::fail(const char *Why) {
  State_ = State::Failed;
  Failure_ = Why;
  return std::nullopt;
}

std::string Handshake::helloFrame() const {
  return encodeRecord(
      Hello{Self_.Id_, Self_.Incarnation_, ProtocolVersion, Nonce_});
}

std::string Handshake::proofFrame() const {
  return encodeRecord(HelloProof{mac(Own_)});
}

std::string Handshake::mac(Role Prover) const {
  bool Connects = Own_ == Role::Connector;
  const std::string &PeerId = Peer_.Id_;
  const std::string &PeerIncarnation = Peer_.Incarnation_;
  std::string Signed = "crocuslead link proof 1";
  // The role keeps a proof from being sent back to its maker.
  Signed += Prover == Role::Connector ? 'C' : 'L';
  append(Signed, Connects ? Self_.Id_ : PeerId);
  append(Signed, Connects ? PeerId : Self_.Id_);
  append(Signed, Connects ? Self_.Incarnation_ : PeerIncarnation);
  append(Signed, Connects ? PeerIncarnation : Self_.Incarnation_);
  append(Signed, Connects ? Nonce_ : Peer_.Nonce_);
  append(Signed, Connects ? Peer_.Nonce_ : Nonce_);
  std::array<unsigned char, EVP_MAX_MD_SIZE> Digest{};
  unsigned Size = 0;
  HMAC(EVP_sha256(), Self_.SharedKey_.data(),
       static_cast<int>(Self_.SharedKey_.size()),
       reinterpret_cast<const unsigned char *>(Signed.data()), Signed.size(),
       Digest.data(), &Size);
  return {Digest.begin(), Digest.begin() + Size};
}

std::optional<std::string> makeNonce() {
  std::array<unsigned char, NonceBytes> Bytes{};
  if (RAND_bytes(Bytes.data(), static_cast<int>(Bytes.size())) != 1)
    return std::nullopt;
  return std::string(Bytes.begin(), Bytes.end());
}

} // namespace crocuslead::link::internal
