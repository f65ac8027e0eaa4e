#include "World.h"

#include "partition/internal/Codec.h"
#include "platform/WorkerCodec.h"

#include <algorithm>

namespace crocuslead::partition::test {

using platform::AttemptState;
using platform::CommandKind;
using platform::CommandStatus;

namespace {

const std::string Prefix = "/crocuslead/partitions/p1/";
const std::string DomainsKey = "/crocuslead/config/domains";
constexpr int64_t StepMs = 50;
constexpr int64_t OwnerLeaseMs = 15'000;
constexpr int64_t CallTimeoutMs = 3'000;

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

void Oracle::forgotten(const platform::AttemptReport &Report) {
  ConfirmedCpu_ += Report.CpuMillis_;
  if (Unreported_.count(keyOf(Report.Task_, Report.Attempt_)) != 0)
    return;
  if (Report.State_ == AttemptState::Finished)
    ConfirmedFinished_.insert(Report.Task_);
  int64_t &Resume = MustResumeMs_[Report.Task_];
  Resume = std::max(Resume, progressOf(Report.Checkpoint_));
}

platform::CommandReply FakeWorker::run(const platform::WorkerCommand &Command,
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

platform::WorkerReply FakeWorker::handle(const platform::WorkerRequest &Request,
                                         int64_t NowMs, Oracle &Rules) {
  platform::WorkerReply Reply;
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
  for (const platform::WorkerCommand &Command : Request.Commands_)
    Reply.Commands_.push_back(
        Known || Command.Kind_ != CommandKind::Start
            ? run(Command, NowMs, Rules)
            : platform::CommandReply{CommandStatus::Refused, "incarnation"});
  Reply.HasReport_ = Request.WantReport_;
  Reply.ReportSequence_ = ++Sequence_;
  for (const auto &[Key, Attempt] : Attempts_)
    Reply.Attempts_.push_back(Attempt.Report_);
  if (Reply.HasReport_) {
    LastReport_ = platform::makeReportBase(Reply, HighestEpoch_);
  } else {
    Reply.Changed_ = platform::hasChanged(LastReport_, Reply.Attempts_);
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
    platform::AttemptReport &Report = Attempt.Report_;
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

World::World(uint64_t Seed, int Workers, std::string Id, Oracle *Shared)
    : Random_(Seed), Id_(std::move(Id)),
      Oracle_(Shared == nullptr ? OwnRules_ : *Shared) {
  for (int I = 0; I < Workers; ++I) {
    FakeWorker One;
    One.Id_ = (Shared == nullptr ? "w" : Id_ + "w") + std::to_string(I);
    One.ClockOffset_ = static_cast<int64_t>(Random_.below(1'000'000));
    Workers_.push_back(std::move(One));
  }
  Store_.put(DomainsKey, "in");
  takeOver();
}

base::TimePoint World::now() const {
  return base::TimePoint(std::chrono::milliseconds(NowMs_));
}

base::WallTime World::wall() const {
  return base::WallTime(std::chrono::milliseconds(1'780'000'000'000 + NowMs_));
}

config::Configuration World::configuration() const {
  config::Configuration Out;
  for (const char *Name : {"guild", "bureau"}) {
    config::Workspace &Space = Out.Workspaces_[Name];
    Space.Name_ = Name;
    Space.AgreedShare_ = 0.5;
  }
  Out.Domains_["d1"] = {"d1", "r1", Domain_};
  Out.DomainsRevision_ = Store_.Data_.at(DomainsKey).ModRevision_;
  return Out;
}

std::vector<platform::InstanceEntry> World::instances() const {
  std::vector<platform::InstanceEntry> Out;
  for (const FakeWorker &Worker : Workers_) {
    platform::InstanceEntry Entry;
    Entry.Id_ = Worker.Id_;
    Entry.AgentAddress_ = Worker.Id_;
    Entry.Domain_ = "d1";
    Entry.Rack_ = "r";
    Entry.Capacity_ = Worker.Capacity_;
    Out.push_back(std::move(Entry));
  }
  return Out;
}

bool World::takeOver() {
  store::Txn Create;
  Create.Compares_ = {
      {Prefix + "owner", store::CompareTarget::CreateRevision, 0}};
  Create.Puts_ = {{Prefix + "owner", "x", 0}};
  if (StoreDown_ || !Store_.txn(Create))
    return false;
  FakeOwner Owner;
  Owner.Epoch_ = Store_.Revision_;
  Owner.KeepAliveAt_ = NowMs_;
  Owner.Partition_ = std::make_unique<Partition>(settings(Owner.Epoch_));
  if (!Owner.Partition_->recover(Store_.range(Prefix), now(), wall()))
    Oracle_.fault("recovery failed");
  Owner.Partition_->configure(configuration(), {80'000, 320'000, 0}, now());
  Owner.Partition_->setWorkers(instances(), now());
  Owner.Partition_->setPeerSummaries(Peers_);
  Owners_.push_back(std::move(Owner));
  return true;
}

PartitionSettings World::settings(int64_t Epoch) const {
  PartitionSettings Settings;
  Settings.Id_ = Id_;
  Settings.Epoch_ = Epoch;
  Settings.OwnerKey_ = Prefix + "owner";
  Settings.DomainsKey_ = DomainsKey;
  Settings.Times_.StartDeadline_ = StartDeadline_;
  Settings.Domain_ = "d1";
  Settings.SnapshotAfterBatches_ = SnapshotAfterBatches_;
  return Settings;
}

std::string World::stateText(const Partition &Of) {
  std::string Out;
  for (const JobView &Job : Of.jobs()) {
    Out += Job.Id_ + ":" + std::to_string(static_cast<int>(Job.State_)) +
           Job.TransferredTo_ + Job.RejectReason_ + " ";
    for (const TaskView &Task : Job.Tasks_)
      Out += Task.State_ + std::to_string(Task.Attempt_) + Task.Worker_ + " ";
  }
  for (const UsageRow &Row : Of.usage())
    for (int64_t Value :
         {Row.GrantedCpuMillis_, Row.HeldCpuMillis_, Row.UsedCpuMillis_,
          Row.EstimatedCpuMillis_, static_cast<int64_t>(Row.Evictions_)})
      Out += std::to_string(Value) + " ";
  return Out;
}

void World::checkReplay() {
  Partition *Owner = current();
  if (Owner == nullptr || !Owner->isQuiescent())
    return;
  auto Key = Store_.Data_.find(Prefix + "owner");
  if (Key == Store_.Data_.end() ||
      Key->second.CreateRevision_ != Owners_.back().Epoch_)
    return;
  ++Replays_;
  Partition Copy(settings(Owners_.back().Epoch_));
  if (!Copy.recover(Store_.range(Prefix), now(), wall()) ||
      stateText(Copy) != stateText(*Owner))
    Oracle_.fault("replay gives another state");
}

Partition *World::current() {
  if (Owners_.empty() || Owners_.back().Fenced_ || !Owners_.back().Partition_)
    return nullptr;
  return Owners_.back().Partition_.get();
}

void World::at(int64_t Delay, std::function<void()> What) {
  Events_.emplace(NowMs_ + Delay, std::move(What));
}

// Inputs of a paused owner wait until it runs again.
void World::deliver(int64_t Epoch, std::function<void(Partition &)> Input) {
  for (FakeOwner &Owner : Owners_) {
    if (Owner.Epoch_ != Epoch || !Owner.Partition_)
      continue;
    if (Owner.PausedUntil_ > NowMs_)
      Owner.Held_.push_back([this, Epoch, Input] { deliver(Epoch, Input); });
    else
      Input(*Owner.Partition_);
  }
}

void World::keepAlive(FakeOwner &Owner) {
  auto Key = Store_.Data_.find(Prefix + "owner");
  bool Mine =
      Key != Store_.Data_.end() && Key->second.CreateRevision_ == Owner.Epoch_;
  if (StoreDown_)
    return;
  if (!Mine) {
    Owner.Fenced_ = true;
    return;
  }
  if (NowMs_ - Owner.KeepAliveAt_ < 2000)
    return;
  Owner.KeepAliveAt_ = NowMs_;
  Owner.Partition_->storeContact(now());
  // Watch events may be lost; then only a refused compare brings the change.
  if (LoseAnswers_ == 0 || Random_.below(10) == 0)
    Owner.Partition_->configure(configuration(), {80'000, 320'000, 0}, now());
}

void World::expireOwner() {
  auto Key = Store_.Data_.find(Prefix + "owner");
  if (Key == Store_.Data_.end() || StoreDown_)
    return;
  for (const FakeOwner &Owner : Owners_)
    if (Owner.Epoch_ == Key->second.CreateRevision_ &&
        NowMs_ - Owner.KeepAliveAt_ > OwnerLeaseMs) {
      ++Store_.Revision_;
      Store_.Data_.erase(Key);
      return;
    }
}

void World::step() {
  NowMs_ += StepMs;
  while (!Events_.empty() && Events_.begin()->first <= NowMs_) {
    auto What = std::move(Events_.begin()->second);
    Events_.erase(Events_.begin());
    What();
  }
  for (FakeWorker &Worker : Workers_)
    Worker.step(NowMs_, StepMs, Oracle_);
  for (FakeOwner &Owner : Owners_) {
    if (!Owner.Partition_ || Owner.Fenced_ || Owner.PausedUntil_ > NowMs_)
      continue;
    for (auto &Input : std::exchange(Owner.Held_, {}))
      Input();
    Owner.Partition_->tick(now(), wall());
    for (const Action &Value : Owner.Partition_->takeActions())
      perform(Owner, Value);
    keepAlive(Owner);
    yieldWhenQuiescent(Owner);
  }
  expireOwner();
}

void World::run(int64_t Ms) {
  for (int64_t End = NowMs_ + Ms; NowMs_ < End;)
    step();
}

void World::setDomain(config::DomainState State) {
  ++Store_.Revision_;
  Store_.put(DomainsKey, "changed");
  DomainOutAt_ = State == config::DomainState::InService
                     ? 0
                     : (DomainOutAt_ != 0 ? DomainOutAt_ : NowMs_);
  Domain_ = State;
}

void World::kill() {
  if (!Owners_.empty())
    Owners_.back().Partition_.reset();
}

void World::handOver() {
  if (Partition *Owner = current()) {
    Owner->beginHandover();
    Owners_.back().Yielding_ = true;
  }
}

// As in a serving process, the owner goes on until the store has answered.
void World::yieldWhenQuiescent(FakeOwner &Owner) {
  if (!Owner.Yielding_ || StoreDown_ || !Owner.Partition_->isQuiescent())
    return;
  Owner.Yielding_ = false;
  at(delay(), [this, Epoch = Owner.Epoch_] {
    auto Key = Store_.Data_.find(Prefix + "owner");
    if (Key != Store_.Data_.end() && Key->second.CreateRevision_ == Epoch)
      Store_.Data_.erase(Key);
    takeOver();
    at(delay(), [this, Epoch] {
      for (FakeOwner &One : Owners_)
        if (One.Epoch_ == Epoch)
          One.Partition_.reset();
    });
  });
}

void World::pause(int64_t Ms) {
  if (!Owners_.empty())
    Owners_.back().PausedUntil_ = NowMs_ + Ms;
}

uint64_t World::submit(JobSpec Job) {
  Partition *Owner = current();
  if (Owner == nullptr || Owners_.back().PausedUntil_ > NowMs_)
    return 0;
  Owner->submit(NextCall_, Job, now(), wall());
  return NextCall_++;
}

uint64_t World::cancel(const std::string &Job) {
  Partition *Owner = current();
  if (Owner == nullptr || Owners_.back().PausedUntil_ > NowMs_)
    return 0;
  Owner->cancel(NextCall_, Job, now());
  return NextCall_++;
}

bool World::answered(uint64_t Call) const {
  auto Found = Answers_.find(Call);
  return Found != Answers_.end() && !Found->second;
}

void World::perform(FakeOwner &Owner, const Action &Value) {
  if (const auto *Commit = std::get_if<CommitAction>(&Value))
    commit(Owner, *Commit);
  else if (const auto *Read = std::get_if<ReadBackAction>(&Value))
    readBack(Owner, *Read);
  else if (const auto *Message = std::get_if<WorkerAction>(&Value))
    message(Owner, *Message);
  else if (const auto *Answer = std::get_if<AnswerAction>(&Value))
    Answers_[Answer->Call_] = Answer->Error_;
  else if (const auto *Offer = std::get_if<TransferAction>(&Value))
    Offers_.push_back(*Offer);
  else if (const auto *Ack = std::get_if<TransferAckAction>(&Value))
    Acks_.push_back(*Ack);
  else if (std::holds_alternative<FencedAction>(Value))
    Owner.Fenced_ = true;
  else
    Owner.Partition_->configure(configuration(), {80'000, 320'000, 0}, now());
}

void World::commit(FakeOwner &Owner, const CommitAction &Commit) {
  ++Commits_;
  for (const store::Put &Put : Commit.Txn_.Puts_)
    CommitBytes_ += Put.Value_.size();
  int64_t Epoch = Owner.Epoch_;
  auto Answer = [this, Epoch,
                 Sequence = Commit.Sequence_](CommitStatus Status) {
    deliver(Epoch, [this, Sequence, Status](Partition &P) {
      P.commitDone(Sequence, Status, now());
    });
  };
  if (StoreDown_ && Random_.below(2) == 0) {
    at(CallTimeoutMs, [Answer] { Answer(CommitStatus::NotApplied); });
    return;
  }
  bool Lost = StoreDown_ || lose();
  // A lost request may still take effect much later than its answer is given
  // up.
  int64_t Arrives =
      Lost ? delay() + static_cast<int64_t>(Random_.below(8000)) : delay();
  at(Arrives, [this, Answer, Lost, Txn = Commit.Txn_] {
    if (StoreDown_) {
      if (!Lost)
        at(CallTimeoutMs, [Answer] { Answer(CommitStatus::Uncertain); });
      return;
    }
    bool Applied = Store_.txn(Txn);
    if (auto Batch = decodeBatch(Txn.Puts_.back().Value_); Applied && Batch)
      for (const Entry &One : Batch->Entries_)
        if (One.Kind_ == EntryKind::Evict)
          Oracle_.Evicted_.insert(
              keyOf(One.Job_ + "/" + std::to_string(One.Task_), One.Attempt_));
    if (!Lost)
      at(delay(), [Answer, Applied] {
        Answer(Applied ? CommitStatus::Committed : CommitStatus::CompareFailed);
      });
  });
  if (Lost)
    at(CallTimeoutMs, [Answer] { Answer(CommitStatus::Uncertain); });
}

void World::readBack(FakeOwner &Owner, const ReadBackAction &Read) {
  ++ReadBacks_;
  int64_t Epoch = Owner.Epoch_;
  at(delay(), [this, Epoch, Read] {
    if (StoreDown_) {
      at(500, [this, Epoch, Read] {
        for (FakeOwner &One : Owners_)
          if (One.Epoch_ == Epoch && One.Partition_)
            readBack(One, Read);
      });
      return;
    }
    std::optional<store::KeyValue> Found;
    if (auto It = Store_.Data_.find(Read.Key_); It != Store_.Data_.end())
      Found = It->second;
    deliver(Epoch, [this, Read, Found](Partition &P) {
      P.readBackDone(Read.Sequence_, Found, now());
    });
  });
}

// An owner that gave an attempt up runs its task again, whatever the worker
// reports of it later.
void World::noteForget(const FakeOwner &Owner,
                       const platform::WorkerRequest &To) {
  for (const platform::WorkerCommand &Command : To.Commands_) {
    if (Command.Kind_ != CommandKind::Forget)
      continue;
    auto Log = Owner.Partition_->explain(Command.Task_);
    auto Last =
        std::find_if(Log.rbegin(), Log.rend(), [&](const DecisionRecord &Line) {
          return Line.Worker_ == To.Worker_ &&
                 (Line.Event_ == "end" || Line.Event_ == "finish");
        });
    if (Last == Log.rend() || Last->Reason_ != "worker report")
      Oracle_.Unreported_.insert(keyOf(Command.Task_, Command.Attempt_));
  }
}

void World::message(FakeOwner &Owner, const WorkerAction &Message) {
  noteForget(Owner, Message.Request_);
  auto Wire =
      platform::decodeRequest(platform::encodeRequest(Message.Request_));
  if (!Wire ||
      Wire.value().Commands_.size() != Message.Request_.Commands_.size())
    Oracle_.fault("a worker refuses a request as malformed");
  if (!Message.Request_.ExpectedIncarnation_.empty())
    LastStart_ = Wire.value();
  int64_t Epoch = Owner.Epoch_;
  auto Fail = [this, Epoch, Token = Message.Token_] {
    deliver(Epoch, [this, Token](Partition &P) {
      P.workerReply(Token, base::Error{}, now());
    });
  };
  bool LoseRequest = lose();
  bool LoseReply = lose();
  // Some messages take longer than a start's deadline; the answer then waits.
  int64_t Way = LoseAnswers_ > 0 && Random_.below(50) == 0
                    ? static_cast<int64_t>(Random_.below(8000))
                    : delay();
  if (DelayStartsMs_ > 0 && !Message.Request_.ExpectedIncarnation_.empty()) {
    Way = std::exchange(DelayStartsMs_, 0);
    LoseReply = true;
    at(0, Fail);
  }
  at(Way, [this, Epoch, Message, Fail, LoseRequest, LoseReply] {
    auto Found = std::find_if(Workers_.begin(), Workers_.end(),
                              [&Message](const FakeWorker &W) {
                                return W.Id_ == Message.Request_.Worker_;
                              });
    if (Found->CutOff_ || LoseRequest) {
      at(CallTimeoutMs, Fail);
      return;
    }
    uint32_t Before = Oracle_.Starts_;
    platform::WorkerReply Reply =
        Found->handle(Message.Request_, NowMs_, Oracle_);
    if (Oracle_.Starts_ != Before && DomainOutAt_ != 0 &&
        NowMs_ - DomainOutAt_ > 3000)
      Oracle_.fault("start after the domain was out for 3 s");
    if (ForgeStops_)
      for (platform::AttemptReport &Report : Reply.Attempts_)
        if (Report.State_ == AttemptState::Checkpointing)
          Report.State_ = AttemptState::Stopped;
    auto Wire = platform::decodeReply(platform::encodeReply(Reply));
    if (!Wire)
      Oracle_.fault("an owner refuses a reply as malformed");
    if (LoseReply || Found->LoseReplies_ || !Wire)
      at(CallTimeoutMs, Fail);
    else
      at(delay(), [this, Epoch, Reply, Token = Message.Token_] {
        deliver(Epoch, [this, Reply, Token](Partition &P) {
          P.workerReply(Token, Reply, now());
        });
      });
  });
}

JobSpec batchJob(const std::string &Id, uint32_t Tasks, int64_t RunMs) {
  JobSpec Job;
  Job.Id_ = Id;
  Job.Workspace_ = "guild";
  Job.Kind_ = "run";
  Job.TaskCount_ = Tasks;
  Job.PerTask_ = {1000, 2000, 0};
  Job.RunTimeMs_ = RunMs;
  return Job;
}

} // namespace crocuslead::partition::test
