#include "partition/internal/State.h"

#include "partition/internal/Codec.h"

#include <algorithm>
#include <cstdio>
#include <ctime>

namespace crocuslead::partition {

const chart::BoundChart<TaskState, TaskEvent> &taskChart() {
  static const chart::BoundChart<TaskState, TaskEvent> Chart(
      "task", TaskStateNames, TaskEventNames);
  return Chart;
}

namespace {

//! Moves the task along the chart; false when the chart refuses the event.
bool step(TaskRecord &Task, TaskEvent Event) {
  auto Next = taskChart().next(Task.State_, Event);
  if (Next)
    Task.State_ = *Next;
  return Next.has_value();
}

bool isEnded(const TaskRecord &Task) {
  return Task.State_ == TaskState::Finished ||
         Task.State_ == TaskState::Cancelled;
}

std::tm utcOf(int64_t WallMs) {
  std::time_t Seconds = WallMs / 1000;
  std::tm Out{};
  gmtime_r(&Seconds, &Out);
  return Out;
}

} // namespace

std::string periodOf(int64_t WallMs) {
  std::tm Date = utcOf(WallMs);
  char Buffer[32];
  std::snprintf(Buffer, sizeof(Buffer), "%04d-%02d", Date.tm_year + 1900,
                Date.tm_mon + 1);
  return Buffer;
}

int64_t nextPeriodStart(int64_t WallMs) {
  std::tm Date = utcOf(WallMs);
  std::tm Next{};
  Next.tm_year = Date.tm_year + (Date.tm_mon == 11 ? 1 : 0);
  Next.tm_mon = (Date.tm_mon + 1) % 12;
  Next.tm_mday = 1;
  return static_cast<int64_t>(timegm(&Next)) * 1000;
}

JobRecord *DurableState::find(const std::string &Job) {
  auto Found = Jobs_.find(Job);
  return Found == Jobs_.end() ? nullptr : &Found->second;
}

const JobRecord *DurableState::find(const std::string &Job) const {
  auto Found = Jobs_.find(Job);
  return Found == Jobs_.end() ? nullptr : &Found->second;
}

void DurableState::restoreJob(JobRecord Job) {
  std::string Id = Job.Spec_.Id_;
  if (JobRecord *Old = find(Id); Old != nullptr && Old->EndedMs_ != 0)
    Ended_.erase({Old->EndedMs_, Id});
  if (Job.EndedMs_ != 0)
    Ended_.insert({Job.EndedMs_, Id});
  Jobs_[Id] = std::move(Job);
}

UsageRow &DurableState::row(int64_t AtMs, const std::string &Workspace) {
  std::string Period = periodOf(AtMs);
  UsageRow &Row = Usage_[{Period, Workspace}];
  Row.Period_ = Period;
  Row.Workspace_ = Workspace;
  return Row;
}

bool DurableState::apply(const JournalEntry &Change) {
  switch (Change.Kind_) {
  case EntryKind::Submit:
  case EntryKind::Accepted: {
    auto Job = decodeJob(Change.Text_);
    if (!Job)
      return false;
    restoreJob(std::move(*Job));
    return true;
  }
  case EntryKind::Accrue:
    applyAccrue(Change);
    return true;
  case EntryKind::Prune:
    while (!Ended_.empty() && Ended_.begin()->first <= Change.Number_) {
      Jobs_.erase(Ended_.begin()->second);
      Ended_.erase(Ended_.begin());
    }
    return true;
  default:
    break;
  }
  JobRecord *Job = find(Change.Job_);
  return Job != nullptr && Job->EndedMs_ == 0 && applyTask(*Job, Change);
}

bool DurableState::applyTask(JobRecord &Job, const JournalEntry &Change) {
  switch (Change.Kind_) {
  case EntryKind::Cancel:
    applyCancel(Job, Change);
    return true;
  case EntryKind::Reject:
    for (TaskRecord &Task : Job.Tasks_)
      step(Task, TaskEvent::Reject);
    Job.RejectReason_ = Change.Text_;
    endJob(Job, JobState::Rejected, Change.TimeMs_);
    return true;
  case EntryKind::Offered:
    Job.TransferPhase_ = TransferPhase::Offered;
    Job.TransferTo_ = Change.Text_;
    Job.TransferNumber_ = static_cast<uint64_t>(Change.Number_);
    return true;
  case EntryKind::Moved:
    for (TaskRecord &Task : Job.Tasks_)
      step(Task, TaskEvent::Move);
    Job.TransferPhase_ = TransferPhase::Moved;
    endJob(Job, JobState::Transferred, Change.TimeMs_);
    return true;
  default:
    break;
  }
  if (Change.Task_ >= Job.Tasks_.size())
    return false;
  TaskRecord &Task = Job.Tasks_[Change.Task_];
  if (Change.Kind_ == EntryKind::Start)
    return applyStart(Task, Change);
  if (Change.Attempt_ != Task.Attempt_ || !holdsWorker(Task.State_))
    return false;
  switch (Change.Kind_) {
  case EntryKind::Started:
    if (!step(Task, TaskEvent::Started))
      return false;
    Task.HeldCountedUntilMs_ = Task.StartMs_;
    return true;
  case EntryKind::Evict:
    return step(Task, TaskEvent::Evict);
  case EntryKind::Usage:
    countUse(Job, Task, Change);
    return true;
  case EntryKind::End:
    applyEnd(Job, Task, Change);
    return true;
  default:
    return false;
  }
}

bool DurableState::applyStart(TaskRecord &Task, const JournalEntry &Change) {
  if (Change.Attempt_ != Task.Attempt_ + 1 || !step(Task, TaskEvent::Start))
    return false;
  Task.Attempt_ = Change.Attempt_;
  Task.Worker_ = Change.Text_;
  Task.StartMs_ = Change.TimeMs_;
  Task.UsageCountedUntilMs_ = Change.TimeMs_;
  Task.HeldCountedUntilMs_ = 0;
  Task.CountedCpuMillis_ = 0;
  return true;
}

void DurableState::withdrawStart(const JournalEntry &Start) {
  JobRecord *Job = find(Start.Job_);
  if (Job == nullptr || Start.Task_ >= Job->Tasks_.size())
    return;
  TaskRecord &Task = Job->Tasks_[Start.Task_];
  if (Task.Attempt_ != Start.Attempt_ || !step(Task, TaskEvent::Withdraw))
    return;
  --Task.Attempt_;
  Task.Worker_.clear();
  Task.StartMs_ = Task.UsageCountedUntilMs_ = 0;
}

void DurableState::countUse(const JobRecord &Job, TaskRecord &Task,
                            const JournalEntry &Change) {
  if (Change.Number_ > Task.CountedCpuMillis_) {
    row(Change.TimeMs_, Job.Spec_.Workspace_).UsedCpuMillis_ +=
        Change.Number_ - Task.CountedCpuMillis_;
    Task.CountedCpuMillis_ = Change.Number_;
  }
  Task.UsageCountedUntilMs_ =
      std::max(Task.UsageCountedUntilMs_, Change.TimeMs_);
  if (!Change.Text_.empty())
    Task.Checkpoint_ = Change.Text_;
}

void DurableState::countHeld(const JobRecord &Job, TaskRecord &Task,
                             int64_t ToMs) {
  if (Task.HeldCountedUntilMs_ == 0 || ToMs <= Task.HeldCountedUntilMs_)
    return;
  row(ToMs, Job.Spec_.Workspace_).HeldCpuMillis_ +=
      Job.Spec_.PerTask_.MilliCpu_ * (ToMs - Task.HeldCountedUntilMs_) / 1000;
  Task.HeldCountedUntilMs_ = ToMs;
}

void DurableState::applyEnd(JobRecord &Job, TaskRecord &Task,
                            const JournalEntry &Change) {
  countUse(Job, Task, Change);
  if (Task.HeldCountedUntilMs_ == 0 &&
      Change.Outcome_ != AttemptOutcome::NotStarted)
    Task.HeldCountedUntilMs_ = Task.StartMs_;
  countHeld(Job, Task, Change.TimeMs_);
  UsageRow &Row = row(Change.TimeMs_, Job.Spec_.Workspace_);
  Row.UsedCpuMillis_ += Change.EstimatedCpuMillis_;
  Row.EstimatedCpuMillis_ += Change.EstimatedCpuMillis_;
  bool Finished = Change.Outcome_ == AttemptOutcome::Finished;
  if (Task.State_ == TaskState::Evicting && !Finished &&
      Change.Outcome_ != AttemptOutcome::NotStarted) {
    ++Task.Evictions_;
    ++Row.Evictions_;
  }
  if (Change.Outcome_ == AttemptOutcome::Failed)
    ++Task.Failures_;
  step(Task, Finished ? TaskEvent::Finish : TaskEvent::End);
  Task.Worker_.clear();
  Task.StartMs_ = Task.HeldCountedUntilMs_ = Task.UsageCountedUntilMs_ =
      Task.CountedCpuMillis_ = 0;
  endIfDone(Job, Change.TimeMs_);
}

void DurableState::applyCancel(JobRecord &Job, const JournalEntry &Change) {
  Job.Cancelled_ = true;
  auto End = std::min<std::size_t>(static_cast<std::size_t>(Change.Number_),
                                   Job.Tasks_.size());
  for (std::size_t I = Change.Task_; I < End; ++I)
    step(Job.Tasks_[I], TaskEvent::Cancel);
  endIfDone(Job, Change.TimeMs_);
}

void DurableState::applyAccrue(const JournalEntry &Change) {
  for (const auto &[Workspace, Granted] : Change.GrantedByWorkspace_)
    row(Change.TimeMs_, Workspace).GrantedCpuMillis_ += Granted;
  for (auto &[Id, Job] : Jobs_)
    for (TaskRecord &Task : Job.Tasks_)
      if (holdsWorker(Task.State_))
        countHeld(Job, Task, Change.TimeMs_);
  AccruedUntilMs_ = std::max(AccruedUntilMs_, Change.TimeMs_);
}

void DurableState::endIfDone(JobRecord &Job, int64_t AtMs) {
  if (!std::all_of(Job.Tasks_.begin(), Job.Tasks_.end(), isEnded))
    return;
  endJob(Job, Job.Cancelled_ ? JobState::Cancelled : JobState::Finished, AtMs);
}

void DurableState::endJob(JobRecord &Job, JobState How, int64_t AtMs) {
  Job.FinalState_ = How;
  // 0 marks a living job, so an end at the epoch of the clock counts as 1 ms.
  Job.EndedMs_ = std::max<int64_t>(AtMs, 1);
  Job.Tasks_.clear();
  Job.Tasks_.shrink_to_fit();
  // Only what tells a repeated submission and a query stays: ended jobs are
  // most of a snapshot.
  Job.Spec_.Kind_.clear();
  Job.Spec_.PerTask_ = {};
  Job.Spec_.RunTimeMs_ = 0;
  Ended_.insert({Job.EndedMs_, Job.Spec_.Id_});
}

} // namespace crocuslead::partition
