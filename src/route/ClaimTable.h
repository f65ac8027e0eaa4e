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

//! Issue time in a request key (a UUIDv7); none when Key is not a UUIDv7.
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
  //! are known.
  void takeOver(std::vector<ClaimEntry> Entries, base::WallTime FormerStart);

  base::WallTime knownSince() const { return KnownSince_; }
  std::size_t size() const { return Entries_.size(); }

private:
  base::WallTime KnownSince_;
  std::size_t Capacity_;
  bool HandedOver_ = false;
  std::unordered_map<std::string, ClaimEntry> Entries_;
  std::multimap<base::WallTime, std::string> ByIssue_;
};

} // namespace crocuslead::route
