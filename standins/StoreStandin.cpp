#include "StoreStandin.h"

#include "store/Base64.h"

#include <cctype>
#include <chrono>

namespace crocuslead::standins {

namespace {

using nlohmann::json;
using store::decodeBase64;
using store::encodeBase64;

//! Finds a field by its name in the protocol definition or in the camel-case
//! form of its JSON mapping; both are valid.
const json *field(const json &Body, const std::string &Name) {
  auto Found = Body.find(Name);
  if (Found != Body.end())
    return &*Found;
  std::string Camel;
  for (std::size_t I = 0; I < Name.size(); ++I)
    Camel += Name[I] == '_' ? static_cast<char>(std::toupper(
                                  static_cast<unsigned char>(Name[++I])))
                            : Name[I];
  Found = Body.find(Camel);
  return Found == Body.end() ? nullptr : &*Found;
}

int64_t number(const json &Body, const char *Name) {
  const json *Found = field(Body, Name);
  if (Found == nullptr)
    return 0;
  return Found->is_string() ? std::stoll(Found->get<std::string>())
                            : Found->get<int64_t>();
}

std::string bytes(const json &Body, const char *Name) {
  const json *Found = field(Body, Name);
  return Found == nullptr
             ? std::string()
             : decodeBase64(Found->get<std::string>()).value_or("");
}

bool inRange(const std::string &Key, const std::string &Begin,
             const std::string &End) {
  if (End.empty())
    return Key == Begin;
  return Key >= Begin && (End == std::string(1, '\0') || Key < End);
}

http::Response jsonResponse(const json &Body) {
  return {200, {{"Content-Type", "application/json"}}, Body.dump()};
}

} // namespace

StoreStandin::StoreStandin(asio::io_context &Loop) : Loop_(Loop), Timer_(Loop) {
  expireLeases();
}

void StoreStandin::handle(http::Request Request,
                          const std::shared_ptr<http::Responder> &Out) {
  if (Request.Target_ == "/control") {
    control(Request, Out);
    return;
  }
  if (Faults_.Down_) {
    Out->abort();
    return;
  }
  if (Faults_.SlowMs_ == 0) {
    serve(Request, Out);
    return;
  }
  auto Delay = std::make_shared<asio::steady_timer>(
      Loop_, std::chrono::milliseconds(Faults_.SlowMs_));
  Delay->async_wait([this, Delay, Request = std::move(Request),
                     Out](const auto &) { serve(Request, Out); });
}

void StoreStandin::serve(const http::Request &Request,
                         const std::shared_ptr<http::Responder> &Out) {
  static const std::map<std::string, Handler> Handlers = {
      {"/v3/kv/range", &StoreStandin::range},
      {"/v3/kv/txn", &StoreStandin::txn},
      {"/v3/lease/grant", &StoreStandin::leaseGrant},
      {"/v3/lease/keepalive", &StoreStandin::leaseKeepAlive},
      {"/v3/lease/revoke", &StoreStandin::leaseRevoke},
      {"/v3/kv/lease/revoke", &StoreStandin::leaseRevoke},
  };
  json Body = json::parse(Request.Body_, nullptr, false);
  if (Body.is_discarded()) {
    Out->send({400, {}, "{\"error\":\"invalid JSON\"}"});
    return;
  }
  ++Calls_[Request.Target_];
  if (Request.Target_ == "/v3/watch") {
    watch(Body, Out);
    return;
  }
  auto Found = Handlers.find(Request.Target_);
  if (Found == Handlers.end()) {
    Out->send({404, {}, "{\"error\":\"no such call\"}"});
    return;
  }
  json Answer = (this->*Found->second)(Body);
  bool IsWrite = Request.Target_ == "/v3/kv/txn";
  if (IsWrite && Faults_.DropAnswers_ > 0) {
    --Faults_.DropAnswers_;
    Out->abort();
    return;
  }
  Out->send(jsonResponse(Answer));
}

void StoreStandin::control(const http::Request &Request,
                           const std::shared_ptr<http::Responder> &Out) {
  json Body = json::parse(Request.Body_, nullptr, false);
  if (Body.is_object()) {
    Faults_.Down_ = Body.value("down", Faults_.Down_);
    Faults_.SlowMs_ = Body.value("slow_ms", Faults_.SlowMs_);
    Faults_.DropAnswers_ = Body.value("drop_answers", Faults_.DropAnswers_);
    Faults_.LoseWatchEvents_ =
        Body.value("lose_watch_events", Faults_.LoseWatchEvents_);
    if (Body.contains("expire_lease_of"))
      for (const auto &[Key, Value] : std::map<std::string, Entry>(Entries_))
        if (Key == Body["expire_lease_of"].get<std::string>())
          endLease(Value.Lease_);
    if (Faults_.Down_) {
      for (Watcher &Each : Watchers_)
        Each.Out_->abort();
      Watchers_.clear();
    }
  }
  json Counts = json::object();
  for (const auto &[Name, Count] : Calls_)
    Counts[Name] = Count;
  std::size_t Bytes = 0;
  for (const auto &[Key, Value] : Entries_)
    Bytes += Key.size() + Value.Value_.size();
  Out->send(jsonResponse({{"calls", Counts},
                          {"keys", Entries_.size()},
                          {"bytes", Bytes},
                          {"revision", Revision_},
                          {"watchers", Watchers_.size()}}));
}

void StoreStandin::watch(const json &Body,
                         const std::shared_ptr<http::Responder> &Out) {
  const json *Found = field(Body, "create_request");
  const json Create = Found == nullptr ? json::object() : *Found;
  Watcher Added{bytes(Create, "key"), bytes(Create, "range_end"), Out};
  Out->begin(200, {{"Content-Type", "application/json"}});
  Out->write(
      json{{"result", {{"header", header()}, {"created", true}}}}.dump() +
      "\n");
  int64_t Start = number(Create, "start_revision");
  json Missed = json::array();
  for (const auto &[At, Event] : History_)
    if (Start > 0 && At >= Start &&
        inRange(bytes(Event["kv"], "key"), Added.Key_, Added.RangeEnd_))
      Missed.push_back(Event);
  if (!Missed.empty())
    Out->write(
        json{{"result", {{"header", header()}, {"events", Missed}}}}.dump() +
        "\n");
  auto Position = Watchers_.insert(Watchers_.end(), std::move(Added));
  Out->onClosed([this, Out = Position->Out_.get()] {
    Watchers_.remove_if(
        [Out](const Watcher &Each) { return Each.Out_.get() == Out; });
  });
}

json StoreStandin::range(const json &Body) {
  std::string Key = bytes(Body, "key");
  std::string End = bytes(Body, "range_end");
  json Values = json::array();
  for (auto It = Entries_.lower_bound(Key); It != Entries_.end(); ++It) {
    if (!inRange(It->first, Key, End))
      break;
    Values.push_back(keyValue(It->first, It->second));
  }
  std::string Count = std::to_string(Values.size());
  return {{"header", header()}, {"kvs", std::move(Values)}, {"count", Count}};
}

bool StoreStandin::holds(const json &Compare) const {
  auto Found = Entries_.find(bytes(Compare, "key"));
  Entry Current = Found == Entries_.end() ? Entry{} : Found->second;
  std::string Target = Compare.value("target", "VERSION");
  if (Target == "CREATE")
    return Current.Create_ == number(Compare, "create_revision");
  if (Target == "MOD")
    return Current.Mod_ == number(Compare, "mod_revision");
  return Current.Version_ == number(Compare, "version");
}

json StoreStandin::txn(const json &Body) {
  bool Holds = true;
  for (const json &Each : Body.value("compare", json::array()))
    Holds = Holds && holds(Each);
  if (!Holds)
    return {{"header", header()}, {"succeeded", false}};
  json Operations = Body.value("success", json::array());
  json Events = json::array();
  if (!Operations.empty())
    ++Revision_;
  for (const json &Each : Operations) {
    if (const json *Put = field(Each, "request_put"))
      put(bytes(*Put, "key"), bytes(*Put, "value"), number(*Put, "lease"),
          Events);
    else if (const json *Delete = field(Each, "request_delete_range"))
      erase(bytes(*Delete, "key"), bytes(*Delete, "range_end"), Events);
  }
  publish(Events);
  return {{"header", header()}, {"succeeded", true}};
}

json StoreStandin::leaseGrant(const json &Body) {
  int64_t Id = ++NextLease_;
  int64_t Ttl = number(Body, "TTL");
  Leases_[Id] = {Ttl, Clock_.now() + std::chrono::seconds(Ttl)};
  return {{"header", header()},
          {"ID", std::to_string(Id)},
          {"TTL", std::to_string(Ttl)}};
}

json StoreStandin::leaseKeepAlive(const json &Body) {
  int64_t Id = number(Body, "ID");
  json Result = {{"header", header()}, {"ID", std::to_string(Id)}};
  auto Found = Leases_.find(Id);
  if (Found != Leases_.end()) {
    Found->second.End_ =
        Clock_.now() + std::chrono::seconds(Found->second.TtlSeconds_);
    Result["TTL"] = std::to_string(Found->second.TtlSeconds_);
  }
  return {{"result", Result}};
}

json StoreStandin::leaseRevoke(const json &Body) {
  endLease(number(Body, "ID"));
  return {{"header", header()}};
}

json StoreStandin::keyValue(const std::string &Key, const Entry &Value) const {
  return {{"key", encodeBase64(Key)},
          {"value", encodeBase64(Value.Value_)},
          {"create_revision", std::to_string(Value.Create_)},
          {"mod_revision", std::to_string(Value.Mod_)},
          {"version", std::to_string(Value.Version_)},
          {"lease", std::to_string(Value.Lease_)}};
}

json StoreStandin::header() const {
  return {{"revision", std::to_string(Revision_)}};
}

void StoreStandin::put(const std::string &Key, std::string Value,
                       int64_t LeaseId, json &Events) {
  Entry &Target = Entries_[Key];
  if (Target.Version_ == 0)
    Target.Create_ = Revision_;
  Target.Value_ = std::move(Value);
  Target.Mod_ = Revision_;
  ++Target.Version_;
  Target.Lease_ = LeaseId;
  Events.push_back({{"kv", keyValue(Key, Target)}});
}

void StoreStandin::erase(const std::string &Key, const std::string &RangeEnd,
                         json &Events) {
  for (auto It = Entries_.lower_bound(Key); It != Entries_.end();) {
    if (!inRange(It->first, Key, RangeEnd))
      break;
    Events.push_back({{"type", "DELETE"},
                      {"kv",
                       {{"key", encodeBase64(It->first)},
                        {"mod_revision", std::to_string(Revision_)}}}});
    It = Entries_.erase(It);
  }
}

void StoreStandin::publish(const json &Events) {
  constexpr std::size_t MaxHistory = 20'000;
  for (const json &Event : Events)
    History_.emplace_back(Revision_, Event);
  if (History_.size() > MaxHistory)
    History_.erase(History_.begin(), History_.begin() + MaxHistory / 2);
  for (Watcher &Each : Watchers_) {
    json Matching = json::array();
    for (const json &Event : Events)
      if (inRange(bytes(Event["kv"], "key"), Each.Key_, Each.RangeEnd_))
        Matching.push_back(Event);
    if (Matching.empty())
      continue;
    if (Faults_.LoseWatchEvents_ > 0) {
      --Faults_.LoseWatchEvents_;
      continue;
    }
    Each.Out_->write(
        json{{"result", {{"header", header()}, {"events", Matching}}}}.dump() +
        "\n");
  }
}

void StoreStandin::endLease(int64_t Id) {
  if (Id == 0 || Leases_.erase(Id) == 0)
    return;
  std::vector<std::string> Keys;
  for (const auto &[Key, Value] : Entries_)
    if (Value.Lease_ == Id)
      Keys.push_back(Key);
  json Events = json::array();
  ++Revision_;
  for (const std::string &Key : Keys)
    erase(Key, "", Events);
  publish(Events);
}

void StoreStandin::expireLeases() {
  std::vector<int64_t> Ended;
  for (const auto &[Id, Each] : Leases_)
    if (Each.End_ <= Clock_.now())
      Ended.push_back(Id);
  for (int64_t Id : Ended)
    endLease(Id);
  Timer_.expires_after(std::chrono::milliseconds(100));
  Timer_.async_wait([this](const auto &Failure) {
    if (!Failure)
      expireLeases();
  });
}

} // namespace crocuslead::standins
