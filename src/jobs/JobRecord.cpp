#include "jobs/JobRecord.h"

#include "base/NameTable.h"

#include <nlohmann/json.hpp>

namespace crocuslead::jobs {

namespace {

using nlohmann::json;

constexpr auto StateNames =
    base::makeNameTable<JobState>({{JobState::Queued, "queued"},
                                   {JobState::Running, "running"},
                                   {JobState::Completed, "completed"},
                                   {JobState::Failed, "failed"},
                                   {JobState::Cancelled, "cancelled"}});

int64_t unixMillis(base::WallTime Time) {
  return Time.time_since_epoch().count();
}

base::WallTime wallTime(int64_t UnixMs) {
  return base::WallTime(std::chrono::milliseconds(UnixMs));
}

template <typename T>
void putNonZero(json &Out, const char *Name, const T &Value) {
  if (Value != T{})
    Out[Name] = Value;
}

json stepToJson(const StepSpec &Step) {
  json Out = {{"count", Step.Count_}};
  putNonZero(Out, "cpu", Step.Request_.MilliCpu_);
  putNonZero(Out, "memory", Step.Request_.MemoryMb_);
  putNonZero(Out, "accelerators", Step.Request_.Accelerators_);
  putNonZero(Out, "estimate_us", Step.EstimatedDuration_.count());
  putNonZero(Out, "after", Step.Dependencies_);
  putNonZero(Out, "checkpoints", Step.Checkpoints_);
  putNonZero(Out, "gang", Step.Gang_);
  putNonZero(Out, "tight", Step.TightlyCoupled_);
  putNonZero(Out, "label", Step.RequiredLabel_);
  putNonZero(Out, "rack", Step.DataRack_);
  putNonZero(Out, "per_worker", Step.MaxPerWorker_);
  putNonZero(Out, "speculative", Step.Speculative_);
  putNonZero(Out, "long_running", Step.LongRunning_);
  putNonZero(Out, "image", Step.Image_);
  putNonZero(Out, "tail_us", Step.TailLatencyTarget_.count());
  putNonZero(Out, "best_effort", Step.BestEffort_);
  if (Step.HasDisruptionBudget_)
    Out["budget"] = Step.DisruptionBudget_;
  return Out;
}

StepSpec stepFromJson(const json &In) {
  StepSpec Step;
  Step.Count_ = In.at("count").get<uint32_t>();
  Step.Request_.MilliCpu_ = In.value("cpu", int64_t{0});
  Step.Request_.MemoryMb_ = In.value("memory", int64_t{0});
  Step.Request_.Accelerators_ = In.value("accelerators", int64_t{0});
  Step.EstimatedDuration_ = base::Duration(In.value("estimate_us", int64_t{0}));
  Step.Dependencies_ = In.value("after", std::vector<uint32_t>{});
  Step.Checkpoints_ = In.value("checkpoints", false);
  Step.Gang_ = In.value("gang", false);
  Step.TightlyCoupled_ = In.value("tight", false);
  Step.RequiredLabel_ = In.value("label", "");
  Step.DataRack_ = In.value("rack", "");
  Step.MaxPerWorker_ = In.value("per_worker", uint32_t{0});
  Step.Speculative_ = In.value("speculative", false);
  Step.LongRunning_ = In.value("long_running", false);
  Step.Image_ = In.value("image", "");
  Step.TailLatencyTarget_ = base::Duration(In.value("tail_us", int64_t{0}));
  Step.BestEffort_ = In.value("best_effort", false);
  Step.HasDisruptionBudget_ = In.contains("budget");
  Step.DisruptionBudget_ = In.value("budget", uint32_t{0});
  return Step;
}

// Rows of earlier versions end before these.
constexpr std::size_t CrashesIndex = 5;
constexpr std::size_t WorkerIndex = 3;
constexpr std::size_t LateRunIndex = 4;
constexpr std::size_t LateStateIndex = 5;

json crashesToJson(const std::vector<SuspectedCrash> &Crashes) {
  json Out = json::array();
  for (const SuspectedCrash &Each : Crashes)
    Out.push_back({Each.Run_, CrashEvidenceNames.name(Each.Evidence_)});
  return Out;
}

std::vector<SuspectedCrash> crashesFromJson(const json &In) {
  std::vector<SuspectedCrash> Out;
  for (const json &Each : In)
    Out.push_back({Each.at(0).get<uint64_t>(),
                   CrashEvidenceNames.parse(Each.at(1).get<std::string>())
                       .value_or(CrashEvidence::Shared)});
  return Out;
}

json positionToJson(const TaskPosition &Position) {
  return json::array({Position.Occurrence_, Position.Step_, Position.Index_});
}

TaskPosition positionFromJson(const json &In) {
  return {In.at(0).get<uint32_t>(), In.at(1).get<uint32_t>(),
          In.at(2).get<uint32_t>()};
}

std::string toBytes(const json &Value) {
  std::vector<uint8_t> Bytes = json::to_cbor(Value);
  return {Bytes.begin(), Bytes.end()};
}

template <typename T, typename Parse>
base::Result<T> fromBytes(const std::string &Bytes, const Parse &FromJson) {
  try {
    return FromJson(json::from_cbor(Bytes));
  } catch (const json::exception &E) {
    return base::fail(base::ErrorKind::InvalidRequest,
                      std::string("cannot decode stored record: ") + E.what());
  }
}

} // namespace

std::string_view jobStateName(JobState State) { return StateNames.name(State); }

std::optional<JobState> parseJobState(std::string_view Name) {
  return StateNames.parse(Name);
}

std::string encode(const JobRecord &Record) {
  json Steps = json::array();
  for (const StepSpec &Step : Record.Spec_.Steps_)
    Steps.push_back(stepToJson(Step));
  json Out = {{"queue", Record.Queue_},
              {"accepted", unixMillis(Record.AcceptedAt_)},
              {"steps", std::move(Steps)}};
  putNonZero(Out, "accepted_by", Record.AcceptedBy_);
  // A version that can't read payloads apart then rejects the record, instead
  // of starting tasks without their payload.
  if (Record.PayloadApart_)
    Out["payload_hash"] = Record.PayloadHash_;
  else
    Out["payload"] = Record.Spec_.Payload_;
  putNonZero(Out, "repetitions", Record.Spec_.Repetitions_);
  if (Record.Spec_.Repetitions_ > 0) {
    Out["first"] = unixMillis(Record.Spec_.FirstRun_);
    Out["interval"] = Record.Spec_.Interval_.count();
  }
  return toBytes(Out);
}

base::Result<JobRecord> decodeJobRecord(const std::string &Bytes) {
  return fromBytes<JobRecord>(Bytes, [](const json &In) {
    JobRecord Out;
    Out.Queue_ = In.at("queue").get<std::string>();
    Out.AcceptedAt_ = wallTime(In.at("accepted").get<int64_t>());
    Out.AcceptedBy_ = In.value("accepted_by", "");
    Out.PayloadApart_ = In.contains("payload_hash");
    Out.PayloadHash_ = In.value("payload_hash", uint64_t{0});
    if (!Out.PayloadApart_)
      Out.Spec_.Payload_ = In.at("payload").get<std::string>();
    for (const json &Step : In.at("steps"))
      Out.Spec_.Steps_.push_back(stepFromJson(Step));
    Out.Spec_.Repetitions_ = In.value("repetitions", uint32_t{0});
    Out.Spec_.FirstRun_ = wallTime(In.value("first", int64_t{0}));
    Out.Spec_.Interval_ =
        std::chrono::milliseconds(In.value("interval", int64_t{0}));
    return Out;
  });
}

std::string encode(const JobProgress &Progress) {
  json Out = {{"state", jobStateName(Progress.State_)}};
  if (Progress.EndedAt_)
    Out["ended"] = unixMillis(*Progress.EndedAt_);
  putNonZero(Out, "first_term", Progress.FirstTerm_);
  putNonZero(Out, "occurrences", Progress.OccurrencesDone_);
  for (const TaskPosition &Position : Progress.DoneTasks_)
    Out["done"].push_back(positionToJson(Position));
  for (const auto &[Position, Location] : Progress.Locations_) {
    json Row = positionToJson(Position);
    Row.push_back(Location.Worker_);
    Out[Location.Located_ ? "located" : "starting"].push_back(std::move(Row));
  }
  for (const auto &[Position, Late] : Progress.LateStarts_) {
    json Row = positionToJson(Position);
    Row.push_back(Late.Worker_);
    Row.push_back(Late.Run_);
    Row.push_back(std::string(LateStartStateNames.name(Late.State_)));
    Out["late"].push_back(std::move(Row));
  }
  for (const auto &[Position, Task] : Progress.UnfinishedTasks_) {
    json Row = positionToJson(Position);
    Row.push_back(Task.FailedRuns_);
    Row.push_back(Task.Checkpoint_);
    if (!Task.Crashes_.empty())
      Row.push_back(crashesToJson(Task.Crashes_));
    Out["open"].push_back(std::move(Row));
  }
  return toBytes(Out);
}

base::Result<JobProgress> decodeJobProgress(const std::string &Bytes) {
  return fromBytes<JobProgress>(
      Bytes, [](const json &In) -> base::Result<JobProgress> {
        JobProgress Out;
        auto State = parseJobState(In.at("state").get<std::string>());
        if (!State)
          return base::fail(base::ErrorKind::InvalidRequest,
                            "cannot decode stored record: unknown job state '" +
                                In.at("state").get<std::string>() + "'");
        Out.State_ = *State;
        Out.FirstTerm_ = In.value("first_term", uint64_t{0});
        if (In.contains("ended"))
          Out.EndedAt_ = wallTime(In["ended"].get<int64_t>());
        Out.OccurrencesDone_ = In.value("occurrences", uint32_t{0});
        for (const json &Row : In.value("done", json::array()))
          Out.DoneTasks_.push_back(positionFromJson(Row));
        for (const char *Kind : {"starting", "located"})
          for (const json &Row : In.value(Kind, json::array()))
            Out.Locations_[positionFromJson(Row)] = {
                Row.size() > WorkerIndex ? Row[WorkerIndex].get<std::string>()
                                         : "",
                std::string_view(Kind) == "located"};
        for (const json &Row : In.value("late", json::array()))
          Out.LateStarts_[positionFromJson(Row)] = {
              Row.at(WorkerIndex).get<std::string>(),
              Row.at(LateRunIndex).get<uint64_t>(),
              LateStartStateNames
                  .parse(Row.at(LateStateIndex).get<std::string>())
                  .value_or(LateStartState::Repeated)};
        for (const json &Row : In.value("open", json::array()))
          Out.UnfinishedTasks_[positionFromJson(Row)] = {
              Row.at(3).get<std::vector<uint64_t>>(),
              Row.at(4).get<std::string>(),
              Row.size() > CrashesIndex ? crashesFromJson(Row[CrashesIndex])
                                        : std::vector<SuspectedCrash>()};
        return Out;
      });
}

} // namespace crocuslead::jobs
