#include "app/OwnershipProof.h"

#include <doctest/doctest.h>

using namespace crocuslead;

namespace {

base::TimePoint at(int Millis) {
  return base::TimePoint(std::chrono::milliseconds(1'000'000 + Millis));
}

} // namespace

TEST_CASE("Ownership stays proven while the store is lost for everyone") {
  app::OwnershipProof Proof;
  CHECK(!Proof.isProven(false, true, at(0)));
  CHECK(Proof.isProven(true, false, at(500)));
  CHECK(Proof.isProven(false, true, at(1000)));
  CHECK(Proof.isProven(false, true, at(1900)));
}

TEST_CASE("A process that was paused through an outage proves nothing") {
  app::OwnershipProof Proof;
  CHECK(Proof.isProven(true, false, at(0)));
  CHECK(!Proof.isProven(false, true, at(20'000)));
  CHECK(!Proof.isProven(false, true, at(20'100)));
  CHECK(Proof.isProven(true, false, at(20'200)));
}

TEST_CASE("A single peer with store contact ends the proof") {
  app::OwnershipProof Proof;
  CHECK(Proof.isProven(true, false, at(0)));
  CHECK(!Proof.isProven(false, false, at(100)));
  CHECK(!Proof.isProven(false, true, at(200)));
}
