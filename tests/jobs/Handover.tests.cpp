#include "jobs/internal/Handover.h"

#include <doctest/doctest.h>

namespace crocuslead::jobs::internal::test {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using Jobs = std::vector<std::string>;

} // namespace

TEST_CASE("A handover is read as it was written") {
  auto Read = decodeHandover(encodeHandover(
      {7,
       true,
       {{"w1", 11, microseconds(1500), Jobs{"a", "b"}, milliseconds(7),
         Jobs{"b", "c"}},
        {"w2", 12, microseconds(-5), Jobs{"b"}, milliseconds(0), Jobs{}},
        {"w3", 13, milliseconds(9), Jobs{}, milliseconds(3), std::nullopt},
        {"w4", 14, milliseconds(9), std::nullopt, std::nullopt,
         std::nullopt}}}));
  REQUIRE(Read);
  CHECK(Read->Term_ == 7);
  CHECK(Read->PredecessorsFenced_);
  REQUIRE(Read->Workers_.size() == 4);
  CHECK(Read->Workers_[0].Id_ == "w1");
  CHECK(Read->Workers_[0].StartTimeMs_ == 11);
  CHECK(Read->Workers_[0].LeaseLeft_ == milliseconds(2));
  CHECK(Read->Workers_[0].Jobs_ == std::vector<std::string>{"a", "b"});
  CHECK(Read->Workers_[1].LeaseLeft_ == milliseconds(0));
  CHECK(Read->Workers_[1].Jobs_ == std::vector<std::string>{"b"});
  CHECK(Read->Workers_[2].Jobs_ == std::vector<std::string>{});
  CHECK_FALSE(Read->Workers_[3].Jobs_);
  CHECK(Read->Workers_[0].UnlocatedLeft_ == milliseconds(7));
  CHECK(Read->Workers_[0].UnlocatedJobs_ == Jobs{"b", "c"});
  CHECK(Read->Workers_[1].UnlocatedJobs_ == Jobs{});
  CHECK(Read->Workers_[2].UnlocatedLeft_ == milliseconds(3));
  CHECK_FALSE(Read->Workers_[2].UnlocatedJobs_);
  CHECK_FALSE(Read->Workers_[3].UnlocatedLeft_);
}

TEST_CASE("The late starts of a handover are read as they were written") {
  Handover Written;
  Written.LateStarts_ = {
      {{"a", {1, 2, 3}}, {"w1", 100'001, LateStartState::Repeated}},
      {{"b", {}}, {"w2", 7, LateStartState::Missing}}};
  auto Read = decodeHandover(encodeHandover(Written));
  REQUIRE(Read);
  REQUIRE(Read->LateStarts_.size() == 2);
  const HandedOverStart &First = Read->LateStarts_[0];
  CHECK(First.Task_.Job_ == "a");
  CHECK(First.Task_.Position_ == TaskPosition{1, 2, 3});
  CHECK(First.Start_.Worker_ == "w1");
  CHECK(First.Start_.Run_ == 100'001);
  CHECK(First.Start_.State_ == LateStartState::Repeated);
  CHECK(Read->LateStarts_[1].Start_.State_ == LateStartState::Missing);
}

TEST_CASE("A handover that would exceed the size of a stored value names no "
          "jobs") {
  Handover Large;
  for (int W = 0; W < 4'000; ++W) {
    HandedOverWorker Worker;
    Worker.Id_ = "w" + std::to_string(W);
    Worker.LeaseLeft_ = milliseconds(1);
    Worker.Jobs_.emplace();
    for (int J = 0; J < 8; ++J)
      Worker.Jobs_->push_back("0123456789abcdef" + std::to_string(W * 8 + J));
    Large.Workers_.push_back(std::move(Worker));
  }
  std::string Record = encodeHandover(Large);
  CHECK(Record.size() < 700'000);
  auto Read = decodeHandover(Record);
  REQUIRE(Read);
  CHECK(Read->Workers_.size() == 4'000);
  CHECK_FALSE(Read->Workers_[0].Jobs_);
}

// Guards against an exception that ends the process during a takeover.
TEST_CASE("Unreadable rows of a handover are left out") {
  for (const char *Record :
       {"", "{", "[]", "{}", R"({"term":1,"fenced":1,"jobs":[],"workers":[]})",
        R"({"term":-1,"fenced":true,"jobs":[],"workers":[]})",
        R"({"term":1,"fenced":true,"jobs":[]})"}) {
    CAPTURE(Record);
    CHECK_FALSE(decodeHandover(Record));
  }
  auto Read = decodeHandover(
      R"({"term":1,"fenced":false,"jobs":["a",7],"workers":[7,["w"],
          ["w",1,-1,[]],["w",1,1e300,[]],["w",1,2,[1]],["w",1,2,[2]],
          ["w",1,2,[0],"9",[]],["w",1,2,[0],9,[2]],["w",1,2,[0],9,"x"],
          ["w",1,2,[-1]],["w",1,2,"x"],["w",1,2,[0]],["w",1,2,null]]})");
  REQUIRE(Read);
  CHECK(Read->Workers_.size() == 2);
}

} // namespace crocuslead::jobs::internal::test
