#include "partition/internal/Impl.h"

#include <algorithm>

namespace crocuslead::partition {

using cluster::CommandKind;

namespace {

constexpr uint32_t CancelledTasksPerTick = 200;
//! Delay before a task whose start or run failed is tried again; doubles.
constexpr base::Duration FailureDelay = std::chrono::seconds(1);
constexpr base::Duration MaxFailureDelay = std::chrono::minutes(5);
//! Delay before a start that the worker did not take is tried again.
constexpr base::Duration RefusedDelay = std::chrono::milliseconds(200);
//! A task that failed this often is refused, as work that can never run.
constexpr uint32_t MaxFailures = 20;

} // namespace

void Partition::Impl::evict(LiveTask &Task, const char *Reason,
                            base::TimePoint Now) {
  TaskState State = record(Task).State_;
  if (State != TaskState::Starting && State != TaskState::Running)
    return;
  TaskNumber Number = Task.Job_->FirstTask_ + Task.Index_;
  uint32_t Attempt = record(Task).Attempt_;
  log(nameOf(Task), "evict", Reason, Workers_[Task.Worker_].Id_);
  Task.StopSince_ = Now;
  stageTask(EntryKind::Evict, Task, {},
            [this, Number, Attempt](base::TimePoint) {
              auto Found = Tasks_.find(Number);
              if (Found != Tasks_.end() &&
                  record(Found->second).Attempt_ == Attempt &&
                  record(Found->second).State_ == TaskState::Evicting)
                queueCommand(Found->second, CommandKind::CheckpointStop);
            });
}

void Partition::Impl::endAttempt(LiveTask &Task, AttemptOutcome How,
                                 JournalEntry Change, const char *Reason,
                                 base::TimePoint Now) {
  TaskNumber Number = Task.Job_->FirstTask_ + Task.Index_;
  WorkerNumber Worker = Task.Worker_;
  std::string Name = nameOf(Task);
  std::string Job = Task.Job_->Id_;
  uint32_t Attempt = record(Task).Attempt_;
  std::string Key = Name + "#" + std::to_string(Attempt);
  Change.Outcome_ = How;
  // The worker keeps its record of the attempt until the end is durable.
  auto Durable = [this, Key, Worker, Name, Attempt](base::TimePoint) {
    Ending_.erase(Key);
    cluster::WorkerCommand Forget;
    Forget.Kind_ = CommandKind::Forget;
    Forget.Task_ = Name;
    Forget.Attempt_ = Attempt;
    Workers_[Worker].Outbox_.push_back(std::move(Forget));
  };
  if (!stageTask(EntryKind::End, Task, std::move(Change), Durable))
    return;
  Ending_.insert(Key);
  log(Name, How == AttemptOutcome::Finished ? "finish" : "end", Reason,
      Workers_[Worker].Id_);
  Workers_[Worker].Active_.erase(Number);
  Planner_.release(Number);
  Task.Dispatch_ = Dispatch::None;
  Task.EvictWanted_ = false;
  Task.ExpectedEnd_ = base::TimePoint::max();
  const JobRecord &Record = *State_.find(Job);
  if (Record.EndedMs_ == 0 && How != AttemptOutcome::Finished) {
    uint32_t Failures = Record.Tasks_[Task.Index_].Failures_;
    base::Duration Delay = RefusedDelay;
    if (How == AttemptOutcome::Failed)
      Delay = std::min(MaxFailureDelay,
                       FailureDelay * (1 << std::min(Failures, 10U)));
    Task.NotBefore_ = Now + Delay;
    evictGangOf(Task, Now);
    makePending(Task, Now);
    if (Failures >= MaxFailures)
      rejectJob(Task, "failed " + std::to_string(Failures) + " times", Now);
  } else if (Record.EndedMs_ == 0 && Record.Spec_.Gang_) {
    makeGangPending(*Task.Job_, Now);
  }
  settleJob(Job, Now);
}

void Partition::Impl::evictGangOf(const LiveTask &Task, base::TimePoint Now) {
  const JobRecord &Job = jobOf(Task);
  if (!Job.Spec_.Gang_ || Job.Cancelled_)
    return;
  for (uint32_t I = 0; I < Job.Tasks_.size(); ++I) {
    LiveTask &Other = Tasks_[Task.Job_->FirstTask_ + I];
    if (!holdsWorker(Job.Tasks_[I].State_))
      continue;
    Other.EvictWanted_ = true;
    if (Other.Dispatch_ != Dispatch::Undurable)
      evict(Other, "gang member ended", Now);
  }
}

void Partition::Impl::runCancels(base::TimePoint Now) {
  uint32_t Left = CancelledTasksPerTick;
  std::size_t Waiting = Cancels_.size();
  while (Left > 0 && Waiting-- > 0) {
    WaitingCancel Next = std::move(Cancels_.front());
    Cancels_.pop_front();
    uint32_t Done = cancelSlice(Next, Left, Now);
    Left -= std::min(Left, Done);
    if (!Next.Done_)
      Cancels_.push_back(std::move(Next));
  }
}

// Returns the number of tasks that were handled.
uint32_t Partition::Impl::cancelSlice(WaitingCancel &Cancel, uint32_t Limit,
                                      base::TimePoint Now) {
  const JobRecord *Job = State_.find(Cancel.Job_);
  uint64_t Call = Cancel.Call_;
  std::string Id = Cancel.Job_;
  if (Job == nullptr || Job->EndedMs_ != 0) {
    answer(Call, std::nullopt, Id);
    Cancel.Done_ = true;
    return 1;
  }
  LiveJob &Live = LiveJobs_.at(Id);
  auto Size = static_cast<uint32_t>(Job->Tasks_.size());
  uint32_t End = std::min(Size, Cancel.NextTask_ + Limit);
  for (uint32_t I = Cancel.NextTask_; I < End; ++I)
    if (Tasks_[Live.FirstTask_ + I].Dispatch_ == Dispatch::Undurable)
      return 0;
  for (uint32_t I = Cancel.NextTask_; I < End; ++I) {
    LiveTask &Task = Tasks_[Live.FirstTask_ + I];
    Task.StopSince_ = Now;
    if (Task.InPlanner_)
      Planner_.removePending(Live.FirstTask_ + I);
    Task.InPlanner_ = false;
  }
  JournalEntry Change;
  Change.Kind_ = EntryKind::Cancel;
  Change.Job_ = Id;
  Change.Task_ = Cancel.NextTask_;
  Change.Number_ = End;
  Change.TimeMs_ = wallMs();
  uint32_t First = Cancel.NextTask_;
  bool Last = End == Size;
  stage(std::move(Change), Job->Spec_.Urgent_,
        [this, Id, First, End, Last, Call](base::TimePoint) {
          auto Found = LiveJobs_.find(Id);
          for (uint32_t I = First; Found != LiveJobs_.end() && I < End; ++I) {
            LiveTask &Task = Tasks_[Found->second.FirstTask_ + I];
            if (record(Task).State_ == TaskState::Stopping)
              queueCommand(Task, CommandKind::Stop);
          }
          if (Last)
            answer(Call, std::nullopt, Id);
        });
  log(Id, "cancel", "operator");
  Cancel.NextTask_ = End;
  Cancel.Done_ = Last;
  settleJob(Id, Now);
  return End - First;
}

} // namespace crocuslead::partition
