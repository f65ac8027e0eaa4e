#include "base/LogBudget.h"

#include <algorithm>
#include <utility>

namespace crocuslead::base {

namespace {
constexpr auto ReportInterval = std::chrono::seconds(1);
}

void LogBudget::refill(TimePoint Now) {
  if (Now > At_)
    Left_ = std::min(Burst_, Left_ + Rate_ * toSeconds(Now - At_));
  At_ = std::max(At_, Now);
}

bool LogBudget::take(TimePoint Now, bool Important) {
  refill(Now);
  double Floor = Important ? -Burst_ : 0;
  if (Left_ - 1 < Floor) {
    ++Dropped_;
    return false;
  }
  Left_ -= 1;
  return true;
}

uint64_t LogBudget::takeDropped(TimePoint Now) {
  refill(Now);
  if (Dropped_ == 0 || Left_ < 1 || Now < NextReport_)
    return 0;
  Left_ -= 1;
  NextReport_ = Now + ReportInterval;
  return std::exchange(Dropped_, 0);
}

} // namespace crocuslead::base
