#include "jobs/internal/WorkerStability.h"

#include <doctest/doctest.h>

namespace crocuslead::jobs::internal::test {

using std::chrono::seconds;

TEST_CASE("Probation grows with each loss and is forgotten after a while") {
  WorkerStability Stability;
  base::TimePoint Now{seconds(1'000)};
  CHECK(Stability.probation("w0", Now) == base::Duration{});
  Stability.recordLoss("w0", Now);
  CHECK(Stability.probation("w0", Now) == WorkerStability::FirstProbation);
  CHECK(Stability.probation("w1", Now) == base::Duration{});
  for (int I = 0; I < 8; ++I)
    Stability.recordLoss("w0", Now += seconds(3));
  CHECK(Stability.probation("w0", Now) == WorkerStability::MaxProbation);
  Now += WorkerStability::MemoryTime + seconds(1);
  CHECK(Stability.probation("w0", Now) == base::Duration{});
  Stability.prune(Now);
  Stability.recordLoss("w0", Now);
  CHECK(Stability.probation("w0", Now) == WorkerStability::FirstProbation);
}

} // namespace crocuslead::jobs::internal::test
