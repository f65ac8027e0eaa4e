#include "route/internal/LatencySketch.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace crocuslead::route {

namespace {

constexpr double HalfLifeSeconds = 5;
//! Weights grow instead of decaying; they are scaled back after this many
//! half-lives.
constexpr double MaxHalfLives = 30;
constexpr std::chrono::milliseconds RefreshInterval{50};
//! Quantiles of fewer samples mean little.
constexpr double MinSamples = 20;
constexpr std::chrono::seconds WindowLength{1};
constexpr int MinAnswers = 20;
constexpr double HighShare = 0.95;

std::size_t bucketOf(base::Duration Latency, std::size_t Count) {
  auto Micros = static_cast<uint64_t>(std::max<int64_t>(Latency.count(), 4));
  int Top = 63 - __builtin_clzll(Micros);
  auto Quarter = static_cast<std::size_t>((Micros >> (Top - 2)) & 3);
  return std::min(static_cast<std::size_t>(Top) * 4 + Quarter, Count - 1);
}

//! Value at a part of the bucket, from 0 to 1.
base::Duration valueOf(std::size_t Bucket, double Part) {
  double Base = std::ldexp(1.0, static_cast<int>(Bucket / 4));
  double Value = Base * (1 + (static_cast<double>(Bucket % 4) + Part) / 4);
  return base::Duration(static_cast<int64_t>(Value));
}

} // namespace

double LatencySketch::growth(base::TimePoint Now) const {
  return std::exp2(base::toSeconds(Now - Origin_) / HalfLifeSeconds);
}

void LatencySketch::rescale(base::TimePoint Now) {
  double HalfLives = base::toSeconds(Now - Origin_) / HalfLifeSeconds;
  if (HalfLives < MaxHalfLives)
    return;
  double Factor = std::exp2(-HalfLives);
  for (double &Weight : Weights_)
    Weight *= Factor;
  Origin_ = Now;
}

void LatencySketch::add(base::Duration Latency, base::TimePoint Now) {
  rescale(Now);
  Weights_[bucketOf(Latency, BucketCount)] += growth(Now);
}

void LatencySketch::addAnswer(base::Duration Latency, base::TimePoint Now) {
  moveWindows(Now);
  ++Present_.Answers_;
  Present_.Fastest_ = std::min(Present_.Fastest_, Latency);
  add(Latency, Now);
}

void LatencySketch::addAbandoned(base::Duration Age, base::TimePoint Now) {
  add(Age, Now);
}

void LatencySketch::moveWindows(base::TimePoint Now) {
  if (Now - PresentSince_ < WindowLength)
    return;
  bool Adjacent = Now - PresentSince_ < 2 * WindowLength;
  Former_ = Adjacent ? Present_ : Window();
  Present_ = Window();
  PresentSince_ = Now;
}

void LatencySketch::refresh(base::TimePoint Now) {
  if (Now - Computed_ < RefreshInterval)
    return;
  Computed_ = Now;
  moveWindows(Now);
  Fastest_ = std::nullopt;
  if (Present_.Answers_ + Former_.Answers_ >= MinAnswers)
    Fastest_ = std::min(Present_.Fastest_, Former_.Fastest_);
  rescale(Now);
  double Sum = std::accumulate(Weights_.begin(), Weights_.end(), 0.0);
  if (Sum < MinSamples * growth(Now)) {
    Median_ = High_ = std::nullopt;
    return;
  }
  // With the upper edge, equal latencies are not hedged just before they end.
  Median_ = valueOf(quantile(0.5, Sum), 0.5);
  High_ = valueOf(quantile(HighShare, Sum), 1);
}

std::size_t LatencySketch::quantile(double Share, double Sum) const {
  double Rest = Share * Sum;
  for (std::size_t I = 0; I < BucketCount; ++I) {
    Rest -= Weights_[I];
    if (Rest <= 0)
      return I;
  }
  return BucketCount - 1;
}

} // namespace crocuslead::route
