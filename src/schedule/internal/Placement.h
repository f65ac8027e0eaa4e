#pragma once

#include "schedule/internal/State.h"

namespace crocuslead::schedule::internal {

//! The best worker for a task by remaining dominant resource, interference and
//! spread; null when none has room.
Worker *bestWorker(const State &Of, const PendingTask &Task);

//! Whether a start of the task on the worker is allowed at all.
bool mayStart(const State &Of, const PendingTask &Task, const Worker &Target);

//! Cost of the placement; lower is better.
double placementCost(const State &Of, const PendingTask &Task, uint32_t Kind,
                     const Worker &Target);

} // namespace crocuslead::schedule::internal
