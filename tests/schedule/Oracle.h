#pragma once

#include "Fixtures.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace crocuslead::schedule::testing {

//! Simple reference model of the planner's rules. Not optimized: every check
//! scans the whole state.
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
  //! Marks the worker as leaving; the planner drains it if it has tasks.
  void removeWorker(WorkerNumber Worker) {
    Workers_[Worker].Leaving_ = true;
    Workers_[Worker].Schedulable_ = false;
    Removed_.insert(Worker);
    Failures_.erase(Worker);
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
  //! Applies the decisions of one plan and returns the first violated rule.
  std::optional<std::string> apply(const std::vector<Decision> &Decisions,
                                   base::TimePoint Now, std::size_t Limit);
  base::Resources allocated(WorkerNumber Worker) const;

  std::map<WorkerNumber, WorkerInfo> Workers_;
  std::set<DomainNumber> UnavailableDomains_;
  std::set<WorkerNumber> Removed_;
  std::map<TaskNumber, PendingTask> Pending_;
  std::map<TaskNumber, Running> Running_;

private:
  using Violation = std::optional<std::string>;
  Violation applyStart(const Decision &D, base::TimePoint Now);
  Violation applyEvict(const Decision &D, base::TimePoint Now);
  Violation applyReject(const Decision &D);
  Violation checkGangs(const std::vector<Decision> &Decisions) const;
  bool isDraining(const Running &Task) const;

  //! Jobs of consecutive failed starts on each worker.
  std::map<WorkerNumber, std::vector<JobNumber>> Failures_;
  //! Quarantined workers with the earliest time of the next probe.
  std::map<WorkerNumber, base::TimePoint> Quarantined_;
  //! Running probe of each quarantined worker, 0 for none.
  std::map<WorkerNumber, TaskNumber> Probes_;
  std::map<JobNumber, std::set<WorkerNumber>> FailedOn_;
  std::map<TaskNumber, std::vector<base::TimePoint>> Evictions_;
};

} // namespace crocuslead::schedule::testing
