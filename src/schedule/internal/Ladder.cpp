#include "schedule/internal/Ladder.h"

#include <algorithm>

namespace crocuslead::schedule::internal {

namespace {

constexpr double LatencyCriticalBound = 1.3;
constexpr double BatchBound = 2.0;
// A step is reversed only below this part of the bound.
constexpr double ReverseFraction = 0.8;
constexpr int ReportsToStep = 2;
constexpr int ReportsToReverse = 3;
constexpr int ThrottleLevel = 50;
// Estimated slowdown below which a neighbour is not held responsible.
constexpr double SmallestBlame = 0.05;
// Estimated slowdown that a stop must remove to be worth the work it costs.
constexpr double SmallestStopGain = 0.1;
// Speeds below this are taken as this; bounds a single report's effect.
constexpr double SlowestSpeed = 0.1;

double boundOf(const Allocation &Victim) {
  return Victim.Run_.Task_.Class_ == TaskClass::LatencyCritical
             ? LatencyCriticalBound
             : BatchBound;
}

} // namespace

void InterferenceController::report(const TaskUsage &Usage,
                                    const Allocation &Victim,
                                    InterferenceModel &Estimates) {
  if (!HasNewReports_ || Usage.MeasuredAt_ > NewestMeasurement_)
    NewestMeasurement_ = Usage.MeasuredAt_;
  HasNewReports_ = true;
  // A throttled task is slow by our own doing.
  if (Usage.Speed_ < 0 || Victim.Evicting_ || Victim.ThrottlePercent_ > 0 ||
      Usage.MeasuredAt_ < Victim.Run_.Started_)
    return;
  const Worker &Place = *Victim.Worker_;
  auto Known = States_.find(Place.Info_.Worker_);
  if (Known != States_.end() && Usage.MeasuredAt_ <= Known->second.LastStep_)
    return;
  std::vector<InterferenceModel::Neighbour> Neighbours;
  for (const Allocation *Each : Place.Tasks_) {
    if (Each == &Victim || Each->Run_.Started_ > Usage.MeasuredAt_)
      continue;
    double Weight = 1 - Each->ThrottlePercent_ / 100.0;
    auto Same = std::find_if(Neighbours.begin(), Neighbours.end(),
                             [&](auto &N) { return N.Kind_ == Each->Kind_; });
    if (Same == Neighbours.end())
      Neighbours.push_back({Each->Kind_, Weight});
    else
      Same->Weight_ += Weight;
  }
  double Slowdown = 1 / std::clamp(Usage.Speed_, SlowestSpeed, 1.0);
  Estimates.update(Victim.Kind_, Slowdown, Neighbours);
  double Bound = boundOf(Victim);
  if (Known == States_.end() && Slowdown <= Bound)
    return;
  TaskNumber Task = Usage.Task_;
  Count &Counts = States_[Place.Info_.Worker_].Victims_[Task];
  if (Usage.MeasuredAt_ <= Counts.LastMeasured_)
    return;
  Counts.LastMeasured_ = Usage.MeasuredAt_;
  Counts.Over_ = Slowdown > Bound ? Counts.Over_ + 1 : 0;
  Counts.Under_ = Slowdown < ReverseFraction * Bound ? Counts.Under_ + 1 : 0;
  if (Counts.Over_ >= ReportsToStep || Counts.Under_ >= ReportsToReverse)
    Due_.insert(Place.Info_.Worker_);
}

// The newest report's age at the first plan after it estimates the lag.
void InterferenceController::updateReportLag(base::TimePoint Now) {
  if (!HasNewReports_)
    return;
  HasNewReports_ = false;
  auto Sample = std::max(base::Duration{}, Now - NewestMeasurement_);
  ReportLag_ = std::max(Sample, ReportLag_ * 9 / 10);
}

bool InterferenceController::escalate(State &Of, Worker &Target,
                                      const Allocation &Victim,
                                      const InterferenceModel &Estimates,
                                      const Evict &TryEvict,
                                      std::vector<Decision> &Out) const {
  std::vector<std::pair<double, Allocation *>> Worst;
  for (Allocation *Each : Target.Tasks_) {
    double Blame = Estimates.lowerBound(Each->Kind_, Victim.Kind_);
    if (Each != &Victim && !Each->Evicting_ && Blame > SmallestBlame &&
        Each->Run_.Task_.Class_ == TaskClass::Batch)
      Worst.emplace_back(Blame, Each);
  }
  std::sort(Worst.begin(), Worst.end(), [](auto &A, auto &B) {
    return A.first != B.first
               ? A.first > B.first
               : A.second->Run_.Task_.Task_ < B.second->Run_.Task_.Task_;
  });
  for (auto &[Blame, Task] : Worst) {
    if (Task->ThrottlePercent_ > 0) {
      double Gain = Blame * (1 - Task->ThrottlePercent_ / 100.0);
      if (Gain >= SmallestStopGain && TryEvict(*Task))
        return true;
      continue;
    }
    Task->ThrottlePercent_ = ThrottleLevel;
    Of.Throttled_.push_back(Task->Run_.Task_.Task_);
    Out.push_back({DecisionKind::Throttle, Task->Run_.Task_.Task_,
                   Target.Info_.Worker_, Reason::Interference, ThrottleLevel,
                   base::Resources{}});
    return true;
  }
  return false;
}

bool InterferenceController::deescalate(State &Of, Fleet &Workers,
                                        std::vector<Decision> &Out) const {
  while (!Of.Throttled_.empty()) {
    Allocation *Task = Workers.findTask(Of.Throttled_.back());
    Of.Throttled_.pop_back();
    if (Task == nullptr || Task->ThrottlePercent_ == 0 || Task->Evicting_)
      continue;
    Task->ThrottlePercent_ = 0;
    Out.push_back({DecisionKind::Throttle, Task->Run_.Task_.Task_,
                   Task->Worker_->Info_.Worker_, Reason::Interference, 0,
                   base::Resources{}});
    return true;
  }
  return false;
}

// Whether the victim that the last step helped has left the worker.
bool InterferenceController::lastVictimLeft(const State &Of,
                                            const Worker &Target,
                                            Fleet &Workers) {
  const Allocation *Helped = Workers.findTask(Of.LastVictim_);
  return Helped == nullptr || Helped->Worker_ != &Target;
}

void InterferenceController::recordRelease(TaskNumber Task,
                                           WorkerNumber Place) {
  auto Known = States_.find(Place);
  if (Known == States_.end())
    return;
  Known->second.Victims_.erase(Task);
  if (Known->second.LastVictim_ == Task)
    Due_.insert(Place);
}

bool InterferenceController::stepWorker(State &Of, Worker &Target,
                                        Fleet &Workers,
                                        const InterferenceModel &Estimates,
                                        const Evict &TryEvict,
                                        std::vector<Decision> &Out) const {
  bool HelpedIsFine = false;
  for (auto It = Of.Victims_.begin(); It != Of.Victims_.end();) {
    auto [Number, Counts] = *It;
    Allocation *Victim = Workers.findTask(Number);
    if (Victim == nullptr || Victim->Worker_ != &Target) {
      It = Of.Victims_.erase(It);
      continue;
    }
    if (Counts.Over_ >= ReportsToStep) {
      Of.LastVictim_ = Number;
      return escalate(Of, Target, *Victim, Estimates, TryEvict, Out);
    }
    HelpedIsFine = HelpedIsFine || (Number == Of.LastVictim_ &&
                                    Counts.Under_ >= ReportsToReverse);
    ++It;
  }
  return (HelpedIsFine || lastVictimLeft(Of, Target, Workers)) &&
         deescalate(Of, Workers, Out);
}

void InterferenceController::step(Fleet &Workers,
                                  const InterferenceModel &Estimates,
                                  base::TimePoint Now, std::size_t Budget,
                                  const Evict &TryEvict,
                                  std::vector<Decision> &Out) {
  updateReportLag(Now);
  std::size_t Limit = Out.size() + Budget;
  for (auto It = Due_.begin(); It != Due_.end() && Out.size() < Limit;) {
    Worker *Target = Workers.find(*It);
    auto Known = States_.find(*It);
    if (Target == nullptr || Known == States_.end()) {
      It = Due_.erase(It);
      continue;
    }
    State &Of = Known->second;
    if (Now < Of.LastStep_ + 2 * ReportLag_) {
      ++It;
      continue;
    }
    It = Due_.erase(It);
    if (!stepWorker(Of, *Target, Workers, Estimates, TryEvict, Out))
      continue;
    Of.LastStep_ = Now;
    Of.Victims_.clear();
    // No report of a victim that left will ask for the next reversal.
    if (!Of.Throttled_.empty() && lastVictimLeft(Of, *Target, Workers))
      Due_.insert(Target->Info_.Worker_);
  }
}

} // namespace crocuslead::schedule::internal
