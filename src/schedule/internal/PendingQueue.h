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

//! A pending task, linked into the list of its equivalence class.
struct PendingEntry {
  PendingTask Task_;
  PendingEntry *Next_ = nullptr;
  PendingEntry *Previous_ = nullptr;
  EquivalenceClass *EquivalenceClass_ = nullptr;
};

//! Pending tasks of which either all or none fit, oldest first: the tasks with
//! the same workspace, urgency, class and request, or the tasks of one gang.
struct EquivalenceClass {
  using Key = std::tuple<WorkspaceNumber, bool, TaskClass, JobNumber, int64_t,
                         int64_t, int64_t>;
  //! Idle: incomplete gang. Ready: to be started. Blocked: found no capacity.
  enum class State : uint8_t { Idle, Ready, Blocked };

  Key Key_;
  PendingEntry *Head_ = nullptr;
  PendingEntry *Tail_ = nullptr;
  std::size_t Count_ = 0;
  State State_ = State::Idle;
  //! Epoch of the last attempt that found no capacity.
  uint64_t BlockedEpoch_ = 0;
  //! Smallest request of the tasks; decides when freed capacity wakes them.
  base::Resources Request_;
  //! Consecutive failed attempts; the retry interval of a gang grows with them.
  uint32_t Failures_ = 0;
  //! Earliest time of the next search for victims.
  base::TimePoint NextPreemption_;
  //! No worker could ever run the tasks; they are to be rejected.
  bool Infeasible_ = false;

  const PendingTask &first() const { return Head_->Task_; }
  bool isUrgent() const { return std::get<1>(Key_); }
  bool isGang() const { return std::get<3>(Key_) != 0; }
  //! Number of tasks that start together.
  std::size_t groupSize() const {
    return isGang() ? std::max<std::size_t>(first().GangSize_, 1) : 1;
  }
  bool isComplete() const { return Head_ != nullptr && Count_ >= groupSize(); }
};

//! Order within a queue: latency-critical tasks first, then the oldest.
struct EquivalenceClassOrder {
  bool operator()(const EquivalenceClass *A, const EquivalenceClass *B) const {
    auto Rank = [](const EquivalenceClass *Class) {
      return std::make_tuple(Class->isUrgent() ? TaskClass::LatencyCritical
                                               : Class->first().Class_,
                             Class->first().Submitted_, Class->first().Task_);
    };
    return Rank(A) < Rank(B);
  }
};

//! Equivalence classes of one workspace, or of all urgent tasks.
struct SubQueue {
  using Classes = std::set<EquivalenceClass *, EquivalenceClassOrder>;
  Classes Ready_;
  Classes Blocked_;
};

//! All pending tasks. The cost of adding and removing a task does not depend on
//! the number of pending tasks.
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
  void block(EquivalenceClass &Class, uint64_t Epoch);
  void wake(EquivalenceClass &Class);
  //! Returns the classes that were added or changed since the last call, to be
  //! checked for feasibility.
  std::vector<EquivalenceClass *> takeUnchecked();
  void recheckAll();

private:
  SubQueue &queueOf(const EquivalenceClass &Class);
  void removeFromQueue(EquivalenceClass &Class);
  void insertIntoQueue(EquivalenceClass &Class);
  void setState(EquivalenceClass &Class, EquivalenceClass::State State);

  std::unordered_map<TaskNumber, PendingEntry> Entries_;
  std::map<EquivalenceClass::Key, std::unique_ptr<EquivalenceClass>> Classes_;
  std::set<EquivalenceClass::Key> Unchecked_;
  SubQueue Urgent_;
  std::map<WorkspaceNumber, SubQueue> WorkspaceQueues_;
};

} // namespace crocuslead::schedule::internal
