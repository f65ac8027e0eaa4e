#include "jobs/internal/Impl.h"

#include "base/Log.h"

#include <algorithm>

namespace crocuslead::jobs {

namespace {

using internal::TimeUse;
using internal::WaitCause;

// A step whose tasks wait for this long is logged, again each time the wait has
// doubled.
constexpr auto LongWait = std::chrono::seconds(1);
// Limits the lines of one check, which visits all workers for each of them.
constexpr int MaxWaitsPerCheck = 2;

base::Resources reservedByFiniteRuns(const internal::WorkerEntry &Worker) {
  base::Resources Out;
  for (const internal::RunEntry *Run : Worker.Runs_) {
    const StepSpec &Spec = *Run->Step_->Spec_;
    if (Spec.LongRunning_)
      continue;
    Out += Spec.Request_;
    if (Spec.BestEffort_)
      Out.MilliCpu_ -= Spec.Request_.MilliCpu_;
  }
  return Out;
}

} // namespace

std::vector<WaitingTasks> noWaitingTasks() {
  std::vector<WaitingTasks> Out;
  for (const auto &[Kind, KindName] : internal::WorkKindNames.rows())
    for (std::string_view Size : internal::TaskSizeNames)
      Out.push_back({std::string(KindName), std::string(Size), 0, {}});
  return Out;
}

void Coordinator::Impl::countWaitingTasks(
    std::vector<WaitingTasks> &Out) const {
  for (const auto &[Key, Step] : ReadySteps_) {
    std::size_t Kind =
        static_cast<std::size_t>(internal::workKind(*Step->Spec_));
    WaitingTasks &Class = Out[Kind * internal::TaskSizeNames.size() +
                              internal::taskSizeClass(*Step->Spec_)];
    for (const TaskEntry &Task : Step->Tasks_) {
      if (Task.Done_ || !Task.Runs_.empty())
        continue;
      ++Class.Tasks_;
      Class.OldestWait_ =
          std::max(Class.OldestWait_, now() - Task.AccountedUntil_);
    }
  }
}

void Coordinator::Impl::accountWait(const JobEntry &Job, TaskEntry &Task) {
  base::TimePoint Now = now();
  if (Job.Restored_) {
    base::TimePoint End = Job.RecoveredAt_.value_or(Now);
    if (End > Task.AccountedUntil_) {
      Task.Time_.add(TimeUse::Recovery, End - Task.AccountedUntil_);
      Task.AccountedUntil_ = End;
    }
  }
  Task.Time_.add(TimeUse::Capacity, Now - Task.AccountedUntil_);
  Task.AccountedUntil_ = Now;
}

void Coordinator::Impl::accountRun(const RunEntry &Run, TaskEntry &Task,
                                   TimeUse Use) {
  base::TimePoint Now = now();
  base::Duration Time = Now - Task.AccountedUntil_;
  base::Duration OutOfReach = Run.OutOfReach_;
  if (Run.Worker_->FailingSince_)
    OutOfReach += Now - std::max(*Run.Worker_->FailingSince_, Run.StartedAt_);
  OutOfReach = std::min(OutOfReach, Time);
  Task.Time_.add(TimeUse::LostWorker, OutOfReach);
  Task.Time_.add(Use, Time - OutOfReach);
  Task.AccountedUntil_ = Now;
}

void Coordinator::Impl::markPollFailure(WorkerEntry &Worker) {
  ++Worker.PollFailures_;
  if (!Worker.FailingSince_)
    Worker.FailingSince_ = now();
}

void Coordinator::Impl::markReachable(WorkerEntry &Worker) {
  Worker.PollFailures_ = 0;
  if (!Worker.FailingSince_)
    return;
  for (RunEntry *Run : Worker.Runs_)
    Run->OutOfReach_ +=
        now() - std::max(*Worker.FailingSince_, Run->StartedAt_);
  Worker.FailingSince_.reset();
}

// The longest chain of a job that has not completed ends in a task that waits
// or runs.
internal::TimeSpent
Coordinator::Impl::unfinishedTime(const JobEntry &Job) const {
  internal::TimeSpent Longest;
  for (const auto &[Number, Occurrence] : Job.Occurrences_)
    for (const StepEntry &Step : Occurrence.Steps_) {
      if (!Step.Released_ || Step.complete())
        continue;
      for (const TaskEntry &Task : Step.Tasks_) {
        if (Task.Done_)
          continue;
        internal::TimeSpent Time = Step.CriticalTime_;
        Time += Task.Time_;
        Time.add(Task.Runs_.empty() ? TimeUse::Capacity : TimeUse::Run,
                 now() - Task.AccountedUntil_);
        if (Time.total() > Longest.total())
          Longest = Time;
      }
    }
  return Longest;
}

base::Duration Coordinator::Impl::longestWait(const StepEntry &Step) const {
  base::Duration Out{};
  for (const TaskEntry &Task : Step.Tasks_)
    if (!Task.Done_ && Task.Runs_.empty())
      Out = std::max(Out, now() - Task.AccountedUntil_);
  return Out;
}

void Coordinator::Impl::logLongWaits() {
  base::TimePoint Now = now();
  int Logged = 0;
  for (auto &[Key, Step] : ReadySteps_) {
    if (!hasRecovered(*Step->Job_) || Now < Step->NextWaitLogAt_)
      continue;
    base::Duration Wait = longestWait(*Step);
    Step->NextWaitLogAt_ =
        Now + std::max<base::Duration>(Wait, LongWait - Wait);
    if (Wait < LongWait)
      continue;
    logWait(*Step, Wait);
    if (++Logged >= MaxWaitsPerCheck)
      return;
  }
}

WaitCause Coordinator::Impl::waitCause(const StepEntry &Step,
                                       const TaskEntry &Task) const {
  if (!hasRecovered(Step, Task))
    return WaitCause::Recovery;
  return mayStartLate(Step, Task) ? WaitCause::LateStart : WaitCause::Capacity;
}

std::optional<std::pair<WaitCause, base::Duration>>
Coordinator::Impl::waitOf(const RunEntry &Run) const {
  bool IsUnconfirmed = Run.Phase_ == RunPhase::Stopping ||
                       Run.Phase_ == RunPhase::StartUnconfirmed;
  const std::optional<base::TimePoint> &FailingSince =
      Run.Worker_->FailingSince_;
  if (!IsUnconfirmed && !FailingSince)
    return std::nullopt;
  const TaskEntry &Task = Run.Step_->Tasks_[Run.Position_.Index_];
  if (Task.Done_ || Task.Runs_.size() != 1 || !Run.Step_->Released_ ||
      isFinal(Run.Job_->State_))
    return std::nullopt;
  // One that its worker has listed runs until its end is listed.
  if (IsUnconfirmed && !Run.Located_ && mayStartLate(Run))
    return {{WaitCause::LateStart, now() - Task.AccountedUntil_}};
  if (!FailingSince)
    return std::nullopt;
  return {
      {WaitCause::LostWorker, now() - std::max(*FailingSince, Run.StartedAt_)}};
}

void Coordinator::Impl::noteLongestWaits() {
  base::TimePoint Now = now();
  for (const auto &[Key, Step] : ReadySteps_)
    for (TaskEntry &Task : Step->Tasks_) {
      if (Task.Done_ || !Task.Runs_.empty())
        continue;
      WaitCause Cause = waitCause(*Step, Task);
      if (Cause != WaitCause::Capacity)
        Task.HeldBackAt_ = Now;
      // Placement may not have visited it since it was free to start, so its
      // wait does not count as one for capacity yet.
      else if (WaitsNotedAt_ == Task.HeldBackAt_)
        continue;
      WorkMetrics_.recordLongestWait(*Step->Spec_, Cause,
                                     Now - Task.AccountedUntil_);
    }
  WaitsNotedAt_ = Now;
}

void Coordinator::Impl::noteLongestWait(const RunEntry &Run) {
  if (auto Wait = waitOf(Run))
    WorkMetrics_.recordLongestWait(*Run.Step_->Spec_, Wait->first,
                                   Wait->second);
}

void Coordinator::Impl::logWait(const StepEntry &Step,
                                base::Duration Wait) const {
  const StepSpec &Spec = *Step.Spec_;
  const QueueConfig *Queue = queueConfig(*Step.Job_);
  base::Resources Required = Spec.Request_;
  if (Spec.BestEffort_)
    Required.MilliCpu_ = 0;
  int64_t WithLabel = 0;
  int64_t Draining = 0;
  int64_t Unrecorded = 0;
  int64_t ResultsHeldBack = 0;
  int64_t Unanswered = 0;
  int64_t OnProbation = 0;
  int64_t HeldForOthers = 0;
  int64_t AtStepLimit = 0;
  int64_t Suitable = 0;
  int64_t WithoutCpu = 0;
  int64_t WithoutMemory = 0;
  int64_t LargestFreeMilliCpu = 0;
  int64_t FreeMilliCpu = 0;
  int64_t FiniteMilliCpu = 0;
  int64_t FitsWithoutFinite = 0;
  int64_t Reserved = 0;
  int64_t ReservedForAll = 0;
  for (const WorkerEntry *Worker : WorkerOrder_) {
    if (Queue == nullptr || Worker->Info_.Service_ != Queue->Service_ ||
        !hasRequiredLabel(Spec, *Worker))
      continue;
    ++WithLabel;
    Draining += Worker->Info_.Draining_ ? 1 : 0;
    Unrecorded += Worker->Polled_ && !Worker->RecordDurable_ ? 1 : 0;
    ResultsHeldBack += Worker->HeldBackSequence_ != 0 ? 1 : 0;
    Unanswered += mustAwaitAcknowledgement(*Worker) ? 1 : 0;
    if (!acceptsStarts(*Worker))
      continue;
    ++Suitable;
    OnProbation += now() < Worker->ProbationUntil_ ? 1 : 0;
    HeldForOthers += isHeldForOther(Step, *Worker) ? 1 : 0;
    AtStepLimit += isAtStepLimit(Step, *Worker) ? 1 : 0;
    if (Worker->Reservation_ && Worker->Reservation_->Step_ == &Step)
      ++Reserved;
    base::Resources Free = Worker->Info_.Capacity_ - Worker->Reserved_;
    ReservedForAll += Worker->Reservation_ ? 1 : 0;
    FreeMilliCpu += Free.MilliCpu_;
    base::Resources Finite = reservedByFiniteRuns(*Worker);
    FiniteMilliCpu += Finite.MilliCpu_;
    FitsWithoutFinite += Required.fitsIn(Free + Finite) ? 1 : 0;
    WithoutCpu += Free.MilliCpu_ < Required.MilliCpu_ ? 1 : 0;
    WithoutMemory += Free.MemoryMb_ < Spec.Request_.MemoryMb_ ? 1 : 0;
    LargestFreeMilliCpu = std::max(LargestFreeMilliCpu, Free.MilliCpu_);
  }
  int64_t LateStarts = std::count_if(
      Step.Tasks_.begin(), Step.Tasks_.end(), [&](const TaskEntry &Task) {
        return !Task.Done_ && Task.Runs_.empty() && mayStartLate(Step, Task);
      });
  int64_t Pending = std::count_if(
      Step.Tasks_.begin(), Step.Tasks_.end(),
      [](const TaskEntry &Task) { return !Task.Done_ && Task.Runs_.empty(); });
  base::logEvent(
      base::LogLevel::Info, "step-waiting",
      {{"job", Step.Job_->Id_},
       {"queue", Step.Job_->Record_.Queue_},
       {"step", static_cast<int64_t>(Step.Number_)},
       {"kind", internal::WorkKindNames.name(internal::workKind(Spec))},
       {"waited_ms", base::toMillis(Wait)},
       {"pending_tasks", Pending},
       {"late_starts", LateStarts},
       {"task_mcpu", Spec.Request_.MilliCpu_},
       {"task_memory_mb", Spec.Request_.MemoryMb_},
       {"late_ms", base::toMillis(now() - readyKey(Step).CompletionTarget_)},
       {"label", Spec.RequiredLabel_},
       {"rack", Spec.DataRack_},
       {"max_per_worker", static_cast<int64_t>(Spec.MaxPerWorker_)},
       {"gang", Spec.Gang_},
       {"unsatisfiable", Step.Unsatisfiable_},
       {"starts_meanwhile", ReservedStarts_ - Step.StartsBeforeRelease_},
       {"reserved_workers", Reserved},
       {"labelled_workers", WithLabel},
       {"draining_workers", Draining},
       {"unrecorded_workers", Unrecorded},
       {"held_back_workers", ResultsHeldBack},
       {"unanswered_acknowledgements", Unanswered},
       {"suitable_workers", Suitable},
       {"on_probation", OnProbation},
       {"held_for_others", HeldForOthers},
       {"at_step_limit", AtStepLimit},
       {"without_cpu", WithoutCpu},
       {"without_memory", WithoutMemory},
       {"largest_free_mcpu", LargestFreeMilliCpu},
       {"free_mcpu", FreeMilliCpu},
       {"finite_mcpu", FiniteMilliCpu},
       {"fits_without_finite", FitsWithoutFinite},
       {"reserved_for_all", ReservedForAll}});
}

} // namespace crocuslead::jobs
