#pragma once

#include "base/Clock.h"
#include "base/Random.h"
#include "store/KeyValueStore.h"
#include "store/Mirror.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace crocuslead::jobs {

//! The instance that holds the office of coordinator.
struct OfficeHolder {
  std::string Instance_;
  std::string Incarnation_;
  //! IP:port of its listener for other instances.
  std::string Address_;
  uint64_t Term_ = 0;
};

struct ElectionSettings {
  std::string Instance_;
  std::string Incarnation_;
  std::string Address_;
  //! Keys of the election start with this.
  std::string KeyPrefix_;
  //! The store removes the holder's key this long after its last renewal.
  std::chrono::seconds LeaseTime_{2};
  //! Added to the delay before a campaign, so that small instances run last.
  base::Duration Handicap_{};
  base::Duration RenewInterval_ = std::chrono::milliseconds(500);
};

//! Elects one coordinator through the store: a key under the holder's store
//! lease names the holder, a second one counts the terms and stays. A holder
//! whose key vanished while no later term began takes the office back in the
//! same term.
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
  //! Reads the keys again after a pause of the process.
  void recheck();
  //! Gives the office up and does not run again.
  void resign(std::function<void()> Done);
  //! Gives the office up after a later term was seen elsewhere.
  void superseded();

  std::optional<OfficeHolder> holder() const;
  bool holding() const { return Term_ != 0; }
  uint64_t term() const { return Term_; }
  //! Key and revision that a commit of this term must find unchanged.
  std::string termKey() const;
  int64_t termRevision() const { return TermRevision_; }
  //! Time since the store last answered.
  base::Duration contactAge() const;

private:
  std::string holderKey() const;
  void changed(const store::KeyValue &Value, bool Deleted);
  void considerKeys();
  void renew();
  void grantLease();
  void campaign();
  void holdAgain();
  void won(uint64_t Term, int64_t Revision);
  void lose(const char *Reason);
  std::string holderValue(uint64_t Term) const;

  store::KeyValueStore &Store_;
  const base::Clock &Clock_;
  base::Random &Random_;
  ElectionSettings Settings_;
  Hooks Hooks_;
  store::Mirror Keys_;
  std::shared_ptr<int> Alive_ = std::make_shared<int>(0);
  int64_t Lease_ = 0;
  bool LeaseCall_ = false;
  bool Campaigning_ = false;
  bool Resigned_ = false;
  base::TimePoint NextRenewal_;
  base::TimePoint LastContact_;
  base::Duration RoundTrip_ = std::chrono::milliseconds(10);
  std::optional<base::TimePoint> CampaignAt_;
  uint64_t Term_ = 0;
  int64_t TermRevision_ = 0;
};

} // namespace crocuslead::jobs
