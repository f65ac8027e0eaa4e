#include "jobs/internal/Impl.h"

#include "base/Log.h"

#include <algorithm>

namespace crocuslead::jobs {

namespace {

constexpr auto LookRetry = std::chrono::milliseconds(250);
constexpr auto LookRetryMax = std::chrono::milliseconds(1000);
// A worker with ends that are not durable answers at once, so it is not asked
// again before this time.
constexpr auto UndurableLookPause = std::chrono::milliseconds(200);

} // namespace

bool Coordinator::Impl::needsPoll(const WorkerEntry &At) const {
  return !At.Polled_ || !At.Runs_.empty() || At.PollFailures_ > 0 ||
         At.AcknowledgedEndNumber_ > At.SentAcknowledgedEndNumber_ ||
         !At.PendingAcknowledgements_.empty();
}

base::Duration Coordinator::Impl::pollWait(const WorkerEntry &At) const {
  if (!At.TailsUnderPressure_ && !At.TailOverTarget_)
    return Settings_.Times_.LookWait_;
  std::chrono::duration<double> Affordable(
      static_cast<double>(WorkerOrder_.size()) /
      Settings_.Times_.LooksPerSecond_);
  return std::clamp(std::chrono::duration_cast<base::Duration>(Affordable),
                    Settings_.Times_.TailLookWait_, Settings_.Times_.LookWait_);
}

void Coordinator::Impl::poll(WorkerEntry &At) {
  if (Superseded_)
    return;
  LookOrder Order;
  Order.Token_ = Settings_.Term_;
  Order.AcknowledgedEnd_ = At.AcknowledgedEndNumber_;
  // A worker that does not answer must not get its lease extended for ever.
  if (At.Clock_ && At.PollFailures_ == 0 && !At.Runs_.empty())
    Order.LeaseUntilMs_ = grantLease(At);
  bool Settled = At.Polled_ && At.PollFailures_ == 0 && !At.Runs_.empty() &&
                 At.PendingAcknowledgements_.empty();
  bool Doubts =
      std::any_of(At.Runs_.begin(), At.Runs_.end(), [](const RunEntry *Each) {
        return Each->Phase_ == RunPhase::StartUnconfirmed ||
               (Each->Phase_ == RunPhase::Stopping && Each->StopAcceptedAt_);
      });
  if (Settled && !Doubts)
    Order.Wait_ = pollWait(At);
  At.PollInFlight_ = true;
  At.PollSentAt_ = now();
  At.SentAcknowledgedEndNumber_ = At.AcknowledgedEndNumber_;
  uint64_t Serial = ++At.PollSerial_;
  Port_.look(addressOf(At), Order,
             [Weak = weak_from_this(), Id = At.Info_.Id_, Born = At.Info_.Born_,
              Serial](const LookReply &Reply) {
               if (auto Self = Weak.lock())
                 Self->onPollReply(Id, Born, Serial, Reply);
             });
}

void Coordinator::Impl::onPollReply(const std::string &Id, int64_t Born,
                                    uint64_t Serial, const LookReply &Reply) {
  auto It = Workers_.find(Id);
  if (It == Workers_.end() || It->second->PollSerial_ != Serial ||
      (Born != 0 && It->second->Info_.Born_ != Born) || Superseded_)
    return;
  WorkerEntry &At = *It->second;
  At.PollInFlight_ = false;
  if (Reply.Status_ == OrderStatus::Fenced) {
    markSuperseded("look", At);
    return;
  }
  if (Reply.Status_ == OrderStatus::WrongLife) {
    endIncarnation(At, "another-life-answered");
    return;
  }
  if (Reply.Status_ != OrderStatus::Accepted) {
    onPollFailure(At, Reply.Status_);
    return;
  }
  if (At.Info_.Born_ != 0 && Reply.Lists_.Born_ != 0 &&
      At.Info_.Born_ != Reply.Lists_.Born_) {
    WorkerInfo Next = At.Info_;
    Next.Born_ = Reply.Lists_.Born_;
    replaceIncarnation(At, Next);
    return;
  }
  applyReport(At, Reply.Lists_, At.PollSentAt_);
}

void Coordinator::Impl::onPollFailure(WorkerEntry &At, OrderStatus Status) {
  ++At.PollFailures_;
  if (At.PollFailures_ == WorkerEntry::UnreachablePollFailures)
    base::logEvent(
        base::LogLevel::Warn, "worker-unreachable",
        {{"worker", At.Info_.Id_},
         {"status", static_cast<int64_t>(Status)},
         {"runs", static_cast<int64_t>(At.Runs_.size())},
         {"lease_left_ms", base::toMillis(At.LatestLeaseEnd_ - now())}});
  At.NextPollAt_ = now() + std::min<base::Duration>(
                               LookRetryMax, LookRetry * At.PollFailures_);
}

void Coordinator::Impl::applyReport(WorkerEntry &At, const WorkerLists &Lists,
                                    base::TimePoint SentAt) {
  if (At.PollFailures_ >= WorkerEntry::UnreachablePollFailures)
    base::logEvent(base::LogLevel::Info, "worker-reachable",
                   {{"worker", At.Info_.Id_}});
  At.PollFailures_ = 0;
  if (!At.Polled_) {
    At.Polled_ = true;
    PlacementRequested_ = true;
  }
  recordClock(At, Lists.ClockMs_);
  std::string Id = At.Info_.Id_;
  // Runs of an earlier term are adopted before their ends are taken.
  for (const RunningRow &Row : Lists.Running_) {
    RunEntry *Which = findRunOnWorker(At, Row.Task_, Row.Run_);
    if (Which == nullptr) {
      adoptRun(At, Row);
      continue;
    }
    Which->SeenRunning_ = true;
    if (Which->Percent_ != Row.Percent_ ||
        Which->Checkpoint_ != Row.Checkpoint_)
      Which->LastProgressAt_ = now();
    Which->Percent_ = Row.Percent_;
    Which->Load_ = Row.Load_;
    if (!Row.Checkpoint_.empty())
      Which->Checkpoint_ = Row.Checkpoint_;
    if (Which->Phase_ == RunPhase::StartSent ||
        Which->Phase_ == RunPhase::StartUnconfirmed)
      Which->Phase_ = RunPhase::Running;
  }
  for (const EndedRow &Row : Lists.Ended_) {
    if (Row.Number_ <= At.LastEndNumber_)
      continue;
    At.LastEndNumber_ = Row.Number_;
    handleEndedRun(At, Row);
    JobEntry *Owner = findJob(Row.Task_.Job_);
    if (Owner != nullptr && Owner->Version_ > Owner->DurableVersion_)
      At.PendingAcknowledgements_.push_back(
          {Row.Number_, Owner->Id_, Owner->Version_});
    else if (At.PendingAcknowledgements_.empty())
      At.AcknowledgedEndNumber_ = Row.Number_;
    else
      At.PendingAcknowledgements_.push_back({Row.Number_, "", 0});
  }
  reconcileRuns(At, Lists, SentAt);
  updatePressure(At);
  throttleBestEffort(At);
  At.NextPollAt_ =
      At.PendingAcknowledgements_.empty() ? now() : now() + UndurableLookPause;
}

// A run that the worker lists neither as running nor as ended is over, if the
// worker was asked after it had answered the order.
void Coordinator::Impl::reconcileRuns(WorkerEntry &At, const WorkerLists &Lists,
                                      base::TimePoint SentAt) {
  for (RunEntry *Which : std::vector<RunEntry *>(At.Runs_)) {
    bool Listed = std::any_of(Lists.Running_.begin(), Lists.Running_.end(),
                              [&](const RunningRow &Row) {
                                return Row.Run_ == Which->Number_ &&
                                       Row.Task_.At_ == Which->Position_ &&
                                       Row.Task_.Job_ == Which->Job_->Id_;
                              });
    if (Listed)
      continue;
    if (Which->Phase_ == RunPhase::StartUnconfirmed &&
        SentAt >= Which->PhaseSince_)
      requestStop(*Which, "start-unanswered");
    else if (Which->Phase_ == RunPhase::Running && SentAt > Which->PhaseSince_)
      requestStop(*Which, "not-listed");
    else if (Which->Phase_ == RunPhase::Stopping && Which->StopAcceptedAt_ &&
             SentAt > *Which->StopAcceptedAt_)
      concludeUnreportedRun(*Which, "stopped-before-start");
  }
}

void Coordinator::Impl::adoptRun(WorkerEntry &At, const RunningRow &Row) {
  TaskEntry *Of = findTask(Row.Task_);
  JobEntry *Owner = findJob(Row.Task_.Job_);
  if (Of == nullptr) {
    base::logEvent(base::LogLevel::Warn, "unknown-task-stopped",
                   {{"task", taskName(Row.Task_)},
                    {"run", Row.Run_},
                    {"worker", At.Info_.Id_}});
    Port_.stop(addressOf(At), {Row.Task_, Row.Run_, Settings_.Term_},
               [](const OrderReply &) {
                 // The run shows in the next look if the stop was lost.
               });
    return;
  }
  StepEntry &Step = *findStep(*Owner, Row.Task_.At_);
  RunEntry &Made = addRun(Step, *Of, At, Row.Run_);
  Made.Phase_ = RunPhase::Running;
  Made.Adopted_ = Made.SeenRunning_ = true;
  if (Step.Spec_->BestEffort_)
    Made.SpeedPercent_ = internal::UnknownSpeed;
  Made.Percent_ = Row.Percent_;
  Made.Load_ = Row.Load_;
  Made.Checkpoint_ = Row.Checkpoint_;
  Owner->NextRunNumber_ = std::max(Owner->NextRunNumber_, Row.Run_ + 1);
  markStarted(*Owner);
  base::logEvent(base::LogLevel::Info, "task-adopted",
                 {{"task", taskName(Row.Task_)},
                  {"run", Row.Run_},
                  {"worker", At.Info_.Id_},
                  {"percent", Row.Percent_}});
  bool Extra = Of->Runs_.size() > 1 && !Step.Spec_->Speculative_;
  if (isFinal(Owner->State_) || Of->Done_ || Extra)
    requestStop(Made, "not-wanted");
}

} // namespace crocuslead::jobs
