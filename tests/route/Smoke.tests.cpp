#include "route/ClaimTable.h"
#include "route/Router.h"

#include <doctest/doctest.h>

using namespace crocuslead;

// Guards against a router that drops a request between the caller and the
// upstream.
TEST_CASE("a request is sent to an upstream of its service and delivered") {
  route::RouterSettings Settings;
  Settings.Self_ = "i1";
  route::Router R(Settings);
  base::TimePoint Now(std::chrono::hours(1));
  route::UpstreamInfo Up;
  Up.Id_ = "u1";
  Up.Services_ = {"visit-desk"};
  R.setUpstreams({Up}, Now);
  route::RequestInfo Request;
  Request.Id_ = 7;
  Request.Service_ = "visit-desk";
  Request.Deadline_ = Now + std::chrono::seconds(1);
  R.begin(Request, Now);
  auto Actions = R.takeActions();
  REQUIRE(Actions.size() == 1);
  const auto &Send = std::get<route::SendAction>(Actions[0]);
  CHECK(Send.Upstream_ == "u1");
  R.attemptEnded({7, Send.Attempt_, route::AttemptEnd::Answered, 200, 10}, Now);
  Actions = R.takeActions();
  REQUIRE(Actions.size() == 1);
  CHECK(std::get<route::DeliverAction>(Actions[0]).Request_ == 7);
  CHECK(R.inProgress() == 0);
}

// Guards against a key that is granted twice.
TEST_CASE("a claim on a request key is granted once") {
  base::WallTime Start(std::chrono::milliseconds(0x019000000000));
  route::ClaimTable Table(Start);
  std::string Key = "01900000-4e20-7000-8000-000000000001";
  base::WallTime Now = Start + std::chrono::seconds(20);
  CHECK(route::keyIssueTime(Key) == Now);
  CHECK(Table.claim(Key, 1, "i1", true, Now).Verdict_ ==
        route::ClaimVerdict::Granted);
  CHECK(Table.claim(Key, 1, "i2", true, Now).Verdict_ ==
        route::ClaimVerdict::InProgress);
}
