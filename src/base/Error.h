#pragma once

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <string>
#include <string_view>

namespace crocuslead::base {

//! What is known about the effect of a request that got no normal answer.
enum class Outcome : uint8_t { NotRun, Ran, Unknown };

//! The closed list of error kinds. Every refusal and failure is one of these.
enum class ErrorKind : uint8_t {
  InvalidRequest,
  Unauthorized,
  NotFound,
  Conflict,
  KeySpent,
  KeyInProgress,
  AlreadyRan,
  OutcomeUnknown,
  TooLarge,
  OverQuota,
  Overloaded,
  QueueTimeout,
  NoUpstream,
  DeadlineBeforeSend,
  DeadlineAfterSend,
  UpstreamUnreachable,
  UpstreamBusy,
  UpstreamReset,
  AnswerTruncated,
  StoreUnavailable,
  NotOwner,
  ConfigStale,
  Infeasible,
  LinkFailed,
  Internal,
};

//! Row of the table from error kind to answer.
struct ErrorInfo {
  ErrorKind Kind_;
  std::string_view Name_;
  //! Status of the HTTP answer.
  int HttpStatus_;
  //! Outcome of the caller's request when this error ends it.
  Outcome Outcome_;
  //! Whether another attempt of a non-idempotent request can be made without
  //! running it twice.
  bool SafeToRetry_;
};

const ErrorInfo &errorInfo(ErrorKind Kind);
std::string_view errorName(ErrorKind Kind);
std::string_view outcomeName(Outcome Value);

//! A failure with a message for the person who reads it.
struct Error {
  ErrorKind Kind_ = ErrorKind::Internal;
  std::string Message_;
};

//! Result of a synchronous operation; a failure carries an Error.
template <typename T> using Result = boost::leaf::result<T>;

//! Starts a failed Result.
boost::leaf::error_id fail(ErrorKind Kind, std::string Message);

} // namespace crocuslead::base
