#pragma once

#include "cluster/HttpInstanceList.h"
#include "cluster/HttpWorkerGateway.h"
#include "link/Link.h"
#include "store/EtcdStore.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace crocuslead::app {

//! Counters of the adapters of one instance.
struct ControlTraffic {
  std::shared_ptr<store::StoreCounters> Store_ =
      std::make_shared<store::StoreCounters>();
  std::shared_ptr<cluster::GatewayCounters> Workers_ =
      std::make_shared<cluster::GatewayCounters>();
  std::shared_ptr<cluster::ListCounters> List_ =
      std::make_shared<cluster::ListCounters>();
};

//! Bytes of one kind of traffic, sent and received, framing included: HTTP
//! headers, and WebSocket headers on the links; not TCP and IP.
struct ControlRow {
  std::string Kind_;
  //! Flows without work: renewals, polls, watches, pings, summaries.
  uint64_t Control_ = 0;
  //! Commits, commands to workers, claims, transfers, operator calls.
  uint64_t Work_ = 0;
  uint64_t Calls_ = 0;
};

std::vector<ControlRow> controlRows(const ControlTraffic &Traffic,
                                    const link::LinkCounters &Link);

} // namespace crocuslead::app
