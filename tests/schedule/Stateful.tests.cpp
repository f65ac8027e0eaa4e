#include "Oracle.h"

#include "base/Random.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <functional>
#include <iterator>

using namespace crocuslead;
using namespace crocuslead::schedule;
using namespace crocuslead::schedule::testing;

namespace {

struct Command {
  int Kind_ = 0;
  uint32_t A_ = 0;
  uint32_t B_ = 0;
};

std::ostream &operator<<(std::ostream &Out, const Command &C) {
  return Out << C.Kind_ << ":" << C.A_ << ":" << C.B_;
}

//! Faults that a run injects by withholding information from the planner or by
//! changing it, so that the planner violates a known rule.
enum class Fault : uint8_t {
  None,
  WrongCapacity,
  HiddenOutage,
  HiddenLeaving,
  HiddenFailures,
  SplitGangs,
  HiddenRestarts,
};

//! Applies the same commands to two planners and to the oracle.
class Harness {
public:
  Harness(Fault Injected, PlannerPolicy Policy)
      : Injected_(Injected), Plan_(Policy), Duplicate_(Policy) {
    for (WorkerNumber I = 0; I < 6; ++I) {
      WorkerInfo Info = worker(I, I == 5 ? 8000 : 4000, I / 2, I / 3);
      Info.Capacity_.Accelerators_ = I == 5 ? 2 : 0;
      setWorker(Info);
    }
    forBoth([](Planner &P) { P.setWorkspaces(shares({0.5, 0.3, 0.2}), {}); });
  }

  //! Executes a command and then plans. Returns the first violated rule, if
  //! any.
  std::optional<std::string> run(const Command &C) {
    switch (C.Kind_) {
    case 0:
    case 1:
    case 2:
      addTask(C);
      break;
    case 3:
      addGang(C);
      break;
    case 4:
      cancel(C);
      break;
    case 5:
    case 6:
      endTask(C);
      break;
    case 7:
      toggleDomain(C.A_ % 2);
      break;
    case 8:
      toggleWorker(C);
      break;
    case 9:
      reportStart(C);
      break;
    case 10:
      reportUsage(C);
      break;
    case 11:
      Now_ += std::chrono::minutes(C.A_ % 30);
      break;
    case 12:
      removeWorker(C);
      break;
    default:
      break;
    }
    Now_ += std::chrono::milliseconds(100 * (C.B_ % 20));
    return plan(C.A_ % 8 == 0 ? 3 : 50);
  }

private:
  void forBoth(const std::function<void(Planner &)> &Call) {
    Call(Plan_);
    Call(Duplicate_);
  }

  void setWorker(WorkerInfo Info) {
    Oracle_.setWorker(Info);
    if (Injected_ == Fault::WrongCapacity)
      Info.Capacity_ += Info.Capacity_;
    if (Injected_ == Fault::HiddenLeaving) {
      Info.Schedulable_ = true;
      Info.Leaving_ = false;
    }
    forBoth([&](Planner &P) { P.upsertWorker(Info); });
  }

  void addPending(PendingTask Task) {
    Oracle_.Pending_[Task.Task_] = Task;
    if (Injected_ == Fault::SplitGangs && Task.Gang_ != 0)
      Task.GangSize_ = 1;
    if (Injected_ == Fault::HiddenRestarts)
      Task.Restarts_ = 0;
    forBoth([&](Planner &P) { P.addPending(Task); });
  }

  PendingTask makeTask(const Command &C) {
    static constexpr int64_t Sizes[] = {500, 1000, 1500, 2500, 4000, 9000};
    PendingTask Task = batch(NextTask_++, Sizes[C.A_ % 6], 1 + C.B_ % 3);
    Task.Class_ =
        C.A_ / 6 % 3 == 0 ? TaskClass::LatencyCritical : TaskClass::Batch;
    Task.Urgent_ = C.A_ / 18 % 4 == 0;
    Task.Deferrable_ = C.A_ / 72 % 3 != 0;
    Task.Request_.Accelerators_ = C.A_ / 216 % 8 == 0 ? 1 : 0;
    Task.Restarts_ = C.B_ / 3 % 4 == 0 ? 1 : 0;
    Task.Kind_ = C.B_ % 5;
    Task.Job_ = 1 + C.B_ % 40;
    Task.Submitted_ = Now_;
    return Task;
  }

  void addTask(const Command &C) { addPending(makeTask(C)); }

  void addGang(const Command &C) {
    uint32_t Size = 2 + C.B_ % 3;
    JobNumber Gang = 1000 + NextTask_;
    for (uint32_t I = 0; I < Size; ++I) {
      PendingTask Task = makeTask(C);
      Task.Gang_ = Gang;
      Task.GangSize_ = Size;
      addPending(Task);
    }
  }

  template <class Map> static auto pick(Map &Entries, uint32_t Index) {
    return std::next(Entries.begin(),
                     static_cast<std::ptrdiff_t>(Index % Entries.size()));
  }

  void cancel(const Command &C) {
    if (Oracle_.Pending_.empty())
      return;
    TaskNumber Task = pick(Oracle_.Pending_, C.A_)->first;
    Oracle_.Pending_.erase(Task);
    forBoth([&](Planner &P) { P.removePending(Task); });
  }

  //! Ends a task, preferably an evicted one. An evicted task becomes pending
  //! again.
  void endTask(const Command &C) {
    if (Oracle_.Running_.empty())
      return;
    auto Selected = pick(Oracle_.Running_, C.A_);
    for (auto It = Oracle_.Running_.begin(); It != Oracle_.Running_.end(); ++It)
      if (It->second.Evicting_ && C.B_ % 4 != 0)
        Selected = It;
    Oracle::Running Ended = Selected->second;
    TaskNumber Task = Selected->first;
    Oracle_.release(Task);
    forBoth([&](Planner &P) { P.release(Task); });
    if (!Ended.Evicting_)
      return;
    ++Ended.Run_.Task_.Restarts_;
    addPending(Ended.Run_.Task_);
  }

  void toggleDomain(DomainNumber Domain) {
    bool WasUnavailable = Oracle_.UnavailableDomains_.erase(Domain) > 0;
    if (!WasUnavailable)
      Oracle_.UnavailableDomains_.insert(Domain);
    if (Injected_ != Fault::HiddenOutage)
      forBoth(
          [&](Planner &P) { P.setDomainAvailable(Domain, WasUnavailable); });
  }

  void toggleWorker(const Command &C) {
    WorkerInfo Info = pick(Oracle_.Workers_, C.A_)->second;
    Info.Leaving_ = Info.Schedulable_ && C.B_ % 2 == 0;
    Info.Schedulable_ = !Info.Schedulable_;
    setWorker(Info);
  }

  //! Removes a worker, or adds one again that is leaving or was removed.
  void removeWorker(const Command &C) {
    WorkerInfo Info = pick(Oracle_.Workers_, C.A_)->second;
    if (Info.Leaving_) {
      Info.Leaving_ = false;
      Info.Schedulable_ = true;
      setWorker(Info);
      return;
    }
    Oracle_.removeWorker(Info.Worker_);
    forBoth([&](Planner &P) { P.removeWorker(Info.Worker_); });
  }

  void reportStart(const Command &C) {
    if (Oracle_.Running_.empty())
      return;
    RunningTask Run = pick(Oracle_.Running_, C.A_)->second.Run_;
    bool Succeeded = C.B_ % 4 == 0;
    Oracle_.recordStart(Run.Worker_, Run.Task_.Job_, Succeeded, Now_);
    if (Injected_ != Fault::HiddenFailures)
      forBoth([&](Planner &P) {
        P.reportStart(Run.Worker_, Run.Task_.Job_, Succeeded, Now_);
      });
  }

  void reportUsage(const Command &C) {
    double Speed = 0.3 + C.B_ % 8 / 10.0;
    for (const auto &[Task, Run] : Oracle_.Running_)
      forBoth([&, Number = Task](Planner &P) {
        P.reportUsage({Number, Now_, {}, Speed});
      });
  }

  std::optional<std::string> plan(std::size_t Limit) {
    auto Decisions = Plan_.plan(Now_, Limit);
    auto DuplicateDecisions = Duplicate_.plan(Now_, Limit);
    if (!std::equal(Decisions.begin(), Decisions.end(),
                    DuplicateDecisions.begin(), DuplicateDecisions.end(),
                    [](const Decision &A, const Decision &B) {
                      return A.Kind_ == B.Kind_ && A.Task_ == B.Task_ &&
                             A.Worker_ == B.Worker_ && A.Reason_ == B.Reason_;
                    }))
      return "made different decisions for the same calls";
    if (auto Violation = Oracle_.apply(Decisions, Now_, Limit))
      return Violation;
    for (const auto &[Number, Info] : Oracle_.Workers_)
      if (Plan_.allocated(Number) != Oracle_.allocated(Number))
        return "allocated resources differ from those of the running tasks";
    if (Plan_.pendingCount() != Oracle_.Pending_.size())
      return "number of pending tasks differs";
    return std::nullopt;
  }

  Fault Injected_;
  Planner Plan_;
  Planner Duplicate_;
  Oracle Oracle_;
  base::TimePoint Now_ = Start;
  TaskNumber NextTask_ = 1;
};

Command commandFrom(uint64_t Bits) {
  return {static_cast<int>(Bits % 14),
          static_cast<uint32_t>(Bits >> 8 & 0xFFFF),
          static_cast<uint32_t>(Bits >> 32 & 0xFFFF)};
}

//! Executes seeded runs until the oracle finds a violated rule, and returns it.
std::optional<std::string> firstViolation(Fault Injected) {
  base::Random Source(20261204);
  for (int Run = 0; Run < 60; ++Run) {
    Harness H(Injected, {});
    for (int I = 0; I < 300; ++I)
      if (auto Violation = H.run(commandFrom(Source.next())))
        return Violation;
  }
  return std::nullopt;
}

} // namespace

// Guards against violations of P1, P2 and P4 and of the rules on gangs,
// quarantine and protection, for any order of calls and every policy.
TEST_CASE("decisions satisfy the rules of the oracle for any order of calls") {
  bool Passed = rc::check([] {
    PlannerPolicy Policy;
    Policy.DominantResourceFairness_ = *rc::gen::arbitrary<bool>();
    Policy.IgnoreInterference_ = *rc::gen::arbitrary<bool>();
    Harness H(Fault::None, Policy);
    auto Commands = *rc::gen::scale(
        4, rc::gen::container<std::vector<Command>>(rc::gen::map(
               rc::gen::resize(1000, rc::gen::arbitrary<uint64_t>()),
               commandFrom)));
    for (const Command &C : Commands) {
      auto Violation = H.run(C);
      RC_ASSERT(Violation.value_or("") == "");
    }
  });
  CHECK(Passed);
}

// Guards against evicting more than the pending tasks need, in one plan or
// while earlier evictions are not released yet.
TEST_CASE("evictions are bounded by the requests of the pending tasks") {
  bool Passed = rc::check([] {
    Planner Plan;
    auto Workers = *rc::gen::inRange<WorkerNumber>(1, 8);
    TaskNumber Next = 1;
    std::map<TaskNumber, int64_t> Sizes;
    for (WorkerNumber I = 0; I < Workers; ++I) {
      Plan.upsertWorker(worker(I, 8000));
      for (int64_t Left = 8000; Left > 0; ++Next) {
        auto Size = std::min<int64_t>(Left, 500 * *rc::gen::inRange(1, 5));
        Plan.allocate({batch(Next, Size), I, Start, Start});
        Sizes[Next] = Size;
        Left -= Size;
      }
    }
    int64_t Wanted = 0;
    auto Urgents = *rc::gen::inRange<int64_t>(1, 10);
    for (int64_t I = 0; I < Urgents; ++I) {
      int64_t Size = 500 * *rc::gen::inRange(1, 9);
      Plan.addPending(urgent(Next++, Size));
      Wanted += Size;
    }
    int64_t Evicted = 0;
    for (int Round = 0; Round < 5; ++Round)
      for (const Decision &D :
           Plan.plan(Start + std::chrono::seconds(Round), 1000)) {
        RC_ASSERT(D.Kind_ == DecisionKind::Evict);
        RC_ASSERT(Round == 0);
        Evicted += Sizes.at(D.Task_);
      }
    RC_ASSERT(Evicted < Wanted + 2000 * Urgents);
  });
  CHECK(Passed);
}

TEST_CASE("long seeded runs satisfy the rules of the oracle") {
  CHECK(firstViolation(Fault::None).value_or("") == "");
}

// Guards against an oracle that accepts anything.
TEST_CASE("the oracle names the rule that each injected fault violates") {
  CHECK(firstViolation(Fault::WrongCapacity) ==
        "allocated more than the capacity of a worker");
  CHECK(firstViolation(Fault::HiddenOutage) ==
        "started in an unavailable domain");
  CHECK(firstViolation(Fault::HiddenLeaving) ==
        "started on an unschedulable worker");
  CHECK(firstViolation(Fault::HiddenFailures) ==
        "started on a quarantined worker");
  CHECK(firstViolation(Fault::SplitGangs) == "started part of a gang");
  CHECK(firstViolation(Fault::HiddenRestarts) == "evicted a protected task");
}
