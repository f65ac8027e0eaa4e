#include "partition/internal/Codec.h"

#include <nlohmann/json.hpp>

namespace crocuslead::partition {

namespace {

using Json = nlohmann::json;

//! No owner records a longer rest of a lease.
constexpr int64_t MaxLeaseLeftMs = 24LL * 3600 * 1000;

// Records are encoded as arrays of fields in a fixed order. Trailing fields
// with default values are omitted, and a reader ignores positions it does not
// know.
Json trimTrailingDefaults(Json Array, const Json &Defaults) {
  while (!Array.empty() && Array.back() == Defaults.at(Array.size() - 1))
    Array.erase(Array.size() - 1);
  return Array;
}

template <typename T> T elementAt(const Json &Array, std::size_t Index) {
  return Index < Array.size() ? Array[Index].get<T>() : T{};
}

std::string toCbor(const Json &Value) {
  std::string Out;
  Json::to_cbor(Value, nlohmann::detail::output_adapter<char>(Out));
  return Out;
}

Json taskToJson(const TaskRecord &T) {
  static const Json Defaults = {0, 0, 0, 0, "", "", 0, 0, 0, 0};
  return trimTrailingDefaults(
      Json::array({static_cast<int>(T.State_), T.Attempt_, T.Evictions_,
                   T.Failures_, T.Worker_, T.Checkpoint_, T.StartMs_,
                   T.HeldCountedUntilMs_, T.UsageCountedUntilMs_,
                   T.CountedCpuMillis_}),
      Defaults);
}

TaskRecord taskFromJson(const Json &A) {
  TaskRecord T;
  T.State_ = static_cast<TaskState>(elementAt<int>(A, 0));
  T.Attempt_ = elementAt<uint32_t>(A, 1);
  T.Evictions_ = elementAt<uint32_t>(A, 2);
  T.Failures_ = elementAt<uint32_t>(A, 3);
  T.Worker_ = elementAt<std::string>(A, 4);
  T.Checkpoint_ = elementAt<std::string>(A, 5);
  T.StartMs_ = elementAt<int64_t>(A, 6);
  T.HeldCountedUntilMs_ = elementAt<int64_t>(A, 7);
  T.UsageCountedUntilMs_ = elementAt<int64_t>(A, 8);
  T.CountedCpuMillis_ = elementAt<int64_t>(A, 9);
  return T;
}

Json specToJson(const JobSpec &S) {
  int Flags = (S.Urgent_ ? 1 : 0) | (S.Deferrable_ ? 2 : 0) | (S.Gang_ ? 4 : 0);
  return Json::array({S.Id_, S.Workspace_, S.Kind_, static_cast<int>(S.Class_),
                      Flags, S.TaskCount_, S.PerTask_.MilliCpu_,
                      S.PerTask_.MemoryMb_, S.PerTask_.Accelerators_,
                      S.RunTimeMs_});
}

JobSpec specFromJson(const Json &A) {
  JobSpec S;
  S.Id_ = elementAt<std::string>(A, 0);
  S.Workspace_ = elementAt<std::string>(A, 1);
  S.Kind_ = elementAt<std::string>(A, 2);
  S.Class_ = static_cast<schedule::TaskClass>(elementAt<int>(A, 3));
  int Flags = elementAt<int>(A, 4);
  S.Urgent_ = (Flags & 1) != 0;
  S.Deferrable_ = (Flags & 2) != 0;
  S.Gang_ = (Flags & 4) != 0;
  S.TaskCount_ = elementAt<uint32_t>(A, 5);
  S.PerTask_ = {elementAt<int64_t>(A, 6), elementAt<int64_t>(A, 7),
                elementAt<int64_t>(A, 8)};
  S.RunTimeMs_ = elementAt<int64_t>(A, 9);
  return S;
}

// Run-length encodes equal consecutive tasks, because most jobs submit many
// tasks that are all pending.
Json tasksToJson(const std::vector<TaskRecord> &Tasks) {
  Json Out = Json::array();
  for (std::size_t I = 0; I < Tasks.size();) {
    Json Encoded = taskToJson(Tasks[I]);
    std::size_t RunLength = 1;
    while (I + RunLength < Tasks.size() &&
           taskToJson(Tasks[I + RunLength]) == Encoded)
      ++RunLength;
    if (RunLength > 1)
      Out.push_back(RunLength);
    Out.push_back(std::move(Encoded));
    I += RunLength;
  }
  return Out;
}

Json jobToJson(const JobRecord &J) {
  static const Json Defaults = {Json::array(), 0,  0,  0, Json::array(),
                                false,         "", "", 0, 0};
  return trimTrailingDefaults(
      Json::array({specToJson(J.Spec_), J.SubmittedMs_, J.EndedMs_,
                   static_cast<int>(J.FinalState_), tasksToJson(J.Tasks_),
                   J.Cancelled_, J.RejectReason_, J.TransferTo_,
                   static_cast<int>(J.TransferPhase_), J.TransferNumber_}),
      Defaults);
}

JobRecord jobFromJson(const Json &A) {
  JobRecord J;
  J.Spec_ = specFromJson(A.at(0));
  J.SubmittedMs_ = elementAt<int64_t>(A, 1);
  J.EndedMs_ = elementAt<int64_t>(A, 2);
  J.FinalState_ = static_cast<JobState>(elementAt<int>(A, 3));
  std::size_t RunLength = 1;
  if (A.size() > 4)
    for (const Json &T : A[4]) {
      if (T.is_number()) {
        RunLength = T.get<std::size_t>();
        continue;
      }
      J.Tasks_.insert(J.Tasks_.end(), RunLength, taskFromJson(T));
      RunLength = 1;
    }
  J.Cancelled_ = elementAt<bool>(A, 5);
  J.RejectReason_ = elementAt<std::string>(A, 6);
  J.TransferTo_ = elementAt<std::string>(A, 7);
  J.TransferPhase_ = static_cast<TransferPhase>(elementAt<int>(A, 8));
  J.TransferNumber_ = elementAt<uint64_t>(A, 9);
  return J;
}

Json entryToJson(const JournalEntry &E) {
  static const Json Defaults = {0, "", 0, 0, 0, "", 0, 0, 0, Json::array()};
  Json Rows = Json::array();
  for (const auto &[Name, Value] : E.GrantedByWorkspace_)
    Rows.push_back(Json::array({Name, Value}));
  // An encoded job record is binary data, which is not valid in a CBOR text
  // string.
  bool Binary = E.Kind_ == EntryKind::Submit || E.Kind_ == EntryKind::Accepted;
  Json Text =
      Binary ? Json::binary({E.Text_.begin(), E.Text_.end()}) : Json(E.Text_);
  return trimTrailingDefaults(
      Json::array({static_cast<int>(E.Kind_), E.Job_, E.Task_, E.Attempt_,
                   E.TimeMs_, std::move(Text), E.Number_, E.EstimatedCpuMillis_,
                   static_cast<int>(E.Outcome_), std::move(Rows)}),
      Defaults);
}

JournalEntry entryFromJson(const Json &A) {
  JournalEntry E;
  E.Kind_ = static_cast<EntryKind>(elementAt<int>(A, 0));
  E.Job_ = elementAt<std::string>(A, 1);
  E.Task_ = elementAt<uint32_t>(A, 2);
  E.Attempt_ = elementAt<uint32_t>(A, 3);
  E.TimeMs_ = elementAt<int64_t>(A, 4);
  if (A.size() > 5 && A[5].is_binary()) {
    const auto &Bytes = A[5].get_binary();
    E.Text_.assign(Bytes.begin(), Bytes.end());
  } else {
    E.Text_ = elementAt<std::string>(A, 5);
  }
  E.Number_ = elementAt<int64_t>(A, 6);
  E.EstimatedCpuMillis_ = elementAt<int64_t>(A, 7);
  E.Outcome_ = static_cast<AttemptOutcome>(elementAt<int>(A, 8));
  if (A.size() > 9)
    for (const Json &Row : A[9])
      E.GrantedByWorkspace_.emplace_back(Row.at(0).get<std::string>(),
                                         Row.at(1).get<int64_t>());
  return E;
}

} // namespace

std::string encodeJob(const JobRecord &Job) { return toCbor(jobToJson(Job)); }

std::optional<JobRecord> decodeJob(const std::string &Bytes) {
  try {
    return jobFromJson(Json::from_cbor(Bytes));
  } catch (const Json::exception &) {
    return std::nullopt;
  }
}

std::string encodeEntry(const JournalEntry &Value) {
  return toCbor(entryToJson(Value));
}

std::string encodeBatch(uint64_t Nonce,
                        const std::vector<std::string> &Entries) {
  // In a CBOR array of indefinite length (0x9F ... 0xFF) the encoded entries
  // can be concatenated as they are.
  std::string Out = "\x9F" + toCbor(Json(Nonce));
  for (const std::string &Encoded : Entries)
    Out += Encoded;
  return Out + "\xFF";
}

std::optional<Batch> decodeBatch(const std::string &Bytes) {
  try {
    Json Value = Json::from_cbor(Bytes);
    Batch Out;
    Out.Nonce_ = Value.at(0).get<uint64_t>();
    for (std::size_t I = 1; I < Value.size(); ++I)
      Out.Entries_.push_back(entryFromJson(Value[I]));
    return Out;
  } catch (const Json::exception &) {
    return std::nullopt;
  }
}

std::string encodeSnapshot(const DurableState &Value,
                           uint64_t NextBatchNumber) {
  Json Jobs = Json::array();
  for (const auto &[Id, Job] : Value.jobs())
    Jobs.push_back(jobToJson(Job));
  Json Usage = Json::array();
  for (const auto &[Key, Row] : Value.Usage_)
    Usage.push_back(Json::array(
        {Row.Period_, Row.Workspace_, Row.GrantedCpuMillis_, Row.HeldCpuMillis_,
         Row.UsedCpuMillis_, Row.EstimatedCpuMillis_, Row.Evictions_}));
  return toCbor(Json::array({NextBatchNumber, Value.AccruedUntilMs_,
                             std::move(Usage), std::move(Jobs)}));
}

bool decodeSnapshot(const std::string &Bytes, DurableState &Value,
                    uint64_t &NextBatchNumber) {
  try {
    Json Root = Json::from_cbor(Bytes);
    NextBatchNumber = Root.at(0).get<uint64_t>();
    Value.AccruedUntilMs_ = Root.at(1).get<int64_t>();
    for (const Json &R : Root.at(2)) {
      UsageRow Row{elementAt<std::string>(R, 0), elementAt<std::string>(R, 1),
                   elementAt<int64_t>(R, 2),     elementAt<int64_t>(R, 3),
                   elementAt<int64_t>(R, 4),     elementAt<int64_t>(R, 5),
                   elementAt<uint32_t>(R, 6)};
      Value.Usage_[{Row.Period_, Row.Workspace_}] = Row;
    }
    for (const Json &J : Root.at(3))
      Value.restoreJob(jobFromJson(J));
    return true;
  } catch (const Json::exception &) {
    return false;
  }
}

std::string encodeHandover(const LeaseHandover &Value) {
  Json Rows = Json::array();
  for (const auto &[Worker, Left] : Value.LeaseLeft_)
    Rows.push_back(Json::array(
        {Worker, std::chrono::ceil<std::chrono::milliseconds>(Left).count()}));
  return toCbor(Json::array({Value.Epoch_, std::move(Rows)}));
}

std::optional<LeaseHandover> decodeHandover(const std::string &Bytes) {
  try {
    Json Root = Json::from_cbor(Bytes);
    LeaseHandover Out;
    Out.Epoch_ = Root.at(0).get<int64_t>();
    for (const Json &Row : Root.at(1)) {
      auto LeftMs = Row.at(1).get<int64_t>();
      if (LeftMs >= 0 && LeftMs <= MaxLeaseLeftMs)
        Out.LeaseLeft_[Row.at(0).get<std::string>()] =
            std::chrono::milliseconds(LeftMs);
    }
    return Out;
  } catch (const Json::exception &) {
    return std::nullopt;
  }
}

} // namespace crocuslead::partition
