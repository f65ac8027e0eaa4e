#include "jobs/internal/CongestionControl.h"

#include <doctest/doctest.h>

namespace crocuslead::jobs::internal::test {

namespace {

using std::chrono::milliseconds;

constexpr auto FastReply = milliseconds(5);
constexpr auto LateReply = CongestionControl::SlowReply + milliseconds(1);

//! A coordinator that always has more tasks to start than the limit allows.
struct BusyCoordinator {
  //! Plays rounds in which Slow of 100 replies to starts are lost.
  void playRounds(int Rounds, int Slow) {
    for (int Round = 0; Round < Rounds; ++Round) {
      sendStarts(100);
      Control_.recordWithheld();
      for (int I = 0; I < 100; ++I)
        if (I < Slow)
          Control_.recordStartLoss(Now_);
        else
          Control_.recordStartReply(Now_, FastReply, {});
      endRound();
    }
  }
  void sendStarts(int Count) {
    for (int I = 0; I < Count; ++I)
      Control_.recordStart(Now_, Control_.maxStartsInFlight());
  }
  void endRound() {
    Now_ += CongestionControl::RoundTime;
    Control_.adapt(Now_);
  }

  base::TimePoint Now_{std::chrono::hours(1)};
  CongestionControl Control_;
};

} // namespace

TEST_CASE_FIXTURE(BusyCoordinator,
                  "Lost replies on the common path reduce starts and polls "
                  "down to a minimum") {
  playRounds(20, 60);
  CHECK(Control_.maxStartsInFlight() == CongestionControl::LeastStartsInFlight);
  CHECK(Control_.pollPause() == CongestionControl::MaxPollPause);
}

TEST_CASE_FIXTURE(BusyCoordinator,
                  "A tenth of the workers that do not answer reduces nothing") {
  playRounds(20, 10);
  CHECK(Control_.maxStartsInFlight() ==
        CongestionControl::InitialStartsInFlight);
  CHECK(Control_.pollPause() == base::Duration{});
}

TEST_CASE_FIXTURE(BusyCoordinator,
                  "The losses of a wave of starts do not count "
                  "as those of the quiet time after it") {
  base::TimePoint Wave = Now_;
  sendStarts(700);
  for (int I = 0; I < 640; ++I)
    Control_.recordStartReply(Wave, FastReply, {});
  endRound();
  for (int Round = 0; Round < 3; ++Round) {
    sendStarts(25);
    for (int I = 0; I < 25; ++I)
      Control_.recordStartReply(Now_, FastReply, {});
    for (int I = 0; I < 20; ++I)
      Control_.recordStartLoss(Wave);
    endRound();
  }
  CHECK(Control_.maxStartsInFlight() ==
        CongestionControl::InitialStartsInFlight);
}

TEST_CASE_FIXTURE(BusyCoordinator, "The limit recovers after a congestion") {
  playRounds(20, 60);
  playRounds(60, 0);
  CHECK(Control_.maxStartsInFlight() >=
        CongestionControl::InitialStartsInFlight);
  CHECK(Control_.pollPause() == base::Duration{});
}

// Guards against a fleet that stands idle beside a backlog for many seconds.
TEST_CASE_FIXTURE(BusyCoordinator,
                  "The limit recovers within 3 s on a clear path") {
  playRounds(20, 60);
  playRounds(12, 0);
  CHECK(Control_.maxStartsInFlight() >=
        CongestionControl::InitialStartsInFlight);
}

TEST_CASE_FIXTURE(BusyCoordinator, "Replies that come late count as "
                                   "congestion") {
  sendStarts(100);
  for (int I = 0; I < 100; ++I)
    Control_.recordStartReply(Now_, LateReply, {});
  endRound();
  CHECK(Control_.maxStartsInFlight() <
        CongestionControl::InitialStartsInFlight);
}

// Guards against a takeover that ends with the lowest limit.
TEST_CASE_FIXTURE(BusyCoordinator,
                  "Late replies to polls do not reduce the starts in flight") {
  for (int Round = 0; Round < 5; ++Round) {
    for (int I = 0; I < 100; ++I)
      Control_.recordPollReply(LateReply);
    endRound();
  }
  CHECK(Control_.maxStartsInFlight() ==
        CongestionControl::InitialStartsInFlight);
  CHECK(Control_.congested());
}

TEST_CASE_FIXTURE(BusyCoordinator, "One delay of the path reduces the limit "
                                   "once, however long its replies trickle") {
  base::TimePoint Sent = Now_;
  sendStarts(250);
  for (int Round = 0; Round < 5; ++Round) {
    for (int I = 0; I < 50; ++I)
      Control_.recordStartReply(Sent, LateReply, {});
    endRound();
  }
  CHECK(Control_.maxStartsInFlight() ==
        CongestionControl::InitialStartsInFlight / 2);
}

TEST_CASE_FIXTURE(BusyCoordinator,
                  "A limit that holds nothing back does not grow") {
  for (int I = 0; I < 100; ++I)
    Control_.recordStartReply(Now_, FastReply, {});
  endRound();
  CHECK(Control_.maxStartsInFlight() ==
        CongestionControl::InitialStartsInFlight);
}

// Guards against urgent tasks that wait behind others that are in flight.
TEST_CASE_FIXTURE(BusyCoordinator,
                  "Starts that queue in flight reduce the limit, those with a "
                  "long way do not") {
  auto PlayRound = [this](base::Duration QueueingDelay) {
    sendStarts(100);
    for (int I = 0; I < 100; ++I)
      Control_.recordStartReply(Now_, milliseconds(200), QueueingDelay);
    endRound();
  };
  PlayRound(milliseconds(10));
  CHECK(Control_.maxStartsInFlight() ==
        CongestionControl::InitialStartsInFlight);
  PlayRound(CongestionControl::MaxQueueingDelay + milliseconds(1));
  CHECK(Control_.maxStartsInFlight() <
        CongestionControl::InitialStartsInFlight);
  CHECK_FALSE(Control_.congested());
  for (int Round = 0; Round < 40; ++Round)
    PlayRound(CongestionControl::MaxQueueingDelay + milliseconds(1));
  CHECK(Control_.maxStartsInFlight() > CongestionControl::LeastStartsInFlight);
}

} // namespace crocuslead::jobs::internal::test
