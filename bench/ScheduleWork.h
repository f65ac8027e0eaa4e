#pragma once

#include "base/Random.h"
#include "schedule/Planner.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <unordered_map>
#include <vector>

namespace crocuslead::bench {

//! Seeded work for one planner that holds a whole fleet, on simulated time.
class Work {
public:
  //! Sizes follow the requirements: per 1,100 workers 5,300 latency-critical
  //! and 7,600 batch tasks of 140 workspaces.
  Work(schedule::PlannerPolicy Policy, std::size_t Workers, uint64_t Seed);

  //! Starts the full number of tasks.
  void fill();
  void learn();
  //! Ends some batch tasks and adds as many, one in ten urgent.
  void churn(std::size_t Count);
  void addUrgent(std::size_t Count);
  void addWaiting(std::size_t Count);
  //! Adds tasks that fit nowhere at the time, of a workspace without a share.
  void addOversized(std::size_t Count, std::size_t Shapes);
  //! Cancels tasks: half of them waiting, half running.
  void cancel(std::size_t Count);
  std::vector<schedule::Decision> plan() { return Plan_.plan(Now_, 5000); }
  //! Applies decisions; an evicted task ends 2 s later and waits again.
  void settle(const std::vector<schedule::Decision> &Made);
  void advance(base::Duration Step);

  //! Workspaces ask for batch capacity in turns of 10 min.
  void shiftDemand(int Step);
  //! Lets tasks progress at the speed that their neighbours leave them and
  //! reports it 10 s late, every 20 s for each worker.
  void work(base::Duration Step);

  //! A copy of the running tasks, for a planner of its own.
  std::vector<schedule::RunningTask> running() const;
  const std::vector<schedule::WorkerInfo> &workers() const { return Infos_; }
  double urgentDelay(double Quantile) const;
  std::size_t urgentWaiting() const { return UrgentWaiting_; }
  std::size_t evictions() const { return Evictions_; }
  std::size_t evictionsFor(schedule::Reason Why) const {
    return EvictionsFor_[static_cast<std::size_t>(Why)];
  }
  double batchHours() const { return BatchSeconds_ / 3600; }
  double lostHours() const { return LostSeconds_ / 3600; }
  double meanSlowdown() const;
  double slowdownQuantile(double Quantile) const;

private:
  struct Running {
    schedule::PendingTask Task_;
    schedule::WorkerNumber Worker_ = 0;
    std::size_t Slot_ = 0;
    double Throttle_ = 0;
    bool Ending_ = false;
  };
  //! Work of a batch task, kept over evictions, in seconds at full speed.
  struct Progress {
    double Total_ = 0;
    double Done_ = 0;
    double Saved_ = 0;
    base::TimePoint SavedAt_;
  };
  struct LateReport {
    base::TimePoint At_;
    schedule::TaskUsage Usage_;
  };

  schedule::PendingTask makeTask(schedule::TaskClass Class);
  void submit(const schedule::PendingTask &Task);
  void begin(const schedule::Decision &Made);
  void finish(schedule::TaskNumber Task);
  double slowdownOf(const Running &Task) const;
  void progress(Running &Task, double Seconds, double Slowdown);

  base::Random Source_;
  schedule::Planner Plan_;
  std::size_t Workers_;
  std::vector<schedule::WorkerInfo> Infos_;
  base::TimePoint Now_{std::chrono::hours(1)};
  base::Resources Fleet_;
  std::vector<double> Shares_;
  schedule::TaskNumber Next_ = 1;
  std::unordered_map<schedule::TaskNumber, schedule::PendingTask> Waiting_;
  std::vector<schedule::TaskNumber> WaitingOrder_;
  std::unordered_map<schedule::TaskNumber, Running> Running_;
  std::vector<schedule::TaskNumber> BatchOrder_;
  std::vector<std::vector<schedule::TaskNumber>> OnWorker_;
  std::unordered_map<schedule::TaskNumber, Progress> Progress_;
  std::deque<std::pair<base::TimePoint, schedule::TaskNumber>> Ends_;
  std::deque<LateReport> Reports_;
  std::vector<std::size_t> WaitingOf_;
  std::vector<std::vector<double>> Truth_;
  std::vector<double> Delays_;
  std::size_t UrgentWaiting_ = 0;
  std::size_t Evictions_ = 0;
  std::array<std::size_t, 16> EvictionsFor_{};
  double BatchSeconds_ = 0;
  double LostSeconds_ = 0;
  std::vector<std::size_t> Slowdowns_;
  double SlowdownSum_ = 0;
  uint64_t Round_ = 0;
};

} // namespace crocuslead::bench
