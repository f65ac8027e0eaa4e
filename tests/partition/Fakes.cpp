#include "World.h"

#include <algorithm>

namespace crocuslead::partition::test {

using cluster::AttemptState;
using cluster::CommandKind;
using cluster::CommandStatus;

namespace {

bool isActive(AttemptState State) {
  return State == AttemptState::Starting || State == AttemptState::Running ||
         State == AttemptState::Checkpointing;
}

std::string attemptKey(const std::string &Task, uint32_t Attempt) {
  return Task + "#" + std::to_string(Attempt);
}

int64_t progressOf(const std::string &Checkpoint) {
  return Checkpoint.empty() ? 0 : std::stoll(Checkpoint);
}

} // namespace

bool FakeStore::matches(const store::Compare &Compare) const {
  auto Found = Data_.find(Compare.Key_);
  if (Found == Data_.end())
    return Compare.Value_ == 0;
  const store::KeyValue &Value = Found->second;
  int64_t Target = Value.ModRevision_;
  if (Compare.Target_ == store::CompareTarget::CreateRevision)
    Target = Value.CreateRevision_;
  if (Compare.Target_ == store::CompareTarget::Version)
    Target = Value.Version_;
  return Target == Compare.Value_;
}

void FakeStore::put(const std::string &Key, const std::string &Text) {
  store::KeyValue &Value = Data_[Key];
  Value.Key_ = Key;
  Value.Value_ = Text;
  Value.ModRevision_ = Revision_;
  ++Value.Version_;
  if (Value.CreateRevision_ == 0)
    Value.CreateRevision_ = Revision_;
}

bool FakeStore::txn(const store::Txn &Request) {
  for (const store::Compare &Compare : Request.Compares_)
    if (!matches(Compare))
      return false;
  ++Revision_;
  for (const store::Delete &Delete : Request.Deletes_)
    Data_.erase(Data_.lower_bound(Delete.Key_),
                Delete.RangeEnd_.empty() ? Data_.upper_bound(Delete.Key_)
                                         : Data_.lower_bound(Delete.RangeEnd_));
  for (const store::Put &Put : Request.Puts_)
    put(Put.Key_, Put.Value_);
  return true;
}

std::vector<store::KeyValue> FakeStore::range(const std::string &Prefix) const {
  std::vector<store::KeyValue> Out;
  for (auto It = Data_.lower_bound(Prefix);
       It != Data_.end() && It->first.compare(0, Prefix.size(), Prefix) == 0;
       ++It)
    Out.push_back(It->second);
  return Out;
}

void Oracle::onStarted(const std::string &Worker, const FakeAttempt &Attempt) {
  const std::string &Task = Attempt.Report_.Task_;
  ++StartCount_;
  if (!RunningOn_.try_emplace(Task, Worker).second)
    addViolation(Task + " runs on " + RunningOn_[Task] + " and " + Worker);
  if (!StartedAttempts_.insert(attemptKey(Task, Attempt.Report_.Attempt_))
           .second)
    addViolation(Task + " started twice with the same attempt number");
  if (ConfirmedFinishedTasks_.count(Task) != 0)
    addViolation(Task + " started after its completion was confirmed");
  if (Attempt.InitialProgressMs_ < MinResumeProgressMs_[Task])
    addViolation(
        Task +
        " resumed from an older state than its last confirmed checkpoint");
}

void Oracle::onStopped(const std::string &Worker, const std::string &Task) {
  auto Found = RunningOn_.find(Task);
  if (Found != RunningOn_.end() && Found->second == Worker)
    RunningOn_.erase(Found);
}

void Oracle::onForgotten(const cluster::AttemptReport &Report) {
  ConfirmedCpuMillis_ += Report.CpuMillis_;
  if (UnreportedAttempts_.count(attemptKey(Report.Task_, Report.Attempt_)) != 0)
    return;
  if (Report.State_ == AttemptState::Finished)
    ConfirmedFinishedTasks_.insert(Report.Task_);
  int64_t &Resume = MinResumeProgressMs_[Report.Task_];
  Resume = std::max(Resume, progressOf(Report.Checkpoint_));
}

cluster::CommandReply FakeWorker::execute(const cluster::WorkerCommand &Command,
                                          int64_t NowMs, Oracle &TestOracle) {
  std::string Key = attemptKey(Command.Task_, Command.Attempt_);
  auto Found = Attempts_.find(Key);
  if (Command.Kind_ == CommandKind::Start) {
    if (Found != Attempts_.end())
      return {};
    if (NowMs + ClockOffset_ > Command.DeadlineWorkerMs_)
      return {CommandStatus::Refused, "deadline"};
    if (FailStarts_)
      return {CommandStatus::Failed, "cannot start"};
    FakeAttempt &New = Attempts_[Key];
    New.Report_.Task_ = Command.Task_;
    New.Report_.Attempt_ = Command.Attempt_;
    New.Report_.Checkpoint_ = Command.Checkpoint_;
    New.Granted_ = Command.Granted_;
    New.RunTimeMs_ = Command.RunTimeMs_;
    New.InitialProgressMs_ = progressOf(Command.Checkpoint_);
    TestOracle.onStarted(Id_, New);
    Resources Allocated;
    for (const auto &[Name, Other] : Attempts_)
      if (isActive(Other.Report_.State_))
        Allocated += Other.Granted_;
    if (!Allocated.fitsIn(Capacity_))
      TestOracle.addViolation(Id_ + " runs tasks that exceed its capacity");
    return {};
  }
  if (Found == Attempts_.end())
    return {CommandStatus::Refused, "unknown attempt"};
  FakeAttempt &Attempt = Found->second;
  bool Active = isActive(Attempt.Report_.State_);
  if (Command.Kind_ == CommandKind::Stop && Active)
    stop(Attempt, AttemptState::Stopped, TestOracle);
  if (Command.Kind_ == CommandKind::CheckpointStop && Active &&
      Attempt.Report_.State_ != AttemptState::Checkpointing) {
    Attempt.Report_.State_ = AttemptState::Checkpointing;
    Attempt.StopAtMs_ = NowMs + CheckpointMs_;
  }
  if (Command.Kind_ == CommandKind::Forget && !Active) {
    TestOracle.onForgotten(Attempt.Report_);
    Attempts_.erase(Found);
  }
  return {};
}

cluster::WorkerReply FakeWorker::handle(const cluster::WorkerRequest &Request,
                                        int64_t NowMs, Oracle &TestOracle) {
  cluster::WorkerReply Reply;
  Reply.EpochRefused_ = Request.Epoch_ < HighestEpoch_;
  HighestEpoch_ = std::max(HighestEpoch_, Request.Epoch_);
  Reply.HighestEpoch_ = HighestEpoch_;
  Reply.WorkerClockMs_ = NowMs + ClockOffset_;
  Reply.Incarnation_ = Id_ + "." + std::to_string(Incarnation_);
  if (Reply.EpochRefused_)
    return Reply;
  if (Request.LeaseMs_ > 0)
    LeaseEnd_ = NowMs + Request.LeaseMs_;
  bool IncarnationMatches = Request.ExpectedIncarnation_.empty() ||
                            Request.ExpectedIncarnation_ == Reply.Incarnation_;
  for (const cluster::WorkerCommand &Command : Request.Commands_)
    Reply.Commands_.push_back(
        IncarnationMatches || Command.Kind_ != CommandKind::Start
            ? execute(Command, NowMs, TestOracle)
            : cluster::CommandReply{CommandStatus::Refused, "incarnation"});
  Reply.HasReport_ = Request.WantReport_;
  Reply.ReportSequence_ = ++Sequence_;
  for (const auto &[Key, Attempt] : Attempts_)
    Reply.Attempts_.push_back(Attempt.Report_);
  if (Reply.HasReport_) {
    LastReport_ = cluster::makeReportBase(Reply, HighestEpoch_);
  } else {
    Reply.Changed_ = cluster::hasChanged(LastReport_, Reply.Attempts_);
    Reply.Attempts_.clear();
  }
  return Reply;
}

void FakeWorker::stop(FakeAttempt &Attempt, AttemptState Outcome,
                      Oracle &TestOracle) {
  // Only a stop with a checkpoint saves the progress.
  if (Attempt.Report_.State_ == AttemptState::Checkpointing) {
    int64_t Progress = Attempt.InitialProgressMs_ + Attempt.Report_.RunMillis_;
    Attempt.Report_.Checkpoint_ = std::to_string(Progress);
  }
  Attempt.Report_.State_ = Outcome;
  TestOracle.onStopped(Id_, Attempt.Report_.Task_);
}

void FakeWorker::step(int64_t NowMs, int64_t Step, Oracle &TestOracle) {
  for (auto &[Key, Attempt] : Attempts_) {
    cluster::AttemptReport &Report = Attempt.Report_;
    if (!isActive(Report.State_))
      continue;
    if (Report.State_ == AttemptState::Starting)
      Report.State_ = AttemptState::Running;
    if (Report.State_ == AttemptState::Running)
      Report.RunMillis_ += Step;
    if (Attempt.RunTimeMs_ > 0)
      Report.ProgressPercent_ = static_cast<int>(
          100 * (Attempt.InitialProgressMs_ + Report.RunMillis_) /
          Attempt.RunTimeMs_);
    int64_t Cpu = Attempt.Granted_.MilliCpu_ * Step / 1000;
    Report.CpuMillis_ += Cpu;
    TestOracle.ActualCpuMillis_ += Cpu;
    if (NowMs >= LeaseEnd_) {
      Report.State_ = AttemptState::Checkpointing;
      stop(Attempt, AttemptState::Stopped, TestOracle);
    } else if (Report.State_ == AttemptState::Checkpointing) {
      if (NowMs >= Attempt.StopAtMs_)
        stop(Attempt, AttemptState::Stopped, TestOracle);
    } else if (Attempt.RunTimeMs_ > 0 &&
               Attempt.InitialProgressMs_ + Report.RunMillis_ >=
                   Attempt.RunTimeMs_) {
      stop(Attempt, AttemptState::Finished, TestOracle);
    }
  }
}

void FakeWorker::restart(Oracle &TestOracle) {
  for (auto &[Key, Attempt] : Attempts_)
    TestOracle.onStopped(Id_, Attempt.Report_.Task_);
  Attempts_.clear();
  ++Incarnation_;
  HighestEpoch_ = 0;
  Sequence_ = 0;
  LastReport_ = {};
}

} // namespace crocuslead::partition::test
