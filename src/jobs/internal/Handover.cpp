#include "jobs/internal/Handover.h"

#include "base/Log.h"
#include "jobs/internal/LeaseLeft.h"

#include <algorithm>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <unordered_map>

namespace crocuslead::jobs::internal {

namespace {

using nlohmann::json;

constexpr std::size_t RowSize = 4;
// With the runs that are not located.
constexpr std::size_t UnlocatedRowSize = 6;
constexpr std::size_t LateStartRowSize = 7;
// The value of a store's key is limited to 1 MiB of base64 text, which is a
// third longer than the record.
constexpr std::size_t MaxRecordBytes = 700'000;

json lateStartsToJson(const std::vector<HandedOverStart> &Starts) {
  json Out = json::array();
  for (const HandedOverStart &Each : Starts) {
    const TaskPosition &At = Each.Task_.Position_;
    Out.push_back({Each.Task_.Job_, At.Occurrence_, At.Step_, At.Index_,
                   Each.Start_.Worker_, Each.Start_.Run_,
                   std::string(LateStartStateNames.name(Each.Start_.State_))});
  }
  return Out;
}

std::optional<HandedOverStart> decodeLateStart(const json &Row) {
  auto AreNumbers = [&](std::initializer_list<std::size_t> Indexes) {
    return std::all_of(Indexes.begin(), Indexes.end(), [&](std::size_t Index) {
      return Row[Index].is_number_unsigned();
    });
  };
  if (!Row.is_array() || Row.size() < LateStartRowSize || !Row[0].is_string() ||
      !AreNumbers({1, 2, 3, 5}) || !Row[4].is_string() || !Row[6].is_string())
    return std::nullopt;
  TaskPosition At{Row[1].get<uint32_t>(), Row[2].get<uint32_t>(),
                  Row[3].get<uint32_t>()};
  auto State = LateStartStateNames.parse(Row[6].get<std::string>());
  return HandedOverStart{{Row[0].get<std::string>(), At},
                         {Row[4].get<std::string>(), Row[5].get<uint64_t>(),
                          State.value_or(LateStartState::Repeated)}};
}

std::string encode(const Handover &From, bool WithJobs) {
  std::unordered_map<std::string, std::size_t> Indexes;
  json Jobs = json::array();
  json Workers = json::array();
  auto IndexesOf = [&](const std::optional<std::vector<std::string>> &Of) {
    json Out;
    if (!WithJobs || !Of)
      return Out;
    Out = json::array();
    for (const std::string &Job : *Of) {
      auto [It, Added] = Indexes.emplace(Job, Indexes.size());
      if (Added)
        Jobs.push_back(Job);
      Out.push_back(It->second);
    }
    return Out;
  };
  for (const HandedOverWorker &Each : From.Workers_) {
    json Row = {Each.Id_, Each.StartTimeMs_, leaseLeftMillis(Each.LeaseLeft_),
                IndexesOf(Each.Jobs_)};
    if (Each.UnlocatedLeft_) {
      Row.push_back(leaseLeftMillis(*Each.UnlocatedLeft_));
      Row.push_back(IndexesOf(Each.UnlocatedJobs_));
    }
    Workers.push_back(std::move(Row));
  }
  json Out = {{"term", From.Term_},
              {"fenced", From.PredecessorsFenced_},
              {"clocks", clocksToJson(From.Clocks_)},
              {"jobs", std::move(Jobs)},
              {"workers", std::move(Workers)},
              {"late", lateStartsToJson(From.LateStarts_)}};
  From.Starts_.toJson(Out);
  return Out.dump();
}

//! Reads the ids of jobs, or null, into Out. False if they have another shape.
bool decodeJobs(const json &Indexes, const json &Jobs,
                std::optional<std::vector<std::string>> &Out) {
  if (Indexes.is_null())
    return true;
  if (!Indexes.is_array())
    return false;
  Out.emplace();
  for (const json &Index : Indexes) {
    if (!Index.is_number_unsigned() ||
        Index.get<std::size_t>() >= Jobs.size() ||
        !Jobs[Index.get<std::size_t>()].is_string())
      return false;
    Out->push_back(Jobs[Index.get<std::size_t>()].get<std::string>());
  }
  return true;
}

std::optional<HandedOverWorker> decodeRow(const json &Row, const json &Jobs) {
  if (!Row.is_array() || Row.size() < RowSize || !Row[0].is_string() ||
      !Row[1].is_number_integer() || !Row[2].is_number_integer())
    return std::nullopt;
  auto LeaseLeft = leaseLeftOf(Row[2].get<int64_t>());
  HandedOverWorker Out;
  Out.Id_ = Row[0].get<std::string>();
  Out.StartTimeMs_ = Row[1].get<int64_t>();
  if (!LeaseLeft || !decodeJobs(Row[3], Jobs, Out.Jobs_))
    return std::nullopt;
  Out.LeaseLeft_ = *LeaseLeft;
  if (Row.size() < UnlocatedRowSize)
    return Out;
  if (!Row[4].is_number_integer() ||
      !decodeJobs(Row[5], Jobs, Out.UnlocatedJobs_))
    return std::nullopt;
  Out.UnlocatedLeft_ = leaseLeftOf(Row[4].get<int64_t>());
  return Out;
}

} // namespace

std::string encodeHandover(const Handover &From) {
  std::string Out = encode(From, true);
  return Out.size() <= MaxRecordBytes ? Out : encode(From, false);
}

std::optional<Handover> decodeHandover(const std::string &Record) {
  json In = json::parse(Record, nullptr, false);
  auto Has = [&](const char *Name, auto Check) {
    return In.contains(Name) && (In[Name].*Check)();
  };
  if (!In.is_object() || !Has("term", &json::is_number_unsigned) ||
      !Has("fenced", &json::is_boolean) || !Has("jobs", &json::is_array) ||
      !Has("workers", &json::is_array)) {
    base::logEvent(base::LogLevel::Error, "handover-unreadable",
                   {{"bytes", static_cast<int64_t>(Record.size())}});
    return std::nullopt;
  }
  Handover Out;
  Out.Term_ = In["term"].get<uint64_t>();
  Out.PredecessorsFenced_ = In["fenced"].get<bool>();
  Out.Starts_ = RecordedStarts::fromJson(In);
  if (In.contains("clocks"))
    Out.Clocks_ = clocksFromJson(In["clocks"]);
  Out.NamesLateStarts_ = In.contains("late");
  int64_t Unreadable = 0;
  for (const json &Row : In["workers"])
    if (auto Decoded = decodeRow(Row, In["jobs"]))
      Out.Workers_.push_back(std::move(*Decoded));
    else
      ++Unreadable;
  for (const json &Row : In.value("late", json::array()))
    if (auto Decoded = decodeLateStart(Row)) {
      Out.LateStarts_.push_back(std::move(*Decoded));
    } else {
      Out.NamesLateStarts_ = false;
      ++Unreadable;
    }
  if (Unreadable > 0)
    base::logEvent(base::LogLevel::Error, "handover-unreadable",
                   {{"rows", Unreadable}});
  return Out;
}

} // namespace crocuslead::jobs::internal
