#include "jobs/internal/Impl.h"

#include "base/Log.h"

#include <algorithm>

namespace crocuslead::jobs {

namespace {

// A stop request that was not accepted is sent again after this time.
constexpr auto StopResendInterval = std::chrono::milliseconds(300);
// Tasks of a step whose start was not sent wait for this time.
constexpr auto WithheldStartDelay = std::chrono::milliseconds(200);
// A worker is polled this long after a start was sent, unless the answer comes
// before.
constexpr auto LocationPollDelay = std::chrono::milliseconds(100);
// A worker that refused a start gets a lower placement score for this time.
constexpr auto RefusalAvoidance = std::chrono::milliseconds(700);

} // namespace

Coordinator::Impl::RunEntry *Coordinator::Impl::findRun(uint64_t Serial) {
  auto It = Runs_.find(Serial);
  return It == Runs_.end() ? nullptr : It->second.get();
}

Coordinator::Impl::RunEntry *
Coordinator::Impl::findRunOnWorker(WorkerEntry &Worker, const TaskId &Id,
                                   uint64_t Number) {
  for (RunEntry *Run : Worker.Runs_)
    if (Run->Number_ == Number && Run->Position_ == Id.Position_ &&
        Run->Job_->Id_ == Id.Job_)
      return Run;
  return nullptr;
}

Coordinator::Impl::RunEntry &Coordinator::Impl::addRun(StepEntry &Step,
                                                       TaskEntry &Task,
                                                       WorkerEntry &Worker,
                                                       uint64_t Number) {
  auto NewRun = std::make_unique<RunEntry>();
  RunEntry &Run = *NewRun;
  Run.Serial_ = NextRunSerial_++;
  Run.Number_ = Number;
  Run.Job_ = Step.Job_;
  Run.Step_ = &Step;
  Run.Position_ = Task.Position_;
  Run.Worker_ = &Worker;
  Run.PhaseSince_ = Run.StartedAt_ = Run.KnownSince_ = Run.LastProgressAt_ =
      now();
  Run.Checkpoint_ = Task.Checkpoint_;
  Run.Resumed_ = !Task.Checkpoint_.empty();
  if (Task.Runs_.empty())
    accountWait(*Step.Job_, Task);
  const StepSpec &Spec = *Step.Spec_;
  base::Resources Reserve = Spec.Request_;
  if (Spec.BestEffort_) {
    Worker.BestEffortMilliCpu_ += Reserve.MilliCpu_;
    Reserve.MilliCpu_ = 0;
  }
  Worker.Reserved_ += Reserve;
  Worker.HeadroomStale_ = true;
  if (Spec.TailLatencyTarget_.count() > 0) {
    Worker.ServingMilliCpu_ += Spec.Request_.MilliCpu_;
    ++Worker.ServingRuns_;
  }
  Run.Isolated_ = mustIsolate(Task);
  countUnproven(Run);
  Worker.Runs_.push_back(&Run);
  Task.Runs_.push_back(&Run);
  Runs_[Run.Serial_] = std::move(NewRun);
  return Run;
}

void Coordinator::Impl::removeRun(RunEntry &Run, internal::TimeUse Use) {
  WorkerEntry &Worker = *Run.Worker_;
  TaskEntry &Task = Run.Step_->Tasks_[Run.Position_.Index_];
  const StepSpec &Spec = *Run.Step_->Spec_;
  base::Resources Reserve = Spec.Request_;
  if (Spec.BestEffort_) {
    Worker.BestEffortMilliCpu_ -= Reserve.MilliCpu_;
    Reserve.MilliCpu_ = 0;
  }
  Worker.Reserved_ -= Reserve;
  Worker.HeadroomStale_ = true;
  if (Spec.TailLatencyTarget_.count() > 0) {
    Worker.ServingMilliCpu_ -= Spec.Request_.MilliCpu_;
    --Worker.ServingRuns_;
  }
  forgetUnproven(Run);
  auto Remove = [&](std::vector<RunEntry *> &From) {
    From.erase(std::remove(From.begin(), From.end(), &Run), From.end());
  };
  Remove(Worker.Runs_);
  Remove(Task.Runs_);
  if (Task.Runs_.empty()) {
    accountRun(Run, Task, Use);
    forgetLocation(Run, Task);
  }
  enqueueStep(*Run.Step_);
  PlacementRequested_ = true;
  Runs_.erase(Run.Serial_);
}

void Coordinator::Impl::endRun(RunEntry &Run, internal::TimeUse Use,
                               const char *End, bool Listed) {
  TaskEntry &Task = Run.Step_->Tasks_[Run.Position_.Index_];
  Task.Previous_ = {Run.Number_, Run.Worker_->Info_.Id_, Run.KnownSince_, End,
                    Listed};
  removeRun(Run, Use);
}

void Coordinator::Impl::startRun(StepEntry &Step, TaskEntry &Task,
                                 WorkerEntry &Worker, uint64_t Number,
                                 bool RecordFirst) {
  if (Task.Runs_.empty())
    WorkMetrics_.recordWait(*Step.Spec_, now() - Task.AccountedUntil_);
  if (!Step.Spec_->BestEffort_)
    ++ReservedStarts_;
  RunEntry &Run = addRun(Step, Task, Worker, Number);
  Task.LastRun_ = std::max(Task.LastRun_, Number);
  Task.Recovered_ = true;
  // One that an earlier term sent and that is not waited for any longer.
  if (!Task.LateStartOn_.empty())
    forgetLateStart({Step.Job_->Id_, Task.Position_}, Task, "started-anew");
  ++StartsInFlight_;
  if (RecordFirst)
    announceStart(Run);
  else if (Worker.isAcknowledging())
    delayStart(Run);
  else
    sendStart(Run);
}

void Coordinator::Impl::sendStart(RunEntry &Run) {
  StepEntry &Step = *Run.Step_;
  TaskEntry &Task = Step.Tasks_[Run.Position_.Index_];
  WorkerEntry &Worker = *Run.Worker_;
  fenceAcknowledgements(Worker);
  Run.Phase_ = RunPhase::StartSent;
  ++Run.StartsSent_;
  Run.PhaseSince_ = Run.StartedAt_ = Run.LastProgressAt_ = now();
  StartRequest Request;
  Request.Task_ = {Step.Job_->Id_, Task.Position_};
  Request.Run_ = Run.Number_;
  Request.Payload_ = Step.Job_->Record_.Spec_.Payload_;
  Request.PayloadApart_ = Step.Job_->Record_.PayloadApart_;
  Request.PayloadHash_ = Step.Job_->Record_.PayloadHash_;
  if (Request.PayloadApart_)
    Request.PayloadSource_ = Step.Job_->Record_.AcceptedBy_;
  Request.Checkpoint_ = Task.Checkpoint_;
  Request.LeaseUntilMs_ = grantLease(Worker);
  Request.FencingToken_ = Worker.FencingToken_;
  Request.FirstToken_ = firstToken();
  if (Worker.NextPollAt_ <= now() &&
      !std::exchange(Worker.PollPostponed_, true))
    Worker.NextPollAt_ = now() + LocationPollDelay;
  internal::PreviousRun Previous =
      Task.Previous_.value_or(internal::PreviousRun{});
  base::logEvent(
      base::LogLevel::Info, "task-start",
      {{"task", taskName(Request.Task_)},
       {"run", Run.Number_},
       {"copy", static_cast<int64_t>(Run.StartsSent_)},
       {"worker", Worker.Info_.Id_},
       {"born_ms", Worker.Info_.StartTimeMs_},
       {"announced_ms", base::toMillis(now() - Run.KnownSince_)},
       {"free_mcpu",
        Worker.Info_.Capacity_.MilliCpu_ - Worker.Reserved_.MilliCpu_},
       {"best_effort_mcpu", Worker.BestEffortMilliCpu_},
       {"failures", static_cast<int64_t>(Task.FailedRuns_.size())},
       {"resumed", !Task.Checkpoint_.empty()},
       {"term", Settings_.Term_},
       {"sender", Port_.senderFor(addressOf(Worker))},
       {"restored", Step.Job_->Restored_},
       {"previous_run", Previous.Number_},
       {"previous_worker", Previous.Worker_},
       {"previous_end", Previous.End_},
       {"previous_known_ms",
        Task.Previous_ ? base::toMillis(now() - Previous.KnownSince_) : 0}});
  ++Starts_;
  Congestion_.recordStart(now(), StartsInFlight_);
  Port_.start(addressOf(Worker), Request,
              [Weak = weak_from_this(), Serial = Run.Serial_, SentAt = now(),
               Token = Worker.FencingToken_](const RequestReply &Reply) {
                if (auto Self = Weak.lock())
                  Self->onStartReply(Serial, SentAt, Token, Reply);
              });
}

void Coordinator::Impl::onStartReply(uint64_t Serial, base::TimePoint SentAt,
                                     uint64_t Token,
                                     const RequestReply &Reply) {
  if (!maySendStart())
    PlacementRequested_ = true;
  --StartsInFlight_;
  if (Reply.Status_ == RequestStatus::Unknown ||
      Reply.Status_ == RequestStatus::NotSent ||
      (Reply.Status_ == RequestStatus::Withheld &&
       Reply.PayloadWait_.count() == 0))
    Congestion_.recordStartLoss(SentAt);
  RunEntry *Run = findRun(Serial);
  if (Run == nullptr || Superseded_)
    return;
  WorkerEntry &Worker = *Run->Worker_;
  if (Reply.ClockMs_) {
    Run->StartClockMs_ = Reply.ClockMs_;
    base::Duration Time = now() - SentAt - Reply.PayloadWait_;
    Worker.ShortestReply_ = std::min(Worker.ShortestReply_, Time);
    base::Duration QueueingDelay = Time - Worker.ShortestReply_;
    ++StartReplies_;
    StartQueueing_ += QueueingDelay;
    Congestion_.recordStartReply(SentAt, Time, QueueingDelay);
  }
  if (Reply.Status_ == RequestStatus::Accepted) {
    Run->Accepted_ = true;
    markStarted(*Run->Job_);
    if (Run->Phase_ == RunPhase::StartSent ||
        Run->Phase_ == RunPhase::StartUnconfirmed) {
      Run->Phase_ = RunPhase::Running;
      Run->PhaseSince_ = Run->StartedAt_ = Run->LastProgressAt_ = now();
    }
    requestLocations(Worker);
    // If a report lists the run, its incarnation has answered the start.
    if (Reply.ClockMs_)
      noteExists(*Run, *Reply.ClockMs_);
    if (Run->Step_->Spec_->BestEffort_)
      throttleBestEffort(Worker);
    return;
  }
  base::logEvent(base::LogLevel::Warn, "task-start-not-accepted",
                 {{"task", taskName({Run->Job_->Id_, Run->Position_})},
                  {"run", Run->Number_},
                  {"worker", Worker.Info_.Id_},
                  {"status", requestStatusName(Reply.Status_)}});
  switch (Reply.Status_) {
  case RequestStatus::StaleRun:
  case RequestStatus::LeaseExpired:
    // The connection may have sent the request twice, and the run of the first
    // copy may have ended.
    Run->RefusedAsOutdated_ = true;
    ++Run->StartsRefused_;
    [[fallthrough]];
  case RequestStatus::Unknown:
    if (Run->StartsSent_ > 1)
      noteLateStart(*Run);
    if (Run->Phase_ == RunPhase::StartSent) {
      Run->Phase_ = RunPhase::StartUnconfirmed;
      Run->PhaseSince_ = now();
      Worker.NextPollAt_ = now();
    }
    return;
  case RequestStatus::WrongIncarnation:
    endIncarnation(Worker, WorkerLoss::IncarnationEnded,
                   "another-life-answered");
    return;
  case RequestStatus::Fenced:
    onFenced(Worker, Token, "start");
    if (Superseded_)
      return;
    [[fallthrough]];
  case RequestStatus::Withheld:
    if (Run->StartsSent_ > 1) {
      onRepeatRefused(*Run);
      return;
    }
    Run->Step_->WithheldUntil_ = now() + WithheldStartDelay;
    endRun(*Run, internal::TimeUse::Capacity, "start-withheld");
    return;
  default:
    Worker.AvoidUntil_ = std::max(Worker.AvoidUntil_, now() + RefusalAvoidance);
    if (Reply.Status_ == RequestStatus::NotSent)
      markPollFailure(Worker);
    if (Run->StartsSent_ > 1) {
      onRepeatRefused(*Run);
      return;
    }
    endRun(*Run, internal::TimeUse::LostWorker, "start-not-accepted");
  }
}

void Coordinator::Impl::requestStop(RunEntry &Run, const char *Reason) {
  if (Run.Phase_ == RunPhase::Stopping)
    return;
  if (Run.Phase_ == RunPhase::Announced) {
    cancelStart(Run);
    return;
  }
  Run.Phase_ = RunPhase::Stopping;
  Run.PhaseSince_ = now();
  base::logEvent(
      base::LogLevel::Info, "task-stop",
      {{"task", taskName({Run.Job_->Id_, Run.Position_})},
       {"run", Run.Number_},
       {"worker", Run.Worker_->Info_.Id_},
       {"reason", Reason},
       {"percent", Run.ProgressPercent_},
       {"report_age_ms", base::toMillis(now() - Run.LastProgressAt_)}});
  sendStop(Run);
}

void Coordinator::Impl::sendStop(RunEntry &Run) {
  if (Run.StopInFlight_ || Superseded_)
    return;
  Run.StopInFlight_ = true;
  Run.NextStopSendAt_ = now() + StopResendInterval;
  Port_.stop(addressOf(*Run.Worker_),
             {{Run.Job_->Id_, Run.Position_},
              Run.Number_,
              Run.Worker_->FencingToken_,
              firstToken()},
             [Weak = weak_from_this(), Serial = Run.Serial_,
              Token = Run.Worker_->FencingToken_](const RequestReply &Reply) {
               if (auto Self = Weak.lock())
                 Self->onStopReply(Serial, Token, Reply);
             });
}

void Coordinator::Impl::onStopReply(uint64_t Serial, uint64_t Token,
                                    const RequestReply &Reply) {
  RunEntry *Run = findRun(Serial);
  if (Run == nullptr || Superseded_)
    return;
  Run->StopInFlight_ = false;
  WorkerEntry &Worker = *Run->Worker_;
  if (Reply.Status_ == RequestStatus::Accepted) {
    Run->StopAcceptedAt_ = now();
    Worker.NextPollAt_ = std::min(Worker.NextPollAt_, now());
  } else if (Reply.Status_ == RequestStatus::Fenced) {
    onFenced(Worker, Token, "stop");
    Run->NextStopSendAt_ = now();
  } else if (Reply.Status_ == RequestStatus::WrongIncarnation) {
    endIncarnation(Worker, WorkerLoss::IncarnationEnded,
                   "another-life-answered");
  } else {
    Run->NextStopSendAt_ = now() + StopResendInterval;
  }
}

void Coordinator::Impl::markSuperseded(const char *SeenAt,
                                       const WorkerEntry &Worker) {
  if (Superseded_)
    return;
  Superseded_ = true;
  base::logEvent(base::LogLevel::Warn, "coordinator-superseded",
                 {{"term", Settings_.Term_},
                  {"seen_at", SeenAt},
                  {"worker", Worker.Info_.Id_}});
}

void Coordinator::Impl::concludeUnreportedRun(RunEntry &Run,
                                              const char *Reason) {
  TaskEntry &Task = Run.Step_->Tasks_[Run.Position_.Index_];
  if (!Run.Checkpoint_.empty())
    Task.Checkpoint_ = Run.Checkpoint_;
  const auto &Clock = Run.Worker_->Clock_;
  base::logEvent(
      base::LogLevel::Info, "task-run-over",
      {{"task", taskName({Run.Job_->Id_, Run.Position_})},
       {"run", Run.Number_},
       {"worker", Run.Worker_->Info_.Id_},
       {"born_ms", Run.Worker_->Info_.StartTimeMs_},
       {"reason", Reason},
       {"located", Run.Located_},
       {"start_clock_ms", Run.StartClockMs_.value_or(0)},
       {"clock_ms", Clock ? Clock->WorkerMs_ : 0},
       {"clock_age_ms", Clock ? base::toMillis(now() - Clock->TakenAt_) : 0},
       {"known_ms", base::toMillis(now() - Run.KnownSince_)},
       {"lease_left_ms", base::toMillis(leaseEnd(*Run.Worker_) - now())},
       {"term", Settings_.Term_}});
  Metrics_
      .counter(
          "crocuslead_unreported_run_ends_total",
          "Runs that were taken for over without a result of their worker.",
          {{"reason", Reason}})
      .add();
  endRun(Run, internal::TimeUse::LostWorker, Reason);
}

void Coordinator::Impl::reportDuplicate(const RunEntry &Found,
                                        const RunEntry &Known) {
  Metrics_
      .counter("crocuslead_duplicate_runs_total",
               "Runs that were found beside another run of their task.")
      .add();
  base::logEvent(base::LogLevel::Warn, "task-runs-twice",
                 {{"task", taskName({Found.Job_->Id_, Found.Position_})},
                  {"run", Found.Number_},
                  {"worker", Found.Worker_->Info_.Id_},
                  {"domain", Found.Worker_->Info_.Domain_},
                  {"known_run", Known.Number_},
                  {"known_worker", Known.Worker_->Info_.Id_},
                  {"known_domain", Known.Worker_->Info_.Domain_},
                  {"known_ms", base::toMillis(now() - Known.KnownSince_)},
                  {"restored", Found.Job_->Restored_},
                  {"term", Settings_.Term_}});
}

} // namespace crocuslead::jobs
