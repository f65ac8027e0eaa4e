#include "link/internal/CborCheck.h"

#include <cstdint>
#include <vector>

namespace crocuslead::link::internal {

namespace {

enum class Major : uint8_t {
  Unsigned,
  Negative,
  Bytes,
  Text,
  Array,
  Map,
  Tag,
  Simple
};

constexpr uint8_t SimpleFalse = 20;
constexpr uint8_t SimpleTrue = 21;

//! Reads the head of one item. Returns false on a cut or unsupported head.
bool readHead(std::string_view &Rest, Major &Kind, uint64_t &Argument) {
  if (Rest.empty())
    return false;
  auto First = static_cast<uint8_t>(Rest.front());
  Rest.remove_prefix(1);
  Kind = static_cast<Major>(First >> 5U);
  uint8_t Info = First & 0x1FU;
  if (Info < 24) {
    Argument = Info;
    return true;
  }
  if (Info > 27)
    return false;
  std::size_t Size = std::size_t{1} << (Info - 24U);
  if (Rest.size() < Size)
    return false;
  Argument = 0;
  for (std::size_t I = 0; I < Size; ++I)
    Argument = Argument << 8U | static_cast<uint8_t>(Rest[I]);
  Rest.remove_prefix(Size);
  return Kind != Major::Simple;
}

} // namespace

bool isPlainCbor(std::string_view Frame, int MaxDepth) {
  // Items that are still to come at each open level.
  std::vector<uint64_t> Open{1};
  while (!Open.empty()) {
    if (Open.back() == 0) {
      Open.pop_back();
      continue;
    }
    --Open.back();
    Major Kind{};
    uint64_t Argument = 0;
    if (!readHead(Frame, Kind, Argument))
      return false;
    if (Kind == Major::Tag ||
        (Kind == Major::Simple && Argument != SimpleFalse &&
         Argument != SimpleTrue))
      return false;
    if (Kind == Major::Bytes || Kind == Major::Text) {
      if (Argument > Frame.size())
        return false;
      Frame.remove_prefix(static_cast<std::size_t>(Argument));
    } else if (Kind == Major::Array || Kind == Major::Map) {
      // Every element takes at least one byte.
      if (Argument > Frame.size() || Open.size() > std::size_t(MaxDepth))
        return false;
      Open.push_back(Kind == Major::Map ? Argument * 2 : Argument);
    }
  }
  return Frame.empty();
}

} // namespace crocuslead::link::internal
