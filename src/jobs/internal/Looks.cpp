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

bool Coordinator::Impl::wantsLook(const WorkerEntry &At) const {
  return !At.Known_ || !At.Runs_.empty() || At.LookFailures_ > 0 ||
         At.Acknowledged_ > At.AcknowledgedSent_ || !At.PendingEnds_.empty();
}

base::Duration Coordinator::Impl::lookWait(const WorkerEntry &At) const {
  if (!At.TailsPressed_ && !At.TailOver_)
    return Settings_.Times_.LookWait_;
  std::chrono::duration<double> Affordable(
      static_cast<double>(WorkerOrder_.size()) /
      Settings_.Times_.LooksPerSecond_);
  return std::clamp(std::chrono::duration_cast<base::Duration>(Affordable),
                    Settings_.Times_.TailLookWait_, Settings_.Times_.LookWait_);
}

void Coordinator::Impl::look(WorkerEntry &At) {
  if (Superseded_)
    return;
  LookOrder Order;
  Order.Token_ = Settings_.Term_;
  Order.AcknowledgedEnd_ = At.Acknowledged_;
  // A worker that does not answer must not get its lease extended for ever.
  if (At.Clock_ && At.LookFailures_ == 0 && !At.Runs_.empty())
    Order.LeaseUntilMs_ = grantLease(At);
  bool Settled = At.Known_ && At.LookFailures_ == 0 && !At.Runs_.empty() &&
                 At.PendingEnds_.empty();
  bool Doubts =
      std::any_of(At.Runs_.begin(), At.Runs_.end(), [](const RunEntry *Each) {
        return Each->Phase_ == RunPhase::Doubtful ||
               (Each->Phase_ == RunPhase::Stopping && Each->StopAnsweredAt_);
      });
  if (Settled && !Doubts)
    Order.Wait_ = lookWait(At);
  At.LookInFlight_ = true;
  At.LookSentAt_ = now();
  At.AcknowledgedSent_ = At.Acknowledged_;
  uint64_t Serial = ++At.LookSerial_;
  Port_.look(addressOf(At), Order,
             [Weak = weak_from_this(), Id = At.Info_.Id_, Born = At.Info_.Born_,
              Serial](const LookReply &Reply) {
               if (auto Self = Weak.lock())
                 Self->lookAnswered(Id, Born, Serial, Reply);
             });
}

void Coordinator::Impl::lookAnswered(const std::string &Id, int64_t Born,
                                     uint64_t Serial, const LookReply &Reply) {
  auto It = Workers_.find(Id);
  if (It == Workers_.end() || It->second->LookSerial_ != Serial ||
      (Born != 0 && It->second->Info_.Born_ != Born) || Superseded_)
    return;
  WorkerEntry &At = *It->second;
  At.LookInFlight_ = false;
  if (Reply.Status_ == OrderStatus::Fenced) {
    fenced("look", At);
    return;
  }
  if (Reply.Status_ == OrderStatus::WrongLife) {
    endLife(At, "another-life-answered");
    return;
  }
  if (Reply.Status_ != OrderStatus::Accepted) {
    lookFailed(At, Reply.Status_);
    return;
  }
  if (At.Info_.Born_ != 0 && Reply.Lists_.Born_ != 0 &&
      At.Info_.Born_ != Reply.Lists_.Born_) {
    WorkerInfo Next = At.Info_;
    Next.Born_ = Reply.Lists_.Born_;
    rebirth(At, Next);
    return;
  }
  takeLists(At, Reply.Lists_, At.LookSentAt_);
}

void Coordinator::Impl::lookFailed(WorkerEntry &At, OrderStatus Status) {
  ++At.LookFailures_;
  if (At.LookFailures_ == WorkerEntry::UnreachableAfter)
    base::logEvent(base::LogLevel::Warn, "worker-unreachable",
                   {{"worker", At.Info_.Id_},
                    {"status", static_cast<int64_t>(Status)},
                    {"runs", static_cast<int64_t>(At.Runs_.size())},
                    {"lease_left_ms", base::toMillis(At.LeaseBound_ - now())}});
  At.NextLookAt_ = now() + std::min<base::Duration>(
                               LookRetryMax, LookRetry * At.LookFailures_);
}

void Coordinator::Impl::takeLists(WorkerEntry &At, const WorkerLists &Lists,
                                  base::TimePoint SentAt) {
  if (At.LookFailures_ >= WorkerEntry::UnreachableAfter)
    base::logEvent(base::LogLevel::Info, "worker-reachable",
                   {{"worker", At.Info_.Id_}});
  At.LookFailures_ = 0;
  if (!At.Known_) {
    At.Known_ = true;
    PlacementRequested_ = true;
  }
  noteClock(At, Lists.ClockMs_);
  std::string Id = At.Info_.Id_;
  // Runs of an earlier term are adopted before their ends are taken.
  for (const RunningRow &Row : Lists.Running_) {
    RunEntry *Which = runOn(At, Row.Task_, Row.Run_);
    if (Which == nullptr) {
      adopt(At, Row);
      continue;
    }
    Which->Listed_ = true;
    if (Which->Percent_ != Row.Percent_ ||
        Which->Checkpoint_ != Row.Checkpoint_)
      Which->ProgressAt_ = now();
    Which->Percent_ = Row.Percent_;
    Which->Load_ = Row.Load_;
    if (!Row.Checkpoint_.empty())
      Which->Checkpoint_ = Row.Checkpoint_;
    if (Which->Phase_ == RunPhase::Ordered ||
        Which->Phase_ == RunPhase::Doubtful)
      Which->Phase_ = RunPhase::Running;
  }
  for (const EndedRow &Row : Lists.Ended_) {
    if (Row.Number_ <= At.LastEnd_)
      continue;
    At.LastEnd_ = Row.Number_;
    runEnded(At, Row);
    JobEntry *Owner = findJob(Row.Task_.Job_);
    if (Owner != nullptr && Owner->Version_ > Owner->DurableVersion_)
      At.PendingEnds_.push_back({Row.Number_, Owner->Id_, Owner->Version_});
    else if (At.PendingEnds_.empty())
      At.Acknowledged_ = Row.Number_;
    else
      At.PendingEnds_.push_back({Row.Number_, "", 0});
  }
  reconcile(At, Lists, SentAt);
  learnPressure(At);
  protectTails(At);
  At.NextLookAt_ = At.PendingEnds_.empty() ? now() : now() + UndurableLookPause;
}

// A run that the worker lists neither as running nor as ended is over, if the
// worker was asked after it had answered the order.
void Coordinator::Impl::reconcile(WorkerEntry &At, const WorkerLists &Lists,
                                  base::TimePoint SentAt) {
  for (RunEntry *Which : std::vector<RunEntry *>(At.Runs_)) {
    bool Listed = std::any_of(Lists.Running_.begin(), Lists.Running_.end(),
                              [&](const RunningRow &Row) {
                                return Row.Run_ == Which->Number_ &&
                                       Row.Task_.At_ == Which->At_ &&
                                       Row.Task_.Job_ == Which->Job_->Id_;
                              });
    if (Listed)
      continue;
    if (Which->Phase_ == RunPhase::Doubtful && SentAt >= Which->Since_)
      requestStop(*Which, "start-unanswered");
    else if (Which->Phase_ == RunPhase::Running && SentAt > Which->Since_)
      requestStop(*Which, "not-listed");
    else if (Which->Phase_ == RunPhase::Stopping && Which->StopAnsweredAt_ &&
             SentAt > *Which->StopAnsweredAt_)
      runVanished(*Which, "stopped-before-start");
  }
}

void Coordinator::Impl::adopt(WorkerEntry &At, const RunningRow &Row) {
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
  RunEntry &Made = makeRun(Step, *Of, At, Row.Run_);
  Made.Phase_ = RunPhase::Running;
  Made.Adopted_ = Made.Listed_ = true;
  if (Step.Spec_->BestEffort_)
    Made.Pace_ = internal::UnknownPace;
  Made.Percent_ = Row.Percent_;
  Made.Load_ = Row.Load_;
  Made.Checkpoint_ = Row.Checkpoint_;
  Owner->NextRun_ = std::max(Owner->NextRun_, Row.Run_ + 1);
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
