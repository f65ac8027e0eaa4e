#include "cluster/HttpInstanceList.h"

#include "base/NameTable.h"

#include <asio/ip/address.hpp>
#include <charconv>
#include <limits>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <unordered_set>

namespace crocuslead::cluster {

namespace {

using Json = nlohmann::json;

constexpr auto StateNames = base::makeNameTable<InstanceState>(
    {{InstanceState::Live, "live"}, {InstanceState::Leaving, "leaving"}});

constexpr int64_t MaxSlots = 1'000'000;

//! Thrown by the readers below and turned into an error at this file's edge.
struct Malformed : std::runtime_error {
  using std::runtime_error::runtime_error;
};

const Json *find(const Json &In, const char *Name) {
  auto It = In.find(Name);
  return It == In.end() || It->is_null() ? nullptr : &*It;
}

std::string text(const Json &In, const char *Name, bool Required) {
  const Json *Value = find(In, Name);
  if (Value && !Value->is_string())
    throw Malformed(std::string(Name) + " is not text");
  std::string Found = Value ? Value->get<std::string>() : std::string();
  if (Required && Found.empty())
    throw Malformed(std::string(Name) + " is missing");
  return Found;
}

int64_t number(const Json &In, const char *Name, int64_t Default, int64_t Low,
               int64_t High) {
  const Json *Value = find(In, Name);
  if (!Value)
    return Default;
  if (!Value->is_number_integer())
    throw Malformed(std::string(Name) + " is not a whole number");
  bool Huge = Value->is_number_unsigned() &&
              Value->get<uint64_t>() > static_cast<uint64_t>(High);
  if (Huge || Value->get<int64_t>() < Low || Value->get<int64_t>() > High)
    throw Malformed(std::string(Name) + " is out of range");
  return Value->get<int64_t>();
}

bool isAddress(std::string_view Text) {
  auto Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return false;
  std::string_view Host = Text.substr(0, Colon);
  std::string_view Port = Text.substr(Colon + 1);
  if (Host.size() > 2 && Host.front() == '[' && Host.back() == ']')
    Host = Host.substr(1, Host.size() - 2);
  else if (Host.find(':') != std::string_view::npos)
    return false;
  asio::error_code Bad;
  asio::ip::make_address(std::string(Host), Bad);
  uint16_t Number = 0;
  auto [End, Error] =
      std::from_chars(Port.data(), Port.data() + Port.size(), Number);
  return !Bad && Error == std::errc() && End == Port.data() + Port.size() &&
         Number != 0;
}

std::string address(const Json &In, const char *Name) {
  std::string Found = text(In, Name, false);
  if (!Found.empty() && !isAddress(Found))
    throw Malformed(std::string(Name) + " is not an IP number and port");
  return Found;
}

std::vector<std::string> services(const Json &In) {
  std::vector<std::string> Out;
  const Json *Value = find(In, "services");
  if (!Value)
    return Out;
  if (!Value->is_array())
    throw Malformed("services is not an array");
  for (const Json &One : *Value) {
    if (!One.is_string())
      throw Malformed("services has an entry that is not text");
    Out.push_back(One.get<std::string>());
  }
  return Out;
}

InstanceEntry readEntry(const Json &In) {
  constexpr int64_t Any = std::numeric_limits<int64_t>::max();
  if (!In.is_object())
    throw Malformed("an instance is not an object");
  InstanceEntry Out;
  Out.Id_ = text(In, "id", true);
  auto State = StateNames.parse(text(In, "state", true));
  if (!State)
    throw Malformed("state is neither live nor leaving");
  Out.State_ = *State;
  Out.Domain_ = text(In, "domain", true);
  Out.Region_ = text(In, "region", true);
  Out.Rack_ = text(In, "rack", false);
  Out.AgentAddress_ = address(In, "agent");
  Out.UpstreamAddress_ = address(In, "upstream");
  Out.Services_ = services(In);
  Out.Capacity_ = {number(In, "cpu_milli", 0, 0, Any),
                   number(In, "memory_mb", 0, 0, Any),
                   number(In, "accelerators", 0, 0, Any)};
  Out.Slots_ = static_cast<int>(number(In, "slots", Out.Slots_, 0, MaxSlots));
  Out.Connections_ = static_cast<int>(
      number(In, "connections", Out.Connections_, 0, MaxSlots));
  return Out;
}

InstanceSnapshot readSnapshot(const Json &In) {
  if (!In.is_object())
    throw Malformed("the list is not an object");
  InstanceSnapshot Out;
  Out.Revision_ =
      number(In, "revision", 0, 1, std::numeric_limits<int64_t>::max());
  if (Out.Revision_ == 0)
    throw Malformed("revision is missing");
  const Json *All = find(In, "instances");
  if (!All || !All->is_array())
    throw Malformed("instances is missing");
  std::unordered_set<std::string> Seen;
  for (const Json &One : *All) {
    Out.Entries_.push_back(readEntry(One));
    if (!Seen.insert(Out.Entries_.back().Id_).second)
      throw Malformed("instance " + Out.Entries_.back().Id_ +
                      " is listed twice");
  }
  return Out;
}

} // namespace

std::string_view instanceStateName(InstanceState State) {
  return StateNames.name(State);
}

base::Result<InstanceSnapshot> decodeInstances(std::string_view Body) {
  Json Parsed = Json::parse(Body, nullptr, /*allow_exceptions=*/false);
  if (Parsed.is_discarded())
    return base::fail(base::ErrorKind::Internal,
                      "instance list: the answer is not JSON");
  try {
    return readSnapshot(Parsed);
  } catch (const std::exception &E) {
    return base::fail(base::ErrorKind::Internal,
                      std::string("instance list: ") + E.what());
  }
}

} // namespace crocuslead::cluster
