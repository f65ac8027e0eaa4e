#pragma once

#include "base/Clock.h"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace crocuslead::relay::internal {

//! How far the clock of another process is ahead of this one's, or less. Each
//! reading was taken before it arrived, so the largest one is the closest. Old
//! readings are dropped, as the clocks drift.
class ClockLead {
public:
  void record(int64_t ClockMs, base::TimePoint ArrivedAt) {
    // Rounded up, so that the lead is not overestimated.
    int64_t Arrived = base::toMillis(ArrivedAt.time_since_epoch()) + 1;
    int64_t Lead = ClockMs - Arrived;
    if (!Present_ || ArrivedAt - Since_ >= Period) {
      Former_ = Present_;
      Present_ = Lead;
      Since_ = ArrivedAt;
    }
    Present_ = std::max(*Present_, Lead);
  }

  //! A time on the other clock that it reaches no later than At is reached
  //! here. Unset without a reading.
  std::optional<int64_t> toOther(base::TimePoint At) const {
    if (!Present_)
      return std::nullopt;
    return base::toMillis(At.time_since_epoch()) +
           std::max(*Present_, Former_.value_or(*Present_));
  }

private:
  static constexpr base::Duration Period = std::chrono::seconds(5);

  std::optional<int64_t> Former_;
  std::optional<int64_t> Present_;
  base::TimePoint Since_;
};

} // namespace crocuslead::relay::internal
