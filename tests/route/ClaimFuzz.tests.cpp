#include "base/Random.h"
#include "route/ClaimTable.h"

#include <array>
#include <cstdio>
#include <doctest/doctest.h>
#include <memory>
#include <rapidcheck.h>
#include <set>

using namespace crocuslead;
using route::ClaimEnd;
using route::ClaimTable;
using route::ClaimVerdict;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

enum class Broken {
  None,
  NoStartMargin,
  TrustPausedOwner,
  LoseTable,
  BadTimeIsNotRun
};

struct Step {
  uint8_t Kind_ = 0;
  uint32_t Arg_ = 0;
};

std::string makeKey(base::WallTime Issued, uint32_t Number) {
  char Text[64];
  auto Millis =
      static_cast<unsigned long long>(Issued.time_since_epoch().count());
  std::snprintf(Text, sizeof(Text), "%08llx-%04llx-7000-8000-%012x",
                Millis >> 16, Millis & 0xffff, Number);
  return Text;
}

//! Successive owners of one partition, each with its own wall clock, and
//! callers whose clocks are further off. An owner may be paused while its
//! successor already grants.
class Owners {
public:
  explicit Owners(Broken Rule) : Rule_(Rule) { acquire(0); }

  void apply(const Step &S) {
    base::Random Rng(S.Arg_);
    switch (S.Kind_ % 12) {
    case 0:
    case 1:
    case 2:
      Keys_.push_back(makeKey(
          Now_ + milliseconds(static_cast<int64_t>(Rng.below(16000)) - 8000),
          static_cast<uint32_t>(Keys_.size())));
      return claim(Keys_.size() - 1, Rng);
    case 3:
    case 4:
    case 5:
      return Keys_.empty() ? void() : claim(pickKey(Rng), Rng);
    case 6:
      return advance(milliseconds(Rng.below(3000)));
    case 7:
      return advance(Rng.below(6) == 0 ? hours(13) : seconds(Rng.below(20)));
    case 8:
      Paused_ = !Paused_;
      return;
    case 9:
      return takeAfterLapse(Rng.below(3));
    case 10:
      return handOver(Rng.below(3), Rng.below(4) != 0);
    default:
      if (Rng.below(3) == 0)
        Tables_[Current_] = nullptr;
    }
  }

  std::set<std::string> Violations_;

private:
  struct Truth {
    int Runs_ = 0;
    std::set<uint64_t> RanAs_;
    std::set<uint64_t> ToldNotRun_;
  };

  base::WallTime clockOf(std::size_t I) const {
    return Now_ + milliseconds(std::array<int, 3>{-450, 0, 450}[I]);
  }

  std::size_t pickKey(base::Random &Rng) const {
    std::size_t Recent = std::min<std::size_t>(Keys_.size(), 12);
    return Keys_.size() - 1 - Rng.below(Recent);
  }

  void acquire(std::size_t I) {
    auto Margin = Rule_ == Broken::NoStartMargin ? seconds(6) : seconds(0);
    Current_ = I;
    Tables_[I] = std::make_unique<ClaimTable>(clockOf(I) - Margin, 12);
    LastKeepAlive_[I] = Now_;
    Paused_ = false;
  }

  void takeAfterLapse(std::size_t I) {
    if (I != Current_ && Now_ - LastKeepAlive_[Current_] >= seconds(15))
      acquire(I);
  }

  void handOver(std::size_t I, bool Arrives) {
    if (I == Current_ || Paused_ || !Tables_[Current_] || !confirmed(Current_))
      return;
    base::WallTime Since = Tables_[Current_]->knownSince();
    auto Entries = Tables_[Current_]->handOver();
    acquire(I);
    if (Rule_ == Broken::LoseTable)
      Entries.clear();
    if (Arrives)
      Tables_[I]->takeOver(std::move(Entries), Since);
  }

  void advance(milliseconds Length) {
    Now_ += Length;
    if (Paused_ || !Tables_[Current_])
      return;
    // A lease that has lapsed cannot be kept alive any more.
    if (Now_ - LastKeepAlive_[Current_] < seconds(15))
      LastKeepAlive_[Current_] = Now_;
    Tables_[Current_]->expire(clockOf(Current_));
  }

  bool confirmed(std::size_t I) const {
    return Now_ - LastKeepAlive_[I] < seconds(13) ||
           Rule_ == Broken::TrustPausedOwner;
  }

  void claim(std::size_t KeyIndex, base::Random &Rng) {
    const std::string &Key = Keys_[KeyIndex];
    std::size_t I = Rng.below(2) == 0 ? Current_ : Rng.below(3);
    if (!Tables_[I])
      return;
    uint64_t Fingerprint = Rng.below(8) == 0 ? 2 : 1;
    std::string Executor = "i" + std::to_string(Rng.below(3));
    auto Reply =
        Tables_[I]->claim(Key, Fingerprint, Executor, confirmed(I), clockOf(I));
    Truth &T = Truth_[Key];
    if (Reply.Verdict_ == ClaimVerdict::Granted)
      return execute(*Tables_[I], Key, Executor, Fingerprint, Rng);
    if (Rule_ == Broken::BadTimeIsNotRun &&
        Reply.Verdict_ == ClaimVerdict::BadIssueTime)
      Reply.Outcome_ = base::Outcome::NotRun;
    if (Reply.Outcome_ == base::Outcome::NotRun) {
      T.ToldNotRun_.insert(Fingerprint);
      check(T.RanAs_.count(Fingerprint) == 0, "told not-run but ran");
    }
    if (Reply.Outcome_ == base::Outcome::Ran)
      check(T.RanAs_.count(Fingerprint) != 0, "told ran but did not");
  }

  void execute(ClaimTable &Table, const std::string &Key,
               const std::string &Executor, uint64_t Fingerprint,
               base::Random &Rng) {
    Truth &T = Truth_[Key];
    bool Released = Rng.below(4) == 0;
    if (Released) {
      T.ToldNotRun_.insert(Fingerprint);
    } else {
      ++T.Runs_;
      T.RanAs_.insert(Fingerprint);
      check(T.Runs_ <= 1, "ran twice");
      check(T.ToldNotRun_.count(Fingerprint) == 0, "ran after told not-run");
    }
    if (Rng.below(3) != 0)
      Table.finish(Key, Executor, Released ? ClaimEnd::NotRun : ClaimEnd::Ran);
  }

  void check(bool Holds, const std::string &Rule) {
    if (!Holds)
      Violations_.insert(Rule);
  }

  Broken Rule_;
  base::WallTime Now_{hours(24 * 365 * 56)};
  std::array<std::unique_ptr<ClaimTable>, 3> Tables_;
  std::array<base::WallTime, 3> LastKeepAlive_{};
  std::size_t Current_ = 0;
  bool Paused_ = false;
  std::vector<std::string> Keys_;
  std::map<std::string, Truth> Truth_;
};

std::set<std::string> run(const std::vector<Step> &Steps, Broken Rule) {
  Owners O(Rule);
  for (const Step &S : Steps)
    O.apply(S);
  return O.Violations_;
}

std::vector<Step> randomSteps(uint64_t Seed, std::size_t Count) {
  base::Random Rng(Seed);
  std::vector<Step> Steps;
  for (std::size_t I = 0; I < Count; ++I)
    Steps.push_back({static_cast<uint8_t>(Rng.below(12)),
                     static_cast<uint32_t>(Rng.next())});
  return Steps;
}

bool notices(Broken Rule, const std::string &Violation) {
  for (uint64_t Seed = 1; Seed <= 60; ++Seed)
    if (run(randomSteps(Seed, 400), Rule).count(Violation) != 0)
      return true;
  return false;
}

} // namespace

// Guards P6 and P7 for keyed requests against deaths, pauses, handovers, full
// tables, lost reports and skewed clocks.
TEST_CASE("no history of owners grants a key twice or lies about it") {
  CHECK(rc::check("claims hold", [] {
    auto Steps = *rc::gen::container<std::vector<Step>>(rc::gen::apply(
        [](uint8_t Kind, uint32_t Arg) {
          return Step{Kind, Arg};
        },
        rc::gen::inRange<uint8_t>(0, 12), rc::gen::arbitrary<uint32_t>()));
    RC_ASSERT(run(Steps, Broken::None).empty());
  }));
  for (uint64_t Seed = 1; Seed <= 200; ++Seed) {
    CAPTURE(Seed);
    auto Found = run(randomSteps(Seed, 600), Broken::None);
    CHECK_MESSAGE(Found.empty(), (Found.empty() ? "" : *Found.begin()));
  }
}

// Guards against an oracle that passes whatever the owners do.
TEST_CASE("the claim oracle notices each broken rule") {
  CHECK(notices(Broken::NoStartMargin, "ran twice"));
  CHECK(notices(Broken::TrustPausedOwner, "ran twice"));
  CHECK(notices(Broken::LoseTable, "ran twice"));
}

// A key from the future can be granted when its time has come, and a key more
// than a day old may have run, so neither refusal may say not-run.
TEST_CASE("a bad issue time does not prove that the request has not run") {
  CHECK(notices(Broken::BadTimeIsNotRun, "ran after told not-run"));
  CHECK(notices(Broken::BadTimeIsNotRun, "told not-run but ran"));
}
