#include "schedule/internal/WorkerHealth.h"

#include <algorithm>

namespace crocuslead::schedule::internal {

namespace {

constexpr std::size_t FailuresToQuarantine = 3;
constexpr std::size_t JobsToQuarantine = 2;
constexpr std::size_t WorkersToBlameJob = 3;
constexpr std::size_t FailuresKept = 16;
constexpr std::size_t FailedJobsKept = 4096;
constexpr std::chrono::seconds FirstProbeDelay(30);
constexpr std::chrono::minutes LongestProbeDelay(10);

} // namespace

bool WorkerHealth::failsEverywhere(JobNumber Job) const {
  auto Found = FailedJobs_.find(Job);
  return Found != FailedJobs_.end() &&
         Found->second.size() >= WorkersToBlameJob;
}

bool WorkerHealth::isSuspect(const Record &Of) const {
  std::size_t Failures = 0;
  std::set<JobNumber> Jobs;
  for (JobNumber Job : Of.Failures_) {
    if (failsEverywhere(Job))
      continue;
    ++Failures;
    Jobs.insert(Job);
  }
  return Failures >= FailuresToQuarantine && Jobs.size() >= JobsToQuarantine;
}

void WorkerHealth::recordJobFailure(JobNumber Job, WorkerNumber Worker) {
  auto [Found, Inserted] = FailedJobs_.try_emplace(Job);
  Found->second.insert(Worker);
  if (!Inserted)
    return;
  FailedJobOrder_.push_back(Job);
  if (FailedJobOrder_.size() <= FailedJobsKept)
    return;
  FailedJobs_.erase(FailedJobOrder_.front());
  FailedJobOrder_.pop_front();
}

void WorkerHealth::schedule(Record &Of, WorkerNumber Worker,
                            base::TimePoint At) {
  Probes_.erase({Of.ProbeAt_, Worker});
  Of.ProbeAt_ = At;
  Probes_.insert({At, Worker});
}

bool WorkerHealth::recordStart(Worker &Target, JobNumber Job, bool Succeeded,
                               base::TimePoint Now) {
  WorkerNumber Number = Target.Info_.Worker_;
  if (Succeeded) {
    FailedJobs_.erase(Job);
    bool Changed = Target.Quarantined_;
    reset(Target);
    return Changed;
  }
  recordJobFailure(Job, Number);
  Record &Of = Records_[Number];
  Of.Failures_.push_back(Job);
  if (Of.Failures_.size() > FailuresKept)
    Of.Failures_.pop_front();
  ++Target.ConsecutiveFailures_;
  if (Target.Quarantined_) {
    // Starts made before the quarantine may still fail; only a probe counts.
    if (Of.Probe_ == 0)
      return false;
    // A probe that failed through its job says nothing about the worker.
    if (!failsEverywhere(Job))
      Of.Delay_ = std::min<base::Duration>(Of.Delay_ * 2, LongestProbeDelay);
    Of.Probe_ = 0;
    Target.ProbeAllowed_ = false;
    schedule(Of, Number, Now + Of.Delay_);
    return true;
  }
  if (!isSuspect(Of))
    return false;
  Target.Quarantined_ = true;
  Of.Delay_ = FirstProbeDelay;
  schedule(Of, Number, Now + Of.Delay_);
  // The failures were the worker's, so they no longer count against the jobs.
  for (JobNumber Each : Of.Failures_) {
    auto Found = FailedJobs_.find(Each);
    if (Found != FailedJobs_.end())
      Found->second.erase(Number);
  }
  return true;
}

void WorkerHealth::recordProbe(Worker &Target, TaskNumber Task) {
  Target.ProbeAllowed_ = false;
  Records_[Target.Info_.Worker_].Probe_ = Task;
}

void WorkerHealth::recordRelease(Worker &Target, TaskNumber Task) {
  if (!Target.Quarantined_)
    return;
  auto Found = Records_.find(Target.Info_.Worker_);
  if (Found == Records_.end() || Found->second.Probe_ != Task)
    return;
  Found->second.Probe_ = 0;
  schedule(Found->second, Target.Info_.Worker_, Found->second.ProbeAt_);
}

std::vector<WorkerNumber> WorkerHealth::takeDueProbes(base::TimePoint Now) {
  std::vector<WorkerNumber> Due;
  while (!Probes_.empty() && Probes_.begin()->first <= Now) {
    Due.push_back(Probes_.begin()->second);
    Probes_.erase(Probes_.begin());
  }
  return Due;
}

void WorkerHealth::reset(Worker &Target) {
  Target.Quarantined_ = Target.ProbeAllowed_ = false;
  Target.ConsecutiveFailures_ = 0;
  auto Found = Records_.find(Target.Info_.Worker_);
  if (Found == Records_.end())
    return;
  Probes_.erase({Found->second.ProbeAt_, Target.Info_.Worker_});
  Records_.erase(Found);
}

} // namespace crocuslead::schedule::internal
