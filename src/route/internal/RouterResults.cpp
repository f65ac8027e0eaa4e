#include "route/internal/RouterImpl.h"

#include <algorithm>
#include <cmath>

namespace crocuslead::route {

namespace {

constexpr uint32_t MaxAttempts = 4;
constexpr std::chrono::milliseconds FirstBackoff{10};
constexpr std::chrono::seconds LongestBackoff{1};
constexpr double AnswerBytesStep = 0.1;
constexpr int FirstServerError = 500;

//! Answers that say that the upstream, not the request, is at fault.
bool isUpstreamFault(int HttpStatus) {
  return HttpStatus == 502 || HttpStatus == 503 || HttpStatus == 504;
}

//! Nothing can have run.
bool surelyNotRun(AttemptEnd End) {
  return End == AttemptEnd::ConnectFailed || End == AttemptEnd::Busy;
}

struct EndRow {
  AttemptEnd End_;
  base::ErrorKind Kind_;
  const char *Message_;
};

constexpr EndRow EndRows[] = {
    {AttemptEnd::ConnectFailed, base::ErrorKind::UpstreamUnreachable,
     "the connection to the upstream could not be made"},
    {AttemptEnd::Busy, base::ErrorKind::UpstreamBusy,
     "the upstream had no free slot"},
    {AttemptEnd::Reset, base::ErrorKind::UpstreamReset,
     "the connection to the upstream broke"},
    {AttemptEnd::Truncated, base::ErrorKind::AnswerTruncated,
     "the answer of the upstream was cut short"},
    {AttemptEnd::TimedOut, base::ErrorKind::DeadlineAfterSend,
     "the upstream did not answer in time"},
    {AttemptEnd::Cancelled, base::ErrorKind::OutcomeUnknown,
     "the attempt was cancelled"},
};

const EndRow &rowOf(AttemptEnd End) {
  for (const EndRow &Row : EndRows)
    if (Row.End_ == End)
      return Row;
  return EndRows[2];
}

} // namespace

void Router::Impl::attemptEnded(const AttemptResult &Result,
                                base::TimePoint Now) {
  auto Found = Attempts_.find({Result.Request_, Result.Attempt_});
  if (Found == Attempts_.end())
    return;
  AttemptRecord Attempt = std::move(Found->second);
  Attempts_.erase(Found);
  Attempt.Upstream_->vacate(Attempt.Kind_, Attempt.SentAt_);
  settleBytes(Attempt, Result);
  learn(Attempt, Result, Now);
  auto Request = Requests_.find(Result.Request_);
  if (Request != Requests_.end()) {
    std::vector<uint32_t> &Live = Request->second.Live_;
    auto Wanted = std::find(Live.begin(), Live.end(), Result.Attempt_);
    if (Wanted != Live.end()) {
      Live.erase(Wanted);
      liveAttemptEnded(Request->second, Result, Now);
    }
  }
  dispatch(Now);
}

void Router::Impl::settleBytes(const AttemptRecord &Attempt,
                               const AttemptResult &Result) {
  if (Attempt.CrossRegion_) {
    Counters_.CrossRegionBytes_ += Result.AnswerBytes_;
    CrossRegion_.take(static_cast<double>(Result.AnswerBytes_) -
                      Attempt.ExpectedAnswerBytes_);
  }
  if (Result.End_ != AttemptEnd::Answered)
    return;
  double &Mean = Services_[Attempt.Service_].AnswerBytes_;
  Mean += AnswerBytesStep * (static_cast<double>(Result.AnswerBytes_) - Mean);
}

void Router::Impl::learn(const AttemptRecord &Attempt,
                         const AttemptResult &Result, base::TimePoint Now) {
  Upstream &U = *Attempt.Upstream_;
  base::Duration Age = Now - Attempt.SentAt_;
  LatencySketch &Latency = Services_[Attempt.Service_].Latency_;
  switch (Result.End_) {
  case AttemptEnd::Answered:
    if (Result.HttpStatus_ >= FirstServerError) {
      Upstreams_.afterFailure(U, false, Now);
      return;
    }
    Latency.addAnswer(Age, Now);
    U.recordAnswer(Age, Now);
    Upstreams_.afterSuccess(U, Now);
    return;
  case AttemptEnd::Cancelled:
    // Without these samples the quantiles would forget the slow answers that
    // hedges replace, and more and more requests would be hedged.
    if (Age > Latency.high().value_or(Age))
      Latency.addAbandoned(Age, Now);
    U.recordAbandoned(Age, Now);
    return;
  // Timeouts stand for the deadlines of callers, not for the service.
  case AttemptEnd::TimedOut:
    U.recordAbandoned(Age, Now);
    break;
  case AttemptEnd::Busy:
    return;
  default:
    break;
  }
  Upstreams_.afterFailure(U, Result.End_ == AttemptEnd::ConnectFailed, Now);
}

void Router::Impl::liveAttemptEnded(RequestRecord &Record,
                                    const AttemptResult &Result,
                                    base::TimePoint Now) {
  bool Answered = Result.End_ == AttemptEnd::Answered;
  bool Good = Answered && !(Record.Info_.Idempotent_ &&
                            isUpstreamFault(Result.HttpStatus_));
  if (Good) {
    deliver(Record, Result.Attempt_);
    return;
  }
  Record.MayHaveRun_ = Record.MayHaveRun_ || !surelyNotRun(Result.End_);
  if (!Record.Live_.empty()) {
    Record.on(RequestEvent::AttemptLost);
    return;
  }
  if (mayRetry(Record, Result) && scheduleRetry(Record, Now))
    return;
  if (Answered) {
    deliver(Record, Result.Attempt_);
    return;
  }
  const EndRow &Row = rowOf(Result.End_);
  refuse(Record, Row.Kind_, Row.Message_);
}

bool Router::Impl::mayRetry(const RequestRecord &Record,
                            const AttemptResult &Result) const {
  if (Record.State_ != RequestState::InFlight ||
      Record.Attempts_ >= MaxAttempts || Result.End_ == AttemptEnd::Cancelled)
    return false;
  return Record.Info_.Idempotent_ || surelyNotRun(Result.End_);
}

bool Router::Impl::scheduleRetry(RequestRecord &Record, base::TimePoint Now) {
  auto Full = std::min<base::Duration>(
      FirstBackoff * (int64_t{1} << (Record.Attempts_ - 1)), LongestBackoff);
  base::Duration Delay(static_cast<int64_t>(static_cast<double>(Full.count()) *
                                            (0.5 + 0.5 * Rng_.unit())));
  base::TimePoint RetryAt = Now + Delay;
  if (!canMeet(Record.Info_.Deadline_ - Delay, Record.Info_.Service_, Now) ||
      !Budget_.tryRetry() || !Record.on(RequestEvent::BackOff))
    return false;
  ++Counters_.Retries_;
  Record.RetryAt_ = RetryAt;
  setTimer(RetryAt, TimerKind::Retry, Record.Info_.Id_);
  return true;
}

void Router::Impl::expireAttempt(const AttemptKey &Key, base::TimePoint Now) {
  auto Found = Attempts_.find(Key);
  if (Found == Attempts_.end())
    return;
  Actions_.emplace_back(CancelAction{Key.Request_, Key.Attempt_});
  AttemptResult Result;
  Result.Request_ = Key.Request_;
  Result.Attempt_ = Key.Attempt_;
  Result.End_ = AttemptEnd::TimedOut;
  attemptEnded(Result, Now);
}

} // namespace crocuslead::route
