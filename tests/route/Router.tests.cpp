#include "route/Router.h"
#include "route/internal/RequestRecord.h"
#include "route/internal/Upstream.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace crocuslead;
using route::AttemptEnd;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

//! One router over upstreams u0, u1, ... with a simple way to drive it.
struct Bench {
  explicit Bench(int Upstreams, int Slots = 1,
                 std::vector<std::string> Instances = {"i1"}) {
    Settings_.Self_ = "i1";
    Settings_.Instances_ = std::move(Instances);
    Settings_.MaxQueued_ = 2;
    for (int I = 0; I < Upstreams; ++I) {
      route::UpstreamInfo U;
      U.Id_ = "u" + std::to_string(I);
      U.Services_ = {"visit-desk"};
      U.Slots_ = Slots;
      Listed_.push_back(U);
    }
    restart();
  }

  void restart() {
    Router_ = std::make_unique<route::Router>(Settings_);
    Router_->setUpstreams(Listed_, Now_);
  }

  uint64_t begin(bool Idempotent, bool Deferrable = false) {
    route::RequestInfo Info;
    Info.Id_ = ++LastId_;
    Info.Service_ = "visit-desk";
    Info.Idempotent_ = Idempotent;
    Info.Deferrable_ = Deferrable;
    Info.MaxConcurrent_ = MaxConcurrent_;
    Info.Deadline_ = Now_ + Deadline_;
    Router_->begin(Info, Now_);
    take();
    return Info.Id_;
  }
  void end(const route::SendAction &Send, AttemptEnd End, int Status = 0) {
    Router_->attemptEnded({Send.Request_, Send.Attempt_, End, Status, 0}, Now_);
    take();
  }
  void advance(base::Duration Step) {
    Now_ += Step;
    Router_->tick(Now_);
    take();
  }
  //! Answers requests one after the other, which also fills the retry budget.
  void serve(int Count) {
    for (int I = 0; I < Count; ++I) {
      begin(true);
      advance(milliseconds(10));
      end(Sends_.back(), AttemptEnd::Answered, 200);
    }
  }
  void take() {
    for (const auto &Action : Router_->takeActions()) {
      if (const auto *S = std::get_if<route::SendAction>(&Action))
        Sends_.push_back(*S);
      if (const auto *R = std::get_if<route::RefuseAction>(&Action))
        Refusals_.push_back(*R);
      if (const auto *C = std::get_if<route::CancelAction>(&Action))
        Cancels_.push_back(*C);
      if (const auto *D = std::get_if<route::DeliverAction>(&Action))
        Deliveries_.push_back(*D);
    }
  }
  std::string state(const std::string &Id) const {
    for (const auto &View : Router_->upstreams())
      if (View.Id_ == Id)
        return View.State_;
    return {};
  }
  int held() const {
    int Sum = 0;
    for (const auto &View : Router_->upstreams())
      Sum += View.SlotsHeld_;
    return Sum;
  }

  route::RouterSettings Settings_;
  std::vector<route::UpstreamInfo> Listed_;
  std::unique_ptr<route::Router> Router_;
  base::TimePoint Now_{std::chrono::hours(1)};
  uint64_t LastId_ = 0;
  int64_t MaxConcurrent_ = 0;
  base::Duration Deadline_ = seconds(10);
  std::vector<route::SendAction> Sends_;
  std::vector<route::RefuseAction> Refusals_;
  std::vector<route::CancelAction> Cancels_;
  std::vector<route::DeliverAction> Deliveries_;
};

} // namespace

// Guards against a chart file and enums that have drifted apart.
TEST_CASE("the request and upstream charts match the code") {
  CHECK(route::requestChartValid());
  CHECK(route::upstreamChartValid());
}

// Guards against a second run of a non-idempotent request after a broken
// connection, and against giving up a request that surely has not run.
TEST_CASE("a non-idempotent request is retried only when it cannot have run") {
  for (AttemptEnd End :
       {AttemptEnd::Reset, AttemptEnd::Truncated, AttemptEnd::TimedOut,
        AttemptEnd::ConnectFailed, AttemptEnd::Busy}) {
    CAPTURE(static_cast<int>(End));
    Bench B(5);
    B.serve(20);
    B.begin(false);
    std::size_t Before = B.Sends_.size();
    B.end(B.Sends_.back(), End);
    B.advance(milliseconds(50));
    bool Safe = End == AttemptEnd::ConnectFailed || End == AttemptEnd::Busy;
    CHECK((B.Sends_.size() > Before) == Safe);
    REQUIRE(B.Refusals_.size() == (Safe ? 0 : 1));
    if (!Safe)
      CHECK(B.Refusals_[0].Outcome_ == base::Outcome::Unknown);
  }
}

// Guards against a retry storm: with an empty budget nothing is retried, and
// the refusal is still true.
TEST_CASE("without a budget a failed connection is refused as not-run") {
  Bench B(5);
  B.begin(true);
  B.end(B.Sends_.back(), AttemptEnd::ConnectFailed);
  REQUIRE(B.Refusals_.size() == 1);
  CHECK(B.Refusals_[0].Kind_ == base::ErrorKind::UpstreamUnreachable);
  CHECK(B.Refusals_[0].Outcome_ == base::Outcome::NotRun);
}

// Guards against an upstream that keeps getting requests after its process has
// died, or never gets any again.
TEST_CASE("an unreachable upstream is ejected, probed and warmed") {
  Bench B(4);
  B.begin(true);
  std::string Bad = B.Sends_.back().Upstream_;
  B.end(B.Sends_.back(), AttemptEnd::ConnectFailed);
  CHECK(B.state(Bad) == "ejected");
  B.advance(seconds(3));
  CHECK(B.state(Bad) == "probing");
  B.begin(true);
  CHECK(B.Sends_.back().Upstream_ == Bad);
  B.end(B.Sends_.back(), AttemptEnd::Answered, 200);
  CHECK(B.state(Bad) == "warming");
  B.advance(seconds(11));
  CHECK(B.state(Bad) == "serving");
}

// Guards against a fault of all upstreams that takes the whole service away,
// also when the service shrinks afterwards.
TEST_CASE("the ejected share of a service stays within its limit") {
  Bench B(10);
  for (int I = 0; I < 30; ++I) {
    B.begin(true);
    B.end(B.Sends_.back(), AttemptEnd::ConnectFailed);
  }
  auto Ejected = [&] {
    int Count = 0;
    for (const auto &U : B.Listed_)
      Count += B.state(U.Id_) == "ejected" ? 1 : 0;
    return Count;
  };
  CHECK(Ejected() == 3);
  for (auto &U : B.Listed_)
    U.Leaving_ = B.state(U.Id_) != "ejected";
  B.Router_->setUpstreams(B.Listed_, B.Now_);
  CHECK(Ejected() == 0);
}

// Guards against two instances that use the same slot after a death.
TEST_CASE("the slots of a dead instance pass on after 30 s") {
  Bench B(10, 8, {"i1", "i2"});
  int Own = B.held();
  CHECK(Own > 20);
  CHECK(Own < 60);
  B.Router_->setLiveInstances({"i1"}, B.Now_);
  B.advance(milliseconds(29999));
  CHECK(B.held() == Own);
  B.advance(milliseconds(1));
  CHECK(B.held() == 80);
  B.Router_->setLiveInstances({"i1", "i2"}, B.Now_);
  CHECK(B.held() == Own);
}

// Guards against a lender and a borrower on the same slot.
TEST_CASE("a lent slot is used again only 1 s after its term") {
  Bench B(1, 8);
  B.Router_->lendSlots("u0", 8, B.Now_ + seconds(5));
  B.begin(true);
  CHECK(B.Sends_.empty());
  B.advance(milliseconds(400));
  CHECK(B.Router_->queued() == 1);
  B.advance(milliseconds(5599));
  B.begin(true);
  CHECK(B.Sends_.empty());
  B.advance(milliseconds(1));
  CHECK(B.Sends_.size() == 1);
}

// Guards against a request that outlasts the term of a borrowed slot.
TEST_CASE("a borrowed slot takes no request that may outlast its term") {
  Bench B(1, 8, {"i1", "i2"});
  B.Router_->lendSlots("u0", 8, B.Now_ + seconds(60));
  B.Router_->borrowSlots("u0", 1, B.Now_ + seconds(5));
  B.begin(false);
  CHECK(B.Sends_.empty());
  B.begin(true);
  REQUIRE(B.Sends_.size() == 1);
  CHECK(B.Sends_[0].Timeout_ <= seconds(5));
}

// Guards against slots that are counted twice when an upstream comes back while
// earlier requests still run on it.
TEST_CASE("an upstream that is listed again keeps its occupied slots") {
  Bench B(1);
  B.begin(true);
  B.Router_->setUpstreams({}, B.Now_);
  B.Router_->setUpstreams(B.Listed_, B.Now_);
  B.begin(true);
  CHECK(B.Sends_.size() == 1);
}

// Guards against a slot that is lost for ever when the end of an attempt is
// never reported.
TEST_CASE("an attempt that is never reported frees its slot after a while") {
  Bench B(1);
  B.begin(false);
  B.advance(seconds(10));
  REQUIRE(B.Refusals_.size() == 1);
  CHECK(B.Refusals_[0].Kind_ == base::ErrorKind::DeadlineAfterSend);
  CHECK(B.Cancels_.empty());
  B.begin(true);
  CHECK(B.Sends_.size() == 1);
  B.advance(milliseconds(200));
  CHECK(B.Sends_.size() == 2);
}

// Guards against a workspace that takes all slots of an instance.
TEST_CASE("a workspace has at most its maximum of requests in progress") {
  Bench B(4);
  B.MaxConcurrent_ = 2;
  for (int I = 0; I < 3; ++I)
    B.begin(true);
  REQUIRE(B.Refusals_.size() == 1);
  CHECK(B.Refusals_[0].Kind_ == base::ErrorKind::OverQuota);
  B.end(B.Sends_[0], AttemptEnd::Answered, 200);
  B.begin(true);
  CHECK(B.Refusals_.size() == 1);
}

// Guards against an outage that the router prolongs: the times at which
// attempts were given up once counted as answer times, and every deadline then
// seemed too near.
TEST_CASE("after an outage of hanging upstreams requests are sent again") {
  Bench B(4, 8);
  B.serve(20);
  B.Deadline_ = seconds(2);
  for (int I = 0; I < 20; ++I) {
    std::size_t Before = B.Sends_.size();
    for (int Each = 0; Each < 24; ++Each)
      B.begin(false);
    B.advance(seconds(2));
    for (std::size_t S = Before; S < B.Sends_.size(); ++S)
      B.end(B.Sends_[S], AttemptEnd::TimedOut);
  }
  B.Deadline_ = seconds(1);
  std::size_t Before = B.Sends_.size();
  B.begin(false);
  CHECK(B.Sends_.size() == Before + 1);
}

// Guards against requests that fill the link between the regions, or that cross
// it while a slot is free at home.
TEST_CASE("requests cross regions only without a slot and within the budget") {
  Bench B(3, 8);
  B.Settings_.Region_ = "south-west";
  B.Settings_.CrossRegionBytesPerSecond_ = 2500;
  B.Settings_.MaxQueued_ = 100;
  B.Listed_[0].Region_ = "south-west";
  B.Listed_[1].Region_ = B.Listed_[2].Region_ = "middle-belt";
  B.restart();
  for (int I = 0; I < 16; ++I)
    B.begin(true);
  auto Crossed = [&] {
    return std::count_if(B.Sends_.begin(), B.Sends_.end(),
                         [](const auto &S) { return S.CrossRegion_; });
  };
  // Each request without a body counts 500 bytes.
  CHECK(B.Sends_.size() == 13);
  CHECK(Crossed() == 5);
  CHECK(B.Router_->counters().CrossRegionRequests_ == 5);
  B.advance(milliseconds(200));
  CHECK(Crossed() == 6);
}

// Guards against urgent requests that are refused while deferrable ones wait.
TEST_CASE("a full queue sheds deferrable requests first") {
  Bench B(1);
  B.begin(true);
  uint64_t Deferrable = B.begin(true, true);
  B.begin(true);
  B.begin(true);
  REQUIRE(B.Refusals_.size() == 1);
  CHECK(B.Refusals_[0].Request_ == Deferrable);
  CHECK(B.Refusals_[0].Kind_ == base::ErrorKind::Overloaded);
  uint64_t Newcomer = B.begin(true);
  REQUIRE(B.Refusals_.size() == 2);
  CHECK(B.Refusals_[1].Request_ == Newcomer);
}

// Guards against a hedge of a request that must not run twice, and against an
// answer of the loser that reaches the caller.
TEST_CASE("only idempotent requests are hedged and the loser is ignored") {
  Bench B(4);
  B.serve(60);
  std::size_t Before = B.Sends_.size();
  B.begin(false);
  B.advance(milliseconds(500));
  CHECK(B.Sends_.size() == Before + 1);
  B.begin(true);
  B.advance(milliseconds(500));
  REQUIRE(B.Sends_.size() == Before + 3);
  auto First = B.Sends_[Before + 1];
  auto Hedge = B.Sends_[Before + 2];
  CHECK(Hedge.Request_ == First.Request_);
  CHECK(Hedge.Upstream_ != First.Upstream_);
  B.end(Hedge, AttemptEnd::Answered, 200);
  REQUIRE(B.Cancels_.size() == 1);
  CHECK(B.Cancels_[0].Attempt_ == First.Attempt_);
  std::size_t Delivered = B.Deliveries_.size();
  B.end(First, AttemptEnd::Answered, 200);
  CHECK(B.Deliveries_.size() == Delivered);
}

// Guards against a confirmation that is cut off because its caller left.
TEST_CASE("a non-idempotent attempt outlives its caller, others do not") {
  Bench B(2);
  uint64_t Post = B.begin(false);
  auto Sent = B.Sends_.back();
  uint64_t Get = B.begin(true);
  uint64_t Waiting = B.begin(false);
  for (uint64_t Id : {Waiting, Post, Get})
    B.Router_->callerGone(Id, B.Now_);
  B.take();
  REQUIRE(B.Cancels_.size() == 1);
  CHECK(B.Cancels_[0].Request_ == Get);
  REQUIRE(B.Refusals_.size() == 2);
  CHECK(B.Refusals_[0].Request_ == Waiting);
  CHECK(B.Refusals_[0].Outcome_ == base::Outcome::NotRun);
  CHECK(B.Refusals_[1].Outcome_ == base::Outcome::Unknown);
  B.end(Sent, AttemptEnd::Answered, 200);
  REQUIRE(B.Deliveries_.size() == 1);
  CHECK(B.Deliveries_[0].Request_ == Post);
}
