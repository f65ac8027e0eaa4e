#include "relay/RelayedPort.h"

#include "base/Hash.h"
#include "base/Log.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace crocuslead::relay {

namespace {

using namespace jobs;

// Several offers may be lost.
constexpr auto OfferExpiry = std::chrono::milliseconds(3500);
// For the way to a relay and back.
constexpr auto ReplyTime = std::chrono::milliseconds(400);
// A relay through which a request to a worker failed is not used for it.
constexpr auto AvoidanceTime = std::chrono::seconds(5);
// Workers that have left are forgotten then.
constexpr std::size_t MaxRoutes = 4096;
constexpr auto CheckInterval = std::chrono::milliseconds(50);

// On a slow path, stops and the renewal of leases go before starts.
enum Rank { StopRank, PollRank, StartRank };

bool isAnswered(RequestStatus Status) {
  return Status != RequestStatus::Unknown && Status != RequestStatus::NotSent &&
         Status != RequestStatus::Withheld;
}

} // namespace

RelayedPort::RelayedPort(WorkerPort &Direct, Transport &Out,
                         const base::Clock &Clock, std::string Session,
                         std::string Address)
    : Direct_(Direct), Out_(Out), Clock_(Clock), Session_(std::move(Session)),
      Address_(std::move(Address)) {}

RelayedPort::~RelayedPort() {
  for (auto &[Instance, Relay] : Relays_)
    Relay.Outbox_->close();
}

bool RelayedPort::isUsable(const RelayEntry &Relay) {
  return !Relay.AvoidedUntil_ && !Relay.Info_.Leaving_;
}

// Weighted rendezvous hashing: a relay that comes or goes moves only its own
// share of the workers.
std::string RelayedPort::chooseRelay(const WorkerAddress &To,
                                     const Route &Path) const {
  auto Region = RegionOf_.find(To.Domain_);
  const RelayEntry *Best = nullptr;
  bool BestInDomain = false;
  double BestScore = 0;
  for (const auto &[Instance, Relay] : Relays_) {
    bool InDomain = Relay.Info_.Domain_ == To.Domain_;
    bool InRegion =
        Region != RegionOf_.end() && Relay.Info_.Region_ == Region->second;
    if (!isUsable(Relay) || !InRegion || Path.Avoided_.count(Instance) > 0)
      continue;
    double Uniform =
        (static_cast<double>(base::stableHash(To.Id_ + "/" + Instance) >> 11U) +
         0.5) /
        static_cast<double>(uint64_t{1} << 53U);
    double Score = -Relay.Info_.Weight_ / std::log(Uniform);
    if (Best != nullptr && std::make_pair(InDomain, Score) <
                               std::make_pair(BestInDomain, BestScore))
      continue;
    Best = &Relay;
    BestInDomain = InDomain;
    BestScore = Score;
  }
  return Best == nullptr ? std::string() : Best->Instance_;
}

// Null if the request has to be sent directly.
RelayedPort::RelayEntry *RelayedPort::relayFor(const WorkerAddress &To) {
  if (Routes_.size() > MaxRoutes)
    Routes_.clear();
  Route &Path = Routes_[To.Id_];
  base::TimePoint Now = Clock_.now();
  for (auto It = Path.Avoided_.begin(); It != Path.Avoided_.end();)
    if (Now >= It->second) {
      It = Path.Avoided_.erase(It);
      Path.Version_ = 0;
    } else {
      ++It;
    }
  if (Path.Version_ != Version_) {
    Path.Version_ = Version_;
    Path.Relay_ = chooseRelay(To, Path);
  }
  auto It = Relays_.find(Path.Relay_);
  if (It != Relays_.end())
    return &It->second;
  ++Counters_.Direct_;
  return nullptr;
}

std::string RelayedPort::senderFor(const WorkerAddress &To) {
  auto It = Routes_.find(To.Id_);
  return It == Routes_.end() ? std::string() : It->second.Relay_;
}

void RelayedPort::enqueue(RelayEntry &Relay, RequestBody Body, Pending Entry) {
  Rank Urgency = std::holds_alternative<StartRequest>(Body)  ? StartRank
                 : std::holds_alternative<PollRequest>(Body) ? PollRank
                                                             : StopRank;
  base::Duration Wait{};
  if (const auto *Poll = std::get_if<PollRequest>(&Body))
    Wait = Poll->Wait_;
  uint64_t Number = NextNumber_++;
  Entry.IsStart_ = Urgency == StartRank;
  Entry.Relay_ = Relay.Instance_;
  // Leases depend on polls, so these are given up as if they left at once.
  Entry.GiveUpAt_ = Entry.AcceptedAt_ + CallTime + Wait + ReplyTime;
  if (Urgency != PollRank)
    Entry.GiveUpAt_ += MaxRelayDelay;
  RelayedRequest Request{Number, Entry.To_, 0, std::move(Body)};
  Pending_.emplace(Number, std::move(Entry));
  ++Counters_.Requests_;
  std::size_t Bytes = encodedBytes(Request);
  Relay.Outbox_->add(Urgency, Bytes, std::move(Request));
}

RelayedPort::Pending RelayedPort::pending(const WorkerAddress &To,
                                          RequestCallback Done,
                                          PollCallback PollDone) const {
  Pending Out;
  Out.To_ = To;
  Out.AcceptedAt_ = Clock_.now();
  Out.Done_ = std::move(Done);
  Out.PollDone_ = std::move(PollDone);
  return Out;
}

void RelayedPort::start(const WorkerAddress &To, const StartRequest &Request,
                        RequestCallback Done) {
  if (RelayEntry *Relay = relayFor(To))
    enqueue(*Relay, Request, pending(To, std::move(Done), nullptr));
  else
    Direct_.start(To, Request, std::move(Done));
}

void RelayedPort::stop(const WorkerAddress &To, const StopRequest &Request,
                       RequestCallback Done) {
  if (RelayEntry *Relay = relayFor(To))
    enqueue(*Relay, Request, pending(To, std::move(Done), nullptr));
  else
    Direct_.stop(To, Request, std::move(Done));
}

void RelayedPort::throttle(const WorkerAddress &To,
                           const ThrottleRequest &Request,
                           RequestCallback Done) {
  if (RelayEntry *Relay = relayFor(To))
    enqueue(*Relay, Request, pending(To, std::move(Done), nullptr));
  else
    Direct_.throttle(To, Request, std::move(Done));
}

void RelayedPort::poll(const WorkerAddress &To, const PollRequest &Request,
                       PollCallback Done) {
  if (RelayEntry *Relay = relayFor(To))
    enqueue(*Relay, Request, pending(To, nullptr, std::move(Done)));
  else
    Direct_.poll(To, Request, std::move(Done));
}

std::string RelayedPort::encodeBatch(const std::string &Instance,
                                     std::vector<RelayedRequest> &Requests) {
  const RelayEntry &Relay = Relays_.at(Instance);
  auto IsOver = [&](RelayedRequest &Each) {
    auto It = Pending_.find(Each.Number_);
    if (It == Pending_.end())
      return true;
    base::TimePoint End = It->second.AcceptedAt_ + MaxRelayDelay;
    Each.NotAfterMs_ = Relay.Lead_.toOther(End).value_or(0);
    It->second.Sent_ = true;
    return false;
  };
  Requests.erase(std::remove_if(Requests.begin(), Requests.end(), IsOver),
                 Requests.end());
  RequestBatch Batch;
  Batch.Incarnation_ = Relay.Incarnation_;
  Batch.Session_ = Session_;
  Batch.ReplyTo_ = Address_;
  Batch.Requests_ = Requests;
  return encode(Batch);
}

void RelayedPort::receive(const ReplyBatch &Batch) {
  auto It = Relays_.find(Batch.Instance_);
  bool Known =
      It != Relays_.end() && It->second.Incarnation_ == Batch.Incarnation_;
  if (Batch.Info_)
    addRelay(Batch);
  else if (Known)
    It->second.HeardAt_ = Clock_.now();
  if (Known)
    It->second.Lead_.record(Batch.ClockMs_, Clock_.now());
  if (Batch.Session_ != Session_)
    return;
  for (const RelayedReply &Reply : Batch.Replies_)
    complete(Reply);
}

void RelayedPort::complete(const RelayedReply &Reply) {
  auto It = Pending_.find(Reply.Number_);
  if (It == Pending_.end())
    return;
  Pending Entry = std::move(It->second);
  Pending_.erase(It);
  if (auto Relay = Relays_.find(Entry.Relay_); Relay != Relays_.end())
    Relay->second.Unanswered_ = 0;
  finish(Entry, Reply);
}

void RelayedPort::finish(const Pending &Entry, const RelayedReply &Reply) {
  if (!isAnswered(Reply.Status_)) {
    Route &Path = Routes_[Entry.To_.Id_];
    Path.Avoided_[Entry.Relay_] = Clock_.now() + AvoidanceTime;
    Path.Version_ = 0;
  }
  if (Entry.PollDone_) {
    PollReply Out;
    Out.Status_ = Reply.Status_;
    if (Reply.Report_)
      Out.Report_ = *Reply.Report_;
    else if (Out.Status_ == RequestStatus::Accepted)
      Out.Status_ = RequestStatus::Unknown;
    Entry.PollDone_(Out);
  } else {
    base::Duration Time = Clock_.now() - Entry.AcceptedAt_ - Reply.PayloadWait_;
    if (auto It = Relays_.find(Entry.Relay_);
        It != Relays_.end() && isAnswered(Reply.Status_))
      It->second.ReplyTime_ = (It->second.ReplyTime_ * 3 + Time) / 4;
    Entry.Done_({Reply.Status_, Reply.ClockMs_, Reply.PayloadWait_});
  }
}

void RelayedPort::tick() {
  base::TimePoint Now = Clock_.now();
  if (Now < NextCheckAt_)
    return;
  NextCheckAt_ = Now + CheckInterval;
  std::vector<std::string> Silent;
  for (const auto &[Instance, Relay] : Relays_)
    if (Now - Relay.HeardAt_ >= OfferExpiry)
      Silent.push_back(Instance);
  for (const std::string &Instance : Silent)
    removeRelay(Instance, "silent");
  avoidSlowRelays();
  std::vector<Pending> Expired;
  for (auto It = Pending_.begin(); It != Pending_.end();)
    if (Now >= It->second.GiveUpAt_) {
      Expired.push_back(std::move(It->second));
      It = Pending_.erase(It);
    } else {
      ++It;
    }
  for (const Pending &Each : Expired) {
    noteUnanswered(Each.Relay_);
    RelayedReply Reply;
    Reply.Status_ =
        Each.Sent_ ? RequestStatus::Unknown : RequestStatus::Withheld;
    finish(Each, Reply);
  }
}

RelayedPortCounters RelayedPort::counters() const {
  RelayedPortCounters Out = Counters_;
  for (const auto &[Instance, Relay] : Relays_) {
    if (!isUsable(Relay))
      continue;
    ++Out.Relays_;
    if (Relay.AnswerTime_ <= Out.SlowestAnswer_)
      continue;
    Out.SlowestAnswer_ = Relay.AnswerTime_;
    Out.SlowestRelay_ = Instance;
  }
  return Out;
}

} // namespace crocuslead::relay
