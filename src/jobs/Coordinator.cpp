#include "jobs/Coordinator.h"

#include "jobs/internal/Impl.h"

#include <algorithm>

namespace crocuslead::jobs {

namespace {

// How often due occurrences and leases are checked.
constexpr auto CheckInterval = std::chrono::milliseconds(50);
// The checks that visit all runs. Fine enough for stops that are repeated after
// 300 ms and for runs that are slow after 700 ms.
constexpr auto RunCheckInterval = std::chrono::milliseconds(200);
constexpr auto BacklogPassInterval = std::chrono::milliseconds(20);

} // namespace

Coordinator::Impl::Impl(const CoordinatorSettings &Settings, WorkerPort &Port,
                        const base::Clock &Clock,
                        base::MetricsRegistry &Metrics, CommitFunction OnCommit)
    : Settings_(Settings), Port_(Port), Clock_(Clock), Metrics_(Metrics),
      WorkMetrics_(Metrics), Commit_(std::move(OnCommit)),
      Confirmation_(leaseBounds(Settings.Times_)),
      PredecessorLeases_(leaseBounds(Settings.Times_)),
      UsedWorkersWrittenBefore_(Clock.now()) {
  HighestToken_ = firstToken();
}

void Coordinator::Impl::tick() {
  if (Superseded_)
    return;
  noteTick();
  if (now() >= NextCheckAt_) {
    NextCheckAt_ = now() + CheckInterval;
    confirmTermByWorkers();
    expireUnreachableWorkers();
    updateRecovery();
    sendAnnouncedStarts();
    adaptToCongestion();
    if (now() >= NextRunCheckAt_) {
      NextRunCheckAt_ = now() + RunCheckInterval;
      timed(CheckTime_, [this] {
        checkRuns();
        recordLostRuns();
        recordEndedLongestLeases();
        drainWorkers();
        startSpeculativeCopies();
        moveThrottledRuns();
        logLongWaits();
        noteLongestWaits();
        Stability_.prune(now());
        forgetOldIncarnations();
        concludeEarlierDepartures();
        forgetEndedLateStarts();
      });
    }
    for (JobEntry *Job : RecurringJobs_)
      createDueOccurrences(*Job);
    PlacementRequested_ = PlacementRequested_ || !ReadySteps_.empty();
  }
  if (PlacementRequested_ && now() >= NextPlacementAt_) {
    timed(PlacementTime_, [this] { placeReadySteps(); });
    // With a backlog, a placement pass visits many workers for each step, so
    // passes are spaced out.
    if (!ReadySteps_.empty())
      NextPlacementAt_ = now() + BacklogPassInterval;
  }
  pollDueWorkers();
  commitIfDue();
}

CoordinatorStats Coordinator::Impl::stats() const {
  CoordinatorStats Out;
  Out.Jobs_ = Jobs_.size();
  Out.UnfinishedJobs_ = static_cast<std::size_t>(
      std::count_if(Jobs_.begin(), Jobs_.end(), [](const auto &Entry) {
        return !isFinal(Entry.second->State_);
      }));
  Out.Workers_ = Workers_.size();
  Out.ReachableWorkers_ = static_cast<std::size_t>(std::count_if(
      WorkerOrder_.begin(), WorkerOrder_.end(),
      [this](const WorkerEntry *Worker) { return isReachable(*Worker); }));
  Out.Runs_ = Runs_.size();
  Out.ReadySteps_ = ReadySteps_.size();
  Out.Recovering_ = Recovering_;
  if (auto SentAt = Confirmation_.confirmedByStoreAt())
    Out.StoreConfirmationAge_ = now() - *SentAt;
  Out.AwaitsConfirmation_ = awaitsConfirmation();
  Out.LeaseTimeLeft_ = leaseTimeLeft();
  Out.MaxStartsInFlight_ = Congestion_.maxStartsInFlight();
  Out.StartsInFlight_ = StartsInFlight_;
  Out.Starts_ = Starts_;
  Out.RunsEnded_ = RunsEnded_;
  Out.WithheldPasses_ = WithheldPasses_;
  Out.Polls_ = Polls_;
  Out.AcknowledgingPolls_ = AcknowledgingPolls_;
  Out.OvertakenRequests_ = OvertakenRequests_;
  Out.Commits_ = Commits_;
  Out.CommitTime_ = CommitTime_;
  Out.UncommittedJobs_ = DirtyJobs_.size();
  Out.StartReplies_ = StartReplies_;
  Out.StartQueueing_ = StartQueueing_;
  Out.LossReductions_ = Congestion_.lossReductions();
  Out.QueueingReductions_ = Congestion_.queueingReductions();
  Out.IsolatingWorkers_ = static_cast<std::size_t>(std::count_if(
      WorkerOrder_.begin(), WorkerOrder_.end(),
      [](const WorkerEntry *Worker) { return Worker->IsolatedRuns_ > 0; }));
  Out.PlacementTime_ = PlacementTime_;
  Out.ReportTime_ = ReportTime_;
  Out.CheckTime_ = CheckTime_;
  if (Recovering_)
    Out.RecoveryWaitsFor_ = static_cast<std::size_t>(std::count_if(
        WorkerOrder_.begin(), WorkerOrder_.end(),
        [this](const WorkerEntry *Worker) { return mayRunUnseen(*Worker); }));
  Out.HeldBackWorkers_ = static_cast<std::size_t>(std::count_if(
      WorkerOrder_.begin(), WorkerOrder_.end(), [](const WorkerEntry *Worker) {
        return Worker->HeldBackSequence_ != 0;
      }));
  Out.LateStartWorkers_ = LateStarts_.size();
  Out.LateAcknowledgementWorkers_ = static_cast<std::size_t>(
      std::count_if(WorkerOrder_.begin(), WorkerOrder_.end(),
                    [this](const WorkerEntry *Worker) {
                      return mustAwaitAcknowledgement(*Worker);
                    }));
  countWaitingTasks(Out.Waiting_);
  return Out;
}

Coordinator::Coordinator(const CoordinatorSettings &Settings, WorkerPort &Port,
                         const base::Clock &Clock,
                         base::MetricsRegistry &Metrics,
                         CommitFunction OnCommit)
    : Impl_(std::make_shared<Impl>(Settings, Port, Clock, Metrics,
                                   std::move(OnCommit))) {}

Coordinator::~Coordinator() = default;

void Coordinator::setConfig(const FleetConfig &Config) {
  Impl_->Config_ = Config;
  Impl_->rebuildReadyQueue();
}

void Coordinator::setWorkers(const std::map<std::string, WorkerInfo> &Workers) {
  Impl_->setWorkers(Workers);
}

void Coordinator::setUnavailableDomains(const std::set<std::string> &Domains) {
  Impl_->DomainsOut_ = Domains;
  Impl_->PlacementRequested_ = true;
}

void Coordinator::restoreJob(const std::string &Id, JobRecord Record,
                             int64_t Revision,
                             const std::optional<JobProgress> &Progress) {
  Impl_->addJob(Id, std::move(Record), Revision, Progress, true);
}

void Coordinator::restoreLastCommit(
    const std::string &Record, std::pair<uint64_t, uint64_t> TermAndNumber) {
  Impl_->restoreLastCommit(Record, TermAndNumber);
}

void Coordinator::restoreUsedWorkers(const std::string &Record) {
  Impl_->restoreUsedWorkers(Record);
}

void Coordinator::restoreHandover(const std::string &Record) {
  Impl_->restoreHandover(Record);
}

void Coordinator::recover() { Impl_->recover(); }

void Coordinator::addJob(const std::string &Id, JobRecord Record,
                         int64_t Revision) {
  Impl_->addJob(Id, std::move(Record), Revision, std::nullopt, false);
}

void Coordinator::cancelJob(const std::string &Id) { Impl_->cancelJob(Id); }

void Coordinator::commitDone(uint64_t Number, CommitResult Result) {
  Impl_->commitDone(Number, Result);
}

void Coordinator::confirmTerm(base::TimePoint SentAt, int64_t Revision) {
  Impl_->confirmTerm(SentAt, Revision);
}

bool Coordinator::awaitsConfirmation() const {
  return Impl_->awaitsConfirmation();
}

void Coordinator::requestCommit() { Impl_->markUsedWorkersDirty(); }

void Coordinator::endTerm() { Impl_->endTerm("store"); }

void Coordinator::tick() { Impl_->tick(); }

std::string Coordinator::prepareHandover() { return Impl_->prepareHandover(); }

std::optional<JobState> Coordinator::state(const std::string &Id) const {
  return Impl_->state(Id);
}

std::size_t Coordinator::waitingJobs(const std::string &Queue) const {
  return Impl_->waitingJobs(Queue);
}

bool Coordinator::superseded() const { return Impl_->Superseded_; }

bool Coordinator::allChangesDurable() const {
  return Impl_->allChangesDurable();
}

CoordinatorStats Coordinator::stats() const { return Impl_->stats(); }

std::vector<std::string> Coordinator::takeExpiredJobs() {
  return Impl_->takeExpiredJobs();
}

} // namespace crocuslead::jobs
