#include "jobs/internal/Impl.h"

#include "base/Log.h"

#include <algorithm>
#include <utility>

// What a new term learns of the terms before it, and what one that resigns
// leaves behind.

namespace crocuslead::jobs {

namespace {

// A recovery that goes on is logged at this interval.
constexpr auto RecoveryLogInterval = std::chrono::seconds(1);

} // namespace

void Coordinator::Impl::recover() {
  Recovering_ = true;
  RecoveryStartedAt_ = now();
  NextRecoveryLogAt_ = now() + RecoveryLogInterval;
  for (auto &[Id, Worker] : Workers_) {
    Worker->MayObeyPredecessor_ =
        Worker->MayHoldLease_ || !UsedWorkersComplete_;
    if (!UsedWorkersComplete_)
      RecordedHolders_.insert(Id);
  }
  MaxRecordedHolders_ = RecordedHolders_.size();
  PredecessorLeases_.begin(now(), std::exchange(RecordedHolders_, {}));
  auto CountWorkers = [this](auto Condition) {
    return static_cast<int64_t>(
        std::count_if(WorkerOrder_.begin(), WorkerOrder_.end(), Condition));
  };
  base::logEvent(
      base::LogLevel::Info, "recovery-started",
      {{"term", Settings_.Term_},
       {"jobs", static_cast<int64_t>(Jobs_.size())},
       {"workers", static_cast<int64_t>(Workers_.size())},
       {"lease_holders", static_cast<int64_t>(MaxRecordedHolders_)},
       {"unlisted_workers", CountWorkers([](const WorkerEntry *Worker) {
          return !Worker->Registered_;
        })},
       {"draining_workers", CountWorkers([](const WorkerEntry *Worker) {
          return Worker->Info_.Draining_;
        })}});
  pollDueWorkers();
}

void Coordinator::Impl::restoreUsedWorkers(const std::string &Record) {
  internal::UsedWorkers Read = internal::decodeUsedWorkers(Record);
  UsedWorkersComplete_ = Read.Complete_;
  for (const internal::UsedWorker &Used : Read.Rows_) {
    bool Listed = Workers_.count(Used.Id_) > 0;
    if (!Listed && Used.LeaseEnded_) {
      if (Used.RunsAbandoned_)
        AbandonedIncarnations_[Used.Id_] = {Used.Address_, Used.StartTimeMs_,
                                            true, now()};
      continue;
    }
    if (!Listed) {
      WorkerInfo Info;
      Info.Id_ = Used.Id_;
      Info.Address_ = Used.Address_;
      Info.StartTimeMs_ = Used.StartTimeMs_;
      addWorker(Info).Registered_ = false;
    }
    WorkerEntry &Worker = *Workers_.at(Used.Id_);
    bool SameIncarnation = Worker.Info_.StartTimeMs_ == Used.StartTimeMs_;
    // Another incarnation cannot run what the recorded one ran, but requests to
    // the recorded one may have reached it.
    if (!SameIncarnation)
      expectLongestLease(Worker, now() + lastLeaseAfterTerm());
    else if (Used.MayHoldLongestLease_)
      expectLongestLease(Worker, now());
    Worker.MayHoldLease_ = !Used.LeaseEnded_ || !SameIncarnation;
    Worker.RecordDurable_ = !Used.LeaseEnded_ && SameIncarnation;
    if (!Used.LeaseEnded_)
      RecordedHolders_.insert(Used.Id_);
    Worker.RunsAbandoned_ = Worker.AbandonmentDurable_ =
        Worker.AbandonedInEarlierTerm_ = Used.RunsAbandoned_ && SameIncarnation;
  }
}

void Coordinator::Impl::updateRecovery() {
  if (!Recovering_)
    return;
  base::TimePoint Now = now();
  if (Now >= NextRecoveryLogAt_) {
    NextRecoveryLogAt_ = Now + RecoveryLogInterval;
    logRecoveryWait();
  }
  bool AllAnswered = true;
  bool AllDurable = true;
  for (const auto &[Id, Worker] : Workers_) {
    if (Worker->Polled_)
      continue;
    if (Now < leaseEnd(*Worker))
      return;
    if (!Worker->MayHoldLease_)
      continue;
    AllAnswered = false;
    AllDurable = AllDurable && Worker->AbandonmentDurable_;
  }
  if (AllDurable) {
    endRecovery(AllAnswered ? "all-workers-answered"
                            : "earlier-leases-expired");
    return;
  }
  // What the others ran is started again, so their results must not count.
  for (auto &[Id, Worker] : Workers_)
    if (!Worker->Polled_ && Worker->MayHoldLease_) {
      markAbandoned(*Worker);
      Worker->AbandonedInEarlierTerm_ = true;
    }
}

int64_t Coordinator::Impl::countHeldBackJobs() const {
  return std::count_if(Jobs_.begin(), Jobs_.end(), [](const auto &Entry) {
    return Entry.second->Restored_ && !isFinal(Entry.second->State_);
  });
}

void Coordinator::Impl::logRecoveryWait() const {
  int64_t Listed = 0;
  int64_t Unlisted = 0;
  const WorkerEntry *Last = nullptr;
  for (const WorkerEntry *Worker : WorkerOrder_) {
    if (Worker->Polled_ || now() >= leaseEnd(*Worker))
      continue;
    ++(Worker->Registered_ ? Listed : Unlisted);
    if (Last == nullptr || leaseEnd(*Worker) > leaseEnd(*Last))
      Last = Worker;
  }
  if (Last == nullptr)
    return;
  base::logEvent(base::LogLevel::Warn, "recovery-waiting",
                 {{"term", Settings_.Term_},
                  {"waited_ms", base::toMillis(now() - RecoveryStartedAt_)},
                  {"listed_workers", Listed},
                  {"unlisted_workers", Unlisted},
                  {"predecessors_fenced", PredecessorLeases_.fenced()},
                  {"held_back_jobs", countHeldBackJobs()},
                  {"worker", Last->Info_.Id_},
                  {"draining", Last->Info_.Draining_},
                  {"lease_left_ms", base::toMillis(leaseEnd(*Last) - now())}});
}

void Coordinator::Impl::endRecovery(const char *Reason) {
  Recovering_ = false;
  RecoveryEndedAt_ = now();
  PlacementRequested_ = true;
  drainWorkers();
  base::logEvent(base::LogLevel::Info, "recovery-finished",
                 {{"reason", Reason},
                  {"took_ms", base::toMillis(now() - RecoveryStartedAt_)},
                  {"runs", static_cast<int64_t>(Runs_.size())},
                  {"jobs", static_cast<int64_t>(Jobs_.size())}});
}

void Coordinator::Impl::prepareHandover() {
  for (auto &[Id, Worker] : Workers_) {
    if (Worker->Runs_.empty() || !Worker->Clock_ || !isReachable(*Worker) ||
        Worker->HeldBackSequence_ != 0 || leaseTimeLeft().count() <= 0)
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
