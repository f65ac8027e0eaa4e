#include "route/internal/UpstreamSet.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace crocuslead::route {

namespace {

//! Probes and warm-up need no finer time; a scan of 1,100 upstreams on every
//! tick would take a noticeable part of a core.
constexpr std::chrono::milliseconds ScanInterval{50};
//! Above this use of the slots, the free ones are mostly slow upstreams.
constexpr double ComfortableUse = 0.75;

bool isOut(const Upstream &U) {
  return U.state() == UpstreamState::Ejected ||
         U.state() == UpstreamState::Probing;
}

bool takesPart(const Upstream &U) {
  return U.state() == UpstreamState::Warming ||
         U.state() == UpstreamState::Serving || isOut(U);
}

struct GroupCount {
  int Ejected_ = 0;
  int Limit_ = 0;
};

GroupCount countGroup(const UpstreamSet::Group &Group, double MaxShare) {
  GroupCount Count;
  int Members = 0;
  for (const Upstream *U : Group) {
    Members += takesPart(*U) ? 1 : 0;
    Count.Ejected_ += isOut(*U) ? 1 : 0;
  }
  // The small term keeps 0.3 of 10 at 3 despite the rounding of 0.3.
  Count.Limit_ = static_cast<int>(std::floor(MaxShare * Members + 1e-9));
  return Count;
}

} // namespace

UpstreamSet::UpstreamSet(const RouterSettings &Settings, base::Random &Rng)
    : Settings_(Settings), Rng_(Rng),
      View_(Settings.Instances_, Settings.Self_, Settings.InstanceRegions_) {}

void UpstreamSet::set(std::vector<UpstreamInfo> Upstreams,
                      base::TimePoint Now) {
  std::set<std::string> Listed;
  for (UpstreamInfo &Info : Upstreams) {
    if (!Listed.insert(Info.Id_).second)
      continue;
    place(std::move(Info), Now);
  }
  for (auto &[Id, U] : Upstreams_)
    if (Listed.count(Id) == 0)
      U->on(UpstreamEvent::Delisted, Now);
  rebuildGroups();
  readmitExcess(Now);
}

void UpstreamSet::place(UpstreamInfo Info, base::TimePoint Now) {
  auto &U = Upstreams_[Info.Id_];
  if (!U) {
    U = std::make_unique<Upstream>(std::move(Info), View_, Now);
  } else {
    U->update(std::move(Info), View_);
    if (U->state() == UpstreamState::Removed)
      U->revive(Now);
  }
  applyListing(*U, Now);
}

void UpstreamSet::applyListing(Upstream &U, base::TimePoint Now) {
  if (U.info().Leaving_)
    U.on(UpstreamEvent::ListedLeaving, Now);
  else if (U.state() == UpstreamState::Leaving)
    U.on(UpstreamEvent::ListedLive, Now);
  if (DomainsOut_.count(U.info().Domain_) != 0)
    U.on(UpstreamEvent::DomainOut, Now);
  else if (U.state() == UpstreamState::Withdrawn)
    U.on(UpstreamEvent::DomainBack, Now);
}

void UpstreamSet::rebuildGroups() {
  forgetRemoved();
  Groups_.clear();
  for (auto &[Id, U] : Upstreams_)
    if (U->state() != UpstreamState::Removed)
      for (const std::string &Service : U->info().Services_)
        Groups_[Service].push_back(U.get());
}

// An upstream that was removed is kept while attempts occupy its slots, because
// it may be listed again before they end.
void UpstreamSet::forgetRemoved() {
  for (auto At = Upstreams_.begin(); At != Upstreams_.end();) {
    const Upstream &U = *At->second;
    if (U.state() == UpstreamState::Removed && U.inFlight() == 0)
      At = Upstreams_.erase(At);
    else
      ++At;
  }
}

void UpstreamSet::setDomainAvailable(const std::string &Domain, bool Available,
                                     base::TimePoint Now) {
  if (Available)
    DomainsOut_.erase(Domain);
  else
    DomainsOut_.insert(Domain);
  for (auto &[Id, U] : Upstreams_)
    if (U->info().Domain_ == Domain)
      U->on(Available ? UpstreamEvent::DomainBack : UpstreamEvent::DomainOut,
            Now);
  readmitExcess(Now);
}

void UpstreamSet::setLive(const std::vector<std::string> &Live,
                          base::TimePoint Now) {
  View_.setLive(Live, Now);
  if (View_.refresh(Now))
    for (auto &[Id, U] : Upstreams_)
      U->refreshShare(View_);
}

void UpstreamSet::tick(base::TimePoint Now) {
  bool SharesMoved = View_.refresh(Now);
  if (!SharesMoved && Now - Scanned_ < ScanInterval)
    return;
  Scanned_ = Now;
  for (auto &[Id, U] : Upstreams_) {
    if (SharesMoved)
      U->refreshShare(View_);
    if (U->state() == UpstreamState::Warming && U->warm(Now))
      U->on(UpstreamEvent::Warmed, Now);
    else if (U->state() == UpstreamState::Ejected && Now >= U->probeAt())
      U->on(UpstreamEvent::ProbeDue, Now);
  }
}

int UpstreamSet::slotsShort(base::TimePoint Now) const {
  int Held = 0;
  int Used = 0;
  for (const auto &[Id, U] : Upstreams_)
    if (takesPart(*U) && U->info().Region_ == Settings_.Region_) {
      Held += U->slotsHeld(Now);
      Used += U->inFlight();
    }
  return std::max(0, static_cast<int>(Used - ComfortableUse * Held));
}

Upstream *UpstreamSet::find(const std::string &Id) {
  auto Found = Upstreams_.find(Id);
  return Found == Upstreams_.end() ? nullptr : Found->second.get();
}

const UpstreamSet::Group &UpstreamSet::group(const std::string &Service) const {
  static const Group None;
  auto Found = Groups_.find(Service);
  return Found == Groups_.end() ? None : Found->second;
}

bool UpstreamSet::serves(const std::string &Service) const {
  const Group &Members = group(Service);
  return std::any_of(Members.begin(), Members.end(),
                     [](const Upstream *U) { return takesPart(*U); });
}

void UpstreamSet::afterSuccess(Upstream &U, base::TimePoint Now) {
  U.recordSuccess();
  U.on(UpstreamEvent::ProbeSucceeded, Now);
}

void UpstreamSet::afterFailure(Upstream &U, bool Unreachable,
                               base::TimePoint Now) {
  U.recordFailure(Unreachable);
  if (U.state() == UpstreamState::Probing)
    eject(U, UpstreamEvent::ProbeFailed, Now);
  else if (U.failing() && takesPart(U) && mayEject(U))
    eject(U, UpstreamEvent::Failed, Now);
}

bool UpstreamSet::mayEject(const Upstream &U) const {
  const auto &Services = U.info().Services_;
  return std::all_of(
      Services.begin(), Services.end(), [&](const std::string &Service) {
        GroupCount Count =
            countGroup(group(Service), Settings_.MaxEjectedShare_);
        return Count.Ejected_ < Count.Limit_;
      });
}

void UpstreamSet::eject(Upstream &U, UpstreamEvent Event, base::TimePoint Now) {
  if (!U.on(Event, Now))
    return;
  U.scheduleProbe(Now, Rng_);
  ++Ejections_;
}

// Upstreams that leave or are withdrawn make the group smaller, so that those
// ejected can exceed the limit; the ones ejected first then return.
void UpstreamSet::readmitExcess(base::TimePoint Now) {
  for (const auto &[Service, Members] : Groups_) {
    GroupCount Count = countGroup(Members, Settings_.MaxEjectedShare_);
    while (Count.Ejected_ > Count.Limit_) {
      auto First = std::min_element(
          Members.begin(), Members.end(), [](Upstream *A, Upstream *B) {
            return std::make_pair(!isOut(*A), A->stateSince()) <
                   std::make_pair(!isOut(*B), B->stateSince());
          });
      (*First)->on(UpstreamEvent::Readmitted, Now);
      --Count.Ejected_;
    }
  }
}

} // namespace crocuslead::route
