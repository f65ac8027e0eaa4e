#include "http/PatientRead.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <chrono>
#include <optional>
#include <utility>

namespace crocuslead::http {

namespace {

// Bounds an answer that never ends. One of a megabyte takes this time at 250
// kbit/s.
constexpr auto LongestRead = std::chrono::seconds(32);

class PatientRead final : public std::enable_shared_from_this<PatientRead> {
public:
  PatientRead(asio::io_context &Loop, base::Duration IdleTimeout,
              RequestClient::Callback Done)
      : Timer_(Loop), IdleTimeout_(IdleTimeout), Done_(std::move(Done)) {}

  void begin(Client &Client, ClientRequest Request) {
    expectWithin(Request.Timeout_);
    Request.Timeout_ = LongestRead;
    StreamSink Sink;
    Sink.OnHeader_ = [this](int Status, const Headers &All) {
      Answer_.Status_ = Status;
      Answer_.Headers_ = All;
      HeaderAt_ = std::chrono::steady_clock::now();
      expectWithin(IdleTimeout_);
    };
    Sink.OnData_ = [this](std::string_view Data) {
      Answer_.Body_.append(Data);
      expectWithin(IdleTimeout_);
    };
    Running_ = Client.stream(
        std::move(Request), std::move(Sink), [this](ExchangeResult Result) {
          Result.Answer_ = std::move(Answer_);
          if (HeaderAt_)
            Result.BodyTime_ = std::chrono::duration_cast<base::Duration>(
                std::chrono::steady_clock::now() - *HeaderAt_);
          end(std::move(Result));
        });
  }

  void cancel() {
    Done_ = nullptr;
    Timer_.cancel();
    Running_.reset();
  }

private:
  void expectWithin(base::Duration Time) {
    Timer_.expires_after(Time);
    Timer_.async_wait([Weak = weak_from_this()](const asio::error_code &Error) {
      auto Self = Weak.lock();
      // A handler that is already queued is not cancelled with the timer.
      if (Error || !Self || !Self->Done_ ||
          Self->Timer_.expiry() > std::chrono::steady_clock::now())
        return;
      ExchangeResult Result;
      Result.Failure_ = ExchangeFailure::TimedOut;
      Result.Detail_ = "no part of the answer came in time";
      Result.BytesReceived_ = Self->Answer_.Body_.size();
      Self->end(std::move(Result));
    });
  }

  // The receiver may destroy this exchange.
  void end(ExchangeResult Result) {
    auto Self = shared_from_this();
    auto Done = std::exchange(Done_, nullptr);
    Timer_.cancel();
    auto Ended = std::move(Running_);
    if (Done)
      Done(std::move(Result));
  }

  asio::steady_timer Timer_;
  base::Duration IdleTimeout_;
  RequestClient::Callback Done_;
  Response Answer_;
  std::optional<std::chrono::steady_clock::time_point> HeaderAt_;
  std::unique_ptr<Exchange> Running_;
};

class PatientReadHandle final : public Exchange {
public:
  explicit PatientReadHandle(std::shared_ptr<PatientRead> Read)
      : Read_(std::move(Read)) {}
  ~PatientReadHandle() override { Read_->cancel(); }

private:
  std::shared_ptr<PatientRead> Read_;
};

} // namespace

std::unique_ptr<Exchange> readPatiently(Client &Client, asio::io_context &Loop,
                                        ClientRequest Request,
                                        base::Duration IdleTimeout,
                                        RequestClient::Callback Done) {
  auto Read = std::make_shared<PatientRead>(Loop, IdleTimeout, std::move(Done));
  Read->begin(Client, std::move(Request));
  return std::make_unique<PatientReadHandle>(std::move(Read));
}

} // namespace crocuslead::http
