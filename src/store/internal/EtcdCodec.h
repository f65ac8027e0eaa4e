#pragma once

#include "store/KeyValueStore.h"

#include <string>
#include <string_view>
#include <variant>

namespace crocuslead::store::internal {

//! A decoded answer, or what is wrong with it.
template <typename T> using Decoded = std::variant<T, std::string>;

// Bodies of the etcd v3 JSON gateway: keys and values in base64, 64-bit numbers
// as decimal strings.

std::string encodeRange(const std::string &Key, const std::string &RangeEnd);
std::string encodeTxn(const Txn &Request);
std::string encodeWatch(const std::string &Key, const std::string &RangeEnd,
                        int64_t StartRevision);
std::string encodeLeaseGrant(int64_t TimeToLiveSeconds);
std::string encodeLeaseId(int64_t Lease);

Decoded<RangeReply> decodeRange(std::string_view Body);
Decoded<TxnReply> decodeTxn(std::string_view Body);
Decoded<int64_t> decodeLeaseGrant(std::string_view Body);
//! The remaining time in seconds; an ended lease has none.
Decoded<int64_t> decodeLeaseKeepAlive(std::string_view Body);
Decoded<int64_t> decodeLeaseRevoke(std::string_view Body);
//! One line of a watch stream. A line that reports the end of the watch is an
//! error; a line without events gives an empty batch. The batch's revision is
//! the last revision of its events, since the header's can be ahead of them.
Decoded<WatchBatch> decodeWatchLine(std::string_view Line);
//! Message of an error answer; the start of the body when it has another form.
std::string decodeErrorMessage(std::string_view Body);

} // namespace crocuslead::store::internal
