#pragma once

#include "base/Clock.h"
#include "base/NameTable.h"

#include <array>
#include <cstdint>
#include <numeric>

namespace crocuslead::jobs::internal {

//! What the time of a task is spent on, from the release of its step to its
//! end.
enum class TimeUse : uint8_t {
  //! No suitable worker had free capacity.
  Capacity,
  //! A new coordinator had not yet learned whether the task was running.
  Recovery,
  //! The worker of its run did not answer.
  LostWorker,
  FailedRun,
  //! A run that was stopped before it was done, for example to move the task.
  StoppedRun,
  //! Time of a run that was done or is in progress.
  Run,
};

constexpr auto TimeUseNames =
    base::makeNameTable<TimeUse>({{TimeUse::Capacity, "capacity"},
                                  {TimeUse::Recovery, "recovery"},
                                  {TimeUse::LostWorker, "lost-worker"},
                                  {TimeUse::FailedRun, "failed-run"},
                                  {TimeUse::StoppedRun, "stopped-run"},
                                  {TimeUse::Run, "run"}});

//! Durations by what they were spent on.
class TimeSpent {
public:
  void add(TimeUse Use, base::Duration Time) { at(Use) += Time; }
  base::Duration of(TimeUse Use) const {
    return Times_[static_cast<std::size_t>(Use)];
  }
  base::Duration total() const {
    return std::accumulate(Times_.begin(), Times_.end(), base::Duration{});
  }
  TimeSpent &operator+=(const TimeSpent &Other) {
    for (std::size_t I = 0; I < Times_.size(); ++I)
      Times_[I] += Other.Times_[I];
    return *this;
  }

private:
  base::Duration &at(TimeUse Use) {
    return Times_[static_cast<std::size_t>(Use)];
  }

  std::array<base::Duration, TimeUseNames.rows().size()> Times_{};
};

} // namespace crocuslead::jobs::internal
