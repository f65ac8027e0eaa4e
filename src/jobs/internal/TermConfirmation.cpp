#include "jobs/internal/TermConfirmation.h"

#include <algorithm>
#include <utility>

namespace crocuslead::jobs::internal {

void TermConfirmation::confirmByStore(base::TimePoint SentAt,
                                      int64_t Revision) {
  Revision_ = std::max(Revision_, Revision);
  ByStore_ = std::max(ByStore_.value_or(SentAt), SentAt);
}

void TermConfirmation::confirmByWorkers(base::TimePoint SentAt) {
  ByWorkers_ = std::max(ByWorkers_.value_or(SentAt), SentAt);
}

std::optional<base::TimePoint> TermConfirmation::confirmedAt() const {
  if (!ByStore_)
    return std::nullopt;
  base::TimePoint Confirmed = *ByStore_;
  if (ByWorkers_)
    Confirmed = std::max(
        Confirmed, std::min(*ByWorkers_, *ByStore_ + Bounds_.MaxStoreSilence_));
  return Confirmed;
}

std::optional<base::TimePoint> TermConfirmation::leaseLimit() const {
  auto Confirmed = confirmedAt();
  if (!Confirmed)
    return std::nullopt;
  return *Confirmed + Bounds_.AfterConfirmation_;
}

void PredecessorLeases::begin(base::TimePoint Now,
                              std::set<std::string> Holders) {
  BeganAt_ = Now;
  Unfenced_ = std::move(Holders);
  Recorded_ = Unfenced_.size();
  if (Recorded_ == 0)
    FencedAt_ = Now;
}

void PredecessorLeases::fence(const std::string &Holder, base::TimePoint Now) {
  if (Unfenced_.erase(Holder) > 0 && !FencedAt_ &&
      fencesPredecessors(Recorded_ - Unfenced_.size(), Recorded_))
    FencedAt_ = Now;
}

void PredecessorLeases::noteResignation(base::TimePoint Now) {
  if (!FencedAt_)
    FencedAt_ = Now;
}

base::TimePoint PredecessorLeases::end() const {
  base::TimePoint LastConfirmation =
      FencedAt_ ? *FencedAt_ : BeganAt_ + Bounds_.MaxStoreSilence_;
  return LastConfirmation + Bounds_.AfterConfirmation_;
}

} // namespace crocuslead::jobs::internal
