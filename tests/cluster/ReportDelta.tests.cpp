#include "cluster/ReportDelta.h"
#include "cluster/WorkerCodec.h"

#include <doctest/doctest.h>
#include <limits>
#include <rapidcheck.h>
#include <tuple>

using namespace crocuslead::cluster;

namespace {

AttemptReport attempt(const std::string &Task) {
  AttemptReport Made;
  Made.Task_ = Task;
  Made.Attempt_ = *rc::gen::inRange<uint32_t>(1, 3);
  Made.State_ =
      *rc::gen::element(AttemptState::Running, AttemptState::Finished);
  Made.CpuMillis_ = *rc::gen::nonNegative<int64_t>();
  Made.MemoryMbMillis_ = *rc::gen::nonNegative<int64_t>();
  Made.AcceleratorMillis_ = *rc::gen::nonNegative<int64_t>();
  Made.RunMillis_ = *rc::gen::inRange<int64_t>(0, 1'000'000'000);
  Made.ProgressPercent_ = *rc::gen::inRange(0, 101);
  Made.SpeedPercent_ = *rc::gen::nonNegative<int>();
  Made.Checkpoint_ = *rc::gen::element<std::string>("17", "18");
  return Made;
}

WorkerReply report(int64_t Sequence) {
  WorkerReply Made;
  Made.HasReport_ = true;
  Made.ReportSequence_ = Sequence;
  Made.Incarnation_ = "w.1";
  Made.HighestEpoch_ = 9;
  Made.WorkerClockMs_ = Sequence * 96'000 + *rc::gen::inRange(0, 5000);
  for (const char *Task : {"a", "b", "c", "d"})
    if (*rc::gen::arbitrary<bool>())
      Made.Attempts_.push_back(attempt(Task));
  return Made;
}

auto tie(const AttemptReport &A) {
  return std::tie(A.Task_, A.Attempt_, A.State_, A.CpuMillis_,
                  A.MemoryMbMillis_, A.AcceleratorMillis_, A.RunMillis_,
                  A.ProgressPercent_, A.SpeedPercent_, A.Checkpoint_,
                  A.KnownAs_);
}

} // namespace

// Guards against usage that is lost or attributed to another attempt when
// attempts come and go between two reports.
TEST_CASE("a packed report is restored as it was") {
  CHECK(rc::check("restored", [] {
    ReportBase Base = makeReportBase(report(4), 9);
    WorkerReply Sent = report(5);
    WorkerReply Packed = Sent;
    packReply(Packed, Base);
    auto Got = decodeReply(encodeReply(Packed));
    RC_ASSERT(Got.has_value());
    RC_ASSERT(unpackReply(*Got, Base));
    RC_ASSERT(Got->Incarnation_ == Sent.Incarnation_);
    RC_ASSERT(Got->HighestEpoch_ == Sent.HighestEpoch_);
    RC_ASSERT(Got->Attempts_.size() == Sent.Attempts_.size());
    for (std::size_t I = 0; I < Sent.Attempts_.size(); ++I)
      RC_ASSERT(tie(Got->Attempts_[I]) == tie(Sent.Attempts_[I]));
  }));
}

// Guards against overflow and negative counters from a faulty worker.
TEST_CASE("differences that do not fit the known report are refused") {
  ReportBase Base;
  Base.Incarnation_ = "w.1";
  Base.Sequence_ = 1;
  Base.Attempts_.resize(1);
  Base.Attempts_[0].Task_ = "a";
  Base.Attempts_[0].CpuMillis_ = 5;
  Base.Attempts_[0].ProgressPercent_ = 90;
  auto Fits = [&](int64_t AttemptReport::*Member, int64_t Value) {
    WorkerReply Reply;
    Reply.Packed_ = true;
    Reply.WorkerClockMs_ = 10;
    Reply.Attempts_.resize(1);
    Reply.Attempts_[0].KnownAs_ = 1;
    Reply.Attempts_[0].*Member = Value;
    return unpackReply(Reply, Base);
  };
  constexpr int64_t Largest = std::numeric_limits<int64_t>::max();
  CHECK(Fits(&AttemptReport::CpuMillis_, -5));
  CHECK_FALSE(Fits(&AttemptReport::CpuMillis_, -6));
  CHECK_FALSE(Fits(&AttemptReport::CpuMillis_, Largest));
  CHECK(Fits(&AttemptReport::RunMillis_, -10));
  CHECK_FALSE(Fits(&AttemptReport::RunMillis_, -11));
  CHECK_FALSE(Fits(&AttemptReport::RunMillis_, Largest));
  WorkerReply Reply;
  Reply.Packed_ = true;
  Reply.Attempts_.resize(1);
  Reply.Attempts_[0].KnownAs_ = 2;
  CHECK_FALSE(unpackReply(Reply, Base));
  Reply.Attempts_[0].KnownAs_ = 1;
  Reply.Attempts_[0].ProgressPercent_ = 11;
  CHECK_FALSE(unpackReply(Reply, Base));
  Reply.Attempts_.clear();
  CHECK(unpackReply(Reply, Base));
  CHECK_FALSE(unpackReply(Reply, ReportBase{}));
}

// Guards against a restarted worker that takes a former report for its own.
TEST_CASE("a token names one report of one incarnation") {
  ReportBase Base{"w.1", 9, 5, 0, {}};
  ReportBase Restarted{"w.2", 9, 5, 0, {}};
  ReportBase Later{"w.1", 9, 6, 0, {}};
  CHECK(Base.token() != 0);
  CHECK(Base.token() != Restarted.token());
  CHECK(Base.token() != Later.token());
  CHECK(ReportBase{}.token() == 0);
}
