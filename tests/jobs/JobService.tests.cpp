#include "jobs/JobService.h"

#include "app/FakeStore.h"
#include "jobs/JobKeys.h"
#include "jobs/JobWorld.h"

#include <asio/io_context.hpp>
#include <doctest/doctest.h>

namespace crocuslead::jobs::test {

namespace {

using WriteOutcome = JobService::WriteOutcome;
using LookupStatus = JobService::LookupStatus;
using std::chrono::milliseconds;
using std::chrono::seconds;

//! A fleet whose configuration and workers are never loaded.
class NoFleet final : public FleetSource {
public:
  void setHooks(Hooks /*OnChange*/) override {}
  void tick() override {}
  void reload() override {}
  bool configLoaded() const override { return false; }
  const FleetConfig &config() const override { return Config_; }
  const std::set<std::string> &unavailableDomains() const override {
    return Out_;
  }
  void watchWorkers(bool /*Enabled*/) override {}
  bool workersLoaded() const override { return false; }
  const std::map<std::string, WorkerInfo> &workers() const override {
    return Workers_;
  }

private:
  FleetConfig Config_;
  std::set<std::string> Out_;
  std::map<std::string, WorkerInfo> Workers_;
};

//! An instance that is not the elected coordinator.
struct NonLeaderInstance {
  asio::io_context Loop_;
  std::unique_ptr<http::Client> Client_ = http::makeClient(Loop_, 0);
  JobWorld World_;
  tests::FakeStore Store_;
  NoFleet Fleet_;
  CoordinatorHost Host_{Store_,        World_,          Fleet_,
                        World_.Clock_, World_.Metrics_, CoordinatorTimings()};
  Election Election_{Store_,
                     World_.Clock_,
                     World_.Random_,
                     {"a", "a-1", "a:1", std::string(JobKeys::ElectionPrefix)},
                     {[](uint64_t) {}, [](const char *) {}}};
  PayloadCache Payloads_{1U << 20U};
  JobService Service_{Store_,          *Client_,  World_.Clock_,
                      World_.Metrics_, Election_, Host_,
                      Payloads_,       "a:1",     RecordFormat::PayloadsApart};

  void run(base::Duration Time) {
    for (base::TimePoint End = World_.now() + Time; World_.now() < End;) {
      Store_.run();
      Service_.tick();
      World_.Clock_.advance(milliseconds(10));
    }
  }
  std::optional<WriteOutcome> submit(const std::string &Id,
                                     base::Duration Time) {
    std::optional<WriteOutcome> Out;
    Service_.submit(Id, "visits", chainJob(1, 1), World_.now() + seconds(3),
                    [&Out](WriteOutcome Outcome) { Out = Outcome; });
    run(Time);
    return Out;
  }
  std::pair<LookupStatus, JobState> state(const std::string &Id) {
    std::pair<LookupStatus, JobState> Out{LookupStatus::Unavailable,
                                          JobState::Queued};
    Service_.state(Id, World_.now() + seconds(3),
                   [&Out](LookupStatus Result, JobState State) {
                     Out = {Result, State};
                   });
    run(milliseconds(100));
    return Out;
  }
};

} // namespace

TEST_CASE_FIXTURE(NonLeaderInstance,
                  "A job that is submitted repeatedly is stored once") {
  CHECK(submit("j", milliseconds(50)) == WriteOutcome::Committed);
  int64_t Revision = Store_.find(JobKeys::spec("j"))->ModRevision_;
  CHECK(submit("j", milliseconds(50)) == WriteOutcome::Committed);
  CHECK(Store_.find(JobKeys::spec("j"))->ModRevision_ == Revision);
}

TEST_CASE_FIXTURE(
    NonLeaderInstance,
    "A job is accepted although the reply to its write was lost") {
  Store_.LoseAnswers_ = 1;
  CHECK(submit("j", milliseconds(200)) == WriteOutcome::Committed);
}

// Guards against reporting NotWritten for a job that is stored and runs later.
TEST_CASE_FIXTURE(
    NonLeaderInstance,
    "A write that may be executed late is not reported as failed") {
  Store_.DelayRequests_ = 1000;
  CHECK_FALSE(submit("j", seconds(2)));
  CHECK(submit("k", milliseconds(3100)) == WriteOutcome::Unknown);
}

// Guards against delaying a failure report until the caller's deadline.
TEST_CASE_FIXTURE(
    NonLeaderInstance,
    "A write that the store rejects is abandoned before the deadline") {
  Store_.Down_ = true;
  CHECK(submit("j", milliseconds(1300)) == WriteOutcome::NotWritten);
  Store_.Down_ = false;
  run(seconds(2));
  CHECK(Store_.find(JobKeys::spec("j")) == nullptr);
}

TEST_CASE_FIXTURE(
    NonLeaderInstance,
    "States are read from the store when there is no coordinator") {
  CHECK(state("j").first == LookupStatus::NoSuchJob);
  submit("j", milliseconds(50));
  CHECK(state("j") == std::pair(LookupStatus::Found, JobState::Queued));
  JobProgress Progress;
  Progress.State_ = JobState::Running;
  Store_.put(JobKeys::progress("j"), encode(Progress));
  CHECK(state("j") == std::pair(LookupStatus::Found, JobState::Running));
  std::optional<WriteOutcome> Cancelled;
  Service_.cancel("j", World_.now() + seconds(3),
                  [&](WriteOutcome Outcome) { Cancelled = Outcome; });
  run(milliseconds(50));
  CHECK(Cancelled == WriteOutcome::Committed);
  CHECK(state("j") == std::pair(LookupStatus::Found, JobState::Cancelled));
  Progress.State_ = JobState::Completed;
  Store_.put(JobKeys::progress("j"), encode(Progress));
  CHECK(state("j") == std::pair(LookupStatus::Found, JobState::Completed));
  Store_.Down_ = true;
  CHECK(state("j").first == LookupStatus::Unavailable);
}

} // namespace crocuslead::jobs::test
