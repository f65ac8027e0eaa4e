#pragma once

#include "base/Clock.h"
#include "base/Error.h"
#include "base/Random.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace crocuslead::route {

//! An upstream as the instance list has it.
struct UpstreamInfo {
  std::string Id_;
  std::string Address_;
  std::string Domain_;
  std::string Region_;
  std::vector<std::string> Services_;
  int Slots_ = 8;
  int Connections_ = 64;
  bool Leaving_ = false;
};

enum class PickPolicy : uint8_t {
  Scored,
  RoundRobin,
  LeastOutstanding,
  TwoChoices
};

struct RouterSettings {
  std::string Self_;
  std::string Domain_;
  std::string Region_;
  //! Ids of all configured instances; slots are divided over them.
  std::vector<std::string> Instances_;
  //! Regions of the configured instances by id, the same on all instances. When
  //! given, instances of an upstream's region come first in the order of its
  //! slots; otherwise slots are stranded with instances that prefer their own
  //! region. Empty for the plain order.
  std::map<std::string, std::string> InstanceRegions_;
  PickPolicy Pick_ = PickPolicy::Scored;
  //! Longest time that a request waits for a slot.
  base::Duration QueueLimit_ = std::chrono::milliseconds(500);
  uint64_t MaxQueued_ = 1024;
  //! Retries and hedges together as a share of requests.
  double RetryShare_ = 0.1;
  //! Bytes a second that requests to other regions may use.
  double CrossRegionBytesPerSecond_ = 1e6;
  //! Largest part of a service's upstreams that may be ejected at the same
  //! time.
  double MaxEjectedShare_ = 0.3;
  uint64_t Seed_ = 1;
};

//! What the router needs to know about a request.
struct RequestInfo {
  uint64_t Id_ = 0;
  std::string Workspace_;
  std::string Service_;
  int Priority_ = 0;
  bool Deferrable_ = false;
  bool Idempotent_ = false;
  //! Limit of requests of the workspace in progress here; 0 for none.
  int64_t MaxConcurrent_ = 0;
  base::TimePoint Deadline_;
  uint64_t BodyBytes_ = 0;
};

//! How an attempt on an upstream ended.
enum class AttemptEnd : uint8_t {
  Answered,
  //! The connection could not be made: nothing was sent.
  ConnectFailed,
  //! The upstream refused for lack of a slot: nothing ran.
  Busy,
  //! The connection broke after the request may have left.
  Reset,
  //! The answer began and was cut short.
  Truncated,
  TimedOut,
  Cancelled,
};

struct AttemptResult {
  uint64_t Request_ = 0;
  uint32_t Attempt_ = 0;
  AttemptEnd End_ = AttemptEnd::Answered;
  int HttpStatus_ = 0;
  uint64_t AnswerBytes_ = 0;
};

//! Send the request to the upstream as attempt Attempt_.
struct SendAction {
  uint64_t Request_ = 0;
  uint32_t Attempt_ = 0;
  std::string Upstream_;
  std::string Address_;
  base::Duration Timeout_{};
  bool CrossRegion_ = false;
};

//! Cancel an attempt: its answer is no longer wanted.
struct CancelAction {
  uint64_t Request_ = 0;
  uint32_t Attempt_ = 0;
};

//! Give this attempt's answer to the caller.
struct DeliverAction {
  uint64_t Request_ = 0;
  uint32_t Attempt_ = 0;
};

//! End the request with an error of the closed list.
struct RefuseAction {
  uint64_t Request_ = 0;
  base::ErrorKind Kind_ = base::ErrorKind::Internal;
  //! What is known about the effect; at least as cautious as the table's
  //! outcome.
  base::Outcome Outcome_ = base::Outcome::Unknown;
  std::string Message_;
};

using RouteAction =
    std::variant<SendAction, CancelAction, DeliverAction, RefuseAction>;

//! Counters for metrics and the state dump; all since start.
struct RouterCounters {
  uint64_t Requests_ = 0;
  uint64_t Delivered_ = 0;
  uint64_t Refused_ = 0;
  uint64_t Retries_ = 0;
  uint64_t Hedges_ = 0;
  uint64_t CrossRegionRequests_ = 0;
  uint64_t CrossRegionBytes_ = 0;
  uint64_t Ejections_ = 0;
};

struct UpstreamView {
  std::string Id_;
  std::string State_;
  int SlotsHeld_ = 0;
  int InFlight_ = 0;
  double LatencyMs_ = 0;
  double Weight_ = 1;
  int ConnectionsHeld_ = 0;
};

//! Carries requests of callers to upstream slots: admission, choice, retry,
//! hedging, ejection. No I/O: the shell performs the actions and reports
//! results.
class Router {
public:
  explicit Router(RouterSettings Settings);
  Router(const Router &) = delete;
  Router &operator=(const Router &) = delete;
  ~Router();

  void setUpstreams(std::vector<UpstreamInfo> Upstreams, base::TimePoint Now);
  //! A failure domain that is out gets no new request.
  void setDomainAvailable(const std::string &Domain, bool Available,
                          base::TimePoint Now);
  //! Instances seen alive; slots of the others pass on after the handover
  //! delay.
  void setLiveInstances(std::vector<std::string> Live, base::TimePoint Now);
  //! Lends Count slots of Upstream until the term ends (called on the lender).
  //! Count must come from idleSlots() with no other call in between.
  void lendSlots(const std::string &Upstream, int Count, base::TimePoint Until);
  //! Adds borrowed slots (called on the borrower).
  void borrowSlots(const std::string &Upstream, int Count,
                   base::TimePoint Until);
  //! Slots that could be lent now, largest first.
  std::vector<std::pair<std::string, int>> idleSlots(base::TimePoint Now) const;
  //! Requests waiting for a slot.
  uint64_t queued() const;
  //! Slots of the own region that this instance lacked at the worst instant of
  //! the last seconds, to be reported in pings.
  uint64_t shortage() const;

  void begin(const RequestInfo &Request, base::TimePoint Now);
  void attemptEnded(const AttemptResult &Result, base::TimePoint Now);
  //! The caller has closed its connection.
  void callerGone(uint64_t Request, base::TimePoint Now);
  void tick(base::TimePoint Now);
  //! When the next tick is due at the latest; none when nothing waits. Some
  //! timers may have lost their cause, so a tick then can do nothing.
  std::optional<base::TimePoint> nextTimer() const;
  //! Every request that was begun ends with exactly one DeliverAction or
  //! RefuseAction, also after callerGone().
  std::vector<RouteAction> takeActions();

  RouterCounters counters() const;
  std::vector<UpstreamView> upstreams() const;
  //! Requests that have not ended.
  uint64_t inProgress() const;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace crocuslead::route
