#include "jobs/internal/Impl.h"

#include "base/Log.h"

#include <algorithm>
#include <cmath>

namespace crocuslead::jobs {

namespace {

// Headroom (target over tail latency) that throttling preserves. 1 is the
// target itself; the margin covers load changes until the next poll.
// docs/decisions/best-effort.md gives the reasons for the headroom limits and
// for the limits on moves.
constexpr double ReservedHeadroom = 1.6;
// Headroom that the start of a best-effort task must leave. It is higher
// because the task runs at full speed until the first poll that reports it.
constexpr double StartHeadroom = 2.1;
// After 1/GraceDivisor of the tolerated time above its target, a serving task
// has the best-effort tasks that put pressure on it paused; after twice that
// time, all best-effort tasks on its worker.
constexpr int GraceDivisor = 4;
// Reported latencies are inexact, so a headroom below this value counts as over
// the target.
constexpr double OverTargetBelow = 1.08;
// Headroom is capped at this value, which means that the task is nearly idle.
constexpr double MaxHeadroom = 8;
// Weight of a new sample in the moving average of SoloHeadroom_.
constexpr double SampleWeight = 0.5;
// Samples further apart are not compared: they also differ by changes of the
// load itself.
constexpr auto MaxSampleGap = std::chrono::milliseconds(1500);
constexpr int FullSpeed = 100;
// Tasks are paused instead of running below this speed, at which they would not
// be worth the memory that they occupy.
constexpr int MinSpeed = 8;
// Smaller speed changes are not sent, except to 0 or to full speed.
constexpr int MinSpeedChange = 8;

// Slack above this value does not improve the score of a worker.
constexpr double MaxSlack = 2.0;

// A best-effort task that ran below this speed for ThrottledTime is moved once
// another worker can take it.
constexpr int ThrottledSpeed = 60;
constexpr auto ThrottledTime = std::chrono::milliseconds(800);
// A move may discard at most this much progress that is not checkpointed.
constexpr int MaxDiscardedPercent = 30;
// A task that was throttled again after this many moves stays where it is.
constexpr uint32_t MaxThrottleMoves = 10;
// Limits the searches per check, since each of them visits all workers.
constexpr int MaxMovesPerCheck = 3;

bool isServing(const internal::RunEntry &Run) {
  return Run.Step_->Spec_->TailLatencyTarget_.count() > 0 &&
         Run.Phase_ == internal::RunPhase::Running;
}

bool isBestEffort(const internal::RunEntry &Run) {
  return Run.Step_->Spec_->BestEffort_ &&
         Run.Phase_ == internal::RunPhase::Running;
}

//! Share of the worker's CPU that a task uses at full speed.
double fullSpeedUsage(const internal::StepEntry &Step,
                      const internal::WorkerEntry &Worker) {
  return static_cast<double>(Step.Spec_->Request_.MilliCpu_) /
         std::max<double>(
             1, static_cast<double>(Worker.Info_.Capacity_.MilliCpu_));
}

} // namespace

// Splits the headroom of each serving task into its solo headroom, which
// depends on its load, and the part taken by best-effort tasks on the same
// worker.
void Coordinator::Impl::updatePressure(WorkerEntry &Worker) {
  double CapacityMilliCpu = std::max<double>(
      1, static_cast<double>(Worker.Info_.Capacity_.MilliCpu_));
  internal::UsageByImage Usage;
  for (const RunEntry *Run : Worker.Runs_)
    if (isBestEffort(*Run))
      Usage[Run->Step_->Image_] += Run->Load_ / CapacityMilliCpu;
  Worker.TailOverTarget_ = false;
  bool Recent = now() - Worker.LastUsageAt_ < MaxSampleGap;
  for (RunEntry *ServingRun : Worker.Runs_) {
    if (!isServing(*ServingRun) || ServingRun->Load_ <= 0)
      continue;
    const StepSpec &Spec = *ServingRun->Step_->Spec_;
    double Headroom =
        std::min(MaxHeadroom,
                 static_cast<double>(base::toMillis(Spec.TailLatencyTarget_)) /
                     ServingRun->Load_);
    if (ServingRun->LastHeadroom_ && Recent)
      Pressure_.observe(ServingRun->Step_->Image_,
                        Headroom - *ServingRun->LastHeadroom_,
                        Worker.LastUsage_, Usage);
    ServingRun->LastHeadroom_ = Headroom;
    if (Headroom >= OverTargetBelow)
      ServingRun->OverTargetSince_.reset();
    else if (!ServingRun->OverTargetSince_)
      ServingRun->OverTargetSince_ = now();
    Worker.TailOverTarget_ =
        Worker.TailOverTarget_ || ServingRun->OverTargetSince_;
    double SoloHeadroom =
        Headroom + Pressure_.headroomTaken(Usage, ServingRun->Step_->Image_);
    ServingRun->SoloHeadroom_ =
        ServingRun->SoloHeadroom_.value_or(SoloHeadroom) * (1 - SampleWeight) +
        SoloHeadroom * SampleWeight;
  }
  Worker.HeadroomStale_ = true;
  Worker.LastUsage_ = std::move(Usage);
  Worker.LastUsageAt_ = now();
}

// Throttles best-effort tasks so that the serving tasks on the same worker keep
// ReservedHeadroom.
void Coordinator::Impl::throttleBestEffort(WorkerEntry &Worker) {
  std::vector<std::pair<RunEntry *, double>> Shares;
  for (RunEntry *Run : Worker.Runs_)
    if (isBestEffort(*Run))
      Shares.emplace_back(Run, 1.0);
  Worker.TailsUnderPressure_ = false;
  if (Shares.empty())
    return;
  for (const RunEntry *ServingRun : Worker.Runs_) {
    if (!isServing(*ServingRun) || !ServingRun->SoloHeadroom_)
      continue;
    internal::ImageNumber Image = ServingRun->Step_->Image_;
    auto PressureOf = [&](const RunEntry &Run) {
      return Pressure_.pressure(Run.Step_->Image_, Image);
    };
    base::Duration OverTargetTime = ServingRun->OverTargetSince_
                                        ? now() - *ServingRun->OverTargetSince_
                                        : base::Duration{};
    if (OverTargetTime * GraceDivisor > Settings_.Times_.TailViolationGrace_)
      for (auto &[Run, Share] : Shares)
        if (PressureOf(*Run) > 0 ||
            OverTargetTime * GraceDivisor >
                2 * Settings_.Times_.TailViolationGrace_)
          Share = 0;
    // The tasks with the highest pressure are throttled first.
    std::sort(Shares.begin(), Shares.end(), [&](const auto &A, const auto &B) {
      return PressureOf(*A.first) > PressureOf(*B.first);
    });
    double Excess = ReservedHeadroom - *ServingRun->SoloHeadroom_;
    for (const auto &[Run, Share] : Shares) {
      Excess += PressureOf(*Run) * fullSpeedUsage(*Run->Step_, Worker) * Share;
      Worker.TailsUnderPressure_ =
          Worker.TailsUnderPressure_ || PressureOf(*Run) > 0;
    }
    for (auto &[Run, Share] : Shares) {
      double FullPressure =
          PressureOf(*Run) * fullSpeedUsage(*Run->Step_, Worker);
      if (Excess <= 0 || FullPressure <= 0)
        break;
      double Reduction = std::min(Share, Excess / FullPressure);
      Share -= Reduction;
      Excess -= Reduction * FullPressure;
    }
  }
  for (auto &[Run, Share] : Shares) {
    int SpeedPercent = static_cast<int>(Share * FullSpeed);
    if (SpeedPercent < MinSpeed)
      SpeedPercent = 0;
    if (SpeedPercent != Run->SpeedPercent_ &&
        (std::abs(SpeedPercent - Run->SpeedPercent_) >= MinSpeedChange ||
         SpeedPercent == 0 || SpeedPercent == FullSpeed))
      requestSpeed(*Run, SpeedPercent);
  }
}

void Coordinator::Impl::computeRemainingHeadroom(WorkerEntry &Worker) const {
  Worker.HeadroomStale_ = false;
  Worker.RemainingHeadroom_.clear();
  internal::UsageByImage Usage;
  for (const RunEntry *Run : Worker.Runs_)
    if (Run->Step_->Spec_->BestEffort_)
      Usage[Run->Step_->Image_] +=
          fullSpeedUsage(*Run->Step_, Worker) *
          (Run->SpeedPercent_ == internal::UnknownSpeed ? FullSpeed
                                                        : Run->SpeedPercent_) /
          FullSpeed;
  for (const RunEntry *ServingRun : Worker.Runs_) {
    if (ServingRun->Step_->Spec_->TailLatencyTarget_.count() <= 0)
      continue;
    internal::ImageNumber Image = ServingRun->Step_->Image_;
    double Remaining = ServingRun->SoloHeadroom_.value_or(StartHeadroom) -
                       StartHeadroom - Pressure_.headroomTaken(Usage, Image);
    auto Known = std::find_if(
        Worker.RemainingHeadroom_.begin(), Worker.RemainingHeadroom_.end(),
        [&](const auto &Entry) { return Entry.first == Image; });
    if (Known == Worker.RemainingHeadroom_.end())
      Worker.RemainingHeadroom_.emplace_back(Image, Remaining);
    else
      Known->second = std::min(Known->second, Remaining);
  }
}

// For each serving image on a worker, calls Function with the remaining
// headroom and the part that a task of this step would take at full speed.
template <typename Visit>
void Coordinator::Impl::forEachServingImage(const StepEntry &Step,
                                            WorkerEntry &Worker,
                                            Visit Function) const {
  if (Worker.HeadroomStale_)
    computeRemainingHeadroom(Worker);
  for (const auto &[Image, Remaining] : Worker.RemainingHeadroom_)
    Function(Remaining, Pressure_.pressure(Step.Image_, Image) *
                            fullSpeedUsage(Step, Worker));
}

// Highest share of full speed at which a task of this step could run on a
// worker now while every serving task keeps its headroom.
double Coordinator::Impl::achievableSpeed(const StepEntry &Step,
                                          WorkerEntry &Worker) const {
  double MinSpeedShare = 1;
  forEachServingImage(Step, Worker, [&](double Remaining, double Taken) {
    if (Taken > 0)
      MinSpeedShare = std::min(MinSpeedShare, Remaining / Taken);
  });
  return MinSpeedShare;
}

// Least headroom above StartHeadroom, up to MaxSlack, that serving tasks on a
// worker would keep beside a task of this step at full speed.
double Coordinator::Impl::headroomSlack(const StepEntry &Step,
                                        WorkerEntry &Worker) const {
  double MinSlack = MaxSlack;
  forEachServingImage(Step, Worker, [&](double Remaining, double Taken) {
    MinSlack = std::min(MinSlack, Remaining - Taken);
  });
  return std::max(0.0, MinSlack);
}

void Coordinator::Impl::requestSpeed(RunEntry &Run, int SpeedPercent) {
  if (Run.ThrottleInFlight_)
    return;
  Run.ThrottleInFlight_ = true;
  WorkerEntry &Worker = *Run.Worker_;
  base::logEvent(base::LogLevel::Debug, "task-paced",
                 {{"task", taskName({Run.Job_->Id_, Run.Position_})},
                  {"worker", Worker.Info_.Id_},
                  {"from", Run.SpeedPercent_},
                  {"to", SpeedPercent}});
  Port_.throttle(addressOf(Worker),
                 {{Run.Job_->Id_, Run.Position_},
                  Run.Number_,
                  SpeedPercent,
                  Worker.FencingToken_,
                  firstToken()},
                 [Weak = weak_from_this(), Serial = Run.Serial_, SpeedPercent,
                  Token = Worker.FencingToken_](const RequestReply &Reply) {
                   auto Self = Weak.lock();
                   RunEntry *ThrottledRun =
                       Self ? Self->findRun(Serial) : nullptr;
                   if (ThrottledRun == nullptr)
                     return;
                   ThrottledRun->ThrottleInFlight_ = false;
                   if (Reply.Status_ == RequestStatus::Accepted) {
                     // Progress at the old speed is no evidence of a stall.
                     ThrottledRun->LastProgressAt_ = Self->now();
                     ThrottledRun->SpeedPercent_ = SpeedPercent;
                     if (SpeedPercent >= ThrottledSpeed)
                       ThrottledRun->ThrottledSince_.reset();
                     else if (!ThrottledRun->ThrottledSince_)
                       ThrottledRun->ThrottledSince_ = Self->now();
                     ThrottledRun->Worker_->HeadroomStale_ = true;
                   } else if (Reply.Status_ == RequestStatus::Fenced) {
                     Self->onFenced(*ThrottledRun->Worker_, Token, "pace");
                   }
                 });
}

bool Coordinator::Impl::isThrottled(const RunEntry &Run,
                                    base::TimePoint Now) const {
  if (Run.Phase_ != RunPhase::Running || !Run.ThrottledSince_ ||
      Now - *Run.ThrottledSince_ < ThrottledTime || !isReachable(*Run.Worker_))
    return false;
  const TaskEntry &Task = Run.Step_->Tasks_[Run.Position_.Index_];
  const StepSpec &Spec = *Run.Step_->Spec_;
  // A stop would end the other members of a gang, and would count against the
  // disruption budget of a long-running step.
  return !Spec.Gang_ && !Spec.LongRunning_ &&
         Task.ThrottleMoves_ < MaxThrottleMoves && Task.Runs_.size() == 1 &&
         (Spec.Checkpoints_ || Run.ProgressPercent_ <= MaxDiscardedPercent);
}

// A throttled task would otherwise wait until the serving tasks on its worker
// end, so it is moved to a worker on which it can run.
void Coordinator::Impl::moveThrottledRuns() {
  base::TimePoint Now = now();
  std::vector<uint64_t> ThrottledRuns;
  for (auto &[Serial, Run] : Runs_)
    if (isThrottled(*Run, Now))
      ThrottledRuns.push_back(Serial);
  int Moves = 0;
  for (uint64_t Serial : ThrottledRuns) {
    RunEntry *Run = findRun(Serial);
    if (Run == nullptr || Moves >= MaxMovesPerCheck)
      continue;
    ++Moves;
    TaskEntry &Task = Run->Step_->Tasks_[Run->Position_.Index_];
    if (chooseWorker(*Run->Step_, Task, "") == nullptr)
      continue;
    ++Task.ThrottleMoves_;
    Task.AvoidedWorker_ = Run->Worker_->Info_.Id_;
    requestStop(*Run, "held-back");
  }
}

} // namespace crocuslead::jobs
