#pragma once

#include "jobs/Fleet.h"
#include "jobs/JobRecord.h"
#include "jobs/WorkerPort.h"
#include "jobs/internal/Incarnations.h"
#include "jobs/internal/PressureModel.h"
#include "jobs/internal/TimeSpent.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace crocuslead::jobs::internal {

struct JobEntry;
struct StepEntry;
struct TaskEntry;
struct WorkerEntry;

enum class RunPhase : uint8_t {
  //! Nothing was sent yet: the record has to name the worker first, or an
  //! acknowledgement to be answered.
  Announced,
  //! The start request was sent and has no reply yet.
  StartSent,
  //! The start request got no reply; the worker's next report tells whether
  //! the run exists.
  StartUnconfirmed,
  Running,
  //! A stop was requested; the run is over once the worker reports its end.
  Stopping,
};

//! Placement avoids a worker for this time after runs failed or stalled on it.
constexpr auto SuspectAvoidance = std::chrono::seconds(3);

//! A job that takes more than this many times its target is overdue: its result
//! is of little use.
constexpr int OverdueFactor = 3;

//! Progress of a finished task, and the speed of an unthrottled run.
constexpr int FullPercent = 100;

//! Speed of an adopted run: a coordinator of an earlier term may have
//! throttled it.
constexpr int UnknownSpeed = -1;

//! One execution of a task on one worker.
struct RunEntry {
  //! Identifies the entry within this coordinator.
  uint64_t Serial_ = 0;
  //! Run number within the job, as sent to the worker.
  uint64_t Number_ = 0;
  JobEntry *Job_ = nullptr;
  StepEntry *Step_ = nullptr;
  TaskPosition Position_;
  WorkerEntry *Worker_ = nullptr;
  RunPhase Phase_ = RunPhase::StartSent;
  //! Start of the present phase.
  base::TimePoint PhaseSince_;
  base::TimePoint StartedAt_;
  //! When it was started or adopted here.
  base::TimePoint KnownSince_;
  int ProgressPercent_ = 0;
  base::TimePoint LastProgressAt_;
  std::string Checkpoint_;
  double Load_ = 0;
  int SpeedPercent_ = 100;
  //! Since when its speed has been below ThrottledSpeed.
  std::optional<base::TimePoint> ThrottledSince_;
  //! Estimated headroom of a serving task without best-effort tasks on its
  //! worker.
  std::optional<double> SoloHeadroom_;
  //! Since when its tail latency has been above its target.
  std::optional<base::TimePoint> OverTargetSince_;
  //! Headroom at the last poll.
  std::optional<double> LastHeadroom_;
  std::optional<base::TimePoint> StopAcceptedAt_;
  base::TimePoint NextStopSendAt_;
  bool StopInFlight_ = false;
  bool ThrottleInFlight_ = false;
  //! A report of the worker's present incarnation listed it. Unset, a later
  //! incarnation may have taken the start, or may yet do so.
  bool Located_ = false;
  //! A worker has accepted its start. Unless located, that may have been a
  //! later incarnation.
  bool Accepted_ = false;
  //! How often its start was sent.
  int StartsSent_ = 0;
  //! How many of these were refused: a refused copy makes no run any more.
  int StartsRefused_ = 0;
  //! This incarnation was told to stop it and has no run of it since.
  bool Barred_ = false;
  //! This incarnation refused its start as outdated, so it is not repeated.
  bool RefusedAsOutdated_ = false;
  //! Clock in the answer to its start, which may be that of a later
  //! incarnation.
  std::optional<int64_t> StartClockMs_;
  //! Version of the job that names its worker, if that is recorded.
  uint64_t AnnouncedVersion_ = 0;
  //! Started in an earlier term, so its start time is unknown.
  bool Adopted_ = false;
  //! Started from a checkpoint.
  bool Resumed_ = false;
  //! Time of earlier periods in which its worker did not answer.
  base::Duration OutOfReach_{};
  //! Clock of the worker when the run was first known to exist there.
  std::optional<int64_t> ExistsSinceMs_;
  //! Its worker has outlived its start.
  bool Proven_ = false;
  //! Its task was suspected of crashing workers when it started.
  bool Isolated_ = false;
};

//! The last run of a task that is over for this coordinator, and why it is.
struct PreviousRun {
  uint64_t Number_ = 0;
  std::string Worker_;
  base::TimePoint KnownSince_;
  const char *End_ = "";
  //! Its worker listed the end, and does so until this version of the job is
  //! durable.
  bool Listed_ = false;
  uint64_t EndVersion_ = 0;
};

struct TaskEntry {
  TaskPosition Position_;
  bool Done_ = false;
  std::vector<uint64_t> FailedRuns_;
  //! Workers that were lost under it since a run last outlived its start.
  std::vector<SuspectedCrash> Crashes_;
  //! Version of the job that contains the last announcement in Crashes_.
  uint64_t CrashesVersion_ = 0;
  std::string Checkpoint_;
  //! Recorded with the job's progress. With it, and for each long-running task,
  //! the record names another worker before a start is sent to that one.
  std::optional<TaskLocation> Location_;
  //! The durable record may still name a worker although there is no run.
  bool LocationStale_ = false;
  //! Version of the job that contains the last change of Location_.
  uint64_t LocationVersion_ = 0;
  //! No run of an earlier term can be alive that this term does not see.
  bool Recovered_ = false;
  //! This term learned of an end of the task, so an earlier one may have too.
  bool EarlierRunEnded_ = false;
  //! It is done, and no earlier term can have known that.
  bool EndedInTerm_ = false;
  std::vector<RunEntry *> Runs_;
  //! Highest number of a run that this coordinator started or found running.
  uint64_t LastRun_ = 0;
  //! Id of the worker that may still execute a late start of it; empty if there
  //! is none.
  std::string LateStartOn_;
  std::optional<PreviousRun> Previous_;
  //! Runs that were stopped as stragglers.
  uint32_t StragglerMoves_ = 0;
  //! Runs that were stopped because they were throttled for too long.
  uint32_t ThrottleMoves_ = 0;
  //! Worker of the last run that failed, stalled, straggled or was throttled;
  //! placement avoids it.
  std::string AvoidedWorker_;
  //! What its time was spent on, up to AccountedUntil_. Without runs, it has
  //! waited for a start since then.
  TimeSpent Time_;
  base::TimePoint AccountedUntil_;
  //! When noteLongestWaits() last found that something else than capacity kept
  //! it from starting.
  base::TimePoint HeldBackAt_;
};

struct StepEntry {
  JobEntry *Job_ = nullptr;
  uint32_t Occurrence_ = 0;
  uint32_t Number_ = 0;
  const StepSpec *Spec_ = nullptr;
  ImageNumber Image_ = 0;
  std::vector<TaskEntry> Tasks_;
  uint32_t DoneCount_ = 0;
  //! All dependencies are complete, so tasks may start.
  bool Released_ = false;
  //! No earlier term can have known that.
  bool FirstReleased_ = false;
  //! Mean of RunSamples_ completed run times; predicts those of the others.
  double MeanRunSeconds_ = 0;
  uint32_t RunSamples_ = 0;
  //! Time of the chain of steps and tasks that determined its release or, once
  //! it is complete, its end.
  TimeSpent CriticalTime_;
  //! Starts of tasks with reserved CPU before its release.
  uint64_t StartsBeforeRelease_ = 0;
  //! No worker could run it, as of this version of the fleet.
  bool Unsatisfiable_ = false;
  uint64_t CheckedFleetVersion_ = 0;
  //! A start of it could not be sent, so none is tried before then.
  base::TimePoint WithheldUntil_;
  //! No worker could be reserved for it, so that is not tried before then.
  base::TimePoint NextReservationAt_;
  //! When a continuing wait of its tasks is logged next.
  base::TimePoint NextWaitLogAt_;

  bool complete() const { return DoneCount_ == Tasks_.size(); }
};

struct OccurrenceEntry {
  uint32_t Number_ = 0;
  std::vector<StepEntry> Steps_;
  uint32_t StepsDone_ = 0;
};

struct JobEntry {
  std::string Id_;
  JobRecord Record_;
  //! Revision of the store at which the job was accepted.
  int64_t Revision_ = 0;
  JobState State_ = JobState::Queued;
  std::optional<JobState> DurableState_;
  base::WallTime FinishedWallTime_;
  base::TimePoint FinishedAt_;
  std::map<uint32_t, OccurrenceEntry> Occurrences_;
  uint32_t OccurrencesDone_ = 0;
  uint32_t NextOccurrence_ = 0;
  //! Orders jobs of equal priority; ties are broken by Sequence_. For each
  //! occurrence of a recurring job, both times are later by its dueDelay().
  base::TimePoint CompletionTarget_;
  base::TimePoint OverdueAt_;
  uint64_t Sequence_ = 0;
  uint64_t NextRunNumber_ = 1;
  //! The term that learned of the job when it was accepted; 0 if it is not
  //! known.
  uint64_t FirstTerm_ = 0;
  //! Restored from an earlier term: its tasks may be running on workers that
  //! have not been polled yet.
  bool Restored_ = false;
  //! When no such worker could run its tasks any more, if it was restored.
  std::optional<base::TimePoint> RecoveredAt_;
  //! The same holds for its tasks that are located.
  bool LocatedRecovered_ = false;
  bool Started_ = false;
  //! Counts the changes of the job's progress.
  uint64_t Version_ = 0;
  uint64_t DurableVersion_ = 0;
  //! The job is in the queue of changes to commit.
  bool CommitQueued_ = false;
  //! The version that the last commit of the job contains.
  uint64_t CommittedVersion_ = 0;
  //! Locations of its tasks changed, which is committed a little later.
  bool LocationQueued_ = false;
};

//! A reported result of a run. It is acknowledged to the worker once the job's
//! progress is durable at Version_.
struct PendingAcknowledgement {
  uint64_t SequenceNumber_ = 0;
  std::string Job_;
  uint64_t Version_ = 0;
  //! A late start of its run may be executed until then.
  base::TimePoint NotBefore_{};
};

//! A start that any incarnation of its worker may execute until Until_.
struct LateStartEntry {
  TaskId Task_;
  uint64_t Run_ = 0;
  LateStartState State_ = LateStartState::InFlight;
  base::TimePoint Until_;
  //! It is known from an earlier term, and its worker has not answered since.
  bool Unseen_ = false;
  //! The handover of the term before names it.
  bool HandedOver_ = false;
};

//! Acknowledgements to a worker that got no answer.
struct LateAcknowledgement {
  //! The highest of their tokens; 0 if there is none.
  uint64_t Token_ = 0;
  //! The last of them has been executed by then.
  base::TimePoint Until_;
};

//! Keeps the capacity that becomes free on a worker for a step that waits.
struct Reservation {
  const StepEntry *Step_ = nullptr;
  //! When a task of the step is expected to fit.
  base::TimePoint ReadyAt_;
};

//! The records of earlier terms that tell durations, which count from when
//! the record was written.
enum class RecordKind : uint8_t { UsedWorkers, Handover };

struct WorkerEntry {
  static constexpr std::size_t MaxGoneStartTimes = 8;
  //! Consecutive failed polls after which a worker counts as unreachable.
  static constexpr int UnreachablePollFailures = 2;

  WorkerInfo Info_;
  //! Start times of earlier incarnations under its id, the latest of them last.
  //! They need not rise: the time of day may have been set back.
  std::vector<int64_t> GoneStartTimesMs_;
  //! False once the registry has no entry for this incarnation.
  bool Registered_ = true;
  //! When the entry was found to be gone, unless it has come back or went as
  //! the store was out.
  std::optional<base::TimePoint> UnlistedAt_;
  //! Info_ comes from the registry's entry of this incarnation, so its
  //! capacity and labels are valid.
  bool InfoConfirmed_ = false;
  //! The registry's entry, if it names an earlier start than that of this
  //! incarnation: it lags behind, or a later incarnation started with an
  //! earlier time of day.
  std::optional<WorkerInfo> EarlierEntry_;
  //! It was polled in this term, so it knows this term's fencing token.
  bool Polled_ = false;
  //! It has answered since its last lease ended, and has not been emptied, so
  //! it may run tasks under a lease. Unset, it is recorded with LeaseEnded_.
  bool MayHoldLease_ = false;
  //! The record of used workers that says so is durable.
  bool RecordDurable_ = false;
  std::optional<ClockSample> Clock_;
  //! Least time that the reply to a start has taken: what the path takes when
  //! nothing waits on it.
  base::Duration ShortestReply_ = base::Duration::max();
  //! Latest time at which a lease that was granted in this term, or before the
  //! worker first answered in it, can expire.
  base::TimePoint LatestLeaseEnd_;
  //! It is recorded as a lease holder and has not answered in this term, so a
  //! coordinator of an earlier term may still renew its lease.
  bool MayObeyPredecessor_ = false;
  //! By then every lease of an earlier term has ended, as recorded by a
  //! coordinator that granted none later.
  std::optional<base::TimePoint> RecordedLeaseEnd_;
  //! What RecordedLeaseEnd_ was read from.
  RecordKind RecordedLeaseIn_ = RecordKind::UsedWorkers;
  //! The registry shows a later incarnation than the one on record.
  bool RecordedIncarnationGone_ = false;
  //! It may hold the longest lease from a request of an earlier term, and none
  //! was sent to it in this one.
  bool RestartedBeforeTerm_ = false;
  //! Until it is polled, the jobs of which it may run a task or hold a result
  //! that is not durable, as handed over; unset if any may be among them.
  std::optional<std::vector<std::string>> PossibleJobs_;
  //! The stored record may say that no lease is granted to it.
  bool GrantsExcluded_ = false;
  //! The stored record may say that no start is sent to it.
  bool StartsExcluded_ = false;
  //! It was recorded with the rest of its lease while it did not answer.
  bool RestRecorded_ = false;
  //! It was recorded with MayHoldLongestLease_.
  bool LongestLeaseRecorded_ = false;
  //! Its last report left out results.
  bool ReportTruncated_ = false;
  //! It ran a task that is not known here.
  bool RanUnknownTask_ = false;
  //! Until then it may hold a lease that a poll to an earlier incarnation
  //! granted, which can be longer than the usual lease.
  base::TimePoint LongestLeaseUntil_;
  //! When the last request that grants a lease was sent to this incarnation.
  std::optional<base::TimePoint> LastLeaseGrantAt_;
  bool PollInFlight_ = false;
  uint64_t PollSerial_ = 0;
  base::TimePoint PollSentAt_;
  //! When the last poll that it answered was sent.
  std::optional<base::TimePoint> AnsweredPollSentAt_;
  //! How long the worker may delay the reply to that poll.
  base::Duration PollWait_{};
  base::TimePoint NextPollAt_;
  //! The poll that is due waits for the answers to starts.
  bool PollPostponed_ = false;
  int PollFailures_ = 0;
  //! Time of the first of the consecutive failures.
  std::optional<base::TimePoint> FailingSince_;
  //! Highest sequence number of a processed result.
  uint64_t LastResultSequence_ = 0;
  //! Results up to this sequence number may be acknowledged.
  uint64_t AcknowledgedSequence_ = 0;
  //! Highest acknowledged sequence number in a poll that this incarnation has
  //! answered. It is not sent again: a later incarnation could take it.
  uint64_t ArrivedAcknowledgedSequence_ = 0;
  //! What the poll in flight acknowledges; 0 for nothing.
  uint64_t PollAcknowledges_ = 0;
  bool isAcknowledging() const {
    return PollInFlight_ && PollAcknowledges_ != 0;
  }
  //! Of the requests to it. It never falls within a term.
  uint64_t FencingToken_ = 0;
  //! Of the last poll.
  uint64_t PollToken_ = 0;
  //! An acknowledgement without an answer may still be executed, by a later
  //! incarnation as well, which would discard its own results.
  LateAcknowledgement LateAcknowledgement_;
  std::deque<PendingAcknowledgement> PendingAcknowledgements_;
  //! Runs of finite tasks on this incarnation were given up while it did not
  //! answer. Their results may follow, although the tasks run again elsewhere.
  bool RunsAbandoned_ = false;
  //! That was in an earlier term, so it is not known which tasks run again.
  bool AbandonedInEarlierTerm_ = false;
  //! Among them were runs that are not located, so their results may come from
  //! an incarnation that nobody has seen yet.
  bool UnseenAbandoned_ = false;
  //! Both are recorded in the store, so the tasks may run again.
  bool AbandonmentDurable_ = false;
  //! The first result that must not be acknowledged; 0 if there is none. Until
  //! a lease has ended there while a task was running, the worker gets one task
  //! at a time, and its lease is not renewed.
  uint64_t HeldBackSequence_ = 0;
  std::vector<RunEntry *> Runs_;
  //! Reserved by all its runs; the CPU requests of best-effort tasks are
  //! counted in BestEffortMilliCpu_ instead.
  base::Resources Reserved_;
  int64_t BestEffortMilliCpu_ = 0;
  int64_t ServingMilliCpu_ = 0;
  uint32_t ServingRuns_ = 0;
  uint32_t UnprovenRuns_ = 0;
  //! Those of UnprovenRuns_ that are isolated.
  uint32_t IsolatedRuns_ = 0;
  //! Runs that failed or stalled since the last one that finished.
  int ConsecutiveFailures_ = 0;
  base::TimePoint AvoidUntil_;
  //! It was lost lately, so until then it only gets tasks that have waited.
  base::TimePoint ProbationUntil_;
  std::optional<Reservation> Reservation_;
  //! Id of the job for which it was last reserved.
  std::string LastReservedFor_;
  //! Smoothed ratio of run times on this worker to the mean of all workers.
  double Slowdown_ = 1;
  //! CPU usage of the best-effort tasks at the last poll.
  UsageByImage LastUsage_;
  base::TimePoint LastUsageAt_;
  //! Least headroom above what a start must leave, by serving image on the
  //! worker; recomputed when HeadroomStale_ is set.
  std::vector<std::pair<ImageNumber, double>> RemainingHeadroom_;
  bool HeadroomStale_ = true;
  //! Best-effort tasks on the worker reduce the headroom of serving tasks.
  bool TailsUnderPressure_ = false;
  //! A serving task on the worker was over its tail target at the last poll.
  bool TailOverTarget_ = false;
  //! When Info_.DrainTimeLeft_ was read from the registry, or its lack.
  base::TimePoint DrainTimeReadAt_;
  bool DrainLogged_ = false;
  uint64_t Sequence_ = 0;
};

} // namespace crocuslead::jobs::internal
