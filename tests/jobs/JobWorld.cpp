#include "jobs/JobWorld.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <stdexcept>
#include <utility>

namespace crocuslead::jobs::test {

namespace {

constexpr auto StepTime = std::chrono::milliseconds(10);
constexpr const char *DefaultQueue = "visits";
constexpr const char *HandoverKey = "handover";

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
    Step.EstimatedDuration_ = std::chrono::milliseconds(600);
    if (S > 0)
      Step.Dependencies_ = {S - 1};
    Out.Steps_.push_back(Step);
  }
  return Out;
}

JobWorld::JobWorld(uint64_t Seed)
    : Random_(Seed), OriginRandom_(Seed ^ 0xc10c) {
  QueueConfig Visits;
  Visits.Name_ = DefaultQueue;
  Visits.Service_ = "desk";
  Visits.MaxAttempts_ = 3;
  Visits.TargetOffset_ = std::chrono::milliseconds(600);
  Visits.TargetFactor_ = 1.5;
  Config_.Queues_[DefaultQueue] = Visits;
}

JobWorld::~JobWorld() = default;

void JobWorld::submit(const std::string &Id, JobSpec Spec,
                      const std::string &Queue) {
  JobRecord Record{Queue, std::move(Spec), Clock_.wallNow(), AcceptedBy_};
  Payloads_[Id] = Record.Spec_.Payload_;
  if (!AcceptedBy_.empty() && Payloads_[Id].size() > MaxInlinePayload) {
    Record.PayloadApart_ = true;
    Record.Spec_.Payload_.clear();
  }
  Jobs_[Id] = Record;
  JobRevisions_[Id] = ++Revision_;
  if (Coordinator_)
    Coordinator_->addJob(Id, Record, Revision_);
  if (FormerTermsLearnJobs_)
    for (auto &[Term, Each] : Former_)
      Each->addJob(Id, Record, Revision_);
}

void JobWorld::cancel(const std::string &Id) {
  Cancelled_.insert(Id);
  if (Coordinator_)
    Coordinator_->cancelJob(Id);
}

void JobWorld::cutOff(const std::set<std::string> &Ids) { Cut_ = {Term_, Ids}; }

void JobWorld::endCut() { Cut_.reset(); }

bool JobWorld::isCutOff(uint64_t Term) const {
  return Cut_ && Term <= Cut_->first;
}

Coordinator *JobWorld::coordinatorOf(uint64_t Term) const {
  if (Term == Term_)
    return Coordinator_.get();
  auto It = Former_.find(Term);
  return It == Former_.end() ? nullptr : It->second.get();
}

void JobWorld::commit(uint64_t Term, const CommitBatch &Batch,
                      base::TimePoint SentAt) {
  Coordinator *Sender = coordinatorOf(Term);
  if (Sender == nullptr)
    return;
  if (StoreDown_ || isCutOff(Term)) {
    Sender->commitDone(Batch.Number_, CommitResult::Unconfirmed);
    return;
  }
  if (Term != Term_) {
    Sender->commitDone(Batch.Number_, CommitResult::Superseded);
    return;
  }
  for (const auto &[Key, Value] : Batch.Writes_)
    Stored_[Key] = Value;
  LastCommit_ = {lastTokenOf(Term), Batch.Number_};
  Sender->confirmTerm(SentAt, Revision_);
  Sender->commitDone(Batch.Number_, CommitResult::Durable);
}

void JobWorld::startSuccessor() {
  if (Coordinator_ && isCutOff(Term_))
    Former_[Term_] = std::move(Coordinator_);
  crashCoordinator();
  CoordinatorSettings Settings;
  Settings.Term_ = lastTokenOf(++Term_);
  Settings.FirstToken_ = RaisesTokens_ ? tokenOf(Term_) : Settings.Term_;
  Settings.PreviousTerm_ = lastTokenOf(std::exchange(LastUsedTerm_, Term_));
  ++Revision_;
  Settings.Times_ = Times_;
  Coordinator_ = std::make_unique<Coordinator>(
      Settings, PortOf_ ? PortOf_(Term_) : *this, Clock_, Metrics_,
      [this, Term = Term_](const CommitBatch &Batch) {
        schedule(OneWayDelay * 2, [this, Term, Batch, SentAt = now()] {
          commit(Term, Batch, SentAt);
        });
      });
  NextConfirmation_ = now();
  Coordinator_->setConfig(Config_);
  publishWorkers();
  if (auto It = Stored_.find(Coordinator::LastCommitKey); It != Stored_.end())
    Coordinator_->restoreLastCommit(It->second, LastCommit_);
  if (auto It = Stored_.find(Coordinator::UsedWorkersKey); It != Stored_.end())
    Coordinator_->restoreUsedWorkers(It->second);
  if (auto It = Stored_.find(HandoverKey); It != Stored_.end())
    Coordinator_->restoreHandover(It->second);
  for (const auto &[Id, Record] : Jobs_) {
    auto It = Stored_.find(Coordinator::ProgressPrefix + Id);
    std::optional<JobProgress> Progress;
    if (It != Stored_.end())
      Progress = valueOf(decodeJobProgress(It->second));
    Coordinator_->restoreJob(Id, valueOf(decodeJobRecord(encode(Record))),
                             JobRevisions_[Id], Progress);
    if (Cancelled_.count(Id) > 0)
      Coordinator_->cancelJob(Id);
  }
  Coordinator_->confirmTerm(now(), Revision_);
  Coordinator_->recover();
}

void JobWorld::passUnusedTerm(bool Resigned) {
  crashCoordinator();
  ++Term_;
  ++Revision_;
  if (!Resigned)
    LastUsedTerm_ = Term_;
}

void JobWorld::resign(base::Duration Time) {
  if (Coordinator_) {
    std::string Record = Coordinator_->prepareHandover();
    if (!StoreDown_ && !isCutOff(Term_))
      schedule(Time / 2, [this, Record] { Stored_[HandoverKey] = Record; });
  }
  run(Time);
}

void JobWorld::handOver(base::Duration Time) {
  resign(Time);
  startSuccessor();
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
    tickCoordinators();
    if (OnStep_)
      OnStep_();
    Clock_.advance(StepTime);
  }
}

void JobWorld::tickCoordinators() {
  if (!StoreDown_)
    confirmTerms();
  for (auto &[Term, Each] : Former_)
    Each->tick();
  if (Coordinator_)
    Coordinator_->tick();
}

void JobWorld::confirmTerms() {
  bool Due = now() >= NextConfirmation_;
  if (Coordinator_ && !isCutOff(Term_) &&
      (Due || Coordinator_->awaitsConfirmation()))
    Coordinator_->confirmTerm(now(), Revision_);
  if (!Due)
    return;
  NextConfirmation_ = now() + ConfirmationInterval;
  for (auto &[Term, Each] : Former_)
    if (!isCutOff(Term))
      Each->endTerm();
}

int JobWorld::percent(const FakeRun &Run) const {
  if (Run.RunTime_.count() == 0)
    return 100;
  auto Worked = Run.Stalled_ ? base::Duration{} : now() - Run.StartedAt_;
  return static_cast<int>(
      std::min<int64_t>(99, 100 * (Worked + Run.PriorWork_) / Run.RunTime_));
}

void JobWorld::endRun(FakeWorker &Worker, const std::string &Name,
                      RunOutcome Outcome) {
  FakeRun Run = Worker.Runs_.at(Name);
  Worker.Runs_.erase(Name);
  Worker.EndTimes_[Worker.NextSequenceNumber_] = now();
  Worker.Ended_.push_back(
      {Worker.NextSequenceNumber_++, Run.Task_, Run.Number_, Outcome, ""});
  Oracle_.RunningOn_[Name].erase(Worker.Info_.Id_);
  if (Outcome == RunOutcome::Done) {
    Oracle_.EverDone_.insert(Name);
    Oracle_.Done_.insert(Name);
  }
  if (Outcome == RunOutcome::Failed)
    ++Oracle_.Failures_[Name];
}

void JobWorld::failRuns(const std::string &Task) {
  for (const std::string &Id : std::set(Oracle_.RunningOn_[Task])) {
    endRun(worker(Id), Task, RunOutcome::Failed);
    answerPolls(worker(Id), true);
  }
}

void JobWorld::advanceWorkers() {
  for (auto &[Id, Worker] : Workers_) {
    std::vector<std::pair<std::string, RunOutcome>> Ends;
    for (auto &[Name, Run] : Worker.Runs_) {
      if (now() >= Worker.LeaseEnd_)
        Ends.emplace_back(Name, RunOutcome::LeaseExpired);
      else if (Run.StopAt_ && now() >= *Run.StopAt_)
        Ends.emplace_back(Name, RunOutcome::Stopped);
      else if (Run.RunTime_.count() > 0 && !Run.Stalled_ &&
               now() >= Run.StartedAt_ + Run.RunTime_ - Run.PriorWork_)
        Ends.emplace_back(Name,
                          Run.Fails_ ? RunOutcome::Failed : RunOutcome::Done);
    }
    for (const auto &[Name, Outcome] : Ends)
      endRun(Worker, Name, Outcome);
    answerPolls(Worker, !Ends.empty());
    if (now() >= Worker.LeaseEnd_ && !Worker.LeaseExpired_) {
      Worker.LeaseExpired_ = true;
      forgetUnacknowledgedResults(Worker);
    }
    if (now() < Worker.LeaseEnd_)
      Worker.LeaseExpired_ = false;
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
