#pragma once

#include "base/Clock.h"
#include "base/Error.h"
#include "base/Resources.h"

#include <cstdint>
#include <string>
#include <vector>

namespace crocuslead::jobs {

//! A set of equal tasks of a job. Empty texts and zero values mean "none".
struct StepSpec {
  uint32_t Count_ = 1;
  base::Resources Request_;
  //! Rough run time of one task, as declared.
  base::Duration Estimate_{};
  //! Earlier steps whose tasks must all be done first.
  std::vector<uint32_t> After_;
  //! Progress is checkpointed, so a stopped task can resume.
  bool Checkpoints_ = false;
  //! All tasks run at the same time or not at all, and end together.
  bool Gang_ = false;
  //! Slow when the tasks are on more than one rack.
  bool TightlyCoupled_ = false;
  std::string RequiredLabel_;
  //! Rack that holds the step's data.
  std::string DataRack_;
  //! Most tasks of the step on one worker; 0 for no limit.
  uint32_t MaxPerWorker_ = 0;
  //! Copies of a task may run at the same time.
  bool Speculative_ = false;
  //! Tasks run until the job is cancelled.
  bool LongRunning_ = false;
  std::string Image_;
  //! Tail latency that a long-running task must stay under; 0 for none.
  base::Duration TailTarget_{};
  //! The CPU request is not reserved; tasks use what others leave idle.
  bool BestEffort_ = false;
  //! Tasks of a long-running step that may be away by the scheduler's own
  //! doing at one time; only meaningful when HasDisruptionBudget_.
  uint32_t DisruptionBudget_ = 0;
  bool HasDisruptionBudget_ = false;
};

struct JobSpec {
  //! Handed to the worker with each start, unread.
  std::string Payload_;
  std::vector<StepSpec> Steps_;
  //! Due time of the first occurrence; only meaningful when Repetitions_ > 0.
  base::WallTime FirstRun_;
  std::chrono::milliseconds Interval_{};
  //! Occurrences of a recurring job; 0 for a job that runs once, now.
  uint32_t Repetitions_ = 0;
};

//! Position of a task in its job.
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
  TaskPosition At_;
};

constexpr std::size_t MaxStepsPerJob = 256;
constexpr uint32_t MaxTasksPerStep = 10'000;

//! Fails with InvalidRequest for a job without steps, a step that depends on
//! itself or a later one, an empty step, or a step or job above the limits.
base::Result<void> validate(const JobSpec &Spec);

//! "JOB.OCCURRENCE.STEP.INDEX", as logs and pages show a task.
std::string taskName(const TaskId &Id);

//! Time of the longest chain of dependent steps by the declared estimates.
base::Duration longestChain(const JobSpec &Spec);

} // namespace crocuslead::jobs
