#include "jobs/JobWorld.h"

#include <doctest/doctest.h>

#include <cstdlib>

namespace crocuslead::jobs::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

//! Value of the first series whose name and labels contain all parts; -1 if
//! there is none.
double metric(JobWorld &World, const std::vector<std::string> &Parts) {
  std::string Text = World.Metrics_.dump();
  for (std::size_t At = 0; At < Text.size();) {
    std::size_t End = Text.find('\n', At);
    std::string Line = Text.substr(At, End - At);
    bool Matches = true;
    for (const std::string &Part : Parts)
      Matches = Matches && Line.find(Part) != std::string::npos;
    if (Matches && Line[0] != '#')
      return std::atof(Line.substr(Line.rfind(' ')).c_str());
    At = End + 1;
  }
  return -1;
}

double jobTime(JobWorld &World, const std::string &Use) {
  return metric(World, {"job_time_seconds_sum", "use=\"" + Use + "\""});
}

//! A worker that a second job finds occupied for 600 ms.
struct OccupiedWorker {
  JobWorld World_;
  OccupiedWorker() {
    World_.addWorker("w0");
    World_.startSuccessor();
    World_.run(milliseconds(200));
    World_.submit("a", chainJob(1, 1, 16'000));
    World_.run(milliseconds(50));
    World_.submit("b", chainJob(1, 1, 9'000));
  }
};

} // namespace

TEST_CASE_FIXTURE(OccupiedWorker,
                  "Waits for capacity are told by the size of the task") {
  World_.run(seconds(2));
  CHECK(metric(World_, {"task_wait_seconds_count", "cores=\"more\""}) == 2);
  double Waited = metric(World_, {"task_wait_seconds_sum", "cores=\"more\""});
  CHECK(Waited > 0.5);
  CHECK(Waited < 0.7);
  CHECK(jobTime(World_, "capacity") == doctest::Approx(Waited).epsilon(0.1));
  CHECK(jobTime(World_, "run") > 1.1);
  CHECK(jobTime(World_, "lost-worker") == 0);
}

TEST_CASE_FIXTURE(OccupiedWorker, "Tasks that wait are counted by size") {
  World_.run(milliseconds(300));
  std::size_t Counted = 0;
  for (const WaitingTasks &Class : World_.Coordinator_->stats().Waiting_) {
    Counted += Class.Tasks_;
    if (Class.Tasks_ == 0)
      continue;
    CHECK(Class.Kind_ == "batch");
    CHECK(Class.Cores_ == "more");
    CHECK(Class.OldestWait_ >= milliseconds(250));
  }
  CHECK(Counted == 1);
}

TEST_CASE("The time on a worker that did not answer is told apart") {
  JobWorld World;
  World.addWorker("w0");
  World.startSuccessor();
  World.run(milliseconds(200));
  World.submit("a", chainJob(1, 1));
  World.run(milliseconds(100));
  World.worker("w0").DropsRequests_ = true;
  World.run(seconds(2));
  World.worker("w0").DropsRequests_ = false;
  World.run(seconds(2));
  REQUIRE(World.state("a") == JobState::Completed);
  CHECK(jobTime(World, "lost-worker") > 1);
  CHECK(jobTime(World, "capacity") < 0.1);
  CHECK(metric(World, {"jobs_by_size_total", "state=\"completed\"",
                       "target=\"missed\""}) == 1);
}

TEST_CASE("Failed runs are told apart from the run that was done") {
  JobWorld World;
  for (const char *Id : {"w0", "w1"})
    World.addWorker(Id);
  World.worker("w0").FailsAllRuns_ = true;
  World.startSuccessor();
  World.run(milliseconds(200));
  World.submit("a", chainJob(1, 4));
  World.run(seconds(4));
  REQUIRE(World.state("a") == JobState::Completed);
  CHECK(jobTime(World, "failed-run") > 0.5);
  CHECK(jobTime(World, "run") > 0.5);
}

} // namespace crocuslead::jobs::test
