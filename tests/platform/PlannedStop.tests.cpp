#include "platform/PlannedStop.h"

#include <doctest/doctest.h>

namespace crocuslead::platform::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto GracePeriod = seconds(6);

struct Stopping {
  Stopping() { Stop_.begin(GracePeriod); }

  base::ManualClock Clock_;
  PlannedStop Stop_{Clock_};
};

} // namespace

TEST_CASE_FIXTURE(Stopping,
                  "An instance resigns once all changes are durable") {
  CHECK_FALSE(Stop_.mustResign(false));
  Clock_.advance(milliseconds(100));
  CHECK(Stop_.mustResign(true));
  CHECK_FALSE(Stop_.mustResign(true));
}

// Guards against a planned stop that ends like a crash: with constant commits
// there is always a change to write.
TEST_CASE_FIXTURE(Stopping, "An instance whose changes never are all durable "
                            "resigns well before it ends") {
  Clock_.advance(milliseconds(1000));
  CHECK(Stop_.mustResign(false));
}

TEST_CASE_FIXTURE(Stopping, "An instance does not end before its resignation "
                            "is answered") {
  REQUIRE(Stop_.mustResign(true));
  Clock_.advance(seconds(4));
  CHECK_FALSE(Stop_.mayEnd(0));
  Stop_.resignationDone();
  CHECK(Stop_.mayEnd(0));
}

TEST_CASE_FIXTURE(Stopping, "An instance ends once it is quiet, and before it "
                            "is killed in any case") {
  REQUIRE(Stop_.mustResign(true));
  Stop_.resignationDone();
  Clock_.advance(milliseconds(2'600));
  CHECK_FALSE(Stop_.mayEnd(1));
  Clock_.advance(milliseconds(400));
  CHECK_FALSE(Stop_.mayEnd(0));
  Clock_.advance(milliseconds(200));
  CHECK(Stop_.mayEnd(0));
  Stopping Busy;
  Busy.Clock_.advance(milliseconds(5'301));
  CHECK(Busy.Stop_.mayEnd(7));
}

TEST_CASE("A short grace period leaves time between resignation and end") {
  base::ManualClock Clock;
  PlannedStop Stop(Clock);
  Stop.begin(milliseconds(1'500));
  Clock.advance(milliseconds(400));
  CHECK(Stop.mustResign(false));
  CHECK_FALSE(Stop.mayEnd(0));
}

// Guards against a coordinator that stops renewing leases for a resignation
// that cannot reach the store.
TEST_CASE_FIXTURE(Stopping, "While the store is out, an instance keeps its "
                            "leadership until shortly before its end") {
  constexpr auto OutSince = milliseconds(600);
  CHECK_FALSE(Stop_.mustResign(true, OutSince));
  for (int I = 0; I < 42; ++I) {
    Clock_.advance(milliseconds(100));
    CHECK_FALSE(Stop_.mustResign(true, OutSince + Stop_.elapsed()));
    CHECK_FALSE(Stop_.mustResign(false, OutSince + Stop_.elapsed()));
    CHECK_FALSE(Stop_.mayEnd(0));
  }
  Clock_.advance(milliseconds(100));
  CHECK(Stop_.mustResign(false, OutSince + Stop_.elapsed()));
  Clock_.advance(milliseconds(1'000));
  CHECK_FALSE(Stop_.mayEnd(0));
  Clock_.advance(milliseconds(1));
  CHECK(Stop_.mayEnd(0));
}

TEST_CASE_FIXTURE(Stopping, "An instance resigns as soon as the store has "
                            "answered again") {
  Clock_.advance(milliseconds(3'000));
  CHECK_FALSE(Stop_.mustResign(false, milliseconds(3'600)));
  SUBCASE("with all changes durable") {
    CHECK(Stop_.mustResign(true, milliseconds(40)));
  }
  SUBCASE("with changes that are not durable") {
    CHECK(Stop_.mustResign(false, milliseconds(40)));
  }
}

// Under load there are always changes that are not durable.
TEST_CASE_FIXTURE(Stopping, "Changes that are not durable are no outage of the "
                            "store") {
  Clock_.advance(milliseconds(999));
  CHECK_FALSE(Stop_.mustResign(false, milliseconds(40)));
  Clock_.advance(milliseconds(1));
  CHECK(Stop_.mustResign(false, milliseconds(40)));
}

TEST_CASE_FIXTURE(Stopping, "A store that takes long to answer is not out") {
  Clock_.advance(milliseconds(2'000));
  CHECK(Stop_.mustResign(true, milliseconds(1'200)));
}

TEST_CASE("With a short grace period an instance resigns at half of it while "
          "the store is out") {
  base::ManualClock Clock;
  PlannedStop Stop(Clock);
  Stop.begin(milliseconds(1'500));
  Clock.advance(milliseconds(399));
  CHECK_FALSE(Stop.mustResign(true, seconds(2)));
  Clock.advance(milliseconds(1));
  CHECK(Stop.mustResign(true, seconds(2)));
}

} // namespace crocuslead::platform::test
