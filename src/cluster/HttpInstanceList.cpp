#include "cluster/HttpInstanceList.h"

#include "cluster/internal/Deferred.h"
#include "cluster/internal/ExchangeError.h"
#include "http/Client.h"

#include <boost/leaf/handle_errors.hpp>

namespace crocuslead::cluster {

namespace {

using Outcome = std::variant<InstanceSnapshot, base::Error>;

constexpr int StatusOk = 200;
constexpr int StatusNotModified = 304;

Outcome decode(const std::string &Body) {
  return boost::leaf::try_handle_all(
      [&]() -> base::Result<Outcome> {
        BOOST_LEAF_AUTO(Snapshot, decodeInstances(Body));
        return Outcome(std::move(Snapshot));
      },
      [](const base::Error &E) -> Outcome { return E; },
      []() -> Outcome {
        return base::Error{base::ErrorKind::Internal, "instance list"};
      });
}

Outcome interpret(const http::ExchangeResult &Result, int64_t KnownRevision) {
  if (Result.Failure_ != http::ExchangeFailure::None)
    return internal::exchangeError(Result);
  if (Result.Answer_.Status_ == StatusNotModified)
    return InstanceSnapshot{KnownRevision, {}};
  if (Result.Answer_.Status_ != StatusOk)
    return base::Error{base::ErrorKind::Internal,
                       "instance list answered with status " +
                           std::to_string(Result.Answer_.Status_)};
  return decode(Result.Answer_.Body_);
}

class HttpInstanceList final : public InstanceList {
public:
  HttpInstanceList(http::Client &Client, asio::io_context &Loop,
                   std::string BaseUrl, base::Duration Timeout,
                   std::shared_ptr<ListCounters> Counters)
      : Client_(Client), Loop_(Loop), BaseUrl_(std::move(BaseUrl)),
        Timeout_(Timeout), Counters_(std::move(Counters)) {
    if (!Counters_)
      Counters_ = std::make_shared<ListCounters>();
    while (!BaseUrl_.empty() && BaseUrl_.back() == '/')
      BaseUrl_.pop_back();
  }

  void fetch(int64_t KnownRevision, Callback Done) override {
    if (Running_) {
      internal::postError(
          Loop_, Alive_, std::move(Done),
          {base::ErrorKind::Overloaded, "an instance list fetch is running"});
      return;
    }
    http::ClientRequest Call;
    Call.Url_ =
        BaseUrl_ + "/v1/instances?revision=" + std::to_string(KnownRevision);
    Call.Timeout_ = Timeout_;
    Running_ = Client_.send(
        std::move(Call), [this, KnownRevision, Done = std::move(Done)](
                             const http::ExchangeResult &Result) {
          Running_.reset();
          Counters_->BytesSent_ += Result.BytesSent_;
          Counters_->BytesReceived_ += Result.BytesReceived_;
          // The receiver may destroy this list.
          Done(interpret(Result, KnownRevision));
        });
  }

private:
  http::Client &Client_;
  asio::io_context &Loop_;
  std::string BaseUrl_;
  base::Duration Timeout_;
  std::shared_ptr<ListCounters> Counters_;
  std::unique_ptr<http::Exchange> Running_;
  std::shared_ptr<void> Alive_ = std::make_shared<char>();
};

} // namespace

std::unique_ptr<InstanceList>
makeHttpInstanceList(http::Client &Client, asio::io_context &Loop,
                     std::string BaseUrl, base::Duration Timeout,
                     std::shared_ptr<ListCounters> Counters) {
  return std::make_unique<HttpInstanceList>(Client, Loop, std::move(BaseUrl),
                                            Timeout, std::move(Counters));
}

} // namespace crocuslead::cluster
