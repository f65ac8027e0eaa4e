#include "jobs/JobWorld.h"

#include <doctest/doctest.h>

namespace crocuslead::jobs::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

//! Two workers, of which w0 has gone down and come back.
struct FlappingWorker {
  JobWorld World_;
  FlappingWorker() {
    for (const char *Id : {"w0", "w1"})
      World_.addWorker(Id);
    World_.startSuccessor();
    World_.run(milliseconds(200));
    // Polls find a loss only while the worker has runs.
    JobSpec Job = chainJob(1, 2, 9'000);
    Job.Steps_[0].LongRunning_ = true;
    World_.submit("watch", Job);
    World_.run(milliseconds(200));
  }
  void loseOnce() {
    World_.worker("w0").DropsRequests_ = true;
    World_.run(milliseconds(2'500));
    World_.worker("w0").DropsRequests_ = false;
    World_.run(milliseconds(1'500));
  }
  std::size_t runsOn(const std::string &Id, const std::string &Job) {
    std::size_t Out = 0;
    for (auto &[Name, Run] : World_.worker(Id).Runs_)
      Out += Run.Task_.Job_ == Job ? 1U : 0U;
    return Out;
  }
};

} // namespace

TEST_CASE_FIXTURE(FlappingWorker,
                  "A worker that is lost again and again gets no new task") {
  loseOnce();
  loseOnce();
  World_.submit("a", chainJob(1, 4, 1'000));
  World_.run(milliseconds(300));
  CHECK(runsOn("w0", "a") == 0);
  CHECK(runsOn("w1", "a") == 4);
}

TEST_CASE_FIXTURE(FlappingWorker,
                  "A worker that restarts again and again gets no new task") {
  for (int I = 0; I < 2; ++I) {
    World_.run(milliseconds(500));
    World_.restartWorker("w0");
    World_.run(milliseconds(1'500));
  }
  World_.submit("a", chainJob(1, 4, 1'000));
  World_.run(milliseconds(300));
  CHECK(runsOn("w0", "a") == 0);
}

TEST_CASE_FIXTURE(FlappingWorker,
                  "A task that has waited starts on a worker on probation") {
  loseOnce();
  loseOnce();
  World_.RunDuration_ = seconds(5);
  World_.submit("a", chainJob(1, 2, 6'000));
  World_.run(milliseconds(200));
  CHECK(runsOn("w0", "a") == 0);
  World_.run(milliseconds(500));
  CHECK(runsOn("w0", "a") == 1);
}

} // namespace crocuslead::jobs::test
