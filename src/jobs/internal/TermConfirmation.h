#pragma once

#include "base/Clock.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace crocuslead::jobs::internal {

//! Bounds that a coordinator and its successor share: the one grants no lease
//! beyond them, the other waits for them. See
//! docs/decisions/term-confirmation.md.
struct LeaseBounds {
  //! A lease ends at most this long after the term was last confirmed.
  base::Duration AfterConfirmation_{};
  //! For how long after the last confirmation by the store the answers of
  //! workers confirm the term.
  base::Duration MaxStoreSilence_{};
};

//! Whether the answers of this part of the workers that are recorded as lease
//! holders confirm a term. Any such set and any set for which
//! fencesPredecessors() holds have a worker in common.
constexpr bool confirmsTerm(std::size_t Answered, std::size_t Recorded) {
  return Recorded > 0 && 4 * Answered >= 3 * Recorded;
}

//! Whether no earlier term can be confirmed by workers once this part of the
//! recorded lease holders has seen the present one.
constexpr bool fencesPredecessors(std::size_t Fenced, std::size_t Recorded) {
  return 4 * Fenced > Recorded;
}

//! When it was last shown that no later term had begun, which bounds the
//! leases that a coordinator may grant. All times are those at which the
//! request was sent whose reply shows it.
class TermConfirmation {
public:
  explicit TermConfirmation(LeaseBounds Bounds) : Bounds_(Bounds) {}

  //! Revision is that of the store at which the term was the latest.
  void confirmByStore(base::TimePoint SentAt, int64_t Revision);
  void confirmByWorkers(base::TimePoint SentAt);
  std::optional<base::TimePoint> confirmedByStoreAt() const { return ByStore_; }
  //! Whether the term was the latest at this revision of the store, so that a
  //! successor finds what was written at it, or before, in its first reading.
  bool coversRevision(int64_t Revision) const { return Revision <= Revision_; }
  //! The latest confirmation; unset before the first one by the store.
  std::optional<base::TimePoint> confirmedAt() const;
  //! Latest end of a lease that may be granted; unset before the first
  //! confirmation by the store.
  std::optional<base::TimePoint> leaseLimit() const;

private:
  LeaseBounds Bounds_;
  std::optional<base::TimePoint> ByStore_;
  std::optional<base::TimePoint> ByWorkers_;
  int64_t Revision_ = 0;
};

//! Until when coordinators of earlier terms may have leases in force on workers
//! that have not answered in this term.
class PredecessorLeases {
public:
  explicit PredecessorLeases(LeaseBounds Bounds) : Bounds_(Bounds) {}

  //! The term began before Now; Holders are the ids of the workers that are
  //! recorded as lease holders.
  void begin(base::TimePoint Now, std::set<std::string> Holders);
  //! The worker has seen this term, or the recorded incarnation is gone.
  void fence(const std::string &Holder, base::TimePoint Now);
  //! The coordinator of the term before has resigned after it had fenced the
  //! earlier ones.
  void noteResignation(base::TimePoint Now);
  bool fenced() const { return FencedAt_.has_value(); }
  std::optional<base::TimePoint> fencedAt() const { return FencedAt_; }
  //! By this clock; the clocks of workers are not accounted for.
  base::TimePoint end() const;

private:
  LeaseBounds Bounds_;
  base::TimePoint BeganAt_;
  std::optional<base::TimePoint> FencedAt_;
  std::set<std::string> Unfenced_;
  std::size_t Recorded_ = 0;
};

} // namespace crocuslead::jobs::internal
