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

//! How far the start of the current attempt has come.
enum class Dispatch : uint8_t {
  //! No attempt.
  None,
  //! The start is not durable; nothing else may happen to the task.
  Undurable,
  //! Durable; the command waits for its message.
  Queued,
  //! The command was sent; without an answer the worker may still take it until
  //! the deadline on its clock.
  Sent,
  //! The worker has confirmed the attempt, or the start was an earlier owner's,
  //! whose commands the worker refuses from its first answer to this epoch on.
  Known,
};

struct LiveJob {
  std::string Id_;
  schedule::JobNumber Number_ = 0;
  TaskNumber FirstTask_ = 0;
  //! Set when a cancel call waits; no task of the job starts from then on.
  bool CancelWanted_ = false;
  //! Since when no task of the job holds a worker here.
  base::TimePoint PendingSince_;
  base::TimePoint NextOfferAt_;
  base::Duration OfferDelay_{0};
};

struct LiveTask {
  LiveJob *Job_ = nullptr;
  uint32_t Index_ = 0;
  Dispatch Dispatch_ = Dispatch::None;
  bool EvictWanted_ = false;
  //! Urgent work waits for this attempt's end.
  bool UrgentWaits_ = false;
  bool InPlanner_ = false;
  WorkerNumber Worker_ = 0;
  //! Start deadline on the worker's clock.
  int64_t DeadlineMs_ = 0;
  base::TimePoint NotBefore_;
  //! When the task was asked to stop, and expected to end by itself.
  base::TimePoint StopSince_;
  base::TimePoint ExpectedEnd_ = base::TimePoint::max();
};

struct WorkerLink {
  std::string Id_;
  std::string Address_;
  std::string Domain_;
  schedule::WorkerInfo Info_;
  bool Listed_ = false;
  bool Leaving_ = false;
  bool InPlanner_ = false;
  //! Has answered this epoch; answered the last message.
  bool Reached_ = false;
  bool Reachable_ = false;
  std::string Incarnation_;
  int64_t ReportSequence_ = 0;
  int64_t ClockMs_ = 0;
  base::TimePoint ClockSentAt_;
  //! After this no lease that this epoch or an earlier one granted is in force,
  //! with margin.
  base::TimePoint LeaseEnd_;
  uint64_t Token_ = 0;
  base::TimePoint SentAt_;
  base::Duration Grant_{0};
  std::vector<cluster::WorkerCommand> InFlight_;
  std::vector<cluster::WorkerCommand> Outbox_;
  base::TimePoint NextRenewAt_;
  base::TimePoint NextReportAt_;
  base::TimePoint NextPollAt_ = base::TimePoint::max();
  std::set<TaskNumber> Active_;
};

struct OfferedRoom {
  base::Resources Taken_;
  base::TimePoint Until_;
};

struct WaitingCancel {
  uint64_t Call_ = 0;
  std::string Job_;
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

  PartitionSummary summary() const;
  JobView view(const JobRecord &Job) const;
  std::vector<DecisionRecord> explain(const std::string &TaskOrJob) const;

  PartitionSettings Settings_;
  DurableState State_;
  std::vector<Action> Actions_;
  Journal Journal_;
  bool Handover_ = false;

private:
  // Impl.cpp: entries, live jobs and tasks.
  int64_t wallMs() const;
  bool stage(JournalEntry Change, bool Urgent,
             std::function<void(base::TimePoint)> Durable = {});
  bool stageTask(EntryKind Kind, const LiveTask &Task, JournalEntry Change,
                 std::function<void(base::TimePoint)> Durable = {});
  LiveJob &addLive(const JobRecord &Job, base::TimePoint Now);
  void dropLive(const std::string &Job);
  TaskRecord &record(const LiveTask &Task);
  const JobRecord &jobOf(const LiveTask &Task) const;
  std::string nameOf(const LiveTask &Task) const;
  LiveTask *findTask(const std::string &Name);
  void log(const std::string &Task, const char *Event, std::string Reason,
           const std::string &Worker = {});
  void answer(uint64_t Call, std::optional<base::Error> Failure,
              const std::string &Job);
  base::Error checkSpec(const JobSpec &Job) const;
  void settleJob(const std::string &Job, base::TimePoint Now);
  bool storeFresh(base::TimePoint Now) const;

  // Planning.cpp: decisions.
  schedule::PendingTask pendingTask(const LiveTask &Task) const;
  void makePending(LiveTask &Task, base::TimePoint Now);
  void makeGangPending(LiveJob &Job, base::TimePoint Now);
  void retryPending(base::TimePoint Now);
  void applyShares();
  void plan(base::TimePoint Now);
  void decide(const schedule::Decision &Choice, base::TimePoint Now);
  void decideStart(LiveTask &Task, const schedule::Decision &Choice,
                   base::TimePoint Now);
  void rejectJob(LiveTask &Task, std::string Why, base::TimePoint Now);
  void startDurable(TaskNumber Number, uint32_t Attempt, base::TimePoint Now);
  void withdrawStart(const JournalEntry &Start);

  // Attempts.cpp: evictions, ends and cancellations.
  void evict(LiveTask &Task, const char *Reason, base::TimePoint Now);
  void endAttempt(LiveTask &Task, AttemptOutcome How, JournalEntry Change,
                  const char *Reason, base::TimePoint Now);
  void evictGangOf(const LiveTask &Task, base::TimePoint Now);
  void runCancels(base::TimePoint Now);
  uint32_t cancelSlice(WaitingCancel &Cancel, uint32_t Limit,
                       base::TimePoint Now);

  // Workers.cpp: messages and leases.
  WorkerLink &workerByName(const std::string &Id);
  void publishWorker(WorkerLink &Worker);
  void queueCommand(LiveTask &Task, cluster::CommandKind Kind);
  cluster::WorkerCommand startCommand(const LiveTask &Task) const;
  base::Duration grantNow(base::TimePoint Now) const;
  base::Duration withMargin(base::Duration Wait) const;
  int64_t workerClock(const WorkerLink &Worker, base::TimePoint Now) const;
  void sendMessages(base::TimePoint Now);
  void sendMessage(WorkerLink &Worker, base::TimePoint Now);
  void dropLateStarts(WorkerLink &Worker, base::TimePoint Now);
  void pushLongLeases(base::TimePoint Now);
  void expireLeases(base::TimePoint Now);
  void loseTasks(WorkerLink &Worker, const char *Reason, base::TimePoint Now);
  void schedulePoll(WorkerLink &Worker, base::TimePoint Now);

  // Reports.cpp: worker replies.
  void messageFailed(WorkerLink &Worker, base::TimePoint Now);
  void readCommandReplies(const WorkerLink &Worker,
                          const cluster::WorkerReply &Reply,
                          base::TimePoint Now);
  void readReport(WorkerLink &Worker, const cluster::WorkerReply &Reply,
                  bool Restarted, base::TimePoint Now);
  void readAttempt(WorkerLink &Worker, const cluster::AttemptReport &Report,
                   base::TimePoint Now);
  void readActive(LiveTask &Task, const cluster::AttemptReport &Report,
                  base::TimePoint Now);
  void readUnknown(WorkerLink &Worker, const cluster::AttemptReport &Report);
  void countUsage(LiveTask &Task, const cluster::AttemptReport &Report,
                  base::TimePoint Now);
  int64_t estimateOf(const LiveTask &Task);

  // Transfers.cpp: jobs that move, and periodic entries.
  void runTransfers(base::TimePoint Now);
  bool movable(const JobRecord &Job) const;
  base::Resources needOf(const JobRecord &Job) const;
  bool mayRunElsewhere(const JobRecord &Job) const;
  bool canStartHere(const base::Resources &One) const;
  base::Duration moveDelay(const JobRecord &Job) const;
  base::Resources roomAt(const PartitionSummary &Peer) const;
  std::optional<std::string> receiverFor(const JobRecord &Job) const;
  void stageOffer(const std::string &Id, LiveJob &Live, const std::string &To,
                  base::TimePoint Now);
  void sendOffer(const JobRecord &Job, LiveJob &Live, base::TimePoint Now);
  void accrue(base::TimePoint Now);
  void stageAccrue(int64_t ToMs);
  void prune();

  config::DomainState domainState(const std::string &Domain) const;
  std::string ownDomain() const;
  const std::string &domainOf(const WorkerLink &Worker) const;

  schedule::Planner Planner_;
  config::Configuration Config_;
  bool Configured_ = false;
  bool WorkersKnown_ = false;
  base::Resources Fleet_;
  std::vector<PartitionSummary> Peers_;
  //! Room of a peer that offers since its last changed summary will take.
  std::map<std::string, OfferedRoom> OfferedRoom_;

  std::map<std::string, LiveJob> LiveJobs_;
  std::unordered_map<TaskNumber, LiveTask> Tasks_;
  TaskNumber NextTask_ = 1;
  schedule::JobNumber NextJob_ = 1;
  std::map<std::string, uint32_t> Workspaces_;
  std::map<std::string, uint32_t> Kinds_;
  std::map<std::string, uint32_t> Racks_;
  std::map<std::string, uint32_t> Domains_;

  std::deque<WorkerLink> Workers_;
  std::map<std::string, WorkerNumber> WorkerNumbers_;
  std::map<uint64_t, WorkerNumber> Tokens_;
  uint64_t NextToken_ = 1;

  //! Calls that wait for a job's entry to become durable.
  std::map<std::string, std::vector<uint64_t>> SubmitWaiters_;
  std::deque<WaitingCancel> Cancels_;
  std::set<std::pair<base::TimePoint, TaskNumber>> Backoffs_;
  //! Attempts whose end is staged but not durable: "task#attempt".
  std::set<std::string> Ending_;
  //! Jobs from other partitions whose acceptance is not durable.
  std::set<std::string> Accepting_;
  std::deque<DecisionRecord> Log_;

  base::TimePoint Now_;
  base::TimePoint WallReadAt_;
  base::WallTime Wall_;
  base::TimePoint TakeoverAt_;
  base::TimePoint Contact_;
  base::TimePoint NextAccrueAt_;
  base::TimePoint NextTransferAt_;
  bool LongLeases_ = false;
};

} // namespace crocuslead::partition
