#include "app/PartitionHost.h"
#include "FakeStore.h"
#include "Parts.h"

#include <doctest/doctest.h>

namespace {

using namespace crocuslead;
using namespace crocuslead::tests;

struct NoWorkers final : cluster::WorkerGateway {
  void send(cluster::WorkerRequest /*Request*/, Callback /*Done*/) override {}
};

//! One instance on one partition, d-0.
struct HostWorld : Parts {
  HostWorld() : Parts("a") {
    Settings_.PartitionsPerDomain_ = 1;
    store::Txn Change;
    Change.Puts_ = {
        {config::DomainsKey, R"({"d":{"region":"r","state":"in-service"}})", 0},
        {app::VersionKey, config::DomainsKey, 0}};
    Store_.txn(Change, [](const auto &) {});
    Session_.setHooks(
        {[this] { Host_.configChanged(); }, [this] { Host_.ownersChanged(); },
         [this](base::TimePoint At) { Host_.leaseRenewed(At); },
         [this] { Host_.leaseLost(); }, [this] { Host_.storeRegained(); }});
    Host_.setLive({{"a", "r", true}});
  }

  void step() {
    Clock_.advance(std::chrono::milliseconds(50));
    Session_.tick();
    Claims_.tick();
    Host_.tick();
  }
  void run(base::Duration Length) {
    for (base::Duration Passed{}; Passed < Length;
         Passed += std::chrono::milliseconds(50)) {
      step();
      Store_.run();
    }
  }
  //! Runs until the acquisition has written its owner key.
  void runUntilOwnerKey() {
    for (int I = 0; I < 400 && !ownerKey(); ++I) {
      step();
      while (Store_.waiting() > 0 && !ownerKey())
        Store_.runOne();
    }
    REQUIRE(ownerKey());
  }
  bool ownerKey() const {
    return Store_.find("/crocuslead/owners/d-0") != nullptr;
  }
  //! The record of the leases was written for the next owner.
  bool handedOver() const {
    return Store_.find("/crocuslead/partitions/d-0/handover") != nullptr;
  }
  bool owns() const { return !Host_.ownedIds().empty(); }

  FakeStore Store_;
  NoWorkers Workers_;
  app::StoreSession Session_{Shared_, Store_};
  app::ClaimService Claims_{
      Shared_,
      {[](const std::string &, const link::Message &) { return false; },
       [this](const std::string &Id) { return Host_.ownerOf(Id); },
       [this] { return Host_.ownershipConfirmed(); }}};
  app::PartitionHost Host_{
      Shared_, Session_, Workers_, Claims_,
      [](const std::string &, const link::Message &) { return false; }};
};

} // namespace

TEST_CASE("A partition without an owner is acquired") {
  HostWorld World;
  World.run(std::chrono::seconds(8));
  CHECK(World.owns());
  CHECK(World.ownerKey());
}

TEST_CASE("An acquisition whose answer was lost is won") {
  HostWorld World;
  World.run(std::chrono::milliseconds(500));
  World.Store_.LoseAnswers_ = 1;
  World.run(std::chrono::seconds(8));
  CHECK(World.Store_.LoseAnswers_ == 0);
  CHECK(World.owns());
}

TEST_CASE("An owner key that could not be read back is not left behind") {
  HostWorld World;
  World.run(std::chrono::milliseconds(500));
  World.Store_.LoseAnswers_ = 1;
  World.Store_.FailReadsOf_ = "/crocuslead/owners/";
  World.runUntilOwnerKey();
  World.run(std::chrono::seconds(3));
  World.Store_.FailReadsOf_.clear();
  World.run(std::chrono::seconds(12));
  CHECK(World.owns());
}

TEST_CASE("A recovery that ends after the lease was replaced hosts nothing") {
  HostWorld World;
  World.Store_.FailReadsOf_ = app::PartitionPrefix;
  World.runUntilOwnerKey();
  World.Store_.run();
  // The process is paused until its lease has ended.
  World.Store_.endLease(World.Session_.lease());
  World.run(std::chrono::seconds(6));
  World.Store_.FailReadsOf_.clear();
  std::size_t Grants = 0;
  for (unsigned I = 0; I < 200; ++I) {
    World.step();
    World.Store_.run();
    if (World.owns())
      CHECK(World.ownerKey());
    Grants += World.owns() ? 1 : 0;
  }
  CHECK(Grants > 0);
}

TEST_CASE("A lost lease ends the partition and it is acquired again") {
  HostWorld World;
  World.run(std::chrono::seconds(8));
  REQUIRE(World.owns());
  int64_t First = World.Store_.find("/crocuslead/owners/d-0")->CreateRevision_;
  World.Store_.endLease(World.Session_.lease());
  World.run(std::chrono::seconds(6));
  World.run(std::chrono::seconds(10));
  REQUIRE(World.owns());
  CHECK(World.Store_.find("/crocuslead/owners/d-0")->CreateRevision_ > First);
  CHECK(!World.handedOver());
}

TEST_CASE("A drained instance deletes its owner key") {
  HostWorld World;
  World.run(std::chrono::seconds(8));
  REQUIRE(World.owns());
  World.Host_.beginDrain();
  World.run(std::chrono::seconds(8));
  CHECK(World.Host_.drained());
  CHECK(!World.ownerKey());
  CHECK(World.handedOver());
}

TEST_CASE("An owner key whose deletion failed in a yield is deleted later") {
  HostWorld World;
  World.run(std::chrono::seconds(8));
  REQUIRE(World.owns());
  World.Host_.beginDrain();
  World.Store_.LoseRequests_ = 1;
  World.run(std::chrono::seconds(8));
  CHECK(World.Store_.LoseRequests_ == 0);
  CHECK(World.Host_.drained());
  CHECK(!World.ownerKey());
}

TEST_CASE("A partition whose epoch another owner ended is given up") {
  HostWorld World;
  World.run(std::chrono::seconds(8));
  REQUIRE(World.owns());
  World.Store_.put("/crocuslead/owners/d-0",
                   R"({"instance":"b","incarnation":"x"})");
  World.run(std::chrono::seconds(4));
  CHECK(!World.owns());
  CHECK(World.Host_.ownerOf("d-0") == "b");
}
