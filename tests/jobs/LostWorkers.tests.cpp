#include "jobs/JobWorld.h"
#include "jobs/internal/CongestionControl.h"

#include <doctest/doctest.h>

namespace crocuslead::jobs::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int WorkerCount = 100;

//! A fleet with spare room that gets a small job every 50 ms.
struct SteadyFleet {
  SteadyFleet() {
    for (int I = 0; I < WorkerCount; ++I)
      World_.addWorker("w" + std::to_string(I));
    World_.RunDuration_ = milliseconds(300);
    World_.MaxPollWait_ = seconds(1);
    World_.startSuccessor();
    World_.run(seconds(1));
  }
  void run(base::Duration Time) {
    for (base::TimePoint End = World_.now() + Time; World_.now() < End;) {
      World_.submit("j" + std::to_string(NextJob_++), chainJob(1, 6, 2'000));
      World_.run(milliseconds(50));
    }
  }

  JobWorld World_;
  int NextJob_ = 0;
};

} // namespace

// Guards against a fleet that stands idle for seconds after some workers die.
TEST_CASE_FIXTURE(SteadyFleet,
                  "The loss of a tenth of the workers at once does "
                  "not hold back starts on the others") {
  run(seconds(2));
  World_.submit("large", chainJob(1, 600, 1'000));
  World_.run(milliseconds(20));
  for (int I = 0; I < WorkerCount / 10; ++I)
    World_.crashWorker("w" + std::to_string(I));
  std::size_t Least = internal::CongestionControl::InitialStartsInFlight;
  for (int I = 0; I < 60; ++I) {
    run(milliseconds(50));
    Least = std::min(Least, World_.Coordinator_->stats().MaxStartsInFlight_);
  }
  CHECK(Least == internal::CongestionControl::InitialStartsInFlight);
}

} // namespace crocuslead::jobs::test
