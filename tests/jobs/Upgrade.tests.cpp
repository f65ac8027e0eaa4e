#include "jobs/JobWorld.h"

#include <doctest/doctest.h>

namespace crocuslead::jobs::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a term whose version can't read a job's record: it must
// neither stop the job's runs nor acknowledge their ends.
TEST_CASE("A term that can't read a job's record loses none of its "
          "ends" *
          doctest::should_fail()) {
  JobWorld World;
  World.RunDuration_ = seconds(3);
  for (const char *Id : {"w0", "w1"})
    World.addWorker(Id);
  World.startSuccessor();
  World.run(seconds(1));
  World.submit("b", chainJob(2, 4, 1'000));
  World.run(milliseconds(2'990));
  JobRecord Record = World.Jobs_.at("b");
  World.resign(milliseconds(150));
  World.Jobs_.erase("b");
  World.startSuccessor();
  World.Jobs_["b"] = Record;
  World.run(seconds(2));
  World.handOver(milliseconds(150));
  World.run(seconds(20));
  int Starts = 0;
  for (int I = 0; I < 4; ++I)
    Starts += World.startsOf("b.0.0." + std::to_string(I));
  CHECK(World.Oracle_.Violations_.empty());
  CHECK(Starts == 4);
}

} // namespace crocuslead::jobs::test
