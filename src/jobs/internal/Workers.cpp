#include "jobs/internal/Impl.h"

#include "base/Log.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace crocuslead::jobs {

namespace {

// A worker's clock may be 2% slow, so a lease lasts that much longer here.
constexpr double SlowestWorkerClock = 0.98;
// A predecessor that has not noticed its end may grant leases for this long.
constexpr auto PredecessorSlack = std::chrono::milliseconds(1500);

int64_t millis(base::Duration D) { return base::toMillis(D); }

} // namespace

bool Coordinator::Impl::isReachable(const WorkerEntry &Of) const {
  return Of.Polled_ && Of.PollFailures_ < WorkerEntry::UnreachablePollFailures;
}

Coordinator::Impl::WorkerEntry &
Coordinator::Impl::addWorker(const WorkerInfo &Info) {
  auto &Slot = Workers_[Info.Id_];
  Slot = std::make_unique<WorkerEntry>();
  Slot->Info_ = Info;
  Slot->Sequence_ = NextSequence_++;
  Slot->NextPollAt_ = now();
  WorkerOrder_.push_back(Slot.get());
  base::logEvent(base::LogLevel::Info, "worker-found",
                 {{"worker", Info.Id_},
                  {"domain", Info.Domain_},
                  {"service", Info.Service_},
                  {"born_ms", Info.Born_},
                  {"draining", Info.Draining_}});
  UsedWorkersDirty_ = true;
  return *Slot;
}

void Coordinator::Impl::setWorkers(
    const std::map<std::string, WorkerInfo> &Workers) {
  for (const auto &[Id, Info] : Workers) {
    auto It = Workers_.find(Id);
    // The registry lags: a look may have met a later life already.
    if (It != Workers_.end() && Info.Born_ < It->second->Info_.Born_)
      continue;
    if (It != Workers_.end() && It->second->Info_.Born_ != Info.Born_ &&
        It->second->Info_.Born_ != 0) {
      replaceIncarnation(*It->second, Info);
      It = Workers_.find(Id);
    }
    if (It == Workers_.end()) {
      addWorker(Info).InfoConfirmed_ = true;
      continue;
    }
    WorkerEntry &Known = *It->second;
    Known.InfoConfirmed_ = true;
    bool Drains = Info.Draining_ && !Known.Info_.Draining_;
    if (Info.Address_ != Known.Info_.Address_)
      UsedWorkersDirty_ = true;
    Known.Info_ = Info;
    if (!Known.Registered_) {
      Known.Registered_ = true;
      Known.NextPollAt_ = std::min(Known.NextPollAt_, now());
    }
    if (Drains) {
      Known.DrainingSince_ = now();
      drainWorker(Known);
    }
  }
  for (auto &[Id, Known] : Workers_) {
    if (Known->Registered_ && Workers.count(Id) == 0) {
      Known->Registered_ = false;
      base::logEvent(
          base::LogLevel::Warn, "worker-unlisted",
          {{"worker", Id},
           {"runs", static_cast<int64_t>(Known->Runs_.size())},
           {"lease_left_ms", millis(Known->LatestLeaseEnd_ - now())}});
    }
  }
  PlacementRequested_ = true;
}

void Coordinator::Impl::drainWorker(WorkerEntry &Leaving) {
  base::Duration Left =
      Leaving.Info_.Remaining_.value_or(Settings_.Times_.StopTimeout_);
  base::logEvent(base::LogLevel::Info, "worker-draining",
                 {{"worker", Leaving.Info_.Id_},
                  {"runs", static_cast<int64_t>(Leaving.Runs_.size())},
                  {"remaining_ms", millis(Left)}});
  for (RunEntry *Which : std::vector<RunEntry *>(Leaving.Runs_)) {
    const StepSpec &Spec = *Which->Step_->Spec_;
    base::Duration Expected = Spec.Estimate_;
    if (Which->Step_->RunSamples_ > 0)
      Expected = std::chrono::duration_cast<base::Duration>(
          std::chrono::duration<double>(Which->Step_->MeanRunSeconds_));
    base::Duration Rest = Expected * (100 - Which->Percent_) / 100;
    if (Spec.LongRunning_ ||
        (Spec.Checkpoints_ && Rest + Settings_.Times_.StopTimeout_ > Left))
      requestStop(*Which, "worker-draining");
  }
}

void Coordinator::Impl::recover() {
  Recovering_ = true;
  base::Duration Bound = std::chrono::duration_cast<base::Duration>(
      Settings_.Times_.Lease_ / SlowestWorkerClock);
  RecoveryDeadline_ = now() + Bound + PredecessorSlack;
  for (auto &[Id, Each] : Workers_)
    Each->LatestLeaseEnd_ = std::max(Each->LatestLeaseEnd_, RecoveryDeadline_);
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
    Info.Born_ = Row[2].get<int64_t>();
    auto It = Workers_.find(Info.Id_);
    // Another life under the same id cannot run what the earlier one ran.
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
  PlacementRequested_ = true;
  base::logEvent(base::LogLevel::Info, "recovery-finished",
                 {{"reason", Reason},
                  {"runs", static_cast<int64_t>(Runs_.size())},
                  {"jobs", static_cast<int64_t>(Jobs_.size())}});
}

void Coordinator::Impl::recordClock(WorkerEntry &Of, int64_t WorkerMs) {
  Of.Clock_ = internal::ClockSample{WorkerMs, now()};
}

int64_t Coordinator::Impl::grantLease(WorkerEntry &To) {
  base::Duration Since = now() - To.Clock_->TakenAt_;
  int64_t Until =
      To.Clock_->WorkerMs_ + millis(Since + Settings_.Times_.Lease_);
  auto Bound = std::chrono::duration_cast<base::Duration>(
      (Since + Settings_.Times_.Lease_) / SlowestWorkerClock);
  To.LatestLeaseEnd_ =
      std::max(To.LatestLeaseEnd_, To.Clock_->TakenAt_ + Bound);
  return Until;
}

void Coordinator::Impl::pollDueWorkers() {
  base::TimePoint Now = now();
  for (WorkerEntry *Each : WorkerOrder_)
    if (!Each->PollInFlight_ && Now >= Each->NextPollAt_ && needsPoll(*Each))
      poll(*Each);
}

void Coordinator::Impl::expireUnreachableWorkers() {
  std::vector<std::string> Ids;
  for (const WorkerEntry *Each : WorkerOrder_)
    if (Each->PollFailures_ > 0 || !Each->Polled_)
      Ids.push_back(Each->Info_.Id_);
  for (const std::string &Id : Ids)
    expireIfUnreachable(Id);
}

void Coordinator::Impl::expireIfUnreachable(const std::string &Id) {
  WorkerEntry &Each = *Workers_.at(Id);
  bool Unreachable =
      Each.PollFailures_ >= WorkerEntry::UnreachablePollFailures ||
      !Each.Polled_;
  if (!Unreachable || now() <= Each.LatestLeaseEnd_)
    return;
  if (!Each.Runs_.empty())
    for (RunEntry *Which : std::vector<RunEntry *>(Each.Runs_))
      concludeUnreportedRun(*Which, "lease-expired-at-unreachable-worker");
  if (!Each.Registered_)
    endIncarnation(Each, "unlisted-and-lease-expired");
}

void Coordinator::Impl::endIncarnation(WorkerEntry &Of, const char *Reason) {
  std::string Id = Of.Info_.Id_;
  base::logEvent(base::LogLevel::Info, "worker-gone",
                 {{"worker", Id},
                  {"reason", Reason},
                  {"runs", static_cast<int64_t>(Of.Runs_.size())}});
  for (RunEntry *Which : std::vector<RunEntry *>(Of.Runs_))
    concludeUnreportedRun(*Which, Reason);
  WorkerOrder_.erase(std::remove(WorkerOrder_.begin(), WorkerOrder_.end(), &Of),
                     WorkerOrder_.end());
  WorkerInfo Info = Of.Info_;
  bool Listed = Of.Registered_;
  Workers_.erase(Id);
  UsedWorkersDirty_ = true;
  PlacementRequested_ = true;
  // The registry names the id for its present life already or soon will.
  if (Listed) {
    Info.Born_ = 0;
    addWorker(Info);
  }
}

// What the earlier life was seen to run is over. A start that was not seen
// there may have reached the next life, which bears the same id: it stays in
// doubt until that life's lists tell.
void Coordinator::Impl::replaceIncarnation(WorkerEntry &Of,
                                           const WorkerInfo &Next) {
  struct Unseen {
    StepEntry *Step_;
    TaskEntry *Task_;
    uint64_t Number_;
  };
  std::vector<Unseen> Unconfirmed;
  for (RunEntry *Which : std::vector<RunEntry *>(Of.Runs_)) {
    if (Which->SeenRunning_)
      continue;
    Unconfirmed.push_back({Which->Step_,
                           &Which->Step_->Tasks_[Which->Position_.Index_],
                           Which->Number_});
    removeRun(*Which);
  }
  bool Listed = Of.Registered_;
  Of.Registered_ = false;
  endIncarnation(Of, "reborn");
  WorkerEntry &Born = addWorker(Next);
  Born.Registered_ = Listed;
  Born.LatestLeaseEnd_ =
      now() + std::chrono::duration_cast<base::Duration>(
                  Settings_.Times_.MaxLease_ / SlowestWorkerClock);
  for (const Unseen &Each : Unconfirmed) {
    RunEntry &Made = addRun(*Each.Step_, *Each.Task_, Born, Each.Number_);
    Made.Phase_ = RunPhase::StartUnconfirmed;
  }
}

void Coordinator::Impl::prepareHandover() {
  for (auto &[Id, Each] : Workers_) {
    if (Each->Runs_.empty() || !Each->Clock_ || !isReachable(*Each))
      continue;
    LookOrder Order;
    Order.Token_ = Settings_.Term_;
    Order.AcknowledgedEnd_ = Each->AcknowledgedEndNumber_;
    Order.LeaseUntilMs_ = grantLease(*Each);
    Port_.look(addressOf(*Each), Order, [](const LookReply &) {
      // The successor reads the lists itself.
    });
  }
  Superseded_ = true;
}

} // namespace crocuslead::jobs
