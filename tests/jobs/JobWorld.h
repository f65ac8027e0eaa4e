#pragma once

#include "base/Random.h"
#include "jobs/Coordinator.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace crocuslead::jobs::test {

//! A run of a task on a fake worker.
struct FakeRun {
  TaskId Task_;
  uint64_t Number_ = 0;
  base::TimePoint StartedAt_;
  base::Duration RunTime_{};
  //! Work that was done before StartedAt_.
  base::Duration PriorWork_{};
  bool Fails_ = false;
  bool Stalled_ = false;
  //! When the run stops; set by a stop request.
  std::optional<base::TimePoint> StopAt_;
  int SpeedPercent_ = 100;
};

//! A worker that follows the platform's rules: fencing tokens, leases, run
//! numbers, and results that are reported until they are acknowledged.
struct FakeWorker {
  WorkerInfo Info_;
  std::map<std::string, FakeRun> Runs_;
  std::vector<RunResult> Ended_;
  //! When the runs in Ended_ ended, by sequence number.
  std::map<uint64_t, base::TimePoint> EndTimes_;
  std::map<std::string, uint64_t> HighestRun_;
  uint64_t NextSequenceNumber_ = 1;
  uint64_t FencingToken_ = 0;
  base::TimePoint LeaseEnd_;
  bool LeaseExpired_ = false;
  //! Start of the present incarnation.
  base::TimePoint StartedAt_;
  //! What its clock showed then.
  int64_t ClockOriginMs_ = 0;
  //! The same of the next incarnation, if it is decided already.
  std::optional<int64_t> NextClockOriginMs_;
  //! The registry has an entry of it.
  bool Listed_ = true;
  //! Start time in that entry, if it is one of an earlier incarnation.
  std::optional<int64_t> ListedStartTimeMs_;
  //! Requests to the worker are lost.
  bool DropsRequests_ = false;
  //! Replies of the worker are lost.
  bool DropsReplies_ = false;
  //! Between two incarnations: requests that arrive wait in Backlog_ for the
  //! next one.
  bool Down_ = false;
  std::vector<std::function<void()>> Backlog_;
  //! A worker with another id answers at its address.
  bool AddressTaken_ = false;
  int Polls_ = 0;
  bool FailsAllRuns_ = false;
  bool StallsRuns_ = false;
  //! Rate of the worker's clock; a platform's worker may be 2% slow.
  double ClockRate_ = 1;
  //! Polls that wait for a run to end, with the time at which each is answered
  //! in any case.
  std::vector<std::pair<base::TimePoint, std::function<void()>>> WaitingPolls_;
  //! Tail latency that the worker reports for its serving tasks.
  double TailLatencyMs_ = 10;
};

//! The last start request for a task.
struct SentStart {
  base::TimePoint SentAt_;
  std::string Worker_;
  //! When its sender got an answer.
  std::optional<base::TimePoint> AnsweredAt_;
};

enum class RequestKind : uint8_t { Start, Stop, Throttle, Poll };

//! Who sent a request to a worker, and what it is.
struct RequestOrigin {
  uint64_t Term_ = 0;
  //! The instance that sent it; empty if that is the coordinator itself.
  std::string Instance_;
  RequestKind Kind_ = RequestKind::Poll;
  //! Of a poll.
  uint64_t AcknowledgedSequence_ = 0;
};

//! Test oracle: checks the rules of the fleet as callers and workers observe
//! them, and records violations as text.
struct FleetOracle {
  std::vector<std::string> Violations_;
  std::map<std::string, std::set<std::string>> RunningOn_;
  //! Tasks that must not run again: their completion is still reported by a
  //! worker whose lease is valid, or was acknowledged.
  std::set<std::string> Done_;
  std::set<std::string> EverDone_;
  std::map<std::string, int> Failures_;
  //! Failures that a coordinator acknowledged, and the time of the last.
  std::map<std::string, std::pair<int, base::TimePoint>> AcknowledgedFailures_;
  std::map<std::string, int> Starts_;
  //! Workers that a task has crashed, and its starts after the third of them.
  std::map<std::string, int> Crashes_;
  std::map<std::string, int> StartsAfterCrashes_;
  std::map<std::string, base::TimePoint> LastStarts_;

  //! Copies of a task may start until 1 s after its last failure was
  //! acknowledged: failures of the others may not be known before.
  bool mayStartCopy(const std::string &Task, int MaxAttempts,
                    base::TimePoint Now) const;
};

//! Simulates workers, the store and successive coordinators on a manual clock.
class JobWorld final : public WorkerPort {
public:
  explicit JobWorld(uint64_t Seed = 1);
  ~JobWorld() override;

  void addWorker(const std::string &Id, int64_t MilliCpu = 16'000,
                 const std::string &Domain = "d1");
  void crashWorker(const std::string &Id);
  void removeFromRegistry(const std::string &Id);
  //! Starts a new incarnation of the worker under the same id.
  void restartWorker(const std::string &Id);
  //! The same, while the registry still has the entry of the earlier
  //! incarnation.
  void restartWorkerUnregistered(const std::string &Id);
  //! Restarts the worker after Downtime. The next incarnation executes the
  //! requests that arrive meanwhile, and is not in the registry before
  //! registerWorker().
  void restartWorkerAfter(const std::string &Id, base::Duration Downtime);
  void registerWorker(const std::string &Id);
  //! Announces that the worker leaves.
  void drainWorker(const std::string &Id);
  //! The worker exits and removes its entry.
  void leave(const std::string &Id);
  //! Draws the clock origin of each incarnation that begins from now on.
  //! Otherwise they are zero.
  void drawClockOrigins() { DrawsClockOrigins_ = true; }
  //! Lets a quarter of the restarts from now on follow a step of the time of
  //! day, so that their incarnations have an earlier start time than the former
  //! ones.
  void drawStartTimes() { DrawsStartTimes_ = true; }
  //! Publishes a registry entry of an earlier incarnation.
  void publishStaleEntry(const std::string &Id);
  //! Ends the runs of a task as failed.
  void failRuns(const std::string &Task);
  void submit(const std::string &Id, JobSpec Spec,
              const std::string &Queue = "visits");
  void cancel(const std::string &Id);
  //! Removes the coordinator without a handover.
  void crashCoordinator() { Coordinator_.reset(); }
  //! Starts a coordinator in the next term, restored from the store. One that
  //! is cut off goes on in the former term.
  void startSuccessor();
  //! A term that ends before its coordinator has read anything: by a crash, or
  //! by a resignation that says so.
  void passUnusedTerm(bool Resigned);
  //! Stops the coordinator as planned and lets Time pass.
  void resign(base::Duration Time);
  //! Stops the coordinator as planned. A successor starts after Time.
  void handOver(base::Duration Time);
  //! Cuts the coordinator and these workers off from the store, from the other
  //! workers and from the coordinators of later terms.
  void cutOff(const std::set<std::string> &Ids);
  void endCut();
  void run(base::Duration Time);
  void publishWorkers();
  void schedule(base::Duration Delay, std::function<void()> Action);
  //! Time that a message sent now spends in the queue of the sender's link.
  base::Duration queueOnLink(const std::string &Instance, double Requests = 1);
  void recordViolation(const std::string &Text);
  static constexpr uint64_t TokensPerTerm = 1'000;
  //! The lowest fencing token of a term.
  static uint64_t tokenOf(uint64_t Term) {
    return (Term - 1) * TokensPerTerm + 1;
  }

  void start(const WorkerAddress &To, const StartRequest &Request,
             RequestCallback Done) override;
  void stop(const WorkerAddress &To, const StopRequest &Request,
            RequestCallback Done) override;
  void throttle(const WorkerAddress &To, const ThrottleRequest &Request,
                RequestCallback Done) override;
  void poll(const WorkerAddress &To, const PollRequest &Request,
            PollCallback Done) override;

  JobState state(const std::string &Id) const;
  int startsOf(const std::string &Task) const;
  FakeWorker &worker(const std::string &Id) { return Workers_.at(Id); }
  base::TimePoint now() const { return Clock_.now(); }

  base::ManualClock Clock_;
  base::Random Random_;
  base::MetricsRegistry Metrics_;
  FleetConfig Config_;
  //! Of the coordinators that start from now on.
  CoordinatorTimings Times_;
  //! The terms that start from now on have more than one fencing token.
  bool RaisesTokens_ = true;
  FleetOracle Oracle_;
  std::map<std::string, FakeWorker> Workers_;
  std::map<std::string, JobRecord> Jobs_;
  std::set<std::string> Cancelled_;
  //! By task.
  std::map<std::string, SentStart> SentStarts_;
  std::map<std::string, std::string> Stored_;
  //! Term and number of the last commit.
  std::pair<uint64_t, uint64_t> LastCommit_;
  std::unique_ptr<Coordinator> Coordinator_;
  uint64_t Term_ = 0;
  //! The last term whose coordinator may have sent requests to workers.
  uint64_t LastUsedTerm_ = 0;
  //! Revision of the store, which jobs and elections change.
  int64_t Revision_ = 0;
  std::map<std::string, int64_t> JobRevisions_;
  //! Coordinators of former terms learn of new jobs, although they are cut off.
  bool FormerTermsLearnJobs_ = false;
  //! Coordinators that were cut off when a later term began, by term.
  std::map<uint64_t, std::unique_ptr<Coordinator>> Former_;
  //! No commit is confirmed.
  bool StoreDown_ = false;
  //! If set, tells how late a request is executed, which then gets no reply.
  std::function<std::optional<base::Duration>(const RequestOrigin &From,
                                              const std::string &Worker)>
      LatenessOf_;
  //! If set, how much longer a request takes to its worker, which answers it.
  std::function<base::Duration(const RequestOrigin &From,
                               const std::string &Worker)>
      TransitOf_;
  //! Late requests are executed by whichever incarnation is up then.
  //! Otherwise they are lost if their worker has restarted.
  bool LateRequestsReachNextIncarnation_ = false;
  //! Bounds of the time by which requests are late.
  std::pair<base::Duration, base::Duration> LatenessRange_ = {
      std::chrono::seconds(2), std::chrono::seconds(12)};
  //! Share of start requests that get no reply and are executed seconds later.
  double DelayedStartShare_ = 0;
  //! The same share for all kinds of requests.
  double DelayedRequestShare_ = 0;
  //! Requests that the link of a sender carries per second; the others queue up
  //! on it. 0 for no limit.
  int LinkRequestsPerSecond_ = 0;
  //! Instance that sends the present request; see RequestOrigin.
  std::string SendingInstance_;
  //! If set, tells whether a request of an instance does not reach a worker.
  std::function<bool(const std::string &Instance, const std::string &Worker)>
      IsPathCut_;
  //! If set, the port of the coordinator of a term; otherwise it is this one.
  std::function<WorkerPort &(uint64_t Term)> PortOf_;
  //! If set, invoked in each step.
  std::function<void()> OnStep_;
  //! Instance that accepts the jobs submitted from now on. Large payloads of
  //! such jobs are stored apart.
  std::string AcceptedBy_;
  //! By job, as they were submitted.
  std::map<std::string, std::string> Payloads_;
  //! Requests that were given up before the link delivered them.
  int LateDeliveries_ = 0;
  //! Start requests that are sent twice by their connection; the caller gets
  //! the reply to the second copy, which arrives this much later.
  base::Duration RepeatedStartDelay_{};
  //! Share of requests whose reply is lost.
  double LostReplyShare_ = 0;
  //! Requests in flight when a worker restarts reach its next incarnation, as
  //! they do on a new connection.
  bool RequestsReachNextIncarnation_ = false;
  //! Time that a worker takes to stop a task.
  base::Duration StopTime_{};
  base::Duration RunDuration_ = std::chrono::milliseconds(600);
  //! Failed runs of a task after which its job fails.
  int MaxAttempts_ = 3;
  //! If set, decides on the run time of each run and on whether it fails.
  std::function<std::pair<base::Duration, bool>(const TaskId &)> RunPlan_;
  //! Tasks that crash each worker that starts them; the worker restarts after
  //! CrashedTime_.
  std::set<std::string> CrashingTasks_;
  base::Duration CrashDelay_ = std::chrono::milliseconds(10);
  base::Duration CrashedTime_ = std::chrono::milliseconds(3500);
  //! Results that a worker lists at a time.
  std::size_t MaxListedResults_ = MaxListedResults;
  //! Longest wait of a poll for a run to end.
  base::Duration MaxPollWait_ = std::chrono::milliseconds(50);

private:
  RequestCallback noteStart(const std::string &Worker,
                            const StartRequest &Request, RequestCallback Done);
  //! One-way network delay between the coordinator, the store and the workers.
  static constexpr base::Duration OneWayDelay = std::chrono::milliseconds(2);
  static constexpr base::Duration CallTimeout = std::chrono::milliseconds(700);

  //! How often the store confirms the term of a coordinator.
  static constexpr base::Duration ConfirmationInterval =
      std::chrono::milliseconds(500);

  //! The coordinator of a term, null if it has ended.
  Coordinator *coordinatorOf(uint64_t Term) const;
  void commit(uint64_t Term, const CommitBatch &Batch, base::TimePoint SentAt);
  void tickCoordinators();
  void confirmTerms();
  bool isCutOff(uint64_t Term) const;
  //! Whether requests of a sender don't reach a worker.
  bool isCut(const RequestOrigin &From, const std::string &Worker) const;
  //! The highest token of a term, which is its number for coordinators.
  static uint64_t lastTokenOf(uint64_t Term) { return Term * TokensPerTerm; }
  //! The term of the coordinator that sends a token.
  static uint64_t termOf(uint64_t FencingToken) {
    return (FencingToken - 1) / TokensPerTerm + 1;
  }
  RequestOrigin origin(uint64_t FencingToken, RequestKind Kind) const {
    return {termOf(FencingToken), SendingInstance_, Kind};
  }
  int64_t nextClockOrigin(FakeWorker &Worker);
  int64_t nextStartTime(const FakeWorker &Worker);
  void advanceWorkers();
  //! Answers polls whose wait is over, or all of them.
  void answerPolls(FakeWorker &Worker, bool All);
  void forgetUnacknowledgedResults(const FakeWorker &Worker);
  void endRun(FakeWorker &Worker, const std::string &Name, RunOutcome Outcome);
  RequestStatus executeStart(FakeWorker &Worker, const StartRequest &Request);
  void crashUnder(const std::string &Task, const std::string &Id);
  void renewLease(FakeWorker &Worker, int64_t UntilMs) const;
  RequestStatus executePoll(FakeWorker &Worker, const PollRequest &Request,
                            WorkerReport &Report);
  void acknowledge(FakeWorker &Worker, uint64_t Sequence);
  //! Executes a request after its caller has given it up.
  void deliverLate(const std::string &Id, const RequestOrigin &From,
                   base::Duration Delay, RequestCallback Done,
                   std::function<RequestStatus(FakeWorker &)> Action);
  base::Duration randomLateness();
  std::optional<base::Duration> drawLateness(const RequestOrigin &From,
                                             const std::string &Id);
  int64_t workerClockMs(const FakeWorker &Worker) const;
  int percent(const FakeRun &Run) const;
  void deliver(const std::string &Id, const RequestOrigin &From,
               RequestCallback Done,
               std::function<RequestStatus(FakeWorker &)> Action);
  void deliverOnTime(const std::string &Id, const RequestOrigin &From,
                     base::Duration Queued, RequestCallback Done,
                     std::function<RequestStatus(FakeWorker &)> Action);
  //! Executes a request and answers it, unless the caller has given it up.
  void execute(const std::string &Id,
               const std::function<RequestStatus(FakeWorker &)> &Action,
               bool ReplyLost, const RequestCallback &Done);

  bool DrawsClockOrigins_ = false;
  bool DrawsStartTimes_ = false;
  //! Apart from Random_, so that these draws change no other choice.
  base::Random OriginRandom_;
  std::multimap<base::TimePoint, std::function<void()>> Events_;
  //! The latest term on the far side of the cut, with the workers there; unset
  //! without a cut.
  std::optional<std::pair<uint64_t, std::set<std::string>>> Cut_;
  base::TimePoint NextConfirmation_;
  //! By instance.
  std::map<std::string, base::TimePoint> LinkFreeAt_;
};

//! A job of consecutive steps with Count tasks each.
JobSpec chainJob(uint32_t Steps, uint32_t Count, int64_t MilliCpu = 1'000);

} // namespace crocuslead::jobs::test
