#include "app/internal/ActiveRequest.h"

#include "base/NameTable.h"

namespace crocuslead::app {

namespace {

constexpr int ServiceUnavailable = 503;

constexpr auto EndNames = base::makeNameTable<route::AttemptEnd>({
    {route::AttemptEnd::Answered, "answered"},
    {route::AttemptEnd::ConnectFailed, "connect-failed"},
    {route::AttemptEnd::Busy, "busy"},
    {route::AttemptEnd::Reset, "reset"},
    {route::AttemptEnd::Truncated, "truncated"},
    {route::AttemptEnd::TimedOut, "timed-out"},
    {route::AttemptEnd::Cancelled, "cancelled"},
});

struct FailureRow {
  http::ExchangeFailure Failure_;
  route::AttemptEnd End_;
};

constexpr FailureRow Failures[] = {
    {http::ExchangeFailure::ConnectFailed, route::AttemptEnd::ConnectFailed},
    {http::ExchangeFailure::Reset, route::AttemptEnd::Reset},
    {http::ExchangeFailure::Truncated, route::AttemptEnd::Truncated},
    {http::ExchangeFailure::TimedOut, route::AttemptEnd::TimedOut},
    {http::ExchangeFailure::TooLarge, route::AttemptEnd::Truncated},
};

} // namespace

route::AttemptEnd attemptEnd(const http::ExchangeResult &Result,
                             const http::Response &Answer) {
  for (const FailureRow &Row : Failures)
    if (Row.Failure_ == Result.Failure_)
      return Row.End_;
  bool Busy = Answer.Status_ == ServiceUnavailable &&
              http::findHeader(Answer.Headers_, "Crocuslead-Worker-Busy");
  return Busy ? route::AttemptEnd::Busy : route::AttemptEnd::Answered;
}

const char *attemptEndName(route::AttemptEnd End) {
  return EndNames.name(End).data();
}

} // namespace crocuslead::app
