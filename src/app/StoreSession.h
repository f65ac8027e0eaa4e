#pragma once

#include "app/Context.h"
#include "config/ConfigState.h"
#include "partition/Ownership.h"
#include "store/KeyValueStore.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace crocuslead::app {

//! Keys outside the configuration.
inline constexpr const char *OwnerPrefix = "/crocuslead/owners/";
inline constexpr const char *PartitionPrefix = "/crocuslead/partitions/";
//! Written with every acquisition; its mod revision is the epoch of the newest
//! term.
inline constexpr const char *TermPrefix = "/crocuslead/terms/";
//! Written with every configuration change, so that one small read shows
//! whether there was one.
inline constexpr const char *VersionKey = "/crocuslead/config-version";

struct StoreHooks {
  std::function<void()> ConfigChanged_;
  std::function<void()> OwnersChanged_;
  std::function<void(base::TimePoint SentAt)> LeaseRenewed_;
  std::function<void()> LeaseLost_;
  std::function<void()> StoreRegained_;
};

//! This instance's standing with the store: its lease, the configuration, the
//! partition owners, and when the store was last reached. Makes one watch, one
//! poll and one keep-alive loop.
class StoreSession {
public:
  StoreSession(const Context &Shared, store::KeyValueStore &Store);

  void setHooks(StoreHooks Hooks) { Hooks_ = std::move(Hooks); }
  //! Drives lease, watch and poll; call about every 100 ms.
  void tick();
  //! Notes that a call sent at SentAt reached the store.
  void noteContact(base::TimePoint SentAt);
  //! Takes entries that a peer sent.
  void applyPeerConfig(const std::vector<config::VersionedEntry> &Entries);
  //! Applies one key read on its own.
  void applyKey(const store::RangeReply &Reply, const std::string &Key);
  //! Reads configuration and owners again.
  void refresh();

  store::KeyValueStore &store() { return Store_; }
  const config::ConfigState &config() const { return Config_; }
  const std::map<std::string, partition::OwnerRecord> &owners() const {
    return Owners_;
  }
  //! Lease of this instance; 0 when it has none.
  int64_t lease() const { return Lease_; }
  base::TimePoint lastContact() const { return LastContact_; }
  bool hasContact() const { return HasContact_; }
  int64_t contactAgeMs(base::TimePoint Now) const;
  //! True when the configuration was confirmed within the last 5 s.
  bool configFresh(base::TimePoint Now) const;
  bool configLoaded() const { return ConfigLoaded_; }
  //! Gives the lease back, at the end of a planned stop.
  void revokeLease(std::function<void()> Done);

private:
  void tickLease(base::TimePoint Now);
  void tickConfig(base::TimePoint Now);
  void readAll();
  void openWatch(int64_t Revision);
  void pollVersion();
  void pollOwners();
  void watchArrived(const store::WatchBatch &Batch);
  //! Drops a watch that has lost events and reads everything again.
  void reopenWatch(const char *Reason);
  void applyRange(const store::RangeReply &Reply);
  //! Returns whether the owners changed.
  bool applyOwners(const std::vector<store::KeyValue> &Values,
                   int64_t Revision);
  bool applyOwner(const store::KeyValue &Value, bool Deleted);

  const Context &Shared_;
  store::KeyValueStore &Store_;
  StoreHooks Hooks_;
  config::ConfigState Config_;
  std::map<std::string, partition::OwnerRecord> Owners_;
  //! Revision of the newest event or read of each owner key.
  std::map<std::string, int64_t> OwnerRevisions_;
  int64_t OwnersReadRevision_ = 0;
  //! Version of the version key at the newest full read, and the revisions of
  //! the changes that the watch has shown since: their sum is the version that
  //! the key must have, unless events were lost.
  int64_t ReadVersion_ = 0;
  int64_t ReadVersionRevision_ = 0;
  std::set<int64_t> ChangesSeen_;
  int PollsToOwners_ = 0;
  std::unique_ptr<store::WatchHandle> Watch_;
  bool WatchOpen_ = false;
  bool Reading_ = false;
  //! A refresh was asked for while a read was on its way, which may be older
  //! than the reason for it.
  bool ReadAgain_ = false;
  bool Polling_ = false;
  bool LeaseCall_ = false;
  bool ConfigLoaded_ = false;
  bool HasContact_ = false;
  bool Revoked_ = false;
  int64_t Lease_ = 0;
  base::TimePoint LastContact_;
  base::TimePoint ConfigConfirmed_;
  base::TimePoint NextLeaseCall_;
  base::TimePoint NextRead_;
  base::TimePoint NextPoll_;
};

} // namespace crocuslead::app
