#include "jobs/internal/Impl.h"

#include "base/Log.h"

#include <algorithm>
#include <cmath>

namespace crocuslead::jobs {

namespace {

// Headroom (target over tail) that is kept; 1 is the target itself. The rest
// covers the swing of loads until the next look. These figures and those of
// moves are weighed in docs/decisions/best-effort.md.
constexpr double KeptHeadroom = 1.6;
// A new neighbour needs more, since it works at full pace until it is seen.
constexpr double StartHeadroom = 2.1;
// A tail above its target for this part of the tolerated time stops all
// neighbours that may cause it, and for twice that all others.
constexpr int GuardParts = 4;
// The figures are rough: a headroom below this counts as over the target.
constexpr double OverBelow = 1.08;
// A tail figure above this says that the task is nearly idle.
constexpr double MaxHeadroom = 8;
// Weight of a new sample of a serving task's own headroom.
constexpr double OwnWeight = 0.5;
// Samples further apart differ by the load's own swing.
constexpr auto LongestStep = std::chrono::milliseconds(1500);
constexpr int FullSpeed = 100;
// Paces below this are not worth the memory; the task stands still.
constexpr int MinSpeed = 8;
// Smaller changes are not sent.
constexpr int MinSpeedChange = 8;

// More headroom than this does not make a worker better.
constexpr double MaxSlack = 2.0;

// A best-effort task below this pace is moved once there is a better place.
constexpr int ThrottledSpeed = 60;
constexpr auto ThrottledTime = std::chrono::milliseconds(800);
// Progress that is not checkpointed is given up for a move up to this percent.
constexpr int LosablePercent = 30;
// A task that finds no place after so many moves stays.
constexpr uint32_t MaxThrottleMoves = 10;
// Moves of one pass: each search visits all workers.
constexpr int MaxMovesPerPass = 3;

bool serves(const internal::RunEntry &Each) {
  return Each.Step_->Spec_->TailTarget_.count() > 0 &&
         Each.Phase_ == internal::RunPhase::Running;
}

bool isBestEffort(const internal::RunEntry &Each) {
  return Each.Step_->Spec_->BestEffort_ &&
         Each.Phase_ == internal::RunPhase::Running;
}

//! Part of the worker's CPU that a task uses at full pace.
double fullUse(const internal::StepEntry &Step,
               const internal::WorkerEntry &On) {
  return static_cast<double>(Step.Spec_->Request_.MilliCpu_) /
         std::max<double>(1, static_cast<double>(On.Info_.Room_.MilliCpu_));
}

} // namespace

// Splits each serving task's headroom into its own part, which follows its
// load, and what best-effort neighbours take from it.
void Coordinator::Impl::updatePressure(WorkerEntry &At) {
  double Room =
      std::max<double>(1, static_cast<double>(At.Info_.Room_.MilliCpu_));
  internal::UsageByImage Use;
  for (const RunEntry *Each : At.Runs_)
    if (isBestEffort(*Each))
      Use[Each->Step_->Image_] += Each->Load_ / Room;
  At.TailOverTarget_ = false;
  bool Recent = now() - At.LastUsageAt_ < LongestStep;
  for (RunEntry *Served : At.Runs_) {
    if (!serves(*Served) || Served->Load_ <= 0)
      continue;
    const StepSpec &Spec = *Served->Step_->Spec_;
    double Seen = std::min(
        MaxHeadroom,
        static_cast<double>(base::toMillis(Spec.TailTarget_)) / Served->Load_);
    if (Served->LastHeadroom_ && Recent)
      Pressure_.observe(Served->Step_->Image_, Seen - *Served->LastHeadroom_,
                        At.LastUsage_, Use);
    Served->LastHeadroom_ = Seen;
    if (Seen >= OverBelow)
      Served->OverTargetSince_.reset();
    else if (!Served->OverTargetSince_)
      Served->OverTargetSince_ = now();
    At.TailOverTarget_ = At.TailOverTarget_ || Served->OverTargetSince_;
    double Own = Seen + Pressure_.headroomTaken(Use, Served->Step_->Image_);
    Served->SoloHeadroom_ =
        Served->SoloHeadroom_.value_or(Own) * (1 - OwnWeight) + Own * OwnWeight;
  }
  At.HeadroomStale_ = true;
  At.LastUsage_ = std::move(Use);
  At.LastUsageAt_ = now();
}

// Slows best-effort tasks to what the serving tasks beside them can bear.
void Coordinator::Impl::throttleBestEffort(WorkerEntry &At) {
  std::vector<std::pair<RunEntry *, double>> Shares;
  for (RunEntry *Each : At.Runs_)
    if (isBestEffort(*Each))
      Shares.emplace_back(Each, 1.0);
  At.TailsUnderPressure_ = false;
  if (Shares.empty())
    return;
  for (const RunEntry *Served : At.Runs_) {
    if (!serves(*Served) || !Served->SoloHeadroom_)
      continue;
    internal::ImageNumber Image = Served->Step_->Image_;
    auto PressureOf = [&](const RunEntry &Each) {
      return Pressure_.pressure(Each.Step_->Image_, Image);
    };
    base::Duration Over = Served->OverTargetSince_
                              ? now() - *Served->OverTargetSince_
                              : base::Duration{};
    if (Over * GuardParts > Settings_.Times_.TailGrace_)
      for (auto &[Each, Share] : Shares)
        if (PressureOf(*Each) > 0 ||
            Over * GuardParts > 2 * Settings_.Times_.TailGrace_)
          Share = 0;
    // Those that press hardest are slowed first.
    std::sort(Shares.begin(), Shares.end(), [&](const auto &A, const auto &B) {
      return PressureOf(*A.first) > PressureOf(*B.first);
    });
    double Excess = KeptHeadroom - *Served->SoloHeadroom_;
    for (const auto &[Each, Share] : Shares) {
      Excess += PressureOf(*Each) * fullUse(*Each->Step_, At) * Share;
      At.TailsUnderPressure_ = At.TailsUnderPressure_ || PressureOf(*Each) > 0;
    }
    for (auto &[Each, Share] : Shares) {
      double Full = PressureOf(*Each) * fullUse(*Each->Step_, At);
      if (Excess <= 0 || Full <= 0)
        break;
      double Cut = std::min(Share, Excess / Full);
      Share -= Cut;
      Excess -= Cut * Full;
    }
  }
  for (auto &[Each, Share] : Shares) {
    int Wanted = static_cast<int>(Share * FullSpeed);
    if (Wanted < MinSpeed)
      Wanted = 0;
    if (Wanted != Each->SpeedPercent_ &&
        (std::abs(Wanted - Each->SpeedPercent_) >= MinSpeedChange ||
         Wanted == 0 || Wanted == FullSpeed))
      requestSpeed(*Each, Wanted);
  }
}

void Coordinator::Impl::computeRemainingHeadroom(WorkerEntry &Of) const {
  Of.HeadroomStale_ = false;
  Of.RemainingHeadroom_.clear();
  internal::UsageByImage Use;
  for (const RunEntry *Each : Of.Runs_)
    if (Each->Step_->Spec_->BestEffort_)
      Use[Each->Step_->Image_] += fullUse(*Each->Step_, Of) *
                                  (Each->SpeedPercent_ == internal::UnknownSpeed
                                       ? FullSpeed
                                       : Each->SpeedPercent_) /
                                  FullSpeed;
  for (const RunEntry *Served : Of.Runs_) {
    if (Served->Step_->Spec_->TailTarget_.count() <= 0)
      continue;
    internal::ImageNumber Image = Served->Step_->Image_;
    double Left = Served->SoloHeadroom_.value_or(StartHeadroom) -
                  StartHeadroom - Pressure_.headroomTaken(Use, Image);
    auto Known =
        std::find_if(Of.RemainingHeadroom_.begin(), Of.RemainingHeadroom_.end(),
                     [&](const auto &E) { return E.first == Image; });
    if (Known == Of.RemainingHeadroom_.end())
      Of.RemainingHeadroom_.emplace_back(Image, Left);
    else
      Known->second = std::min(Known->second, Left);
  }
}

// Calls Function with the headroom left for each serving image on a worker and
// what a task of this step would take from it at full pace.
template <typename Visit>
void Coordinator::Impl::forEachServingImage(const StepEntry &Step,
                                            WorkerEntry &On,
                                            Visit Function) const {
  if (On.HeadroomStale_)
    computeRemainingHeadroom(On);
  for (const auto &[Image, Left] : On.RemainingHeadroom_)
    Function(Left, Pressure_.pressure(Step.Image_, Image) * fullUse(Step, On));
}

// Share of its full speed at which a task of this step could work on a worker
// now, so that every serving task keeps its headroom.
double Coordinator::Impl::achievableSpeed(const StepEntry &Step,
                                          WorkerEntry &On) const {
  double Least = 1;
  forEachServingImage(Step, On, [&](double Left, double Taken) {
    if (Taken > 0)
      Least = std::min(Least, Left / Taken);
  });
  return Least;
}

// Least headroom, up to MaxSlack, that serving tasks would have left above
// what a start needs.
double Coordinator::Impl::headroomSlack(const StepEntry &Step,
                                        WorkerEntry &On) const {
  double Least = MaxSlack;
  forEachServingImage(Step, On, [&](double Left, double Taken) {
    Least = std::min(Least, Left - Taken);
  });
  return std::max(0.0, Least);
}

void Coordinator::Impl::requestSpeed(RunEntry &Which, int Percent) {
  if (Which.ThrottleInFlight_)
    return;
  Which.ThrottleInFlight_ = true;
  WorkerEntry &On = *Which.Worker_;
  base::logEvent(base::LogLevel::Debug, "task-paced",
                 {{"task", taskName({Which.Job_->Id_, Which.Position_})},
                  {"worker", On.Info_.Id_},
                  {"from", Which.SpeedPercent_},
                  {"to", Percent}});
  Port_.pace(addressOf(On),
             {{Which.Job_->Id_, Which.Position_},
              Which.Number_,
              Percent,
              Settings_.Term_},
             [Weak = weak_from_this(), Serial = Which.Serial_,
              Percent](const OrderReply &Reply) {
               auto Self = Weak.lock();
               RunEntry *Of = Self ? Self->findRun(Serial) : nullptr;
               if (Of == nullptr)
                 return;
               Of->ThrottleInFlight_ = false;
               if (Reply.Status_ == OrderStatus::Accepted) {
                 // The time at the old pace says nothing about a stall.
                 Of->LastProgressAt_ = Self->now();
                 Of->SpeedPercent_ = Percent;
                 if (Percent >= ThrottledSpeed)
                   Of->ThrottledSince_.reset();
                 else if (!Of->ThrottledSince_)
                   Of->ThrottledSince_ = Self->now();
                 Of->Worker_->HeadroomStale_ = true;
               } else if (Reply.Status_ == OrderStatus::Fenced) {
                 Self->markSuperseded("pace", *Of->Worker_);
               }
             });
}

bool Coordinator::Impl::isThrottled(const RunEntry &Which,
                                    base::TimePoint Now) const {
  if (Which.Phase_ != RunPhase::Running || !Which.ThrottledSince_ ||
      Now - *Which.ThrottledSince_ < ThrottledTime ||
      !isReachable(*Which.Worker_))
    return false;
  const TaskEntry &Of = Which.Step_->Tasks_[Which.Position_.Index_];
  const StepSpec &Spec = *Which.Step_->Spec_;
  // A stop would end the others of a gang, and count against the budget of a
  // long-running step.
  return !Spec.Gang_ && !Spec.LongRunning_ &&
         Of.ThrottleMoves_ < MaxThrottleMoves && Of.Runs_.size() == 1 &&
         (Spec.Checkpoints_ || Which.Percent_ <= LosablePercent);
}

// A task that its neighbours hold back would wait until they leave, so it goes
// where it can work.
void Coordinator::Impl::moveThrottledRuns() {
  base::TimePoint Now = now();
  std::vector<uint64_t> Held;
  for (auto &[Serial, Each] : Runs_)
    if (isThrottled(*Each, Now))
      Held.push_back(Serial);
  int Moves = 0;
  for (uint64_t Serial : Held) {
    RunEntry *Which = findRun(Serial);
    if (Which == nullptr || Moves >= MaxMovesPerPass)
      continue;
    ++Moves;
    TaskEntry &Of = Which->Step_->Tasks_[Which->Position_.Index_];
    if (chooseWorker(*Which->Step_, Of, "") == nullptr)
      continue;
    ++Of.ThrottleMoves_;
    Of.AvoidedWorker_ = Which->Worker_->Info_.Id_;
    requestStop(*Which, "held-back");
  }
}

} // namespace crocuslead::jobs
