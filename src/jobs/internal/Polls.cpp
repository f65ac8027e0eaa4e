#include "jobs/internal/Impl.h"

#include "base/Log.h"

#include <algorithm>
#include <utility>

namespace crocuslead::jobs {

namespace {

// A failed poll is repeated after this time per consecutive failure.
constexpr auto PollRetryDelay = std::chrono::milliseconds(250);
constexpr auto MaxPollRetryDelay = std::chrono::milliseconds(1000);
// A poll that was not sent goes out again, on another path.
constexpr auto WithheldPollDelay = std::chrono::milliseconds(50);
// After this time it counts as unanswered.
constexpr auto MaxWithheldTime = std::chrono::seconds(2);
// A worker with unacknowledged results replies at once, so it is polled at this
// interval until they are durable.
constexpr auto UndurablePollDelay = std::chrono::milliseconds(200);

// A worker whose record excludes leases is polled at this interval, so that a
// renewal follows the record.
constexpr auto ExcludedPollDelay = std::chrono::milliseconds(50);

// The clock of a worker without tasks is read this often: the older the
// reading, the shorter the next lease.
constexpr auto MaxClockAge = std::chrono::seconds(10);

// Tells soon whether a worker has outlived the start of an isolated task.
constexpr auto ProofPollWait = std::chrono::milliseconds(120);

} // namespace

// One that drains is polled until it is recorded without a lease, one that no
// longer does until it is recorded with one.
bool Coordinator::Impl::needsPoll(const WorkerEntry &Worker) const {
  return !Worker.Polled_ || !Worker.Runs_.empty() || Worker.PollFailures_ > 0 ||
         !Worker.Registered_ ||
         Worker.MayHoldLease_ == Worker.Info_.Draining_ ||
         (Worker.Clock_ && now() - Worker.Clock_->TakenAt_ >= MaxClockAge) ||
         Worker.AcknowledgedSequence_ > Worker.ArrivedAcknowledgedSequence_ ||
         !Worker.PendingAcknowledgements_.empty() || mayStartLateAt(Worker) ||
         mustConfirmTerm(Worker);
}

base::Duration Coordinator::Impl::pollWait(const WorkerEntry &Worker) const {
  if (!Worker.TailsUnderPressure_ && !Worker.TailOverTarget_)
    return Settings_.Times_.PollWait_;
  std::chrono::duration<double> MinInterval(
      static_cast<double>(WorkerOrder_.size()) /
      Settings_.Times_.IdlePollsPerSecond_);
  return std::clamp(std::chrono::duration_cast<base::Duration>(MinInterval),
                    Settings_.Times_.TailPollWait_, Settings_.Times_.PollWait_);
}

// A later incarnation counts its results anew and would discard the result of a
// run that is not located.
uint64_t
Coordinator::Impl::acknowledgeableSequence(const WorkerEntry &Worker) const {
  bool AllLocated =
      !Worker.UnseenAbandoned_ && !mayStartLateAt(Worker) &&
      std::all_of(Worker.Runs_.begin(), Worker.Runs_.end(),
                  [](const RunEntry *Run) { return !isUnlocated(*Run); });
  return AllLocated ? Worker.AcknowledgedSequence_ : 0;
}

uint64_t
Coordinator::Impl::unsentAcknowledgement(const WorkerEntry &Worker) const {
  uint64_t Sequence = acknowledgeableSequence(Worker);
  // A worker that is out of reach may restart before it is back.
  bool MayArrive = Worker.PollFailures_ == 0;
  return MayArrive && Sequence > Worker.ArrivedAcknowledgedSequence_ ? Sequence
                                                                     : 0;
}

void Coordinator::Impl::poll(WorkerEntry &Worker) {
  if (Superseded_)
    return;
  PollRequest Request;
  Request.FencingToken_ = Worker.PollToken_ = Worker.FencingToken_;
  Request.FirstToken_ = firstToken();
  Request.AcknowledgedSequence_ = unsentAcknowledgement(Worker);
  // After a failed poll the lease is not renewed: the worker may receive polls
  // although its replies are lost, and would keep its lease forever.
  if (Worker.Clock_ && Worker.PollFailures_ == 0 && !Worker.Runs_.empty() &&
      Worker.HeldBackSequence_ == 0 && !Worker.GrantsExcluded_ &&
      leaseTimeLeft().count() > 0)
    Request.LeaseUntilMs_ = grantLease(Worker);
  bool MayWait = Worker.Polled_ && Worker.PollFailures_ == 0 &&
                 !Worker.Runs_.empty() && !Worker.GrantsExcluded_ &&
                 Worker.PendingAcknowledgements_.empty();
  bool HasUnconfirmedRuns = std::any_of(
      Worker.Runs_.begin(), Worker.Runs_.end(), [](const RunEntry *Run) {
        return isUnlocated(*Run) || Run->Phase_ == RunPhase::StartUnconfirmed ||
               (Run->Phase_ == RunPhase::Stopping && Run->StopAcceptedAt_);
      });
  if (MayWait && !HasUnconfirmedRuns && !mayLeaveSoon(Worker) &&
      Request.AcknowledgedSequence_ == 0)
    Request.Wait_ = Worker.IsolatedRuns_ > 0 ? ProofPollWait : pollWait(Worker);
  Worker.PollInFlight_ = true;
  Worker.PollPostponed_ = false;
  Worker.PollSentAt_ = now();
  Worker.PollWait_ = Request.Wait_;
  Worker.PollAcknowledges_ = Request.AcknowledgedSequence_;
  uint64_t Serial = ++Worker.PollSerial_;
  ++Polls_;
  if (Request.AcknowledgedSequence_ != 0 && Request.Wait_.count() == 0)
    ++AcknowledgingPolls_;
  Port_.poll(addressOf(Worker), Request,
             [Weak = weak_from_this(), Id = Worker.Info_.Id_,
              StartTimeMs = Worker.Info_.StartTimeMs_,
              Serial](const PollReply &Reply) {
               if (auto Self = Weak.lock())
                 Self->onPollReply(Id, StartTimeMs, Serial, Reply);
             });
}

void Coordinator::Impl::onPollReply(const std::string &Id, int64_t StartTimeMs,
                                    uint64_t Serial, const PollReply &Reply) {
  auto It = Workers_.find(Id);
  if (It == Workers_.end() || It->second->PollSerial_ != Serial ||
      (StartTimeMs != 0 && It->second->Info_.StartTimeMs_ != StartTimeMs) ||
      Superseded_)
    return;
  WorkerEntry &Worker = *It->second;
  if (Reply.Status_ == RequestStatus::Unknown)
    Worker.LateAcknowledgement_ = lateAcknowledgement(Worker);
  Worker.PollInFlight_ = false;
  if (Reply.Status_ == RequestStatus::Fenced) {
    onFenced(Worker, Worker.PollToken_, "look");
    Worker.NextPollAt_ = now();
    return;
  }
  if (Reply.Status_ == RequestStatus::WrongIncarnation) {
    endIncarnation(Worker, WorkerLoss::IncarnationEnded,
                   "another-life-answered");
    return;
  }
  if (Reply.Status_ == RequestStatus::Withheld &&
      now() - Worker.AnsweredPollSentAt_.value_or(base::TimePoint()) <
          MaxWithheldTime) {
    Worker.NextPollAt_ = now() + WithheldPollDelay;
    return;
  }
  if (Reply.Status_ != RequestStatus::Accepted) {
    onPollFailure(Worker, Reply.Status_);
    return;
  }
  if (Worker.Info_.StartTimeMs_ != 0 &&
      isOfOtherIncarnation(Worker, Reply.Report_)) {
    int64_t Found = Reply.Report_.StartTimeMs_;
    bool IsListed =
        Worker.EarlierEntry_ && Worker.EarlierEntry_->StartTimeMs_ == Found;
    WorkerInfo NewInfo = IsListed ? *Worker.EarlierEntry_ : Worker.Info_;
    NewInfo.StartTimeMs_ = Found;
    replaceIncarnation(Worker, NewInfo);
    Workers_.at(Id)->InfoConfirmed_ = IsListed;
    return;
  }
  Congestion_.recordPollReply(now() - Worker.PollSentAt_ - Worker.PollWait_);
  timed(ReportTime_,
        [&] { applyReport(Worker, Reply.Report_, Worker.PollSentAt_); });
}

// The time of day may have been set back by just the age of the incarnation. A
// steady clock never goes back, and polls follow each other.
bool Coordinator::Impl::isOfOtherIncarnation(const WorkerEntry &Worker,
                                             const WorkerReport &Report) {
  return Report.StartTimeMs_ != Worker.Info_.StartTimeMs_ ||
         (Worker.Clock_ && Report.ClockMs_ < Worker.Clock_->WorkerMs_);
}

void Coordinator::Impl::onPollFailure(WorkerEntry &Worker,
                                      RequestStatus Status) {
  if (Worker.PollFailures_ == 0)
    Congestion_.recordPollLoss();
  markPollFailure(Worker);
  if (Worker.PollFailures_ == WorkerEntry::UnreachablePollFailures) {
    Stability_.recordLoss(Worker.Info_.Id_, now());
    base::logEvent(
        base::LogLevel::Warn, "worker-unreachable",
        {{"worker", Worker.Info_.Id_},
         {"status", requestStatusName(Status)},
         {"runs", static_cast<int64_t>(Worker.Runs_.size())},
         {"unlocated_runs",
          static_cast<int64_t>(std::count_if(
              Worker.Runs_.begin(), Worker.Runs_.end(),
              [](const RunEntry *Run) { return isUnlocated(*Run); }))},
         {"lease_left_ms", base::toMillis(leaseEnd(Worker) - now())}});
    // A takeover before its lease ends need not begin that wait anew.
    if (Worker.MayHoldLease_)
      markUsedWorkersDirty();
  }
  Worker.NextPollAt_ =
      now() + std::min<base::Duration>(MaxPollRetryDelay,
                                       PollRetryDelay * Worker.PollFailures_);
}

void Coordinator::Impl::applyReport(WorkerEntry &Worker,
                                    const WorkerReport &Report,
                                    base::TimePoint SentAt) {
  if (Worker.PollFailures_ >= WorkerEntry::UnreachablePollFailures)
    startProbation(Worker, "worker-reachable");
  markReachable(Worker);
  Worker.AnsweredPollSentAt_ = SentAt;
  Worker.ArrivedAcknowledgedSequence_ =
      std::max(Worker.ArrivedAcknowledgedSequence_, Worker.PollAcknowledges_);
  Worker.ReportTruncated_ = Report.Truncated_;
  bool FirstAnswer = !std::exchange(Worker.Polled_, true);
  if (FirstAnswer) {
    fencePredecessors(Worker);
    UnlocatedRuns_.erase(Worker.Info_.Id_);
    SeenWorkers_.insert(Worker.Info_.Id_);
    if (Worker.Info_.StartTimeMs_ == 0) {
      expectEarlierLease(Worker);
      Worker.Info_.StartTimeMs_ = Report.StartTimeMs_;
      markUsedWorkersDirty();
    }
    noteClock(Worker, Report.ClockMs_, SentAt);
    PlacementRequested_ = true;
  }
  bool Emptied = isEmptied(Worker, Report);
  bool WasExcluded = std::exchange(Worker.RestRecorded_, false) || FirstAnswer;
  if ((!Worker.MayHoldLease_ && !Emptied) ||
      (WasExcluded && (Worker.GrantsExcluded_ || Worker.StartsExcluded_))) {
    Worker.MayHoldLease_ = true;
    Worker.RecordDurable_ = false;
    markUsedWorkersDirty();
  }
  recordClock(Worker, Report.ClockMs_, SentAt);
  // Runs of an earlier term must be adopted before results are processed.
  for (const RunStatus &Status : Report.Running_) {
    RunEntry *Run = findRunOnWorker(Worker, Status.Task_, Status.Run_);
    if (Run == nullptr) {
      if (JobEntry *Job = findJob(Status.Task_.Job_))
        createStartedOccurrence(*Job, Status.Task_.Position_.Occurrence_);
      adoptRun(Worker, Status);
      continue;
    }
    noteLocated(*Run);
    noteExecuted(Worker, Status.Task_, Status.Run_);
    markStarted(*Run->Job_);
    noteExists(*Run, Report.ClockMs_);
    if (Run->ProgressPercent_ != Status.ProgressPercent_ ||
        Run->Checkpoint_ != Status.Checkpoint_)
      Run->LastProgressAt_ = now();
    Run->ProgressPercent_ = Status.ProgressPercent_;
    Run->Load_ = Status.Load_;
    if (!Status.Checkpoint_.empty())
      Run->Checkpoint_ = Status.Checkpoint_;
    if (Run->Phase_ == RunPhase::StartSent ||
        Run->Phase_ == RunPhase::StartUnconfirmed)
      Run->Phase_ = RunPhase::Running;
  }
  processResults(Worker, Report);
  if (FirstAnswer)
    resumeLateStarts(Worker, Report, SentAt);
  reconcileRuns(Worker, Report, SentAt);
  if (FirstAnswer && Worker.Info_.Draining_)
    drainWorker(Worker);
  if (Worker.MayHoldLease_ && isEmptied(Worker, Report)) {
    Worker.MayHoldLease_ = Worker.RecordDurable_ = false;
    markUsedWorkersDirty();
  }
  updatePressure(Worker);
  throttleBestEffort(Worker);
  base::Duration Pause{};
  // With an acknowledgement that was withheld it replies at once as well.
  bool HasUndurableResults =
      !Worker.PendingAcknowledgements_.empty() ||
      acknowledgeableSequence(Worker) < Worker.AcknowledgedSequence_;
  bool IsLeaving = !Worker.Registered_ || Worker.Info_.Draining_;
  if (mayLeaveSoon(Worker))
    Pause = UndurablePollDelay;
  else if (Worker.HeldBackSequence_ != 0 ||
           (IsLeaving && Worker.Runs_.empty() && !HasUndurableResults))
    Pause = Settings_.Times_.PollWait_;
  else if (HasUndurableResults || isWaitingForLateStarts(Worker))
    Pause = Worker.IsolatedRuns_ > 0 ? ProofPollWait : UndurablePollDelay;
  else if (Worker.GrantsExcluded_)
    Pause = ExcludedPollDelay;
  Worker.NextPollAt_ = now() + std::max(Pause, Congestion_.pollPause());
  bool DelaysStarts =
      std::any_of(Worker.Runs_.begin(), Worker.Runs_.end(), [](RunEntry *Run) {
        return Run->Phase_ == RunPhase::Announced;
      });
  if (Worker.PollAcknowledges_ != 0 && DelaysStarts)
    sendAnnouncedStarts();
}

// A worker that drains gets no start, so no later term has to wait for one that
// runs nothing.
bool Coordinator::Impl::isEmptied(const WorkerEntry &Worker,
                                  const WorkerReport &Report) {
  return Worker.Info_.Draining_ && Worker.Runs_.empty() &&
         Report.Running_.empty() && !Report.Truncated_ &&
         Worker.PendingAcknowledgements_.empty() &&
         Worker.HeldBackSequence_ == 0 && !Worker.RunsAbandoned_;
}

void Coordinator::Impl::processResults(WorkerEntry &Worker,
                                       const WorkerReport &Report) {
  for (const RunResult &Result : Report.Ended_) {
    if (Result.SequenceNumber_ <= Worker.LastResultSequence_)
      continue;
    Worker.LastResultSequence_ = Result.SequenceNumber_;
    if (JobEntry *Job = findJob(Result.Task_.Job_))
      createStartedOccurrence(*Job, Result.Task_.Position_.Occurrence_);
    noteExecuted(Worker, Result.Task_, Result.Run_);
    if (mustHoldBack(Worker, Report, Result))
      holdBack(Worker, Result);
    handleResult(Worker, Result);
    queueAcknowledgement(Worker, Result);
    if (Worker.HeldBackSequence_ != 0 &&
        Result.Outcome_ == RunOutcome::LeaseExpired)
      releaseHeldBack(Worker);
  }
  // From now on the note binds the incarnation that this report names.
  if (std::exchange(Worker.UnseenAbandoned_, false))
    markUsedWorkersDirty();
  if (!Worker.RunsAbandoned_ || Report.Truncated_ ||
      Worker.HeldBackSequence_ != 0)
    return;
  Worker.RunsAbandoned_ = Worker.AbandonmentDurable_ =
      Worker.AbandonedInEarlierTerm_ = false;
  markUsedWorkersDirty();
}

// A result is acknowledged once the progress that it made is durable.
void Coordinator::Impl::queueAcknowledgement(WorkerEntry &Worker,
                                             const RunResult &Result) {
  JobEntry *Job = findJob(Result.Task_.Job_);
  base::TimePoint NotBefore = acknowledgeableFrom(Worker, Result);
  if (Job != nullptr && Job->Version_ > Job->DurableVersion_)
    Worker.PendingAcknowledgements_.push_back(
        {Result.SequenceNumber_, Job->Id_, Job->Version_, NotBefore});
  else if (Worker.PendingAcknowledgements_.empty() &&
           Worker.HeldBackSequence_ == 0 && now() >= NotBefore)
    Worker.AcknowledgedSequence_ = Result.SequenceNumber_;
  else
    Worker.PendingAcknowledgements_.push_back(
        {Result.SequenceNumber_, "", 0, NotBefore});
}

void Coordinator::Impl::adaptToCongestion() {
  bool Before = Congestion_.congested();
  Congestion_.adapt(now());
  if (Congestion_.congested() == Before)
    return;
  base::logEvent(
      base::LogLevel::Warn,
      Before ? "requests-uncongested" : "requests-congested",
      {{"starts_in_flight", static_cast<int64_t>(StartsInFlight_)},
       {"limit", static_cast<int64_t>(Congestion_.maxStartsInFlight())},
       {"poll_pause_ms", base::toMillis(Congestion_.pollPause())}});
}

} // namespace crocuslead::jobs
