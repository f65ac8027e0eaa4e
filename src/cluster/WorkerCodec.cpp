#include "cluster/WorkerCodec.h"

#include "base/NameTable.h"
#include "cluster/internal/FieldTable.h"

namespace crocuslead::cluster {

namespace internal {

namespace {

constexpr int FullPercent = 100;

bool isPercent(int Value) { return Value >= 0 && Value <= FullPercent; }

} // namespace

template <> struct EnumNames<CommandKind> {
  static constexpr auto Table = base::makeNameTable<CommandKind>(
      {{CommandKind::Start, "start"},
       {CommandKind::Stop, "stop"},
       {CommandKind::CheckpointStop, "checkpoint-stop"},
       {CommandKind::Throttle, "throttle"},
       {CommandKind::Forget, "forget"}});
};

template <> struct EnumNames<AttemptState> {
  static constexpr auto Table = base::makeNameTable<AttemptState>(
      {{AttemptState::Starting, "starting"},
       {AttemptState::Running, "running"},
       {AttemptState::Checkpointing, "checkpointing"},
       {AttemptState::Finished, "finished"},
       {AttemptState::Failed, "failed"},
       {AttemptState::Stopped, "stopped"}});
};

template <> struct EnumNames<CommandStatus> {
  static constexpr auto Table =
      base::makeNameTable<CommandStatus>({{CommandStatus::Done, "done"},
                                          {CommandStatus::Refused, "refused"},
                                          {CommandStatus::Failed, "failed"}});
};

// Field numbers are part of the protocol: a number is never used again for
// another meaning.

template <> struct Message<base::Resources> {
  static constexpr Field<base::Resources> Fields[] = {
      field<&base::Resources::MilliCpu_>(1),
      field<&base::Resources::MemoryMb_>(2),
      field<&base::Resources::Accelerators_>(3)};
  static bool isValid(const base::Resources &Of) {
    return Of.MilliCpu_ >= 0 && Of.MemoryMb_ >= 0 && Of.Accelerators_ >= 0;
  }
};

template <> struct Message<WorkerCommand> {
  static constexpr Field<WorkerCommand> Fields[] = {
      field<&WorkerCommand::Kind_>(1),
      field<&WorkerCommand::Task_>(2),
      field<&WorkerCommand::Attempt_>(3),
      field<&WorkerCommand::Granted_>(4),
      field<&WorkerCommand::WorkKind_>(5),
      field<&WorkerCommand::Workspace_>(6),
      field<&WorkerCommand::RunTimeMs_>(7),
      field<&WorkerCommand::Checkpoint_>(8),
      field<&WorkerCommand::DeadlineWorkerMs_>(9),
      field<&WorkerCommand::ThrottlePercent_>(10)};
  static bool isValid(const WorkerCommand &Of) {
    return !Of.Task_.empty() && Of.RunTimeMs_ >= 0 &&
           isPercent(Of.ThrottlePercent_);
  }
};

template <> struct Message<WorkerRequest> {
  static constexpr Field<WorkerRequest> Fields[] = {
      field<&WorkerRequest::Epoch_>(1),
      field<&WorkerRequest::LeaseMs_>(2),
      field<&WorkerRequest::WantReport_>(3),
      field<&WorkerRequest::Commands_>(4),
      field<&WorkerRequest::ExpectedIncarnation_>(5),
      field<&WorkerRequest::KnownReport_>(16)};
  static bool isValid(const WorkerRequest &Of) {
    return Of.Epoch_ >= 0 && Of.LeaseMs_ >= 0;
  }
};

template <> struct Message<AttemptReport> {
  static constexpr Field<AttemptReport> Fields[] = {
      field<&AttemptReport::Task_>(1),
      field<&AttemptReport::Attempt_>(2),
      field<&AttemptReport::State_>(3),
      field<&AttemptReport::CpuMillis_>(4),
      field<&AttemptReport::MemoryMbMillis_>(5),
      field<&AttemptReport::AcceleratorMillis_>(6),
      field<&AttemptReport::RunMillis_>(7),
      field<&AttemptReport::ProgressPercent_>(8),
      field<&AttemptReport::SpeedPercent_>(9),
      field<&AttemptReport::Checkpoint_>(10),
      field<&AttemptReport::KnownAs_>(11)};
  static bool isValid(const AttemptReport &Of) {
    // Differences may be negative; unpackReply() checks the sums.
    if (Of.KnownAs_ > 0)
      return Of.Task_.empty();
    return !Of.Task_.empty() && Of.CpuMillis_ >= 0 && Of.MemoryMbMillis_ >= 0 &&
           Of.AcceleratorMillis_ >= 0 && Of.RunMillis_ >= 0 &&
           Of.ProgressPercent_ >= 0 && Of.SpeedPercent_ >= 0;
  }
};

template <> struct Message<CommandReply> {
  static constexpr Field<CommandReply> Fields[] = {
      field<&CommandReply::Status_>(1), field<&CommandReply::Reason_>(2)};
  static bool isValid(const CommandReply & /*Of*/) { return true; }
};

template <> struct Message<WorkerReply> {
  static constexpr Field<WorkerReply> Fields[] = {
      field<&WorkerReply::WorkerClockMs_>(1),
      field<&WorkerReply::HighestEpoch_>(2),
      field<&WorkerReply::EpochRefused_>(3),
      field<&WorkerReply::ReportSequence_>(4),
      field<&WorkerReply::Incarnation_>(5),
      field<&WorkerReply::HasReport_>(6),
      field<&WorkerReply::Commands_>(7),
      field<&WorkerReply::Attempts_>(8),
      field<&WorkerReply::Packed_>(16),
      field<&WorkerReply::Changed_>(17)};
  static bool isValid(const WorkerReply &Of) {
    if (!Of.Packed_)
      for (const AttemptReport &Each : Of.Attempts_)
        if (Each.KnownAs_ > 0)
          return false;
    return Of.HighestEpoch_ >= 0 && Of.ReportSequence_ >= 0;
  }
};

namespace {

template <typename T> std::string encode(const T &Value) {
  CborWriter Out;
  writeMessage(Out, Value);
  return Out.take();
}

template <typename T>
base::Result<T> decode(std::string_view Body, const char *What) {
  CborReader In(Body);
  T Value;
  if (!readMessage(In, Value) || !In.atEnd())
    return base::fail(base::ErrorKind::InvalidRequest,
                      std::string("malformed ") + What);
  return Value;
}

} // namespace

} // namespace internal

std::string encodeRequest(const WorkerRequest &Request) {
  return internal::encode(Request);
}

base::Result<WorkerRequest> decodeRequest(std::string_view Body) {
  return internal::decode<WorkerRequest>(Body, "worker request");
}

std::string encodeReply(const WorkerReply &Reply) {
  return internal::encode(Reply);
}

base::Result<WorkerReply> decodeReply(std::string_view Body) {
  return internal::decode<WorkerReply>(Body, "worker reply");
}

std::string_view commandKindName(CommandKind Kind) {
  return internal::EnumNames<CommandKind>::Table.name(Kind);
}

std::string_view attemptStateName(AttemptState State) {
  return internal::EnumNames<AttemptState>::Table.name(State);
}

std::string_view commandStatusName(CommandStatus Status) {
  return internal::EnumNames<CommandStatus>::Table.name(Status);
}

} // namespace crocuslead::cluster
