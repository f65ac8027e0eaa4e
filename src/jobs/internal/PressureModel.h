#pragma once

#include <map>
#include <string>
#include <utility>

namespace crocuslead::jobs::internal {

//! Part of a worker's CPU used by the best-effort tasks of each image.
using UseByImage = std::map<std::string, double>;

//! How much best-effort tasks of one image take from the headroom of serving
//! tasks of another. Headroom is target over tail latency: for a queue it is
//! proportional to the idle share, so loads and pressures add up in it, and a
//! task is within its target while its headroom is at least 1.
class PressureModel {
public:
  //! Headroom taken by a best-effort task that uses the whole worker; in
  //! proportion for a part of it.
  double pressure(const std::string &BestEffortImage,
                  const std::string &ServingImage) const;
  //! Headroom of a serving image taken by all that is used beside it.
  double taken(const UseByImage &Use, const std::string &ServingImage) const;
  //! Learns from a change of the headroom of one serving task while its
  //! neighbours' use changed from Before to After.
  void observe(const std::string &ServingImage, double HeadroomChange,
               const UseByImage &Before, const UseByImage &After);

private:
  //! Sums of a regression on the changes of one image's use.
  struct Pair {
    double Product_ = 0;
    double Square_ = 0;
    double pressure() const;
  };
  std::map<std::pair<std::string, std::string>, Pair> Pairs_;
};

} // namespace crocuslead::jobs::internal
