#pragma once

#include "base/Clock.h"
#include "route/Router.h"

#include <cstdint>
#include <map>
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

  InstanceView(std::vector<std::string> Instances, const std::string &Self,
               const std::map<std::string, std::string> &Regions);

  const std::vector<std::string> &instances() const { return Instances_; }
  bool inRegion(std::size_t Instance, const std::string &Region) const {
    return Regions_[Instance] == Region;
  }
  std::size_t self() const { return Self_; }
  //! Live is sorted.
  void setLive(const std::vector<std::string> &Live, base::TimePoint Now);
  //! Applies the delays that have ended; true when something changed.
  bool refresh(base::TimePoint Now);
  bool passedOn(std::size_t Instance) const { return PassedOn_[Instance]; }

private:
  std::vector<std::string> Instances_;
  //! Empty names where the regions are not given.
  std::vector<std::string> Regions_;
  std::size_t Self_ = 0;
  std::vector<std::optional<base::TimePoint>> DeadSince_;
  std::vector<bool> PassedOn_;
};

enum class ShareKind : uint8_t { Slots, Connections };

//! The slots or connections of one upstream that belong to this instance: slot
//! i belongs to the first live instance in rendezvous order of (upstream, i).
//! For slots, instances of the upstream's region come first. Connections keep
//! the plain order, because instances of other regions need some for the slots
//! that they borrow.
class SlotShare {
public:
  SlotShare() = default;
  SlotShare(const UpstreamInfo &Upstream, ShareKind Kind,
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
