#pragma once

#include "base/Random.h"
#include "route/internal/UpstreamSet.h"

#include <optional>
#include <string>
#include <vector>

namespace crocuslead::route {

//! What matters of a request for the choice of its upstream.
struct PickRequest {
  bool Idempotent_ = false;
  //! Ids of upstreams that it was sent to already.
  const std::vector<std::string> *Tried_ = nullptr;
  //! Upstreams of Tried_ are passed over, not only put last.
  bool OnlyUntried_ = false;
  //! Time at which an attempt sent now ends at the latest.
  base::TimePoint LatestEnd_;
  //! Time by which an attempt on a borrowed slot may be cut off; none when it
  //! must have until LatestEnd_.
  std::optional<base::TimePoint> CutOff_;
  bool CrossRegionAllowed_ = false;
};

struct PickChoice {
  Upstream *Upstream_ = nullptr;
  SlotKind Kind_ = SlotKind::Own;
  bool CrossRegion_ = false;
};

//! Chooses an upstream with a free slot: in the own region as long as one has
//! a slot there, by the configured policy.
class Picker {
public:
  Picker(const RouterSettings &Settings, base::Random &Rng)
      : Settings_(Settings), Rng_(Rng) {}

  std::optional<PickChoice> pick(const UpstreamSet::Group &Group,
                                 const PickRequest &Request, double TypicalUs,
                                 base::TimePoint Now);

  //! True when some upstream accepts a request and has a slot for it, whatever
  //! the request.
  static bool anyFree(const UpstreamSet::Group &Group, base::TimePoint Now);

private:
  struct Candidate {
    PickChoice Choice_;
    bool NearDomain_ = false;
    bool Probe_ = false;
  };

  void collect(const UpstreamSet::Group &Group, const PickRequest &Request,
               bool Tried, base::TimePoint Now);
  std::optional<SlotKind> freeSlot(const Upstream &U,
                                   const PickRequest &Request,
                                   base::TimePoint Now) const;
  const Candidate &choose(double TypicalUs, base::TimePoint Now);
  const Candidate &byScore(double TypicalUs, base::TimePoint Now);
  const Candidate &byTurn();
  const Candidate &byFewest();
  const Candidate &byTwoChoices();

  const RouterSettings &Settings_;
  base::Random &Rng_;
  //! Kept between calls to save allocations.
  std::vector<Candidate> Found_;
  std::string LastTurn_;
};

} // namespace crocuslead::route
