#pragma once

#include "schedule/internal/Worker.h"

#include <map>
#include <memory>
#include <set>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace crocuslead::schedule::internal {

struct EquivalenceClass;

//! A waiting task, linked into the list of its shape.
struct PendingEntry {
  PendingTask Task_;
  PendingEntry *Next_ = nullptr;
  PendingEntry *Previous_ = nullptr;
  EquivalenceClass *EquivalenceClass_ = nullptr;
};

//! Waiting tasks that fit or do not fit together, oldest first: those with the
//! same workspace, urgency, class and request, or those of one gang.
struct EquivalenceClass {
  using Key = std::tuple<WorkspaceNumber, bool, TaskClass, JobNumber, int64_t,
                         int64_t, int64_t>;
  enum class State : uint8_t { Idle, Ready, Blocked };

  Key Key_;
  PendingEntry *Head_ = nullptr;
  PendingEntry *Tail_ = nullptr;
  std::size_t Count_ = 0;
  State State_ = State::Idle;
  //! Epoch in which the last attempt found no room.
  uint64_t BlockedEpoch_ = 0;
  //! Smallest member request, for waking.
  base::Resources Request_;
  //! Failed attempts in a row; gangs wait longer after each.
  uint32_t Failures_ = 0;
  //! Earliest time of the next search for victims.
  base::TimePoint NextPreemption_;
  //! No worker could ever hold it; its tasks are to be rejected.
  bool Infeasible_ = false;

  const PendingTask &first() const { return Head_->Task_; }
  bool isUrgent() const { return std::get<1>(Key_); }
  bool isGang() const { return std::get<3>(Key_) != 0; }
  std::size_t groupSize() const {
    return isGang() ? std::max<std::size_t>(first().GangSize_, 1) : 1;
  }
  bool isComplete() const { return Head_ != nullptr && Count_ >= groupSize(); }
};

//! Order within a lane: latency-critical first, then the oldest.
struct EquivalenceClassOrder {
  bool operator()(const EquivalenceClass *A, const EquivalenceClass *B) const {
    auto Rank = [](const EquivalenceClass *S) {
      return std::make_tuple(S->isUrgent() ? TaskClass::LatencyCritical
                                           : S->first().Class_,
                             S->first().Submitted_, S->first().Task_);
    };
    return Rank(A) < Rank(B);
  }
};

//! Shapes of one workspace, or all urgent ones.
struct SubQueue {
  using Classes = std::set<EquivalenceClass *, EquivalenceClassOrder>;
  Classes Ready_;
  Classes Blocked_;
};

//! All waiting tasks. Adding and removing one costs the same however many wait.
class PendingQueue {
public:
  void add(const PendingTask &Task);
  bool remove(TaskNumber Task);
  const PendingEntry *find(TaskNumber Task) const;
  std::size_t size() const { return Entries_.size(); }

  SubQueue &urgentQueue() { return Urgent_; }
  std::map<WorkspaceNumber, SubQueue> &workspaceQueues() {
    return WorkspaceQueues_;
  }
  void block(EquivalenceClass &Target, uint64_t Epoch);
  void wake(EquivalenceClass &Target);
  //! Shapes added or changed since the last call, to check for feasibility.
  std::vector<EquivalenceClass *> takeUnchecked();
  void recheckAll();

private:
  SubQueue &queueOf(const EquivalenceClass &Target);
  void removeFromQueue(EquivalenceClass &Target);
  void insertIntoQueue(EquivalenceClass &Target);
  void setState(EquivalenceClass &Target, EquivalenceClass::State State);

  std::unordered_map<TaskNumber, PendingEntry> Entries_;
  std::map<EquivalenceClass::Key, std::unique_ptr<EquivalenceClass>> Classes_;
  std::set<EquivalenceClass::Key> Unchecked_;
  SubQueue Urgent_;
  std::map<WorkspaceNumber, SubQueue> WorkspaceQueues_;
};

} // namespace crocuslead::schedule::internal
