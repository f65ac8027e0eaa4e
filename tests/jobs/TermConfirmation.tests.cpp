#include "jobs/internal/TermConfirmation.h"

#include <doctest/doctest.h>

namespace crocuslead::jobs::internal {

namespace {

using std::chrono::seconds;

constexpr LeaseBounds Bounds{seconds(6), seconds(60)};

base::TimePoint at(int Seconds) { return base::TimePoint(seconds(Seconds)); }

} // namespace

TEST_CASE("Workers that confirm a term and workers that fence its coordinator "
          "always have one in common") {
  for (std::size_t Recorded = 1; Recorded <= 300; ++Recorded)
    for (std::size_t Fenced = 0; Fenced <= Recorded; ++Fenced)
      if (fencesPredecessors(Fenced, Recorded))
        CHECK_FALSE(confirmsTerm(Recorded - Fenced, Recorded));
  CHECK_FALSE(confirmsTerm(0, 0));
}

TEST_CASE("No lease is granted before the store has confirmed the term") {
  TermConfirmation Term(Bounds);
  Term.confirmByWorkers(at(5));
  CHECK_FALSE(Term.leaseLimit().has_value());
}

TEST_CASE("Leases end a fixed time after the latest confirmation") {
  TermConfirmation Term(Bounds);
  Term.confirmByStore(at(10), 7);
  CHECK(Term.leaseLimit() == at(16));
  Term.confirmByStore(at(8), 6);
  CHECK(Term.leaseLimit() == at(16));
  Term.confirmByWorkers(at(30));
  CHECK(Term.leaseLimit() == at(36));
  Term.confirmByWorkers(at(100));
  CHECK(Term.leaseLimit() == at(76));
}

TEST_CASE(
    "A term covers the revisions up to the highest at which the store has "
    "confirmed it") {
  TermConfirmation Term(Bounds);
  CHECK_FALSE(Term.coversRevision(1));
  Term.confirmByStore(at(10), 7);
  Term.confirmByStore(at(11), 6);
  CHECK(Term.coversRevision(7));
  CHECK_FALSE(Term.coversRevision(8));
  Term.confirmByWorkers(at(30));
  CHECK_FALSE(Term.coversRevision(8));
}

TEST_CASE("A successor waits from the moment at which it has fenced enough "
          "workers") {
  PredecessorLeases Leases(Bounds);
  Leases.begin(at(10), {"a", "b", "c", "d"});
  CHECK(Leases.end() == at(76));
  Leases.fence("x", at(11));
  Leases.fence("a", at(11));
  CHECK_FALSE(Leases.fenced());
  Leases.fence("a", at(12));
  CHECK_FALSE(Leases.fenced());
  Leases.fence("b", at(13));
  CHECK(Leases.end() == at(19));
  Leases.fence("c", at(14));
  CHECK(Leases.end() == at(19));
}

TEST_CASE("Without recorded lease holders nothing is waited for beyond one "
          "bound") {
  PredecessorLeases Leases(Bounds);
  Leases.begin(at(10), {});
  CHECK(Leases.end() == at(16));
}

} // namespace crocuslead::jobs::internal
