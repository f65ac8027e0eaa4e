#include "chart/Chart.h"

#include <doctest/doctest.h>

using crocuslead::chart::Chart;
using crocuslead::chart::embeddedChart;

// Guards against a state that is never entered or never left, and against an
// event that a state silently drops (parse() refuses such a chart).
TEST_CASE(
    "every embedded chart has reachable states, ways out and complete rules") {
  for (const char *Name : {"task", "partition_lease", "request", "upstream"}) {
    CAPTURE(Name);
    auto Parsed = Chart::parse(std::string(embeddedChart(Name)));
    REQUIRE(Parsed.has_value());
    CHECK(Parsed->unreachableStates().empty());
    CHECK(Parsed->trappedStates().empty());
  }
}

TEST_CASE("a chart that drops an event is refused") {
  auto Parsed = Chart::parse(
      "name: x\ninitial: a\nfinal: [b]\nevents: [go, stop]\n"
      "states:\n  a:\n    on: {go: b}\n  b:\n    refuse: [go, stop]\n");
  CHECK_FALSE(Parsed.has_value());
}

TEST_CASE("a chart with an unreachable or trapped state names it") {
  auto Parsed =
      Chart::parse("name: x\ninitial: a\nfinal: [b]\nevents: [go]\n"
                   "states:\n  a:\n    on: {go: b}\n  b:\n    refuse: [go]\n"
                   "  c:\n    on: {go: c}\n");
  REQUIRE(Parsed.has_value());
  CHECK(Parsed->unreachableStates() == std::vector<std::string>{"c"});
  CHECK(Parsed->trappedStates() == std::vector<std::string>{"c"});
}
