#include "jobs/JobWorld.h"

#include <doctest/doctest.h>

namespace crocuslead::jobs::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

//! One worker of 16 cores. A job of one step has its target 1.5 s after its
//! acceptance and is overdue after 4.5 s.
struct SingleWorker {
  JobWorld World_;
  SingleWorker() {
    World_.addWorker("w0");
    World_.startSuccessor();
    World_.run(milliseconds(200));
  }
};

} // namespace

TEST_CASE_FIXTURE(SingleWorker,
                  "Overdue jobs do not make jobs of use overdue as well") {
  World_.RunDuration_ = seconds(6);
  World_.submit("long", chainJob(1, 1, 16'000));
  World_.run(milliseconds(200));
  World_.RunDuration_ = milliseconds(600);
  World_.submit("overdue", chainJob(1, 4, 16'000));
  World_.run(seconds(3));
  World_.submit("late", chainJob(1, 1, 16'000));
  World_.run(milliseconds(3'800));
  CHECK(World_.state("late") == JobState::Completed);
  World_.run(seconds(3));
  CHECK(World_.state("overdue") == JobState::Completed);
}

TEST_CASE_FIXTURE(SingleWorker, "A late step that has begun is finished "
                                "although jobs on time keep coming") {
  World_.submit("wide", chainJob(1, 8, 9'000));
  for (int I = 0; I < 40; ++I) {
    World_.run(milliseconds(100));
    World_.submit("on-time-" + std::to_string(I), chainJob(1, 1, 9'000));
  }
  World_.run(milliseconds(1'500));
  CHECK(World_.startsOf("wide.0.0.5") == 1);
}

TEST_CASE_FIXTURE(SingleWorker,
                  "A late occurrence of a recurring job has its own target") {
  JobSpec Recurring = chainJob(1, 1, 9'000);
  Recurring.FirstRun_ = World_.Clock_.wallNow();
  Recurring.Interval_ = seconds(6);
  Recurring.Repetitions_ = 2;
  World_.submit("recurring", Recurring);
  World_.run(seconds(3));
  for (int I = 0; I < 10; ++I) {
    World_.submit("on-time-" + std::to_string(I), chainJob(1, 1, 9'000));
    World_.run(milliseconds(500));
  }
  CHECK(World_.startsOf("recurring.1.0.0") == 1);
}

} // namespace crocuslead::jobs::test
