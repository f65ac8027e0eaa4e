#include "partition/internal/Impl.h"

#include "partition/internal/Codec.h"

#include <algorithm>
#include <cstdlib>

namespace crocuslead::partition {

namespace {

constexpr std::size_t MaxDecisionLogEntries = 4096;
constexpr uint32_t MaxTasksPerJob = 20'000;
constexpr std::size_t MaxJobIdLength = 200;
//! When the last store contact is older, no job is accepted and no task is
//! started.
constexpr base::Duration MaxStoreContactAge = std::chrono::seconds(5);

} // namespace

Partition::Impl::Impl(PartitionSettings Settings)
    : Settings_(std::move(Settings)),
      Journal_(Settings_, State_,
               {[this](const JournalEntry &Start) { withdrawStart(Start); },
                [this](Action Value) { Actions_.push_back(std::move(Value)); },
                [this](base::TimePoint At) { recordStoreContact(At); }}),
      Planner_(Settings_.Policy_) {}

base::Result<void>
Partition::Impl::recover(const std::vector<store::KeyValue> &Stored,
                         base::TimePoint Now, base::WallTime Wall) {
  Now_ = WallReadAt_ = TakeoverAt_ = LastStoreContact_ = Now;
  Wall_ = Wall;
  if (!taskChart().valid())
    return base::fail(base::ErrorKind::Internal,
                      "state chart 'task' does not match the code");
  if (!Journal_.recover(Stored))
    return base::fail(base::ErrorKind::Internal,
                      "partition " + Settings_.Id_ +
                          ": a stored key cannot be decoded or is missing");
  NextAccrualAt_ = Now;
  restoreHandover(Stored);
  for (const auto &[Id, Job] : State_.jobs())
    if (Job.EndedMs_ == 0) {
      addLiveJob(Job, Now);
      // The former owner may have cancelled only some of the tasks: continue.
      if (Job.Cancelled_)
        PendingCancellations_.push_back({0, Id, 0, false});
    }
  return {};
}

int64_t Partition::Impl::wallClockMs() const {
  return Wall_.time_since_epoch().count() + base::toMillis(Now_ - WallReadAt_);
}

bool Partition::Impl::hasRecentStoreContact(base::TimePoint Now) const {
  return Now - LastStoreContact_ <= MaxStoreContactAge;
}

void Partition::Impl::recordStoreContact(base::TimePoint At) {
  LastStoreContact_ = std::max(LastStoreContact_, At);
}

bool Partition::Impl::stage(JournalEntry Entry, bool Urgent,
                            std::function<void(base::TimePoint)> OnDurable) {
  if (!State_.apply(Entry))
    return false;
  StagedEntry Staged;
  Staged.Entry_ = std::move(Entry);
  Staged.Urgent_ = Urgent;
  Staged.OnDurable_ = std::move(OnDurable);
  Journal_.stage(std::move(Staged));
  return true;
}

bool Partition::Impl::stageTaskEntry(
    EntryKind Kind, const LiveTask &Task, JournalEntry Entry,
    std::function<void(base::TimePoint)> OnDurable) {
  const JobRecord &Job = jobRecord(Task);
  Entry.Kind_ = Kind;
  Entry.Job_ = Job.Spec_.Id_;
  Entry.Task_ = Task.Index_;
  Entry.TimeMs_ = wallClockMs();
  if (Entry.Attempt_ == 0)
    Entry.Attempt_ = Job.Tasks_[Task.Index_].Attempt_;
  return stage(std::move(Entry), Job.Spec_.Urgent_, std::move(OnDurable));
}

TaskRecord &Partition::Impl::taskRecord(const LiveTask &Task) {
  return State_.find(Task.Job_->Id_)->Tasks_[Task.Index_];
}

const JobRecord &Partition::Impl::jobRecord(const LiveTask &Task) const {
  return *State_.find(Task.Job_->Id_);
}

std::string Partition::Impl::taskName(const LiveTask &Task) const {
  return Task.Job_->Id_ + "/" + std::to_string(Task.Index_);
}

LiveTask *Partition::Impl::findTask(const std::string &Name) {
  auto Slash = Name.rfind('/');
  if (Slash == std::string::npos)
    return nullptr;
  auto Job = LiveJobs_.find(Name.substr(0, Slash));
  if (Job == LiveJobs_.end())
    return nullptr;
  auto Index = std::strtoul(Name.c_str() + Slash + 1, nullptr, 10);
  auto Found = Tasks_.find(Job->second.FirstTask_ + Index);
  return Found == Tasks_.end() || Found->second.Job_ != &Job->second
             ? nullptr
             : &Found->second;
}

LiveJob &Partition::Impl::addLiveJob(const JobRecord &Job,
                                     base::TimePoint Now) {
  LiveJob &Live = LiveJobs_[Job.Spec_.Id_];
  Live.Id_ = Job.Spec_.Id_;
  Live.Number_ = NextJob_++;
  Live.FirstTask_ = NextTask_;
  Live.PendingSince_ = Now;
  NextTask_ += Job.Tasks_.size();
  for (uint32_t I = 0; I < Job.Tasks_.size(); ++I) {
    const TaskRecord &Record = Job.Tasks_[I];
    LiveTask &Task = Tasks_[Live.FirstTask_ + I];
    Task.Job_ = &Live;
    Task.Index_ = I;
    if (!holdsWorker(Record.State_))
      continue;
    WorkerState &Worker = findOrAddWorker(Record.Worker_);
    Task.Dispatch_ = DispatchState::Confirmed;
    Task.Worker_ = Worker.Info_.Worker_;
    Task.StopRequestedAt_ = Now;
    if (Job.Spec_.RunTimeMs_ > 0)
      Task.ExpectedEnd_ =
          Now + std::chrono::milliseconds(std::max<int64_t>(
                    0, Record.StartMs_ + Job.Spec_.RunTimeMs_ - wallClockMs()));
    Worker.ActiveTasks_.insert(Live.FirstTask_ + I);
    Worker.NextPollAt_ = Now;
    // The planner protects a task for some time after its start, and not anew
    // after each change of owner.
    base::TimePoint StartedAt =
        Now - std::chrono::milliseconds(
                  std::max<int64_t>(0, wallClockMs() - Record.StartMs_));
    Planner_.allocate({makePendingTask(Task), Task.Worker_, StartedAt, Now});
  }
  for (uint32_t I = 0; I < Job.Tasks_.size(); ++I)
    queueTask(Tasks_[Live.FirstTask_ + I], Now);
  return Live;
}

void Partition::Impl::removeLiveJob(const std::string &JobId) {
  auto Found = LiveJobs_.find(JobId);
  if (Found == LiveJobs_.end())
    return;
  LiveJob &Live = Found->second;
  for (TaskNumber Number = Live.FirstTask_;; ++Number) {
    auto Task = Tasks_.find(Number);
    if (Task == Tasks_.end() || Task->second.Job_ != &Live)
      break;
    if (Task->second.InPlanner_)
      Planner_.removePending(Number);
    Backoffs_.erase({Task->second.NotBefore_, Number});
    Tasks_.erase(Task);
  }
  LiveJobs_.erase(Found);
}

void Partition::Impl::refreshLiveJob(const std::string &JobId,
                                     base::TimePoint Now) {
  const JobRecord *Record = State_.find(JobId);
  if (Record == nullptr || Record->EndedMs_ != 0)
    removeLiveJob(JobId);
  else if (auto Live = LiveJobs_.find(JobId);
           Live != LiveJobs_.end() && isMovable(*Record))
    Live->second.PendingSince_ = std::max(Live->second.PendingSince_, Now);
}

void Partition::Impl::logDecision(const std::string &Task, const char *Event,
                                  std::string Reason,
                                  const std::string &Worker) {
  DecisionLog_.push_back(
      {wallClockMs(), Task, Event, std::move(Reason), Worker});
  if (DecisionLog_.size() > MaxDecisionLogEntries)
    DecisionLog_.pop_front();
}

void Partition::Impl::answerCall(uint64_t Call,
                                 std::optional<base::Error> Failure,
                                 const std::string &JobId) {
  if (Call == 0)
    return;
  Actions_.push_back(AnswerAction{Call, std::move(Failure), JobId});
}

base::Error Partition::Impl::validateJob(const JobSpec &Job) const {
  auto Invalid = [](std::string Message) {
    return base::Error{base::ErrorKind::InvalidRequest, std::move(Message)};
  };
  if (Job.Id_.empty() || Job.Id_.size() > MaxJobIdLength)
    return Invalid("job id has " + std::to_string(Job.Id_.size()) +
                   " characters; 1 to " + std::to_string(MaxJobIdLength) +
                   " are allowed");
  if (Job.TaskCount_ == 0 || Job.TaskCount_ > MaxTasksPerJob)
    return Invalid("job has " + std::to_string(Job.TaskCount_) +
                   " tasks; 1 to " + std::to_string(MaxTasksPerJob) +
                   " are allowed");
  if (Job.PerTask_.MilliCpu_ < 0 || Job.PerTask_.MemoryMb_ < 0 ||
      Job.PerTask_.Accelerators_ < 0 || Job.RunTimeMs_ < 0)
    return Invalid("job resources and run time must not be negative");
  if (Config_.Workspaces_.count(Job.Workspace_) == 0)
    return Invalid("unknown workspace '" + Job.Workspace_ + "'");
  return {};
}

void Partition::Impl::submit(uint64_t Call, const JobSpec &Job,
                             base::TimePoint Now, base::WallTime Wall) {
  Now_ = WallReadAt_ = Now;
  Wall_ = Wall;
  using base::ErrorKind;
  if (Journal_.fenced())
    return answerCall(Call,
                      base::Error{ErrorKind::NotOwner,
                                  "partition " + Settings_.Id_ +
                                      ": the epoch of this owner has ended"},
                      Job.Id_);
  if (State_.find(Job.Id_) != nullptr) {
    auto Waiting = SubmitWaiters_.find(Job.Id_);
    if (Waiting != SubmitWaiters_.end())
      Waiting->second.push_back(Call);
    else
      answerCall(Call, std::nullopt, Job.Id_);
    return;
  }
  if (HandingOver_)
    return answerCall(Call,
                      base::Error{ErrorKind::NotOwner,
                                  "partition " + Settings_.Id_ +
                                      " is being handed over to another owner"},
                      Job.Id_);
  if (!Configured_)
    return answerCall(Call,
                      base::Error{ErrorKind::ConfigStale,
                                  "partition " + Settings_.Id_ +
                                      " has not received a configuration"},
                      Job.Id_);
  if (!hasRecentStoreContact(Now))
    return answerCall(
        Call,
        base::Error{ErrorKind::StoreUnavailable,
                    "partition " + Settings_.Id_ +
                        " had no store contact within the last " +
                        std::to_string(base::toMillis(MaxStoreContactAge)) +
                        " ms"},
        Job.Id_);
  base::Error SpecError = validateJob(Job);
  if (!SpecError.Message_.empty())
    return answerCall(Call, SpecError, Job.Id_);
  JobRecord Record;
  Record.Spec_ = Job;
  Record.SubmittedMs_ = wallClockMs();
  Record.Tasks_.resize(Job.TaskCount_);
  JournalEntry Entry;
  Entry.Kind_ = EntryKind::Submit;
  Entry.Text_ = encodeJob(Record);
  SubmitWaiters_[Job.Id_].push_back(Call);
  stage(std::move(Entry), Job.Urgent_, [this, Id = Job.Id_](base::TimePoint) {
    for (uint64_t WaitingCall : SubmitWaiters_[Id])
      answerCall(WaitingCall, std::nullopt, Id);
    SubmitWaiters_.erase(Id);
  });
  addLiveJob(*State_.find(Job.Id_), Now);
}

void Partition::Impl::cancel(uint64_t Call, const std::string &JobId) {
  using base::ErrorKind;
  if (Journal_.fenced() || HandingOver_)
    return answerCall(
        Call,
        base::Error{ErrorKind::NotOwner,
                    "this instance does not own partition " + Settings_.Id_},
        JobId);
  const JobRecord *Job = State_.find(JobId);
  if (Job == nullptr)
    return answerCall(
        Call, base::Error{ErrorKind::NotFound, "unknown job '" + JobId + "'"},
        JobId);
  if (Job->TransferPhase_ != TransferPhase::None)
    return answerCall(Call,
                      base::Error{ErrorKind::Conflict,
                                  "job '" + JobId +
                                      "' is being transferred to partition " +
                                      Job->TransferTo_},
                      JobId);
  if (Job->EndedMs_ != 0)
    return answerCall(Call, std::nullopt, JobId);
  LiveJob &Live = LiveJobs_.at(JobId);
  Live.CancelRequested_ = true;
  PendingCancellations_.push_back({Call, JobId, 0, false});
}

void Partition::Impl::tick(base::TimePoint Now, base::WallTime Wall) {
  if (Journal_.fenced())
    return;
  Now_ = WallReadAt_ = Now;
  Wall_ = Wall;
  grantLongLeases(Now);
  expireLeases(Now);
  queueTasksAfterBackoff(Now);
  plan(Now);
  processCancellations(Now);
  runTransfers(Now);
  accrueShares(Now);
  Journal_.tick(Now);
  sendMessages(Now);
}

} // namespace crocuslead::partition
