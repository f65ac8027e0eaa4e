#include "World.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace crocuslead;
using namespace crocuslead::partition;
using namespace crocuslead::partition::test;

// Guards the long leases: without them all tasks stop 60 s into a store outage.
TEST_CASE("tasks survive a store outage of 10 minutes and a crash of their "
          "owner") {
  World W(5, 2);
  W.submit(batchJob("a", 4, 0));
  W.run(4000);
  W.StoreDown_ = true;
  W.run(300'000);
  W.killOwner();
  W.run(300'000);
  CHECK(W.Oracle_.RunningOn_.size() == 4);
  W.StoreDown_ = false;
  W.run(20'000);
  REQUIRE(W.takeOver());
  W.run(120'000);
  CHECK(W.Oracle_.StartCount_ == 4);
  CHECK(W.Oracle_.RunningOn_.size() == 4);
  CHECK(W.Oracle_.firstViolation() == "");
}

TEST_CASE("no job is accepted and no task started without store contact") {
  World W(6, 2);
  W.run(1000);
  W.StoreDown_ = true;
  W.run(6000);
  uint64_t Call = W.submit(batchJob("a", 1));
  W.step();
  REQUIRE(W.Answers_.count(Call) == 1);
  CHECK(W.Answers_[Call]->Kind_ == base::ErrorKind::StoreUnavailable);
  CHECK_FALSE(W.currentOwner()->job("a"));
}

// Guards against a restart of tasks while a long lease that the former owner
// granted is in force.
TEST_CASE("a new owner waits for the long lease horizon before it restarts the "
          "tasks of an unreachable worker") {
  World W(7, 2);
  W.submit(batchJob("a", 2, 0));
  W.run(4000);
  for (FakeWorker &Worker : W.Workers_)
    Worker.DropsRequests_ = true;
  W.killOwner();
  W.run(16'000);
  REQUIRE(W.takeOver());
  W.run(890'000);
  CHECK(W.currentOwner()->job("a")->Tasks_[0].State_ == "running");
  SUBCASE("the horizon has passed") { W.run(30'000); }
  SUBCASE("operators confirm that the domain is dead") {
    W.setDomainState(config::DomainState::OutConfirmedDead);
    W.run(3000);
  }
  CHECK(W.currentOwner()->job("a")->Tasks_[0].State_ == "pending");
}

// Guards invariant P4 (no start in a domain that is out of service) and the
// retry after the store refused a commit because the domain states had changed.
TEST_CASE("starts stop and resume with the domain state, and evicted tasks "
          "keep their progress") {
  World W(8, 2);
  W.submit(batchJob("a", 4, 60'000));
  W.run(10'000);
  CHECK(W.Oracle_.RunningOn_.size() == 4);
  W.setDomainState(config::DomainState::Out);
  W.submit(batchJob("b", 2));
  W.run(10'000);
  CHECK(W.Oracle_.RunningOn_.empty());
  W.setDomainState(config::DomainState::InService);
  W.run(80'000);
  CHECK(W.currentOwner()->job("a")->State_ == JobState::Finished);
  CHECK(W.currentOwner()->job("b")->State_ == JobState::Finished);
  CHECK(W.Oracle_.StartCount_ == 10);
  CHECK(W.Oracle_.firstViolation() == "");
  uint32_t Evictions = 0;
  for (const UsageRow &Row : W.currentOwner()->usage())
    Evictions += Row.Evictions_;
  CHECK(Evictions == 4);
}

// Guards against late starts: the owner was paused for longer than the start
// deadline between its decision and the message.
TEST_CASE("a worker refuses the start of an owner that was paused") {
  World W(9, 1);
  W.run(2000);
  W.submit(batchJob("a", 1));
  while (W.currentOwner()->job("a")->Tasks_[0].State_ != "starting")
    W.step();
  W.pauseOwner(5000);
  W.run(5000);
  CHECK(W.Oracle_.StartCount_ == 0);
  W.run(3000);
  CHECK(W.Oracle_.StartCount_ == 1);
  CHECK(W.currentOwner()->job("a")->Tasks_[0].Attempt_ == 2);
}

TEST_CASE("mass cancellation does not delay urgent starts") {
  World W(10, 4);
  W.run(1000);
  for (int I = 0; I < 50; ++I)
    W.submit(batchJob("wave" + std::to_string(I), 100));
  W.run(3000);
  for (int I = 0; I < 50; ++I)
    W.cancel("wave" + std::to_string(I));
  JobSpec Urgent = batchJob("urgent", 1);
  Urgent.Urgent_ = true;
  W.submit(Urgent);
  W.run(1500);
  CHECK(W.Oracle_.RunningOn_.count("urgent/0") == 1);
  W.run(5000);
  for (int I = 0; I < 50; ++I)
    CHECK(W.currentOwner()->job("wave" + std::to_string(I))->State_ ==
          JobState::Cancelled);
}

// Guards against a fault found in review: a takeover in the middle of a
// cancellation left the remaining tasks of the job pending forever.
TEST_CASE("a new owner completes an interrupted cancellation") {
  World W(11, 1);
  W.run(1000);
  W.submit(batchJob("big", 3000));
  W.run(1000);
  W.cancel("big");
  W.run(400);
  CHECK(W.currentOwner()->job("big")->State_ != JobState::Cancelled);
  W.killOwner();
  W.run(16'000);
  REQUIRE(W.takeOver());
  W.run(10'000);
  CHECK(W.currentOwner()->job("big")->State_ == JobState::Cancelled);
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
  World W(14, 2);
  W.submit(batchJob("a", 2, 60'000));
  W.run(3000);
  W.currentOwner()->beginHandover();
  W.run(1000);
  CHECK(W.currentOwner()->isQuiescent());
  uint64_t Call = W.submit(batchJob("b", 1));
  W.step();
  REQUIRE(W.Answers_[Call].has_value());
  CHECK(W.Answers_[Call]->Kind_ == base::ErrorKind::NotOwner);
}

TEST_CASE("a job that fails on every worker is rejected with a reason") {
  World W(15, 2);
  for (FakeWorker &Worker : W.Workers_)
    Worker.FailStarts_ = true;
  W.submit(batchJob("a", 1));
  W.run(4 * 3'600'000);
  CHECK(W.currentOwner()->job("a")->State_ == JobState::Rejected);
  CHECK(W.currentOwner()->job("a")->RejectReason_ == "failed 20 times");
}

TEST_CASE("explain returns the decisions about a job and about one task") {
  World W(16, 1);
  W.submit(batchJob("a", 2));
  W.run(3000);
  CHECK(W.currentOwner()->explain("a/0").size() == 1);
  CHECK(W.currentOwner()->explain("a").size() == 2);
  CHECK(W.currentOwner()->explain("a")[0].Event_ == "start");
}
