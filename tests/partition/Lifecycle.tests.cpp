#include "World.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace crocuslead;
using namespace crocuslead::partition;
using namespace crocuslead::partition::test;

namespace {

PartitionSummary peerWithFreeCpu(const char *Id, int64_t MilliCpu = 8000) {
  PartitionSummary Out;
  Out.Id_ = Id;
  Out.Free_ = {MilliCpu, 32'000, 0};
  return Out;
}

JobSpec urgentJob(const std::string &Id, int64_t MilliCpu = 1000) {
  JobSpec Job = batchJob(Id, 1);
  Job.Urgent_ = true;
  Job.PerTask_.MilliCpu_ = MilliCpu;
  return Job;
}

//! Submits the job and returns the time until it is offered to another
//! partition, in milliseconds; at least Limit when it is not.
int64_t timeToOffer(World &W, const JobSpec &Job, int64_t Limit) {
  int64_t Since = W.NowMs_;
  auto Offered = [&] {
    return std::any_of(
        W.Offers_.begin(), W.Offers_.end(),
        [&](const TransferAction &Offer) { return Offer.JobId_ == Job.Id_; });
  };
  W.submit(Job);
  while (!Offered() && W.NowMs_ - Since < Limit)
    W.step();
  return W.NowMs_ - Since;
}

} // namespace

// Guards against a fault seen with real processes: a worker reported a progress
// of 104% of the declared run time. The owner rejected the whole reply as
// malformed, considered the worker unreachable and reran its finished tasks
// after the lease had expired.
TEST_CASE("tasks that run longer than declared finish once") {
  World W(21, 1);
  W.run(2000);
  W.submit(batchJob("a", 3, 520));
  W.submit(batchJob("b", 3, 20'000));
  W.run(120'000);
  CHECK(W.Oracle_.StartCount_ == 6);
  CHECK(W.currentOwner()->job("a")->State_ == JobState::Finished);
  CHECK(W.currentOwner()->job("b")->State_ == JobState::Finished);
  CHECK(W.Oracle_.firstViolation() == "");
}

// Guards epoch fencing across a worker restart, which resets the worker's clock
// and its highest epoch: a delayed start of an old owner must not be executed.
TEST_CASE("a restarted worker refuses a delayed start of an old owner") {
  World W(22, 1);
  W.run(2000);
  W.submit(batchJob("a", 1));
  W.run(1000);
  REQUIRE(W.LastStartRequest_.Commands_.size() == 1);
  FakeWorker &Worker = W.Workers_[0];
  Worker.restart(W.Oracle_);
  Worker.ClockOffset_ = -W.NowMs_;
  auto Reply = Worker.handle(W.LastStartRequest_, W.NowMs_, W.Oracle_);
  REQUIRE(Reply.Commands_.size() == 1);
  CHECK(Reply.Commands_[0].Status_ == cluster::CommandStatus::Refused);
  CHECK(Worker.Attempts_.empty());
  CHECK(W.Oracle_.StartCount_ == 1);
}

// Guards against an urgent task that waits 1 s for the next poll of a worker
// which has already completed the eviction.
TEST_CASE("an urgent task starts soon after the eviction that frees its "
          "resources") {
  World W(23, 1);
  W.Workers_[0].CheckpointMs_ = 200;
  W.run(2000);
  W.submit(batchJob("a", 8, 0));
  W.run(3000);
  REQUIRE(W.Oracle_.RunningOn_.size() == 8);
  JobSpec Job = urgentJob("u");
  Job.Workspace_ = "bureau";
  W.submit(Job);
  W.run(900);
  CHECK(W.Oracle_.RunningOn_.count("u/0") == 1);
}

// Guards against jobs that wait for 30 s in a partition that cannot run them.
TEST_CASE("a job that cannot start is offered to a partition with free "
          "capacity") {
  SUBCASE("immediately without workers") {
    World W(24, 0);
    W.Peers_ = {peerWithFreeCpu("p2")};
    W.run(1000);
    W.currentOwner()->setPeerSummaries(W.Peers_);
    CHECK(timeToOffer(W, batchJob("a", 2), 30'000) <= 300);
  }
  SUBCASE("immediately when no worker is large enough") {
    World W(25, 1);
    W.run(1000);
    W.currentOwner()->setPeerSummaries({peerWithFreeCpu("p2", 16'000)});
    CHECK(timeToOffer(W, urgentJob("a", 12'000), 30'000) <= 300);
  }
  SUBCASE("after a short delay when all workers are full") {
    World W(26, 1);
    W.run(2000);
    W.submit(batchJob("full", 8, 0));
    W.run(2000);
    W.currentOwner()->setPeerSummaries({peerWithFreeCpu("p2")});
    bool Urgent = false;
    SUBCASE("urgent job") { Urgent = true; }
    SUBCASE("batch job") {}
    JobSpec Job = Urgent ? urgentJob("b") : batchJob("b", 1);
    int64_t After = timeToOffer(W, Job, 30'000);
    CHECK(After >= (Urgent ? 200 : 3000));
    CHECK(After <= (Urgent ? 450 : 3500));
  }
}

// Guards against offering a peer more than its last summary had capacity for.
TEST_CASE("offers are deducted from a peer's free capacity until its next "
          "summary") {
  World W(27, 0);
  W.run(1000);
  W.currentOwner()->setPeerSummaries({peerWithFreeCpu("p2", 4000)});
  for (int I = 0; I < 4; ++I)
    W.submit(batchJob("j" + std::to_string(I), 2));
  W.run(900);
  CHECK(W.Offers_.size() == 2);
  W.currentOwner()->setPeerSummaries({peerWithFreeCpu("p2", 2000)});
  W.run(900);
  std::set<std::string> OfferedJobs;
  for (const TransferAction &Offer : W.Offers_)
    OfferedJobs.insert(Offer.JobId_);
  CHECK(OfferedJobs.size() == 3);
}

// Guards against jobs that oscillate between full partitions.
TEST_CASE("each further transfer of a job is delayed longer") {
  World From(28, 0);
  From.run(1000);
  From.currentOwner()->setPeerSummaries({peerWithFreeCpu("p2")});
  From.submit(batchJob("a", 1));
  From.run(1000);
  REQUIRE_FALSE(From.Offers_.empty());
  World To(29, 1);
  To.run(2000);
  To.submit(batchJob("full", 8, 0));
  To.run(2000);
  To.currentOwner()->setPeerSummaries({peerWithFreeCpu("p3")});
  const TransferAction &Offer = From.Offers_[0];
  To.currentOwner()->transferOffered("p1", Offer.Record_, 1, To.now());
  To.run(5500);
  CHECK(To.Offers_.empty());
  To.run(1500);
  REQUIRE_FALSE(To.Offers_.empty());
  CHECK(To.Offers_[0].Number_ == 2);
}

// Guards the expiry of a lease whose grant was not acknowledged: the worker may
// have received it, so its tasks must not be restarted before it has expired.
TEST_CASE("an unacknowledged lease grant extends the lease") {
  World W(30, 2);
  W.run(2000);
  W.submit(batchJob("a", 1, 0));
  W.run(19'000);
  REQUIRE(W.Oracle_.RunningOn_.size() == 1);
  std::string AssignedWorker = W.Oracle_.RunningOn_.begin()->second;
  for (FakeWorker &Worker : W.Workers_)
    Worker.DropsReplies_ = Worker.Id_ == AssignedWorker;
  // The next renewal reaches the worker, but its reply is lost.
  W.run(10'000);
  for (FakeWorker &Worker : W.Workers_)
    Worker.DropsRequests_ = Worker.Id_ == AssignedWorker;
  W.run(120'000);
  CHECK(W.Oracle_.StartCount_ == 2);
  CHECK(W.Oracle_.firstViolation() == "");
}

// Guards the deadline check for starts that are missing from a report: a start
// whose reply was lost may still arrive until its deadline has passed.
TEST_CASE("a start that is missing from a report is ended only after its "
          "deadline") {
  World W(31, 2);
  // Longer than the 2 s until the worker is polled again.
  W.StartDeadline_ = std::chrono::seconds(5);
  W.killOwner();
  W.run(16'000);
  REQUIRE(W.takeOver());
  W.run(2000);
  W.StartMessageDelayMs_ = 4000;
  W.submit(batchJob("a", 1, 0));
  W.run(500);
  REQUIRE(W.currentOwner()->job("a")->Tasks_[0].State_ == "starting");
  W.run(30'000);
  CHECK(W.Oracle_.firstViolation() == "");
  CHECK(W.Oracle_.StartCount_ == 1);
  CHECK(W.currentOwner()->job("a")->Tasks_[0].Attempt_ == 1);
}

// Guards the wait for the long lease horizon of 15 minutes: a former owner that
// lost the store may have granted leases up to that horizon. Waiting for one
// worker lease (60 s) only would run the tasks on two workers at once.
TEST_CASE("a new owner does not restart tasks while a long lease is in force") {
  World W(32, 2);
  W.submit(batchJob("a", 1, 0));
  W.run(4000);
  REQUIRE(W.Oracle_.RunningOn_.size() == 1);
  std::string AssignedWorker = W.Oracle_.RunningOn_.begin()->second;
  W.StoreDown_ = true;
  W.run(60'000);
  W.killOwner();
  for (FakeWorker &Worker : W.Workers_)
    Worker.DropsRequests_ = Worker.Id_ == AssignedWorker;
  W.StoreDown_ = false;
  W.run(20'000);
  REQUIRE(W.takeOver());
  W.run(300'000);
  CHECK(W.Oracle_.RunningOn_.begin()->second == AssignedWorker);
  CHECK(W.Oracle_.StartCount_ == 1);
  W.run(700'000);
  CHECK(W.Oracle_.StartCount_ == 2);
  CHECK(W.Oracle_.firstViolation() == "");
}

// Guards against capacity that a finished urgent task keeps allocated until a
// poll 2 s later.
TEST_CASE("the end of a short urgent task is noticed promptly") {
  World W(33, 1);
  W.run(2000);
  JobSpec Job = urgentJob("u");
  Job.RunTimeMs_ = 500;
  W.submit(Job);
  W.run(1200);
  CHECK(W.currentOwner()->job("u")->State_ == JobState::Finished);
}
