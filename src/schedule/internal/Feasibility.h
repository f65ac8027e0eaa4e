#pragma once

#include "schedule/internal/Fleet.h"
#include "schedule/internal/PendingQueue.h"

#include <optional>

namespace crocuslead::schedule::internal {

//! Checks whether the known workers, all empty, could run a task of the class,
//! or its whole gang. Returns none when they could, otherwise the nearest
//! request per task that they could run.
std::optional<base::Resources> nearestFit(const Fleet &Workers,
                                          const EquivalenceClass &Class);

} // namespace crocuslead::schedule::internal
