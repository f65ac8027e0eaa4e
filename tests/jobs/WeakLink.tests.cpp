#include "jobs/RelayedWorld.h"

#include <doctest/doctest.h>

namespace crocuslead::jobs::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int Jobs = 40;
constexpr uint32_t TasksPerJob = 50;

//! Instances whose links carry 100 starts a second each, and workers with room
//! for twenty times as many.
struct WeakLinks {
  explicit WeakLinks(bool Relaying) : Fleet_(1, Instances) {
    Fleet_.Relaying_ = Relaying;
    Fleet_.World_.LinkRequestsPerSecond_ = 100;
    // Only the links are slow.
    Fleet_.MaxDelay_ = milliseconds(5);
    Fleet_.World_.RunDuration_ = milliseconds(200);
    for (int I = 0; I < Workers; ++I)
      Fleet_.World_.addWorker("w" + std::to_string(I), 16'000,
                              "d" + std::to_string(I % 3));
    Fleet_.startSuccessor("i0");
    Fleet_.run(seconds(3));
  }

  void submitAll() {
    for (int I = 0; I < Jobs; ++I) {
      JobSpec Spec = chainJob(1, TasksPerJob);
      Spec.Payload_ = std::string(1'000, 'p');
      Fleet_.submit("j" + std::to_string(I), Spec);
    }
  }

  int completed() const {
    int Out = 0;
    for (int I = 0; I < Jobs; ++I)
      Out +=
          Fleet_.World_.state("j" + std::to_string(I)) == JobState::Completed;
    return Out;
  }

  static constexpr int Instances = 9;
  static constexpr int Workers = 24;
  RelayedWorld Fleet_;
};

} // namespace

TEST_CASE("Accepted tasks are started while workers have room although the "
          "coordinator's link is weak") {
  constexpr auto Limit = seconds(10);
  WeakLinks Relayed(true);
  Relayed.submitAll();
  Relayed.Fleet_.run(Limit);
  CHECK(Relayed.completed() == Jobs);
  Relayed.Fleet_.checkCallbacks();
  CHECK(Relayed.Fleet_.World_.Oracle_.Violations_.empty());
  // The load is one that a single link does not carry.
  WeakLinks Direct(false);
  Direct.submitAll();
  Direct.Fleet_.run(Limit);
  CHECK(Direct.completed() < Jobs / 2);
}

} // namespace crocuslead::jobs::test
