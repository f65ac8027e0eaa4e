#include "base/Clock.h"

namespace crocuslead::base {

TimePoint SystemClock::now() const {
  auto SinceBoot = std::chrono::steady_clock::now().time_since_epoch();
  return TimePoint(std::chrono::duration_cast<Duration>(SinceBoot));
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
