#pragma once

#include "base/Error.h"
#include "jobs/WorkerPort.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

// What a coordinator and the instances that relay its requests tell each other.
// Messages are encoded as CBOR. Decoding a malformed one fails with
// InvalidRequest.

namespace crocuslead::relay {

//! Paths between instances.
constexpr const char *RequestsPath = "/v1/relay/requests";
constexpr const char *RepliesPath = "/v1/relay/replies";
//! Followed by the id of a job.
constexpr const char *PayloadsPath = "/v1/payloads/";

using RequestBody = std::variant<jobs::StartRequest, jobs::StopRequest,
                                 jobs::ThrottleRequest, jobs::PollRequest>;

//! A request that a relay sends to a worker.
struct RelayedRequest {
  //! Chosen by the coordinator; the reply repeats it.
  uint64_t Number_ = 0;
  //! Domain_ is not transmitted.
  jobs::WorkerAddress To_;
  //! Milliseconds on the relay's clock; after that it must not be sent.
  int64_t NotAfterMs_ = 0;
  RequestBody Body_;
};

struct RequestBatch {
  //! The process that is asked: deadlines are on its clock.
  std::string Incarnation_;
  //! The process that asks.
  std::string Session_;
  //! IP:port for the replies.
  std::string ReplyTo_;
  std::vector<RelayedRequest> Requests_;
};

struct RelayedReply {
  uint64_t Number_ = 0;
  jobs::RequestStatus Status_ = jobs::RequestStatus::Unknown;
  //! The worker's clock; unset when the worker did not answer.
  std::optional<int64_t> ClockMs_;
  //! Of an accepted poll.
  std::optional<jobs::WorkerReport> Report_;
  base::Duration PayloadWait_{};
};

//! An instance that relays requests.
struct RelayInfo {
  std::string Address_;
  std::string Domain_;
  std::string Region_;
  //! Relays of a domain share its workers in proportion to their weights.
  double Weight_ = 1;
  //! It stops, and takes no further requests.
  bool Leaving_ = false;
};

struct ReplyBatch {
  std::string Instance_;
  //! Differs in every process.
  std::string Incarnation_;
  //! Session of the requests; empty without replies.
  std::string Session_;
  //! The relay's clock when the message was sent.
  int64_t ClockMs_ = 0;
  //! Set in the messages by which a relay offers itself.
  std::optional<RelayInfo> Info_;
  std::vector<RelayedReply> Replies_;
};

uint64_t fencingToken(const RequestBody &Body);
//! The lowest token of its term.
uint64_t firstToken(const RequestBody &Body);
//! Approximate sizes of encoded messages.
std::size_t encodedBytes(const RelayedRequest &Request);
std::size_t encodedBytes(const RelayedReply &Reply);

std::string encode(const RequestBatch &Batch);
std::string encode(const ReplyBatch &Batch);
base::Result<RequestBatch> decodeRequests(const std::string &Bytes);
base::Result<ReplyBatch> decodeReplies(const std::string &Bytes);

} // namespace crocuslead::relay
