#include "partition/internal/Codec.h"

#include <nlohmann/json.hpp>

namespace crocuslead::partition {

namespace {

using Json = nlohmann::json;

// Values are arrays by position; trailing defaults are left out, and a reader
// ignores positions that it does not know.
Json trimmed(Json Array, const Json &Defaults) {
  while (!Array.empty() && Array.back() == Defaults.at(Array.size() - 1))
    Array.erase(Array.size() - 1);
  return Array;
}

template <typename T> T at(const Json &Array, std::size_t Index) {
  return Index < Array.size() ? Array[Index].get<T>() : T{};
}

std::string bytesOf(const Json &Value) {
  std::string Out;
  Json::to_cbor(Value, nlohmann::detail::output_adapter<char>(Out));
  return Out;
}

Json taskJson(const TaskRecord &T) {
  static const Json Defaults = {0, 0, 0, 0, "", "", 0, 0, 0, 0};
  return trimmed(Json::array({static_cast<int>(T.State_), T.Attempt_,
                              T.Evictions_, T.Failures_, T.Worker_,
                              T.Checkpoint_, T.StartMs_, T.HeldCountedUntilMs_,
                              T.UsageCountedUntilMs_, T.CountedCpuMillis_}),
                 Defaults);
}

TaskRecord taskOf(const Json &A) {
  TaskRecord T;
  T.State_ = static_cast<TaskState>(at<int>(A, 0));
  T.Attempt_ = at<uint32_t>(A, 1);
  T.Evictions_ = at<uint32_t>(A, 2);
  T.Failures_ = at<uint32_t>(A, 3);
  T.Worker_ = at<std::string>(A, 4);
  T.Checkpoint_ = at<std::string>(A, 5);
  T.StartMs_ = at<int64_t>(A, 6);
  T.HeldCountedUntilMs_ = at<int64_t>(A, 7);
  T.UsageCountedUntilMs_ = at<int64_t>(A, 8);
  T.CountedCpuMillis_ = at<int64_t>(A, 9);
  return T;
}

Json specJson(const JobSpec &S) {
  int Flags = (S.Urgent_ ? 1 : 0) | (S.Deferrable_ ? 2 : 0) | (S.Gang_ ? 4 : 0);
  return Json::array({S.Id_, S.Workspace_, S.Kind_, static_cast<int>(S.Class_),
                      Flags, S.TaskCount_, S.PerTask_.MilliCpu_,
                      S.PerTask_.MemoryMb_, S.PerTask_.Accelerators_,
                      S.RunTimeMs_});
}

JobSpec specOf(const Json &A) {
  JobSpec S;
  S.Id_ = at<std::string>(A, 0);
  S.Workspace_ = at<std::string>(A, 1);
  S.Kind_ = at<std::string>(A, 2);
  S.Class_ = static_cast<schedule::TaskClass>(at<int>(A, 3));
  int Flags = at<int>(A, 4);
  S.Urgent_ = (Flags & 1) != 0;
  S.Deferrable_ = (Flags & 2) != 0;
  S.Gang_ = (Flags & 4) != 0;
  S.TaskCount_ = at<uint32_t>(A, 5);
  S.PerTask_ = {at<int64_t>(A, 6), at<int64_t>(A, 7), at<int64_t>(A, 8)};
  S.RunTimeMs_ = at<int64_t>(A, 9);
  return S;
}

// A run of equal tasks is written once with its length: most jobs submit many
// tasks that are all pending.
Json tasksJson(const std::vector<TaskRecord> &Tasks) {
  Json Out = Json::array();
  for (std::size_t I = 0; I < Tasks.size();) {
    Json One = taskJson(Tasks[I]);
    std::size_t Run = 1;
    while (I + Run < Tasks.size() && taskJson(Tasks[I + Run]) == One)
      ++Run;
    if (Run > 1)
      Out.push_back(Run);
    Out.push_back(std::move(One));
    I += Run;
  }
  return Out;
}

Json jobJson(const JobRecord &J) {
  static const Json Defaults = {Json::array(), 0,  0,  0, Json::array(),
                                false,         "", "", 0, 0};
  return trimmed(
      Json::array({specJson(J.Spec_), J.SubmittedMs_, J.EndedMs_,
                   static_cast<int>(J.FinalState_), tasksJson(J.Tasks_),
                   J.Cancelled_, J.RejectReason_, J.TransferTo_,
                   static_cast<int>(J.TransferPhase_), J.TransferNumber_}),
      Defaults);
}

JobRecord jobOf(const Json &A) {
  JobRecord J;
  J.Spec_ = specOf(A.at(0));
  J.SubmittedMs_ = at<int64_t>(A, 1);
  J.EndedMs_ = at<int64_t>(A, 2);
  J.FinalState_ = static_cast<JobState>(at<int>(A, 3));
  std::size_t Run = 1;
  if (A.size() > 4)
    for (const Json &T : A[4]) {
      if (T.is_number()) {
        Run = T.get<std::size_t>();
        continue;
      }
      J.Tasks_.insert(J.Tasks_.end(), Run, taskOf(T));
      Run = 1;
    }
  J.Cancelled_ = at<bool>(A, 5);
  J.RejectReason_ = at<std::string>(A, 6);
  J.TransferTo_ = at<std::string>(A, 7);
  J.TransferPhase_ = static_cast<TransferPhase>(at<int>(A, 8));
  J.TransferNumber_ = at<uint64_t>(A, 9);
  return J;
}

Json entryJson(const JournalEntry &E) {
  static const Json Defaults = {0, "", 0, 0, 0, "", 0, 0, 0, Json::array()};
  Json Rows = Json::array();
  for (const auto &[Name, Value] : E.GrantedByWorkspace_)
    Rows.push_back(Json::array({Name, Value}));
  // The text of a job is binary, which CBOR text must not hold.
  bool Binary = E.Kind_ == EntryKind::Submit || E.Kind_ == EntryKind::Accepted;
  Json Text =
      Binary ? Json::binary({E.Text_.begin(), E.Text_.end()}) : Json(E.Text_);
  return trimmed(
      Json::array({static_cast<int>(E.Kind_), E.Job_, E.Task_, E.Attempt_,
                   E.TimeMs_, std::move(Text), E.Number_, E.EstimatedCpuMillis_,
                   static_cast<int>(E.Outcome_), std::move(Rows)}),
      Defaults);
}

JournalEntry entryOf(const Json &A) {
  JournalEntry E;
  E.Kind_ = static_cast<EntryKind>(at<int>(A, 0));
  E.Job_ = at<std::string>(A, 1);
  E.Task_ = at<uint32_t>(A, 2);
  E.Attempt_ = at<uint32_t>(A, 3);
  E.TimeMs_ = at<int64_t>(A, 4);
  if (A.size() > 5 && A[5].is_binary()) {
    const auto &Bytes = A[5].get_binary();
    E.Text_.assign(Bytes.begin(), Bytes.end());
  } else {
    E.Text_ = at<std::string>(A, 5);
  }
  E.Number_ = at<int64_t>(A, 6);
  E.EstimatedCpuMillis_ = at<int64_t>(A, 7);
  E.Outcome_ = static_cast<AttemptOutcome>(at<int>(A, 8));
  if (A.size() > 9)
    for (const Json &Row : A[9])
      E.GrantedByWorkspace_.emplace_back(Row.at(0).get<std::string>(),
                                         Row.at(1).get<int64_t>());
  return E;
}

} // namespace

std::string encodeJob(const JobRecord &Job) { return bytesOf(jobJson(Job)); }

std::optional<JobRecord> decodeJob(const std::string &Bytes) {
  try {
    return jobOf(Json::from_cbor(Bytes));
  } catch (const Json::exception &) {
    return std::nullopt;
  }
}

std::string encodeEntry(const JournalEntry &Value) {
  return bytesOf(entryJson(Value));
}

std::string encodeBatch(uint64_t Nonce,
                        const std::vector<std::string> &Entries) {
  // An array of indefinite length (0x9F ... 0xFF) takes the encoded entries as
  // they are.
  std::string Out = "\x9F" + bytesOf(Json(Nonce));
  for (const std::string &One : Entries)
    Out += One;
  return Out + "\xFF";
}

std::optional<Batch> decodeBatch(const std::string &Bytes) {
  try {
    Json Value = Json::from_cbor(Bytes);
    Batch Out;
    Out.Nonce_ = Value.at(0).get<uint64_t>();
    for (std::size_t I = 1; I < Value.size(); ++I)
      Out.Entries_.push_back(entryOf(Value[I]));
    return Out;
  } catch (const Json::exception &) {
    return std::nullopt;
  }
}

std::string encodeSnapshot(const DurableState &Value, uint64_t NextJournal) {
  Json Jobs = Json::array();
  for (const auto &[Id, Job] : Value.jobs())
    Jobs.push_back(jobJson(Job));
  Json Usage = Json::array();
  for (const auto &[Key, Row] : Value.Usage_)
    Usage.push_back(Json::array(
        {Row.Period_, Row.Workspace_, Row.GrantedCpuMillis_, Row.HeldCpuMillis_,
         Row.UsedCpuMillis_, Row.EstimatedCpuMillis_, Row.Evictions_}));
  return bytesOf(Json::array(
      {NextJournal, Value.AccruedUntilMs_, std::move(Usage), std::move(Jobs)}));
}

bool decodeSnapshot(const std::string &Bytes, DurableState &Value,
                    uint64_t &NextJournal) {
  try {
    Json Root = Json::from_cbor(Bytes);
    NextJournal = Root.at(0).get<uint64_t>();
    Value.AccruedUntilMs_ = Root.at(1).get<int64_t>();
    for (const Json &R : Root.at(2)) {
      UsageRow Row{at<std::string>(R, 0), at<std::string>(R, 1),
                   at<int64_t>(R, 2),     at<int64_t>(R, 3),
                   at<int64_t>(R, 4),     at<int64_t>(R, 5),
                   at<uint32_t>(R, 6)};
      Value.Usage_[{Row.Period_, Row.Workspace_}] = Row;
    }
    for (const Json &J : Root.at(3))
      Value.restoreJob(jobOf(J));
    return true;
  } catch (const Json::exception &) {
    return false;
  }
}

} // namespace crocuslead::partition
