#include "app/OperatorClient.h"

#include "http/Client.h"

#include <asio/io_context.hpp>

namespace crocuslead::app {

CallAnswer OperatorClient::call(const std::string &Method,
                                const std::string &Path,
                                const std::string &Body) const {
  asio::io_context Loop;
  auto Client = http::makeClient(Loop, 1);
  http::ClientRequest Request;
  Request.Method_ = Method;
  Request.Url_ = BaseUrl_ + Path;
  Request.Headers_ = {{"Authorization", "Bearer " + Token_},
                      {"Content-Type", "application/json"}};
  Request.Body_ = Body;
  Request.Timeout_ = std::chrono::seconds(15);
  CallAnswer Out{0, ""};
  bool Finished = false;
  auto Exchange =
      Client->send(std::move(Request), [&](const http::ExchangeResult &Result) {
        Finished = true;
        if (Result.Failure_ == http::ExchangeFailure::None)
          Out = {Result.Answer_.Status_, Result.Answer_.Body_};
        else
          Out = {0, "no answer from " + BaseUrl_ + ": " + Result.Detail_};
      });
  while (!Finished && Loop.run_one() > 0) {
  }
  return Out;
}

} // namespace crocuslead::app
