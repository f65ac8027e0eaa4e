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

//! Applies the event to the task's state chart; returns false when the chart
//! refuses it.
bool applyEvent(TaskRecord &Task, TaskEvent Event) {
  auto Next = taskChart().next(Task.State_, Event);
  if (Next)
    Task.State_ = *Next;
  return Next.has_value();
}

bool isEnded(const TaskRecord &Task) {
  return Task.State_ == TaskState::Finished ||
         Task.State_ == TaskState::Cancelled;
}

std::tm toUtc(int64_t WallMs) {
  std::time_t Seconds = WallMs / 1000;
  std::tm Out{};
  gmtime_r(&Seconds, &Out);
  return Out;
}

} // namespace

std::string periodOf(int64_t WallMs) {
  std::tm Date = toUtc(WallMs);
  char Buffer[32];
  std::snprintf(Buffer, sizeof(Buffer), "%04d-%02d", Date.tm_year + 1900,
                Date.tm_mon + 1);
  return Buffer;
}

int64_t nextPeriodStart(int64_t WallMs) {
  std::tm Date = toUtc(WallMs);
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

UsageRow &DurableState::usageRow(int64_t AtMs, const std::string &Workspace) {
  std::string Period = periodOf(AtMs);
  UsageRow &Row = Usage_[{Period, Workspace}];
  Row.Period_ = Period;
  Row.Workspace_ = Workspace;
  return Row;
}

bool DurableState::apply(const JournalEntry &Entry) {
  switch (Entry.Kind_) {
  case EntryKind::Submit:
  case EntryKind::Accepted: {
    auto Job = decodeJob(Entry.Text_);
    if (!Job)
      return false;
    restoreJob(std::move(*Job));
    return true;
  }
  case EntryKind::Accrue:
    applyAccrue(Entry);
    return true;
  case EntryKind::Prune:
    while (!Ended_.empty() && Ended_.begin()->first <= Entry.Number_) {
      Jobs_.erase(Ended_.begin()->second);
      Ended_.erase(Ended_.begin());
    }
    return true;
  default:
    break;
  }
  JobRecord *Job = find(Entry.Job_);
  return Job != nullptr && Job->EndedMs_ == 0 && applyTask(*Job, Entry);
}

bool DurableState::applyTask(JobRecord &Job, const JournalEntry &Entry) {
  switch (Entry.Kind_) {
  case EntryKind::Cancel:
    applyCancel(Job, Entry);
    return true;
  case EntryKind::Reject:
    for (TaskRecord &Task : Job.Tasks_)
      applyEvent(Task, TaskEvent::Reject);
    Job.RejectReason_ = Entry.Text_;
    endJob(Job, JobState::Rejected, Entry.TimeMs_);
    return true;
  case EntryKind::Offered:
    Job.TransferPhase_ = TransferPhase::Offered;
    Job.TransferTo_ = Entry.Text_;
    Job.TransferNumber_ = static_cast<uint64_t>(Entry.Number_);
    return true;
  case EntryKind::Moved:
    for (TaskRecord &Task : Job.Tasks_)
      applyEvent(Task, TaskEvent::Move);
    Job.TransferPhase_ = TransferPhase::Moved;
    endJob(Job, JobState::Transferred, Entry.TimeMs_);
    return true;
  default:
    break;
  }
  if (Entry.Task_ >= Job.Tasks_.size())
    return false;
  TaskRecord &Task = Job.Tasks_[Entry.Task_];
  if (Entry.Kind_ == EntryKind::Start)
    return applyStart(Task, Entry);
  if (Entry.Attempt_ != Task.Attempt_ || !holdsWorker(Task.State_))
    return false;
  switch (Entry.Kind_) {
  case EntryKind::Started:
    if (!applyEvent(Task, TaskEvent::Started))
      return false;
    Task.HeldCountedUntilMs_ = Task.StartMs_;
    return true;
  case EntryKind::Evict:
    return applyEvent(Task, TaskEvent::Evict);
  case EntryKind::Usage:
    addUsage(Job, Task, Entry);
    return true;
  case EntryKind::End:
    applyEnd(Job, Task, Entry);
    return true;
  default:
    return false;
  }
}

bool DurableState::applyStart(TaskRecord &Task, const JournalEntry &Entry) {
  if (Entry.Attempt_ != Task.Attempt_ + 1 ||
      !applyEvent(Task, TaskEvent::Start))
    return false;
  Task.Attempt_ = Entry.Attempt_;
  Task.Worker_ = Entry.Text_;
  Task.StartMs_ = Entry.TimeMs_;
  Task.UsageCountedUntilMs_ = Entry.TimeMs_;
  Task.HeldCountedUntilMs_ = 0;
  Task.CountedCpuMillis_ = 0;
  return true;
}

void DurableState::withdrawStart(const JournalEntry &Start) {
  JobRecord *Job = find(Start.Job_);
  if (Job == nullptr || Start.Task_ >= Job->Tasks_.size())
    return;
  TaskRecord &Task = Job->Tasks_[Start.Task_];
  if (Task.Attempt_ != Start.Attempt_ || !applyEvent(Task, TaskEvent::Withdraw))
    return;
  --Task.Attempt_;
  Task.Worker_.clear();
  Task.StartMs_ = Task.UsageCountedUntilMs_ = 0;
}

void DurableState::addUsage(const JobRecord &Job, TaskRecord &Task,
                            const JournalEntry &Entry) {
  if (Entry.Number_ > Task.CountedCpuMillis_) {
    usageRow(Entry.TimeMs_, Job.Spec_.Workspace_).UsedCpuMillis_ +=
        Entry.Number_ - Task.CountedCpuMillis_;
    Task.CountedCpuMillis_ = Entry.Number_;
  }
  Task.UsageCountedUntilMs_ =
      std::max(Task.UsageCountedUntilMs_, Entry.TimeMs_);
  if (!Entry.Text_.empty())
    Task.Checkpoint_ = Entry.Text_;
}

void DurableState::addHeldTime(const JobRecord &Job, TaskRecord &Task,
                               int64_t ToMs) {
  if (Task.HeldCountedUntilMs_ == 0 || ToMs <= Task.HeldCountedUntilMs_)
    return;
  usageRow(ToMs, Job.Spec_.Workspace_).HeldCpuMillis_ +=
      Job.Spec_.PerTask_.MilliCpu_ * (ToMs - Task.HeldCountedUntilMs_) / 1000;
  Task.HeldCountedUntilMs_ = ToMs;
}

void DurableState::applyEnd(JobRecord &Job, TaskRecord &Task,
                            const JournalEntry &Entry) {
  addUsage(Job, Task, Entry);
  if (Task.HeldCountedUntilMs_ == 0 &&
      Entry.Outcome_ != AttemptOutcome::NotStarted)
    Task.HeldCountedUntilMs_ = Task.StartMs_;
  addHeldTime(Job, Task, Entry.TimeMs_);
  UsageRow &Row = usageRow(Entry.TimeMs_, Job.Spec_.Workspace_);
  Row.UsedCpuMillis_ += Entry.EstimatedCpuMillis_;
  Row.EstimatedCpuMillis_ += Entry.EstimatedCpuMillis_;
  bool Finished = Entry.Outcome_ == AttemptOutcome::Finished;
  if (Task.State_ == TaskState::Evicting && !Finished &&
      Entry.Outcome_ != AttemptOutcome::NotStarted) {
    ++Task.Evictions_;
    ++Row.Evictions_;
  }
  if (Entry.Outcome_ == AttemptOutcome::Failed)
    ++Task.Failures_;
  applyEvent(Task, Finished ? TaskEvent::Finish : TaskEvent::End);
  Task.Worker_.clear();
  Task.StartMs_ = Task.HeldCountedUntilMs_ = Task.UsageCountedUntilMs_ =
      Task.CountedCpuMillis_ = 0;
  endJobIfDone(Job, Entry.TimeMs_);
}

void DurableState::applyCancel(JobRecord &Job, const JournalEntry &Entry) {
  Job.Cancelled_ = true;
  auto End = std::min<std::size_t>(static_cast<std::size_t>(Entry.Number_),
                                   Job.Tasks_.size());
  for (std::size_t I = Entry.Task_; I < End; ++I)
    applyEvent(Job.Tasks_[I], TaskEvent::Cancel);
  endJobIfDone(Job, Entry.TimeMs_);
}

void DurableState::applyAccrue(const JournalEntry &Entry) {
  for (const auto &[Workspace, Granted] : Entry.GrantedByWorkspace_)
    usageRow(Entry.TimeMs_, Workspace).GrantedCpuMillis_ += Granted;
  for (auto &[Id, Job] : Jobs_)
    for (TaskRecord &Task : Job.Tasks_)
      if (holdsWorker(Task.State_))
        addHeldTime(Job, Task, Entry.TimeMs_);
  AccruedUntilMs_ = std::max(AccruedUntilMs_, Entry.TimeMs_);
}

void DurableState::endJobIfDone(JobRecord &Job, int64_t AtMs) {
  if (!std::all_of(Job.Tasks_.begin(), Job.Tasks_.end(), isEnded))
    return;
  endJob(Job, Job.Cancelled_ ? JobState::Cancelled : JobState::Finished, AtMs);
}

void DurableState::endJob(JobRecord &Job, JobState FinalState, int64_t AtMs) {
  Job.FinalState_ = FinalState;
  // 0 means that the job has not ended, so an end at the clock's epoch is
  // stored as 1 ms.
  Job.EndedMs_ = std::max<int64_t>(AtMs, 1);
  Job.Tasks_.clear();
  Job.Tasks_.shrink_to_fit();
  // Ended jobs make up most of a snapshot, so only the fields are kept that are
  // needed to recognise a repeated submission and to answer a query.
  Job.Spec_.Kind_.clear();
  Job.Spec_.PerTask_ = {};
  Job.Spec_.RunTimeMs_ = 0;
  Ended_.insert({Job.EndedMs_, Job.Spec_.Id_});
}

} // namespace crocuslead::partition
