#include "http/internal/ResponseParser.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdlib>

using crocuslead::http::internal::ResponseParser;

// The first byte chooses how the rest is cut into reads and whether it answers
// a HEAD request.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t *Data, std::size_t Size) {
  if (Size == 0)
    return 0;
  constexpr std::size_t MaxBodyBytes = 64;
  std::size_t Step = 1 + Data[0] / 2;
  std::string_view Rest(reinterpret_cast<const char *>(Data) + 1, Size - 1);
  ResponseParser Parser;
  Parser.begin(Data[0] % 2 != 0, MaxBodyBytes);
  while (!Rest.empty()) {
    auto Part = Rest.substr(0, Step);
    Rest.remove_prefix(Part.size());
    auto Progress = Parser.parse(Part);
    if (Progress == ResponseParser::Progress::Incomplete)
      continue;
    if (Progress == ResponseParser::Progress::Complete &&
        Parser.takeAnswer().Body_.size() > MaxBodyBytes)
      std::abort();
    return 0;
  }
  return 0;
}
