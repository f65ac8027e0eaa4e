#include "base/LoopMonitor.h"

#include <doctest/doctest.h>

namespace crocuslead::base {

using std::chrono::milliseconds;

TEST_CASE("A loop monitor tells how late the ticks of a period were") {
  LoopMonitor Monitor(milliseconds(10));
  TimePoint Now{std::chrono::hours(1)};
  CHECK(Monitor.tick(Now) == Duration{});
  CHECK_FALSE(Monitor.takeReport(Now, milliseconds(500)));
  Now += milliseconds(10);
  CHECK(Monitor.tick(Now) == Duration{});
  Now += milliseconds(990);
  CHECK(Monitor.tick(Now) == milliseconds(980));
  auto Load = Monitor.takeReport(Now, milliseconds(750));
  REQUIRE(Load);
  CHECK(Load->Period_ == milliseconds(1000));
  CHECK(Load->MaxLag_ == milliseconds(980));
  CHECK(Load->MeanLag_ == Duration(milliseconds(980)) / 3);
  CHECK(Load->CpuShare_ == doctest::Approx(0.25));
}

TEST_CASE("Each report of a loop monitor covers its own period") {
  LoopMonitor Monitor(milliseconds(10));
  TimePoint Now{std::chrono::hours(1)};
  Monitor.tick(Now);
  Monitor.takeReport(Now, {});
  Now += milliseconds(1500);
  Monitor.tick(Now);
  CHECK(Monitor.takeReport(Now, {}));
  CHECK_FALSE(Monitor.takeReport(Now + milliseconds(999), {}));
  Now += milliseconds(1010);
  Monitor.tick(Now);
  CHECK(Monitor.takeReport(Now, {})->MaxLag_ == milliseconds(1000));
}

} // namespace crocuslead::base
