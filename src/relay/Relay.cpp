#include "relay/Relay.h"

#include "base/Log.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace crocuslead::relay {

namespace {

using namespace jobs;

// A coordinator that has heard nothing for several such times uses other paths.
constexpr auto OfferInterval = std::chrono::milliseconds(1000);
constexpr auto OfferTimeout = std::chrono::milliseconds(1000);
// The coordinator has given up a request long before.
constexpr auto ReplyTimeout = std::chrono::seconds(3);
// Above it, those of former coordinators that are idle are dropped.
constexpr std::size_t MaxOutboxes = 4;

} // namespace

Relay::Relay(WorkerPort &Workers, Transport &Out, const base::Clock &Clock,
             std::string Instance, std::string Incarnation, RelayInfo Info)
    : Workers_(Workers), Out_(Out), Clock_(Clock),
      Instance_(std::move(Instance)), Incarnation_(std::move(Incarnation)),
      Info_(std::move(Info)) {}

Relay::~Relay() {
  for (auto &[Session, Box] : Outboxes_)
    Box->close();
}

void Relay::setCoordinator(const std::string &Address) {
  if (Coordinator_ == Address)
    return;
  Coordinator_ = Address;
  NextOffer_ = Clock_.now();
}

void Relay::tick() {
  if (!Coordinator_.empty() && Clock_.now() >= NextOffer_)
    offer();
}

void Relay::leave() {
  Info_.Leaving_ = true;
  NextOffer_ = Clock_.now();
}

void Relay::offer() {
  NextOffer_ = Clock_.now() + OfferInterval;
  ReplyBatch Batch = batchFor("");
  Batch.Info_ = Info_;
  Out_.post(Coordinator_, RepliesPath, encode(Batch), OfferTimeout,
            [](const std::optional<std::string> &) {
              // The next offer follows soon.
            });
}

ReplyBatch Relay::batchFor(const std::string &Session) const {
  ReplyBatch Out;
  Out.Instance_ = Instance_;
  Out.Incarnation_ = Incarnation_;
  Out.Session_ = Session;
  Out.ClockMs_ = base::toMillis(Clock_.now().time_since_epoch());
  return Out;
}

void Relay::receive(RequestBatch Batch) {
  Origin From{std::move(Batch.Session_), std::move(Batch.ReplyTo_)};
  bool Mine = Batch.Incarnation_ == Incarnation_;
  for (RelayedRequest &Request : Batch.Requests_) {
    ++Active_;
    if (Mine)
      process(From, std::move(Request));
    else
      refuse(From, Request, RequestStatus::Withheld);
  }
}

// The coordinator counts on it that nothing is sent for it after this time.
base::Duration Relay::timeLeft(const RelayedRequest &Request) const {
  return std::chrono::milliseconds(Request.NotAfterMs_) -
         Clock_.now().time_since_epoch();
}

void Relay::process(const Origin &From, RelayedRequest Request) {
  uint64_t Token = fencingToken(Request.Body_);
  if (Token < LatestFirstToken_) {
    refuse(From, Request, RequestStatus::Fenced);
    return;
  }
  LatestFirstToken_ = std::max(LatestFirstToken_, firstToken(Request.Body_));
  base::Duration Left = timeLeft(Request);
  if (Left.count() <= 0) {
    base::logEvent(base::LogLevel::Warn, "relayed-request-late",
                   {{"worker", Request.To_.Id_},
                    {"token", Token},
                    {"late_ms", base::toMillis(-Left)}});
    refuse(From, Request, RequestStatus::Withheld);
    return;
  }
  if (auto *Start = std::get_if<StartRequest>(&Request.Body_))
    Start->SendBefore_ = Clock_.now() + Left;
  send(From, Request);
}

void Relay::refuse(const Origin &From, const RelayedRequest &Request,
                   RequestStatus Status) {
  RelayedReply Out;
  Out.Number_ = Request.Number_;
  Out.Status_ = Status;
  reply(From, std::move(Out));
}

void Relay::send(const Origin &From, const RelayedRequest &Request) {
  auto Answer = [this, Weak = std::weak_ptr<int>(Alive_), From,
                 Number = Request.Number_](const RequestReply &Got) {
    if (Weak.expired())
      return;
    RelayedReply Out;
    Out.Number_ = Number;
    Out.Status_ = Got.Status_;
    Out.ClockMs_ = Got.ClockMs_;
    Out.PayloadWait_ = Got.PayloadWait_;
    reply(From, std::move(Out));
  };
  auto AnswerPoll = [this, Weak = std::weak_ptr<int>(Alive_), From,
                     Number = Request.Number_](const PollReply &Got) {
    if (Weak.expired())
      return;
    RelayedReply Out;
    Out.Number_ = Number;
    Out.Status_ = Got.Status_;
    if (Got.Status_ == RequestStatus::Accepted)
      Out.Report_ = Got.Report_;
    reply(From, std::move(Out));
  };
  const WorkerAddress &To = Request.To_;
  if (const auto *Start = std::get_if<StartRequest>(&Request.Body_))
    Workers_.start(To, *Start, Answer);
  else if (const auto *Stop = std::get_if<StopRequest>(&Request.Body_))
    Workers_.stop(To, *Stop, Answer);
  else if (const auto *Throttle = std::get_if<ThrottleRequest>(&Request.Body_))
    Workers_.throttle(To, *Throttle, Answer);
  else
    Workers_.poll(To, std::get<PollRequest>(Request.Body_), AnswerPoll);
}

void Relay::reply(const Origin &From, RelayedReply Answer) {
  --Active_;
  // Replies to starts and stops are small and go before reports.
  int Rank = Answer.Report_ ? 1 : 0;
  std::size_t Bytes = encodedBytes(Answer);
  outboxOf(From).add(Rank, Bytes, std::move(Answer));
}

Relay::ReplyOutbox &Relay::outboxOf(const Origin &To) {
  auto It = Outboxes_.find(To.Session_);
  if (It != Outboxes_.end())
    return *It->second;
  for (auto Each = Outboxes_.begin();
       Outboxes_.size() >= MaxOutboxes && Each != Outboxes_.end();)
    Each = Each->second->idle() ? Outboxes_.erase(Each) : std::next(Each);
  auto Encode = [this, Session = To.Session_](std::vector<RelayedReply> &Each) {
    ReplyBatch Batch = batchFor(Session);
    Batch.Replies_ = Each;
    return encode(Batch);
  };
  // A reply that is lost counts as none: the coordinator does not wait for it
  // for ever.
  auto Box = std::make_shared<ReplyOutbox>(
      Out_, Clock_, To.Address_, RepliesPath, Encode,
      [](const std::optional<std::string> &, base::Duration) {});
  Box->setTimeout(ReplyTimeout);
  return *Outboxes_.emplace(To.Session_, std::move(Box)).first->second;
}

} // namespace crocuslead::relay
