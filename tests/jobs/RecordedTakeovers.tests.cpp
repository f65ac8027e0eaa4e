#include "jobs/JobWorld.h"

#include <doctest/doctest.h>

namespace crocuslead::jobs::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto ElectionTime = milliseconds(1'900);
const std::string Task = "a.0.0.0";
const std::string NextTask = "a.0.1.0";

void requireNoViolations(const JobWorld &World) {
  for (const std::string &Violation : World.Oracle_.Violations_)
    FAIL_CHECK(Violation);
}

void setReachable(FakeWorker &Worker, bool Reachable) {
  Worker.DropsRequests_ = Worker.DropsReplies_ = !Reachable;
}

std::string workerOf(JobWorld &World, const std::string &Name) {
  REQUIRE(World.Oracle_.RunningOn_[Name].size() == 1);
  return *World.Oracle_.RunningOn_[Name].begin();
}

template <typename Check>
bool within(JobWorld &World, base::Duration Time, Check Condition) {
  for (base::TimePoint End = World.now() + Time;
       World.now() < End && !Condition();)
    World.run(milliseconds(1));
  return Condition();
}

JobSpec service() {
  JobSpec Spec = chainJob(1, 1);
  Spec.Steps_[0].LongRunning_ = true;
  return Spec;
}

} // namespace

// Guards against a second run of a step that an earlier term released on a
// result that was not durable, and that its worker lost by a restart.
TEST_CASE("A step that was released on a lost result is not started while a "
          "worker out of reach runs it") {
  JobWorld World;
  World.addWorker("w0", 4'000);
  World.startSuccessor();
  World.run(seconds(15));
  base::Duration FirstStep = seconds(2);
  World.RunPlan_ = [&](const TaskId &Id) {
    return std::pair<base::Duration, bool>(
        Id.Position_.Step_ == 0 ? FirstStep : seconds(60), false);
  };
  JobSpec Spec = chainJob(2, 1, 3'000);
  Spec.Steps_[1].Request_.MilliCpu_ = 10'000;
  World.submit("a", Spec);
  World.run(milliseconds(500));
  REQUIRE(workerOf(World, Task) == "w0");
  for (const char *Id : {"w1", "w2", "w3", "w4", "w5"})
    World.addWorker(Id);
  World.publishWorkers();
  World.run(milliseconds(1'200));
  bool StoreOut = false;
  SUBCASE("right before a crash") {}
  SUBCASE("while the store was out") { StoreOut = true; }
  World.StoreDown_ = StoreOut;
  REQUIRE(within(World, seconds(2),
                 [&] { return !World.Oracle_.RunningOn_[NextTask].empty(); }));
  FirstStep = milliseconds(300);
  World.crashCoordinator();
  std::string CutOff = workerOf(World, NextTask);
  setReachable(World.worker(CutOff), false);
  World.restartWorker("w0");
  World.run(ElectionTime);
  World.StoreDown_ = false;
  World.startSuccessor();
  World.run(seconds(20));
  CHECK(World.Oracle_.RunningOn_[NextTask].size() == 1);
  requireNoViolations(World);
}

// Guards against a second run: the next incarnation of the worker may take the
// start, and a successor would take the run on record for located.
TEST_CASE("A long-running task restarts without a record in a short outage of "
          "the store") {
  JobWorld World;
  for (const char *Id : {"w0", "w1", "w2", "w3", "w4"})
    World.addWorker(Id);
  World.startSuccessor();
  World.submit("a", service());
  World.run(seconds(15));
  std::string First = workerOf(World, Task);
  World.StoreDown_ = true;
  World.run(milliseconds(700));
  base::TimePoint FirstStart = World.SentStarts_[Task].SentAt_;
  World.failRuns(Task);
  World.run(milliseconds(1'500));
  CHECK(World.SentStarts_[Task].SentAt_ == FirstStart);
  World.restartWorkerAfter(First, milliseconds(300));
  World.worker(First).DropsReplies_ = true;
  SUBCASE("which ends") {
    World.StoreDown_ = false;
    World.run(milliseconds(500));
    CHECK(World.Oracle_.RunningOn_[Task].size() == 1);
  }
  SUBCASE("in which the coordinator crashes") {
    bool Registers = false;
    SUBCASE("the registry has the next incarnation") { Registers = true; }
    SUBCASE("the registry lags behind") {}
    World.run(milliseconds(400));
    World.crashCoordinator();
    setReachable(World.worker(First), false);
    World.run(ElectionTime);
    World.StoreDown_ = false;
    if (Registers)
      World.registerWorker(First);
    World.startSuccessor();
    World.run(seconds(25));
    CHECK(World.Oracle_.RunningOn_[Task].size() == 1);
  }
  requireNoViolations(World);
}

} // namespace crocuslead::jobs::test
