#pragma once

#include "base/Clock.h"

#include <array>
#include <cstddef>
#include <optional>

namespace crocuslead::route {

//! Quantiles of recent latencies: logarithmic buckets (four per factor of two)
//! whose weights halve every few seconds.
class LatencySketch {
public:
  void addAnswer(base::Duration Latency, base::TimePoint Now);
  //! An attempt was given up after Age: its latency would have been longer.
  void addAbandoned(base::Duration Age, base::TimePoint Now);
  //! Fastest answer of the last one to two seconds; none after few answers, so
  //! that a limit derived from it ends by itself when no more answers come.
  std::optional<base::Duration> fastest() const { return Fastest_; }
  //! None while too few recent samples are held.
  std::optional<base::Duration> median() const { return Median_; }
  std::optional<base::Duration> high() const { return High_; }
  //! Recomputes the quantiles when they are old.
  void refresh(base::TimePoint Now);

private:
  static constexpr std::size_t BucketCount = 128;

  struct Window {
    int Answers_ = 0;
    base::Duration Fastest_ = base::Duration::max();
  };

  void add(base::Duration Latency, base::TimePoint Now);
  void moveWindows(base::TimePoint Now);
  double growth(base::TimePoint Now) const;
  void rescale(base::TimePoint Now);
  //! Bucket of the quantile.
  std::size_t quantile(double Share, double Sum) const;

  std::array<double, BucketCount> Weights_{};
  base::TimePoint Origin_{};
  base::TimePoint Computed_{};
  Window Present_;
  Window Former_;
  base::TimePoint PresentSince_{};
  std::optional<base::Duration> Fastest_;
  std::optional<base::Duration> Median_;
  std::optional<base::Duration> High_;
};

} // namespace crocuslead::route
