#include "jobs/internal/UnplaceableSteps.h"

#include <doctest/doctest.h>

namespace crocuslead::jobs::internal {

namespace {

PlacementNeeds needs(int64_t MilliCpu) {
  PlacementNeeds Out;
  Out.Service_ = "desk";
  Out.Request_ = {MilliCpu, 1'000, 0};
  return Out;
}

bool covers(const PlacementNeeds &Failed, const PlacementNeeds &Other) {
  UnplaceableSteps Steps;
  Steps.add(Failed);
  return Steps.covers(Other);
}

} // namespace

TEST_CASE("A step that found no worker covers those that need as much") {
  CHECK(covers(needs(2'000), needs(2'000)));
  CHECK(covers(needs(2'000), needs(3'000)));
  CHECK_FALSE(covers(needs(2'000), needs(1'000)));
  PlacementNeeds LessMemory = needs(3'000);
  LessMemory.Request_.MemoryMb_ = 100;
  CHECK_FALSE(covers(needs(2'000), LessMemory));
}

TEST_CASE("A step that found no worker covers no step of another service, "
          "label, kind or image") {
  PlacementNeeds Plain = needs(2'000);
  PlacementNeeds Other = Plain;
  Other.Service_ = "ledger";
  CHECK_FALSE(covers(Plain, Other));
  PlacementNeeds Labelled = Plain;
  Labelled.RequiredLabel_ = "gpu";
  CHECK(covers(Plain, Labelled));
  CHECK(covers(Labelled, Labelled));
  CHECK_FALSE(covers(Labelled, Plain));
  PlacementNeeds BestEffort = Plain;
  BestEffort.BestEffortImage_ = 1;
  CHECK(covers(BestEffort, BestEffort));
  CHECK_FALSE(covers(Plain, BestEffort));
  CHECK_FALSE(covers(BestEffort, Plain));
  PlacementNeeds OtherImage = BestEffort;
  OtherImage.BestEffortImage_ = 2;
  CHECK_FALSE(covers(BestEffort, OtherImage));
}

TEST_CASE("A step with a limit per worker or a gang covers no other") {
  PlacementNeeds Limited = needs(2'000);
  Limited.Limited_ = true;
  CHECK_FALSE(covers(Limited, needs(2'000)));
  CHECK(covers(needs(2'000), Limited));
}

TEST_CASE("A step that avoids workers on probation does not cover one that "
          "accepts them") {
  PlacementNeeds Patient = needs(2'000);
  Patient.AcceptsProbation_ = true;
  CHECK_FALSE(covers(needs(2'000), Patient));
  CHECK(covers(Patient, needs(2'000)));
}

} // namespace crocuslead::jobs::internal
