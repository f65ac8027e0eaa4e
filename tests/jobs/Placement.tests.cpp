#include "jobs/JobWorld.h"
#include "support/SeedRange.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>

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

namespace {

//! A best-effort task of 3 s.
JobSpec bestEffort(uint32_t Count) {
  JobSpec Out = chainJob(1, Count, 4'000);
  Out.Steps_[0].BestEffort_ = true;
  Out.Steps_[0].Image_ = "season";
  Out.Steps_[0].Request_.MemoryMb_ = 3'200;
  return Out;
}

} // namespace

// Guards against idle workers beside a backlog: review/2. The first step can't
// start, and comes before the others of its image once all are overdue.
TEST_CASE("A best-effort step that finds no worker does not keep others of its "
          "image from starting") {
  JobSpec First = bestEffort(1);
  StepSpec &Step = First.Steps_[0];
  SUBCASE("a label that no worker has") { Step.RequiredLabel_ = "none"; }
  SUBCASE("a label whose only worker is full") { Step.RequiredLabel_ = "busy"; }
  SUBCASE("more memory than any worker has") {
    Step.Request_.MemoryMb_ = 100'000;
  }
  SUBCASE("a limit per worker") {
    Step.Count_ = 5;
    Step.MaxPerWorker_ = 1;
  }
  SUBCASE("a gang that is too large") {
    Step.Count_ = 100;
    Step.Gang_ = true;
  }
  Fleet Workers;
  JobWorld &World = Workers.World_;
  World.worker("w3").Info_.Labels_ = {"busy"};
  World.publishWorkers();
  JobSpec Filler = chainJob(1, 1, 100);
  Filler.Steps_[0].Request_.MemoryMb_ = 64'000;
  Filler.Steps_[0].RequiredLabel_ = "busy";
  World.RunDuration_ = seconds(1'000);
  World.submit("filler", Filler);
  World.run(milliseconds(300));
  World.submit("first", First);
  World.run(seconds(5));
  World.RunDuration_ = seconds(3);
  for (int I = 0; I < 20; ++I)
    World.submit("j" + std::to_string(I), bestEffort(4));
  World.run(seconds(60));
  for (int I = 0; I < 20; ++I)
    CHECK(World.state("j" + std::to_string(I)) == JobState::Completed);
  for (const std::string &Violation : World.Oracle_.Violations_)
    FAIL_CHECK(Violation);
}

namespace {

//! A random step that one of four workers with different labels can run, or
//! that none can.
std::pair<StepSpec, bool> randomStep(base::Random &Random) {
  constexpr std::array<const char *, 4> Labels = {"", "a", "b", "none"};
  StepSpec Out;
  Out.Count_ = static_cast<uint32_t>(1 + Random.below(4));
  Out.EstimatedDuration_ = milliseconds(200 + Random.below(2'000));
  Out.BestEffort_ = Random.below(2) == 0;
  Out.Image_ = "image-" + std::to_string(Random.below(2));
  Out.RequiredLabel_ = Labels.at(Random.below(Labels.size()));
  Out.Request_ = {static_cast<int64_t>(500 + Random.below(8'000)),
                  static_cast<int64_t>(500 + Random.below(30'000)), 0};
  bool TooLarge = Random.below(8) == 0;
  if (TooLarge)
    Out.Request_.MemoryMb_ = 65'000;
  Out.MaxPerWorker_ = static_cast<uint32_t>(Random.below(3));
  Out.Gang_ = Random.below(6) == 0;
  if (Out.Gang_)
    Out.RequiredLabel_ = "";
  return {Out, !TooLarge && Out.RequiredLabel_ != "none"};
}

void runMixOfSteps(uint64_t Seed) {
  CAPTURE(Seed);
  Fleet Workers;
  JobWorld &World = Workers.World_;
  World.Random_ = base::Random(Seed);
  World.worker("w0").Info_.Labels_ = {"a"};
  World.worker("w1").Info_.Labels_ = {"b"};
  World.worker("w2").Info_.Labels_ = {"a", "b"};
  World.publishWorkers();
  std::vector<bool> Fits;
  for (int I = 0; I < 40; ++I) {
    auto [Step, StepFits] = randomStep(World.Random_);
    JobSpec Job;
    Job.Payload_ = "p";
    Job.Steps_ = {Step};
    World.RunDuration_ = Step.EstimatedDuration_;
    World.submit("j" + std::to_string(I), Job);
    Fits.push_back(StepFits);
    World.run(milliseconds(World.Random_.below(600)));
  }
  World.run(seconds(180));
  for (std::size_t I = 0; I < Fits.size(); ++I) {
    CAPTURE(I);
    CHECK((World.state("j" + std::to_string(I)) == JobState::Completed) ==
          Fits[I]);
  }
  for (const std::string &Violation : World.Oracle_.Violations_)
    FAIL_CHECK(Violation);
}

} // namespace

TEST_CASE("In random mixes of steps all that some worker can run complete") {
  auto Seeds = tests::seedRange({1, 60});
  for (uint64_t Seed = Seeds.First_; Seed <= Seeds.Last_; ++Seed)
    runMixOfSteps(Seed);
}

} // namespace crocuslead::jobs::test
