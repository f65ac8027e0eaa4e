#include "jobs/JobWorld.h"

#include <doctest/doctest.h>

namespace crocuslead::jobs::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The usual lease, the time for which a predecessor may go on to grant it, and
// the 2% by which the clock of a worker may be slow.
constexpr auto LeaseWait = milliseconds(6'500);
// The longest lease that a worker takes, from a request that was delayed.
constexpr auto LongestLeaseWait = milliseconds(13'500);

//! Eight workers with tasks.
struct LostWorkers {
  JobWorld World_;
  LostWorkers() {
    for (const char *Id : {"w0", "w1", "w2", "w3", "w4", "w5", "w6", "w7"})
      World_.addWorker(Id);
    World_.startSuccessor();
    World_.RunDuration_ = seconds(1);
    World_.submit("a", chainJob(60, 16, 4'000));
    World_.run(seconds(3));
  }
  //! From now on the registry lists only the others.
  void unlist(const std::set<std::string> &Ids) {
    for (auto &[Id, Worker] : World_.Workers_)
      Worker.Info_.Id_ = Ids.count(Id) > 0 ? "" : Id;
    World_.publishWorkers();
  }
  bool recovering() const { return World_.Coordinator_->stats().Recovering_; }
  ~LostWorkers() {
    for (const std::string &Violation : World_.Oracle_.Violations_)
      FAIL_CHECK(Violation);
  }
};

} // namespace

// Guards against restored jobs that wait anew for the longest lease: the entry
// of a crashed worker is in the registry again after its lease has ended, while
// the recovery still waits for another worker.
TEST_CASE_FIXTURE(LostWorkers, "A recovery does not wait again for a worker "
                               "that is listed again after its lease ended") {
  // A worker that has restarted may hold the longest lease.
  World_.restartWorker("w1");
  World_.run(seconds(1));
  World_.crashWorker("w0");
  World_.crashWorker("w1");
  World_.startSuccessor();
  unlist({"w0"});
  World_.run(LeaseWait + seconds(2));
  REQUIRE(recovering());
  REQUIRE(World_.Coordinator_->stats().Workers_ == 7);
  unlist({});
  World_.run(LongestLeaseWait - LeaseWait - seconds(2));
  CHECK_FALSE(recovering());
}

// Guards against restored jobs that wait 13 s for the next incarnation of a
// worker, of which nothing is known: another worker answers at the address of a
// worker that crashed, whose entry is still in the registry.
TEST_CASE_FIXTURE(LostWorkers, "A recovery does not wait for a worker at whose "
                               "address another one answers") {
  World_.crashWorker("w0");
  World_.worker("w0").DropsRequests_ = false;
  World_.worker("w0").AddressTaken_ = true;
  World_.startSuccessor();
  World_.run(LeaseWait);
  CHECK_FALSE(recovering());
}

// Guards against two runs of a task: a late start of the predecessor may have
// reached the next incarnation, which does not answer.
TEST_CASE_FIXTURE(LostWorkers, "A recovery waits for the next incarnation of a "
                               "worker at whose address another one answered") {
  World_.crashWorker("w1");
  World_.crashWorker("w0");
  World_.worker("w0").DropsRequests_ = false;
  World_.worker("w0").AddressTaken_ = true;
  World_.startSuccessor();
  World_.run(seconds(1));
  World_.worker("w0").AddressTaken_ = false;
  World_.restartWorker("w0");
  World_.worker("w0").DropsRequests_ = true;
  World_.run(LeaseWait);
  CHECK(recovering());
  World_.run(LongestLeaseWait - LeaseWait);
  CHECK_FALSE(recovering());
}

} // namespace crocuslead::jobs::test
