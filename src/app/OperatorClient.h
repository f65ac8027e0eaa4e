#pragma once

#include "app/PartitionCalls.h"

#include <string>

namespace crocuslead::app {

//! Blocking calls of an instance's operator API, for the command line.
class OperatorClient {
public:
  OperatorClient(std::string BaseUrl, std::string Token)
      : BaseUrl_(std::move(BaseUrl)), Token_(std::move(Token)) {}

  //! Status 0 means that no instance answered; Body_ then says why.
  CallAnswer call(const std::string &Method, const std::string &Path,
                  const std::string &Body = "") const;

private:
  std::string BaseUrl_;
  std::string Token_;
};

} // namespace crocuslead::app
