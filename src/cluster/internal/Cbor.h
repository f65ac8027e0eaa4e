#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace crocuslead::cluster::internal {

// The part of CBOR (RFC 8949) that worker messages need, with definite lengths
// only. nlohmann-json can neither write nor read maps with integer keys, and
// keys as text would add a byte to each field.

enum class CborType : uint8_t {
  Unsigned,
  Negative,
  Bytes,
  Text,
  Array,
  Map,
  Tag,
  Simple
};

class CborWriter {
public:
  void head(CborType Type, uint64_t Argument);
  void integer(int64_t Value);
  void text(std::string_view Value);
  void boolean(bool Value);
  void append(std::string_view Encoded) { Out_.append(Encoded); }
  std::string take() { return std::move(Out_); }

private:
  std::string Out_;
};

//! Reads items one after the other. Each call returns false, and reads nothing
//! useful, when the input is not of the expected form.
class CborReader {
public:
  explicit CborReader(std::string_view In) : In_(In) {}

  bool head(CborType &Type, uint64_t &Argument);
  //! Head of an array or map; Count cannot exceed what the input can hold.
  bool container(CborType Wanted, uint64_t &Count);
  bool integer(int64_t &Value);
  bool text(std::string &Value);
  bool boolean(bool &Value);
  //! Skips one item of any type.
  bool skip() { return skipNested(0); }
  bool atEnd() const { return In_.empty(); }

private:
  bool skipNested(int Depth);

  std::string_view In_;
};

} // namespace crocuslead::cluster::internal
