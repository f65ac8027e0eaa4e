#include "relay/Relay.h"
#include "relay/RelayFakes.h"

namespace crocuslead::relay::test {

namespace {

constexpr const char *Coordinator = "10.0.0.1:7720";

struct Fixture {
  //! A batch of one request; the deadline counts from now.
  void receive(uint64_t Number, RequestBody Body,
               base::Duration TimeLeft = milliseconds(600),
               const std::string &Session = "s1",
               const std::string &ReplyTo = Coordinator,
               const std::string &Incarnation = "n1") {
    RequestBatch Batch{Incarnation, Session, ReplyTo, {}};
    Batch.Requests_.push_back({Number,
                               {"w1", "10.1.0.1:80", ""},
                               clockMs(Clock_) + base::toMillis(TimeLeft),
                               std::move(Body)});
    Relay_.receive(valueOf(decodeRequests(encode(Batch))));
    Out_.settle();
  }

  //! The replies in the last message, which is for To.
  ReplyBatch lastReplies(const std::string &To = Coordinator) {
    Out_.settle();
    REQUIRE(!Out_.Posts_.empty());
    CHECK(Out_.Posts_.back().Address_ == To);
    CHECK(Out_.Posts_.back().Path_ == RepliesPath);
    return valueOf(decodeReplies(Out_.Posts_.back().Body_));
  }

  RelayedReply lastReply(const std::string &To = Coordinator) {
    ReplyBatch Batch = lastReplies(To);
    REQUIRE(Batch.Replies_.size() == 1);
    return Batch.Replies_[0];
  }

  const jobs::StartRequest &sentStart(std::size_t Index) const {
    return std::get<jobs::StartRequest>(Workers_.Calls_.at(Index).Body_);
  }

  base::ManualClock Clock_;
  FakeTransport Out_;
  FakeWorkers Workers_;
  Relay Relay_{Workers_, Out_, Clock_,
               "i1",     "n1", {"10.0.0.2:7720", "d1", "r1", 0.5, false}};
};

} // namespace

TEST_CASE("Each kind of request is sent to its worker and answered") {
  Fixture F;
  jobs::TaskId Task{"j", {1, 2, 3}};
  std::vector<RequestBody> Bodies = {startOf("j"),
                                     jobs::StopRequest{Task, 4, 1},
                                     jobs::ThrottleRequest{Task, 4, 50, 1}};
  for (uint64_t I = 0; I < Bodies.size(); ++I) {
    F.receive(I + 1, Bodies[I]);
    CHECK(F.Relay_.active() == 1);
    WorkerCall Call = F.Workers_.Calls_.at(I);
    CHECK(Call.Body_.index() == Bodies[I].index());
    CHECK(Call.To_.Address_ == "10.1.0.1:80");
    Call.Done_({RequestStatus::StaleRun, 77, {}});
    RelayedReply Reply = F.lastReply();
    CHECK(Reply.Number_ == I + 1);
    CHECK(Reply.Status_ == RequestStatus::StaleRun);
    CHECK(Reply.ClockMs_ == 77);
    CHECK(F.Relay_.active() == 0);
  }
  F.receive(9, jobs::PollRequest{1, 5, 100, milliseconds(50)});
  jobs::PollReply Answer;
  Answer.Status_ = RequestStatus::Accepted;
  Answer.Report_.ClockMs_ = 99;
  F.Workers_.Calls_.back().PollDone_(Answer);
  REQUIRE(F.lastReply().Report_);
  CHECK(F.lastReply().Report_->ClockMs_ == 99);
  CHECK(F.lastReplies().Instance_ == "i1");
  CHECK(F.lastReplies().Incarnation_ == "n1");
  CHECK(F.lastReplies().Session_ == "s1");
}

TEST_CASE("A request that comes at its deadline or later is not sent") {
  Fixture F;
  for (auto Left : {milliseconds(0), milliseconds(-1), milliseconds(-5'000)}) {
    F.receive(1, startOf("j"), Left);
    CHECK(F.Workers_.Calls_.empty());
    CHECK(F.lastReply().Status_ == RequestStatus::Withheld);
  }
  F.receive(2, startOf("j"), milliseconds(1));
  CHECK(F.Workers_.Calls_.size() == 1);
}

TEST_CASE("A start may be sent until its deadline on the relay's clock") {
  Fixture F;
  F.receive(1, leanStartOf("j"), milliseconds(250));
  REQUIRE(F.Workers_.Calls_.size() == 1);
  const jobs::StartRequest &Sent = F.sentStart(0);
  CHECK(Sent.PayloadApart_);
  CHECK(Sent.PayloadSource_ == "10.0.0.9:7720");
  CHECK(base::toMillis(Sent.SendBefore_ - F.Clock_.now()) == 250);
  F.Workers_.Calls_[0].Done_({RequestStatus::Accepted, 1, milliseconds(30)});
  CHECK(F.lastReply().PayloadWait_ == milliseconds(30));
}

// Its deadline is on the clock of that incarnation.
TEST_CASE("A request that was meant for another incarnation is not sent") {
  Fixture F;
  F.receive(1, startOf("j", 9), milliseconds(600), "s1", Coordinator, "n0");
  CHECK(F.Workers_.Calls_.empty());
  CHECK(F.lastReply().Status_ == RequestStatus::Withheld);
  CHECK(F.Relay_.active() == 0);
}

TEST_CASE("A request with a lower fencing token than seen before is refused") {
  Fixture F;
  F.receive(1, startOf("j", 5));
  for (const RequestBody &Body : std::vector<RequestBody>{
           startOf("k", 4), jobs::StopRequest{{"j", {}}, 1, 4},
           jobs::ThrottleRequest{{"j", {}}, 1, 50, 4},
           jobs::PollRequest{4, 0, std::nullopt, {}}}) {
    F.receive(2, Body);
    CHECK(F.lastReply().Status_ == RequestStatus::Fenced);
  }
  CHECK(F.Workers_.Calls_.size() == 1);
  F.receive(3, startOf("k", 5));
  CHECK(F.Workers_.Calls_.size() == 2);
}

// Guards against a relay that takes the token of one worker for a later term.
TEST_CASE("A lower token of the same term is not refused") {
  Fixture F;
  auto Start = [](const std::string &Job, uint64_t Token, uint64_t First) {
    jobs::StartRequest Out = startOf(Job, Token);
    Out.FirstToken_ = First;
    return Out;
  };
  F.receive(1, Start("j", 9, 5));
  F.receive(2, Start("k", 5, 5));
  CHECK(F.Workers_.Calls_.size() == 2);
  CHECK(F.sentStart(1).FirstToken_ == 5);
  F.receive(3, Start("l", 4, 2));
  CHECK(F.lastReply().Status_ == RequestStatus::Fenced);
  F.receive(4, Start("l", 10, 10));
  F.receive(5, Start("k", 9, 5));
  CHECK(F.lastReply().Status_ == RequestStatus::Fenced);
  CHECK(F.Workers_.Calls_.size() == 3);
}

TEST_CASE("The token of a request that comes too late refuses lower ones") {
  Fixture F;
  F.receive(1, startOf("j", 5), milliseconds(-1));
  F.receive(2, startOf("k", 4));
  CHECK(F.Workers_.Calls_.empty());
}

TEST_CASE("Replies go to the session that asked, also after the coordinator "
          "has changed") {
  Fixture F;
  F.Relay_.setCoordinator(Coordinator);
  F.receive(1, startOf("j"));
  F.Relay_.setCoordinator("10.0.0.3:7720");
  F.receive(1, startOf("k", 2), milliseconds(600), "s2", "10.0.0.3:7720");
  F.Workers_.Calls_[0].Done_({RequestStatus::Accepted, 11, {}});
  CHECK(F.lastReplies(Coordinator).Session_ == "s1");
  CHECK(F.lastReply(Coordinator).ClockMs_ == 11);
  F.Workers_.Calls_[1].Done_({RequestStatus::Accepted, 22, {}});
  CHECK(F.lastReplies("10.0.0.3:7720").Session_ == "s2");
  CHECK(F.lastReply("10.0.0.3:7720").ClockMs_ == 22);
}

TEST_CASE("Replies to more sessions than are kept reach each of them") {
  Fixture F;
  for (uint64_t I = 1; I <= 10; ++I)
    F.receive(I, startOf("j", I), milliseconds(600), "s" + std::to_string(I),
              "10.0.0." + std::to_string(I) + ":1");
  for (uint64_t I = 1; I <= 10; ++I) {
    F.Workers_.Calls_[I - 1].Done_({RequestStatus::Accepted, 1, {}});
    std::string To = "10.0.0." + std::to_string(I) + ":1";
    CHECK(F.lastReplies(To).Session_ == "s" + std::to_string(I));
    if (I % 2 == 0)
      F.Out_.Posts_.back().answer("");
  }
}

TEST_CASE("A relay offers itself to a new coordinator at once, and then each "
          "second") {
  Fixture F;
  F.Relay_.tick();
  CHECK(F.Out_.Posts_.empty());
  F.Relay_.setCoordinator(Coordinator);
  F.Relay_.tick();
  F.Relay_.tick();
  REQUIRE(F.Out_.Posts_.size() == 1);
  ReplyBatch Offer = F.lastReplies();
  REQUIRE(Offer.Info_);
  CHECK(Offer.Info_->Domain_ == "d1");
  CHECK(Offer.Info_->Weight_ == 0.5);
  CHECK(Offer.ClockMs_ == clockMs(F.Clock_));
  F.Clock_.advance(milliseconds(1'000));
  F.Relay_.tick();
  CHECK(F.Out_.Posts_.size() == 2);
  F.Relay_.leave();
  F.Relay_.tick();
  REQUIRE(F.Out_.Posts_.size() == 3);
  CHECK(F.lastReplies().Info_->Leaving_);
  F.Relay_.setCoordinator("10.0.0.3:7720");
  F.Relay_.tick();
  CHECK(F.lastReplies("10.0.0.3:7720").Info_);
  F.Relay_.setCoordinator("");
  F.Clock_.advance(seconds(5));
  F.Relay_.tick();
  CHECK(F.Out_.Posts_.size() == 4);
}

TEST_CASE("Answers that come after the relay has ended are dropped") {
  FakeWorkers Workers;
  FakeTransport Out;
  base::ManualClock Clock;
  {
    Relay Ended(Workers, Out, Clock, "i1", "n1", {});
    RequestBatch Batch{"n1", "s1", Coordinator, {}};
    for (const RequestBody &Body : std::vector<RequestBody>{
             startOf("j"), jobs::PollRequest{1, 0, std::nullopt, {}}})
      Batch.Requests_.push_back(
          {1, {"w1", "10.1.0.1:80", ""}, clockMs(Clock) + 600, Body});
    Ended.receive(Batch);
  }
  Workers.Calls_.at(0).Done_({RequestStatus::Accepted, 1, {}});
  Workers.Calls_.at(1).PollDone_({});
  Out.settle();
  CHECK(Out.Posts_.empty());
}

} // namespace crocuslead::relay::test
