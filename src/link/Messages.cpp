#include "link/Messages.h"

#include "link/internal/Codec.h"
#include <utility>

namespace crocuslead::link {

namespace {

using internal::json;

template <std::size_t Index>
bool takeAlternative(const json &Parsed, Message &Out, bool &Known) {
  using Record = std::variant_alternative_t<Index, Message>;
  if (Known || Parsed[0] != internal::Layout<Record>::Number)
    return false;
  Known = true;
  return internal::takeRecord(Parsed[1], Out.emplace<Index>());
}

template <std::size_t... Index>
bool takeMessage(const json &Parsed, Message &Out, bool &Known,
                 std::index_sequence<Index...>) {
  return (takeAlternative<Index>(Parsed, Out, Known) || ...);
}

} // namespace

std::string encode(const Message &Value) {
  return std::visit(
      [](const auto &Record) { return internal::encodeRecord(Record); }, Value);
}

base::Result<Message> decode(const std::string &Frame) {
  json Parsed = internal::parseFrame(Frame);
  if (Parsed.is_null())
    return base::fail(base::ErrorKind::InvalidRequest, "malformed frame");
  Message Out;
  bool Known = false;
  if (takeMessage(Parsed, Out, Known,
                  std::make_index_sequence<std::variant_size_v<Message>>()))
    return Out;
  return base::fail(base::ErrorKind::InvalidRequest,
                    Known ? "message with a malformed field"
                          : "unknown message number");
}

} // namespace crocuslead::link
