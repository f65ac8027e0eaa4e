#include "cluster/HttpInstanceList.h"
#include "cluster/HttpWorkerGateway.h"
#include "cluster/ReportDelta.h"
#include "cluster/WorkerCodec.h"
#include "http/Client.h"

#include "support/LoopFakes.h"

#include <optional>
#include <rapidcheck.h>

using namespace crocuslead;
using namespace crocuslead::cluster;
using base::ErrorKind;
using tests::okAnswer;
using tests::RawServer;
using tests::runUntil;
using tests::Step;
using tests::Then;

namespace {

const std::string Entry =
    R"({"id":"a","state":"live","domain":"d","region":"r","rack":"k",
    "agent":"10.0.0.1:81","upstream":"[::1]:82","services":["s","t"],
    "cpu_milli":16000,"memory_mb":60000,"accelerators":1,"slots":8,
    "connections":64,"new":{}})";

std::string list(const std::string &Entries) {
  return R"({"revision":7,"instances":[)" + Entries + "]}";
}

std::string status(int Code) {
  return "HTTP/1.1 " + std::to_string(Code) + " X\r\nContent-Length: 0\r\n\r\n";
}

std::string replyAnswer(std::size_t Commands) {
  WorkerReply Reply;
  Reply.WorkerClockMs_ = 5;
  Reply.Commands_.resize(Commands);
  return okAnswer(encodeReply(Reply));
}

struct Fixture {
  asio::io_context Loop_;
  std::unique_ptr<http::Client> Client_ = http::makeClient(Loop_, 0);
  std::shared_ptr<GatewayCounters> Counters_ =
      std::make_shared<GatewayCounters>();
  GatewaySettings Settings_;
  std::unique_ptr<RawServer> Fake_;
  std::unique_ptr<WorkerGateway> Gateway_;
  //! Errors by message, in order of the callbacks; nothing for a reply.
  std::vector<std::pair<int, std::optional<ErrorKind>>> Ended_;

  void serve(std::vector<Step> Steps) {
    Gateway_.reset();
    Ended_.clear();
    Fake_ = std::make_unique<RawServer>(Loop_, std::move(Steps));
    Gateway_ = makeHttpWorkerGateway(*Client_, Loop_, Settings_, Counters_);
  }
  void send(int Number, std::string Worker = "w") {
    WorkerRequest Request;
    Request.Worker_ = std::move(Worker);
    Request.Address_ = "127.0.0.1:" + std::to_string(Fake_->port());
    Request.Epoch_ = Number;
    WorkerCommand Command;
    Command.Task_ = "t";
    Request.Commands_ = {Command};
    Gateway_->send(Request, [this, Number](auto Result) {
      std::optional<ErrorKind> Kind;
      if (auto *Failed = std::get_if<base::Error>(&Result))
        Kind = Failed->Kind_;
      Ended_.emplace_back(Number, Kind);
    });
  }
  std::optional<ErrorKind> sendOne() {
    send(1);
    runUntil(Loop_, [&] { return Ended_.size() == 1; });
    return Ended_[0].second;
  }
};

} // namespace

TEST_CASE_FIXTURE(Fixture, "messages to one worker go one after the other on "
                           "one connection") {
  serve({{replyAnswer(1)}});
  for (int I = 0; I < 20; ++I)
    send(I);
  runUntil(Loop_, [&] { return Ended_.size() == 20; });
  CHECK(Fake_->Connections_ == 1);
  REQUIRE(Fake_->Requests_.size() == 20);
  for (int I = 0; I < 20; ++I) {
    const std::string &Text = Fake_->Requests_[static_cast<std::size_t>(I)];
    CHECK(Text.find("POST /v1/commands ") == 0);
    auto Sent = decodeRequest(Text.substr(Text.find("\r\n\r\n") + 4));
    REQUIRE(Sent.has_value());
    CHECK(Sent->Epoch_ == I);
    CHECK(Ended_[static_cast<std::size_t>(I)] ==
          std::make_pair(I, std::optional<ErrorKind>()));
  }
  CHECK(Counters_->Messages_ == 20);
}

// Guards against a slow worker that holds up others or fills the memory.
TEST_CASE_FIXTURE(Fixture,
                  "a silent worker delays only its own messages, up to "
                  "the bound") {
  Settings_.MaxQueued_ = 3;
  serve({{""}, {replyAnswer(1)}});
  for (int I = 0; I < 4; ++I)
    send(I, "silent");
  CHECK(Ended_.empty());
  runUntil(Loop_, [&] { return Ended_.size() == 1; });
  CHECK(Ended_[0] == std::make_pair(3, std::optional(ErrorKind::Overloaded)));
  runUntil(Loop_, [&] { return Fake_->Requests_.size() == 1; });
  send(10, "other");
  runUntil(Loop_, [&] { return Ended_.size() == 2; });
  CHECK(Ended_[1].first == 10);
  CHECK(Fake_->Requests_.size() == 2);
}

TEST_CASE_FIXTURE(Fixture, "each failure has its kind") {
  const std::vector<std::pair<Step, ErrorKind>> Cases = {
      {{"", Then::Close}, ErrorKind::UpstreamReset},
      {{"", Then::Reset}, ErrorKind::UpstreamReset},
      {{okAnswer("12345").substr(0, 40), Then::Close},
       ErrorKind::AnswerTruncated},
      {{status(400)}, ErrorKind::InvalidRequest},
      {{status(503)}, ErrorKind::Internal},
      {{okAnswer("\xFF")}, ErrorKind::Internal},
      {{replyAnswer(2)}, ErrorKind::Internal},
  };
  for (const auto &[Fault, Kind] : Cases) {
    CAPTURE(Fault.Bytes_);
    serve({Fault});
    CHECK(sendOne() == Kind);
  }
  Settings_.Timeout_ = std::chrono::milliseconds(50);
  serve({{""}});
  CHECK(sendOne() == ErrorKind::DeadlineAfterSend);
  Settings_.MaxReplyBytes_ = 10;
  serve({{okAnswer(std::string(11, 'x'))}});
  CHECK(sendOne() == ErrorKind::Internal);
}

// Guards against waiting for one connect timeout after the other.
TEST_CASE_FIXTURE(Fixture, "an unreachable worker fails all its messages") {
  serve({{""}});
  for (int I = 0; I < 3; ++I)
    send(I);
  Fake_.reset();
  runUntil(Loop_, [&] { return Ended_.size() == 3; });
  for (int I = 0; I < 3; ++I)
    CHECK(Ended_[static_cast<std::size_t>(I)] ==
          std::make_pair(I, std::optional(ErrorKind::UpstreamUnreachable)));
}

TEST_CASE_FIXTURE(Fixture, "a receiver can send again or destroy the gateway") {
  serve({{replyAnswer(0)}});
  int Replies = 0;
  WorkerRequest Request;
  Request.Worker_ = "w";
  Request.Address_ = "127.0.0.1:" + std::to_string(Fake_->port());
  Gateway_->send(Request, [&](auto) {
    ++Replies;
    Gateway_->send(Request, [&](auto) {
      ++Replies;
      Gateway_.reset();
    });
  });
  runUntil(Loop_, [&] { return Replies == 2; });
  CHECK(Counters_->RenewalBytes_ ==
        Counters_->BytesSent_ + Counters_->BytesReceived_);
}

// Guards against differences to a report whose answer was lost, or of an
// earlier epoch.
TEST_CASE_FIXTURE(Fixture, "a report is known only after its answer arrived") {
  WorkerReply Full;
  Full.WorkerClockMs_ = 10;
  Full.HasReport_ = true;
  Full.ReportSequence_ = 1;
  Full.Incarnation_ = "w.1";
  Full.Attempts_.resize(1);
  Full.Attempts_[0].Task_ = "t";
  Full.Attempts_[0].CpuMillis_ = 7;
  WorkerReply Packed = Full;
  Packed.ReportSequence_ = 2;
  Packed.Attempts_[0].CpuMillis_ = 9;
  ReportBase Base = makeReportBase(Full, 3);
  packReply(Packed, Base);
  std::string First = okAnswer(encodeReply(Full));
  std::string Second = okAnswer(encodeReply(Packed));
  serve({{First}, {Second}, {"", Then::Close}, {First}, {First}, {Second}});
  std::vector<std::variant<WorkerReply, base::Error>> Got;
  auto Exchange = [&](int64_t Epoch) {
    WorkerRequest Request;
    Request.Worker_ = "w";
    Request.Address_ = "127.0.0.1:" + std::to_string(Fake_->port());
    Request.Epoch_ = Epoch;
    std::size_t Before = Got.size();
    Gateway_->send(Request, [&](auto Result) { Got.push_back(Result); });
    runUntil(Loop_, [&] { return Got.size() > Before; });
    const std::string &Text = Fake_->Requests_.back();
    return decodeRequest(Text.substr(Text.find("\r\n\r\n") + 4))->KnownReport_;
  };
  CHECK(Exchange(3) == 0);
  CHECK(Exchange(3) == Base.token());
  const auto &Restored = std::get<WorkerReply>(Got[1]);
  CHECK(Restored.Incarnation_ == "w.1");
  CHECK(Restored.Attempts_.at(0).Task_ == "t");
  CHECK(Restored.Attempts_.at(0).CpuMillis_ == 9);
  Exchange(3);
  CHECK(Got[2].index() == 1);
  CHECK(Exchange(3) == 0);
  CHECK(Exchange(4) == 0);
  // The worker must not pack for a request that names no report.
  CHECK(Exchange(5) == 0);
  CHECK(Got[5].index() == 1);
}

TEST_CASE_FIXTURE(Fixture, "the instance list is fetched once for a revision") {
  RawServer Fake(Loop_, {{okAnswer(list(Entry))},
                         {status(304)},
                         {status(500)},
                         {okAnswer("{")},
                         {"", Then::Close}});
  auto List = makeHttpInstanceList(*Client_, Loop_, Fake.url(""));
  using Result = std::variant<InstanceSnapshot, base::Error>;
  auto Fetch = [&](int64_t Revision) {
    std::optional<Result> Got;
    List->fetch(Revision, [&](Result R) { Got = std::move(R); });
    runUntil(Loop_, [&] { return Got.has_value(); });
    return *Got;
  };
  CHECK(std::get<InstanceSnapshot>(Fetch(0)).Entries_.size() == 1);
  auto Same = std::get<InstanceSnapshot>(Fetch(7));
  CHECK(Same.Revision_ == 7);
  CHECK(Same.Entries_.empty());
  CHECK(Fake.Requests_[1].find("GET /v1/instances?revision=7 ") == 0);
  for (int I = 0; I < 3; ++I)
    CHECK(Fetch(7).index() == 1);
  std::vector<std::size_t> Kinds;
  for (int I = 0; I < 2; ++I)
    List->fetch(7, [&](const Result &R) { Kinds.push_back(R.index()); });
  CHECK(Kinds.empty());
  runUntil(Loop_, [&] { return Kinds.size() == 2; });
}

TEST_CASE("an instance entry is read with every field") {
  auto Got = decodeInstances(list(Entry));
  REQUIRE(Got.has_value());
  CHECK(Got->Revision_ == 7);
  const InstanceEntry &E = Got->Entries_.at(0);
  CHECK(E.Id_ == "a");
  CHECK(E.State_ == InstanceState::Live);
  CHECK(E.Rack_ == "k");
  CHECK(E.AgentAddress_ == "10.0.0.1:81");
  CHECK(E.UpstreamAddress_ == "[::1]:82");
  CHECK(E.Services_ == std::vector<std::string>{"s", "t"});
  CHECK(E.Capacity_ == base::Resources{16000, 60000, 1});
  CHECK(E.Connections_ == 64);
}

TEST_CASE("a list with a bad field is refused as a whole") {
  const std::string Needed =
      R"("id":"a","state":"live","domain":"d","region":"r")";
  CHECK(decodeInstances(list("{" + Needed + "}")).has_value());
  for (const char *Bad :
       {R"("state":"gone")", R"("id":"")", R"("domain":null)", R"("region":7)",
        R"("agent":"host:81")", R"("agent":"10.0.0.1")",
        R"("agent":"10.0.0.1:0")", R"("agent":"10.0.0.1:70000")",
        R"("upstream":"::1:82")", R"("services":"s")", R"("services":[7])",
        R"("cpu_milli":-1)", R"("memory_mb":1.5)", R"("accelerators":"1")",
        R"("slots":18446744073709551615)", R"("connections":1e3)"})
    CHECK_MESSAGE(!decodeInstances(list("{" + Needed + "," + Bad + "}")), Bad);
  CHECK_FALSE(decodeInstances(list(Entry + "," + Entry)).has_value());
  for (const char *Bad :
       {"", "7", "[]", R"({"instances":[]})",
        R"({"revision":0,"instances":[]})", R"({"revision":1})",
        R"({"revision":1,"instances":{}})",
        R"({"revision":1,"instances":[7]})"})
    CHECK_MESSAGE(!decodeInstances(Bad), Bad);
}

TEST_CASE("no list crashes the decoder") {
  CHECK(rc::check("changed lists", [] {
    std::string Text = list(Entry + "," + Entry);
    const std::vector<std::string> Pieces = {"null", "7",  "\"x\"", "[]",
                                             "{}",   "-1", "1e99",  "\x80"};
    for (int I = *rc::gen::inRange(1, 4); I > 0; --I)
      Text.replace(*rc::gen::inRange<std::size_t>(0, Text.size()),
                   *rc::gen::inRange<std::size_t>(0, 12),
                   *rc::gen::elementOf(Pieces));
    decodeInstances(Text);
  }));
}
