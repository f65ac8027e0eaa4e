#include "ClaimWorld.h"

#include <doctest/doctest.h>

namespace {

using namespace crocuslead;
using namespace crocuslead::tests;
using route::ClaimEnd;
using route::ClaimVerdict;

std::string randomName(base::Random &Random) {
  return std::string(1, static_cast<char>('a' + Random.below(3)));
}

// One random step of the world. An owner that is replaced without a handover
// keeps its table for a while, as a paused process does.
void randomStep(ClaimWorld &World, base::Random &Random,
                std::vector<std::string> &Keys) {
  std::string Name = randomName(Random);
  switch (Random.below(16)) {
  case 0:
    Keys.push_back(World.key());
    World.claim(Name, Keys.back());
    break;
  case 1:
  case 2:
    if (!Keys.empty())
      World.claim(Name, Keys[Random.below(Keys.size())]);
    break;
  case 3:
    if (!World.Queue_.empty())
      World.lose();
    break;
  case 4:
    if (!World.Running_.empty()) {
      auto [Where, Key] = World.Running_.back();
      World.Running_.pop_back();
      World.at(Where).finish(Key, static_cast<ClaimEnd>(Random.below(3)));
    }
    break;
  case 5:
    if (World.Owner_ != Name && Random.below(4) == 0)
      World.acquire(Name);
    break;
  case 6:
    if (!World.Owner_.empty() && World.Owner_ != Name && Random.below(3) == 0) {
      World.handOver(Name);
      for (int I = 0; I < 3 && !World.Queue_.empty(); ++I)
        World.deliver();
      World.acquire(Name);
    }
    break;
  case 7:
    if (Random.below(4) == 0)
      World.start(Name);
    break;
  case 8:
    World.Nodes_[Name].Owner_ = randomName(Random);
    break;
  case 9:
    World.Clock_.advance(std::chrono::milliseconds(Random.below(3000)));
    break;
  case 10:
    World.tick();
    break;
  default:
    if (!World.Queue_.empty())
      World.deliver();
  }
}

} // namespace

// Guards against two homes of one key while an instance with the former list of
// partitions still holds its lease.
TEST_CASE("the first term of a partition grants no key of a former home") {
  ClaimWorld World({"a"});
  World.Epoch_ = 0;
  World.acquire("a");
  World.run(std::chrono::seconds(15));
  std::string Early = World.key();
  World.claim("a", Early);
  CHECK(World.Grants_[Early] == 0);
  World.run(std::chrono::seconds(7));
  std::string Fresh = World.key();
  World.claim("a", Fresh);
  CHECK(World.Grants_[Fresh] == 1);
}

TEST_CASE("A key is granted at most once over lost messages, owner changes, "
          "handovers and restarts") {
  std::size_t Granted = 0;
  for (uint64_t Seed = 1; Seed <= 400; ++Seed) {
    ClaimWorld World({"a", "b", "c"}, Seed);
    base::Random Random(Seed);
    std::vector<std::string> Keys;
    for (int Step = 0; Step < 600; ++Step) {
      randomStep(World, Random, Keys);
      for (const auto &[Key, Count] : World.Grants_)
        REQUIRE_MESSAGE(Count == 1, "seed ", Seed, " step ", Step);
    }
    Granted += World.Grants_.size();
  }
  // Guards against a world in which nothing is ever granted.
  CHECK(Granted > 1000);
}

TEST_CASE("A repeated call whose answer was lost gets its grant") {
  ClaimWorld World({"a", "b"});
  World.claim("b", World.key());
  World.deliver();
  World.lose();
  World.run(std::chrono::milliseconds(400));
  REQUIRE(World.Verdicts_.size() == 1);
  CHECK(World.Verdicts_[0] == ClaimVerdict::Granted);
}

TEST_CASE("A key that ran is not granted again when the report of its end was "
          "lost") {
  ClaimWorld World({"a", "b"});
  std::string Key = World.key();
  REQUIRE(World.claimNow("b", Key) == ClaimVerdict::Granted);
  World.at("b").finish(Key, ClaimEnd::Ran);
  World.lose();
  CHECK(World.claimNow("b", Key) == ClaimVerdict::AlreadyRan);
}

TEST_CASE("A restarted executor is not granted the key of its former process") {
  ClaimWorld World({"a", "b"});
  std::string Key = World.key();
  REQUIRE(World.claimNow("b", Key) == ClaimVerdict::Granted);
  World.start("b");
  World.Nodes_["b"].Owner_ = "a";
  CHECK(World.claimNow("b", Key) == ClaimVerdict::InProgress);
}

TEST_CASE("An answer to the former process is not taken for a call of the new "
          "one") {
  ClaimWorld World({"a", "b"});
  World.claim("b", World.key());
  World.deliver();
  ClaimWorld::Packet Late = World.Queue_.front();
  World.lose();
  World.start("b");
  World.Nodes_["b"].Owner_ = "a";
  World.claim("b", World.key());
  World.Queue_.clear();
  World.Queue_.push_back(Late);
  World.deliver();
  CHECK(World.Verdicts_.empty());
}

TEST_CASE("A handed over key that ran answers that it ran") {
  ClaimWorld World({"a", "b", "c"});
  std::string Key = World.key();
  REQUIRE(World.claimNow("c", Key) == ClaimVerdict::Granted);
  World.at("c").finish(Key, ClaimEnd::Ran);
  World.deliverAll();
  World.handOver("b");
  World.deliverAll();
  World.acquire("b");
  CHECK(World.claimNow("a", Key) == ClaimVerdict::AlreadyRan);
}

TEST_CASE("A table that arrives after the acquisition is taken over") {
  ClaimWorld World({"a", "b", "c"});
  std::string Key = World.key();
  REQUIRE(World.claimNow("c", Key) == ClaimVerdict::Granted);
  World.at("c").finish(Key, ClaimEnd::Ran);
  World.deliverAll();
  World.handOver("b");
  World.acquire("b");
  World.deliverAll();
  CHECK(World.claimNow("a", Key) == ClaimVerdict::AlreadyRan);
}

TEST_CASE("A fresh key that is claimed during a handover is granted by the "
          "next owner") {
  ClaimWorld World({"a", "b", "c"});
  World.run(std::chrono::seconds(10));
  World.handOver("b");
  std::string Key = World.key();
  World.claim("c", Key);
  World.deliverAll();
  CHECK(World.Verdicts_.empty());
  World.acquire("b");
  World.run(std::chrono::seconds(1));
  REQUIRE(World.Verdicts_.size() == 1);
  CHECK(World.Verdicts_[0] == ClaimVerdict::Granted);
}

TEST_CASE("A table of which one message was lost grants none of its keys") {
  ClaimWorld World({"a", "b"});
  std::vector<std::string> Keys;
  for (int I = 0; I < 2500; ++I) {
    Keys.push_back(World.key());
    World.claim("a", Keys.back());
  }
  REQUIRE(World.Grants_.size() == 2500);
  World.handOver("b");
  REQUIRE(World.Queue_.size() == 3);
  World.Queue_.erase(World.Queue_.begin() + 1);
  World.deliverAll();
  World.acquire("b");
  for (const std::string &Key : Keys)
    World.claim("b", Key);
  CHECK(World.Grants_.size() == 2500);
  for (const auto &[Key, Count] : World.Grants_)
    REQUIRE(Count == 1);
}

TEST_CASE("A table that is larger than the link's queue is handed over whole") {
  ClaimWorld World({"a", "b"});
  std::string Key = World.key();
  World.claim("a", Key);
  for (int I = 0; I < 3500; ++I)
    World.claim("a", World.key());
  World.Sendable_ = 1;
  World.handOver("b");
  CHECK(World.at("a").isHandingOver("d-0"));
  for (int I = 0; I < 6; ++I) {
    World.Sendable_ = 1;
    World.run(std::chrono::milliseconds(50));
  }
  CHECK(!World.at("a").isHandingOver("d-0"));
  World.acquire("b");
  CHECK(World.at("b").tableSize() == 3501);
}

TEST_CASE("An end that the former owner heard during the handover reaches the "
          "next owner") {
  ClaimWorld World({"a", "b", "c"});
  std::string Key = World.key();
  REQUIRE(World.claimNow("c", Key) == ClaimVerdict::Granted);
  World.handOver("b");
  World.at("c").finish(Key, ClaimEnd::Ran);
  World.deliverAll();
  World.acquire("b");
  World.run(std::chrono::seconds(2));
  CHECK(World.claimNow("a", Key) == ClaimVerdict::AlreadyRan);
}

TEST_CASE("A grant that arrives after its caller was refused does not run") {
  ClaimWorld World({"a", "b"});
  std::string Key = World.key();
  World.claim("b", Key);
  World.deliver();
  ClaimWorld::Packet Late = World.Queue_.front();
  World.lose();
  for (int I = 0; I < 50; ++I) {
    World.Clock_.advance(std::chrono::milliseconds(50));
    World.tick();
    World.Queue_.clear();
  }
  REQUIRE(World.Verdicts_ == std::vector{ClaimVerdict::Unknown});
  World.Queue_.push_back(Late);
  World.deliver();
  CHECK(World.Grants_.empty());
}
