#pragma once

#include "base/Clock.h"

#include <cstddef>
#include <cstdint>
#include <deque>

namespace crocuslead::jobs::internal {

//! Keeps the requests to workers within what the links and processors on the
//! way take in time. When many replies to starts are slow or missing, fewer
//! starts are kept in flight; tasks then wait in the order of the queue instead
//! of in the network. When replies of any kind are, polls become rarer. Losses
//! at a few workers have no effect.
class CongestionControl {
public:
  //! A start request is sent; StartsInFlight includes it.
  void recordStart(base::TimePoint Now, std::size_t StartsInFlight);
  //! A task was not started because the limit was reached.
  void recordWithheld() { LimitReached_ = true; }
  //! Reply to a start that was sent at SentAt and took Time, of which it spent
  //! QueueingDelay waiting on the path or in this process.
  void recordStartReply(base::TimePoint SentAt, base::Duration Time,
                        base::Duration QueueingDelay);
  //! A start that was sent at SentAt got no reply.
  void recordStartLoss(base::TimePoint SentAt);
  //! Reply to a poll that took Time, not counting the time for which the worker
  //! was asked to wait.
  void recordPollReply(base::Duration Time);
  //! A poll of a worker that answered before got no reply.
  void recordPollLoss();
  //! Adapts the limits once in every RoundTime; to be called often.
  void adapt(base::TimePoint Now);

  //! Replies were slow lately, so polls are spaced out.
  bool congested() const { return PollPause_.count() > 0; }
  std::size_t maxStartsInFlight() const { return MaxStartsInFlight_; }
  uint64_t lossReductions() const { return LossReductions_; }
  uint64_t queueingReductions() const { return QueueingReductions_; }
  //! Pause between the reply to a poll and the next poll of the same worker.
  base::Duration pollPause() const { return PollPause_; }

  static constexpr base::Duration RoundTime = std::chrono::milliseconds(250);
  //! A reply that takes longer is slow. Well above the round trip between
  //! regions and below the time after which a request is given up.
  static constexpr base::Duration SlowReply = std::chrono::milliseconds(300);
  //! So is a reply to a start that waited for longer. Tasks that wait in the
  //! queue keep their order; those that wait in flight delay urgent ones.
  static constexpr base::Duration MaxQueueingDelay =
      std::chrono::milliseconds(80);
  static constexpr std::size_t InitialStartsInFlight = 256;
  static constexpr std::size_t LeastStartsInFlight = 8;
  static constexpr std::size_t MostStartsInFlight = 4096;
  //! Two polls must fit into a lease, so that one may be lost.
  static constexpr base::Duration MaxPollPause = std::chrono::milliseconds(800);

private:
  //! Replies of one round.
  struct Replies {
    std::size_t Count_ = 0;
    std::size_t Slow_ = 0;
    void add(bool Slow) {
      ++Count_;
      Slow_ += Slow ? 1 : 0;
    }
    double slowShare() const {
      return Count_ == 0
                 ? 0
                 : static_cast<double>(Slow_) / static_cast<double>(Count_);
    }
  };

  //! Starts that were sent within a RoundTime of each other.
  struct Cohort {
    base::TimePoint Since_;
    std::size_t Sent_ = 0;
    std::size_t Lost_ = 0;
  };

  //! Largest share of lost starts among the cohorts since the last reduction.
  double lossShare() const;
  void adaptLimit(base::TimePoint Now, double LossShare);
  //! Reduces the limit to Factor of the starts that were in flight, but not
  //! below Least.
  void reduceLimit(base::TimePoint Now, double Factor, std::size_t Least);
  void adaptPolls();

  std::deque<Cohort> Cohorts_;
  Replies Starts_;
  //! The same replies; those that queued for too long count as slow as well.
  Replies QueuedStarts_;
  Replies All_;
  std::size_t MostInFlight_ = 0;
  bool LimitReached_ = false;
  base::TimePoint RoundEnd_;
  base::TimePoint LimitReducedAt_;
  std::size_t MaxStartsInFlight_ = InitialStartsInFlight;
  uint64_t LossReductions_ = 0;
  uint64_t QueueingReductions_ = 0;
  base::Duration PollPause_{};
};

} // namespace crocuslead::jobs::internal
