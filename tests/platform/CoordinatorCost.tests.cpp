#include "CoordinatorRig.h"

#include <doctest/doctest.h>

namespace crocuslead::platform {

namespace {

constexpr int Workers = 890;
constexpr double StartsPerSecond = 1420;
constexpr double CoresOfInstance = 0.5;
constexpr double Speed = 0.5;
constexpr double MaxSecondsPerStart = CoresOfInstance * Speed / StartsPerSecond;

//! Processor time of a start, in seconds.
double secondsPerStart(bench::CoordinatorRig &Rig, base::Duration WarmUp) {
  Rig.run(WarmUp);
  uint64_t StartsBefore = Rig.starts();
  double CpuBefore = bench::threadCpuSeconds();
  Rig.run(std::chrono::seconds(4));
  double CpuSeconds = bench::threadCpuSeconds() - CpuBefore;
  auto Starts = static_cast<double>(Rig.starts() - StartsBefore);
  REQUIRE(Starts > StartsPerSecond);
  return CpuSeconds / Starts;
}

} // namespace

// Guards against a fleet that stands idle because its coordinator has half the
// usual processor (docs/incidents/short-opgn-sched-large-2.md).
TEST_CASE(
    "A coordinator at half its speed starts the tasks of a large fleet in "
    "time") {
  bench::CoordinatorRig Rig(Workers);
  CHECK(secondsPerStart(Rig, std::chrono::seconds(3)) <= MaxSecondsPerStart);
}

// docs/incidents/short-opgn-sched-large-3.md
TEST_CASE("Long-running tasks, waiting jobs and lost requests don't use up the "
          "processor of a coordinator") {
  bench::CoordinatorRig Rig(Workers, bench::BusyDay);
  double SecondsPerStart = secondsPerStart(Rig, std::chrono::seconds(5));
  jobs::CoordinatorStats Stats = Rig.stats();
  REQUIRE(static_cast<int>(Stats.ReadySteps_) >= bench::BusyDay.WaitingJobs_);
  REQUIRE(Stats.AcknowledgingPolls_ > 0);
  CHECK(SecondsPerStart <= MaxSecondsPerStart);
}

} // namespace crocuslead::platform
