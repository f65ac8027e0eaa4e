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

double PressureModel::pressure(const std::string &BestEffortImage,
                               const std::string &ServingImage) const {
  auto It = Pairs_.find({BestEffortImage, ServingImage});
  return It == Pairs_.end() ? PriorPressure : It->second.pressure();
}

double PressureModel::taken(const UseByImage &Use,
                            const std::string &ServingImage) const {
  double Sum = 0;
  for (const auto &[Image, Part] : Use)
    Sum += pressure(Image, ServingImage) * Part;
  return Sum;
}

void PressureModel::observe(const std::string &ServingImage,
                            double HeadroomChange, const UseByImage &Before,
                            const UseByImage &After) {
  UseByImage Change = After;
  for (const auto &[Image, Part] : Before)
    Change[Image] -= Part;
  double Explained = 0;
  for (const auto &[Image, Part] : Change)
    Explained -= pressure(Image, ServingImage) * Part;
  for (const auto &[Image, Part] : Change) {
    if (std::abs(Part) < LeastChange)
      continue;
    Pair &Of = Pairs_[{Image, ServingImage}];
    // What the other images leave unexplained is this one's doing.
    double Own = HeadroomChange - Explained - Of.pressure() * Part;
    Of.Product_ = Of.Product_ * Memory - Own * Part;
    Of.Square_ = Of.Square_ * Memory + Part * Part;
  }
}

} // namespace crocuslead::jobs::internal
