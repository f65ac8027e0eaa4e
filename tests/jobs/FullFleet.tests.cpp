#include "jobs/FullFleet.h"

#include <doctest/doctest.h>

namespace crocuslead::jobs::test {

namespace {

using std::chrono::seconds;

//! The platform's rule on sizes: the largest jobs of a kind, and those below
//! them, are served at least half as often as the kind.
void requireServedAlike(const FullFleet &Fleet) {
  for (const std::string &Violation : Fleet.World_.Oracle_.Violations_)
    FAIL_CHECK(Violation);
  INFO(Fleet.report());
  for (const char *Queue : {FullFleet::Confirmations, FullFleet::Plans}) {
    Outcome Result = Fleet.outcome(Queue);
    double Least = Result.All_.servedShare() / 2;
    CHECK(Result.LargestTenth_.servedShare() >= Least);
    CHECK(Result.NextFifth_.servedShare() >= Least);
  }
}

} // namespace

TEST_CASE("The largest jobs are not starved by a burst on a full fleet") {
  FullFleet Fleet(3);
  Fleet.run(seconds(4));
  Fleet.run(seconds(14), 2.8);
  Fleet.run(seconds(6));
  Fleet.settle(seconds(8));
  requireServedAlike(Fleet);
}

TEST_CASE("The largest jobs are not starved by a burst and flapping workers") {
  FullFleet Fleet(3);
  Fleet.run(seconds(4));
  Fleet.startFlapping(0.12, seconds(2));
  Fleet.run(seconds(14), 2.2);
  Fleet.stopFlapping();
  Fleet.run(seconds(6));
  Fleet.settle(seconds(8));
  requireServedAlike(Fleet);
}

} // namespace crocuslead::jobs::test
