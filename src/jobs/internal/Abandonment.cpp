#include "jobs/internal/Impl.h"

#include "base/Log.h"

#include <algorithm>
#include <utility>

// Runs on workers that no longer answer. A run is over once the worker's lease
// has ended, but it may have finished before, and the worker lists its result
// when it is reached again. Such a result must not be acknowledged if the task
// was started again meanwhile: it would count twice. The worker voids it by
// itself when a later lease ends while a task is running.

namespace crocuslead::jobs {

namespace {

// Those that are held back must leave room for others in a report.
constexpr uint64_t MaxHeldBackResults = MaxListedResults * 4 / 5;
// A worker that is cut off for longer than this is expected to be replaced.
constexpr auto AbandonedMemory = std::chrono::minutes(30);

} // namespace

void Coordinator::Impl::expireUnreachableWorkers() {
  std::vector<std::string> Ids;
  for (const WorkerEntry *Worker : WorkerOrder_)
    if (Worker->PollFailures_ > 0 || !Worker->Polled_)
      Ids.push_back(Worker->Info_.Id_);
  for (const std::string &Id : Ids)
    expireIfUnreachable(Id);
}

void Coordinator::Impl::expireIfUnreachable(const std::string &Id) {
  WorkerEntry &Worker = *Workers_.at(Id);
  bool Unreachable =
      Worker.PollFailures_ >= WorkerEntry::UnreachablePollFailures ||
      !Worker.Polled_;
  if (hasDeparted(Worker))
    concludeDeparture(Worker);
  if (!Unreachable || !hasLeaseEnded(Worker))
    return;
  // A recovery first records that the worker's results must not count.
  if ((Recovering_ && mayRunUnseen(Worker)) ||
      (mayRunUnlocated(Id) && mustRecordUnlocated(Id)))
    return;
  if (!Worker.Runs_.empty() && !abandonRuns(Worker))
    return;
  noteLeaseEnd(Worker);
  if (!Worker.Registered_)
    endIncarnation(Worker, WorkerLoss::OutOfReach,
                   "unlisted-and-lease-expired");
}

// A later coordinator need not wait for a lease that is known to have ended. A
// recovery first gives up the runs of workers that did not answer.
void Coordinator::Impl::noteLeaseEnd(WorkerEntry &Worker) {
  if ((Recovering_ && !Worker.Polled_) ||
      !std::exchange(Worker.MayHoldLease_, false))
    return;
  markUsedWorkersDirty();
}

// Long-running tasks never finish, so they start again at once. The others
// wait until the abandonment is recorded: a later coordinator must not
// acknowledge their results either. Runs that are not located wait for the
// longest lease of an incarnation that nobody has seen. Returns false while any
// run is left.
bool Coordinator::Impl::abandonRuns(WorkerEntry &Worker) {
  constexpr const char *Reason = "lease-expired-at-unreachable-worker";
  cancelStarts(Worker);
  bool AnyFiniteOver = false;
  bool AnyFiniteUnlocated = false;
  std::vector<RunEntry *> Over;
  for (RunEntry *Run : Worker.Runs_) {
    bool Finite = !Run->Step_->Spec_->LongRunning_;
    AnyFiniteUnlocated =
        AnyFiniteUnlocated || (Finite && (!Run->Located_ || lateStartOf(*Run)));
    if (!wasLatestTermAt(runEnd(*Run)))
      continue;
    Over.push_back(Run);
    AnyFiniteOver = AnyFiniteOver || Finite;
  }
  if (AnyFiniteOver)
    markAbandoned(Worker, AnyFiniteUnlocated);
  bool MayEndFinite = AnyFiniteOver && Worker.AbandonmentDurable_;
  if (MayEndFinite)
    recordWorkerLoss(Worker, WorkerLoss::OutOfReach);
  for (RunEntry *Run : Over)
    if (MayEndFinite || Run->Step_->Spec_->LongRunning_)
      concludeUnreportedRun(*Run, Reason);
  return Worker.Runs_.empty();
}

void Coordinator::Impl::markAbandoned(WorkerEntry &Worker, bool Unseen) {
  if (Worker.RunsAbandoned_ && (Worker.UnseenAbandoned_ || !Unseen))
    return;
  Worker.RunsAbandoned_ = true;
  Worker.UnseenAbandoned_ = Worker.UnseenAbandoned_ || Unseen;
  Worker.AbandonmentDurable_ = false;
  markUsedWorkersDirty();
}

// Keeps the abandonment on record after the worker's entry is removed.
void Coordinator::Impl::rememberAbandonment(const WorkerEntry &Worker) {
  if (Worker.RunsAbandoned_)
    AbandonedIncarnations_[Worker.Info_.Id_] = {
        Worker.Info_.Address_,          Worker.Info_.StartTimeMs_,
        Worker.AbandonedInEarlierTerm_, Worker.UnseenAbandoned_,
        Worker.AbandonmentDurable_,     now()};
}

void Coordinator::Impl::restoreAbandonment(WorkerEntry &Worker) {
  auto It = AbandonedIncarnations_.find(Worker.Info_.Id_);
  if (It == AbandonedIncarnations_.end())
    return;
  if (It->second.Unseen_ ||
      It->second.StartTimeMs_ == Worker.Info_.StartTimeMs_) {
    Worker.RunsAbandoned_ = true;
    Worker.AbandonmentDurable_ = It->second.Durable_;
    Worker.UnseenAbandoned_ = It->second.Unseen_;
    Worker.AbandonedInEarlierTerm_ = It->second.InEarlierTerm_;
  }
  AbandonedIncarnations_.erase(It);
}

void Coordinator::Impl::forgetOldIncarnations() {
  base::TimePoint Now = now();
  for (auto It = AbandonedIncarnations_.begin();
       It != AbandonedIncarnations_.end();)
    It = Now - It->second.GoneSince_ > AbandonedMemory
             ? AbandonedIncarnations_.erase(It)
             : std::next(It);
  for (auto It = EarlierLeases_.begin(); It != EarlierLeases_.end();)
    It = Now > It->second.LastRequestAt_ +
                     longestLeaseTime(Settings_.Times_.SilentRequestDelay_)
             ? EarlierLeases_.erase(It)
             : std::next(It);
  for (auto It = LateAcknowledgements_.begin();
       It != LateAcknowledgements_.end();)
    It = Now >= It->second.Late_.Until_ ? LateAcknowledgements_.erase(It)
                                        : std::next(It);
}

// The end of a lease that stopped other runs voids the results before it: the
// worker itself shows that their tasks had to be started again.
bool Coordinator::Impl::mustHoldBack(WorkerEntry &Worker,
                                     const WorkerReport &Report,
                                     const RunResult &Result) {
  // A task that failed is started again at once, before the failure is
  // acknowledged, so a later run is no sign that the failed one was given up.
  if (Result.Outcome_ != RunOutcome::Done &&
      (Result.Outcome_ != RunOutcome::Failed || !Worker.RunsAbandoned_))
    return false;
  if (findRunOnWorker(Worker, Result.Task_, Result.Run_) != nullptr)
    return false;
  bool MayRunAgain = Worker.AbandonedInEarlierTerm_;
  if (const TaskEntry *Task = findTask(Result.Task_)) {
    const StepSpec &Spec =
        *findStep(*findJob(Result.Task_.Job_), Result.Task_.Position_)->Spec_;
    if (Spec.Speculative_ || Spec.LongRunning_)
      return false;
    MayRunAgain = MayRunAgain || Task->LastRun_ > Result.Run_;
  }
  if (!MayRunAgain)
    return false;
  return std::none_of(Report.Ended_.begin(), Report.Ended_.end(),
                      [&](const RunResult &Later) {
                        return Later.Outcome_ == RunOutcome::LeaseExpired &&
                               Later.SequenceNumber_ > Result.SequenceNumber_;
                      });
}

void Coordinator::Impl::holdBack(WorkerEntry &Worker, const RunResult &Result) {
  if (Worker.HeldBackSequence_ != 0)
    return;
  Worker.HeldBackSequence_ = Result.SequenceNumber_;
  // Later terms must hold it back as well.
  markAbandoned(Worker, false);
  Metrics_
      .counter("crocuslead_held_back_workers_total",
               "Workers with a result that must not be acknowledged.")
      .add();
  base::logEvent(base::LogLevel::Warn, "worker-results-held-back",
                 {{"worker", Worker.Info_.Id_},
                  {"task", taskName(Result.Task_)},
                  {"run", Result.Run_},
                  {"end", Result.SequenceNumber_},
                  {"reason", "result-of-a-task-that-was-started-again"}});
}

// A worker whose results are held back lists no later ones once its list is
// full, so what it ran until its last lease ended is given up.
bool Coordinator::Impl::areResultsVoid(WorkerEntry &Worker) {
  if (Worker.HeldBackSequence_ == 0 || !hasLeaseEnded(Worker))
    return false;
  markAbandoned(Worker, false);
  return Worker.AbandonmentDurable_;
}

bool Coordinator::Impl::mayTryHeldBackWorker(const WorkerEntry &Worker) {
  return Worker.Runs_.empty() &&
         Worker.LastResultSequence_ <
             Worker.HeldBackSequence_ + MaxHeldBackResults;
}

void Coordinator::Impl::releaseHeldBack(WorkerEntry &Worker) {
  Worker.HeldBackSequence_ = 0;
  base::logEvent(
      base::LogLevel::Info, "worker-results-released",
      {{"worker", Worker.Info_.Id_}, {"end", Worker.LastResultSequence_}});
  advanceAcknowledgements(Worker);
}

} // namespace crocuslead::jobs
