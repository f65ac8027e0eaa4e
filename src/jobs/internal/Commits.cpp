#include "jobs/internal/Impl.h"

#include "base/Log.h"

#include <algorithm>
#include <utility>

namespace crocuslead::jobs {

namespace {

// An unconfirmed commit is retried after this time.
constexpr auto CommitRetryDelay = std::chrono::milliseconds(150);
// A recovery that takes longer than this records when the leases end that it
// waits for.
constexpr auto MinRecordedRecovery = std::chrono::seconds(1);
// Longer than CommitBatchDelay_: no caller waits for a location.
constexpr auto LocationBatchDelay = std::chrono::milliseconds(60);
// In base64 a link of 2 Mbit/s takes it in a quarter of the time for a call.
constexpr std::size_t MaxCommitBytes = 64U << 10U;
constexpr auto MaxCommitAge = std::chrono::milliseconds(500);

} // namespace

void Coordinator::Impl::markDirty(JobEntry &Job) {
  ++Job.Version_;
  if (Job.CommitQueued_)
    return;
  Job.CommitQueued_ = true;
  if (DirtyJobs_.empty())
    DirtyJobsSince_ = now();
  DirtyJobs_.push_back(Job.Id_);
}

// Several tasks of a step are located at nearly the same time.
void Coordinator::Impl::markLocationDirty(JobEntry &Job) {
  ++Job.Version_;
  if (Job.CommitQueued_ || std::exchange(Job.LocationQueued_, true))
    return;
  LocatedJobs_.emplace_back(now(), Job.Id_);
}

void Coordinator::Impl::queueLocatedJobs() {
  while (!LocatedJobs_.empty() &&
         now() - LocatedJobs_.front().first >= LocationBatchDelay) {
    JobEntry *Job = findJob(LocatedJobs_.front().second);
    LocatedJobs_.pop_front();
    if (Job == nullptr || !std::exchange(Job->LocationQueued_, false) ||
        Job->CommitQueued_ || Job->CommittedVersion_ == Job->Version_)
      continue;
    Job->CommitQueued_ = true;
    if (DirtyJobs_.empty())
      DirtyJobsSince_ = now() - Settings_.Times_.CommitBatchDelay_;
    DirtyJobs_.push_back(Job->Id_);
  }
}

void Coordinator::Impl::markUsedWorkersDirty() {
  if (!UsedWorkersDirty_)
    UsedWorkersDirtySince_ = now();
  UsedWorkersDirty_ = true;
}

JobProgress Coordinator::Impl::progressRecord(const JobEntry &Job) const {
  JobProgress Out;
  Out.State_ = Job.State_;
  Out.FirstTerm_ = Job.FirstTerm_;
  for (const auto &[Number, Occurrence] : Job.Occurrences_)
    for (const StepEntry &Step : Occurrence.Steps_)
      for (const TaskEntry &Task : Step.Tasks_)
        if (auto Late = recordedLateStart(Task, {Job.Id_, Task.Position_}))
          Out.LateStarts_[Task.Position_] = *Late;
  if (isFinal(Job.State_)) {
    Out.EndedAt_ = Job.FinishedWallTime_;
    return Out;
  }
  uint32_t CompletedPrefix = Job.Occurrences_.empty()
                                 ? Job.OccurrencesDone_
                                 : Job.Occurrences_.begin()->first;
  for (const auto &[Number, Occurrence] : Job.Occurrences_) {
    if (Occurrence.StepsDone_ == Occurrence.Steps_.size()) {
      // OccurrencesDone_ counts only the complete occurrences before the first
      // incomplete one; later complete ones are stored task by task.
      if (Number == CompletedPrefix) {
        ++CompletedPrefix;
        continue;
      }
    }
    for (const StepEntry &Step : Occurrence.Steps_)
      for (const TaskEntry &Task : Step.Tasks_) {
        if (Task.Location_ && !Task.Done_) {
          TaskLocation Location = *Task.Location_;
          // The next incarnation may take another copy of its start.
          Location.Located_ =
              Location.Located_ && Out.LateStarts_.count(Task.Position_) == 0;
          Out.Locations_[Task.Position_] = std::move(Location);
        }
        if (Task.Done_)
          Out.DoneTasks_.push_back(Task.Position_);
        else if (!Task.FailedRuns_.empty() || !Task.Checkpoint_.empty() ||
                 !Task.Crashes_.empty())
          Out.UnfinishedTasks_[Task.Position_] = {
              Task.FailedRuns_, Task.Checkpoint_, Task.Crashes_};
      }
  }
  Out.OccurrencesDone_ = CompletedPrefix;
  return Out;
}

// A worker that has not answered in this term was granted no lease in it. Most
// answer at once, so a recovery that is over soon adds no bounds. One that no
// longer answers is granted none either.
std::optional<base::Duration>
Coordinator::Impl::recordedLeaseLeft(const WorkerEntry &Worker) const {
  if (Worker.Polled_ && Worker.MayHoldLease_ && !isReachable(Worker))
    return leaseEnd(Worker) - now();
  if (!Recovering_ || Worker.Polled_ || !Worker.MayHoldLease_)
    return std::nullopt;
  if (now() - RecoveryStartedAt_ < MinRecordedRecovery &&
      !Worker.GrantsExcluded_)
    return std::nullopt;
  return leaseEnd(Worker) - now();
}

// A successor would expect the longest lease anew.
void Coordinator::Impl::recordEndedLongestLeases() {
  for (const WorkerEntry *Worker : WorkerOrder_)
    if (Worker->LongestLeaseRecorded_ && now() >= Worker->LongestLeaseUntil_)
      markUsedWorkersDirty();
}

// Unset if starts may be sent to it.
std::optional<base::Duration>
Coordinator::Impl::recordedUnlocatedLeft(const WorkerEntry &Worker) const {
  if (!Worker.Polled_) {
    auto Earlier = UnlocatedRuns_.find(Worker.Info_.Id_);
    if (Worker.MayHoldLease_ && !recordedLeaseLeft(Worker))
      return std::nullopt;
    if (Earlier != UnlocatedRuns_.end())
      return Earlier->second.End_ - now();
    if (!Worker.MayHoldLease_)
      return std::nullopt;
    return base::Duration{};
  }
  if (!Worker.MayHoldLease_ ||
      (!Worker.Info_.Draining_ && !recordedLeaseLeft(Worker)))
    return std::nullopt;
  return unlocatedJobs(Worker).empty() ? base::Duration{}
                                       : unlocatedRunEnd(Worker) - now();
}

// Until the worker answers, the registry may lag behind what an earlier term
// recorded. The locations of tasks refer to the latest incarnation on record.
int64_t Coordinator::Impl::latestStartTimeMs(const WorkerEntry &Worker) const {
  auto Recorded = RecordedIncarnations_.find(Worker.Info_.Id_);
  if (Worker.Polled_ || Recorded == RecordedIncarnations_.end())
    return Worker.Info_.StartTimeMs_;
  return internal::isLaterStart(Worker.Info_.StartTimeMs_, Recorded->second)
             ? Worker.Info_.StartTimeMs_
             : Recorded->second;
}

std::vector<internal::UsedWorker> Coordinator::Impl::usedWorkers() const {
  std::vector<internal::UsedWorker> Out;
  for (const WorkerEntry *Worker : WorkerOrder_) {
    bool MayHoldLongestLease = now() < Worker->LongestLeaseUntil_;
    // An entry without a start time stands for what follows an incarnation that
    // is gone; the next term decides by that one's whether it has come.
    int64_t StartTimeMs = latestStartTimeMs(*Worker);
    auto Earlier = EarlierLeases_.find(Worker->Info_.Id_);
    if (StartTimeMs == 0 && Earlier != EarlierLeases_.end())
      StartTimeMs = Earlier->second.StartTimeMs_;
    internal::UsedWorker Row;
    Row.Id_ = Worker->Info_.Id_;
    Row.Address_ = Worker->Info_.Address_;
    Row.StartTimeMs_ = StartTimeMs;
    Row.MayHoldLongestLease_ = MayHoldLongestLease;
    Row.RunsAbandoned_ = Worker->RunsAbandoned_;
    Row.UnseenAbandoned_ = Worker->UnseenAbandoned_;
    Row.LeaseEnded_ = !Worker->MayHoldLease_ && !MayHoldLongestLease;
    Row.LeaseLeft_ = recordedLeaseLeft(*Worker);
    Row.LeaseLeftTerm_ = Settings_.Term_;
    Row.UnlocatedLeft_ = recordedUnlocatedLeft(*Worker);
    auto Unlocated = UnlocatedRuns_.find(Worker->Info_.Id_);
    if (Row.UnlocatedLeft_)
      Row.UnlocatedJobs_ = Unlocated != UnlocatedRuns_.end()
                               ? Unlocated->second.Jobs_
                               : unlocatedJobs(*Worker);
    Out.push_back(std::move(Row));
  }
  for (const auto &[Id, Gone] : AbandonedIncarnations_) {
    internal::UsedWorker Row;
    Row.Id_ = Id;
    Row.Address_ = Gone.Address_;
    Row.StartTimeMs_ = Gone.StartTimeMs_;
    Row.RunsAbandoned_ = Row.LeaseEnded_ = true;
    Row.UnseenAbandoned_ = Gone.Unseen_;
    if (auto Unlocated = UnlocatedRuns_.find(Id);
        Unlocated != UnlocatedRuns_.end()) {
      Row.UnlocatedLeft_ = Unlocated->second.End_ - now();
      Row.UnlocatedJobs_ = Unlocated->second.Jobs_;
    }
    Out.push_back(std::move(Row));
  }
  return Out;
}

void Coordinator::Impl::commitIfDue() {
  queueLocatedJobs();
  if (InFlightCommit_ || Superseded_ || now() < CommitRetryAt_)
    return;
  bool Due =
      !DirtyJobs_.empty() &&
      (CommitUrgent_ || DirtyJobs_.size() >= Settings_.MaxCommitWrites_ ||
       now() - DirtyJobsSince_ >= Settings_.Times_.CommitBatchDelay_);
  bool RecordUsedWorkers = UsedWorkersDirty_ && mayRecordUsedWorkers();
  bool UsedWorkersDue =
      RecordUsedWorkers &&
      now() - UsedWorkersDirtySince_ >= Settings_.Times_.CommitBatchDelay_;
  // Its age tells a successor what the records cover.
  bool AgeDue = now() - LastCommitSentAt_ >= MaxCommitAge;
  if (!Due && !UsedWorkersDue && !AgeDue)
    return;
  LastCommitSentAt_ = now();
  CommitBatch Batch;
  Batch.Number_ = NextCommitNumber_++;
  InFlightCommit_ = InFlightCommit();
  InFlightCommit_->Number_ = Batch.Number_;
  InFlightCommit_->SentAt_ = now();
  if (RecordUsedWorkers) {
    UsedWorkersDirty_ = false;
    UsedWorkersWrittenBefore_ = now();
    InFlightCommit_->RecordsUsedWorkers_ = true;
    std::vector<internal::UsedWorker> Rows = usedWorkers();
    InFlightCommit_->RecordedHolders_ = static_cast<std::size_t>(std::count_if(
        Rows.begin(), Rows.end(),
        [](const internal::UsedWorker &Row) { return !Row.LeaseEnded_; }));
    MaxRecordedHolders_ =
        std::max(MaxRecordedHolders_, InFlightCommit_->RecordedHolders_);
    Batch.Writes_.emplace_back(UsedWorkersKey,
                               internal::encodeUsedWorkers(Rows));
    for (WorkerEntry *Worker : WorkerOrder_) {
      InFlightCommit::Row Row{Worker->Info_.Id_, Worker->Info_.StartTimeMs_,
                              Worker->UnseenAbandoned_,
                              recordedUnlocatedLeft(*Worker).has_value()};
      Worker->StartsExcluded_ = Worker->StartsExcluded_ || Row.StartsExcluded_;
      Worker->LongestLeaseRecorded_ = now() < Worker->LongestLeaseUntil_;
      if (Worker->MayHoldLease_ && !recordedLeaseLeft(*Worker)) {
        InFlightCommit_->LeaseHolders_.push_back(Row);
      } else {
        Worker->RecordDurable_ = false;
        Worker->GrantsExcluded_ = true;
        Worker->RestRecorded_ = Worker->Polled_ && Worker->MayHoldLease_;
      }
      if (Worker->RunsAbandoned_)
        InFlightCommit_->AbandonedWorkers_.push_back(std::move(Row));
    }
  }
  Batch.Writes_.emplace_back(LastCommitKey, lastCommitRecord(Batch.Number_));
  std::size_t Bytes = 0;
  while (!DirtyJobs_.empty() && Bytes < MaxCommitBytes &&
         Batch.Writes_.size() < Settings_.MaxCommitWrites_) {
    std::string Id = std::move(DirtyJobs_.front());
    DirtyJobs_.pop_front();
    JobEntry *Job = findJob(Id);
    if (Job == nullptr)
      continue;
    Job->CommitQueued_ = false;
    Job->CommittedVersion_ = Job->Version_;
    InFlightCommit_->Versions_.emplace_back(Id, Job->Version_);
    Batch.Writes_.emplace_back(ProgressPrefix + Id,
                               encode(progressRecord(*Job)));
    Bytes += Batch.Writes_.back().second.size();
  }
  DirtyJobsSince_ = now();
  CommitUrgent_ = !DirtyJobs_.empty() && CommitUrgent_;
  Commit_(Batch);
}

void Coordinator::Impl::commitDone(uint64_t Number, CommitResult Result) {
  if (!InFlightCommit_ || InFlightCommit_->Number_ != Number)
    return;
  InFlightCommit Finished = std::move(*InFlightCommit_);
  InFlightCommit_.reset();
  if (Result == CommitResult::Superseded) {
    endTerm("commit");
    return;
  }
  if (Result == CommitResult::Unconfirmed) {
    CommitRetryAt_ = now() + CommitRetryDelay;
    CommitsFail_ = true;
    if (Finished.RecordsUsedWorkers_)
      markUsedWorkersDirty();
    for (const auto &[Id, Version] : Finished.Versions_)
      if (JobEntry *Job = findJob(Id); Job != nullptr && !Job->CommitQueued_) {
        Job->CommitQueued_ = true;
        DirtyJobs_.push_front(Id);
      }
    return;
  }
  CommitsFail_ = false;
  ++Commits_;
  CommitTime_ += now() - Finished.SentAt_;
  if (Finished.RecordsUsedWorkers_)
    MaxRecordedHolders_ = Finished.RecordedHolders_;
  // The worker may have restarted since the record was made.
  auto FindRecorded = [this](const InFlightCommit::Row &Row) {
    auto It = Workers_.find(Row.Id_);
    bool Same = It != Workers_.end() &&
                It->second->Info_.StartTimeMs_ == Row.StartTimeMs_;
    if (!Same)
      markUsedWorkersDirty();
    return Same ? It->second.get() : nullptr;
  };
  for (const InFlightCommit::Row &Row : Finished.LeaseHolders_)
    if (WorkerEntry *Worker = FindRecorded(Row);
        Worker != nullptr && Worker->MayHoldLease_) {
      if (std::exchange(Worker->GrantsExcluded_, false))
        Worker->NextPollAt_ = std::min(Worker->NextPollAt_, now());
      Worker->StartsExcluded_ = Row.StartsExcluded_;
      PlacementRequested_ = true;
      if (!std::exchange(Worker->RecordDurable_, true))
        recordLocations(*Worker);
    }
  for (const InFlightCommit::Row &Row : Finished.AbandonedWorkers_)
    if (WorkerEntry *Worker = FindRecorded(Row);
        Worker != nullptr &&
        (Row.UnseenAbandoned_ || !Worker->UnseenAbandoned_))
      Worker->AbandonmentDurable_ = Worker->RunsAbandoned_;
  for (const auto &[Id, Version] : Finished.Versions_) {
    JobEntry *Job = findJob(Id);
    if (Job == nullptr)
      continue;
    Job->DurableVersion_ = std::max(Job->DurableVersion_, Version);
    if (Job->DurableVersion_ == Job->Version_)
      Job->DurableState_ = Job->State_;
  }
  sendAnnouncedStarts();
  advanceAcknowledgements();
  commitIfDue();
}

void Coordinator::Impl::advanceAcknowledgements() {
  for (WorkerEntry *Worker : WorkerOrder_)
    if (!Worker->PendingAcknowledgements_.empty())
      advanceAcknowledgements(*Worker);
}

void Coordinator::Impl::advanceAcknowledgements(WorkerEntry &Worker) {
  bool Advanced = false;
  while (!Worker.PendingAcknowledgements_.empty()) {
    const internal::PendingAcknowledgement &Oldest =
        Worker.PendingAcknowledgements_.front();
    JobEntry *Job = findJob(Oldest.Job_);
    bool HeldBack = Worker.HeldBackSequence_ != 0 &&
                    Oldest.SequenceNumber_ >= Worker.HeldBackSequence_;
    if (HeldBack || now() < Oldest.NotBefore_ ||
        (Job != nullptr && Job->DurableVersion_ < Oldest.Version_))
      break;
    Worker.AcknowledgedSequence_ = Oldest.SequenceNumber_;
    Worker.PendingAcknowledgements_.pop_front();
    Advanced = true;
  }
  if (Advanced && Worker.PendingAcknowledgements_.empty())
    Worker.NextPollAt_ =
        std::min(Worker.NextPollAt_, now() + Congestion_.pollPause());
}

bool Coordinator::Impl::allChangesDurable() const {
  return !InFlightCommit_ && DirtyJobs_.empty() && LocatedJobs_.empty() &&
         !UsedWorkersDirty_;
}

} // namespace crocuslead::jobs
