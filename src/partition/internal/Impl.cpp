#include "partition/internal/Impl.h"

#include "partition/internal/Codec.h"

#include <algorithm>
#include <cstdlib>

namespace crocuslead::partition {

namespace {

constexpr std::size_t DecisionLogLimit = 4096;
constexpr uint32_t MaxTasksPerJob = 20'000;
//! Without store contact for this long nothing is accepted or started.
constexpr base::Duration StoreFreshFor = std::chrono::seconds(5);

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
  Now_ = WallReadAt_ = TakeoverAt_ = Contact_ = Now;
  Wall_ = Wall;
  if (!taskChart().valid())
    return base::fail(base::ErrorKind::Internal,
                      "state chart 'task' does not match the code");
  if (!Journal_.recover(Stored))
    return base::fail(base::ErrorKind::Internal,
                      "partition " + Settings_.Id_ +
                          ": a stored key cannot be decoded or is missing");
  NextAccrueAt_ = Now;
  for (const auto &[Id, Job] : State_.jobs())
    if (Job.EndedMs_ == 0) {
      addLive(Job, Now);
      // A wave that the former owner did not finish.
      if (Job.Cancelled_)
        Cancels_.push_back({0, Id, 0, false});
    }
  return {};
}

int64_t Partition::Impl::wallMs() const {
  return Wall_.time_since_epoch().count() + base::toMillis(Now_ - WallReadAt_);
}

bool Partition::Impl::storeFresh(base::TimePoint Now) const {
  return Now - Contact_ <= StoreFreshFor;
}

void Partition::Impl::recordStoreContact(base::TimePoint At) {
  Contact_ = std::max(Contact_, At);
}

bool Partition::Impl::stage(JournalEntry Change, bool Urgent,
                            std::function<void(base::TimePoint)> Durable) {
  if (!State_.apply(Change))
    return false;
  StagedEntry Value;
  Value.Entry_ = std::move(Change);
  Value.Urgent_ = Urgent;
  Value.OnDurable_ = std::move(Durable);
  Journal_.stage(std::move(Value));
  return true;
}

bool Partition::Impl::stageTask(EntryKind Kind, const LiveTask &Task,
                                JournalEntry Change,
                                std::function<void(base::TimePoint)> Durable) {
  const JobRecord &Job = jobOf(Task);
  Change.Kind_ = Kind;
  Change.Job_ = Job.Spec_.Id_;
  Change.Task_ = Task.Index_;
  Change.TimeMs_ = wallMs();
  if (Change.Attempt_ == 0)
    Change.Attempt_ = Job.Tasks_[Task.Index_].Attempt_;
  return stage(std::move(Change), Job.Spec_.Urgent_, std::move(Durable));
}

TaskRecord &Partition::Impl::record(const LiveTask &Task) {
  return State_.find(Task.Job_->Id_)->Tasks_[Task.Index_];
}

const JobRecord &Partition::Impl::jobOf(const LiveTask &Task) const {
  return *State_.find(Task.Job_->Id_);
}

std::string Partition::Impl::nameOf(const LiveTask &Task) const {
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

LiveJob &Partition::Impl::addLive(const JobRecord &Job, base::TimePoint Now) {
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
    WorkerLink &Worker = workerByName(Record.Worker_);
    Task.Dispatch_ = Dispatch::Known;
    Task.Worker_ = Worker.Info_.Worker_;
    Task.StopSince_ = Now;
    if (Job.Spec_.RunTimeMs_ > 0)
      Task.ExpectedEnd_ =
          Now + std::chrono::milliseconds(std::max<int64_t>(
                    0, Record.StartMs_ + Job.Spec_.RunTimeMs_ - wallMs()));
    Worker.Active_.insert(Live.FirstTask_ + I);
    Worker.NextPollAt_ = Now;
    Planner_.allocate({pendingTask(Task), Task.Worker_, Now, Now});
  }
  for (uint32_t I = 0; I < Job.Tasks_.size(); ++I)
    makePending(Tasks_[Live.FirstTask_ + I], Now);
  return Live;
}

void Partition::Impl::dropLive(const std::string &Job) {
  auto Found = LiveJobs_.find(Job);
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

void Partition::Impl::settleJob(const std::string &Job, base::TimePoint Now) {
  const JobRecord *Record = State_.find(Job);
  if (Record == nullptr || Record->EndedMs_ != 0)
    dropLive(Job);
  else if (auto Live = LiveJobs_.find(Job);
           Live != LiveJobs_.end() && movable(*Record))
    Live->second.PendingSince_ = std::max(Live->second.PendingSince_, Now);
}

void Partition::Impl::log(const std::string &Task, const char *Event,
                          std::string Reason, const std::string &Worker) {
  Log_.push_back({wallMs(), Task, Event, std::move(Reason), Worker});
  if (Log_.size() > DecisionLogLimit)
    Log_.pop_front();
}

void Partition::Impl::answer(uint64_t Call, std::optional<base::Error> Failure,
                             const std::string &Job) {
  if (Call == 0)
    return;
  Actions_.push_back(AnswerAction{Call, std::move(Failure), Job});
}

base::Error Partition::Impl::checkSpec(const JobSpec &Job) const {
  auto Invalid = [](std::string What) {
    return base::Error{base::ErrorKind::InvalidRequest, std::move(What)};
  };
  if (Job.Id_.empty() || Job.Id_.size() > 200)
    return Invalid("job id must have 1 to 200 characters");
  if (Job.TaskCount_ == 0 || Job.TaskCount_ > MaxTasksPerJob)
    return Invalid("task count must be 1 to " + std::to_string(MaxTasksPerJob));
  if (Job.PerTask_.MilliCpu_ < 0 || Job.PerTask_.MemoryMb_ < 0 ||
      Job.PerTask_.Accelerators_ < 0 || Job.RunTimeMs_ < 0)
    return Invalid("resources and run time must not be negative");
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
    return answer(Call, base::Error{ErrorKind::NotOwner, "epoch ended"},
                  Job.Id_);
  if (State_.find(Job.Id_) != nullptr) {
    auto Waiting = SubmitWaiters_.find(Job.Id_);
    if (Waiting != SubmitWaiters_.end())
      Waiting->second.push_back(Call);
    else
      answer(Call, std::nullopt, Job.Id_);
    return;
  }
  if (Handover_)
    return answer(Call,
                  base::Error{ErrorKind::NotOwner, "partition is handed over"},
                  Job.Id_);
  if (!Configured_)
    return answer(Call,
                  base::Error{ErrorKind::ConfigStale, "no configuration yet"},
                  Job.Id_);
  if (!storeFresh(Now))
    return answer(Call,
                  base::Error{ErrorKind::StoreUnavailable, "no store contact"},
                  Job.Id_);
  base::Error Bad = checkSpec(Job);
  if (!Bad.Message_.empty())
    return answer(Call, Bad, Job.Id_);
  JobRecord Record;
  Record.Spec_ = Job;
  Record.SubmittedMs_ = wallMs();
  Record.Tasks_.resize(Job.TaskCount_);
  JournalEntry Change;
  Change.Kind_ = EntryKind::Submit;
  Change.Text_ = encodeJob(Record);
  SubmitWaiters_[Job.Id_].push_back(Call);
  stage(std::move(Change), Job.Urgent_, [this, Id = Job.Id_](base::TimePoint) {
    for (uint64_t Waiting : SubmitWaiters_[Id])
      answer(Waiting, std::nullopt, Id);
    SubmitWaiters_.erase(Id);
  });
  addLive(*State_.find(Job.Id_), Now);
}

void Partition::Impl::cancel(uint64_t Call, const std::string &JobId) {
  using base::ErrorKind;
  if (Journal_.fenced() || Handover_)
    return answer(Call, base::Error{ErrorKind::NotOwner, "not the owner"},
                  JobId);
  const JobRecord *Job = State_.find(JobId);
  if (Job == nullptr)
    return answer(Call, base::Error{ErrorKind::NotFound, "unknown job"}, JobId);
  if (Job->TransferPhase_ != TransferPhase::None)
    return answer(Call,
                  base::Error{ErrorKind::Conflict,
                              "job moves to partition " + Job->TransferTo_},
                  JobId);
  if (Job->EndedMs_ != 0)
    return answer(Call, std::nullopt, JobId);
  LiveJob &Live = LiveJobs_.at(JobId);
  Live.CancelWanted_ = true;
  Cancels_.push_back({Call, JobId, 0, false});
}

void Partition::Impl::tick(base::TimePoint Now, base::WallTime Wall) {
  if (Journal_.fenced())
    return;
  Now_ = WallReadAt_ = Now;
  Wall_ = Wall;
  pushLongLeases(Now);
  expireLeases(Now);
  retryPending(Now);
  plan(Now);
  runCancels(Now);
  runTransfers(Now);
  accrue(Now);
  Journal_.tick(Now);
  sendMessages(Now);
}

} // namespace crocuslead::partition
