#include "cluster/internal/Cbor.h"

#include <limits>

namespace crocuslead::cluster::internal {

namespace {

constexpr unsigned TypeShift = 5;
constexpr unsigned ArgumentMask = 0x1F;
// Arguments below this value stand in the head itself; 24 to 27 announce 1, 2,
// 4 or 8 bytes.
constexpr uint64_t FirstLongArgument = 24;
constexpr uint64_t LastLongArgument = 27;
constexpr uint64_t SimpleFalse = 20;
constexpr uint64_t SimpleTrue = 21;
// Deeper nesting than any message has; bounds the recursion of skip().
constexpr int MaxDepth = 16;

constexpr auto Largest =
    static_cast<uint64_t>(std::numeric_limits<int64_t>::max());

} // namespace

void CborWriter::head(CborType Type, uint64_t Argument) {
  auto First = static_cast<unsigned>(Type) << TypeShift;
  if (Argument < FirstLongArgument) {
    Out_ += static_cast<char>(First | Argument);
    return;
  }
  unsigned SizeCode = 0;
  while (SizeCode < 3 && (Argument >> (8U << SizeCode)) != 0)
    ++SizeCode;
  Out_ += static_cast<char>(First | (FirstLongArgument + SizeCode));
  for (int Shift = (8 << SizeCode) - 8; Shift >= 0; Shift -= 8)
    Out_ += static_cast<char>(Argument >> Shift);
}

void CborWriter::integer(int64_t Value) {
  if (Value >= 0)
    head(CborType::Unsigned, static_cast<uint64_t>(Value));
  else
    head(CborType::Negative, ~static_cast<uint64_t>(Value));
}

void CborWriter::text(std::string_view Value) {
  head(CborType::Text, Value.size());
  Out_.append(Value);
}

void CborWriter::boolean(bool Value) {
  head(CborType::Simple, Value ? SimpleTrue : SimpleFalse);
}

bool CborReader::head(CborType &Type, uint64_t &Argument) {
  if (In_.empty())
    return false;
  auto First = static_cast<unsigned char>(In_.front());
  In_.remove_prefix(1);
  Type = static_cast<CborType>(First >> TypeShift);
  Argument = First & ArgumentMask;
  if (Argument < FirstLongArgument)
    return true;
  if (Argument > LastLongArgument)
    return false;
  std::size_t Size = std::size_t{1} << (Argument - FirstLongArgument);
  if (In_.size() < Size)
    return false;
  Argument = 0;
  for (std::size_t I = 0; I < Size; ++I)
    Argument = (Argument << 8) | static_cast<unsigned char>(In_[I]);
  In_.remove_prefix(Size);
  return true;
}

bool CborReader::container(CborType Wanted, uint64_t &Count) {
  CborType Type{};
  // Each element takes at least one byte.
  return head(Type, Count) && Type == Wanted && Count <= In_.size();
}

bool CborReader::integer(int64_t &Value) {
  CborType Type{};
  uint64_t Argument = 0;
  if (!head(Type, Argument) || Argument > Largest)
    return false;
  Value =
      static_cast<int64_t>(Type == CborType::Negative ? ~Argument : Argument);
  return Type == CborType::Unsigned || Type == CborType::Negative;
}

bool CborReader::text(std::string &Value) {
  CborType Type{};
  uint64_t Size = 0;
  if (!head(Type, Size) || Size > In_.size() ||
      (Type != CborType::Text && Type != CborType::Bytes))
    return false;
  Value.assign(In_.substr(0, Size));
  In_.remove_prefix(Size);
  return true;
}

bool CborReader::boolean(bool &Value) {
  CborType Type{};
  uint64_t Argument = 0;
  if (!head(Type, Argument) || Type != CborType::Simple)
    return false;
  Value = Argument == SimpleTrue;
  return Value || Argument == SimpleFalse;
}

bool CborReader::skipNested(int Depth) {
  CborType Type{};
  uint64_t Argument = 0;
  if (Depth > MaxDepth || !head(Type, Argument))
    return false;
  switch (Type) {
  case CborType::Bytes:
  case CborType::Text:
    if (Argument > In_.size())
      return false;
    In_.remove_prefix(Argument);
    return true;
  case CborType::Tag:
    return skipNested(Depth + 1);
  case CborType::Array:
  case CborType::Map: {
    uint64_t PerElement = Type == CborType::Map ? 2 : 1;
    if (Argument > In_.size() / PerElement)
      return false;
    for (uint64_t Left = Argument * PerElement; Left > 0; --Left)
      if (!skipNested(Depth + 1))
        return false;
    return true;
  }
  default:
    return true;
  }
}

} // namespace crocuslead::cluster::internal
