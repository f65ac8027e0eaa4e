#include "http/Client.h"

#include "http/internal/MultiCore.h"

#include <functional>
#include <string_view>
#include <vector>

namespace crocuslead::http {

namespace {

using internal::MultiCore;
using internal::Transfer;

// libcurl counts connections in use as well, and its default shrinks with the
// number of exchanges in progress. A coordinator has a waiting look at each
// worker and a few orders beside it; the smallest instances have 3,900 sockets.
constexpr long MaxKeptConnections = 2500;

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

//! Address of a URL "http://ADDRESS/path".
std::string_view addressOf(std::string_view Url) {
  constexpr std::string_view Scheme = "http://";
  if (Url.substr(0, Scheme.size()) == Scheme)
    Url.remove_prefix(Scheme.size());
  return Url.substr(0, Url.find('/'));
}

class CurlClient final : public Client {
public:
  CurlClient(asio::io_context &Loop, long MaxPerHost, std::size_t Groups) {
    for (std::size_t I = 0; I < Groups; ++I)
      Cores_.push_back(std::make_shared<MultiCore>(
          Loop, MaxPerHost, MaxKeptConnections / static_cast<long>(Groups)));
  }
  ~CurlClient() override {
    for (auto &Each : Cores_)
      Each->shutdown();
  }

  std::unique_ptr<Exchange> send(ClientRequest Request,
                                 Callback Done) override {
    return start(std::move(Request), {}, false, std::move(Done));
  }
  std::unique_ptr<Exchange> stream(ClientRequest Request, StreamSink Sink,
                                   Callback Done) override {
    return start(std::move(Request), std::move(Sink), true, std::move(Done));
  }
  ClientCounters counters() const override {
    ClientCounters Sum;
    for (const auto &Each : Cores_) {
      ClientCounters Part = Each->counters();
      Sum.BytesSent_ += Part.BytesSent_;
      Sum.BytesReceived_ += Part.BytesReceived_;
      Sum.Exchanges_ += Part.Exchanges_;
      Sum.Connections_ += Part.Connections_;
    }
    return Sum;
  }

private:
  std::unique_ptr<Exchange> start(ClientRequest Request, StreamSink Sink,
                                  bool Streams, Callback Done) {
    auto &Core = Cores_[std::hash<std::string_view>()(addressOf(Request.Url_)) %
                        Cores_.size()];
    return std::make_unique<RunningExchange>(
        Core, Core->start(std::move(Request), std::move(Sink), Streams,
                          std::move(Done)));
  }

  std::vector<std::shared_ptr<MultiCore>> Cores_;
};

} // namespace

std::unique_ptr<Client> makeClient(asio::io_context &Loop, long MaxPerHost,
                                   std::size_t Groups) {
  return std::make_unique<CurlClient>(Loop, MaxPerHost, Groups);
}

} // namespace crocuslead::http
