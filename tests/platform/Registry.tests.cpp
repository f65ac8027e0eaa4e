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

} // namespace crocuslead::platform::test
