#include "relay/Messages.h"

#include <nlohmann/json.hpp>

#include <cmath>

namespace crocuslead::relay {

namespace {

using namespace jobs;
using nlohmann::json;

json taskToJson(const TaskId &Task) {
  return json::array({Task.Job_, Task.Position_.Occurrence_,
                      Task.Position_.Step_, Task.Position_.Index_});
}

TaskId taskFromJson(const json &In) {
  return {In.at(0).get<std::string>(),
          {In.at(1).get<uint32_t>(), In.at(2).get<uint32_t>(),
           In.at(3).get<uint32_t>()}};
}

json bodyToJson(const StartRequest &Start) {
  return json::array(
      {taskToJson(Start.Task_), Start.Run_, Start.Payload_, Start.PayloadApart_,
       Start.PayloadHash_, Start.PayloadSource_, Start.Checkpoint_,
       Start.LeaseUntilMs_, Start.FencingToken_, Start.FirstToken_});
}

json bodyToJson(const StopRequest &Stop) {
  return json::array({taskToJson(Stop.Task_), Stop.Run_, Stop.FencingToken_,
                      Stop.FirstToken_});
}

json bodyToJson(const ThrottleRequest &Throttle) {
  return json::array({taskToJson(Throttle.Task_), Throttle.Run_,
                      Throttle.SpeedPercent_, Throttle.FencingToken_,
                      Throttle.FirstToken_});
}

json bodyToJson(const PollRequest &Poll) {
  return json::array(
      {Poll.FencingToken_, Poll.AcknowledgedSequence_,
       Poll.LeaseUntilMs_ ? json(*Poll.LeaseUntilMs_) : json(nullptr),
       Poll.Wait_.count(), Poll.FirstToken_});
}

// Versions before this one send none.
uint64_t firstTokenFromJson(const json &In, std::size_t Index) {
  return In.size() > Index ? In[Index].get<uint64_t>() : 0;
}

StartRequest startFromJson(const json &In) {
  StartRequest Out;
  Out.Task_ = taskFromJson(In.at(0));
  Out.Run_ = In.at(1).get<uint64_t>();
  Out.Payload_ = In.at(2).get<std::string>();
  Out.PayloadApart_ = In.at(3).get<bool>();
  Out.PayloadHash_ = In.at(4).get<uint64_t>();
  Out.PayloadSource_ = In.at(5).get<std::string>();
  Out.Checkpoint_ = In.at(6).get<std::string>();
  Out.LeaseUntilMs_ = In.at(7).get<int64_t>();
  Out.FencingToken_ = In.at(8).get<uint64_t>();
  Out.FirstToken_ = firstTokenFromJson(In, 9);
  return Out;
}

StopRequest stopFromJson(const json &In) {
  return {taskFromJson(In.at(0)), In.at(1).get<uint64_t>(),
          In.at(2).get<uint64_t>(), firstTokenFromJson(In, 3)};
}

ThrottleRequest throttleFromJson(const json &In) {
  return {taskFromJson(In.at(0)), In.at(1).get<uint64_t>(), In.at(2).get<int>(),
          In.at(3).get<uint64_t>(), firstTokenFromJson(In, 4)};
}

PollRequest pollFromJson(const json &In) {
  PollRequest Out;
  Out.FencingToken_ = In.at(0).get<uint64_t>();
  Out.AcknowledgedSequence_ = In.at(1).get<uint64_t>();
  if (!In.at(2).is_null())
    Out.LeaseUntilMs_ = In[2].get<int64_t>();
  Out.Wait_ = base::Duration(In.at(3).get<int64_t>());
  Out.FirstToken_ = firstTokenFromJson(In, 4);
  return Out;
}

// By the index of the alternative in RequestBody.
using BodyParser = RequestBody (*)(const json &);
constexpr BodyParser BodyParsers[] = {
    [](const json &In) -> RequestBody { return startFromJson(In); },
    [](const json &In) -> RequestBody { return stopFromJson(In); },
    [](const json &In) -> RequestBody { return throttleFromJson(In); },
    [](const json &In) -> RequestBody { return pollFromJson(In); },
};

// Whole numbers take fewer bytes.
json loadToJson(double Load) {
  double Whole = std::round(Load);
  return Whole == Load && std::abs(Whole) < 1e9
             ? json(static_cast<int64_t>(Whole))
             : json(Load);
}

json reportToJson(const WorkerReport &Report) {
  json Running = json::array();
  for (const RunStatus &Run : Report.Running_)
    Running.push_back({taskToJson(Run.Task_), Run.Run_, Run.Checkpoint_,
                       Run.ProgressPercent_, loadToJson(Run.Load_)});
  json Ended = json::array();
  for (const RunResult &Run : Report.Ended_)
    Ended.push_back({Run.SequenceNumber_, taskToJson(Run.Task_), Run.Run_,
                     static_cast<int>(Run.Outcome_), Run.Checkpoint_});
  return json::array({Report.ClockMs_, Report.StartTimeMs_, std::move(Running),
                      std::move(Ended), Report.Truncated_});
}

template <typename Enum> Enum enumFromJson(const json &In, Enum Last) {
  int Value = In.get<int>();
  if (Value < 0 || Value > static_cast<int>(Last))
    throw json::other_error::create(
        501, std::to_string(Value) + " is out of range", nullptr);
  return static_cast<Enum>(Value);
}

WorkerReport reportFromJson(const json &In) {
  WorkerReport Out;
  Out.ClockMs_ = In.at(0).get<int64_t>();
  Out.StartTimeMs_ = In.at(1).get<int64_t>();
  for (const json &Row : In.at(2))
    Out.Running_.push_back({taskFromJson(Row.at(0)), Row.at(1).get<uint64_t>(),
                            Row.at(2).get<std::string>(), Row.at(3).get<int>(),
                            Row.at(4).get<double>()});
  for (const json &Row : In.at(3))
    Out.Ended_.push_back({Row.at(0).get<uint64_t>(), taskFromJson(Row.at(1)),
                          Row.at(2).get<uint64_t>(),
                          enumFromJson(Row.at(3), RunOutcome::GangIncomplete),
                          Row.at(4).get<std::string>()});
  Out.Truncated_ = In.at(4).get<bool>();
  return Out;
}

json infoToJson(const RelayInfo &Info) {
  return json::array(
      {Info.Address_, Info.Domain_, Info.Region_, Info.Weight_, Info.Leaving_});
}

RelayInfo infoFromJson(const json &In) {
  return {In.at(0).get<std::string>(), In.at(1).get<std::string>(),
          In.at(2).get<std::string>(), In.at(3).get<double>(),
          In.at(4).get<bool>()};
}

std::string toBytes(const json &Value) {
  std::string Out;
  json::to_cbor(Value, Out);
  return Out;
}

template <typename T, typename Parse>
base::Result<T> fromBytes(const std::string &Bytes, const Parse &FromJson) {
  try {
    return FromJson(json::from_cbor(Bytes));
  } catch (const json::exception &E) {
    return base::fail(base::ErrorKind::InvalidRequest,
                      std::string("cannot decode relay message: ") + E.what());
  }
}

} // namespace

uint64_t fencingToken(const RequestBody &Body) {
  return std::visit([](const auto &Each) { return Each.FencingToken_; }, Body);
}

uint64_t firstToken(const RequestBody &Body) {
  return std::visit(
      [](const auto &Each) {
        return Each.FirstToken_ != 0 ? Each.FirstToken_ : Each.FencingToken_;
      },
      Body);
}

std::size_t encodedBytes(const RelayedRequest &Request) {
  constexpr std::size_t Fixed = 110;
  const auto *Start = std::get_if<StartRequest>(&Request.Body_);
  return Start == nullptr
             ? Fixed
             : Fixed + Start->Payload_.size() + Start->Checkpoint_.size();
}

std::size_t encodedBytes(const RelayedReply &Reply) {
  constexpr std::size_t Fixed = 40;
  constexpr std::size_t Row = 40;
  std::size_t Sum = Fixed;
  if (!Reply.Report_)
    return Sum;
  for (const RunStatus &Run : Reply.Report_->Running_)
    Sum += Row + Run.Checkpoint_.size();
  for (const RunResult &Run : Reply.Report_->Ended_)
    Sum += Row + Run.Checkpoint_.size();
  return Sum;
}

std::string encode(const RequestBatch &Batch) {
  json Rows = json::array();
  for (const RelayedRequest &Each : Batch.Requests_)
    Rows.push_back(
        {Each.Number_, Each.To_.Id_, Each.To_.Address_, Each.NotAfterMs_,
         Each.Body_.index(),
         std::visit([](const auto &Body) { return bodyToJson(Body); },
                    Each.Body_)});
  return toBytes(json::array(
      {Batch.Incarnation_, Batch.Session_, Batch.ReplyTo_, std::move(Rows)}));
}

base::Result<RequestBatch> decodeRequests(const std::string &Bytes) {
  return fromBytes<RequestBatch>(Bytes, [](const json &In) {
    RequestBatch Out;
    Out.Incarnation_ = In.at(0).get<std::string>();
    Out.Session_ = In.at(1).get<std::string>();
    Out.ReplyTo_ = In.at(2).get<std::string>();
    for (const json &Row : In.at(3)) {
      RelayedRequest Each;
      Each.Number_ = Row.at(0).get<uint64_t>();
      Each.To_.Id_ = Row.at(1).get<std::string>();
      Each.To_.Address_ = Row.at(2).get<std::string>();
      Each.NotAfterMs_ = Row.at(3).get<int64_t>();
      auto Kind = Row.at(4).get<std::size_t>();
      if (Kind >= std::size(BodyParsers))
        throw json::other_error::create(
            501, "request kind " + std::to_string(Kind) + " is unknown",
            nullptr);
      Each.Body_ = BodyParsers[Kind](Row.at(5));
      Out.Requests_.push_back(std::move(Each));
    }
    return Out;
  });
}

std::string encode(const ReplyBatch &Batch) {
  json Rows = json::array();
  for (const RelayedReply &Each : Batch.Replies_)
    Rows.push_back({Each.Number_, static_cast<int>(Each.Status_),
                    Each.ClockMs_ ? json(*Each.ClockMs_) : json(nullptr),
                    Each.Report_ ? reportToJson(*Each.Report_) : json(nullptr),
                    Each.PayloadWait_.count()});
  return toBytes(json::array(
      {Batch.Instance_, Batch.Incarnation_, Batch.Session_, Batch.ClockMs_,
       Batch.Info_ ? infoToJson(*Batch.Info_) : json(nullptr),
       std::move(Rows)}));
}

base::Result<ReplyBatch> decodeReplies(const std::string &Bytes) {
  return fromBytes<ReplyBatch>(Bytes, [](const json &In) {
    ReplyBatch Out;
    Out.Instance_ = In.at(0).get<std::string>();
    Out.Incarnation_ = In.at(1).get<std::string>();
    Out.Session_ = In.at(2).get<std::string>();
    Out.ClockMs_ = In.at(3).get<int64_t>();
    if (!In.at(4).is_null())
      Out.Info_ = infoFromJson(In[4]);
    for (const json &Row : In.at(5)) {
      RelayedReply Each;
      Each.Number_ = Row.at(0).get<uint64_t>();
      Each.Status_ = enumFromJson(Row.at(1), RequestStatus::Withheld);
      if (!Row.at(2).is_null())
        Each.ClockMs_ = Row[2].get<int64_t>();
      if (!Row.at(3).is_null())
        Each.Report_ = reportFromJson(Row[3]);
      Each.PayloadWait_ = base::Duration(Row.at(4).get<int64_t>());
      Out.Replies_.push_back(std::move(Each));
    }
    return Out;
  });
}

} // namespace crocuslead::relay
