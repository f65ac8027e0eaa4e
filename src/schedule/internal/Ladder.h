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
class Ladder {
public:
  //! Evicts a task unless it is protected; false when it is.
  using Evict = std::function<bool(Occupant &)>;

  //! Learns from a measurement and counts it towards the next step.
  void report(const TaskUsage &Usage, const Occupant &Victim,
              Interference &Estimates);
  //! Appends at most Budget throttle decisions and evictions.
  void step(Fleet &Workers, const Interference &Estimates, base::TimePoint Now,
            std::size_t Budget, const Evict &TryEvict,
            std::vector<Decision> &Out);
  void noteRelease(TaskNumber Task, WorkerNumber Place);
  void forget(WorkerNumber Worker) { States_.erase(Worker); }

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
    TaskNumber Helped_ = 0;
    //! Throttled tasks, newest last.
    std::vector<TaskNumber> Throttled_;
  };

  void noteLag(base::TimePoint Now);
  static bool isGone(const State &Of, const Worker &Target, Fleet &Workers);
  bool stepWorker(State &Of, Worker &Target, Fleet &Workers,
                  const Interference &Estimates, const Evict &TryEvict,
                  std::vector<Decision> &Out) const;
  bool stepUp(State &Of, Worker &Target, const Occupant &Victim,
              const Interference &Estimates, const Evict &TryEvict,
              std::vector<Decision> &Out) const;
  bool stepDown(State &Of, Fleet &Workers, std::vector<Decision> &Out) const;

  std::map<WorkerNumber, State> States_;
  std::set<WorkerNumber> Due_;
  base::Duration Lag_{};
  bool Reported_ = false;
  base::TimePoint NewestMeasured_;
};

} // namespace crocuslead::schedule::internal
