#include "app/ExecutedKeys.h"

namespace crocuslead::app {

void ExecutedKeys::granted(const std::string &Key, uint64_t Fingerprint) {
  if (!Keys_.emplace(Key, Known{Fingerprint, std::nullopt}).second)
    return;
  Order_.push_back(Key);
  // The owner refuses a forgotten key too, because it grants each key to one
  // call only; what is lost is the answer "ran" while its report is lost.
  while (Order_.size() > Capacity_) {
    Keys_.erase(Order_.front());
    Order_.pop_front();
  }
}

void ExecutedKeys::ended(const std::string &Key, route::ClaimEnd End) {
  auto Found = Keys_.find(Key);
  if (Found != Keys_.end() && !Found->second.End_)
    Found->second.End_ = End;
}

std::optional<route::ClaimReply>
ExecutedKeys::find(const std::string &Key, uint64_t Fingerprint,
                   const std::string &Executor) const {
  using route::ClaimVerdict;
  auto Found = Keys_.find(Key);
  if (Found == Keys_.end())
    return std::nullopt;
  const Known &Entry = Found->second;
  if (Entry.Fingerprint_ != Fingerprint)
    return route::ClaimReply{
        ClaimVerdict::FingerprintMismatch, {}, base::Outcome::NotRun};
  if (!Entry.End_)
    return route::ClaimReply{ClaimVerdict::InProgress, Executor,
                             base::Outcome::Unknown};
  switch (*Entry.End_) {
  case route::ClaimEnd::Ran:
    return route::ClaimReply{ClaimVerdict::AlreadyRan, Executor,
                             base::Outcome::Ran};
  case route::ClaimEnd::NotRun:
    return route::ClaimReply{ClaimVerdict::Spent, Executor,
                             base::Outcome::NotRun};
  case route::ClaimEnd::Unknown:
    break;
  }
  return route::ClaimReply{ClaimVerdict::Unknown, Executor,
                           base::Outcome::Unknown};
}

} // namespace crocuslead::app
