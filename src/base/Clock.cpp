#include "base/Clock.h"

#include <ctime>

namespace crocuslead::base {

TimePoint SystemClock::now() const {
  timespec SinceBoot{};
  clock_gettime(CLOCK_BOOTTIME, &SinceBoot);
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(SinceBoot.tv_sec) +
      std::chrono::nanoseconds(SinceBoot.tv_nsec)));
}

WallTime SystemClock::wallNow() const {
  return std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
}

void ManualClock::advance(Duration Step) {
  Now_ += Step;
  WallNow_ += std::chrono::duration_cast<std::chrono::milliseconds>(Step);
}

} // namespace crocuslead::base
