#include "World.h"

#include <doctest/doctest.h>

using namespace crocuslead;
using namespace crocuslead::partition;
using namespace crocuslead::partition::test;

// Guards against a break anywhere on the path of a job: answer only after the
// commit, command only after the commit, end by report.
TEST_CASE("a submitted job is committed, answered, started and finished") {
  World W(1, 2);
  W.run(1000);
  uint64_t Call = W.submit(batchJob("a", 3));
  CHECK_FALSE(W.answered(Call));
  W.run(500);
  CHECK(W.answered(Call));
  W.run(2000);
  CHECK(W.Oracle_.Starts_ == 3);
  CHECK(W.current()->job("a")->State_ == JobState::Running);
  W.run(15'000);
  CHECK(W.current()->job("a")->State_ == JobState::Finished);
  W.run(25'000);
  CHECK(W.Workers_[0].Attempts_.empty());
  CHECK(W.Workers_[1].Attempts_.empty());
  CHECK(W.Oracle_.text() == "");
}

TEST_CASE("a cancelled job stops its tasks and ends cancelled") {
  World W(2, 2);
  W.submit(batchJob("a", 3, 0));
  W.run(4000);
  CHECK(W.Oracle_.RunsOn_.size() == 3);
  uint64_t Call = W.cancel("a");
  W.run(3000);
  CHECK(W.answered(Call));
  CHECK(W.Oracle_.RunsOn_.empty());
  CHECK(W.current()->job("a")->State_ == JobState::Cancelled);
}

// Guards against an owner that restarts what still runs.
TEST_CASE("a successor recovers running tasks without a second start") {
  World W(3, 2);
  W.submit(batchJob("a", 4, 60'000));
  W.run(4000);
  W.kill();
  W.run(16'000);
  REQUIRE(W.takeOver());
  CHECK(W.current()->job("a")->State_ == JobState::Running);
  W.run(60'000);
  CHECK(W.Oracle_.Starts_ == 4);
  CHECK(W.current()->job("a")->State_ == JobState::Finished);
  CHECK(W.Oracle_.text() == "");
}
