#include "platform/KvStore.h"

#include "store/Mirror.h"
#include "support/LoopFakes.h"

#include <optional>
#include <thread>

namespace crocuslead::platform::test {

namespace {

using store::CallKind;
using store::StoreError;
using store::StoreResult;
using store::TxnReply;
using tests::okAnswer;
using tests::RawServer;
using tests::runUntil;
using tests::Step;
using tests::Then;

std::string status(int Code, const std::string &Body = "") {
  return "HTTP/1.1 " + std::to_string(Code) +
         " X\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         Body;
}

struct Fixture {
  asio::io_context Loop_;
  std::unique_ptr<http::Client> Client_ = http::makeClient(Loop_, 0);
  std::shared_ptr<store::StoreCounters> Counters_ =
      std::make_shared<store::StoreCounters>();
  std::unique_ptr<RawServer> Fake_;
  std::unique_ptr<store::KeyValueStore> Store_;

  void serve(std::vector<Step> Steps, std::vector<WatchPace> Paces = {}) {
    Store_.reset();
    Fake_ = std::make_unique<RawServer>(Loop_, std::move(Steps));
    Store_ = makeKvStore(*Client_, Loop_,
                         "127.0.0.1:" + std::to_string(Fake_->port()),
                         std::move(Paces), Counters_);
  }
  template <typename T, typename Call> StoreResult<T> wait(Call Start) {
    std::optional<StoreResult<T>> Got;
    Start([&](StoreResult<T> R) { Got = std::move(R); });
    runUntil(Loop_, [&] { return Got.has_value(); });
    return *Got;
  }
  StoreResult<TxnReply> txn() {
    return wait<TxnReply>([&](auto Done) {
      Store_->txn({{{"a/x", store::CompareTarget::ModRevision, 3}},
                   {{"a/x", "bar", 7}},
                   {{"a/y", ""}}},
                  Done);
    });
  }
  StoreResult<store::RangeReply> folder() {
    return wait<store::RangeReply>(
        [&](auto Done) { Store_->range("a/", store::prefixEnd("a/"), Done); });
  }
};

} // namespace

TEST_CASE_FIXTURE(Fixture, "A transaction carries its conditions and changes") {
  serve({{okAnswer(R"({"revision":412})")}, {status(412, R"({"items":[]})")}});
  CHECK(std::get<TxnReply>(txn()).Revision_ == 412);
  CHECK_FALSE(std::get<TxnReply>(txn()).Succeeded_);
  const std::string &Sent = Fake_->Requests_[0];
  CHECK(Sent.find("POST /crocuslead/kv-txn ") == 0);
  CHECK(Sent.find(R"("expected":[{"key":"a/x","revision":3}])") !=
        std::string::npos);
  CHECK(Sent.find(R"({"key":"a/x","lease":7,"value":"YmFy"})") !=
        std::string::npos);
  CHECK(Sent.find(R"("removals":["a/y"])") != std::string::npos);
}

// Guards against a job that is told "not accepted" and runs all the same.
TEST_CASE_FIXTURE(Fixture,
                  "A failed change tells whether it may have applied") {
  const std::vector<std::pair<Step, bool>> Cases = {
      {{okAnswer("{")}, true},      {{status(500)}, true},
      {{status(503)}, false},       {{status(429)}, false},
      {{status(404, "{}")}, false}, {{"", Then::Reset}, true},
      {{"", Then::Close}, true},
  };
  for (const auto &[Fault, MayHave] : Cases) {
    CAPTURE(Fault.Bytes_);
    serve({Fault});
    CHECK(std::get<StoreError>(txn()).MayHaveApplied_ == MayHave);
  }
  Fake_.reset();
  CHECK_FALSE(std::get<StoreError>(txn()).MayHaveApplied_);
}

TEST_CASE_FIXTURE(Fixture, "A prefix is read page by page") {
  serve(
      {{okAnswer(
           R"({"items":[{"key":"a/1","value":"MQ==","revision":5}],"has_more":true,"at":9})")},
       {okAnswer(
           R"({"items":[{"key":"a/2","value":"Mg==","revision":6}],"has_more":false,"at":12})")}});
  auto Reply = std::get<store::RangeReply>(folder());
  CHECK(Reply.Values_.size() == 2);
  CHECK(Reply.Values_[1].Value_ == "2");
  // A watch from the first page's revision misses nothing.
  CHECK(Reply.Revision_ == 9);
  CHECK(Fake_->Requests_[1].find("after=a/1") != std::string::npos);
}

TEST_CASE_FIXTURE(Fixture, "A key that does not exist reads as nothing") {
  serve({{status(404, "{}")}});
  auto Reply = wait<store::RangeReply>(
      [&](auto Done) { Store_->range("a/1", "", Done); });
  CHECK(std::get<store::RangeReply>(Reply).Values_.empty());
}

TEST_CASE_FIXTURE(Fixture, "A lease that has ended reads as no time left") {
  serve({{okAnswer(R"({"ttl_ms":300})")}, {status(404, "{}")}});
  auto Keep = [&] {
    return std::get<int64_t>(
        wait<int64_t>([&](auto Done) { Store_->leaseKeepAlive(77, Done); }));
  };
  CHECK(Keep() == 1);
  CHECK(Keep() == 0);
}

TEST_CASE_FIXTURE(Fixture, "A watch goes on through a failed call and ends "
                           "when its history is gone") {
  serve(
      {{"", Then::Reset},
       {okAnswer(
           R"({"events":[{"key":"a/1","value":"MQ==","revision":5},{"key":"a/0","revision":6,"tombstone":true}],"at":6})")},
       {status(410, "{}")}});
  int Events = 0;
  bool Ended = false;
  auto Watch = Store_->watch("a/", store::prefixEnd("a/"), 4, [&](auto Result) {
    if (auto *Batch = std::get_if<store::WatchBatch>(&Result)) {
      Events += static_cast<int>(Batch->Events_.size());
      CHECK(Batch->Events_[1].Deleted_);
    } else {
      Ended = true;
    }
  });
  runUntil(Loop_, [&] { return Ended; });
  CHECK(Events == 2);
  CHECK(Fake_->Requests_[0].find("after=3") != std::string::npos);
  CHECK(Fake_->Requests_[2].find("after=6") != std::string::npos);
}

// Guards against starts on workers that have long been draining: with 890
// workers, the watch of the registry was 9 s behind. Found by a hunt on
// opgn-sched-large (DRAIN, scale-2 1012281244439).
TEST_CASE_FIXTURE(Fixture, "A paced watch that falls behind goes on at once") {
  std::string Events;
  for (int I = 1; I <= 150; ++I)
    Events += (I > 1 ? "," : "") +
              std::string(R"({"key":"a/1","value":"MQ==",)") +
              R"("revision":)" + std::to_string(I) + "}";
  serve(
      {{okAnswer(R"({"at":150,"events":[)" + Events + "]}")},
       {okAnswer(
           R"({"at":151,"events":[{"key":"a/1","value":"MQ==","revision":151}]})")}},
      {{"a/", std::chrono::hours(1)}});
  std::size_t Got = 0;
  auto Watch =
      Store_->watch("a/", store::prefixEnd("a/"), 1, [&](const auto &Result) {
        Got += std::get<store::WatchBatch>(Result).Events_.size();
      });
  runUntil(Loop_, [&] { return Got == 151; });
  // The second answer is small, so the pause applies.
  Loop_.restart();
  Loop_.run_for(std::chrono::milliseconds(50));
  CHECK(Fake_->Requests_.size() == 2);
}

// Guards against a crash after a pause of the process: the timer's handler was
// queued already when the watch was replaced.
TEST_CASE_FIXTURE(Fixture, "A watch can end while its next call is due") {
  serve(
      {{okAnswer(
          R"({"events":[{"key":"a/1","value":"MQ==","revision":5}],"at":5})")}},
      {{"a/", std::chrono::milliseconds(5)}});
  bool Got = false;
  auto Watch = Store_->watch("a/", store::prefixEnd("a/"), 1,
                             [&](const auto &) { Got = true; });
  runUntil(Loop_, [&] { return Got; });
  // The pause makes the timer due before the loop runs again; a post that is
  // handled first destroys the watch.
  std::this_thread::sleep_for(std::chrono::milliseconds(20));
  bool Destroyed = false;
  asio::steady_timer First(Loop_, std::chrono::steady_clock::time_point::min());
  First.async_wait([&](auto) {
    Watch.reset();
    Destroyed = true;
  });
  runUntil(Loop_, [&] { return Destroyed; });
  std::size_t Before = Fake_->Requests_.size();
  for (int I = 0; I < 5; ++I) {
    Loop_.restart();
    Loop_.run_one_for(std::chrono::milliseconds(5));
  }
  CHECK(Fake_->Requests_.size() == Before);
}

} // namespace crocuslead::platform::test
