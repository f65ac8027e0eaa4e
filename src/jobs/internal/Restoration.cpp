#include "jobs/internal/Impl.h"

#include "base/Log.h"
#include "jobs/internal/Handover.h"

#include <algorithm>
#include <utility>

// What a new term reads of the terms before it.

namespace crocuslead::jobs {

void Coordinator::Impl::restoreUsedWorkers(const std::string &Record) {
  internal::UsedWorkers Read = internal::decodeUsedWorkers(Record);
  UsedWorkersComplete_ = Read.Complete_;
  auto NoteUnlocated = [this](const internal::UsedWorker &Used) {
    if (Used.UnlocatedLeft_)
      UnlocatedRuns_[Used.Id_] = {
          UsedWorkersWrittenBefore_ + *Used.UnlocatedLeft_, Used.UnlocatedJobs_,
          internal::RecordKind::UsedWorkers};
  };
  for (const internal::UsedWorker &Used : Read.Rows_) {
    RecordedIncarnations_[Used.Id_] = Used.StartTimeMs_;
    bool Listed = Workers_.count(Used.Id_) > 0;
    if (!Listed && Used.LeaseEnded_) {
      EarlierLeases_[Used.Id_] = {now(), Used.StartTimeMs_};
      NoteUnlocated(Used);
      UnlistedBefore_.insert(Used.Id_);
      if (Used.RunsAbandoned_)
        AbandonedIncarnations_[Used.Id_] = {
            Used.Address_, Used.StartTimeMs_, true, Used.UnseenAbandoned_, true,
            now()};
      continue;
    }
    if (!Listed) {
      WorkerInfo Info;
      Info.Id_ = Used.Id_;
      Info.Address_ = Used.Address_;
      Info.StartTimeMs_ = Used.StartTimeMs_;
      WorkerEntry &Unlisted = addWorker(Info);
      Unlisted.Registered_ = false;
      Unlisted.UnlistedAt_ = now();
    }
    WorkerEntry &Worker = *Workers_.at(Used.Id_);
    bool SameIncarnation = Worker.Info_.StartTimeMs_ == Used.StartTimeMs_;
    // Another incarnation cannot run what the recorded one ran, but requests to
    // the recorded one may have reached it. Else the registry lags behind, also
    // if the time of day was set back in between.
    Worker.RecordedIncarnationGone_ =
        Used.StartTimeMs_ != 0 &&
        internal::isLaterStart(Worker.Info_.StartTimeMs_, Used.StartTimeMs_);
    Worker.RestartedBeforeTerm_ = !SameIncarnation;
    if (!SameIncarnation)
      expectLongestLease(Worker, now() + lastLeaseAfterTerm(),
                         Settings_.Times_.SilentRequestDelay_);
    // A term between the two may have run an earlier version, which does not
    // read the rest and grants leases all the same.
    else if (Used.LeaseLeft_ &&
             Used.LeaseLeftTerm_ == Settings_.PreviousTerm_) {
      Worker.RecordedLeaseEnd_ = UsedWorkersWrittenBefore_ + *Used.LeaseLeft_;
      NoteUnlocated(Used);
    } else if (Used.MayHoldLongestLease_)
      expectLongestLease(Worker, now(), Settings_.Times_.SilentRequestDelay_);
    // A term between the two that did not know of the row would have written
    // others, so the last commit would not be known.
    bool IsExcluded = Used.UnlocatedLeft_ && !Used.LeaseLeft_ && LastCommit_;
    if (Used.LeaseEnded_ || (IsExcluded && SameIncarnation))
      NoteUnlocated(Used);
    Worker.StartsExcluded_ = IsExcluded;
    Worker.MayHoldLease_ = !Used.LeaseEnded_ || !SameIncarnation;
    Worker.GrantsExcluded_ = Used.LeaseEnded_ || Used.LeaseLeft_;
    Worker.RecordDurable_ = !Worker.GrantsExcluded_ && SameIncarnation;
    // The rest of a longest lease exceeds the bound for the usual ones.
    if (Worker.RecordedLeaseEnd_ && Used.MayHoldLongestLease_)
      Worker.LongestLeaseUntil_ = Worker.LatestLeaseEnd_ =
          *Worker.RecordedLeaseEnd_;
    if (!Used.LeaseEnded_)
      RecordedHolders_.insert(Used.Id_);
    // The registry may lag behind the record, so the note binds whichever
    // incarnation answers.
    Worker.RunsAbandoned_ = Worker.AbandonmentDurable_ =
        Worker.AbandonedInEarlierTerm_ = Used.RunsAbandoned_;
    Worker.UnseenAbandoned_ =
        Used.RunsAbandoned_ && (Used.UnseenAbandoned_ || !SameIncarnation);
  }
}

// The coordinator that resigned granted no lease after it had made the record.
// The times in it are counted from when it is read, until a worker's clock
// tells when it was written.
void Coordinator::Impl::restoreHandover(const std::string &Record) {
  auto Read = internal::decodeHandover(Record);
  if (!Read)
    return;
  // A term between the two may have granted leases.
  bool FromPreviousTerm = Read->Term_ == Settings_.PreviousTerm_;
  int64_t Bounded = 0;
  if (FromPreviousTerm) {
    PredecessorResigned_ = Read->PredecessorsFenced_;
    HandoverStarts_ = Read->Starts_;
    HandoverNamesLateStarts_ = Read->NamesLateStarts_;
    HandoverAge_ = RecordAge{std::move(Read->Clocks_), std::nullopt, now()};
    for (internal::HandedOverWorker &Each : Read->Workers_) {
      RecordedIncarnations_[Each.Id_] = Each.StartTimeMs_;
      auto It = Workers_.find(Each.Id_);
      if (It == Workers_.end() ||
          It->second->Info_.StartTimeMs_ != Each.StartTimeMs_)
        continue;
      WorkerEntry &Worker = *It->second;
      base::TimePoint End = now() + Each.LeaseLeft_;
      Worker.RecordedLeaseEnd_ = End;
      Worker.RecordedLeaseIn_ = internal::RecordKind::Handover;
      Worker.LatestLeaseEnd_ = std::min(Worker.LatestLeaseEnd_, End);
      Worker.LongestLeaseUntil_ = std::min(Worker.LongestLeaseUntil_, End);
      Worker.PossibleJobs_ = std::move(Each.Jobs_);
      if (Each.UnlocatedLeft_)
        UnlocatedRuns_[Each.Id_] = {now() + *Each.UnlocatedLeft_,
                                    std::move(Each.UnlocatedJobs_),
                                    internal::RecordKind::Handover};
      ++Bounded;
    }
    for (const internal::HandedOverStart &Each : Read->LateStarts_)
      restoreLateStart(Each.Task_, Each.Start_, true);
  }
  base::logEvent(base::LogLevel::Info, "handover-read",
                 {{"term", Settings_.Term_},
                  {"from_term", Read->Term_},
                  {"previous_term", Settings_.PreviousTerm_},
                  {"used", FromPreviousTerm},
                  {"predecessors_fenced", Read->PredecessorsFenced_},
                  {"starts_recorded", Read->Starts_.LongRunning_},
                  {"rows", static_cast<int64_t>(Read->Workers_.size())},
                  {"workers", Bounded}});
}

} // namespace crocuslead::jobs
