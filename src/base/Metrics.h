#pragma once

#include "base/Clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace crocuslead::base {

//! Names and values that tell the series of one metric apart.
using Labels = std::vector<std::pair<std::string, std::string>>;

class Counter {
public:
  void add(uint64_t Count = 1) { Value_ += Count; }
  //! For counters that another part keeps; Value must not go back.
  void set(uint64_t Value) { Value_ = Value; }
  uint64_t value() const { return Value_; }

private:
  uint64_t Value_ = 0;
};

class Gauge {
public:
  void set(double Value) { Value_ = Value; }
  void add(double Change) { Value_ += Change; }
  double value() const { return Value_; }

private:
  double Value_ = 0;
};

//! Distribution of durations over logarithmic buckets from 100 us to 100 s.
class LatencyHistogram {
public:
  LatencyHistogram();
  LatencyHistogram(const LatencyHistogram &) = delete;
  LatencyHistogram &operator=(const LatencyHistogram &) = delete;
  ~LatencyHistogram();

  void record(Duration Latency);
  uint64_t count() const { return Count_; }
  //! Upper bound of the bucket that holds the given part of the records, 0 to
  //! 1; at most 12% above the true value between 100 us and 100 s. 0 when
  //! nothing was recorded, 100 s for records beyond it.
  Duration quantile(double Part) const;
  //! Appends the lines of this series in the text exposition format.
  void dump(std::string &Out, const std::string &Name,
            const Labels &Series) const;

private:
  // Boost.Histogram is kept out of this widely included header.
  struct Buckets;
  std::unique_ptr<Buckets> Buckets_;
  uint64_t Count_ = 0;
  double SumSeconds_ = 0;
};

//! All metrics of a process. References stay valid as long as the registry.
//! Used from the event loop's thread only.
class MetricsRegistry {
public:
  //! Series of one metric above this number share one series labelled
  //! overflow="true", so that labels cannot exhaust the memory.
  static constexpr std::size_t MaxSeries = 2'000;

  //! Finds or creates a series. One name has one type; another type for the
  //! same name throws std::logic_error.
  Counter &counter(const std::string &Name, const std::string &Help,
                   const Labels &Series = {});
  Gauge &gauge(const std::string &Name, const std::string &Help,
               const Labels &Series = {});
  LatencyHistogram &histogram(const std::string &Name, const std::string &Help,
                              const Labels &Series = {});
  //! Refresh is called before each dump, to set values that are kept elsewhere.
  void beforeDump(std::function<void()> Refresh);
  //! Text exposition format, version 0.0.4.
  std::string dump();

private:
  using Metric = std::variant<std::unique_ptr<Counter>, std::unique_ptr<Gauge>,
                              std::unique_ptr<LatencyHistogram>>;
  struct Family {
    std::string Help_;
    std::map<Labels, Metric> Series_;
  };

  template <typename T>
  T &find(const std::string &Name, const std::string &Help,
          const Labels &Series);

  std::map<std::string, Family> Families_;
  std::vector<std::function<void()>> Refresh_;
};

} // namespace crocuslead::base
