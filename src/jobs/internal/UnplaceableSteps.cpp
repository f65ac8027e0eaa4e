#include "jobs/internal/UnplaceableSteps.h"

#include <algorithm>

namespace crocuslead::jobs::internal {

namespace {

// Each worker that is eligible for Other must be eligible for Failed as well.
bool covers(const PlacementNeeds &Failed, const PlacementNeeds &Other) {
  return Failed.Service_ == Other.Service_ &&
         Failed.BestEffortImage_ == Other.BestEffortImage_ &&
         Failed.Request_.fitsIn(Other.Request_) &&
         (Failed.AcceptsProbation_ || !Other.AcceptsProbation_) &&
         (Failed.RequiredLabel_.empty() ||
          Failed.RequiredLabel_ == Other.RequiredLabel_);
}

} // namespace

void UnplaceableSteps::add(const PlacementNeeds &Needs) {
  if (!Needs.Limited_)
    Failed_.push_back(Needs);
}

bool UnplaceableSteps::covers(const PlacementNeeds &Needs) const {
  return std::any_of(Failed_.begin(), Failed_.end(),
                     [&](const PlacementNeeds &Failed) {
                       return internal::covers(Failed, Needs);
                     });
}

} // namespace crocuslead::jobs::internal
