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

//! Why a task that could start has no run.
enum class WaitCause : uint8_t {
  //! The present term does not know yet whether it runs.
  Recovery,
  //! A start of it that got no answer may still be executed.
  LateStart,
  //! The worker of its run does not answer.
  LostWorker,
  //! Anything else, such as a lack of free workers.
  Capacity,
};

constexpr auto WaitCauseNames =
    base::makeNameTable<WaitCause>({{WaitCause::Recovery, "recovery"},
                                    {WaitCause::LateStart, "late-start"},
                                    {WaitCause::LostWorker, "lost-worker"},
                                    {WaitCause::Capacity, "capacity"}});

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
  explicit WorkMetrics(base::MetricsRegistry &Registry);

  void recordWait(const StepSpec &Step, base::Duration Wait);
  //! Wait is the time for which a task has had no run so far.
  void recordLongestWait(const StepSpec &Step, WaitCause Cause,
                         base::Duration Wait);
  void recordEnd(const JobSpec &Job, const JobEnd &End);

private:
  base::MetricsRegistry &Registry_;
  // Looking a series up for each start would cost more than recording it.
  std::array<std::array<base::LatencyHistogram *, TaskSizeNames.size()>,
             WorkKindNames.rows().size()>
      Waits_{};
  std::array<std::array<base::Gauge *, WaitCauseNames.rows().size()>,
             WorkKindNames.rows().size()>
      LongestWaits_{};
};

} // namespace crocuslead::jobs::internal
