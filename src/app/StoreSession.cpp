#include "app/StoreSession.h"

#include "base/Log.h"

#include <nlohmann/json.hpp>

namespace crocuslead::app {

namespace {

// Six seconds are three ping intervals: a shorter gap is a slow answer, not
// an outage.
constexpr auto OutageThreshold = std::chrono::seconds(6);
constexpr auto RetryDelay = std::chrono::milliseconds(500);
// A lost watch event is found within one poll; with the read that follows it
// stays below the 5 s in which a change must be in force.
constexpr auto PollInterval = std::chrono::milliseconds(3500);
constexpr auto FreshFor = std::chrono::seconds(5);
constexpr int LeaseRenewalsPerTerm = 3;

// Configuration and owners are neighbours in key order, so one watch covers
// both; journals lie outside.
constexpr const char *WatchedBegin = config::ConfigPrefix;
constexpr const char *WatchedEnd = PartitionPrefix;

bool hasPrefix(const std::string &Text, const char *Prefix) {
  return Text.rfind(Prefix, 0) == 0;
}

template <typename T> const T *success(const store::StoreResult<T> &Result) {
  return std::get_if<T>(&Result);
}

} // namespace

StoreSession::StoreSession(const Context &Shared, store::KeyValueStore &Store)
    : Shared_(Shared), Store_(Store) {}

void StoreSession::tick() {
  base::TimePoint Now = Shared_.Clock_.now();
  if (Revoked_)
    return;
  tickLease(Now);
  tickConfig(Now);
}

void StoreSession::noteContact(base::TimePoint SentAt) {
  bool Regained = !HasContact_ || SentAt - LastContact_ > OutageThreshold;
  if (!HasContact_ || SentAt > LastContact_)
    LastContact_ = SentAt;
  bool First = !HasContact_;
  HasContact_ = true;
  if (!Regained)
    return;
  if (!First)
    base::logEvent(base::LogLevel::Warn, "store-regained");
  if (Hooks_.StoreRegained_)
    Hooks_.StoreRegained_();
}

int64_t StoreSession::contactAgeMs(base::TimePoint Now) const {
  constexpr int64_t Never = 1'000'000'000;
  return HasContact_ ? base::toMillis(Now - LastContact_) : Never;
}

bool StoreSession::configFresh(base::TimePoint Now) const {
  return ConfigLoaded_ && Now - ConfigConfirmed_ <= FreshFor;
}

void StoreSession::tickLease(base::TimePoint Now) {
  if (LeaseCall_ || Now < NextLeaseCall_)
    return;
  LeaseCall_ = true;
  auto Ttl = std::chrono::seconds(Shared_.Settings_.StoreLeaseSeconds_);
  auto Finish = [this, Now, Ttl](const store::StoreResult<int64_t> &Result,
                                 bool Grant) {
    LeaseCall_ = false;
    const int64_t *Value = success(Result);
    if (Value == nullptr) {
      NextLeaseCall_ = Shared_.Clock_.now() + RetryDelay;
      return;
    }
    noteContact(Now);
    if (Grant)
      Lease_ = *Value;
    if (!Grant && *Value == 0) {
      base::logEvent(base::LogLevel::Warn, "store-lease-lost");
      Lease_ = 0;
      NextLeaseCall_ = {};
      if (Hooks_.LeaseLost_)
        Hooks_.LeaseLost_();
      return;
    }
    NextLeaseCall_ = Now + Ttl / LeaseRenewalsPerTerm;
    if (Hooks_.LeaseRenewed_)
      Hooks_.LeaseRenewed_(Now);
  };
  if (Lease_ == 0)
    Store_.leaseGrant(
        Ttl, [Finish](const auto &Result) { Finish(Result, /*Grant=*/true); });
  else
    Store_.leaseKeepAlive(Lease_, [Finish](const auto &Result) {
      Finish(Result, /*Grant=*/false);
    });
}

void StoreSession::tickConfig(base::TimePoint Now) {
  if (!WatchOpen_ && !Reading_ && Now >= NextRead_)
    readAll();
  if (WatchOpen_ && !Polling_ && Now >= NextPoll_)
    pollVersion();
}

void StoreSession::refresh() {
  if (!Reading_)
    readAll();
}

void StoreSession::readAll() {
  Reading_ = true;
  base::TimePoint SentAt = Shared_.Clock_.now();
  Store_.range(WatchedBegin, WatchedEnd, [this, SentAt](const auto &Result) {
    Reading_ = false;
    const auto *Reply = success(Result);
    if (Reply == nullptr) {
      NextRead_ = Shared_.Clock_.now() + RetryDelay;
      return;
    }
    noteContact(SentAt);
    ConfigConfirmed_ = SentAt;
    ConfigLoaded_ = true;
    applyRange(*Reply);
    if (!WatchOpen_)
      openWatch(Reply->Revision_ + 1);
  });
}

void StoreSession::openWatch(int64_t Revision) {
  WatchOpen_ = true;
  NextPoll_ = Shared_.Clock_.now() + PollInterval;
  Watch_ = Store_.watch(
      WatchedBegin, WatchedEnd, Revision, [this](const auto &Result) {
        const auto *Batch = success(Result);
        if (Batch == nullptr) {
          WatchOpen_ = false;
          NextRead_ = Shared_.Clock_.now() + RetryDelay;
          return;
        }
        store::WatchBatch ConfigPart;
        ConfigPart.Revision_ = Batch->Revision_;
        bool OwnersMoved = false;
        for (const store::WatchEvent &Event : Batch->Events_) {
          if (hasPrefix(Event.Value_.Key_, config::ConfigPrefix))
            ConfigPart.Events_.push_back(Event);
          if (!hasPrefix(Event.Value_.Key_, OwnerPrefix))
            continue;
          applyOwner(Event.Value_, Event.Deleted_);
          OwnersMoved = true;
        }
        if (!ConfigPart.Events_.empty() && Config_.applyWatch(ConfigPart) &&
            Hooks_.ConfigChanged_)
          Hooks_.ConfigChanged_();
        if (OwnersMoved && Hooks_.OwnersChanged_)
          Hooks_.OwnersChanged_();
      });
}

void StoreSession::pollVersion() {
  Polling_ = true;
  base::TimePoint SentAt = Shared_.Clock_.now();
  Store_.range(VersionKey, "", [this, SentAt](const auto &Result) {
    Polling_ = false;
    NextPoll_ = SentAt + PollInterval;
    const auto *Reply = success(Result);
    if (Reply == nullptr)
      return;
    noteContact(SentAt);
    bool Newer = !Reply->Values_.empty() &&
                 Reply->Values_.front().ModRevision_ > Config_.revision();
    if (Newer)
      refresh();
    else
      ConfigConfirmed_ = SentAt;
  });
}

void StoreSession::applyRange(const store::RangeReply &Reply) {
  store::RangeReply ConfigPart;
  ConfigPart.Revision_ = Reply.Revision_;
  std::map<std::string, partition::OwnerRecord> Before = Owners_;
  Owners_.clear();
  for (const store::KeyValue &Value : Reply.Values_) {
    if (hasPrefix(Value.Key_, config::ConfigPrefix))
      ConfigPart.Values_.push_back(Value);
    else if (hasPrefix(Value.Key_, OwnerPrefix))
      applyOwner(Value, /*Deleted=*/false);
  }
  if (Config_.applyRange(ConfigPart) && Hooks_.ConfigChanged_)
    Hooks_.ConfigChanged_();
  if (Hooks_.OwnersChanged_)
    Hooks_.OwnersChanged_();
}

void StoreSession::applyOwner(const store::KeyValue &Value, bool Deleted) {
  std::string Partition =
      Value.Key_.substr(std::string_view(OwnerPrefix).size());
  if (Deleted) {
    Owners_.erase(Partition);
    return;
  }
  nlohmann::json Body = nlohmann::json::parse(Value.Value_, nullptr, false);
  if (!Body.is_object())
    return;
  Owners_[Partition] = {Body.value("instance", ""),
                        Body.value("incarnation", ""), Value.CreateRevision_};
}

void StoreSession::applyPeerConfig(
    const std::vector<config::VersionedEntry> &Entries) {
  if (Config_.applyPeer(Entries) && Hooks_.ConfigChanged_)
    Hooks_.ConfigChanged_();
}

void StoreSession::applyKey(const store::RangeReply &Reply,
                            const std::string &Key) {
  store::WatchBatch Batch;
  Batch.Revision_ = Reply.Revision_;
  for (const store::KeyValue &Value : Reply.Values_)
    if (Value.Key_ == Key)
      Batch.Events_.push_back({Value, false});
  if (Config_.applyWatch(Batch) && Hooks_.ConfigChanged_)
    Hooks_.ConfigChanged_();
}

void StoreSession::revokeLease(std::function<void()> Done) {
  Revoked_ = true;
  Watch_.reset();
  if (Lease_ == 0) {
    Done();
    return;
  }
  Store_.leaseRevoke(Lease_,
                     [Done = std::move(Done)](const auto &) { Done(); });
}

} // namespace crocuslead::app
