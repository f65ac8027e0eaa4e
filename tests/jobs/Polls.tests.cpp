#include "jobs/JobWorld.h"

#include <doctest/doctest.h>

namespace crocuslead::jobs::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("A listed worker whose address another one has is not polled all the "
          "time") {
  JobWorld World;
  for (const char *Id : {"w0", "w1"})
    World.addWorker(Id);
  World.startSuccessor();
  World.submit("a", chainJob(4, 2, 9'000));
  World.run(milliseconds(300));
  World.worker("w0").AddressTaken_ = true;
  World.worker("w0").Polls_ = 0;
  World.run(seconds(5));
  CHECK(World.worker("w0").Polls_ <= 10);
  World.worker("w0").AddressTaken_ = false;
  World.restartWorker("w0");
  World.submit("b", chainJob(1, 2, 9'000));
  World.run(milliseconds(900));
  CHECK(World.Coordinator_->stats().ReachableWorkers_ == 2);
}

} // namespace crocuslead::jobs::test
