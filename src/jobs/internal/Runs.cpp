#include "jobs/internal/Impl.h"

#include "base/Log.h"

#include <algorithm>

namespace crocuslead::jobs {

namespace {

// A stop without an answer is sent again after this time.
constexpr auto StopRepeat = std::chrono::milliseconds(300);
// A worker that refused a start is left alone for this time.
constexpr auto RefusalPause = std::chrono::milliseconds(700);
// Ends failed in a row, without one done, after which a worker is suspected.
constexpr int SuspectStreak = 2;
constexpr double SlownessWeight = 0.25;

const char *endName(RunEnd How) {
  constexpr const char *Names[] = {"done",        "failed",
                                   "stopped",     "lease-expired",
                                   "gang-broken", "gang-incomplete"};
  return Names[static_cast<int>(How)];
}

} // namespace

Coordinator::Impl::RunEntry *Coordinator::Impl::findRun(uint64_t Serial) {
  auto It = Runs_.find(Serial);
  return It == Runs_.end() ? nullptr : It->second.get();
}

Coordinator::Impl::RunEntry *
Coordinator::Impl::findRunOnWorker(WorkerEntry &On, const TaskId &Id,
                                   uint64_t Number) {
  for (RunEntry *Each : On.Runs_)
    if (Each->Number_ == Number && Each->Position_ == Id.At_ &&
        Each->Job_->Id_ == Id.Job_)
      return Each;
  return nullptr;
}

Coordinator::Impl::RunEntry &Coordinator::Impl::addRun(StepEntry &Step,
                                                       TaskEntry &Of,
                                                       WorkerEntry &On,
                                                       uint64_t Number) {
  auto Made = std::make_unique<RunEntry>();
  RunEntry &Out = *Made;
  Out.Serial_ = NextRunSerial_++;
  Out.Number_ = Number;
  Out.Job_ = Step.Job_;
  Out.Step_ = &Step;
  Out.Position_ = Of.Position_;
  Out.Worker_ = &On;
  Out.PhaseSince_ = Out.StartedAt_ = Out.LastProgressAt_ = now();
  Out.Checkpoint_ = Of.Checkpoint_;
  Out.Resumed_ = !Of.Checkpoint_.empty();
  const StepSpec &Spec = *Step.Spec_;
  base::Resources Reserve = Spec.Request_;
  if (Spec.BestEffort_) {
    On.BestEffortMilliCpu_ += Reserve.MilliCpu_;
    Reserve.MilliCpu_ = 0;
  }
  On.Reserved_ += Reserve;
  On.HeadroomStale_ = true;
  if (Spec.TailTarget_.count() > 0) {
    On.ServingMilliCpu_ += Spec.Request_.MilliCpu_;
    ++On.ServingRuns_;
  }
  On.Runs_.push_back(&Out);
  Of.Runs_.push_back(&Out);
  Runs_[Out.Serial_] = std::move(Made);
  return Out;
}

void Coordinator::Impl::removeRun(RunEntry &Which) {
  WorkerEntry &On = *Which.Worker_;
  const StepSpec &Spec = *Which.Step_->Spec_;
  base::Resources Reserve = Spec.Request_;
  if (Spec.BestEffort_) {
    On.BestEffortMilliCpu_ -= Reserve.MilliCpu_;
    Reserve.MilliCpu_ = 0;
  }
  On.Reserved_ -= Reserve;
  On.HeadroomStale_ = true;
  if (Spec.TailTarget_.count() > 0) {
    On.ServingMilliCpu_ -= Spec.Request_.MilliCpu_;
    --On.ServingRuns_;
  }
  auto Remove = [&](std::vector<RunEntry *> &From) {
    From.erase(std::remove(From.begin(), From.end(), &Which), From.end());
  };
  Remove(On.Runs_);
  Remove(Which.Step_->Tasks_[Which.Position_.Index_].Runs_);
  enqueueStep(*Which.Step_);
  PlacementRequested_ = true;
  Runs_.erase(Which.Serial_);
}

void Coordinator::Impl::startRun(StepEntry &Step, TaskEntry &Of,
                                 WorkerEntry &On, uint64_t Number) {
  RunEntry &Made = addRun(Step, Of, On, Number);
  markStarted(*Step.Job_);
  StartOrder Order;
  Order.Task_ = {Step.Job_->Id_, Of.Position_};
  Order.Run_ = Number;
  Order.Payload_ = Step.Job_->Record_.Spec_.Payload_;
  Order.Checkpoint_ = Of.Checkpoint_;
  Order.LeaseUntilMs_ = grantLease(On);
  Order.Token_ = Settings_.Term_;
  base::logEvent(
      base::LogLevel::Info, "task-start",
      {{"task", taskName(Order.Task_)},
       {"run", Number},
       {"worker", On.Info_.Id_},
       {"free_mcpu", On.Info_.Room_.MilliCpu_ - On.Reserved_.MilliCpu_},
       {"best_effort_mcpu", On.BestEffortMilliCpu_},
       {"failures", static_cast<int64_t>(Of.FailedRuns_.size())},
       {"resumed", !Of.Checkpoint_.empty()},
       {"term", Settings_.Term_}});
  Port_.start(addressOf(On), Order,
              [Weak = weak_from_this(),
               Serial = Made.Serial_](const OrderReply &Reply) {
                if (auto Self = Weak.lock())
                  Self->onStartReply(Serial, Reply);
              });
}

void Coordinator::Impl::onStartReply(uint64_t Serial, const OrderReply &Reply) {
  RunEntry *Which = findRun(Serial);
  if (Which == nullptr || Superseded_)
    return;
  WorkerEntry &On = *Which->Worker_;
  if (Reply.ClockMs_)
    recordClock(On, *Reply.ClockMs_);
  if (Reply.Status_ == OrderStatus::Accepted) {
    if (Which->Phase_ == RunPhase::StartSent ||
        Which->Phase_ == RunPhase::StartUnconfirmed) {
      Which->Phase_ = RunPhase::Running;
      Which->PhaseSince_ = Which->StartedAt_ = Which->LastProgressAt_ = now();
    }
    On.PollFailures_ = 0;
    if (Which->Step_->Spec_->BestEffort_)
      throttleBestEffort(On);
    return;
  }
  base::logEvent(base::LogLevel::Warn, "task-start-not-accepted",
                 {{"task", taskName({Which->Job_->Id_, Which->Position_})},
                  {"run", Which->Number_},
                  {"worker", On.Info_.Id_},
                  {"status", static_cast<int64_t>(Reply.Status_)}});
  switch (Reply.Status_) {
  case OrderStatus::Fenced:
    markSuperseded("start", On);
    return;
  case OrderStatus::Unknown:
    if (Which->Phase_ == RunPhase::StartSent) {
      Which->Phase_ = RunPhase::StartUnconfirmed;
      Which->PhaseSince_ = now();
      On.NextPollAt_ = now();
    }
    return;
  case OrderStatus::WrongLife:
    endIncarnation(On, "another-life-answered");
    return;
  default:
    On.AvoidUntil_ = std::max(On.AvoidUntil_, now() + RefusalPause);
    if (Reply.Status_ == OrderStatus::NotSent)
      ++On.PollFailures_;
    removeRun(*Which);
  }
}

void Coordinator::Impl::requestStop(RunEntry &Which, const char *Reason) {
  if (Which.Phase_ == RunPhase::Stopping)
    return;
  Which.Phase_ = RunPhase::Stopping;
  Which.PhaseSince_ = now();
  base::logEvent(
      base::LogLevel::Info, "task-stop",
      {{"task", taskName({Which.Job_->Id_, Which.Position_})},
       {"run", Which.Number_},
       {"worker", Which.Worker_->Info_.Id_},
       {"reason", Reason},
       {"percent", Which.Percent_},
       {"report_age_ms", base::toMillis(now() - Which.LastProgressAt_)}});
  sendStop(Which);
}

void Coordinator::Impl::sendStop(RunEntry &Which) {
  if (Which.StopInFlight_ || Superseded_)
    return;
  Which.StopInFlight_ = true;
  Which.NextStopSendAt_ = now() + StopRepeat;
  Port_.stop(
      addressOf(*Which.Worker_),
      {{Which.Job_->Id_, Which.Position_}, Which.Number_, Settings_.Term_},
      [Weak = weak_from_this(),
       Serial = Which.Serial_](const OrderReply &Reply) {
        if (auto Self = Weak.lock())
          Self->onStopReply(Serial, Reply);
      });
}

void Coordinator::Impl::onStopReply(uint64_t Serial, const OrderReply &Reply) {
  RunEntry *Which = findRun(Serial);
  if (Which == nullptr || Superseded_)
    return;
  Which->StopInFlight_ = false;
  WorkerEntry &On = *Which->Worker_;
  if (Reply.Status_ == OrderStatus::Accepted) {
    Which->StopAcceptedAt_ = now();
    On.NextPollAt_ = std::min(On.NextPollAt_, now());
  } else if (Reply.Status_ == OrderStatus::Fenced) {
    markSuperseded("stop", On);
  } else if (Reply.Status_ == OrderStatus::WrongLife) {
    endIncarnation(On, "another-life-answered");
  } else {
    Which->NextStopSendAt_ = now() + StopRepeat;
  }
}

void Coordinator::Impl::markSuperseded(const char *Where,
                                       const WorkerEntry &By) {
  if (Superseded_)
    return;
  Superseded_ = true;
  base::logEvent(base::LogLevel::Warn, "coordinator-superseded",
                 {{"term", Settings_.Term_},
                  {"seen_at", Where},
                  {"worker", By.Info_.Id_}});
}

void Coordinator::Impl::concludeUnreportedRun(RunEntry &Which,
                                              const char *Reason) {
  TaskEntry &Of = Which.Step_->Tasks_[Which.Position_.Index_];
  if (!Which.Checkpoint_.empty())
    Of.Checkpoint_ = Which.Checkpoint_;
  base::logEvent(base::LogLevel::Info, "task-run-over",
                 {{"task", taskName({Which.Job_->Id_, Which.Position_})},
                  {"run", Which.Number_},
                  {"worker", Which.Worker_->Info_.Id_},
                  {"reason", Reason}});
  removeRun(Which);
}

void Coordinator::Impl::recordOutcome(WorkerEntry &On, RunEntry *Which,
                                      const EndedRow &Row) {
  if (Row.How_ == RunEnd::Done) {
    On.ConsecutiveFailures_ = 0;
    if (Which == nullptr || Which->Adopted_ || Which->Resumed_)
      return;
    StepEntry &Step = *Which->Step_;
    double Took = base::toSeconds(now() - Which->StartedAt_);
    if (Step.RunSamples_ > 0 && Which->SpeedPercent_ == internal::FullPercent &&
        Step.MeanRunSeconds_ > 0)
      On.Slowdown_ +=
          SlownessWeight * (Took / Step.MeanRunSeconds_ - On.Slowdown_);
    ++Step.RunSamples_;
    Step.MeanRunSeconds_ += (Took - Step.MeanRunSeconds_) / Step.RunSamples_;
    Metrics_.histogram("crocuslead_task_run_seconds", "Run time of done tasks.")
        .record(now() - Which->StartedAt_);
  } else if (Row.How_ == RunEnd::Failed) {
    if (++On.ConsecutiveFailures_ >= SuspectStreak) {
      On.AvoidUntil_ = now() + internal::SuspectAvoidance;
      base::logEvent(base::LogLevel::Warn, "worker-suspected",
                     {{"worker", On.Info_.Id_},
                      {"failures_in_a_row", On.ConsecutiveFailures_}});
    }
  }
}

void Coordinator::Impl::handleEndedRun(WorkerEntry &On, const EndedRow &Row) {
  RunEntry *Which = findRunOnWorker(On, Row.Task_, Row.Run_);
  JobEntry *Owner = findJob(Row.Task_.Job_);
  StepEntry *Step =
      Owner != nullptr ? findStep(*Owner, Row.Task_.At_) : nullptr;
  recordOutcome(On, Which, Row);
  Metrics_
      .counter("crocuslead_runs_ended_total", "Runs of tasks by their end.",
               {{"how", endName(Row.How_)}})
      .add();
  base::logEvent(base::LogLevel::Info, "task-run-ended",
                 {{"task", taskName(Row.Task_)},
                  {"run", Row.Run_},
                  {"worker", On.Info_.Id_},
                  {"how", endName(Row.How_)},
                  {"end", Row.Number_},
                  {"known", Step != nullptr}});
  if (Which != nullptr) {
    TaskEntry &Of = Which->Step_->Tasks_[Which->Position_.Index_];
    if (!Row.Checkpoint_.empty())
      Of.Checkpoint_ = Row.Checkpoint_;
    else if (!Which->Checkpoint_.empty())
      Of.Checkpoint_ = Which->Checkpoint_;
    removeRun(*Which);
  }
  if (Step == nullptr || isFinal(Owner->State_))
    return;
  TaskEntry &Of = Step->Tasks_[Row.Task_.At_.Index_];
  if (Row.How_ == RunEnd::Done) {
    if (Step->Spec_->LongRunning_)
      return;
    if (Step->Spec_->Gang_)
      for (TaskEntry &Member : Step->Tasks_)
        completeTask(*Owner, *Step, Member);
    else
      completeTask(*Owner, *Step, Of);
    markDirty(*Owner);
  } else if (Row.How_ == RunEnd::Failed) {
    Of.AvoidedWorker_ = On.Info_.Id_;
    recordFailure(*Owner, *Step, Of, Row);
  } else if (!Of.Checkpoint_.empty()) {
    markDirty(*Owner);
  }
}

void Coordinator::Impl::recordFailure(JobEntry &Owner, StepEntry &Step,
                                      TaskEntry &Of, const EndedRow &Row) {
  auto &Failed = Of.FailedRuns_;
  if (Of.Done_ ||
      std::find(Failed.begin(), Failed.end(), Row.Run_) != Failed.end())
    return;
  if (Step.Spec_->LongRunning_)
    return;
  Failed.push_back(Row.Run_);
  const QueueConfig *Queue = queueConfig(Owner);
  markDirty(Owner);
  if (Queue != nullptr && Failed.size() >= Queue->MaxAttempts_)
    finishJob(Owner, JobState::Failed, "attempts-used-up");
}

} // namespace crocuslead::jobs
