#pragma once

#include "schedule/internal/State.h"

#include <vector>

namespace crocuslead::schedule::internal {

//! Starts waiting tasks where there is room.
class Starter {
public:
  Starter(State &Of, std::size_t Limit, std::vector<Decision> &Out)
      : State_(Of), Limit_(Limit), Out_(Out) {}

  //! Returns shapes to the ready ones for which capacity may have come free.
  void wake();
  void startUrgent();
  void startByShare();

private:
  bool limitReached() const { return Out_.size() >= Limit_; }
  //! Starts tasks whose reserved room has come free.
  void startReserved(bool Urgent);
  void wakeQueue(SubQueue &Place);
  //! One attempt with the first shape of the lane; false to stop the lane.
  bool startFirst(SubQueue &Place, Reason Why);
  bool startGang(EquivalenceClass &Gang, Reason Why);
  bool startTask(const PendingTask &Task, Reason Why);
  //! Whether a smaller request has failed in this plan.
  bool isDominated(const PendingTask &Task) const;

  State &State_;
  std::size_t Limit_;
  std::vector<Decision> &Out_;
  std::vector<std::pair<bool, base::Resources>> Failed_;
};

} // namespace crocuslead::schedule::internal
