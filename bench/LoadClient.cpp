#include "Figures.h"

#include "http/Client.h"

#include <algorithm>
#include <asio/io_context.hpp>
#include <chrono>
#include <cstdio>
#include <memory>
#include <vector>

namespace crocuslead::bench {

namespace {

using SteadyClock = std::chrono::steady_clock;

double millisSince(SteadyClock::time_point Start) {
  return std::chrono::duration<double, std::milli>(SteadyClock::now() - Start)
      .count();
}

class LoadClient {
public:
  LoadClient(std::string Url, std::size_t Concurrency, std::size_t Count)
      : Url_(std::move(Url)), Count_(Count), Running_(Concurrency) {}

  bool run() {
    auto Start = SteadyClock::now();
    for (std::size_t Slot = 0; Slot < Running_.size(); ++Slot)
      sendNext(Slot);
    while (Took_.size() + Failed_ < Count_ && Loop_.run_one() > 0) {
    }
    print(millisSince(Start));
    return Failed_ == 0;
  }

private:
  void sendNext(std::size_t Slot) {
    if (Sent_ == Count_)
      return;
    ++Sent_;
    http::ClientRequest Request;
    Request.Url_ = Url_;
    auto At = SteadyClock::now();
    Running_[Slot] =
        Client_->send(std::move(Request),
                      [this, Slot, At](const http::ExchangeResult &Result) {
                        constexpr int StatusOk = 200;
                        if (Result.Failure_ == http::ExchangeFailure::None &&
                            Result.Answer_.Status_ == StatusOk)
                          Took_.push_back(millisSince(At));
                        else
                          ++Failed_;
                        sendNext(Slot);
                      });
  }

  void print(double TotalMs) {
    std::sort(Took_.begin(), Took_.end());
    auto At = [this](std::size_t Percent) {
      constexpr std::size_t Whole = 100;
      return Took_.empty() ? 0.0 : Took_[(Took_.size() - 1) * Percent / Whole];
    };
    constexpr double MsPerSecond = 1000;
    std::printf("{\"p50_ms\":%.4f,\"p99_ms\":%.4f,\"requests_per_s\":%.1f,"
                "\"failed\":%zu}\n",
                At(50), At(99),
                static_cast<double>(Took_.size()) * MsPerSecond / TotalMs,
                Failed_);
  }

  asio::io_context Loop_;
  std::unique_ptr<http::Client> Client_ = http::makeClient(Loop_, 0);
  std::string Url_;
  std::size_t Count_;
  std::size_t Sent_ = 0;
  std::size_t Failed_ = 0;
  std::vector<double> Took_;
  std::vector<std::unique_ptr<http::Exchange>> Running_;
};

} // namespace

bool runLoadClient(const std::string &Url, int Concurrency, int Count) {
  return LoadClient(Url, static_cast<std::size_t>(std::max(1, Concurrency)),
                    static_cast<std::size_t>(std::max(1, Count)))
      .run();
}

} // namespace crocuslead::bench
