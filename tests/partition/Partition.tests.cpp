#include "World.h"

#include <doctest/doctest.h>

using namespace crocuslead;
using namespace crocuslead::partition;
using namespace crocuslead::partition::test;

// Guards the whole life cycle of a job: the submission is answered and commands
// are sent only after the commit, and the end is learned from a worker report.
TEST_CASE("a submitted job is committed, answered, started and finished") {
  World Sim(1, 2);
  Sim.run(1000);
  uint64_t Call = Sim.submit(batchJob("a", 3));
  CHECK_FALSE(Sim.succeeded(Call));
  Sim.run(500);
  CHECK(Sim.succeeded(Call));
  Sim.run(2000);
  CHECK(Sim.Oracle_.StartCount_ == 3);
  CHECK(Sim.currentOwner()->job("a")->State_ == JobState::Running);
  Sim.run(15'000);
  CHECK(Sim.currentOwner()->job("a")->State_ == JobState::Finished);
  Sim.run(25'000);
  CHECK(Sim.Workers_[0].Attempts_.empty());
  CHECK(Sim.Workers_[1].Attempts_.empty());
  CHECK(Sim.Oracle_.firstViolation() == "");
}

TEST_CASE("cancelling a job stops its tasks and ends the job as cancelled") {
  World Sim(2, 2);
  Sim.submit(batchJob("a", 3, 0));
  Sim.run(4000);
  CHECK(Sim.Oracle_.RunningOn_.size() == 3);
  uint64_t Call = Sim.cancel("a");
  Sim.run(3000);
  CHECK(Sim.succeeded(Call));
  CHECK(Sim.Oracle_.RunningOn_.empty());
  CHECK(Sim.currentOwner()->job("a")->State_ == JobState::Cancelled);
}

// Guards against a new owner that restarts tasks which are still running.
TEST_CASE("a new owner recovers running tasks without starting them again") {
  World Sim(3, 2);
  Sim.submit(batchJob("a", 4, 60'000));
  Sim.run(4000);
  Sim.killOwner();
  Sim.run(16'000);
  REQUIRE(Sim.takeOver());
  CHECK(Sim.currentOwner()->job("a")->State_ == JobState::Running);
  Sim.run(60'000);
  CHECK(Sim.Oracle_.StartCount_ == 4);
  CHECK(Sim.currentOwner()->job("a")->State_ == JobState::Finished);
  CHECK(Sim.Oracle_.firstViolation() == "");
}
