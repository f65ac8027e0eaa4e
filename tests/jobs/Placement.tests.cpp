#include "jobs/JobWorld.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace crocuslead::jobs::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

//! Four idle workers on two racks, with a coordinator that knows them.
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
  void place(JobSpec Job) {
    World_.submit("a", std::move(Job));
    World_.run(milliseconds(300));
  }
  std::size_t runsOn(const std::string &Id) {
    return World_.worker(Id).Runs_.size();
  }
};

} // namespace

// Guards against a step whose workers are weighed once and then get more of its
// tasks than it allows on one.
TEST_CASE_FIXTURE(Fleet, "A worker gets no more tasks of a step than allowed") {
  JobSpec Job = chainJob(1, 12, 100);
  Job.Steps_[0].MaxPerWorker_ = 2;
  place(Job);
  for (const char *Id : {"w0", "w1", "w2", "w3"})
    CHECK(runsOn(Id) == 2);
}

TEST_CASE_FIXTURE(Fleet, "A required label keeps tasks off other workers") {
  World_.worker("w3").Info_.Labels_ = {"gpu"};
  World_.publishWorkers();
  JobSpec Job = chainJob(1, 4, 100);
  Job.Steps_[0].RequiredLabel_ = "gpu";
  place(Job);
  CHECK(runsOn("w3") == 4);
}

// Guards against scores from before the first task chose the rack.
TEST_CASE_FIXTURE(Fleet,
                  "Tightly coupled tasks share a rack while it has room") {
  JobSpec Job = chainJob(1, 8, 4'000);
  Job.Steps_[0].TightlyCoupled_ = true;
  place(Job);
  std::size_t First = runsOn("w0") + runsOn("w1");
  CHECK(std::max(First, 8 - First) == 8);
}

TEST_CASE_FIXTURE(Fleet, "Tasks of a wide step spread over idle workers") {
  place(chainJob(1, 8, 2'000));
  for (const char *Id : {"w0", "w1", "w2", "w3"})
    CHECK(runsOn(Id) == 2);
}

TEST_CASE_FIXTURE(Fleet, "A gang starts whole or not at all") {
  JobSpec Job = chainJob(1, 5, 16'000);
  Job.Steps_[0].Gang_ = true;
  place(Job);
  CHECK(World_.startsOf("a.0.0.0") == 0);
  World_.addWorker("w4");
  World_.run(milliseconds(300));
  for (int I = 0; I < 5; ++I)
    CHECK(World_.startsOf("a.0.0." + std::to_string(I)) == 1);
}

} // namespace crocuslead::jobs::test
