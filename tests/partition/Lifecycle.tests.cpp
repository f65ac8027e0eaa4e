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
int64_t timeToOffer(World &Sim, const JobSpec &Job, int64_t Limit) {
  int64_t Since = Sim.NowMs_;
  auto Offered = [&] {
    return std::any_of(
        Sim.Offers_.begin(), Sim.Offers_.end(),
        [&](const TransferAction &Offer) { return Offer.JobId_ == Job.Id_; });
  };
  Sim.submit(Job);
  while (!Offered() && Sim.NowMs_ - Since < Limit)
    Sim.step();
  return Sim.NowMs_ - Since;
}

} // namespace

// Guards against a fault seen with real processes: a worker reported a progress
// of 104% of the declared run time. The owner rejected the whole reply as
// malformed, considered the worker unreachable and reran its finished tasks
// after the lease had expired.
TEST_CASE("tasks that run longer than declared finish once") {
  World Sim(21, 1);
  Sim.run(2000);
  Sim.submit(batchJob("a", 3, 520));
  Sim.submit(batchJob("b", 3, 20'000));
  Sim.run(120'000);
  CHECK(Sim.Oracle_.StartCount_ == 6);
  CHECK(Sim.currentOwner()->job("a")->State_ == JobState::Finished);
  CHECK(Sim.currentOwner()->job("b")->State_ == JobState::Finished);
  CHECK(Sim.Oracle_.firstViolation() == "");
}

// Guards epoch fencing across a worker restart, which resets the worker's clock
// and its highest epoch: a delayed start of an old owner must not be executed.
TEST_CASE("a restarted worker refuses a delayed start of an old owner") {
  World Sim(22, 1);
  Sim.run(2000);
  Sim.submit(batchJob("a", 1));
  Sim.run(1000);
  REQUIRE(Sim.LastStartRequest_.Commands_.size() == 1);
  FakeWorker &Worker = Sim.Workers_[0];
  Worker.restart(Sim.Oracle_);
  Worker.ClockOffset_ = -Sim.NowMs_;
  auto Reply = Worker.handle(Sim.LastStartRequest_, Sim.NowMs_, Sim.Oracle_);
  REQUIRE(Reply.Commands_.size() == 1);
  CHECK(Reply.Commands_[0].Status_ == cluster::CommandStatus::Refused);
  CHECK(Worker.Attempts_.empty());
  CHECK(Sim.Oracle_.StartCount_ == 1);
}

// Guards against an urgent task that waits 1 s for the next poll of a worker
// which has already completed the eviction.
TEST_CASE("an urgent task starts soon after the eviction that frees its "
          "resources") {
  World Sim(23, 1);
  Sim.Workers_[0].CheckpointMs_ = 200;
  Sim.run(2000);
  Sim.submit(batchJob("a", 8, 0));
  Sim.run(3000);
  REQUIRE(Sim.Oracle_.RunningOn_.size() == 8);
  JobSpec Job = urgentJob("u");
  Job.Workspace_ = "bureau";
  Sim.submit(Job);
  Sim.run(900);
  CHECK(Sim.Oracle_.RunningOn_.count("u/0") == 1);
}

// Guards against jobs that wait for 30 s in a partition that cannot run them.
TEST_CASE("a job that cannot start is offered to a partition with free "
          "capacity") {
  SUBCASE("immediately without workers") {
    World Sim(24, 0);
    Sim.Peers_ = {peerWithFreeCpu("p2")};
    Sim.run(1000);
    Sim.currentOwner()->setPeerSummaries(Sim.Peers_);
    CHECK(timeToOffer(Sim, batchJob("a", 2), 30'000) <= 300);
  }
  SUBCASE("immediately when no worker is large enough") {
    World Sim(25, 1);
    Sim.run(1000);
    Sim.currentOwner()->setPeerSummaries({peerWithFreeCpu("p2", 16'000)});
    CHECK(timeToOffer(Sim, urgentJob("a", 12'000), 30'000) <= 300);
  }
  SUBCASE("after a short delay when all workers are full") {
    World Sim(26, 1);
    Sim.run(2000);
    Sim.submit(batchJob("full", 8, 0));
    Sim.run(2000);
    Sim.currentOwner()->setPeerSummaries({peerWithFreeCpu("p2")});
    bool Urgent = false;
    SUBCASE("urgent job") { Urgent = true; }
    SUBCASE("batch job") {}
    JobSpec Job = Urgent ? urgentJob("b") : batchJob("b", 1);
    int64_t After = timeToOffer(Sim, Job, 30'000);
    CHECK(After >= (Urgent ? 200 : 3000));
    CHECK(After <= (Urgent ? 450 : 3500));
  }
}

// Guards against offering a peer more than its last summary had capacity for.
TEST_CASE("offers are deducted from a peer's free capacity until its next "
          "summary") {
  World Sim(27, 0);
  Sim.run(1000);
  Sim.currentOwner()->setPeerSummaries({peerWithFreeCpu("p2", 4000)});
  for (int I = 0; I < 4; ++I)
    Sim.submit(batchJob("j" + std::to_string(I), 2));
  Sim.run(900);
  CHECK(Sim.Offers_.size() == 2);
  Sim.currentOwner()->setPeerSummaries({peerWithFreeCpu("p2", 2000)});
  Sim.run(900);
  std::set<std::string> OfferedJobs;
  for (const TransferAction &Offer : Sim.Offers_)
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
  World Sim(30, 2);
  Sim.run(2000);
  Sim.submit(batchJob("a", 1, 0));
  Sim.run(19'000);
  REQUIRE(Sim.Oracle_.RunningOn_.size() == 1);
  std::string AssignedWorker = Sim.Oracle_.RunningOn_.begin()->second;
  for (FakeWorker &Worker : Sim.Workers_)
    Worker.DropsReplies_ = Worker.Id_ == AssignedWorker;
  // The next renewal reaches the worker, but its reply is lost.
  Sim.run(10'000);
  for (FakeWorker &Worker : Sim.Workers_)
    Worker.DropsRequests_ = Worker.Id_ == AssignedWorker;
  Sim.run(120'000);
  CHECK(Sim.Oracle_.StartCount_ == 2);
  CHECK(Sim.Oracle_.firstViolation() == "");
}

// Guards the deadline check for starts that are missing from a report: a start
// whose reply was lost may still arrive until its deadline has passed.
TEST_CASE("a start that is missing from a report is ended only after its "
          "deadline") {
  World Sim(31, 2);
  // Longer than the 2 s until the worker is polled again.
  Sim.StartDeadline_ = std::chrono::seconds(5);
  Sim.killOwner();
  Sim.run(16'000);
  REQUIRE(Sim.takeOver());
  Sim.run(2000);
  Sim.StartMessageDelayMs_ = 4000;
  Sim.submit(batchJob("a", 1, 0));
  Sim.run(500);
  REQUIRE(Sim.currentOwner()->job("a")->Tasks_[0].State_ == "starting");
  Sim.run(30'000);
  CHECK(Sim.Oracle_.firstViolation() == "");
  CHECK(Sim.Oracle_.StartCount_ == 1);
  CHECK(Sim.currentOwner()->job("a")->Tasks_[0].Attempt_ == 1);
}

// Guards the wait for the long lease horizon of 15 minutes: a former owner that
// lost the store may have granted leases up to that horizon. Waiting for one
// worker lease (60 s) only would run the tasks on two workers at once.
TEST_CASE("a new owner does not restart tasks while a long lease is in force") {
  World Sim(32, 2);
  Sim.submit(batchJob("a", 1, 0));
  Sim.run(4000);
  REQUIRE(Sim.Oracle_.RunningOn_.size() == 1);
  std::string AssignedWorker = Sim.Oracle_.RunningOn_.begin()->second;
  Sim.StoreDown_ = true;
  Sim.run(60'000);
  Sim.killOwner();
  for (FakeWorker &Worker : Sim.Workers_)
    Worker.DropsRequests_ = Worker.Id_ == AssignedWorker;
  Sim.StoreDown_ = false;
  Sim.run(20'000);
  REQUIRE(Sim.takeOver());
  Sim.run(300'000);
  CHECK(Sim.Oracle_.RunningOn_.begin()->second == AssignedWorker);
  CHECK(Sim.Oracle_.StartCount_ == 1);
  Sim.run(700'000);
  CHECK(Sim.Oracle_.StartCount_ == 2);
  CHECK(Sim.Oracle_.firstViolation() == "");
}

// Guards against capacity that a finished urgent task keeps allocated until a
// poll 2 s later.
TEST_CASE("the end of a short urgent task is noticed promptly") {
  World Sim(33, 1);
  Sim.run(2000);
  JobSpec Job = urgentJob("u");
  Job.RunTimeMs_ = 500;
  Sim.submit(Job);
  Sim.run(1200);
  CHECK(Sim.currentOwner()->job("u")->State_ == JobState::Finished);
}
