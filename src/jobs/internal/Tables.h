#pragma once

#include "jobs/Fleet.h"
#include "jobs/JobRecord.h"
#include "jobs/WorkerPort.h"
#include "jobs/internal/PressureModel.h"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace crocuslead::jobs::internal {

struct JobEntry;
struct StepEntry;
struct TaskEntry;
struct WorkerEntry;

enum class RunPhase : uint8_t {
  //! The start was sent.
  Ordered,
  //! The start got no answer; the worker's lists will tell.
  Doubtful,
  Running,
  //! A stop is wanted; over once the worker lists the end.
  Stopping,
};

//! A worker that fails or holds up what it runs is avoided for this time.
constexpr auto SuspectPause = std::chrono::seconds(3);

//! Progress of a task at its end, and full pace.
constexpr int FullPercent = 100;

//! Pace of a run that an earlier term may have changed.
constexpr int UnknownPace = -1;

//! One start of a task on one worker.
struct RunEntry {
  uint64_t Serial_ = 0;
  uint64_t Number_ = 0;
  JobEntry *Job_ = nullptr;
  StepEntry *Step_ = nullptr;
  TaskPosition At_;
  WorkerEntry *Worker_ = nullptr;
  RunPhase Phase_ = RunPhase::Ordered;
  base::TimePoint Since_;
  base::TimePoint StartedAt_;
  int Percent_ = 0;
  base::TimePoint ProgressAt_;
  std::string Checkpoint_;
  double Load_ = 0;
  int Pace_ = 100;
  //! Since when it has hardly been let work.
  std::optional<base::TimePoint> HeldBackSince_;
  //! Headroom of a serving task if it had no best-effort neighbours.
  std::optional<double> OwnHeadroom_;
  //! Since when its tail has been above its target.
  std::optional<base::TimePoint> OverSince_;
  //! Headroom at the last look.
  std::optional<double> SeenHeadroom_;
  std::optional<base::TimePoint> StopAnsweredAt_;
  base::TimePoint NextStopAt_;
  bool StopInFlight_ = false;
  bool PaceInFlight_ = false;
  //! A look showed it at its worker's present life.
  bool Listed_ = false;
  //! Started in an earlier term, at a time that is not known.
  bool Adopted_ = false;
  //! Started from a checkpoint.
  bool Resumed_ = false;
};

struct TaskEntry {
  TaskPosition At_;
  bool Done_ = false;
  std::vector<uint64_t> FailedRuns_;
  std::string Checkpoint_;
  std::vector<RunEntry *> Runs_;
  //! Runs that were stopped for their slow progress.
  uint32_t Moves_ = 0;
  //! Runs that were stopped since their neighbours held them back.
  uint32_t Escapes_ = 0;
  //! The worker of the last failed or stalled run is avoided.
  std::string AvoidWorker_;
};

struct StepEntry {
  JobEntry *Job_ = nullptr;
  uint32_t Occurrence_ = 0;
  uint32_t Number_ = 0;
  const StepSpec *Spec_ = nullptr;
  ImageNumber Image_ = 0;
  std::vector<TaskEntry> Tasks_;
  uint32_t Done_ = 0;
  bool Open_ = false;
  //! Completed run times, for the expected time of the others.
  double MeanSeconds_ = 0;
  uint32_t Measured_ = 0;

  bool complete() const { return Done_ == Tasks_.size(); }
};

struct OccurrenceEntry {
  uint32_t Number_ = 0;
  std::vector<StepEntry> Steps_;
  uint32_t StepsDone_ = 0;
};

struct JobEntry {
  std::string Id_;
  JobRecord Record_;
  JobState State_ = JobState::Queued;
  std::optional<JobState> DurableState_;
  base::WallTime Ended_;
  base::TimePoint EndedAt_;
  std::map<uint32_t, OccurrenceEntry> Occurrences_;
  uint32_t OccurrencesDone_ = 0;
  uint32_t NextOccurrence_ = 0;
  //! Position in the order of equal priorities.
  base::TimePoint Target_;
  uint64_t Order_ = 0;
  uint64_t NextRun_ = 1;
  //! Restored from an earlier term: its tasks may run at workers that have
  //! not answered yet.
  bool Restored_ = false;
  bool Started_ = false;
  uint64_t Version_ = 0;
  uint64_t DurableVersion_ = 0;
  bool Queued_ = false;
};

//! An end that is not acknowledged before its job's progress is durable.
struct PendingEnd {
  uint64_t Number_ = 0;
  std::string Job_;
  uint64_t Version_ = 0;
};

struct ClockSample {
  int64_t WorkerMs_ = 0;
  base::TimePoint At_;
};

struct WorkerEntry {
  //! Looks without an answer after which a worker counts as out of reach.
  static constexpr int UnreachableAfter = 2;

  WorkerInfo Info_;
  //! False once the registry has no entry for this life.
  bool Listed_ = true;
  //! The registry's entry is of this life, so its room and labels hold.
  bool Confirmed_ = false;
  //! Its lists were read in this term, so that it knows the token.
  bool Known_ = false;
  //! The record of used workers that names it is durable.
  bool Recorded_ = false;
  std::optional<ClockSample> Clock_;
  //! Latest end of any lease that this life may hold.
  base::TimePoint LeaseBound_;
  bool LookInFlight_ = false;
  uint64_t LookSerial_ = 0;
  base::TimePoint LookSentAt_;
  base::TimePoint NextLookAt_;
  int LookFailures_ = 0;
  uint64_t LastEnd_ = 0;
  uint64_t Acknowledged_ = 0;
  uint64_t AcknowledgedSent_ = 0;
  std::deque<PendingEnd> PendingEnds_;
  std::vector<RunEntry *> Runs_;
  //! Reserved by everything on it; best-effort CPU is kept apart.
  base::Resources Reserved_;
  int64_t BestEffortCpu_ = 0;
  int64_t ServingCpu_ = 0;
  uint32_t Serving_ = 0;
  //! Ends failed or stalled since the last one that was done.
  int FailStreak_ = 0;
  base::TimePoint AvoidUntil_;
  //! Run time here against elsewhere, smoothed.
  double Slowness_ = 1;
  //! Use by best-effort tasks at the last look.
  UseByImage SeenUse_;
  base::TimePoint UseSeenAt_;
  //! Least headroom left above what is kept, for each serving image there;
  //! made anew after HeadroomStale_.
  std::vector<std::pair<ImageNumber, double>> HeadroomLeft_;
  bool HeadroomStale_ = true;
  //! Best-effort tasks there press on serving ones.
  bool TailsPressed_ = false;
  //! A tail there was over its target at the last look.
  bool TailOver_ = false;
  base::TimePoint DrainSince_;
  uint64_t Order_ = 0;
};

} // namespace crocuslead::jobs::internal
