#pragma once

#include "base/Clock.h"
#include "base/Error.h"
#include "base/Resources.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace crocuslead::cluster {

enum class CommandKind : uint8_t {
  Start,
  //! Stops the task; no checkpoint is written.
  Stop,
  //! Writes a checkpoint, then stops the task.
  CheckpointStop,
  //! Sets the throttle level, 0 (full speed) to 100 (paused).
  Throttle,
  //! Drops the worker's record of an attempt that has ended.
  Forget,
};

//! One command about one attempt of a task.
struct WorkerCommand {
  CommandKind Kind_ = CommandKind::Start;
  std::string Task_;
  uint32_t Attempt_ = 0;
  // Start only:
  base::Resources Granted_;
  std::string WorkKind_;
  std::string Workspace_;
  //! Declared run time of a batch task; 0 for a task that runs until stopped.
  int64_t RunTimeMs_ = 0;
  //! Token of the checkpoint to resume from; empty for a fresh start.
  std::string Checkpoint_;
  //! The worker refuses the start when its own clock is past this reading.
  int64_t DeadlineWorkerMs_ = 0;
  // Throttle only:
  int ThrottlePercent_ = 0;
};

//! One message to a worker. Epoch_ fences former owners: a worker refuses an
//! epoch lower than the highest that it has seen.
struct WorkerRequest {
  std::string Worker_;
  std::string Address_;
  int64_t Epoch_ = 0;
  //! When positive, all attempts on the worker get this lease from receipt on.
  int64_t LeaseMs_ = 0;
  //! Asks for the report of tasks and usage.
  bool WantReport_ = false;
  //! When set, a worker of another incarnation refuses the starts: its clock
  //! and its highest epoch may have been reset, so neither the deadline nor the
  //! epoch stops a delayed start of an old owner. Sent with starts only.
  std::string ExpectedIncarnation_;
  //! Token of the last report received in this epoch, 0 for none. Set by the
  //! gateway; the worker answers with differences to that report while it is
  //! its latest, see ReportDelta.h.
  uint32_t KnownReport_ = 0;
  std::vector<WorkerCommand> Commands_;
};

enum class AttemptState : uint8_t {
  Starting,
  Running,
  Checkpointing,
  Finished,
  Failed,
  Stopped
};

//! State and usage of one attempt as the worker reports it. Counters grow over
//! the attempt.
struct AttemptReport {
  std::string Task_;
  uint32_t Attempt_ = 0;
  AttemptState State_ = AttemptState::Running;
  int64_t CpuMillis_ = 0;
  int64_t MemoryMbMillis_ = 0;
  int64_t AcceleratorMillis_ = 0;
  int64_t RunMillis_ = 0;
  //! Work done as a share of the declared work, in percent; over 100 once a
  //! task has run longer than declared.
  int ProgressPercent_ = 0;
  //! Measured speed against running alone, in percent; 0 when not measured.
  int SpeedPercent_ = 0;
  std::string Checkpoint_;
  //! Place of this attempt in the known report, from 1; the fields are then
  //! differences. 0 in every report that leaves the gateway.
  uint32_t KnownAs_ = 0;
};

enum class CommandStatus : uint8_t { Done, Refused, Failed };

struct CommandReply {
  CommandStatus Status_ = CommandStatus::Done;
  std::string Reason_;
};

struct WorkerReply {
  int64_t WorkerClockMs_ = 0;
  int64_t HighestEpoch_ = 0;
  //! True when the request's epoch was lower than the highest; nothing was done
  //! then.
  bool EpochRefused_ = false;
  //! Grows by one for each report that the worker makes; restarts from 1 in a
  //! new Incarnation_.
  int64_t ReportSequence_ = 0;
  std::string Incarnation_;
  bool HasReport_ = false;
  std::vector<CommandReply> Commands_;
  std::vector<AttemptReport> Attempts_;
  //! Given as differences to the report that the request named.
  bool Packed_ = false;
  //! In a reply without report: an attempt has another state or checkpoint than
  //! in the last report, so a report is worth asking for.
  bool Changed_ = false;
};

//! Carries messages to workers.
class WorkerGateway {
public:
  using Callback = std::function<void(std::variant<WorkerReply, base::Error>)>;

  WorkerGateway() = default;
  WorkerGateway(const WorkerGateway &) = delete;
  WorkerGateway &operator=(const WorkerGateway &) = delete;
  virtual ~WorkerGateway() = default;

  //! Sends one message; messages to one worker arrive in order. On an error the
  //! worker may or may not have acted on it.
  virtual void send(WorkerRequest Request, Callback Done) = 0;
};

} // namespace crocuslead::cluster
