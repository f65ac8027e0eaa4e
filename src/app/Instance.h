#pragma once

#include "app/ClaimService.h"
#include "app/Context.h"
#include "app/ControlTraffic.h"
#include "app/OperatorApi.h"
#include "app/OwnershipProof.h"
#include "app/PartitionCalls.h"
#include "app/PartitionHost.h"
#include "app/PeerHub.h"
#include "app/RequestPath.h"
#include "app/StoreSession.h"
#include "base/Metrics.h"
#include "cluster/InstanceList.h"
#include "http/Client.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace crocuslead::app {

//! One serving process: all its parts on one event loop.
class Instance {
public:
  Instance(asio::io_context &Loop, const config::Settings &Settings,
           const base::Clock &Clock, uint64_t Seed);
  ~Instance();
  Instance(const Instance &) = delete;
  Instance &operator=(const Instance &) = delete;

  //! Opens the listeners and starts the timers; fails when an address cannot be
  //! bound.
  base::Result<void> open();
  //! Begins a planned stop: hands partitions over and finishes requests in
  //! progress, then calls Done. No request is cut, unless it outlives MaxDrain.
  void drain(std::function<void()> Done);

  static constexpr auto MaxDrain = std::chrono::minutes(10);

private:
  struct Timer;

  base::Result<void> openListeners();
  void every(base::Duration Interval, std::function<void()> Task);
  void fetchInstances();
  void applyInstances();
  void configChanged();
  void updateLive();
  void tickPeers();
  void sendLoad();
  void lendSlots();
  //! Whether this instance may grant claims on its partitions now.
  bool ownershipProven();
  void continueDrain();
  bool drainedForGood() const;
  void finishDrain();
  void received(const std::string &Peer, link::Message Message);
  void fetchAnswer(const std::string &Peer, const std::string &Key,
                   std::function<void(const http::Response *)> Done);
  CallAnswer answerCall(const std::string &Operation, const std::string &Body);
  std::vector<std::string> notReady() const;
  std::string metricsText();
  std::string dump();

  friend struct PeerMessageHandler;

  asio::io_context &Loop_;
  base::Random Random_;
  Context Shared_;
  base::MetricsRegistry Metrics_;
  ControlTraffic Traffic_;
  std::unique_ptr<http::Client> RequestClient_;
  std::unique_ptr<http::Client> ControlClient_;
  std::unique_ptr<store::KeyValueStore> Store_;
  std::unique_ptr<cluster::InstanceList> List_;
  std::unique_ptr<cluster::WorkerGateway> Workers_;
  StoreSession Session_;
  OwnershipProof Proof_;
  PeerHub Peers_;
  ClaimService Claims_;
  PartitionHost Host_;
  RequestPath Requests_;
  PartitionCalls Calls_;
  OperatorApi Operators_;
  std::unique_ptr<http::Server> CallerServer_;
  std::unique_ptr<http::Server> OperatorServer_;
  std::vector<std::unique_ptr<Timer>> Timers_;
  cluster::InstanceSnapshot Instances_;
  bool FetchingInstances_ = false;
  bool InstancesLoaded_ = false;
  struct AnswerCall {
    std::function<void(const http::Response *)> Done_;
    base::TimePoint Deadline_;
  };
  std::map<uint64_t, AnswerCall> AnswerCalls_;
  uint64_t NextAnswerCall_ = 1;
  base::TimePoint NextLoad_;
  base::TimePoint NextLoadCheck_;
  base::TimePoint NextPull_;
  std::string LastLoad_;
  bool Draining_ = false;
  bool AcceptingEnded_ = false;
  bool LeaseRevoked_ = false;
  base::TimePoint DrainStarted_;
  //! Since when nothing has been left to do in the drain.
  base::TimePoint QuietSince_;
  std::function<void()> DrainDone_;
  base::TimePoint Started_;
};

} // namespace crocuslead::app
