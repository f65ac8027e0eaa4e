#include "CoordinatorRig.h"

#include <doctest/doctest.h>

namespace crocuslead::platform {

// Guards against a fleet that stands idle because its coordinator has half the
// usual processor (docs/incidents/short-opgn-sched-large-2.md).
TEST_CASE(
    "A coordinator at half its speed starts the tasks of a large fleet in "
    "time") {
  constexpr int Workers = 890;
  constexpr double StartsPerSecond = 1420;
  constexpr double CoresOfInstance = 0.5;
  constexpr double Speed = 0.5;
  constexpr double MaxSecondsPerStart =
      CoresOfInstance * Speed / StartsPerSecond;
  bench::CoordinatorRig Rig(Workers);
  Rig.run(std::chrono::seconds(3));
  uint64_t StartsBefore = Rig.starts();
  double CpuBefore = bench::threadCpuSeconds();
  Rig.run(std::chrono::seconds(4));
  double CpuSeconds = bench::threadCpuSeconds() - CpuBefore;
  auto Starts = static_cast<double>(Rig.starts() - StartsBefore);
  REQUIRE(Starts > StartsPerSecond);
  CHECK(CpuSeconds / Starts <= MaxSecondsPerStart);
}

} // namespace crocuslead::platform
