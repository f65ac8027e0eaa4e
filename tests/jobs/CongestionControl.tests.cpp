#include "jobs/internal/CongestionControl.h"

#include <doctest/doctest.h>

namespace crocuslead::jobs::internal::test {

namespace {

using std::chrono::milliseconds;

//! Plays rounds in which Slow of 100 replies are slow and the limit is reached.
void playRounds(CongestionControl &Control, int Rounds, int Slow) {
  static base::TimePoint Now;
  for (int Round = 0; Round < Rounds; ++Round) {
    for (int I = 0; I < 100; ++I)
      if (I < Slow)
        Control.recordLoss();
      else
        Control.recordReply(milliseconds(5));
    Now += CongestionControl::RoundTime;
    Control.adapt(Now, Control.maxStartsInFlight());
  }
}

} // namespace

TEST_CASE("Lost replies on the common path reduce starts and polls down to a "
          "minimum") {
  CongestionControl Control;
  playRounds(Control, 20, 60);
  CHECK(Control.maxStartsInFlight() == CongestionControl::LeastStartsInFlight);
  CHECK(Control.pollPause() == CongestionControl::MaxPollPause);
}

TEST_CASE("A tenth of the workers that do not answer reduces nothing") {
  CongestionControl Control;
  playRounds(Control, 20, 10);
  CHECK(Control.maxStartsInFlight() ==
        CongestionControl::InitialStartsInFlight);
  CHECK(Control.pollPause() == base::Duration{});
}

TEST_CASE("The limit recovers after a congestion") {
  CongestionControl Control;
  playRounds(Control, 20, 60);
  playRounds(Control, 60, 0);
  CHECK(Control.maxStartsInFlight() >=
        CongestionControl::InitialStartsInFlight);
  CHECK(Control.pollPause() == base::Duration{});
}

TEST_CASE("Replies that come late count as congestion") {
  CongestionControl Control;
  for (int I = 0; I < 100; ++I)
    Control.recordReply(CongestionControl::SlowReply + milliseconds(1));
  Control.adapt(base::TimePoint(CongestionControl::RoundTime), 100);
  CHECK(Control.maxStartsInFlight() < CongestionControl::InitialStartsInFlight);
}

} // namespace crocuslead::jobs::internal::test
