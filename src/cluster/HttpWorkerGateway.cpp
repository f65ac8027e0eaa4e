#include "cluster/HttpWorkerGateway.h"

#include "cluster/ReportDelta.h"
#include "cluster/WorkerCodec.h"
#include "cluster/internal/Deferred.h"
#include "cluster/internal/ExchangeError.h"
#include "http/Client.h"

#include <boost/leaf/handle_errors.hpp>
#include <deque>
#include <unordered_map>

namespace crocuslead::cluster {

namespace {

using Outcome = std::variant<WorkerReply, base::Error>;

constexpr int StatusOk = 200;

base::Error statusError(int Status) {
  bool Refused = Status >= 400 && Status < 500;
  return {Refused ? base::ErrorKind::InvalidRequest : base::ErrorKind::Internal,
          "worker answered with status " + std::to_string(Status)};
}

Outcome interpret(const http::ExchangeResult &Result,
                  const WorkerRequest &Request, const ReportBase &Known) {
  if (Result.Failure_ != http::ExchangeFailure::None)
    return internal::exchangeError(Result);
  if (Result.Answer_.Status_ != StatusOk)
    return statusError(Result.Answer_.Status_);
  return boost::leaf::try_handle_all(
      [&]() -> base::Result<Outcome> {
        BOOST_LEAF_AUTO(Reply, decodeReply(Result.Answer_.Body_));
        if (Reply.Packed_ &&
            (Request.KnownReport_ == 0 || !unpackReply(Reply, Known)))
          return base::fail(base::ErrorKind::Internal,
                            "worker reply does not fit the known report");
        if (!Reply.EpochRefused_ &&
            Reply.Commands_.size() != Request.Commands_.size())
          return base::fail(base::ErrorKind::Internal,
                            "worker reply has another number of commands");
        return Outcome(std::move(Reply));
      },
      [](const base::Error &E) -> Outcome {
        return base::Error{base::ErrorKind::Internal, E.Message_};
      },
      []() -> Outcome {
        return base::Error{base::ErrorKind::Internal, "malformed worker reply"};
      });
}

class HttpWorkerGateway final : public WorkerGateway {
public:
  HttpWorkerGateway(http::Client &Client, asio::io_context &Loop,
                    const GatewaySettings &Settings,
                    std::shared_ptr<GatewayCounters> Counters)
      : Client_(Client), Loop_(Loop), Settings_(Settings),
        Counters_(std::move(Counters)) {
    if (!Counters_)
      Counters_ = std::make_shared<GatewayCounters>();
  }

  void send(WorkerRequest Request, Callback Done) override {
    Channel &To = Channels_[Request.Worker_];
    if (To.Waiting_.size() >= Settings_.MaxQueued_) {
      ++Counters_->Refused_;
      internal::postError(
          Loop_, Alive_, std::move(Done),
          {base::ErrorKind::Overloaded,
           "too many messages wait for worker " + Request.Worker_});
      return;
    }
    To.Waiting_.push_back({std::move(Request), std::move(Done)});
    if (!To.Running_)
      start(To);
  }

private:
  struct Message {
    WorkerRequest Request_;
    Callback Done_;
  };
  struct Channel {
    //! The first is in flight when Running_ is set.
    std::deque<Message> Waiting_;
    std::unique_ptr<http::Exchange> Running_;
  };

  void start(Channel &On) {
    WorkerRequest &Next = On.Waiting_.front().Request_;
    auto Known = Reports_.find(Next.Worker_);
    if (Known != Reports_.end() && Known->second.Epoch_ == Next.Epoch_)
      Next.KnownReport_ = Known->second.token();
    http::ClientRequest Call;
    Call.Method_ = "POST";
    Call.Url_ = "http://" + Next.Address_ + "/v1/commands";
    Call.Body_ = encodeRequest(Next);
    Call.Timeout_ = Settings_.Timeout_;
    Call.ConnectTimeout_ = Settings_.ConnectTimeout_;
    Call.MaxAnswerBytes_ = Settings_.MaxReplyBytes_;
    On.Running_ = Client_.send(
        std::move(Call), [this, Worker = Next.Worker_](const auto &Result) {
          finished(Worker, Result);
        });
  }

  // After an error both sides start from a full report again, so the next
  // request names none.
  static void remember(ReportBase &Known, int64_t Epoch, const Outcome &Got) {
    const auto *Reply = std::get_if<WorkerReply>(&Got);
    bool Answered = Reply != nullptr && !Reply->EpochRefused_;
    if (Answered && Reply->HasReport_)
      Known = makeReportBase(*Reply, Epoch);
    else if (!Answered || Reply->Incarnation_ != Known.Incarnation_ ||
             Known.Epoch_ != Epoch)
      Known = {};
  }

  void count(const Message &Of, const http::ExchangeResult &Result,
             bool Failed) {
    ++Counters_->Messages_;
    Counters_->Failures_ += Failed ? 1 : 0;
    Counters_->BytesSent_ += Result.BytesSent_;
    Counters_->BytesReceived_ += Result.BytesReceived_;
    if (Of.Request_.Commands_.empty())
      Counters_->RenewalBytes_ += Result.BytesSent_ + Result.BytesReceived_;
  }

  void finished(const std::string &Worker, const http::ExchangeResult &Result) {
    auto It = Channels_.find(Worker);
    Channel &On = It->second;
    Message First = std::move(On.Waiting_.front());
    On.Waiting_.pop_front();
    ReportBase &Known = Reports_[Worker];
    Outcome Got = interpret(Result, First.Request_, Known);
    remember(Known, First.Request_.Epoch_, Got);
    count(First, Result, Got.index() == 1);
    std::deque<Message> Dropped;
    asio::io_context &Loop = Loop_;
    std::weak_ptr<void> Alive = Alive_;
    if (Result.Failure_ == http::ExchangeFailure::ConnectFailed)
      Dropped.swap(On.Waiting_);
    On.Running_.reset();
    if (On.Waiting_.empty())
      Channels_.erase(It);
    else
      start(On);
    // Receivers may send again or destroy this gateway.
    First.Done_(std::move(Got));
    for (Message &One : Dropped)
      internal::postError(Loop, Alive, std::move(One.Done_),
                          internal::exchangeError(Result));
  }

  http::Client &Client_;
  asio::io_context &Loop_;
  GatewaySettings Settings_;
  std::shared_ptr<GatewayCounters> Counters_;
  std::unordered_map<std::string, Channel> Channels_;
  //! By worker; one entry for each worker that this process has addressed.
  std::unordered_map<std::string, ReportBase> Reports_;
  std::shared_ptr<void> Alive_ = std::make_shared<char>();
};

} // namespace

std::unique_ptr<WorkerGateway>
makeHttpWorkerGateway(http::Client &Client, asio::io_context &Loop,
                      const GatewaySettings &Settings,
                      std::shared_ptr<GatewayCounters> Counters) {
  return std::make_unique<HttpWorkerGateway>(Client, Loop, Settings,
                                             std::move(Counters));
}

} // namespace crocuslead::cluster
