#include "jobs/TestCluster.h"

namespace crocuslead::jobs::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

//! A coordinator "a" that is cut off with worker w0, and its successor "b" that
//! reaches w1. The former one still learns of jobs, through a watch.
struct SupersededTerm {
  SupersededTerm() {
    Cluster_.World_.addWorker("w1");
    run(seconds(2));
    REQUIRE(Former_.Election_.term() == JobWorld::TokensPerTerm);
    Successor_.emplace(Cluster_.World_, SuccessorPath_, "b",
                       JobWorld::TokensPerTerm);
    run(seconds(1));
    FormerPath_.cutExceptWatches(JobKeys::JobsPrefix);
    Cluster_.World_.Term_ = 1;
    Cluster_.World_.cutOff({"w0"});
    Cluster_.Store_.endLease(FormerLease);
    run(seconds(1));
    REQUIRE(Successor_->Election_.term() == 2 * JobWorld::TokensPerTerm);
    REQUIRE(Former_.Election_.term() == JobWorld::TokensPerTerm);
  }
  ~SupersededTerm() {
    for (const std::string &Violation : Cluster_.World_.Oracle_.Violations_)
      FAIL_CHECK(Violation);
  }
  void run(base::Duration Time) {
    JobWorld &World = Cluster_.World_;
    for (base::TimePoint End = World.now() + Time; World.now() < End;) {
      Former_.tick();
      if (Successor_)
        Successor_->tick();
      Cluster_.Store_.run();
      FormerPath_.run();
      World.run(milliseconds(10));
    }
  }

  static constexpr int64_t FormerLease = 1;

  TestCluster Cluster_;
  StorePath FormerPath_{Cluster_.Store_};
  StorePath SuccessorPath_{Cluster_.Store_};
  TestInstance Former_{Cluster_.World_, FormerPath_, "a",
                       JobWorld::TokensPerTerm};
  std::optional<TestInstance> Successor_;
};

} // namespace

TEST_CASE("A former coordinator does not start a job that was accepted after "
          "the election of its successor") {
  SupersededTerm Cluster;
  JobWorld &World = Cluster.Cluster_.World_;
  World.RunDuration_ = seconds(3);
  Cluster.Cluster_.submit("j", chainJob(1, 1));
  Cluster.run(seconds(2));
  CHECK(World.startsOf("j.0.0.0") == 1);
  CHECK(World.Oracle_.RunningOn_["j.0.0.0"].count("w1") == 1);
}

} // namespace crocuslead::jobs::test
