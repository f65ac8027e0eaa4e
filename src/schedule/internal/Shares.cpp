#include "schedule/internal/Shares.h"

#include <algorithm>
#include <cmath>

namespace crocuslead::schedule::internal {

namespace {

// Stands in for an agreed share of zero: such workspaces are served from idle
// capacity only.
constexpr double MinShare = 1e-6;
// Priority steps that double the weight of a workspace.
constexpr double PriorityDoubling = 10.0;
constexpr int PriorityLimit = 100;
// Weight at PriorityLimit.
constexpr double MaxWeight = 1024;
// Keeps the excess of workspaces without an entitlement finite.
constexpr double MinEntitlement = 0.001;

} // namespace

void Shares::configure(std::vector<WorkspaceShare> Workspaces,
                       const base::Resources &FleetCapacity) {
  FleetCapacity_ = FleetCapacity;
  for (auto &[Number, Owner] : Accounts_) {
    Owner.Share_ = {};
    Owner.Share_.Workspace_ = Number;
  }
  for (WorkspaceShare &Share : Workspaces) {
    WorkspaceNumber Number = Share.Workspace_;
    Accounts_[Number].Share_ = std::move(Share);
  }
}

Account &Shares::account(WorkspaceNumber Workspace) {
  auto [It, Inserted] = Accounts_.try_emplace(Workspace);
  if (Inserted)
    It->second.Share_.Workspace_ = Workspace;
  return It->second;
}

double Shares::rank(const Account &Owner) const {
  double Used = base::dominantShare(Owner.Used_, fleetCapacity()) +
                Owner.Share_.UsedElsewhere_;
  if (DominantResourceFairness_)
    return Used;
  double Weight = std::exp2(
      std::clamp(Owner.Share_.Priority_, -PriorityLimit, PriorityLimit) /
      PriorityDoubling);
  double Ratio =
      (Used + MinShare) / std::max(Owner.Share_.AgreedShare_, MinShare);
  // Priority orders the workspaces below their share among themselves, and
  // those above theirs. It never puts a workspace above its share ahead of one
  // below, which would only reclaim the capacity by evictions.
  return Ratio < 1 ? Ratio / Weight / MaxWeight : 1 + Ratio / Weight;
}

double Shares::shareAfterChange(const Account &Owner,
                                const base::Resources &Added,
                                const base::Resources &Removed) const {
  return base::dominantShare(Owner.Used_ - Owner.Evicting_ + Added - Removed,
                             fleetCapacity()) +
         Owner.Share_.UsedElsewhere_;
}

// Dominant-resource fairness entitles the active workspaces to equal parts.
void Shares::beginPlan() {
  auto Active = std::count_if(Accounts_.begin(), Accounts_.end(), [](auto &A) {
    return A.second.Used_ != base::Resources{} ||
           A.second.Reserved_ != base::Resources{};
  });
  EqualShare_ = 1.0 / static_cast<double>(std::max<std::ptrdiff_t>(Active, 1));
}

double Shares::entitlement(const Account &Owner) const {
  return DominantResourceFairness_ ? EqualShare_ : Owner.Share_.AgreedShare_;
}

double Shares::excess(const Account &Owner) const {
  double Entitled = std::max(entitlement(Owner), MinEntitlement);
  return shareAfterChange(Owner, {}, {}) / Entitled - 1;
}

} // namespace crocuslead::schedule::internal
