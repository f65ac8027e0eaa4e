#include "jobs/JobWorld.h"

#include <doctest/doctest.h>

namespace crocuslead::jobs::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

//! Three times the target of a job of one step; later it is overdue.
constexpr auto OverdueTime = milliseconds(4'500);
//! A long-running task may be without a run for this long.
constexpr auto LongestLostRun = seconds(9);

//! Sixteen workers that a stream of short small tasks keeps full.
struct BusyFleet {
  JobWorld World_;
  int Submitted_ = 0;
  explicit BusyFleet(int Workers = 16) {
    for (int I = 0; I < Workers; ++I)
      World_.addWorker("w" + std::to_string(I));
    World_.RunPlan_ = [this](const TaskId &Task) {
      const StepSpec &Step =
          World_.Jobs_.at(Task.Job_).Spec_.Steps_[Task.Position_.Step_];
      double Factor = Step.LongRunning_ ? 0 : 0.8 + 0.4 * World_.Random_.unit();
      return std::make_pair(std::chrono::duration_cast<base::Duration>(
                                Step.EstimatedDuration_ * Factor),
                            false);
    };
    World_.startSuccessor();
    World_.run(milliseconds(200));
  }
  //! Submits 140 tasks of 3 cores and 600 ms a second; the fleet can run 133.
  void run(base::Duration Time) {
    base::TimePoint End = World_.now() + Time;
    while (World_.now() < End) {
      World_.submit("s" + std::to_string(Submitted_++), chainJob(1, 7, 3'000));
      World_.run(milliseconds(50));
    }
  }
};

//! A busy fleet with long-running jobs, of which several lose a task at once.
struct BusyFleetWithServices : BusyFleet {
  static constexpr int Jobs = 4;
  static constexpr uint32_t Tasks = 2;

  BusyFleetWithServices() {
    for (int I = 0; I < Jobs; ++I) {
      JobSpec Spec = chainJob(1, Tasks, 12'000);
      Spec.Steps_[0].LongRunning_ = true;
      World_.submit("serving" + std::to_string(I), Spec);
    }
    World_.run(milliseconds(500));
    run(seconds(4));
  }
  std::string task(int Job) const {
    return "serving" + std::to_string(Job) + ".0.0.0";
  }
  //! The workers of the first task of each job are about to leave.
  void drainWorkers() {
    for (int I = 0; I < Jobs; ++I) {
      REQUIRE(World_.Oracle_.RunningOn_[task(I)].size() == 1);
      FakeWorker &Worker =
          World_.worker(*World_.Oracle_.RunningOn_[task(I)].begin());
      Worker.Info_.Draining_ = true;
      Worker.Info_.DrainTimeLeft_ = LongestLostRun;
    }
    World_.publishWorkers();
  }
  void checkRuns() {
    for (int I = 0; I < Jobs; ++I) {
      CHECK_MESSAGE(World_.startsOf(task(I)) == 2, task(I));
      CHECK_MESSAGE(World_.Oracle_.RunningOn_[task(I)].size() == 1, task(I));
    }
  }
};

} // namespace

// Guards against services that stay degraded: a step of which other tasks run
// got no reservation.
TEST_CASE_FIXTURE(BusyFleetWithServices,
                  "Long-running tasks that lost their runs do not starve while "
                  "smaller tasks take each gap") {
  drainWorkers();
  run(LongestLostRun);
  checkRuns();
}

TEST_CASE_FIXTURE(BusyFleetWithServices,
                  "Long-running tasks that lost their runs do not starve when "
                  "the coordinator was replaced") {
  drainWorkers();
  run(milliseconds(300));
  World_.startSuccessor();
  run(LongestLostRun);
  checkRuns();
}

TEST_CASE_FIXTURE(
    BusyFleet, "Large tasks do not starve while smaller tasks take each gap") {
  run(seconds(3));
  World_.submit("large", chainJob(1, 2, 12'000));
  run(OverdueTime);
  CHECK(World_.state("large") == JobState::Completed);
}

TEST_CASE_FIXTURE(
    BusyFleet, "Large tasks do not starve when the coordinator was replaced") {
  run(seconds(3));
  World_.submit("large", chainJob(1, 2, 12'000));
  run(milliseconds(200));
  World_.startSuccessor();
  run(OverdueTime);
  CHECK(World_.state("large") == JobState::Completed);
  for (const std::string &Violation : World_.Oracle_.Violations_)
    FAIL_CHECK(Violation);
}

TEST_CASE_FIXTURE(
    BusyFleet,
    "A task that fits no worker does not keep others from starting") {
  World_.submit("impossible", chainJob(1, 1, 20'000));
  run(seconds(3));
  World_.submit("large", chainJob(1, 2, 12'000));
  run(OverdueTime);
  CHECK(World_.state("large") == JobState::Completed);
}

TEST_CASE_FIXTURE(BusyFleet,
                  "A gang does not starve while single tasks take each gap") {
  run(seconds(3));
  JobSpec Gang = chainJob(1, 2, 12'000);
  Gang.Steps_[0].Gang_ = true;
  World_.submit("gang", Gang);
  run(OverdueTime);
  CHECK(World_.state("gang") == JobState::Completed);
}

// The first worker runs a long task, so 12 cores are free only after it.
TEST_CASE("Short tasks use a worker while a large task waits for it") {
  BusyFleet Fleet(1);
  JobSpec Long = chainJob(1, 1, 8'000);
  Long.Steps_[0].EstimatedDuration_ = seconds(5);
  Fleet.World_.submit("long", Long);
  Fleet.World_.run(milliseconds(200));
  Fleet.World_.submit("large", chainJob(1, 1, 12'000));
  Fleet.World_.run(milliseconds(200));
  Fleet.World_.submit("short", chainJob(1, 2, 3'000));
  Fleet.World_.run(milliseconds(1'200));
  CHECK(Fleet.World_.state("short") == JobState::Completed);
  CHECK(Fleet.World_.startsOf("large.0.0.0") == 0);
  Fleet.World_.run(seconds(5));
  CHECK(Fleet.World_.startsOf("large.0.0.0") == 1);
}

// Guards against a reservation that lasts for good.
TEST_CASE_FIXTURE(BusyFleet, "A gang that can never start reserves no worker") {
  World_.worker("w0").Info_.Labels_ = {"gpu"};
  World_.publishWorkers();
  run(seconds(3));
  JobSpec Gang = chainJob(1, 2, 4'000);
  Gang.Steps_[0].Gang_ = true;
  Gang.Steps_[0].MaxPerWorker_ = 1;
  Gang.Steps_[0].RequiredLabel_ = "gpu";
  World_.submit("gang", Gang);
  run(OverdueTime);
  World_.submit("large", chainJob(1, 2, 12'000));
  run(OverdueTime);
  CHECK(World_.state("large") == JobState::Completed);
}

// Guards against a step and the reservation of a later, larger one that keep
// each other from an idle worker for good.
TEST_CASE("Jobs go on after the only worker of their service was slow") {
  constexpr int Jobs = 32;
  JobWorld World;
  World.addWorker("w0");
  World.startSuccessor();
  base::TimePoint SlowFrom = World.now() + seconds(8);
  World.RunPlan_ = [&](const TaskId &) {
    bool Slow = World.now() >= SlowFrom && World.now() < SlowFrom + seconds(7);
    return std::make_pair(base::Duration(milliseconds(Slow ? 3'250 : 500)),
                          false);
  };
  for (int I = 0; I < Jobs; ++I) {
    World.submit("j" + std::to_string(I),
                 I % 3 == 2 ? chainJob(1, 1, 16'000) : chainJob(3, 1, 8'000));
    World.run(milliseconds(800));
  }
  World.run(seconds(40));
  for (int I = 0; I < Jobs; ++I)
    CHECK_MESSAGE(World.state("j" + std::to_string(I)) == JobState::Completed,
                  I);
}

// Guards against services that stay degraded for as long as older ones lose
// tasks as well.
TEST_CASE("The long-running task that has lost its run longest starts first") {
  JobWorld World;
  JobSpec Spec = chainJob(1, 1, 16'000);
  Spec.Steps_[0].LongRunning_ = true;
  World.startSuccessor();
  for (const char *Id : {"older", "younger"}) {
    World.addWorker(std::string("w-") + Id);
    World.submit(Id, Spec);
    World.run(seconds(3));
  }
  for (const char *Id : {"younger", "older"}) {
    REQUIRE(World.startsOf(std::string(Id) + ".0.0.0") == 1);
    World.worker(std::string("w-") + Id).Info_.Draining_ = true;
    World.publishWorkers();
    World.run(seconds(2));
  }
  World.addWorker("w-next");
  World.run(seconds(1));
  CHECK(World.startsOf("younger.0.0.0") == 2);
  CHECK(World.startsOf("older.0.0.0") == 1);
}

} // namespace crocuslead::jobs::test
