#pragma once

#include "base/Clock.h"

#include <algorithm>

namespace crocuslead::route {

//! Token bucket over time for bytes to other regions. It holds at most one
//! second of its rate.
class ByteBudget {
public:
  explicit ByteBudget(double BytesPerSecond)
      : Rate_(BytesPerSecond), Tokens_(BytesPerSecond) {}

  //! A request larger than the whole bucket is let through when the bucket is
  //! full; the bucket then goes below zero.
  bool allows(double Bytes, base::TimePoint Now) {
    refill(Now);
    return Rate_ > 0 && Tokens_ >= std::min(Bytes, Rate_);
  }
  void take(double Bytes) { Tokens_ -= Bytes; }

private:
  void refill(base::TimePoint Now) {
    if (Now <= Last_)
      return;
    Tokens_ = std::min(Rate_, Tokens_ + Rate_ * base::toSeconds(Now - Last_));
    Last_ = Now;
  }

  double Rate_;
  double Tokens_;
  base::TimePoint Last_{};
};

//! Retries and hedges as a share of requests. It starts empty, so that their
//! number never exceeds the share of all requests so far, and holds few
//! tokens, so that calm hours do not pay for a retry storm.
class RetryBudget {
public:
  explicit RetryBudget(double Share) : Share_(Share) {}

  void onRequest() { Tokens_ = std::min(MaxTokens, Tokens_ + Share_); }
  bool tryRetry() { return tryTake(1); }
  //! Hedges leave tokens for retries, which save requests and not only time.
  bool tryHedge() { return tryTake(HedgeFloor); }

private:
  static constexpr double MaxTokens = 20;
  static constexpr double HedgeFloor = 3;

  bool tryTake(double Needed) {
    if (Tokens_ < Needed)
      return false;
    Tokens_ -= 1;
    return true;
  }

  double Share_;
  double Tokens_ = 0;
};

} // namespace crocuslead::route
