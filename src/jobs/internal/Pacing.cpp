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
constexpr int FullPace = 100;
// Paces below this are not worth the memory; the task stands still.
constexpr int LowestPace = 8;
// Smaller changes are not sent.
constexpr int PaceStep = 8;

// More headroom than this does not make a worker better.
constexpr double MaxSlack = 2.0;

// A best-effort task below this pace is moved once there is a better place.
constexpr int HeldBackPace = 60;
constexpr auto HeldBackTime = std::chrono::milliseconds(800);
// Progress that is not checkpointed is given up for a move up to this percent.
constexpr int LosablePercent = 30;
// A task that finds no place after so many moves stays.
constexpr uint32_t MaxEscapes = 10;
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
void Coordinator::Impl::learnPressure(WorkerEntry &At) {
  double Room =
      std::max<double>(1, static_cast<double>(At.Info_.Room_.MilliCpu_));
  internal::UseByImage Use;
  for (const RunEntry *Each : At.Runs_)
    if (isBestEffort(*Each))
      Use[Each->Step_->Image_] += Each->Load_ / Room;
  At.TailOver_ = false;
  bool Recent = now() - At.UseSeenAt_ < LongestStep;
  for (RunEntry *Served : At.Runs_) {
    if (!serves(*Served) || Served->Load_ <= 0)
      continue;
    const StepSpec &Spec = *Served->Step_->Spec_;
    double Seen = std::min(
        MaxHeadroom,
        static_cast<double>(base::toMillis(Spec.TailTarget_)) / Served->Load_);
    if (Served->SeenHeadroom_ && Recent)
      Pressure_.observe(Served->Step_->Image_, Seen - *Served->SeenHeadroom_,
                        At.SeenUse_, Use);
    Served->SeenHeadroom_ = Seen;
    if (Seen >= OverBelow)
      Served->OverSince_.reset();
    else if (!Served->OverSince_)
      Served->OverSince_ = now();
    At.TailOver_ = At.TailOver_ || Served->OverSince_;
    double Own = Seen + Pressure_.taken(Use, Served->Step_->Image_);
    Served->OwnHeadroom_ =
        Served->OwnHeadroom_.value_or(Own) * (1 - OwnWeight) + Own * OwnWeight;
  }
  At.HeadroomStale_ = true;
  At.SeenUse_ = std::move(Use);
  At.UseSeenAt_ = now();
}

// Slows best-effort tasks to what the serving tasks beside them can bear.
void Coordinator::Impl::protectTails(WorkerEntry &At) {
  std::vector<std::pair<RunEntry *, double>> Shares;
  for (RunEntry *Each : At.Runs_)
    if (isBestEffort(*Each))
      Shares.emplace_back(Each, 1.0);
  At.TailsPressed_ = false;
  if (Shares.empty())
    return;
  for (const RunEntry *Served : At.Runs_) {
    if (!serves(*Served) || !Served->OwnHeadroom_)
      continue;
    internal::ImageNumber Image = Served->Step_->Image_;
    auto PressureOf = [&](const RunEntry &Each) {
      return Pressure_.pressure(Each.Step_->Image_, Image);
    };
    base::Duration Over =
        Served->OverSince_ ? now() - *Served->OverSince_ : base::Duration{};
    if (Over * GuardParts > Settings_.Times_.TailGrace_)
      for (auto &[Each, Share] : Shares)
        if (PressureOf(*Each) > 0 ||
            Over * GuardParts > 2 * Settings_.Times_.TailGrace_)
          Share = 0;
    // Those that press hardest are slowed first.
    std::sort(Shares.begin(), Shares.end(), [&](const auto &A, const auto &B) {
      return PressureOf(*A.first) > PressureOf(*B.first);
    });
    double Excess = KeptHeadroom - *Served->OwnHeadroom_;
    for (const auto &[Each, Share] : Shares) {
      Excess += PressureOf(*Each) * fullUse(*Each->Step_, At) * Share;
      At.TailsPressed_ = At.TailsPressed_ || PressureOf(*Each) > 0;
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
    int Wanted = static_cast<int>(Share * FullPace);
    if (Wanted < LowestPace)
      Wanted = 0;
    if (Wanted != Each->Pace_ && (std::abs(Wanted - Each->Pace_) >= PaceStep ||
                                  Wanted == 0 || Wanted == FullPace))
      setPace(*Each, Wanted);
  }
}

void Coordinator::Impl::refreshHeadroom(WorkerEntry &Of) const {
  Of.HeadroomStale_ = false;
  Of.HeadroomLeft_.clear();
  internal::UseByImage Use;
  for (const RunEntry *Each : Of.Runs_)
    if (Each->Step_->Spec_->BestEffort_)
      Use[Each->Step_->Image_] +=
          fullUse(*Each->Step_, Of) *
          (Each->Pace_ == internal::UnknownPace ? FullPace : Each->Pace_) /
          FullPace;
  for (const RunEntry *Served : Of.Runs_) {
    if (Served->Step_->Spec_->TailTarget_.count() <= 0)
      continue;
    internal::ImageNumber Image = Served->Step_->Image_;
    double Left = Served->OwnHeadroom_.value_or(StartHeadroom) - StartHeadroom -
                  Pressure_.taken(Use, Image);
    auto Known = std::find_if(Of.HeadroomLeft_.begin(), Of.HeadroomLeft_.end(),
                              [&](const auto &E) { return E.first == Image; });
    if (Known == Of.HeadroomLeft_.end())
      Of.HeadroomLeft_.emplace_back(Image, Left);
    else
      Known->second = std::min(Known->second, Left);
  }
}

// Calls Function with the headroom left for each serving image on a worker and
// what a task of this step would take from it at full pace.
template <typename Visit>
void Coordinator::Impl::visitHeadroom(const StepEntry &Step, WorkerEntry &On,
                                      Visit Function) const {
  if (On.HeadroomStale_)
    refreshHeadroom(On);
  for (const auto &[Image, Left] : On.HeadroomLeft_)
    Function(Left, Pressure_.pressure(Step.Image_, Image) * fullUse(Step, On));
}

// Share of its full speed at which a task of this step could work on a worker
// now, so that every serving task keeps its headroom.
double Coordinator::Impl::possiblePace(const StepEntry &Step,
                                       WorkerEntry &On) const {
  double Least = 1;
  visitHeadroom(Step, On, [&](double Left, double Taken) {
    if (Taken > 0)
      Least = std::min(Least, Left / Taken);
  });
  return Least;
}

// Least headroom, up to MaxSlack, that serving tasks would have left above
// what a start needs.
double Coordinator::Impl::slackBeside(const StepEntry &Step,
                                      WorkerEntry &On) const {
  double Least = MaxSlack;
  visitHeadroom(Step, On, [&](double Left, double Taken) {
    Least = std::min(Least, Left - Taken);
  });
  return std::max(0.0, Least);
}

void Coordinator::Impl::setPace(RunEntry &Which, int Percent) {
  if (Which.PaceInFlight_)
    return;
  Which.PaceInFlight_ = true;
  WorkerEntry &On = *Which.Worker_;
  base::logEvent(base::LogLevel::Debug, "task-paced",
                 {{"task", taskName({Which.Job_->Id_, Which.At_})},
                  {"worker", On.Info_.Id_},
                  {"from", Which.Pace_},
                  {"to", Percent}});
  Port_.pace(
      addressOf(On),
      {{Which.Job_->Id_, Which.At_}, Which.Number_, Percent, Settings_.Term_},
      [Weak = weak_from_this(), Serial = Which.Serial_,
       Percent](const OrderReply &Reply) {
        auto Self = Weak.lock();
        RunEntry *Of = Self ? Self->findRun(Serial) : nullptr;
        if (Of == nullptr)
          return;
        Of->PaceInFlight_ = false;
        if (Reply.Status_ == OrderStatus::Accepted) {
          // The time at the old pace says nothing about a stall.
          Of->ProgressAt_ = Self->now();
          Of->Pace_ = Percent;
          if (Percent >= HeldBackPace)
            Of->HeldBackSince_.reset();
          else if (!Of->HeldBackSince_)
            Of->HeldBackSince_ = Self->now();
          Of->Worker_->HeadroomStale_ = true;
        } else if (Reply.Status_ == OrderStatus::Fenced) {
          Self->fenced("pace", *Of->Worker_);
        }
      });
}

bool Coordinator::Impl::isHeldBack(const RunEntry &Which,
                                   base::TimePoint Now) const {
  if (Which.Phase_ != RunPhase::Running || !Which.HeldBackSince_ ||
      Now - *Which.HeldBackSince_ < HeldBackTime ||
      !isReachable(*Which.Worker_))
    return false;
  const TaskEntry &Of = Which.Step_->Tasks_[Which.At_.Index_];
  const StepSpec &Spec = *Which.Step_->Spec_;
  // A stop would end the others of a gang, and count against the budget of a
  // long-running step.
  return !Spec.Gang_ && !Spec.LongRunning_ && Of.Escapes_ < MaxEscapes &&
         Of.Runs_.size() == 1 &&
         (Spec.Checkpoints_ || Which.Percent_ <= LosablePercent);
}

// A task that its neighbours hold back would wait until they leave, so it goes
// where it can work.
void Coordinator::Impl::moveThrottledRuns() {
  base::TimePoint Now = now();
  std::vector<uint64_t> Held;
  for (auto &[Serial, Each] : Runs_)
    if (isHeldBack(*Each, Now))
      Held.push_back(Serial);
  int Moves = 0;
  for (uint64_t Serial : Held) {
    RunEntry *Which = findRun(Serial);
    if (Which == nullptr || Moves >= MaxMovesPerPass)
      continue;
    ++Moves;
    TaskEntry &Of = Which->Step_->Tasks_[Which->At_.Index_];
    if (chooseWorker(*Which->Step_, Of, "") == nullptr)
      continue;
    ++Of.Escapes_;
    Of.AvoidWorker_ = Which->Worker_->Info_.Id_;
    requestStop(*Which, "held-back");
  }
}

} // namespace crocuslead::jobs
