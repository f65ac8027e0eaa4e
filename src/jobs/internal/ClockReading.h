#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace crocuslead::jobs::internal {

//! What a worker's clock showed when a record was written. The worker answers
//! the reader of the record as well, so its clock tells how old the record is.
struct ClockReading {
  std::string Worker_;
  //! Start of the worker's incarnation, in milliseconds since 1970.
  int64_t StartTimeMs_ = 0;
  //! Bounds of the reading in milliseconds.
  int64_t EarliestMs_ = 0;
  int64_t LatestMs_ = 0;
};

//! Rows of worker id, start time, and the bounds of the reading.
nlohmann::json clocksToJson(const std::vector<ClockReading> &Clocks);
//! Leaves out rows of another shape.
std::vector<ClockReading> clocksFromJson(const nlohmann::json &Rows);

} // namespace crocuslead::jobs::internal
