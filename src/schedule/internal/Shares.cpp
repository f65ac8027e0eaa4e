#include "schedule/internal/Shares.h"

#include <algorithm>
#include <cmath>

namespace crocuslead::schedule::internal {

namespace {

// Workspaces without an agreed share are served from idle capacity only.
constexpr double SmallestShare = 1e-6;
// Ten steps of priority double the weight of a workspace.
constexpr double PriorityDoubling = 10.0;
constexpr int PriorityLimit = 100;
constexpr double MostWeight = 1024;

} // namespace

void Shares::configure(std::vector<WorkspaceShare> Given,
                       const base::Resources &Fleet) {
  Fleet_ = Fleet;
  for (auto &[Number, Each] : Accounts_) {
    Each.Share_ = {};
    Each.Share_.Workspace_ = Number;
  }
  for (WorkspaceShare &Each : Given) {
    WorkspaceNumber Number = Each.Workspace_;
    Accounts_[Number].Share_ = std::move(Each);
  }
}

Account &Shares::account(WorkspaceNumber Workspace) {
  auto [Found, Inserted] = Accounts_.try_emplace(Workspace);
  if (Inserted)
    Found->second.Share_.Workspace_ = Workspace;
  return Found->second;
}

double Shares::rank(const Account &Of) const {
  double Used =
      base::dominantShare(Of.Used_, fleet()) + Of.Share_.UsedElsewhere_;
  if (DominantResourceFairness_)
    return Used;
  double Weight =
      std::exp2(std::clamp(Of.Share_.Priority_, -PriorityLimit, PriorityLimit) /
                PriorityDoubling);
  double Ratio =
      (Used + SmallestShare) / std::max(Of.Share_.AgreedShare_, SmallestShare);
  // Priority weighs among those below their share, and among those above, but
  // lends no capacity ahead of a workspace below its share, which would only
  // take it back by evictions.
  return Ratio < 1 ? Ratio / Weight / MostWeight : 1 + Ratio / Weight;
}

double Shares::shareAfterChange(const Account &Of, const base::Resources &Plus,
                                const base::Resources &Minus) const {
  return base::dominantShare(Of.Used_ - Of.Evicting_ + Plus - Minus, fleet()) +
         Of.Share_.UsedElsewhere_;
}

// Dominant-resource fairness entitles the active workspaces to equal parts.
void Shares::beginPlan() {
  auto Active = std::count_if(Accounts_.begin(), Accounts_.end(), [](auto &A) {
    return A.second.Used_ != base::Resources{} ||
           A.second.Reserved_ != base::Resources{};
  });
  EqualShare_ = 1.0 / static_cast<double>(std::max<std::ptrdiff_t>(Active, 1));
}

double Shares::entitlement(const Account &Of) const {
  return DominantResourceFairness_ ? EqualShare_ : Of.Share_.AgreedShare_;
}

double Shares::excess(const Account &Of) const {
  double Entitled = std::max(entitlement(Of), 0.001);
  return shareAfterChange(Of, {}, {}) / Entitled - 1;
}

} // namespace crocuslead::schedule::internal
