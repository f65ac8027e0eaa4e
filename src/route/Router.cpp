#include "route/Router.h"

#include "route/internal/RouterImpl.h"
#include <algorithm>
#include <utility>

namespace crocuslead::route {

namespace {

//! Part of the own region's slots that an instance keeps free of loans, for its
//! own next requests: it gets a lent slot back only after 6 s.
constexpr double KeptShare = 0.3;

} // namespace

// Slots in other regions are offered whole: they are used only when the own
// region has none.
std::vector<std::pair<std::string, int>>
Router::Impl::idleSlots(base::TimePoint Now) const {
  std::vector<std::pair<std::string, int>> Own;
  std::vector<std::pair<std::string, int>> Offered;
  if (Queue_.size() != 0)
    return Offered;
  int Owned = 0;
  int Free = 0;
  for (const auto &[Id, U] : Upstreams_.all()) {
    if (U->state() != UpstreamState::Serving &&
        U->state() != UpstreamState::Warming)
      continue;
    bool OwnRegion = U->info().Region_ == Settings_.Region_;
    int Idle = std::max(0, U->freeOwn(Now));
    Owned += OwnRegion ? U->ownSlots() : 0;
    Free += OwnRegion ? Idle : 0;
    if (Idle > 0)
      (OwnRegion ? Own : Offered).emplace_back(Id, Idle);
  }
  auto Larger = [](const auto &A, const auto &B) {
    return A.second != B.second ? A.second > B.second : A.first < B.first;
  };
  std::sort(Own.begin(), Own.end(), Larger);
  int ToLend = Free - static_cast<int>(KeptShare * Owned);
  for (auto &[Id, Count] : Own) {
    int Part = std::min(Count, ToLend);
    if (Part <= 0)
      break;
    Offered.emplace_back(Id, Part);
    ToLend -= Part;
  }
  std::sort(Offered.begin(), Offered.end(), Larger);
  return Offered;
}

std::vector<UpstreamView> Router::Impl::views() const {
  std::vector<UpstreamView> Views;
  for (const auto &[Id, U] : Upstreams_.all())
    Views.push_back({Id, std::string(upstreamStateName(U->state())),
                     U->slotsHeld(Now_), U->inFlight(), U->latencyUs() / 1000,
                     U->weight(Now_), U->connectionsHeld()});
  return Views;
}

Router::Router(RouterSettings Settings)
    : Impl_(std::make_unique<Impl>(std::move(Settings))) {}
Router::~Router() = default;

void Router::setUpstreams(std::vector<UpstreamInfo> Upstreams,
                          base::TimePoint Now) {
  Impl_->Now_ = Now;
  Impl_->Upstreams_.set(std::move(Upstreams), Now);
  Impl_->dispatch(Now);
}

void Router::setDomainAvailable(const std::string &Domain, bool Available,
                                base::TimePoint Now) {
  Impl_->Now_ = Now;
  Impl_->Upstreams_.setDomainAvailable(Domain, Available, Now);
  Impl_->dispatch(Now);
}

void Router::setLiveInstances(std::vector<std::string> Live,
                              base::TimePoint Now) {
  Impl_->Now_ = Now;
  std::sort(Live.begin(), Live.end());
  Impl_->Upstreams_.setLive(Live, Now);
  Impl_->dispatch(Now);
}

void Router::lendSlots(const std::string &Upstream, int Count,
                       base::TimePoint Until) {
  if (auto *U = Impl_->Upstreams_.find(Upstream))
    U->lend(Count, Until);
}

void Router::borrowSlots(const std::string &Upstream, int Count,
                         base::TimePoint Until) {
  if (auto *U = Impl_->Upstreams_.find(Upstream))
    U->borrow(Count, Until);
}

std::vector<std::pair<std::string, int>>
Router::idleSlots(base::TimePoint Now) const {
  return Impl_->idleSlots(Now);
}

uint64_t Router::queued() const { return Impl_->Queue_.size(); }

uint64_t Router::shortage() const { return Impl_->shortage(); }

void Router::begin(const RequestInfo &Request, base::TimePoint Now) {
  Impl_->Now_ = Now;
  Impl_->begin(Request, Now);
}

void Router::attemptEnded(const AttemptResult &Result, base::TimePoint Now) {
  Impl_->Now_ = Now;
  Impl_->attemptEnded(Result, Now);
}

void Router::callerGone(uint64_t Request, base::TimePoint Now) {
  Impl_->Now_ = Now;
  Impl_->callerGone(Request, Now);
}

void Router::tick(base::TimePoint Now) {
  Impl_->Now_ = Now;
  Impl_->tick(Now);
}

std::optional<base::TimePoint> Router::nextTimer() const {
  if (Impl_->Timers_.empty())
    return std::nullopt;
  return Impl_->Timers_.front().When_;
}

std::vector<RouteAction> Router::takeActions() {
  return std::exchange(Impl_->Actions_, {});
}

RouterCounters Router::counters() const {
  RouterCounters Counters = Impl_->Counters_;
  Counters.Ejections_ = Impl_->Upstreams_.ejections();
  return Counters;
}

std::vector<UpstreamView> Router::upstreams() const { return Impl_->views(); }

uint64_t Router::inProgress() const { return Impl_->Requests_.size(); }

} // namespace crocuslead::route
