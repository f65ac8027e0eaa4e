#include "jobs/TestCluster.h"

namespace crocuslead::jobs::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

} // namespace

TEST_CASE("An elected instance restores the stored jobs and runs them") {
  TestCluster Cluster;
  TestInstance First(Cluster.World_, Cluster.Store_, "a");
  Cluster.submit("j", chainJob(2, 2));
  Cluster.run(First, seconds(5));
  REQUIRE(First.Host_.active() != nullptr);
  CHECK(First.Host_.active()->state("j") == JobState::Completed);
  CHECK(Cluster.progress("j").State_ == JobState::Completed);
}

// Guards against a commit that the store executes seconds late and that
// restores older progress. Found by the soak test, seed 1.
TEST_CASE("A commit that is executed late does not overwrite a later one") {
  TestCluster Cluster;
  TestInstance First(Cluster.World_, Cluster.Store_, "a");
  Cluster.run(First, seconds(2));
  JobSpec Spec = chainJob(2, 1);
  Cluster.submit("j", Spec);
  Cluster.run(First, milliseconds(300));
  Cluster.Store_.DelayRequests_ = 1;
  Cluster.run(First, seconds(6));
  REQUIRE(Cluster.Store_.DelayRequests_ == 0);
  REQUIRE(Cluster.progress("j").State_ == JobState::Completed);
  Cluster.Store_.applyLate();
  CHECK(Cluster.progress("j").State_ == JobState::Completed);
}

TEST_CASE("A commit whose reply was lost is recognized as durable") {
  TestCluster Cluster;
  TestInstance First(Cluster.World_, Cluster.Store_, "a");
  Cluster.run(First, seconds(2));
  Cluster.submit("j", chainJob(1, 1));
  Cluster.run(First, milliseconds(300));
  Cluster.Store_.LoseAnswers_ = 1;
  Cluster.run(First, seconds(4));
  CHECK(First.Host_.active()->state("j") == JobState::Completed);
  CHECK(First.Election_.isLeader());
}

TEST_CASE("A superseded coordinator commits nothing more") {
  TestCluster Cluster;
  TestInstance First(Cluster.World_, Cluster.Store_, "a");
  Cluster.run(First, seconds(2));
  REQUIRE(First.Election_.isLeader());
  Cluster.Store_.LoseEvents_ = true;
  Cluster.Store_.put(First.Election_.termKey(), "7");
  Cluster.submit("j", chainJob(1, 1));
  Cluster.Store_.LoseEvents_ = false;
  Cluster.submit("k", chainJob(1, 1));
  Cluster.run(First, seconds(3));
  // The instance was elected again, in the term after the one that superseded
  // it.
  CHECK(First.Election_.term() == 8);
}

// Guards against a coordinator that goes on because neither a commit nor a
// worker tells it otherwise, while the watch of the election's keys is silent.
TEST_CASE("An idle coordinator whose watch is silent notices that its term has "
          "ended") {
  TestCluster Cluster;
  TestInstance First(Cluster.World_, Cluster.Store_, "a");
  Cluster.run(First, seconds(2));
  REQUIRE(First.Election_.term() == 1);
  Cluster.Store_.LoseEvents_ = true;
  Cluster.Store_.put(First.Election_.termKey(), "7");
  Cluster.Store_.LoseEvents_ = false;
  Cluster.run(First, milliseconds(600));
  CHECK(First.Election_.term() != 1);
}

TEST_CASE("Without an answer of the store no term is confirmed") {
  TestCluster Cluster;
  TestInstance First(Cluster.World_, Cluster.Store_, "a");
  Cluster.run(First, seconds(2));
  auto Age = [&] {
    return First.Host_.active()->stats().StoreConfirmationAge_.value();
  };
  CHECK(Age() < seconds(1));
  Cluster.Store_.Down_ = true;
  Cluster.run(First, seconds(2));
  CHECK(Age() > seconds(1));
  Cluster.Store_.Down_ = false;
  Cluster.run(First, seconds(1));
  CHECK(Age() < seconds(1));
}

TEST_CASE(
    "A leader whose key was removed reclaims leadership in the same term") {
  TestCluster Cluster;
  TestInstance First(Cluster.World_, Cluster.Store_, "a");
  Cluster.run(First, seconds(2));
  uint64_t Term = First.Election_.term();
  Cluster.Store_.endLease(1);
  Cluster.run(First, seconds(2));
  CHECK(First.Election_.term() == Term);
  CHECK(Cluster.Store_.find(std::string(JobKeys::ElectionPrefix) + "holder") !=
        nullptr);
}

// Guards against a malformed record that keeps every instance from being
// elected: reading it threw on each of them.
TEST_CASE("A malformed leader record does not prevent an election") {
  for (const char *Record :
       {R"({"instance":7,"term":1})", R"({"instance":"b"})", "[]", "x",
        R"({"instance":"b","incarnation":"1","address":"b:1","term":"1"})"}) {
    CAPTURE(Record);
    TestCluster Cluster;
    Cluster.Store_.put(std::string(JobKeys::ElectionPrefix) + "holder", Record);
    TestInstance First(Cluster.World_, Cluster.Store_, "a");
    Cluster.run(First, seconds(3));
    CHECK(First.Election_.isLeader());
  }
}

// Guards against a record that lets a term use what it must not.
TEST_CASE("With a malformed record of unused terms every term counts as used") {
  for (const char *Record :
       {"", "x", "{}", "[]", "[2]", "[0,2]", "[3,2]", "[2,1]", "[-1,2]",
        R"(["1","2"])", "[1.5,2]", "[1,2,3]", "[1,3]"}) {
    CAPTURE(Record);
    TestCluster Cluster;
    Cluster.Store_.put(std::string(JobKeys::ElectionPrefix) + "unused-terms",
                       Record);
    TestInstance First(Cluster.World_, Cluster.Store_, "a");
    Cluster.run(First, milliseconds(100));
    CHECK(First.Election_.lastUsedTermBefore(3) == 2);
  }
}

// Guards against two runs of a task: its later term would trust an earlier
// handover, although leases were granted since.
TEST_CASE("A term in which an instance was restored once stays a used one") {
  TestCluster Cluster;
  TestInstance First(Cluster.World_, Cluster.Store_, "a");
  Cluster.run(First, seconds(2));
  REQUIRE(First.Host_.active() != nullptr);
  First.Election_.stepDown();
  Cluster.Store_.run();
  REQUIRE(First.Election_.term() == 1);
  REQUIRE(First.Host_.active() == nullptr);
  CHECK(First.Host_.prepareHandover().TermUsed_);
}

// Guards against a leader that has been stopped already: nobody leads until its
// store lease has ended.
TEST_CASE("An instance that resigns while its election is under way gives up "
          "the leadership that it wins") {
  TestCluster Cluster;
  TestInstance First(Cluster.World_, Cluster.Store_, "a");
  std::string LeaderKey = std::string(JobKeys::ElectionPrefix) + "holder";
  while (Cluster.Store_.find(LeaderKey) == nullptr) {
    Cluster.Store_.run();
    Cluster.World_.run(milliseconds(10));
    First.tick();
  }
  REQUIRE_FALSE(First.Election_.isLeader());
  First.resign();
  Cluster.run(First, milliseconds(100));
  CHECK_FALSE(First.Election_.isLeader());
  CHECK(Cluster.Store_.find(LeaderKey) == nullptr);
}

TEST_CASE("Another instance takes over when the leader resigns") {
  TestCluster Cluster;
  TestInstance First(Cluster.World_, Cluster.Store_, "a");
  Cluster.run(First, seconds(2));
  TestInstance Second(Cluster.World_, Cluster.Store_, "b");
  Cluster.run(Second, seconds(1));
  CHECK_FALSE(Second.Election_.isLeader());
  bool Done = false;
  First.Election_.resign([&] { Done = true; });
  Cluster.run(Second, seconds(2));
  CHECK(Done);
  CHECK(Second.Election_.isLeader());
  CHECK(Second.Election_.term() == 2);
}

} // namespace crocuslead::jobs::test
