#include "jobs/internal/PressureModel.h"

#include <algorithm>
#include <cmath>

namespace crocuslead::jobs::internal {

namespace {

// Pressure assumed for a pair of images without observations: most pairs hardly
// disturb each other, some take several times their CPU usage in headroom.
constexpr double PriorPressure = 2.5;
// Weight of the prior, as a sum of squared changes in usage. A task that uses a
// tenth of a worker adds 0.01 when it starts or ends.
constexpr double PriorWeight = 0.03;
constexpr double MaxPressure = 80;
// Estimates below this are treated as 0: images either contend for a resource
// or do not, so a small estimate is noise.
constexpr double MinPressure = 1.5;
// Decay factor of earlier observations, applied at each new one, since the
// behaviour of images changes from hour to hour.
constexpr double DecayFactor = 0.999;
// Smaller changes in usage are ignored: their effect is below the noise of the
// measured latencies.
constexpr double MinUsageChange = 0.005;

} // namespace

double PressureModel::PairEstimate::pressure() const {
  double Estimate = std::clamp((ProductSum_ + PriorPressure * PriorWeight) /
                                   (SquareSum_ + PriorWeight),
                               0.0, MaxPressure);
  return Estimate < MinPressure ? 0 : Estimate;
}

ImageNumber PressureModel::imageNumber(const std::string &Image) {
  return ImageNumbers_
      .try_emplace(Image, static_cast<ImageNumber>(ImageNumbers_.size()))
      .first->second;
}

PressureModel::PairEstimate &PressureModel::pairEstimate(ImageNumber BestEffort,
                                                         ImageNumber Serving) {
  if (PairEstimates_.size() <= BestEffort)
    PairEstimates_.resize(BestEffort + 1);
  if (PairEstimates_[BestEffort].size() <= Serving)
    PairEstimates_[BestEffort].resize(Serving + 1);
  return PairEstimates_[BestEffort][Serving];
}

double PressureModel::pressure(ImageNumber BestEffort,
                               ImageNumber Serving) const {
  if (PairEstimates_.size() <= BestEffort ||
      PairEstimates_[BestEffort].size() <= Serving)
    return PriorPressure;
  return PairEstimates_[BestEffort][Serving].pressure();
}

double PressureModel::headroomTaken(const UsageByImage &Usage,
                                    ImageNumber Serving) const {
  double Sum = 0;
  for (const auto &[Image, Share] : Usage)
    Sum += pressure(Image, Serving) * Share;
  return Sum;
}

void PressureModel::observe(ImageNumber Serving, double HeadroomChange,
                            const UsageByImage &Before,
                            const UsageByImage &After) {
  UsageByImage Change = After;
  for (const auto &[Image, Share] : Before)
    Change[Image] -= Share;
  double Explained = -headroomTaken(Change, Serving);
  for (const auto &[Image, Share] : Change) {
    if (std::abs(Share) < MinUsageChange)
      continue;
    PairEstimate &Estimate = pairEstimate(Image, Serving);
    // Attribute to this image the change that the other images do not explain.
    double Unexplained =
        HeadroomChange - Explained - Estimate.pressure() * Share;
    Estimate.ProductSum_ =
        Estimate.ProductSum_ * DecayFactor - Unexplained * Share;
    Estimate.SquareSum_ = Estimate.SquareSum_ * DecayFactor + Share * Share;
  }
}

} // namespace crocuslead::jobs::internal
