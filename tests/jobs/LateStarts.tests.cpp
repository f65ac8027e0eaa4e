#include "jobs/JobWorld.h"

#include <doctest/doctest.h>

namespace crocuslead::jobs::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string Task = "a.0.0.0";
// The longest delay of a request that a worker carries out late.
constexpr auto MaxLateness = seconds(12);

void requireNoViolations(const JobWorld &World) {
  for (const std::string &Violation : World.Oracle_.Violations_)
    FAIL_CHECK(Violation);
}

//! The first starts of a task get no answer and are executed late, by whichever
//! incarnation of their worker is up then.
class LateStart {
public:
  explicit LateStart(base::Duration Lateness, int Copies = 1) {
    World_.addWorker("w0");
    World_.addWorker("w1");
    World_.startSuccessor();
    World_.run(seconds(15));
    World_.LateRequestsReachNextIncarnation_ = true;
    World_.LatenessOf_ =
        [this, Lateness,
         Copies](const RequestOrigin &From,
                 const std::string &Worker) -> std::optional<base::Duration> {
      if (From.Kind_ != RequestKind::Start || Late_ >= Copies)
        return std::nullopt;
      ++Late_;
      Worker_ = Worker;
      return Lateness;
    };
  }

  //! Returns once the first start has been sent.
  void submit(base::Duration RunTime, bool LongRunning = false) {
    World_.RunDuration_ = RunTime;
    JobSpec Spec = chainJob(1, 1);
    Spec.Steps_[0].LongRunning_ = LongRunning;
    World_.submit("a", Spec);
    for (int I = 0; I < 100 && Worker_.empty(); ++I)
      World_.run(milliseconds(10));
    REQUIRE_FALSE(Worker_.empty());
  }

  void restart(base::Duration Downtime) {
    World_.restartWorkerAfter(Worker_, Downtime);
    World_.run(Downtime + milliseconds(10));
    World_.registerWorker(Worker_);
  }

  void setReachable(bool Reachable) {
    FakeWorker &Worker = World_.worker(Worker_);
    Worker.DropsRequests_ = Worker.DropsReplies_ = !Reachable;
  }

  void requireOneCompletion() {
    World_.run(seconds(60));
    CHECK(World_.state("a") == JobState::Completed);
    for (const auto &[Id, Worker] : World_.Workers_)
      CHECK_MESSAGE(Worker.Ended_.empty(), Id);
    requireNoViolations(World_);
  }

  JobWorld World_;
  //! Of the last start that was late.
  std::string Worker_;
  int Late_ = 0;
};

} // namespace

// Guards against a start that counts as gone after 3 s, and is executed by the
// next incarnation once its task is done.
TEST_CASE("A late start runs no task again at the next incarnation of its "
          "worker") {
  for (auto Lateness :
       {milliseconds(2'000), milliseconds(4'500), milliseconds(7'000),
        milliseconds(8'000), milliseconds(9'000), milliseconds(10'500),
        milliseconds(11'000), milliseconds(12'000)})
    for (auto RestartAfter :
         {milliseconds(100), milliseconds(1'000), milliseconds(2'000),
          milliseconds(4'000), milliseconds(5'500), milliseconds(9'500)})
      for (auto Downtime :
           {milliseconds(10), milliseconds(400), milliseconds(2'000)}) {
        CAPTURE(Lateness.count());
        CAPTURE(RestartAfter.count());
        CAPTURE(Downtime.count());
        LateStart Case(Lateness);
        Case.submit(seconds(2));
        Case.World_.run(RestartAfter);
        Case.restart(Downtime);
        Case.requireOneCompletion();
      }
}

TEST_CASE("A late start makes no second run beside one that outlasts it") {
  for (auto RestartAfter : {seconds(1), seconds(4), seconds(8)}) {
    CAPTURE(RestartAfter.count());
    LateStart Case(milliseconds(10'500));
    Case.submit(seconds(20));
    Case.World_.run(RestartAfter);
    Case.restart(milliseconds(300));
    Case.requireOneCompletion();
  }
}

TEST_CASE("A late start runs no task again at the second incarnation after "
          "it was sent") {
  LateStart Case(milliseconds(11'500));
  SUBCASE("that ends sooner") { Case.submit(seconds(2)); }
  SUBCASE("that outlasts it") { Case.submit(seconds(20)); }
  Case.World_.run(seconds(4));
  Case.restart(milliseconds(500));
  Case.World_.run(seconds(4));
  Case.restart(milliseconds(500));
  Case.requireOneCompletion();
}

TEST_CASE("A late start runs no task again at an incarnation that nobody has "
          "seen") {
  LateStart Case(milliseconds(10'500));
  SUBCASE("that ends sooner") { Case.submit(seconds(2)); }
  SUBCASE("that outlasts it") { Case.submit(seconds(20)); }
  Case.World_.run(seconds(4));
  Case.World_.restartWorkerAfter(Case.Worker_, milliseconds(300));
  Case.World_.run(milliseconds(310));
  Case.World_.worker(Case.Worker_).DropsReplies_ = true;
  Case.World_.run(seconds(9));
  Case.World_.worker(Case.Worker_).DropsReplies_ = false;
  Case.World_.registerWorker(Case.Worker_);
  Case.requireOneCompletion();
}

TEST_CASE("Two late starts of one task run it once") {
  for (int Copies : {2, 3, 6}) {
    CAPTURE(Copies);
    LateStart Case(milliseconds(10'500), Copies);
    Case.submit(seconds(2));
    Case.World_.run(seconds(5));
    Case.restart(milliseconds(300));
    Case.requireOneCompletion();
  }
}

TEST_CASE("A task that failed beside a late start of it does not run twice") {
  LateStart Case(milliseconds(10'500));
  int Runs = 0;
  Case.World_.RunPlan_ = [&](const TaskId &) {
    return std::make_pair(base::Duration(seconds(2)), ++Runs == 1);
  };
  Case.submit(seconds(2));
  Case.World_.run(seconds(5));
  Case.restart(milliseconds(300));
  Case.requireOneCompletion();
}

TEST_CASE("A late start makes no second run of a task that can't start at its "
          "worker any more") {
  LateStart Case(milliseconds(10'500));
  Case.submit(seconds(2));
  SUBCASE("as its failure domain is unavailable") {
    Case.World_.worker(Case.Worker_).Info_.Domain_ = "d2";
    Case.World_.publishWorkers();
    Case.World_.Coordinator_->setUnavailableDomains({"d2"});
  }
  SUBCASE("as it drains") {
    Case.World_.worker(Case.Worker_).Info_.Draining_ = true;
    Case.World_.worker(Case.Worker_).Info_.DrainTimeLeft_ = seconds(60);
    Case.World_.publishWorkers();
  }
  Case.World_.run(seconds(4));
  Case.restart(milliseconds(300));
  Case.requireOneCompletion();
}

// The start is sent again as soon as the worker shows that it lacks the run.
TEST_CASE("A task with a late start runs within two seconds at a worker that "
          "answers") {
  LateStart Case(MaxLateness);
  SUBCASE("if it is finite") { Case.submit(seconds(20)); }
  SUBCASE("if it is long-running") { Case.submit(seconds(20), true); }
  Case.World_.run(seconds(2));
  CHECK(Case.World_.Oracle_.RunningOn_[Task].size() == 1);
  Case.World_.run(seconds(60));
  CHECK(Case.World_.Oracle_.Starts_[Task] == 1);
  requireNoViolations(Case.World_);
}

TEST_CASE("A task runs elsewhere once no late start of it can be alive on a "
          "worker that is lost for good") {
  LateStart Case(MaxLateness);
  Case.submit(seconds(2));
  Case.World_.run(milliseconds(1'500));
  Case.World_.crashWorker(Case.Worker_);
  Case.World_.removeFromRegistry(Case.Worker_);
  // The delay of a request and the longest lease on a slow clock.
  Case.World_.run(seconds(13) + milliseconds(10'300) + seconds(1));
  CHECK(Case.World_.startsOf(Task) == 2);
}

TEST_CASE("A late start runs no task again after a takeover") {
  for (bool Planned : {false, true})
    for (bool LongRunning : {false, true})
      for (auto RunTime : {seconds(2), seconds(20)}) {
        CAPTURE(Planned);
        CAPTURE(LongRunning);
        CAPTURE(RunTime.count());
        LateStart Case(milliseconds(11'000));
        Case.submit(RunTime, LongRunning);
        Case.World_.run(seconds(4));
        if (Planned) {
          Case.World_.handOver(milliseconds(300));
        } else {
          Case.World_.crashCoordinator();
          Case.World_.run(seconds(2));
          Case.World_.startSuccessor();
        }
        Case.World_.run(seconds(2));
        Case.restart(milliseconds(300));
        Case.World_.run(seconds(60));
        requireNoViolations(Case.World_);
      }
}

TEST_CASE("A late start that is on its way during a handover makes no second "
          "run") {
  LateStart Case(milliseconds(10'500));
  SUBCASE("of a task that ends sooner") { Case.submit(seconds(2)); }
  SUBCASE("of a task that outlasts it") { Case.submit(seconds(20)); }
  Case.World_.handOver(milliseconds(300));
  Case.World_.run(seconds(5));
  Case.restart(milliseconds(300));
  Case.requireOneCompletion();
}

// SilentRequestDelay_ ends the wait for a worker that has answered nothing.
TEST_CASE("A late start makes no second run at a worker that has been out of "
          "reach since it was sent" *
          doctest::should_fail()) {
  LateStart Case(MaxLateness);
  Case.submit(seconds(20));
  Case.World_.restartWorkerAfter(Case.Worker_, milliseconds(300));
  Case.World_.worker(Case.Worker_).DropsReplies_ = true;
  Case.World_.run(seconds(25));
  Case.World_.worker(Case.Worker_).DropsReplies_ = false;
  Case.World_.registerWorker(Case.Worker_);
  Case.requireOneCompletion();
}

} // namespace crocuslead::jobs::test
