#include "World.h"

#include <algorithm>

namespace crocuslead::partition::test {

using cluster::AttemptState;
using cluster::CommandKind;
using cluster::CommandStatus;

namespace {

bool isLive(AttemptState State) {
  return State == AttemptState::Starting || State == AttemptState::Running ||
         State == AttemptState::Checkpointing;
}

std::string keyOf(const std::string &Task, uint32_t Attempt) {
  return Task + "#" + std::to_string(Attempt);
}

int64_t progressOf(const std::string &Checkpoint) {
  return Checkpoint.empty() ? 0 : std::stoll(Checkpoint);
}

} // namespace

bool FakeStore::holds(const store::Compare &One) const {
  auto Found = Data_.find(One.Key_);
  if (Found == Data_.end())
    return One.Value_ == 0;
  const store::KeyValue &Value = Found->second;
  int64_t Target = Value.ModRevision_;
  if (One.Target_ == store::CompareTarget::CreateRevision)
    Target = Value.CreateRevision_;
  if (One.Target_ == store::CompareTarget::Version)
    Target = Value.Version_;
  return Target == One.Value_;
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
  for (const store::Compare &One : Request.Compares_)
    if (!holds(One))
      return false;
  ++Revision_;
  for (const store::Delete &One : Request.Deletes_)
    Data_.erase(Data_.lower_bound(One.Key_),
                One.RangeEnd_.empty() ? Data_.upper_bound(One.Key_)
                                      : Data_.lower_bound(One.RangeEnd_));
  for (const store::Put &One : Request.Puts_)
    put(One.Key_, One.Value_);
  return true;
}

std::vector<store::KeyValue> FakeStore::range(const std::string &Under) const {
  std::vector<store::KeyValue> Out;
  for (auto It = Data_.lower_bound(Under);
       It != Data_.end() && It->first.compare(0, Under.size(), Under) == 0;
       ++It)
    Out.push_back(It->second);
  return Out;
}

void Oracle::started(const std::string &Worker, const FakeAttempt &Attempt) {
  const std::string &Task = Attempt.Report_.Task_;
  ++Starts_;
  if (!RunsOn_.try_emplace(Task, Worker).second)
    fault(Task + " runs on " + RunsOn_[Task] + " and " + Worker);
  if (!EverStarted_.insert(keyOf(Task, Attempt.Report_.Attempt_)).second)
    fault(Task + " started twice under one attempt");
  if (ConfirmedFinished_.count(Task) != 0)
    fault(Task + " started after its confirmed finish");
  if (Attempt.BaseProgressMs_ < MustResumeMs_[Task])
    fault(Task + " resumed before its last confirmed checkpoint");
}

void Oracle::over(const std::string &Worker, const std::string &Task) {
  auto Found = RunsOn_.find(Task);
  if (Found != RunsOn_.end() && Found->second == Worker)
    RunsOn_.erase(Found);
}

void Oracle::forgotten(const cluster::AttemptReport &Report) {
  ConfirmedCpu_ += Report.CpuMillis_;
  if (Unreported_.count(keyOf(Report.Task_, Report.Attempt_)) != 0)
    return;
  if (Report.State_ == AttemptState::Finished)
    ConfirmedFinished_.insert(Report.Task_);
  int64_t &Resume = MustResumeMs_[Report.Task_];
  Resume = std::max(Resume, progressOf(Report.Checkpoint_));
}

cluster::CommandReply FakeWorker::run(const cluster::WorkerCommand &Command,
                                      int64_t NowMs, Oracle &Rules) {
  std::string Key = keyOf(Command.Task_, Command.Attempt_);
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
    New.BaseProgressMs_ = progressOf(Command.Checkpoint_);
    Rules.started(Id_, New);
    Resources Sum;
    for (const auto &[Name, One] : Attempts_)
      if (isLive(One.Report_.State_))
        Sum += One.Granted_;
    if (!Sum.fitsIn(Capacity_))
      Rules.fault(Id_ + " is over its capacity");
    return {};
  }
  if (Found == Attempts_.end())
    return {CommandStatus::Refused, "unknown attempt"};
  FakeAttempt &Attempt = Found->second;
  bool Live = isLive(Attempt.Report_.State_);
  if (Command.Kind_ == CommandKind::Stop && Live)
    stop(Attempt, AttemptState::Stopped, Rules);
  if (Command.Kind_ == CommandKind::CheckpointStop && Live &&
      Attempt.Report_.State_ != AttemptState::Checkpointing) {
    Attempt.Report_.State_ = AttemptState::Checkpointing;
    Attempt.StopAt_ = NowMs + CheckpointMs_;
  }
  if (Command.Kind_ == CommandKind::Forget && !Live) {
    Rules.forgotten(Attempt.Report_);
    Attempts_.erase(Found);
  }
  return {};
}

cluster::WorkerReply FakeWorker::handle(const cluster::WorkerRequest &Request,
                                        int64_t NowMs, Oracle &Rules) {
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
  bool Known = Request.ExpectedIncarnation_.empty() ||
               Request.ExpectedIncarnation_ == Reply.Incarnation_;
  for (const cluster::WorkerCommand &Command : Request.Commands_)
    Reply.Commands_.push_back(
        Known || Command.Kind_ != CommandKind::Start
            ? run(Command, NowMs, Rules)
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

void FakeWorker::stop(FakeAttempt &Attempt, AttemptState How, Oracle &Rules) {
  // A stop with a checkpoint saves the progress; a plain stop loses it.
  if (Attempt.Report_.State_ == AttemptState::Checkpointing) {
    int64_t Progress = Attempt.BaseProgressMs_ + Attempt.Report_.RunMillis_;
    Attempt.Report_.Checkpoint_ = std::to_string(Progress);
  }
  Attempt.Report_.State_ = How;
  Rules.over(Id_, Attempt.Report_.Task_);
}

void FakeWorker::step(int64_t NowMs, int64_t Step, Oracle &Rules) {
  for (auto &[Key, Attempt] : Attempts_) {
    cluster::AttemptReport &Report = Attempt.Report_;
    if (!isLive(Report.State_))
      continue;
    if (Report.State_ == AttemptState::Starting)
      Report.State_ = AttemptState::Running;
    if (Report.State_ == AttemptState::Running)
      Report.RunMillis_ += Step;
    if (Attempt.RunTimeMs_ > 0)
      Report.ProgressPercent_ =
          static_cast<int>(100 * (Attempt.BaseProgressMs_ + Report.RunMillis_) /
                           Attempt.RunTimeMs_);
    int64_t Cpu = Attempt.Granted_.MilliCpu_ * Step / 1000;
    Report.CpuMillis_ += Cpu;
    Rules.RealCpu_ += Cpu;
    if (NowMs >= LeaseEnd_) {
      Report.State_ = AttemptState::Checkpointing;
      stop(Attempt, AttemptState::Stopped, Rules);
    } else if (Report.State_ == AttemptState::Checkpointing) {
      if (NowMs >= Attempt.StopAt_)
        stop(Attempt, AttemptState::Stopped, Rules);
    } else if (Attempt.RunTimeMs_ > 0 &&
               Attempt.BaseProgressMs_ + Report.RunMillis_ >=
                   Attempt.RunTimeMs_) {
      stop(Attempt, AttemptState::Finished, Rules);
    }
  }
}

void FakeWorker::restart(Oracle &Rules) {
  for (auto &[Key, Attempt] : Attempts_)
    Rules.over(Id_, Attempt.Report_.Task_);
  Attempts_.clear();
  ++Incarnation_;
  HighestEpoch_ = 0;
  Sequence_ = 0;
  LastReport_ = {};
}

} // namespace crocuslead::partition::test
