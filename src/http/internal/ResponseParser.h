#pragma once

#include "http/Server.h"

#include <http_parser.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace crocuslead::http::internal {

//! Reads the answer to one request from the bytes of a connection. Skips
//! interim answers (status below 200).
class ResponseParser {
public:
  enum class Progress : uint8_t { Incomplete, Complete, Malformed, TooLarge };

  //! Prepares for the next answer. Answers to HEAD have no body.
  void begin(bool IsHead, std::size_t MaxBodyBytes);
  Progress parse(std::string_view Bytes);

  bool headerComplete() const { return HeaderComplete_; }
  //! After Complete: the connection may carry another request.
  bool keepsConnection() const { return KeepsConnection_; }
  Response takeAnswer() { return std::move(Answer_); }

private:
  static ResponseParser &of(http_parser *Parser) {
    return *static_cast<ResponseParser *>(Parser->data);
  }
  static const http_parser_settings &callbacks();
  void addToHeaderName(std::string_view Part);
  void addToHeaderValue(std::string_view Part);
  int endHeader();
  int addToBody(std::string_view Part);
  int endMessage();

  http_parser Parser_{};
  Response Answer_;
  std::size_t MaxBodyBytes_ = 0;
  bool IsHead_ = false;
  bool InHeaderValue_ = false;
  bool HeaderComplete_ = false;
  bool Complete_ = false;
  bool TooLarge_ = false;
  bool KeepsConnection_ = false;
};

} // namespace crocuslead::http::internal
