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
  void add(base::Duration Latency, base::TimePoint Now);
  //! None while too few recent samples are held.
  std::optional<base::Duration> low() const { return Low_; }
  std::optional<base::Duration> median() const { return Median_; }
  std::optional<base::Duration> high() const { return High_; }
  //! Recomputes the quantiles when they are old.
  void refresh(base::TimePoint Now);

private:
  static constexpr std::size_t BucketCount = 128;

  double growth(base::TimePoint Now) const;
  void rescale(base::TimePoint Now);
  //! Bucket of the quantile.
  std::size_t quantile(double Share, double Sum) const;

  std::array<double, BucketCount> Weights_{};
  base::TimePoint Origin_{};
  base::TimePoint Computed_{};
  std::optional<base::Duration> Low_;
  std::optional<base::Duration> Median_;
  std::optional<base::Duration> High_;
};

} // namespace crocuslead::route
