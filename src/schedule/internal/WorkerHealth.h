#pragma once

#include "schedule/internal/Worker.h"

#include <deque>
#include <map>
#include <set>
#include <vector>

namespace crocuslead::schedule::internal {

//! Quarantine of workers that fail every start. A job that fails on several
//! workers without a success anywhere does not count against workers.
class WorkerHealth {
public:
  //! Applies the outcome of a start; true when the worker's state changed.
  bool recordStart(Worker &Target, JobNumber Job, bool Succeeded,
                   base::TimePoint Now);
  //! The single admitted start of a quarantined worker was made.
  void recordProbe(Worker &Target, TaskNumber Task);
  //! A probe that ended without an outcome is repeated.
  void recordRelease(Worker &Target, TaskNumber Task);
  //! Workers whose next probe is due.
  std::vector<WorkerNumber> takeDueProbes(base::TimePoint Now);
  //! Clears what is known of a worker and returns it from quarantine.
  void reset(Worker &Target);

private:
  struct Record {
    //! Jobs of consecutive failures, newest last.
    std::deque<JobNumber> Failures_;
    TaskNumber Probe_ = 0;
    base::TimePoint ProbeAt_;
    base::Duration Delay_{};
  };

  bool failsEverywhere(JobNumber Job) const;
  bool isSuspect(const Record &Of) const;
  void recordJobFailure(JobNumber Job, WorkerNumber Worker);
  void schedule(Record &Of, WorkerNumber Worker, base::TimePoint At);

  std::map<WorkerNumber, Record> Records_;
  std::set<std::pair<base::TimePoint, WorkerNumber>> Probes_;
  //! Workers on which a job failed, while it has succeeded nowhere.
  std::map<JobNumber, std::set<WorkerNumber>> FailedJobs_;
  std::deque<JobNumber> FailedJobOrder_;
};

} // namespace crocuslead::schedule::internal
