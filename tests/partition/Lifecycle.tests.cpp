#include "World.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace crocuslead;
using namespace crocuslead::partition;
using namespace crocuslead::partition::test;

namespace {

PartitionSummary room(const char *Id, int64_t MilliCpu = 8000) {
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

//! Time from a submission to its first offer, in milliseconds.
int64_t offeredAfter(World &W, const JobSpec &Job, int64_t Limit) {
  int64_t Since = W.NowMs_;
  auto Offered = [&] {
    return std::any_of(
        W.Offers_.begin(), W.Offers_.end(),
        [&](const TransferAction &Each) { return Each.JobId_ == Job.Id_; });
  };
  W.submit(Job);
  while (!Offered() && W.NowMs_ - Since < Limit)
    W.step();
  return W.NowMs_ - Since;
}

} // namespace

// Fault seen in a run of processes: a worker reported 104% of the declared run
// time, the owner refused the whole reply as malformed, took the worker for
// unreachable and ran its finished tasks again after the lease.
TEST_CASE("tasks that run longer than declared finish once") {
  World W(21, 1);
  W.run(2000);
  W.submit(batchJob("a", 3, 520));
  W.submit(batchJob("b", 3, 20'000));
  W.run(120'000);
  CHECK(W.Oracle_.Starts_ == 6);
  CHECK(W.current()->job("a")->State_ == JobState::Finished);
  CHECK(W.current()->job("b")->State_ == JobState::Finished);
  CHECK(W.Oracle_.text() == "");
}

// Guards the epoch fence over a worker's restart, which resets its clock and
// its highest epoch: a delayed start of an old owner must not run.
TEST_CASE("a restarted worker refuses a delayed start of an old owner") {
  World W(22, 1);
  W.run(2000);
  W.submit(batchJob("a", 1));
  W.run(1000);
  REQUIRE(W.LastStart_.Commands_.size() == 1);
  FakeWorker &Worker = W.Workers_[0];
  Worker.restart(W.Oracle_);
  Worker.ClockOffset_ = -W.NowMs_;
  auto Reply = Worker.handle(W.LastStart_, W.NowMs_, W.Oracle_);
  REQUIRE(Reply.Commands_.size() == 1);
  CHECK(Reply.Commands_[0].Status_ == cluster::CommandStatus::Refused);
  CHECK(Worker.Attempts_.empty());
  CHECK(W.Oracle_.Starts_ == 1);
}

// Guards against urgent work that waits 1 s for the next question to a worker
// which has already made room.
TEST_CASE("urgent work starts soon after the eviction that makes room for it") {
  World W(23, 1);
  W.Workers_[0].CheckpointMs_ = 200;
  W.run(2000);
  W.submit(batchJob("a", 8, 0));
  W.run(3000);
  REQUIRE(W.Oracle_.RunsOn_.size() == 8);
  JobSpec Job = urgentJob("u");
  Job.Workspace_ = "bureau";
  W.submit(Job);
  W.run(900);
  CHECK(W.Oracle_.RunsOn_.count("u/0") == 1);
}

// Guards against jobs that wait half a minute in a partition that cannot run
// them.
TEST_CASE("a job that cannot start here is offered to a partition with room") {
  SUBCASE("at once without workers") {
    World W(24, 0);
    W.Peers_ = {room("p2")};
    W.run(1000);
    W.current()->setPeerSummaries(W.Peers_);
    CHECK(offeredAfter(W, batchJob("a", 2), 30'000) <= 300);
  }
  SUBCASE("at once when no worker is large enough") {
    World W(25, 1);
    W.run(1000);
    W.current()->setPeerSummaries({room("p2", 16'000)});
    CHECK(offeredAfter(W, urgentJob("a", 12'000), 30'000) <= 300);
  }
  SUBCASE("after a short wait from full workers") {
    World W(26, 1);
    W.run(2000);
    W.submit(batchJob("full", 8, 0));
    W.run(2000);
    W.current()->setPeerSummaries({room("p2")});
    bool Urgent = false;
    SUBCASE("urgent work") { Urgent = true; }
    SUBCASE("batch work") {}
    JobSpec Job = Urgent ? urgentJob("b") : batchJob("b", 1);
    int64_t After = offeredAfter(W, Job, 30'000);
    CHECK(After >= (Urgent ? 200 : 3000));
    CHECK(After <= (Urgent ? 450 : 3500));
  }
}

// Guards against sending more to a peer than its last summary had room for.
TEST_CASE("offers are subtracted from a peer's room until its next summary") {
  World W(27, 0);
  W.run(1000);
  W.current()->setPeerSummaries({room("p2", 4000)});
  for (int I = 0; I < 4; ++I)
    W.submit(batchJob("j" + std::to_string(I), 2));
  W.run(900);
  CHECK(W.Offers_.size() == 2);
  W.current()->setPeerSummaries({room("p2", 2000)});
  W.run(900);
  std::set<std::string> Moving;
  for (const TransferAction &Offer : W.Offers_)
    Moving.insert(Offer.JobId_);
  CHECK(Moving.size() == 3);
}

// Guards against jobs that go back and forth between full partitions.
TEST_CASE("each further move of a job waits longer") {
  World From(28, 0);
  From.run(1000);
  From.current()->setPeerSummaries({room("p2")});
  From.submit(batchJob("a", 1));
  From.run(1000);
  REQUIRE_FALSE(From.Offers_.empty());
  World To(29, 1);
  To.run(2000);
  To.submit(batchJob("full", 8, 0));
  To.run(2000);
  To.current()->setPeerSummaries({room("p3")});
  const TransferAction &Offer = From.Offers_[0];
  To.current()->transferOffered("p1", Offer.Record_, 1, To.now());
  To.run(5500);
  CHECK(To.Offers_.empty());
  To.run(1500);
  REQUIRE_FALSE(To.Offers_.empty());
  CHECK(To.Offers_[0].Number_ == 2);
}

// Guards the end of a lease whose grant was never answered: the worker may
// hold it, so its tasks must not be restarted before it has ended.
TEST_CASE("a grant whose answer never came counts for the lease's end") {
  World W(30, 2);
  W.run(2000);
  W.submit(batchJob("a", 1, 0));
  W.run(19'000);
  REQUIRE(W.Oracle_.RunsOn_.size() == 1);
  std::string Holder = W.Oracle_.RunsOn_.begin()->second;
  for (FakeWorker &One : W.Workers_)
    One.LoseReplies_ = One.Id_ == Holder;
  // The next renewal reaches the worker; its answer does not come.
  W.run(10'000);
  for (FakeWorker &One : W.Workers_)
    One.CutOff_ = One.Id_ == Holder;
  W.run(120'000);
  CHECK(W.Oracle_.Starts_ == 2);
  CHECK(W.Oracle_.text() == "");
}

// Guards the deadline check for starts that a report does not name: a start
// whose answer was lost may still arrive until its deadline has passed.
TEST_CASE("an absent start is given up only after its deadline") {
  World W(31, 2);
  // Longer than the 2 s until the worker is asked again.
  W.StartDeadline_ = std::chrono::seconds(5);
  W.kill();
  W.run(16'000);
  REQUIRE(W.takeOver());
  W.run(2000);
  W.DelayStartsMs_ = 4000;
  W.submit(batchJob("a", 1, 0));
  W.run(500);
  REQUIRE(W.current()->job("a")->Tasks_[0].State_ == "starting");
  W.run(30'000);
  CHECK(W.Oracle_.text() == "");
  CHECK(W.Oracle_.Starts_ == 1);
  CHECK(W.current()->job("a")->Tasks_[0].Attempt_ == 1);
}

// Guards the wait to the horizon of 15 minutes: a former owner that lost the
// store may have granted leases up to there. A wait of one worker lease (60 s)
// starts the tasks in two places.
TEST_CASE("a successor does not run tasks beside a long lease") {
  World W(32, 2);
  W.submit(batchJob("a", 1, 0));
  W.run(4000);
  REQUIRE(W.Oracle_.RunsOn_.size() == 1);
  std::string Holder = W.Oracle_.RunsOn_.begin()->second;
  W.StoreDown_ = true;
  W.run(60'000);
  W.kill();
  for (FakeWorker &One : W.Workers_)
    One.CutOff_ = One.Id_ == Holder;
  W.StoreDown_ = false;
  W.run(20'000);
  REQUIRE(W.takeOver());
  W.run(300'000);
  CHECK(W.Oracle_.RunsOn_.begin()->second == Holder);
  CHECK(W.Oracle_.Starts_ == 1);
  W.run(700'000);
  CHECK(W.Oracle_.Starts_ == 2);
  CHECK(W.Oracle_.text() == "");
}

// Guards against capacity that a finished urgent task holds until a question
// that comes 2 s later.
TEST_CASE("the end of a short urgent task is seen soon") {
  World W(33, 1);
  W.run(2000);
  JobSpec Job = urgentJob("u");
  Job.RunTimeMs_ = 500;
  W.submit(Job);
  W.run(1200);
  CHECK(W.current()->job("u")->State_ == JobState::Finished);
}
