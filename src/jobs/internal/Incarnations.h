#pragma once

#include "base/Clock.h"

#include <cstdint>

// What tells the incarnations of a worker apart: their start times, and clocks
// that begin anywhere.

namespace crocuslead::jobs::internal {

//! Reading of the clock of a worker's present incarnation, from a report of it.
struct ClockSample {
  int64_t WorkerMs_ = 0;
  //! When the request was sent whose reply contains it.
  base::TimePoint SentAt_;
  //! When the reading arrived, by the coordinator's clock.
  base::TimePoint TakenAt_;
};

//! The platform's time of day jumps by seconds.
constexpr int64_t MaxTimeOfDayStepMs = 10'000;

//! Whether an incarnation started after another one of its worker, although the
//! time of day may have been set back in between.
constexpr bool isLaterStart(int64_t StartTimeMs, int64_t OtherMs) {
  return StartTimeMs > OtherMs + MaxTimeOfDayStepMs;
}

} // namespace crocuslead::jobs::internal
