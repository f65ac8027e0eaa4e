#pragma once

#include "base/Random.h"
#include "route/internal/Upstream.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace crocuslead::route {

//! All upstreams of this instance, by service; decides ejection and return.
class UpstreamSet {
public:
  using Group = std::vector<Upstream *>;

  UpstreamSet(const RouterSettings &Settings, base::Random &Rng);

  void set(std::vector<UpstreamInfo> Upstreams, base::TimePoint Now);
  void setDomainAvailable(const std::string &Domain, bool Available,
                          base::TimePoint Now);
  //! Live is sorted.
  void setLive(const std::vector<std::string> &Live, base::TimePoint Now);
  //! Probes, returns, and slots that pass on.
  void tick(base::TimePoint Now);

  //! Slots of the own region that are missing for a comfortable use.
  int slotsShort(base::TimePoint Now) const;
  Upstream *find(const std::string &Id);
  //! Listed upstreams of the service, in the order of their ids.
  const Group &group(const std::string &Service) const;
  //! True when some upstream of the service is neither leaving nor in a domain
  //! that is out.
  bool serves(const std::string &Service) const;
  //! Judges an upstream after an attempt on it succeeded or failed.
  void afterSuccess(Upstream &U, base::TimePoint Now);
  void afterFailure(Upstream &U, bool Unreachable, base::TimePoint Now);

  uint64_t ejections() const { return Ejections_; }
  const std::map<std::string, std::unique_ptr<Upstream>> &all() const {
    return Upstreams_;
  }

private:
  void place(UpstreamInfo Info, base::TimePoint Now);
  void applyListing(Upstream &U, base::TimePoint Now);
  void rebuildGroups();
  bool mayEject(const Upstream &U) const;
  void eject(Upstream &U, UpstreamEvent Event, base::TimePoint Now);
  void readmitExcess(base::TimePoint Now);
  void forgetRemoved();

  const RouterSettings &Settings_;
  base::Random &Rng_;
  InstanceView View_;
  std::map<std::string, std::unique_ptr<Upstream>> Upstreams_;
  std::unordered_map<std::string, Group> Groups_;
  std::set<std::string> DomainsOut_;
  base::TimePoint Scanned_{};
  uint64_t Ejections_ = 0;
};

} // namespace crocuslead::route
