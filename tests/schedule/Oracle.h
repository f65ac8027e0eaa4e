#pragma once

#include "Fixtures.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace crocuslead::schedule::testing {

//! A simple model of the rules; scans everything on each check.
class Oracle {
public:
  struct Running {
    RunningTask Run_;
    bool Evicting_ = false;
  };

  void setWorker(const WorkerInfo &Info) {
    Workers_[Info.Worker_] = Info;
    Removed_.erase(Info.Worker_);
  }
  //! Without tasks the worker is gone; otherwise it leaves.
  void removeWorker(WorkerNumber Worker) {
    Workers_[Worker].Leaving_ = true;
    Workers_[Worker].Schedulable_ = false;
    Removed_.insert(Worker);
    Streaks_.erase(Worker);
    Quarantined_.erase(Worker);
    Probes_.erase(Worker);
  }
  void recordStart(WorkerNumber Worker, JobNumber Job, bool Succeeded,
                   base::TimePoint Now);
  void release(TaskNumber Task) {
    Running_.erase(Task);
    for (auto &[Number, Probe] : Probes_)
      if (Probe == Task)
        Probe = 0;
  }
  //! Applies the decisions of one plan; returns the first broken rule.
  std::optional<std::string> apply(const std::vector<Decision> &Made,
                                   base::TimePoint Now, std::size_t Limit);
  base::Resources allocated(WorkerNumber Worker) const;

  std::map<WorkerNumber, WorkerInfo> Workers_;
  std::set<DomainNumber> Out_;
  std::set<WorkerNumber> Removed_;
  std::map<TaskNumber, PendingTask> Pending_;
  std::map<TaskNumber, Running> Running_;

private:
  using Broken = std::optional<std::string>;
  Broken applyStart(const Decision &Made, base::TimePoint Now);
  Broken applyEvict(const Decision &Made, base::TimePoint Now);
  Broken applyReject(const Decision &Made);
  Broken checkGangs(const std::vector<Decision> &Made) const;
  bool isDraining(const Running &Task) const;

  std::map<WorkerNumber, std::vector<JobNumber>> Streaks_;
  //! Quarantined workers with the earliest time of a probe.
  std::map<WorkerNumber, base::TimePoint> Quarantined_;
  std::map<WorkerNumber, TaskNumber> Probes_;
  std::map<JobNumber, std::set<WorkerNumber>> FailedOn_;
  std::map<TaskNumber, std::vector<base::TimePoint>> Evictions_;
};

} // namespace crocuslead::schedule::testing
