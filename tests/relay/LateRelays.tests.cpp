#include "base/Hash.h"
#include "jobs/JobKeys.h"
#include "jobs/JobRecord.h"
#include "jobs/PayloadCache.h"
#include "relay/PayloadPort.h"
#include "relay/PayloadStore.h"
#include "relay/PortFixture.h"
#include "relay/Relay.h"
#include "relay/RelayFakes.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>

namespace crocuslead::relay::test {

// Guards against a coordinator that sends everything itself as soon as its own
// link delays the answers of all relays.
TEST_CASE("Relays that are all late at once stay in use") {
  PortFixture F;
  for (const char *Each : {"i1", "i2", "i3", "i4"})
    F.offer(Each);
  for (int I = 0; I < 40; ++I)
    F.start("j" + std::to_string(I), "w" + std::to_string(I));
  for (auto &[Post, Batch] : F.sent())
    Post->answer(std::nullopt);
  for (int I = 0; I < 40; ++I)
    F.start("k" + std::to_string(I), "w" + std::to_string(I));
  F.Out_.settle();
  CHECK(F.Direct_.Calls_.size() < 40);
}

// Guards against messages whose size grows while their time is fixed.
TEST_CASE("A relay's replies are split so that each can arrive in "
          "time on a slow link") {
  base::ManualClock Clock;
  FakeTransport Out;
  FakeWorkers Workers;
  Relay Each(Workers, Out, Clock, "i1", "i1-1",
             RelayInfo{"10.0.0.2:7720", "d1", "r1", 1, false});
  RequestBatch Batch;
  Batch.Incarnation_ = "i1-1";
  Batch.Session_ = "s1";
  Batch.ReplyTo_ = "10.0.0.1:7720";
  for (uint64_t I = 1; I <= 200; ++I) {
    jobs::PollRequest Poll;
    Poll.FencingToken_ = 1;
    Batch.Requests_.push_back({I,
                               {"w" + std::to_string(I), "10.1.0.1:80", ""},
                               clockMs(Clock) + 600,
                               Poll});
  }
  Each.receive(Batch);
  for (WorkerCall &Call : Workers.Calls_) {
    jobs::PollReply Reply;
    Reply.Status_ = RequestStatus::Accepted;
    for (uint32_t I = 0; I < 40; ++I) {
      jobs::RunStatus Run;
      Run.Task_ = {"5c0e7a21d94b36f8", {0, 1, I}};
      Run.Run_ = 1;
      Run.Checkpoint_ = "00000bb87a21d94b";
      Reply.Report_.Running_.push_back(Run);
    }
    Call.PollDone_(Reply);
  }
  Out.settle();
  std::size_t Largest = 0;
  std::size_t Sum = 0;
  for (const Exchange &Post : Out.Posts_) {
    Largest = std::max(Largest, Post.Body_.size());
    Sum += Post.Body_.size();
  }
  // 250 kB/s, shared by at least four relays.
  CHECK(Largest * 4 <=
        250 * static_cast<std::size_t>(base::toMillis(Out.Posts_[0].Timeout_)));
}

// Guards against the payload of a job that was removed being sent for another
// one that was submitted later under its id.
TEST_CASE("A job that is submitted again under the id of a removed one "
          "starts with its own payload") {
  base::ManualClock Clock;
  FakeTransport Out;
  FakeWorkers Workers;
  jobs::PayloadCache Payloads{1U << 20U};
  std::string Stored = "first";
  PayloadStore Store{[&](const std::string &Key, auto Done) {
    Done(PayloadStore::found(Key, Stored));
  }};
  PayloadPort Port{Workers, Payloads, Out, Store, Clock};
  auto Start = [&] {
    jobs::StartRequest Request = leanStartOf("j");
    Request.PayloadSource_.clear();
    Request.PayloadHash_ = base::stableHash(Stored);
    Port.start({"w1", "10.1.0.1:80", "d1"}, Request,
               [](const jobs::RequestReply &) {});
    return std::get<jobs::StartRequest>(Workers.Calls_.back().Body_).Payload_;
  };
  CHECK(Start() == "first");
  Stored = "second";
  CHECK(Start() == "second");
}

} // namespace crocuslead::relay::test
