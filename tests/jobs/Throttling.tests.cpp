#include "jobs/JobWorld.h"

#include <doctest/doctest.h>

namespace crocuslead::jobs::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

JobSpec servingJob() {
  JobSpec Out = chainJob(1, 1, 4'000);
  Out.Steps_[0].LongRunning_ = true;
  Out.Steps_[0].TailLatencyTarget_ = milliseconds(50);
  Out.Steps_[0].Image_ = "desk";
  return Out;
}

JobSpec bestEffortJob(uint32_t Count) {
  JobSpec Out = chainJob(1, Count, 1'000);
  Out.Steps_[0].BestEffort_ = Out.Steps_[0].Checkpoints_ = true;
  Out.Steps_[0].Image_ = "season";
  return Out;
}

//! One worker that runs a best-effort task and a serving task.
struct SharedWorker {
  JobWorld World_;
  explicit SharedWorker(const JobSpec &Batch = bestEffortJob(1)) {
    World_.addWorker("w0");
    World_.startSuccessor();
    World_.run(milliseconds(200));
    World_.submit("serving", servingJob());
    World_.run(seconds(4));
    World_.RunDuration_ = seconds(60);
    World_.submit("batch", Batch);
    World_.run(milliseconds(500));
  }
  FakeRun &batchRun() { return World_.worker("w0").Runs_.at("batch.0.0.0"); }
};

} // namespace

TEST_CASE_FIXTURE(
    SharedWorker,
    "A tail latency over its target pauses best-effort tasks on the worker") {
  World_.worker("w0").TailLatencyMs_ = 80;
  World_.run(seconds(3));
  CHECK(batchRun().SpeedPercent_ == 0);
  World_.worker("w0").TailLatencyMs_ = 10;
  World_.run(seconds(4));
  CHECK(batchRun().SpeedPercent_ == 100);
}

// Guards against paused tasks that stay on their worker until its serving tasks
// end, although other workers could run them.
TEST_CASE_FIXTURE(SharedWorker,
                  "A throttled task moves to a worker on which it can run") {
  World_.worker("w0").TailLatencyMs_ = 80;
  World_.run(seconds(3));
  REQUIRE(batchRun().SpeedPercent_ == 0);
  World_.addWorker("w1");
  World_.run(seconds(2));
  CHECK(World_.startsOf("batch.0.0.0") == 2);
  CHECK(World_.worker("w1").Runs_.count("batch.0.0.0") == 1);
  CHECK(World_.Oracle_.Violations_.empty());
}

TEST_CASE_FIXTURE(SharedWorker,
                  "A throttled task stays if no other worker can run it") {
  World_.worker("w0").TailLatencyMs_ = 80;
  World_.run(seconds(6));
  CHECK(World_.startsOf("batch.0.0.0") == 1);
}

// Guards against moves that break a gang or stop a long-running task without
// regard to its disruption budget.
TEST_CASE("Throttled gangs and long-running tasks are not moved") {
  for (bool Gang : {true, false}) {
    CAPTURE(Gang);
    JobSpec Batch = bestEffortJob(1);
    Batch.Steps_[0].Gang_ = Gang;
    Batch.Steps_[0].LongRunning_ = !Gang;
    SharedWorker Shared(Batch);
    Shared.World_.worker("w0").TailLatencyMs_ = 80;
    Shared.World_.run(seconds(3));
    REQUIRE(Shared.batchRun().SpeedPercent_ == 0);
    Shared.World_.addWorker("w1");
    Shared.World_.run(seconds(3));
    CHECK(Shared.World_.startsOf("batch.0.0.0") == 1);
  }
}

// Guards against a successor that assumes full speed for a task that its
// predecessor paused, and therefore never resumes it.
TEST_CASE_FIXTURE(SharedWorker,
                  "A successor resumes a task that its predecessor paused") {
  World_.worker("w0").TailLatencyMs_ = 80;
  World_.run(seconds(3));
  REQUIRE(batchRun().SpeedPercent_ == 0);
  World_.worker("w0").TailLatencyMs_ = 10;
  World_.startSuccessor();
  World_.run(seconds(1));
  CHECK(batchRun().SpeedPercent_ == 100);
  CHECK(World_.startsOf("batch.0.0.0") == 1);
}

TEST_CASE("A best-effort task starts where serving tasks have most headroom") {
  JobWorld World;
  World.addWorker("w0", 5'000);
  World.addWorker("w1", 5'000);
  World.startSuccessor();
  World.run(milliseconds(200));
  World.submit("s0", servingJob());
  World.submit("s1", servingJob());
  World.worker("w0").TailLatencyMs_ = 18;
  World.worker("w1").TailLatencyMs_ = 10;
  World.run(seconds(4));
  REQUIRE(World.worker("w0").Runs_.size() == 1);
  REQUIRE(World.worker("w1").Runs_.size() == 1);
  World.submit("batch", bestEffortJob(1));
  World.run(milliseconds(100));
  CHECK(World.worker("w1").Runs_.size() == 2);
}

} // namespace crocuslead::jobs::test
