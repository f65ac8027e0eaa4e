#include "config/Settings.h"
#include "support/ErrorText.h"

#include <doctest/doctest.h>
#include <fstream>

using namespace crocuslead;

namespace {

const std::string Minimal = "instance_id: a\n"
                            "region: south-west\n"
                            "domain: ibadan\n"
                            "caller_address: 127.0.0.1:8000\n"
                            "operator_address: 127.0.0.1:8001\n"
                            "link_address: 127.0.0.1:8002\n"
                            "store_url: http://127.0.0.1:2379\n"
                            "instance_list_url: http://127.0.0.1:2400\n"
                            "shared_key: 0123456789abcdef\n"
                            "operator_token: token-of-operators\n"
                            "instances:\n"
                            "  - {id: a, region: south-west, domain: ibadan, "
                            "link_address: \"127.0.0.1:8002\"}\n"
                            "  - {id: b, region: middle-belt, domain: makurdi, "
                            "link_address: \"127.0.0.1:9002\"}\n";

std::string replaced(const std::string &From, const std::string &To) {
  std::string Text = Minimal;
  return Text.replace(Text.find(From), From.size(), To);
}

std::string errorOf(const std::string &Text) {
  return tests::errorText(
      [&] { return config::parseSettings(Text, "s.yaml"); });
}

} // namespace

TEST_CASE("a minimal settings file gets the documented defaults") {
  auto Parsed = config::parseSettings(Minimal, "s.yaml");
  REQUIRE(Parsed.has_value());
  CHECK(Parsed->PartitionsPerDomain_ == 2);
  CHECK(Parsed->StoreLeaseSeconds_ == 15);
  CHECK(Parsed->MaxBodyBytes_ == 8 << 20);
  REQUIRE(Parsed->Instances_.size() == 2);
  CHECK(Parsed->Instances_[1].LinkAddress_ == "127.0.0.1:9002");
  auto More = config::parseSettings(
      Minimal + "store_lease_seconds: 20\nretry_share: 0.25\n"
                "partitions_per_domain: 4\nlog_level: debug\n",
      "s.yaml");
  REQUIRE(More.has_value());
  CHECK(More->StoreLeaseSeconds_ == 20);
  CHECK(More->RetryShare_ == 0.25);
  CHECK(More->PartitionsPerDomain_ == 4);
  CHECK(More->LogLevel_ == "debug");
}

// Guards against a value that is silently clamped, cut or taken as a default.
TEST_CASE("an error of the settings names file, line, field and range") {
  struct Row {
    std::string Text_;
    std::string Error_;
  };
  const Row Rows[] = {
      {Minimal + "store_lease_seconds: 301\n",
       "s.yaml:14: field 'store_lease_seconds': found '301', allowed: 3 to "
       "300"},
      {Minimal + "store_lease_seconds: 15s\n",
       "s.yaml:14: field 'store_lease_seconds': found '15s', allowed: 3 to "
       "300"},
      {Minimal + "store_lease_seconds: '15'\n",
       "s.yaml:14: field 'store_lease_seconds': found '15', allowed: 3 to 300"},
      {Minimal + "retry_share: .nan\n",
       "s.yaml:14: field 'retry_share': found '.nan', allowed: 0 to 1"},
      {Minimal + "retry_share: nan\n",
       "s.yaml:14: field 'retry_share': found 'nan', allowed: 0 to 1"},
      {Minimal + "retry_share:\n",
       "s.yaml:14: field 'retry_share': found nothing, allowed: 0 to 1"},
      {Minimal + "max_body_bytes: 99999999999999999999\n",
       "s.yaml:14: field 'max_body_bytes': found '99999999999999999999', "
       "allowed: 1024 to 1073741824"},
      {replaced("127.0.0.1:8000", "localhost:8000"),
       "s.yaml:4: field 'caller_address': found 'localhost:8000', allowed: "
       "IP:port with a port of 1 to 65535"},
      {replaced("127.0.0.1:8000", "127.0.0.1:0"),
       "s.yaml:4: field 'caller_address': found '127.0.0.1:0', allowed: "
       "IP:port with a port of 1 to 65535"},
      {replaced("region: south-west\n", ""),
       "s.yaml:1: field 'region': found nothing, allowed: a value (the field "
       "is required)"},
      {replaced("id: b,", "id: c, extra: 1,"),
       "s.yaml:13: field 'instances.extra': found 'an unknown field', allowed: "
       "id, region, domain, link_address"},
      {replaced("id: b,", "id: a,"),
       "s.yaml:13: field 'instances.id': found 'a', allowed: each id once"},
      {replaced("instance_id: a", "instance_id: x"),
       "s.yaml:12: field 'instances': found 'no entry with id x', allowed: "
       "exactly one entry with the id of this instance"},
      {Minimal + "region: north\n",
       "s.yaml:14: field 'region': found 'a second value', allowed: one value"},
      {Minimal + "renew_interval_seconds: 40\n",
       "s.yaml:14: field 'renew_interval_seconds': found '40', allowed: 1 to "
       "36 (half of worker_lease_seconds)"},
  };
  for (const Row &Case : Rows)
    CHECK(errorOf(Case.Text_) == Case.Error_);
}

TEST_CASE("an unknown field is refused and text that is no YAML names a line") {
  std::string Unknown = errorOf(Minimal + "store_lease_secs: 5\n");
  CHECK(Unknown.find("s.yaml:14: field 'store_lease_secs': found 'an unknown "
                     "field'") == 0);
  CHECK(errorOf(Minimal + "x: [").find("s.yaml:14: not valid YAML") == 0);
  CHECK(errorOf("").find("s.yaml:1: field '(file)'") == 0);
}

// Guards against a secret in a log by way of an error message.
TEST_CASE("errors about secrets never hold the secret") {
  std::string Short = errorOf(replaced("0123456789abcdef", "tell-no-one"));
  CHECK(Short == "s.yaml:9: field 'shared_key': found '11 characters', "
                 "allowed: text of 16 to 4096 characters");
  std::string Token = errorOf(replaced("token-of-operators", "a hidden word"));
  CHECK(Token.find("hidden") == std::string::npos);
}

TEST_CASE("a secret can stand in a file of its own") {
  std::string Path = "shared_key_file.test";
  std::ofstream(Path) << "fedcba9876543210\n";
  auto Parsed = config::parseSettings(
      replaced("shared_key: 0123456789abcdef", "shared_key_file: " + Path),
      "s.yaml");
  REQUIRE(Parsed.has_value());
  CHECK(Parsed->SharedKey_ == "fedcba9876543210");
  CHECK(errorOf(Minimal + "shared_key_file: " + Path) ==
        "s.yaml:14: field 'shared_key_file': found 'both', allowed: either "
        "shared_key or shared_key_file");
  CHECK(errorOf(replaced("operator_token: token-of-operators",
                         "operator_token_file: /dev/zero"))
            .find("s.yaml:10: field 'operator_token_file': found '/dev/zero', "
                  "allowed: path of a readable file") == 0);
  std::remove(Path.c_str());
}
