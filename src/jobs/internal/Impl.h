#pragma once

#include "jobs/Coordinator.h"
#include "jobs/internal/CongestionControl.h"
#include "jobs/internal/Handover.h"
#include "jobs/internal/LastCommit.h"
#include "jobs/internal/Tables.h"
#include "jobs/internal/TermConfirmation.h"
#include "jobs/internal/UnplaceableSteps.h"
#include "jobs/internal/UsedWorkers.h"
#include "jobs/internal/WorkMetrics.h"
#include "jobs/internal/WorkerStability.h"

#include <array>
#include <deque>
#include <unordered_map>
#include <unordered_set>

namespace crocuslead::jobs {

class Coordinator::Impl : public std::enable_shared_from_this<Impl> {
public:
  using JobEntry = internal::JobEntry;
  using OccurrenceEntry = internal::OccurrenceEntry;
  using RunEntry = internal::RunEntry;
  using RunPhase = internal::RunPhase;
  using StepEntry = internal::StepEntry;
  using TaskEntry = internal::TaskEntry;
  using WorkerEntry = internal::WorkerEntry;

  //! How a worker was lost.
  enum class WorkerLoss : uint8_t {
    //! Another incarnation or worker answers in its place.
    IncarnationEnded,
    //! Its lease has ended without an answer.
    OutOfReach,
  };

  Impl(const CoordinatorSettings &Settings, WorkerPort &Port,
       const base::Clock &Clock, base::MetricsRegistry &Metrics,
       CommitFunction OnCommit);

  // Jobs.cpp
  void addJob(const std::string &Id, JobRecord Record, int64_t Revision,
              const std::optional<JobProgress> &Progress, bool Restored);
  void cancelJob(const std::string &Id);
  std::optional<JobState> state(const std::string &Id) const;
  std::size_t waitingJobs(const std::string &Queue) const;
  std::vector<std::string> takeExpiredJobs();
  void rebuildReadyQueue();

  // Workers.cpp
  void setWorkers(const std::map<std::string, WorkerInfo> &Workers);

  // RecordAges.cpp
  void restoreLastCommit(const std::string &Record,
                         std::pair<uint64_t, uint64_t> TermAndNumber);

  // Restoration.cpp
  void restoreUsedWorkers(const std::string &Record);
  void restoreHandover(const std::string &Record);

  // Recovery.cpp
  void recover();

  // Resignation.cpp
  std::string prepareHandover();

  // Terms.cpp
  void confirmTerm(base::TimePoint SentAt, int64_t Revision);
  bool awaitsConfirmation() const;
  //! SeenAt says what showed that a later term has begun.
  void endTerm(const char *SeenAt);

  // Commits.cpp
  void markUsedWorkersDirty();
  void commitDone(uint64_t Number, CommitResult Result);
  bool allChangesDurable() const;

  void tick();
  CoordinatorStats stats() const;

  CoordinatorSettings Settings_;
  FleetConfig Config_;
  std::set<std::string> DomainsOut_;
  bool Superseded_ = false;
  bool PlacementRequested_ = false;

private:
  base::TimePoint now() const { return Clock_.now(); }
  const QueueConfig *queueConfig(const JobEntry &Job) const;

  //! Runs Function and adds its duration to Total.
  template <typename Action>
  void timed(base::Duration &Total, Action Function) {
    base::TimePoint Start = now();
    Function();
    Total += now() - Start;
  }

  // Jobs.cpp: acceptance, progress and completion of jobs.
  void createDueOccurrences(JobEntry &Job);
  //! Creates the occurrences up to one of which a task was started.
  void createStartedOccurrence(JobEntry &Job, uint32_t Number);
  void createOccurrence(JobEntry &Job, uint32_t Number);
  void restoreProgress(JobEntry &Job, const JobProgress &Progress);
  void releaseSteps(OccurrenceEntry &Occurrence,
                    const internal::TimeSpent &CriticalTime = {});
  void updateCompletionTarget(JobEntry &Job);
  //! Time from the acceptance of a recurring job until an occurrence is due;
  //! 0 for other jobs.
  static base::Duration dueDelay(const JobEntry &Job, uint32_t Occurrence);
  void completeTask(JobEntry &Job, StepEntry &Step, TaskEntry &Task);
  void completeStep(JobEntry &Job, const StepEntry &Step);
  //! CriticalTime is the time of the chain of tasks that determined the end.
  void finishJob(JobEntry &Job, JobState State, const char *Reason,
                 const internal::TimeSpent &CriticalTime);
  void logJobEnd(const JobEntry &Job, const char *Reason,
                 const internal::TimeSpent &CriticalTime);
  void markStarted(JobEntry &Job);
  TaskEntry *findTask(const TaskId &Id) const;
  JobEntry *findJob(const std::string &Id) const;
  static StepEntry *findStep(JobEntry &Job, const TaskPosition &Position);

  // Runs.cpp: starts, stops and ends of runs.
  RunEntry &addRun(StepEntry &Step, TaskEntry &Task, WorkerEntry &Worker,
                   uint64_t Number);
  //! RecordFirst: the record has to name the worker before the start is sent.
  void startRun(StepEntry &Step, TaskEntry &Task, WorkerEntry &Worker,
                uint64_t Number, bool RecordFirst);
  void sendStart(RunEntry &Run);
  void onStartReply(uint64_t Serial, base::TimePoint SentAt, uint64_t Token,
                    const RequestReply &Reply);
  void adaptToCongestion();
  bool maySendStart() const {
    return StartsInFlight_ < Congestion_.maxStartsInFlight();
  }
  void requestStop(RunEntry &Run, const char *Reason);
  void sendStop(RunEntry &Run);
  void onStopReply(uint64_t Serial, uint64_t Token, const RequestReply &Reply);
  //! Use says what the time of the run is accounted as.
  void removeRun(RunEntry &Run, internal::TimeUse Use);
  //! Removes a run that is over for the reason End, which outlives this object.
  //! Listed says that its worker listed the end.
  void endRun(RunEntry &Run, internal::TimeUse Use, const char *End,
              bool Listed = false);
  //! Removes a run that is over although its worker reported no end.
  void concludeUnreportedRun(RunEntry &Run, const char *Reason);
  void reportDuplicate(const RunEntry &Found, const RunEntry &Known);
  void markSuperseded(const char *SeenAt, const WorkerEntry &Worker);
  RunEntry *findRun(uint64_t Serial);
  RunEntry *findRunOnWorker(WorkerEntry &Worker, const TaskId &Id,
                            uint64_t Number);

  // Results.cpp: ends of runs that workers list.
  void handleResult(WorkerEntry &Worker, const RunResult &Result);
  //! No earlier term can have known that its task is done.
  bool isEndNews(const RunEntry &Run) const;
  //! The term that gave a run its number.
  static uint64_t termOfRun(uint64_t Number);
  void recordFailure(JobEntry &Job, StepEntry &Step, TaskEntry &Task,
                     const RunResult &Result);
  void recordOutcome(WorkerEntry &Worker, RunEntry *Run,
                     const RunResult &Result);

  // Locations.cpp: on which worker a run may be alive.
  void noteLocated(RunEntry &Run);
  //! Polls the worker once, after the answers to all starts that are on their
  //! way: an answer does not tell which incarnation gave it. A poll that waits
  //! is not cut short, so a run may be located by its end, up to PollWait_
  //! later.
  void requestLocations(WorkerEntry &Worker);
  void recordLocations(const WorkerEntry &Worker);
  void recordLocation(const RunEntry &Run);
  //! A task of the step that has no recorded location has no run.
  static bool isStartRecorded(const StepSpec &Spec) {
    return Spec.LongRunning_ && !Spec.Speculative_;
  }
  //! Before a start is sent, the record has to name the worker.
  static bool mustRecordStart(const StepEntry &Step, const TaskEntry &Task);
  static void setLocation(TaskEntry &Task,
                          std::optional<TaskLocation> Location);
  //! The run is over.
  static void forgetLocation(const RunEntry &Run, TaskEntry &Task);
  void announceStart(RunEntry &Run);
  //! Until the worker has answered the acknowledgement on its way.
  void delayStart(RunEntry &Run);
  static bool mustDelay(const RunEntry &Run);
  //! Ends a run of which nothing was sent.
  void cancelStart(RunEntry &Run);
  //! The same for all members of a gang.
  void cancelAnnounced(RunEntry &Run);
  void cancelStarts(WorkerEntry &Worker);
  void sendAnnouncedStarts();
  //! While the store fails, a record can't be made.
  bool mayStartUnrecorded(const RunEntry &Run) const;
  //! Tasks without a run whose record still names a worker.
  void recordLostRuns();
  //! The record names its worker.
  static bool isRecorded(const RunEntry &Run);
  bool areOwnStartsRecorded(bool LongRunning);
  //! Runs of earlier terms on a worker that has not answered, which are not
  //! located.
  struct UnlocatedRuns {
    base::TimePoint End_;
    //! Their jobs; unset if that may be any.
    std::optional<std::vector<std::string>> Jobs_;
    //! What End_ was read from; unset if it counts from this term's beginning.
    std::optional<internal::RecordKind> In_;

    bool mayBeOf(const std::string &Job) const;
  };
  bool mayRunUnlocated(const std::string &WorkerId) const;
  //! Until their results are recorded not to count.
  bool mustRecordUnlocated(const std::string &WorkerId) const;
  //! Its start was sent, and a later incarnation may have taken it.
  static bool isUnlocated(const RunEntry &Run) {
    return !Run.Located_ && Run.Phase_ != RunPhase::Announced &&
           !areStartsRefused(Run);
  }
  //! No copy of its start makes a run any more, and none has made one.
  static bool areStartsRefused(const RunEntry &Run) {
    return Run.StartsRefused_ > 0 && Run.StartsRefused_ == Run.StartsSent_;
  }
  //! Their end, and the jobs that a record of this term names for them.
  std::optional<base::Duration>
  recordedUnlocatedLeft(const WorkerEntry &Worker) const;
  std::vector<std::string> unlocatedJobs(const WorkerEntry &Worker) const;

  // RecordAges.cpp: how old the records of earlier terms are, and what they
  // cover.
  struct RecordAge {
    std::vector<internal::ClockReading> Clocks_;
    //! The record was written between these times.
    std::optional<base::TimePoint> WrittenAfter_;
    base::TimePoint WrittenBefore_;
  };
  std::vector<const WorkerEntry *> clockWorkers() const;
  std::vector<internal::ClockReading> clockReadings() const;
  std::string lastCommitRecord(uint64_t Number);
  void noteClock(const WorkerEntry &Worker, int64_t ClockMs,
                 base::TimePoint SentAt);
  //! Takes the times that were read from a record for this much earlier.
  void shiftRecordedEnds(internal::RecordKind In, base::Duration By);
  //! The progress of jobs covers all starts of earlier terms.
  bool areEarlierStartsRecorded(bool LongRunning) const;
  internal::RecordedStarts recordedStarts();
  //! Starts wait for their record until the store has been silent for longer.
  static base::Duration longestRecordedSilence(bool LongRunning);

  // Reconciliation.cpp: the runs that a worker reports.
  void reconcileRuns(WorkerEntry &Worker, const WorkerReport &Report,
                     base::TimePoint SentAt);
  //! The worker's report lacks a run whose start was sent.
  void handleMissingRun(RunEntry &Run, const char *Reason);
  //! The start was sent and got no answer, so it may be executed later.
  bool mayStartLate(const RunEntry &Run) const;
  //! All that is left to do there is to wait for starts that may be late.
  bool isWaitingForLateStarts(const WorkerEntry &Worker) const;
  //! By when its start has been executed.
  base::TimePoint lastArrival(const RunEntry &Run) const;
  void adoptRun(WorkerEntry &Worker, const RunStatus &Status);

  // LateStarts.cpp: starts without an answer, which may be executed late.
  void noteLateStart(const RunEntry &Run);
  void forgetLateStart(const TaskId &Id, TaskEntry &Task, const char *Reason);
  void logLateStartOver(const std::string &WorkerId,
                        const internal::LateStartEntry &Late,
                        const char *Reason) const;
  //! The worker has listed the run or its end.
  void noteExecuted(const WorkerEntry &Worker, const TaskId &Id,
                    uint64_t Number);
  internal::LateStartEntry *findLateStart(const std::string &WorkerId,
                                          const TaskId &Id);
  const internal::LateStartEntry *findLateStart(const std::string &WorkerId,
                                                const TaskId &Id) const;
  //! Another incarnation may still execute a start of the run.
  const internal::LateStartEntry *lateStartOf(const RunEntry &Run) const;
  //! A start of it that is late keeps the task from starting anew.
  bool mayStartLate(const StepEntry &Step, const TaskEntry &Task) const;
  bool isOver(const std::string &WorkerId,
              const internal::LateStartEntry &Late) const;
  void forgetEndedLateStarts();
  //! An unfinished task may be started there by a late request.
  bool mayStartLateAt(const WorkerEntry &Worker) const;
  //! The same for one of which no run is known.
  bool isAwaitedWithoutRun(const WorkerEntry &Worker) const;
  bool isUnfinished(const TaskId &Id) const;
  //! Until when the result must not be acknowledged.
  base::TimePoint acknowledgeableFrom(const WorkerEntry &Worker,
                                      const RunResult &Result) const;
  //! The start may be sent to the same worker again, now or soon.
  bool isRepeatable(const RunEntry &Run) const;
  bool mayRepeatNow(const RunEntry &Run);
  void repeatStart(RunEntry &Run);
  //! A repeated start was refused or not sent.
  void onRepeatRefused(RunEntry &Run);
  std::optional<LateStart> recordedLateStart(const TaskEntry &Task,
                                             const TaskId &Id) const;
  void restoreLateStart(const TaskId &Id, const LateStart &Late,
                        bool HandedOver);
  void restoreLateStarts(JobEntry &Job, const JobProgress &Progress);
  void forgetLateStartsNotHandedOver();
  //! Invoked once all records are restored.
  void expectRestoredLateStarts();
  //! Looks for the runs of starts of earlier terms that the first report of a
  //! worker, which was requested at SentAt, does not list.
  void resumeLateStarts(WorkerEntry &Worker, const WorkerReport &Report,
                        base::TimePoint SentAt);

  // Departures.cpp: workers that have left as planned.
  //! It drained, and its entry was removed while it still answered.
  bool hasLeft(const WorkerEntry &Worker) const;
  //! The same, and it answers no longer.
  bool hasDeparted(const WorkerEntry &Worker) const;
  //! It answered the term before so shortly before its entry had gone.
  bool isPlannedExit(const std::string &WorkerId,
                     base::TimePoint UnlistedAt) const;
  std::vector<internal::LeavingWorker> leavingWorkers() const;
  //! It drains, and its departure would end the wait for a late start.
  bool mayLeaveSoon(const WorkerEntry &Worker) const;
  //! Invoked until it is known how old the last commit is.
  void concludeEarlierDepartures();
  //! Ends what was waited for only because it might restart.
  void concludeDeparture(WorkerEntry &Worker);
  void forgetLateStartsAt(const std::string &WorkerId);

  // Progress.cpp: stalled runs, stragglers and repeated stops.
  static bool isStopDue(const RunEntry &Run, base::TimePoint Now);
  bool isProgressReliable(const RunEntry &Run) const;
  bool isStalled(const RunEntry &Run, base::TimePoint Now) const;
  bool isStraggler(const RunEntry &Run, base::TimePoint Now) const;
  void moveSlowRun(RunEntry &Run, base::TimePoint Now);
  void checkRuns();

  // Polls.cpp and Workers.cpp: polls, leases and incarnations of workers.
  WorkerEntry &addWorker(const WorkerInfo &Info);
  void pollDueWorkers();
  //! What a poll may acknowledge.
  uint64_t acknowledgeableSequence(const WorkerEntry &Worker) const;
  //! The same, unless it has arrived; 0 for nothing.
  uint64_t unsentAcknowledgement(const WorkerEntry &Worker) const;
  void poll(WorkerEntry &Worker);
  bool needsPoll(const WorkerEntry &Worker) const;
  base::Duration pollWait(const WorkerEntry &Worker) const;
  void onPollReply(const std::string &Id, int64_t StartTimeMs, uint64_t Serial,
                   const PollReply &Reply);
  void applyReport(WorkerEntry &Worker, const WorkerReport &Report,
                   base::TimePoint SentAt);
  //! It drains, and neither runs anything nor has results that later terms
  //! have to learn of.
  static bool isEmptied(const WorkerEntry &Worker, const WorkerReport &Report);
  void processResults(WorkerEntry &Worker, const WorkerReport &Report);
  void queueAcknowledgement(WorkerEntry &Worker, const RunResult &Result);
  static bool isOfOtherIncarnation(const WorkerEntry &Worker,
                                   const WorkerReport &Report);
  void onPollFailure(WorkerEntry &Worker, RequestStatus Status);
  void endIncarnation(WorkerEntry &Worker, WorkerLoss Loss, const char *Reason);
  //! The registry's entry is not one of a later incarnation.
  static bool isEarlierEntry(const WorkerEntry &Worker,
                             const WorkerInfo &Entry);
  //! Its loss has been recorded, and no start is announced for it.
  void removeIncarnation(WorkerEntry &Worker, WorkerLoss Loss,
                         const char *Reason);
  void replaceIncarnation(WorkerEntry &Worker, const WorkerInfo &NewInfo);
  int64_t grantLease(WorkerEntry &Worker);
  //! Longest time that a duration on a worker's clock takes.
  static base::Duration boundOnWorkerClock(base::Duration Time);
  //! The least that a worker's clock advances in this time.
  static base::Duration leastOnWorkerClock(base::Duration Time);
  //! By when every lease on the worker has ended, unless another coordinator
  //! renews it.
  base::TimePoint leaseEnd(const WorkerEntry &Worker) const;
  //! By when the runs on it have ended that are not located. A later
  //! incarnation may hold its longest lease for them.
  base::TimePoint unlocatedRunEnd(const WorkerEntry &Worker) const;
  //! By when the run has ended if its worker does not answer any more.
  base::TimePoint runEnd(const RunEntry &Run) const;
  void fencePredecessors(WorkerEntry &Worker);
  //! Longest time for which a worker can hold a lease that a request grants
  //! which is executed after Delay.
  base::Duration longestLeaseTime(base::Duration Delay) const;
  void expectLongestLease(WorkerEntry &Worker, base::TimePoint LastRequestAt,
                          base::Duration Delay);
  //! Expects the leases that requests to an earlier incarnation may grant.
  void expectEarlierLease(WorkerEntry &Worker);
  void recordClock(WorkerEntry &Worker, int64_t WorkerMs,
                   base::TimePoint SentAt);
  //! Stops what would end with the worker; what would end before runs on.
  //! Repeated calls judge that again.
  void drainWorker(WorkerEntry &Worker);
  void drainWorkers();
  void startProbation(WorkerEntry &Worker, const char *Event);
  bool isReachable(const WorkerEntry &Worker) const;
  WorkerAddress addressOf(const WorkerEntry &Worker) const {
    return {Worker.Info_.Id_, Worker.Info_.Address_, Worker.Info_.Domain_};
  }

  // Tokens.cpp: acknowledgements that may be executed late, and the fencing
  // tokens that let workers refuse them.
  uint64_t firstToken() const {
    return Settings_.FirstToken_ != 0 ? Settings_.FirstToken_ : Settings_.Term_;
  }
  //! With the one that is on its way.
  internal::LateAcknowledgement
  lateAcknowledgement(const WorkerEntry &Worker) const;
  //! Gives the worker a token by which it refuses those without an answer, if
  //! there is one.
  void fenceAcknowledgements(WorkerEntry &Worker);
  //! An acknowledgement that got no answer keeps starts from the worker.
  bool mustAwaitAcknowledgement(const WorkerEntry &Worker) const;
  //! A request with this token was refused, so it was not executed.
  void onFenced(WorkerEntry &Worker, uint64_t Token, const char *SeenAt);

  // Recovery.cpp: what a term learns of the terms before it.
  void endRecovery(const char *Reason);
  //! Its tasks may start: none can be running where this term does not see it.
  static bool hasRecovered(const JobEntry &Job) {
    return !Job.Restored_ || Job.RecoveredAt_;
  }
  //! The same for one task.
  bool hasRecovered(const StepEntry &Step, const TaskEntry &Task) const;
  //! No earlier term can have known that these steps are complete.
  static bool isFirstRelease(const OccurrenceEntry &Occurrence,
                             const std::vector<uint32_t> &Dependencies);
  bool mayRunAt(const internal::WorkerEntry &Worker, const JobEntry &Job,
                bool Finite) const;
  bool mayRunAt(const TaskLocation &Location, const JobEntry &Job,
                bool Finite) const;
  //! It may be running tasks, or have results, that this term has not seen.
  bool mayRunUnseen(const WorkerEntry &Worker) const;
  void updateUnseenRuns();
  //! Jobs whose runs may go on where this term does not see it.
  struct UnseenJobs {
    bool AnyJob_ = false;
    std::unordered_set<std::string> Ids_;

    void add(const std::optional<std::vector<std::string>> &Jobs);
    bool contains(const std::string &Id) const {
      return AnyJob_ || Ids_.count(Id) > 0;
    }
    std::pair<bool, std::size_t> size() const { return {AnyJob_, Ids_.size()}; }
  };
  //! Lets the tasks of all other jobs start. Located are the jobs whose located
  //! tasks may be running, Unlocated those whose other tasks may.
  void noteRecovered(const UnseenJobs &Located, const UnseenJobs &Unlocated);
  void logRecoveryWait() const;
  void logHeldTasks() const;
  //! Unfinished jobs whose tasks wait until the job has recovered.
  int64_t countHeldBackJobs() const;
  void abandonEarlierRuns(WorkerEntry &Worker, bool Unseen);
  void updateRecovery();

  // Resignation.cpp: what a term that resigns leaves behind.
  internal::HandedOverWorker handedOver(const WorkerEntry &Worker) const;
  //! All that may be executed after this term.
  std::vector<internal::HandedOverStart> lateStarts() const;
  //! Jobs of which the worker may run a task or hold a result that is not
  //! durable; empty if any job may be among them.
  std::optional<std::vector<std::string>>
  possibleJobs(const WorkerEntry &Worker) const;

  // Terms.cpp: whether this term is still the latest.
  static internal::LeaseBounds leaseBounds(const CoordinatorTimings &Times);
  void confirmTermByWorkers();
  //! The store was out a short time ago.
  bool mayEntriesHaveLapsed() const;
  base::Duration leaseTimeLeft() const;
  void noteTick();
  //! Nothing has confirmed the term since a pause.
  bool isResuming() const;
  bool mayStartRuns();
  //! The store has been silent for so long that only workers confirm starts.
  bool isStoreOut(bool LongRunning) const;
  //! The store has not taken the last commit, or has been silent.
  bool isStoreFailing() const { return CommitsFail_ || StoreSilent_; }
  //! It is recorded as a lease holder, and may confirm the term by an answer.
  bool mustConfirmTerm(const WorkerEntry &Worker) const;
  //! The store showed that no later term had begun at this time.
  bool wasLatestTermAt(base::TimePoint Time) const;
  bool hasLeaseEnded(const WorkerEntry &Worker) const;
  bool mayRecordUsedWorkers() const;
  //! For how long after the end of a term its coordinator may grant leases.
  base::Duration lastLeaseAfterTerm() const {
    return leaseBounds(Settings_.Times_).AfterConfirmation_;
  }

  // Abandonment.cpp: runs on workers that no longer answer.
  void expireUnreachableWorkers();
  void expireIfUnreachable(const std::string &Id);
  bool abandonRuns(WorkerEntry &Worker);
  //! Unseen says that runs are given up that are not located.
  void markAbandoned(WorkerEntry &Worker, bool Unseen);
  void rememberAbandonment(const WorkerEntry &Worker);
  void restoreAbandonment(WorkerEntry &Worker);
  void forgetOldIncarnations();
  void noteLeaseEnd(WorkerEntry &Worker);
  //! Acknowledging the result would count its task twice: it was started again.
  bool mustHoldBack(WorkerEntry &Worker, const WorkerReport &Report,
                    const RunResult &Result);
  void holdBack(WorkerEntry &Worker, const RunResult &Result);
  bool areResultsVoid(WorkerEntry &Worker);
  static bool mayTryHeldBackWorker(const WorkerEntry &Worker);
  void releaseHeldBack(WorkerEntry &Worker);
  void advanceAcknowledgements(WorkerEntry &Worker);

  // Crashes.cpp: tasks that crash their workers.
  void countUnproven(RunEntry &Run);
  void forgetUnproven(RunEntry &Run);
  //! The worker does not have the run, although it may get it.
  void noteAbsent(RunEntry &Run);
  void noteExists(RunEntry &Run, int64_t WorkerMs);
  bool isListedLate(const RunEntry &Run) const;
  void proveRun(RunEntry &Run);
  void noteOutlived(JobEntry &Job, TaskEntry &Task, const RunResult &Result);
  void refuteCrashes(JobEntry &Job, TaskEntry &Task, uint64_t FirstRun,
                     uint64_t LastRun);
  void recordWorkerLoss(const WorkerEntry &Worker, WorkerLoss Loss);
  CrashEvidence evidenceOf(const RunEntry &Run, WorkerLoss Loss);
  bool isLosingWorkers();
  void recordCrash(RunEntry &Run, CrashEvidence Evidence);
  //! The run ended with an incarnation that had accepted its start.
  void confirmCrash(RunEntry &Run);
  void failIfConvicted(JobEntry &Job, const TaskEntry &Task);
  static bool isNextRunAnnounced(const TaskEntry &Task);
  //! Returns true if the task must not start before that is durable.
  bool announceIfSuspected(JobEntry &Job, TaskEntry &Task);
  static void restoreCrashes(TaskEntry &Task,
                             const std::vector<SuspectedCrash> &Crashes);
  static bool mustIsolate(const TaskEntry &Task);
  bool isIsolatingWorker(const WorkerEntry &Worker) const;

  // PlacementPass.cpp: the order in which ready steps get workers.
  enum class Urgency : uint8_t { Serving, Useful, Overdue };
  void placeReadySteps();
  static Urgency urgencyOf(const StepEntry &Step, base::TimePoint Now);
  //! Unplaceable is what found no worker so far in this placement pass.
  void placeServingSteps(internal::UnplaceableSteps &Unplaceable);
  void placeSteps(Urgency Level, base::TimePoint Now,
                  internal::UnplaceableSteps &Unplaceable);
  bool tryToPlace(StepEntry &Step, internal::UnplaceableSteps &Unplaceable,
                  int &PlacedSteps);
  static bool hasPendingTasks(const StepEntry &Step);
  //! A long-running task of it that ran before waits.
  static bool hasLostRun(const StepEntry &Step);

  // Placement.cpp: choice of workers for a step.
  internal::PlacementNeeds placementNeeds(const StepEntry &Step) const;
  bool isUnsatisfiable(StepEntry &Step) const;
  bool placeStep(StepEntry &Step);
  bool placeGang(StepEntry &Step);
  bool isStartable(const StepEntry &Step, const TaskEntry &Task) const;
  //! A worker that is eligible for tasks of a step, with its placement score.
  struct Candidate {
    WorkerEntry *Worker_ = nullptr;
    double Score_ = 0;
  };
  bool acceptsProbation(const StepEntry &Step) const;
  std::vector<Candidate> rankWorkers(const StepEntry &Step,
                                     const std::string &PreferredRack);
  Candidate *bestCandidate(std::vector<Candidate> &Ranked,
                           const TaskEntry &Task) const;
  WorkerEntry *chooseWorker(const StepEntry &Step, const TaskEntry &Task,
                            const std::string &PreferredRack);
  bool fits(const StepEntry &Step, WorkerEntry &Worker) const;
  bool acceptsStarts(const WorkerEntry &Worker) const;
  //! The same if its results need not be held back.
  bool isAvailable(const WorkerEntry &Worker) const;
  static bool hasRequiredLabel(const StepSpec &Spec, const WorkerEntry &Worker);
  static bool isAtStepLimit(const StepEntry &Step, const WorkerEntry &Worker);
  bool isEligible(const StepEntry &Step, WorkerEntry &Worker) const;
  double placementScore(const StepEntry &Step, WorkerEntry &Worker,
                        const std::string &PreferredRack) const;
  double packingScore(const StepEntry &Step, const WorkerEntry &Worker) const;

  // Speculation.cpp: copies of slow runs.
  void startSpeculativeCopies();

  // Reservations.cpp: reservation of workers for a starving step, with
  // backfill.
  //! Returns the steps that held them.
  std::vector<StepEntry *> clearReservations();
  void renewReservations();
  bool isReserving(const StepEntry &Step) const;
  bool isStarving(const StepEntry &Step) const;
  bool mayReserve(const StepEntry &Step) const;
  std::size_t reservableWorkers(const StepEntry &Step) const;
  void reserveIfStarving(StepEntry &Step);
  bool reserveWorkers(const StepEntry &Step);
  void logReservation(const StepEntry &Step, WorkerEntry &Worker) const;
  std::optional<base::TimePoint> expectedFit(const StepEntry &Step,
                                             const WorkerEntry &Worker) const;
  bool isHeldForOther(const StepEntry &Step, const WorkerEntry &Worker) const;

  // Throttling.cpp: throttling of best-effort tasks beside serving tasks.
  void updatePressure(WorkerEntry &Worker);
  void throttleBestEffort(WorkerEntry &Worker);
  void computeRemainingHeadroom(WorkerEntry &Worker) const;
  template <typename Visit>
  void forEachServingImage(const StepEntry &Step, WorkerEntry &Worker,
                           Visit Function) const;
  double headroomSlack(const StepEntry &Step, WorkerEntry &Worker) const;
  double achievableSpeed(const StepEntry &Step, WorkerEntry &Worker) const;
  void requestSpeed(RunEntry &Run, int SpeedPercent);
  bool isThrottled(const RunEntry &Run, base::TimePoint Now) const;
  void moveThrottledRuns();

  // Waits.cpp: what the time of tasks is spent on.
  void accountWait(const JobEntry &Job, TaskEntry &Task);
  void accountRun(const RunEntry &Run, TaskEntry &Task, internal::TimeUse Use);
  internal::TimeSpent unfinishedTime(const JobEntry &Job) const;
  void countWaitingTasks(std::vector<WaitingTasks> &Out) const;
  //! Longest present wait of its tasks.
  base::Duration longestWait(const StepEntry &Step) const;
  void logLongWaits();
  internal::WaitCause waitCause(const StepEntry &Step,
                                const TaskEntry &Task) const;
  //! Wait of its task, unless the run can be taken for alive.
  std::optional<std::pair<internal::WaitCause, base::Duration>>
  waitOf(const RunEntry &Run) const;
  void noteLongestWaits();
  //! The same for the task of a run that may not be alive.
  void noteLongestWait(const RunEntry &Run);
  void logWait(const StepEntry &Step, base::Duration Wait) const;
  void markPollFailure(WorkerEntry &Worker);
  void markReachable(WorkerEntry &Worker);

  // Commits.cpp: writes of progress to the store.
  void markDirty(JobEntry &Job);
  void markLocationDirty(JobEntry &Job);
  void queueLocatedJobs();
  void recordEndedLongestLeases();
  void commitIfDue();
  JobProgress progressRecord(const JobEntry &Job) const;
  int64_t latestStartTimeMs(const WorkerEntry &Worker) const;
  std::vector<internal::UsedWorker> usedWorkers() const;
  //! The rest of its last lease, if it is granted none; else unset.
  std::optional<base::Duration>
  recordedLeaseLeft(const WorkerEntry &Worker) const;
  void advanceAcknowledgements();

  WorkerPort &Port_;
  const base::Clock &Clock_;
  base::MetricsRegistry &Metrics_;
  internal::WorkMetrics WorkMetrics_;
  //! Last call of noteLongestWaits().
  std::optional<base::TimePoint> WaitsNotedAt_;
  CommitFunction Commit_;

  std::unordered_map<std::string, std::unique_ptr<JobEntry>> Jobs_;
  //! Jobs that repeat and have no final state.
  std::unordered_set<JobEntry *> RecurringJobs_;
  //! Number of jobs without a final state that have not started, by queue.
  std::unordered_map<std::string, std::size_t> WaitingJobs_;
  //! Finished jobs in the order in which they finished.
  std::deque<std::string> FinishedJobs_;
  std::vector<std::string> Expired_;
  struct ReadyKey {
    int Priority_;
    base::TimePoint CompletionTarget_;
    uint64_t Sequence_;
    uint32_t Occurrence_;
    uint32_t Step_;
    friend bool operator<(const ReadyKey &A, const ReadyKey &B) {
      return std::tie(A.Priority_, A.CompletionTarget_, A.Sequence_,
                      A.Occurrence_,
                      A.Step_) < std::tie(B.Priority_, B.CompletionTarget_,
                                          B.Sequence_, B.Occurrence_, B.Step_);
    }
  };
  ReadyKey readyKey(const StepEntry &Step) const;
  //! Released steps that may have tasks to start, in scheduling order.
  std::map<ReadyKey, StepEntry *> ReadySteps_;
  void enqueueStep(StepEntry &Step);

  //! Counts the changes of what the fleet can run at all.
  uint64_t FleetVersion_ = 1;
  std::unordered_map<std::string, std::unique_ptr<WorkerEntry>> Workers_;
  std::vector<WorkerEntry *> WorkerOrder_;
  //! An incarnation that is gone and may have been granted a lease.
  struct EarlierLease {
    //! When the last request that grants one was sent.
    base::TimePoint LastRequestAt_;
    //! 0 if it is not known.
    int64_t StartTimeMs_ = 0;
  };
  //! By worker id.
  std::unordered_map<std::string, EarlierLease> EarlierLeases_;
  //! By worker id.
  std::unordered_map<std::string, std::vector<internal::LateStartEntry>>
      LateStarts_;
  //! Of incarnations that are gone, by worker id.
  struct EarlierAcknowledgement {
    uint64_t FencingToken_ = 0;
    internal::LateAcknowledgement Late_;
  };
  std::unordered_map<std::string, EarlierAcknowledgement> LateAcknowledgements_;
  //! Of the tokens that this term has used.
  uint64_t HighestToken_ = 0;
  //! Incarnations with RunsAbandoned_ that are gone and may come back, by
  //! worker id.
  struct AbandonedIncarnation {
    std::string Address_;
    int64_t StartTimeMs_ = 0;
    bool InEarlierTerm_ = false;
    //! UnseenAbandoned_ and AbandonmentDurable_ of its entry.
    bool Unseen_ = false;
    bool Durable_ = false;
    base::TimePoint GoneSince_;
  };
  std::unordered_map<std::string, AbandonedIncarnation> AbandonedIncarnations_;
  std::unordered_map<uint64_t, std::unique_ptr<RunEntry>> Runs_;
  uint64_t NextRunSerial_ = 1;
  uint64_t NextSequence_ = 1;

  //! Losses of workers on which no run was suspected.
  std::deque<base::TimePoint> UnsuspectedLosses_;

  internal::PressureModel Pressure_;
  internal::WorkerStability Stability_;
  internal::CongestionControl Congestion_;
  std::size_t StartsInFlight_ = 0;
  uint64_t Starts_ = 0;
  uint64_t RunsEnded_ = 0;
  uint64_t Polls_ = 0;
  uint64_t AcknowledgingPolls_ = 0;
  uint64_t OvertakenRequests_ = 0;
  uint64_t StartReplies_ = 0;
  base::Duration StartQueueing_{};
  uint64_t Commits_ = 0;
  base::Duration CommitTime_{};
  uint64_t WithheldPasses_ = 0;
  base::Duration PlacementTime_{};
  base::Duration ReportTime_{};
  base::Duration CheckTime_{};

  internal::TermConfirmation Confirmation_;
  //! Highest revision of a known job.
  int64_t NewestJobRevision_ = 0;
  internal::PredecessorLeases PredecessorLeases_;
  //! Ids of the workers that the restored record of used workers names as lease
  //! holders, until the recovery starts.
  std::set<std::string> RecordedHolders_;
  //! Number of lease holders in the stored record of used workers, or more:
  //! which of the last commits took effect may be unknown.
  std::size_t MaxRecordedHolders_ = 0;
  //! Whether the store confirmed the term too long ago, so that workers have
  //! to.
  bool StoreSilent_ = true;
  std::optional<base::TimePoint> StoreSilentUntil_;
  //! No run is started, since its lease would be too short or the term is not
  //! confirmed since a pause.
  bool StartsSuspended_ = false;
  base::TimePoint LastTickAt_;
  //! End of the last pause between ticks.
  base::TimePoint ResumedAt_;

  bool Recovering_ = false;
  //! All workers that may hold a lease of an earlier term are known.
  bool UsedWorkersComplete_ = true;
  base::TimePoint RecoveryStartedAt_;
  //! The coordinator of the term before has resigned, and had fenced those
  //! before it.
  bool PredecessorResigned_ = false;
  //! Start times of the incarnations on record when the term began, by worker
  //! id. The registry may lag behind them.
  std::unordered_map<std::string, int64_t> RecordedIncarnations_;
  //! Workers of which that incarnation has answered or is gone.
  std::set<std::string> SeenWorkers_;
  //! Workers for which mayRunUnseen() holds, and UnseenJobs::size() of their
  //! jobs.
  std::size_t UnseenWorkerCount_ = 0;
  std::pair<bool, std::size_t> LocatedSize_{true, 0};
  std::pair<bool, std::size_t> UnlocatedSize_{true, 0};
  //! By worker id.
  std::map<std::string, UnlocatedRuns> UnlocatedRuns_;
  std::optional<internal::LastCommit> LastCommit_;
  std::optional<RecordAge> LastCommitAge_;
  std::optional<RecordAge> HandoverAge_;
  //! The record of used workers was written before this time.
  base::TimePoint UsedWorkersWrittenBefore_;
  //! Workers without a lease whose entries had gone when the term began.
  std::set<std::string> UnlistedBefore_;
  //! The handover that was used names all late starts.
  bool HandoverNamesLateStarts_ = false;
  //! What the handover that was used says of the starts.
  std::optional<internal::RecordedStarts> HandoverStarts_;
  //! Serial numbers of runs in the phase Announced.
  std::vector<uint64_t> AnnouncedRuns_;
  //! Serial numbers of runs that were started although no record names their
  //! worker yet.
  std::vector<uint64_t> UnrecordedRuns_;
  base::TimePoint LastCommitSentAt_;
  base::TimePoint NextRecoveryReportAt_;
  //! The steps for which workers are reserved: some with lost runs, and at most
  //! one other.
  std::vector<StepEntry *> ReservingSteps_;
  base::TimePoint NextRenewalAt_;
  //! Starts of tasks with reserved CPU in this term.
  uint64_t ReservedStarts_ = 0;
  base::TimePoint NextCheckAt_;
  base::TimePoint NextRunCheckAt_;
  base::TimePoint NextPlacementAt_;

  std::deque<std::string> DirtyJobs_;
  //! Jobs with LocationQueued_, and since when.
  std::deque<std::pair<base::TimePoint, std::string>> LocatedJobs_;
  base::TimePoint DirtyJobsSince_;
  bool CommitUrgent_ = false;
  //! The last commit was not confirmed.
  bool CommitsFail_ = false;
  bool UsedWorkersDirty_ = false;
  base::TimePoint UsedWorkersDirtySince_;
  struct InFlightCommit {
    uint64_t Number_ = 0;
    base::TimePoint SentAt_;
    std::vector<std::pair<std::string, uint64_t>> Versions_;
    bool RecordsUsedWorkers_ = false;
    //! Number of rows without LeaseEnded_.
    std::size_t RecordedHolders_ = 0;
    struct Row {
      std::string Id_;
      int64_t StartTimeMs_ = 0;
      bool UnseenAbandoned_ = false;
      //! It is recorded that no start is sent to it.
      bool StartsExcluded_ = false;
    };
    //! Workers that are recorded as holding a lease.
    std::vector<Row> LeaseHolders_;
    //! Workers that are recorded with RunsAbandoned_.
    std::vector<Row> AbandonedWorkers_;
  };
  std::optional<InFlightCommit> InFlightCommit_;
  uint64_t NextCommitNumber_ = 1;
  base::TimePoint CommitRetryAt_;
};

} // namespace crocuslead::jobs
