#include "WorkerStandin.h"

#include "cluster/WorkerCodec.h"

#include <asio/steady_timer.hpp>
#include <cstdlib>

namespace crocuslead::standins {

namespace {

using cluster::AttemptState;
using cluster::CommandReply;
using cluster::CommandStatus;
using nlohmann::json;

constexpr auto CheckpointTime = std::chrono::milliseconds(200);
constexpr const char *BusyHeader = "Crocuslead-Worker-Busy";

bool hasEnded(AttemptState State) {
  return State == AttemptState::Finished || State == AttemptState::Failed ||
         State == AttemptState::Stopped;
}

//! A checkpoint token is the finished part of the work in milliseconds.
double checkpointMs(const std::string &Token) {
  return Token.empty() ? 0 : std::atof(Token.c_str());
}

} // namespace

WorkerStandin::WorkerStandin(asio::io_context &Loop, WorkerSpec Spec,
                             Observer &Watch)
    : Loop_(Loop), Spec_(std::move(Spec)), Watch_(Watch),
      LastAdvance_(Clock_.now()) {}

void WorkerStandin::handle(http::Request Request,
                           const std::shared_ptr<http::Responder> &Out) {
  if (Faults_.Down_ || Faults_.Cut_) {
    Out->abort();
    return;
  }
  if (Request.Target_ == "/v1/commands")
    agent(Request, Out);
  else
    serve(std::move(Request), Out);
}

void WorkerStandin::agent(const http::Request &Request,
                          const std::shared_ptr<http::Responder> &Out) {
  static const std::map<cluster::CommandKind, Execute> Commands = {
      {cluster::CommandKind::Start, &WorkerStandin::start},
      {cluster::CommandKind::Stop, &WorkerStandin::stop},
      {cluster::CommandKind::CheckpointStop, &WorkerStandin::checkpointStop},
      {cluster::CommandKind::Throttle, &WorkerStandin::throttle},
      {cluster::CommandKind::Forget, &WorkerStandin::forget}};
  auto Decoded = cluster::decodeRequest(Request.Body_);
  if (!Decoded) {
    Out->send({400, {}, "malformed request"});
    return;
  }
  advance();
  const cluster::WorkerRequest &Message = Decoded.value();
  cluster::WorkerReply Reply;
  Reply.EpochRefused_ = Message.Epoch_ < HighestEpoch_;
  if (!Reply.EpochRefused_) {
    HighestEpoch_ = Message.Epoch_;
    if (Message.LeaseMs_ > 0)
      LeaseEnd_ = Clock_.now() + std::chrono::milliseconds(Message.LeaseMs_);
    bool Known = Message.ExpectedIncarnation_.empty() ||
                 Message.ExpectedIncarnation_ == incarnation();
    for (const cluster::WorkerCommand &Command : Message.Commands_)
      Reply.Commands_.push_back(
          Known || Command.Kind_ != cluster::CommandKind::Start
              ? (this->*Commands.at(Command.Kind_))(Command)
              : CommandReply{CommandStatus::Refused, "incarnation"});
    Reply.HasReport_ = Message.WantReport_;
    for (const auto &[Key, Each] : Attempts_)
      Reply.Attempts_.push_back(report(Each));
    for (const cluster::AttemptReport &Each : Reply.Attempts_)
      if (Message.WantReport_ && Each.State_ == cluster::AttemptState::Finished)
        Watch_.finishReported(Each.Task_);
    Reply.Changed_ = !Message.WantReport_ &&
                     cluster::hasChanged(LastReport_, Reply.Attempts_);
    if (!Message.WantReport_)
      Reply.Attempts_.clear();
  }
  Reply.WorkerClockMs_ = clockMs();
  Reply.HighestEpoch_ = HighestEpoch_;
  Reply.Incarnation_ = incarnation();
  if (Reply.HasReport_)
    Reply.ReportSequence_ = ++ReportSequence_;
  cluster::ReportBase Former = LastReport_;
  if (Reply.HasReport_)
    LastReport_ = cluster::makeReportBase(Reply, HighestEpoch_);
  if (!Reply.EpochRefused_ && Message.KnownReport_ != 0 &&
      Message.KnownReport_ == Former.token() && Former.Epoch_ == HighestEpoch_)
    packReply(Reply, Former);
  Out->send({200, {}, cluster::encodeReply(Reply)});
}

CommandReply WorkerStandin::start(const cluster::WorkerCommand &Command) {
  AttemptKey Key{Command.Task_, Command.Attempt_};
  if (Attempts_.count(Key) != 0)
    return {CommandStatus::Done, ""};
  if (Command.DeadlineWorkerMs_ > 0 && clockMs() > Command.DeadlineWorkerMs_)
    return {CommandStatus::Refused, "deadline"};
  if (Clock_.now() >= LeaseEnd_)
    return {CommandStatus::Refused, "no lease"};
  if (Faults_.FailStarts_)
    return {CommandStatus::Failed, "start failed"};
  if (!(held() + Command.Granted_).fitsIn(Spec_.Capacity_)) {
    Watch_.capacityExceeded();
    return {CommandStatus::Refused, "capacity"};
  }
  Attempt Added;
  Added.Command_ = Command;
  Added.DoneMs_ = checkpointMs(Command.Checkpoint_);
  Watch_.taskStarted(Command.Task_, Spec_.Id_, Spec_.Domain_,
                     static_cast<int64_t>(Added.DoneMs_),
                     Clock_.wallNow().time_since_epoch().count());
  Attempts_.emplace(Key, std::move(Added));
  return {CommandStatus::Done, ""};
}

CommandReply WorkerStandin::stop(const cluster::WorkerCommand &Command) {
  auto Found = Attempts_.find({Command.Task_, Command.Attempt_});
  if (Found != Attempts_.end() && !hasEnded(Found->second.State_))
    end(Found->second, AttemptState::Stopped, false);
  return {CommandStatus::Done, ""};
}

CommandReply
WorkerStandin::checkpointStop(const cluster::WorkerCommand &Command) {
  auto Found = Attempts_.find({Command.Task_, Command.Attempt_});
  if (Found != Attempts_.end() &&
      Found->second.State_ == AttemptState::Running) {
    Found->second.State_ = AttemptState::Checkpointing;
    Found->second.CheckpointDone_ = Clock_.now() + CheckpointTime;
  }
  return {CommandStatus::Done, ""};
}

CommandReply WorkerStandin::throttle(const cluster::WorkerCommand &Command) {
  auto Found = Attempts_.find({Command.Task_, Command.Attempt_});
  if (Found != Attempts_.end())
    Found->second.ThrottlePercent_ = Command.ThrottlePercent_;
  return {CommandStatus::Done, ""};
}

CommandReply WorkerStandin::forget(const cluster::WorkerCommand &Command) {
  auto Found = Attempts_.find({Command.Task_, Command.Attempt_});
  if (Found != Attempts_.end() && hasEnded(Found->second.State_))
    Attempts_.erase(Found);
  return {CommandStatus::Done, ""};
}

void WorkerStandin::advance() {
  base::TimePoint Now = Clock_.now();
  double StepMs =
      std::chrono::duration<double, std::milli>(Now - LastAdvance_).count();
  LastAdvance_ = Now;
  if (Faults_.Down_)
    return;
  for (auto &[Key, Each] : Attempts_) {
    if (Each.State_ == AttemptState::Checkpointing &&
        Now >= Each.CheckpointDone_)
      end(Each, AttemptState::Stopped, true);
    if (Each.State_ != AttemptState::Running)
      continue;
    Each.RunMs_ += StepMs;
    constexpr double MilliPerCore = 1000;
    Watch_.cpuUsed(StepMs *
                   static_cast<double>(Each.Command_.Granted_.MilliCpu_) /
                   MilliPerCore);
    Each.DoneMs_ +=
        StepMs * (100 - Each.ThrottlePercent_) / 100 / Faults_.SlowFactor_;
    auto RunTime = static_cast<double>(Each.Command_.RunTimeMs_);
    if (RunTime > 0 && Each.DoneMs_ >= RunTime)
      end(Each, AttemptState::Finished, false);
    else if (Now >= LeaseEnd_)
      end(Each, AttemptState::Stopped, true);
  }
}

void WorkerStandin::end(Attempt &Target, AttemptState State, bool Checkpoint) {
  Target.State_ = State;
  if (State == AttemptState::Finished) {
    Watch_.taskFinished(Target.Command_.Task_, Spec_.Id_);
    return;
  }
  if (Checkpoint)
    Target.Command_.Checkpoint_ =
        std::to_string(static_cast<int64_t>(Target.DoneMs_));
  Watch_.taskStopped(Target.Command_.Task_, Spec_.Id_,
                     Checkpoint ? static_cast<int64_t>(Target.DoneMs_) : 0);
}

base::Resources WorkerStandin::held() const {
  base::Resources Sum;
  for (const auto &[Key, Each] : Attempts_)
    if (!hasEnded(Each.State_))
      Sum += Each.Command_.Granted_;
  return Sum;
}

std::string WorkerStandin::incarnation() const {
  return Spec_.Id_ + "." + std::to_string(Boots_);
}

int64_t WorkerStandin::clockMs() const {
  return base::toMillis(Clock_.now().time_since_epoch());
}

cluster::AttemptReport WorkerStandin::report(const Attempt &Source) const {
  cluster::AttemptReport Out;
  Out.Task_ = Source.Command_.Task_;
  Out.Attempt_ = Source.Command_.Attempt_;
  Out.State_ = Source.State_;
  Out.RunMillis_ = static_cast<int64_t>(Source.RunMs_);
  constexpr int64_t MilliPerCore = 1000;
  Out.CpuMillis_ =
      Out.RunMillis_ * Source.Command_.Granted_.MilliCpu_ / MilliPerCore;
  Out.MemoryMbMillis_ = Out.RunMillis_ * Source.Command_.Granted_.MemoryMb_;
  Out.SpeedPercent_ = static_cast<int>(100 / Faults_.SlowFactor_);
  if (Source.Command_.RunTimeMs_ > 0)
    Out.ProgressPercent_ = static_cast<int>(
        100 * Source.DoneMs_ / static_cast<double>(Source.Command_.RunTimeMs_));
  Out.Checkpoint_ = Source.Command_.Checkpoint_;
  return Out;
}

void WorkerStandin::serve(http::Request Request,
                          const std::shared_ptr<http::Responder> &Out) {
  if (InFlight_ >= Spec_.Slots_) {
    Watch_.slotsExceeded();
    Out->send({503, {{BusyHeader, "1"}}, ""});
    return;
  }
  ++InFlight_;
  if (const std::string *Key =
          http::findHeader(Request.Headers_, "Idempotency-Key"))
    Watch_.requestRan(*Key);
  auto Delay = std::make_shared<asio::steady_timer>(
      Loop_, std::chrono::milliseconds(
                 static_cast<int64_t>(Spec_.ServiceMs_ * Faults_.SlowFactor_)));
  Delay->async_wait([this, Delay, Request = std::move(Request),
                     Out](const auto &) {
    --InFlight_;
    json Body = {{"worker", Spec_.Id_},
                 {"domain", Spec_.Domain_},
                 {"target", Request.Target_},
                 {"echo", Request.Body_}};
    if (const std::string *Tag = http::findHeader(Request.Headers_, "X-Tag"))
      Body["tag"] = *Tag;
    auto Size = Request.Target_.find("size=");
    if (Size != std::string::npos)
      Body["padding"] = std::string(static_cast<std::size_t>(std::atoll(
                                        Request.Target_.c_str() + Size + 5)),
                                    'x');
    if (Faults_.Down_)
      Out->abort();
    else
      Out->send({200, {{"Content-Type", "application/json"}}, Body.dump()});
  });
}

void WorkerStandin::setFaults(const json &Change) {
  advance();
  bool WasDown = Faults_.Down_;
  Faults_.Down_ = Change.value("down", Faults_.Down_);
  Faults_.Cut_ = Change.value("cut", Faults_.Cut_);
  Faults_.FailStarts_ = Change.value("fail_starts", Faults_.FailStarts_);
  Faults_.SlowFactor_ = Change.value("slow_factor", Faults_.SlowFactor_);
  if (Faults_.Down_ && !WasDown) {
    for (auto &[Key, Each] : Attempts_)
      if (!hasEnded(Each.State_))
        end(Each, AttemptState::Stopped, false);
    Attempts_.clear();
    HighestEpoch_ = 0;
    ReportSequence_ = 0;
    LastReport_ = {};
    ++Boots_;
    LeaseEnd_ = {};
  }
}

json WorkerStandin::listEntry() const {
  std::string Address = "127.0.0.1:" + std::to_string(Spec_.Port_);
  return {{"id", Spec_.Id_},
          {"state", "live"},
          {"domain", Spec_.Domain_},
          {"region", Spec_.Region_},
          {"rack", Spec_.Rack_},
          {"agent", Address},
          {"upstream", Address},
          {"services", {Spec_.Service_}},
          {"cpu_milli", Spec_.Capacity_.MilliCpu_},
          {"memory_mb", Spec_.Capacity_.MemoryMb_},
          {"accelerators", Spec_.Capacity_.Accelerators_},
          {"slots", Spec_.Slots_},
          {"connections", 64}};
}

json WorkerStandin::tasks() const {
  json Rows = json::array();
  for (const auto &[Key, Each] : Attempts_)
    Rows.push_back({{"task", Key.first},
                    {"attempt", Key.second},
                    {"ended", hasEnded(Each.State_)},
                    {"done_ms", Each.DoneMs_}});
  return Rows;
}

} // namespace crocuslead::standins
