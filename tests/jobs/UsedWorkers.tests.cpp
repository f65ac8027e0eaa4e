#include "jobs/internal/UsedWorkers.h"

#include <doctest/doctest.h>

namespace crocuslead::jobs::internal::test {

TEST_CASE("Used workers are read as they were written") {
  auto Read =
      decodeUsedWorkers(encodeUsedWorkers({{"w1", "a:1", 7, false, false},
                                           {"w2", "b:1", 8, true, false},
                                           {"w3", "c:1", 9, false, true}}));
  REQUIRE(Read.size() == 3);
  CHECK(Read[0].Address_ == "a:1");
  CHECK_FALSE(Read[0].RunsAbandoned_);
  CHECK(Read[1].MayHoldLongestLease_);
  CHECK_FALSE(Read[1].RunsAbandoned_);
  CHECK(Read[2].RunsAbandoned_);
  CHECK(Read[2].StartTimeMs_ == 9);
}

TEST_CASE("A record of an earlier version has rows without flags") {
  auto Read = decodeUsedWorkers(R"([["w1","a:1",7]])");
  REQUIRE(Read.size() == 1);
  CHECK_FALSE(Read[0].MayHoldLongestLease_);
}

// Guards against an exception that ends the process during a takeover.
TEST_CASE("An unreadable row of the record of used workers is left out") {
  auto Read = decodeUsedWorkers(
      R"([["w1","a:1",7],[1,2,3],"x",["w2","b:1","9"],["w3"],{}])");
  CHECK(Read.size() == 1);
  CHECK(decodeUsedWorkers("{").empty());
  CHECK(decodeUsedWorkers("{}").empty());
}

} // namespace crocuslead::jobs::internal::test
