#include "route/internal/Upstream.h"

#include "base/NameTable.h"
#include "chart/Chart.h"
#include <algorithm>
#include <cmath>
#include <utility>

namespace crocuslead::route {

namespace {

using std::chrono::seconds;

//! A lender uses a lent slot again only this long after the term, so that the
//! borrower's clock and late cancellations do no harm.
constexpr seconds LenderMargin{1};
constexpr seconds WarmUp{10};
constexpr double FirstWeight = 0.1;
constexpr seconds FirstProbeDelay{2};
constexpr int MaxProbeDoublings = 5;
constexpr int EjectAfterConsecutive = 5;
constexpr double EjectFailureShare = 0.5;
constexpr int MinOutcomes = 10;
constexpr double FailureStep = 0.1;
//! Rising latency is believed sooner than falling latency, since waiting at a
//! slow upstream costs more than passing over a fast one.
constexpr double RiseStep = 0.5;
constexpr double FallStep = 0.2;
//! Without samples the estimate returns to the typical latency in a few of
//! these, so that an upstream that has recovered is tried again.
constexpr double ForgetHalfLifeSeconds = 5;
constexpr int MaxPenaltyDoublings = 6;

constexpr auto StateNames = base::makeNameTable<UpstreamState>({
    {UpstreamState::Warming, "warming"},
    {UpstreamState::Serving, "serving"},
    {UpstreamState::Ejected, "ejected"},
    {UpstreamState::Probing, "probing"},
    {UpstreamState::Leaving, "leaving"},
    {UpstreamState::Withdrawn, "withdrawn"},
    {UpstreamState::Removed, "removed"},
});

constexpr auto EventNames = base::makeNameTable<UpstreamEvent>({
    {UpstreamEvent::Warmed, "warmed"},
    {UpstreamEvent::Failed, "failed"},
    {UpstreamEvent::ProbeDue, "probe-due"},
    {UpstreamEvent::ProbeSucceeded, "probe-succeeded"},
    {UpstreamEvent::ProbeFailed, "probe-failed"},
    {UpstreamEvent::Readmitted, "readmitted"},
    {UpstreamEvent::ListedLeaving, "listed-leaving"},
    {UpstreamEvent::ListedLive, "listed-live"},
    {UpstreamEvent::DomainOut, "domain-out"},
    {UpstreamEvent::DomainBack, "domain-back"},
    {UpstreamEvent::Delisted, "delisted"},
});

using UpstreamChart = chart::BoundChart<UpstreamState, UpstreamEvent>;

const UpstreamChart &upstreamChart() {
  static const UpstreamChart Chart("upstream", StateNames, EventNames);
  return Chart;
}

} // namespace

std::string_view upstreamStateName(UpstreamState State) {
  return StateNames.name(State);
}

bool upstreamChartValid() { return upstreamChart().valid(); }

Upstream::Upstream(UpstreamInfo Info, const InstanceView &View,
                   base::TimePoint Now)
    : Info_(std::move(Info)), State_(upstreamChart().initial()),
      StateSince_(Now), Slots_(Info_, ShareKind::Slots, View),
      Connections_(Info_, ShareKind::Connections, View) {}

void Upstream::update(UpstreamInfo Info, const InstanceView &View) {
  bool Moved = Info.Region_ != Info_.Region_;
  if (Moved || Info.Slots_ != Info_.Slots_)
    Slots_ = SlotShare(Info, ShareKind::Slots, View);
  if (Moved || Info.Connections_ != Info_.Connections_)
    Connections_ = SlotShare(Info, ShareKind::Connections, View);
  Info_ = std::move(Info);
}

void Upstream::revive(base::TimePoint Now) {
  State_ = upstreamChart().initial();
  StateSince_ = Now;
  LatencyUs_ = 0;
  EjectionsInRow_ = 0;
  FailureShare_ = 0;
  Outcomes_ = 0;
  recordSuccess();
}

bool Upstream::on(UpstreamEvent Event, base::TimePoint Now) {
  auto Next = upstreamChart().next(State_, Event);
  if (!Next)
    return false;
  State_ = *Next;
  StateSince_ = Now;
  if (State_ == UpstreamState::Warming) {
    FailureShare_ = 0;
    Outcomes_ = 0;
    ConsecutiveFailures_ = 0;
    Unreachable_ = false;
  }
  if (State_ == UpstreamState::Serving)
    EjectionsInRow_ = 0;
  return true;
}

void Upstream::refreshShare(const InstanceView &View) {
  Slots_.refresh(View);
  Connections_.refresh(View);
}

int Upstream::slotsHeld(base::TimePoint Now) const {
  return std::max(0, Slots_.held() - Lent_.total(Now)) + Borrowed_.total(Now);
}

int Upstream::freeOwn(base::TimePoint Now) const {
  return Slots_.held() - Lent_.total(Now) - OwnInFlight_;
}

int Upstream::freeBorrowed(base::TimePoint End) const {
  return Borrowed_.lastingUntil(End) - BorrowedInFlight_;
}

void Upstream::lend(int Count, base::TimePoint Until) {
  Lent_.add(Count, Until + LenderMargin);
}

void Upstream::borrow(int Count, base::TimePoint Until) {
  Borrowed_.add(Count, Until);
}

void Upstream::occupy(SlotKind Kind, base::TimePoint Now) {
  ++(Kind == SlotKind::Own ? OwnInFlight_ : BorrowedInFlight_);
  SentAt_.push_back(Now);
  Lent_.prune(Now);
  Borrowed_.prune(Now);
}

void Upstream::vacate(SlotKind Kind, base::TimePoint SentAt) {
  --(Kind == SlotKind::Own ? OwnInFlight_ : BorrowedInFlight_);
  auto Found = std::find(SentAt_.begin(), SentAt_.end(), SentAt);
  if (Found != SentAt_.end())
    SentAt_.erase(Found);
}

void Upstream::recordLatency(double Us, base::TimePoint Now) {
  if (LatencyUs_ == 0)
    LatencyUs_ = Us;
  else
    LatencyUs_ += (Us > LatencyUs_ ? RiseStep : FallStep) * (Us - LatencyUs_);
  MeasuredAt_ = Now;
}

void Upstream::recordAnswer(base::Duration Latency, base::TimePoint Now) {
  recordLatency(static_cast<double>(std::max<int64_t>(Latency.count(), 1)),
                Now);
}

void Upstream::recordAbandoned(base::Duration Age, base::TimePoint Now) {
  auto Us = static_cast<double>(Age.count());
  if (Us > LatencyUs_)
    recordLatency(Us, Now);
}

void Upstream::recordSuccess() {
  ++Outcomes_;
  FailureShare_ -= FailureStep * FailureShare_;
  ConsecutiveFailures_ = 0;
  Unreachable_ = false;
}

void Upstream::recordFailure(bool Unreachable) {
  ++Outcomes_;
  FailureShare_ += FailureStep * (1 - FailureShare_);
  ++ConsecutiveFailures_;
  Unreachable_ = Unreachable;
}

bool Upstream::failing() const {
  return Unreachable_ || ConsecutiveFailures_ >= EjectAfterConsecutive ||
         (Outcomes_ >= MinOutcomes && FailureShare_ > EjectFailureShare);
}

void Upstream::scheduleProbe(base::TimePoint Now, base::Random &Rng) {
  auto Delay =
      FirstProbeDelay * (1 << std::min(EjectionsInRow_, MaxProbeDoublings));
  ++EjectionsInRow_;
  base::Duration Jittered(
      static_cast<int64_t>(static_cast<double>(base::Duration(Delay).count()) *
                           (0.75 + 0.5 * Rng.unit())));
  ProbeAt_ = Now + Jittered;
}

bool Upstream::warm(base::TimePoint Now) const {
  return Now >= StateSince_ + WarmUp;
}

double Upstream::weight(base::TimePoint Now) const {
  double Weight = 1;
  if (State_ == UpstreamState::Warming)
    Weight =
        std::clamp(base::toSeconds(Now - StateSince_) / base::toSeconds(WarmUp),
                   FirstWeight, 1.0);
  int Doublings = std::min(ConsecutiveFailures_, MaxPenaltyDoublings);
  return Weight * std::ldexp(1 - 0.9 * FailureShare_, -Doublings);
}

double Upstream::score(double TypicalUs, base::TimePoint Now) const {
  double Expected = LatencyUs_ > 0 ? LatencyUs_ : TypicalUs;
  if (Expected > TypicalUs) {
    double Age = base::toSeconds(Now - MeasuredAt_);
    Expected = TypicalUs +
               (Expected - TypicalUs) * std::exp2(-Age / ForgetHalfLifeSeconds);
  }
  // A request that has waited longer than the estimate shows that the upstream
  // is slow before its answer does.
  if (!SentAt_.empty())
    Expected = std::max(Expected,
                        static_cast<double>((Now - SentAt_.front()).count()));
  double Load = static_cast<double>(inFlight()) /
                static_cast<double>(std::max(Info_.Slots_, 1));
  return Expected * (1 + Load) / weight(Now);
}

} // namespace crocuslead::route
