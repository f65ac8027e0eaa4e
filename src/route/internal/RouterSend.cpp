#include "route/internal/RouterImpl.h"

#include <algorithm>

namespace crocuslead::route {

namespace {

//! Waiting requests that are tried for a free slot before the rest wait on;
//! the first ones may be barred from it (tried before, borrowed slot).
constexpr std::size_t DispatchWidth = 8;
//! An attempt that the shell has not reported this long after its timeout is
//! given up.
constexpr std::chrono::milliseconds ExpiryGrace{200};
//! Framing and headers of a request and its answer.
constexpr double OverheadBytes = 500;
constexpr double UnknownLatencyUs = 1000;
//! The first attempt of an idempotent request leaves a quarter of the time for
//! another, when it still has this many times the 95th percentile.
constexpr int AmpleQuantiles = 4;
//! An attempt on a borrowed slot may be cut off after this many times the 95th
//! percentile.
constexpr int CutOffQuantiles = 2;
constexpr std::chrono::seconds UnknownCutOff{1};

} // namespace

void Router::Impl::dispatch(base::TimePoint Now) {
  if (Queue_.size() == 0)
    return;
  for (const std::string &Service : Queue_.services()) {
    const UpstreamSet::Group &Group = Upstreams_.group(Service);
    bool Progress = true;
    while (Progress && Picker_.anyFree(Group, Now)) {
      Progress = false;
      for (uint64_t Id : Queue_.next(Service, DispatchWidth, Now)) {
        if (!trySend(Requests_.at(Id), Now))
          continue;
        Progress = true;
        break;
      }
    }
  }
}

Router::Impl::ServiceStats &Router::Impl::stats(const std::string &Service,
                                                base::TimePoint Now) {
  ServiceStats &Stats = Services_[Service];
  Stats.Latency_.refresh(Now);
  return Stats;
}

double Router::Impl::typicalUs(const ServiceStats &Stats) {
  auto Median = Stats.Latency_.median();
  return Median ? static_cast<double>(Median->count()) : UnknownLatencyUs;
}

base::Duration Router::Impl::attemptTimeout(const RequestRecord &Record,
                                            const ServiceStats &Stats,
                                            base::TimePoint Now) const {
  base::Duration Remaining = Record.Info_.Deadline_ - Now;
  auto High = Stats.Latency_.high();
  base::Duration Part = Remaining * 3 / 4;
  if (Record.Info_.Idempotent_ && Record.Attempts_ == 0 && High &&
      Part > *High * AmpleQuantiles)
    return Part;
  return Remaining;
}

PickRequest Router::Impl::pickRequest(const RequestRecord &Record,
                                      const ServiceStats &Stats,
                                      base::Duration Timeout,
                                      base::TimePoint Now) const {
  PickRequest Pick;
  Pick.Idempotent_ = Record.Info_.Idempotent_;
  Pick.Tried_ = &Record.Tried_;
  Pick.LatestEnd_ = Now + Timeout;
  auto High = Stats.Latency_.high();
  base::Duration CutOff = High ? *High * CutOffQuantiles : UnknownCutOff;
  if (Pick.Idempotent_ && CutOff < Timeout)
    Pick.CutOff_ = Now + CutOff;
  return Pick;
}

bool Router::Impl::trySend(RequestRecord &Record, base::TimePoint Now) {
  const std::string &Service = Record.Info_.Service_;
  ServiceStats &Stats = stats(Service, Now);
  base::Duration Timeout = attemptTimeout(Record, Stats, Now);
  if (Timeout <= base::Duration(0))
    return false;
  PickRequest Pick = pickRequest(Record, Stats, Timeout, Now);
  double Bytes = OverheadBytes + static_cast<double>(Record.Info_.BodyBytes_) +
                 Stats.AnswerBytes_;
  Pick.CrossRegionAllowed_ = CrossRegion_.allows(Bytes, Now);
  auto Choice =
      Picker_.pick(Upstreams_.group(Service), Pick, typicalUs(Stats), Now);
  if (!Choice || !Record.on(RequestEvent::Send))
    return false;
  leaveQueue(Record);
  if (Choice->Kind_ == SlotKind::Borrowed && Pick.CutOff_ &&
      Choice->Upstream_->freeBorrowed(Pick.LatestEnd_) <= 0)
    Timeout = *Pick.CutOff_ - Now;
  send(Record, *Choice, Timeout, Now);
  auto HedgeDelay = Stats.Latency_.high();
  if (Record.Info_.Idempotent_ && HedgeDelay && *HedgeDelay < Timeout)
    setTimer(Now + *HedgeDelay, TimerKind::Hedge, Record.Info_.Id_,
             Record.Attempts_);
  return true;
}

// A hedge goes to another upstream of the own region and takes no slot that a
// waiting request could use.
void Router::Impl::tryHedge(RequestRecord &Record, base::TimePoint Now) {
  const std::string &Service = Record.Info_.Service_;
  ServiceStats &Stats = stats(Service, Now);
  base::Duration Timeout = Record.Info_.Deadline_ - Now;
  if (!Queue_.empty(Service) || !canMeet(Record.Info_.Deadline_, Service, Now))
    return;
  PickRequest Pick = pickRequest(Record, Stats, Timeout, Now);
  Pick.CutOff_ = std::nullopt;
  Pick.OnlyUntried_ = true;
  auto Choice =
      Picker_.pick(Upstreams_.group(Service), Pick, typicalUs(Stats), Now);
  if (!Choice || !Budget_.tryHedge() || !Record.on(RequestEvent::Hedge))
    return;
  ++Counters_.Hedges_;
  send(Record, *Choice, Timeout, Now);
}

void Router::Impl::send(RequestRecord &Record, const PickChoice &Choice,
                        base::Duration Timeout, base::TimePoint Now) {
  Upstream &U = *Choice.Upstream_;
  const RequestInfo &Info = Record.Info_;
  uint32_t Attempt = ++Record.Attempts_;
  Record.Live_.push_back(Attempt);
  Record.Tried_.push_back(U.info().Id_);
  U.occupy(Choice.Kind_, Now);
  AttemptRecord &Sent = Attempts_[{Info.Id_, Attempt}];
  Sent = {&U, Choice.Kind_, Choice.CrossRegion_, Info.Service_, Now, 0};
  if (Choice.CrossRegion_) {
    double Body = OverheadBytes + static_cast<double>(Info.BodyBytes_);
    Sent.ExpectedAnswerBytes_ = Services_[Info.Service_].AnswerBytes_;
    CrossRegion_.take(Body + Sent.ExpectedAnswerBytes_);
    ++Counters_.CrossRegionRequests_;
    Counters_.CrossRegionBytes_ += static_cast<uint64_t>(Body);
  }
  setTimer(Now + Timeout + ExpiryGrace, TimerKind::AttemptExpiry, Info.Id_,
           Attempt);
  Actions_.emplace_back(SendAction{Info.Id_, Attempt, U.info().Id_,
                                   U.info().Address_, Timeout,
                                   Choice.CrossRegion_});
}

} // namespace crocuslead::route
