#include "relay/PortFixture.h"

namespace crocuslead::relay::test {

TEST_CASE("A request without a relay is sent directly") {
  PortFixture F;
  F.start("j");
  F.Port_.poll(F.worker("w1"), {}, [](const jobs::PollReply &) {});
  F.Port_.stop(F.worker("w1"), {}, [](const jobs::RequestReply &) {});
  F.Port_.throttle(F.worker("w1"), {}, [](const jobs::RequestReply &) {});
  CHECK(F.Direct_.Calls_.size() == 4);
  CHECK(F.Port_.senderFor(F.worker("w1")).empty());
  F.Direct_.Calls_[0].Done_({RequestStatus::Accepted, 3, {}});
  CHECK(F.end("j").ClockMs_ == 3);
  CHECK(F.Port_.counters().Direct_ == 4);
  CHECK(F.Port_.counters().Requests_ == 0);
}

TEST_CASE("A worker's requests go through a relay of its domain, then one of "
          "its region, then directly") {
  PortFixture F;
  F.offer("near", "d1", "r1", 0.01);
  F.offer("region", "d2", "r1", 100);
  F.offer("far", "d3", "r2", 100);
  F.start("a");
  CHECK(F.sent().size() == 1);
  CHECK(F.lastAddress() == "near");
  CHECK(F.Port_.senderFor(F.worker("w1")) == "near");
  F.offer("near", "d1", "r1", 0.01, true);
  F.start("b");
  CHECK(F.sent().size() == 1);
  CHECK(F.lastAddress() == "region");
  F.offer("region", "d2", "r1", 100, true);
  F.start("c");
  CHECK(F.sent().empty());
  CHECK(F.Direct_.Calls_.size() == 1);
  F.start("d", "w9", "unknown");
  CHECK(F.Direct_.Calls_.size() == 2);
}

TEST_CASE("Relays share the workers of their domain by their weights") {
  PortFixture F;
  F.offer("small", "d1", "r1", 0.5);
  F.offer("large", "d1", "r1", 1.5);
  std::map<std::string, int> Workers;
  std::map<std::string, std::string> Before;
  constexpr int Count = 2'000;
  for (int I = 0; I < Count; ++I) {
    std::string Id = "w" + std::to_string(I);
    F.start("j", Id);
    Before[Id] = F.Port_.senderFor(F.worker(Id));
    ++Workers[Before[Id]];
  }
  CHECK(Workers["small"] > Count / 4 - 100);
  CHECK(Workers["small"] < Count / 4 + 100);
  CHECK(Workers["small"] + Workers["large"] == Count);
  F.offer("third");
  for (const auto &[Id, Relay] : Before) {
    F.start("j", Id);
    std::string Now = F.Port_.senderFor(F.worker(Id));
    CHECK((Now == Relay || Now == "third"));
  }
}

TEST_CASE("A relayed request bears the end of its time on the relay's clock") {
  PortFixture F;
  F.offer("a");
  F.Clock_.advance(milliseconds(40));
  F.start("j");
  base::TimePoint AcceptedAt = F.Clock_.now();
  F.Clock_.advance(milliseconds(250));
  RelayedRequest Request = F.onlyRequest();
  base::TimePoint End =
      AcceptedAt + RelayedPort::MaxRelayDelay + PortFixture::RelayLead;
  int64_t EndMs = base::toMillis(End.time_since_epoch());
  // The lead of the relay's clock is rounded down by up to 1 ms.
  CHECK(Request.NotAfterMs_ <= EndMs);
  CHECK(Request.NotAfterMs_ >= EndMs - 1);
  CHECK(Request.To_.Id_ == "w1");
  CHECK(Request.To_.Address_ == "w1:80");
}

TEST_CASE("A reply ends its request once") {
  PortFixture F;
  F.offer("a");
  F.start("j");
  RelayedReply Reply{F.onlyRequest().Number_,
                     RequestStatus::Accepted,
                     42,
                     {},
                     milliseconds(7)};
  F.reply("a", Reply);
  F.reply("a", Reply);
  F.answerLast();
  F.run(seconds(10), {"a"});
  CHECK(F.end("j").Status_ == RequestStatus::Accepted);
  CHECK(F.end("j").ClockMs_ == 42);
  CHECK(F.end("j").PayloadWait_ == milliseconds(7));
}

TEST_CASE("A poll's report reaches its caller, and an accepted poll without a "
          "report counts as unknown") {
  PortFixture F;
  F.offer("a");
  std::vector<jobs::PollReply> Got;
  for (bool HasReport : {true, false}) {
    F.Port_.poll(F.worker("w1"), {},
                 [&](const jobs::PollReply &Reply) { Got.push_back(Reply); });
    RelayedReply Reply;
    Reply.Number_ = F.onlyRequest().Number_;
    Reply.Status_ = RequestStatus::Accepted;
    if (HasReport) {
      Reply.Report_.emplace();
      Reply.Report_->ClockMs_ = 5;
    }
    F.reply("a", Reply);
  }
  REQUIRE(Got.size() == 2);
  CHECK(Got[0].Status_ == RequestStatus::Accepted);
  CHECK(Got[0].Report_.ClockMs_ == 5);
  CHECK(Got[1].Status_ == RequestStatus::Unknown);
}

TEST_CASE("Replies of another session are ignored") {
  PortFixture F;
  F.offer("a");
  F.start("j");
  RelayedReply Reply{
      F.onlyRequest().Number_, RequestStatus::Accepted, 42, {}, {}};
  F.reply("a", Reply, "s0");
  F.reply("a", Reply, "");
  CHECK(F.Ends_["j"].empty());
  F.reply("a", Reply);
  CHECK(F.end("j").Status_ == RequestStatus::Accepted);
}

TEST_CASE("A relay that does not answer ends what waits for it as withheld and "
          "what it got as unknown") {
  PortFixture F;
  F.offer("a");
  std::vector<RequestStatus> Polls;
  for (int I = 0; I < 4; ++I) {
    F.Port_.poll(F.worker("w1"), {}, [&](const jobs::PollReply &Reply) {
      Polls.push_back(Reply.Status_);
    });
    CHECK(F.sent().size() == 1);
  }
  F.start("waiting");
  CHECK(F.sent().empty());
  F.Out_.Posts_[0].answer(std::nullopt);
  CHECK(Polls == std::vector<RequestStatus>(4, RequestStatus::Unknown));
  CHECK(F.end("waiting").Status_ == RequestStatus::Withheld);
  CHECK(F.sent().empty());
  F.start("later");
  CHECK(F.Direct_.Calls_.size() == 1);
  CHECK(F.Port_.counters().Relays_ == 0);
  F.Out_.Posts_[1].answer(std::nullopt);
  CHECK(F.Port_.counters().RelayLosses_ == 1);
}

// Guards against a second start of the task elsewhere, while a relay that is
// only paused may still send the first one.
TEST_CASE("A start that a lost relay got counts as unanswered only when the "
          "relay can't send it any more") {
  for (bool Restarts : {false, true}) {
    PortFixture F;
    F.offer("a");
    F.start("j");
    CHECK(F.sent().size() == 1);
    F.run(milliseconds(300));
    if (Restarts)
      F.offer("a", "d1", "r1", 1, false, "2");
    else
      F.Out_.Posts_[0].answer(std::nullopt);
    F.run(milliseconds(950));
    CHECK(F.Ends_["j"].empty());
    F.run(milliseconds(100));
    CHECK(F.end("j").Status_ == RequestStatus::Unknown);
  }
}

TEST_CASE("The reply of a relay that did not answer its message ends the start "
          "that it was lost with") {
  PortFixture F;
  F.offer("a");
  F.start("j");
  uint64_t Number = F.onlyRequest().Number_;
  F.Out_.Posts_[0].answer(std::nullopt);
  F.reply("a", {Number, RequestStatus::Accepted, 5, {}, {}});
  F.run(seconds(5));
  CHECK(F.end("j").Status_ == RequestStatus::Accepted);
}

TEST_CASE("A relay that did not answer is used again after 3 s and an offer") {
  PortFixture F;
  F.offer("a");
  F.start("j");
  CHECK(F.sent().size() == 1);
  F.Out_.Posts_[0].answer(std::nullopt);
  F.run(milliseconds(2'900), {"a"});
  F.start("w2", "w2");
  CHECK(F.sent().empty());
  F.run(milliseconds(200), {"a"});
  F.start("w2", "w2");
  CHECK(F.sent().size() == 1);
}

TEST_CASE("A relay that restarts ends its requests, and the next incarnation "
          "gets none of them") {
  PortFixture F;
  F.offer("a");
  F.start("sent");
  CHECK(F.sent().size() == 1);
  F.start("waiting");
  F.offer("a", "d1", "r1", 1, false, "2");
  CHECK(F.end("waiting").Status_ == RequestStatus::Withheld);
  CHECK(F.sent().empty());
  F.start("next", "w2");
  CHECK(F.sent().size() == 1);
  F.Out_.Posts_[0].answer(std::nullopt);
  CHECK(F.Port_.counters().RelayLosses_ == 0);
  CHECK(F.Ends_["next"].empty());
  F.run(milliseconds(1'350));
  CHECK(F.end("sent").Status_ == RequestStatus::Unknown);
}

TEST_CASE("A relay that leaves answers what it has and gets nothing more") {
  PortFixture F;
  F.offer("a");
  F.start("j");
  uint64_t Number = F.onlyRequest().Number_;
  F.offer("a", "d1", "r1", 1, true);
  F.start("k");
  CHECK(F.sent().empty());
  CHECK(F.Direct_.Calls_.size() == 1);
  F.reply("a", {Number, RequestStatus::Accepted, 1, {}, {}});
  CHECK(F.end("j").Status_ == RequestStatus::Accepted);
}

TEST_CASE("A relay that is silent is given up with its requests") {
  PortFixture F;
  F.offer("a");
  F.run(milliseconds(3'000));
  F.start("sent");
  CHECK(F.sent().size() == 1);
  F.start("waiting");
  F.run(milliseconds(450));
  CHECK(F.Port_.counters().Relays_ == 1);
  F.run(milliseconds(100));
  CHECK(F.Port_.counters().Relays_ == 0);
  F.run(milliseconds(800));
  CHECK(F.end("sent").Status_ == RequestStatus::Unknown);
  F.start("later");
  CHECK(F.Direct_.Calls_.size() == 1);
}

TEST_CASE("A request without a reply is given up as unknown, and a later reply "
          "to it is ignored") {
  PortFixture F;
  F.offer("a");
  F.start("j");
  RelayedReply Reply{
      F.onlyRequest().Number_, RequestStatus::Accepted, 42, {}, {}};
  F.answerLast();
  F.run(milliseconds(1'650), {"a"});
  CHECK(F.Ends_["j"].empty());
  F.run(milliseconds(100), {"a"});
  CHECK(F.end("j").Status_ == RequestStatus::Unknown);
  F.reply("a", Reply);
  CHECK(F.end("j").Status_ == RequestStatus::Unknown);
}

TEST_CASE("A poll is given up only after the time that it may wait at the "
          "worker") {
  PortFixture F;
  F.offer("a");
  std::vector<RequestStatus> Got;
  jobs::PollRequest Poll;
  Poll.Wait_ = seconds(1);
  F.Port_.poll(F.worker("w1"), Poll, [&](const jobs::PollReply &Reply) {
    Got.push_back(Reply.Status_);
  });
  CHECK(F.sent().size() == 1);
  F.answerLast();
  F.run(milliseconds(2'050), {"a"});
  CHECK(Got.empty());
  F.run(milliseconds(100), {"a"});
  REQUIRE(Got.size() == 1);
  CHECK(Got[0] == RequestStatus::Unknown);
}

TEST_CASE("A worker is not reached through a relay that failed it for 5 s") {
  PortFixture F;
  for (const char *Each : {"a", "b"})
    F.offer(Each);
  std::vector<std::string> Used;
  for (auto Status : {RequestStatus::Unknown, RequestStatus::Withheld}) {
    F.start("j" + std::to_string(Used.size()));
    uint64_t Number = F.onlyRequest().Number_;
    Used.push_back(F.lastAddress());
    F.reply(Used.back(), {Number, Status, {}, {}, {}});
  }
  CHECK(Used[0] != Used[1]);
  F.start("direct");
  CHECK(F.Direct_.Calls_.size() == 1);
  F.start("other", "w2");
  CHECK(F.sent().size() == 1);
  F.run(milliseconds(5'100), {"a", "b"});
  F.start("again");
  CHECK(F.sent().size() == 1);
  CHECK(F.lastAddress() == Used[0]);
}

TEST_CASE("A refusal by a worker does not count against its relay") {
  PortFixture F;
  for (const char *Each : {"a", "b"})
    F.offer(Each);
  F.start("j");
  uint64_t Number = F.onlyRequest().Number_;
  std::string First = F.lastAddress();
  F.reply(First, {Number, RequestStatus::StaleRun, 1, {}, {}});
  F.start("k");
  CHECK(F.sent().size() == 1);
  CHECK(F.lastAddress() == First);
}

TEST_CASE("A start is relayed without the payload that is stored apart") {
  PortFixture F;
  F.offer("a");
  jobs::StartRequest Whole = startOf("k");
  Whole.Payload_ = "payload";
  for (const jobs::StartRequest &Each : {leanStartOf("j"), Whole}) {
    F.send(Each.Task_.Job_, Each);
    RelayedRequest Request = F.onlyRequest();
    const auto &Sent = std::get<jobs::StartRequest>(Request.Body_);
    CHECK(Sent.Payload_ == Each.Payload_);
    CHECK(Sent.PayloadApart_ == Each.PayloadApart_);
    CHECK(Sent.PayloadSource_ == Each.PayloadSource_);
  }
}

TEST_CASE("A message names the incarnation whose clock its deadlines are on") {
  PortFixture F;
  F.offer("a");
  F.start("j");
  CHECK(F.sent().at(0).second.Incarnation_ == "a-1");
  F.offer("a", "d1", "r1", 1, false, "2");
  F.start("k", "w2");
  CHECK(F.sent().at(0).second.Incarnation_ == "a-2");
}

TEST_CASE("After a late offer of a former incarnation the present one is used "
          "again from its next offer on") {
  PortFixture F;
  F.offer("a", "d1", "r1", 1, false, "2");
  F.offer("a", "d1", "r1", 1, false, "1");
  F.start("j");
  CHECK(F.sent().at(0).second.Incarnation_ == "a-1");
  F.offer("a", "d1", "r1", 1, false, "2");
  F.start("k", "w2");
  CHECK(F.sent().at(0).second.Incarnation_ == "a-2");
}

} // namespace crocuslead::relay::test
