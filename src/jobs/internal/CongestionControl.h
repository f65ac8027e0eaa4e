#pragma once

#include "base/Clock.h"

#include <cstddef>

namespace crocuslead::jobs::internal {

//! Keeps the requests to workers within what the links and processors on the
//! way take in time. When many replies are slow or missing, fewer starts are
//! kept in flight and polls become rarer; tasks then wait in the order of the
//! queue instead of in the network. Losses at a few workers have no effect.
class CongestionControl {
public:
  //! Reply to a request that was answered after Time, not counting the time for
  //! which the worker was asked to wait.
  void recordReply(base::Duration Time);
  //! A request to a worker that answered before got no reply.
  void recordLoss();
  //! Adapts the limits once in every RoundTime; to be called often.
  //! StartsInFlight is the present number.
  void adapt(base::TimePoint Now, std::size_t StartsInFlight);

  //! Replies were slow lately, so polls are spaced out.
  bool congested() const { return PollPause_.count() > 0; }
  std::size_t maxStartsInFlight() const { return MaxStartsInFlight_; }
  //! Pause between the reply to a poll and the next poll of the same worker.
  base::Duration pollPause() const { return PollPause_; }

  static constexpr base::Duration RoundTime = std::chrono::milliseconds(250);
  //! A reply that takes longer is slow. Well above the round trip between
  //! regions and below the time after which a request is given up.
  static constexpr base::Duration SlowReply = std::chrono::milliseconds(300);
  static constexpr std::size_t InitialStartsInFlight = 256;
  static constexpr std::size_t LeastStartsInFlight = 8;
  static constexpr std::size_t MostStartsInFlight = 4096;
  //! Two polls must fit into a lease, so that one may be lost.
  static constexpr base::Duration MaxPollPause = std::chrono::milliseconds(800);

private:
  std::size_t Replies_ = 0;
  std::size_t SlowReplies_ = 0;
  bool LimitReached_ = false;
  base::TimePoint RoundEnd_;
  std::size_t MaxStartsInFlight_ = InitialStartsInFlight;
  base::Duration PollPause_{};
};

} // namespace crocuslead::jobs::internal
