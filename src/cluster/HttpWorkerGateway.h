#pragma once

#include "cluster/WorkerGateway.h"

#include <cstddef>
#include <cstdint>
#include <memory>

// Forward declaration keeps Asio out of widely included headers.
namespace asio {
class io_context;
}

namespace crocuslead::http {
class Client;
}

namespace crocuslead::cluster {

struct GatewaySettings {
  base::Duration Timeout_ = std::chrono::seconds(2);
  base::Duration ConnectTimeout_ = std::chrono::milliseconds(500);
  //! Messages that wait for one worker; more are refused as overloaded.
  std::size_t MaxQueued_ = 64;
  std::size_t MaxReplyBytes_ = 4U << 20U;
};

//! Traffic to workers. Renewals are messages without commands and count as
//! control traffic.
struct GatewayCounters {
  uint64_t Messages_ = 0;
  uint64_t Failures_ = 0;
  uint64_t Refused_ = 0;
  uint64_t BytesSent_ = 0;
  uint64_t BytesReceived_ = 0;
  uint64_t RenewalBytes_ = 0;
};

//! Sends messages to POST http://<Address_>/v1/commands, one at a time for
//! each worker. Errors: UpstreamUnreachable when nothing was sent, which also
//! fails the messages waiting for that worker; Overloaded for a full queue;
//! InvalidRequest when the worker refused the message; DeadlineAfterSend,
//! UpstreamReset, AnswerTruncated and Internal when the worker may have acted.
//! A message that timed out can still reach the worker after later ones.
//! Client must outlive the gateway; destroying the gateway drops its messages
//! without calling back. Counters may be null.
std::unique_ptr<WorkerGateway>
makeHttpWorkerGateway(http::Client &Client, asio::io_context &Loop,
                      const GatewaySettings &Settings,
                      std::shared_ptr<GatewayCounters> Counters = nullptr);

} // namespace crocuslead::cluster
