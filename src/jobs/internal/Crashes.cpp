#include "jobs/internal/Impl.h"

#include "base/Log.h"

#include <algorithm>

// Tasks that crash their workers. A worker that crashes lists no ends, so a
// crash is inferred: the worker was lost before the run was known to have
// outlived its start. Others that had just started there are suspected too. A
// task that is suspected twice is isolated: it starts on a worker without
// another unproven run, and nothing starts there until it is proven, so that
// the next crash has one suspect. From the first crash on, a start waits until
// the record announces it.

namespace crocuslead::jobs {

namespace {

// A run that its worker reports for this long has outlived its start.
constexpr int64_t ProofMs = 100;
// Suspected crashes after which a task is isolated.
constexpr int IsolationCrashes = 2;
// A task is given up after MinCrashes whose evidence weighs at least MinWeight.
constexpr int MinCrashes = 3;
constexpr int MinWeight = 2;

// Losses without a suspect are remembered for this long; more than this part of
// the workers, and the fleet is losing workers for other reasons.
constexpr auto LossMemory = std::chrono::seconds(10);
constexpr std::size_t LossyFleetDivisor = 10;

int weightOf(CrashEvidence Evidence) {
  switch (Evidence) {
  case CrashEvidence::SoleUncertain:
    return 1;
  case CrashEvidence::Sole:
    return 2;
  default:
    return 0;
  }
}

int countCrashes(const internal::TaskEntry &Task) {
  return static_cast<int>(
      std::count_if(Task.Crashes_.begin(), Task.Crashes_.end(),
                    [](const SuspectedCrash &Each) {
                      return Each.Evidence_ != CrashEvidence::Announced;
                    }));
}

bool isConvicted(const internal::TaskEntry &Task) {
  int Weight = 0;
  for (const SuspectedCrash &Each : Task.Crashes_)
    Weight += weightOf(Each.Evidence_);
  return countCrashes(Task) >= MinCrashes && Weight >= MinWeight;
}

} // namespace

void Coordinator::Impl::countUnproven(RunEntry &Run) {
  ++Run.Worker_->UnprovenRuns_;
  Run.Worker_->IsolatedRuns_ += Run.Isolated_ ? 1 : 0;
}

void Coordinator::Impl::forgetUnproven(RunEntry &Run) {
  if (Run.Proven_)
    return;
  --Run.Worker_->UnprovenRuns_;
  Run.Worker_->IsolatedRuns_ -= Run.Isolated_ ? 1 : 0;
}

// While it waits for a late start, its worker is not lost under it.
void Coordinator::Impl::noteAbsent(RunEntry &Run) {
  forgetUnproven(Run);
  Run.Proven_ = true;
}

void Coordinator::Impl::noteExists(RunEntry &Run, int64_t WorkerMs) {
  if (Run.Proven_)
    return;
  if (!Run.ExistsSinceMs_) {
    Run.ExistsSinceMs_ = WorkerMs;
    // It was counted as lost with an earlier incarnation, or in a takeover.
    refuteCrashes(*Run.Job_, Run.Step_->Tasks_[Run.Position_.Index_],
                  Run.Number_, Run.Number_);
  }
  if (WorkerMs - *Run.ExistsSinceMs_ >= ProofMs || isListedLate(Run))
    proveRun(Run);
}

// The first report that lists a run may come long after its start, if the
// worker was out of reach.
bool Coordinator::Impl::isListedLate(const RunEntry &Run) const {
  base::TimePoint Outlived = Run.KnownSince_ +
                             Settings_.Times_.SilentRequestDelay_ +
                             std::chrono::milliseconds(ProofMs);
  return Run.Worker_->AnsweredPollSentAt_ &&
         *Run.Worker_->AnsweredPollSentAt_ >= Outlived;
}

void Coordinator::Impl::proveRun(RunEntry &Run) {
  if (Run.Proven_)
    return;
  forgetUnproven(Run);
  Run.Proven_ = true;
  PlacementRequested_ = PlacementRequested_ || Run.Isolated_;
  TaskEntry &Task = Run.Step_->Tasks_[Run.Position_.Index_];
  if (Task.Crashes_.empty())
    return;
  Task.Crashes_.clear();
  markDirty(*Run.Job_);
}

// A worker that lists the end of a run has outlived its start. The end may be
// listed after later runs were lost, so it clears only what was before.
void Coordinator::Impl::noteOutlived(JobEntry &Job, TaskEntry &Task,
                                     const RunResult &Result) {
  if (Result.Outcome_ == RunOutcome::Done ||
      Result.Outcome_ == RunOutcome::Failed ||
      Result.Outcome_ == RunOutcome::LeaseExpired)
    refuteCrashes(Job, Task, 0, Result.Run_);
}

void Coordinator::Impl::refuteCrashes(JobEntry &Job, TaskEntry &Task,
                                      uint64_t FirstRun, uint64_t LastRun) {
  std::vector<SuspectedCrash> &Crashes = Task.Crashes_;
  auto End = std::remove_if(
      Crashes.begin(), Crashes.end(), [&](const SuspectedCrash &Each) {
        return Each.Evidence_ != CrashEvidence::Announced &&
               Each.Run_ >= FirstRun && Each.Run_ <= LastRun;
      });
  if (End == Crashes.end())
    return;
  Crashes.erase(End, Crashes.end());
  if (countCrashes(Task) == 0)
    Crashes.clear();
  markDirty(Job);
}

// A worker that drains leaves as planned. One that is out of reach while the
// registry lists it lives.
void Coordinator::Impl::recordWorkerLoss(const WorkerEntry &Worker,
                                         WorkerLoss Loss) {
  if (Worker.Info_.Draining_ ||
      (Loss == WorkerLoss::OutOfReach && Worker.Registered_))
    return;
  if (Worker.UnprovenRuns_ == 0) {
    if (Worker.Polled_)
      UnsuspectedLosses_.push_back(now());
    return;
  }
  bool Alone = Worker.UnprovenRuns_ == 1;
  std::vector<uint64_t> Suspects;
  for (const RunEntry *Run : Worker.Runs_)
    if (!Run->Proven_)
      Suspects.push_back(Run->Serial_);
  for (uint64_t Serial : Suspects)
    if (RunEntry *Run = findRun(Serial))
      recordCrash(*Run, Alone ? evidenceOf(*Run, Loss) : CrashEvidence::Shared);
}

// While workers are lost without any suspect, a suspect proves less.
bool Coordinator::Impl::isLosingWorkers() {
  while (!UnsuspectedLosses_.empty() &&
         now() - UnsuspectedLosses_.front() > LossMemory)
    UnsuspectedLosses_.pop_front();
  return UnsuspectedLosses_.size() * LossyFleetDivisor > WorkerOrder_.size();
}

// Only in isolation does a loss speak against one task. The incarnation that
// was lost may not have got a start that is not located, and a worker that is
// unlisted may be cut off from the store as well.
CrashEvidence Coordinator::Impl::evidenceOf(const RunEntry &Run,
                                            WorkerLoss Loss) {
  if (!Run.Isolated_)
    return CrashEvidence::Shared;
  bool Certain = Loss == WorkerLoss::IncarnationEnded && Run.Located_ &&
                 !isLosingWorkers();
  return Certain ? CrashEvidence::Sole : CrashEvidence::SoleUncertain;
}

void Coordinator::Impl::recordCrash(RunEntry &Run, CrashEvidence Evidence) {
  JobEntry &Job = *Run.Job_;
  TaskEntry &Task = Run.Step_->Tasks_[Run.Position_.Index_];
  std::vector<SuspectedCrash> &Crashes = Task.Crashes_;
  // Each copy of its start may have crashed an incarnation.
  auto Known = std::count_if(
      Crashes.begin(), Crashes.end(), [&](const SuspectedCrash &Each) {
        return Each.Evidence_ != CrashEvidence::Announced &&
               Each.Run_ == Run.Number_;
      });
  if (Known >= std::max(Run.StartsSent_, 1) || Task.Done_ ||
      isFinal(Job.State_))
    return;
  if (isNextRunAnnounced(Task))
    Crashes.pop_back();
  Crashes.push_back({Run.Number_, Evidence});
  markDirty(Job);
  std::string EvidenceName(CrashEvidenceNames.name(Evidence));
  Metrics_
      .counter("crocuslead_suspected_crashes_total",
               "Runs that may have crashed their worker.",
               {{"evidence", EvidenceName}})
      .add();
  base::logEvent(base::LogLevel::Warn, "task-crash-suspected",
                 {{"task", taskName({Job.Id_, Run.Position_})},
                  {"run", Run.Number_},
                  {"worker", Run.Worker_->Info_.Id_},
                  {"evidence", EvidenceName},
                  {"crashes", countCrashes(Task)}});
  failIfConvicted(Job, Task);
}

void Coordinator::Impl::failIfConvicted(JobEntry &Job, const TaskEntry &Task) {
  if (isConvicted(Task))
    finishJob(Job, JobState::Failed, "task-crashes-workers",
              unfinishedTime(Job));
}

// Its worker was lost before a report showed which incarnation had accepted the
// start. The present one does not have the run, so that one has ended.
void Coordinator::Impl::confirmCrash(RunEntry &Run) {
  JobEntry &Job = *Run.Job_;
  TaskEntry &Task = Run.Step_->Tasks_[Run.Position_.Index_];
  if (!Run.Accepted_ || isFinal(Job.State_) || isLosingWorkers())
    return;
  for (SuspectedCrash &Each : Task.Crashes_)
    if (Each.Run_ == Run.Number_ &&
        Each.Evidence_ == CrashEvidence::SoleUncertain) {
      Each.Evidence_ = CrashEvidence::Sole;
      markDirty(Job);
      failIfConvicted(Job, Task);
      return;
    }
}

bool Coordinator::Impl::isNextRunAnnounced(const TaskEntry &Task) {
  return !Task.Crashes_.empty() &&
         Task.Crashes_.back().Evidence_ == CrashEvidence::Announced;
}

// Only once a worker is chosen: a takeover counts the announced run as lost,
// and a task may wait for long.
bool Coordinator::Impl::announceIfSuspected(JobEntry &Job, TaskEntry &Task) {
  if (Task.Crashes_.empty() || isNextRunAnnounced(Task))
    return false;
  Task.Crashes_.push_back({Job.NextRunNumber_, CrashEvidence::Announced});
  markDirty(Job);
  Task.CrashesVersion_ = Job.Version_;
  return true;
}

// The announced run counts as lost: if it runs, it is adopted, and clears the
// task once it is proven.
void Coordinator::Impl::restoreCrashes(
    TaskEntry &Task, const std::vector<SuspectedCrash> &Crashes) {
  Task.Crashes_ = Crashes;
  for (SuspectedCrash &Each : Task.Crashes_)
    if (Each.Evidence_ == CrashEvidence::Announced)
      Each.Evidence_ = CrashEvidence::Shared;
}

bool Coordinator::Impl::mustIsolate(const TaskEntry &Task) {
  return countCrashes(Task) >= IsolationCrashes;
}

// The loss of an unstable worker would prove nothing.
bool Coordinator::Impl::isIsolatingWorker(const WorkerEntry &Worker) const {
  return Worker.UnprovenRuns_ == 0 && now() >= Worker.ProbationUntil_;
}

} // namespace crocuslead::jobs
