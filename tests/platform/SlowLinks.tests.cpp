#include "platform/KvStore.h"

#include "store/Mirror.h"
#include "support/LoopFakes.h"
#include "support/TrickleServer.h"

#include <optional>

namespace crocuslead::platform::test {

namespace {

using std::chrono::milliseconds;
using store::RangeReply;
using store::StoreError;
using store::StoreResult;
using tests::okAnswer;
using tests::runUntil;
using tests::TrickleServer;

std::string itemText(int Number, int64_t Revision) {
  return R"({"key":"a/)" + std::to_string(Number) +
         R"(","value":"YmFy","revision":)" + std::to_string(Revision) +
         R"(,"created":1,"lease":0})";
}

std::string listText(int Count) {
  std::string Out;
  for (int I = 0; I < Count; ++I)
    Out += (I > 0 ? "," : "") + itemText(I, I + 2);
  return Out;
}

struct SlowStore {
  asio::io_context Loop_;
  std::unique_ptr<http::Client> Client_ = http::makeClient(Loop_, 0);
  TrickleServer Fake_;
  std::unique_ptr<store::KeyValueStore> Store_;

  //! A call may take 1.2 s, and a watch half a second more than it waits.
  static constexpr std::size_t Pieces = 24;

  //! Delivers an answer within 2.4 s.
  explicit SlowStore(const std::string &Body)
      : Fake_(Loop_, okAnswer(Body), okAnswer(Body).size() / Pieces + 1,
              milliseconds(100)),
        Store_(makeKvStore(*Client_, Loop_, Fake_.address(), {},
                           std::make_shared<store::StoreCounters>())) {}

  StoreResult<RangeReply> read() {
    std::optional<StoreResult<RangeReply>> Got;
    Store_->range("a/", store::prefixEnd("a/"),
                  [&](StoreResult<RangeReply> R) { Got = std::move(R); });
    runUntil(Loop_, [&] { return Got.has_value(); });
    return *Got;
  }
};

} // namespace

TEST_CASE("A takeover never gets the jobs on a slow link: a page that takes "
          "longer than a call is given up") {
  SlowStore Slow(R"({"at":90,"items":[)" + listText(40) +
                 R"(],"has_more":false})");
  auto Got = Slow.read();
  REQUIRE(std::holds_alternative<RangeReply>(Got));
  CHECK(std::get<RangeReply>(Got).Values_.size() == 40);
  CHECK(Slow.Fake_.Requests_ == 1);
}

TEST_CASE("A page that stops to arrive is given up") {
  SlowStore Slow(R"({"at":90,"items":[)" + listText(40) +
                 R"(],"has_more":false})");
  Slow.Fake_.StallAfter_ = 5;
  auto Got = Slow.read();
  REQUIRE(std::holds_alternative<StoreError>(Got));
}

TEST_CASE("A watch never catches up on a slow link: changes that take longer "
          "to arrive than to come are given up") {
  SlowStore Slow(R"({"at":41,"events":[)" + listText(40) + "]}");
  std::size_t Events = 0;
  auto Watch = Slow.Store_->watch(
      "a/", store::prefixEnd("a/"), 1,
      [&](const StoreResult<store::WatchBatch> &Result) {
        if (const auto *Batch = std::get_if<store::WatchBatch>(&Result))
          Events += Batch->Events_.size();
      });
  runUntil(Slow.Loop_, [&] { return Events > 0; });
  CHECK(Events >= 40);
  CHECK(Slow.Fake_.Requests_ <= 2);
}

} // namespace crocuslead::platform::test
