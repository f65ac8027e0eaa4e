#pragma once

#include "schedule/internal/Worker.h"

#include <map>
#include <optional>
#include <vector>

namespace crocuslead::schedule::internal {

//! Resource usage of one workspace.
struct Account {
  WorkspaceShare Share_;
  base::Resources Used_;
  //! Part of Used_ held by tasks whose eviction was issued.
  base::Resources Evicting_;
  //! Reserved on workers for the workspace's pending tasks.
  base::Resources Reserved_;
  //! Latest submission time of a task of the workspace that was started.
  base::TimePoint NewestStarted_;
};

//! Compares the usage of each workspace with its share of the fleet.
class Shares {
public:
  explicit Shares(bool DominantResourceFairness)
      : DominantResourceFairness_(DominantResourceFairness) {}

  void configure(std::vector<WorkspaceShare> Workspaces,
                 const base::Resources &FleetCapacity);
  Account &account(WorkspaceNumber Workspace);
  //! Capacity that shares refer to when no fleet capacity is configured.
  void setLocalCapacity(const base::Resources &Capacity) {
    LocalCapacity_ = Capacity;
  }

  void beginPlan();

  //! Rank of the workspace; the lowest is served next.
  double rank(const Account &Owner) const;
  //! Fraction of the fleet in use after a change; tasks whose eviction was
  //! issued do not count.
  double shareAfterChange(const Account &Owner, const base::Resources &Added,
                          const base::Resources &Removed) const;
  //! Fraction of the fleet up to which the workspace may cause evictions.
  double entitlement(const Account &Owner) const;
  //! Usage above the entitlement, as a multiple of the entitlement.
  double excess(const Account &Owner) const;

private:
  const base::Resources &fleetCapacity() const {
    return FleetCapacity_ == base::Resources{} ? LocalCapacity_
                                               : FleetCapacity_;
  }

  bool DominantResourceFairness_;
  //! Entitlement of every workspace under dominant-resource fairness.
  double EqualShare_ = 1;
  base::Resources FleetCapacity_;
  base::Resources LocalCapacity_;
  std::map<WorkspaceNumber, Account> Accounts_;
};

} // namespace crocuslead::schedule::internal
