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
constexpr double DecreaseFactor = 0.6;
// The limit grows by this part of it in a round.
constexpr std::size_t GrowthDivisor = 8;
constexpr base::Duration FirstPollPause = std::chrono::milliseconds(40);
constexpr base::Duration LeastPollPause = std::chrono::milliseconds(10);

} // namespace

void CongestionControl::recordReply(base::Duration Time) {
  ++Replies_;
  if (Time > SlowReply)
    ++SlowReplies_;
}

void CongestionControl::recordLoss() {
  ++Replies_;
  ++SlowReplies_;
}

void CongestionControl::adapt(base::TimePoint Now, std::size_t StartsInFlight) {
  LimitReached_ = LimitReached_ || StartsInFlight >= MaxStartsInFlight_;
  if (Now < RoundEnd_ || Replies_ < MinReplies)
    return;
  double SlowShare =
      static_cast<double>(SlowReplies_) / static_cast<double>(Replies_);
  if (SlowShare > CongestedShare) {
    auto Reduced = static_cast<std::size_t>(
        static_cast<double>(
            std::min(MaxStartsInFlight_,
                     std::max(StartsInFlight, LeastStartsInFlight * 2))) *
        DecreaseFactor);
    MaxStartsInFlight_ = std::max(LeastStartsInFlight, Reduced);
    PollPause_ =
        std::min(MaxPollPause, std::max(FirstPollPause, PollPause_ * 3 / 2));
  } else if (SlowShare < ClearShare) {
    if (LimitReached_)
      MaxStartsInFlight_ =
          std::min(MostStartsInFlight,
                   MaxStartsInFlight_ + 1 + MaxStartsInFlight_ / GrowthDivisor);
    PollPause_ = PollPause_ * 3 / 4;
    if (PollPause_ < LeastPollPause)
      PollPause_ = {};
  }
  Replies_ = SlowReplies_ = 0;
  LimitReached_ = false;
  RoundEnd_ = Now + RoundTime;
}

} // namespace crocuslead::jobs::internal
