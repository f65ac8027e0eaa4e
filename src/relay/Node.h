#pragma once

#include "http/Client.h"
#include "http/Server.h"
#include "jobs/Election.h"
#include "jobs/PayloadCache.h"
#include "relay/HttpTransport.h"
#include "relay/PayloadPort.h"
#include "relay/Relay.h"
#include "relay/RelayedPort.h"

#include <asio/io_context.hpp>
#include <cstddef>
#include <optional>
#include <string>

namespace crocuslead::relay {

//! What an instance contributes to the requests to workers: it relays those of
//! a coordinator that leads elsewhere, and has those of its own coordinator
//! relayed.
class Node {
public:
  //! Workers are the direct calls. Incarnation differs in every process.
  Node(asio::io_context &Loop, jobs::WorkerPort &Workers,
       store::KeyValueStore &Store, const base::Clock &Clock,
       const std::string &Instance, const std::string &Incarnation,
       const RelayInfo &Info);

  //! For the coordinator of this instance.
  RelayedPort &port() { return Port_; }
  jobs::PayloadCache &payloads() { return Payloads_; }
  void tick(const jobs::Election &Leaders);
  //! Takes no further requests of other instances.
  void leave() { Relay_.leave(); }
  //! Relayed requests without a reply yet.
  std::size_t active() const { return Relay_.active(); }
  //! Answers a request of another instance; unset if it is none of its paths.
  std::optional<http::Response> handle(const http::Request &Request);
  //! Exchanges with other instances. BytesReceived_ includes the bodies of
  //! the messages that they sent.
  http::ClientCounters traffic() const;

private:
  http::Response takeRequests(const std::string &Body);
  http::Response takeReplies(const std::string &Body);
  http::Response findPayload(const std::string &Job) const;
  http::Response clockAnswer() const;

  const base::Clock &Clock_;
  std::string Address_;
  std::unique_ptr<http::RequestClient> Client_;
  HttpTransport Transport_;
  jobs::PayloadCache Payloads_;
  //! The direct calls, with payloads.
  PayloadPort Workers_;
  RelayedPort Port_;
  Relay Relay_;
  uint64_t MessageBytes_ = 0;
};

} // namespace crocuslead::relay
