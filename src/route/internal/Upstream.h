#pragma once

#include "base/Clock.h"
#include "base/Random.h"
#include "route/Router.h"
#include "route/internal/SlotShare.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace crocuslead::route {

//! States and events of charts/upstream.yaml.
enum class UpstreamState : uint8_t {
  Warming,
  Serving,
  Ejected,
  Probing,
  Leaving,
  Withdrawn,
  Removed,
};

enum class UpstreamEvent : uint8_t {
  Warmed,
  Failed,
  ProbeDue,
  ProbeSucceeded,
  ProbeFailed,
  Readmitted,
  ListedLeaving,
  ListedLive,
  DomainOut,
  DomainBack,
  Delisted,
};

std::string_view upstreamStateName(UpstreamState State);
//! True when the chart file and the enums match.
bool upstreamChartValid();

//! Kind of slot that an attempt occupies.
enum class SlotKind : uint8_t { Own, Borrowed };

//! An upstream as this instance sees it: its state, its slots here, and what
//! its answers have shown.
class Upstream {
public:
  Upstream(UpstreamInfo Info, const InstanceView &View, base::TimePoint Now);

  const UpstreamInfo &info() const { return Info_; }
  UpstreamState state() const { return State_; }
  //! Takes over a newer entry of the instance list with the same id.
  void update(UpstreamInfo Info, const InstanceView &View);
  //! Starts a new life of an upstream that was removed; requests in flight
  //! still occupy their slots.
  void revive(base::TimePoint Now);
  //! False when the chart refuses the event in the present state.
  bool on(UpstreamEvent Event, base::TimePoint Now);

  void refreshShare(const InstanceView &View);
  int slotsHeld(base::TimePoint Now) const;
  int connectionsHeld() const { return Connections_.held(); }
  int inFlight() const { return OwnInFlight_ + BorrowedInFlight_; }
  //! Own slots that neither a request nor a loan occupies.
  int freeOwn(base::TimePoint Now) const;
  int ownSlots() const { return Slots_.held(); }
  bool hasConnection() const { return inFlight() < Connections_.held(); }
  //! Borrowed slots that are free and whose terms last until End.
  int freeBorrowed(base::TimePoint End) const;
  std::optional<base::TimePoint> longestBorrow(base::TimePoint Now) const {
    return Borrowed_.longest(Now);
  }
  void lend(int Count, base::TimePoint Until);
  void borrow(int Count, base::TimePoint Until);
  void occupy(SlotKind Kind, base::TimePoint Now);
  void vacate(SlotKind Kind, base::TimePoint SentAt);

  void recordAnswer(base::Duration Latency, base::TimePoint Now);
  //! An attempt was given up after Age, so its latency is at least that.
  void recordAbandoned(base::Duration Age, base::TimePoint Now);
  void recordSuccess();
  void recordFailure(bool Unreachable);
  //! True when the failures call for ejection.
  bool failing() const;
  //! Sets the time of the next probe, later for each ejection in a row.
  void scheduleProbe(base::TimePoint Now, base::Random &Rng);
  base::TimePoint probeAt() const { return ProbeAt_; }
  base::TimePoint stateSince() const { return StateSince_; }
  bool warm(base::TimePoint Now) const;

  //! Expected time to an answer, in microseconds, over the share of normal
  //! traffic that the upstream should get. Typical is the expectation for an
  //! upstream that has not been measured lately.
  double score(double TypicalUs, base::TimePoint Now) const;
  double weight(base::TimePoint Now) const;
  double latencyUs() const { return LatencyUs_; }

private:
  void recordLatency(double Us, base::TimePoint Now);

  UpstreamInfo Info_;
  UpstreamState State_;
  base::TimePoint StateSince_;
  SlotShare Slots_;
  SlotShare Connections_;
  SlotLoans Lent_;
  SlotLoans Borrowed_;
  int OwnInFlight_ = 0;
  int BorrowedInFlight_ = 0;
  std::vector<base::TimePoint> SentAt_;
  double LatencyUs_ = 0;
  base::TimePoint MeasuredAt_{};
  double FailureShare_ = 0;
  int Outcomes_ = 0;
  int ConsecutiveFailures_ = 0;
  bool Unreachable_ = false;
  int EjectionsInRow_ = 0;
  base::TimePoint ProbeAt_{};
};

} // namespace crocuslead::route
