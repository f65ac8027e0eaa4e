#include "base/Metrics.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace crocuslead::base;

TEST_CASE("the dump has the text exposition format") {
  MetricsRegistry All;
  All.counter("requests_total", "Requests.", {{"code", "200"}}).add(3);
  All.counter("requests_total", "Requests.", {{"code", "a\"b\\c\nd"}}).add();
  All.gauge("load", "Line\nbreak").set(0.5);
  All.beforeDump([&] { All.gauge("load", "").add(1); });
  CHECK(All.dump() == "# HELP load Line\\nbreak\n"
                      "# TYPE load gauge\n"
                      "load 1.5\n"
                      "# HELP requests_total Requests.\n"
                      "# TYPE requests_total counter\n"
                      "requests_total{code=\"200\"} 3\n"
                      "requests_total{code=\"a\\\"b\\\\c\\nd\"} 1\n");
  CHECK_THROWS_AS(All.gauge("requests_total", ""), std::logic_error);
}

// Scrapers reject buckets that are not cumulative or miss the last bound.
TEST_CASE("a histogram dumps cumulative buckets, sum and count") {
  MetricsRegistry All;
  auto &Latency = All.histogram("wait_seconds", "Waiting.", {{"kind", "x"}});
  for (auto D : {Duration(0), Duration(50), Duration(150'000),
                 Duration(std::chrono::hours(1))})
    Latency.record(D);
  std::string Text = All.dump();
  auto Has = [&](const char *Line) {
    CHECK_MESSAGE(Text.find(Line) != std::string::npos, Text);
  };
  Has("# TYPE wait_seconds histogram\n");
  Has("wait_seconds_bucket{kind=\"x\",le=\"0.0001\"} 2\n");
  Has("wait_seconds_bucket{kind=\"x\",le=\"0.1\"} 2\n");
  Has("wait_seconds_bucket{kind=\"x\",le=\"1\"} 3\n");
  Has("wait_seconds_bucket{kind=\"x\",le=\"100\"} 3\n");
  Has("wait_seconds_bucket{kind=\"x\",le=\"+Inf\"} 4\n");
  Has("wait_seconds_sum{kind=\"x\"} 3600.15005\n");
  Has("wait_seconds_count{kind=\"x\"} 4\n");
  CHECK(std::count(Text.begin(), Text.end(), '\n') == 2 + 25 + 1 + 2);
}

TEST_CASE("a quantile is the true one within 12 percent") {
  CHECK(rc::check("quantile", [] {
    auto Values = *rc::gen::nonEmpty(rc::gen::container<std::vector<int64_t>>(
        rc::gen::inRange<int64_t>(100, 99'000'000)));
    double Part = *rc::gen::inRange(1, 101) / 100.0;
    LatencyHistogram Latency;
    for (int64_t V : Values)
      Latency.record(Duration(V));
    std::sort(Values.begin(), Values.end());
    auto Rank = static_cast<std::size_t>(
        std::ceil(Part * static_cast<double>(Values.size())));
    auto True = static_cast<double>(Values[std::max<std::size_t>(1, Rank) - 1]);
    auto Got = static_cast<double>(Latency.quantile(Part).count());
    RC_ASSERT(Got >= True);
    RC_ASSERT(Got <= True * 1.125 + 1);
  }));
  LatencyHistogram Latency;
  CHECK(Latency.quantile(0.99) == Duration(0));
  Latency.record(std::chrono::hours(1));
  CHECK(Latency.quantile(0.99) == std::chrono::seconds(100));
}

// Guards against memory that grows with the values of a label.
TEST_CASE("series above the limit share one") {
  MetricsRegistry All;
  for (std::size_t I = 0; I < MetricsRegistry::MaxSeries + 10; ++I)
    All.counter("x", "", {{"id", std::to_string(I)}}).add();
  CHECK(All.dump().find("x{overflow=\"true\"} 10\n") != std::string::npos);
}
