#pragma once

#include "route/Router.h"
#include "route/internal/Budgets.h"
#include "route/internal/LatencySketch.h"
#include "route/internal/Picker.h"
#include "route/internal/RequestQueue.h"
#include "route/internal/RequestRecord.h"
#include "route/internal/UpstreamSet.h"

#include <algorithm>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace crocuslead::route {

class Router::Impl {
public:
  explicit Impl(RouterSettings Settings);

  // Requests: RouterRequests.cpp.
  void begin(const RequestInfo &Request, base::TimePoint Now);
  void callerGone(uint64_t Request, base::TimePoint Now);
  void tick(base::TimePoint Now);

  // Sending: RouterSend.cpp.
  void dispatch(base::TimePoint Now);

  // Results of attempts: RouterResults.cpp.
  void attemptEnded(const AttemptResult &Result, base::TimePoint Now);

  uint64_t shortage() const { return std::max(ShortNow_, ShortBefore_); }
  std::vector<std::pair<std::string, int>> idleSlots(base::TimePoint Now) const;
  std::vector<UpstreamView> views() const;

  RouterSettings Settings_;
  base::Random Rng_;
  UpstreamSet Upstreams_;
  RequestQueue Queue_;
  std::vector<RouteAction> Actions_;
  RouterCounters Counters_;
  std::unordered_map<uint64_t, RequestRecord> Requests_;
  //! A heap whose front is the earliest timer.
  std::vector<Timer> Timers_;
  //! Last instant that was given; views are as of then.
  base::TimePoint Now_{};

private:
  //! What the answers of a service have shown.
  struct ServiceStats {
    LatencySketch Latency_;
    double AnswerBytes_ = 0;
  };

  void setTimer(base::TimePoint When, TimerKind Kind, uint64_t Request,
                uint32_t Attempt = 0);
  bool stale(const Timer &Value) const;
  void dropStaleTimers();
  void fire(const Timer &Due, base::TimePoint Now);
  void measureShortage(base::TimePoint Now);
  void onDeadline(RequestRecord &Record);
  void onQueueEnd(RequestRecord &Record, base::TimePoint Now);
  bool admit(const RequestInfo &Request, base::TimePoint Now);
  bool canMeet(base::TimePoint Deadline, const std::string &Service,
               base::TimePoint Now);
  //! False when the queue was full and the request was refused.
  bool enqueue(RequestRecord &Record, base::TimePoint Now);
  void leaveQueue(RequestRecord &Record);

  void refuse(RequestRecord &Record, base::ErrorKind Kind,
              const std::string &Message);
  void refuseUnknownRecord(const RequestInfo &Request, base::ErrorKind Kind,
                           const std::string &Message);
  void emitRefusal(uint64_t Request, base::ErrorKind Kind,
                   base::Outcome Outcome, const std::string &Message);
  void deliver(RequestRecord &Record, uint32_t Attempt);
  void cancelLive(RequestRecord &Record);
  void forget(RequestRecord &Record);

  bool trySend(RequestRecord &Record, base::TimePoint Now);
  void tryHedge(RequestRecord &Record, base::TimePoint Now);
  base::Duration attemptTimeout(const RequestRecord &Record,
                                const ServiceStats &Stats,
                                base::TimePoint Now) const;
  PickRequest pickRequest(const RequestRecord &Record,
                          const ServiceStats &Stats, base::Duration Timeout,
                          base::TimePoint Now) const;
  void send(RequestRecord &Record, const PickChoice &Choice,
            base::Duration Timeout, base::TimePoint Now);
  ServiceStats &stats(const std::string &Service, base::TimePoint Now);
  static double typicalUs(const ServiceStats &Stats);

  void learn(const AttemptRecord &Attempt, const AttemptResult &Result,
             base::TimePoint Now);
  void settleBytes(const AttemptRecord &Attempt, const AttemptResult &Result);
  void liveAttemptEnded(RequestRecord &Record, const AttemptResult &Result,
                        base::TimePoint Now);
  bool mayRetry(const RequestRecord &Record, const AttemptResult &Result) const;
  bool scheduleRetry(RequestRecord &Record, base::TimePoint Now);
  void expireAttempt(const AttemptKey &Key, base::TimePoint Now);

  Picker Picker_;
  RetryBudget Budget_;
  ByteBudget CrossRegion_;
  std::unordered_map<AttemptKey, AttemptRecord, AttemptKeyHash> Attempts_;
  std::unordered_map<std::string, int64_t> PerWorkspace_;
  std::unordered_map<std::string, ServiceStats> Services_;
  uint64_t Arrivals_ = 0;
  //! Worst shortage of the present and of the last interval.
  uint64_t ShortNow_ = 0;
  uint64_t ShortBefore_ = 0;
  base::TimePoint ShortSince_{};
  base::TimePoint ShortMeasured_{};
};

} // namespace crocuslead::route
