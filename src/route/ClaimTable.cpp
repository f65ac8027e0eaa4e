#include "route/ClaimTable.h"

#include <algorithm>
#include <utility>

namespace crocuslead::route {

namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

//! Largest error of a caller's clock that keys may show.
constexpr seconds CallerClockError{5};
//! Difference that is allowed between the clocks of two owners.
constexpr seconds OwnerClockError{1};
constexpr hours MaxKeyAge{24};

constexpr std::size_t KeyLength = 36;
constexpr std::size_t VersionPosition = 14;
constexpr std::size_t VariantPosition = 19;

bool isHyphenPosition(std::size_t I) {
  return I == 8 || I == 13 || I == 18 || I == 23;
}

std::optional<uint64_t> hexValue(char C) {
  if (C >= '0' && C <= '9')
    return static_cast<uint64_t>(C - '0');
  if (C >= 'a' && C <= 'f')
    return static_cast<uint64_t>(C - 'a' + 10);
  return std::nullopt;
}

ClaimReply replyFor(const ClaimEntry &Entry, uint64_t Fingerprint) {
  if (Entry.Fingerprint_ != Fingerprint)
    return {ClaimVerdict::FingerprintMismatch, {}, base::Outcome::NotRun};
  if (!Entry.End_)
    return {ClaimVerdict::InProgress, Entry.Executor_, base::Outcome::Unknown};
  switch (*Entry.End_) {
  case ClaimEnd::Ran:
    return {ClaimVerdict::AlreadyRan, Entry.Executor_, base::Outcome::Ran};
  case ClaimEnd::NotRun:
    return {ClaimVerdict::Spent, Entry.Executor_, base::Outcome::NotRun};
  case ClaimEnd::Unknown:
    break;
  }
  return {ClaimVerdict::Unknown, Entry.Executor_, base::Outcome::Unknown};
}

} // namespace

std::optional<base::WallTime> keyIssueTime(const std::string &Key) {
  if (Key.size() != KeyLength || Key[VersionPosition] != '7')
    return std::nullopt;
  uint64_t Millis = 0;
  for (std::size_t I = 0; I < KeyLength; ++I) {
    if (isHyphenPosition(I)) {
      if (Key[I] != '-')
        return std::nullopt;
      continue;
    }
    auto Digit = hexValue(Key[I]);
    if (!Digit)
      return std::nullopt;
    if (I < VersionPosition)
      Millis = Millis * 16 + *Digit;
  }
  if (std::string("89ab").find(Key[VariantPosition]) == std::string::npos)
    return std::nullopt;
  return base::WallTime(milliseconds(Millis));
}

ClaimTable::ClaimTable(base::WallTime EpochStart, std::size_t Capacity)
    : KnownSince_(EpochStart + CallerClockError + OwnerClockError),
      Capacity_(std::max<std::size_t>(Capacity, 1)) {}

ClaimReply ClaimTable::claim(const std::string &Key, uint64_t Fingerprint,
                             const std::string &Executor,
                             bool OwnershipConfirmed, base::WallTime Now) {
  auto Issued = keyIssueTime(Key);
  if (!Issued)
    return {ClaimVerdict::BadIssueTime, {}, base::Outcome::NotRun};
  if (HandedOver_)
    return {};
  auto Found = Entries_.find(Key);
  if (Found != Entries_.end())
    return replyFor(Found->second, Fingerprint);
  if (*Issued > Now + CallerClockError || *Issued < Now - MaxKeyAge)
    return {ClaimVerdict::BadIssueTime, {}, base::Outcome::Unknown};
  if (!OwnershipConfirmed || *Issued < KnownSince_)
    return {};
  while (Entries_.size() >= Capacity_)
    dropOldest();
  if (*Issued < KnownSince_)
    return {};
  insert({Key, Fingerprint, Executor, *Issued, std::nullopt});
  return {ClaimVerdict::Granted, Executor, base::Outcome::Unknown};
}

void ClaimTable::finish(const std::string &Key, const std::string &Executor,
                        ClaimEnd End) {
  auto Found = Entries_.find(Key);
  if (Found == Entries_.end() || Found->second.Executor_ != Executor)
    return;
  std::optional<ClaimEnd> &Known = Found->second.End_;
  // The first end is final; only an unknown one can become known as run.
  if (!Known || (*Known == ClaimEnd::Unknown && End == ClaimEnd::Ran))
    Known = End;
}

void ClaimTable::expire(base::WallTime Now) {
  while (!ByIssue_.empty() && ByIssue_.begin()->first < Now - MaxKeyAge)
    dropOldest();
}

std::vector<ClaimEntry> ClaimTable::handOver() {
  std::vector<ClaimEntry> Handed;
  Handed.reserve(Entries_.size());
  for (const auto &[Issued, Key] : ByIssue_)
    Handed.push_back(std::move(Entries_.at(Key)));
  Entries_.clear();
  ByIssue_.clear();
  HandedOver_ = true;
  return Handed;
}

void ClaimTable::takeOver(std::vector<ClaimEntry> Entries,
                          base::WallTime FormerStart) {
  if (HandedOver_)
    return;
  KnownSince_ = std::max(std::min(KnownSince_, FormerStart), ForgottenBefore_);
  for (ClaimEntry &Entry : Entries)
    insert(std::move(Entry));
  while (Entries_.size() > Capacity_)
    dropOldest();
}

void ClaimTable::insert(ClaimEntry Entry) {
  base::WallTime Issued = Entry.Issued_;
  std::string Key = Entry.Key_;
  if (Entries_.emplace(Key, std::move(Entry)).second)
    ByIssue_.emplace(Issued, std::move(Key));
}

// A dropped key must never be granted again, even when the wall clock is set
// back, so the time since which keys are known moves past it.
void ClaimTable::dropOldest() {
  auto Oldest = ByIssue_.begin();
  ForgottenBefore_ =
      std::max(ForgottenBefore_, Oldest->first + milliseconds(1));
  KnownSince_ = std::max(KnownSince_, ForgottenBefore_);
  Entries_.erase(Oldest->second);
  ByIssue_.erase(Oldest);
}

} // namespace crocuslead::route
