#pragma once

#include "base/Clock.h"
#include "base/Error.h"
#include "base/Resources.h"

#include <cstdint>
#include <string>
#include <vector>

namespace crocuslead::jobs {

//! A group of identical tasks of a job. Unless stated otherwise, an empty
//! string or a zero means that the property is not set.
struct StepSpec {
  uint32_t Count_ = 1;
  base::Resources Request_;
  //! Approximate run time of one task as declared by the submitter.
  base::Duration EstimatedDuration_{};
  //! Numbers of earlier steps that must be complete before this one starts.
  std::vector<uint32_t> Dependencies_;
  //! The tasks write checkpoints, so a stopped task can be resumed.
  bool Checkpoints_ = false;
  //! Gang scheduling: the tasks run all at once or not at all, and end
  //! together.
  bool Gang_ = false;
  //! The tasks run slowly when they are spread over several racks.
  bool TightlyCoupled_ = false;
  std::string RequiredLabel_;
  //! Rack that holds the step's input data.
  std::string DataRack_;
  //! Maximum number of tasks of this step on one worker; 0 for no limit.
  uint32_t MaxPerWorker_ = 0;
  //! Speculative execution: several runs of a task may be active at once.
  bool Speculative_ = false;
  //! The tasks run until the job is cancelled.
  bool LongRunning_ = false;
  std::string Image_;
  //! Upper bound for the tail latency of a long-running task; 0 for none.
  base::Duration TailLatencyTarget_{};
  //! The CPU request is not reserved; the tasks use CPU that others leave idle.
  bool BestEffort_ = false;
  //! Maximum number of tasks of a long-running step that may be down at any one
  //! time because the scheduler stopped them; only meaningful when
  //! HasDisruptionBudget_ is set.
  uint32_t DisruptionBudget_ = 0;
  bool HasDisruptionBudget_ = false;
};

struct JobSpec {
  //! Opaque data, passed to the worker with each start request.
  std::string Payload_;
  std::vector<StepSpec> Steps_;
  //! When the first occurrence is due; only meaningful when Repetitions_ > 0.
  base::WallTime FirstRun_;
  std::chrono::milliseconds Interval_{};
  //! Number of occurrences of a recurring job; 0 for a job that runs once, at
  //! once.
  uint32_t Repetitions_ = 0;
};

//! Identifies a task within its job.
struct TaskPosition {
  uint32_t Occurrence_ = 0;
  uint32_t Step_ = 0;
  uint32_t Index_ = 0;

  friend bool operator<(const TaskPosition &A, const TaskPosition &B) {
    if (A.Occurrence_ != B.Occurrence_)
      return A.Occurrence_ < B.Occurrence_;
    if (A.Step_ != B.Step_)
      return A.Step_ < B.Step_;
    return A.Index_ < B.Index_;
  }
  friend bool operator==(const TaskPosition &A, const TaskPosition &B) {
    return A.Occurrence_ == B.Occurrence_ && A.Step_ == B.Step_ &&
           A.Index_ == B.Index_;
  }
};

struct TaskId {
  std::string Job_;
  TaskPosition Position_;
};

constexpr std::size_t MaxStepsPerJob = 256;
constexpr uint32_t MaxTasksPerStep = 10'000;

//! Fails with InvalidRequest if the job has no steps, if a step has no tasks or
//! depends on itself or a later step, if a resource request or time is
//! negative, or if a job or step exceeds its limit.
base::Result<void> validate(const JobSpec &Spec);

//! Name of a task in logs and requests: "JOB.OCCURRENCE.STEP.INDEX".
std::string taskName(const TaskId &Id);

//! Length of the longest chain of dependent steps, based on the declared run
//! times.
base::Duration criticalPath(const JobSpec &Spec);

} // namespace crocuslead::jobs
