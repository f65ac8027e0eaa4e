#include "schedule/internal/InterferenceController.h"

#include <algorithm>

namespace crocuslead::schedule::internal {

namespace {

// Slowdowns that are tolerated.
constexpr double LatencyCriticalBound = 1.3;
constexpr double BatchBound = 2.0;
// A throttle is reversed only below this fraction of the bound.
constexpr double ReverseFraction = 0.8;
constexpr int ReportsToEscalate = 2;
constexpr int ReportsToReverse = 3;
constexpr int ThrottlePercent = 50;
// A neighbour is held responsible only if it causes an estimated slowdown above
// this.
constexpr double MinThrottleSlowdown = 0.05;
// An eviction must remove at least this much estimated slowdown to be worth the
// work that it costs.
constexpr double MinEvictionGain = 0.1;
// Lower reported speeds are raised to this, which bounds the effect of a single
// report.
constexpr double MinSpeed = 0.1;

double boundOf(const Allocation &Victim) {
  return Victim.Run_.Task_.Class_ == TaskClass::LatencyCritical
             ? LatencyCriticalBound
             : BatchBound;
}

} // namespace

void InterferenceController::report(const TaskUsage &Usage,
                                    const Allocation &Victim,
                                    InterferenceModel &Model) {
  if (!HasNewReports_ || Usage.MeasuredAt_ > NewestMeasurement_)
    NewestMeasurement_ = Usage.MeasuredAt_;
  HasNewReports_ = true;
  // A throttled task is slow because of its throttle, not of its neighbours.
  if (Usage.Speed_ < 0 || Victim.Evicting_ || Victim.ThrottlePercent_ > 0 ||
      Usage.MeasuredAt_ < Victim.Run_.Started_)
    return;
  const Worker &W = *Victim.Worker_;
  auto StateIt = States_.find(W.Info_.Worker_);
  if (StateIt != States_.end() &&
      Usage.MeasuredAt_ <= StateIt->second.LastStep_)
    return;
  std::vector<InterferenceModel::Neighbour> Neighbours;
  for (const Allocation *Task : W.Tasks_) {
    if (Task == &Victim || Task->Run_.Started_ > Usage.MeasuredAt_)
      continue;
    double Weight = 1 - Task->ThrottlePercent_ / 100.0;
    auto SameKind =
        std::find_if(Neighbours.begin(), Neighbours.end(),
                     [&](auto &N) { return N.Kind_ == Task->Kind_; });
    if (SameKind == Neighbours.end())
      Neighbours.push_back({Task->Kind_, Weight});
    else
      SameKind->Weight_ += Weight;
  }
  double Slowdown = 1 / std::clamp(Usage.Speed_, MinSpeed, 1.0);
  Model.update(Victim.Kind_, Slowdown, Neighbours);
  double Bound = boundOf(Victim);
  if (StateIt == States_.end() && Slowdown <= Bound)
    return;
  TaskNumber Task = Usage.Task_;
  ReportCounts &Counts = States_[W.Info_.Worker_].Victims_[Task];
  if (Usage.MeasuredAt_ <= Counts.LastMeasured_)
    return;
  Counts.LastMeasured_ = Usage.MeasuredAt_;
  Counts.OverBound_ = Slowdown > Bound ? Counts.OverBound_ + 1 : 0;
  Counts.UnderBound_ =
      Slowdown < ReverseFraction * Bound ? Counts.UnderBound_ + 1 : 0;
  if (Counts.OverBound_ >= ReportsToEscalate ||
      Counts.UnderBound_ >= ReportsToReverse)
    Due_.insert(W.Info_.Worker_);
}

// Estimates the lag from the age of the newest report at the first plan after
// it.
void InterferenceController::updateReportLag(base::TimePoint Now) {
  if (!HasNewReports_)
    return;
  HasNewReports_ = false;
  auto Sample = std::max(base::Duration{}, Now - NewestMeasurement_);
  ReportLag_ = std::max(Sample, ReportLag_ * 9 / 10);
}

bool InterferenceController::escalate(WorkerState &State, Worker &W,
                                      const Allocation &Victim,
                                      const InterferenceModel &Model,
                                      const EvictFunction &TryEvict,
                                      std::vector<Decision> &Decisions) const {
  std::vector<std::pair<double, Allocation *>> Aggressors;
  for (Allocation *Task : W.Tasks_) {
    double Slowdown = Model.lowerBound(Task->Kind_, Victim.Kind_);
    if (Task != &Victim && !Task->Evicting_ && Slowdown > MinThrottleSlowdown &&
        Task->Run_.Task_.Class_ == TaskClass::Batch)
      Aggressors.emplace_back(Slowdown, Task);
  }
  std::sort(Aggressors.begin(), Aggressors.end(), [](auto &A, auto &B) {
    return A.first != B.first
               ? A.first > B.first
               : A.second->Run_.Task_.Task_ < B.second->Run_.Task_.Task_;
  });
  for (auto &[Slowdown, Task] : Aggressors) {
    if (Task->ThrottlePercent_ > 0) {
      double Gain = Slowdown * (1 - Task->ThrottlePercent_ / 100.0);
      if (Gain >= MinEvictionGain && TryEvict(*Task))
        return true;
      continue;
    }
    Task->ThrottlePercent_ = ThrottlePercent;
    State.Throttled_.push_back(Task->Run_.Task_.Task_);
    Decisions.push_back({DecisionKind::Throttle, Task->Run_.Task_.Task_,
                         W.Info_.Worker_, Reason::Interference, ThrottlePercent,
                         base::Resources{}});
    return true;
  }
  return false;
}

bool InterferenceController::deescalate(
    WorkerState &State, Fleet &Workers,
    std::vector<Decision> &Decisions) const {
  while (!State.Throttled_.empty()) {
    Allocation *Task = Workers.findTask(State.Throttled_.back());
    State.Throttled_.pop_back();
    if (Task == nullptr || Task->ThrottlePercent_ == 0 || Task->Evicting_)
      continue;
    Task->ThrottlePercent_ = 0;
    Decisions.push_back({DecisionKind::Throttle, Task->Run_.Task_.Task_,
                         Task->Worker_->Info_.Worker_, Reason::Interference, 0,
                         base::Resources{}});
    return true;
  }
  return false;
}

// Whether the victim of the last escalation is no longer on the worker.
bool InterferenceController::lastVictimLeft(const WorkerState &State,
                                            const Worker &W, Fleet &Workers) {
  const Allocation *Victim = Workers.findTask(State.LastVictim_);
  return Victim == nullptr || Victim->Worker_ != &W;
}

void InterferenceController::recordRelease(TaskNumber Task,
                                           WorkerNumber Worker) {
  auto It = States_.find(Worker);
  if (It == States_.end())
    return;
  It->second.Victims_.erase(Task);
  if (It->second.LastVictim_ == Task)
    Due_.insert(Worker);
}

bool InterferenceController::stepWorker(
    WorkerState &State, Worker &W, Fleet &Workers,
    const InterferenceModel &Model, const EvictFunction &TryEvict,
    std::vector<Decision> &Decisions) const {
  bool LastVictimRecovered = false;
  for (auto It = State.Victims_.begin(); It != State.Victims_.end();) {
    auto [Number, Counts] = *It;
    Allocation *Victim = Workers.findTask(Number);
    if (Victim == nullptr || Victim->Worker_ != &W) {
      It = State.Victims_.erase(It);
      continue;
    }
    if (Counts.OverBound_ >= ReportsToEscalate) {
      State.LastVictim_ = Number;
      return escalate(State, W, *Victim, Model, TryEvict, Decisions);
    }
    LastVictimRecovered =
        LastVictimRecovered ||
        (Number == State.LastVictim_ && Counts.UnderBound_ >= ReportsToReverse);
    ++It;
  }
  return (LastVictimRecovered || lastVictimLeft(State, W, Workers)) &&
         deescalate(State, Workers, Decisions);
}

void InterferenceController::step(Fleet &Workers,
                                  const InterferenceModel &Model,
                                  base::TimePoint Now, std::size_t Limit,
                                  const EvictFunction &TryEvict,
                                  std::vector<Decision> &Decisions) {
  updateReportLag(Now);
  std::size_t End = Decisions.size() + Limit;
  for (auto It = Due_.begin(); It != Due_.end() && Decisions.size() < End;) {
    Worker *W = Workers.find(*It);
    auto StateIt = States_.find(*It);
    if (W == nullptr || StateIt == States_.end()) {
      It = Due_.erase(It);
      continue;
    }
    WorkerState &State = StateIt->second;
    if (Now < State.LastStep_ + 2 * ReportLag_) {
      ++It;
      continue;
    }
    It = Due_.erase(It);
    if (!stepWorker(State, *W, Workers, Model, TryEvict, Decisions))
      continue;
    State.LastStep_ = Now;
    State.Victims_.clear();
    // A victim that left sends no more reports, so the next reversal is
    // requested here.
    if (!State.Throttled_.empty() && lastVictimLeft(State, *W, Workers))
      Due_.insert(W->Info_.Worker_);
  }
}

} // namespace crocuslead::schedule::internal
