#include "Fleet.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using fleet::Broken;
using fleet::Fleet;
using fleet::Step;

namespace {

using Rules = std::set<std::string>;

Rules run(uint64_t Seed, const std::vector<Step> &Steps, Broken Rule) {
  Fleet F(Seed, Rule);
  for (const Step &S : Steps)
    F.apply(S);
  F.finish();
  return F.violations();
}

std::vector<Step> randomSteps(uint64_t Seed, std::size_t Count) {
  crocuslead::base::Random Rng(Seed);
  std::vector<Step> Steps;
  for (std::size_t I = 0; I < Count; ++I)
    Steps.push_back(
        {static_cast<uint8_t>(Rng.next()), static_cast<uint32_t>(Rng.next())});
  return Steps;
}

rc::Gen<std::vector<Step>> histories() {
  return rc::gen::container<std::vector<Step>>(rc::gen::apply(
      [](uint8_t Kind, uint32_t Arg) {
        return Step{Kind, Arg};
      },
      rc::gen::inRange<uint8_t>(0, 16), rc::gen::arbitrary<uint32_t>()));
}

//! Whether some history shows, with the rule broken, the violation.
bool notices(Broken Rule, const std::string &Violation) {
  for (uint64_t Seed = 1; Seed <= 40; ++Seed)
    if (run(Seed, randomSteps(Seed, 300), Rule).count(Violation) != 0)
      return true;
  return false;
}

} // namespace

// Guards P5 to P8, the slots and the retry budget against any order of
// answers, losses, departures, deaths and loans.
TEST_CASE("no history of requests and failures violates a routing rule") {
  CHECK(rc::check("routing rules hold", [] {
    auto Steps = *histories();
    RC_ASSERT(run(7, Steps, Broken::None) == Rules());
  }));
}

// Guards against faults that need longer histories than RapidCheck generates.
TEST_CASE("no long history violates a routing rule") {
  for (uint64_t Seed = 1; Seed <= 60; ++Seed) {
    CAPTURE(Seed);
    Rules Found = run(Seed, randomSteps(Seed, 800), Broken::None);
    CHECK_MESSAGE(Found.empty(), (Found.empty() ? "" : *Found.begin()));
  }
}

// Guards against an oracle that passes whatever the router does.
TEST_CASE("the routing oracle notices each broken rule") {
  CHECK(notices(Broken::RetryAfterReset, "non-idempotent ran twice"));
  CHECK(notices(Broken::IgnoreLeaving, "new work on a leaving upstream"));
  CHECK(notices(Broken::ClaimNotRun, "not-run is not true"));
  CHECK(notices(Broken::Greedy, "more attempts than slots"));
  CHECK(notices(Broken::MixAnswers,
                "delivered an answer that did not come whole"));
}
