#include "Figures.h"
#include "RouteSim.h"

#include "base/Hash.h"

#include <string>

namespace crocuslead::bench {

namespace {

using route::PickPolicy;

struct PolicyRow {
  PickPolicy Policy_;
  const char *Name_;
};

constexpr PolicyRow Baselines[] = {
    {PickPolicy::RoundRobin, "round-robin"},
    {PickPolicy::LeastOutstanding, "least-outstanding"},
    {PickPolicy::TwoChoices, "two-choices"},
};

struct QuantileRow {
  double Share_;
  const char *Name_;
};

constexpr QuantileRow Quantiles[] = {
    {0.5, "p50"}, {0.99, "p99"}, {0.999, "p99.9"}};

constexpr double RetryTarget = 0.1;

//! Every 3 s another 15% of the upstreams are five times as slow.
double noisyWave(int Upstream, double Second) {
  auto Wave = static_cast<uint64_t>(Second / 3);
  uint64_t Draw = base::stableHash(std::to_string(Upstream), Wave + Seed) % 100;
  return Draw < 15 ? 5 : 1;
}

double oneSlow(int Upstream, double) { return Upstream == 12 ? 10 : 1; }

RouteOutcome simulate(const RouteScenario &Scenario) {
  return RouteSim(Scenario).run();
}

void latencyFigures(const std::string &Name, RouteScenario Scenario) {
  std::string Prefix =
      "route." + Name + "." + std::to_string(Scenario.Routers_) + "-routers.";
  RouteOutcome Own = simulate(Scenario);
  for (const PolicyRow &Row : Baselines) {
    Scenario.Pick_ = Row.Policy_;
    RouteOutcome Other = simulate(Scenario);
    for (const QuantileRow &Q : Quantiles)
      emit({Prefix + Q.Name_, Own.quantileMs(Q.Share_), "ms", std::nullopt,
            Better::Lower, Other.quantileMs(Q.Share_), Row.Name_});
  }
  emit(
      {Prefix + "retries-and-hedges",
       static_cast<double>(Own.Sends_) / static_cast<double>(Own.Requests_) - 1,
       "share of requests",
       RetryTarget,
       Better::Lower,
       std::nullopt,
       {}});
  emit({Prefix + "most-in-flight",
        static_cast<double>(Own.MostInFlight_),
        "attempts on an upstream",
        8,
        Better::Lower,
        std::nullopt,
        {}});
}

void goodputFigures(int Routers) {
  for (double Load : {1.0, 1.5, 2.0, 4.0}) {
    RouteScenario Scenario;
    Scenario.Routers_ = Routers;
    Scenario.Load_ = Load;
    Scenario.Seconds_ = 10;
    Scenario.Deadline_ = std::chrono::seconds(1);
    RouteOutcome Out = simulate(Scenario);
    char Name[64];
    std::snprintf(Name, sizeof(Name), "route.goodput.%d-routers.load-%.1f",
                  Routers, Load);
    emit({Name,
          static_cast<double>(Out.Good_) / Scenario.Seconds_ / routeCapacity(),
          "share of capacity",
          std::nullopt,
          Better::Higher,
          std::nullopt,
          {}});
  }
}

void outageFigures() {
  RouteScenario Scenario;
  Scenario.Load_ = 0.5;
  Scenario.Seconds_ = 50;
  Scenario.OutageFrom_ = 10;
  Scenario.OutageTo_ = 20;
  for (bool Hangs : {false, true}) {
    Scenario.OutageHangs_ = Hangs;
    RouteOutcome Out = simulate(Scenario);
    std::string Name = Hangs ? "route.hanging-outage." : "route.outage.";
    emit({Name + "retries",
          static_cast<double>(Out.OutageRetries_) /
              static_cast<double>(Out.OutageRequests_),
          "share of requests",
          RetryTarget,
          Better::Lower,
          std::nullopt,
          {}});
    emit({Name + "answered-afterwards",
          static_cast<double>(Out.AfterGood_) /
              static_cast<double>(Out.AfterRequests_),
          "share of requests",
          std::nullopt,
          Better::Higher,
          std::nullopt,
          {}});
  }
}

double bytesPerThousand(const RouteOutcome &Out) {
  return static_cast<double>(Out.CrossBytes_) * 1000 /
         static_cast<double>(Out.Requests_);
}

double answeredShare(const RouteOutcome &Out) {
  return static_cast<double>(Out.Good_) / static_cast<double>(Out.Requests_);
}

void regionFigures() {
  for (const char *Out : {"", "ibadan"}) {
    RouteScenario Scenario;
    Scenario.DomainOut_ = Out;
    RouteOutcome Own = simulate(Scenario);
    Scenario.SlotsByRegion_ = false;
    RouteOutcome Plain = simulate(Scenario);
    Scenario.RegionBlind_ = true;
    RouteOutcome Blind = simulate(Scenario);
    std::string Name = std::string("route.cross-region-bytes.") +
                       (*Out == '\0' ? "all-domains" : "one-domain-out");
    emit({Name, bytesPerThousand(Own), "bytes per 1000 requests", std::nullopt,
          Better::Lower, bytesPerThousand(Blind), "regions ignored"});
    emit({Name + ".answered", answeredShare(Own), "share of requests",
          std::nullopt, Better::Higher, answeredShare(Plain),
          "slots divided without regard to regions"});
    emit({Name, bytesPerThousand(Own), "bytes per 1000 requests", std::nullopt,
          Better::Lower, bytesPerThousand(Plain),
          "slots divided without regard to regions"});
  }
}

void costFigure() {
  for (int Routers : {8, 1}) {
    RouteScenario Scenario;
    Scenario.Routers_ = Routers;
    RouteOutcome Out = simulate(Scenario);
    emit({"route.cost." + std::to_string(Routers) + "-routers",
          Out.RouterSeconds_ * 1e6 / static_cast<double>(Out.Requests_),
          "us per request",
          std::nullopt,
          Better::Lower,
          std::nullopt,
          {}});
  }
}

} // namespace

void routeFigures() {
  for (int Routers : {8, 1}) {
    RouteScenario Scenario;
    Scenario.Routers_ = Routers;
    Scenario.Slowness_ = noisyWave;
    latencyFigures("noisy-wave", Scenario);
    Scenario.Slowness_ = oneSlow;
    latencyFigures("one-slow", Scenario);
    goodputFigures(Routers);
  }
  outageFigures();
  regionFigures();
  costFigure();
}

} // namespace crocuslead::bench
