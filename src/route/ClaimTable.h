#pragma once

#include "base/Clock.h"
#include "base/Error.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace crocuslead::route {

//! Issue time in a request key (a UUIDv7 in lower case); none when Key is not
//! one. Upper case is refused because the same key in two spellings would have
//! two homes and could run twice.
std::optional<base::WallTime> keyIssueTime(const std::string &Key);

//! What a claim on a request key came to.
enum class ClaimVerdict : uint8_t {
  //! The claimant may run the request, once.
  Granted,
  //! Another claim holds the key and has not ended.
  InProgress,
  //! The request ran; Executor_ may still have the answer.
  AlreadyRan,
  //! The key was refused earlier and can never run.
  Spent,
  //! The same key came with another request.
  FingerprintMismatch,
  //! The owner cannot know: the key is older than its memory, or its ownership
  //! is not confirmed.
  Unknown,
  //! The issue time lies too far in the future or past.
  BadIssueTime,
};

struct ClaimReply {
  ClaimVerdict Verdict_ = ClaimVerdict::Unknown;
  //! Instance that executed or executes the request.
  std::string Executor_;
  //! What is known about the effect of the request when it is not granted.
  //! BadIssueTime gives Unknown: the key may have run more than a day ago, or
  //! may be granted to a duplicate when its issue time has come.
  base::Outcome Outcome_ = base::Outcome::Unknown;
};

//! How a claimed request ended.
enum class ClaimEnd : uint8_t { Ran, NotRun, Unknown };

struct ClaimEntry {
  std::string Key_;
  uint64_t Fingerprint_ = 0;
  std::string Executor_;
  base::WallTime Issued_;
  std::optional<ClaimEnd> End_;
};

//! Claims on the request keys of one partition in one epoch; see the design
//! page, section 3.4.
class ClaimTable {
public:
  static constexpr std::size_t MaxEntries = 200'000;

  //! EpochStart is the wall time at which the ownership was confirmed to begin.
  //! The clocks of successive owners must agree to 1 s.
  explicit ClaimTable(base::WallTime EpochStart,
                      std::size_t Capacity = MaxEntries);

  //! OwnershipConfirmed tells whether the caller of this function is surely the
  //! only owner now.
  ClaimReply claim(const std::string &Key, uint64_t Fingerprint,
                   const std::string &Executor, bool OwnershipConfirmed,
                   base::WallTime Now);
  void finish(const std::string &Key, const std::string &Executor,
              ClaimEnd End);
  void expire(base::WallTime Now);

  //! Hands the table to the next owner; afterwards every claim here answers
  //! Unknown.
  std::vector<ClaimEntry> handOver();
  //! Takes over the table of the former epoch: keys issued since FormerStart
  //! are known. No other epoch may lie between the two. FormerStart is the
  //! knownSince() of the former table.
  void takeOver(std::vector<ClaimEntry> Entries, base::WallTime FormerStart);

  base::WallTime knownSince() const { return KnownSince_; }
  std::size_t size() const { return Entries_.size(); }

private:
  void insert(ClaimEntry Entry);
  void dropOldest();

  base::WallTime KnownSince_;
  //! Keys issued before this may have been dropped from a full table.
  base::WallTime ForgottenBefore_{};
  std::size_t Capacity_;
  bool HandedOver_ = false;
  std::unordered_map<std::string, ClaimEntry> Entries_;
  std::multimap<base::WallTime, std::string> ByIssue_;
};

} // namespace crocuslead::route
