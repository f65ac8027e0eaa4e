#pragma once

#include "base/Resources.h"
#include "jobs/internal/PressureModel.h"

#include <optional>
#include <string_view>
#include <vector>

namespace crocuslead::jobs::internal {

//! What decides on which workers a task of a step may start. Refers to the
//! configuration and the job.
struct PlacementNeeds {
  std::string_view Service_;
  std::string_view RequiredLabel_;
  base::Resources Request_;
  //! Set for best-effort steps, whose place also depends on how their image
  //! disturbs others.
  std::optional<ImageNumber> BestEffortImage_;
  //! Also starts on workers that were lost lately.
  bool AcceptsProbation_ = false;
  //! The number of tasks on a worker is limited, or they start all at once, so
  //! that the step may fail where single tasks have a place.
  bool Limited_ = false;
};

//! Remembers what found no worker in a placement pass, in which workers only
//! fill up, to skip the steps that can't find one either.
class UnplaceableSteps {
public:
  //! The step found no worker.
  void add(const PlacementNeeds &Needs);
  //! No worker is eligible for the step.
  bool covers(const PlacementNeeds &Needs) const;

private:
  std::vector<PlacementNeeds> Failed_;
};

} // namespace crocuslead::jobs::internal
