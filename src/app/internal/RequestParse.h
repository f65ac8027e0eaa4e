#pragma once

#include "base/Error.h"
#include "http/Server.h"

#include <cstdint>
#include <optional>
#include <string>

namespace crocuslead::app {

//! A caller's request line and headers, checked.
struct ParsedRequest {
  std::optional<base::Error> Error_;
  std::string Workspace_;
  //! Path and query for the upstream, without /r/<workspace>.
  std::string UpstreamTarget_;
  std::string Key_;
  bool Idempotent_ = false;
  bool Deferrable_ = false;
  std::optional<int64_t> DeadlineMs_;
};

ParsedRequest parseRequest(const http::Request &Request);

//! Headers that go on to the upstream: all but those of the connection and of
//! this hop.
http::Headers upstreamHeaders(const http::Headers &FromCaller);
//! Headers that go back to the caller.
http::Headers callerHeaders(const http::Headers &FromUpstream);

//! The answer for an error kind, with a machine-readable outcome.
http::Response errorAnswer(const base::ErrorInfo &Info, base::Outcome Outcome,
                           const std::string &Message,
                           const std::string &RequestId, bool CloseConnection);

} // namespace crocuslead::app
