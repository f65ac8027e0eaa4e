#include "base/Metrics.h"

#include <algorithm>
#include <boost/histogram.hpp>
#include <cmath>
#include <cstdio>
#include <stdexcept>
#include <string_view>

namespace crocuslead::base {

namespace {

constexpr double LowestSeconds = 1e-4;
constexpr double HighestSeconds = 1e2;
// 20 buckets a decade bound the error of a quantile to 12%. The dump shows
// every fifth bound: 4 a decade keep a series at 27 lines.
constexpr int BucketCount = 120;
constexpr int BucketsPerLine = 5;

using LogAxis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;

std::string formatNumber(double Value) {
  if (std::isnan(Value))
    return "NaN";
  if (std::isinf(Value))
    return Value > 0 ? "+Inf" : "-Inf";
  char Buffer[32];
  std::snprintf(Buffer, sizeof(Buffer), "%.9g", Value);
  return Buffer;
}

//! Escapes as the exposition format demands; quotes only within labels.
std::string escape(std::string_view Text, bool Quotes) {
  std::string Out;
  for (char C : Text) {
    if (C == '\n') {
      Out += "\\n";
      continue;
    }
    if (C == '\\' || (Quotes && C == '"'))
      Out += '\\';
    Out += C;
  }
  return Out;
}

std::string validName(std::string_view Name) {
  std::string Out;
  for (char C : Name) {
    bool Letter = (C >= 'a' && C <= 'z') || (C >= 'A' && C <= 'Z') || C == '_';
    bool Digit = C >= '0' && C <= '9';
    if (Digit && Out.empty())
      Out += '_';
    Out += Letter || Digit ? C : '_';
  }
  return Out.empty() ? "_" : Out;
}

std::string formatLabels(const Labels &Series) {
  std::string Out;
  for (const auto &[Name, Value] : Series) {
    Out += Out.empty() ? '{' : ',';
    Out += validName(Name);
    Out += "=\"";
    Out += escape(Value, true);
    Out += '"';
  }
  return Out.empty() ? Out : Out + '}';
}

void appendLine(std::string &Out, std::string_view Name, const Labels &Series,
                std::string_view Value) {
  Out.append(Name);
  Out += formatLabels(Series);
  Out += ' ';
  Out.append(Value);
  Out += '\n';
}

struct Dumper {
  std::string &Out_;
  const std::string &Name_;
  const Labels &Series_;

  void operator()(const std::unique_ptr<Counter> &Value) const {
    appendLine(Out_, Name_, Series_, std::to_string(Value->value()));
  }
  void operator()(const std::unique_ptr<Gauge> &Value) const {
    appendLine(Out_, Name_, Series_, formatNumber(Value->value()));
  }
  void operator()(const std::unique_ptr<LatencyHistogram> &Value) const {
    Value->dump(Out_, Name_, Series_);
  }
};

// In the order of the registry's variant.
constexpr std::string_view TypeNames[] = {"counter", "gauge", "histogram"};

} // namespace

struct LatencyHistogram::Buckets {
  using Histogram = decltype(boost::histogram::make_histogram_with(
      std::vector<uint64_t>(),
      LogAxis(BucketCount, LowestSeconds, HighestSeconds)));
  Histogram Counts_ = boost::histogram::make_histogram_with(
      std::vector<uint64_t>(),
      LogAxis(BucketCount, LowestSeconds, HighestSeconds));

  //! Index -1 counts what lies below the axis, BucketCount what lies above.
  uint64_t at(int Index) const { return Counts_.at(Index); }
  double upperBound(int Index) const { return Counts_.axis().value(Index + 1); }
};

LatencyHistogram::LatencyHistogram() : Buckets_(std::make_unique<Buckets>()) {}
LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::record(Duration Latency) {
  double Seconds = std::max(0.0, toSeconds(Latency));
  Buckets_->Counts_(Seconds);
  ++Count_;
  SumSeconds_ += Seconds;
}

Duration LatencyHistogram::quantile(double Part) const {
  if (Count_ == 0)
    return Duration(0);
  auto Wanted = std::max<uint64_t>(
      1, static_cast<uint64_t>(std::ceil(std::clamp(Part, 0.0, 1.0) *
                                         static_cast<double>(Count_))));
  uint64_t Seen = 0;
  int Index = -1;
  for (; Index < BucketCount - 1; ++Index) {
    Seen += Buckets_->at(Index);
    if (Seen >= Wanted)
      break;
  }
  return std::chrono::round<Duration>(
      std::chrono::duration<double>(Buckets_->upperBound(Index)));
}

void LatencyHistogram::dump(std::string &Out, const std::string &Name,
                            const Labels &Series) const {
  Labels WithBound = Series;
  WithBound.emplace_back("le", "");
  uint64_t Seen = 0;
  for (int Index = -1; Index < BucketCount; ++Index) {
    Seen += Buckets_->at(Index);
    if ((Index + 1) % BucketsPerLine != 0)
      continue;
    WithBound.back().second = formatNumber(Buckets_->upperBound(Index));
    appendLine(Out, Name + "_bucket", WithBound, std::to_string(Seen));
  }
  WithBound.back().second = "+Inf";
  appendLine(Out, Name + "_bucket", WithBound, std::to_string(Count_));
  appendLine(Out, Name + "_sum", Series, formatNumber(SumSeconds_));
  appendLine(Out, Name + "_count", Series, std::to_string(Count_));
}

template <typename T>
T &MetricsRegistry::find(const std::string &Name, const std::string &Help,
                         const Labels &Series) {
  using Holder = std::unique_ptr<T>;
  auto [Of, Added] = Families_.try_emplace(validName(Name));
  auto &All = Of->second.Series_;
  if (Added)
    Of->second.Help_ = Help;
  else if (!std::holds_alternative<Holder>(All.begin()->second))
    throw std::logic_error("metric " + Name + " exists with another type");
  bool Full = All.size() >= MaxSeries && All.count(Series) == 0;
  auto [Slot, New] =
      All.try_emplace(Full ? Labels{{"overflow", "true"}} : Series);
  if (New)
    Slot->second = std::make_unique<T>();
  return *std::get<Holder>(Slot->second);
}

Counter &MetricsRegistry::counter(const std::string &Name,
                                  const std::string &Help,
                                  const Labels &Series) {
  return find<Counter>(Name, Help, Series);
}

Gauge &MetricsRegistry::gauge(const std::string &Name, const std::string &Help,
                              const Labels &Series) {
  return find<Gauge>(Name, Help, Series);
}

LatencyHistogram &MetricsRegistry::histogram(const std::string &Name,
                                             const std::string &Help,
                                             const Labels &Series) {
  return find<LatencyHistogram>(Name, Help, Series);
}

void MetricsRegistry::beforeDump(std::function<void()> Refresh) {
  Refresh_.push_back(std::move(Refresh));
}

std::string MetricsRegistry::dump() {
  for (auto &Refresh : Refresh_)
    Refresh();
  std::string Out;
  for (const auto &[Name, Of] : Families_) {
    Out += "# HELP ";
    Out += Name;
    Out += ' ';
    Out += escape(Of.Help_, false);
    Out += "\n# TYPE ";
    Out += Name;
    Out += ' ';
    Out.append(TypeNames[Of.Series_.begin()->second.index()]);
    Out += '\n';
    for (const auto &[Series, Value] : Of.Series_)
      std::visit(Dumper{Out, Name, Series}, Value);
  }
  return Out;
}

} // namespace crocuslead::base
