#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace crocuslead::jobs::internal {

//! Index of an image, in the order in which images were first seen.
using ImageNumber = uint32_t;

//! Share of a worker's CPU used by the best-effort tasks of each image.
using UsageByImage = std::map<ImageNumber, double>;

//! Estimates how much best-effort tasks of one image reduce the headroom of
//! serving tasks of another. Headroom is the target divided by the tail
//! latency, so a task meets its target while its headroom is at least 1. For a
//! queue, headroom is proportional to the idle share, so the effects of loads
//! and pressures on it add up.
class PressureModel {
public:
  ImageNumber imageNumber(const std::string &Image);
  //! Headroom that a best-effort task would take if it used the whole CPU of
  //! the worker; proportionally less for a smaller share.
  double pressure(ImageNumber BestEffort, ImageNumber Serving) const;
  //! Headroom taken from a serving image by all best-effort usage on its
  //! worker.
  double headroomTaken(const UsageByImage &Usage, ImageNumber Serving) const;
  //! Updates the estimates with a change in the headroom of a serving task
  //! while best-effort usage on its worker changed from Before to After.
  void observe(ImageNumber Serving, double HeadroomChange,
               const UsageByImage &Before, const UsageByImage &After);

private:
  //! Sums of a linear regression of headroom changes on the changes in usage of
  //! one image.
  struct PairEstimate {
    double ProductSum_ = 0;
    double SquareSum_ = 0;
    double pressure() const;
  };
  PairEstimate &pairEstimate(ImageNumber BestEffort, ImageNumber Serving);

  std::map<std::string, ImageNumber> ImageNumbers_;
  //! Indexed by best-effort image, then by serving image.
  std::vector<std::vector<PairEstimate>> PairEstimates_;
};

} // namespace crocuslead::jobs::internal
