#pragma once

#include "jobs/JobSpec.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace crocuslead::jobs {

//! The life of a worker that a call is meant for.
struct WorkerAddress {
  std::string Id_;
  std::string Address_;
};

struct StartOrder {
  TaskId Task_;
  uint64_t Run_ = 0;
  std::string Payload_;
  //! Empty: start from the beginning.
  std::string Checkpoint_;
  //! End of the lease on the worker's own clock, milliseconds.
  int64_t LeaseUntilMs_ = 0;
  uint64_t Token_ = 0;
};

struct StopOrder {
  TaskId Task_;
  uint64_t Run_ = 0;
  uint64_t Token_ = 0;
};

//! Share of its speed that a task may work at from now on.
struct PaceOrder {
  TaskId Task_;
  uint64_t Run_ = 0;
  int Percent_ = 100;
  uint64_t Token_ = 0;
};

//! Asks for a worker's lists and renews its lease.
struct LookOrder {
  uint64_t Token_ = 0;
  //! Ends up to this number are durable and may be forgotten by the worker.
  uint64_t AcknowledgedEnd_ = 0;
  std::optional<int64_t> LeaseUntilMs_;
  //! Longest time that the worker waits for an end before it answers.
  base::Duration Wait_{};
};

enum class RunEnd : uint8_t {
  Done,
  Failed,
  Stopped,
  LeaseExpired,
  //! Another member of its gang ended.
  GangBroken,
  //! The other members of its gang did not come in time.
  GangIncomplete,
};

struct RunningRow {
  TaskId Task_;
  uint64_t Run_ = 0;
  std::string Checkpoint_;
  int Percent_ = 0;
  //! Tail latency in milliseconds for a task with a tail target, else the CPU
  //! in use in thousandths of a core; over the last half second, rough.
  double Load_ = 0;
};

struct EndedRow {
  //! Position in the worker's list of ends, from 1 in each life.
  uint64_t Number_ = 0;
  TaskId Task_;
  uint64_t Run_ = 0;
  RunEnd How_ = RunEnd::Stopped;
  std::string Checkpoint_;
};

struct WorkerLists {
  //! The worker's own steady clock.
  int64_t ClockMs_ = 0;
  int64_t Born_ = 0;
  std::vector<RunningRow> Running_;
  std::vector<EndedRow> Ended_;
};

enum class OrderStatus : uint8_t {
  Accepted,
  //! A higher fencing token was used there before.
  Fenced,
  //! The run number is not above one that was stopped or ended there.
  RunTooOld,
  //! The lease was over when the order arrived.
  TooLate,
  NoRoom,
  //! The worker refused without doing anything.
  Unhealthy,
  //! Another life of the worker answered.
  WrongLife,
  //! The worker does not accept the order as written.
  Invalid,
  //! No answer: the order may have been executed, or may be later.
  Unknown,
  //! No connection: nothing was sent.
  NotSent,
};

struct OrderReply {
  OrderStatus Status_ = OrderStatus::Unknown;
  //! The worker's clock, when it answered.
  std::optional<int64_t> ClockMs_;
};

struct LookReply {
  OrderStatus Status_ = OrderStatus::Unknown;
  //! Only set when Status_ is Accepted.
  WorkerLists Lists_;
};

//! Calls to workers. Replies come on the event loop, each exactly once.
class WorkerPort {
public:
  using OrderDone = std::function<void(const OrderReply &)>;
  using LookDone = std::function<void(const LookReply &)>;

  WorkerPort() = default;
  WorkerPort(const WorkerPort &) = delete;
  WorkerPort &operator=(const WorkerPort &) = delete;
  virtual ~WorkerPort() = default;

  virtual void start(const WorkerAddress &To, const StartOrder &Order,
                     OrderDone Done) = 0;
  virtual void stop(const WorkerAddress &To, const StopOrder &Order,
                    OrderDone Done) = 0;
  virtual void pace(const WorkerAddress &To, const PaceOrder &Order,
                    OrderDone Done) = 0;
  virtual void look(const WorkerAddress &To, const LookOrder &Order,
                    LookDone Done) = 0;
};

} // namespace crocuslead::jobs
