#pragma once

#include "schedule/internal/Fleet.h"
#include "schedule/internal/PendingQueue.h"

#include <optional>

namespace crocuslead::schedule::internal {

//! None when the known workers, all empty, could hold the shape's task or whole
//! gang; else the nearest request for each task that they could hold.
std::optional<base::Resources> nearestFit(const Fleet &Workers,
                                          const EquivalenceClass &Target);

} // namespace crocuslead::schedule::internal
