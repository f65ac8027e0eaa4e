#include "jobs/JobWorld.h"

#include <doctest/doctest.h>

namespace crocuslead::jobs::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::string otherWorker(const std::string &Id) {
  return Id == "w0" ? "w1" : "w0";
}

} // namespace

TEST_CASE("A run beside another run of its task is counted and stopped") {
  JobWorld World;
  World.addWorker("w0");
  World.addWorker("w1");
  World.startSuccessor();
  World.RunDuration_ = seconds(10);
  World.submit("a", chainJob(1, 1));
  World.submit("b", chainJob(1, 2));
  World.run(milliseconds(500));
  std::string Known = *World.Oracle_.RunningOn_["a.0.0.0"].begin();
  FakeWorker &Other = World.worker(otherWorker(Known));
  FakeRun Copy = World.worker(Known).Runs_.at("a.0.0.0");
  Copy.Number_ += 7;
  Other.Runs_["a.0.0.0"] = Copy;
  World.run(seconds(2));
  CHECK(World.Metrics_
            .counter("crocuslead_duplicate_runs_total",
                     "Runs that were found beside another run of their task.")
            .value() == 1);
  CHECK(Other.Runs_.count("a.0.0.0") == 0);
  CHECK(World.worker(Known).Runs_.count("a.0.0.0") == 1);
}

TEST_CASE("A run whose result is beyond those that its worker lists is not "
          "taken for over") {
  JobWorld World;
  World.MaxListedResults_ = 4;
  World.addWorker("w0");
  World.addWorker("w1");
  World.startSuccessor();
  World.run(milliseconds(200));
  World.submit("a", chainJob(1, 16, 2'000));
  World.run(milliseconds(300));
  World.StoreDown_ = true;
  World.run(seconds(4));
  CHECK(World.Oracle_.EverDone_.size() == 16);
  World.StoreDown_ = false;
  World.run(seconds(3));
  CHECK(World.state("a") == JobState::Completed);
  for (const auto &[Task, Starts] : World.Oracle_.Starts_) {
    CAPTURE(Task);
    CHECK(Starts == 1);
  }
  CHECK(World.Oracle_.Violations_.empty());
}

TEST_CASE("A successor whose time of day is behind does not start what ran in "
          "an occurrence that is not due by its own clock") {
  JobWorld World;
  World.addWorker("w0");
  World.addWorker("w1");
  World.startSuccessor();
  World.run(milliseconds(200));
  World.RunPlan_ = [](const TaskId &Id) {
    bool First = Id.Position_.Index_ == 0;
    return std::make_pair(
        base::Duration(First ? milliseconds(300) : seconds(4)), false);
  };
  JobSpec Spec = chainJob(1, 2);
  Spec.Repetitions_ = 2;
  Spec.FirstRun_ = World.Clock_.wallNow() + seconds(1);
  Spec.Interval_ = seconds(10);
  World.submit("a", Spec);
  World.run(seconds(2));
  REQUIRE(World.Oracle_.EverDone_.count("a.0.0.0") == 1);
  World.Clock_.shiftWall(seconds(-3));
  World.startSuccessor();
  World.run(seconds(6));
  CHECK(World.startsOf("a.0.0.0") == 1);
  CHECK(World.startsOf("a.0.0.1") == 1);
  CHECK(World.Oracle_.Violations_.empty());
}

} // namespace crocuslead::jobs::test
