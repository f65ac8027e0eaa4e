#include "http/internal/ResponseParser.h"

#include <limits>

namespace crocuslead::http::internal {

namespace {

constexpr int FirstFinalStatus = 200;
// Return values of http_parser's callbacks.
constexpr int GoOn = 0;
constexpr int Abort = -1;
constexpr int SkipBody = 1;

void trimEnd(std::string &Text) {
  Text.erase(Text.find_last_not_of(" \t") + 1);
}

} // namespace

const http_parser_settings &ResponseParser::callbacks() {
  static const http_parser_settings Table = [] {
    http_parser_settings Out;
    http_parser_settings_init(&Out);
    Out.on_header_field = [](http_parser *P, const char *Data, size_t Size) {
      of(P).addToHeaderName({Data, Size});
      return GoOn;
    };
    Out.on_header_value = [](http_parser *P, const char *Data, size_t Size) {
      of(P).addToHeaderValue({Data, Size});
      return GoOn;
    };
    Out.on_headers_complete = [](http_parser *P) { return of(P).endHeader(); };
    Out.on_body = [](http_parser *P, const char *Data, size_t Size) {
      return of(P).addToBody({Data, Size});
    };
    Out.on_message_complete = [](http_parser *P) { return of(P).endMessage(); };
    return Out;
  }();
  return Table;
}

void ResponseParser::begin(bool IsHead, std::size_t MaxBodyBytes) {
  http_parser_init(&Parser_, HTTP_RESPONSE);
  Parser_.data = this;
  Answer_ = {};
  MaxBodyBytes_ = MaxBodyBytes;
  IsHead_ = IsHead;
  InHeaderValue_ = HeaderComplete_ = Complete_ = TooLarge_ = KeepsConnection_ =
      false;
}

ResponseParser::Progress ResponseParser::parse(std::string_view Bytes) {
  std::size_t Taken =
      http_parser_execute(&Parser_, &callbacks(), Bytes.data(), Bytes.size());
  if (Complete_) {
    // Nobody asked for what follows the answer.
    KeepsConnection_ = KeepsConnection_ && Taken == Bytes.size();
    return Progress::Complete;
  }
  auto Error = HTTP_PARSER_ERRNO(&Parser_);
  if (TooLarge_ || Error == HPE_HEADER_OVERFLOW)
    return Progress::TooLarge;
  return Error == HPE_OK && Taken == Bytes.size() ? Progress::Incomplete
                                                  : Progress::Malformed;
}

// Header lines after the body are trailers of a chunked answer.
void ResponseParser::addToHeaderName(std::string_view Part) {
  if (HeaderComplete_)
    return;
  if (Answer_.Headers_.empty() || InHeaderValue_)
    Answer_.Headers_.emplace_back();
  InHeaderValue_ = false;
  Answer_.Headers_.back().first.append(Part);
}

void ResponseParser::addToHeaderValue(std::string_view Part) {
  if (HeaderComplete_)
    return;
  InHeaderValue_ = true;
  Answer_.Headers_.back().second.append(Part);
}

int ResponseParser::endHeader() {
  Answer_.Status_ = Parser_.status_code;
  if (Answer_.Status_ < FirstFinalStatus)
    return GoOn;
  for (auto &[Name, Value] : Answer_.Headers_)
    trimEnd(Value);
  HeaderComplete_ = true;
  bool LengthKnown =
      Parser_.content_length != std::numeric_limits<uint64_t>::max();
  if (IsHead_)
    return SkipBody;
  TooLarge_ = LengthKnown && Parser_.content_length > MaxBodyBytes_;
  return TooLarge_ ? Abort : GoOn;
}

int ResponseParser::addToBody(std::string_view Part) {
  TooLarge_ = Answer_.Body_.size() + Part.size() > MaxBodyBytes_;
  if (TooLarge_)
    return Abort;
  Answer_.Body_.append(Part);
  return GoOn;
}

int ResponseParser::endMessage() {
  if (!HeaderComplete_) {
    Answer_ = {};
    InHeaderValue_ = false;
    return GoOn;
  }
  Complete_ = true;
  KeepsConnection_ = http_should_keep_alive(&Parser_) != 0;
  http_parser_pause(&Parser_, 1);
  return GoOn;
}

} // namespace crocuslead::http::internal
