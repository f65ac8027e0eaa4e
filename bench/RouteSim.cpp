#include "RouteSim.h"

#include "Figures.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <map>

namespace crocuslead::bench {

namespace {

constexpr int UpstreamCount = 65;
constexpr int SlotCount = 8;
constexpr double ServiceMeanMs = 100;
//! Spread of the service time (sigma of the logarithm).
constexpr double ServiceSpread = 0.4;
//! Service time at full load of an upstream over that of an idle one, less 1.
constexpr double LoadSlowdown = 0.3;
constexpr int64_t SecondMicros = 1'000'000;
constexpr int64_t TickMicros = 5'000;
constexpr int64_t LendMicros = 2'000'000;
constexpr int64_t LendTermMicros = 5'000'000;
constexpr int64_t CancelMicros = 1'000;
constexpr int64_t ConnectFailMicros = 1'000;
constexpr int64_t AnswerBytes = 2'000;
constexpr int64_t BodyBytes = 500;
//! Framing and headers, as the router counts them.
constexpr int64_t OverheadBytes = 500;
constexpr int64_t SameDomainMicros = 100;
constexpr int64_t OtherDomainMicros = 1'000;
constexpr int64_t OtherRegionMicros = 60'000;

const char *const Domains[] = {"ibadan", "abeokuta", "makurdi"};
const char *const Regions[] = {"south-west", "south-west", "middle-belt"};

double normal(base::Random &Rng) {
  double U = std::max(Rng.unit(), 1e-12);
  return std::sqrt(-2 * std::log(U)) * std::cos(6.283185307179586 * Rng.unit());
}

} // namespace

double RouteOutcome::quantileMs(double Share) const {
  if (LatenciesMs_.empty())
    return 0;
  auto Index = static_cast<std::size_t>(
      Share * static_cast<double>(LatenciesMs_.size() - 1));
  return LatenciesMs_[Index];
}

double routeCapacity() {
  return UpstreamCount * SlotCount * 1000 /
         (ServiceMeanMs * (1 + LoadSlowdown));
}

RouteSim::RouteSim(const RouteScenario &Scenario)
    : Scenario_(Scenario), Rng_(Seed), InFlight_(UpstreamCount, 0) {
  buildFleet();
}

base::TimePoint RouteSim::now() const {
  return base::TimePoint(std::chrono::hours(1)) + base::Duration(Now_);
}

// Three failure domains in two regions; one router alone has them in one
// region.
int RouteSim::domainOf(int Router) const {
  constexpr int Order[] = {0, 1, 2, 0, 1, 2, 0, 1};
  return Order[Router % 8];
}

const char *RouteSim::regionOf(int Domain) const {
  return Scenario_.Routers_ == 1 ? Regions[0] : Regions[Domain];
}

// Callers are divided over the regions as the upstreams are.
int RouteSim::pickRouter() {
  int Domain = static_cast<int>(Rng_.below(UpstreamCount)) % 3;
  std::vector<int> Near;
  for (int I = 0; I < Scenario_.Routers_; ++I)
    if (std::string(regionOf(domainOf(I))) == regionOf(Domain))
      Near.push_back(I);
  return Near[Rng_.below(Near.size())];
}

void RouteSim::buildFleet() {
  for (int I = 0; I < UpstreamCount; ++I) {
    route::UpstreamInfo U;
    U.Id_ = "u" + std::to_string(I);
    U.Domain_ = Domains[I % 3];
    U.Region_ = Scenario_.RegionBlind_ ? "all" : regionOf(I % 3);
    U.Services_ = {"visit-desk"};
    Upstreams_.push_back(U);
  }
  std::vector<std::string> Instances;
  std::map<std::string, std::string> InstanceRegions;
  Instances.reserve(static_cast<std::size_t>(Scenario_.Routers_));
  for (int I = 0; I < Scenario_.Routers_; ++I) {
    Instances.push_back("i" + std::to_string(I));
    InstanceRegions[Instances.back()] =
        Scenario_.RegionBlind_ ? "all" : regionOf(domainOf(I));
  }
  for (int I = 0; I < Scenario_.Routers_; ++I) {
    route::RouterSettings S;
    S.Self_ = Instances[static_cast<std::size_t>(I)];
    S.Domain_ = Domains[domainOf(I)];
    S.Region_ = Scenario_.RegionBlind_ ? "all" : regionOf(domainOf(I));
    if (Scenario_.SlotsByRegion_)
      S.InstanceRegions_ = InstanceRegions;
    S.Instances_ = Instances;
    S.Pick_ = Scenario_.Pick_;
    S.Seed_ = Seed + static_cast<uint64_t>(I);
    RouterRegion_.emplace_back(regionOf(domainOf(I)));
    Routers_.push_back(std::make_unique<route::Router>(S));
    Routers_.back()->setUpstreams(Upstreams_, now());
    if (!Scenario_.DomainOut_.empty())
      Routers_.back()->setDomainAvailable(Scenario_.DomainOut_, false, now());
  }
}

void RouteSim::push(int64_t At, Kind What, int Router, uint64_t Request,
                    uint32_t Attempt, route::AttemptEnd End) {
  Events_.push({At, ++Order_, What, Router, Request, Attempt, End});
}

RouteOutcome RouteSim::run() {
  for (int I = 0; I < Scenario_.Routers_; ++I)
    push(TickMicros + I, Kind::Tick, I);
  push(0, Kind::Arrival, 0);
  push(LendMicros, Kind::Lend, 0);
  auto End = static_cast<int64_t>(Scenario_.Seconds_ * SecondMicros);
  while (!Events_.empty() && Events_.top().At_ <= End) {
    Event E = Events_.top();
    Events_.pop();
    Now_ = E.At_;
    handle(E);
  }
  std::sort(Out_.LatenciesMs_.begin(), Out_.LatenciesMs_.end());
  return std::move(Out_);
}

void RouteSim::handle(const Event &E) {
  switch (E.Kind_) {
  case Kind::Arrival:
    return arrive();
  case Kind::End:
    return endAttempt(E);
  case Kind::Tick:
    timed(E.Router_, [&](route::Router &R) { R.tick(now()); });
    return push(Now_ + TickMicros, Kind::Tick, E.Router_);
  case Kind::Lend:
    lend();
    return push(Now_ + LendMicros, Kind::Lend, 0);
  }
}

void RouteSim::arrive() {
  double Rate = Scenario_.Load_ * routeCapacity();
  double Gap = -std::log(std::max(Rng_.unit(), 1e-12)) / Rate;
  push(Now_ + static_cast<int64_t>(Gap * SecondMicros) + 1, Kind::Arrival, 0);
  int Router = pickRouter();
  route::RequestInfo Info;
  Info.Id_ = ++NextRequest_;
  Info.Workspace_ = "guild";
  Info.Service_ = "visit-desk";
  Info.Idempotent_ = Rng_.unit() < Scenario_.IdempotentShare_;
  Info.Deadline_ = now() + Scenario_.Deadline_;
  Info.BodyBytes_ = BodyBytes;
  Requests_[Info.Id_].Began_ = Now_;
  ++Out_.Requests_;
  Out_.OutageRequests_ += inOutage() ? 1 : 0;
  Out_.AfterRequests_ += afterOutage(Now_) ? 1 : 0;
  timed(Router, [&](route::Router &R) { R.begin(Info, now()); });
}

// The outage counts until 30 s after its end.
bool RouteSim::inOutage() const {
  double Second = static_cast<double>(Now_) / SecondMicros;
  return Scenario_.OutageFrom_ >= 0 && Second >= Scenario_.OutageFrom_ &&
         Second < Scenario_.OutageTo_ + 30;
}

bool RouteSim::afterOutage(int64_t Micros) const {
  double Second = static_cast<double>(Micros) / SecondMicros;
  return Scenario_.OutageTo_ >= 0 && Second >= Scenario_.OutageTo_ &&
         Second < Scenario_.Seconds_ - base::toSeconds(Scenario_.Deadline_);
}

void RouteSim::timed(int Router,
                     const std::function<void(route::Router &)> &Call) {
  auto Start = std::chrono::steady_clock::now();
  Call(*Routers_[static_cast<std::size_t>(Router)]);
  Out_.RouterSeconds_ +=
      std::chrono::duration<double>(std::chrono::steady_clock::now() - Start)
          .count();
  drain(Router);
}

void RouteSim::drain(int Router) {
  for (const auto &Action :
       Routers_[static_cast<std::size_t>(Router)]->takeActions()) {
    if (const auto *Send = std::get_if<route::SendAction>(&Action)) {
      onSend(Router, *Send);
    } else if (const auto *Cancel = std::get_if<route::CancelAction>(&Action)) {
      push(Now_ + CancelMicros, Kind::End, Router, Cancel->Request_,
           Cancel->Attempt_, route::AttemptEnd::Cancelled);
    } else if (const auto *Done = std::get_if<route::DeliverAction>(&Action)) {
      Open &O = Requests_[Done->Request_];
      O.Ended_ = true;
      double Ms = static_cast<double>(Now_ - O.Began_) / 1000;
      Out_.LatenciesMs_.push_back(Ms);
      bool InTime = Now_ - O.Began_ <= Scenario_.Deadline_.count();
      Out_.Good_ += InTime ? 1 : 0;
      Out_.AfterGood_ += InTime && afterOutage(O.Began_) ? 1 : 0;
    } else if (const auto *No = std::get_if<route::RefuseAction>(&Action)) {
      Requests_[No->Request_].Ended_ = true;
    }
  }
}

int64_t RouteSim::serviceMicros(int Upstream) {
  double Ms = ServiceMeanMs * std::exp(ServiceSpread * normal(Rng_) -
                                       ServiceSpread * ServiceSpread / 2);
  Ms *= 1 + LoadSlowdown * InFlight_[static_cast<std::size_t>(Upstream)] /
                SlotCount;
  if (Scenario_.Slowness_)
    Ms *=
        Scenario_.Slowness_(Upstream, static_cast<double>(Now_) / SecondMicros);
  return static_cast<int64_t>(Ms * 1000);
}

void RouteSim::onSend(int Router, const route::SendAction &Send) {
  int Upstream = std::stoi(Send.Upstream_.substr(1));
  Open &O = Requests_[Send.Request_];
  if (Send.Attempt_ > 1 && inOutage())
    ++Out_.OutageRetries_;
  ++Out_.Sends_;
  O.Upstream_.resize(Send.Attempt_, -1);
  O.Upstream_[Send.Attempt_ - 1] = Upstream;
  int &Running = InFlight_[static_cast<std::size_t>(Upstream)];
  Out_.MostInFlight_ = std::max(Out_.MostInFlight_, ++Running);
  double Second = static_cast<double>(Now_) / SecondMicros;
  bool Out = Second >= Scenario_.OutageFrom_ && Second < Scenario_.OutageTo_;
  if (Out && Scenario_.OutageHangs_)
    return push(Now_ + Send.Timeout_.count(), Kind::End, Router, Send.Request_,
                Send.Attempt_, route::AttemptEnd::TimedOut);
  if (Out)
    return push(Now_ + ConnectFailMicros, Kind::End, Router, Send.Request_,
                Send.Attempt_, route::AttemptEnd::ConnectFailed);
  int64_t Delay = SameDomainMicros;
  auto Index = static_cast<std::size_t>(Router);
  if (RouterRegion_[Index] != regionOf(Upstream % 3)) {
    Delay = OtherRegionMicros;
    Out_.CrossBytes_ += BodyBytes + AnswerBytes + OverheadBytes;
  } else if (domainOf(Router) != Upstream % 3) {
    Delay = OtherDomainMicros;
  }
  int64_t Total = serviceMicros(Upstream) + Delay;
  bool InTime = Total <= Send.Timeout_.count();
  push(Now_ + std::min(Total, Send.Timeout_.count()), Kind::End, Router,
       Send.Request_, Send.Attempt_,
       InTime ? route::AttemptEnd::Answered : route::AttemptEnd::TimedOut);
}

void RouteSim::endAttempt(const Event &E) {
  auto Found = Requests_.find(E.Request_);
  if (Found == Requests_.end())
    return;
  int &Upstream = Found->second.Upstream_[E.Attempt_ - 1];
  if (Upstream < 0)
    return;
  --InFlight_[static_cast<std::size_t>(Upstream)];
  Upstream = -1;
  bool Answered = E.End_ == route::AttemptEnd::Answered;
  timed(E.Router_, [&](route::Router &R) {
    R.attemptEnded({E.Request_, E.Attempt_, E.End_, Answered ? 200 : 0,
                    Answered ? static_cast<uint64_t>(AnswerBytes) : 0},
                   now());
  });
  const Open &O = Found->second;
  if (O.Ended_ && std::all_of(O.Upstream_.begin(), O.Upstream_.end(),
                              [](int U) { return U < 0; }))
    Requests_.erase(Found);
}

// As pings do: each instance that is short gets idle slots of others, those of
// its own region first.
void RouteSim::lend() {
  for (std::size_t B = 0; B < Routers_.size(); ++B) {
    auto Wanted = static_cast<int>(Routers_[B]->shortage());
    for (bool Near : {true, false})
      for (std::size_t L = 0; L < Routers_.size() && Wanted > 0; ++L)
        if (L != B)
          Wanted -= lendFrom(L, B, Wanted, Near);
  }
}

int RouteSim::lendFrom(std::size_t Lender, std::size_t Borrower, int Wanted,
                       bool Near) {
  int Lent = 0;
  auto Until = now() + base::Duration(LendTermMicros);
  for (const auto &[Id, Idle] : Routers_[Lender]->idleSlots(now())) {
    int Count = std::min(Idle, Wanted - Lent);
    const char *Region = regionOf(std::stoi(Id.substr(1)) % 3);
    if (Count <= 0 || (RouterRegion_[Borrower] == Region) != Near)
      continue;
    Routers_[Lender]->lendSlots(Id, Count, Until);
    Routers_[Borrower]->borrowSlots(Id, Count, Until);
    Lent += Count;
  }
  return Lent;
}

} // namespace crocuslead::bench
