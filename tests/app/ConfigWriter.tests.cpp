#include "app/ConfigWriter.h"
#include "FakeStore.h"
#include "Parts.h"

#include <doctest/doctest.h>

namespace {

using namespace crocuslead;
using namespace crocuslead::tests;

//! Two operators' instances on one store.
struct WriterWorld : Parts {
  WriterWorld() : Parts("a") {
    put(A_, "templates/t", R"({"name":"t","service":"s"})");
    put(A_, "domains", R"({"d":{"region":"r","state":"in-service"}})");
  }

  std::string key(const std::string &Name) const {
    return config::ConfigPrefix + Name;
  }
  void start(app::ConfigWriter &By, const std::string &Name,
             const std::string &Value) {
    By.put(key(Name), Value, {},
           [this](const app::CallAnswer &Answer) { note(Answer); });
  }
  int put(app::ConfigWriter &By, const std::string &Name,
          const std::string &Value) {
    start(By, Name, Value);
    Store_.run();
    return Statuses_.back();
  }
  void note(const app::CallAnswer &Answer) {
    Statuses_.push_back(Answer.Status_);
    Bodies_.push_back(Answer.Body_);
  }
  static std::string workspace(const std::string &Name,
                               const std::string &Share) {
    return R"({"name":")" + Name + R"(","template":"t","agreed_share":)" +
           Share + "}";
  }

  FakeStore Store_;
  app::StoreSession Session_{Shared_, Store_};
  app::ConfigWriter A_{Session_};
  app::ConfigWriter B_{Session_};
  std::vector<int> Statuses_;
  std::vector<std::string> Bodies_;
};

} // namespace

TEST_CASE("Two operators cannot together exceed the sum of agreed shares") {
  WriterWorld World;
  REQUIRE(World.Statuses_ == std::vector{200, 200});
  World.start(World.A_, "workspaces/x", World.workspace("x", "0.6"));
  World.start(World.B_, "workspaces/y", World.workspace("y", "0.6"));
  World.Store_.run();
  REQUIRE(World.Statuses_.size() == 4);
  CHECK(World.Statuses_[2] == 200);
  CHECK(World.Statuses_[3] == 400);
  CHECK(World.Bodies_[3].find("add up to 1.2") != std::string::npos);
  CHECK(World.Store_.find(World.key("workspaces/y")) == nullptr);
}

TEST_CASE("A change is repeated when only another key changed meanwhile") {
  WriterWorld World;
  World.start(World.A_, "workspaces/x", World.workspace("x", "0.5"));
  World.start(World.B_, "workspaces/y", World.workspace("y", "0.5"));
  World.Store_.run();
  CHECK(World.Statuses_ == std::vector{200, 200, 200, 200});
}

TEST_CASE("Two operators who change one key: one gets a conflict") {
  WriterWorld World;
  World.start(World.A_, "workspaces/x", World.workspace("x", "0.5"));
  World.start(World.B_, "workspaces/x", World.workspace("x", "0.4"));
  World.Store_.run();
  CHECK(World.Statuses_ == std::vector{200, 200, 200, 409});
}

TEST_CASE("A change from an old revision is a conflict") {
  WriterWorld World;
  World.A_.put(World.key("templates/t"), R"({"name":"t","service":"z"})", 1,
               [&](const app::CallAnswer &Answer) { World.note(Answer); });
  World.Store_.run();
  CHECK(World.Statuses_.back() == 409);
}

TEST_CASE("A write whose answer was lost is answered as accepted") {
  WriterWorld World;
  World.Store_.LoseAnswers_ = 1;
  CHECK(World.put(World.A_, "workspaces/x", World.workspace("x", "0.5")) ==
        200);
}

TEST_CASE("A write that may still arrive is not answered as without effect") {
  WriterWorld World;
  World.Store_.LoseRequests_ = 1;
  CHECK(World.put(World.A_, "workspaces/x", World.workspace("x", "0.5")) ==
        503);
  CHECK(World.Bodies_.back().find("outcome-unknown") != std::string::npos);
}

TEST_CASE("Nothing is changed while the store is down") {
  WriterWorld World;
  World.Store_.Down_ = true;
  CHECK(World.put(World.A_, "workspaces/x", World.workspace("x", "0.5")) ==
        503);
}

TEST_CASE("A failure domain is changed within the key of all domains") {
  WriterWorld World;
  World.A_.putDomain(
      "d", R"({"state":"out"})", {},
      [&](const app::CallAnswer &Answer) { World.note(Answer); });
  World.Store_.run();
  CHECK(World.Statuses_.back() == 200);
  CHECK(World.Store_.find(config::DomainsKey)->Value_.find("\"out\"") !=
        std::string::npos);
}
