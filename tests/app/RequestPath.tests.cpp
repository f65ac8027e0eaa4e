#include "app/RequestPath.h"
#include "Parts.h"
#include "base/Hash.h"
#include "support/LoopFakes.h"

#include <boost/leaf/handle_errors.hpp>
#include <doctest/doctest.h>

namespace {

using namespace crocuslead;
using namespace crocuslead::tests;

//! What a caller has received.
struct Caller final : http::Responder {
  void send(http::Response Answer) override {
    Answer_ = std::move(Answer);
    Ended_ = true;
  }
  void begin(int Status, http::Headers All) override {
    Answer_.Status_ = Status;
    Answer_.Headers_ = std::move(All);
    Streamed_ = true;
  }
  void write(std::string Piece) override { Answer_.Body_ += Piece; }
  void finish() override { Ended_ = true; }
  void abort() override { Cut_ = Ended_ = true; }
  void onClosed(std::function<void()> Handler) override { Closed_ = Handler; }

  std::string header(const char *Name) const {
    const std::string *Value = http::findHeader(Answer_.Headers_, Name);
    return Value == nullptr ? "" : *Value;
  }

  http::Response Answer_;
  std::function<void()> Closed_;
  bool Streamed_ = false;
  bool Ended_ = false;
  bool Cut_ = false;
};

//! A request path over an upstream on loopback. Claims are answered when the
//! owner is known.
struct PathWorld : Parts {
  explicit PathWorld(std::vector<Step> Steps)
      : Parts("a"), Upstream_(Loop_, std::move(Steps)) {
    config::Workspace Visits;
    Visits.Name_ = "visits";
    Visits.Service_ = "desk";
    Visits.DefaultDeadlineMs_ = 10'000;
    Configuration_.Workspaces_["visits"] = Visits;
    Claims_.setPartitions({{"d-0", "d", "r"}});
    Claims_.partitionAcquired("d-0", 0);
    Clock_.advance(std::chrono::seconds(25));
    cluster::InstanceEntry Entry;
    Entry.Id_ = "u";
    Entry.UpstreamAddress_ = "127.0.0.1:" + std::to_string(Upstream_.port());
    Entry.Domain_ = "d";
    Entry.Region_ = "r";
    Entry.Services_ = {"desk"};
    Entry.Slots_ = 8;
    Entry.Connections_ = 64;
    cluster::InstanceSnapshot Snapshot;
    Snapshot.Entries_ = {Entry};
    Path_.setLive({"a"});
    Path_.setInstances(Snapshot);
  }

  std::shared_ptr<Caller> call(const std::string &Method,
                               const std::string &Key = "",
                               http::Headers Extra = {}) {
    http::Request Request{Method, "/r/visits/book", std::move(Extra), ""};
    if (!Key.empty())
      Request.Headers_.emplace_back("Idempotency-Key", Key);
    auto Out = std::make_shared<Caller>();
    Path_.handle(std::move(Request), Out);
    return Out;
  }
  std::shared_ptr<Caller> answered(std::shared_ptr<Caller> Out) {
    runUntil(Loop_, [&] { return Out->Ended_; });
    return Out;
  }
  std::string key() { return makeKey(Clock_.wallNow(), ++KeysMade_); }

  RawServer Upstream_;
  config::Configuration Configuration_;
  std::string Owner_ = "a";
  std::optional<http::Response> PeerAnswer_;
  std::unique_ptr<http::Client> Client_ = http::makeClient(Loop_, 0);
  app::ClaimService Claims_{
      Shared_,
      {[](const std::string &, const link::Message &) { return false; },
       [this](const std::string &) { return Owner_; }, [] { return true; }}};
  app::RequestPath Path_{
      Shared_,
      *Client_,
      Claims_,
      {[this]() -> const config::Configuration & { return Configuration_; },
       [this](const std::string &, const std::string &,
              const std::function<void(const http::Response *)> &Done) {
         Done(PeerAnswer_ ? &*PeerAnswer_ : nullptr);
       },
       {}}};
  unsigned KeysMade_ = 0;
};

const std::string LargeBody(3U << 20U, 'x');

} // namespace

TEST_CASE("A caller gets the answer to its own request") {
  PathWorld World({{okAnswer("first")}, {okAnswer("second")}});
  auto First = World.answered(World.call("GET"));
  auto Second = World.answered(World.call("GET"));
  CHECK(First->Answer_.Body_ == "first");
  CHECK(Second->Answer_.Body_ == "second");
  CHECK(First->header("Crocuslead-Outcome") == "ran");
  CHECK(First->header("Crocuslead-Request-Id") !=
        Second->header("Crocuslead-Request-Id"));
}

TEST_CASE("A large answer is streamed whole") {
  PathWorld World({{okAnswer(LargeBody)}});
  auto Out = World.answered(World.call("GET"));
  CHECK(Out->Streamed_);
  CHECK(!Out->Cut_);
  CHECK(Out->Answer_.Body_ == LargeBody);
}

TEST_CASE("A large answer that is cut short is cut for the caller") {
  std::string Cut = okAnswer(LargeBody);
  Cut.resize(Cut.size() - 1000);
  PathWorld World({{Cut, Then::Close}});
  auto Out = World.answered(World.call("POST"));
  CHECK(Out->Streamed_);
  CHECK(Out->Cut_);
  CHECK(World.Path_.active() == 0);
}

TEST_CASE("A small answer that is cut short is an error, not a success") {
  std::string Cut = okAnswer("a confirmation");
  Cut.resize(Cut.size() - 3);
  PathWorld World({{Cut, Then::Close}});
  auto Out = World.answered(World.call("POST"));
  CHECK(Out->Answer_.Status_ >= 500);
  CHECK(Out->header("Crocuslead-Error") == "answer-truncated");
  CHECK(Out->header("Crocuslead-Outcome") == "unknown");
}

TEST_CASE("A repeated key gets the kept answer and runs once") {
  PathWorld World({{okAnswer("booked")}});
  std::string Key = World.key();
  auto First = World.answered(World.call("POST", Key));
  auto Again = World.answered(World.call("POST", Key));
  CHECK(First->Answer_.Body_ == "booked");
  CHECK(Again->Answer_.Body_ == "booked");
  CHECK(Again->header("Crocuslead-Replayed") == "true");
  CHECK(World.Upstream_.Requests_.size() == 1);
}

TEST_CASE("A key that is repeated while it runs is refused") {
  PathWorld World({{okAnswer("booked")}});
  std::string Key = World.key();
  auto First = World.call("POST", Key);
  auto Again = World.call("POST", Key);
  CHECK(Again->header("Crocuslead-Error") == "key-in-progress");
  World.answered(First);
  CHECK(World.Upstream_.Requests_.size() == 1);
}

TEST_CASE("A repeated key gets its answer before the report of the end has "
          "arrived") {
  PathWorld World({{okAnswer("twice")}});
  std::string Key = World.key();
  World.Claims_.received(
      "b", link::ClaimRequest{1, "d-0", Key,
                              base::stableHash("POST /r/visits/book\n")});
  auto Early = World.call("POST", Key);
  CHECK(Early->header("Crocuslead-Error") == "key-in-progress");
  World.PeerAnswer_ = http::Response{200, {}, "booked"};
  auto Again = World.call("POST", Key);
  CHECK(Again->Answer_.Body_ == "booked");
  CHECK(World.Upstream_.Requests_.empty());
}

TEST_CASE("A key whose caller left during the claim does not run later") {
  PathWorld World({{okAnswer("booked")}});
  std::string Key = World.key();
  World.Owner_.clear();
  auto Out = World.call("POST", Key);
  CHECK(!Out->Ended_);
  Out->Closed_();
  World.Owner_ = "a";
  World.Clock_.advance(std::chrono::milliseconds(400));
  World.Claims_.tick();
  CHECK(World.Path_.active() == 0);
  CHECK(Out->header("Crocuslead-Outcome") == "not-run");
  auto Again = World.answered(World.call("POST", Key));
  CHECK(Again->header("Crocuslead-Error") == "key-spent");
  CHECK(World.Upstream_.Requests_.empty());
}

TEST_CASE("A keyed request in progress runs on when its caller leaves, and its "
          "answer is kept") {
  PathWorld World({{okAnswer("booked")}});
  std::string Key = World.key();
  auto Out = World.call("POST", Key);
  Out->Closed_();
  runUntil(World.Loop_, [&] { return World.Path_.active() == 0; });
  auto Again = World.answered(World.call("POST", Key));
  CHECK(Again->Answer_.Body_ == "booked");
  CHECK(World.Upstream_.Requests_.size() == 1);
}

TEST_CASE("A refusal for a bad header does not claim that its key did not "
          "run") {
  PathWorld World({{okAnswer("booked")}});
  std::string Key = World.key();
  World.answered(World.call("POST", Key));
  auto Out = World.call("POST", Key, {{"Crocuslead-Deadline-Ms", "soon"}});
  CHECK(Out->Answer_.Status_ == 400);
  CHECK(Out->header("Crocuslead-Outcome") == "unknown");
}

TEST_CASE("The answer to HEAD has the upstream's length") {
  PathWorld World({{"HTTP/1.1 200 OK\r\nContent-Length: 1234\r\n\r\n"}});
  auto Out = World.answered(World.call("HEAD"));
  CHECK(Out->header("Content-Length") == "1234");
}
