#include "relay/PortFixture.h"

namespace crocuslead::relay::test {

TEST_CASE("A relay whose replies take far longer than those of the others is "
          "not used for 3 s") {
  PortFixture F;
  for (const char *Each : {"a", "b", "c"})
    F.offer(Each);
  for (int I = 0; I < 60; ++I) {
    std::string Name = "j" + std::to_string(I);
    F.start(Name, "w" + std::to_string(I));
    uint64_t Number = F.onlyRequest().Number_;
    std::string Relay = F.lastAddress();
    F.Clock_.advance(Relay == "b" ? milliseconds(900) : milliseconds(20));
    F.answerLast();
    F.reply(Relay, {Number, RequestStatus::Accepted, 5, {}, {}});
    for (const char *Each : {"a", "b", "c"})
      F.offer(Each);
  }
  F.run(milliseconds(50), {"a", "b", "c"});
  CHECK(F.Port_.counters().SlowRelays_ == 1);
  CHECK(F.Port_.counters().Relays_ == 2);
  F.run(milliseconds(3'100), {"a", "b", "c"});
  CHECK(F.Port_.counters().Relays_ == 3);
}

// Requests that are then sent directly would fill the coordinator's own link.
TEST_CASE(
    "Relays are not given up for missing answers while half of them are") {
  PortFixture F;
  const std::set<std::string> Names = {"a", "b", "c", "d"};
  for (const std::string &Each : Names)
    F.offer(Each);
  for (int I = 0; I < 40; ++I)
    F.start("j" + std::to_string(I), "w" + std::to_string(I));
  REQUIRE(F.sent().size() == Names.size());
  for (std::size_t I = 0; I < Names.size(); ++I)
    F.Out_.Posts_[I].answer(std::nullopt);
  CHECK(F.Port_.counters().RelayLosses_ == 2);
  CHECK(F.Port_.counters().Relays_ == 2);
  F.start("next", "w0");
  CHECK(F.Direct_.Calls_.empty());
  F.run(milliseconds(1'750), Names);
  for (int I = 0; I < 40; ++I)
    CHECK(F.end("j" + std::to_string(I)).Status_ == RequestStatus::Unknown);
}

} // namespace crocuslead::relay::test
