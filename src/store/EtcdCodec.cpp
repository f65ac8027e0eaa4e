#include "store/internal/EtcdCodec.h"

#include "store/Base64.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace crocuslead::store::internal {

namespace {

using Json = nlohmann::json;

constexpr std::size_t MaxErrorText = 200;

//! Thrown by the readers below and turned into text at this file's edge.
struct Malformed : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// The gateway answers with field names as in the protocol's definition
// (mod_revision); some of its versions use the JSON form (modRevision).
const Json *find(const Json &In, const char *Name,
                 const char *Other = nullptr) {
  if (!In.is_object())
    throw Malformed("an object was expected");
  for (const char *Key : {Name, Other}) {
    if (!Key)
      continue;
    auto It = In.find(Key);
    if (It != In.end() && !It->is_null())
      return &*It;
  }
  return nullptr;
}

int64_t toNumber(const Json &Value, const char *Name) {
  if (Value.is_number_unsigned() &&
      Value.get<uint64_t>() > static_cast<uint64_t>(INT64_MAX))
    throw Malformed(std::string(Name) + " is out of range");
  if (Value.is_number_integer())
    return Value.get<int64_t>();
  int64_t Parsed = 0;
  if (Value.is_string()) {
    const auto &Text = Value.get_ref<const std::string &>();
    auto [End, Error] =
        std::from_chars(Text.data(), Text.data() + Text.size(), Parsed);
    if (Error == std::errc() && End == Text.data() + Text.size())
      return Parsed;
  }
  throw Malformed(std::string(Name) + " is not a number");
}

//! The gateway leaves out fields that are zero.
int64_t number(const Json &In, const char *Name, const char *Other = nullptr) {
  const Json *Value = find(In, Name, Other);
  return Value ? toNumber(*Value, Name) : 0;
}

bool boolean(const Json &In, const char *Name) {
  const Json *Value = find(In, Name);
  if (Value && !Value->is_boolean())
    throw Malformed(std::string(Name) + " is not a truth value");
  return Value && Value->get<bool>();
}

std::string bytes(const Json &In, const char *Name) {
  const Json *Value = find(In, Name);
  if (!Value)
    return {};
  if (!Value->is_string())
    throw Malformed(std::string(Name) + " is not a string");
  auto Decoded = decodeBase64(Value->get_ref<const std::string &>());
  if (!Decoded)
    throw Malformed(std::string(Name) + " is not base64");
  return std::move(*Decoded);
}

const Json &object(const Json &In, const char *Name) {
  const Json *Value = find(In, Name);
  if (!Value || !Value->is_object())
    throw Malformed(std::string(Name) + " is missing");
  return *Value;
}

//! Calls Use for each element; an absent array is empty.
template <typename Action>
void forEach(const Json &In, const char *Name, Action Use) {
  const Json *Value = find(In, Name);
  if (!Value)
    return;
  if (!Value->is_array())
    throw Malformed(std::string(Name) + " is not an array");
  for (const Json &One : *Value)
    Use(One);
}

int64_t headerRevision(const Json &In) {
  int64_t Revision = number(object(In, "header"), "revision");
  if (Revision <= 0)
    throw Malformed("the header has no revision");
  return Revision;
}

KeyValue readKeyValue(const Json &In) {
  KeyValue Out;
  Out.Key_ = bytes(In, "key");
  Out.Value_ = bytes(In, "value");
  Out.CreateRevision_ = number(In, "create_revision", "createRevision");
  Out.ModRevision_ = number(In, "mod_revision", "modRevision");
  Out.Version_ = number(In, "version");
  if (Out.Key_.empty() || Out.ModRevision_ <= 0)
    throw Malformed("an entry has no key or no revision");
  return Out;
}

WatchEvent readEvent(const Json &In) {
  WatchEvent Out;
  Out.Value_ = readKeyValue(object(In, "kv"));
  const Json *Type = find(In, "type");
  if (Type && *Type != "PUT" && *Type != "DELETE")
    throw Malformed("an event has an unknown type");
  Out.Deleted_ = Type && *Type == "DELETE";
  return Out;
}

template <typename T, typename Reader>
Decoded<T> decode(std::string_view Body, Reader Read) {
  Json Parsed = Json::parse(Body, nullptr, /*allow_exceptions=*/false);
  if (Parsed.is_discarded())
    return Decoded<T>(std::in_place_index<1>, "the answer is not JSON");
  try {
    return Decoded<T>(std::in_place_index<0>, Read(Parsed));
  } catch (const std::exception &E) {
    return Decoded<T>(std::in_place_index<1>, E.what());
  }
}

std::string decimal(int64_t Value) { return std::to_string(Value); }

Json encodeCompare(const Compare &One) {
  struct Form {
    const char *Target_;
    const char *Field_;
  };
  constexpr Form Forms[] = {{"CREATE", "createRevision"},
                            {"MOD", "modRevision"},
                            {"VERSION", "version"}};
  const Form &As = Forms[static_cast<int>(One.Target_)];
  return {{"key", encodeBase64(One.Key_)},
          {"target", As.Target_},
          {"result", "EQUAL"},
          {As.Field_, decimal(One.Value_)}};
}

Json encodeKeys(const std::string &Key, const std::string &RangeEnd) {
  Json Out = {{"key", encodeBase64(Key)}};
  if (!RangeEnd.empty())
    Out["range_end"] = encodeBase64(RangeEnd);
  return Out;
}

Json encodePut(const Put &One) {
  Json Out = {{"key", encodeBase64(One.Key_)},
              {"value", encodeBase64(One.Value_)}};
  if (One.Lease_ != 0)
    Out["lease"] = decimal(One.Lease_);
  return Out;
}

} // namespace

std::string encodeRange(const std::string &Key, const std::string &RangeEnd) {
  return encodeKeys(Key, RangeEnd).dump();
}

std::string encodeTxn(const Txn &Request) {
  Json Out = {{"compare", Json::array()}, {"success", Json::array()}};
  for (const Compare &One : Request.Compares_)
    Out["compare"].push_back(encodeCompare(One));
  for (const Put &One : Request.Puts_)
    Out["success"].push_back({{"requestPut", encodePut(One)}});
  for (const Delete &One : Request.Deletes_)
    Out["success"].push_back(
        {{"requestDeleteRange", encodeKeys(One.Key_, One.RangeEnd_)}});
  return Out.dump();
}

std::string encodeWatch(const std::string &Key, const std::string &RangeEnd,
                        int64_t StartRevision) {
  Json Create = encodeKeys(Key, RangeEnd);
  Create["start_revision"] = decimal(StartRevision);
  return Json{{"create_request", std::move(Create)}}.dump();
}

std::string encodeLeaseGrant(int64_t TimeToLiveSeconds) {
  return Json{{"TTL", decimal(TimeToLiveSeconds)}}.dump();
}

std::string encodeLeaseId(int64_t Lease) {
  return Json{{"ID", decimal(Lease)}}.dump();
}

Decoded<RangeReply> decodeRange(std::string_view Body) {
  return decode<RangeReply>(Body, [](const Json &In) {
    RangeReply Out;
    Out.Revision_ = headerRevision(In);
    forEach(In, "kvs",
            [&](const Json &One) { Out.Values_.push_back(readKeyValue(One)); });
    // No limit was asked for, so a part of the range is not an answer.
    if (boolean(In, "more"))
      throw Malformed("the range is incomplete");
    return Out;
  });
}

Decoded<TxnReply> decodeTxn(std::string_view Body) {
  return decode<TxnReply>(Body, [](const Json &In) {
    return TxnReply{boolean(In, "succeeded"), headerRevision(In)};
  });
}

Decoded<int64_t> decodeLeaseGrant(std::string_view Body) {
  return decode<int64_t>(Body, [](const Json &In) {
    int64_t Lease = number(In, "ID");
    if (Lease == 0)
      throw Malformed("the grant has no lease");
    return Lease;
  });
}

Decoded<int64_t> decodeLeaseKeepAlive(std::string_view Body) {
  return decode<int64_t>(Body.substr(0, Body.find('\n')), [](const Json &In) {
    return std::max<int64_t>(0, number(object(In, "result"), "TTL"));
  });
}

Decoded<int64_t> decodeLeaseRevoke(std::string_view Body) {
  return decode<int64_t>(Body, [](const Json &In) {
    object(In, "header");
    return int64_t{0};
  });
}

Decoded<WatchBatch> decodeWatchLine(std::string_view Line) {
  return decode<WatchBatch>(Line, [&](const Json &In) {
    if (find(In, "error"))
      throw Malformed("the store ended the watch: " + decodeErrorMessage(Line));
    const Json &Result = object(In, "result");
    if (boolean(Result, "canceled"))
      throw Malformed(
          "the store cancelled the watch; compacted up to " +
          decimal(number(Result, "compact_revision", "compactRevision")));
    WatchBatch Out;
    forEach(Result, "events", [&](const Json &One) {
      Out.Events_.push_back(readEvent(One));
      Out.Revision_ =
          std::max(Out.Revision_, Out.Events_.back().Value_.ModRevision_);
    });
    return Out;
  });
}

std::string decodeErrorMessage(std::string_view Body) {
  auto Message = decode<std::string>(Body, [](const Json &In) {
    const Json *Error = find(In, "error");
    if (Error && Error->is_object())
      Error = find(*Error, "message");
    if (!Error)
      Error = find(In, "message");
    if (!Error || !Error->is_string())
      throw Malformed("no message");
    return Error->get<std::string>();
  });
  return Message.index() == 0 ? std::get<0>(Message).substr(0, MaxErrorText)
                              : std::string(Body.substr(0, MaxErrorText));
}

} // namespace crocuslead::store::internal
