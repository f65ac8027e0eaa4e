#pragma once

#include "schedule/internal/Worker.h"

#include <map>
#include <optional>
#include <vector>

namespace crocuslead::schedule::internal {

//! Use of one workspace against its agreed share.
struct Account {
  WorkspaceShare Share_;
  base::Resources Used_;
  //! Part of Used_ whose eviction was issued.
  base::Resources Evicting_;
  //! Room promised to its waiting tasks.
  base::Resources Reserved_;
};

class Shares {
public:
  explicit Shares(bool DominantResourceFairness)
      : DominantResourceFairness_(DominantResourceFairness) {}

  void configure(std::vector<WorkspaceShare> Given,
                 const base::Resources &Fleet);
  Account &account(WorkspaceNumber Workspace);
  //! Capacity that shares refer to when the configuration gives none.
  void setLocalCapacity(const base::Resources &Capacity) { Local_ = Capacity; }

  void beginPlan();

  //! Order of workspaces: the lowest is served next.
  double rank(const Account &Of) const;
  //! Share of the fleet in use after a change, without issued evictions.
  double shareAfterChange(const Account &Of, const base::Resources &Plus,
                          const base::Resources &Minus) const;
  //! The part of the fleet the workspace may claim by evictions.
  double entitlement(const Account &Of) const;
  //! How far the use is above the entitlement, as a factor of it.
  double excess(const Account &Of) const;

private:
  const base::Resources &fleet() const {
    return Fleet_ == base::Resources{} ? Local_ : Fleet_;
  }

  bool DominantResourceFairness_;
  double EqualShare_ = 1;
  base::Resources Fleet_;
  base::Resources Local_;
  std::map<WorkspaceNumber, Account> Accounts_;
};

} // namespace crocuslead::schedule::internal
