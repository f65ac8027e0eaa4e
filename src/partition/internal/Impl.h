#pragma once

#include "partition/Partition.h"
#include "partition/internal/Journal.h"
#include "partition/internal/State.h"
#include "schedule/Planner.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace crocuslead::partition {

using schedule::TaskNumber;
using schedule::WorkerNumber;

//! Progress of the start command of a task's current attempt.
enum class DispatchState : uint8_t {
  //! No attempt.
  None,
  //! The start entry is not durable; the task accepts no other change.
  Uncommitted,
  //! The start entry is durable; the command is in the worker's outbox.
  Queued,
  //! The command was sent. Until the worker replies, it may still execute the
  //! start before the deadline on the worker's clock.
  Sent,
  //! The worker has confirmed the attempt, or an earlier owner started it. The
  //! worker refuses that owner's commands once it has replied to this epoch.
  Confirmed,
};

//! In-memory state of a job that has not ended; rebuilt on recovery.
struct LiveJob {
  std::string Id_;
  schedule::JobNumber Number_ = 0;
  TaskNumber FirstTask_ = 0;
  //! A cancel call is pending; no task of the job is started any more.
  bool CancelRequested_ = false;
  //! Time since which no task of the job holds a worker of this partition.
  base::TimePoint PendingSince_;
  base::TimePoint NextOfferAt_;
  base::Duration OfferDelay_{0};
};

//! In-memory state of one task of a LiveJob.
struct LiveTask {
  LiveJob *Job_ = nullptr;
  uint32_t Index_ = 0;
  DispatchState Dispatch_ = DispatchState::None;
  bool EvictionRequested_ = false;
  //! The attempt is being evicted to free resources for an urgent task.
  bool BlocksUrgentTask_ = false;
  //! The planner holds the task as pending.
  bool InPlanner_ = false;
  WorkerNumber Worker_ = 0;
  //! Latest time on the worker's clock at which it may start the attempt.
  int64_t StartDeadlineMs_ = 0;
  //! Backoff: the task is not planned again before this time.
  base::TimePoint NotBefore_;
  base::TimePoint StopRequestedAt_;
  //! Estimated time at which the attempt completes by itself.
  base::TimePoint ExpectedEnd_ = base::TimePoint::max();
};

//! Connection, lease and command state of one worker in this epoch.
struct WorkerState {
  std::string Id_;
  std::string Address_;
  std::string Domain_;
  schedule::WorkerInfo Info_;
  //! The instance list contains the worker.
  bool Listed_ = false;
  bool Leaving_ = false;
  bool InPlanner_ = false;
  bool AnsweredThisEpoch_ = false;
  //! The last message was answered.
  bool Reachable_ = false;
  std::string Incarnation_;
  int64_t ReportSequence_ = 0;
  //! Latest reading of the worker's clock, and when the request was sent whose
  //! reply carried it.
  int64_t ClockMs_ = 0;
  base::TimePoint ClockRequestSentAt_;
  //! Time by which every lease granted in this or an earlier epoch has expired,
  //! including the clock margin.
  base::TimePoint LeaseEnd_;
  //! Token of the message in flight; 0 when there is none.
  uint64_t Token_ = 0;
  base::TimePoint SentAt_;
  //! Lease granted by the last message; 0 when it granted none.
  base::Duration GrantedLease_{0};
  //! Commands of the message in flight.
  std::vector<cluster::WorkerCommand> InFlight_;
  //! Commands for the next message.
  std::vector<cluster::WorkerCommand> Outbox_;
  base::TimePoint NextRenewalAt_;
  base::TimePoint NextReportAt_;
  base::TimePoint NextPollAt_ = base::TimePoint::max();
  //! Tasks that hold resources on the worker.
  std::set<TaskNumber> ActiveTasks_;
};

//! Resources of a peer that are reserved for jobs offered to it.
struct OfferedCapacity {
  base::Resources Reserved_;
  base::TimePoint ExpiresAt_;
};

//! A job cancellation that is carried out in slices of tasks.
struct PendingCancellation {
  //! Call to answer; 0 when a former owner received the request.
  uint64_t Call_ = 0;
  std::string Job_;
  //! First task that has not been cancelled.
  uint32_t NextTask_ = 0;
  bool Done_ = false;
};

class Partition::Impl {
public:
  explicit Impl(PartitionSettings Settings);

  base::Result<void> recover(const std::vector<store::KeyValue> &Stored,
                             base::TimePoint Now, base::WallTime Wall);
  void configure(const config::Configuration &Config,
                 const base::Resources &FleetCapacity, base::TimePoint Now);
  void setWorkers(const std::vector<cluster::InstanceEntry> &Workers,
                  base::TimePoint Now);
  void setPeerSummaries(std::vector<PartitionSummary> Summaries);
  void submit(uint64_t Call, const JobSpec &Job, base::TimePoint Now,
              base::WallTime Wall);
  void cancel(uint64_t Call, const std::string &JobId);
  void workerReply(uint64_t Token,
                   const std::variant<cluster::WorkerReply, base::Error> &Reply,
                   base::TimePoint Now);
  void transferOffered(const std::string &From, const std::string &Record,
                       uint64_t Number, base::TimePoint Now);
  void transferAccepted(const std::string &JobId, uint64_t Number);
  void recordStoreContact(base::TimePoint At);
  void tick(base::TimePoint Now, base::WallTime Wall);
  store::Put prepareHandover();

  PartitionSummary summary() const;
  JobView jobView(const JobRecord &Job) const;
  std::vector<DecisionRecord> explain(const std::string &TaskOrJob) const;

  PartitionSettings Settings_;
  DurableState State_;
  std::vector<Action> Actions_;
  Journal Journal_;
  bool HandingOver_ = false;
  //! The rests of the leases are recorded for the next owner, so no message is
  //! sent to a worker any more.
  bool GrantsEnded_ = false;

private:
  // Impl.cpp: journal entries, live jobs and tasks.
  int64_t wallClockMs() const;
  bool stage(JournalEntry Entry, bool Urgent,
             std::function<void(base::TimePoint)> OnDurable = {});
  bool stageTaskEntry(EntryKind Kind, const LiveTask &Task, JournalEntry Entry,
                      std::function<void(base::TimePoint)> OnDurable = {});
  LiveJob &addLiveJob(const JobRecord &Job, base::TimePoint Now);
  void removeLiveJob(const std::string &JobId);
  TaskRecord &taskRecord(const LiveTask &Task);
  const JobRecord &jobRecord(const LiveTask &Task) const;
  std::string taskName(const LiveTask &Task) const;
  LiveTask *findTask(const std::string &Name);
  void logDecision(const std::string &Task, const char *Event,
                   std::string Reason, const std::string &Worker = {});
  void answerCall(uint64_t Call, std::optional<base::Error> Failure,
                  const std::string &JobId);
  base::Error validateJob(const JobSpec &Job) const;
  void refreshLiveJob(const std::string &JobId, base::TimePoint Now);
  bool hasRecentStoreContact(base::TimePoint Now) const;

  // Planning.cpp: scheduling decisions.
  schedule::PendingTask makePendingTask(const LiveTask &Task) const;
  void queueTask(LiveTask &Task, base::TimePoint Now);
  void queueGang(LiveJob &Job, base::TimePoint Now);
  void queueTasksAfterBackoff(base::TimePoint Now);
  void updateWorkspaceShares();
  void plan(base::TimePoint Now);
  void applyDecision(const schedule::Decision &Decision, base::TimePoint Now);
  void stageStart(LiveTask &Task, const schedule::Decision &Decision,
                  base::TimePoint Now);
  void rejectJob(LiveTask &Task, std::string Reason, base::TimePoint Now);
  void onStartDurable(TaskNumber Number, uint32_t Attempt, base::TimePoint Now);
  void withdrawStart(const JournalEntry &Start);

  // Attempts.cpp: evictions, ends of attempts and cancellations.
  void evict(LiveTask &Task, const char *Reason, base::TimePoint Now);
  void endAttempt(LiveTask &Task, AttemptOutcome Outcome, JournalEntry Entry,
                  const char *Reason, base::TimePoint Now);
  void evictGang(const LiveTask &Task, base::TimePoint Now);
  void processCancellations(base::TimePoint Now);
  uint32_t cancelTaskRange(PendingCancellation &Cancellation, uint32_t Limit,
                           base::TimePoint Now);

  // Handover.cpp: what the next owner is told of the leases.
  void restoreHandover(const std::vector<store::KeyValue> &Stored);

  // Workers.cpp: messages to workers, and leases.
  WorkerState &findOrAddWorker(const std::string &Id);
  void updatePlannerWorker(WorkerState &Worker);
  void queueCommand(LiveTask &Task, cluster::CommandKind Kind);
  cluster::WorkerCommand makeStartCommand(const LiveTask &Task) const;
  base::Duration leaseToGrant(base::TimePoint Now) const;
  base::Duration withClockMargin(base::Duration Interval) const;
  int64_t estimateWorkerClockMs(const WorkerState &Worker,
                                base::TimePoint Now) const;
  void sendMessages(base::TimePoint Now);
  void sendMessage(WorkerState &Worker, base::TimePoint Now);
  void dropExpiredStarts(WorkerState &Worker, base::TimePoint Now);
  void grantLongLeases(base::TimePoint Now);
  void expireLeases(base::TimePoint Now);
  void endLostAttempts(WorkerState &Worker, const char *Reason,
                       base::TimePoint Now);
  void schedulePoll(WorkerState &Worker, base::TimePoint Now);

  // Reports.cpp: worker replies.
  void handleMessageFailure(WorkerState &Worker, base::TimePoint Now);
  void handleCommandReplies(const WorkerState &Worker,
                            const cluster::WorkerReply &Reply,
                            base::TimePoint Now);
  void handleReport(WorkerState &Worker, const cluster::WorkerReply &Reply,
                    bool Restarted, base::TimePoint Now);
  void handleAttemptReport(WorkerState &Worker,
                           const cluster::AttemptReport &Report,
                           base::TimePoint Now);
  void handleActiveAttempt(LiveTask &Task, const cluster::AttemptReport &Report,
                           base::TimePoint Now);
  void handleUnknownAttempt(WorkerState &Worker,
                            const cluster::AttemptReport &Report);
  void updateUsage(LiveTask &Task, const cluster::AttemptReport &Report,
                   base::TimePoint Now);
  int64_t estimateUncountedCpuMs(const LiveTask &Task);

  // Transfers.cpp: job transfers and periodic journal entries.
  void runTransfers(base::TimePoint Now);
  bool isMovable(const JobRecord &Job) const;
  base::Resources requestedResources(const JobRecord &Job) const;
  bool canRunElsewhere(const JobRecord &Job) const;
  bool canStartHere(const base::Resources &Request) const;
  base::Duration transferDelay(const JobRecord &Job) const;
  base::Resources availableCapacityAt(const PartitionSummary &Peer) const;
  std::optional<std::string> chooseReceiver(const JobRecord &Job) const;
  void stageOffer(const std::string &Id, LiveJob &Live, const std::string &To,
                  base::TimePoint Now);
  void sendOffer(const JobRecord &Job, LiveJob &Live, base::TimePoint Now);
  void accrueShares(base::TimePoint Now);
  void stageAccrual(int64_t ToMs);
  void pruneEndedJobs();

  config::DomainState domainState(const std::string &Domain) const;
  std::string ownDomain() const;
  const std::string &domainOf(const WorkerState &Worker) const;

  schedule::Planner Planner_;
  config::Configuration Config_;
  bool Configured_ = false;
  bool WorkersKnown_ = false;
  base::Resources FleetCapacity_;
  std::vector<PartitionSummary> Peers_;
  //! By peer: capacity reserved by offers since its summary last changed.
  std::map<std::string, OfferedCapacity> OfferedCapacity_;

  std::map<std::string, LiveJob> LiveJobs_;
  std::unordered_map<TaskNumber, LiveTask> Tasks_;
  TaskNumber NextTask_ = 1;
  schedule::JobNumber NextJob_ = 1;
  std::map<std::string, uint32_t> WorkspaceNumbers_;
  std::map<std::string, uint32_t> KindNumbers_;
  std::map<std::string, uint32_t> RackNumbers_;
  std::map<std::string, uint32_t> DomainNumbers_;

  std::deque<WorkerState> Workers_;
  std::map<std::string, WorkerNumber> WorkerNumbers_;
  //! By worker id: rests of the leases that the owner before had granted, at
  //! the takeover.
  std::map<std::string, base::Duration> HandedOverLeases_;
  std::map<uint64_t, WorkerNumber> WorkerByToken_;
  uint64_t NextToken_ = 1;

  //! By job: submit calls that wait for its entry to become durable.
  std::map<std::string, std::vector<uint64_t>> SubmitWaiters_;
  std::deque<PendingCancellation> PendingCancellations_;
  //! Tasks in backoff, by the time at which they are queued again.
  std::set<std::pair<base::TimePoint, TaskNumber>> Backoffs_;
  //! Attempts whose end is staged but not durable, as "task#attempt".
  std::set<std::string> EndingAttempts_;
  //! Jobs received from other partitions whose acceptance is not durable.
  std::set<std::string> AcceptingJobs_;
  std::deque<DecisionRecord> DecisionLog_;

  base::TimePoint Now_;
  //! Latest wall clock reading and the monotonic time at which it was taken.
  base::TimePoint WallReadAt_;
  base::WallTime Wall_;
  base::TimePoint TakeoverAt_;
  //! Send time of the last store call that reached the store.
  base::TimePoint LastStoreContact_;
  base::TimePoint NextAccrualAt_;
  base::TimePoint NextTransferScanAt_;
  //! Store contact has been lost for long enough that leases extend to the
  //! long lease horizon.
  bool GrantsLongLeases_ = false;
};

} // namespace crocuslead::partition
