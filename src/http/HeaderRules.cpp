#include "http/internal/HeaderRules.h"

#include <algorithm>

namespace crocuslead::http {

namespace {

char lower(char C) {
  return C >= 'A' && C <= 'Z' ? static_cast<char>(C - 'A' + 'a') : C;
}

bool isTokenChar(char C) {
  constexpr std::string_view Marks = "!#$%&'*+-.^_`|~";
  return (C >= '0' && C <= '9') || (lower(C) >= 'a' && lower(C) <= 'z') ||
         Marks.find(C) != std::string_view::npos;
}

bool isValueChar(char C) {
  auto Byte = static_cast<unsigned char>(C);
  return Byte == '\t' || (Byte >= 0x20 && Byte != 0x7F);
}

} // namespace

namespace internal {

bool equalsIgnoringCase(std::string_view A, std::string_view B) {
  return std::equal(A.begin(), A.end(), B.begin(), B.end(),
                    [](char X, char Y) { return lower(X) == lower(Y); });
}

bool isFramingHeader(std::string_view Name) {
  constexpr std::string_view Names[] = {"connection",        "content-length",
                                        "transfer-encoding", "keep-alive",
                                        "upgrade",           "te",
                                        "trailer",           "expect"};
  return std::any_of(std::begin(Names), std::end(Names),
                     [&](auto N) { return equalsIgnoringCase(N, Name); });
}

bool isValidHeader(std::string_view Name, std::string_view Value) {
  return !Name.empty() && std::all_of(Name.begin(), Name.end(), isTokenChar) &&
         std::all_of(Value.begin(), Value.end(), isValueChar);
}

} // namespace internal

const std::string *findHeader(const Headers &All, std::string_view Name) {
  for (const auto &[Key, Value] : All)
    if (internal::equalsIgnoringCase(Key, Name))
      return &Value;
  return nullptr;
}

} // namespace crocuslead::http
