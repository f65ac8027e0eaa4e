#include "route/internal/RouterImpl.h"

#include <algorithm>
#include <utility>

namespace crocuslead::route {

namespace {

//! Slots pass on 30 s after a death, so no request may run longer.
constexpr std::chrono::seconds LongestRequest{30};
//! Pings go out every 2 s; the shortage covers one to two of these intervals.
constexpr std::chrono::seconds ShortageInterval{2};
constexpr std::chrono::milliseconds ShortageSampling{50};
//! Stale timers are dropped when they outnumber these.
constexpr std::size_t SpareTimers = 1024;
constexpr std::size_t TimersPerRequest = 8;
//! The queue counts as standing when its oldest request has waited this part
//! of the queue limit.
constexpr int StandingPart = 4;
//! Ranks of requests that may wait lie below all others.
constexpr int64_t UrgentRank = int64_t{1} << 40;

int64_t rankOf(const RequestInfo &Request) {
  return Request.Priority_ + (Request.Deferrable_ ? 0 : UrgentRank);
}

} // namespace

Router::Impl::Impl(RouterSettings Settings)
    : Settings_(std::move(Settings)), Rng_(Settings_.Seed_),
      Upstreams_(Settings_, Rng_), Queue_(Settings_.QueueLimit_ / StandingPart),
      Picker_(Settings_, Rng_), Budget_(Settings_.RetryShare_),
      CrossRegion_(Settings_.CrossRegionBytesPerSecond_) {}

void Router::Impl::begin(const RequestInfo &Request, base::TimePoint Now) {
  // A second request with the id of one in progress would mix up two answers.
  if (Requests_.count(Request.Id_) != 0)
    return;
  ++Counters_.Requests_;
  if (!admit(Request, Now))
    return;
  Budget_.onRequest();
  RequestRecord &Record = Requests_[Request.Id_];
  Record.Info_ = Request;
  Record.Info_.Deadline_ = std::min(Request.Deadline_, Now + LongestRequest);
  Record.Queue_ = {rankOf(Request), ++Arrivals_, Request.Id_, Now};
  ++PerWorkspace_[Request.Workspace_];
  setTimer(Record.Info_.Deadline_, TimerKind::Deadline, Request.Id_);
  if (Queue_.empty(Request.Service_) && trySend(Record, Now))
    return;
  if (enqueue(Record, Now))
    dispatch(Now);
}

bool Router::Impl::admit(const RequestInfo &Request, base::TimePoint Now) {
  auto InProgress = PerWorkspace_.find(Request.Workspace_);
  if (Request.MaxConcurrent_ > 0 && InProgress != PerWorkspace_.end() &&
      InProgress->second >= Request.MaxConcurrent_) {
    refuseUnknownRecord(Request, base::ErrorKind::OverQuota,
                        "workspace has its maximum of requests in progress");
    return false;
  }
  if (!Upstreams_.serves(Request.Service_)) {
    refuseUnknownRecord(Request, base::ErrorKind::NoUpstream,
                        "no upstream of the service accepts requests");
    return false;
  }
  if (!canMeet(Request.Deadline_, Request.Service_, Now)) {
    refuseUnknownRecord(
        Request, base::ErrorKind::DeadlineBeforeSend,
        "the deadline is nearer than the fastest recent answer");
    return false;
  }
  return true;
}

bool Router::Impl::canMeet(base::TimePoint Deadline, const std::string &Service,
                           base::TimePoint Now) {
  return Deadline - Now >
         stats(Service, Now).Latency_.fastest().value_or(base::Duration(0));
}

bool Router::Impl::enqueue(RequestRecord &Record, base::TimePoint Now) {
  if (Queue_.size() >= Settings_.MaxQueued_) {
    auto Victim = Queue_.victimFor(Record.Queue_.Rank_, Now);
    RequestRecord &Shed = Victim ? Requests_.at(*Victim) : Record;
    refuse(Shed, base::ErrorKind::Overloaded, "the queue is full");
    if (!Victim)
      return false;
  }
  const std::string &Service = Record.Info_.Service_;
  auto Least =
      stats(Service, Now).Latency_.fastest().value_or(base::Duration(0));
  Record.Queue_.Since_ = Now;
  Record.QueueEnd_ =
      std::min(Now + Settings_.QueueLimit_, Record.Info_.Deadline_ - Least);
  Record.Waiting_ = true;
  Queue_.add(Service, Record.Queue_);
  setTimer(Record.QueueEnd_, TimerKind::QueueEnd, Record.Info_.Id_);
  return true;
}

void Router::Impl::leaveQueue(RequestRecord &Record) {
  if (!Record.Waiting_)
    return;
  Queue_.remove(Record.Info_.Service_, Record.Queue_);
  Record.Waiting_ = false;
}

void Router::Impl::callerGone(uint64_t Request, base::TimePoint Now) {
  auto Found = Requests_.find(Request);
  if (Found == Requests_.end())
    return;
  RequestRecord &Record = Found->second;
  if (!Record.Live_.empty() && !Record.Info_.Idempotent_) {
    Record.on(RequestEvent::Detach);
    return;
  }
  if (!Record.on(RequestEvent::CallerLeft))
    return;
  bool MayRun = Record.MayHaveRun_ || !Record.Live_.empty();
  cancelLive(Record);
  emitRefusal(Request,
              MayRun ? base::ErrorKind::OutcomeUnknown
                     : base::ErrorKind::DeadlineBeforeSend,
              MayRun ? base::Outcome::Unknown : base::Outcome::NotRun,
              "the caller closed its connection");
  forget(Record);
  dispatch(Now);
}

void Router::Impl::tick(base::TimePoint Now) {
  while (!Timers_.empty() && Timers_.front().When_ <= Now) {
    std::pop_heap(Timers_.begin(), Timers_.end());
    Timer Due = Timers_.back();
    Timers_.pop_back();
    fire(Due, Now);
  }
  Upstreams_.tick(Now);
  dispatch(Now);
  measureShortage(Now);
}

void Router::Impl::measureShortage(base::TimePoint Now) {
  if (Now - ShortMeasured_ < ShortageSampling)
    return;
  ShortMeasured_ = Now;
  if (Now - ShortSince_ >= ShortageInterval) {
    ShortBefore_ = ShortNow_;
    ShortNow_ = 0;
    ShortSince_ = Now;
  }
  ShortNow_ = std::max<uint64_t>(
      ShortNow_,
      Queue_.size() + static_cast<uint64_t>(Upstreams_.slotsShort(Now)));
}

void Router::Impl::setTimer(base::TimePoint When, TimerKind Kind,
                            uint64_t Request, uint32_t Attempt) {
  Timers_.push_back({When, Request, Attempt, Kind});
  std::push_heap(Timers_.begin(), Timers_.end());
  if (Timers_.size() >
      SpareTimers + TimersPerRequest * (Requests_.size() + Attempts_.size()))
    dropStaleTimers();
}

bool Router::Impl::stale(const Timer &Value) const {
  if (Value.Kind_ == TimerKind::AttemptExpiry)
    return Attempts_.count({Value.Request_, Value.Attempt_}) == 0;
  return Requests_.count(Value.Request_) == 0;
}

// Long deadlines would otherwise keep the timers of requests long ended.
void Router::Impl::dropStaleTimers() {
  Timers_.erase(
      std::remove_if(Timers_.begin(), Timers_.end(),
                     [&](const Timer &Value) { return stale(Value); }),
      Timers_.end());
  std::make_heap(Timers_.begin(), Timers_.end());
}

// Timers are not removed when their cause is gone; each is checked against the
// record when it fires.
void Router::Impl::fire(const Timer &Due, base::TimePoint Now) {
  if (Due.Kind_ == TimerKind::AttemptExpiry) {
    expireAttempt({Due.Request_, Due.Attempt_}, Now);
    return;
  }
  auto Found = Requests_.find(Due.Request_);
  if (Found == Requests_.end())
    return;
  RequestRecord &Record = Found->second;
  switch (Due.Kind_) {
  case TimerKind::Deadline:
    if (Record.Info_.Deadline_ == Due.When_)
      onDeadline(Record);
    break;
  case TimerKind::QueueEnd:
    if (Record.Waiting_ && Record.QueueEnd_ == Due.When_)
      onQueueEnd(Record, Now);
    break;
  case TimerKind::Retry:
    if (Record.RetryAt_ == Due.When_ && Record.on(RequestEvent::RetryDue))
      enqueue(Record, Now);
    break;
  case TimerKind::Hedge:
    if (Record.State_ == RequestState::InFlight &&
        Record.Live_.front() == Due.Attempt_)
      tryHedge(Record, Now);
    break;
  case TimerKind::AttemptExpiry:
    break;
  }
}

// A non-idempotent attempt is not cancelled: it runs to its end, and only its
// answer is no longer wanted.
void Router::Impl::onDeadline(RequestRecord &Record) {
  bool MayRun = Record.MayHaveRun_ || !Record.Live_.empty();
  refuse(Record,
         MayRun ? base::ErrorKind::DeadlineAfterSend
                : base::ErrorKind::DeadlineBeforeSend,
         MayRun ? "the deadline passed before an answer came"
                : "the deadline passed before the request was sent");
}

void Router::Impl::onQueueEnd(RequestRecord &Record, base::TimePoint Now) {
  if (!Upstreams_.serves(Record.Info_.Service_))
    refuse(Record, base::ErrorKind::NoUpstream,
           "no upstream of the service accepts requests");
  else if (Now - Record.Queue_.Since_ < Settings_.QueueLimit_)
    refuse(Record, base::ErrorKind::DeadlineBeforeSend,
           "no slot became free in time for the deadline");
  else
    refuse(Record, base::ErrorKind::QueueTimeout,
           "no slot became free within the queue limit");
}

void Router::Impl::refuse(RequestRecord &Record, base::ErrorKind Kind,
                          const std::string &Message) {
  if (!Record.on(RequestEvent::Refuse))
    return;
  bool MayRun = Record.MayHaveRun_ || !Record.Live_.empty();
  bool KindSaysNotRun = base::errorInfo(Kind).Outcome_ == base::Outcome::NotRun;
  emitRefusal(Record.Info_.Id_, Kind,
              MayRun || !KindSaysNotRun ? base::Outcome::Unknown
                                        : base::Outcome::NotRun,
              Message);
  if (Record.Info_.Idempotent_)
    cancelLive(Record);
  forget(Record);
}

void Router::Impl::refuseUnknownRecord(const RequestInfo &Request,
                                       base::ErrorKind Kind,
                                       const std::string &Message) {
  emitRefusal(Request.Id_, Kind, base::Outcome::NotRun, Message);
}

void Router::Impl::emitRefusal(uint64_t Request, base::ErrorKind Kind,
                               base::Outcome Outcome,
                               const std::string &Message) {
  ++Counters_.Refused_;
  Actions_.emplace_back(RefuseAction{Request, Kind, Outcome, Message});
}

void Router::Impl::deliver(RequestRecord &Record, uint32_t Attempt) {
  if (!Record.on(RequestEvent::Answer))
    return;
  ++Counters_.Delivered_;
  Actions_.emplace_back(DeliverAction{Record.Info_.Id_, Attempt});
  cancelLive(Record);
  forget(Record);
}

// A cancelled attempt keeps its slot until the shell reports its end.
void Router::Impl::cancelLive(RequestRecord &Record) {
  for (uint32_t Attempt : Record.Live_)
    Actions_.emplace_back(CancelAction{Record.Info_.Id_, Attempt});
  Record.Live_.clear();
}

void Router::Impl::forget(RequestRecord &Record) {
  leaveQueue(Record);
  auto InProgress = PerWorkspace_.find(Record.Info_.Workspace_);
  if (--InProgress->second == 0)
    PerWorkspace_.erase(InProgress);
  Requests_.erase(Record.Info_.Id_);
}

} // namespace crocuslead::route
