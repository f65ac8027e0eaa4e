#include "route/ClaimTable.h"

#include <doctest/doctest.h>

using namespace crocuslead;
using route::ClaimTable;
using route::ClaimVerdict;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const base::WallTime Start(milliseconds(0x019000000000));
const base::WallTime Now = Start + seconds(20);
//! Issued 20 s after Start.
const std::string Key = "01900000-4e20-7000-8000-000000000001";
//! Issued 20 s and 1 ms after Start.
const std::string Later = "01900000-4e21-7000-8000-000000000002";

} // namespace

// Guards against a key that is granted twice.
TEST_CASE("a claim on a request key is granted once") {
  ClaimTable Table(Start);
  CHECK(route::keyIssueTime(Key) == Now);
  CHECK(Table.claim(Key, 1, "i1", true, Now).Verdict_ == ClaimVerdict::Granted);
  auto Second = Table.claim(Key, 1, "i2", true, Now);
  CHECK(Second.Verdict_ == ClaimVerdict::InProgress);
  CHECK(Second.Executor_ == "i1");
  CHECK(Table.claim(Key, 2, "i2", true, Now).Verdict_ ==
        ClaimVerdict::FingerprintMismatch);
}

// Guards against a refusal that says not-run and a later grant of its key.
TEST_CASE("a released key stays spent and a report of another is ignored") {
  ClaimTable Table(Start);
  Table.claim(Key, 1, "i1", true, Now);
  Table.finish(Key, "i2", route::ClaimEnd::Ran);
  Table.finish(Key, "i1", route::ClaimEnd::NotRun);
  Table.finish(Key, "i1", route::ClaimEnd::Ran);
  CHECK(Table.claim(Key, 1, "i1", true, Now).Verdict_ == ClaimVerdict::Spent);
}

// Guards the 6 s margin, the confirmation and the limits of the issue time.
TEST_CASE("a grant needs confirmed ownership and an issue time in the epoch") {
  auto Verdict = [&](base::WallTime EpochStart, bool Confirmed,
                     base::WallTime At) {
    return ClaimTable(EpochStart).claim(Key, 1, "i1", Confirmed, At).Verdict_;
  };
  CHECK(Verdict(Now - seconds(6), true, Now) == ClaimVerdict::Granted);
  CHECK(Verdict(Now - milliseconds(5999), true, Now) == ClaimVerdict::Unknown);
  CHECK(Verdict(Start, false, Now) == ClaimVerdict::Unknown);
  CHECK(Verdict(Start, true, Now - seconds(5)) == ClaimVerdict::Granted);
  CHECK(Verdict(Start, true, Now - milliseconds(5001)) ==
        ClaimVerdict::BadIssueTime);
  CHECK(Verdict(Start, true, Now + std::chrono::hours(24)) ==
        ClaimVerdict::Granted);
  CHECK(Verdict(Start, true, Now + std::chrono::hours(25)) ==
        ClaimVerdict::BadIssueTime);
}

// Guards against two spellings of one key having two homes.
TEST_CASE("only UUIDv7 keys in lower case have an issue time") {
  for (const char *Bad : {"", "01900000-4e20-4000-8000-000000000001",
                          "01900000-4e20-7000-c000-000000000001",
                          "01900000-4E20-7000-8000-000000000001",
                          "01900000-4e20-7000-8000-00000000000",
                          "01900000x4e20-7000-8000-0000000"
                          "00001"}) {
    CAPTURE(Bad);
    CHECK_FALSE(route::keyIssueTime(Bad).has_value());
  }
}

// Guards against a key that was dropped from a full table and granted again,
// also when a former table that knows older keys arrives afterwards.
TEST_CASE("a key dropped from a full table is never granted again") {
  ClaimTable Table(Start, 1);
  Table.claim(Key, 1, "i1", true, Now);
  Table.claim(Later, 1, "i1", true, Now);
  CHECK(Table.size() == 1);
  CHECK(Table.claim(Key, 1, "i1", true, Now).Verdict_ == ClaimVerdict::Unknown);
  Table.takeOver({}, Start - seconds(100));
  CHECK(Table.claim(Key, 1, "i1", true, Now).Verdict_ == ClaimVerdict::Unknown);
}

// Guards against grants by two owners around a planned handover.
TEST_CASE("a handed-over table answers unknown and its successor knows it") {
  ClaimTable Old(Start);
  Old.claim(Key, 1, "i1", true, Now);
  auto Since = Old.knownSince();
  ClaimTable New(Now + seconds(1));
  New.takeOver(Old.handOver(), Since);
  CHECK(Old.claim(Later, 1, "i1", true, Now).Verdict_ == ClaimVerdict::Unknown);
  CHECK(New.claim(Key, 1, "i1", true, Now).Verdict_ ==
        ClaimVerdict::InProgress);
  CHECK(New.claim(Later, 1, "i1", true, Now).Verdict_ == ClaimVerdict::Granted);
}
