#pragma once

#include "Observer.h"
#include "base/Clock.h"
#include "cluster/ReportDelta.h"
#include "http/Server.h"

#include <asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

namespace crocuslead::standins {

struct WorkerSpec {
  std::string Id_;
  std::string Domain_;
  std::string Region_;
  std::string Rack_;
  std::string Service_;
  base::Resources Capacity_;
  uint16_t Port_ = 0;
  int Slots_ = 8;
  int ServiceMs_ = 10;
};

//! Faults that a test switches on.
struct WorkerFaults {
  //! The machine is off: no task runs, connections are closed.
  bool Down_ = false;
  //! The network is cut: connections are closed, tasks go on until their lease
  //! ends.
  bool Cut_ = false;
  bool FailStarts_ = false;
  //! Service time of requests and speed of tasks, as a multiple.
  double SlowFactor_ = 1;
};

//! One worker: runs tasks under a lease (agent) and serves requests (upstream).
class WorkerStandin {
public:
  WorkerStandin(asio::io_context &Loop, WorkerSpec Spec, Observer &Watch);

  void handle(http::Request Request,
              const std::shared_ptr<http::Responder> &Out);
  //! Moves tasks forward, and ends them when the lease has ended.
  void advance();
  void setFaults(const nlohmann::json &Change);

  const WorkerSpec &spec() const { return Spec_; }
  nlohmann::json listEntry() const;
  nlohmann::json tasks() const;

private:
  struct Attempt {
    cluster::WorkerCommand Command_;
    cluster::AttemptState State_ = cluster::AttemptState::Running;
    double DoneMs_ = 0;
    double RunMs_ = 0;
    int ThrottlePercent_ = 0;
    base::TimePoint CheckpointDone_;
  };
  using AttemptKey = std::pair<std::string, uint32_t>;
  using Execute =
      cluster::CommandReply (WorkerStandin::*)(const cluster::WorkerCommand &);

  void agent(const http::Request &Request,
             const std::shared_ptr<http::Responder> &Out);
  void serve(http::Request Request,
             const std::shared_ptr<http::Responder> &Out);
  cluster::CommandReply start(const cluster::WorkerCommand &Command);
  cluster::CommandReply stop(const cluster::WorkerCommand &Command);
  cluster::CommandReply checkpointStop(const cluster::WorkerCommand &Command);
  cluster::CommandReply throttle(const cluster::WorkerCommand &Command);
  cluster::CommandReply forget(const cluster::WorkerCommand &Command);
  void end(Attempt &Target, cluster::AttemptState State, bool Checkpoint);
  base::Resources held() const;
  std::string incarnation() const;
  int64_t clockMs() const;
  cluster::AttemptReport report(const Attempt &Source) const;

  asio::io_context &Loop_;
  WorkerSpec Spec_;
  Observer &Watch_;
  base::SystemClock Clock_;
  WorkerFaults Faults_;
  std::map<AttemptKey, Attempt> Attempts_;
  int64_t HighestEpoch_ = 0;
  int64_t ReportSequence_ = 0;
  //! The latest report, which the next reply may refer to.
  cluster::ReportBase LastReport_;
  uint32_t Boots_ = 1;
  base::TimePoint LeaseEnd_;
  base::TimePoint LastAdvance_;
  int InFlight_ = 0;
};

} // namespace crocuslead::standins
