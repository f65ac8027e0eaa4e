#include "World.h"

#include "partition/internal/Codec.h"

#include <doctest/doctest.h>

using namespace crocuslead;
using namespace crocuslead::partition;
using namespace crocuslead::partition::test;

namespace {

//! A planned change of owner, as in a planned stop of its instance.
void changeOwner(World &Sim) {
  std::size_t Owners = Sim.Owners_.size();
  Sim.handOver();
  for (int I = 0; I < 100 && Sim.Owners_.size() == Owners; ++I)
    Sim.step();
  REQUIRE(Sim.Owners_.size() == Owners + 1);
}

//! Cuts off the worker that runs the only task and returns its id.
std::string cutOffWorker(World &Sim) {
  REQUIRE(Sim.Oracle_.RunningOn_.size() == 1);
  std::string Id = Sim.Oracle_.RunningOn_.begin()->second;
  for (FakeWorker &Worker : Sim.Workers_)
    Worker.DropsRequests_ = Worker.Id_ == Id;
  return Id;
}

//! Runs until the next grant of a lease arrives at the first worker.
void runUntilRenewal(World &Sim) {
  int64_t Before = Sim.Workers_[0].LeaseEnd_;
  for (int I = 0; I < 2000 && Sim.Workers_[0].LeaseEnd_ == Before; ++I)
    Sim.step();
  REQUIRE(Sim.Workers_[0].LeaseEnd_ != Before);
}

} // namespace

// Guards against a task that waits for the long lease horizon of 15 minutes,
// since its partition changed its owner after its worker was lost.
TEST_CASE("planned changes of the owner do not prolong the wait for a lost "
          "worker") {
  World Sim(41, 2);
  Sim.submit(batchJob("a", 1, 0));
  Sim.run(30'000);
  std::string Lost = cutOffWorker(Sim);
  int64_t Since = Sim.NowMs_;
  for (int I = 0; I < 3; ++I) {
    Sim.run(15'000);
    changeOwner(Sim);
  }
  while (Sim.Oracle_.StartCount_ < 2 && Sim.NowMs_ - Since < 1'200'000)
    Sim.step();
  // A worker lease of 72 s and its margin of 1% and 2 s.
  CHECK(Sim.NowMs_ - Since <= 78'000);
  Sim.run(5000);
  CHECK(Sim.Oracle_.RunningOn_["a/0"] != Lost);
  CHECK(Sim.Oracle_.firstViolation() == "");
}

// Guards against two runs of a task: the owner that handed over granted a long
// lease, or the lease of an owner between the two is not in its record.
TEST_CASE("a planned change of the owner does not cut the wait for a lost "
          "worker short") {
  World Sim(42, 2);
  Sim.submit(batchJob("a", 1, 0));
  Sim.run(30'000);
  SUBCASE("long lease") {
    Sim.StoreDown_ = true;
    Sim.run(60'000);
    cutOffWorker(Sim);
    Sim.StoreDown_ = false;
    Sim.run(3000);
    changeOwner(Sim);
    Sim.run(700'000);
    CHECK(Sim.Oracle_.StartCount_ == 1);
  }
  SUBCASE("an owner that crashed between") {
    changeOwner(Sim);
    Sim.run(60'000);
    cutOffWorker(Sim);
    Sim.killOwner();
    Sim.run(16'000);
    REQUIRE(Sim.takeOver());
    Sim.run(300'000);
    CHECK(Sim.Oracle_.StartCount_ == 1);
  }
  Sim.run(1'000'000);
  CHECK(Sim.Oracle_.StartCount_ == 2);
  CHECK(Sim.Oracle_.firstViolation() == "");
}

// Guards against two runs of a task: a grant that arrives after the record was
// written outlives what it says.
TEST_CASE("no lease is granted after the record for the next owner") {
  World Sim(44, 1);
  Sim.submit(batchJob("a", 1, 0));
  Sim.run(30'000);
  runUntilRenewal(Sim);
  SUBCASE("a grant on its way is not recorded") {
    bool Lost = false;
    SUBCASE("unanswered") { Lost = true; }
    SUBCASE("answered") {}
    // The next renewal is sent 24 s after this one and times out after 3 s.
    Sim.run(23'000);
    Sim.Workers_[0].DropsRequests_ = Lost;
    Sim.run(2500);
    auto Read = decodeHandover(Sim.currentOwner()->prepareHandover().Value_);
    REQUIRE(Read);
    CHECK(Read->LeaseLeft_.count("w0") == (Lost ? 0 : 1));
  }
  SUBCASE("no renewal follows") {
    Sim.currentOwner()->beginHandover();
    Sim.currentOwner()->prepareHandover();
    int64_t LeaseEnd = Sim.Workers_[0].LeaseEnd_;
    Sim.run(60'000);
    CHECK(Sim.Workers_[0].LeaseEnd_ == LeaseEnd);
  }
}

// Guards against an urgent task that waits since each change of the owner
// protects the restarted tasks for another 10 minutes.
TEST_CASE("a change of the owner does not protect restarted tasks anew") {
  World Sim(43, 1);
  Sim.submit(batchJob("a", 1, 0));
  Sim.run(3000);
  JobSpec Urgent = batchJob("u", 1, 2000);
  Urgent.PerTask_.MilliCpu_ = 8000;
  Urgent.Urgent_ = true;
  Urgent.Workspace_ = "bureau";
  Sim.submit(Urgent);
  Sim.run(30'000);
  REQUIRE(Sim.currentOwner()->job("u")->State_ == JobState::Finished);
  REQUIRE(Sim.Oracle_.RunningOn_.count("a/0") == 1);
  Sim.run(620'000);
  changeOwner(Sim);
  Sim.run(5000);
  Urgent.Id_ = "v";
  Sim.submit(Urgent);
  Sim.run(8000);
  CHECK(Sim.currentOwner()->job("v")->State_ == JobState::Finished);
}
