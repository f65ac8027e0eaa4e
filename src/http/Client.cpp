#include "http/Client.h"

#include "http/internal/ClientRules.h"
#include "http/internal/MultiCore.h"

namespace crocuslead::http {

namespace {

using internal::MaxKeptConnections;
using internal::MultiCore;
using internal::Transfer;

class RunningExchange final : public Exchange {
public:
  RunningExchange(std::weak_ptr<MultiCore> Core,
                  std::shared_ptr<Transfer> Target)
      : Core_(std::move(Core)), Target_(std::move(Target)) {}
  ~RunningExchange() override {
    if (auto Core = Core_.lock())
      Core->cancel(Target_);
    else
      Target_->cancel();
  }

private:
  std::weak_ptr<MultiCore> Core_;
  std::shared_ptr<Transfer> Target_;
};

class CurlClient final : public Client {
public:
  CurlClient(asio::io_context &Loop, long MaxPerHost)
      : Core_(std::make_shared<MultiCore>(Loop, MaxPerHost,
                                          MaxKeptConnections)) {}
  ~CurlClient() override { Core_->shutdown(); }

  std::unique_ptr<Exchange> send(ClientRequest Request,
                                 Callback Done) override {
    return start(std::move(Request), {}, false, std::move(Done));
  }
  std::unique_ptr<Exchange> stream(ClientRequest Request, StreamSink Sink,
                                   Callback Done) override {
    return start(std::move(Request), std::move(Sink), true, std::move(Done));
  }
  ClientCounters counters() const override { return Core_->counters(); }

private:
  std::unique_ptr<Exchange> start(ClientRequest Request, StreamSink Sink,
                                  bool Streams, Callback Done) {
    return std::make_unique<RunningExchange>(
        Core_, Core_->start(std::move(Request), std::move(Sink), Streams,
                            std::move(Done)));
  }

  std::shared_ptr<MultiCore> Core_;
};

} // namespace

std::unique_ptr<Client> makeClient(asio::io_context &Loop, long MaxPerHost) {
  return std::make_unique<CurlClient>(Loop, MaxPerHost);
}

} // namespace crocuslead::http
