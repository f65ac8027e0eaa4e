#include "store/EtcdStore.h"

#include "http/Client.h"
#include "support/LoopFakes.h"

#include <optional>

using namespace crocuslead;
using namespace crocuslead::store;
using tests::okAnswer;
using tests::RawServer;
using tests::runUntil;
using tests::Step;
using tests::Then;

namespace {

const std::string TxnDone = R"({"header":{"revision":"9"},"succeeded":true})";

std::string statusAnswer(int Status, const std::string &Body) {
  return "HTTP/1.1 " + std::to_string(Status) +
         " X\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         Body;
}

std::string chunk(const std::string &Text) {
  char Size[16];
  std::snprintf(Size, sizeof(Size), "%zx\r\n", Text.size());
  return Size + Text + "\r\n";
}

std::string event(int Revision) {
  return R"({"result":{"header":{"revision":"99"},"events":[{"kv":{"key":"Zm9v","mod_revision":")" +
         std::to_string(Revision) + "\"}}]}}\n";
}

const std::string StreamHeader =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

struct Fixture {
  asio::io_context Loop_;
  std::unique_ptr<http::Client> Client_ = http::makeClient(Loop_, 0);
  std::shared_ptr<StoreCounters> Counters_ = std::make_shared<StoreCounters>();
  std::unique_ptr<RawServer> Fake_;
  std::unique_ptr<KeyValueStore> Store_;

  void serve(std::vector<Step> Steps,
             base::Duration Timeout = DefaultCallTimeout) {
    Store_.reset();
    Fake_ = std::make_unique<RawServer>(Loop_, std::move(Steps));
    Store_ = makeEtcdStore(*Client_, Loop_, Fake_->url(), Counters_, Timeout);
  }
  template <typename T, typename Call> StoreResult<T> wait(Call Start) {
    std::optional<StoreResult<T>> Got;
    Start([&](StoreResult<T> R) { Got = std::move(R); });
    runUntil(Loop_, [&] { return Got.has_value(); });
    return *Got;
  }
  StoreResult<TxnReply> txn() {
    return wait<TxnReply>([&](auto Done) {
      Store_->txn({{}, {{"foo", "bar", 0}}, {}}, Done);
    });
  }
  StoreResult<RangeReply> range() {
    return wait<RangeReply>([&](auto Done) { Store_->range("foo", "", Done); });
  }
};

} // namespace

TEST_CASE_FIXTURE(Fixture, "calls go to their paths and give their replies") {
  serve({{okAnswer(R"({"header":{"revision":"9"},"kvs":[]})")},
         {okAnswer(TxnDone)},
         {okAnswer(R"({"header":{},"ID":"77","TTL":"15"})")},
         {okAnswer("{\"result\":{\"ID\":\"77\",\"TTL\":\"14\"}}\n")},
         {okAnswer(R"({"header":{"revision":"9"}})")}});
  CHECK(std::get<RangeReply>(range()).Revision_ == 9);
  CHECK(std::get<TxnReply>(txn()).Succeeded_);
  CHECK(std::get<int64_t>(wait<int64_t>([&](auto Done) {
          Store_->leaseGrant(std::chrono::seconds(15), Done);
        })) == 77);
  CHECK(std::get<int64_t>(wait<int64_t>(
            [&](auto Done) { Store_->leaseKeepAlive(77, Done); })) == 14);
  CHECK(std::get<int64_t>(wait<int64_t>(
            [&](auto Done) { Store_->leaseRevoke(77, Done); })) == 0);
  const char *Paths[] = {"/v3/kv/range", "/v3/kv/txn", "/v3/lease/grant",
                         "/v3/lease/keepalive", "/v3/lease/revoke"};
  REQUIRE(Fake_->Requests_.size() == 5);
  for (std::size_t I = 0; I < 5; ++I)
    CHECK(Fake_->Requests_[I].find(std::string("POST ") + Paths[I] + " ") == 0);
  CHECK(Fake_->Connections_ == 1);
  const CallCounters &Txns = Counters_->of(CallKind::Txn);
  CHECK(Txns.Calls_ == 1);
  CHECK(Txns.Failures_ == 0);
  CHECK(Txns.BytesSent_ == Fake_->Requests_[1].size());
  CHECK(Txns.BytesReceived_ == okAnswer(TxnDone).size());
}

// Guards against a change that took effect being taken for one that did not.
TEST_CASE_FIXTURE(Fixture,
                  "a failed change tells whether it may have applied") {
  std::string Cut = okAnswer(TxnDone);
  Cut.resize(Cut.size() - 3);
  const std::vector<std::pair<Step, bool>> Cases = {
      {{"", Then::Close}, true},
      {{"", Then::Reset}, true},
      {{Cut, Then::Close}, true},
      {{okAnswer("{")}, true},
      {{statusAnswer(503, R"({"error":"timed out"})")}, true},
      {{statusAnswer(408, "")}, true},
      {{statusAnswer(400, R"({"error":"bad"})")}, false},
      {{statusAnswer(429, "")}, false},
  };
  for (const auto &[Fault, MayHave] : Cases) {
    CAPTURE(Fault.Bytes_);
    serve({Fault});
    CHECK(std::get<StoreError>(txn()).MayHaveApplied_ == MayHave);
    CHECK_FALSE(std::get<StoreError>(range()).MayHaveApplied_);
  }
  serve({{""}}, std::chrono::milliseconds(50));
  CHECK(std::get<StoreError>(txn()).MayHaveApplied_);
  Fake_.reset();
  CHECK_FALSE(std::get<StoreError>(txn()).MayHaveApplied_);
  CHECK(Counters_->of(CallKind::Txn).Failures_ == Cases.size() + 2);
}

// Guards against a second write when the store closes an idle connection.
TEST_CASE_FIXTURE(Fixture, "a change is sent once") {
  serve({{okAnswer(TxnDone)}, {"", Then::Close}, {okAnswer(TxnDone)}});
  txn();
  CHECK(std::get<StoreError>(txn()).MayHaveApplied_);
  CHECK(Fake_->Requests_.size() == 2);
}

TEST_CASE_FIXTURE(Fixture, "a watch gives its events, however they are cut, "
                           "and one error at its end") {
  std::string All = StreamHeader +
                    chunk(R"({"result":{"created":true}})"
                          "\n") +
                    chunk(event(5) + event(6).substr(0, 20)) +
                    chunk(event(6).substr(20)) + chunk("\n" + event(7));
  for (Then End : {Then::Close, Then::Reset}) {
    serve({{All, End}});
    std::vector<int64_t> Revisions;
    int Errors = 0;
    auto Watch = Store_->watch("foo", "fop", 5, [&](auto R) {
      if (R.index() == 0)
        Revisions.push_back(std::get<0>(R).Revision_);
      else
        ++Errors;
    });
    runUntil(Loop_, [&] { return Errors == 1; });
    // A reset may overtake the events that were sent before it.
    if (End == Then::Close)
      CHECK(Revisions == std::vector<int64_t>{5, 6, 7});
    CHECK(Fake_->Requests_[0].find("POST /v3/watch ") == 0);
  }
  CHECK(Counters_->of(CallKind::Watch).Failures_ == 2);
}

TEST_CASE_FIXTURE(Fixture, "a watch that is refused or ended by the store "
                           "reports one error") {
  for (const std::string &Answer :
       {statusAnswer(503, R"({"error":"no leader"})"),
        StreamHeader + chunk(R"({"error":{"message":"no leader"}})"
                             "\n"),
        StreamHeader + chunk("not JSON\n" + event(5)),
        StreamHeader + chunk(event(5)) + "0\r\n\r\n"}) {
    CAPTURE(Answer);
    serve({{Answer}}, std::chrono::milliseconds(50));
    int Errors = 0;
    auto Watch = Store_->watch(
        "foo", "", 1, [&](auto R) { Errors += R.index() == 1 ? 1 : 0; });
    runUntil(Loop_, [&] { return Errors > 0; });
    range();
    CHECK(Errors == 1);
  }
}

// Guards against use of a watch that its receiver has ended.
TEST_CASE_FIXTURE(Fixture, "a receiver can end its watch or the store") {
  for (bool EndStore : {false, true}) {
    serve({{StreamHeader + chunk(event(5) + event(6))}, {okAnswer("{}")}});
    int Batches = 0;
    std::unique_ptr<WatchHandle> Watch;
    Watch = Store_->watch("foo", "", 1, [&](auto) {
      ++Batches;
      Watch.reset();
      if (EndStore)
        Store_.reset();
    });
    runUntil(Loop_, [&] { return Batches == 1; });
    if (!EndStore)
      range();
    CHECK(Batches == 1);
  }
}

TEST_CASE_FIXTURE(Fixture, "a destroyed store calls nobody back") {
  serve({{okAnswer(TxnDone)}});
  bool Called = false;
  Store_->txn({}, [&](auto) { Called = true; });
  Store_.reset();
  runUntil(Loop_, [&] { return Loop_.poll() == 0; });
  CHECK_FALSE(Called);
}
