#include "schedule/internal/Interference.h"

#include <algorithm>
#include <cmath>

namespace crocuslead::schedule::internal {

namespace {

// Weight of a new measurement, once a pair has enough of them.
constexpr double Smoothing = 0.1;
// Width of the confidence bound in standard errors.
constexpr double Confidence = 2.0;
constexpr uint32_t MinMeasurements = 3;
// Effective sample size of the exponentially weighted mean.
constexpr uint32_t EffectiveMeasurements = 20;
// Kinds from this index on have no estimates, which limits the table to 12 MB.
constexpr uint32_t MaxKinds = 1024;

} // namespace

void InterferenceModel::growTo(uint32_t Kind) {
  if (Kind < KindCapacity_)
    return;
  uint32_t NewCapacity = std::max<uint32_t>(16, KindCapacity_);
  while (NewCapacity <= Kind)
    NewCapacity *= 2;
  std::vector<Estimate> NewEstimates(static_cast<std::size_t>(NewCapacity) *
                                     NewCapacity);
  for (std::size_t Row = 0; Row < KindCapacity_; ++Row)
    std::copy_n(
        Estimates_.begin() + static_cast<std::ptrdiff_t>(Row * KindCapacity_),
        KindCapacity_,
        NewEstimates.begin() + static_cast<std::ptrdiff_t>(Row * NewCapacity));
  Estimates_ = std::move(NewEstimates);
  KindCapacity_ = NewCapacity;
}

// Normalised least mean squares: distributes the prediction error over the
// neighbours in proportion to their weights.
void InterferenceModel::update(uint32_t Victim, double Slowdown,
                               const std::vector<Neighbour> &Neighbours) {
  double Predicted = 0;
  double Norm = 0;
  for (const Neighbour &N : Neighbours) {
    if (N.Kind_ >= MaxKinds || Victim >= MaxKinds)
      return;
    growTo(std::max(N.Kind_, Victim));
    Predicted += N.Weight_ * mean(N.Kind_, Victim);
    Norm += N.Weight_ * N.Weight_;
  }
  if (Norm <= 0)
    return;
  double Error = std::max(0.0, Slowdown - 1) - Predicted;
  for (const Neighbour &N : Neighbours) {
    Estimate &E =
        Estimates_[static_cast<std::size_t>(N.Kind_) * KindCapacity_ + Victim];
    double Rate = std::max(Smoothing, 1.0 / (E.Count_ + 1.0));
    double Step = Error * N.Weight_ / Norm;
    E.Variance_ =
        static_cast<float>((1 - Rate) * (E.Variance_ + Rate * Step * Step));
    E.Mean_ = static_cast<float>(std::max(0.0, E.Mean_ + Rate * Step));
    ++E.Count_;
  }
}

double InterferenceModel::lowerBound(uint32_t Aggressor,
                                     uint32_t Victim) const {
  const Estimate *E = find(Aggressor, Victim);
  if (E == nullptr || E->Count_ < MinMeasurements)
    return 0;
  double Error =
      std::sqrt(E->Variance_ / static_cast<double>(
                                   std::min(E->Count_, EffectiveMeasurements)));
  return std::max(0.0, E->Mean_ - Confidence * Error);
}

} // namespace crocuslead::schedule::internal
