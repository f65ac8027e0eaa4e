#include "jobs/internal/Impl.h"

#include "base/Log.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace crocuslead::jobs {

namespace {

constexpr auto CommitRetry = std::chrono::milliseconds(150);

} // namespace

void Coordinator::Impl::markDirty(JobEntry &Owner) {
  ++Owner.Version_;
  if (Owner.CommitQueued_)
    return;
  Owner.CommitQueued_ = true;
  if (DirtyJobs_.empty())
    DirtyJobsSince_ = now();
  DirtyJobs_.push_back(Owner.Id_);
}

JobProgress Coordinator::Impl::progressRecord(const JobEntry &Owner) const {
  JobProgress Out;
  Out.State_ = Owner.State_;
  if (isFinal(Owner.State_)) {
    Out.Ended_ = Owner.FinishedWallTime_;
    return Out;
  }
  uint32_t Complete = Owner.Occurrences_.empty()
                          ? Owner.OccurrencesDone_
                          : Owner.Occurrences_.begin()->first;
  for (const auto &[Number, Each] : Owner.Occurrences_) {
    if (Each.StepsDone_ == Each.Steps_.size()) {
      // Only a leading run of complete occurrences is counted by its length.
      if (Number == Complete) {
        ++Complete;
        continue;
      }
    }
    for (const StepEntry &Step : Each.Steps_)
      for (const TaskEntry &Of : Step.Tasks_) {
        if (Of.Done_)
          Out.Done_.push_back(Of.Position_);
        else if (!Of.FailedRuns_.empty() || !Of.Checkpoint_.empty())
          Out.Open_[Of.Position_] = {Of.FailedRuns_, Of.Checkpoint_};
      }
  }
  Out.OccurrencesDone_ = Complete;
  return Out;
}

std::string Coordinator::Impl::usedWorkersRecord() const {
  auto Rows = nlohmann::json::array();
  for (const WorkerEntry *Each : WorkerOrder_)
    Rows.push_back({Each->Info_.Id_, Each->Info_.Address_, Each->Info_.Born_});
  return Rows.dump();
}

void Coordinator::Impl::commitIfDue() {
  if (InFlightCommit_ || Superseded_ || now() < CommitRetryAt_)
    return;
  bool Due = !DirtyJobs_.empty() &&
             (CommitUrgent_ || DirtyJobs_.size() >= Settings_.MaxBatch_ ||
              now() - DirtyJobsSince_ >= Settings_.Times_.CommitDelay_);
  if (!Due && !UsedWorkersDirty_)
    return;
  CommitBatch Batch;
  Batch.Number_ = NextCommitNumber_++;
  InFlightCommit_ = InFlightCommit();
  InFlightCommit_->Number_ = Batch.Number_;
  if (UsedWorkersDirty_) {
    UsedWorkersDirty_ = false;
    Batch.Writes_.emplace_back(UsedWorkersKey, usedWorkersRecord());
    for (const WorkerEntry *Each : WorkerOrder_)
      InFlightCommit_->Workers_.push_back(Each->Info_.Id_);
  }
  while (!DirtyJobs_.empty() && Batch.Writes_.size() < Settings_.MaxBatch_) {
    std::string Id = std::move(DirtyJobs_.front());
    DirtyJobs_.pop_front();
    JobEntry *Owner = findJob(Id);
    if (Owner == nullptr)
      continue;
    Owner->CommitQueued_ = false;
    InFlightCommit_->Versions_.emplace_back(Id, Owner->Version_);
    Batch.Writes_.emplace_back(ProgressPrefix + Id,
                               encode(progressRecord(*Owner)));
  }
  DirtyJobsSince_ = now();
  CommitUrgent_ = !DirtyJobs_.empty() && CommitUrgent_;
  Commit_(Batch);
}

void Coordinator::Impl::commitDone(uint64_t Number, CommitResult Result) {
  if (!InFlightCommit_ || InFlightCommit_->Number_ != Number)
    return;
  InFlightCommit Done = std::move(*InFlightCommit_);
  InFlightCommit_.reset();
  if (Result == CommitResult::Superseded) {
    Superseded_ = true;
    base::logEvent(base::LogLevel::Warn, "coordinator-superseded",
                   {{"term", Settings_.Term_}, {"seen_at", "commit"}});
    return;
  }
  if (Result == CommitResult::Unconfirmed) {
    CommitRetryAt_ = now() + CommitRetry;
    UsedWorkersDirty_ = UsedWorkersDirty_ || !Done.Workers_.empty();
    for (const auto &[Id, Version] : Done.Versions_)
      if (JobEntry *Owner = findJob(Id);
          Owner != nullptr && !Owner->CommitQueued_) {
        Owner->CommitQueued_ = true;
        DirtyJobs_.push_front(Id);
      }
    return;
  }
  for (const std::string &Id : Done.Workers_)
    if (auto It = Workers_.find(Id); It != Workers_.end()) {
      It->second->RecordDurable_ = true;
      PlacementRequested_ = true;
    }
  for (const auto &[Id, Version] : Done.Versions_) {
    JobEntry *Owner = findJob(Id);
    if (Owner == nullptr)
      continue;
    Owner->DurableVersion_ = std::max(Owner->DurableVersion_, Version);
    if (Owner->DurableVersion_ == Owner->Version_)
      Owner->DurableState_ = Owner->State_;
  }
  advanceAcknowledgements();
  commitIfDue();
}

void Coordinator::Impl::advanceAcknowledgements() {
  for (WorkerEntry *Each : WorkerOrder_) {
    bool Advanced = false;
    while (!Each->PendingAcknowledgements_.empty()) {
      const internal::PendingAcknowledgement &First =
          Each->PendingAcknowledgements_.front();
      JobEntry *Owner = findJob(First.Job_);
      if (Owner != nullptr && Owner->DurableVersion_ < First.Version_)
        break;
      Each->AcknowledgedEndNumber_ = First.Number_;
      Each->PendingAcknowledgements_.pop_front();
      Advanced = true;
    }
    if (Advanced && Each->PendingAcknowledgements_.empty())
      Each->NextPollAt_ = std::min(Each->NextPollAt_, now());
  }
}

bool Coordinator::Impl::settled() const {
  return !InFlightCommit_ && DirtyJobs_.empty() && !UsedWorkersDirty_;
}

} // namespace crocuslead::jobs
