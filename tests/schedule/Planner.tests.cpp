#include "Fixtures.h"

#include <doctest/doctest.h>

#include <map>
#include <set>

using namespace crocuslead::schedule;
using namespace crocuslead::schedule::testing;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

// Guards against fragmentation of large workers by small tasks.
TEST_CASE("a task is placed on the worker with the least remaining capacity") {
  Planner Plan;
  Plan.upsertWorker(worker(1, 32000));
  Plan.upsertWorker(worker(2, 8000));
  Plan.allocate({batch(50, 5000), 2, Start, Start});
  Plan.addPending(batch(1, 2000));
  auto Decisions = starts(Plan, Start);
  REQUIRE(Decisions.size() == 1);
  CHECK(Decisions[0].Worker_ == 2);
  CHECK(Plan.allocated(2).MilliCpu_ == 7000);
}

// Guards against the bounded search of a border bucket missing the only worker
// that fits.
TEST_CASE("the only worker that fits is found among many that nearly fit") {
  Planner Plan;
  for (WorkerNumber I = 1; I <= 200; ++I)
    Plan.upsertWorker(worker(I, I == 200 ? 7000 : 6200));
  Plan.addPending(batch(1, 6500));
  auto Decisions = starts(Plan, Start);
  REQUIRE(Decisions.size() == 1);
  CHECK(Decisions[0].Worker_ == 200);
}

TEST_CASE("a large batch task starts although smaller ones take each gap") {
  Planner Plan;
  constexpr TaskNumber WorkerCount = 4;
  constexpr TaskNumber RunsPerWorker = 4;
  for (WorkerNumber I = 1; I <= WorkerCount; ++I)
    Plan.upsertWorker(worker(I, 8000));
  std::map<TaskNumber, WorkerNumber> Running;
  for (TaskNumber I = 0; I < WorkerCount * RunsPerWorker; ++I) {
    Running[I + 1] = static_cast<WorkerNumber>(I % WorkerCount + 1);
    Plan.allocate({batch(I + 1, 2000), Running[I + 1], Start, Start});
  }
  constexpr TaskNumber Large = 50;
  Plan.addPending(batch(Large, 6000));
  bool LargeStarted = false;
  TaskNumber Next = 100;
  // One task ends each second, and another one is waiting already.
  for (int Second = 1; Second <= 120 && !LargeStarted; ++Second) {
    PendingTask Small = batch(Next++, 2000);
    Small.Submitted_ = Start + seconds(Second);
    Plan.addPending(Small);
    Plan.release(Running.begin()->first);
    Running.erase(Running.begin());
    for (const Decision &D : starts(Plan, Start + seconds(Second))) {
      Running[D.Task_] = D.Worker_;
      LargeStarted = LargeStarted || D.Task_ == Large;
    }
  }
  CHECK(LargeStarted);
}

TEST_CASE("replicas of a service are spread over racks") {
  Planner Plan;
  for (WorkerNumber I = 0; I < 12; ++I)
    Plan.upsertWorker(worker(I, 8000, I / 4));
  for (TaskNumber I = 1; I <= 6; ++I)
    Plan.addPending(service(I, 9));
  std::map<RackNumber, int> Racks;
  for (const Decision &D : starts(Plan, Start))
    ++Racks[D.Worker_ / 4];
  CHECK(Racks == std::map<RackNumber, int>{{0, 2}, {1, 2}, {2, 2}});
}

// Guards against an urgent task waiting behind pending batch tasks, and against
// further evictions while the first one is in progress.
TEST_CASE(
    "an urgent task evicts one batch task, once, and takes its capacity") {
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
  CHECK(Plan.plan(Now + milliseconds(100), NoLimit).empty());
  CHECK(Plan.allocated(1).MilliCpu_ == 4000);
  Plan.release(First[0].Task_);
  auto Decisions = starts(Plan, Now + milliseconds(200));
  REQUIRE(Decisions.size() == 1);
  CHECK(Decisions[0].Task_ == 10);
}

// Guards against two workspaces evicting each other in turn.
TEST_CASE("a workspace reclaims lent capacity up to its share and no further") {
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
    for (const Decision &D : evictions(Plan, Now)) {
      CHECK(D.Reason_ == Reason::ReclaimedShare);
      CHECK(D.Task_ <= 32);
      CHECK(Evicted.insert(D.Task_).second);
    }
  CHECK(Evicted.size() == 8);
  for (TaskNumber Task : Evicted)
    Plan.release(Task);
  auto Decisions = Plan.plan(Now, NoLimit);
  CHECK(Decisions.size() == 8);
  for (const Decision &D : Decisions)
    CHECK(D.Task_ > 100);
  CHECK(Plan.plan(Now + minutes(20), NoLimit).empty());
  CHECK(Plan.pendingReason(1 + 31) == Reason::NoCapacity);
}

// Guards against priority granting capacity that its owner then reclaims by
// evictions: a workspace below its share is served before any above its share.
TEST_CASE("priority does not outrank a workspace below its share") {
  Planner Plan;
  Plan.upsertWorker(worker(1, 10000));
  auto Shares = shares({0.5, 0.5});
  Shares[0].Priority_ = 10;
  Plan.setWorkspaces(Shares, {10000, 40000, 0});
  for (TaskNumber I = 1; I <= 20; ++I)
    Plan.addPending(batch(I, 1000, I <= 10 ? 1 : 2));
  std::map<bool, int> Started;
  for (const Decision &D : starts(Plan, Start))
    ++Started[D.Task_ <= 10];
  CHECK(Started == std::map<bool, int>{{false, 5}, {true, 5}});
  CHECK(evictions(Plan, Start + minutes(1)).empty());
}

// Guards against evictions for capacity that would be freed without them.
TEST_CASE(
    "a batch task waits ten seconds for its share before it causes evictions") {
  Planner Plan;
  Plan.upsertWorker(worker(1, 2000));
  Plan.setWorkspaces(shares({0, 1}), {2000, 8000, 0});
  Plan.allocate({batch(1), 1, Start, Start});
  Plan.allocate({batch(2), 1, Start, Start});
  Plan.addPending(batch(10, 1000, 2));
  CHECK(evictions(Plan, Start + seconds(9)).empty());
  CHECK(evictions(Plan, Start + seconds(10)).size() == 1);
}

TEST_CASE("the cheapest task is evicted, but never a protected one") {
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
  auto Decisions = evictions(Plan, Now);
  REQUIRE(Decisions.size() == 1);
  CHECK(Decisions[0].Task_ == 3);
  Plan.addPending(batch(11, 1000, 2));
  Plan.addPending(batch(12, 1000, 2));
  Decisions = evictions(Plan, Now + minutes(2));
  REQUIRE(Decisions.size() == 1);
  CHECK(Decisions[0].Task_ == 2);
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

TEST_CASE(
    "at the end of a month a batch task close to completion is not evicted") {
  Planner Plan;
  Plan.upsertWorker(worker(1, 2000));
  auto Now = Start + minutes(60);
  Plan.setMonthEnd(Now + minutes(60));
  auto NearEnd = batch(1);
  NearEnd.ExpectedRun_ = minutes(61);
  Plan.allocate({NearEnd, 1, Start, Now - seconds(10)});
  Plan.allocate({batch(2), 1, Start, Now - seconds(60)});
  Plan.addPending(urgent(10));
  auto Decisions = evictions(Plan, Now);
  REQUIRE(Decisions.size() == 1);
  CHECK(Decisions[0].Task_ == 2);
}

TEST_CASE(
    "a gang starts as a whole and holds no resources while it is pending") {
  Planner Plan;
  Plan.upsertWorker(worker(1, 4000));
  Plan.upsertWorker(worker(2, 4000));
  Plan.allocate({service(50, 50, 2000), 1, Start, Start});
  for (TaskNumber I = 1; I <= 4; ++I) {
    auto Task = batch(I, 2000);
    Task.Gang_ = 5;
    Task.GangSize_ = 4;
    if (I == 4) {
      CHECK(Plan.plan(Start, NoLimit).empty());
      CHECK(Plan.pendingReason(1) == Reason::GangIncomplete);
    }
    Plan.addPending(Task);
  }
  CHECK(Plan.plan(Start, NoLimit).empty());
  CHECK(Plan.allocated(2).MilliCpu_ == 0);
  Plan.release(50);
  CHECK(starts(Plan, Start + seconds(5)).size() == 4);
}

TEST_CASE("a gang reclaims its share for all members and starts as a whole") {
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
  auto Decisions = evictions(Plan, Now);
  CHECK(Decisions.size() == 6);
  for (std::size_t I = 0; I < Decisions.size(); ++I) {
    CHECK(Plan.plan(Now += seconds(1), NoLimit).empty());
    Plan.release(Decisions[I].Task_);
  }
  CHECK(starts(Plan, Now + seconds(1)).size() == 2);
}

TEST_CASE("an infeasible task is rejected with the nearest feasible request") {
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
  auto Decisions = Plan.plan(Start, NoLimit);
  REQUIRE(Decisions.size() == 4);
  for (const Decision &D : Decisions) {
    CHECK(D.Kind_ == DecisionKind::Reject);
    CHECK(D.Reason_ == Reason::NeverFits);
    CHECK(D.NearestFit_.MilliCpu_ == (D.Task_ == 1 ? 4000 : 2000));
  }
  CHECK(Plan.pendingCount() == 0);
}

// Guards against a rejection that was decided before a larger worker was added.
TEST_CASE("a pending rejection is dropped when a worker that fits the task is "
          "added") {
  Planner Plan;
  Plan.upsertWorker(worker(1, 4000));
  Plan.addPending(batch(1, 6000));
  CHECK(Plan.plan(Start, 0).empty());
  Plan.upsertWorker(worker(2, 8000));
  auto Decisions = Plan.plan(Start, NoLimit);
  REQUIRE(Decisions.size() == 1);
  CHECK(Decisions[0].Kind_ == DecisionKind::Start);
}

// Guards against members that stay pending forever after one of them was
// rejected.
TEST_CASE("an infeasible gang is rejected as a whole over several plans") {
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

// Guards against tasks becoming infeasible while their instance is being
// replaced.
TEST_CASE("a task that fits only a recently removed worker is not rejected") {
  Planner Plan;
  Plan.upsertWorker(worker(1, 4000));
  Plan.upsertWorker(worker(2, 8000));
  Plan.plan(Start, NoLimit);
  Plan.removeWorker(2);
  Plan.addPending(batch(1, 6000));
  CHECK(Plan.plan(Start + minutes(1), NoLimit).empty());
  CHECK(filterByKind(Plan.plan(Start + minutes(16), NoLimit),
                     DecisionKind::Reject)
            .size() == 1);
}

TEST_CASE("an unavailable domain is drained in steps and refilled in steps") {
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
    auto Decisions = evictions(Plan, Now);
    CHECK(Decisions.size() <= 64);
    Evicted += Decisions.size();
    for (const Decision &D : Decisions) {
      CHECK(D.Reason_ == Reason::DomainOut);
      Plan.release(D.Task_);
    }
  }
  CHECK(Evicted == 80);
  for (TaskNumber I = 101; I <= 260; ++I)
    Plan.addPending(batch(I));
  for (const Decision &D : starts(Plan, Now))
    CHECK(D.Worker_ >= 10);
  Plan.setDomainAvailable(0, true);
  Now += seconds(1);
  CHECK(starts(Plan, Now).size() <= 5);
  std::size_t Started = 0;
  for (int Round = 0; Round < 5; ++Round, Now += seconds(1))
    Started += starts(Plan, Now).size();
  CHECK(Started > 30);
  CHECK(Started < 50);
  for (int Round = 0; Round < 7; ++Round, Now += seconds(1))
    Plan.plan(Now, NoLimit);
  CHECK(Plan.pendingCount() == 0);
}
