#pragma once

#include "base/Clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace crocuslead::route {

//! Configured instances and which of them have been dead long enough for their
//! slots to pass on.
class InstanceView {
public:
  //! Longest time that a request of a dead instance may still use a slot.
  static constexpr std::chrono::seconds HandoverDelay{30};

  InstanceView(std::vector<std::string> Instances, const std::string &Self);

  const std::vector<std::string> &instances() const { return Instances_; }
  std::size_t self() const { return Self_; }
  //! Live is sorted.
  void setLive(const std::vector<std::string> &Live, base::TimePoint Now);
  //! Applies the delays that have ended; true when something changed.
  bool refresh(base::TimePoint Now);
  bool passedOn(std::size_t Instance) const { return PassedOn_[Instance]; }

private:
  std::vector<std::string> Instances_;
  std::size_t Self_ = 0;
  std::vector<std::optional<base::TimePoint>> DeadSince_;
  std::vector<bool> PassedOn_;
};

//! The slots or connections of one upstream that belong to this instance: slot
//! i belongs to the first live instance in rendezvous order of (upstream, i).
class SlotShare {
public:
  SlotShare() = default;
  //! Kind keeps the orders of slots and connections apart.
  SlotShare(const std::string &Upstream, const std::string &Kind, int Count,
            const InstanceView &View);

  int held() const { return Held_; }
  void refresh(const InstanceView &View);

private:
  //! For each slot, the instances that come before this one.
  std::vector<std::vector<uint16_t>> Ahead_;
  int Held_ = 0;
};

//! Slots lent or borrowed, each until the end of its term.
class SlotLoans {
public:
  void add(int Count, base::TimePoint Until);
  int total(base::TimePoint Now) const;
  //! Longest term that still runs; none when no loan does.
  std::optional<base::TimePoint> longest(base::TimePoint Now) const;
  //! Slots whose term lasts at least until End.
  int lastingUntil(base::TimePoint End) const { return total(End); }
  void prune(base::TimePoint Now);

private:
  struct Loan {
    int Count_;
    base::TimePoint Until_;
  };
  std::vector<Loan> Loans_;
};

} // namespace crocuslead::route
