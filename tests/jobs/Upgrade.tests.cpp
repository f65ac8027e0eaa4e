#include "jobs/JobWorld.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace crocuslead::jobs::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

//! Requests through a relay of a version that knows no tokens by worker: it
//! takes the highest token that it has seen for that of the latest term.
class EarlierRelay final : public WorkerPort {
public:
  explicit EarlierRelay(JobWorld &World) : World_(World) {}

  void start(const WorkerAddress &To, const StartRequest &Request,
             RequestCallback Done) override {
    if (isFenced(Request.FencingToken_))
      World_.schedule(milliseconds(4), [Done] {
        Done({RequestStatus::Fenced, std::nullopt, {}});
      });
    else
      World_.start(To, Request, std::move(Done));
  }
  void stop(const WorkerAddress &To, const StopRequest &Request,
            RequestCallback Done) override {
    if (isFenced(Request.FencingToken_))
      World_.schedule(milliseconds(4), [Done] {
        Done({RequestStatus::Fenced, std::nullopt, {}});
      });
    else
      World_.stop(To, Request, std::move(Done));
  }
  void throttle(const WorkerAddress &To, const ThrottleRequest &Request,
                RequestCallback Done) override {
    if (isFenced(Request.FencingToken_))
      World_.schedule(milliseconds(4), [Done] {
        Done({RequestStatus::Fenced, std::nullopt, {}});
      });
    else
      World_.throttle(To, Request, std::move(Done));
  }
  void poll(const WorkerAddress &To, const PollRequest &Request,
            PollCallback Done) override {
    if (isFenced(Request.FencingToken_))
      World_.schedule(milliseconds(4), [Done] {
        Done({RequestStatus::Fenced, {}});
      });
    else
      World_.poll(To, Request, std::move(Done));
  }

  int Refused_ = 0;

private:
  bool isFenced(uint64_t Token) {
    Highest_ = std::max(Highest_, Token);
    Refused_ += Token < Highest_ ? 1 : 0;
    return Token < Highest_;
  }

  JobWorld &World_;
  uint64_t Highest_ = 0;
};

} // namespace

// Guards against a coordinator that takes such a relay's refusal for the end of
// its term.
TEST_CASE(
    "A coordinator whose tokens differ by worker goes on beside relays of "
    "an earlier version") {
  JobWorld World;
  EarlierRelay Relay(World);
  World.PortOf_ = [&](uint64_t) -> WorkerPort & { return Relay; };
  for (const char *Id : {"w0", "w1", "w2"})
    World.addWorker(Id);
  World.startSuccessor();
  World.run(seconds(2));
  bool IsLost = false;
  World.LatenessOf_ =
      [&](const RequestOrigin &From,
          const std::string &) -> std::optional<base::Duration> {
    if (IsLost || From.AcknowledgedSequence_ == 0)
      return std::nullopt;
    IsLost = true;
    return seconds(5);
  };
  for (int I = 0; I < 8; ++I) {
    World.submit("j" + std::to_string(I), chainJob(2, 6, 4'000));
    World.run(milliseconds(900));
  }
  World.run(seconds(10));
  for (int I = 0; I < 8; ++I)
    CHECK(World.state("j" + std::to_string(I)) == JobState::Completed);
  CHECK(Relay.Refused_ > 0);
  CHECK(!World.Coordinator_->superseded());
  CHECK(World.Oracle_.Violations_.empty());
}

// Guards against a term whose version can't read a job's record: it must
// neither stop the job's runs nor acknowledge their ends.
TEST_CASE("A term that can't read a job's record loses none of its "
          "ends" *
          doctest::should_fail()) {
  JobWorld World;
  World.RunDuration_ = seconds(3);
  for (const char *Id : {"w0", "w1"})
    World.addWorker(Id);
  World.startSuccessor();
  World.run(seconds(1));
  World.submit("b", chainJob(2, 4, 1'000));
  World.run(milliseconds(2'990));
  JobRecord Record = World.Jobs_.at("b");
  World.resign(milliseconds(150));
  World.Jobs_.erase("b");
  World.startSuccessor();
  World.Jobs_["b"] = Record;
  World.run(seconds(2));
  World.handOver(milliseconds(150));
  World.run(seconds(20));
  int Starts = 0;
  for (int I = 0; I < 4; ++I)
    Starts += World.startsOf("b.0.0." + std::to_string(I));
  CHECK(World.Oracle_.Violations_.empty());
  CHECK(Starts == 4);
}

} // namespace crocuslead::jobs::test
