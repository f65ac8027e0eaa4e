#include "jobs/internal/Impl.h"

#include "base/Log.h"

#include <algorithm>

namespace crocuslead::jobs {

namespace {

//! Most occurrences of a recurring job that are created at one time.
constexpr std::size_t MaxOpenOccurrences = 64;

//! Size of the range of run numbers of a term. The ranges of terms are
//! disjoint because the last starts of earlier terms may be unknown. A job
//! reaches its limit of failed attempts long before it uses up a range.
constexpr uint64_t RunsPerTerm = 100'000;

} // namespace

uint64_t Coordinator::Impl::termOfRun(uint64_t Number) {
  return (Number - 1) / RunsPerTerm + 1;
}

Coordinator::Impl::JobEntry *
Coordinator::Impl::findJob(const std::string &Id) const {
  auto It = Jobs_.find(Id);
  return It == Jobs_.end() ? nullptr : It->second.get();
}

internal::StepEntry *Coordinator::Impl::findStep(JobEntry &Job,
                                                 const TaskPosition &Position) {
  auto It = Job.Occurrences_.find(Position.Occurrence_);
  if (It == Job.Occurrences_.end() ||
      Position.Step_ >= It->second.Steps_.size())
    return nullptr;
  StepEntry &Step = It->second.Steps_[Position.Step_];
  return Position.Index_ < Step.Tasks_.size() ? &Step : nullptr;
}

internal::TaskEntry *Coordinator::Impl::findTask(const TaskId &Id) const {
  JobEntry *Job = findJob(Id.Job_);
  StepEntry *Step = Job != nullptr ? findStep(*Job, Id.Position_) : nullptr;
  return Step != nullptr ? &Step->Tasks_[Id.Position_.Index_] : nullptr;
}

const QueueConfig *Coordinator::Impl::queueConfig(const JobEntry &Job) const {
  auto It = Config_.Queues_.find(Job.Record_.Queue_);
  return It == Config_.Queues_.end() ? nullptr : &It->second;
}

void Coordinator::Impl::updateCompletionTarget(JobEntry &Job) {
  const QueueConfig *Queue = queueConfig(Job);
  auto Age = std::max(std::chrono::milliseconds(0),
                      std::chrono::duration_cast<std::chrono::milliseconds>(
                          Clock_.wallNow() - Job.Record_.AcceptedAt_));
  base::Duration Target = criticalPath(Job.Record_.Spec_);
  if (Queue != nullptr)
    Target = Queue->TargetOffset_ + std::chrono::duration_cast<base::Duration>(
                                        Target * Queue->TargetFactor_);
  Job.CompletionTarget_ = now() - Age + Target;
  Job.OverdueAt_ = now() - Age + internal::OverdueFactor * Target;
}

base::Duration Coordinator::Impl::dueDelay(const JobEntry &Job,
                                           uint32_t Occurrence) {
  const JobSpec &Spec = Job.Record_.Spec_;
  if (Spec.Repetitions_ == 0)
    return {};
  return Spec.FirstRun_ + Spec.Interval_ * Occurrence - Job.Record_.AcceptedAt_;
}

void Coordinator::Impl::addJob(const std::string &Id, JobRecord Record,
                               int64_t Revision,
                               const std::optional<JobProgress> &Progress,
                               bool Restored) {
  if (findJob(Id) != nullptr)
    return;
  auto &Slot = Jobs_[Id];
  Slot = std::make_unique<JobEntry>();
  JobEntry &Job = *Slot;
  Job.Id_ = Id;
  Job.Record_ = std::move(Record);
  Job.Revision_ = Revision;
  NewestJobRevision_ = std::max(NewestJobRevision_, Revision);
  Job.Sequence_ = NextSequence_++;
  Job.Restored_ = Restored;
  Job.NextRunNumber_ = (Settings_.Term_ - 1) * RunsPerTerm + 1;
  if (!Restored)
    Job.FirstTerm_ = Settings_.Term_;
  updateCompletionTarget(Job);
  if (Progress)
    restoreProgress(Job, *Progress);
  if (!isFinal(Job.State_)) {
    if (!Job.Started_)
      ++WaitingJobs_[Job.Record_.Queue_];
    if (Job.Record_.Spec_.Repetitions_ > 0)
      RecurringJobs_.insert(&Job);
  }
  // A finished job also gets its occurrences: its runs that are still being
  // stopped are adopted into them.
  createDueOccurrences(Job);
  if (Progress)
    restoreLateStarts(Job, *Progress);
  if (isFinal(Job.State_))
    return;
  if (Progress) {
    for (const TaskPosition &Position : Progress->DoneTasks_) {
      createStartedOccurrence(Job, Position.Occurrence_);
      if (StepEntry *Step = findStep(Job, Position))
        completeTask(Job, *Step, Step->Tasks_[Position.Index_]);
    }
    for (const auto &[Position, Location] : Progress->Locations_) {
      createStartedOccurrence(Job, Position.Occurrence_);
      if (StepEntry *Step = findStep(Job, Position)) {
        TaskEntry &Task = Step->Tasks_[Position.Index_];
        Task.Location_ = Location;
      }
    }
    for (const auto &[Position, Unfinished] : Progress->UnfinishedTasks_) {
      createStartedOccurrence(Job, Position.Occurrence_);
      if (StepEntry *Step = findStep(Job, Position)) {
        Step->Tasks_[Position.Index_].FailedRuns_ = Unfinished.FailedRuns_;
        Step->Tasks_[Position.Index_].Checkpoint_ = Unfinished.Checkpoint_;
        restoreCrashes(Step->Tasks_[Position.Index_], Unfinished.Crashes_);
      }
    }
  }
  base::logEvent(
      base::LogLevel::Info, "job-known",
      {{"job", Id},
       {"queue", Job.Record_.Queue_},
       {"steps", static_cast<int64_t>(Job.Record_.Spec_.Steps_.size())},
       {"restored", Restored},
       {"revision", Revision},
       {"term", Settings_.Term_}});
  PlacementRequested_ = true;
}

void Coordinator::Impl::restoreProgress(JobEntry &Job,
                                        const JobProgress &Progress) {
  Job.State_ = Progress.State_;
  Job.FirstTerm_ = Progress.FirstTerm_;
  Job.DurableState_ = Progress.State_;
  Job.OccurrencesDone_ = Progress.OccurrencesDone_;
  Job.NextOccurrence_ = Progress.OccurrencesDone_;
  Job.Started_ = Progress.State_ != JobState::Queued;
  if (!isFinal(Job.State_))
    return;
  Job.FinishedWallTime_ = Progress.EndedAt_.value_or(Clock_.wallNow());
  Job.FinishedAt_ = now();
  FinishedJobs_.push_back(Job.Id_);
}

void Coordinator::Impl::createDueOccurrences(JobEntry &Job) {
  const JobSpec &Spec = Job.Record_.Spec_;
  if (Spec.Repetitions_ == 0) {
    if (Job.NextOccurrence_ == 0)
      createOccurrence(Job, Job.NextOccurrence_++);
    return;
  }
  while (Job.NextOccurrence_ < Spec.Repetitions_ &&
         Job.Occurrences_.size() < MaxOpenOccurrences &&
         Clock_.wallNow() >=
             Spec.FirstRun_ + Spec.Interval_ * Job.NextOccurrence_)
    createOccurrence(Job, Job.NextOccurrence_++);
}

// What has run was due by the clock of the coordinator that started it.
void Coordinator::Impl::createStartedOccurrence(JobEntry &Job,
                                                uint32_t Number) {
  uint32_t Last = std::max<uint32_t>(1, Job.Record_.Spec_.Repetitions_) - 1;
  while (Job.NextOccurrence_ <= std::min(Number, Last) &&
         Job.Occurrences_.size() < MaxOpenOccurrences)
    createOccurrence(Job, Job.NextOccurrence_++);
}

void Coordinator::Impl::createOccurrence(JobEntry &Job, uint32_t Number) {
  OccurrenceEntry &Occurrence = Job.Occurrences_[Number];
  Occurrence.Number_ = Number;
  const auto &Specs = Job.Record_.Spec_.Steps_;
  Occurrence.Steps_.resize(Specs.size());
  for (uint32_t S = 0; S < Specs.size(); ++S) {
    StepEntry &Step = Occurrence.Steps_[S];
    Step.Job_ = &Job;
    Step.Occurrence_ = Number;
    Step.Number_ = S;
    Step.Spec_ = &Specs[S];
    Step.Image_ = Pressure_.imageNumber(Specs[S].Image_);
    Step.Tasks_.resize(Specs[S].Count_);
    for (uint32_t I = 0; I < Step.Tasks_.size(); ++I)
      Step.Tasks_[I].Position_ = {Number, S, I};
  }
  releaseSteps(Occurrence);
}

void Coordinator::Impl::releaseSteps(OccurrenceEntry &Occurrence,
                                     const internal::TimeSpent &CriticalTime) {
  for (StepEntry &Step : Occurrence.Steps_) {
    if (Step.Released_)
      continue;
    const auto &Dependencies = Step.Spec_->Dependencies_;
    Step.Released_ = std::all_of(
        Dependencies.begin(), Dependencies.end(), [&](uint32_t Dependency) {
          return Occurrence.Steps_[Dependency].complete();
        });
    if (!Step.Released_)
      continue;
    Step.CriticalTime_ = CriticalTime;
    Step.StartsBeforeRelease_ = ReservedStarts_;
    bool IsFirstRelease = isFirstRelease(Occurrence, Dependencies);
    Step.FirstReleased_ = IsFirstRelease;
    for (TaskEntry &Task : Step.Tasks_) {
      Task.AccountedUntil_ = now();
      Task.Recovered_ = Task.Recovered_ || IsFirstRelease;
    }
    enqueueStep(Step);
  }
}

Coordinator::Impl::ReadyKey
Coordinator::Impl::readyKey(const StepEntry &Step) const {
  const QueueConfig *Queue = queueConfig(*Step.Job_);
  return {Queue != nullptr ? Queue->Priority_ : 0,
          Step.Job_->CompletionTarget_ + dueDelay(*Step.Job_, Step.Occurrence_),
          Step.Job_->Sequence_, Step.Occurrence_, Step.Number_};
}

void Coordinator::Impl::enqueueStep(StepEntry &Step) {
  if (!Step.Released_ || Step.complete() || isFinal(Step.Job_->State_))
    return;
  ReadySteps_[readyKey(Step)] = &Step;
  PlacementRequested_ = true;
}

void Coordinator::Impl::rebuildReadyQueue() {
  ++FleetVersion_;
  ReadySteps_.clear();
  for (auto &[Id, Job] : Jobs_) {
    if (isFinal(Job->State_))
      continue;
    updateCompletionTarget(*Job);
    for (auto &[Number, Occurrence] : Job->Occurrences_)
      for (StepEntry &Step : Occurrence.Steps_)
        enqueueStep(Step);
  }
}

void Coordinator::Impl::markStarted(JobEntry &Job) {
  if (!Job.Started_ && !isFinal(Job.State_))
    --WaitingJobs_[Job.Record_.Queue_];
  Job.Started_ = true;
  if (Job.State_ == JobState::Queued)
    Job.State_ = JobState::Running;
}

void Coordinator::Impl::completeTask(JobEntry &Job, StepEntry &Step,
                                     TaskEntry &Task) {
  if (Task.Done_)
    return;
  Task.Done_ = true;
  ++Step.DoneCount_;
  Task.Time_.add(internal::TimeUse::Run, now() - Task.AccountedUntil_);
  Task.AccountedUntil_ = now();
  markStarted(Job);
  for (RunEntry *Copy : std::vector<RunEntry *>(Task.Runs_))
    requestStop(*Copy, "another-copy-finished");
  if (!Step.complete())
    return;
  Step.CriticalTime_ += Task.Time_;
  completeStep(Job, Step);
}

void Coordinator::Impl::completeStep(JobEntry &Job, const StepEntry &Step) {
  OccurrenceEntry &Occurrence = Job.Occurrences_.at(Step.Occurrence_);
  ++Occurrence.StepsDone_;
  if (Occurrence.StepsDone_ < Occurrence.Steps_.size()) {
    releaseSteps(Occurrence, Step.CriticalTime_);
    return;
  }
  ++Job.OccurrencesDone_;
  if (Job.OccurrencesDone_ >=
      std::max<uint32_t>(1, Job.Record_.Spec_.Repetitions_))
    finishJob(Job, JobState::Completed, "all-tasks-done", Step.CriticalTime_);
}

void Coordinator::Impl::finishJob(JobEntry &Job, JobState State,
                                  const char *Reason,
                                  const internal::TimeSpent &CriticalTime) {
  if (isFinal(Job.State_))
    return;
  if (!Job.Started_)
    --WaitingJobs_[Job.Record_.Queue_];
  RecurringJobs_.erase(&Job);
  Job.State_ = State;
  Job.FinishedWallTime_ = Clock_.wallNow();
  Job.FinishedAt_ = now();
  FinishedJobs_.push_back(Job.Id_);
  if (std::any_of(ReservingSteps_.begin(), ReservingSteps_.end(),
                  [&](const StepEntry *Step) { return Step->Job_ == &Job; }))
    clearReservations();
  for (auto &[Number, Occurrence] : Job.Occurrences_)
    for (StepEntry &Step : Occurrence.Steps_) {
      ReadySteps_.erase(readyKey(Step));
      for (TaskEntry &Task : Step.Tasks_)
        for (RunEntry *Run : std::vector<RunEntry *>(Task.Runs_))
          requestStop(*Run, "job-ended");
    }
  Metrics_
      .counter("crocuslead_jobs_ended_total", "Jobs by final state.",
               {{"state", std::string(jobStateName(State))}})
      .add();
  logJobEnd(Job, Reason, CriticalTime);
  CommitUrgent_ = true;
  markDirty(Job);
}

void Coordinator::Impl::logJobEnd(const JobEntry &Job, const char *Reason,
                                  const internal::TimeSpent &CriticalTime) {
  using internal::TimeUse;
  const JobSpec &Spec = Job.Record_.Spec_;
  base::Duration Age = Job.FinishedWallTime_ - Job.Record_.AcceptedAt_;
  uint32_t LastOccurrence = std::max<uint32_t>(1, Spec.Repetitions_) - 1;
  base::Duration Lateness =
      now() - Job.CompletionTarget_ - dueDelay(Job, LastOccurrence);
  WorkMetrics_.recordEnd(Spec, {Job.State_, Age, Age - Lateness, CriticalTime});
  int64_t Tasks = 0;
  int64_t LargestTask = 0;
  for (const StepSpec &Step : Spec.Steps_) {
    Tasks += Step.Count_;
    LargestTask = std::max(LargestTask, Step.Request_.MilliCpu_);
  }
  auto Spent = [&](TimeUse Use) {
    return base::toMillis(CriticalTime.of(Use));
  };
  // A late end must not be left out when the log is over its budget.
  bool IsMiss = Job.State_ == JobState::Failed ||
                (Job.State_ == JobState::Completed && Lateness.count() > 0);
  base::logEvent(IsMiss ? base::LogLevel::Warn : base::LogLevel::Info,
                 "job-ended",
                 {{"job", Job.Id_},
                  {"queue", Job.Record_.Queue_},
                  {"state", jobStateName(Job.State_)},
                  {"reason", Reason},
                  {"age_ms", base::toMillis(Age)},
                  {"late_ms", base::toMillis(Lateness)},
                  {"tasks", Tasks},
                  {"largest_task_mcpu", LargestTask},
                  {"core_seconds", internal::declaredWork(Spec)},
                  {"capacity_ms", Spent(TimeUse::Capacity)},
                  {"recovery_ms", Spent(TimeUse::Recovery)},
                  {"lost_worker_ms", Spent(TimeUse::LostWorker)},
                  {"failed_run_ms", Spent(TimeUse::FailedRun)},
                  {"stopped_run_ms", Spent(TimeUse::StoppedRun)},
                  {"run_ms", Spent(TimeUse::Run)}});
}

void Coordinator::Impl::cancelJob(const std::string &Id) {
  if (JobEntry *Job = findJob(Id))
    finishJob(*Job, JobState::Cancelled, "cancelled-by-caller",
              unfinishedTime(*Job));
}

std::optional<JobState> Coordinator::Impl::state(const std::string &Id) const {
  auto It = Jobs_.find(Id);
  if (It == Jobs_.end())
    return std::nullopt;
  const JobEntry &Job = *It->second;
  // A cancellation has a durable record of its own.
  if (!isFinal(Job.State_) || Job.State_ == JobState::Cancelled ||
      Job.DurableState_ == Job.State_)
    return Job.State_;
  return JobState::Running;
}

std::size_t Coordinator::Impl::waitingJobs(const std::string &Queue) const {
  auto It = WaitingJobs_.find(Queue);
  return It == WaitingJobs_.end() ? 0 : It->second;
}

std::vector<std::string> Coordinator::Impl::takeExpiredJobs() {
  std::vector<std::string> Out;
  while (!FinishedJobs_.empty()) {
    JobEntry *Job = findJob(FinishedJobs_.front());
    if (Job != nullptr) {
      bool RetentionOver =
          now() - Job->FinishedAt_ >= Settings_.Times_.FinishedJobRetention_;
      bool HasRuns = false;
      for (auto &[Number, Occurrence] : Job->Occurrences_)
        for (StepEntry &Step : Occurrence.Steps_)
          for (TaskEntry &Task : Step.Tasks_)
            HasRuns = HasRuns || !Task.Runs_.empty();
      if (!RetentionOver || HasRuns || Job->CommitQueued_)
        break;
      Out.push_back(Job->Id_);
      Jobs_.erase(Job->Id_);
    }
    FinishedJobs_.pop_front();
  }
  return Out;
}

} // namespace crocuslead::jobs
