#pragma once

#include "base/Metrics.h"
#include "jobs/JobRecord.h"
#include "jobs/JobSpec.h"
#include "jobs/internal/TimeSpent.h"

#include <array>
#include <string_view>

namespace crocuslead::jobs::internal {

enum class WorkKind : uint8_t { Batch, BestEffort, LongRunning };

constexpr auto WorkKindNames =
    base::makeNameTable<WorkKind>({{WorkKind::Batch, "batch"},
                                   {WorkKind::BestEffort, "best-effort"},
                                   {WorkKind::LongRunning, "long-running"}});

WorkKind workKind(const StepSpec &Step);

//! Classes by size, each named after its upper bound: cores of a task, and
//! core-seconds of a job by its declared run times.
constexpr std::array<std::string_view, 5> TaskSizeNames = {"1", "2", "4", "8",
                                                           "more"};
constexpr std::array<std::string_view, 5> JobSizeNames = {"4", "16", "64",
                                                          "256", "more"};
std::size_t taskSizeClass(const StepSpec &Step);
std::size_t jobSizeClass(const JobSpec &Job);
//! Declared work of a job in core-seconds.
double declaredWork(const JobSpec &Job);

//! How a job ended.
struct JobEnd {
  JobState State_ = JobState::Completed;
  //! Time from its acceptance to its end, and to its target.
  base::Duration Age_{};
  base::Duration TargetAge_{};
  //! Time of the chain of tasks that determined its end.
  TimeSpent Time_;
};

//! Metrics of waits and ends by size of task and job.
class WorkMetrics {
public:
  explicit WorkMetrics(base::MetricsRegistry &Registry) : Registry_(Registry) {}

  void recordWait(const StepSpec &Step, base::Duration Wait);
  void recordEnd(const JobSpec &Job, const JobEnd &End);

private:
  base::MetricsRegistry &Registry_;
  // Looking a series up for each start would cost more than recording it.
  std::array<std::array<base::LatencyHistogram *, TaskSizeNames.size()>,
             WorkKindNames.rows().size()>
      Waits_{};
};

} // namespace crocuslead::jobs::internal
