#include "jobs/internal/Impl.h"

#include "base/Log.h"

#include <algorithm>
#include <utility>

namespace crocuslead::jobs {

namespace {

// A late step whose tasks have waited for this long is starving.
constexpr auto StarvationTime = std::chrono::seconds(1);
// At most this part of the workers is reserved: while capacity is collected on
// a worker, part of it is idle.
constexpr std::size_t ReservedWorkersDivisor = 128;
// The same for all steps with lost runs together.
constexpr std::size_t LostRunWorkersDivisor = 32;
// Each of these steps visits the runs of all workers.
constexpr std::ptrdiff_t MaxReservingLostRuns = 4;
// How often the workers are chosen anew, unless a step got one of them.
constexpr auto RenewalInterval = std::chrono::milliseconds(100);
// A step for which no worker could be reserved tries again after this time.
constexpr auto ReservationRetryDelay = std::chrono::milliseconds(200);
// A gang needs all its places at the same time; one that needs more than this
// part of the workers gets no reservation.
constexpr std::size_t GangWorkersDivisor = 8;

base::Duration expectedRunTime(const internal::StepEntry &Step) {
  if (Step.RunSamples_ == 0)
    return Step.Spec_->EstimatedDuration_;
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(Step.MeanRunSeconds_));
}

base::Resources reservedBy(const StepSpec &Spec) {
  base::Resources Out = Spec.Request_;
  if (Spec.BestEffort_)
    Out.MilliCpu_ = 0;
  return Out;
}

} // namespace

std::vector<internal::StepEntry *> Coordinator::Impl::clearReservations() {
  if (!ReservingSteps_.empty())
    for (WorkerEntry *Worker : WorkerOrder_)
      Worker->Reservation_.reset();
  return std::exchange(ReservingSteps_, {});
}

// A step that holds reservations keeps them until it starts: they have to last
// while steps that go before it take their turns.
void Coordinator::Impl::renewReservations() {
  if (now() < NextRenewalAt_)
    return;
  NextRenewalAt_ = now() + RenewalInterval;
  auto Steps = clearReservations();
  std::stable_partition(Steps.begin(), Steps.end(), [](const StepEntry *Step) {
    return hasLostRun(*Step);
  });
  for (StepEntry *Step : Steps)
    reserveIfStarving(*Step);
}

bool Coordinator::Impl::isReserving(const StepEntry &Step) const {
  return std::find(ReservingSteps_.begin(), ReservingSteps_.end(), &Step) !=
         ReservingSteps_.end();
}

// A step on time may still find a gap; reserving for it would only idle
// workers. One that has runs gets on, unless a long-running task of it has lost
// its run: its service is degraded until it runs again.
bool Coordinator::Impl::isStarving(const StepEntry &Step) const {
  bool HasRuns =
      std::any_of(Step.Tasks_.begin(), Step.Tasks_.end(),
                  [](const TaskEntry &Task) { return !Task.Runs_.empty(); });
  return !Step.Spec_->BestEffort_ && (!HasRuns || hasLostRun(Step)) &&
         now() > readyKey(Step).CompletionTarget_ &&
         longestWait(Step) >= StarvationTime;
}

// Steps with lost runs have reservations of their own.
bool Coordinator::Impl::mayReserve(const StepEntry &Step) const {
  bool LostRun = hasLostRun(Step);
  auto Reserving = std::count_if(
      ReservingSteps_.begin(), ReservingSteps_.end(),
      [&](const StepEntry *Each) { return hasLostRun(*Each) == LostRun; });
  return Reserving < (LostRun ? MaxReservingLostRuns : 1);
}

std::size_t Coordinator::Impl::reservableWorkers(const StepEntry &Step) const {
  bool LostRun = hasLostRun(Step);
  std::size_t Divisor = Step.Spec_->Gang_ ? GangWorkersDivisor
                        : LostRun         ? LostRunWorkersDivisor
                                          : ReservedWorkersDivisor;
  std::size_t Limit = std::max<std::size_t>(1, WorkerOrder_.size() / Divisor);
  auto Reserved = static_cast<std::size_t>(std::count_if(
      WorkerOrder_.begin(), WorkerOrder_.end(), [&](const WorkerEntry *Worker) {
        return Worker->Reservation_ &&
               hasLostRun(*Worker->Reservation_->Step_) == LostRun;
      }));
  return Limit - std::min(Limit, Reserved);
}

// Reservations keep smaller tasks out, which would take each gap. Tasks that
// are at least as large wait for the same gaps, in the order of the queue. A
// long-running task that lost its run and fits now is kept out by nobody: while
// many of them wait, held room is idle at the cost of their service.
// Backfill: smaller tasks still start if they end before the step can start
// there, or leave enough room for it.
bool Coordinator::Impl::isHeldForOther(const StepEntry &Step,
                                       const WorkerEntry &Worker) const {
  if (!Worker.Reservation_ || Worker.Reservation_->Step_ == &Step)
    return false;
  if (hasLostRun(Step))
    return false;
  const StepSpec &Spec = *Step.Spec_;
  const StepSpec &Holder = *Worker.Reservation_->Step_->Spec_;
  if (!Spec.BestEffort_ && Holder.Request_.fitsIn(Spec.Request_))
    return false;
  base::Resources Left =
      Worker.Info_.Capacity_ - Worker.Reserved_ - reservedBy(Spec);
  if (Spec.BestEffort_)
    return Left.MemoryMb_ < Holder.Request_.MemoryMb_;
  if (Holder.Request_.fitsIn(Left))
    return false;
  return Spec.LongRunning_ ||
         now() + expectedRunTime(Step) > Worker.Reservation_->ReadyAt_;
}

// When enough runs on the worker are expected to have ended for a task of the
// step to fit; unset if that does not depend on runs that end by themselves.
std::optional<base::TimePoint>
Coordinator::Impl::expectedFit(const StepEntry &Step,
                               const WorkerEntry &Worker) const {
  base::Resources Free = Worker.Info_.Capacity_ - Worker.Reserved_;
  const base::Resources &Request = Step.Spec_->Request_;
  if (Request.fitsIn(Free))
    return now();
  std::vector<std::pair<base::TimePoint, const RunEntry *>> Ends;
  for (const RunEntry *Run : Worker.Runs_) {
    if (Run->Phase_ == RunPhase::Stopping)
      Ends.emplace_back(
          std::max(now(), Run->PhaseSince_ + Settings_.Times_.StopTimeout_),
          Run);
    else if (!Run->Step_->Spec_->LongRunning_)
      Ends.emplace_back(
          std::max(now(), Run->StartedAt_ + expectedRunTime(*Run->Step_)), Run);
  }
  std::sort(Ends.begin(), Ends.end());
  for (const auto &[End, Run] : Ends) {
    Free += reservedBy(*Run->Step_->Spec_);
    if (Request.fitsIn(Free))
      return End;
  }
  return std::nullopt;
}

void Coordinator::Impl::reserveIfStarving(StepEntry &Step) {
  if (now() < Step.NextReservationAt_ || isReserving(Step) ||
      !mayReserve(Step) || !isStarving(Step) || reservableWorkers(Step) == 0)
    return;
  if (reserveWorkers(Step))
    ReservingSteps_.push_back(&Step);
  else
    Step.NextReservationAt_ = now() + ReservationRetryDelay;
}

// Returns false if no worker could be reserved.
bool Coordinator::Impl::reserveWorkers(const StepEntry &Step) {
  const QueueConfig *Queue = queueConfig(*Step.Job_);
  if (Queue == nullptr)
    return false;
  auto Wanted = static_cast<std::size_t>(std::count_if(
      Step.Tasks_.begin(), Step.Tasks_.end(),
      [&](const TaskEntry &Task) { return isStartable(Step, Task); }));
  std::size_t Limit = reservableWorkers(Step);
  if (Wanted == 0 || (Step.Spec_->Gang_ && Wanted > Limit))
    return false;
  std::vector<std::pair<base::TimePoint, WorkerEntry *>> Candidates;
  for (WorkerEntry *Worker : WorkerOrder_) {
    if (Worker->Info_.Service_ != Queue->Service_ || Worker->Reservation_ ||
        !acceptsStarts(*Worker) || !hasRequiredLabel(*Step.Spec_, *Worker) ||
        isAtStepLimit(Step, *Worker))
      continue;
    if (auto ReadyAt = expectedFit(Step, *Worker))
      Candidates.emplace_back(*ReadyAt, Worker);
  }
  Wanted = std::min({Wanted, Limit, Candidates.size()});
  if (Wanted == 0)
    return false;
  auto End = Candidates.begin() + static_cast<std::ptrdiff_t>(Wanted);
  std::partial_sort(
      Candidates.begin(), End, Candidates.end(),
      [](const auto &A, const auto &B) { return A.first < B.first; });
  for (auto It = Candidates.begin(); It != End; ++It) {
    WorkerEntry &Worker = *It->second;
    Worker.Reservation_ = internal::Reservation{&Step, It->first};
    logReservation(Step, Worker);
  }
  return true;
}

// Logged once for as long as the worker is reserved for the same job.
void Coordinator::Impl::logReservation(const StepEntry &Step,
                                       WorkerEntry &Worker) const {
  if (Worker.LastReservedFor_ == Step.Job_->Id_)
    return;
  Worker.LastReservedFor_ = Step.Job_->Id_;
  base::Resources Free = Worker.Info_.Capacity_ - Worker.Reserved_;
  base::logEvent(
      base::LogLevel::Info, "worker-reserved",
      {{"job", Step.Job_->Id_},
       {"step", static_cast<int64_t>(Step.Number_)},
       {"worker", Worker.Info_.Id_},
       {"task_mcpu", Step.Spec_->Request_.MilliCpu_},
       {"task_memory_mb", Step.Spec_->Request_.MemoryMb_},
       {"lost_run", hasLostRun(Step)},
       {"waited_ms", base::toMillis(longestWait(Step))},
       {"free_mcpu", Free.MilliCpu_},
       {"free_memory_mb", Free.MemoryMb_},
       {"ready_in_ms", base::toMillis(Worker.Reservation_->ReadyAt_ - now())}});
}

} // namespace crocuslead::jobs
