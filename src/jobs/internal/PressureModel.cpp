#include "jobs/internal/PressureModel.h"

#include <algorithm>
#include <cmath>

namespace crocuslead::jobs::internal {

namespace {

// Before anything was seen of a pair: most pairs hardly disturb each other,
// some take several times their use.
constexpr double PriorPressure = 2.5;
// Weight of the prior, as a sum of squared changes of use; a task of a tenth of
// a worker adds 0.01 when it starts or ends.
constexpr double PriorWeight = 0.03;
constexpr double MaxPressure = 80;
// Pairs either share a resource or do not; a small estimate is noise.
constexpr double Negligible = 1.5;
// Older changes fade, since images behave differently from hour to hour.
constexpr double Memory = 0.999;
// Smaller changes drown in the noise of the figures.
constexpr double LeastChange = 0.005;

} // namespace

double PressureModel::Pair::pressure() const {
  double Estimate = std::clamp((Product_ + PriorPressure * PriorWeight) /
                                   (Square_ + PriorWeight),
                               0.0, MaxPressure);
  return Estimate < Negligible ? 0 : Estimate;
}

ImageNumber PressureModel::numberOf(const std::string &Image) {
  return Numbers_.try_emplace(Image, static_cast<ImageNumber>(Numbers_.size()))
      .first->second;
}

PressureModel::Pair &PressureModel::pair(ImageNumber BestEffort,
                                         ImageNumber Serving) {
  if (Pairs_.size() <= BestEffort)
    Pairs_.resize(BestEffort + 1);
  if (Pairs_[BestEffort].size() <= Serving)
    Pairs_[BestEffort].resize(Serving + 1);
  return Pairs_[BestEffort][Serving];
}

double PressureModel::pressure(ImageNumber BestEffort,
                               ImageNumber Serving) const {
  if (Pairs_.size() <= BestEffort || Pairs_[BestEffort].size() <= Serving)
    return PriorPressure;
  return Pairs_[BestEffort][Serving].pressure();
}

double PressureModel::taken(const UsageByImage &Use,
                            ImageNumber Serving) const {
  double Sum = 0;
  for (const auto &[Image, Part] : Use)
    Sum += pressure(Image, Serving) * Part;
  return Sum;
}

void PressureModel::observe(ImageNumber Serving, double HeadroomChange,
                            const UsageByImage &Before,
                            const UsageByImage &After) {
  UsageByImage Change = After;
  for (const auto &[Image, Part] : Before)
    Change[Image] -= Part;
  double Explained = -taken(Change, Serving);
  for (const auto &[Image, Part] : Change) {
    if (std::abs(Part) < LeastChange)
      continue;
    Pair &Of = pair(Image, Serving);
    // What the other images leave unexplained is this one's doing.
    double Own = HeadroomChange - Explained - Of.pressure() * Part;
    Of.Product_ = Of.Product_ * Memory - Own * Part;
    Of.Square_ = Of.Square_ * Memory + Part * Part;
  }
}

} // namespace crocuslead::jobs::internal
