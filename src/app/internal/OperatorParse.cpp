#include "app/internal/OperatorParse.h"

#include "app/JobJson.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace crocuslead::app {

using nlohmann::json;

void sendJson(const std::shared_ptr<http::Responder> &Out, CallAnswer Answer) {
  Out->send({Answer.Status_,
             {{"Content-Type", "application/json"}},
             std::move(Answer.Body_) + "\n"});
}

std::pair<std::string, std::string> splitQuery(const std::string &Target) {
  std::size_t Mark = Target.find('?');
  if (Mark == std::string::npos)
    return {Target, ""};
  return {Target.substr(0, Mark), Target.substr(Mark + 1)};
}

std::string decodePercent(const std::string &Text) {
  std::string Out;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    unsigned Byte = 0;
    const char *Digits = Text.data() + I + 1;
    bool Escape =
        Text[I] == '%' && I + 2 < Text.size() &&
        std::from_chars(Digits, Digits + 2, Byte, 16).ptr == Digits + 2;
    Out += Escape ? static_cast<char>(Byte) : Text[I];
    I += Escape ? 2 : 0;
  }
  return Out;
}

std::string queryValue(const std::string &Query, const std::string &Name) {
  std::size_t At = 0;
  while (At < Query.size()) {
    std::size_t End = std::min(Query.find('&', At), Query.size());
    std::string Pair = Query.substr(At, End - At);
    if (Pair.rfind(Name + "=", 0) == 0)
      return Pair.substr(Name.size() + 1);
    At = End + 1;
  }
  return "";
}

std::optional<int64_t> expectedRevision(const std::string &Query) {
  std::string Text = queryValue(Query, "revision");
  int64_t Value = 0;
  auto Parsed = std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Text.empty() || Parsed.ec != std::errc())
    return std::nullopt;
  return Value;
}

bool equalSecrets(const std::string &Given, const std::string &Expected) {
  unsigned Difference = Given.size() == Expected.size() ? 0 : 1;
  for (std::size_t I = 0; I < Given.size(); ++I)
    Difference |= static_cast<unsigned char>(Given[I]) ^
                  static_cast<unsigned char>(
                      Expected.empty() ? '\0' : Expected[I % Expected.size()]);
  return Difference == 0;
}

std::string withName(const std::string &Json, const std::string &Name) {
  json Body = json::parse(Json, nullptr, false);
  if (!Body.is_object())
    return Json;
  Body["name"] = Name;
  return Body.dump();
}

bool isRequestId(const std::string &Text) {
  return std::count(Text.begin(), Text.end(), '.') == 2 &&
         Text.find('/') == std::string::npos;
}

CallAnswer mergeRows(const std::map<std::string, CallAnswer> &Answers,
                     const std::string &OrderBy) {
  json Rows = json::array();
  json Missing = json::array();
  for (const auto &[Partition, Answer] : Answers) {
    json Body = json::parse(Answer.Body_, nullptr, false);
    if (Answer.Status_ != 200 || !Body.is_array()) {
      Missing.push_back(Partition);
      continue;
    }
    for (json &Row : Body) {
      Row["partition"] = Partition;
      Rows.push_back(std::move(Row));
    }
  }
  std::stable_sort(Rows.begin(), Rows.end(),
                   [&OrderBy](const json &A, const json &B) {
                     return A.value(OrderBy, json()) < B.value(OrderBy, json());
                   });
  return {200, json{{"rows", Rows}, {"partitions_missing", Missing}}.dump()};
}

CallAnswer settle(const std::map<std::string, CallAnswer> &Answers,
                  const std::string &Period) {
  std::map<std::pair<std::string, std::string>, partition::UsageRow> Sums;
  json Missing = json::array();
  for (const auto &[Partition, Answer] : Answers) {
    if (Answer.Status_ != 200)
      Missing.push_back(Partition);
    for (const partition::UsageRow &Row : parseUsage(Answer.Body_)) {
      if (!Period.empty() && Row.Period_ != Period)
        continue;
      partition::UsageRow &Sum = Sums[{Row.Period_, Row.Workspace_}];
      Sum.GrantedCpuMillis_ += Row.GrantedCpuMillis_;
      Sum.HeldCpuMillis_ += Row.HeldCpuMillis_;
      Sum.UsedCpuMillis_ += Row.UsedCpuMillis_;
      Sum.EstimatedCpuMillis_ += Row.EstimatedCpuMillis_;
      Sum.Evictions_ += Row.Evictions_;
    }
  }
  json Rows = json::array();
  for (const auto &[Key, Sum] : Sums)
    Rows.push_back(
        {{"period", Key.first},
         {"workspace", Key.second},
         {"granted_cpu_ms", Sum.GrantedCpuMillis_},
         {"held_cpu_ms", Sum.HeldCpuMillis_},
         {"used_cpu_ms", Sum.UsedCpuMillis_},
         {"estimated_cpu_ms", Sum.EstimatedCpuMillis_},
         {"excess_cpu_ms",
          std::max<int64_t>(0, Sum.HeldCpuMillis_ - Sum.GrantedCpuMillis_)},
         {"evictions", Sum.Evictions_}});
  return {200, json{{"rows", Rows}, {"partitions_missing", Missing}}.dump()};
}

} // namespace crocuslead::app
