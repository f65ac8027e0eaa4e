#include "store/internal/EtcdWatch.h"

#include "store/internal/EtcdCodec.h"

namespace crocuslead::store::internal {

namespace {

// A watch lasts until it is cancelled or its connection ends.
constexpr auto WatchTimeout = std::chrono::hours(24 * 365);
constexpr int StatusOk = 200;
// An event carries a value of up to 1 MB in base64; the bound leaves room for a
// batch of them.
constexpr std::size_t MaxLineBytes = 64U << 20U;
constexpr std::size_t MaxErrorBytes = 4096;

//! State of one watch. The receiver may destroy the handle from within
//! OnBatch, so running code holds a reference.
class Watch : public std::enable_shared_from_this<Watch> {
public:
  Watch(std::shared_ptr<StoreCounters> Counters, Callback<WatchBatch> OnBatch)
      : Counters_(std::move(Counters)), OnBatch_(std::move(OnBatch)) {}

  void start(http::Client &Client, http::ClientRequest Request) {
    Request.Timeout_ = WatchTimeout;
    Request.MaxAnswerBytes_ = SIZE_MAX;
    http::StreamSink Sink;
    auto Weak = weak_from_this();
    Sink.OnHeader_ = [Weak](int Status, const http::Headers &) {
      if (auto Self = Weak.lock())
        Self->Status_ = Status;
    };
    Sink.OnData_ = [Weak](std::string_view Data) {
      if (auto Self = Weak.lock())
        Self->take(Data);
    };
    Running_ = Client.stream(std::move(Request), std::move(Sink),
                             [Weak](const http::ExchangeResult &Result) {
                               if (auto Self = Weak.lock())
                                 Self->ended(Result);
                             });
  }

  void cancel() {
    OnBatch_ = nullptr;
    Running_.reset();
  }

private:
  CallCounters &counters() { return Counters_->of(CallKind::Watch); }

  void take(std::string_view Data) {
    counters().BytesReceived_ += Data.size();
    // A long line arrives in many pieces; only the new one is searched.
    std::size_t Searched = Buffer_.size();
    Buffer_.append(Data);
    if (Status_ != StatusOk) {
      Buffer_.resize(std::min(Buffer_.size(), MaxErrorBytes));
      return;
    }
    std::size_t Start = 0;
    for (auto End = Buffer_.find('\n', Searched);
         End != std::string::npos && OnBatch_;
         End = Buffer_.find('\n', Start)) {
      takeLine(std::string_view(Buffer_).substr(Start, End - Start));
      Start = End + 1;
    }
    Buffer_.erase(0, Start);
    if (OnBatch_ && Buffer_.size() > MaxLineBytes)
      fail("the store sent an endless line");
  }

  void takeLine(std::string_view Line) {
    if (Line.empty())
      return;
    auto Decoded = decodeWatchLine(Line);
    if (Decoded.index() == 1) {
      fail(std::get<1>(Decoded));
      return;
    }
    if (!std::get<0>(Decoded).Events_.empty()) {
      auto Receiver = OnBatch_;
      Receiver(std::move(std::get<0>(Decoded)));
    }
  }

  void ended(const http::ExchangeResult &Result) {
    counters().BytesSent_ += Result.BytesSent_;
    if (Status_ != StatusOk && Status_ != 0)
      fail("store answered " + std::to_string(Status_) + ": " +
           decodeErrorMessage(Buffer_));
    else if (Result.Failure_ != http::ExchangeFailure::None)
      fail("watch failed: " + Result.Detail_);
    else
      fail("the store closed the watch");
  }

  void fail(std::string Message) {
    if (!OnBatch_)
      return;
    ++counters().Failures_;
    auto Receiver = std::move(OnBatch_);
    OnBatch_ = nullptr;
    Running_.reset();
    Receiver(StoreError{false, std::move(Message)});
  }

  std::shared_ptr<StoreCounters> Counters_;
  Callback<WatchBatch> OnBatch_;
  std::unique_ptr<http::Exchange> Running_;
  std::string Buffer_;
  int Status_ = 0;
};

class Handle final : public WatchHandle {
public:
  explicit Handle(std::shared_ptr<Watch> Target) : Target_(std::move(Target)) {}
  ~Handle() override { Target_->cancel(); }

private:
  std::shared_ptr<Watch> Target_;
};

} // namespace

std::unique_ptr<WatchHandle> openWatch(http::Client &Client,
                                       http::ClientRequest Request,
                                       std::shared_ptr<StoreCounters> Counters,
                                       Callback<WatchBatch> OnBatch) {
  auto Made = std::make_shared<Watch>(std::move(Counters), std::move(OnBatch));
  Made->start(Client, std::move(Request));
  return std::make_unique<Handle>(std::move(Made));
}

} // namespace crocuslead::store::internal
