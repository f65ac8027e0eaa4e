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

//! A coordinator at work for a fleet of stand-in workers over loopback, with
//! the load of the grown deployments: long-running jobs, and 1.8 starts of
//! short tasks per worker and second.
class CoordinatorRig {
public:
  explicit CoordinatorRig(int Workers);

  void run(base::Duration Time);
  //! HTTP exchanges with workers.
  uint64_t exchanges() const { return Client_->counters().Exchanges_; }
  uint64_t starts() const { return Coordinator_.stats().Starts_; }

private:
  void tick();
  void commit(const jobs::CommitBatch &Batch);
  void submit(jobs::JobSpec Spec);
  jobs::JobSpec batchJob();
  jobs::JobSpec servingJob();

  PlatformWorkers Fleet_;
  asio::io_context Loop_;
  base::SystemClock Clock_;
  base::MetricsRegistry Metrics_;
  base::Random Random_;
  std::unique_ptr<http::RequestClient> Client_;
  std::unique_ptr<jobs::WorkerPort> Port_;
  asio::steady_timer Timer_;
  jobs::Coordinator Coordinator_;
  double JobsPerSecond_;
  base::TimePoint NextJob_;
  int NextId_ = 0;
};

} // namespace crocuslead::bench
