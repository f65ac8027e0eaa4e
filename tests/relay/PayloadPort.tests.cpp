#include "relay/PayloadPort.h"
#include "jobs/JobKeys.h"
#include "relay/PayloadStore.h"
#include "relay/RelayFakes.h"

namespace crocuslead::relay::test {

namespace {

constexpr auto PayloadBytes = std::size_t{1} << 20U;

struct Fixture {
  struct End {
    RequestStatus Status_ = RequestStatus::Unknown;
    base::Duration PayloadWait_{};
  };

  void start(const jobs::StartRequest &Request) {
    Port_.start({"w1", "10.1.0.1:80", "d1"}, Request,
                [this](const jobs::RequestReply &Reply) {
                  Ends_.push_back({Reply.Status_, Reply.PayloadWait_});
                });
  }
  void start(const std::string &Job, base::Duration TimeLeft = seconds(1)) {
    jobs::StartRequest Request = leanStartOf(Job);
    Request.SendBefore_ = Clock_.now() + TimeLeft;
    start(Request);
  }
  const std::string &sentPayload(std::size_t Index) const {
    return std::get<jobs::StartRequest>(Workers_.Calls_.at(Index).Body_)
        .Payload_;
  }
  void answerRead(std::size_t Index,
                  const store::StoreResult<store::RangeReply> &Result) {
    Reads_.at(Index).second(Result);
  }

  base::ManualClock Clock_;
  FakeTransport Out_;
  FakeWorkers Workers_;
  jobs::PayloadCache Payloads_{PayloadBytes};
  std::vector<std::pair<std::string, store::Callback<store::RangeReply>>>
      Reads_;
  PayloadStore Store_{[this](const std::string &Key, auto Done) {
    Reads_.emplace_back(Key, std::move(Done));
  }};
  PayloadPort Port_{Workers_, Payloads_, Out_, Store_, Clock_};
  std::vector<End> Ends_;
};

} // namespace

TEST_CASE("A start with its payload, or with a known one, is sent at once") {
  Fixture F;
  jobs::StartRequest Whole = startOf("j");
  Whole.Payload_ = "inline";
  F.start(Whole);
  F.Payloads_.add("k", "known");
  F.start("k");
  CHECK(F.sentPayload(0) == "inline");
  CHECK(F.sentPayload(1) == "known");
  CHECK(F.Out_.Gets_.empty());
  CHECK(F.Reads_.empty());
}

TEST_CASE("The payload of several starts of a job is asked for once") {
  Fixture F;
  F.start("j");
  F.start("j");
  F.start("k");
  REQUIRE(F.Out_.Gets_.size() == 2);
  CHECK(F.Out_.Gets_[0].Address_ == "10.0.0.9:7720");
  CHECK(F.Out_.Gets_[0].Path_ == std::string(PayloadsPath) + "j");
  F.Clock_.advance(milliseconds(30));
  F.Out_.Gets_[0].answer("payload");
  REQUIRE(F.Workers_.Calls_.size() == 2);
  CHECK(F.sentPayload(0) == "payload");
  CHECK(F.sentPayload(1) == "payload");
  F.Workers_.Calls_[0].Done_({RequestStatus::Accepted, 1, {}});
  CHECK(F.Ends_.at(0).PayloadWait_ == milliseconds(30));
  F.start("j");
  CHECK(F.Out_.Gets_.size() == 2);
  CHECK(F.sentPayload(2) == "payload");
}

TEST_CASE("A payload that no instance has is read from the store") {
  Fixture F;
  F.start("j");
  F.Out_.Gets_.at(0).answer(std::nullopt);
  jobs::StartRequest Unsourced = leanStartOf("k");
  Unsourced.PayloadSource_.clear();
  F.start(Unsourced);
  CHECK(F.Out_.Gets_.size() == 1);
  REQUIRE(F.Reads_.size() == 2);
  for (std::size_t I : {0, 1}) {
    CHECK(F.Reads_[I].first == jobs::JobKeys::payload(I == 0 ? "j" : "k"));
    F.answerRead(I, PayloadStore::found(F.Reads_[I].first, "stored"));
    CHECK(F.sentPayload(I) == "stored");
  }
}

TEST_CASE("A start whose payload is found nowhere is not sent, and a later one "
          "asks again") {
  Fixture F;
  const store::StoreResult<store::RangeReply> Results[] = {
      PayloadStore::failure(), store::RangeReply{}};
  for (std::size_t I : {0, 1}) {
    F.start("j");
    F.start("j");
    F.Out_.Gets_.at(I).answer(std::nullopt);
    F.answerRead(I, Results[I]);
    REQUIRE(F.Ends_.size() == 2 * I + 2);
    CHECK(F.Ends_[2 * I].Status_ == RequestStatus::Withheld);
    CHECK(F.Ends_[2 * I + 1].Status_ == RequestStatus::Withheld);
  }
  CHECK(F.Workers_.Calls_.empty());
}

TEST_CASE("A start that waited for its payload until after its time is not "
          "sent") {
  Fixture F;
  F.start("j", milliseconds(200));
  F.start("j", milliseconds(201));
  F.Clock_.advance(milliseconds(200));
  F.Out_.Gets_.at(0).answer("payload");
  CHECK(F.Workers_.Calls_.size() == 1);
  REQUIRE(F.Ends_.size() == 1);
  CHECK(F.Ends_[0].Status_ == RequestStatus::Withheld);
}

// CoordinatorTimings::SilentRequestDelay_ has to cover the wait and the call.
TEST_CASE("A start that the coordinator sends itself waits 1.5 s at most") {
  Fixture F;
  F.start(leanStartOf("j"));
  F.Out_.Gets_.at(0).answer(std::nullopt);
  F.Clock_.advance(milliseconds(1'500));
  F.answerRead(0, PayloadStore::found("", "stored"));
  CHECK(F.Workers_.Calls_.empty());
  CHECK(F.Ends_.at(0).Status_ == RequestStatus::Withheld);
}

TEST_CASE("Other requests pass unchanged") {
  Fixture F;
  const jobs::WorkerAddress To{"w1", "10.1.0.1:80", "d1"};
  F.Port_.stop(To, {{"j", {}}, 3, 4}, {});
  F.Port_.throttle(To, {{"j", {}}, 3, 50, 4}, {});
  F.Port_.poll(To, {4, 7, 100, {}}, {});
  REQUIRE(F.Workers_.Calls_.size() == 3);
  CHECK(std::get<jobs::StopRequest>(F.Workers_.Calls_[0].Body_).Run_ == 3);
  CHECK(std::get<jobs::ThrottleRequest>(F.Workers_.Calls_[1].Body_)
            .SpeedPercent_ == 50);
  CHECK(std::get<jobs::PollRequest>(F.Workers_.Calls_[2].Body_)
            .AcknowledgedSequence_ == 7);
}

TEST_CASE("Payloads that come after the port has ended start nothing") {
  FakeTransport Out;
  FakeWorkers Workers;
  base::ManualClock Clock;
  jobs::PayloadCache Payloads(PayloadBytes);
  std::vector<store::Callback<store::RangeReply>> Reads;
  PayloadStore Store([&](const std::string &, auto Done) {
    Reads.push_back(std::move(Done));
  });
  {
    PayloadPort Port(Workers, Payloads, Out, Store, Clock);
    Port.start({}, leanStartOf("j"), [](const jobs::RequestReply &) {});
    Port.start({}, leanStartOf("k"), [](const jobs::RequestReply &) {});
    Out.Gets_.at(0).answer(std::nullopt);
  }
  Out.Gets_.at(1).answer("payload");
  Reads.at(0)(PayloadStore::found("", "stored"));
  CHECK(Workers.Calls_.empty());
}

} // namespace crocuslead::relay::test
