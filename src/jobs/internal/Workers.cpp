#include "jobs/internal/Impl.h"

#include "base/Log.h"

#include <algorithm>
#include <utility>

namespace crocuslead::jobs {

namespace {

// A worker's clock may run up to 2% slow, so a lease on it may last that much
// longer by the coordinator's clock.
constexpr double MinWorkerClockRate = 0.98;
// Pause before an id is polled again whose worker is gone; a new entry in the
// registry ends it.
constexpr auto NextIncarnationPollDelay = std::chrono::milliseconds(1000);

int64_t millis(base::Duration D) { return base::toMillis(D); }

} // namespace

base::Duration Coordinator::Impl::boundOnWorkerClock(base::Duration Time) {
  return std::chrono::duration_cast<base::Duration>(Time / MinWorkerClockRate);
}

base::Duration Coordinator::Impl::leastOnWorkerClock(base::Duration Time) {
  return std::chrono::duration_cast<base::Duration>(Time * MinWorkerClockRate);
}

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
  ++FleetVersion_;
  expectEarlierLease(*Worker);
  Worker->FencingToken_ = firstToken();
  if (auto It = LateAcknowledgements_.find(Info.Id_);
      It != LateAcknowledgements_.end()) {
    Worker->FencingToken_ = It->second.FencingToken_;
    Worker->LateAcknowledgement_ = It->second.Late_;
  }
  Worker->DrainTimeReadAt_ = now();
  restoreAbandonment(*Worker);
  startProbation(*Worker, "worker-found");
  markUsedWorkersDirty();
  return *Worker;
}

base::Duration Coordinator::Impl::longestLeaseTime(base::Duration Delay) const {
  return Delay + boundOnWorkerClock(Settings_.Times_.MaxLeaseDuration_);
}

// A request that was sent to an earlier incarnation may reach this one. The end
// of the lease that it grants is given on the earlier clock, which was ahead,
// so this incarnation may take it for its longest lease.
void Coordinator::Impl::expectLongestLease(WorkerEntry &Worker,
                                           base::TimePoint LastRequestAt,
                                           base::Duration Delay) {
  Worker.LongestLeaseUntil_ = LastRequestAt + longestLeaseTime(Delay);
  Worker.LatestLeaseEnd_ =
      std::max(Worker.LatestLeaseEnd_, Worker.LongestLeaseUntil_);
}

// The entry of an incarnation that is known to be gone shows no later one, and
// a late request would give the end of its lease on its own clock.
void Coordinator::Impl::expectEarlierLease(WorkerEntry &Worker) {
  auto It = EarlierLeases_.find(Worker.Info_.Id_);
  if (It == EarlierLeases_.end())
    return;
  const auto &[LastRequestAt, GoneStartTimeMs] = It->second;
  bool ShowsLaterOne = GoneStartTimeMs == 0 || Worker.Polled_ ||
                       (Worker.Info_.StartTimeMs_ != 0 &&
                        Worker.Info_.StartTimeMs_ != GoneStartTimeMs);
  if (ShowsLaterOne)
    expectLongestLease(Worker, LastRequestAt,
                       Settings_.Times_.SilentRequestDelay_);
}

bool Coordinator::Impl::isEarlierEntry(const WorkerEntry &Worker,
                                       const WorkerInfo &Entry) {
  const std::vector<int64_t> &Gone = Worker.GoneStartTimesMs_;
  return Entry.StartTimeMs_ < Worker.Info_.StartTimeMs_ ||
         std::find(Gone.begin(), Gone.end(), Entry.StartTimeMs_) != Gone.end();
}

void Coordinator::Impl::setWorkers(
    const std::map<std::string, WorkerInfo> &Workers) {
  for (const auto &[Id, Info] : Workers) {
    auto It = Workers_.find(Id);
    // The registry lags behind: a poll may already have found a later
    // incarnation.
    if (It != Workers_.end() && isEarlierEntry(*It->second, Info)) {
      It->second->EarlierEntry_ = Info;
      continue;
    }
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
    Worker.EarlierEntry_.reset();
    bool StartsDraining = Info.Draining_ && !Worker.Info_.Draining_;
    if (Info.Draining_ != Worker.Info_.Draining_)
      markUsedWorkersDirty();
    if (Info.StartTimeMs_ != Worker.Info_.StartTimeMs_)
      Worker.NextPollAt_ = std::min(Worker.NextPollAt_, now());
    if (Info.Address_ != Worker.Info_.Address_)
      markUsedWorkersDirty();
    if (!(Info == Worker.Info_))
      ++FleetVersion_;
    if (Info.DrainTimeLeft_ != Worker.Info_.DrainTimeLeft_)
      Worker.DrainTimeReadAt_ = now();
    bool Identified = Worker.Info_.StartTimeMs_ == 0;
    Worker.Info_ = Info;
    if (Identified) {
      expectEarlierLease(Worker);
      markUsedWorkersDirty();
    }
    if (!Worker.Registered_) {
      Worker.Registered_ = true;
      Worker.UnlistedAt_.reset();
      Worker.NextPollAt_ = std::min(Worker.NextPollAt_, now());
    }
    if (StartsDraining) {
      Worker.DrainTimeReadAt_ = now();
      Worker.DrainLogged_ = false;
      if (Worker.Polled_)
        drainWorker(Worker);
    }
  }
  for (auto &[Id, Worker] : Workers_) {
    if (Worker->Registered_ && Workers.count(Id) == 0) {
      Worker->Registered_ = false;
      Worker->NextPollAt_ = now();
      if (!mayEntriesHaveLapsed())
        Worker->UnlistedAt_ = now();
      base::logEvent(base::LogLevel::Warn, "worker-unlisted",
                     {{"worker", Id},
                      {"draining", Worker->Info_.Draining_},
                      {"left", hasLeft(*Worker)},
                      {"runs", static_cast<int64_t>(Worker->Runs_.size())},
                      {"lease_left_ms", millis(leaseEnd(*Worker) - now())}});
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
      Worker.Info_.DrainTimeLeft_.value_or(Settings_.Times_.StopTimeout_) -
      (now() - Worker.DrainTimeReadAt_);
  if (!std::exchange(Worker.DrainLogged_, true))
    base::logEvent(base::LogLevel::Info, "worker-draining",
                   {{"worker", Worker.Info_.Id_},
                    {"runs", static_cast<int64_t>(Worker.Runs_.size())},
                    {"remaining_ms", millis(TimeLeft)}});
  for (RunEntry *Run : std::vector<RunEntry *>(Worker.Runs_)) {
    // Until its job has recovered, its task can't start elsewhere.
    if (Run->Phase_ != RunPhase::Announced &&
        !hasRecovered(*Run->Step_, Run->Step_->Tasks_[Run->Position_.Index_]))
      continue;
    const StepSpec &Spec = *Run->Step_->Spec_;
    // Its task can't start elsewhere before the worker has left, and a run that
    // ends with the worker leaves a lease that takeovers wait for.
    if (Spec.LongRunning_ && Run->Phase_ == RunPhase::Running &&
        Run->Located_ && lateStartOf(*Run) != nullptr &&
        TimeLeft > Settings_.Times_.StopTimeout_)
      continue;
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

void Coordinator::Impl::drainWorkers() {
  for (WorkerEntry *Worker : WorkerOrder_)
    if (Worker->Info_.Draining_ && !Worker->Runs_.empty())
      drainWorker(*Worker);
}

void Coordinator::Impl::recordClock(WorkerEntry &Worker, int64_t WorkerMs,
                                    base::TimePoint SentAt) {
  Worker.Clock_ = internal::ClockSample{WorkerMs, SentAt, now()};
}

int64_t Coordinator::Impl::grantLease(WorkerEntry &Worker) {
  Worker.LastLeaseGrantAt_ = now();
  base::Duration Time =
      std::min(Settings_.Times_.LeaseDuration_, leaseTimeLeft());
  Worker.LatestLeaseEnd_ =
      std::max(Worker.LatestLeaseEnd_, now() + boundOnWorkerClock(Time));
  // The least that the worker's clock has advanced since it was read.
  base::Duration SinceReading =
      leastOnWorkerClock(now() - Worker.Clock_->TakenAt_);
  return Worker.Clock_->WorkerMs_ + millis(SinceReading + Time);
}

base::TimePoint Coordinator::Impl::leaseEnd(const WorkerEntry &Worker) const {
  if (!Worker.MayObeyPredecessor_)
    return Worker.LatestLeaseEnd_;
  base::TimePoint End =
      RecoveryStartedAt_ +
      boundOnWorkerClock(PredecessorLeases_.end() - RecoveryStartedAt_);
  return std::max(Worker.LatestLeaseEnd_,
                  std::min(End, Worker.RecordedLeaseEnd_.value_or(End)));
}

// The end of a lease is given on the clock of the incarnation that a request is
// meant for, so a later one that takes it may hold its longest lease.
base::TimePoint
Coordinator::Impl::unlocatedRunEnd(const WorkerEntry &Worker) const {
  base::TimePoint End = leaseEnd(Worker);
  if (Worker.LastLeaseGrantAt_ && !hasDeparted(Worker))
    End = std::max(End,
                   *Worker.LastLeaseGrantAt_ +
                       longestLeaseTime(Settings_.Times_.SilentRequestDelay_));
  return End;
}

base::TimePoint Coordinator::Impl::runEnd(const RunEntry &Run) const {
  if (const internal::LateStartEntry *Late = lateStartOf(Run))
    return Late->Until_ + longestLeaseTime({});
  return isUnlocated(Run) ? unlocatedRunEnd(*Run.Worker_)
                          : leaseEnd(*Run.Worker_);
}

// From now on the worker refuses what a predecessor sends it.
void Coordinator::Impl::fencePredecessors(WorkerEntry &Worker) {
  PredecessorLeases_.fence(Worker.Info_.Id_, now());
  // The longest lease that a request of an earlier term can have granted.
  if (std::exchange(Worker.RestartedBeforeTerm_, false)) {
    base::TimePoint Longest =
        now() + boundOnWorkerClock(Settings_.Times_.MaxLeaseDuration_);
    Worker.LongestLeaseUntil_ = std::min(Worker.LongestLeaseUntil_, Longest);
    Worker.LatestLeaseEnd_ = std::min(Worker.LatestLeaseEnd_, Longest);
  }
  if (std::exchange(Worker.MayObeyPredecessor_, false))
    Worker.LatestLeaseEnd_ =
        std::max(Worker.LatestLeaseEnd_,
                 now() + boundOnWorkerClock(Settings_.Times_.LeaseDuration_));
}

void Coordinator::Impl::pollDueWorkers() {
  base::TimePoint Now = now();
  for (WorkerEntry *Worker : WorkerOrder_)
    if (!Worker->PollInFlight_ && Now >= Worker->NextPollAt_ &&
        needsPoll(*Worker))
      poll(*Worker);
}

void Coordinator::Impl::endIncarnation(WorkerEntry &Worker, WorkerLoss Loss,
                                       const char *Reason) {
  cancelStarts(Worker);
  recordWorkerLoss(Worker, Loss);
  removeIncarnation(Worker, Loss, Reason);
}

void Coordinator::Impl::removeIncarnation(WorkerEntry &Worker, WorkerLoss Loss,
                                          const char *Reason) {
  std::string Id = Worker.Info_.Id_;
  auto Recorded = RecordedIncarnations_.find(Id);
  if (Worker.Info_.StartTimeMs_ != 0 &&
      (Recorded == RecordedIncarnations_.end() || Worker.Polled_ ||
       Recorded->second == Worker.Info_.StartTimeMs_))
    SeenWorkers_.insert(Id);
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
  ++FleetVersion_;
  WorkerInfo Info = Worker.Info_;
  bool Registered = Worker.Registered_;
  // A request of an earlier term may still be on its way to this worker's next
  // incarnation, also if the record says that this one holds no lease.
  bool Unseen = !Worker.Polled_ && Info.StartTimeMs_ != 0;
  if (Worker.MayObeyPredecessor_ || Unseen)
    EarlierLeases_[Id] = {now(), Info.StartTimeMs_};
  else if (Worker.LastLeaseGrantAt_)
    EarlierLeases_[Id] = {*Worker.LastLeaseGrantAt_, Info.StartTimeMs_};
  // One of an earlier term, which this incarnation would have refused.
  else if (now() < RecoveryStartedAt_ + Settings_.Times_.SilentRequestDelay_)
    EarlierLeases_[Id] = {RecoveryStartedAt_, Info.StartTimeMs_};
  if (Loss == WorkerLoss::IncarnationEnded)
    PredecessorLeases_.fence(Id, now());
  if (internal::LateAcknowledgement Late = lateAcknowledgement(Worker);
      now() < Late.Until_)
    LateAcknowledgements_[Id] = {Worker.FencingToken_, Late};
  rememberAbandonment(Worker);
  Workers_.erase(Id);
  markUsedWorkersDirty();
  PlacementRequested_ = true;
  // The registry has an entry for the next incarnation under this id, or soon
  // will; its start time is not known yet. The address may also have gone to a
  // worker with another id, which answers each poll by a refusal.
  if (Registered) {
    Info.StartTimeMs_ = 0;
    addWorker(Info).NextPollAt_ = now() + NextIncarnationPollDelay;
  }
}

// Runs that were located on the earlier incarnation are over. Other starts may
// have reached the new incarnation, which has the same id, or may still do so:
// they stay unconfirmed until it is polled.
void Coordinator::Impl::replaceIncarnation(WorkerEntry &Worker,
                                           const WorkerInfo &NewInfo) {
  struct UnconfirmedStart {
    StepEntry *Step_;
    TaskEntry *Task_;
    uint64_t Number_;
    bool Accepted_;
    int StartsSent_;
    int StartsRefused_;
    base::TimePoint StartedAt_;
    std::optional<TaskLocation> Location_;
  };
  std::vector<UnconfirmedStart> Unconfirmed;
  cancelStarts(Worker);
  recordWorkerLoss(Worker, WorkerLoss::IncarnationEnded);
  for (RunEntry *Run : std::vector<RunEntry *>(Worker.Runs_)) {
    bool MayStartLate = lateStartOf(*Run) != nullptr;
    if (Run->Located_ && !MayStartLate)
      continue;
    TaskEntry &Task = Run->Step_->Tasks_[Run->Position_.Index_];
    if (!Run->Checkpoint_.empty())
      Task.Checkpoint_ = Run->Checkpoint_;
    if (Run->Located_ && Task.Location_) {
      Task.Location_->Located_ = false;
      markDirty(*Run->Job_);
    }
    Unconfirmed.push_back({Run->Step_, &Task, Run->Number_,
                           Run->Accepted_ && !MayStartLate, Run->StartsSent_,
                           Run->StartsRefused_, Run->StartedAt_,
                           Task.Location_});
    removeRun(*Run, internal::TimeUse::LostWorker);
  }
  bool Registered = Worker.Registered_;
  Worker.Registered_ = false;
  std::vector<int64_t> Gone = std::move(Worker.GoneStartTimesMs_);
  if (Worker.Info_.StartTimeMs_ != NewInfo.StartTimeMs_)
    Gone.push_back(Worker.Info_.StartTimeMs_);
  if (Gone.size() > WorkerEntry::MaxGoneStartTimes)
    Gone.erase(Gone.begin());
  removeIncarnation(Worker, WorkerLoss::IncarnationEnded, "reborn");
  WorkerEntry &NewWorker = addWorker(NewInfo);
  NewWorker.Registered_ = Registered;
  NewWorker.GoneStartTimesMs_ = std::move(Gone);
  for (const UnconfirmedStart &Start : Unconfirmed) {
    RunEntry &Run =
        addRun(*Start.Step_, *Start.Task_, NewWorker, Start.Number_);
    Run.Phase_ = RunPhase::StartUnconfirmed;
    Run.Accepted_ = Start.Accepted_;
    Run.StartsSent_ = Start.StartsSent_;
    Run.StartsRefused_ = Start.StartsRefused_;
    Run.StartedAt_ = Start.StartedAt_;
    Start.Task_->Location_ = Start.Location_;
    if (Start.Step_->Spec_->BestEffort_)
      Run.SpeedPercent_ = internal::UnknownSpeed;
  }
}

} // namespace crocuslead::jobs
