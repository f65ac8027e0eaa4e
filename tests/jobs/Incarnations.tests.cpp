#include "jobs/JobWorld.h"

#include <doctest/doctest.h>

namespace crocuslead::jobs::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

//! Restarts the only worker of a service. Its registry entry names this start
//! time relative to that of the earlier incarnation.
void runJobsAfterRestart(milliseconds Difference) {
  JobWorld World;
  World.addWorker("w0");
  World.startSuccessor();
  World.submit("first", chainJob(1, 1));
  World.run(seconds(3));
  REQUIRE(World.state("first") == JobState::Completed);
  int64_t Before = World.worker("w0").Info_.StartTimeMs_;
  World.restartWorkerUnregistered("w0");
  World.worker("w0").Info_.StartTimeMs_ = Before + Difference.count();
  World.publishWorkers();
  // The report on the second job tells of the new incarnation.
  for (std::string Job : {"second", "third"}) {
    CAPTURE(Job);
    World.submit(Job, chainJob(1, 1));
    World.run(seconds(20));
    CHECK(World.state(Job) == JobState::Completed);
  }
  for (const std::string &Violation : World.Oracle_.Violations_)
    FAIL_CHECK(Violation);
}

} // namespace

TEST_CASE("A worker that restarted gets tasks") {
  runJobsAfterRestart(seconds(2));
}

// Guards against a sound worker that gets no task until another entry of the
// registry changes: its machine's time of day was set back before it restarted,
// so its entry was taken for one of an earlier incarnation.
TEST_CASE("A worker that restarted with an earlier time of day gets tasks") {
  runJobsAfterRestart(-seconds(2));
}

} // namespace crocuslead::jobs::test
