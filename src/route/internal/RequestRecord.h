#pragma once

#include "base/Clock.h"
#include "route/Router.h"
#include "route/internal/RequestQueue.h"
#include "route/internal/Upstream.h"

#include <cstdint>
#include <string>
#include <vector>

namespace crocuslead::route {

//! States and events of charts/request.yaml.
enum class RequestState : uint8_t {
  Queued,
  InFlight,
  Racing,
  BackingOff,
  Detached,
  Delivered,
  Refused,
  Cancelled,
};

enum class RequestEvent : uint8_t {
  Send,
  Hedge,
  AttemptLost,
  BackOff,
  RetryDue,
  Answer,
  Refuse,
  CallerLeft,
  Detach,
};

//! True when the chart file and the enums match.
bool requestChartValid();
RequestState initialRequestState();

//! A request that has not ended.
struct RequestRecord {
  RequestInfo Info_;
  RequestState State_ = initialRequestState();
  RequestQueue::Entry Queue_;
  bool Waiting_ = false;
  base::TimePoint QueueEnd_;
  base::TimePoint RetryAt_;
  uint32_t Attempts_ = 0;
  //! Attempts whose answer is still wanted.
  std::vector<uint32_t> Live_;
  std::vector<std::string> Tried_;
  //! An attempt that has ended may have run.
  bool MayHaveRun_ = false;

  //! False when the chart refuses the event in the present state.
  bool on(RequestEvent Event);
};

struct AttemptKey {
  uint64_t Request_;
  uint32_t Attempt_;

  friend bool operator==(const AttemptKey &A, const AttemptKey &B) {
    return A.Request_ == B.Request_ && A.Attempt_ == B.Attempt_;
  }
};

struct AttemptKeyHash {
  std::size_t operator()(const AttemptKey &Key) const {
    return std::hash<uint64_t>()(Key.Request_ * 31 + Key.Attempt_);
  }
};

//! An attempt that occupies a slot; it can outlive its request.
struct AttemptRecord {
  Upstream *Upstream_ = nullptr;
  SlotKind Kind_ = SlotKind::Own;
  bool CrossRegion_ = false;
  std::string Service_;
  base::TimePoint SentAt_;
  double ExpectedAnswerBytes_ = 0;
};

enum class TimerKind : uint8_t {
  Deadline,
  QueueEnd,
  Retry,
  Hedge,
  AttemptExpiry,
};

struct Timer {
  base::TimePoint When_;
  uint64_t Request_;
  uint32_t Attempt_;
  TimerKind Kind_;

  //! Order of a heap whose top is the earliest; the other fields make the
  //! order complete, so that runs repeat exactly.
  friend bool operator<(const Timer &A, const Timer &B) {
    if (A.When_ != B.When_)
      return A.When_ > B.When_;
    if (A.Request_ != B.Request_)
      return A.Request_ > B.Request_;
    if (A.Attempt_ != B.Attempt_)
      return A.Attempt_ > B.Attempt_;
    return A.Kind_ > B.Kind_;
  }
};

} // namespace crocuslead::route
