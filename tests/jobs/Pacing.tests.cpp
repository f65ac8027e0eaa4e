#include "jobs/JobWorld.h"

#include <doctest/doctest.h>

namespace crocuslead::jobs::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

JobSpec serving() {
  JobSpec Out = chainJob(1, 1, 4'000);
  Out.Steps_[0].LongRunning_ = true;
  Out.Steps_[0].TailTarget_ = milliseconds(50);
  Out.Steps_[0].Image_ = "desk";
  return Out;
}

JobSpec bestEffort(uint32_t Count) {
  JobSpec Out = chainJob(1, Count, 1'000);
  Out.Steps_[0].BestEffort_ = Out.Steps_[0].Checkpoints_ = true;
  Out.Steps_[0].Image_ = "season";
  return Out;
}

//! One worker, at which a best-effort task runs beside a serving one.
struct Neighbours {
  JobWorld World_;
  explicit Neighbours(const JobSpec &Batch = bestEffort(1)) {
    World_.addWorker("w0");
    World_.startSuccessor();
    World_.run(milliseconds(200));
    World_.submit("serving", serving());
    World_.run(seconds(4));
    World_.RunDuration_ = seconds(60);
    World_.submit("batch", Batch);
    World_.run(milliseconds(500));
  }
  FakeRun &batch() { return World_.worker("w0").Runs_.at("batch.0.0.0"); }
};

} // namespace

TEST_CASE_FIXTURE(Neighbours, "A tail over its target stops its neighbours") {
  World_.worker("w0").TailLatencyMs_ = 80;
  World_.run(seconds(3));
  CHECK(batch().SpeedPercent_ == 0);
  World_.worker("w0").TailLatencyMs_ = 10;
  World_.run(seconds(4));
  CHECK(batch().SpeedPercent_ == 100);
}

// Guards against tasks that stand still until their neighbours leave, while
// other workers could take them.
TEST_CASE_FIXTURE(Neighbours,
                  "A task that is held back moves where it can work") {
  World_.worker("w0").TailLatencyMs_ = 80;
  World_.run(seconds(3));
  REQUIRE(batch().SpeedPercent_ == 0);
  World_.addWorker("w1");
  World_.run(seconds(2));
  CHECK(World_.startsOf("batch.0.0.0") == 2);
  CHECK(World_.worker("w1").Runs_.count("batch.0.0.0") == 1);
  CHECK(World_.Oracle_.Violations_.empty());
}

TEST_CASE_FIXTURE(Neighbours,
                  "A task that is held back stays where none is better") {
  World_.worker("w0").TailLatencyMs_ = 80;
  World_.run(seconds(6));
  CHECK(World_.startsOf("batch.0.0.0") == 1);
}

// Guards against gangs that are broken and long-running tasks that are stopped
// outside of their budget.
TEST_CASE("Gangs and long-running tasks that are held back are not moved") {
  for (bool Gang : {true, false}) {
    CAPTURE(Gang);
    JobSpec Batch = bestEffort(1);
    Batch.Steps_[0].Gang_ = Gang;
    Batch.Steps_[0].LongRunning_ = !Gang;
    Neighbours Fleet(Batch);
    Fleet.World_.worker("w0").TailLatencyMs_ = 80;
    Fleet.World_.run(seconds(3));
    REQUIRE(Fleet.batch().SpeedPercent_ == 0);
    Fleet.World_.addWorker("w1");
    Fleet.World_.run(seconds(3));
    CHECK(Fleet.World_.startsOf("batch.0.0.0") == 1);
  }
}

// Guards against a successor that takes a stopped task for one at full pace and
// never lets it work again.
TEST_CASE_FIXTURE(Neighbours, "A successor lets a slowed task work again") {
  World_.worker("w0").TailLatencyMs_ = 80;
  World_.run(seconds(3));
  REQUIRE(batch().SpeedPercent_ == 0);
  World_.worker("w0").TailLatencyMs_ = 10;
  World_.startSuccessor();
  World_.run(seconds(1));
  CHECK(batch().SpeedPercent_ == 100);
  CHECK(World_.startsOf("batch.0.0.0") == 1);
}

TEST_CASE("A best-effort task goes beside the tail with most headroom") {
  JobWorld World;
  World.addWorker("w0", 5'000);
  World.addWorker("w1", 5'000);
  World.startSuccessor();
  World.run(milliseconds(200));
  World.submit("s0", serving());
  World.submit("s1", serving());
  World.worker("w0").TailLatencyMs_ = 18;
  World.worker("w1").TailLatencyMs_ = 10;
  World.run(seconds(4));
  REQUIRE(World.worker("w0").Runs_.size() == 1);
  REQUIRE(World.worker("w1").Runs_.size() == 1);
  World.submit("batch", bestEffort(1));
  World.run(milliseconds(100));
  CHECK(World.worker("w1").Runs_.size() == 2);
}

} // namespace crocuslead::jobs::test
