#include "World.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace crocuslead;
using namespace crocuslead::partition;
using namespace crocuslead::partition::test;

// Guards the long leases: without them all tasks stop 60 s into a store outage.
TEST_CASE("tasks survive a store outage of 10 minutes and a crash of their "
          "owner") {
  World Sim(5, 2);
  Sim.submit(batchJob("a", 4, 0));
  Sim.run(4000);
  Sim.StoreDown_ = true;
  Sim.run(300'000);
  Sim.killOwner();
  Sim.run(300'000);
  CHECK(Sim.Oracle_.RunningOn_.size() == 4);
  Sim.StoreDown_ = false;
  Sim.run(20'000);
  REQUIRE(Sim.takeOver());
  Sim.run(120'000);
  CHECK(Sim.Oracle_.StartCount_ == 4);
  CHECK(Sim.Oracle_.RunningOn_.size() == 4);
  CHECK(Sim.Oracle_.firstViolation() == "");
}

TEST_CASE("no job is accepted and no task started without store contact") {
  World Sim(6, 2);
  Sim.run(1000);
  Sim.StoreDown_ = true;
  Sim.run(6000);
  uint64_t Call = Sim.submit(batchJob("a", 1));
  Sim.step();
  REQUIRE(Sim.Answers_.count(Call) == 1);
  CHECK(Sim.Answers_[Call]->Kind_ == base::ErrorKind::StoreUnavailable);
  CHECK_FALSE(Sim.currentOwner()->job("a"));
}

// Guards against a restart of tasks while a long lease that the former owner
// granted is in force.
TEST_CASE("a new owner waits for the long lease horizon before it restarts the "
          "tasks of an unreachable worker") {
  World Sim(7, 2);
  Sim.submit(batchJob("a", 2, 0));
  Sim.run(4000);
  for (FakeWorker &Worker : Sim.Workers_)
    Worker.DropsRequests_ = true;
  Sim.killOwner();
  Sim.run(16'000);
  REQUIRE(Sim.takeOver());
  Sim.run(890'000);
  CHECK(Sim.currentOwner()->job("a")->Tasks_[0].State_ == "running");
  SUBCASE("the horizon has passed") { Sim.run(30'000); }
  SUBCASE("operators confirm that the domain is dead") {
    Sim.setDomainState(config::DomainState::OutConfirmedDead);
    Sim.run(3000);
  }
  CHECK(Sim.currentOwner()->job("a")->Tasks_[0].State_ == "pending");
}

// Guards invariant P4 (no start in a domain that is out of service) and the
// retry after the store refused a commit because the domain states had changed.
TEST_CASE("starts stop and resume with the domain state, and evicted tasks "
          "keep their progress") {
  World Sim(8, 2);
  Sim.submit(batchJob("a", 4, 60'000));
  Sim.run(10'000);
  CHECK(Sim.Oracle_.RunningOn_.size() == 4);
  Sim.setDomainState(config::DomainState::Out);
  Sim.submit(batchJob("b", 2));
  Sim.run(10'000);
  CHECK(Sim.Oracle_.RunningOn_.empty());
  Sim.setDomainState(config::DomainState::InService);
  Sim.run(80'000);
  CHECK(Sim.currentOwner()->job("a")->State_ == JobState::Finished);
  CHECK(Sim.currentOwner()->job("b")->State_ == JobState::Finished);
  CHECK(Sim.Oracle_.StartCount_ == 10);
  CHECK(Sim.Oracle_.firstViolation() == "");
  uint32_t Evictions = 0;
  for (const UsageRow &Row : Sim.currentOwner()->usage())
    Evictions += Row.Evictions_;
  CHECK(Evictions == 4);
}

// Guards against late starts: the owner was paused for longer than the start
// deadline between its decision and the message.
TEST_CASE("a worker refuses the start of an owner that was paused") {
  World Sim(9, 1);
  Sim.run(2000);
  Sim.submit(batchJob("a", 1));
  while (Sim.currentOwner()->job("a")->Tasks_[0].State_ != "starting")
    Sim.step();
  Sim.pauseOwner(5000);
  Sim.run(5000);
  CHECK(Sim.Oracle_.StartCount_ == 0);
  Sim.run(3000);
  CHECK(Sim.Oracle_.StartCount_ == 1);
  CHECK(Sim.currentOwner()->job("a")->Tasks_[0].Attempt_ == 2);
}

TEST_CASE("mass cancellation does not delay urgent starts") {
  World Sim(10, 4);
  Sim.run(1000);
  for (int I = 0; I < 50; ++I)
    Sim.submit(batchJob("wave" + std::to_string(I), 100));
  Sim.run(3000);
  for (int I = 0; I < 50; ++I)
    Sim.cancel("wave" + std::to_string(I));
  JobSpec Urgent = batchJob("urgent", 1);
  Urgent.Urgent_ = true;
  Sim.submit(Urgent);
  Sim.run(1500);
  CHECK(Sim.Oracle_.RunningOn_.count("urgent/0") == 1);
  Sim.run(5000);
  for (int I = 0; I < 50; ++I)
    CHECK(Sim.currentOwner()->job("wave" + std::to_string(I))->State_ ==
          JobState::Cancelled);
}

// Guards against a fault found in review: a takeover in the middle of a
// cancellation left the remaining tasks of the job pending forever.
TEST_CASE("a new owner completes an interrupted cancellation") {
  World Sim(11, 1);
  Sim.run(1000);
  Sim.submit(batchJob("big", 3000));
  Sim.run(1000);
  Sim.cancel("big");
  Sim.run(400);
  CHECK(Sim.currentOwner()->job("big")->State_ != JobState::Cancelled);
  Sim.killOwner();
  Sim.run(16'000);
  REQUIRE(Sim.takeOver());
  Sim.run(10'000);
  CHECK(Sim.currentOwner()->job("big")->State_ == JobState::Cancelled);
}

namespace {

PartitionSummary peerWithFreeCapacity(const char *Id) {
  PartitionSummary Out;
  Out.Id_ = Id;
  Out.Free_ = {8000, 32'000, 0};
  return Out;
}

} // namespace

// Guards against a job that is lost or duplicated between two partitions.
TEST_CASE("a job is transferred once even if messages are repeated") {
  World From(12, 1);
  World To(13, 1);
  From.Peers_ = {peerWithFreeCapacity("p2")};
  From.run(1000);
  From.currentOwner()->setPeerSummaries(From.Peers_);
  From.setDomainState(config::DomainState::Out);
  From.submit(batchJob("a", 2));
  From.run(6000);
  REQUIRE(From.Offers_.size() >= 2);
  CHECK(From.Offers_[0].ToPartition_ == "p2");
  To.run(1000);
  for (int Repetition = 0; Repetition < 3; ++Repetition) {
    const TransferAction &Offer = From.Offers_[0];
    To.currentOwner()->transferOffered("p1", Offer.Record_, Offer.Number_,
                                       To.now());
    CHECK(To.Acks_.size() == static_cast<std::size_t>(Repetition));
    To.run(500);
    CHECK(To.Acks_.size() == static_cast<std::size_t>(Repetition + 1));
  }
  From.killOwner();
  From.run(16'000);
  REQUIRE(From.takeOver());
  auto Sent = From.Offers_.size();
  From.run(3000);
  CHECK(From.Offers_.size() > Sent);
  CHECK(From.currentOwner()->job("a")->State_ == JobState::Pending);
  for (int Repetition = 0; Repetition < 2; ++Repetition)
    From.currentOwner()->transferAccepted("a", 1, From.now());
  From.run(1000);
  CHECK(From.currentOwner()->job("a")->State_ == JobState::Transferred);
  CHECK(From.currentOwner()->job("a")->TransferredTo_ == "p2");
  To.run(40'000);
  CHECK(To.currentOwner()->job("a")->State_ == JobState::Finished);
  CHECK(To.Oracle_.StartCount_ == 2);
}

TEST_CASE("a partition in handover becomes quiescent and refuses calls") {
  World Sim(14, 2);
  Sim.submit(batchJob("a", 2, 60'000));
  Sim.run(3000);
  Sim.currentOwner()->beginHandover();
  Sim.run(1000);
  CHECK(Sim.currentOwner()->isQuiescent());
  uint64_t Call = Sim.submit(batchJob("b", 1));
  Sim.step();
  REQUIRE(Sim.Answers_[Call].has_value());
  CHECK(Sim.Answers_[Call]->Kind_ == base::ErrorKind::NotOwner);
}

TEST_CASE("a job that fails on every worker is rejected with a reason") {
  World Sim(15, 2);
  for (FakeWorker &Worker : Sim.Workers_)
    Worker.FailStarts_ = true;
  Sim.submit(batchJob("a", 1));
  Sim.run(4 * 3'600'000);
  CHECK(Sim.currentOwner()->job("a")->State_ == JobState::Rejected);
  CHECK(Sim.currentOwner()->job("a")->RejectReason_ == "failed 20 times");
}

TEST_CASE("explain returns the decisions about a job and about one task") {
  World Sim(16, 1);
  Sim.submit(batchJob("a", 2));
  Sim.run(3000);
  CHECK(Sim.currentOwner()->explain("a/0").size() == 1);
  CHECK(Sim.currentOwner()->explain("a").size() == 2);
  CHECK(Sim.currentOwner()->explain("a")[0].Event_ == "start");
}
