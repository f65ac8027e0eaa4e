#pragma once

#include "schedule/internal/Fleet.h"
#include "schedule/internal/Interference.h"

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace crocuslead::schedule::internal {

//! Limits interference on each worker. When a task is slowed down beyond its
//! bound, escalates against the batch task that slows it most: first throttles
//! it, then evicts it. Reverses throttles when the slowdown is gone. Several
//! reports in a row are required for a step in either direction (hysteresis).
class InterferenceController {
public:
  //! Evicts a task and returns true, or returns false when it is protected.
  using EvictFunction = std::function<bool(Allocation &)>;

  //! Updates the model with a measurement and counts it towards the next step.
  void report(const TaskUsage &Usage, const Allocation &Victim,
              InterferenceModel &Model);
  //! Appends at most Limit throttles and evictions to Decisions.
  void step(Fleet &Workers, const InterferenceModel &Model, base::TimePoint Now,
            std::size_t Limit, const EvictFunction &TryEvict,
            std::vector<Decision> &Decisions);
  void recordRelease(TaskNumber Task, WorkerNumber Worker);
  void reset(WorkerNumber Worker) { States_.erase(Worker); }

private:
  //! Consecutive reports of a victim since the last step on its worker.
  struct ReportCounts {
    int OverBound_ = 0;
    int UnderBound_ = 0;
    base::TimePoint LastMeasured_;
  };
  struct WorkerState {
    std::map<TaskNumber, ReportCounts> Victims_;
    base::TimePoint LastStep_;
    //! Victim for which the last escalation was made.
    TaskNumber LastVictim_ = 0;
    //! Throttled tasks, newest last.
    std::vector<TaskNumber> Throttled_;
  };

  void updateReportLag(base::TimePoint Now);
  static bool lastVictimLeft(const WorkerState &State, const Worker &W,
                             Fleet &Workers);
  bool stepWorker(WorkerState &State, Worker &W, Fleet &Workers,
                  const InterferenceModel &Model, const EvictFunction &TryEvict,
                  std::vector<Decision> &Decisions) const;
  bool escalate(WorkerState &State, Worker &W, const Allocation &Victim,
                const InterferenceModel &Model, const EvictFunction &TryEvict,
                std::vector<Decision> &Decisions) const;
  bool deescalate(WorkerState &State, Fleet &Workers,
                  std::vector<Decision> &Decisions) const;

  std::map<WorkerNumber, WorkerState> States_;
  //! Workers to consider in the next step().
  std::set<WorkerNumber> Due_;
  //! Estimated time from a measurement to the plan that uses it.
  base::Duration ReportLag_{};
  bool HasNewReports_ = false;
  base::TimePoint NewestMeasurement_;
};

} // namespace crocuslead::schedule::internal
