#include "link/Messages.h"
#include "link/internal/Handshake.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

using namespace crocuslead::link;

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *Data, std::size_t Size) {
  std::string Frame(reinterpret_cast<const char *>(Data), Size);
  if (auto Received = decode(Frame)) {
    std::string Once = encode(*Received);
    auto Again = decode(Once);
    if (!Again || encode(*Again) != Once)
      std::abort();
  }
  internal::Handshake Listener(internal::Role::Listener,
                               {"b", "i", "0123456789abcdef"},
                               std::string(internal::NonceBytes, 'n'),
                               [](const std::string &) { return true; });
  Listener.receive(Frame);
  Listener.receive(Frame);
  if (Listener.state() == internal::Handshake::State::Verified)
    std::abort();
  return 0;
}
