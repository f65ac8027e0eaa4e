#include "Fixtures.h"

#include <doctest/doctest.h>

#include <map>
#include <set>

using namespace crocuslead::schedule;
using namespace crocuslead::schedule::testing;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

TEST_CASE(
    "a leaving worker is drained and an unreachable one keeps its tasks") {
  Planner Plan;
  Plan.upsertWorker(worker(1));
  Plan.upsertWorker(worker(2));
  Plan.allocate({batch(1), 1, Start, Start});
  Plan.allocate({batch(2), 2, Start, Start});
  auto Info = worker(1);
  Info.Schedulable_ = false;
  Plan.upsertWorker(Info);
  CHECK(Plan.plan(Start, NoLimit).empty());
  Info.Leaving_ = true;
  Plan.upsertWorker(Info);
  auto Decisions = evictions(Plan, Start);
  REQUIRE(Decisions.size() == 1);
  CHECK(Decisions[0].Reason_ == Reason::WorkerLeaving);
}

TEST_CASE("a worker that fails every start is quarantined and probed") {
  Planner Plan;
  Plan.upsertWorker(worker(1));
  for (JobNumber Job : {5, 5, 5})
    Plan.reportStart(1, Job, false, Start);
  Plan.addPending(batch(1));
  // Failures of a single job do not quarantine a worker.
  CHECK(starts(Plan, Start).size() == 1);
  Plan.release(1);
  Plan.reportStart(1, 6, false, Start);
  for (TaskNumber I = 2; I <= 4; ++I)
    Plan.addPending(batch(I));
  CHECK(Plan.plan(Start + seconds(29), NoLimit).empty());
  CHECK(Plan.pendingReason(2) == Reason::WorkerQuarantined);
  CHECK(starts(Plan, Start + seconds(30)).size() == 1);
  CHECK(Plan.plan(Start + seconds(31), NoLimit).empty());
  Plan.reportStart(1, 2, false, Start + seconds(31));
  Plan.release(2);
  CHECK(Plan.plan(Start + seconds(90), NoLimit).empty());
  CHECK(starts(Plan, Start + seconds(91)).size() == 1);
  Plan.reportStart(1, 3, true, Start + seconds(92));
  CHECK(starts(Plan, Start + seconds(93)).size() == 1);
}

// Guards against a replaced worker that stays quarantined without a probe.
TEST_CASE("removing a worker with tasks ends its quarantine") {
  Planner Plan;
  Plan.upsertWorker(worker(1));
  Plan.allocate({batch(1), 1, Start, Start});
  for (JobNumber Job : {5, 6, 7})
    Plan.reportStart(1, Job, false, Start);
  Plan.removeWorker(1);
  Plan.upsertWorker(worker(1));
  Plan.addPending(urgent(2));
  CHECK(starts(Plan, Start).size() == 1);
}

// Guards against a crash or leaked capacity in the recovery after a takeover of
// the partition.
TEST_CASE("a task may be known before its worker") {
  Planner Plan;
  Plan.allocate({batch(1, 6000), 1, Start, Start});
  Plan.addPending(batch(2, 3000));
  CHECK(Plan.plan(Start, NoLimit).empty());
  Plan.upsertWorker(worker(1, 8000));
  CHECK(Plan.allocated(1).MilliCpu_ == 6000);
  CHECK(Plan.plan(Start, NoLimit).empty());
  Plan.release(1);
  CHECK(starts(Plan, Start).size() == 1);
}

TEST_CASE("jobs that fail everywhere do not count against workers") {
  Planner Plan;
  for (WorkerNumber I = 1; I <= 4; ++I)
    Plan.upsertWorker(worker(I));
  for (JobNumber Job : {5, 6})
    for (WorkerNumber I = 1; I <= 4; ++I)
      Plan.reportStart(I, Job, false, Start);
  Plan.reportStart(1, 5, false, Start);
  Plan.reportStart(1, 6, false, Start);
  for (TaskNumber I = 1; I <= 32; ++I)
    Plan.addPending(batch(I));
  CHECK(starts(Plan, Start).size() == 32);
}

// Guards against capacity that stays reserved for a cancelled task.
TEST_CASE("capacity reserved for a cancelled task is available to others") {
  Planner Plan;
  Plan.upsertWorker(worker(1, 1000));
  Plan.allocate({batch(1), 1, Start, Start});
  Plan.addPending(urgent(2));
  CHECK(evictions(Plan, Start).size() == 1);
  Plan.removePending(2);
  Plan.addPending(urgent(3));
  CHECK(evictions(Plan, Start + milliseconds(100)).empty());
  Plan.release(1);
  CHECK(starts(Plan, Start + milliseconds(200)).size() == 1);
}

TEST_CASE("a task added while still allocated becomes pending when released") {
  Planner Plan;
  Plan.upsertWorker(worker(1, 8000));
  Plan.allocate({batch(1), 1, Start, Start});
  Plan.addPending(batch(1));
  CHECK(Plan.pendingCount() == 0);
  CHECK(Plan.plan(Start, NoLimit).empty());
  Plan.release(1);
  CHECK(starts(Plan, Start).size() == 1);
}
