#include "http/internal/Transfer.h"

#include "http/internal/ClientRules.h"
#include "http/internal/Guarded.h"
#include "http/internal/HeaderRules.h"

#include <algorithm>
#include <charconv>

namespace crocuslead::http::internal {

namespace {

constexpr std::size_t MaxHeaderBytes = 256U << 10U;
// Finds a peer that vanished during a long stream such as a watch.
constexpr long KeepAliveIdleSeconds = 15;
constexpr long KeepAliveProbeSeconds = 5;
constexpr std::size_t LineEndBytes = 2;
constexpr int StatusNoContent = 204;
constexpr int StatusNotModified = 304;
constexpr int FirstFinalStatus = 200;

long toCurlMillis(base::Duration D) {
  return std::max<long>(1, base::toMillis(D));
}

std::string_view trim(std::string_view Text) {
  constexpr std::string_view Blank = " \t\r\n";
  auto First = Text.find_first_not_of(Blank);
  if (First == std::string_view::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(Blank) - First + 1);
}

void append(HeaderList &List, const std::string &Line) {
  if (curl_slist *Longer = curl_slist_append(List.get(), Line.c_str())) {
    static_cast<void>(List.release());
    List.reset(Longer);
  }
}

//! libcurl adds these headers by itself unless told not to.
void suppressDefaults(HeaderList &List, const Headers &Given) {
  for (const char *Name : {"Accept", "Content-Type"})
    if (!findHeader(Given, Name))
      append(List, std::string(Name) + ":");
  append(List, "Expect:");
}

HeaderList makeHeaderList(const Headers &Given) {
  HeaderList List;
  suppressDefaults(List, Given);
  for (const auto &[Name, Value] : Given) {
    if (isFramingHeader(Name) || !isValidHeader(Name, Value))
      continue;
    // libcurl takes "Name:" as an order to remove the header and "Name;" as a
    // header without a value.
    std::string Line = Name;
    Line += Value.empty() ? ";" : ": ";
    Line += Value;
    append(List, Line);
  }
  return List;
}

} // namespace

Transfer::Transfer(EasyHandle Easy, ClientRequest Request, StreamSink Sink,
                   bool Streams, Client::Callback Done,
                   std::vector<CURL *> &Ready)
    : Easy_(std::move(Easy)), Request_(std::move(Request)),
      Sink_(std::move(Sink)), Streams_(Streams), Done_(std::move(Done)),
      Ready_(Ready), SentHeaders_(makeHeaderList(Request_.Headers_)) {
  configure();
  configureMethod();
}

void Transfer::configure() {
  CURL *E = Easy_.get();
  curl_easy_setopt(E, CURLOPT_URL, Request_.Url_.c_str());
  // The caller's path goes to the upstream as it is, "/../" included.
  curl_easy_setopt(E, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(E, CURLOPT_PROTOCOLS_STR, "http");
  // The environment must not route requests through a proxy.
  curl_easy_setopt(E, CURLOPT_PROXY, "");
  curl_easy_setopt(E, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(E, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(E, CURLOPT_FOLLOWLOCATION, 0L);
  curl_easy_setopt(E, CURLOPT_MAXAGE_CONN,
                   static_cast<long>(MaxIdleTime.count()));
  curl_easy_setopt(E, CURLOPT_TCP_KEEPALIVE, 1L);
  curl_easy_setopt(E, CURLOPT_TCP_KEEPIDLE, KeepAliveIdleSeconds);
  curl_easy_setopt(E, CURLOPT_TCP_KEEPINTVL, KeepAliveProbeSeconds);
  curl_easy_setopt(E, CURLOPT_TIMEOUT_MS, toCurlMillis(Request_.Timeout_));
  curl_easy_setopt(E, CURLOPT_CONNECTTIMEOUT_MS,
                   toCurlMillis(Request_.ConnectTimeout_));
  curl_easy_setopt(E, CURLOPT_ERRORBUFFER, ErrorText_);
  curl_easy_setopt(E, CURLOPT_HTTPHEADER, SentHeaders_.get());
  curl_easy_setopt(E, CURLOPT_HEADERFUNCTION, &Transfer::onHeaderLine);
  curl_easy_setopt(E, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(E, CURLOPT_WRITEFUNCTION, &Transfer::onBody);
  curl_easy_setopt(E, CURLOPT_WRITEDATA, this);
  curl_easy_setopt(E, CURLOPT_PREREQFUNCTION, &Transfer::onRequestStart);
  curl_easy_setopt(E, CURLOPT_PREREQDATA, this);
}

void Transfer::configureMethod() {
  CURL *E = Easy_.get();
  const std::string &Method = Request_.Method_;
  bool HasBody = hasBody(Request_);
  RequestHeaderBytes_ = requestHeaderBytes(HasBody);
  if (Method == "HEAD") {
    curl_easy_setopt(E, CURLOPT_NOBODY, 1L);
    return;
  }
  if (HasBody) {
    curl_easy_setopt(E, CURLOPT_POST, 1L);
    curl_easy_setopt(E, CURLOPT_POSTFIELDS, Request_.Body_.data());
    curl_easy_setopt(E, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(Request_.Body_.size()));
  }
  curl_easy_setopt(E, CURLOPT_CUSTOMREQUEST, Method.c_str());
}

std::size_t Transfer::onHeaderLine(char *Data, std::size_t Size,
                                   std::size_t Count, void *Self) {
  bool Taken = false;
  guarded([&] {
    Taken = static_cast<Transfer *>(Self)->takeHeaderLine({Data, Size * Count});
  });
  return Taken ? Size * Count : 0;
}

std::size_t Transfer::onBody(char *Data, std::size_t Size, std::size_t Count,
                             void *Self) {
  bool Taken = false;
  guarded([&] {
    Taken = static_cast<Transfer *>(Self)->takeBody({Data, Size * Count});
  });
  return Taken ? Size * Count : 0;
}

// libcurl sends a request again, whatever its method, when a reused connection
// closes before the first byte of the answer. No option turns that off, but
// this callback precedes each sending and can refuse the second one.
int Transfer::onRequestStart(void *Self, char * /*RemoteIp*/,
                             char * /*LocalIp*/, int /*RemotePort*/,
                             int /*LocalPort*/) {
  auto *T = static_cast<Transfer *>(Self);
  bool Repeatable =
      T->Request_.Method_ == "GET" || T->Request_.Method_ == "HEAD";
  if (T->requestStarted() && !Repeatable)
    return CURL_PREREQFUNC_ABORT;
  ++T->Sendings_;
  return CURL_PREREQFUNC_OK;
}

// libcurl's own figure, CURLINFO_REQUEST_SIZE, includes that part of the body
// that happened to go out together with the header.
uint64_t Transfer::requestHeaderBytes(bool HasBody) const {
  constexpr std::string_view Scheme = "http://";
  std::string_view Url = Request_.Url_;
  if (Url.substr(0, Scheme.size()) == Scheme)
    Url.remove_prefix(Scheme.size());
  auto Slash = std::min(Url.find('/'), Url.size());
  std::size_t PathSize = std::max<std::size_t>(1, Url.size() - Slash);
  std::size_t Sum = Request_.Method_.size() + PathSize +
                    std::string_view("  HTTP/1.1\r\nHost: \r\n\r\n").size() +
                    Slash;
  for (const curl_slist *Line = SentHeaders_.get(); Line; Line = Line->next) {
    std::string_view Text = Line->data;
    // "Name:" only keeps libcurl from adding that header.
    if (Text.back() != ':')
      Sum += Text.size() + LineEndBytes;
  }
  if (HasBody)
    Sum += std::string_view("Content-Length: \r\n").size() +
           std::to_string(Request_.Body_.size()).size();
  return Sum;
}

uint64_t Transfer::bytesSent() const {
  curl_off_t Body = 0;
  if (Easy_)
    curl_easy_getinfo(Easy_.get(), CURLINFO_SIZE_UPLOAD_T, &Body);
  return Sendings_ * RequestHeaderBytes_ + static_cast<uint64_t>(Body);
}

bool Transfer::takeHeaderLine(std::string_view Line) {
  HeaderBytes_ += Line.size();
  if (HeaderBytes_ > MaxHeaderBytes) {
    Oversized_ = true;
    return false;
  }
  // Lines after the body are trailers of a chunked answer.
  if (HeaderComplete_)
    return true;
  if (Line.substr(0, 5) == "HTTP/") {
    Answer_.Headers_.clear();
    return true;
  }
  std::string_view Content = trim(Line);
  if (Content.empty()) {
    long Status = 0;
    curl_easy_getinfo(Easy_.get(), CURLINFO_RESPONSE_CODE, &Status);
    Answer_.Status_ = static_cast<int>(Status);
    HeaderComplete_ = HeaderPending_ = Status >= FirstFinalStatus;
    if (HeaderPending_)
      markReady();
    return true;
  }
  auto Colon = Content.find(':');
  if (Colon != std::string_view::npos)
    Answer_.Headers_.emplace_back(trim(Content.substr(0, Colon)),
                                  trim(Content.substr(Colon + 1)));
  return true;
}

bool Transfer::takeBody(std::string_view Piece) {
  BodyBytes_ += Piece.size();
  if (BodyBytes_ > Request_.MaxAnswerBytes_) {
    Oversized_ = true;
    return false;
  }
  (Streams_ ? PendingData_ : Answer_.Body_).append(Piece);
  markReady();
  return true;
}

void Transfer::markReady() {
  if (Streams_ && !std::exchange(MarkedReady_, true))
    Ready_.push_back(Easy_.get());
}

void Transfer::deliver() {
  MarkedReady_ = false;
  if (!Streams_ || Ended_)
    return;
  if (std::exchange(HeaderPending_, false) && Sink_.OnHeader_)
    guarded([this] { Sink_.OnHeader_(Answer_.Status_, Answer_.Headers_); });
  // OnHeader may have cancelled the exchange.
  if (Ended_ || PendingData_.empty())
    return;
  std::string Data = std::move(PendingData_);
  PendingData_.clear();
  if (Sink_.OnData_)
    guarded([&] { Sink_.OnData_(Data); });
}

bool Transfer::lengthIsKnown() const {
  if (Request_.Method_ == "HEAD" || Answer_.Status_ == StatusNoContent ||
      Answer_.Status_ == StatusNotModified)
    return true;
  return findHeader(Answer_.Headers_, "Content-Length") ||
         findHeader(Answer_.Headers_, "Transfer-Encoding");
}

ExchangeFailure Transfer::classify(CURLcode Code) const {
  if (Oversized_)
    return ExchangeFailure::TooLarge;
  if (Code == CURLE_OK && HeaderComplete_)
    // The end of the connection also ends an answer without a length, so a
    // short one cannot be told from a whole one.
    return lengthIsKnown() ? ExchangeFailure::None : ExchangeFailure::Truncated;
  if (!requestStarted())
    return ExchangeFailure::ConnectFailed;
  if (Code == CURLE_OPERATION_TIMEDOUT)
    return ExchangeFailure::TimedOut;
  return HeaderComplete_ ? ExchangeFailure::Truncated : ExchangeFailure::Reset;
}

void Transfer::settle(CURLcode Code) {
  Result_.Failure_ = classify(Code);
  if (Result_.Failure_ != ExchangeFailure::None)
    Result_.Detail_ = ErrorText_[0] ? ErrorText_ : curl_easy_strerror(Code);
  Result_.BytesSent_ = bytesSent();
  Result_.BytesReceived_ = bytesReceived();
}

void Transfer::callBack() {
  deliver();
  if (Ended_)
    return;
  Ended_ = true;
  if (Result_.Failure_ == ExchangeFailure::None)
    Result_.Answer_ = std::move(Answer_);
  auto Done = std::move(Done_);
  Done_ = nullptr;
  guarded([&] { Done(std::move(Result_)); });
}

void Transfer::cancel() {
  Ended_ = true;
  Done_ = nullptr;
  // The sink may be running its own callback now: it is kept until the end.
}

} // namespace crocuslead::http::internal
