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

// Guards against tokens of one term that are those of another one, also beside
// instances whose terms have a single token.
TEST_CASE("The fencing tokens of each term lie above those of the terms "
          "before") {
  TestCluster Cluster;
  uint64_t Highest = 0;
  for (uint64_t TokensPerTerm : {1, 100, 100, 1, 100}) {
    CAPTURE(TokensPerTerm);
    TestInstance Each(Cluster.World_, Cluster.Store_,
                      "i" + std::to_string(Highest), TokensPerTerm);
    Cluster.run(Each, seconds(2));
    REQUIRE(Each.Election_.isLeader());
    uint64_t Term = Each.Election_.term();
    CHECK(Each.Election_.firstTokenOf(Term) == Highest + 1);
    CHECK(Term == Highest + TokensPerTerm);
    CHECK(Each.Election_.lastUsedTermBefore(Term) == Highest);
    Highest = Term;
    Each.resign();
    Cluster.run(Each, milliseconds(100));
  }
}

TEST_CASE("A term with several tokens that ended unused does not count as "
          "used") {
  TestCluster Cluster;
  TestInstance First(Cluster.World_, Cluster.Store_, "a", 100);
  Cluster.run(First, seconds(2));
  REQUIRE(First.Election_.term() == 100);
  First.Election_.resign([] {}, {false, {}});
  Cluster.run(First, milliseconds(100));
  for (uint64_t TokensPerTerm : {1, 100}) {
    CAPTURE(TokensPerTerm);
    TestInstance Next(Cluster.World_, Cluster.Store_,
                      "b" + std::to_string(TokensPerTerm), TokensPerTerm);
    Cluster.run(Next, seconds(2));
    REQUIRE(Next.Election_.isLeader());
    CHECK(Next.Election_.lastUsedTermBefore(Next.Election_.term()) == 0);
    Next.Election_.resign([] {}, {false, {}});
    Cluster.run(Next, milliseconds(100));
  }
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

TEST_CASE("An instance that resigns gives up a leadership that it wins by a "
          "transaction without an answer") {
  TestCluster Cluster;
  TestInstance First(Cluster.World_, Cluster.Store_, "a");
  std::string LeaderKey = std::string(JobKeys::ElectionPrefix) + "holder";
  First.tick();
  Cluster.Store_.run();
  Cluster.Store_.LoseAnswers_ = 1;
  while (Cluster.Store_.find(LeaderKey) == nullptr) {
    Cluster.Store_.run();
    Cluster.World_.run(milliseconds(10));
    First.tick();
  }
  REQUIRE(Cluster.Store_.LoseAnswers_ == 0);
  REQUIRE_FALSE(First.Election_.isLeader());
  First.resign();
  Cluster.run(First, milliseconds(500));
  CHECK_FALSE(First.Election_.isLeader());
  CHECK(Cluster.Store_.find(LeaderKey) == nullptr);
  CHECK(First.Election_.lastUsedTermBefore(2) == 0);
}

// Guards against two runs of a task: what an earlier term handed over is void
// once a term was used.
TEST_CASE("A term that an instance has led is not called unused if it loses "
          "the leadership before it resigns") {
  TestCluster Cluster;
  TestInstance First(Cluster.World_, Cluster.Store_, "a");
  Cluster.run(First, seconds(2));
  REQUIRE(First.Host_.active() != nullptr);
  // The keys are read again, and still name this instance.
  First.Election_.stepDown();
  First.resign();
  Cluster.run(First, milliseconds(500));
  CHECK(First.Election_.lastUsedTermBefore(2) == 1);
  CHECK(Cluster.Store_.find(std::string(JobKeys::ElectionPrefix) +
                            "unused-terms") == nullptr);
}

namespace {

//! A leader and another instance.
struct TwoInstances : TestCluster {
  TwoInstances() {
    run(First_, seconds(2));
    run(seconds(1));
    REQUIRE(First_.Election_.isLeader());
  }
  using TestCluster::run;
  void run(base::Duration Time) {
    for (base::TimePoint End = World_.now() + Time; World_.now() < End;) {
      First_.tick();
      Second_.tick();
      Store_.run();
      World_.run(milliseconds(10));
    }
  }
  void resign() {
    First_.Election_.resign([this] { ++Answers_; },
                            First_.Host_.prepareHandover());
  }
  const store::KeyValue *leaderKey() const {
    return Store_.find(std::string(JobKeys::ElectionPrefix) + "holder");
  }

  TestInstance First_{World_, Store_, "a"};
  TestInstance Second_{World_, Store_, "b"};
  int Answers_ = 0;
};

} // namespace

// Guards against a planned stop in an outage of the store that the next term
// takes for a crash.
TEST_CASE_FIXTURE(TwoInstances, "A resignation that the store refuses is "
                                "repeated until it is taken") {
  Store_.Down_ = true;
  resign();
  run(seconds(3));
  CHECK(Answers_ == 0);
  CHECK(First_.Election_.timeSinceStoreContact() > seconds(2));
  Store_.Down_ = false;
  run(seconds(1));
  CHECK(Answers_ == 1);
  CHECK(Store_.find(JobKeys::handover()) != nullptr);
  CHECK(Second_.Election_.term() == 2);
  CHECK_FALSE(First_.Election_.isLeader());
}

TEST_CASE_FIXTURE(TwoInstances, "A resignation that never reaches the store is "
                                "repeated with a pause") {
  Store_.LoseRequests_ = 1'000;
  resign();
  run(seconds(3));
  CHECK(Answers_ == 0);
  CHECK(1'000 - Store_.LoseRequests_ >= 5);
  CHECK(1'000 - Store_.LoseRequests_ <= 15);
  Store_.LoseRequests_ = 0;
  run(seconds(1));
  CHECK(Answers_ == 1);
  CHECK(Second_.Election_.term() == 2);
}

TEST_CASE_FIXTURE(TwoInstances, "A resignation whose answer was lost does not "
                                "end a later term") {
  Store_.LoseAnswers_ = 1;
  resign();
  Store_.run();
  REQUIRE(leaderKey() == nullptr);
  int64_t Revision = Store_.find(JobKeys::handover())->ModRevision_;
  // The other instance is elected before the resignation is repeated.
  for (int I = 0; I < 20; ++I) {
    Second_.tick();
    Store_.run();
    World_.run(milliseconds(10));
  }
  REQUIRE(Second_.Election_.term() == 2);
  CHECK(Answers_ == 0);
  run(seconds(1));
  CHECK(Answers_ == 1);
  CHECK(Second_.Election_.term() == 2);
  REQUIRE(leaderKey() != nullptr);
  CHECK(leaderKey()->Value_.find("b-1") != std::string::npos);
  CHECK(Store_.find(JobKeys::handover())->ModRevision_ == Revision);
}

TEST_CASE_FIXTURE(TwoInstances, "A resignation that is executed late does not "
                                "end a later term") {
  Store_.DelayRequests_ = 1;
  resign();
  run(seconds(1));
  REQUIRE(Store_.DelayRequests_ == 0);
  CHECK(Answers_ == 1);
  REQUIRE(Second_.Election_.term() == 2);
  int64_t Revision = Store_.find(JobKeys::handover())->ModRevision_;
  Store_.applyLate();
  run(seconds(1));
  CHECK(Second_.Election_.term() == 2);
  REQUIRE(leaderKey() != nullptr);
  CHECK(leaderKey()->Value_.find("b-1") != std::string::npos);
  CHECK(Store_.find(JobKeys::handover())->ModRevision_ == Revision);
}

// Guards against a leader key that names an instance that has resigned: nobody
// leads until its store lease has ended.
TEST_CASE_FIXTURE(TwoInstances, "A reclaim of the leader key that is executed "
                                "after the resignation has no effect") {
  Store_.DelayRequests_ = 1;
  Store_.endLease(1);
  Store_.run();
  REQUIRE(Store_.DelayRequests_ == 0);
  resign();
  Store_.run();
  REQUIRE(Answers_ == 1);
  Store_.applyLate();
  CHECK(leaderKey() == nullptr);
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
