#include "World.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace crocuslead;
using namespace crocuslead::partition;
using namespace crocuslead::partition::test;

// Guards the long leases: without them all work ends 60 s into an outage.
TEST_CASE("tasks run on through 10 minutes without store and their owner's "
          "death") {
  World W(5, 2);
  W.submit(batchJob("a", 4, 0));
  W.run(4000);
  W.StoreDown_ = true;
  W.run(300'000);
  W.kill();
  W.run(300'000);
  CHECK(W.Oracle_.RunsOn_.size() == 4);
  W.StoreDown_ = false;
  W.run(20'000);
  REQUIRE(W.takeOver());
  W.run(120'000);
  CHECK(W.Oracle_.Starts_ == 4);
  CHECK(W.Oracle_.RunsOn_.size() == 4);
  CHECK(W.Oracle_.text() == "");
}

TEST_CASE("nothing is accepted or started without store contact") {
  World W(6, 2);
  W.run(1000);
  W.StoreDown_ = true;
  W.run(6000);
  uint64_t Call = W.submit(batchJob("a", 1));
  W.step();
  REQUIRE(W.Answers_.count(Call) == 1);
  CHECK(W.Answers_[Call]->Kind_ == base::ErrorKind::StoreUnavailable);
  CHECK_FALSE(W.current()->job("a"));
}

// Guards against a restart while the former owner's long lease is in force.
TEST_CASE("a successor waits for the horizon before it restarts the tasks of "
          "an unreached worker") {
  World W(7, 2);
  W.submit(batchJob("a", 2, 0));
  W.run(4000);
  for (FakeWorker &One : W.Workers_)
    One.CutOff_ = true;
  W.kill();
  W.run(16'000);
  REQUIRE(W.takeOver());
  W.run(890'000);
  CHECK(W.current()->job("a")->Tasks_[0].State_ == "running");
  SUBCASE("the wait ends with the horizon") { W.run(30'000); }
  SUBCASE("operators confirm that the domain is dead") {
    W.setDomain(config::DomainState::OutConfirmedDead);
    W.run(3000);
  }
  CHECK(W.current()->job("a")->Tasks_[0].State_ == "pending");
}

// Guards P4 and the retry after a refused domain compare.
TEST_CASE("starts follow a domain out and back, and evicted work keeps its "
          "progress") {
  World W(8, 2);
  W.submit(batchJob("a", 4, 60'000));
  W.run(10'000);
  CHECK(W.Oracle_.RunsOn_.size() == 4);
  W.setDomain(config::DomainState::Out);
  W.submit(batchJob("b", 2));
  W.run(10'000);
  CHECK(W.Oracle_.RunsOn_.empty());
  W.setDomain(config::DomainState::InService);
  W.run(80'000);
  CHECK(W.current()->job("a")->State_ == JobState::Finished);
  CHECK(W.current()->job("b")->State_ == JobState::Finished);
  CHECK(W.Oracle_.Starts_ == 10);
  CHECK(W.Oracle_.text() == "");
  uint32_t Evictions = 0;
  for (const UsageRow &Row : W.current()->usage())
    Evictions += Row.Evictions_;
  CHECK(Evictions == 4);
}

// Guards against an owner that sends starts late: it was stopped for longer
// than the deadline after its decision.
TEST_CASE("a worker refuses the start of an owner that was paused") {
  World W(9, 1);
  W.run(2000);
  W.submit(batchJob("a", 1));
  while (W.current()->job("a")->Tasks_[0].State_ != "starting")
    W.step();
  W.pause(5000);
  W.run(5000);
  CHECK(W.Oracle_.Starts_ == 0);
  W.run(3000);
  CHECK(W.Oracle_.Starts_ == 1);
  CHECK(W.current()->job("a")->Tasks_[0].Attempt_ == 2);
}

TEST_CASE("a cancellation wave does not hold up urgent starts") {
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
  CHECK(W.Oracle_.RunsOn_.count("urgent/0") == 1);
  W.run(5000);
  for (int I = 0; I < 50; ++I)
    CHECK(W.current()->job("wave" + std::to_string(I))->State_ ==
          JobState::Cancelled);
}

// Fault found in review: a takeover in the middle of a wave left the rest of a
// cancelled job pending for ever.
TEST_CASE("a successor finishes a cancellation that was cut short") {
  World W(11, 1);
  W.run(1000);
  W.submit(batchJob("big", 3000));
  W.run(1000);
  W.cancel("big");
  W.run(400);
  CHECK(W.current()->job("big")->State_ != JobState::Cancelled);
  W.kill();
  W.run(16'000);
  REQUIRE(W.takeOver());
  W.run(10'000);
  CHECK(W.current()->job("big")->State_ == JobState::Cancelled);
}

namespace {

PartitionSummary room(const char *Id) {
  PartitionSummary Out;
  Out.Id_ = Id;
  Out.Free_ = {8000, 32'000, 0};
  return Out;
}

} // namespace

// Guards against a job that is lost or doubled between two partitions.
TEST_CASE("a job moves once, whatever is repeated") {
  World From(12, 1);
  World To(13, 1);
  From.Peers_ = {room("p2")};
  From.run(1000);
  From.current()->setPeerSummaries(From.Peers_);
  From.setDomain(config::DomainState::Out);
  From.submit(batchJob("a", 2));
  From.run(6000);
  REQUIRE(From.Offers_.size() >= 2);
  CHECK(From.Offers_[0].ToPartition_ == "p2");
  To.run(1000);
  for (int Repeat = 0; Repeat < 3; ++Repeat) {
    const TransferAction &Offer = From.Offers_[0];
    To.current()->transferOffered("p1", Offer.Record_, Offer.Number_, To.now());
    CHECK(To.Acks_.size() == static_cast<std::size_t>(Repeat));
    To.run(500);
    CHECK(To.Acks_.size() == static_cast<std::size_t>(Repeat + 1));
  }
  From.kill();
  From.run(16'000);
  REQUIRE(From.takeOver());
  auto Sent = From.Offers_.size();
  From.run(3000);
  CHECK(From.Offers_.size() > Sent);
  CHECK(From.current()->job("a")->State_ == JobState::Pending);
  for (int Repeat = 0; Repeat < 2; ++Repeat)
    From.current()->transferAccepted("a", 1, From.now());
  From.run(1000);
  CHECK(From.current()->job("a")->State_ == JobState::Transferred);
  CHECK(From.current()->job("a")->TransferredTo_ == "p2");
  To.run(40'000);
  CHECK(To.current()->job("a")->State_ == JobState::Finished);
  CHECK(To.Oracle_.Starts_ == 2);
}

TEST_CASE("a handed over partition becomes quiescent and refuses calls") {
  World W(14, 2);
  W.submit(batchJob("a", 2, 60'000));
  W.run(3000);
  W.current()->beginHandover();
  W.run(1000);
  CHECK(W.current()->isQuiescent());
  uint64_t Call = W.submit(batchJob("b", 1));
  W.step();
  REQUIRE(W.Answers_[Call].has_value());
  CHECK(W.Answers_[Call]->Kind_ == base::ErrorKind::NotOwner);
}

TEST_CASE("a job that fails everywhere is refused with a reason") {
  World W(15, 2);
  for (FakeWorker &One : W.Workers_)
    One.FailStarts_ = true;
  W.submit(batchJob("a", 1));
  W.run(4 * 3'600'000);
  CHECK(W.current()->job("a")->State_ == JobState::Rejected);
  CHECK(W.current()->job("a")->RejectReason_ == "failed 20 times");
}

TEST_CASE("explain gives the decisions of a job and of one task") {
  World W(16, 1);
  W.submit(batchJob("a", 2));
  W.run(3000);
  CHECK(W.current()->explain("a/0").size() == 1);
  CHECK(W.current()->explain("a").size() == 2);
  CHECK(W.current()->explain("a")[0].Event_ == "start");
}
