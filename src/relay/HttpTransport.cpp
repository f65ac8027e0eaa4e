#include "relay/HttpTransport.h"

#include <asio/post.hpp>

#include <utility>

namespace crocuslead::relay {

namespace {

constexpr int StatusOk = 200;

} // namespace

void HttpTransport::post(const std::string &Address, const std::string &Path,
                         std::string Body, base::Duration Timeout,
                         AnswerCallback Done) {
  send("POST", Address, Path, std::move(Body), Timeout, std::move(Done));
}

void HttpTransport::get(const std::string &Address, const std::string &Path,
                        base::Duration Timeout, AnswerCallback Done) {
  send("GET", Address, Path, "", Timeout, std::move(Done));
}

void HttpTransport::send(const char *Method, const std::string &Address,
                         const std::string &Path, std::string Body,
                         base::Duration Timeout, AnswerCallback Done) {
  http::ClientRequest Request;
  Request.Method_ = Method;
  Request.Url_ = "http://" + Address + Path;
  Request.Body_ = std::move(Body);
  Request.Timeout_ = Request.ConnectTimeout_ = Timeout;
  uint64_t Number = NextCall_++;
  Calls_[Number] = Client_.send(
      std::move(Request),
      [this, Number, Done = std::move(Done)](http::ExchangeResult Result) {
        auto Self = std::move(Calls_[Number]);
        Calls_.erase(Number);
        bool Answered = Result.Failure_ == http::ExchangeFailure::None &&
                        Result.Answer_.Status_ == StatusOk;
        Done(Answered
                 ? std::optional<std::string>(std::move(Result.Answer_.Body_))
                 : std::nullopt);
      });
}

void HttpTransport::defer(std::function<void()> Action) {
  asio::post(Loop_,
             [Weak = std::weak_ptr<int>(Alive_), Action = std::move(Action)] {
               if (!Weak.expired())
                 Action();
             });
}

} // namespace crocuslead::relay
