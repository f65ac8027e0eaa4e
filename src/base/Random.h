#pragma once

#include <cstdint>

namespace crocuslead::base {

//! Deterministic random source (SplitMix64). Decision code gets one by
//! reference, so that a seed fixes every choice.
class Random {
public:
  explicit Random(uint64_t Seed) : State_(Seed) {}

  uint64_t next() {
    uint64_t Z = (State_ += 0x9E3779B97F4A7C15ULL);
    Z = (Z ^ (Z >> 30)) * 0xBF58476D1CE4E5B9ULL;
    Z = (Z ^ (Z >> 27)) * 0x94D049BB133111EBULL;
    return Z ^ (Z >> 31);
  }

  //! Uniform in [0, Bound); Bound must be positive.
  uint64_t below(uint64_t Bound) { return next() % Bound; }

  //! Uniform in [0, 1).
  double unit() { return static_cast<double>(next() >> 11) * 0x1.0p-53; }

private:
  uint64_t State_;
};

} // namespace crocuslead::base
