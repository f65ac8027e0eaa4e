#include "cluster/internal/ExchangeError.h"

namespace crocuslead::cluster::internal {

namespace {

base::ErrorKind kindOf(http::ExchangeFailure Failure) {
  using base::ErrorKind;
  using http::ExchangeFailure;
  switch (Failure) {
  case ExchangeFailure::ConnectFailed:
    return ErrorKind::UpstreamUnreachable;
  case ExchangeFailure::Reset:
    return ErrorKind::UpstreamReset;
  case ExchangeFailure::Truncated:
    return ErrorKind::AnswerTruncated;
  case ExchangeFailure::TimedOut:
    return ErrorKind::DeadlineAfterSend;
  // TooLarge of the error kinds says that nothing ran, which is not known here.
  case ExchangeFailure::TooLarge:
  case ExchangeFailure::None:
    break;
  }
  return ErrorKind::Internal;
}

} // namespace

base::Error exchangeError(const http::ExchangeResult &Result) {
  return {kindOf(Result.Failure_), Result.Detail_};
}

} // namespace crocuslead::cluster::internal
