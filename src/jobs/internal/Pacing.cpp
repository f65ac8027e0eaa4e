#include "jobs/internal/Impl.h"

#include "base/Log.h"

#include <algorithm>

namespace crocuslead::jobs {

namespace {

// Tail against its target at which best-effort neighbours slow down, and below
// which they speed up again.
constexpr double SlowDownAt = 0.9;
constexpr double SpeedUpBelow = 0.6;
constexpr int SpeedUpStep = 25;
constexpr int FullPace = 100;
constexpr int LowestPace = 10;
// Shares of the idle CPU offered to best-effort tasks.
constexpr double LeastShare = 0.1;
constexpr double ShareCut = 0.75;
constexpr double ShareGain = 0.05;

} // namespace

// Best-effort neighbours are slowed down as soon as a tail nears its target,
// and stand still before the time for which the platform tolerates it is over.
void Coordinator::Impl::protectTails(Worker &At) {
  double Worst = 0;
  base::Duration Longest{};
  for (Run *Each : At.Runs_) {
    base::Duration Target = Each->Step_->Spec_->TailTarget_;
    if (Target.count() <= 0 || Each->Phase_ != RunPhase::Running)
      continue;
    double Ratio = Each->Load_ / static_cast<double>(base::toMillis(Target));
    Worst = std::max(Worst, Ratio);
    if (Ratio <= 1) {
      Each->OverTargetSince_.reset();
      continue;
    }
    if (!Each->OverTargetSince_)
      Each->OverTargetSince_ = now();
    Longest = std::max(Longest, now() - *Each->OverTargetSince_);
  }
  if (Worst > SlowDownAt)
    At.BestEffortShare_ = std::max(LeastShare, At.BestEffortShare_ * ShareCut);
  else if (Worst < SpeedUpBelow)
    At.BestEffortShare_ = std::min(1.0, At.BestEffortShare_ + ShareGain);
  bool Urgent = Longest > Settings_.Times_.TailGrace_ / 4;
  for (Run *Each : std::vector<Run *>(At.Runs_)) {
    if (!Each->Step_->Spec_->BestEffort_ || Each->Phase_ != RunPhase::Running)
      continue;
    int Wanted = Each->Pace_;
    if (Worst > SlowDownAt)
      Wanted = Urgent ? 0
                      : std::max(LowestPace, static_cast<int>(Each->Pace_ *
                                                              SlowDownAt /
                                                              Worst));
    else if (Worst < SpeedUpBelow)
      Wanted = std::min(FullPace, Each->Pace_ + SpeedUpStep);
    if (Wanted != Each->Pace_)
      setPace(*Each, Wanted);
  }
}

void Coordinator::Impl::setPace(Run &Which, int Percent) {
  if (Which.PaceInFlight_)
    return;
  Which.PaceInFlight_ = true;
  Worker &On = *Which.Worker_;
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
        Run *Of = Self ? Self->findRun(Serial) : nullptr;
        if (Of == nullptr)
          return;
        Of->PaceInFlight_ = false;
        if (Reply.Status_ == OrderStatus::Accepted)
          Of->Pace_ = Percent;
        else if (Reply.Status_ == OrderStatus::Fenced)
          Self->fenced("pace", *Of->Worker_);
      });
}

} // namespace crocuslead::jobs
