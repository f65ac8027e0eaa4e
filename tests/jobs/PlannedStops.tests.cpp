#include "jobs/TestCluster.h"
#include "platform/PlannedStop.h"

#include <memory>

namespace crocuslead::jobs::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto GracePeriod = seconds(6);
constexpr auto ElectionTime = milliseconds(1000);

//! An instance that ends after a planned stop as a process does.
struct Process : TestInstance {
  Process(JobWorld &World, store::KeyValueStore &Store, const std::string &Name)
      : TestInstance(World, Store, Name), Stop_(World.Clock_) {}

  void tick() {
    TestInstance::tick();
    if (Stop_.begun())
      platform::resignIfDue(Stop_, Election_, Host_);
  }
  bool hasEnded() { return Stop_.begun() && Stop_.mayEnd(0); }

  platform::PlannedStop Stop_;
};

//! Processes, one of which is the coordinator, and a task that runs until its
//! job is cancelled.
struct ProcessCluster : TestCluster {
  explicit ProcessCluster(int Count = 2) {
    for (const char *Id : {"w1", "w2"})
      World_.addWorker(Id);
    for (int I = 0; I < Count; ++I) {
      startProcess();
      runFor(ElectionTime);
    }
    REQUIRE(coordinator() != nullptr);
    JobSpec Spec = chainJob(1, 1);
    Spec.Steps_[0].LongRunning_ = true;
    submit("a", Spec);
    runFor(seconds(3));
    REQUIRE(World_.startsOf("a.0.0.0") == 1);
  }
  ~ProcessCluster() {
    for (const std::string &Violation : World_.Oracle_.Violations_)
      FAIL_CHECK(Violation);
  }
  void startProcess() {
    Processes_.push_back(std::make_unique<Process>(
        World_, Store_, "i" + std::to_string(Started_++)));
  }
  Process *coordinator() {
    for (auto &Each : Processes_)
      if (Each->Host_.active() != nullptr)
        return Each.get();
    return nullptr;
  }
  void runFor(base::Duration Time) {
    for (base::TimePoint End = World_.now() + Time; World_.now() < End;) {
      for (std::size_t I = 0; I < Processes_.size();) {
        Processes_[I]->tick();
        if (Processes_[I]->hasEnded())
          Processes_.erase(Processes_.begin() + static_cast<std::ptrdiff_t>(I));
        else
          ++I;
      }
      Store_.run();
      World_.run(milliseconds(10));
    }
  }
  bool runsTask() { return !World_.Oracle_.RunningOn_["a.0.0.0"].empty(); }

  std::vector<std::unique_ptr<Process>> Processes_;
  int Started_ = 0;
};

} // namespace

// Guards against a planned stop in an outage of the store that ends like a
// crash: the resignation fails, and nobody renews the leases.
TEST_CASE("A coordinator that is stopped while the store is out works until "
          "the store takes its handover") {
  ProcessCluster Cluster;
  Cluster.Store_.Down_ = true;
  Cluster.runFor(milliseconds(600));
  Process *Stopped = Cluster.coordinator();
  Stopped->Stop_.begin(GracePeriod);
  Cluster.runFor(milliseconds(3'800));
  CHECK(Cluster.coordinator() == Stopped);
  Cluster.Store_.Down_ = false;
  Cluster.runFor(ElectionTime);
  REQUIRE(Cluster.coordinator() != nullptr);
  CHECK(Cluster.coordinator() != Stopped);
  CHECK(Cluster.Store_.find(JobKeys::handover()) != nullptr);
  CHECK_FALSE(Cluster.coordinator()->Host_.active()->stats().Recovering_);
  Cluster.runFor(seconds(5));
  CHECK(Cluster.Processes_.size() == 1);
  CHECK(Cluster.runsTask());
  CHECK(Cluster.World_.startsOf("a.0.0.0") == 1);
}

TEST_CASE("A coordinator that is stopped in an outage of the store that goes "
          "on ends in time and renews leases until then") {
  ProcessCluster Cluster;
  Cluster.Store_.Down_ = true;
  Cluster.runFor(milliseconds(600));
  Cluster.coordinator()->Stop_.begin(GracePeriod);
  Cluster.runFor(GracePeriod - milliseconds(600));
  CHECK(Cluster.Processes_.size() == 1);
  // The last leases are those that were granted with the resignation.
  Cluster.runFor(CoordinatorTimings().LeaseDuration_ - seconds(2));
  CHECK(Cluster.runsTask());
}

} // namespace crocuslead::jobs::test
