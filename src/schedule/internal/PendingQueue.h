#pragma once

#include "schedule/internal/Worker.h"

#include <map>
#include <memory>
#include <set>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace crocuslead::schedule::internal {

struct Shape;

//! A waiting task, linked into the list of its shape.
struct Entry {
  PendingTask Task_;
  Entry *Next_ = nullptr;
  Entry *Previous_ = nullptr;
  Shape *Shape_ = nullptr;
};

//! Waiting tasks that fit or do not fit together, oldest first: those with the
//! same workspace, urgency, class and request, or those of one gang.
struct Shape {
  using Key = std::tuple<WorkspaceNumber, bool, TaskClass, JobNumber, int64_t,
                         int64_t, int64_t>;
  enum class State : uint8_t { Idle, Ready, Blocked };

  Key Key_;
  Entry *Head_ = nullptr;
  Entry *Tail_ = nullptr;
  std::size_t Count_ = 0;
  State State_ = State::Idle;
  //! Epoch in which the last attempt found no room.
  uint64_t BlockedEpoch_ = 0;
  //! Smallest member request, for waking.
  base::Resources Request_;
  //! Failed attempts in a row; gangs wait longer after each.
  uint32_t Failures_ = 0;
  //! Earliest time of the next search for victims.
  base::TimePoint NextClaim_;
  //! No worker could ever hold it; its tasks are to be rejected.
  bool Infeasible_ = false;

  const PendingTask &first() const { return Head_->Task_; }
  bool urgent() const { return std::get<1>(Key_); }
  bool isGang() const { return std::get<3>(Key_) != 0; }
  std::size_t unitSize() const {
    return isGang() ? std::max<std::size_t>(first().GangSize_, 1) : 1;
  }
  bool complete() const { return Head_ != nullptr && Count_ >= unitSize(); }
};

//! Order within a lane: latency-critical first, then the oldest.
struct ShapeOrder {
  bool operator()(const Shape *A, const Shape *B) const {
    auto Rank = [](const Shape *S) {
      return std::make_tuple(S->urgent() ? TaskClass::LatencyCritical
                                         : S->first().Class_,
                             S->first().Submitted_, S->first().Task_);
    };
    return Rank(A) < Rank(B);
  }
};

//! Shapes of one workspace, or all urgent ones.
struct Lane {
  using Shapes = std::set<Shape *, ShapeOrder>;
  Shapes Ready_;
  Shapes Blocked_;
};

//! All waiting tasks. Adding and removing one costs the same however many wait.
class PendingQueue {
public:
  void add(const PendingTask &Task);
  bool remove(TaskNumber Task);
  const Entry *find(TaskNumber Task) const;
  std::size_t size() const { return Entries_.size(); }

  Lane &urgent() { return Urgent_; }
  std::map<WorkspaceNumber, Lane> &lanes() { return Lanes_; }
  void block(Shape &Target, uint64_t Epoch);
  void wake(Shape &Target);
  //! Shapes added or changed since the last call, to check for feasibility.
  std::vector<Shape *> takeUnchecked();
  void recheckAll();

private:
  Lane &laneOf(const Shape &Target);
  void unfile(Shape &Target);
  void file(Shape &Target);
  void setState(Shape &Target, Shape::State State);

  std::unordered_map<TaskNumber, Entry> Entries_;
  std::map<Shape::Key, std::unique_ptr<Shape>> Shapes_;
  std::set<Shape::Key> Unchecked_;
  Lane Urgent_;
  std::map<WorkspaceNumber, Lane> Lanes_;
};

} // namespace crocuslead::schedule::internal
