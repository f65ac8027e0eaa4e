#include "jobs/internal/WorkMetrics.h"

#include "jobs/internal/Tables.h"

#include <algorithm>
#include <string>

namespace crocuslead::jobs::internal {

namespace {

constexpr std::array<int64_t, TaskSizeNames.size() - 1> TaskSizeMilliCpu = {
    1'000, 2'000, 4'000, 8'000};
constexpr std::array<double, JobSizeNames.size() - 1> JobSizeCoreSeconds = {
    4, 16, 64, 256};

template <typename Bounds, typename Value>
std::size_t sizeClass(const Bounds &Upper, Value Size) {
  return static_cast<std::size_t>(
      std::lower_bound(Upper.begin(), Upper.end(), Size) - Upper.begin());
}

std::string targetName(const JobEnd &End) {
  if (End.Age_ <= End.TargetAge_)
    return "met";
  return End.Age_ <= OverdueFactor * End.TargetAge_ ? "missed" : "overdue";
}

} // namespace

WorkKind workKind(const StepSpec &Step) {
  if (Step.LongRunning_)
    return WorkKind::LongRunning;
  return Step.BestEffort_ ? WorkKind::BestEffort : WorkKind::Batch;
}

std::size_t taskSizeClass(const StepSpec &Step) {
  return sizeClass(TaskSizeMilliCpu, Step.Request_.MilliCpu_);
}

double declaredWork(const JobSpec &Job) {
  constexpr double MilliCpuPerCore = 1'000;
  double Out = 0;
  for (const StepSpec &Step : Job.Steps_)
    Out += static_cast<double>(Step.Count_) *
           static_cast<double>(Step.Request_.MilliCpu_) / MilliCpuPerCore *
           base::toSeconds(Step.EstimatedDuration_);
  return Out;
}

std::size_t jobSizeClass(const JobSpec &Job) {
  return sizeClass(JobSizeCoreSeconds, declaredWork(Job));
}

// The registry outlives the coordinator, and the waits are those of one term.
WorkMetrics::WorkMetrics(base::MetricsRegistry &Registry)
    : Registry_(Registry) {
  for (const auto &[Kind, KindName] : WorkKindNames.rows())
    for (const auto &[Cause, CauseName] : WaitCauseNames.rows()) {
      base::Gauge &Series = Registry_.gauge(
          "crocuslead_longest_wait_seconds",
          "Longest time that a task has had no run in this term, by what kept "
          "it last.",
          {{"kind", std::string(KindName)}, {"cause", std::string(CauseName)}});
      Series.set(0);
      LongestWaits_[static_cast<std::size_t>(Kind)]
                   [static_cast<std::size_t>(Cause)] = &Series;
    }
}

void WorkMetrics::recordWait(const StepSpec &Step, base::Duration Wait) {
  WorkKind Kind = workKind(Step);
  std::size_t Size = taskSizeClass(Step);
  base::LatencyHistogram *&Series =
      Waits_[static_cast<std::size_t>(Kind)][Size];
  if (Series == nullptr)
    Series =
        &Registry_.histogram("crocuslead_task_wait_seconds",
                             "Time from when a task could start to its start.",
                             {{"kind", std::string(WorkKindNames.name(Kind))},
                              {"cores", std::string(TaskSizeNames[Size])}});
  Series->record(Wait);
}

void WorkMetrics::recordLongestWait(const StepSpec &Step, WaitCause Cause,
                                    base::Duration Wait) {
  base::Gauge &Series = *LongestWaits_[static_cast<std::size_t>(workKind(Step))]
                                      [static_cast<std::size_t>(Cause)];
  Series.set(std::max(Series.value(), base::toSeconds(Wait)));
}

void WorkMetrics::recordEnd(const JobSpec &Job, const JobEnd &End) {
  std::string Kind(WorkKindNames.name(workKind(Job.Steps_.front())));
  std::string Size(JobSizeNames[jobSizeClass(Job)]);
  Registry_
      .counter("crocuslead_jobs_by_size_total",
               "Ended jobs by core-seconds and by whether they met their "
               "target.",
               {{"kind", Kind},
                {"core_seconds", Size},
                {"state", std::string(jobStateName(End.State_))},
                {"target", targetName(End)}})
      .add();
  for (const auto &[Use, Name] : TimeUseNames.rows())
    Registry_
        .histogram("crocuslead_job_time_seconds",
                   "Time of the tasks that determined the end of a job, by "
                   "what it was spent on.",
                   {{"kind", Kind},
                    {"core_seconds", Size},
                    {"use", std::string(Name)}})
        .record(End.Time_.of(Use));
}

} // namespace crocuslead::jobs::internal
