#include "base/LogBudget.h"

#include <doctest/doctest.h>

namespace crocuslead::base {

namespace {
constexpr TimePoint Start{std::chrono::hours(1)};
}

TEST_CASE("A log budget bounds the lines and counts those it drops") {
  LogBudget Budget(10, 5);
  int Taken = 0;
  for (int I = 0; I < 100; ++I)
    Taken += Budget.take(Start, false) ? 1 : 0;
  CHECK(Taken == 5);
  CHECK(Budget.takeDropped(Start) == 0);
  CHECK(Budget.takeDropped(Start + std::chrono::seconds(1)) == 95);
  CHECK(Budget.takeDropped(Start + std::chrono::seconds(2)) == 0);
}

// Guards against a report of dropped lines for each line that is written while
// the log is at its limit.
TEST_CASE("Dropped lines are told once a second") {
  LogBudget Budget(1000, 5);
  int Reports = 0;
  for (int Ms = 0; Ms < 5000; ++Ms) {
    TimePoint Now = Start + std::chrono::milliseconds(Ms);
    for (int I = 0; I < 3; ++I)
      Budget.take(Now, false);
    Reports += Budget.takeDropped(Now) > 0 ? 1 : 0;
  }
  CHECK(Reports <= 5);
}

// Guards against warnings that are lost in a flood of ordinary lines.
TEST_CASE("Important lines are written when ordinary ones are dropped") {
  LogBudget Budget(10, 5);
  while (Budget.take(Start, false)) {
  }
  int Taken = 0;
  for (int I = 0; I < 100; ++I)
    Taken += Budget.take(Start, true) ? 1 : 0;
  CHECK(Taken == 5);
}

} // namespace crocuslead::base
