#include "jobs/TestCluster.h"

#include <memory>

namespace crocuslead::jobs::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// An election and a recovery in which every worker answers.
constexpr auto PromptTakeover = milliseconds(1500);
// The longest wait of one takeover, and a takeover.
constexpr auto OneWait = milliseconds(6'200) + PromptTakeover;
constexpr auto StopTimeout = CoordinatorTimings().StopTimeout_;
constexpr int64_t WholeWorker = 16'000;

JobSpec longRunning(JobSpec Spec) {
  for (StepSpec &Step : Spec.Steps_)
    Step.LongRunning_ = true;
  return Spec;
}

//! Workers, a store, and instances that are stopped as planned one after the
//! other.
struct RollingCluster : TestCluster {
  RollingCluster() {
    for (const char *Id : {"w1", "w2", "w3"})
      World_.addWorker(Id);
    next();
  }
  ~RollingCluster() {
    for (const std::string &Violation : World_.Oracle_.Violations_)
      FAIL_CHECK(Violation);
  }
  //! Stops the instance that is the coordinator as planned, if there is one,
  //! and starts another one.
  void next() {
    std::string Name = "i" + std::to_string(Instances_.size());
    if (!Instances_.empty())
      Instances_.back()->resign();
    Instances_.push_back(std::make_unique<TestInstance>(World_, Store_, Name));
  }
  //! Stops an instance that has just been elected, before it has restored the
  //! jobs.
  void interruptTakeover() {
    REQUIRE(within(PromptTakeover,
                   [&] { return Instances_.back()->Election_.isLeader(); }));
    REQUIRE(Instances_.back()->Host_.active() == nullptr);
    next();
  }
  void runFor(base::Duration Time) { run(*Instances_.back(), Time); }
  //! Runs until Condition holds; false if it does not within Time.
  template <typename Check> bool within(base::Duration Time, Check Condition) {
    for (base::TimePoint End = World_.now() + Time; World_.now() < End;) {
      if (Condition())
        return true;
      runFor(milliseconds(10));
    }
    return Condition();
  }
  std::string workerOf(const std::string &Task) {
    const std::set<std::string> &On = World_.Oracle_.RunningOn_[Task];
    return On.empty() ? "" : *On.begin();
  }
  int startsOfJob(const std::string &Job) const {
    int Out = 0;
    for (const auto &[Task, Count] : World_.Oracle_.Starts_)
      Out += Task.rfind(Job + ".", 0) == 0 ? Count : 0;
    return Out;
  }
  bool runsElsewhere(const std::string &Task, const std::string &Worker) {
    std::string Now = workerOf(Task);
    return !Now.empty() && Now != Worker;
  }
  //! The worker has left: it runs nothing, answers nothing and is not listed.
  void leave(const std::string &Id) {
    World_.crashWorker(Id);
    World_.worker(Id).Info_.Id_.clear();
    Instances_.back()->Fleet_.update();
  }
  void drain(const std::string &Id, base::Duration TimeLeft) {
    World_.worker(Id).Info_.Draining_ = true;
    World_.worker(Id).Info_.DrainTimeLeft_ = TimeLeft;
    Instances_.back()->Fleet_.update();
  }

  std::vector<std::unique_ptr<TestInstance>> Instances_;
};

} // namespace

TEST_CASE_FIXTURE(RollingCluster, "Long-running tasks on a worker that a new "
                                  "term finds draining are moved") {
  submit("a", longRunning(chainJob(1, 1)));
  runFor(seconds(2));
  std::string Draining = workerOf("a.0.0.0");
  REQUIRE_FALSE(Draining.empty());
  World_.worker(Draining).Info_.Draining_ = true;
  World_.worker(Draining).Info_.DrainTimeLeft_ = seconds(5);
  next();
  CHECK(within(PromptTakeover + StopTimeout,
               [&] { return runsElsewhere("a.0.0.0", Draining); }));
}

// Guards against work that is lost although its worker said when it leaves: the
// task was judged once, by its estimate.
TEST_CASE_FIXTURE(RollingCluster,
                  "A task that saves its progress and is slower "
                  "than estimated is moved before its worker "
                  "leaves") {
  JobSpec Spec = chainJob(1, 1);
  Spec.Steps_[0].Checkpoints_ = true;
  World_.RunDuration_ = seconds(60);
  submit("a", Spec);
  runFor(seconds(2));
  std::string Draining = workerOf("a.0.0.0");
  REQUIRE_FALSE(Draining.empty());
  drain(Draining, seconds(5));
  CHECK(within(seconds(5), [&] { return runsElsewhere("a.0.0.0", Draining); }));
}

TEST_CASE_FIXTURE(RollingCluster,
                  "A worker that left just before a planned takeover holds "
                  "back only the jobs that ran there") {
  submit("a", longRunning(chainJob(1, 1, WholeWorker)));
  runFor(seconds(2));
  std::string Left = workerOf("a.0.0.0");
  REQUIRE_FALSE(Left.empty());
  submit("b", chainJob(30, 3, 4'000));
  runFor(seconds(2));
  leave(Left);
  next();
  int Before = startsOfJob("b");
  CHECK(within(PromptTakeover, [&] { return startsOfJob("b") > Before; }));
  CHECK(within(OneWait, [&] { return runsElsewhere("a.0.0.0", Left); }));
}

// Guards against a handover that is void because the instances that were
// elected next were stopped as planned before they used it.
TEST_CASE_FIXTURE(RollingCluster, "Interrupted takeovers do not make the next "
                                  "one wait for leases that were handed over") {
  submit("a", longRunning(chainJob(1, 1, WholeWorker)));
  runFor(seconds(2));
  std::string Left = workerOf("a.0.0.0");
  REQUIRE_FALSE(Left.empty());
  submit("b", chainJob(30, 3, 4'000));
  runFor(seconds(2));
  leave(Left);
  next();
  interruptTakeover();
  interruptTakeover();
  int Before = startsOfJob("b");
  CHECK(within(PromptTakeover, [&] { return startsOfJob("b") > Before; }));
  CHECK(within(OneWait, [&] { return runsElsewhere("a.0.0.0", Left); }));
}

TEST_CASE_FIXTURE(RollingCluster,
                  "A leadership that is won after the resignation leaves the "
                  "handover of the term before valid") {
  submit("a", longRunning(chainJob(1, 1, WholeWorker)));
  runFor(seconds(2));
  std::string Left = workerOf("a.0.0.0");
  REQUIRE_FALSE(Left.empty());
  submit("b", chainJob(30, 3, 4'000));
  runFor(seconds(2));
  leave(Left);
  next();
  std::string LeaderKey = std::string(JobKeys::ElectionPrefix) + "holder";
  TestInstance &Second = *Instances_.back();
  // Its transaction takes effect before the answer arrives.
  auto Wins = [&] {
    const store::KeyValue *Leader = Store_.find(LeaderKey);
    return Leader != nullptr && Leader->Value_.find("i1") != std::string::npos;
  };
  while (!Wins()) {
    Store_.run();
    World_.run(milliseconds(10));
    Second.tick();
  }
  REQUIRE_FALSE(Second.Election_.isLeader());
  next();
  Store_.run();
  int Before = startsOfJob("b");
  CHECK(within(PromptTakeover, [&] { return startsOfJob("b") > Before; }));
}

TEST_CASE_FIXTURE(RollingCluster,
                  "A wait for a lease is not begun anew by each planned "
                  "takeover") {
  submit("a", longRunning(chainJob(1, 1, WholeWorker)));
  runFor(seconds(3));
  std::string Left = workerOf("a.0.0.0");
  REQUIRE_FALSE(Left.empty());
  leave(Left);
  base::TimePoint LostAt = World_.now();
  for (int I = 0; I < 8 && workerOf("a.0.0.0").empty(); ++I) {
    next();
    within(seconds(2), [&] { return runsElsewhere("a.0.0.0", Left); });
  }
  CHECK(runsElsewhere("a.0.0.0", Left));
  CHECK(World_.now() - LostAt < OneWait);
}

namespace {

//! A coordinator that resigns while the worker of a task is out of reach.
struct UnreachableWorker {
  UnreachableWorker() {
    for (const char *Id : {"w0", "w1", "w2", "w3"})
      World_.addWorker(Id);
    World_.startSuccessor();
    World_.run(milliseconds(200));
    World_.RunDuration_ = seconds(100);
    World_.submit("a", chainJob(1, 1));
    World_.run(seconds(2));
    Id_ = *World_.Oracle_.RunningOn_["a.0.0.0"].begin();
    FakeWorker &Worker = World_.worker(Id_);
    Worker.DropsRequests_ = Worker.DropsReplies_ = true;
  }
  ~UnreachableWorker() {
    for (const std::string &Violation : World_.Oracle_.Violations_)
      FAIL_CHECK(Violation);
  }

  JobWorld World_;
  std::string Id_;
};

} // namespace

// Guards against two runs of a task: the worker runs it until its lease ends.
TEST_CASE_FIXTURE(UnreachableWorker,
                  "A term after a resignation outwaits the leases that were "
                  "handed over") {
  World_.handOver(milliseconds(100));
  World_.run(seconds(7));
  CHECK(World_.startsOf("a.0.0.0") == 2);
}

TEST_CASE_FIXTURE(UnreachableWorker,
                  "A lease that ends in several planned takeovers is outwaited "
                  "once") {
  for (int I = 0; I < 5; ++I) {
    World_.handOver(milliseconds(100));
    World_.run(milliseconds(900));
  }
  World_.run(seconds(2));
  CHECK(World_.startsOf("a.0.0.0") == 2);
}

// Guards against two runs of a task: the next term waits for the recorded end.
TEST_CASE_FIXTURE(UnreachableWorker,
                  "A worker whose lease end is recorded is granted none before "
                  "the record says otherwise") {
  World_.startSuccessor();
  World_.run(milliseconds(2'100));
  World_.StoreDown_ = true;
  FakeWorker &Worker = World_.worker(Id_);
  Worker.DropsRequests_ = Worker.DropsReplies_ = false;
  for (int I = 0; I < 20 && World_.Coordinator_->stats().Runs_ == 0; ++I)
    World_.run(milliseconds(100));
  World_.run(milliseconds(200));
  REQUIRE(World_.Coordinator_->stats().Runs_ == 1);
  Worker.DropsRequests_ = Worker.DropsReplies_ = true;
  World_.StoreDown_ = false;
  World_.startSuccessor();
  World_.run(seconds(10));
  CHECK(World_.startsOf("a.0.0.0") == 2);
}

// Guards against two runs of a task: an earlier version of the program grants
// leases although a row has a rest.
TEST_CASE_FIXTURE(UnreachableWorker, "A recorded lease end is used by the next "
                                     "term only") {
  World_.startSuccessor();
  World_.run(seconds(3));
  std::string Record = World_.Stored_[Coordinator::UsedWorkersKey];
  FakeWorker &Worker = World_.worker(Id_);
  Worker.DropsRequests_ = Worker.DropsReplies_ = false;
  World_.run(seconds(2));
  REQUIRE(World_.Coordinator_->stats().Runs_ == 1);
  Worker.DropsRequests_ = Worker.DropsReplies_ = true;
  World_.Stored_[Coordinator::UsedWorkersKey] = Record;
  World_.passUnusedTerm(false);
  World_.startSuccessor();
  World_.run(seconds(10));
  CHECK(World_.startsOf("a.0.0.0") == 2);
}

// Guards against two runs of a task: the term between the two granted a lease.
TEST_CASE("A handover is used by the next term only") {
  JobWorld World;
  for (const char *Id : {"w0", "w1", "w2", "w3"})
    World.addWorker(Id);
  World.startSuccessor();
  World.run(milliseconds(200));
  World.handOver(milliseconds(100));
  World.run(seconds(1));
  World.RunDuration_ = seconds(100);
  World.submit("a", chainJob(1, 1));
  World.run(seconds(1));
  FakeWorker &Worker =
      World.worker(*World.Oracle_.RunningOn_["a.0.0.0"].begin());
  Worker.DropsRequests_ = Worker.DropsReplies_ = true;
  World.startSuccessor();
  World.run(seconds(3));
  CHECK(World.startsOf("a.0.0.0") == 1);
  World.run(seconds(6));
  CHECK(World.startsOf("a.0.0.0") == 2);
  for (const std::string &Violation : World.Oracle_.Violations_)
    FAIL_CHECK(Violation);
}

// Guards against lost room: the registry's entry gives the time that is left
// anew in each heartbeat, and the time since the flag is taken off once more.
TEST_CASE_FIXTURE(RollingCluster, "A task that ends before its draining "
                                  "worker does is not stopped") {
  World_.RunDuration_ = seconds(8);
  JobSpec Spec = chainJob(1, 1);
  Spec.Steps_[0].Checkpoints_ = true;
  Spec.Steps_[0].EstimatedDuration_ = seconds(8);
  submit("a", Spec);
  runFor(seconds(1));
  std::string Draining = workerOf("a.0.0.0");
  REQUIRE_FALSE(Draining.empty());
  for (int Left = 10; Left > 2; --Left) {
    drain(Draining, seconds(Left));
    runFor(seconds(1));
  }
  CHECK(startsOfJob("a") == 1);
}

namespace {

JobSpec onlyOn(const std::string &Label) {
  JobSpec Spec = chainJob(1, 1);
  Spec.Steps_[0].RequiredLabel_ = Label;
  return Spec;
}

} // namespace

// Guards against two runs of a task: the next term waits for the recorded end.
TEST_CASE_FIXTURE(UnreachableWorker,
                  "Nothing is started on a worker whose lease end was "
                  "recorded in this term before the record says otherwise") {
  World_.worker(Id_).Info_.Labels_ = {"l"};
  World_.startSuccessor();
  World_.submit("b", onlyOn("l"));
  World_.run(milliseconds(2'100));
  World_.StoreDown_ = true;
  World_.worker(Id_).DropsRequests_ = World_.worker(Id_).DropsReplies_ = false;
  World_.run(seconds(2));
  REQUIRE(World_.Coordinator_->stats().ReachableWorkers_ == 4);
  CHECK(World_.startsOf("b.0.0.0") == 0);
}

TEST_CASE_FIXTURE(UnreachableWorker,
                  "Nothing is started on a worker whose lease end was "
                  "recorded in an earlier term before the record says "
                  "otherwise") {
  World_.worker(Id_).Info_.Labels_ = {"l"};
  World_.startSuccessor();
  World_.submit("b", onlyOn("l"));
  World_.run(milliseconds(2'100));
  World_.startSuccessor();
  World_.run(milliseconds(10));
  World_.StoreDown_ = true;
  World_.worker(Id_).DropsRequests_ = World_.worker(Id_).DropsReplies_ = false;
  World_.run(seconds(2));
  REQUIRE(World_.Coordinator_->stats().ReachableWorkers_ == 4);
  CHECK(World_.startsOf("b.0.0.0") == 0);
}

} // namespace crocuslead::jobs::test
