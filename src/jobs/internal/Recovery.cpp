#include "jobs/internal/Impl.h"

#include "base/Log.h"

#include <algorithm>
#include <utility>

// Which tasks a new term holds back, as an earlier one may have left a run of
// them where it does not see it.

namespace crocuslead::jobs {

namespace {

// A recovery that goes on is logged and recorded at this interval.
constexpr auto RecoveryReportInterval = std::chrono::seconds(1);

} // namespace

void Coordinator::Impl::recover() {
  Recovering_ = true;
  RecoveryStartedAt_ = LastCommitSentAt_ = now();
  NextRecoveryReportAt_ = now() + RecoveryReportInterval;
  for (auto &[Id, Worker] : Workers_) {
    Worker->MayObeyPredecessor_ =
        Worker->MayHoldLease_ || !UsedWorkersComplete_;
    if (Worker->MayObeyPredecessor_)
      UnlocatedRuns_.emplace(
          Id, UnlocatedRuns{now() + longestLeaseTime(
                                        Settings_.Times_.SilentRequestDelay_),
                            {},
                            {}});
    if (!UsedWorkersComplete_)
      RecordedHolders_.insert(Id);
  }
  MaxRecordedHolders_ = RecordedHolders_.size();
  PredecessorLeases_.begin(now(), std::exchange(RecordedHolders_, {}));
  if (PredecessorResigned_)
    PredecessorLeases_.noteResignation(now());
  auto CountWorkers = [this](auto Condition) {
    return static_cast<int64_t>(
        std::count_if(WorkerOrder_.begin(), WorkerOrder_.end(), Condition));
  };
  base::logEvent(
      base::LogLevel::Info, "recovery-started",
      {{"term", Settings_.Term_},
       {"jobs", static_cast<int64_t>(Jobs_.size())},
       {"workers", static_cast<int64_t>(Workers_.size())},
       {"predecessor_resigned", PredecessorResigned_},
       {"lease_holders", static_cast<int64_t>(MaxRecordedHolders_)},
       {"unlisted_workers", CountWorkers([](const WorkerEntry *Worker) {
          return !Worker->Registered_;
        })},
       {"draining_workers", CountWorkers([](const WorkerEntry *Worker) {
          return Worker->Info_.Draining_;
        })}});
  expectRestoredLateStarts();
  updateUnseenRuns();
  pollDueWorkers();
}

bool Coordinator::Impl::mayRunUnseen(const WorkerEntry &Worker) const {
  if (Worker.Polled_ || (Worker.PossibleJobs_ && Worker.PossibleJobs_->empty()))
    return false;
  return now() < leaseEnd(Worker) ||
         (Worker.MayHoldLease_ && !Worker.AbandonmentDurable_);
}

// An end of a long-running task is no result, so it need not be recorded that
// it does not count.
bool Coordinator::Impl::mayRunAt(const WorkerEntry &Worker, const JobEntry &Job,
                                 bool Finite) const {
  const auto &Jobs = Worker.PossibleJobs_;
  if (Worker.RecordedIncarnationGone_ ||
      (Jobs && std::find(Jobs->begin(), Jobs->end(), Job.Id_) == Jobs->end()))
    return false;
  return now() < leaseEnd(Worker) ||
         (Finite && Worker.MayHoldLease_ && !Worker.AbandonmentDurable_);
}

bool Coordinator::Impl::mayRunAt(const TaskLocation &Location,
                                 const JobEntry &Job, bool Finite) const {
  if (SeenWorkers_.count(Location.Worker_) == 0) {
    auto Worker = Workers_.find(Location.Worker_);
    if (Worker != Workers_.end() && mayRunAt(*Worker->second, Job, Finite))
      return true;
  }
  auto Unlocated = UnlocatedRuns_.find(Location.Worker_);
  return !Location.Located_ && Unlocated != UnlocatedRuns_.end() &&
         Unlocated->second.mayBeOf(Job.Id_) &&
         (now() < Unlocated->second.End_ ||
          (Finite && mustRecordUnlocated(Location.Worker_)));
}

bool Coordinator::Impl::hasRecovered(const StepEntry &Step,
                                     const TaskEntry &Task) const {
  const JobEntry &Job = *Step.Job_;
  if (hasRecovered(Job) || Task.Recovered_)
    return true;
  bool IsRecorded = Task.Location_ ? !Task.Location_->Worker_.empty()
                                   : isStartRecorded(*Step.Spec_);
  bool MayBeUnrecorded = Task.EarlierRunEnded_ && !isStartRecorded(*Step.Spec_);
  if (IsRecorded && !MayBeUnrecorded &&
      areEarlierStartsRecorded(Step.Spec_->LongRunning_))
    return !Task.Location_ ||
           !mayRunAt(*Task.Location_, Job, !Step.Spec_->LongRunning_);
  return Job.LocatedRecovered_ && Task.Location_ && Task.Location_->Located_ &&
         !Task.EarlierRunEnded_;
}

bool Coordinator::Impl::isFirstRelease(
    const OccurrenceEntry &Occurrence,
    const std::vector<uint32_t> &Dependencies) {
  return std::any_of(Dependencies.begin(), Dependencies.end(),
                     [&](uint32_t Dependency) {
                       const std::vector<TaskEntry> &Tasks =
                           Occurrence.Steps_[Dependency].Tasks_;
                       return std::any_of(Tasks.begin(), Tasks.end(),
                                          [](const TaskEntry &Task) {
                                            return Task.EndedInTerm_;
                                          });
                     });
}

void Coordinator::Impl::UnseenJobs::add(
    const std::optional<std::vector<std::string>> &Jobs) {
  if (Jobs)
    Ids_.insert(Jobs->begin(), Jobs->end());
  else
    AnyJob_ = true;
}

// Tasks of a restored job start once no worker that has not answered can be
// running one of them.
void Coordinator::Impl::updateUnseenRuns() {
  UnseenWorkerCount_ = 0;
  UnseenJobs Located;
  UnseenJobs Unlocated;
  for (const WorkerEntry *Worker : WorkerOrder_)
    if (Recovering_ && mayRunUnseen(*Worker)) {
      ++UnseenWorkerCount_;
      Located.add(Worker->PossibleJobs_);
    }
  for (auto It = UnlocatedRuns_.begin(); It != UnlocatedRuns_.end();) {
    if (mayRunUnlocated(It->first)) {
      if (now() >= It->second.End_)
        abandonEarlierRuns(*Workers_.at(It->first), true);
      Unlocated.add(It->second.Jobs_);
      ++It;
      continue;
    }
    if (!It->second.Jobs_ || !It->second.Jobs_->empty())
      base::logEvent(base::LogLevel::Info, "unlocated-runs-over",
                     {{"worker", It->first},
                      {"term", Settings_.Term_},
                      {"jobs_known", It->second.Jobs_.has_value()}});
    It = UnlocatedRuns_.erase(It);
  }
  bool Changed = std::exchange(LocatedSize_, Located.size()) != Located.size();
  Changed =
      std::exchange(UnlocatedSize_, Unlocated.size()) != Unlocated.size() ||
      Changed;
  if (Changed)
    noteRecovered(Located, Unlocated);
}

void Coordinator::Impl::noteRecovered(const UnseenJobs &Located,
                                      const UnseenJobs &Unlocated) {
  for (auto &[Id, Job] : Jobs_) {
    if (hasRecovered(*Job) || Located.contains(Id))
      continue;
    Job->LocatedRecovered_ = true;
    if (!Unlocated.contains(Id))
      Job->RecoveredAt_ = now();
  }
  drainWorkers();
  PlacementRequested_ = true;
}

// What it ran is started again, so its results must not count.
void Coordinator::Impl::abandonEarlierRuns(WorkerEntry &Worker, bool Unseen) {
  markAbandoned(Worker, Unseen);
  Worker.AbandonedInEarlierTerm_ = true;
}

void Coordinator::Impl::updateRecovery() {
  if (!Recovering_) {
    bool MayRunUnlocated = UnlocatedSize_ != UnseenJobs().size();
    if (MayRunUnlocated)
      updateUnseenRuns();
    if ((MayRunUnlocated || !LateStarts_.empty()) &&
        now() >= NextRecoveryReportAt_) {
      NextRecoveryReportAt_ = now() + RecoveryReportInterval;
      logHeldTasks();
    }
    return;
  }
  bool AllAnswered = true;
  for (auto &[Id, Worker] : Workers_) {
    bool Unlocated = mayRunUnlocated(Id);
    bool NoJob = Worker->PossibleJobs_ && Worker->PossibleJobs_->empty();
    if (Worker->Polled_ || !Worker->MayHoldLease_ || (NoJob && !Unlocated))
      continue;
    AllAnswered = AllAnswered && NoJob;
    if (now() < leaseEnd(*Worker))
      continue;
    abandonEarlierRuns(*Worker, Unlocated);
  }
  updateUnseenRuns();
  if (UnseenWorkerCount_ == 0) {
    endRecovery(AllAnswered ? "all-workers-answered"
                            : "earlier-leases-expired");
    return;
  }
  if (now() < NextRecoveryReportAt_)
    return;
  NextRecoveryReportAt_ = now() + RecoveryReportInterval;
  logRecoveryWait();
  logHeldTasks();
  // Bounds the wait of the next term, should this one end before.
  markUsedWorkersDirty();
}

int64_t Coordinator::Impl::countHeldBackJobs() const {
  return std::count_if(Jobs_.begin(), Jobs_.end(), [](const auto &Entry) {
    return !hasRecovered(*Entry.second) && !isFinal(Entry.second->State_);
  });
}

void Coordinator::Impl::logRecoveryWait() const {
  int64_t Listed = 0;
  int64_t Unlisted = 0;
  const WorkerEntry *Last = nullptr;
  for (const WorkerEntry *Worker : WorkerOrder_) {
    if (!mayRunUnseen(*Worker))
      continue;
    ++(Worker->Registered_ ? Listed : Unlisted);
    if (Last == nullptr || leaseEnd(*Worker) > leaseEnd(*Last))
      Last = Worker;
  }
  if (Last == nullptr)
    return;
  base::logEvent(
      base::LogLevel::Warn, "recovery-waiting",
      {{"term", Settings_.Term_},
       {"waited_ms", base::toMillis(now() - RecoveryStartedAt_)},
       {"listed_workers", Listed},
       {"unlisted_workers", Unlisted},
       {"predecessors_fenced", PredecessorLeases_.fenced()},
       {"held_back_jobs", countHeldBackJobs()},
       {"worker", Last->Info_.Id_},
       {"draining", Last->Info_.Draining_},
       {"jobs_known", Last->PossibleJobs_.has_value()},
       {"unlocated_workers", static_cast<int64_t>(UnlocatedRuns_.size())},
       {"lease_end_recorded", Last->RecordedLeaseEnd_.has_value()},
       {"lease_left_ms", base::toMillis(leaseEnd(*Last) - now())}});
}

// Tells which task waits for what, also after the recovery itself is over.
void Coordinator::Impl::logHeldTasks() const {
  int64_t Held = 0;
  int64_t Located = 0;
  int64_t LateStarts = 0;
  std::string Example;
  for (const auto &[Key, Step] : ReadySteps_)
    for (const TaskEntry &Task : Step->Tasks_) {
      if (Task.Done_ || !Task.Runs_.empty())
        continue;
      bool MayStartLate = mayStartLate(*Step, Task);
      if (!MayStartLate && hasRecovered(*Step, Task))
        continue;
      ++Held;
      LateStarts += MayStartLate ? 1 : 0;
      Located += Task.Location_ ? 1 : 0;
      if (Example.empty())
        Example = taskName({Step->Job_->Id_, Task.Position_});
    }
  if (Held == 0)
    return;
  std::string Worker;
  base::TimePoint Until;
  for (const auto &[Id, Unlocated] : UnlocatedRuns_)
    if (mayRunUnlocated(Id) && Unlocated.End_ > Until) {
      Worker = Id;
      Until = Unlocated.End_;
    }
  base::logEvent(base::LogLevel::Warn, "tasks-held",
                 {{"term", Settings_.Term_},
                  {"waited_ms", base::toMillis(now() - RecoveryStartedAt_)},
                  {"tasks", Held},
                  {"located_tasks", Located},
                  {"late_starts", LateStarts},
                  {"task", Example},
                  {"recovering", Recovering_},
                  {"starts_recorded", areEarlierStartsRecorded(true)},
                  {"unlocated_worker", Worker},
                  {"unlocated_left_ms",
                   Worker.empty() ? 0 : base::toMillis(Until - now())}});
}

void Coordinator::Impl::endRecovery(const char *Reason) {
  Recovering_ = false;
  base::logEvent(base::LogLevel::Info, "recovery-finished",
                 {{"reason", Reason},
                  {"took_ms", base::toMillis(now() - RecoveryStartedAt_)},
                  {"runs", static_cast<int64_t>(Runs_.size())},
                  {"jobs", static_cast<int64_t>(Jobs_.size())}});
}

} // namespace crocuslead::jobs
