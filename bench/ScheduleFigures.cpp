#include "Figures.h"
#include "ScheduleWork.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <malloc.h>

namespace crocuslead::bench {

namespace {

using Stopwatch = std::chrono::steady_clock;
using schedule::DecisionKind;

constexpr std::size_t TargetWorkers = 1100;
constexpr double TargetStartsPerSecond = 350;
constexpr std::chrono::milliseconds Tick(100);

double microsSince(Stopwatch::time_point From) {
  return std::chrono::duration<double, std::micro>(Stopwatch::now() - From)
      .count();
}

double quantile(std::vector<double> Values, double Q) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  auto Last = static_cast<double>(Values.size() - 1);
  return Values[static_cast<std::size_t>(Q * Last)];
}

std::string named(const char *Base, std::size_t Workers) {
  return std::string("schedule.") + Base + ".workers_" +
         std::to_string(Workers);
}

struct Cost {
  std::vector<double> PerDecision_;
  double PlanMicros_ = 0;
  double AllMicros_ = 0;
  std::size_t Starts_ = 0;
  std::size_t Decisions_ = 0;
  double SimulatedSeconds_ = 0;
};

//! Steady churn at the given rate on a full-size fleet; measures the planner's
//! time alone.
Cost measureChurn(std::size_t Workers, double StartsPerSecond, int Ticks) {
  Work Bed({}, Workers, Seed);
  Bed.fill();
  Bed.learn();
  auto PerTick = StartsPerSecond * base::toSeconds(Tick);
  double Due = 0;
  Cost Result;
  for (int I = 0; I < Ticks; ++I) {
    Due += PerTick;
    auto Count = static_cast<std::size_t>(Due);
    Due -= static_cast<double>(Count);
    auto Began = Stopwatch::now();
    Bed.churn(Count);
    auto Planned = Stopwatch::now();
    auto Made = Bed.plan();
    double Micros = microsSince(Planned);
    Result.AllMicros_ += microsSince(Began);
    Result.PlanMicros_ += Micros;
    Result.Decisions_ += Made.size();
    for (const auto &Each : Made)
      Result.Starts_ += Each.Kind_ == DecisionKind::Start ? 1 : 0;
    if (!Made.empty())
      Result.PerDecision_.push_back(Micros / static_cast<double>(Made.size()));
    Bed.settle(Made);
    Bed.advance(Tick);
    Result.SimulatedSeconds_ += base::toSeconds(Tick);
  }
  return Result;
}

void costFigures(std::size_t Workers) {
  // The rate grows with the fleet.
  double Rate = TargetStartsPerSecond * static_cast<double>(Workers) /
                static_cast<double>(TargetWorkers);
  Cost Run = measureChurn(Workers, Rate, 600);
  emit({named("decision_p50", Workers), quantile(Run.PerDecision_, 0.5), "us",
        std::nullopt, Better::Lower, std::nullopt, ""});
  emit({named("decision_p99", Workers), quantile(Run.PerDecision_, 0.99), "us",
        std::nullopt, Better::Lower, std::nullopt, ""});
  emit({named("decisions_per_second", Workers),
        static_cast<double>(Run.Decisions_) / Run.PlanMicros_ * 1e6, "1/s",
        std::nullopt, Better::Higher, std::nullopt, ""});
  emit({named("starts_per_simulated_second", Workers),
        static_cast<double>(Run.Starts_) / Run.SimulatedSeconds_, "1/s", Rate,
        Better::Higher, std::nullopt, ""});
  double Part = Run.AllMicros_ / 1e6 / Run.SimulatedSeconds_;
  std::optional<double> Target;
  if (Workers == TargetWorkers)
    Target = 0.10;
  emit({named("core_part", Workers), Part, "core", Target, Better::Lower,
        std::nullopt, ""});
}

//! One plan with 20,000 waiting tasks that fit nowhere, of 400 shapes.
void blockedFigure() {
  Work Bed({}, TargetWorkers, Seed);
  Bed.fill();
  Bed.learn();
  Bed.addOversized(20000, 400);
  Bed.plan();
  std::vector<double> Micros;
  for (int I = 0; I < 200; ++I) {
    Bed.churn(35);
    auto Began = Stopwatch::now();
    auto Made = Bed.plan();
    Micros.push_back(microsSince(Began));
    Bed.settle(Made);
    Bed.advance(Tick);
  }
  emit({"schedule.plan_with_20000_blocked_p50", quantile(Micros, 0.5), "us",
        std::nullopt, Better::Lower, std::nullopt, ""});
  emit({"schedule.plan_with_20000_blocked_p99", quantile(Micros, 0.99), "us",
        std::nullopt, Better::Lower, std::nullopt, ""});
}

//! Cancels 5,000 waiting tasks at once.
void cancelFigure() {
  schedule::Planner Plan;
  constexpr schedule::TaskNumber Tasks = 5000;
  for (schedule::TaskNumber I = 1; I <= Tasks; ++I) {
    schedule::PendingTask Task;
    Task.Task_ = I;
    Task.Workspace_ = static_cast<schedule::WorkspaceNumber>(I % 140);
    Task.Request_ = {static_cast<int64_t>(250 * (I % 11)), 1024, 0};
    Plan.addPending(Task);
  }
  auto Began = Stopwatch::now();
  for (schedule::TaskNumber I = 1; I <= Tasks; ++I)
    Plan.removePending(I);
  emit({"schedule.cancel_5000_waiting", microsSince(Began) / 1000, "ms",
        std::nullopt, Better::Lower, std::nullopt, ""});
}

void memoryFigure() {
  Work Bed({}, TargetWorkers, Seed);
  Bed.fill();
  auto Tasks = Bed.running();
  auto Before = mallinfo2().uordblks;
  schedule::Planner Plan;
  for (const auto &Info : Bed.workers())
    Plan.upsertWorker(Info);
  auto Empty = mallinfo2().uordblks;
  for (const auto &Task : Tasks)
    Plan.allocate(Task);
  auto Filled = mallinfo2().uordblks;
  auto Kib = [](std::size_t From, std::size_t To) {
    return static_cast<double>(To - From) / 1024;
  };
  emit({"schedule.memory_per_1000_tasks",
        Kib(Empty, Filled) * 1000 / static_cast<double>(Tasks.size()), "KiB",
        std::nullopt, Better::Lower, std::nullopt, ""});
  emit({"schedule.memory_without_tasks.workers_1100", Kib(Before, Empty), "KiB",
        std::nullopt, Better::Lower, std::nullopt, ""});
}

//! Urgent tasks arrive at 50/s while 5,000 running and waiting tasks are
//! cancelled in one wave, at most 200 for each tick as the partition does.
void waveFigures() {
  Work Bed({}, TargetWorkers, Seed);
  Bed.fill();
  Bed.learn();
  Bed.addWaiting(5000);
  std::vector<double> WallMicros;
  for (int I = 0; I < 300; ++I) {
    Bed.churn(30);
    Bed.addUrgent(5);
    auto Began = Stopwatch::now();
    if (I >= 50)
      Bed.cancel(I < 75 ? 200 : 0);
    auto Made = Bed.plan();
    WallMicros.push_back(microsSince(Began));
    Bed.settle(Made);
    Bed.advance(Tick);
  }
  emit({"schedule.urgent_start_delay_p99", Bed.urgentDelay(0.99), "s", 1.5,
        Better::Lower, std::nullopt, ""});
  emit({"schedule.urgent_not_started", static_cast<double>(Bed.urgentWaiting()),
        "tasks", 0.0, Better::Lower, std::nullopt, ""});
  emit({"schedule.wave_tick_p50", quantile(WallMicros, 0.5), "us", std::nullopt,
        Better::Lower, std::nullopt, ""});
  emit({"schedule.wave_tick_p99", quantile(WallMicros, 0.99), "us",
        std::nullopt, Better::Lower, std::nullopt, ""});
}

struct Quality {
  double Evictions_ = 0;
  double Reclaims_ = 0;
  double InterferenceStops_ = 0;
  double BatchHours_ = 0;
  double LostHours_ = 0;
  double Slowdown_ = 0;
  double SlowdownP99_ = 0;
};

//! Two simulated hours with shifting demand of 140 workspaces.
Quality simulate(schedule::PlannerPolicy Policy) {
  Work Bed(Policy, 275, Seed);
  Bed.fill();
  constexpr std::chrono::seconds Step(2);
  for (int I = 0; I < 3600; ++I) {
    Bed.shiftDemand(I);
    Bed.settle(Bed.plan());
    Bed.advance(Step);
    Bed.work(Step);
  }
  auto For = [&](schedule::Reason Why) {
    return static_cast<double>(Bed.evictionsFor(Why));
  };
  return {static_cast<double>(Bed.evictions()),
          For(schedule::Reason::ReclaimedShare),
          For(schedule::Reason::Interference),
          Bed.batchHours(),
          Bed.lostHours(),
          Bed.meanSlowdown(),
          Bed.slowdownQuantile(0.99)};
}

void qualityFigures() {
  schedule::PlannerPolicy Fair;
  Fair.DominantResourceFairness_ = true;
  schedule::PlannerPolicy Blind;
  Blind.IgnoreInterference_ = true;
  Quality Ours = simulate({});
  Quality OfFair = simulate(Fair);
  Quality OfBlind = simulate(Blind);
  auto Against = [](const char *Name, double Value, const char *Unit,
                    Better Which, double Baseline, const char *Of) {
    emit({std::string("schedule.") + Name, Value, Unit, std::nullopt, Which,
          Baseline, Of});
  };
  Against("evictions", Ours.Evictions_, "tasks", Better::Lower,
          OfFair.Evictions_, "drf");
  Against("evictions_to_reclaim", Ours.Reclaims_, "tasks", Better::Lower,
          OfFair.Reclaims_, "drf");
  Against("evictions_for_interference", Ours.InterferenceStops_, "tasks",
          Better::Lower, OfFair.InterferenceStops_, "drf");
  Against("batch_throughput", Ours.BatchHours_, "core-h", Better::Higher,
          OfFair.BatchHours_, "drf");
  Against("batch_work_lost", Ours.LostHours_, "core-h", Better::Lower,
          OfFair.LostHours_, "drf");
  Against("latency_critical_slowdown_mean", Ours.Slowdown_, "ratio",
          Better::Lower, OfBlind.Slowdown_, "interference-blind");
  Against("latency_critical_slowdown_p99", Ours.SlowdownP99_, "ratio",
          Better::Lower, OfBlind.SlowdownP99_, "interference-blind");
  Against("batch_throughput_aware", Ours.BatchHours_, "core-h", Better::Higher,
          OfBlind.BatchHours_, "interference-blind");
}

} // namespace

void scheduleFigures() {
  for (std::size_t Workers : {110, 1100, 11000})
    costFigures(Workers);
  blockedFigure();
  cancelFigure();
  memoryFigure();
  waveFigures();
  qualityFigures();
}

} // namespace crocuslead::bench
