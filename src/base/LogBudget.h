#pragma once

#include "base/Clock.h"

#include <cstdint>

namespace crocuslead::base {

//! Bounds the volume of a log: a bucket of lines that refills with time. Lines
//! that find it empty are dropped and counted.
class LogBudget {
public:
  LogBudget(double LinesPerSecond, double Burst)
      : Rate_(LinesPerSecond), Burst_(Burst), Left_(Burst) {}

  //! Takes a line's place. Important lines may overdraw the bucket by its size.
  bool take(TimePoint Now, bool Important);
  //! Counts a line that could not be written.
  void drop() { ++Dropped_; }
  //! Lines dropped since they were last told, at most once a second and when
  //! there is room to tell; 0 else.
  uint64_t takeDropped(TimePoint Now);

private:
  void refill(TimePoint Now);

  double Rate_;
  double Burst_;
  double Left_;
  TimePoint At_;
  uint64_t Dropped_ = 0;
  TimePoint NextReport_;
};

} // namespace crocuslead::base
