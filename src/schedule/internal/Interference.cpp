#include "schedule/internal/Interference.h"

#include <algorithm>
#include <cmath>

namespace crocuslead::schedule::internal {

namespace {

// Weight of a new measurement once a pair is known.
constexpr double Smoothing = 0.1;
// Width of the confidence bound in standard errors.
constexpr double Confidence = 2.0;
constexpr uint32_t FewestMeasurements = 3;
// Measurements that an exponentially weighted mean effectively holds.
constexpr uint32_t EffectiveMeasurements = 20;
// Kinds beyond this number share no estimates; bounds the table at 12 MB.
constexpr uint32_t MostKinds = 1024;

} // namespace

void InterferenceModel::growTo(uint32_t Kind) {
  if (Kind < Side_)
    return;
  uint32_t Side = std::max<uint32_t>(16, Side_);
  while (Side <= Kind)
    Side *= 2;
  std::vector<Pair> Grown(static_cast<std::size_t>(Side) * Side);
  for (std::size_t Row = 0; Row < Side_; ++Row)
    std::copy_n(Pairs_.begin() + static_cast<std::ptrdiff_t>(Row * Side_),
                Side_, Grown.begin() + static_cast<std::ptrdiff_t>(Row * Side));
  Pairs_ = std::move(Grown);
  Side_ = Side;
}

// Normalised least mean squares: the error of the prediction is divided over
// the neighbours in proportion to their numbers.
void InterferenceModel::update(uint32_t Victim, double Slowdown,
                               const std::vector<Neighbour> &Neighbours) {
  double Predicted = 0;
  double Norm = 0;
  for (const Neighbour &Each : Neighbours) {
    if (Each.Kind_ >= MostKinds || Victim >= MostKinds)
      return;
    growTo(std::max(Each.Kind_, Victim));
    Predicted += Each.Weight_ * mean(Each.Kind_, Victim);
    Norm += Each.Weight_ * Each.Weight_;
  }
  if (Norm <= 0)
    return;
  double Error = std::max(0.0, Slowdown - 1) - Predicted;
  for (const Neighbour &Each : Neighbours) {
    Pair &Known = Pairs_[static_cast<std::size_t>(Each.Kind_) * Side_ + Victim];
    double Rate = std::max(Smoothing, 1.0 / (Known.Count_ + 1.0));
    double Step = Error * Each.Weight_ / Norm;
    Known.Variance_ =
        static_cast<float>((1 - Rate) * (Known.Variance_ + Rate * Step * Step));
    Known.Mean_ = static_cast<float>(std::max(0.0, Known.Mean_ + Rate * Step));
    ++Known.Count_;
  }
}

double InterferenceModel::lowerBound(uint32_t Aggressor,
                                     uint32_t Victim) const {
  const Pair *Known = find(Aggressor, Victim);
  if (Known == nullptr || Known->Count_ < FewestMeasurements)
    return 0;
  double Error = std::sqrt(
      Known->Variance_ /
      static_cast<double>(std::min(Known->Count_, EffectiveMeasurements)));
  return std::max(0.0, Known->Mean_ - Confidence * Error);
}

} // namespace crocuslead::schedule::internal
