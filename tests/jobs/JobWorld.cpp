#include "jobs/JobWorld.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <stdexcept>

namespace crocuslead::jobs::test {

namespace {

constexpr auto StepTime = std::chrono::milliseconds(10);
constexpr const char *Queue = "visits";

template <typename T> T valueOf(base::Result<T> Result) {
  if (!Result)
    throw std::runtime_error("stored record unreadable");
  return std::move(*Result);
}

} // namespace

JobSpec chainJob(uint32_t Steps, uint32_t Count, int64_t MilliCpu) {
  JobSpec Out;
  Out.Payload_ = "p";
  for (uint32_t S = 0; S < Steps; ++S) {
    StepSpec Step;
    Step.Count_ = Count;
    Step.Request_ = {MilliCpu, 100, 0};
    Step.Estimate_ = std::chrono::milliseconds(600);
    if (S > 0)
      Step.After_ = {S - 1};
    Out.Steps_.push_back(Step);
  }
  return Out;
}

JobWorld::JobWorld(uint64_t Seed) : Random_(Seed) {
  QueueConfig Visits;
  Visits.Name_ = Queue;
  Visits.Service_ = "desk";
  Visits.MaxAttempts_ = 3;
  Visits.Target_ = std::chrono::milliseconds(600);
  Visits.Stretch_ = 1.5;
  Config_.Queues_[Queue] = Visits;
}

JobWorld::~JobWorld() = default;

void JobWorld::addWorker(const std::string &Id, int64_t MilliCpu,
                         const std::string &Domain) {
  FakeWorker &Made = Workers_[Id];
  Made.Info_.Id_ = Id;
  Made.Info_.Address_ = Id + ":1";
  Made.Info_.Domain_ = Domain;
  Made.Info_.Service_ = "desk";
  Made.Info_.Rack_ = "r1";
  Made.Info_.Room_ = {MilliCpu, 64'000, 0};
  Made.Info_.Born_ = Clock_.wallNow().time_since_epoch().count();
  Made.StartedAt_ = now();
  publishWorkers();
}

void JobWorld::publishWorkers() {
  if (!Coordinator_)
    return;
  std::map<std::string, WorkerInfo> All;
  for (const auto &[Id, Each] : Workers_)
    if (!Each.Info_.Id_.empty())
      All[Id] = Each.Info_;
  Coordinator_->setWorkers(All);
}

void JobWorld::crashWorker(const std::string &Id) {
  FakeWorker &Of = worker(Id);
  Of.DropsRequests_ = true;
  for (auto &[Name, Each] : Of.Runs_)
    Oracle_.RunningOn_[Name].erase(Id);
  Of.Runs_.clear();
  forgetUnacknowledgedEnds(Of);
  Of.Ended_.clear();
}

// Ends that nobody took note of do not bind once their worker's lease is over:
// the work may be done again.
void JobWorld::forgetUnacknowledgedEnds(const FakeWorker &Of) {
  for (const EndedRow &Row : Of.Ended_)
    if (Row.How_ == RunEnd::Done)
      Oracle_.Done_.erase(taskName(Row.Task_));
    else if (Row.How_ == RunEnd::Failed)
      --Oracle_.Failures_[taskName(Row.Task_)];
}

void JobWorld::removeFromRegistry(const std::string &Id) {
  std::map<std::string, WorkerInfo> All;
  for (const auto &[Other, Each] : Workers_)
    if (Other != Id)
      All[Other] = Each.Info_;
  if (Coordinator_)
    Coordinator_->setWorkers(All);
}

void JobWorld::restartWorker(const std::string &Id) {
  restartWorkerUnregistered(Id);
  publishWorkers();
}

void JobWorld::publishStaleEntry(const std::string &Id) {
  std::map<std::string, WorkerInfo> All;
  for (const auto &[Other, Each] : Workers_)
    All[Other] = Each.Info_;
  All[Id].Born_ -= 1'000;
  All[Id].Room_ = {64'000, 64'000, 0};
  Coordinator_->setWorkers(All);
}

void JobWorld::restartWorkerUnregistered(const std::string &Id) {
  crashWorker(Id);
  FakeWorker &Of = worker(Id);
  Of.DropsRequests_ = Of.DropsReplies_ = false;
  Of.HighestRun_.clear();
  Of.NextEnd_ = 1;
  Of.Token_ = 0;
  Of.LeaseEnd_ = {};
  Of.StartedAt_ = now();
  Of.Info_.Born_ = Clock_.wallNow().time_since_epoch().count();
}

void JobWorld::submit(const std::string &Id, JobSpec Spec) {
  JobRecord Record{Queue, std::move(Spec), Clock_.wallNow()};
  Jobs_[Id] = Record;
  if (Coordinator_)
    Coordinator_->addJob(Id, Record);
}

void JobWorld::cancel(const std::string &Id) {
  Cancelled_.insert(Id);
  if (Coordinator_)
    Coordinator_->cancelJob(Id);
}

void JobWorld::startSuccessor() {
  crashCoordinator();
  CoordinatorSettings Settings;
  Settings.Term_ = ++Term_;
  Coordinator_ = std::make_unique<Coordinator>(
      Settings, *this, Clock_, Metrics_, [this](const CommitBatch &Batch) {
        uint64_t Term = Term_;
        schedule(OneWayDelay * 2, [this, Batch, Term] {
          if (!Coordinator_ || Term != Term_)
            return;
          if (StoreDown_) {
            Coordinator_->commitDone(Batch.Number_, CommitResult::Unconfirmed);
            return;
          }
          for (const auto &[Key, Value] : Batch.Writes_)
            Stored_[Key] = Value;
          Coordinator_->commitDone(Batch.Number_, CommitResult::Durable);
        });
      });
  Coordinator_->setConfig(Config_);
  publishWorkers();
  if (auto It = Stored_.find(Coordinator::UsedWorkersKey); It != Stored_.end())
    Coordinator_->restoreUsedWorkers(It->second);
  for (const auto &[Id, Record] : Jobs_) {
    auto It = Stored_.find(Coordinator::ProgressPrefix + Id);
    std::optional<JobProgress> Progress;
    if (It != Stored_.end())
      Progress = valueOf(decodeJobProgress(It->second));
    Coordinator_->restoreJob(Id, valueOf(decodeJobRecord(encode(Record))),
                             Progress);
    if (Cancelled_.count(Id) > 0)
      Coordinator_->cancelJob(Id);
  }
  Coordinator_->recover();
}

void JobWorld::schedule(base::Duration Delay, std::function<void()> Action) {
  Events_.emplace(now() + Delay, std::move(Action));
}

void JobWorld::run(base::Duration Time) {
  base::TimePoint End = now() + Time;
  while (now() < End) {
    while (!Events_.empty() && Events_.begin()->first <= now()) {
      auto Action = std::move(Events_.begin()->second);
      Events_.erase(Events_.begin());
      Action();
    }
    advanceWorkers();
    if (Coordinator_)
      Coordinator_->tick();
    Clock_.advance(StepTime);
  }
}

int64_t JobWorld::workerClockMs(const FakeWorker &Of) const {
  return base::toMillis(now() - Of.StartedAt_);
}

int JobWorld::percent(const FakeRun &Of) const {
  if (Of.RunTime_.count() == 0)
    return 100;
  auto Worked = Of.Stalled_ ? base::Duration{} : now() - Of.StartedAt_;
  return static_cast<int>(
      std::min<int64_t>(99, 100 * (Worked + Of.PriorWork_) / Of.RunTime_));
}

void JobWorld::endRun(FakeWorker &At, const std::string &Name, RunEnd How) {
  FakeRun Ended = At.Runs_.at(Name);
  At.Runs_.erase(Name);
  At.Ended_.push_back({At.NextEnd_++, Ended.Task_, Ended.Number_, How, ""});
  Oracle_.RunningOn_[Name].erase(At.Info_.Id_);
  if (How == RunEnd::Done) {
    Oracle_.EverDone_.insert(Name);
    Oracle_.Done_.insert(Name);
  }
  if (How == RunEnd::Failed)
    ++Oracle_.Failures_[Name];
}

void JobWorld::advanceWorkers() {
  for (auto &[Id, At] : Workers_) {
    std::vector<std::pair<std::string, RunEnd>> Ends;
    for (auto &[Name, Each] : At.Runs_) {
      if (now() >= At.LeaseEnd_)
        Ends.emplace_back(Name, RunEnd::LeaseExpired);
      else if (Each.StopAt_ && now() >= *Each.StopAt_)
        Ends.emplace_back(Name, RunEnd::Stopped);
      else if (Each.RunTime_.count() > 0 && !Each.Stalled_ &&
               now() >= Each.StartedAt_ + Each.RunTime_ - Each.PriorWork_)
        Ends.emplace_back(Name, Each.Fails_ ? RunEnd::Failed : RunEnd::Done);
    }
    for (const auto &[Name, How] : Ends)
      endRun(At, Name, How);
    if (now() >= At.LeaseEnd_ && !At.LeaseExpired_) {
      At.LeaseExpired_ = true;
      forgetUnacknowledgedEnds(At);
    }
    if (now() < At.LeaseEnd_)
      At.LeaseExpired_ = false;
  }
}

void JobWorld::recordViolation(const std::string &Text) {
  Oracle_.Violations_.push_back(
      std::to_string(base::toMillis(now().time_since_epoch())) +
      " ms: " + Text);
}

JobState JobWorld::state(const std::string &Id) const {
  return Coordinator_->state(Id).value_or(JobState::Queued);
}

int JobWorld::startsOf(const std::string &Task) const {
  auto It = Oracle_.Starts_.find(Task);
  return It == Oracle_.Starts_.end() ? 0 : It->second;
}

} // namespace crocuslead::jobs::test
