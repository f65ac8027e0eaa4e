#include "Fixtures.h"

#include "schedule/internal/Interference.h"

#include <doctest/doctest.h>

using namespace crocuslead::schedule;
using namespace crocuslead::schedule::testing;
using std::chrono::seconds;

namespace {

struct Bed {
  Bed() {
    Plan_.upsertWorker(worker(1));
    Plan_.allocate({service(1, 1), 1, Start, Start});
    auto Noisy = batch(2);
    Noisy.Kind_ = 9;
    Plan_.allocate({Noisy, 1, Start, Start});
  }
  //! Reports the service's speed and plans one second later.
  std::vector<Decision> round(double Speed) {
    Plan_.reportUsage({1, Now_, {}, Speed});
    Now_ += seconds(1);
    return Plan_.plan(Now_, 100);
  }
  Planner Plan_;
  crocuslead::base::TimePoint Now_ = Start + seconds(10);
};

} // namespace

TEST_CASE("the estimate of the responsible kind stands out") {
  internal::InterferenceModel Estimates;
  for (int I = 0; I < 200; ++I) {
    Estimates.update(0, 1.5, {{1, 1.0}, {2, 1.0}});
    Estimates.update(0, 1.0, {{2, 1.0}});
  }
  CHECK(Estimates.mean(1, 0) == doctest::Approx(0.5).epsilon(0.1));
  CHECK(Estimates.mean(2, 0) < 0.05);
  CHECK(Estimates.lowerBound(1, 0) <= Estimates.mean(1, 0));
  CHECK(Estimates.lowerBound(3, 0) == 0);
}

// Guards against a step on few measurements, steps in a burst, and flapping.
TEST_CASE("a noisy neighbour is throttled, then stopped, with hysteresis") {
  Bed B;
  CHECK(B.round(0.5).empty());
  CHECK(B.round(0.5).empty());
  auto Made = B.round(0.5);
  if (Made.empty())
    Made = B.round(0.5);
  REQUIRE(Made.size() == 1);
  CHECK(Made[0].Kind_ == DecisionKind::Throttle);
  CHECK(Made[0].Task_ == 2);
  CHECK(Made[0].ThrottlePercent_ == 50);
  CHECK(B.round(0.5).empty());
  Made = B.round(0.5);
  if (Made.empty())
    Made = B.round(0.5);
  REQUIRE(Made.size() == 1);
  CHECK(Made[0].Kind_ == DecisionKind::Evict);
  CHECK(Made[0].Reason_ == Reason::Interference);
}

TEST_CASE("a throttle is reversed after three good reports and not before") {
  Bed B;
  std::vector<Decision> Made;
  for (int I = 0; I < 6 && Made.empty(); ++I)
    Made = B.round(0.5);
  REQUIRE(Made.size() == 1);
  CHECK(B.round(1.0).empty());
  CHECK(B.round(0.9).empty()); // Within the bound, but not below 80% of it.
  CHECK(B.round(1.0).empty());
  CHECK(B.round(1.0).empty());
  Made = B.round(1.0);
  REQUIRE(Made.size() == 1);
  CHECK(Made[0].Kind_ == DecisionKind::Throttle);
  CHECK(Made[0].ThrottlePercent_ == 0);
}

// Guards against stopping work for a gain that does not pay for its loss.
TEST_CASE("a throttled neighbour that explains little is not stopped") {
  Bed B;
  auto Other = batch(3);
  Other.Kind_ = 10;
  for (TaskNumber I = 3; I <= 6; ++I) {
    Other.Task_ = I;
    Other.Kind_ = static_cast<KindNumber>(7 + I);
    B.Plan_.allocate({Other, 1, Start, Start});
  }
  int Throttles = 0;
  for (int I = 0; I < 40; ++I)
    for (const Decision &Each : B.round(0.7)) {
      CHECK(Each.Kind_ == DecisionKind::Throttle);
      ++Throttles;
    }
  CHECK(Throttles == 5);
}

// Guards against a throttle that stays when its reason has ended.
TEST_CASE("a throttle ends when the victim leaves") {
  Bed B;
  std::vector<Decision> Made;
  for (int I = 0; I < 6 && Made.empty(); ++I)
    Made = B.round(0.5);
  REQUIRE(Made.size() == 1);
  B.Plan_.release(1);
  Made = B.Plan_.plan(B.Now_ + seconds(10), 100);
  REQUIRE(Made.size() == 1);
  CHECK(Made[0].ThrottlePercent_ == 0);
}

TEST_CASE("a service is placed away from the kind that slows it") {
  for (bool Blind : {false, true}) {
    PlannerPolicy Policy;
    Policy.IgnoreInterference_ = Blind;
    Planner Plan(Policy);
    Plan.upsertWorker(worker(1));
    Plan.upsertWorker(worker(2));
    auto Noisy = batch(2, 2000);
    Noisy.Kind_ = 9;
    Plan.allocate({Noisy, 1, Start, Start});
    Plan.allocate({service(1, 1), 1, Start, Start});
    for (int I = 1; I < 10; ++I)
      Plan.reportUsage({1, Start + seconds(I), {}, 0.5});
    Plan.addPending(service(10, 2));
    auto Made = only(Plan.plan(Start + seconds(20), 1), DecisionKind::Start);
    if (Made.empty())
      Made = only(Plan.plan(Start + seconds(21), 1), DecisionKind::Start);
    REQUIRE(Made.size() == 1);
    CHECK(Made[0].Worker_ == (Blind ? 1 : 2));
  }
}
