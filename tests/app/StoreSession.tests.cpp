#include "app/StoreSession.h"
#include "FakeStore.h"
#include "Parts.h"

#include <doctest/doctest.h>

namespace {

using namespace crocuslead;
using namespace crocuslead::tests;

struct SessionWorld : Parts {
  SessionWorld() : Parts("a") {
    setDomain("in-service");
    Session_.setHooks({[this] { ++Changes_; }, [] {}, [](base::TimePoint) {},
                       [this] { ++LeasesLost_; }, [] {}});
    run(std::chrono::seconds(1));
  }

  //! Changes the configuration as an operator does.
  void setDomain(const std::string &State) {
    store::Txn Change;
    Change.Puts_ = {{config::DomainsKey,
                     R"({"d":{"region":"r","state":")" + State + "\"}}", 0},
                    {app::VersionKey, config::DomainsKey, 0}};
    Store_.txn(Change, [](const auto &) {});
  }
  void setTemplate(const std::string &Value) {
    store::Txn Change;
    Change.Puts_ = {{"/crocuslead/config/templates/t", Value, 0},
                    {app::VersionKey, "t", 0}};
    Store_.txn(Change, [](const auto &) {});
  }
  void setOwner(const std::string &Instance) {
    Store_.put("/crocuslead/owners/d-0",
               R"({"instance":")" + Instance + R"(","incarnation":"i"})");
  }
  std::string owner() const {
    auto Found = Session_.owners().find("d-0");
    return Found == Session_.owners().end() ? "" : Found->second.Instance_;
  }
  bool inService() const {
    return Session_.config().configuration().Domains_.at("d").State_ ==
           config::DomainState::InService;
  }
  void run(base::Duration Length) {
    for (base::Duration Passed{}; Passed < Length;
         Passed += std::chrono::milliseconds(100)) {
      Clock_.advance(std::chrono::milliseconds(100));
      Session_.tick();
      Store_.run();
    }
  }

  FakeStore Store_;
  app::StoreSession Session_{Shared_, Store_};
  int Changes_ = 0;
  int LeasesLost_ = 0;
};

} // namespace

TEST_CASE("A watched change is in force at once") {
  SessionWorld World;
  REQUIRE(World.inService());
  World.setDomain("out");
  World.Store_.run();
  CHECK(!World.inService());
}

TEST_CASE("A lost watch event is found by the poll within 5 s") {
  SessionWorld World;
  World.Store_.LoseEvents_ = true;
  World.setDomain("out");
  World.run(std::chrono::milliseconds(4900));
  CHECK(!World.inService());
}

TEST_CASE("A lost event is found although a later event arrived") {
  SessionWorld World;
  World.Store_.LoseEvents_ = true;
  World.setDomain("out");
  World.Store_.LoseEvents_ = false;
  World.setTemplate(R"({"name":"t","service":"s"})");
  World.run(std::chrono::milliseconds(4900));
  CHECK(!World.inService());
}

TEST_CASE("A lost event is found within 5 s when one poll fails") {
  SessionWorld World;
  World.Store_.LoseEvents_ = true;
  World.setDomain("out");
  while (World.Store_.waiting() > 0)
    World.Store_.runOne();
  World.Store_.FailReadsOf_ = app::VersionKey;
  int Before = World.Store_.Reads_;
  while (World.Store_.Reads_ == Before)
    World.run(std::chrono::milliseconds(100));
  World.Store_.FailReadsOf_.clear();
  World.run(std::chrono::milliseconds(2900));
  CHECK(!World.inService());
}

TEST_CASE("An owner change is found when the watch is dead") {
  SessionWorld World;
  World.setOwner("b");
  World.Store_.run();
  REQUIRE(World.owner() == "b");
  World.Store_.LoseEvents_ = true;
  World.setOwner("c");
  World.run(std::chrono::seconds(15));
  CHECK(World.owner() == "c");
}

TEST_CASE("A dead watch is replaced once it is found") {
  SessionWorld World;
  World.Store_.cutWatches();
  World.setDomain("out");
  World.run(std::chrono::seconds(5));
  World.setDomain("in-service");
  World.Store_.run();
  CHECK(World.inService());
}

TEST_CASE("An old full read does not undo newer owner events") {
  SessionWorld World;
  World.setOwner("b");
  World.Store_.run();
  World.Session_.refresh();
  auto OldRead = World.Store_.takeAnswer();
  World.setOwner("c");
  World.Store_.run();
  REQUIRE(World.owner() == "c");
  OldRead();
  CHECK(World.owner() == "c");
}

TEST_CASE("A refresh during a read reads again") {
  SessionWorld World;
  World.Store_.LoseEvents_ = true;
  World.Session_.refresh();
  World.setDomain("out");
  World.Session_.refresh();
  World.Store_.run();
  CHECK(!World.inService());
}

TEST_CASE("A peer's older push does not revert the configuration") {
  SessionWorld World;
  config::VersionedEntry Old{
      config::DomainsKey, World.Store_.find(config::DomainsKey)->Value_,
      World.Store_.find(config::DomainsKey)->ModRevision_, false};
  World.setDomain("out");
  World.Store_.run();
  World.Session_.applyPeerConfig({Old});
  CHECK(!World.inService());
}

TEST_CASE("A lost lease is reported and replaced by a new one") {
  SessionWorld World;
  int64_t First = World.Session_.lease();
  REQUIRE(First != 0);
  World.Store_.endLease(First);
  World.run(std::chrono::seconds(6));
  CHECK(World.LeasesLost_ == 1);
  CHECK(World.Session_.lease() > First);
}

TEST_CASE("A lease grant whose answer was lost is repeated") {
  Parts World("a");
  FakeStore Store;
  app::StoreSession Session(World.Shared_, Store);
  Store.LoseAnswers_ = 1;
  for (int I = 0; I < 10; ++I) {
    World.Clock_.advance(std::chrono::milliseconds(100));
    Session.tick();
    Store.run();
  }
  CHECK(Session.lease() == 2);
}
