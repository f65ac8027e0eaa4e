#include "app/internal/RequestParse.h"

#include "base/Log.h"
#include "route/ClaimTable.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace crocuslead::app {

namespace {

constexpr std::string_view RoutePrefix = "/r/";
constexpr int64_t MaxDeadlineMs = 600'000;

constexpr std::string_view ConnectionHeaders[] = {
    "connection", "keep-alive", "proxy-authenticate", "proxy-authorization",
    "te",         "trailer",    "transfer-encoding",  "upgrade",
    "host",       "expect",     "content-length"};

bool equalNoCase(std::string_view A, std::string_view B) {
  return A.size() == B.size() &&
         std::equal(A.begin(), A.end(), B.begin(), [](char X, char Y) {
           return std::tolower(static_cast<unsigned char>(X)) ==
                  std::tolower(static_cast<unsigned char>(Y));
         });
}

bool startsWithNoCase(std::string_view Text, std::string_view Prefix) {
  return Text.size() >= Prefix.size() &&
         equalNoCase(Text.substr(0, Prefix.size()), Prefix);
}

bool isConnectionHeader(std::string_view Name) {
  return std::any_of(
      std::begin(ConnectionHeaders), std::end(ConnectionHeaders),
      [Name](std::string_view Each) { return equalNoCase(Name, Each); });
}

ParsedRequest invalid(std::string Message) {
  ParsedRequest Out;
  Out.Error_ = base::Error{base::ErrorKind::InvalidRequest, std::move(Message)};
  return Out;
}

bool isTrue(const http::Headers &All, std::string_view Name) {
  const std::string *Value = http::findHeader(All, Name);
  return Value != nullptr && equalNoCase(*Value, "true");
}

bool splitTarget(const std::string &Target, ParsedRequest &Out) {
  if (Target.rfind(RoutePrefix, 0) != 0)
    return false;
  std::size_t End = Target.find_first_of("/?", RoutePrefix.size());
  Out.Workspace_ =
      Target.substr(RoutePrefix.size(),
                    End == std::string::npos ? End : End - RoutePrefix.size());
  Out.UpstreamTarget_ = End == std::string::npos ? "/" : Target.substr(End);
  if (Out.UpstreamTarget_.front() == '?')
    Out.UpstreamTarget_.insert(0, 1, '/');
  return !Out.Workspace_.empty();
}

} // namespace

ParsedRequest parseRequest(const http::Request &Request) {
  ParsedRequest Out;
  if (!splitTarget(Request.Target_, Out))
    return invalid("path: expected /r/<workspace>/<path>");
  const http::Headers &All = Request.Headers_;
  Out.Idempotent_ = Request.Method_ == "GET" || Request.Method_ == "HEAD" ||
                    isTrue(All, "Crocuslead-Idempotent");
  Out.Deferrable_ = isTrue(All, "Crocuslead-Deferrable");
  if (const std::string *Key = http::findHeader(All, "Idempotency-Key")) {
    if (!route::keyIssueTime(*Key))
      return invalid("header Idempotency-Key: expected a UUIDv7");
    Out.Key_ = *Key;
  }
  if (const std::string *Text =
          http::findHeader(All, "Crocuslead-Deadline-Ms")) {
    int64_t Value = 0;
    const char *End = Text->data() + Text->size();
    auto Parsed = std::from_chars(Text->data(), End, Value);
    if (Parsed.ec != std::errc() || Parsed.ptr != End || Value < 1 ||
        Value > MaxDeadlineMs) {
      ParsedRequest Refused =
          invalid("header Crocuslead-Deadline-Ms: expected 1 to 600000");
      Refused.Key_ = Out.Key_;
      return Refused;
    }
    Out.DeadlineMs_ = Value;
  }
  return Out;
}

http::Headers upstreamHeaders(const http::Headers &FromCaller) {
  http::Headers Out;
  for (const auto &[Name, Value] : FromCaller)
    if (!isConnectionHeader(Name) && !startsWithNoCase(Name, "crocuslead-"))
      Out.emplace_back(Name, Value);
  return Out;
}

http::Headers callerHeaders(const http::Headers &FromUpstream) {
  http::Headers Out;
  for (const auto &[Name, Value] : FromUpstream)
    if (!isConnectionHeader(Name) && !startsWithNoCase(Name, "crocuslead-"))
      Out.emplace_back(Name, Value);
  return Out;
}

http::Response errorAnswer(const base::ErrorInfo &Info, base::Outcome Outcome,
                           const std::string &Message,
                           const std::string &RequestId, bool CloseConnection) {
  http::Response Out;
  Out.Status_ = Info.HttpStatus_;
  std::string OutcomeText(base::outcomeName(Outcome));
  Out.Headers_ = {{"Content-Type", "application/json"},
                  {"Crocuslead-Outcome", OutcomeText},
                  {"Crocuslead-Error", std::string(Info.Name_)},
                  {"Crocuslead-Request-Id", RequestId}};
  constexpr int ServiceUnavailable = 503;
  if (Info.HttpStatus_ == ServiceUnavailable)
    Out.Headers_.emplace_back("Retry-After", "1");
  if (CloseConnection)
    Out.Headers_.emplace_back("Connection", "close");
  Out.Body_ = "{\"error\":" + base::jsonQuote(Info.Name_) +
              ",\"outcome\":" + base::jsonQuote(OutcomeText) +
              ",\"message\":" + base::jsonQuote(Message) +
              ",\"request_id\":" + base::jsonQuote(RequestId) + "}\n";
  return Out;
}

} // namespace crocuslead::app
