#include "relay/RelayedPort.h"

#include "base/Log.h"

#include <algorithm>
#include <charconv>
#include <utility>

// Which relays there are, and which of them are used.

namespace crocuslead::relay {

namespace {

using namespace jobs;

// A relay that does not answer for this time, and several times as long as it
// usually takes, may be gone.
constexpr auto LeastAnswerTimeout = std::chrono::milliseconds(400);
constexpr int AnswerTimeFactor = 4;
// A relay that did not answer, or slowly, gets no requests for this time.
constexpr auto RelayAvoidanceTime = std::chrono::seconds(3);
// Replies of a relay are slow if they take this many times as long as those of
// the median relay, and more than half of the time for which it may keep them.
constexpr int SlowFactor = 4;
constexpr base::Duration LeastSlowReply = RelayedPort::MaxRelayDelay / 2;
// Requests in a row without a reply after which a relay is not used.
constexpr int MaxUnanswered = 8;

} // namespace

void RelayedPort::exchangeEnded(const std::string &Instance,
                                const std::optional<std::string> &Answer,
                                base::Duration Took) {
  RelayEntry &Relay = Relays_.at(Instance);
  base::TimePoint Now = Clock_.now();
  int64_t ClockMs = 0;
  if (Answer &&
      std::from_chars(Answer->data(), Answer->data() + Answer->size(), ClockMs)
              .ec == std::errc()) {
    Relay.HeardAt_ = Now;
    Relay.Lead_.record(ClockMs, Now);
    Relay.AnswerTime_ = (Relay.AnswerTime_ * 3 + Took) / 4;
    Relay.Outbox_->setTimeout(LeastAnswerTimeout +
                              Relay.AnswerTime_ * AnswerTimeFactor);
    return;
  }
  if (Relay.AvoidedUntil_ || !mayAvoidAnother(Relay.Info_.Region_))
    return;
  ++Counters_.RelayLosses_;
  avoid(Relay, "no answer");
  failRequests(Instance);
}

// If most relays of a region don't answer, the cause is here or between the
// regions, and requests that are sent directly would make it worse.
bool RelayedPort::mayAvoidAnother(const std::string &Region) const {
  std::size_t All = 0;
  std::size_t Avoided = 0;
  for (const auto &[Instance, Relay] : Relays_)
    if (Relay.Info_.Region_ == Region) {
      ++All;
      Avoided += Relay.AvoidedUntil_ ? 1 : 0;
    }
  return (Avoided + 1) * 2 <= All + 1;
}

void RelayedPort::avoid(RelayEntry &Relay, const char *Reason) {
  Relay.AvoidedUntil_ = Clock_.now() + RelayAvoidanceTime;
  ++Version_;
  base::logEvent(base::LogLevel::Warn, "relay-avoided",
                 {{"relay", Relay.Instance_},
                  {"reason", Reason},
                  {"answer_time_ms", base::toMillis(Relay.AnswerTime_)},
                  {"reply_time_ms", base::toMillis(Relay.ReplyTime_)}});
}

// A relay whose processor or link has no room left would delay its workers'
// starts, and so hold back those of all others.
void RelayedPort::avoidSlowRelays() {
  std::vector<base::Duration> Times;
  for (const auto &[Instance, Relay] : Relays_)
    if (isUsable(Relay) && Relay.ReplyTime_.count() > 0)
      Times.push_back(Relay.ReplyTime_);
  if (Times.empty())
    return;
  auto Middle =
      Times.begin() + static_cast<std::ptrdiff_t>((Times.size() - 1) / 2);
  std::nth_element(Times.begin(), Middle, Times.end());
  base::Duration Limit = std::max(LeastSlowReply, *Middle * SlowFactor);
  for (auto &[Instance, Relay] : Relays_)
    if (isUsable(Relay) && Relay.ReplyTime_ > Limit &&
        mayAvoidAnother(Relay.Info_.Region_)) {
      ++Counters_.SlowRelays_;
      avoid(Relay, "slow replies");
    }
}

void RelayedPort::addRelay(const ReplyBatch &Offer) {
  base::TimePoint Now = Clock_.now();
  RegionOf_[Offer.Info_->Domain_] = Offer.Info_->Region_;
  auto It = Relays_.find(Offer.Instance_);
  if (It != Relays_.end() && It->second.Incarnation_ != Offer.Incarnation_) {
    removeRelay(Offer.Instance_, "restarted");
    It = Relays_.end();
  }
  if (It == Relays_.end()) {
    RelayEntry &Relay = Relays_[Offer.Instance_];
    Relay.Instance_ = Offer.Instance_;
    Relay.Incarnation_ = Offer.Incarnation_;
    Relay.Info_ = *Offer.Info_;
    Relay.HeardAt_ = Now;
    Relay.Lead_.record(Offer.ClockMs_, Now);
    Relay.Outbox_ = std::make_shared<RequestOutbox>(
        Out_, Clock_, Offer.Info_->Address_, RequestsPath,
        [this, Instance = Offer.Instance_](std::vector<RelayedRequest> &Each) {
          return encodeBatch(Instance, Each);
        },
        [this, Instance = Offer.Instance_](
            const std::optional<std::string> &Answer, base::Duration Took) {
          exchangeEnded(Instance, Answer, Took);
        });
    Relay.Outbox_->setTimeout(LeastAnswerTimeout);
    ++Version_;
    base::logEvent(base::LogLevel::Info, "relay-found",
                   {{"relay", Offer.Instance_},
                    {"address", Offer.Info_->Address_},
                    {"domain", Offer.Info_->Domain_},
                    {"relays", static_cast<int64_t>(Relays_.size())}});
    return;
  }
  RelayEntry &Relay = It->second;
  Relay.HeardAt_ = Now;
  bool Back = Relay.AvoidedUntil_ && Now >= *Relay.AvoidedUntil_;
  if (Back) {
    Relay.AvoidedUntil_.reset();
    Relay.ReplyTime_ = {};
  }
  if (Back || Relay.Info_.Leaving_ != Offer.Info_->Leaving_)
    ++Version_;
  Relay.Info_ = *Offer.Info_;
}

void RelayedPort::removeRelay(const std::string &Instance, const char *Reason) {
  base::logEvent(base::LogLevel::Info, "relay-gone",
                 {{"relay", Instance},
                  {"reason", Reason},
                  {"relays", static_cast<int64_t>(Relays_.size()) - 1}});
  auto It = Relays_.find(Instance);
  It->second.Outbox_->close();
  Relays_.erase(It);
  ++Version_;
  failRequests(Instance);
}

// A relay that was lost may still send what it has got. A start that counts as
// unanswered is soon sent to another worker, so it is held until the relay can
// no longer send it and the worker has got what it sent.
void RelayedPort::failRequests(const std::string &Instance) {
  std::vector<Pending> Failed;
  for (auto It = Pending_.begin(); It != Pending_.end();)
    if (It->second.Relay_ != Instance) {
      ++It;
    } else if (It->second.IsStart_ && It->second.Sent_) {
      It->second.GiveUpAt_ =
          std::min(It->second.GiveUpAt_,
                   It->second.AcceptedAt_ + MaxRelayDelay + CallTime);
      ++It;
    } else {
      Failed.push_back(std::move(It->second));
      It = Pending_.erase(It);
    }
  for (const Pending &Each : Failed) {
    RelayedReply Reply;
    Reply.Status_ =
        Each.Sent_ ? RequestStatus::Unknown : RequestStatus::Withheld;
    finish(Each, Reply);
  }
}

// It answers messages, but neither reaches workers nor gets replies through.
void RelayedPort::noteUnanswered(const std::string &Instance) {
  auto It = Relays_.find(Instance);
  if (It == Relays_.end() || ++It->second.Unanswered_ < MaxUnanswered ||
      !isUsable(It->second) || !mayAvoidAnother(It->second.Info_.Region_))
    return;
  It->second.Unanswered_ = 0;
  ++Counters_.RelayLosses_;
  avoid(It->second, "no replies");
}

} // namespace crocuslead::relay
