#include "base/Error.h"

#include "base/NameTable.h"
#include <boost/leaf/error.hpp>

namespace crocuslead::base {

namespace {

constexpr ErrorInfo Table[] = {
    {ErrorKind::InvalidRequest, "invalid-request", 400, Outcome::NotRun, false},
    {ErrorKind::Unauthorized, "unauthorized", 401, Outcome::NotRun, false},
    {ErrorKind::NotFound, "not-found", 404, Outcome::NotRun, false},
    {ErrorKind::Conflict, "conflict", 409, Outcome::NotRun, false},
    {ErrorKind::KeySpent, "key-spent", 409, Outcome::NotRun, false},
    {ErrorKind::KeyInProgress, "key-in-progress", 409, Outcome::Unknown, false},
    {ErrorKind::AlreadyRan, "already-ran", 409, Outcome::Ran, false},
    {ErrorKind::OutcomeUnknown, "outcome-unknown", 503, Outcome::Unknown,
     false},
    {ErrorKind::TooLarge, "too-large", 413, Outcome::NotRun, false},
    {ErrorKind::OverQuota, "over-quota", 429, Outcome::NotRun, false},
    {ErrorKind::Overloaded, "overloaded", 503, Outcome::NotRun, false},
    {ErrorKind::QueueTimeout, "queue-timeout", 503, Outcome::NotRun, false},
    {ErrorKind::NoUpstream, "no-upstream", 503, Outcome::NotRun, false},
    {ErrorKind::DeadlineBeforeSend, "deadline-before-send", 504,
     Outcome::NotRun, false},
    {ErrorKind::DeadlineAfterSend, "deadline-after-send", 504, Outcome::Unknown,
     false},
    {ErrorKind::UpstreamUnreachable, "upstream-unreachable", 502,
     Outcome::NotRun, true},
    {ErrorKind::UpstreamBusy, "upstream-busy", 503, Outcome::NotRun, true},
    {ErrorKind::UpstreamReset, "upstream-reset", 502, Outcome::Unknown, false},
    {ErrorKind::AnswerTruncated, "answer-truncated", 502, Outcome::Unknown,
     false},
    {ErrorKind::StoreUnavailable, "store-unavailable", 503, Outcome::NotRun,
     true},
    {ErrorKind::NotOwner, "not-owner", 503, Outcome::NotRun, true},
    {ErrorKind::ConfigStale, "config-stale", 503, Outcome::NotRun, true},
    {ErrorKind::Infeasible, "infeasible", 422, Outcome::NotRun, false},
    {ErrorKind::LinkFailed, "link-failed", 503, Outcome::Unknown, false},
    {ErrorKind::Internal, "internal", 500, Outcome::Unknown, false},
};

constexpr auto OutcomeNames =
    makeNameTable<Outcome>({{Outcome::NotRun, "not-run"},
                            {Outcome::Ran, "ran"},
                            {Outcome::Unknown, "unknown"}});

} // namespace

const ErrorInfo &errorInfo(ErrorKind Kind) {
  for (const ErrorInfo &Info : Table)
    if (Info.Kind_ == Kind)
      return Info;
  return Table[sizeof(Table) / sizeof(Table[0]) - 1];
}

std::string_view errorName(ErrorKind Kind) { return errorInfo(Kind).Name_; }

std::string_view outcomeName(Outcome Value) { return OutcomeNames.name(Value); }

boost::leaf::error_id fail(ErrorKind Kind, std::string Message) {
  return boost::leaf::new_error(Error{Kind, std::move(Message)});
}

} // namespace crocuslead::base
