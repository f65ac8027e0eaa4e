#include "Fixtures.h"

#include <doctest/doctest.h>

#include <map>
#include <set>

using namespace crocuslead::schedule;
using namespace crocuslead::schedule::testing;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

// Guards against large workers being fragmented by small tasks.
TEST_CASE("a task goes to the worker with the least room left") {
  Planner Plan;
  Plan.upsertWorker(worker(1, 32000));
  Plan.upsertWorker(worker(2, 8000));
  Plan.allocate({batch(50, 5000), 2, Start, Start});
  Plan.addPending(batch(1, 2000));
  auto Made = starts(Plan, Start);
  REQUIRE(Made.size() == 1);
  CHECK(Made[0].Worker_ == 2);
  CHECK(Plan.allocated(2).MilliCpu_ == 7000);
}

// Guards against a border bucket hiding a worker that fits behind many that
// do not.
TEST_CASE("the only worker that fits is found among many that nearly fit") {
  Planner Plan;
  for (WorkerNumber I = 1; I <= 200; ++I)
    Plan.upsertWorker(worker(I, I == 200 ? 7000 : 6200));
  Plan.addPending(batch(1, 6500));
  auto Made = starts(Plan, Start);
  REQUIRE(Made.size() == 1);
  CHECK(Made[0].Worker_ == 200);
}

TEST_CASE("replicas of a service spread over racks") {
  Planner Plan;
  for (WorkerNumber I = 0; I < 12; ++I)
    Plan.upsertWorker(worker(I, 8000, I / 4));
  for (TaskNumber I = 1; I <= 6; ++I)
    Plan.addPending(service(I, 9));
  std::map<RackNumber, int> Racks;
  for (const Decision &Each : starts(Plan, Start))
    ++Racks[Each.Worker_ / 4];
  CHECK(Racks == std::map<RackNumber, int>{{0, 2}, {1, 2}, {2, 2}});
}

// Guards against urgent work waiting behind batch work of its own workspace,
// and against evicting again while an eviction is under way.
TEST_CASE("an urgent task evicts one batch task, once, and takes its room") {
  Planner Plan;
  Plan.upsertWorker(worker(1, 4000));
  Plan.setWorkspaces(shares({0.5, 0.5}), {4000, 16000, 0});
  for (TaskNumber I = 1; I <= 4; ++I)
    Plan.allocate({batch(I, 1000), 1, Start, Start});
  Plan.addPending(batch(20, 1000));
  Plan.addPending(urgent(10, 1000, 2));
  auto Now = Start + minutes(1);
  auto First = evictions(Plan, Now);
  REQUIRE(First.size() == 1);
  CHECK(First[0].Reason_ == Reason::UrgentPreemption);
  CHECK(Plan.plan(Now + milliseconds(100), Many).empty());
  CHECK(Plan.allocated(1).MilliCpu_ == 4000);
  Plan.release(First[0].Task_);
  auto Made = starts(Plan, Now + milliseconds(200));
  REQUIRE(Made.size() == 1);
  CHECK(Made[0].Task_ == 10);
}

// Guards against two workspaces evicting each other in turn.
TEST_CASE("lent capacity is reclaimed up to the owner's share and no further") {
  Planner Plan;
  for (WorkerNumber I = 1; I <= 4; ++I)
    Plan.upsertWorker(worker(I, 4000));
  Plan.setWorkspaces(shares({0.5, 0.5}), {16000, 64000, 0});
  for (TaskNumber I = 1; I <= 32; ++I)
    Plan.addPending(batch(I, 1000, 1));
  CHECK(starts(Plan, Start).size() == 16);
  for (TaskNumber I = 101; I <= 132; ++I)
    Plan.addPending(batch(I, 1000, 2));
  std::set<TaskNumber> Evicted;
  auto Now = Start + minutes(1);
  for (int Round = 0; Round < 40; ++Round, Now += milliseconds(100))
    for (const Decision &Each : evictions(Plan, Now)) {
      CHECK(Each.Reason_ == Reason::ReclaimedShare);
      CHECK(Each.Task_ <= 32);
      CHECK(Evicted.insert(Each.Task_).second);
    }
  CHECK(Evicted.size() == 8);
  for (TaskNumber Each : Evicted)
    Plan.release(Each);
  auto Made = Plan.plan(Now, Many);
  CHECK(Made.size() == 8);
  for (const Decision &Each : Made)
    CHECK(Each.Task_ > 100);
  CHECK(Plan.plan(Now + minutes(20), Many).empty());
  CHECK(Plan.pendingReason(1 + 31) == Reason::NoCapacity);
}

// Guards against priority lending capacity that its owner then takes back by
// evictions: a workspace below its share goes before any above.
TEST_CASE("priority lends no capacity ahead of a workspace below its share") {
  Planner Plan;
  Plan.upsertWorker(worker(1, 10000));
  auto Parts = shares({0.5, 0.5});
  Parts[0].Priority_ = 10;
  Plan.setWorkspaces(Parts, {10000, 40000, 0});
  for (TaskNumber I = 1; I <= 20; ++I)
    Plan.addPending(batch(I, 1000, I <= 10 ? 1 : 2));
  std::map<bool, int> Started;
  for (const Decision &Each : starts(Plan, Start))
    ++Started[Each.Task_ <= 10];
  CHECK(Started == std::map<bool, int>{{false, 5}, {true, 5}});
  CHECK(evictions(Plan, Start + minutes(1)).empty());
}

// Guards against evictions for room that would come free by itself.
TEST_CASE("batch work waits ten seconds for its share before it evicts") {
  Planner Plan;
  Plan.upsertWorker(worker(1, 2000));
  Plan.setWorkspaces(shares({0, 1}), {2000, 8000, 0});
  Plan.allocate({batch(1), 1, Start, Start});
  Plan.allocate({batch(2), 1, Start, Start});
  Plan.addPending(batch(10, 1000, 2));
  CHECK(evictions(Plan, Start + seconds(9)).empty());
  CHECK(evictions(Plan, Start + seconds(10)).size() == 1);
}

TEST_CASE("the cheapest task is evicted and a protected one never") {
  Planner Plan;
  Plan.upsertWorker(worker(1, 3000));
  Plan.setWorkspaces(shares({0, 1}), {3000, 12000, 0});
  auto Restarted = batch(1);
  Restarted.Restarts_ = 1;
  auto Now = Start + minutes(30);
  Plan.allocate({Restarted, 1, Now - seconds(1), Now - seconds(1)});
  Plan.allocate({batch(2), 1, Start, Start});
  Plan.allocate({batch(3), 1, Start, Now - minutes(1)});
  Plan.addPending(batch(10, 1000, 2));
  auto Made = evictions(Plan, Now);
  REQUIRE(Made.size() == 1);
  CHECK(Made[0].Task_ == 3);
  Plan.addPending(batch(11, 1000, 2));
  Plan.addPending(batch(12, 1000, 2));
  Made = evictions(Plan, Now + minutes(2));
  REQUIRE(Made.size() == 1);
  CHECK(Made[0].Task_ == 2);
  CHECK(evictions(Plan, Now + minutes(3)).empty());
  CHECK(evictions(Plan, Now + minutes(11)).size() == 1);
}

TEST_CASE("a task is evicted at most three times a day") {
  Planner Plan;
  Plan.upsertWorker(worker(1, 1000));
  int Evictions = 0;
  auto Now = Start;
  for (int Round = 0; Round < 6; ++Round, Now += minutes(30)) {
    Plan.allocate({batch(1), 1, Now, Now});
    Plan.addPending(urgent(10 + Round));
    Evictions += static_cast<int>(evictions(Plan, Now + minutes(20)).size());
    Plan.removePending(10 + Round);
    Plan.release(1);
  }
  CHECK(Evictions == 3);
}

TEST_CASE("in the last days of a month a batch task near its end is kept") {
  Planner Plan;
  Plan.upsertWorker(worker(1, 2000));
  auto Now = Start + minutes(60);
  Plan.setMonthEnd(Now + minutes(60));
  auto NearEnd = batch(1);
  NearEnd.ExpectedRun_ = minutes(61);
  Plan.allocate({NearEnd, 1, Start, Now - seconds(10)});
  Plan.allocate({batch(2), 1, Start, Now - seconds(60)});
  Plan.addPending(urgent(10));
  auto Made = evictions(Plan, Now);
  REQUIRE(Made.size() == 1);
  CHECK(Made[0].Task_ == 2);
}

TEST_CASE("a gang starts whole and holds nothing while it waits") {
  Planner Plan;
  Plan.upsertWorker(worker(1, 4000));
  Plan.upsertWorker(worker(2, 4000));
  Plan.allocate({service(50, 50, 2000), 1, Start, Start});
  for (TaskNumber I = 1; I <= 4; ++I) {
    auto Task = batch(I, 2000);
    Task.Gang_ = 5;
    Task.GangSize_ = 4;
    if (I == 4) {
      CHECK(Plan.plan(Start, Many).empty());
      CHECK(Plan.pendingReason(1) == Reason::GangIncomplete);
    }
    Plan.addPending(Task);
  }
  CHECK(Plan.plan(Start, Many).empty());
  CHECK(Plan.allocated(2).MilliCpu_ == 0);
  Plan.release(50);
  CHECK(starts(Plan, Start + seconds(5)).size() == 4);
}

TEST_CASE("a gang reclaims its share for all members and starts whole") {
  Planner Plan;
  Plan.upsertWorker(worker(1, 4000));
  Plan.upsertWorker(worker(2, 4000));
  Plan.setWorkspaces(shares({0, 1}), {8000, 32000, 0});
  for (TaskNumber I = 1; I <= 8; ++I)
    Plan.allocate(
        {batch(I), static_cast<WorkerNumber>(1 + I % 2), Start, Start});
  for (TaskNumber I = 11; I <= 12; ++I) {
    auto Task = batch(I, 3000, 2);
    Task.Gang_ = 5;
    Task.GangSize_ = 2;
    Plan.addPending(Task);
  }
  auto Now = Start + minutes(1);
  auto Made = evictions(Plan, Now);
  CHECK(Made.size() == 6);
  for (std::size_t I = 0; I < Made.size(); ++I) {
    CHECK(Plan.plan(Now += seconds(1), Many).empty());
    Plan.release(Made[I].Task_);
  }
  CHECK(starts(Plan, Now + seconds(1)).size() == 2);
}

TEST_CASE("what no worker could ever hold is rejected with the nearest size") {
  Planner Plan;
  Plan.upsertWorker(worker(1, 4000));
  Plan.upsertWorker(worker(2, 4000));
  Plan.addPending(batch(1, 5000));
  for (TaskNumber I = 2; I <= 4; ++I) {
    auto Task = batch(I, 4000);
    Task.Gang_ = 5;
    Task.GangSize_ = 3;
    Plan.addPending(Task);
  }
  auto Made = Plan.plan(Start, Many);
  REQUIRE(Made.size() == 4);
  for (const Decision &Each : Made) {
    CHECK(Each.Kind_ == DecisionKind::Reject);
    CHECK(Each.Reason_ == Reason::NeverFits);
    CHECK(Each.NearestFit_.MilliCpu_ == (Each.Task_ == 1 ? 4000 : 2000));
  }
  CHECK(Plan.pendingCount() == 0);
}

// Guards against a rejection that was judged before a larger worker came.
TEST_CASE("a task is not rejected when a worker that could hold it has come") {
  Planner Plan;
  Plan.upsertWorker(worker(1, 4000));
  Plan.addPending(batch(1, 6000));
  CHECK(Plan.plan(Start, 0).empty());
  Plan.upsertWorker(worker(2, 8000));
  auto Made = Plan.plan(Start, Many);
  REQUIRE(Made.size() == 1);
  CHECK(Made[0].Kind_ == DecisionKind::Start);
}

// Guards against members that wait forever after one of them was rejected.
TEST_CASE("an infeasible gang is rejected whole under a small limit") {
  Planner Plan;
  Plan.upsertWorker(worker(1, 4000));
  for (TaskNumber I = 1; I <= 3; ++I) {
    auto Task = batch(I, I == 1 ? 6000 : 1000);
    Task.Gang_ = 5;
    Task.GangSize_ = 3;
    Plan.addPending(Task);
  }
  for (int Round = 0; Round < 3; ++Round)
    CHECK(Plan.plan(Start, 1).size() == 1);
  CHECK(Plan.pendingCount() == 0);
}

// Guards against a replaced instance making its work infeasible meanwhile.
TEST_CASE("work that fits only a worker that just left is not rejected") {
  Planner Plan;
  Plan.upsertWorker(worker(1, 4000));
  Plan.upsertWorker(worker(2, 8000));
  Plan.plan(Start, Many);
  Plan.removeWorker(2);
  Plan.addPending(batch(1, 6000));
  CHECK(Plan.plan(Start + minutes(1), Many).empty());
  CHECK(
      only(Plan.plan(Start + minutes(16), Many), DecisionKind::Reject).size() ==
      1);
}

TEST_CASE("a domain that is out is emptied in steps and refilled in steps") {
  Planner Plan;
  for (WorkerNumber I = 0; I < 20; ++I)
    Plan.upsertWorker(worker(I, 8000, 0, I / 10));
  for (TaskNumber I = 1; I <= 80; ++I)
    Plan.allocate(
        {batch(I), static_cast<WorkerNumber>((I - 1) / 8), Start, Start});
  Plan.setDomainAvailable(0, false);
  std::size_t Evicted = 0;
  auto Now = Start;
  for (int Round = 0; Round < 5; ++Round, Now += milliseconds(100)) {
    auto Made = evictions(Plan, Now);
    CHECK(Made.size() <= 64);
    Evicted += Made.size();
    for (const Decision &Each : Made) {
      CHECK(Each.Reason_ == Reason::DomainOut);
      Plan.release(Each.Task_);
    }
  }
  CHECK(Evicted == 80);
  for (TaskNumber I = 101; I <= 260; ++I)
    Plan.addPending(batch(I));
  for (const Decision &Each : starts(Plan, Now))
    CHECK(Each.Worker_ >= 10);
  Plan.setDomainAvailable(0, true);
  Now += seconds(1);
  CHECK(starts(Plan, Now).size() <= 5);
  std::size_t Half = 0;
  for (int Round = 0; Round < 5; ++Round, Now += seconds(1))
    Half += starts(Plan, Now).size();
  CHECK(Half > 30);
  CHECK(Half < 50);
  for (int Round = 0; Round < 7; ++Round, Now += seconds(1))
    Plan.plan(Now, Many);
  CHECK(Plan.pendingCount() == 0);
}
