#include "relay/PayloadPort.h"

#include "base/Hash.h"
#include "base/Log.h"
#include "jobs/JobKeys.h"
#include "relay/Messages.h"

#include <utility>

namespace crocuslead::relay {

namespace {

using namespace jobs;

// Four round trips between regions; the store is asked after that.
constexpr auto PeerTimeout = std::chrono::milliseconds(250);
// With the time for which a call may take, it stays below
// CoordinatorTimings::SilentRequestDelay_; MaxRequestDelay_ includes it.
constexpr auto MaxPayloadWait = std::chrono::milliseconds(600);

} // namespace

PayloadPort::PayloadPort(WorkerPort &Workers, PayloadCache &Payloads,
                         Transport &Out, store::KeyValueStore &Store,
                         const base::Clock &Clock)
    : Workers_(Workers), Payloads_(Payloads), Out_(Out), Store_(Store),
      Clock_(Clock) {}

void PayloadPort::start(const WorkerAddress &To, const StartRequest &Request,
                        RequestCallback Done) {
  if (!Request.PayloadApart_) {
    Workers_.start(To, Request, std::move(Done));
    return;
  }
  const std::string &Job = Request.Task_.Job_;
  const std::string *Known = Payloads_.find(Job);
  if (Known != nullptr && isPayloadOf(Request, *Known)) {
    send(To, Request, *Known, {}, std::move(Done));
    return;
  }
  base::TimePoint Now = Clock_.now();
  std::vector<WaitingStart> &Waiting = Waiting_[Job];
  Waiting.push_back({To, Request, std::move(Done), Now});
  base::TimePoint &Limit = Waiting.back().Request_.SendBefore_;
  Limit = std::min(Limit, Now + MaxPayloadWait);
  if (Waiting.size() == 1)
    fetch(Job, Request.PayloadSource_);
}

bool PayloadPort::isPayloadOf(const StartRequest &Request,
                              const std::string &Payload) {
  return Request.PayloadHash_ == 0 ||
         Request.PayloadHash_ == base::stableHash(Payload);
}

void PayloadPort::fetch(const std::string &Job, const std::string &Source) {
  if (Source.empty()) {
    readStored(Job);
    return;
  }
  Out_.get(Source, PayloadsPath + Job, PeerTimeout,
           [this, Weak = std::weak_ptr<int>(Alive_),
            Job](const std::optional<std::string> &Payload) {
             if (Weak.expired())
               return;
             if (Payload &&
                 isPayloadOf(Waiting_[Job].front().Request_, *Payload))
               fetched(Job, Payload);
             else
               readStored(Job);
           });
}

void PayloadPort::readStored(const std::string &Job) {
  Store_.range(
      JobKeys::payload(Job), "",
      [this, Weak = std::weak_ptr<int>(Alive_),
       Job](const store::StoreResult<store::RangeReply> &Result) {
        if (Weak.expired())
          return;
        const auto *Reply = std::get_if<store::RangeReply>(&Result);
        if (Reply != nullptr && !Reply->Values_.empty()) {
          fetched(Job, Reply->Values_.front().Value_);
          return;
        }
        base::logEvent(
            base::LogLevel::Warn, "payload-not-found",
            {{"job", Job},
             {"reason", Reply != nullptr
                            ? "the store has no such key"
                            : std::get<store::StoreError>(Result).Message_}});
        fetched(Job, std::nullopt);
      });
}

void PayloadPort::fetched(const std::string &Job,
                          const std::optional<std::string> &Payload) {
  if (Payload)
    Payloads_.add(Job, *Payload);
  auto Starts = std::move(Waiting_[Job]);
  Waiting_.erase(Job);
  base::TimePoint Now = Clock_.now();
  for (WaitingStart &Each : Starts) {
    base::Duration Waited = Now - Each.Since_;
    if (Payload && isPayloadOf(Each.Request_, *Payload) &&
        Now < Each.Request_.SendBefore_)
      send(Each.To_, std::move(Each.Request_), *Payload, Waited,
           std::move(Each.Done_));
    else
      Each.Done_({RequestStatus::Withheld, std::nullopt, Waited});
  }
}

void PayloadPort::send(const WorkerAddress &To, StartRequest Request,
                       const std::string &Payload, base::Duration Waited,
                       RequestCallback Done) {
  Request.Payload_ = Payload;
  Workers_.start(To, Request,
                 [Waited, Done = std::move(Done)](const RequestReply &Reply) {
                   RequestReply Out = Reply;
                   Out.PayloadWait_ = Waited;
                   Done(Out);
                 });
}

void PayloadPort::stop(const WorkerAddress &To, const StopRequest &Request,
                       RequestCallback Done) {
  Workers_.stop(To, Request, std::move(Done));
}

void PayloadPort::throttle(const WorkerAddress &To,
                           const ThrottleRequest &Request,
                           RequestCallback Done) {
  Workers_.throttle(To, Request, std::move(Done));
}

void PayloadPort::poll(const WorkerAddress &To, const PollRequest &Request,
                       PollCallback Done) {
  Workers_.poll(To, Request, std::move(Done));
}

} // namespace crocuslead::relay
