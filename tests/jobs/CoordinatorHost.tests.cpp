#include "jobs/CoordinatorHost.h"

#include "app/FakeStore.h"
#include "jobs/JobKeys.h"
#include "jobs/JobWorld.h"

#include <boost/leaf/handle_errors.hpp>
#include <doctest/doctest.h>

namespace crocuslead::jobs::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class FixedFleet final : public FleetSource {
public:
  explicit FixedFleet(JobWorld &World) : World_(World) {}

  void setHooks(Hooks /*OnChange*/) override {}
  void tick() override {}
  void reload() override {}
  bool configLoaded() const override { return true; }
  const FleetConfig &config() const override { return World_.Config_; }
  const std::set<std::string> &unavailableDomains() const override {
    return Out_;
  }
  void watchWorkers(bool /*Wanted*/) override {
    for (const auto &[Id, Each] : World_.Workers_)
      Workers_[Id] = Each.Info_;
  }
  bool workersLoaded() const override { return true; }
  const std::map<std::string, WorkerInfo> &workers() const override {
    return Workers_;
  }

private:
  JobWorld &World_;
  std::set<std::string> Out_;
  std::map<std::string, WorkerInfo> Workers_;
};

//! One instance with its election and host on a fake store.
struct Office {
  Office(JobWorld &World, tests::FakeStore &Store, const std::string &Name)
      : Fleet_(World), Host_(Store, World, Fleet_, World.Clock_, World.Metrics_,
                             CoordinatorTimings()),
        Election_(Store, World.Clock_, World.Random_,
                  {Name, Name + "-1", Name + ":1",
                   std::string(JobKeys::ElectionPrefix)},
                  {[this](uint64_t Term) { Host_.startTerm(Term); },
                   [this](const char *) { Host_.endTerm(); }}) {
    Host_.setElection(Election_);
  }
  void tick() {
    Election_.tick();
    Host_.tick();
  }

  FixedFleet Fleet_;
  CoordinatorHost Host_;
  Election Election_;
};

struct Rig {
  Rig() { World_.addWorker("w0"); }

  void run(Office &Who, base::Duration Time) {
    for (base::TimePoint End = World_.now() + Time; World_.now() < End;) {
      Who.tick();
      Store_.run();
      World_.run(milliseconds(10));
    }
  }
  void submit(const std::string &Id, const JobSpec &Spec) {
    World_.Jobs_[Id] = {"visits", Spec, World_.Clock_.wallNow()};
    Store_.put(JobKeys::spec(Id), encode(World_.Jobs_[Id]));
  }
  JobProgress progress(const std::string &Id) {
    JobProgress Out;
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void> {
          BOOST_LEAF_ASSIGN(
              Out,
              decodeJobProgress(Store_.find(JobKeys::progress(Id))->Value_));
          return {};
        },
        [] { FAIL("progress unreadable"); });
    return Out;
  }

  JobWorld World_;
  tests::FakeStore Store_;
};

} // namespace

TEST_CASE("An elected instance restores the jobs and works on them") {
  Rig Fleet;
  Office First(Fleet.World_, Fleet.Store_, "a");
  Fleet.submit("j", chainJob(2, 2));
  Fleet.run(First, seconds(5));
  REQUIRE(First.Host_.active() != nullptr);
  CHECK(First.Host_.active()->state("j") == JobState::Completed);
  CHECK(Fleet.progress("j").State_ == JobState::Completed);
}

// Guards against a commit that is executed seconds later and puts an older
// progress back; found by the soak, seed 1.
TEST_CASE("A commit that is executed late does not undo a later one") {
  Rig Fleet;
  Office First(Fleet.World_, Fleet.Store_, "a");
  Fleet.run(First, seconds(2));
  JobSpec Spec = chainJob(2, 1);
  Fleet.submit("j", Spec);
  Fleet.run(First, milliseconds(300));
  Fleet.Store_.DelayRequests_ = 1;
  Fleet.run(First, seconds(6));
  REQUIRE(Fleet.Store_.DelayRequests_ == 0);
  REQUIRE(Fleet.progress("j").State_ == JobState::Completed);
  Fleet.Store_.applyLate();
  CHECK(Fleet.progress("j").State_ == JobState::Completed);
}

TEST_CASE("A commit whose answer was lost is found to be durable") {
  Rig Fleet;
  Office First(Fleet.World_, Fleet.Store_, "a");
  Fleet.run(First, seconds(2));
  Fleet.submit("j", chainJob(1, 1));
  Fleet.run(First, milliseconds(300));
  Fleet.Store_.LoseAnswers_ = 1;
  Fleet.run(First, seconds(4));
  CHECK(First.Host_.active()->state("j") == JobState::Completed);
  CHECK(First.Election_.isLeader());
}

TEST_CASE("A coordinator whose term has passed commits nothing more") {
  Rig Fleet;
  Office First(Fleet.World_, Fleet.Store_, "a");
  Fleet.run(First, seconds(2));
  REQUIRE(First.Election_.isLeader());
  Fleet.Store_.LoseEvents_ = true;
  Fleet.Store_.put(First.Election_.termKey(), "7");
  Fleet.submit("j", chainJob(1, 1));
  Fleet.Store_.LoseEvents_ = false;
  Fleet.submit("k", chainJob(1, 1));
  Fleet.run(First, seconds(3));
  // The instance ran again, in a term after the one that superseded it.
  CHECK(First.Election_.term() == 8);
}

TEST_CASE("A holder takes its office back when only its key was removed") {
  Rig Fleet;
  Office First(Fleet.World_, Fleet.Store_, "a");
  Fleet.run(First, seconds(2));
  uint64_t Term = First.Election_.term();
  Fleet.Store_.endLease(1);
  Fleet.run(First, seconds(2));
  CHECK(First.Election_.term() == Term);
  CHECK(Fleet.Store_.find(std::string(JobKeys::ElectionPrefix) + "holder") !=
        nullptr);
}

TEST_CASE("Another instance takes over when the holder resigns") {
  Rig Fleet;
  Office First(Fleet.World_, Fleet.Store_, "a");
  Fleet.run(First, seconds(2));
  Office Second(Fleet.World_, Fleet.Store_, "b");
  Fleet.run(Second, seconds(1));
  CHECK_FALSE(Second.Election_.isLeader());
  bool Done = false;
  First.Election_.resign([&] { Done = true; });
  Fleet.run(Second, seconds(2));
  CHECK(Done);
  CHECK(Second.Election_.isLeader());
  CHECK(Second.Election_.term() == 2);
}

} // namespace crocuslead::jobs::test
