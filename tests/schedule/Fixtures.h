#pragma once

#include "schedule/Planner.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <vector>

namespace crocuslead::schedule::testing {

inline const base::TimePoint Start{std::chrono::hours(100)};

inline WorkerInfo worker(WorkerNumber Number, int64_t Cpu = 8000,
                         RackNumber Rack = 0, DomainNumber Domain = 0) {
  WorkerInfo Info;
  Info.Worker_ = Number;
  Info.Rack_ = Rack;
  Info.Domain_ = Domain;
  Info.Capacity_ = {Cpu, 4 * Cpu, 0};
  return Info;
}

inline PendingTask batch(TaskNumber Number, int64_t Cpu = 1000,
                         WorkspaceNumber Workspace = 1) {
  PendingTask Task;
  Task.Task_ = Number;
  Task.Job_ = Number;
  Task.Workspace_ = Workspace;
  Task.Request_ = {Cpu, Cpu, 0};
  Task.Submitted_ = Start;
  return Task;
}

inline PendingTask service(TaskNumber Number, JobNumber Job,
                           int64_t Cpu = 1000) {
  PendingTask Task = batch(Number, Cpu);
  Task.Job_ = Job;
  Task.Class_ = TaskClass::LatencyCritical;
  Task.Deferrable_ = false;
  Task.Kind_ = 7;
  return Task;
}

inline PendingTask urgent(TaskNumber Number, int64_t Cpu = 1000,
                          WorkspaceNumber Workspace = 1) {
  PendingTask Task = batch(Number, Cpu, Workspace);
  Task.Urgent_ = true;
  return Task;
}

inline std::vector<WorkspaceShare> shares(std::vector<double> AgreedShares) {
  std::vector<WorkspaceShare> Result;
  for (double AgreedShare : AgreedShares) {
    WorkspaceShare Share;
    Share.Workspace_ = static_cast<WorkspaceNumber>(Result.size() + 1);
    Share.AgreedShare_ = AgreedShare;
    Result.push_back(Share);
  }
  return Result;
}

inline std::vector<Decision> filterByKind(const std::vector<Decision> &All,
                                          DecisionKind Kind) {
  std::vector<Decision> Result;
  std::copy_if(All.begin(), All.end(), std::back_inserter(Result),
               [&](const Decision &D) { return D.Kind_ == Kind; });
  return Result;
}

//! Decision limit that no test reaches.
inline constexpr std::size_t NoLimit = 1000;

inline std::vector<Decision> starts(Planner &Plan, base::TimePoint Now) {
  return filterByKind(Plan.plan(Now, NoLimit), DecisionKind::Start);
}

inline std::vector<Decision> evictions(Planner &Plan, base::TimePoint Now) {
  return filterByKind(Plan.plan(Now, NoLimit), DecisionKind::Evict);
}

} // namespace crocuslead::schedule::testing
