#include "CoordinatorRig.h"

#include "Figures.h"

#include "platform/WorkerCalls.h"

#include <sys/resource.h>

namespace crocuslead::bench {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

//! The store has no other writer, so its revision never matters.
constexpr int64_t StoreRevision = 1;
constexpr auto Tick = milliseconds(10);
constexpr auto CommitTime = milliseconds(6);
constexpr auto RunLength = milliseconds(1500);
// Of the grown deployments: jobs of 2 steps of 20 tasks, and long-running ones.
constexpr uint32_t BatchWidth = 20;
constexpr uint32_t ServingWidth = 14;
constexpr double BatchJobsPerWorkerSecond = 0.045;
constexpr int WorkersPerServingJob = 3;
// More than a long-running task leaves of a worker.
constexpr int64_t WaitingMilliCpu = 15'900;
constexpr int64_t WaitingMilliCpuStep = 100;
constexpr int WaitingSizes = 8;
constexpr auto LongRunningStartTime = seconds(3);

jobs::CoordinatorSettings settings() {
  jobs::CoordinatorSettings Out;
  Out.Term_ = 65'536;
  Out.FirstToken_ = 1;
  return Out;
}

} // namespace

double threadCpuSeconds() {
  rusage Use{};
  ::getrusage(RUSAGE_THREAD, &Use);
  auto Seconds = [](const timeval &T) {
    return static_cast<double>(T.tv_sec) + static_cast<double>(T.tv_usec) / 1e6;
  };
  return Seconds(Use.ru_utime) + Seconds(Use.ru_stime);
}

CoordinatorRig::CoordinatorRig(int Workers, const CoordinatorLoad &Load)
    : Fleet_(Workers, RunLength, Load.LostRequests_), Random_(Seed),
      Client_(http::makePooledClient(Loop_)),
      Port_(platform::makeWorkerCalls(*Client_)), Timer_(Loop_),
      Coordinator_(settings(), *Port_, Clock_, Metrics_,
                   [this](const jobs::CommitBatch &Batch) { commit(Batch); }),
      WaitingJobs_(Load.WaitingJobs_),
      WaitingJobsAt_(Clock_.now() + LongRunningStartTime),
      JobsPerSecond_(BatchJobsPerWorkerSecond * Workers),
      NextJob_(Clock_.now() + seconds(1)) {
  jobs::FleetConfig Config;
  jobs::QueueConfig Queue;
  Queue.Name_ = "queue";
  Queue.Service_ = "service";
  Queue.MaxAttempts_ = 3;
  Queue.TargetFactor_ = 2;
  Queue.TargetOffset_ = seconds(1);
  Config.Queues_["queue"] = Queue;
  Coordinator_.setConfig(Config);
  Coordinator_.setWorkers(Fleet_.entries());
  Coordinator_.recover();
  for (int I = 0; I < Workers / WorkersPerServingJob / 2; ++I)
    submit(servingJob());
  for (int I = 0; I < Load.LongRunningTasks_; ++I)
    submit(longRunningJob(Workers), LongRunningJobPrefix);
  tick();
}

void CoordinatorRig::run(base::Duration Time) {
  Loop_.restart();
  Loop_.run_for(Time);
}

void CoordinatorRig::tick() {
  base::TimePoint Now = Clock_.now();
  for (; NextJob_ <= Now;
       NextJob_ += milliseconds(static_cast<int>(1000 / JobsPerSecond_)))
    submit(batchJob());
  for (; Now >= WaitingJobsAt_ && WaitingJobs_ > 0; --WaitingJobs_)
    submit(waitingJob(WaitingJobs_));
  Coordinator_.confirmTerm(Now, StoreRevision);
  Coordinator_.tick();
  Timer_.expires_after(Tick);
  Timer_.async_wait([this](const asio::error_code &Failure) {
    if (!Failure)
      tick();
  });
}

void CoordinatorRig::commit(const jobs::CommitBatch &Batch) {
  auto After = std::make_shared<asio::steady_timer>(Loop_, CommitTime);
  After->async_wait([this, After, Number = Batch.Number_](auto) {
    Coordinator_.commitDone(Number, jobs::CommitResult::Durable);
  });
}

void CoordinatorRig::submit(jobs::JobSpec Spec, std::string_view Prefix) {
  Coordinator_.addJob(std::string(Prefix) + std::to_string(NextId_++),
                      {"queue", std::move(Spec), Clock_.wallNow(), ""},
                      StoreRevision);
}

jobs::JobSpec CoordinatorRig::batchJob() {
  jobs::JobSpec Out;
  Out.Payload_ = std::string(300, 'x');
  for (uint32_t S = 0; S < 2; ++S) {
    jobs::StepSpec Step;
    Step.Count_ = BatchWidth;
    Step.Request_ = {1800, 3200, 0};
    Step.EstimatedDuration_ = RunLength;
    Step.BestEffort_ = true;
    Step.Checkpoints_ = true;
    Step.Image_ = "batch" + std::to_string(Random_.below(9));
    if (S > 0)
      Step.Dependencies_ = {0};
    Out.Steps_.push_back(Step);
  }
  return Out;
}

jobs::JobSpec CoordinatorRig::servingJob() {
  jobs::JobSpec Out;
  jobs::StepSpec Step;
  Step.Count_ = ServingWidth;
  Step.Request_ = {3200, 6400, 0};
  Step.EstimatedDuration_ = RunLength;
  Step.Image_ = "serving" + std::to_string(Random_.below(5));
  Step.TailLatencyTarget_ = seconds(50);
  Out.Steps_.push_back(Step);
  return Out;
}

jobs::JobSpec CoordinatorRig::longRunningJob(int Workers) {
  jobs::JobSpec Out;
  jobs::StepSpec Step;
  Step.Count_ = static_cast<uint32_t>(Workers);
  Step.MaxPerWorker_ = 1;
  Step.Request_ = {1000, 2000, 0};
  Step.EstimatedDuration_ = RunLength;
  Step.LongRunning_ = true;
  Out.Steps_.push_back(Step);
  return Out;
}

// Not tried in a pass are steps as large as one that found no worker, so the
// smaller ones come later.
jobs::JobSpec CoordinatorRig::waitingJob(int Number) {
  jobs::JobSpec Out;
  jobs::StepSpec Step;
  Step.Request_ = {WaitingMilliCpu - WaitingMilliCpuStep *
                                         (WaitingSizes - Number % WaitingSizes),
                   2000, 0};
  Step.EstimatedDuration_ = RunLength;
  Out.Steps_.push_back(Step);
  return Out;
}

} // namespace crocuslead::bench
