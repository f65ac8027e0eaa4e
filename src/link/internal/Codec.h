#pragma once

#include "link/internal/CborCheck.h"
#include "link/internal/Layout.h"

#include <limits>
#include <nlohmann/json.hpp>
#include <type_traits>

//! Reads and writes records by their layouts. nlohmann-json is included here
//! only, and this header only by .cpp files.
namespace crocuslead::link::internal {

using nlohmann::json;

//! The deepest message is [number, {rows: [{uses: [{...}]}]}].
inline constexpr int MaxDepth = 8;

template <typename Record, typename Function>
void forEachField(Function Visit) {
  std::apply([&](const auto &...Each) { (Visit(Each), ...); },
             Layout<Record>::Fields);
}

//! Writes a value; false when it is the default and the field is omitted.
template <typename Number>
std::enable_if_t<std::is_arithmetic_v<Number>, bool> put(json &Out,
                                                         Number Value) {
  Out = Value;
  return Value != Number{};
}

//! Texts are byte strings, since bodies need not be UTF-8.
inline bool put(json &Out, const std::string &Value) {
  Out = json::binary({Value.begin(), Value.end()});
  return !Value.empty();
}

template <typename Record> json putRecord(const Record &Value);

template <typename Record>
bool put(json &Out, const std::vector<Record> &Values) {
  Out = json::array();
  for (const Record &Value : Values)
    Out.push_back(putRecord(Value));
  return !Values.empty();
}

//! A record is a map from field number to value. The numbers are written as
//! text because the reader of nlohmann-json accepts no other keys.
template <typename Record> json putRecord(const Record &Value) {
  json Out = json::object();
  forEachField<Record>([&](const auto &Each) {
    json Written;
    if (put(Written, Value.*Each.Member_))
      Out[std::to_string(Each.Number_)] = std::move(Written);
  });
  return Out;
}

inline bool take(const json &In, std::size_t, bool &Out) {
  if (!In.is_boolean())
    return false;
  Out = In.get<bool>();
  return true;
}

template <typename Number>
std::enable_if_t<std::is_integral_v<Number>, bool>
take(const json &In, std::size_t, Number &Out) {
  using Limit = std::numeric_limits<Number>;
  if (In.is_number_unsigned()) {
    auto Value = In.get<uint64_t>();
    Out = static_cast<Number>(Value);
    return Value <= static_cast<uint64_t>(Limit::max());
  }
  if (!In.is_number_integer() || std::is_unsigned_v<Number>)
    return false;
  auto Value = In.get<int64_t>();
  Out = static_cast<Number>(Value);
  return Value >= static_cast<int64_t>(Limit::min()) &&
         Value <= static_cast<int64_t>(Limit::max());
}

inline bool take(const json &In, std::size_t MaxBytes, std::string &Out) {
  if (!In.is_binary() || In.get_binary().size() > MaxBytes)
    return false;
  Out.assign(In.get_binary().begin(), In.get_binary().end());
  return true;
}

template <typename Record> bool takeRecord(const json &In, Record &Out);

template <typename Record>
bool take(const json &In, std::size_t, std::vector<Record> &Out) {
  if (!In.is_array() || In.size() > MaxListItems)
    return false;
  Out.resize(In.size());
  for (std::size_t I = 0; I < In.size(); ++I)
    if (!takeRecord(In[I], Out[I]))
      return false;
  return true;
}

template <typename Record> bool takeRecord(const json &In, Record &Out) {
  if (!In.is_object())
    return false;
  bool Good = true;
  forEachField<Record>([&](const auto &Each) {
    auto Found = In.find(std::to_string(Each.Number_));
    if (Good && Found != In.end())
      Good = take(*Found, Each.MaxBytes_, Out.*Each.Member_);
  });
  return Good;
}

template <typename Record> std::string encodeRecord(const Record &Value) {
  std::string Frame;
  json::to_cbor(json::array({Layout<Record>::Number, putRecord(Value)}), Frame);
  return Frame;
}

//! Parses a frame to [number, map]; a null value when it is malformed.
inline json parseFrame(const std::string &Frame) {
  if (Frame.size() > MaxFrameBytes || !isPlainCbor(Frame, MaxDepth))
    return nullptr;
  json Parsed = json::from_cbor(Frame, /*strict=*/true,
                                /*allow_exceptions=*/false);
  bool Shaped = Parsed.is_array() && Parsed.size() == 2 &&
                Parsed[0].is_number_unsigned() && Parsed[1].is_object();
  return Shaped ? Parsed : json(nullptr);
}

//! Reads Frame if it is a well-formed message of this type.
template <typename Record>
bool decodeRecord(const std::string &Frame, Record &Out) {
  json Parsed = parseFrame(Frame);
  return !Parsed.is_null() && Parsed[0] == Layout<Record>::Number &&
         takeRecord(Parsed[1], Out);
}

} // namespace crocuslead::link::internal
