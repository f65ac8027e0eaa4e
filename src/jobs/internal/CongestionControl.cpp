#include "jobs/internal/CongestionControl.h"

#include <algorithm>

namespace crocuslead::jobs::internal {

namespace {

// A round with fewer replies says little.
constexpr std::size_t MinReplies = 16;
// Above this share of slow replies the cause is on the common path, not at
// single workers; below the lower one the path has room.
constexpr double CongestedShare = 0.25;
constexpr double ClearShare = 0.05;
constexpr double LossDecreaseFactor = 0.5;
// Queueing alone loses nothing, so it is corrected in smaller steps.
constexpr double QueueingDecreaseFactor = 0.8;
// Fewer starts are not what other requests queue behind.
constexpr std::size_t LeastQueueingLimit = 32;
// The limit grows by this part of it in a round, and in a round without any
// slow reply. A path that is exactly full takes one and a half times as long
// after such a step, which is still below the time after which a request is
// given up.
constexpr std::size_t GrowthDivisor = 8;
constexpr std::size_t ClearGrowthDivisor = 2;
// Well above the time after which a request is given up.
constexpr base::Duration CohortMemory = std::chrono::seconds(3);
constexpr base::Duration FirstPollPause = std::chrono::milliseconds(40);
constexpr base::Duration LeastPollPause = std::chrono::milliseconds(10);

} // namespace

void CongestionControl::recordStart(base::TimePoint Now,
                                    std::size_t StartsInFlight) {
  MostInFlight_ = std::max(MostInFlight_, StartsInFlight);
  if (Cohorts_.empty() || Now >= Cohorts_.back().Since_ + RoundTime ||
      Cohorts_.back().Since_ < LimitReducedAt_)
    Cohorts_.push_back({Now});
  ++Cohorts_.back().Sent_;
}

// What was sent before the limit was reduced says nothing about the new limit.
void CongestionControl::recordStartReply(base::TimePoint SentAt,
                                         base::Duration Time,
                                         base::Duration QueueingDelay) {
  bool Slow = Time > SlowReply;
  All_.add(Slow);
  if (SentAt < LimitReducedAt_)
    return;
  Starts_.add(Slow);
  QueuedStarts_.add(Slow || QueueingDelay > MaxQueueingDelay);
}

// A loss shows long after the replies to the other starts of its time. Weighed
// against the replies of the present, a few losses would look like many.
void CongestionControl::recordStartLoss(base::TimePoint SentAt) {
  All_.add(true);
  auto Own = std::find_if(
      Cohorts_.rbegin(), Cohorts_.rend(),
      [SentAt](const Cohort &Each) { return Each.Since_ <= SentAt; });
  if (Own != Cohorts_.rend())
    ++Own->Lost_;
}

double CongestionControl::lossShare() const {
  double Largest = 0;
  for (const Cohort &Each : Cohorts_)
    if (Each.Since_ >= LimitReducedAt_ && Each.Sent_ >= MinReplies)
      Largest = std::max(Largest, static_cast<double>(Each.Lost_) /
                                      static_cast<double>(Each.Sent_));
  return Largest;
}

void CongestionControl::recordPollReply(base::Duration Time) {
  All_.add(Time > SlowReply);
}

void CongestionControl::recordPollLoss() { All_.add(true); }

void CongestionControl::adapt(base::TimePoint Now) {
  if (Now < RoundEnd_)
    return;
  RoundEnd_ = Now + RoundTime;
  while (!Cohorts_.empty() && Cohorts_.front().Since_ + CohortMemory < Now)
    Cohorts_.pop_front();
  double LossShare = lossShare();
  if (LossShare > CongestedShare || Starts_.Count_ >= MinReplies) {
    adaptLimit(Now, LossShare);
    Starts_ = QueuedStarts_ = {};
    MostInFlight_ = 0;
    LimitReached_ = false;
  }
  if (All_.Count_ >= MinReplies) {
    adaptPolls();
    All_ = {};
  }
}

void CongestionControl::adaptLimit(base::TimePoint Now, double LossShare) {
  double QueuedShare = QueuedStarts_.slowShare();
  if (LossShare > CongestedShare || Starts_.slowShare() > CongestedShare) {
    ++LossReductions_;
    reduceLimit(Now, LossDecreaseFactor, LeastStartsInFlight);
  } else if (QueuedShare > CongestedShare) {
    if (MaxStartsInFlight_ > LeastQueueingLimit) {
      ++QueueingReductions_;
      reduceLimit(Now, QueueingDecreaseFactor, LeastQueueingLimit);
    }
  } else if (QueuedShare < ClearShare && LossShare < ClearShare &&
             LimitReached_) {
    std::size_t Divisor =
        QueuedStarts_.Slow_ == 0 ? ClearGrowthDivisor : GrowthDivisor;
    MaxStartsInFlight_ =
        std::min(MostStartsInFlight,
                 MaxStartsInFlight_ + 1 + MaxStartsInFlight_ / Divisor);
  }
}

void CongestionControl::reduceLimit(base::TimePoint Now, double Factor,
                                    std::size_t Least) {
  std::size_t Used = std::min(MaxStartsInFlight_,
                              std::max(MostInFlight_, LeastStartsInFlight * 2));
  MaxStartsInFlight_ = std::max(
      Least, static_cast<std::size_t>(static_cast<double>(Used) * Factor));
  LimitReducedAt_ = Now;
}

void CongestionControl::adaptPolls() {
  double SlowShare = All_.slowShare();
  if (SlowShare > CongestedShare) {
    PollPause_ =
        std::min(MaxPollPause, std::max(FirstPollPause, PollPause_ * 3 / 2));
  } else if (SlowShare < ClearShare) {
    PollPause_ = PollPause_ * 3 / 4;
    if (PollPause_ < LeastPollPause)
      PollPause_ = {};
  }
}

} // namespace crocuslead::jobs::internal
