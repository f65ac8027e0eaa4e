#include "jobs/internal/LastCommit.h"

#include "base/Log.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace crocuslead::jobs::internal {

namespace {

using nlohmann::json;

// Ages beyond this are of no use and would overflow sums of times.
constexpr int64_t MaxAgeMs = 24LL * 3600 * 1000;

std::vector<LeavingWorker> leavingFromJson(const json &Rows) {
  std::vector<LeavingWorker> Out;
  for (const json &Row : Rows)
    if (Row.is_array() && Row.size() >= 2 && Row[0].is_string() &&
        Row[1].is_number_unsigned() && Row[1].get<uint64_t>() <= MaxAgeMs + 1)
      Out.push_back({Row[0].get<std::string>(),
                     std::chrono::milliseconds(Row[1].get<int64_t>())});
  return Out;
}

} // namespace

std::string encodeLastCommit(const LastCommit &From) {
  auto Millis = [](base::Duration Age) {
    return std::clamp<int64_t>(base::toMillis(Age), 0, MaxAgeMs);
  };
  // Rounded towards the safe side.
  json Out = {{"term", From.Term_},
              {"commit", From.Number_},
              {"used_workers_age_ms", Millis(From.UsedWorkersAge_)},
              {"store_silence_ms", Millis(From.StoreSilence_) + 1},
              {"clocks", clocksToJson(From.Clocks_)}};
  From.Starts_.toJson(Out);
  Out["leaving"] = json::array();
  for (const LeavingWorker &Each : From.Leaving_)
    Out["leaving"].push_back({Each.Id_, Millis(Each.AnswerAge_) + 1});
  return Out.dump();
}

std::optional<LastCommit> decodeLastCommit(const std::string &Record) {
  json In = json::parse(Record, nullptr, false);
  auto IsAge = [&](const char *Name) {
    return In.contains(Name) && In[Name].is_number_unsigned() &&
           In[Name].get<uint64_t>() <= MaxAgeMs + 1;
  };
  if (!In.is_object() || !In.contains("term") ||
      !In["term"].is_number_unsigned() || !In.contains("commit") ||
      !In["commit"].is_number_unsigned() || !IsAge("used_workers_age_ms") ||
      !IsAge("store_silence_ms") || !In.contains("clocks")) {
    base::logEvent(base::LogLevel::Error, "last-commit-unreadable",
                   {{"bytes", static_cast<int64_t>(Record.size())}});
    return std::nullopt;
  }
  auto Age = [&](const char *Name) {
    return std::chrono::milliseconds(In[Name].get<int64_t>());
  };
  return LastCommit{In["term"].get<uint64_t>(),
                    In["commit"].get<uint64_t>(),
                    RecordedStarts::fromJson(In),
                    Age("used_workers_age_ms"),
                    Age("store_silence_ms"),
                    clocksFromJson(In["clocks"]),
                    leavingFromJson(In.value("leaving", json::array()))};
}

} // namespace crocuslead::jobs::internal
