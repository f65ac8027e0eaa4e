#include "base/LoopMonitor.h"

#include <algorithm>
#include <ctime>

namespace crocuslead::base {

Duration processCpuTime() {
  timespec Time{};
  if (::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &Time) != 0)
    return {};
  return std::chrono::duration_cast<Duration>(
      std::chrono::seconds(Time.tv_sec) +
      std::chrono::nanoseconds(Time.tv_nsec));
}

Duration LoopMonitor::tick(TimePoint Now) {
  Duration Lag{};
  if (LastTick_)
    Lag = std::max(Duration{}, Now - *LastTick_ - TickInterval_);
  LastTick_ = Now;
  LagSum_ += Lag;
  MaxLag_ = std::max(MaxLag_, Lag);
  ++Ticks_;
  return Lag;
}

std::optional<LoopLoad> LoopMonitor::takeReport(TimePoint Now,
                                                Duration CpuTime) {
  if (!ReportedAt_) {
    ReportedAt_ = Now;
    CpuTimeAtReport_ = CpuTime;
    return std::nullopt;
  }
  Duration Period = Now - *ReportedAt_;
  if (Period < ReportInterval || Ticks_ == 0)
    return std::nullopt;
  LoopLoad Out{Period, LagSum_ / Ticks_, MaxLag_,
               toSeconds(CpuTime - CpuTimeAtReport_) / toSeconds(Period)};
  LagSum_ = MaxLag_ = {};
  Ticks_ = 0;
  ReportedAt_ = Now;
  CpuTimeAtReport_ = CpuTime;
  return Out;
}

} // namespace crocuslead::base
