#pragma once

#include "base/Clock.h"
#include "jobs/WorkerPort.h"
#include "relay/Messages.h"
#include "relay/Transport.h"

#include <boost/leaf/handle_errors.hpp>
#include <doctest/doctest.h>

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace crocuslead::relay::test {

using jobs::RequestStatus;
using std::chrono::milliseconds;
using std::chrono::seconds;

//! A message that a FakeTransport was given.
struct Exchange {
  std::string Address_;
  std::string Path_;
  std::string Body_;
  base::Duration Timeout_{};
  Transport::AnswerCallback Done_;

  void answer(std::optional<std::string> Body) {
    std::exchange(Done_, nullptr)(std::move(Body));
  }
};

//! Keeps messages until the test answers them.
class FakeTransport final : public Transport {
public:
  void post(const std::string &Address, const std::string &Path,
            std::string Body, base::Duration Timeout,
            AnswerCallback Done) override {
    Posts_.push_back(
        {Address, Path, std::move(Body), Timeout, std::move(Done)});
  }
  void get(const std::string &Address, const std::string &Path,
           base::Duration Timeout, AnswerCallback Done) override {
    Gets_.push_back({Address, Path, "", Timeout, std::move(Done)});
  }
  void defer(std::function<void()> Action) override {
    Deferred_.push_back(std::move(Action));
  }

  //! Runs what was deferred, and what that defers.
  void settle() {
    while (!Deferred_.empty())
      for (auto &Action : std::exchange(Deferred_, {}))
        Action();
  }

  std::vector<Exchange> Posts_;
  std::vector<Exchange> Gets_;
  std::vector<std::function<void()>> Deferred_;
};

//! A request that FakeWorkers were given.
struct WorkerCall {
  jobs::WorkerAddress To_;
  RequestBody Body_;
  jobs::WorkerPort::RequestCallback Done_;
  jobs::WorkerPort::PollCallback PollDone_;
};

class FakeWorkers final : public jobs::WorkerPort {
public:
  void start(const jobs::WorkerAddress &To, const jobs::StartRequest &Request,
             RequestCallback Done) override {
    Calls_.push_back({To, Request, std::move(Done), nullptr});
  }
  void stop(const jobs::WorkerAddress &To, const jobs::StopRequest &Request,
            RequestCallback Done) override {
    Calls_.push_back({To, Request, std::move(Done), nullptr});
  }
  void throttle(const jobs::WorkerAddress &To,
                const jobs::ThrottleRequest &Request,
                RequestCallback Done) override {
    Calls_.push_back({To, Request, std::move(Done), nullptr});
  }
  void poll(const jobs::WorkerAddress &To, const jobs::PollRequest &Request,
            PollCallback Done) override {
    Calls_.push_back({To, Request, nullptr, std::move(Done)});
  }

  std::vector<WorkerCall> Calls_;
};

template <typename T> T valueOf(base::Result<T> Result) {
  REQUIRE(Result);
  return std::move(*Result);
}

inline int64_t clockMs(const base::Clock &Clock) {
  return base::toMillis(Clock.now().time_since_epoch());
}

inline jobs::StartRequest startOf(const std::string &Job, uint64_t Token = 1) {
  jobs::StartRequest Out;
  Out.Task_ = {Job, {0, 0, 0}};
  Out.Run_ = 1;
  Out.FencingToken_ = Token;
  return Out;
}

//! A start whose payload is stored apart.
inline jobs::StartRequest leanStartOf(const std::string &Job) {
  jobs::StartRequest Out = startOf(Job);
  Out.PayloadApart_ = true;
  Out.PayloadSource_ = "10.0.0.9:7720";
  return Out;
}

} // namespace crocuslead::relay::test
