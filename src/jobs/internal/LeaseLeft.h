#pragma once

#include "base/Clock.h"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace crocuslead::jobs::internal {

//! No coordinator records a longer rest of a lease.
constexpr int64_t MaxLeaseLeftMs = 24LL * 3600 * 1000;

//! The rest of a lease in whole milliseconds, rounded up: a reader that waits
//! for them outlives the lease.
inline int64_t leaseLeftMillis(base::Duration Left) {
  return std::max<int64_t>(
      0, std::chrono::ceil<std::chrono::milliseconds>(Left).count());
}

//! The rest of a lease from a stored record; empty if it is out of range.
inline std::optional<base::Duration> leaseLeftOf(int64_t Millis) {
  if (Millis < 0 || Millis > MaxLeaseLeftMs)
    return std::nullopt;
  return std::chrono::milliseconds(Millis);
}

} // namespace crocuslead::jobs::internal
