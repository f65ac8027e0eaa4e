#pragma once

#include "schedule/internal/Fleet.h"
#include "schedule/internal/Interference.h"

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace crocuslead::schedule::internal {

//! Steps against interference on each worker: throttle the worst batch
//! neighbour, then checkpoint and stop it; with hysteresis in both directions.
class InterferenceController {
public:
  //! Evicts a task unless it is protected; false when it is.
  using Evict = std::function<bool(Allocation &)>;

  //! Learns from a measurement and counts it towards the next step.
  void report(const TaskUsage &Usage, const Allocation &Victim,
              InterferenceModel &Estimates);
  //! Appends at most Budget throttle decisions and evictions.
  void step(Fleet &Workers, const InterferenceModel &Estimates,
            base::TimePoint Now, std::size_t Budget, const Evict &TryEvict,
            std::vector<Decision> &Out);
  void recordRelease(TaskNumber Task, WorkerNumber Place);
  void reset(WorkerNumber Worker) { States_.erase(Worker); }

private:
  struct Count {
    int Over_ = 0;
    int Under_ = 0;
    base::TimePoint LastMeasured_;
  };
  struct State {
    std::map<TaskNumber, Count> Victims_;
    base::TimePoint LastStep_;
    //! Victim of the last step.
    TaskNumber LastVictim_ = 0;
    //! Throttled tasks, newest last.
    std::vector<TaskNumber> Throttled_;
  };

  void updateReportLag(base::TimePoint Now);
  static bool lastVictimLeft(const State &Of, const Worker &Target,
                             Fleet &Workers);
  bool stepWorker(State &Of, Worker &Target, Fleet &Workers,
                  const InterferenceModel &Estimates, const Evict &TryEvict,
                  std::vector<Decision> &Out) const;
  bool escalate(State &Of, Worker &Target, const Allocation &Victim,
                const InterferenceModel &Estimates, const Evict &TryEvict,
                std::vector<Decision> &Out) const;
  bool deescalate(State &Of, Fleet &Workers, std::vector<Decision> &Out) const;

  std::map<WorkerNumber, State> States_;
  std::set<WorkerNumber> Due_;
  base::Duration ReportLag_{};
  bool HasNewReports_ = false;
  base::TimePoint NewestMeasurement_;
};

} // namespace crocuslead::schedule::internal
