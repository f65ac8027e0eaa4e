#pragma once

#include "schedule/internal/Worker.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace crocuslead::schedule::internal {

//! Estimates how much a task of one kind (the aggressor) slows down a task of
//! another kind (the victim) on the same worker, for each ordered pair of
//! kinds.
class InterferenceModel {
public:
  //! Number of neighbours of one kind; throttled ones count as fractions.
  struct Neighbour {
    uint32_t Kind_ = 0;
    double Weight_ = 0;
  };

  //! Updates the estimates from a measured slowdown (1 = undisturbed) and the
  //! neighbours that caused it.
  void update(uint32_t Victim, double Slowdown,
              const std::vector<Neighbour> &Neighbours);

  //! Mean added slowdown; used for the placement cost.
  double mean(uint32_t Aggressor, uint32_t Victim) const {
    const Estimate *E = find(Aggressor, Victim);
    return E == nullptr ? 0 : E->Mean_;
  }
  //! Lower confidence bound of the added slowdown; used for throttling.
  double lowerBound(uint32_t Aggressor, uint32_t Victim) const;
  bool empty() const { return Estimates_.empty(); }

private:
  struct Estimate {
    float Mean_ = 0;
    float Variance_ = 0;
    uint32_t Count_ = 0;
  };

  const Estimate *find(uint32_t Aggressor, uint32_t Victim) const {
    if (Aggressor >= KindCapacity_ || Victim >= KindCapacity_)
      return nullptr;
    return &Estimates_[static_cast<std::size_t>(Aggressor) * KindCapacity_ +
                       Victim];
  }
  //! Enlarges the table so that it includes the kind.
  void growTo(uint32_t Kind);

  //! Number of rows and of columns of the table.
  uint32_t KindCapacity_ = 0;
  //! Square table with a row per aggressor and a column per victim.
  std::vector<Estimate> Estimates_;
};

} // namespace crocuslead::schedule::internal
