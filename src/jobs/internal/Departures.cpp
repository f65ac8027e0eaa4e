#include "jobs/internal/Impl.h"

#include "base/Log.h"

#include <algorithm>
#include <utility>

// Workers that have left as planned. A start that is still on its way to such a
// worker could only be executed by a later incarnation, and a planned exit is
// not followed by one: a worker that crashes or is cut off comes back under its
// id. The two differ in how the entry goes: one that lapses does so well after
// the last answer. See docs/decisions/late-starts.md.

namespace crocuslead::jobs {

namespace {

// From the removal of its entry to the exit of a worker.
constexpr auto MaxExitTime = std::chrono::milliseconds(300);

} // namespace

bool Coordinator::Impl::hasLeft(const WorkerEntry &Worker) const {
  if (Worker.Registered_ || !Worker.UnlistedAt_)
    return false;
  base::TimePoint UnlistedAt = *Worker.UnlistedAt_;
  if (!Worker.AnsweredPollSentAt_)
    return isPlannedExit(Worker.Info_.Id_, UnlistedAt);
  base::TimePoint LastAnswer = *Worker.AnsweredPollSentAt_;
  return Worker.Info_.Draining_ && LastAnswer <= UnlistedAt + MaxExitTime &&
         UnlistedAt - LastAnswer < Settings_.Times_.MinEntryLapse_;
}

// An entry that lapsed would have gone later.
bool Coordinator::Impl::isPlannedExit(const std::string &WorkerId,
                                      base::TimePoint UnlistedAt) const {
  if (!LastCommit_ || !LastCommitAge_->WrittenAfter_)
    return false;
  for (const internal::LeavingWorker &Each : LastCommit_->Leaving_)
    if (Each.Id_ == WorkerId)
      return UnlistedAt - (*LastCommitAge_->WrittenAfter_ - Each.AnswerAge_) <
             Settings_.Times_.MinEntryLapse_;
  return false;
}

// Those that successors would wait for. Of one that has left, the progress of a
// job may still name a late start.
std::vector<internal::LeavingWorker> Coordinator::Impl::leavingWorkers() const {
  std::vector<internal::LeavingWorker> Out;
  for (const WorkerEntry *Worker : WorkerOrder_) {
    if (hasLeft(*Worker))
      Out.push_back({Worker->Info_.Id_, {}});
    else if (mayLeaveSoon(*Worker) && Worker->Registered_ &&
             Worker->AnsweredPollSentAt_ && Worker->PollFailures_ == 0)
      Out.push_back({Worker->Info_.Id_, now() - *Worker->AnsweredPollSentAt_});
  }
  for (const std::string &Id : UnlistedBefore_)
    if (isPlannedExit(Id, RecoveryStartedAt_))
      Out.push_back({Id, {}});
  return Out;
}

bool Coordinator::Impl::mayLeaveSoon(const WorkerEntry &Worker) const {
  return Worker.Info_.Draining_ && LateStarts_.count(Worker.Info_.Id_) > 0;
}

bool Coordinator::Impl::hasDeparted(const WorkerEntry &Worker) const {
  return Worker.PollFailures_ > 0 && hasLeft(Worker);
}

void Coordinator::Impl::concludeDeparture(WorkerEntry &Worker) {
  const std::string &Id = Worker.Info_.Id_;
  forgetLateStartsAt(Id);
  if (auto It = UnlocatedRuns_.find(Id); It != UnlocatedRuns_.end())
    It->second.End_ = std::min(It->second.End_, leaseEnd(Worker));
  if (!wasLatestTermAt(*Worker.UnlistedAt_))
    return;
  for (RunEntry *Run : std::vector<RunEntry *>(Worker.Runs_))
    if (Run->Barred_)
      concludeUnreportedRun(*Run, "stopped-at-worker-that-left");
}

void Coordinator::Impl::concludeEarlierDepartures() {
  for (auto It = UnlistedBefore_.begin(); It != UnlistedBefore_.end();) {
    if (!isPlannedExit(*It, RecoveryStartedAt_)) {
      ++It;
      continue;
    }
    forgetLateStartsAt(*It);
    UnlocatedRuns_.erase(*It);
    It = UnlistedBefore_.erase(It);
  }
}

void Coordinator::Impl::forgetLateStartsAt(const std::string &WorkerId) {
  auto Node = LateStarts_.extract(WorkerId);
  if (Node.empty())
    return;
  for (const internal::LateStartEntry &Late : Node.mapped()) {
    logLateStartOver(WorkerId, Late, "worker-left");
    TaskEntry *Task = findTask(Late.Task_);
    if (Task == nullptr || Task->LateStartOn_ != WorkerId)
      continue;
    Task->LateStartOn_.clear();
    // A successor would expect it anew.
    if (isUnfinished(Late.Task_))
      markLocationDirty(*findJob(Late.Task_.Job_));
  }
  PlacementRequested_ = true;
}

} // namespace crocuslead::jobs
