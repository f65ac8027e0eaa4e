#pragma once

#include "schedule/internal/State.h"

namespace crocuslead::schedule::internal {

//! Returns the worker with the lowest placement cost for the task, or null when
//! the task fits on none.
Worker *bestWorker(const State &PlannerState, const PendingTask &Task);

//! Whether the worker may run the task, regardless of its free capacity.
bool mayStart(const State &PlannerState, const PendingTask &Task,
              const Worker &Target);

//! Cost of a placement by remaining dominant resource, interference, failed
//! starts and spread; lower is better.
double placementCost(const State &PlannerState, const PendingTask &Task,
                     uint32_t Kind, const Worker &Target);

} // namespace crocuslead::schedule::internal
