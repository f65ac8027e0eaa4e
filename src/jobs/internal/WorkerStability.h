#pragma once

#include "base/Clock.h"

#include <string>
#include <unordered_map>

namespace crocuslead::jobs::internal {

//! Remembers how often workers were lost lately, also across restarts under the
//! same id. A worker that comes back is put on probation, for longer the more
//! often it was lost.
class WorkerStability {
public:
  //! The worker stopped answering or restarted.
  void recordLoss(const std::string &Worker, base::TimePoint Now);
  //! Time for which a worker that is back gets no regular work; 0 if it was not
  //! lost within MemoryTime.
  base::Duration probation(const std::string &Worker,
                           base::TimePoint Now) const;
  //! Forgets workers whose last loss is older than MemoryTime.
  void prune(base::TimePoint Now);

  static constexpr base::Duration MemoryTime = std::chrono::seconds(60);
  static constexpr base::Duration FirstProbation = std::chrono::seconds(2);
  static constexpr base::Duration MaxProbation = std::chrono::seconds(30);

private:
  struct History {
    //! Losses in a row, each within MemoryTime of the one before.
    int Losses_ = 0;
    base::TimePoint LastLossAt_;
  };

  std::unordered_map<std::string, History> Histories_;
};

} // namespace crocuslead::jobs::internal
