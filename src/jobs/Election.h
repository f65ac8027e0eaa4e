#pragma once

#include "base/Clock.h"
#include "base/Random.h"
#include "store/KeyValueStore.h"
#include "store/Mirror.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace crocuslead::jobs {

//! The instance that is the elected coordinator.
struct LeaderInfo {
  std::string Instance_;
  std::string Incarnation_;
  //! IP:port on which it listens for other instances.
  std::string Address_;
  uint64_t Term_ = 0;
};

struct ElectionSettings {
  std::string Instance_;
  std::string Incarnation_;
  std::string Address_;
  //! Prefix of the election's keys in the store.
  std::string KeyPrefix_;
  //! Time after the last renewal at which the store removes the leader's key.
  std::chrono::seconds LeaseTime_{2};
  //! Added to the delay before a campaign. Set for small instances, so that
  //! they campaign last.
  base::Duration CampaignDelay_{};
  base::Duration RenewInterval_ = std::chrono::milliseconds(500);
  //! A new term is this much higher than the latest one, and the numbers in
  //! between are its fencing tokens. An instance whose terms have one token
  //! may follow, or come before.
  uint64_t TokensPerTerm_ = 1;
};

//! What a leader leaves behind when it resigns.
struct Resignation {
  //! The leader may have acted in its term: it has not resigned before its work
  //! began.
  bool TermUsed_ = true;
  std::vector<store::Put> Records_;
};

//! Leader election through the store. One key, attached to the leader's store
//! lease, names the leader; a second key counts the terms and persists. A
//! leader whose key disappeared writes it again and remains leader in the same
//! term, unless a later term has begun. A third key names the last terms that
//! ended unused, so that what an earlier term left behind still holds.
class Election {
public:
  struct Hooks {
    std::function<void(uint64_t Term)> Elected_;
    std::function<void(const char *Reason)> Lost_;
  };

  Election(store::KeyValueStore &Store, const base::Clock &Clock,
           base::Random &Random, ElectionSettings Settings, Hooks OnChange);
  Election(const Election &) = delete;
  Election &operator=(const Election &) = delete;
  ~Election();

  void tick();
  //! Reads the keys again; called after the process was paused.
  void reloadKeys();
  //! Gives up leadership and does not campaign again. The store takes the
  //! records of Left together with the end of the leadership, or neither. The
  //! request is repeated until the store answers it, which Done reports.
  void resign(std::function<void()> Done, Resignation Left = {});
  //! Gives up leadership because a worker or a commit has seen a later term.
  void stepDown();

  std::optional<LeaderInfo> leader() const;
  bool isLeader() const { return Term_ != 0; }
  uint64_t term() const { return Term_; }
  //! The lowest fencing token of a term that this instance leads.
  uint64_t firstTokenOf(uint64_t Term) const {
    return Term - Settings_.TokensPerTerm_ + 1;
  }
  //! The latest term before Term, which this instance leads, whose leader may
  //! have acted; 0 if there is none.
  uint64_t lastUsedTermBefore(uint64_t Term) const;
  //! Key and mod revision on which every commit of this term is conditional.
  std::string termKey() const;
  int64_t termRevision() const { return TermRevision_; }
  base::Duration timeSinceStoreContact() const;

private:
  std::string leaderKey() const;
  std::string unusedTermsKey() const;
  store::Put unusedTermsRecord(uint64_t Term) const;
  void keyChanged(const store::KeyValue &Value, bool Deleted);
  void evaluateKeys();
  void renewLease();
  void grantLease();
  void campaign();
  void reclaimLeadership();
  void releaseLeaderKey(uint64_t Term, int64_t TermRevision,
                        std::vector<store::Put> Records,
                        std::function<void()> Done);
  void sendRelease();
  void becomeLeader(uint64_t Term, int64_t Revision);
  void loseLeadership(const char *Reason);
  std::string leaderValue(uint64_t Term) const;

  //! The end of a leadership that the store has not answered yet.
  struct Release {
    uint64_t Term_ = 0;
    store::Txn Request_;
    std::function<void()> Done_;
    bool InFlight_ = false;
    int Attempts_ = 0;
    base::TimePoint NextAttempt_;
  };

  store::KeyValueStore &Store_;
  const base::Clock &Clock_;
  base::Random &Random_;
  ElectionSettings Settings_;
  Hooks Hooks_;
  store::Mirror Keys_;
  std::shared_ptr<int> Alive_ = std::make_shared<int>(0);
  int64_t LeaseId_ = 0;
  bool LeaseCallInFlight_ = false;
  bool TxnInFlight_ = false;
  bool Resigned_ = false;
  std::optional<Release> Release_;
  base::TimePoint NextRenewal_;
  base::TimePoint LastStoreContact_;
  base::Duration RoundTrip_ = std::chrono::milliseconds(10);
  std::optional<base::TimePoint> CampaignAt_;
  uint64_t Term_ = 0;
  int64_t TermRevision_ = 0;
  //! The latest term that this instance led.
  uint64_t LastTerm_ = 0;
};

} // namespace crocuslead::jobs
