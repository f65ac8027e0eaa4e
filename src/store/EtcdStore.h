#pragma once

#include "base/Clock.h"
#include "store/KeyValueStore.h"

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

// Forward declaration keeps Asio out of widely included headers.
namespace asio {
class io_context;
}

namespace crocuslead::http {
class Client;
}

namespace crocuslead::store {

enum class CallKind : uint8_t {
  Range,
  Txn,
  Watch,
  LeaseGrant,
  LeaseKeepAlive,
  LeaseRevoke
};
constexpr std::size_t CallKindCount = 6;

std::string_view callKindName(CallKind Kind);

struct CallCounters {
  uint64_t Calls_ = 0;
  uint64_t Failures_ = 0;
  //! HTTP bytes of ended calls; a running watch counts what it has received.
  uint64_t BytesSent_ = 0;
  uint64_t BytesReceived_ = 0;
};

//! Calls and bytes of a store adapter, by kind of call.
struct StoreCounters {
  std::array<CallCounters, CallKindCount> Kinds_;

  CallCounters &of(CallKind Kind) {
    return Kinds_[static_cast<std::size_t>(Kind)];
  }
  const CallCounters &of(CallKind Kind) const {
    return Kinds_[static_cast<std::size_t>(Kind)];
  }
};

//! Longest time of one call, a watch excepted.
constexpr base::Duration DefaultCallTimeout = std::chrono::seconds(2);

//! A store that speaks the etcd v3 JSON gateway protocol at BaseUrl
//! (http://IP:port). Client must outlive it. Destroying the store drops its
//! calls without calling back. Counters may be null.
std::unique_ptr<KeyValueStore>
makeEtcdStore(http::Client &Client, asio::io_context &Loop, std::string BaseUrl,
              std::shared_ptr<StoreCounters> Counters = nullptr,
              base::Duration CallTimeout = DefaultCallTimeout);

} // namespace crocuslead::store
