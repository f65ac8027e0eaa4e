#pragma once

#include "schedule/internal/Worker.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace crocuslead::schedule::internal {

//! Estimated slowdown that one task of a kind causes to a task of another kind,
//! for each ordered pair of kinds.
class InterferenceModel {
public:
  //! One kind of neighbour with its number of tasks at full speed.
  struct Neighbour {
    uint32_t Kind_ = 0;
    double Weight_ = 0;
  };

  //! Learns from a measured slowdown (1 = undisturbed) among the neighbours.
  void update(uint32_t Victim, double Slowdown,
              const std::vector<Neighbour> &Neighbours);

  //! Mean added slowdown; drives placement cost.
  double mean(uint32_t Aggressor, uint32_t Victim) const {
    const Pair *Found = find(Aggressor, Victim);
    return Found == nullptr ? 0 : Found->Mean_;
  }
  //! Lower confidence bound of the added slowdown; drives throttling.
  double lowerBound(uint32_t Aggressor, uint32_t Victim) const;
  bool empty() const { return Pairs_.empty(); }

private:
  struct Pair {
    float Mean_ = 0;
    float Variance_ = 0;
    uint32_t Count_ = 0;
  };

  const Pair *find(uint32_t Aggressor, uint32_t Victim) const {
    if (Aggressor >= Side_ || Victim >= Side_)
      return nullptr;
    return &Pairs_[static_cast<std::size_t>(Aggressor) * Side_ + Victim];
  }
  void growTo(uint32_t Kind);

  uint32_t Side_ = 0;
  std::vector<Pair> Pairs_;
};

} // namespace crocuslead::schedule::internal
