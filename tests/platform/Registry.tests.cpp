#include "platform/Registry.h"

#include "app/FakeStore.h"

#include <doctest/doctest.h>

namespace crocuslead::platform::test {

namespace {

using std::chrono::milliseconds;

std::string entry(const std::string &Address, const std::string &State) {
  return R"({"service":"desk","address":")" + Address +
         R"(","zone":"z","state":")" + State +
         R"(","room":{"cpu":16000,"memory_limit_mb":64000}})";
}

//! The registry of a coordinator that follows the store.
struct WatchedRegistry {
  explicit WatchedRegistry(int Workers) {
    for (int I = 0; I < Workers; ++I)
      Store_.put(key(I), entry("10.0.0." + std::to_string(I) + ":80", "ready"));
    Registry_.setHooks({nullptr, nullptr, [this] { ++Changes_; }});
    Registry_.watchWorkers(true);
    run();
  }

  static std::string key(int Worker) {
    return Registry::WorkersPrefix + std::string("w") + std::to_string(Worker);
  }
  void run() {
    for (int I = 0; I < 20; ++I) {
      Store_.run();
      Registry_.tick();
      Clock_.advance(milliseconds(10));
    }
  }

  base::ManualClock Clock_;
  tests::FakeStore Store_;
  Registry Registry_{Store_, Clock_};
  int Changes_ = 0;
};

} // namespace

TEST_CASE("Workers that leave between two ticks are all removed") {
  WatchedRegistry World(4);
  REQUIRE(World.Registry_.workers().size() == 4);
  World.Store_.txn({{},
                    {},
                    {{WatchedRegistry::key(0), ""},
                     {WatchedRegistry::key(1), ""},
                     {WatchedRegistry::key(2), ""}}},
                   [](const auto &) {});
  World.run();
  CHECK(World.Registry_.workers().size() == 1);
  CHECK(World.Registry_.workers().count("w3") == 1);
}

TEST_CASE("Entries that became unreadable between two ticks are all removed") {
  WatchedRegistry World(3);
  World.Store_.put(WatchedRegistry::key(0), "?");
  World.Store_.put(WatchedRegistry::key(1), entry("10.0.0.1:80", "lost"));
  World.run();
  CHECK(World.Registry_.workers().size() == 1);
  CHECK(World.Registry_.workers().count("w2") == 1);
}

// Guards against readers that end or stop following the list.
TEST_CASE("Odd entries of another writer name no worker, the others hold") {
  std::string Nested(200'000, '[');
  std::string NestedField = entry("10.0.0.9:80", "ready");
  NestedField.insert(1, R"("labels":)" + std::string(7'000, '[') +
                            std::string(7'000, ']') + ",");
  auto WithRoom = [](const std::string &Cpu) {
    return R"({"service":"desk","address":"10.0.0.9:80","zone":"z",)"
           R"("state":"ready","room":{"cpu":)" +
           Cpu + R"(,"memory_limit_mb":64000}})";
  };
  auto WithBorn = [](const std::string &Born) {
    std::string Out = entry("10.0.0.9:80", "ready");
    return Out.insert(1, R"("born":)" + Born + ",");
  };
  for (const std::string &Odd :
       {Nested, NestedField, std::string(900'000, '7'), WithRoom("1e999"),
        WithRoom("9223372036854775807"), WithRoom("99999999999999999999"),
        WithRoom("-1"), WithBorn("9223372036854775807"), WithBorn("-5"),
        entry("10.0.0.9:99999", "ready"), entry("10.0.0.9:0", "ready"),
        entry("10.0.0.9:-1", "ready"), entry("10.0.0.9", "ready"),
        entry("some.host:80", "ready"), entry("10.0.0.9:80/x", "ready"),
        entry("", "ready"), std::string("\xff\xfe\x00", 3)}) {
    CAPTURE(Odd.substr(0, 80));
    WatchedRegistry World(2);
    World.Store_.put("servers/odd", Odd);
    World.run();
    CHECK(World.Registry_.workers().size() == 2);
    // It is also read again with all others.
    World.Registry_.reload();
    World.run();
    CHECK(World.Registry_.workersLoaded());
    CHECK(World.Registry_.workers().size() == 2);
    // A worker whose entry was overwritten is back with its next report.
    World.Store_.put(WatchedRegistry::key(0), Odd);
    World.run();
    CHECK(World.Registry_.workers().size() == 1);
    World.Store_.put(WatchedRegistry::key(0), entry("10.0.0.0:80", "ready"));
    World.Store_.put(WatchedRegistry::key(2), entry("10.0.0.2:80", "ready"));
    World.run();
    CHECK(World.Registry_.workers().size() == 3);
  }
}

TEST_CASE("A worker's capacity that shrinks is passed on") {
  WatchedRegistry World(1);
  int Before = World.Changes_;
  std::string Shrunk = entry("10.0.0.0:80", "ready");
  Shrunk.replace(Shrunk.find("16000"), 5, "8000");
  World.Store_.put(WatchedRegistry::key(0), Shrunk);
  World.run();
  CHECK(World.Changes_ > Before);
  CHECK(World.Registry_.workers().at("w0").Capacity_.MilliCpu_ == 8'000);
}

} // namespace crocuslead::platform::test
