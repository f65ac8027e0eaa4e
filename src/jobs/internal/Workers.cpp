#include "jobs/internal/Impl.h"

#include "base/Log.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace crocuslead::jobs {

namespace {

// A worker's clock may run up to 2% slow, so a lease on it may last that much
// longer by the coordinator's clock.
constexpr double MinWorkerClockRate = 0.98;
// A predecessor may go on granting leases for this long until it learns that it
// was superseded.
constexpr auto PredecessorLeaseGrace = std::chrono::milliseconds(1500);

int64_t millis(base::Duration D) { return base::toMillis(D); }

} // namespace

bool Coordinator::Impl::isReachable(const WorkerEntry &Worker) const {
  return Worker.Polled_ &&
         Worker.PollFailures_ < WorkerEntry::UnreachablePollFailures;
}

Coordinator::Impl::WorkerEntry &
Coordinator::Impl::addWorker(const WorkerInfo &Info) {
  auto &Worker = Workers_[Info.Id_];
  Worker = std::make_unique<WorkerEntry>();
  Worker->Info_ = Info;
  Worker->Sequence_ = NextSequence_++;
  Worker->NextPollAt_ = now();
  WorkerOrder_.push_back(Worker.get());
  startProbation(*Worker, "worker-found");
  UsedWorkersDirty_ = true;
  return *Worker;
}

void Coordinator::Impl::setWorkers(
    const std::map<std::string, WorkerInfo> &Workers) {
  for (const auto &[Id, Info] : Workers) {
    auto It = Workers_.find(Id);
    // The registry lags behind: a poll may already have found a later
    // incarnation.
    if (It != Workers_.end() &&
        Info.StartTimeMs_ < It->second->Info_.StartTimeMs_)
      continue;
    if (It != Workers_.end() &&
        It->second->Info_.StartTimeMs_ != Info.StartTimeMs_ &&
        It->second->Info_.StartTimeMs_ != 0) {
      replaceIncarnation(*It->second, Info);
      It = Workers_.find(Id);
    }
    if (It == Workers_.end()) {
      addWorker(Info).InfoConfirmed_ = true;
      continue;
    }
    WorkerEntry &Worker = *It->second;
    Worker.InfoConfirmed_ = true;
    bool StartsDraining = Info.Draining_ && !Worker.Info_.Draining_;
    if (Info.Address_ != Worker.Info_.Address_)
      UsedWorkersDirty_ = true;
    Worker.Info_ = Info;
    if (!Worker.Registered_) {
      Worker.Registered_ = true;
      Worker.NextPollAt_ = std::min(Worker.NextPollAt_, now());
    }
    if (StartsDraining) {
      Worker.DrainingSince_ = now();
      drainWorker(Worker);
    }
  }
  for (auto &[Id, Worker] : Workers_) {
    if (Worker->Registered_ && Workers.count(Id) == 0) {
      Worker->Registered_ = false;
      base::logEvent(
          base::LogLevel::Warn, "worker-unlisted",
          {{"worker", Id},
           {"runs", static_cast<int64_t>(Worker->Runs_.size())},
           {"lease_left_ms", millis(Worker->LatestLeaseEnd_ - now())}});
    }
  }
  PlacementRequested_ = true;
}

void Coordinator::Impl::startProbation(WorkerEntry &Worker, const char *Event) {
  base::Duration Time = Stability_.probation(Worker.Info_.Id_, now());
  Worker.ProbationUntil_ = now() + Time;
  base::logEvent(base::LogLevel::Info, Event,
                 {{"worker", Worker.Info_.Id_},
                  {"domain", Worker.Info_.Domain_},
                  {"service", Worker.Info_.Service_},
                  {"born_ms", Worker.Info_.StartTimeMs_},
                  {"draining", Worker.Info_.Draining_},
                  {"probation_ms", millis(Time)}});
}

void Coordinator::Impl::drainWorker(WorkerEntry &Worker) {
  base::Duration TimeLeft =
      Worker.Info_.DrainTimeLeft_.value_or(Settings_.Times_.StopTimeout_);
  base::logEvent(base::LogLevel::Info, "worker-draining",
                 {{"worker", Worker.Info_.Id_},
                  {"runs", static_cast<int64_t>(Worker.Runs_.size())},
                  {"remaining_ms", millis(TimeLeft)}});
  for (RunEntry *Run : std::vector<RunEntry *>(Worker.Runs_)) {
    const StepSpec &Spec = *Run->Step_->Spec_;
    base::Duration Expected = Spec.EstimatedDuration_;
    if (Run->Step_->RunSamples_ > 0)
      Expected = std::chrono::duration_cast<base::Duration>(
          std::chrono::duration<double>(Run->Step_->MeanRunSeconds_));
    base::Duration RemainingRunTime =
        Expected * (100 - Run->ProgressPercent_) / 100;
    if (Spec.LongRunning_ ||
        (Spec.Checkpoints_ &&
         RemainingRunTime + Settings_.Times_.StopTimeout_ > TimeLeft))
      requestStop(*Run, "worker-draining");
  }
}

void Coordinator::Impl::recover() {
  Recovering_ = true;
  base::Duration MaxLeaseTime = std::chrono::duration_cast<base::Duration>(
      Settings_.Times_.LeaseDuration_ / MinWorkerClockRate);
  RecoveryDeadline_ = now() + MaxLeaseTime + PredecessorLeaseGrace;
  for (auto &[Id, Worker] : Workers_)
    Worker->LatestLeaseEnd_ =
        std::max(Worker->LatestLeaseEnd_, RecoveryDeadline_);
  base::logEvent(base::LogLevel::Info, "recovery-started",
                 {{"term", Settings_.Term_},
                  {"jobs", static_cast<int64_t>(Jobs_.size())},
                  {"workers", static_cast<int64_t>(Workers_.size())}});
  pollDueWorkers();
}

void Coordinator::Impl::restoreUsedWorkers(const std::string &Record) {
  auto Rows = nlohmann::json::parse(Record, nullptr, false);
  if (!Rows.is_array()) {
    base::logEvent(base::LogLevel::Error, "used-workers-unreadable",
                   {{"bytes", static_cast<int64_t>(Record.size())}});
    return;
  }
  for (const auto &Row : Rows) {
    if (!Row.is_array() || Row.size() != 3)
      continue;
    WorkerInfo Info;
    Info.Id_ = Row[0].get<std::string>();
    Info.Address_ = Row[1].get<std::string>();
    Info.StartTimeMs_ = Row[2].get<int64_t>();
    auto It = Workers_.find(Info.Id_);
    // A worker that is known under this id is skipped: if it is another
    // incarnation, it cannot run what the recorded one ran.
    if (It == Workers_.end())
      addWorker(Info).Registered_ = false;
  }
}

void Coordinator::Impl::updateRecovery() {
  if (!Recovering_)
    return;
  bool AllAnswered =
      std::all_of(Workers_.begin(), Workers_.end(), [this](const auto &Entry) {
        return Entry.second->Polled_ ||
               Entry.second->LatestLeaseEnd_ < RecoveryDeadline_;
      });
  if (AllAnswered)
    endRecovery("all-workers-answered");
  else if (now() >= RecoveryDeadline_)
    endRecovery("earlier-leases-expired");
}

void Coordinator::Impl::endRecovery(const char *Reason) {
  Recovering_ = false;
  RecoveryEndedAt_ = now();
  PlacementRequested_ = true;
  base::logEvent(base::LogLevel::Info, "recovery-finished",
                 {{"reason", Reason},
                  {"runs", static_cast<int64_t>(Runs_.size())},
                  {"jobs", static_cast<int64_t>(Jobs_.size())}});
}

void Coordinator::Impl::recordClock(WorkerEntry &Worker, int64_t WorkerMs) {
  Worker.Clock_ = internal::ClockSample{WorkerMs, now()};
}

int64_t Coordinator::Impl::grantLease(WorkerEntry &Worker) {
  base::Duration SampleAge = now() - Worker.Clock_->TakenAt_;
  int64_t LeaseEndMs = Worker.Clock_->WorkerMs_ +
                       millis(SampleAge + Settings_.Times_.LeaseDuration_);
  auto LeaseTimeBound = std::chrono::duration_cast<base::Duration>(
      (SampleAge + Settings_.Times_.LeaseDuration_) / MinWorkerClockRate);
  Worker.LatestLeaseEnd_ = std::max(Worker.LatestLeaseEnd_,
                                    Worker.Clock_->TakenAt_ + LeaseTimeBound);
  return LeaseEndMs;
}

void Coordinator::Impl::pollDueWorkers() {
  base::TimePoint Now = now();
  for (WorkerEntry *Worker : WorkerOrder_)
    if (!Worker->PollInFlight_ && Now >= Worker->NextPollAt_ &&
        needsPoll(*Worker))
      poll(*Worker);
}

void Coordinator::Impl::expireUnreachableWorkers() {
  std::vector<std::string> Ids;
  for (const WorkerEntry *Worker : WorkerOrder_)
    if (Worker->PollFailures_ > 0 || !Worker->Polled_)
      Ids.push_back(Worker->Info_.Id_);
  for (const std::string &Id : Ids)
    expireIfUnreachable(Id);
}

void Coordinator::Impl::expireIfUnreachable(const std::string &Id) {
  WorkerEntry &Worker = *Workers_.at(Id);
  bool Unreachable =
      Worker.PollFailures_ >= WorkerEntry::UnreachablePollFailures ||
      !Worker.Polled_;
  if (!Unreachable || now() <= Worker.LatestLeaseEnd_)
    return;
  if (!Worker.Runs_.empty())
    for (RunEntry *Run : std::vector<RunEntry *>(Worker.Runs_))
      concludeUnreportedRun(*Run, "lease-expired-at-unreachable-worker");
  if (!Worker.Registered_)
    endIncarnation(Worker, "unlisted-and-lease-expired");
}

void Coordinator::Impl::endIncarnation(WorkerEntry &Worker,
                                       const char *Reason) {
  std::string Id = Worker.Info_.Id_;
  if (isReachable(Worker))
    Stability_.recordLoss(Id, now());
  base::logEvent(base::LogLevel::Info, "worker-gone",
                 {{"worker", Id},
                  {"reason", Reason},
                  {"runs", static_cast<int64_t>(Worker.Runs_.size())}});
  for (RunEntry *Run : std::vector<RunEntry *>(Worker.Runs_))
    concludeUnreportedRun(*Run, Reason);
  WorkerOrder_.erase(
      std::remove(WorkerOrder_.begin(), WorkerOrder_.end(), &Worker),
      WorkerOrder_.end());
  WorkerInfo Info = Worker.Info_;
  bool Registered = Worker.Registered_;
  Workers_.erase(Id);
  UsedWorkersDirty_ = true;
  PlacementRequested_ = true;
  // The registry has an entry for the next incarnation under this id, or soon
  // will; its start time is not known yet.
  if (Registered) {
    Info.StartTimeMs_ = 0;
    addWorker(Info);
  }
}

// Runs that the earlier incarnation reported as running are over. A start that
// it never reported may have reached the new incarnation, which has the same
// id: it stays unconfirmed until the new incarnation is polled.
void Coordinator::Impl::replaceIncarnation(WorkerEntry &Worker,
                                           const WorkerInfo &NewInfo) {
  struct UnconfirmedStart {
    StepEntry *Step_;
    TaskEntry *Task_;
    uint64_t Number_;
  };
  std::vector<UnconfirmedStart> Unconfirmed;
  for (RunEntry *Run : std::vector<RunEntry *>(Worker.Runs_)) {
    if (Run->SeenRunning_)
      continue;
    Unconfirmed.push_back(
        {Run->Step_, &Run->Step_->Tasks_[Run->Position_.Index_], Run->Number_});
    removeRun(*Run, internal::TimeUse::LostWorker);
  }
  bool Registered = Worker.Registered_;
  Worker.Registered_ = false;
  endIncarnation(Worker, "reborn");
  WorkerEntry &NewWorker = addWorker(NewInfo);
  NewWorker.Registered_ = Registered;
  NewWorker.LatestLeaseEnd_ =
      now() + std::chrono::duration_cast<base::Duration>(
                  Settings_.Times_.MaxLeaseDuration_ / MinWorkerClockRate);
  for (const UnconfirmedStart &Start : Unconfirmed) {
    RunEntry &Run =
        addRun(*Start.Step_, *Start.Task_, NewWorker, Start.Number_);
    Run.Phase_ = RunPhase::StartUnconfirmed;
  }
}

void Coordinator::Impl::prepareHandover() {
  for (auto &[Id, Worker] : Workers_) {
    if (Worker->Runs_.empty() || !Worker->Clock_ || !isReachable(*Worker))
      continue;
    PollRequest Request;
    Request.FencingToken_ = Settings_.Term_;
    Request.AcknowledgedSequence_ = Worker->AcknowledgedSequence_;
    Request.LeaseUntilMs_ = grantLease(*Worker);
    Port_.poll(addressOf(*Worker), Request, [](const PollReply &) {
      // Only the lease renewal matters; the successor polls by itself.
    });
  }
  Superseded_ = true;
}

} // namespace crocuslead::jobs
