#include "schedule/internal/WorkerHealth.h"

#include <algorithm>

namespace crocuslead::schedule::internal {

namespace {

// A worker is quarantined after this many consecutive failures of this many
// different jobs.
constexpr std::size_t FailuresToQuarantine = 3;
constexpr std::size_t JobsToQuarantine = 2;
// A job that failed on this many workers is considered faulty itself.
constexpr std::size_t WorkersToBlameJob = 3;
constexpr std::size_t MaxRecordedFailures = 16;
constexpr std::size_t MaxFailedJobs = 4096;
constexpr std::chrono::seconds FirstProbeDelay(30);
constexpr std::chrono::minutes MaxProbeDelay(10);

} // namespace

bool WorkerHealth::failsEverywhere(JobNumber Job) const {
  auto It = FailedJobs_.find(Job);
  return It != FailedJobs_.end() && It->second.size() >= WorkersToBlameJob;
}

bool WorkerHealth::isSuspect(const Record &R) const {
  std::size_t Failures = 0;
  std::set<JobNumber> Jobs;
  for (JobNumber Job : R.Failures_) {
    if (failsEverywhere(Job))
      continue;
    ++Failures;
    Jobs.insert(Job);
  }
  return Failures >= FailuresToQuarantine && Jobs.size() >= JobsToQuarantine;
}

void WorkerHealth::recordJobFailure(JobNumber Job, WorkerNumber Worker) {
  auto [It, Inserted] = FailedJobs_.try_emplace(Job);
  It->second.insert(Worker);
  if (!Inserted)
    return;
  FailedJobOrder_.push_back(Job);
  if (FailedJobOrder_.size() <= MaxFailedJobs)
    return;
  FailedJobs_.erase(FailedJobOrder_.front());
  FailedJobOrder_.pop_front();
}

void WorkerHealth::scheduleProbe(Record &R, WorkerNumber Worker,
                                 base::TimePoint At) {
  Probes_.erase({R.ProbeAt_, Worker});
  R.ProbeAt_ = At;
  Probes_.insert({At, Worker});
}

bool WorkerHealth::recordStart(Worker &W, JobNumber Job, bool Succeeded,
                               base::TimePoint Now) {
  WorkerNumber Number = W.Info_.Worker_;
  if (Succeeded) {
    FailedJobs_.erase(Job);
    bool Changed = W.Quarantined_;
    reset(W);
    return Changed;
  }
  recordJobFailure(Job, Number);
  Record &R = Records_[Number];
  R.Failures_.push_back(Job);
  if (R.Failures_.size() > MaxRecordedFailures)
    R.Failures_.pop_front();
  ++W.ConsecutiveFailures_;
  if (W.Quarantined_) {
    // Tasks started before the quarantine may still fail; only the outcome of a
    // probe counts.
    if (R.Probe_ == 0)
      return false;
    // A probe whose job fails everywhere says nothing about the worker.
    if (!failsEverywhere(Job))
      R.Delay_ = std::min<base::Duration>(R.Delay_ * 2, MaxProbeDelay);
    R.Probe_ = 0;
    W.ProbeAllowed_ = false;
    scheduleProbe(R, Number, Now + R.Delay_);
    return true;
  }
  if (!isSuspect(R))
    return false;
  W.Quarantined_ = true;
  R.Delay_ = FirstProbeDelay;
  scheduleProbe(R, Number, Now + R.Delay_);
  // The failures are attributed to the worker, so they no longer count against
  // the jobs.
  for (JobNumber FailedJob : R.Failures_) {
    auto It = FailedJobs_.find(FailedJob);
    if (It != FailedJobs_.end())
      It->second.erase(Number);
  }
  return true;
}

void WorkerHealth::recordProbe(Worker &W, TaskNumber Task) {
  W.ProbeAllowed_ = false;
  Records_[W.Info_.Worker_].Probe_ = Task;
}

void WorkerHealth::recordRelease(Worker &W, TaskNumber Task) {
  if (!W.Quarantined_)
    return;
  auto It = Records_.find(W.Info_.Worker_);
  if (It == Records_.end() || It->second.Probe_ != Task)
    return;
  It->second.Probe_ = 0;
  scheduleProbe(It->second, W.Info_.Worker_, It->second.ProbeAt_);
}

std::vector<WorkerNumber> WorkerHealth::takeDueProbes(base::TimePoint Now) {
  std::vector<WorkerNumber> Due;
  while (!Probes_.empty() && Probes_.begin()->first <= Now) {
    Due.push_back(Probes_.begin()->second);
    Probes_.erase(Probes_.begin());
  }
  return Due;
}

void WorkerHealth::reset(Worker &W) {
  W.Quarantined_ = W.ProbeAllowed_ = false;
  W.ConsecutiveFailures_ = 0;
  auto It = Records_.find(W.Info_.Worker_);
  if (It == Records_.end())
    return;
  Probes_.erase({It->second.ProbeAt_, W.Info_.Worker_});
  Records_.erase(It);
}

} // namespace crocuslead::schedule::internal
