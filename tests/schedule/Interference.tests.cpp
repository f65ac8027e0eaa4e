#include "Fixtures.h"

#include "schedule/internal/Interference.h"

#include <doctest/doctest.h>

using namespace crocuslead::schedule;
using namespace crocuslead::schedule::testing;
using std::chrono::seconds;

namespace {

//! A worker that runs a service (task 1) and a batch task (task 2).
struct NeighbourFixture {
  NeighbourFixture() {
    Plan_.upsertWorker(worker(1));
    Plan_.allocate({service(1, 1), 1, Start, Start});
    auto Noisy = batch(2);
    Noisy.Kind_ = 9;
    Plan_.allocate({Noisy, 1, Start, Start});
  }
  //! Reports the speed of the service and plans one second later.
  std::vector<Decision> reportAndPlan(double Speed) {
    Plan_.reportUsage({1, Now_, {}, Speed});
    Now_ += seconds(1);
    return Plan_.plan(Now_, 100);
  }
  Planner Plan_;
  crocuslead::base::TimePoint Now_ = Start + seconds(10);
};

} // namespace

TEST_CASE("the slowdown is attributed to the kind that causes it") {
  internal::InterferenceModel Model;
  for (int I = 0; I < 200; ++I) {
    Model.update(0, 1.5, {{1, 1.0}, {2, 1.0}});
    Model.update(0, 1.0, {{2, 1.0}});
  }
  CHECK(Model.mean(1, 0) == doctest::Approx(0.5).epsilon(0.1));
  CHECK(Model.mean(2, 0) < 0.05);
  CHECK(Model.lowerBound(1, 0) <= Model.mean(1, 0));
  CHECK(Model.lowerBound(3, 0) == 0);
}

// Guards against decisions based on too few measurements, decisions in
// quick succession, and flapping.
TEST_CASE("a noisy neighbour is throttled, then evicted, with hysteresis") {
  NeighbourFixture F;
  CHECK(F.reportAndPlan(0.5).empty());
  CHECK(F.reportAndPlan(0.5).empty());
  auto Decisions = F.reportAndPlan(0.5);
  if (Decisions.empty())
    Decisions = F.reportAndPlan(0.5);
  REQUIRE(Decisions.size() == 1);
  CHECK(Decisions[0].Kind_ == DecisionKind::Throttle);
  CHECK(Decisions[0].Task_ == 2);
  CHECK(Decisions[0].ThrottlePercent_ == 50);
  CHECK(F.reportAndPlan(0.5).empty());
  Decisions = F.reportAndPlan(0.5);
  if (Decisions.empty())
    Decisions = F.reportAndPlan(0.5);
  REQUIRE(Decisions.size() == 1);
  CHECK(Decisions[0].Kind_ == DecisionKind::Evict);
  CHECK(Decisions[0].Reason_ == Reason::Interference);
}

TEST_CASE("a throttle is reversed after three good reports and not before") {
  NeighbourFixture F;
  std::vector<Decision> Decisions;
  for (int I = 0; I < 6 && Decisions.empty(); ++I)
    Decisions = F.reportAndPlan(0.5);
  REQUIRE(Decisions.size() == 1);
  CHECK(F.reportAndPlan(1.0).empty());
  CHECK(F.reportAndPlan(0.9).empty()); // Within the bound, but above 80% of it.
  CHECK(F.reportAndPlan(1.0).empty());
  CHECK(F.reportAndPlan(1.0).empty());
  Decisions = F.reportAndPlan(1.0);
  REQUIRE(Decisions.size() == 1);
  CHECK(Decisions[0].Kind_ == DecisionKind::Throttle);
  CHECK(Decisions[0].ThrottlePercent_ == 0);
}

// Guards against an eviction that loses more work than it gains in speed.
TEST_CASE("a throttled neighbour that causes little slowdown is not evicted") {
  NeighbourFixture F;
  auto Other = batch(3);
  Other.Kind_ = 10;
  for (TaskNumber I = 3; I <= 6; ++I) {
    Other.Task_ = I;
    Other.Kind_ = static_cast<KindNumber>(7 + I);
    F.Plan_.allocate({Other, 1, Start, Start});
  }
  int Throttles = 0;
  for (int I = 0; I < 40; ++I)
    for (const Decision &D : F.reportAndPlan(0.7)) {
      CHECK(D.Kind_ == DecisionKind::Throttle);
      ++Throttles;
    }
  CHECK(Throttles == 5);
}

// Guards against a throttle that remains after its victim has ended.
TEST_CASE("a throttle is reversed when the victim is released") {
  NeighbourFixture F;
  std::vector<Decision> Decisions;
  for (int I = 0; I < 6 && Decisions.empty(); ++I)
    Decisions = F.reportAndPlan(0.5);
  REQUIRE(Decisions.size() == 1);
  F.Plan_.release(1);
  Decisions = F.Plan_.plan(F.Now_ + seconds(10), 100);
  REQUIRE(Decisions.size() == 1);
  CHECK(Decisions[0].ThrottlePercent_ == 0);
}

TEST_CASE("a service is placed away from the kind that slows it down") {
  for (bool IgnoreInterference : {false, true}) {
    PlannerPolicy Policy;
    Policy.IgnoreInterference_ = IgnoreInterference;
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
    auto Decisions =
        filterByKind(Plan.plan(Start + seconds(20), 1), DecisionKind::Start);
    if (Decisions.empty())
      Decisions =
          filterByKind(Plan.plan(Start + seconds(21), 1), DecisionKind::Start);
    REQUIRE(Decisions.size() == 1);
    CHECK(Decisions[0].Worker_ == (IgnoreInterference ? 1 : 2));
  }
}
