#include "partition/internal/Impl.h"

#include <algorithm>

namespace crocuslead::partition {

using cluster::CommandKind;

namespace {

constexpr uint32_t MaxCancelledTasksPerTick = 200;
//! Backoff after the first failed start or run of a task; doubles with each
//! further failure.
constexpr base::Duration InitialFailureBackoff = std::chrono::seconds(1);
constexpr uint32_t MaxBackoffDoublings = 10;
constexpr base::Duration MaxFailureBackoff = std::chrono::minutes(5);
//! Backoff after an attempt that ended without a failure of its own, such as a
//! start that the worker refused.
constexpr base::Duration RetryBackoff = std::chrono::milliseconds(200);
//! A job is rejected when one of its tasks has failed this often, because the
//! task presumably can never run.
constexpr uint32_t MaxTaskFailures = 20;

} // namespace

void Partition::Impl::evict(LiveTask &Task, const char *Reason,
                            base::TimePoint Now) {
  TaskState State = taskRecord(Task).State_;
  if (State != TaskState::Starting && State != TaskState::Running)
    return;
  TaskNumber Number = Task.Job_->FirstTask_ + Task.Index_;
  uint32_t Attempt = taskRecord(Task).Attempt_;
  logDecision(taskName(Task), "evict", Reason, Workers_[Task.Worker_].Id_);
  Task.StopRequestedAt_ = Now;
  stageTaskEntry(EntryKind::Evict, Task, {},
                 [this, Number, Attempt](base::TimePoint) {
                   auto Found = Tasks_.find(Number);
                   if (Found != Tasks_.end() &&
                       taskRecord(Found->second).Attempt_ == Attempt &&
                       taskRecord(Found->second).State_ == TaskState::Evicting)
                     queueCommand(Found->second, CommandKind::CheckpointStop);
                 });
}

void Partition::Impl::endAttempt(LiveTask &Task, AttemptOutcome Outcome,
                                 JournalEntry Entry, const char *Reason,
                                 base::TimePoint Now) {
  TaskNumber Number = Task.Job_->FirstTask_ + Task.Index_;
  WorkerNumber Worker = Task.Worker_;
  std::string Name = taskName(Task);
  std::string JobId = Task.Job_->Id_;
  uint32_t Attempt = taskRecord(Task).Attempt_;
  std::string AttemptKey = Name + "#" + std::to_string(Attempt);
  Entry.Outcome_ = Outcome;
  // The worker keeps its record of the attempt until it is told to forget it,
  // which must not happen before the end is durable.
  auto OnDurable = [this, AttemptKey, Worker, Name, Attempt](base::TimePoint) {
    EndingAttempts_.erase(AttemptKey);
    cluster::WorkerCommand Forget;
    Forget.Kind_ = CommandKind::Forget;
    Forget.Task_ = Name;
    Forget.Attempt_ = Attempt;
    Workers_[Worker].Outbox_.push_back(std::move(Forget));
  };
  if (!stageTaskEntry(EntryKind::End, Task, std::move(Entry), OnDurable))
    return;
  EndingAttempts_.insert(AttemptKey);
  logDecision(Name, Outcome == AttemptOutcome::Finished ? "finish" : "end",
              Reason, Workers_[Worker].Id_);
  Workers_[Worker].ActiveTasks_.erase(Number);
  Planner_.release(Number);
  Task.Dispatch_ = DispatchState::None;
  Task.EvictionRequested_ = false;
  Task.ExpectedEnd_ = base::TimePoint::max();
  const JobRecord &Record = *State_.find(JobId);
  if (Record.EndedMs_ == 0 && Outcome != AttemptOutcome::Finished) {
    uint32_t Failures = Record.Tasks_[Task.Index_].Failures_;
    base::Duration Delay = RetryBackoff;
    if (Outcome == AttemptOutcome::Failed)
      Delay = std::min(MaxFailureBackoff,
                       InitialFailureBackoff *
                           (1 << std::min(Failures, MaxBackoffDoublings)));
    Task.NotBefore_ = Now + Delay;
    evictGang(Task, Now);
    queueTask(Task, Now);
    if (Failures >= MaxTaskFailures)
      rejectJob(Task, "failed " + std::to_string(Failures) + " times", Now);
  } else if (Record.EndedMs_ == 0 && Record.Spec_.Gang_) {
    queueGang(*Task.Job_, Now);
  }
  refreshLiveJob(JobId, Now);
}

void Partition::Impl::evictGang(const LiveTask &Task, base::TimePoint Now) {
  const JobRecord &Job = jobRecord(Task);
  if (!Job.Spec_.Gang_ || Job.Cancelled_)
    return;
  for (uint32_t I = 0; I < Job.Tasks_.size(); ++I) {
    LiveTask &Other = Tasks_[Task.Job_->FirstTask_ + I];
    if (!holdsWorker(Job.Tasks_[I].State_))
      continue;
    Other.EvictionRequested_ = true;
    if (Other.Dispatch_ != DispatchState::Uncommitted)
      evict(Other, "gang member ended", Now);
  }
}

void Partition::Impl::processCancellations(base::TimePoint Now) {
  uint32_t Remaining = MaxCancelledTasksPerTick;
  std::size_t Unvisited = PendingCancellations_.size();
  while (Remaining > 0 && Unvisited-- > 0) {
    PendingCancellation Cancellation = std::move(PendingCancellations_.front());
    PendingCancellations_.pop_front();
    uint32_t Handled = cancelTaskRange(Cancellation, Remaining, Now);
    Remaining -= std::min(Remaining, Handled);
    if (!Cancellation.Done_)
      PendingCancellations_.push_back(std::move(Cancellation));
  }
}

// Returns the number of tasks that count towards the limit per tick.
uint32_t Partition::Impl::cancelTaskRange(PendingCancellation &Cancellation,
                                          uint32_t Limit, base::TimePoint Now) {
  const JobRecord *Job = State_.find(Cancellation.Job_);
  uint64_t Call = Cancellation.Call_;
  std::string Id = Cancellation.Job_;
  if (Job == nullptr || Job->EndedMs_ != 0) {
    answerCall(Call, std::nullopt, Id);
    Cancellation.Done_ = true;
    return 1;
  }
  LiveJob &Live = LiveJobs_.at(Id);
  auto TaskCount = static_cast<uint32_t>(Job->Tasks_.size());
  uint32_t End = std::min(TaskCount, Cancellation.NextTask_ + Limit);
  for (uint32_t I = Cancellation.NextTask_; I < End; ++I)
    if (Tasks_[Live.FirstTask_ + I].Dispatch_ == DispatchState::Uncommitted)
      return 0;
  for (uint32_t I = Cancellation.NextTask_; I < End; ++I) {
    LiveTask &Task = Tasks_[Live.FirstTask_ + I];
    Task.StopRequestedAt_ = Now;
    if (Task.InPlanner_)
      Planner_.removePending(Live.FirstTask_ + I);
    Task.InPlanner_ = false;
  }
  JournalEntry Entry;
  Entry.Kind_ = EntryKind::Cancel;
  Entry.Job_ = Id;
  Entry.Task_ = Cancellation.NextTask_;
  Entry.Number_ = End;
  Entry.TimeMs_ = wallClockMs();
  uint32_t First = Cancellation.NextTask_;
  bool Last = End == TaskCount;
  stage(std::move(Entry), Job->Spec_.Urgent_,
        [this, Id, First, End, Last, Call](base::TimePoint) {
          auto Found = LiveJobs_.find(Id);
          for (uint32_t I = First; Found != LiveJobs_.end() && I < End; ++I) {
            LiveTask &Task = Tasks_[Found->second.FirstTask_ + I];
            if (taskRecord(Task).State_ == TaskState::Stopping)
              queueCommand(Task, CommandKind::Stop);
          }
          if (Last)
            answerCall(Call, std::nullopt, Id);
        });
  logDecision(Id, "cancel", "operator");
  Cancellation.NextTask_ = End;
  Cancellation.Done_ = Last;
  refreshLiveJob(Id, Now);
  return End - First;
}

} // namespace crocuslead::partition
