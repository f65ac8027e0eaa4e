#pragma once

#include "base/NameTable.h"
#include "jobs/JobSpec.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace crocuslead::jobs {

//! The worker incarnation that a request is addressed to.
struct WorkerAddress {
  std::string Id_;
  std::string Address_;
  //! Failure domain; empty if it is not known.
  std::string Domain_;
};

//! Starts a run of a task.
struct StartRequest {
  TaskId Task_;
  uint64_t Run_ = 0;
  std::string Payload_;
  //! Payload_ is empty, and has to be read by whoever sends the request.
  bool PayloadApart_ = false;
  //! base::stableHash() of the payload that is read; 0 if it is not known.
  uint64_t PayloadHash_ = 0;
  //! IP:port of the instance that accepted the job and may have its payload;
  //! empty if it is not known.
  std::string PayloadSource_;
  //! Checkpoint to resume from; empty to start from the beginning.
  std::string Checkpoint_;
  //! End of the lease in milliseconds on the worker's own clock.
  int64_t LeaseUntilMs_ = 0;
  uint64_t FencingToken_ = 0;
  //! The lowest token of its term; 0 if the term has no other.
  uint64_t FirstToken_ = 0;
  //! When the sender waits for the payload, it sends nothing after this time.
  base::TimePoint SendBefore_ = base::TimePoint::max();
};

struct StopRequest {
  TaskId Task_;
  uint64_t Run_ = 0;
  uint64_t FencingToken_ = 0;
  //! See StartRequest.
  uint64_t FirstToken_ = 0;
};

//! Limits the speed of a run, as a percentage of full speed, until the next
//! such request.
struct ThrottleRequest {
  TaskId Task_;
  uint64_t Run_ = 0;
  int SpeedPercent_ = 100;
  uint64_t FencingToken_ = 0;
  //! See StartRequest.
  uint64_t FirstToken_ = 0;
};

//! Requests a worker's report and renews its lease.
struct PollRequest {
  uint64_t FencingToken_ = 0;
  //! Results up to this sequence number are durable; the worker may discard
  //! them.
  uint64_t AcknowledgedSequence_ = 0;
  std::optional<int64_t> LeaseUntilMs_;
  //! Longest time that the worker waits for a run to end before it answers.
  base::Duration Wait_{};
  //! See StartRequest.
  uint64_t FirstToken_ = 0;
};

//! How a run ended.
enum class RunOutcome : uint8_t {
  Done,
  Failed,
  Stopped,
  LeaseExpired,
  //! Another member of its gang ended.
  GangBroken,
  //! The other members of its gang were not started in time.
  GangIncomplete,
};

//! A run that is in progress on a worker.
struct RunStatus {
  TaskId Task_;
  uint64_t Run_ = 0;
  std::string Checkpoint_;
  int ProgressPercent_ = 0;
  //! For a task with a tail latency target, its tail latency in milliseconds;
  //! otherwise the CPU in use in thousandths of a core. A rough measurement
  //! over the last half second.
  double Load_ = 0;
};

//! A run that ended on a worker.
struct RunResult {
  //! Position in the worker's list of results; counts from 1 in each
  //! incarnation.
  uint64_t SequenceNumber_ = 0;
  TaskId Task_;
  uint64_t Run_ = 0;
  RunOutcome Outcome_ = RunOutcome::Stopped;
  std::string Checkpoint_;
};

//! Maximum number of results in a report.
constexpr std::size_t MaxListedResults = 500;

//! Runs in progress on a worker and results not yet acknowledged.
struct WorkerReport {
  //! Steady clock of the worker.
  int64_t ClockMs_ = 0;
  //! Start time of the incarnation that answered, see WorkerInfo.
  int64_t StartTimeMs_ = 0;
  std::vector<RunStatus> Running_;
  //! By sequence number.
  std::vector<RunResult> Ended_;
  //! There may be results after those in Ended_.
  bool Truncated_ = false;
};

enum class RequestStatus : uint8_t {
  Accepted,
  //! The worker has seen a higher fencing token.
  Fenced,
  //! A run of the task with this or a higher number was already stopped or
  //! has ended on the worker.
  StaleRun,
  //! The lease had expired when the request arrived.
  LeaseExpired,
  InsufficientCapacity,
  //! The worker rejected the request without acting on it.
  Unhealthy,
  //! Another incarnation of the worker answered.
  WrongIncarnation,
  //! The worker rejected the request as malformed.
  Invalid,
  //! No answer: the request may have been executed, or may be executed later.
  Unknown,
  //! No connection to the worker: nothing was sent.
  NotSent,
  //! Nothing was sent, for a reason that says nothing about the worker.
  Withheld,
};

//! Name of a status in logs.
std::string_view requestStatusName(RequestStatus Status);

struct RequestReply {
  RequestStatus Status_ = RequestStatus::Unknown;
  //! The worker's clock; unset when the worker did not answer.
  std::optional<int64_t> ClockMs_;
  //! For how long the instance that sent it waited for the payload.
  base::Duration PayloadWait_{};
};

struct PollReply {
  RequestStatus Status_ = RequestStatus::Unknown;
  //! Only set when Status_ is Accepted.
  WorkerReport Report_;
};

enum class RequestKind : uint8_t { Start, Stop, Throttle, Poll };
constexpr std::size_t RequestKindCount = 4;

constexpr auto RequestKindNames =
    base::makeNameTable<RequestKind>({{RequestKind::Start, "start"},
                                      {RequestKind::Stop, "stop"},
                                      {RequestKind::Throttle, "throttle"},
                                      {RequestKind::Poll, "poll"}});

struct RequestTraffic {
  uint64_t Requests_ = 0;
  //! Of ended requests and their replies, headers included.
  uint64_t BytesSent_ = 0;
  uint64_t BytesReceived_ = 0;
};

//! Requests to workers that this process sent, by kind.
struct RequestCounters {
  std::array<RequestTraffic, RequestKindCount> Kinds_;

  RequestTraffic &of(RequestKind Kind) {
    return Kinds_[static_cast<std::size_t>(Kind)];
  }
  const RequestTraffic &of(RequestKind Kind) const {
    return Kinds_[static_cast<std::size_t>(Kind)];
  }
};

//! Sends requests to workers. Each callback is invoked exactly once, on the
//! event loop.
class WorkerPort {
public:
  using RequestCallback = std::function<void(const RequestReply &)>;
  using PollCallback = std::function<void(const PollReply &)>;

  WorkerPort() = default;
  WorkerPort(const WorkerPort &) = delete;
  WorkerPort &operator=(const WorkerPort &) = delete;
  virtual ~WorkerPort() = default;

  virtual void start(const WorkerAddress &To, const StartRequest &Request,
                     RequestCallback Done) = 0;
  virtual void stop(const WorkerAddress &To, const StopRequest &Request,
                    RequestCallback Done) = 0;
  virtual void throttle(const WorkerAddress &To, const ThrottleRequest &Request,
                        RequestCallback Done) = 0;
  virtual void poll(const WorkerAddress &To, const PollRequest &Request,
                    PollCallback Done) = 0;
  //! The instance that sends the requests to a worker; empty if it is this one.
  virtual std::string senderFor(const WorkerAddress & /*To*/) { return {}; }
};

} // namespace crocuslead::jobs
