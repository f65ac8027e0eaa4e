#pragma once

#include "schedule/internal/Worker.h"

#include <deque>
#include <map>
#include <set>
#include <vector>

namespace crocuslead::schedule::internal {

//! Quarantines workers on which every start fails, and probes them with single
//! starts. Failures of a job that fails on several workers and has succeeded on
//! none do not count against the workers.
class WorkerHealth {
public:
  //! Applies the outcome of a start; returns whether the worker's state
  //! changed.
  bool recordStart(Worker &W, JobNumber Job, bool Succeeded,
                   base::TimePoint Now);
  //! Records that the task was started as the probe of a quarantined worker.
  void recordProbe(Worker &W, TaskNumber Task);
  //! A probe that was released before its outcome was known is repeated.
  void recordRelease(Worker &W, TaskNumber Task);
  //! Returns the workers whose next probe is due.
  std::vector<WorkerNumber> takeDueProbes(base::TimePoint Now);
  //! Clears the records of a worker and its quarantine.
  void reset(Worker &W);

private:
  struct Record {
    //! Jobs of consecutive failures, newest last.
    std::deque<JobNumber> Failures_;
    //! Task that runs as the probe, 0 for none.
    TaskNumber Probe_ = 0;
    base::TimePoint ProbeAt_;
    //! Delay before the next probe.
    base::Duration Delay_{};
  };

  bool failsEverywhere(JobNumber Job) const;
  bool isSuspect(const Record &R) const;
  void recordJobFailure(JobNumber Job, WorkerNumber Worker);
  void scheduleProbe(Record &R, WorkerNumber Worker, base::TimePoint At);

  std::map<WorkerNumber, Record> Records_;
  std::set<std::pair<base::TimePoint, WorkerNumber>> Probes_;
  //! Workers on which a job failed, for jobs that have not succeeded anywhere.
  std::map<JobNumber, std::set<WorkerNumber>> FailedJobs_;
  std::deque<JobNumber> FailedJobOrder_;
};

} // namespace crocuslead::schedule::internal
