#pragma once

#include "http/Client.h"

#include <chrono>
#include <cstddef>

namespace crocuslead::http::internal {

// A coordinator has a waiting poll at each worker and a few other requests
// beside it; the smallest instances have 3,900 sockets.
constexpr std::size_t MaxKeptConnections = 2500;
// Shorter than the servers' idle limit of 30 s (ServerLimits), so that a
// request rarely meets a connection that its server is closing.
constexpr std::chrono::seconds MaxIdleTime{25};

//! The request has a body, which may be empty.
inline bool hasBody(const ClientRequest &Request) {
  const std::string &Method = Request.Method_;
  if (Method == "HEAD")
    return false;
  bool MayOmitBody =
      Method == "GET" || Method == "DELETE" || Method == "OPTIONS";
  return !MayOmitBody || !Request.Body_.empty();
}

} // namespace crocuslead::http::internal
