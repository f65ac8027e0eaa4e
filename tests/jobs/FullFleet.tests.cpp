#include "jobs/FullFleet.h"

#include <doctest/doctest.h>

namespace crocuslead::jobs::test {

namespace {

using std::chrono::seconds;

//! The platform's rule on sizes: the largest jobs of a kind, and those below
//! them, are served at least half as often as the kind.
void requireServedAlike(const FullFleet &Fleet, const char *Queue) {
  for (const std::string &Violation : Fleet.World_.Oracle_.Violations_)
    FAIL_CHECK(Violation);
  INFO(Fleet.report());
  Outcome Result = Fleet.outcome(Queue);
  double Least = Result.All_.servedShare() / 2;
  CHECK(Result.LargestTenth_.servedShare() >= Least);
  CHECK(Result.NextFifth_.servedShare() >= Least);
}

//! A fleet after a burst, optionally with flapping workers.
struct BurstFleet : FullFleet {
  BurstFleet(double Factor, double FlappingShare) : FullFleet(3) {
    run(seconds(4));
    if (FlappingShare > 0)
      startFlapping(FlappingShare, seconds(2));
    run(seconds(14), Factor);
    stopFlapping();
    run(seconds(6));
    settle(seconds(8));
  }
};

} // namespace

TEST_CASE("The largest jobs are not starved by a burst on a full fleet") {
  BurstFleet Fleet(2.8, 0);
  requireServedAlike(Fleet, FullFleet::Confirmations);
}

TEST_CASE("The largest best-effort jobs are not starved by a burst") {
  BurstFleet Fleet(2.8, 0);
  requireServedAlike(Fleet, FullFleet::Plans);
}

TEST_CASE("The largest jobs are not starved by a burst and flapping workers") {
  BurstFleet Fleet(2.2, 0.12);
  requireServedAlike(Fleet, FullFleet::Confirmations);
  requireServedAlike(Fleet, FullFleet::Plans);
}

} // namespace crocuslead::jobs::test
