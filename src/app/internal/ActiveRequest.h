#pragma once

#include "app/RequestPath.h"

namespace crocuslead::app {

//! One attempt on an upstream, with the part of its answer that has arrived.
struct RequestPath::Attempt {
  uint32_t Number_ = 0;
  std::string Upstream_;
  base::TimePoint SentAt_;
  std::unique_ptr<http::Exchange> Exchange_;
  http::Response Answer_;
  uint64_t AnswerBytes_ = 0;
  std::string End_;
  int64_t TookMs_ = 0;
};

//! One caller's request.
struct RequestPath::Active {
  uint64_t Id_ = 0;
  std::string PublicId_;
  http::Request Request_;
  std::shared_ptr<http::Responder> Out_;
  route::RequestInfo Info_;
  std::string UpstreamTarget_;
  std::string Key_;
  std::string ClaimText_;
  bool ClaimHeld_ = false;
  bool CallerGone_ = false;
  //! Why a kept answer is looked for.
  route::ClaimVerdict Replay_ = route::ClaimVerdict::AlreadyRan;
  base::TimePoint Started_;
  std::map<uint32_t, Attempt> Attempts_;
  //! Attempt whose answer is being streamed to the caller; 0 for none.
  uint32_t Streaming_ = 0;
};

//! End of an attempt as the router counts it.
route::AttemptEnd attemptEnd(const http::ExchangeResult &Result,
                             const http::Response &Answer);
const char *attemptEndName(route::AttemptEnd End);

} // namespace crocuslead::app
