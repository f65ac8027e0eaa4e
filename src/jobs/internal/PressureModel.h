#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace crocuslead::jobs::internal {

//! Number of an image, in the order in which images were first seen.
using ImageNumber = uint32_t;

//! Part of a worker's CPU used by the best-effort tasks of each image.
using UsageByImage = std::map<ImageNumber, double>;

//! How much best-effort tasks of one image take from the headroom of serving
//! tasks of another. Headroom is target over tail latency: for a queue it is
//! proportional to the idle share, so loads and pressures add up in it, and a
//! task is within its target while its headroom is at least 1.
class PressureModel {
public:
  ImageNumber numberOf(const std::string &Image);
  //! Headroom taken by a best-effort task that uses the whole worker; in
  //! proportion for a part of it.
  double pressure(ImageNumber BestEffort, ImageNumber Serving) const;
  //! Headroom of a serving image taken by all that is used beside it.
  double taken(const UsageByImage &Use, ImageNumber Serving) const;
  //! Learns from a change of the headroom of one serving task while its
  //! neighbours' use changed from Before to After.
  void observe(ImageNumber Serving, double HeadroomChange,
               const UsageByImage &Before, const UsageByImage &After);

private:
  //! Sums of a regression on the changes of one image's use.
  struct Pair {
    double Product_ = 0;
    double Square_ = 0;
    double pressure() const;
  };
  Pair &pair(ImageNumber BestEffort, ImageNumber Serving);

  std::map<std::string, ImageNumber> Numbers_;
  //! By best-effort image, then by serving image.
  std::vector<std::vector<Pair>> Pairs_;
};

} // namespace crocuslead::jobs::internal
