#pragma once

#include "base/Error.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace crocuslead::link {

struct Ping {
  uint64_t Sequence_ = 0;
  int64_t ConfigRevision_ = 0;
  //! Time since the last call that reached the store, milliseconds.
  int64_t StoreContactAgeMs_ = 0;
  bool Draining_ = false;
  //! Requests that wait for a slot.
  uint32_t SlotDemand_ = 0;
};

struct Pong {
  uint64_t Sequence_ = 0;
  int64_t ConfigRevision_ = 0;
  int64_t StoreContactAgeMs_ = 0;
  bool Draining_ = false;
  uint32_t SlotDemand_ = 0;
};

struct ConfigPull {
  int64_t KnownRevision_ = 0;
};

struct ConfigEntry {
  std::string Key_;
  std::string Value_;
  int64_t ModRevision_ = 0;
  bool Deleted_ = false;
};

struct ConfigPush {
  std::vector<ConfigEntry> Entries_;
};

struct WorkspaceUse {
  std::string Workspace_;
  int64_t MilliCpu_ = 0;
  int64_t MemoryMb_ = 0;
  int64_t Accelerators_ = 0;
};

struct PartitionLoad {
  std::string Partition_;
  int64_t FreeMilliCpu_ = 0;
  int64_t FreeMemoryMb_ = 0;
  int64_t FreeAccelerators_ = 0;
  int64_t CapacityMilliCpu_ = 0;
  int64_t CapacityMemoryMb_ = 0;
  int64_t CapacityAccelerators_ = 0;
  uint32_t PendingUrgent_ = 0;
  uint32_t Pending_ = 0;
  //! Only workspaces whose use changed since the last summary; zero values end
  //! a use.
  std::vector<WorkspaceUse> Use_;
};

struct LoadSummary {
  std::vector<PartitionLoad> Partitions_;
};

struct ClaimRequest {
  uint64_t Call_ = 0;
  std::string Partition_;
  std::string Key_;
  uint64_t Fingerprint_ = 0;
};

struct ClaimAnswer {
  uint64_t Call_ = 0;
  //! Value of route::ClaimVerdict.
  uint8_t Verdict_ = 0;
  std::string Executor_;
};

struct ClaimDone {
  std::string Partition_;
  std::string Key_;
  //! Value of route::ClaimEnd.
  uint8_t End_ = 0;
};

struct ClaimRow {
  std::string Key_;
  uint64_t Fingerprint_ = 0;
  std::string Executor_;
  int64_t IssuedMs_ = 0;
  //! Value of route::ClaimEnd plus 1; 0 while in progress.
  uint8_t End_ = 0;
};

struct ClaimTransfer {
  std::string Partition_;
  int64_t FormerEpoch_ = 0;
  int64_t KnownSinceMs_ = 0;
  std::vector<ClaimRow> Rows_;
  //! True in the last message of the table.
  bool Last_ = false;
  //! Position of the first of Rows_ in the table. It shows a lost message,
  //! whose keys would otherwise count as never granted.
  uint32_t FirstRow_ = 0;
};

struct AnswerFetch {
  uint64_t Call_ = 0;
  std::string Key_;
};

struct AnswerFetchReply {
  uint64_t Call_ = 0;
  bool Found_ = false;
  int HttpStatus_ = 0;
  std::string ContentType_;
  std::string Body_;
};

//! A call of the operator API that another instance must answer, as JSON.
struct OperatorCall {
  uint64_t Call_ = 0;
  std::string Partition_;
  std::string Operation_;
  std::string Body_;
};

struct OperatorReply {
  uint64_t Call_ = 0;
  int HttpStatus_ = 0;
  std::string Body_;
};

struct TransferOffer {
  std::string FromPartition_;
  std::string ToPartition_;
  std::string JobId_;
  uint64_t Number_ = 0;
  std::string Record_;
};

struct TransferAccept {
  std::string FromPartition_;
  std::string JobId_;
  uint64_t Number_ = 0;
};

struct SlotLend {
  std::string Upstream_;
  uint32_t Count_ = 0;
  int64_t TermMs_ = 0;
};

using Message =
    std::variant<Ping, Pong, ConfigPull, ConfigPush, LoadSummary, ClaimRequest,
                 ClaimAnswer, ClaimDone, ClaimTransfer, AnswerFetch,
                 AnswerFetchReply, OperatorCall, OperatorReply, TransferOffer,
                 TransferAccept, SlotLend>;

//! True for the messages that flow without work: pings, configuration and load
//! summaries.
inline bool isControl(const Message &Value) {
  return std::holds_alternative<Ping>(Value) ||
         std::holds_alternative<Pong>(Value) ||
         std::holds_alternative<ConfigPull>(Value) ||
         std::holds_alternative<ConfigPush>(Value) ||
         std::holds_alternative<LoadSummary>(Value);
}

//! CBOR form: an array of the message's number and a map from field number to
//! value. Field numbers are decimal text, the only keys that nlohmann-json
//! accepts; strings are byte strings. Fields with default values are omitted.
std::string encode(const Message &Value);
//! Skips unknown fields; fails on anything malformed or on an unknown message
//! number.
base::Result<Message> decode(const std::string &Frame);

} // namespace crocuslead::link
