#include "jobs/JobWorld.h"

#include <doctest/doctest.h>

namespace crocuslead::jobs::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string Task = "a.0.0.0";
// Just below the longest delay of a request that coordinators count on.
constexpr auto Lateness = milliseconds(12'900);

void requireNoViolations(const JobWorld &World) {
  for (const std::string &Violation : World.Oracle_.Violations_)
    FAIL_CHECK(Violation);
}

//! A worker that restarts while a poll is late that acknowledges three results
//! of the former incarnation.
class LateAcknowledgement {
public:
  explicit LateAcknowledgement(bool RaisesTokens) {
    World_.RaisesTokens_ = RaisesTokens;
    World_.addWorker("w0");
    World_.startSuccessor();
    World_.run(seconds(5));
    World_.LateRequestsReachNextIncarnation_ = true;
    World_.LatenessOf_ =
        [this](const RequestOrigin &From,
               const std::string &) -> std::optional<base::Duration> {
      if (SentAt_ || From.AcknowledgedSequence_ < 3)
        return std::nullopt;
      SentAt_ = World_.now();
      return Lateness;
    };
    World_.submit("b", chainJob(1, 3));
    for (int I = 0; I < 200 && !SentAt_; ++I)
      World_.run(milliseconds(10));
    REQUIRE(SentAt_);
    World_.restartWorkerAfter("w0", milliseconds(10));
    World_.run(milliseconds(10));
  }

  //! Runs a short task, of whose end nobody hears before the late poll.
  void endRunUnheard() {
    World_.worker("w0").DropsReplies_ = true;
    World_.RunDuration_ = milliseconds(100);
    World_.submit("a", chainJob(1, 1));
    World_.run(*SentAt_ + Lateness + milliseconds(50) - World_.now());
    World_.worker("w0").DropsReplies_ = false;
    World_.registerWorker("w0");
    World_.run(seconds(30));
    CHECK(World_.state("a") == JobState::Completed);
    CHECK(World_.startsOf(Task) == 1);
    requireNoViolations(World_);
  }

  JobWorld World_;

private:
  std::optional<base::TimePoint> SentAt_;
};

//! A start that is late until after a stop has concluded its run. The second
//! run goes to another worker, and the first worker restarts.
class StoppedLateStart {
public:
  StoppedLateStart() {
    World_.addWorker("w0");
    World_.addWorker("w1");
    World_.worker("w0").Info_.Labels_ = {"l"};
    World_.startSuccessor();
    World_.run(seconds(15));
    World_.LateRequestsReachNextIncarnation_ = true;
    World_.LatenessOf_ =
        [this](const RequestOrigin &From,
               const std::string &) -> std::optional<base::Duration> {
      if (SentAt_ || From.Kind_ != RequestKind::Start)
        return std::nullopt;
      SentAt_ = World_.now();
      return Lateness;
    };
    World_.RunDuration_ = seconds(20);
    JobSpec Spec = chainJob(1, 1);
    Spec.Steps_[0].RequiredLabel_ = "l";
    World_.submit("a", Spec);
    World_.run(milliseconds(100));
    REQUIRE(SentAt_);
    World_.worker("w0").Info_.Labels_.clear();
    World_.worker("w1").Info_.Labels_ = {"l"};
    World_.publishWorkers();
    World_.run(milliseconds(1'400));
    World_.restartWorkerAfter("w0", milliseconds(100));
    World_.run(milliseconds(110));
  }

  void requireOneRun() {
    World_.run(seconds(60));
    CHECK(World_.state("a") == JobState::Completed);
    requireNoViolations(World_);
  }

  JobWorld World_;

private:
  std::optional<base::TimePoint> SentAt_;
};

} // namespace

TEST_CASE("A late acknowledgement for the former incarnation does not discard "
          "the result of a run that the next one was known to take") {
  for (bool RaisesTokens : {true, false}) {
    CAPTURE(RaisesTokens);
    LateAcknowledgement Case(RaisesTokens);
    Case.World_.registerWorker("w0");
    Case.World_.run(milliseconds(500));
    Case.endRunUnheard();
  }
}

TEST_CASE("A late acknowledgement for the former incarnation does not discard "
          "the result of a run that the next one took unseen") {
  for (bool RaisesTokens : {true, false}) {
    CAPTURE(RaisesTokens);
    LateAcknowledgement Case(RaisesTokens);
    Case.endRunUnheard();
  }
}

TEST_CASE(
    "A worker that did not answer an acknowledgement takes starts as soon "
    "as it answers again") {
  JobWorld World;
  World.addWorker("w0");
  World.startSuccessor();
  World.run(seconds(5));
  bool IsLost = false;
  World.LatenessOf_ =
      [&](const RequestOrigin &From,
          const std::string &) -> std::optional<base::Duration> {
    if (IsLost || From.AcknowledgedSequence_ == 0)
      return std::nullopt;
    IsLost = true;
    return Lateness;
  };
  World.submit("b", chainJob(1, 3));
  for (int I = 0; I < 200 && !IsLost; ++I)
    World.run(milliseconds(10));
  REQUIRE(IsLost);
  World.submit("a", chainJob(1, 1));
  World.run(seconds(3));
  CHECK(World.state("a") == JobState::Completed);
  World.run(Lateness);
  CHECK(World.startsOf(Task) == 1);
  requireNoViolations(World);
}

TEST_CASE("A start that is late until its run was stopped makes no second run "
          "on an incarnation that is known by then") {
  StoppedLateStart Case;
  Case.World_.registerWorker("w0");
  Case.requireOneRun();
}

TEST_CASE("A start that is late until its run was stopped makes no second run "
          "on an incarnation that nobody has seen") {
  StoppedLateStart Case;
  Case.World_.run(Lateness);
  Case.World_.registerWorker("w0");
  Case.requireOneRun();
}

TEST_CASE("A start of a former term that is late makes no second run on an "
          "incarnation that is known by then") {
  StoppedLateStart Case;
  Case.World_.startSuccessor();
  Case.World_.registerWorker("w0");
  Case.requireOneRun();
}

} // namespace crocuslead::jobs::test
