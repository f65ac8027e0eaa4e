#pragma once

#include <chrono>
#include <cstdint>

namespace crocuslead::base {

using Duration = std::chrono::microseconds;

//! An instant on the monotonic clock of one process. Never compare between
//! processes.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

//! Milliseconds since the Unix epoch.
using WallTime = std::chrono::time_point<std::chrono::system_clock,
                                         std::chrono::milliseconds>;

//! Source of time for the shell. Decision code takes the instant as an
//! argument.
class Clock {
public:
  Clock() = default;
  Clock(const Clock &) = delete;
  Clock &operator=(const Clock &) = delete;
  virtual ~Clock() = default;

  virtual TimePoint now() const = 0;
  virtual WallTime wallNow() const = 0;
};

//! The clock of the operating system. Time in which the machine was suspended
//! counts.
class SystemClock final : public Clock {
public:
  TimePoint now() const override;
  WallTime wallNow() const override;
};

//! A paused clock that moves only when a test advances it.
class ManualClock final : public Clock {
public:
  explicit ManualClock(
      TimePoint Start = TimePoint(std::chrono::hours(1)),
      WallTime WallStart = WallTime(std::chrono::hours(24 * 365 * 50)))
      : Now_(Start), WallNow_(WallStart) {}

  TimePoint now() const override { return Now_; }
  WallTime wallNow() const override { return WallNow_; }
  void advance(Duration Step);
  //! Moves only the wall clock, as a time correction on the machine does.
  void shiftWall(std::chrono::milliseconds Step) { WallNow_ += Step; }

private:
  TimePoint Now_;
  WallTime WallNow_;
};

constexpr double toSeconds(Duration D) {
  return std::chrono::duration<double>(D).count();
}
constexpr int64_t toMillis(Duration D) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(D).count();
}

} // namespace crocuslead::base
