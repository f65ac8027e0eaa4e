#include "store/internal/EtcdCodec.h"
#include "store/Base64.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace crocuslead::store;
namespace codec = crocuslead::store::internal;
using nlohmann::json;

TEST_CASE("base64 gives back every byte string and refuses other text") {
  CHECK(rc::check("round trip", [](const std::string &Bytes) {
    RC_ASSERT(decodeBase64(encodeBase64(Bytes)) == Bytes);
  }));
  CHECK(encodeBase64("foo") == "Zm9v");
  for (const char *Bad :
       {"Zg", "Zm9v Zm9v", "====", "Zg=x", "Zm9v\n", "Z===", " m9v", "Zm=v"})
    CHECK_FALSE(decodeBase64(Bad));
}

// The forms that the published protocol gives as examples.
TEST_CASE("requests have the form of the published protocol") {
  CHECK(json::parse(codec::encodeRange("foo", "fop")) ==
        json({{"key", "Zm9v"}, {"range_end", "Zm9w"}}));
  Txn Request;
  Request.Compares_ = {{"foo", CompareTarget::CreateRevision, 2},
                       {"foo", CompareTarget::ModRevision, 0},
                       {"foo", CompareTarget::Version, 1}};
  Request.Puts_ = {{"foo", "bar", 7587862094}, {"foo", "", 0}};
  Request.Deletes_ = {{"foo", ""}, {"foo", "fop"}};
  CHECK(json::parse(codec::encodeTxn(Request)) == json::parse(R"({
    "compare": [
      {"key": "Zm9v", "target": "CREATE", "result": "EQUAL", "createRevision": "2"},
      {"key": "Zm9v", "target": "MOD", "result": "EQUAL", "modRevision": "0"},
      {"key": "Zm9v", "target": "VERSION", "result": "EQUAL", "version": "1"}],
    "success": [
      {"requestPut": {"key": "Zm9v", "value": "YmFy", "lease": "7587862094"}},
      {"requestPut": {"key": "Zm9v", "value": ""}},
      {"requestDeleteRange": {"key": "Zm9v"}},
      {"requestDeleteRange": {"key": "Zm9v", "range_end": "Zm9w"}}]})"));
  CHECK(codec::encodeLeaseGrant(15) == R"({"TTL":"15"})");
  CHECK(codec::encodeLeaseId(7) == R"({"ID":"7"})");
  CHECK(json::parse(codec::encodeWatch("foo", "", 5)) ==
        json::parse(
            R"({"create_request": {"key": "Zm9v", "start_revision": "5"}})"));
}

TEST_CASE(
    "answers are read with fields left out, added or in either spelling") {
  auto Range = codec::decodeRange(R"({"header":{"revision":"9","x":1},"kvs":[
    {"key":"Zm9v","value":"YmFy","create_revision":"2","mod_revision":"3","version":"2","lease":"4"},
    {"key":"Zm9v","createRevision":5,"modRevision":6}],"count":"2","new":{}})");
  REQUIRE(Range.index() == 0);
  const auto &Values = std::get<0>(Range).Values_;
  REQUIRE(Values.size() == 2);
  CHECK(Values[0].Value_ == "bar");
  CHECK(Values[0].CreateRevision_ == 2);
  CHECK(Values[0].Version_ == 2);
  CHECK(Values[1].Value_.empty());
  CHECK(Values[1].ModRevision_ == 6);
  CHECK(std::get<0>(Range).Revision_ == 9);
  CHECK_FALSE(std::get<0>(codec::decodeTxn(R"({"header":{"revision":"9"}})"))
                  .Succeeded_);
  CHECK(std::get<0>(codec::decodeLeaseKeepAlive(
            "{\"result\":{\"ID\":\"1\",\"TTL\":\"15\"}}\n")) == 15);
  CHECK(std::get<0>(codec::decodeLeaseKeepAlive(
            R"({"result":{"ID":"1","TTL":"-1"}})")) == 0);
  auto Batch = codec::decodeWatchLine(
      R"({"result":{"header":{"revision":"99"},"events":[
      {"kv":{"key":"Zm9v","mod_revision":"7"}},
      {"type":"DELETE","kv":{"key":"Zm9v","mod_revision":"8"}}]}})");
  REQUIRE(Batch.index() == 0);
  CHECK(std::get<0>(Batch).Revision_ == 8);
  CHECK_FALSE(std::get<0>(Batch).Events_[0].Deleted_);
  CHECK(std::get<0>(Batch).Events_[1].Deleted_);
}

TEST_CASE("malformed answers are errors") {
  for (const char *Bad :
       {"", "[]", "null", "{", R"({"header":{}})", R"({"header":7})",
        R"({"header":{"revision":"9x"}})",
        R"({"header":{"revision":18446744073709551615}})",
        R"({"header":{"revision":"1"},"kvs":{}})",
        R"({"header":{"revision":"1"},"kvs":[7]})",
        R"({"header":{"revision":"1"},"kvs":[{"key":"!","mod_revision":"1"}]})",
        R"({"header":{"revision":"1"},"kvs":[{"mod_revision":"1"}]})",
        R"({"header":{"revision":"1"},"more":true})"})
    CHECK_MESSAGE(codec::decodeRange(Bad).index() == 1, Bad);
  CHECK(codec::decodeTxn(R"({"header":{"revision":"1"},"succeeded":"yes"})")
            .index() == 1);
  for (
      const char *Bad :
      {R"({"error":{"message":"gone"}})", R"({"result":{"canceled":true}})",
       R"({"result":{"events":[{"type":"MOVE","kv":{"key":"Zm9v","mod_revision":"1"}}]}})",
       R"({"result":{"events":[{}]}})", "{}"})
    CHECK_MESSAGE(codec::decodeWatchLine(Bad).index() == 1, Bad);
  CHECK(codec::decodeErrorMessage(R"({"error":"e","code":5})") == "e");
  CHECK(codec::decodeErrorMessage(R"({"error":{"message":"m"}})") == "m");
  CHECK(codec::decodeErrorMessage("plain") == "plain");
}

// Guards against crashes on answers with a field of any type in any place.
TEST_CASE("no answer crashes the decoder") {
  const std::string Whole =
      R"({"result":{"header":{"revision":"9"},"canceled":false,"events":[{"type":"PUT","kv":{"key":"Zm9v","value":"YmFy","mod_revision":"3"}}]},"header":{"revision":"9"},"kvs":[{"key":"Zm9v","mod_revision":"3"}],"ID":"4","TTL":"5","succeeded":true})";
  CHECK(rc::check("changed answers", [&] {
    std::string Text = Whole;
    auto Pieces = {"null", "7", "\"x\"", "[]", "{}", "-1", "1e99", "\x80", "{"};
    for (int I = *rc::gen::inRange(1, 4); I > 0; --I) {
      auto At = *rc::gen::inRange<std::size_t>(0, Text.size());
      auto Size = *rc::gen::inRange<std::size_t>(0, 12);
      Text.replace(At, Size,
                   *rc::gen::elementOf(
                       std::vector<std::string>(Pieces.begin(), Pieces.end())));
    }
    codec::decodeRange(Text);
    codec::decodeTxn(Text);
    codec::decodeLeaseGrant(Text);
    codec::decodeLeaseKeepAlive(Text);
    codec::decodeLeaseRevoke(Text);
    codec::decodeWatchLine(Text);
    codec::decodeErrorMessage(Text);
  }));
}
