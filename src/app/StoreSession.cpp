#include "app/StoreSession.h"

#include "base/Log.h"

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>

namespace crocuslead::app {

namespace {

// Six seconds are three ping intervals: a shorter gap is a slow answer, not
// an outage.
constexpr auto OutageThreshold = std::chrono::seconds(6);
constexpr auto RetryDelay = std::chrono::milliseconds(500);
// A lost watch event is found within one poll and the read that follows it,
// below the 5 s in which a change must be in force. When a poll fails too, the
// pings of peers, every 2 s, show the newer revision. A poll costs 620 B of the
// 2 KB/s for control.
constexpr auto PollInterval = std::chrono::milliseconds(3000);
// Owner keys end with leases, without a change of the version key. A dead watch
// must not hide them for longer than about a lease. Reading 16 owners costs 3
// KB.
constexpr int PollsPerOwnerPoll = 4;
constexpr auto FreshFor = std::chrono::seconds(5);
constexpr int LeaseRenewalsPerTerm = 3;

// Version key, configuration and owners are neighbours in key order, so one
// watch covers both; journals lie outside.
constexpr const char *WatchedBegin = VersionKey;
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
  if (Reading_)
    ReadAgain_ = true;
  else
    readAll();
}

void StoreSession::readAll() {
  Reading_ = true;
  ReadAgain_ = false;
  base::TimePoint SentAt = Shared_.Clock_.now();
  Store_.range(WatchedBegin, WatchedEnd, [this, SentAt](const auto &Result) {
    Reading_ = false;
    const auto *Reply = success(Result);
    if (Reply == nullptr) {
      NextRead_ = Shared_.Clock_.now() + RetryDelay;
      return;
    }
    noteContact(SentAt);
    ConfigConfirmed_ = std::max(ConfigConfirmed_, SentAt);
    ConfigLoaded_ = true;
    applyRange(*Reply);
    if (!WatchOpen_)
      openWatch(Reply->Revision_ + 1);
    if (ReadAgain_ && !Reading_)
      readAll();
  });
}

void StoreSession::openWatch(int64_t Revision) {
  WatchOpen_ = true;
  NextPoll_ = Shared_.Clock_.now() + PollInterval;
  Watch_ = Store_.watch(WatchedBegin, WatchedEnd, Revision,
                        [this](const auto &Result) {
                          if (const auto *Batch = success(Result)) {
                            watchArrived(*Batch);
                            return;
                          }
                          WatchOpen_ = false;
                          NextRead_ = Shared_.Clock_.now() + RetryDelay;
                        });
}

void StoreSession::reopenWatch(const char *Reason) {
  base::logEvent(base::LogLevel::Warn, "watch-lost-events",
                 {{"reason", Reason}});
  Watch_.reset();
  WatchOpen_ = false;
  refresh();
}

void StoreSession::watchArrived(const store::WatchBatch &Batch) {
  store::WatchBatch ConfigPart;
  ConfigPart.Revision_ = Batch.Revision_;
  bool OwnersMoved = false;
  for (const store::WatchEvent &Event : Batch.Events_) {
    const std::string &Key = Event.Value_.Key_;
    if (hasPrefix(Key, config::ConfigPrefix)) {
      ConfigPart.Events_.push_back(Event);
      ChangesSeen_.insert(Event.Value_.ModRevision_);
    }
    if (hasPrefix(Key, OwnerPrefix))
      OwnersMoved |= applyOwner(Event.Value_, Event.Deleted_);
  }
  if (!ConfigPart.Events_.empty() && Config_.applyWatch(ConfigPart) &&
      Hooks_.ConfigChanged_)
    Hooks_.ConfigChanged_();
  if (OwnersMoved && Hooks_.OwnersChanged_)
    Hooks_.OwnersChanged_();
}

void StoreSession::pollVersion() {
  Polling_ = true;
  base::TimePoint SentAt = Shared_.Clock_.now();
  Store_.range(VersionKey, "", [this, SentAt](const auto &Result) {
    Polling_ = false;
    const auto *Reply = success(Result);
    if (Reply == nullptr) {
      NextPoll_ = Shared_.Clock_.now() + RetryDelay;
      return;
    }
    NextPoll_ = SentAt + PollInterval;
    noteContact(SentAt);
    store::KeyValue Known =
        Reply->Values_.empty() ? store::KeyValue{} : Reply->Values_.front();
    // A read that ended meanwhile is newer than this answer.
    if (Known.ModRevision_ < ReadVersionRevision_)
      return;
    auto End = ChangesSeen_.upper_bound(Known.ModRevision_);
    auto Seen = static_cast<int64_t>(std::distance(ChangesSeen_.begin(), End));
    if (Known.Version_ > ReadVersion_ + Seen) {
      reopenWatch("a configuration change was missed");
      return;
    }
    ConfigConfirmed_ = std::max(ConfigConfirmed_, SentAt);
    if (++PollsToOwners_ % PollsPerOwnerPoll == 0)
      pollOwners();
  });
}

void StoreSession::pollOwners() {
  Store_.range(OwnerPrefix, WatchedEnd, [this](const auto &Result) {
    const auto *Reply = success(Result);
    if (Reply == nullptr || !applyOwners(Reply->Values_, Reply->Revision_))
      return;
    if (Hooks_.OwnersChanged_)
      Hooks_.OwnersChanged_();
    if (WatchOpen_)
      reopenWatch("an owner change was missed");
  });
}

void StoreSession::applyRange(const store::RangeReply &Reply) {
  store::RangeReply ConfigPart;
  ConfigPart.Revision_ = Reply.Revision_;
  std::vector<store::KeyValue> OwnerPart;
  store::KeyValue Version;
  for (const store::KeyValue &Value : Reply.Values_) {
    if (hasPrefix(Value.Key_, config::ConfigPrefix))
      ConfigPart.Values_.push_back(Value);
    else if (hasPrefix(Value.Key_, OwnerPrefix))
      OwnerPart.push_back(Value);
    else if (Value.Key_ == VersionKey)
      Version = Value;
  }
  if (Version.ModRevision_ >= ReadVersionRevision_) {
    ReadVersion_ = Version.Version_;
    ReadVersionRevision_ = Version.ModRevision_;
    ChangesSeen_.erase(ChangesSeen_.begin(),
                       ChangesSeen_.upper_bound(Reply.Revision_));
  }
  if (Config_.applyRange(ConfigPart) && Hooks_.ConfigChanged_)
    Hooks_.ConfigChanged_();
  applyOwners(OwnerPart, Reply.Revision_);
  if (Hooks_.OwnersChanged_)
    Hooks_.OwnersChanged_();
}

bool StoreSession::applyOwners(const std::vector<store::KeyValue> &Values,
                               int64_t Revision) {
  // A later read has already shown everything that this one could.
  if (Revision < OwnersReadRevision_)
    return false;
  OwnersReadRevision_ = Revision;
  bool Changed = false;
  std::set<std::string> Present;
  for (const store::KeyValue &Value : Values) {
    Present.insert(Value.Key_);
    Changed |= applyOwner(Value, /*Deleted=*/false);
  }
  for (const auto &[Key, Known] : OwnerRevisions_)
    if (Present.count(Key) == 0 && Known <= Revision)
      Changed |=
          Owners_.erase(Key.substr(std::string_view(OwnerPrefix).size())) != 0;
  return Changed;
}

bool StoreSession::applyOwner(const store::KeyValue &Value, bool Deleted) {
  int64_t &Known = OwnerRevisions_[Value.Key_];
  if (Value.ModRevision_ <= Known)
    return false;
  Known = Value.ModRevision_;
  std::string Partition =
      Value.Key_.substr(std::string_view(OwnerPrefix).size());
  if (Deleted)
    return Owners_.erase(Partition) != 0;
  nlohmann::json Body = nlohmann::json::parse(Value.Value_, nullptr, false);
  if (!Body.is_object())
    return false;
  Owners_[Partition] = {Body.value("instance", ""),
                        Body.value("incarnation", ""), Value.CreateRevision_};
  return true;
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
