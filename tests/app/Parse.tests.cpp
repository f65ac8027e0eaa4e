#include "app/JobJson.h"
#include "app/internal/RequestParse.h"
#include "support/ErrorText.h"

#include <doctest/doctest.h>

using namespace crocuslead;

namespace {

app::ParsedRequest parse(const std::string &Target, http::Headers All = {}) {
  return app::parseRequest({"POST", Target, std::move(All), ""});
}

std::string jobError(const std::string &Json) {
  return tests::errorText([&] { return app::parseJob(Json); });
}

} // namespace

TEST_CASE("A request line is split into workspace and upstream target") {
  CHECK(parse("/r/visits/a/b?c=d").Workspace_ == "visits");
  CHECK(parse("/r/visits/a/b?c=d").UpstreamTarget_ == "/a/b?c=d");
  CHECK(parse("/r/visits").UpstreamTarget_ == "/");
  CHECK(parse("/r/visits?c=d").UpstreamTarget_ == "/?c=d");
}

TEST_CASE("A request that cannot be parsed names the field") {
  auto Message = [](const app::ParsedRequest &Parsed) {
    return Parsed.Error_ ? Parsed.Error_->Message_ : std::string("accepted");
  };
  CHECK(Message(parse("/x")).rfind("path:", 0) == 0);
  CHECK(Message(parse("/r/")).rfind("path:", 0) == 0);
  CHECK(Message(parse("/r/w", {{"Idempotency-Key", "7"}}))
            .rfind("header Idempotency-Key:", 0) == 0);
  for (const char *Value : {"", "0", "-1", "1x", "600001", "99999999999999999"})
    CHECK(Message(parse("/r/w", {{"Crocuslead-Deadline-Ms", Value}}))
              .rfind("header Crocuslead-Deadline-Ms:", 0) == 0);
}

TEST_CASE("A job that cannot be parsed names the field") {
  CHECK(jobError("7") == "job: expected a JSON object");
  CHECK(jobError("{") == "job: expected a JSON object");
  CHECK(jobError(R"({"id":"a","workspace":"w","colour":1})") ==
        "job: unknown field 'colour'");
  struct Row {
    const char *Field_;
    const char *Json_;
  };
  constexpr Row Rows[] = {
      {"id", R"({"workspace":"w"})"},
      {"id", R"({"id":"a/b","workspace":"w"})"},
      {"workspace", R"({"id":"a","workspace":7})"},
      {"urgent", R"({"id":"a","workspace":"w","urgent":"yes"})"},
      {"tasks", R"({"id":"a","workspace":"w","tasks":0})"},
      {"cpu_milli", R"({"id":"a","workspace":"w","tasks":1,"cpu_milli":1.5})"},
      {"memory_mb", R"({"id":"a","workspace":"w","tasks":1,"cpu_milli":1,
          "memory_mb":18446744073709551615})"},
      {"class", R"({"id":"a","workspace":"w","tasks":1,"cpu_milli":1,
          "memory_mb":1,"class":"soon"})"},
  };
  for (const Row &Each : Rows)
    CHECK_MESSAGE(
        jobError(Each.Json_)
                .rfind("job: field '" + std::string(Each.Field_) + "'", 0) == 0,
        Each.Json_, jobError(Each.Json_));
}

TEST_CASE("A job is the same after writing and parsing") {
  std::string Json =
      R"({"id":"a","workspace":"w","tasks":3,"cpu_milli":5,"memory_mb":6,
      "accelerators":1,"urgent":true,"class":"latency-critical"})";
  std::string Written = boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::string> {
        BOOST_LEAF_AUTO(Job, app::parseJob(Json));
        std::string Once = app::writeJob(Job);
        BOOST_LEAF_AUTO(Again, app::parseJob(Once));
        CHECK(app::writeJob(Again) == Once);
        return Once;
      },
      [] { return std::string("refused"); });
  CHECK(Written.find("\"tasks\":3") != std::string::npos);
}
