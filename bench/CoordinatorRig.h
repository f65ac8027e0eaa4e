#pragma once

#include "PlatformWorkers.h"

#include "base/Metrics.h"
#include "base/Random.h"
#include "http/Client.h"
#include "jobs/Coordinator.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <memory>

namespace crocuslead::bench {

//! Processor time that the calling thread has used, in seconds.
double threadCpuSeconds();

//! Load of a CoordinatorRig beside its short tasks.
struct CoordinatorLoad {
  //! Long-running tasks on each worker.
  int LongRunningTasks_ = 0;
  //! Jobs whose tasks no worker has room for, of several sizes. They come once
  //! the long-running tasks run.
  int WaitingJobs_ = 0;
  //! Share of the requests that workers neither carry out nor answer, from 0 to
  //! 1.
  double LostRequests_ = 0;
};

inline constexpr CoordinatorLoad BusyDay = {6, 40, 0.005};

//! A coordinator at work for a fleet of stand-in workers over loopback, with
//! the load of the grown deployments: serving jobs, and 1.8 starts of short
//! tasks per worker and second.
class CoordinatorRig {
public:
  explicit CoordinatorRig(int Workers, const CoordinatorLoad &Load = {});

  void run(base::Duration Time);
  jobs::CoordinatorStats stats() const { return Coordinator_.stats(); }
  //! HTTP exchanges with workers.
  uint64_t exchanges() const { return Client_->counters().Exchanges_; }
  uint64_t starts() const { return Coordinator_.stats().Starts_; }

private:
  void tick();
  void commit(const jobs::CommitBatch &Batch);
  void submit(jobs::JobSpec Spec, std::string_view Prefix = "job");
  jobs::JobSpec batchJob();
  jobs::JobSpec servingJob();
  static jobs::JobSpec longRunningJob(int Workers);
  static jobs::JobSpec waitingJob(int Number);

  PlatformWorkers Fleet_;
  asio::io_context Loop_;
  base::SystemClock Clock_;
  base::MetricsRegistry Metrics_;
  base::Random Random_;
  std::unique_ptr<http::RequestClient> Client_;
  std::unique_ptr<jobs::WorkerPort> Port_;
  asio::steady_timer Timer_;
  jobs::Coordinator Coordinator_;
  int WaitingJobs_;
  base::TimePoint WaitingJobsAt_;
  double JobsPerSecond_;
  base::TimePoint NextJob_;
  int NextId_ = 0;
};

} // namespace crocuslead::bench
