#include "jobs/internal/Impl.h"

#include "base/Log.h"

#include <algorithm>

namespace crocuslead::jobs {

namespace {

//! Occurrences of a recurring job that may be open at one time.
constexpr std::size_t MaxOpenOccurrences = 64;

//! Run numbers of a term start above those of the terms before it, whose last
//! starts may be unknown. A job with more starts in one term has long failed.
constexpr uint64_t RunsPerTerm = 100'000;

} // namespace

Coordinator::Impl::JobEntry *Coordinator::Impl::findJob(const std::string &Id) {
  auto It = Jobs_.find(Id);
  return It == Jobs_.end() ? nullptr : It->second.get();
}

internal::StepEntry *Coordinator::Impl::findStep(JobEntry &Owner,
                                                 const TaskPosition &At) {
  auto It = Owner.Occurrences_.find(At.Occurrence_);
  if (It == Owner.Occurrences_.end() || At.Step_ >= It->second.Steps_.size())
    return nullptr;
  StepEntry &Step = It->second.Steps_[At.Step_];
  return At.Index_ < Step.Tasks_.size() ? &Step : nullptr;
}

internal::TaskEntry *Coordinator::Impl::findTask(const TaskId &Id) {
  JobEntry *Owner = findJob(Id.Job_);
  StepEntry *Step = Owner != nullptr ? findStep(*Owner, Id.At_) : nullptr;
  return Step != nullptr ? &Step->Tasks_[Id.At_.Index_] : nullptr;
}

const QueueConfig *Coordinator::Impl::queueConfig(const JobEntry &Owner) const {
  auto It = Config_.Queues_.find(Owner.Record_.Queue_);
  return It == Config_.Queues_.end() ? nullptr : &It->second;
}

void Coordinator::Impl::updateCompletionTarget(JobEntry &Owner) {
  const QueueConfig *Queue = queueConfig(Owner);
  auto Age = std::max(std::chrono::milliseconds(0),
                      std::chrono::duration_cast<std::chrono::milliseconds>(
                          Clock_.wallNow() - Owner.Record_.Accepted_));
  base::Duration Chain = longestChain(Owner.Record_.Spec_);
  Owner.CompletionTarget_ = now() - Age + Chain;
  if (Queue != nullptr)
    Owner.CompletionTarget_ =
        now() - Age + Queue->Target_ +
        std::chrono::duration_cast<base::Duration>(Chain * Queue->Stretch_);
}

void Coordinator::Impl::addJob(const std::string &Id, JobRecord Record,
                               const std::optional<JobProgress> &Progress,
                               bool Restored) {
  if (findJob(Id) != nullptr)
    return;
  auto &Slot = Jobs_[Id];
  Slot = std::make_unique<JobEntry>();
  JobEntry &Owner = *Slot;
  Owner.Id_ = Id;
  Owner.Record_ = std::move(Record);
  Owner.Sequence_ = NextSequence_++;
  Owner.Restored_ = Restored;
  Owner.NextRunNumber_ = (Settings_.Term_ - 1) * RunsPerTerm + 1;
  updateCompletionTarget(Owner);
  if (Progress)
    restoreProgress(Owner, *Progress);
  // Those of an ended job take up the runs that are still being stopped.
  createDueOccurrences(Owner);
  if (isFinal(Owner.State_))
    return;
  if (Progress) {
    for (const TaskPosition &At : Progress->Done_)
      if (StepEntry *Step = findStep(Owner, At))
        completeTask(Owner, *Step, Step->Tasks_[At.Index_]);
    for (const auto &[At, Open] : Progress->Open_)
      if (StepEntry *Step = findStep(Owner, At)) {
        Step->Tasks_[At.Index_].FailedRuns_ = Open.FailedRuns_;
        Step->Tasks_[At.Index_].Checkpoint_ = Open.Checkpoint_;
      }
  }
  base::logEvent(
      base::LogLevel::Info, "job-known",
      {{"job", Id},
       {"queue", Owner.Record_.Queue_},
       {"steps", static_cast<int64_t>(Owner.Record_.Spec_.Steps_.size())},
       {"restored", Restored},
       {"term", Settings_.Term_}});
  PlacementRequested_ = true;
}

void Coordinator::Impl::restoreProgress(JobEntry &Owner,
                                        const JobProgress &Progress) {
  Owner.State_ = Progress.State_;
  Owner.DurableState_ = Progress.State_;
  Owner.OccurrencesDone_ = Progress.OccurrencesDone_;
  Owner.NextOccurrence_ = Progress.OccurrencesDone_;
  Owner.Started_ = Progress.State_ != JobState::Queued;
  if (!isFinal(Owner.State_))
    return;
  Owner.FinishedWallTime_ = Progress.Ended_.value_or(Clock_.wallNow());
  Owner.FinishedAt_ = now();
  FinishedJobs_.push_back(Owner.Id_);
}

void Coordinator::Impl::createDueOccurrences(JobEntry &Owner) {
  const JobSpec &Spec = Owner.Record_.Spec_;
  if (Spec.Repetitions_ == 0) {
    if (Owner.NextOccurrence_ == 0)
      createOccurrence(Owner, Owner.NextOccurrence_++);
    return;
  }
  while (Owner.NextOccurrence_ < Spec.Repetitions_ &&
         Owner.Occurrences_.size() < MaxOpenOccurrences &&
         Clock_.wallNow() >=
             Spec.FirstRun_ + Spec.Interval_ * Owner.NextOccurrence_)
    createOccurrence(Owner, Owner.NextOccurrence_++);
}

void Coordinator::Impl::createOccurrence(JobEntry &Owner, uint32_t Number) {
  OccurrenceEntry &Opened = Owner.Occurrences_[Number];
  Opened.Number_ = Number;
  const auto &Specs = Owner.Record_.Spec_.Steps_;
  Opened.Steps_.resize(Specs.size());
  for (uint32_t S = 0; S < Specs.size(); ++S) {
    StepEntry &Step = Opened.Steps_[S];
    Step.Job_ = &Owner;
    Step.Occurrence_ = Number;
    Step.Number_ = S;
    Step.Spec_ = &Specs[S];
    Step.Image_ = Pressure_.imageNumber(Specs[S].Image_);
    Step.Tasks_.resize(Specs[S].Count_);
    for (uint32_t I = 0; I < Step.Tasks_.size(); ++I)
      Step.Tasks_[I].Position_ = {Number, S, I};
  }
  releaseSteps(Opened);
}

void Coordinator::Impl::releaseSteps(OccurrenceEntry &Of) {
  for (StepEntry &Step : Of.Steps_) {
    if (Step.Released_)
      continue;
    const auto &Before = Step.Spec_->After_;
    Step.Released_ = std::all_of(Before.begin(), Before.end(), [&](uint32_t B) {
      return Of.Steps_[B].complete();
    });
    if (Step.Released_)
      enqueueStep(Step);
  }
}

Coordinator::Impl::ReadyKey
Coordinator::Impl::readyKey(const StepEntry &Step) const {
  const QueueConfig *Queue = queueConfig(*Step.Job_);
  return {Queue != nullptr ? Queue->Priority_ : 0, Step.Job_->CompletionTarget_,
          Step.Job_->Sequence_, Step.Occurrence_, Step.Number_};
}

void Coordinator::Impl::enqueueStep(StepEntry &Step) {
  if (!Step.Released_ || Step.complete() || isFinal(Step.Job_->State_))
    return;
  ReadySteps_[readyKey(Step)] = &Step;
  PlacementRequested_ = true;
}

void Coordinator::Impl::rebuildReadyQueue() {
  ReadySteps_.clear();
  for (auto &[Id, Owner] : Jobs_) {
    if (isFinal(Owner->State_))
      continue;
    updateCompletionTarget(*Owner);
    for (auto &[Number, Each] : Owner->Occurrences_)
      for (StepEntry &Step : Each.Steps_)
        enqueueStep(Step);
  }
}

void Coordinator::Impl::markStarted(JobEntry &Owner) {
  Owner.Started_ = true;
  if (Owner.State_ == JobState::Queued)
    Owner.State_ = JobState::Running;
}

void Coordinator::Impl::completeTask(JobEntry &Owner, StepEntry &Step,
                                     TaskEntry &Of) {
  if (Of.Done_)
    return;
  Of.Done_ = true;
  ++Step.DoneCount_;
  markStarted(Owner);
  for (RunEntry *Copy : std::vector<RunEntry *>(Of.Runs_))
    requestStop(*Copy, "another-copy-finished");
  if (Step.complete())
    completeStep(Owner, Step.Occurrence_);
}

void Coordinator::Impl::completeStep(JobEntry &Owner,
                                     uint32_t OccurrenceNumber) {
  OccurrenceEntry &Of = Owner.Occurrences_.at(OccurrenceNumber);
  ++Of.StepsDone_;
  if (Of.StepsDone_ < Of.Steps_.size()) {
    releaseSteps(Of);
    return;
  }
  ++Owner.OccurrencesDone_;
  if (Owner.OccurrencesDone_ >=
      std::max<uint32_t>(1, Owner.Record_.Spec_.Repetitions_))
    finishJob(Owner, JobState::Completed, "all-tasks-done");
}

void Coordinator::Impl::finishJob(JobEntry &Owner, JobState State,
                                  const char *Reason) {
  if (isFinal(Owner.State_))
    return;
  Owner.State_ = State;
  Owner.FinishedWallTime_ = Clock_.wallNow();
  Owner.FinishedAt_ = now();
  FinishedJobs_.push_back(Owner.Id_);
  for (auto &[Number, Each] : Owner.Occurrences_)
    for (StepEntry &Step : Each.Steps_) {
      ReadySteps_.erase(readyKey(Step));
      for (TaskEntry &Of : Step.Tasks_)
        for (RunEntry *Which : std::vector<RunEntry *>(Of.Runs_))
          requestStop(*Which, "job-ended");
    }
  Metrics_
      .counter("crocuslead_jobs_ended_total", "Jobs by final state.",
               {{"state", std::string(jobStateName(State))}})
      .add();
  base::logEvent(
      base::LogLevel::Info, "job-ended",
      {{"job", Owner.Id_},
       {"state", jobStateName(State)},
       {"reason", Reason},
       {"age_ms", (Owner.FinishedWallTime_ - Owner.Record_.Accepted_).count()},
       {"late_ms", base::toMillis(now() - Owner.CompletionTarget_)}});
  CommitUrgent_ = true;
  markDirty(Owner);
}

void Coordinator::Impl::cancelJob(const std::string &Id) {
  if (JobEntry *Owner = findJob(Id))
    finishJob(*Owner, JobState::Cancelled, "cancelled-by-caller");
}

std::optional<JobState> Coordinator::Impl::state(const std::string &Id) const {
  auto It = Jobs_.find(Id);
  if (It == Jobs_.end())
    return std::nullopt;
  const JobEntry &Owner = *It->second;
  // A cancellation is durable by its own record.
  if (!isFinal(Owner.State_) || Owner.State_ == JobState::Cancelled ||
      Owner.DurableState_ == Owner.State_)
    return Owner.State_;
  return JobState::Running;
}

std::size_t Coordinator::Impl::waiting(const std::string &Queue) const {
  return static_cast<std::size_t>(
      std::count_if(Jobs_.begin(), Jobs_.end(), [&](const auto &Entry) {
        const JobEntry &Each = *Entry.second;
        return Each.Record_.Queue_ == Queue && !Each.Started_ &&
               !isFinal(Each.State_);
      }));
}

std::vector<std::string> Coordinator::Impl::takeExpired() {
  std::vector<std::string> Out;
  while (!FinishedJobs_.empty()) {
    JobEntry *Owner = findJob(FinishedJobs_.front());
    if (Owner != nullptr) {
      bool Old = now() - Owner->FinishedAt_ >= Settings_.Times_.KeepFinished_;
      bool Busy = false;
      for (auto &[Number, Each] : Owner->Occurrences_)
        for (StepEntry &Step : Each.Steps_)
          for (TaskEntry &Of : Step.Tasks_)
            Busy = Busy || !Of.Runs_.empty();
      if (!Old || Busy || Owner->CommitQueued_)
        break;
      Out.push_back(Owner->Id_);
      Jobs_.erase(Owner->Id_);
    }
    FinishedJobs_.pop_front();
  }
  return Out;
}

} // namespace crocuslead::jobs
