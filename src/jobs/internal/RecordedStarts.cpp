#include "jobs/internal/RecordedStarts.h"

#include <nlohmann/json.hpp>

namespace crocuslead::jobs::internal {

namespace {

constexpr const char *FiniteName = "starts_recorded";
constexpr const char *LongRunningName = "long_running_starts_recorded";

} // namespace

void RecordedStarts::toJson(nlohmann::json &Out) const {
  Out[FiniteName] = Finite_;
  Out[LongRunningName] = LongRunning_;
}

RecordedStarts RecordedStarts::fromJson(const nlohmann::json &In) {
  auto IsSet = [&](const char *Name) {
    return In.contains(Name) && In[Name].is_boolean() && In[Name].get<bool>();
  };
  return {IsSet(FiniteName), IsSet(LongRunningName)};
}

} // namespace crocuslead::jobs::internal
