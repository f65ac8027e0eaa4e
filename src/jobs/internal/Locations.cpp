#include "jobs/internal/Impl.h"

#include <algorithm>
#include <utility>

// A request that gets no answer may have been taken by a later incarnation of
// its worker, which has the same id and address. A run is located once that is
// ruled out: it then ends with the present incarnation or its lease. A
// successor can't know which starts were on their way, so the progress of a job
// says of which tasks there are none.

namespace crocuslead::jobs {

void Coordinator::Impl::noteLocated(RunEntry &Run) {
  if (std::exchange(Run.Located_, true))
    return;
  recordLocation(Run);
  WorkerEntry &Worker = *Run.Worker_;
  if (acknowledgeableSequence(Worker) > Worker.SentAcknowledgedSequence_)
    Worker.NextPollAt_ =
        std::min(Worker.NextPollAt_, now() + Congestion_.pollPause());
}

void Coordinator::Impl::recordLocations(const WorkerEntry &Worker) {
  for (const RunEntry *Run : Worker.Runs_)
    recordLocation(*Run);
}

// The incarnation must be on record first: a successor bounds the leases of the
// one that the record names.
void Coordinator::Impl::recordLocation(const RunEntry &Run) {
  TaskEntry &Task = Run.Step_->Tasks_[Run.Position_.Index_];
  if (Task.Located_ || Task.Done_ || isFinal(Run.Job_->State_) ||
      Run.Step_->Spec_->Speculative_)
    return;
  for (const RunEntry *Each : Task.Runs_)
    if (!Each->Located_ || !Each->Worker_->RecordDurable_)
      return;
  Task.Located_ = true;
  markDirty(*Run.Job_);
}

void Coordinator::Impl::revokeLocation(JobEntry &Job, TaskEntry &Task) {
  if (!Task.Located_ || Task.Done_ || !hasRecovered(Job, Task))
    return;
  Task.Located_ = false;
  markDirty(Job);
  Task.UnlocatedVersion_ = Job.Version_;
}

void Coordinator::Impl::revokeLocations(JobEntry &Job) {
  for (auto &[Number, Occurrence] : Job.Occurrences_)
    for (StepEntry &Step : Occurrence.Steps_)
      for (TaskEntry &Task : Step.Tasks_)
        if (Task.Runs_.empty())
          revokeLocation(Job, Task);
}

bool Coordinator::Impl::mayRunUnlocated(const std::string &WorkerId) const {
  auto It = UnlocatedRuns_.find(WorkerId);
  if (It == UnlocatedRuns_.end() ||
      (It->second.Jobs_ && It->second.Jobs_->empty()))
    return false;
  return now() < It->second.End_ || mustRecordUnlocated(WorkerId);
}

bool Coordinator::Impl::mustRecordUnlocated(const std::string &WorkerId) const {
  auto It = Workers_.find(WorkerId);
  return It != Workers_.end() && !It->second->Polled_ &&
         !(It->second->UnseenAbandoned_ && It->second->AbandonmentDurable_);
}

// While the store fails the record can't be changed, and a task that waited for
// it would be down for as long. A successor learns of an end that is listed
// until it is durable; without one, a coordinator that is cut off must not
// start what its successor takes for located.
bool Coordinator::Impl::mayStartUnlocated(const JobEntry &Job,
                                          const TaskEntry &Task) const {
  if (Task.Located_)
    return false;
  if (Job.DurableVersion_ >= Task.UnlocatedVersion_)
    return true;
  bool EndListed = Task.Previous_ && Task.Previous_->Listed_;
  return EndListed ? CommitsFail_ || StoreSilent_ : isStoreOut();
}

} // namespace crocuslead::jobs
