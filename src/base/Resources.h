#pragma once

#include <algorithm>
#include <cstdint>

namespace crocuslead::base {

//! A vector of resources of one instance or task.
struct Resources {
  int64_t MilliCpu_ = 0;
  int64_t MemoryMb_ = 0;
  int64_t Accelerators_ = 0;

  Resources &operator+=(const Resources &Other) {
    MilliCpu_ += Other.MilliCpu_;
    MemoryMb_ += Other.MemoryMb_;
    Accelerators_ += Other.Accelerators_;
    return *this;
  }
  Resources &operator-=(const Resources &Other) {
    MilliCpu_ -= Other.MilliCpu_;
    MemoryMb_ -= Other.MemoryMb_;
    Accelerators_ -= Other.Accelerators_;
    return *this;
  }
  friend Resources operator+(Resources A, const Resources &B) { return A += B; }
  friend Resources operator-(Resources A, const Resources &B) { return A -= B; }
  friend bool operator==(const Resources &A, const Resources &B) {
    return A.MilliCpu_ == B.MilliCpu_ && A.MemoryMb_ == B.MemoryMb_ &&
           A.Accelerators_ == B.Accelerators_;
  }
  friend bool operator!=(const Resources &A, const Resources &B) {
    return !(A == B);
  }

  //! True when every component is at most that of Limit.
  bool fitsIn(const Resources &Limit) const {
    return MilliCpu_ <= Limit.MilliCpu_ && MemoryMb_ <= Limit.MemoryMb_ &&
           Accelerators_ <= Limit.Accelerators_;
  }
};

//! Largest share of Total that any component of Part takes, from 0 to 1 and
//! beyond.
inline double dominantShare(const Resources &Part, const Resources &Total) {
  auto Share = [](int64_t A, int64_t B) {
    return B > 0 ? static_cast<double>(A) / static_cast<double>(B)
                 : (A > 0 ? 1e9 : 0.0);
  };
  return std::max({Share(Part.MilliCpu_, Total.MilliCpu_),
                   Share(Part.MemoryMb_, Total.MemoryMb_),
                   Share(Part.Accelerators_, Total.Accelerators_)});
}

} // namespace crocuslead::base
