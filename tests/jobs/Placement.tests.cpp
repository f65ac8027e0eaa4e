#include "jobs/JobWorld.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace crocuslead::jobs::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

//! Four idle workers on two racks, which the coordinator has polled.
struct Fleet {
  JobWorld World_;
  Fleet() {
    for (const char *Id : {"w0", "w1", "w2", "w3"})
      World_.addWorker(Id);
    for (const char *Id : {"w2", "w3"})
      World_.worker(Id).Info_.Rack_ = "r2";
    World_.RunDuration_ = seconds(5);
    World_.startSuccessor();
    World_.run(milliseconds(200));
  }
  void submitAndRun(JobSpec Job) {
    World_.submit("a", std::move(Job));
    World_.run(milliseconds(300));
  }
  std::size_t runCount(const std::string &Id) {
    return World_.worker(Id).Runs_.size();
  }
};

} // namespace

// Guards against a limit per worker that is checked only once for a step: the
// scores of workers are reused for all its tasks.
TEST_CASE_FIXTURE(
    Fleet, "A worker gets no more tasks of a step than its limit per worker") {
  JobSpec Job = chainJob(1, 12, 100);
  Job.Steps_[0].MaxPerWorker_ = 2;
  submitAndRun(Job);
  for (const char *Id : {"w0", "w1", "w2", "w3"})
    CHECK(runCount(Id) == 2);
}

TEST_CASE_FIXTURE(
    Fleet, "Tasks with a required label run only on workers that have it") {
  World_.worker("w3").Info_.Labels_ = {"gpu"};
  World_.publishWorkers();
  JobSpec Job = chainJob(1, 4, 100);
  Job.Steps_[0].RequiredLabel_ = "gpu";
  submitAndRun(Job);
  CHECK(runCount("w3") == 4);
}

// Guards against the reuse of scores that were computed before the start of the
// first task set the preferred rack.
TEST_CASE_FIXTURE(Fleet,
                  "Tightly coupled tasks share a rack while it has room") {
  JobSpec Job = chainJob(1, 8, 4'000);
  Job.Steps_[0].TightlyCoupled_ = true;
  submitAndRun(Job);
  std::size_t RunsOnFirstRack = runCount("w0") + runCount("w1");
  CHECK(std::max(RunsOnFirstRack, 8 - RunsOnFirstRack) == 8);
}

TEST_CASE_FIXTURE(Fleet, "Tasks of a wide step spread over idle workers") {
  submitAndRun(chainJob(1, 8, 2'000));
  for (const char *Id : {"w0", "w1", "w2", "w3"})
    CHECK(runCount(Id) == 2);
}

TEST_CASE_FIXTURE(Fleet, "A gang starts with all its tasks or not at all") {
  JobSpec Job = chainJob(1, 5, 16'000);
  Job.Steps_[0].Gang_ = true;
  submitAndRun(Job);
  CHECK(World_.startsOf("a.0.0.0") == 0);
  World_.addWorker("w4");
  World_.run(milliseconds(300));
  for (int I = 0; I < 5; ++I)
    CHECK(World_.startsOf("a.0.0." + std::to_string(I)) == 1);
}

TEST_CASE("A worker whose capacity has shrunk gets no start beyond it") {
  JobWorld World;
  World.addWorker("w0");
  World.startSuccessor();
  World.RunDuration_ = seconds(2);
  for (int I = 0; I < 30; ++I)
    World.submit("a" + std::to_string(I), chainJob(1, 1, 4'000));
  World.run(seconds(1));
  REQUIRE(World.worker("w0").Runs_.size() == 4);
  World.worker("w0").Info_.Capacity_.MilliCpu_ = 8'000;
  World.publishWorkers();
  World.run(seconds(9));
  CHECK(World.worker("w0").Runs_.size() == 2);
  World.worker("w0").Info_.Capacity_.MilliCpu_ = 16'000;
  World.publishWorkers();
  World.run(seconds(1));
  CHECK(World.worker("w0").Runs_.size() == 4);
  for (const std::string &Violation : World.Oracle_.Violations_)
    FAIL_CHECK(Violation);
}

} // namespace crocuslead::jobs::test
