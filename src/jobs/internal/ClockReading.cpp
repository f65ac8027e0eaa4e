#include "jobs/internal/ClockReading.h"

#include <nlohmann/json.hpp>

namespace crocuslead::jobs::internal {

using nlohmann::json;

json clocksToJson(const std::vector<ClockReading> &Clocks) {
  json Out = json::array();
  for (const ClockReading &Each : Clocks)
    Out.push_back(
        {Each.Worker_, Each.StartTimeMs_, Each.EarliestMs_, Each.LatestMs_});
  return Out;
}

std::vector<ClockReading> clocksFromJson(const json &Rows) {
  constexpr std::size_t RowSize = 4;
  std::vector<ClockReading> Out;
  if (!Rows.is_array())
    return Out;
  for (const json &Row : Rows)
    if (Row.is_array() && Row.size() >= RowSize && Row[0].is_string() &&
        Row[1].is_number_integer() && Row[2].is_number_integer() &&
        Row[3].is_number_integer())
      Out.push_back({Row[0].get<std::string>(), Row[1].get<int64_t>(),
                     Row[2].get<int64_t>(), Row[3].get<int64_t>()});
  return Out;
}

} // namespace crocuslead::jobs::internal
