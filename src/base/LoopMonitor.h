#pragma once

#include "base/Clock.h"

#include <cstdint>
#include <optional>

namespace crocuslead::base {

//! How well an event loop kept up during a period.
struct LoopLoad {
  Duration Period_{};
  //! How late the ticks were.
  Duration MeanLag_{};
  Duration MaxLag_{};
  //! Processor time of the process, as a share of one core.
  double CpuShare_ = 0;
};

//! Processor time that the process has used since it started.
Duration processCpuTime();

//! Measures the load of an event loop by the delay of its periodic tick.
class LoopMonitor {
public:
  explicit LoopMonitor(Duration TickInterval) : TickInterval_(TickInterval) {}

  //! To be called at each tick. Returns how late it is.
  Duration tick(TimePoint Now);
  //! Load since the last report; unset until ReportInterval has passed.
  std::optional<LoopLoad> takeReport(TimePoint Now, Duration CpuTime);

  static constexpr Duration ReportInterval = std::chrono::seconds(1);

private:
  Duration TickInterval_;
  std::optional<TimePoint> LastTick_;
  Duration LagSum_{};
  Duration MaxLag_{};
  int64_t Ticks_ = 0;
  std::optional<TimePoint> ReportedAt_;
  Duration CpuTimeAtReport_{};
};

} // namespace crocuslead::base
