#pragma once

#include "base/Clock.h"
#include "cluster/InstanceList.h"

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

namespace crocuslead::cluster {

std::string_view instanceStateName(InstanceState State);

//! Decodes a list in JSON. Fails with Internal when any field is missing, of
//! another type or out of range; unknown fields are skipped. Required are id,
//! state, domain and region of each instance.
base::Result<InstanceSnapshot> decodeInstances(std::string_view Body);

struct ListCounters {
  uint64_t BytesSent_ = 0;
  uint64_t BytesReceived_ = 0;
};

//! Fetches the list from GET <BaseUrl>/v1/instances?revision=N. Status 304
//! means that nothing has changed. One fetch runs at a time; a second one
//! fails with Overloaded. Client must outlive the list; destroying the list
//! drops the fetch without calling back. Counters may be null.
std::unique_ptr<InstanceList>
makeHttpInstanceList(http::Client &Client, asio::io_context &Loop,
                     std::string BaseUrl,
                     base::Duration Timeout = std::chrono::seconds(2),
                     std::shared_ptr<ListCounters> Counters = nullptr);

} // namespace crocuslead::cluster
