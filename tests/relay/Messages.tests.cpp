#include "base/Random.h"
#include "relay/RelayFakes.h"
#include "support/ErrorText.h"

#include <nlohmann/json.hpp>
#include <rapidcheck.h>

namespace crocuslead::relay::test {

namespace {

using namespace jobs;

//! Random messages, with the extreme values of each field.
class Generator {
public:
  explicit Generator(uint64_t Seed) : Source_(Seed) {}

  uint64_t number() { return Source_.next() >> Source_.below(64); }
  int64_t signedNumber() { return static_cast<int64_t>(number()); }
  bool flag() { return Source_.below(2) == 0; }
  std::string bytes() {
    std::string Out(Source_.below(3) * Source_.below(200), '\0');
    for (char &Each : Out)
      Each = static_cast<char>(Source_.next());
    return Out;
  }
  TaskId task() {
    auto Part = [this] { return static_cast<uint32_t>(number()); };
    return {bytes(), {Part(), Part(), Part()}};
  }

  RequestBody body() {
    switch (Source_.below(4)) {
    case 0: {
      StartRequest Start;
      Start.Task_ = task();
      Start.Run_ = number();
      Start.Payload_ = bytes();
      Start.PayloadApart_ = flag();
      Start.PayloadSource_ = bytes();
      Start.Checkpoint_ = bytes();
      Start.LeaseUntilMs_ = signedNumber();
      Start.FencingToken_ = number();
      Start.FirstToken_ = number();
      return Start;
    }
    case 1:
      return StopRequest{task(), number(), number(), number()};
    case 2:
      return ThrottleRequest{task(), number(), static_cast<int>(number()),
                             number(), number()};
    default:
      PollRequest Poll{number(), number(), std::nullopt,
                       base::Duration(signedNumber()), number()};
      if (flag())
        Poll.LeaseUntilMs_ = signedNumber();
      return Poll;
    }
  }

  RequestBatch requests() {
    RequestBatch Out{bytes(), bytes(), bytes(), {}};
    for (uint64_t I = Source_.below(5); I > 0; --I)
      Out.Requests_.push_back(
          {number(), {bytes(), bytes(), ""}, signedNumber(), body()});
    return Out;
  }

  WorkerReport report() {
    WorkerReport Out{signedNumber(), signedNumber(), {}, {}, flag()};
    for (uint64_t I = Source_.below(4); I > 0; --I) {
      double Load = flag() ? static_cast<double>(number()) : Source_.unit();
      Out.Running_.push_back(
          {task(), number(), bytes(), static_cast<int>(number()), Load});
    }
    for (uint64_t I = Source_.below(4); I > 0; --I)
      Out.Ended_.push_back({number(), task(), number(),
                            static_cast<RunOutcome>(Source_.below(6)),
                            bytes()});
    return Out;
  }

  ReplyBatch replies() {
    ReplyBatch Out{bytes(), bytes(), bytes(), signedNumber(), {}, {}};
    if (flag())
      Out.Info_ = RelayInfo{bytes(), bytes(), bytes(), Source_.unit(), flag()};
    for (uint64_t I = Source_.below(5); I > 0; --I) {
      RelayedReply Each{number(), static_cast<RequestStatus>(Source_.below(11)),
                        std::nullopt, std::nullopt,
                        base::Duration(signedNumber())};
      if (flag())
        Each.ClockMs_ = signedNumber();
      if (flag())
        Each.Report_ = report();
      Out.Replies_.push_back(std::move(Each));
    }
    return Out;
  }

private:
  base::Random Source_;
};

bool same(const TaskId &A, const TaskId &B) {
  return A.Job_ == B.Job_ && A.Position_ == B.Position_;
}

bool same(const StartRequest &A, const StartRequest &B) {
  return same(A.Task_, B.Task_) && A.Run_ == B.Run_ &&
         A.Payload_ == B.Payload_ && A.PayloadApart_ == B.PayloadApart_ &&
         A.PayloadSource_ == B.PayloadSource_ &&
         A.Checkpoint_ == B.Checkpoint_ && A.LeaseUntilMs_ == B.LeaseUntilMs_ &&
         A.FencingToken_ == B.FencingToken_ && A.FirstToken_ == B.FirstToken_;
}

bool same(const StopRequest &A, const StopRequest &B) {
  return same(A.Task_, B.Task_) && A.Run_ == B.Run_ &&
         A.FencingToken_ == B.FencingToken_ && A.FirstToken_ == B.FirstToken_;
}

bool same(const ThrottleRequest &A, const ThrottleRequest &B) {
  return same(A.Task_, B.Task_) && A.Run_ == B.Run_ &&
         A.SpeedPercent_ == B.SpeedPercent_ &&
         A.FencingToken_ == B.FencingToken_ && A.FirstToken_ == B.FirstToken_;
}

bool same(const PollRequest &A, const PollRequest &B) {
  return A.FencingToken_ == B.FencingToken_ &&
         A.AcknowledgedSequence_ == B.AcknowledgedSequence_ &&
         A.LeaseUntilMs_ == B.LeaseUntilMs_ && A.Wait_ == B.Wait_ &&
         A.FirstToken_ == B.FirstToken_;
}

bool same(const RelayedRequest &A, const RelayedRequest &B) {
  if (A.Body_.index() != B.Body_.index())
    return false;
  bool SameBody = std::visit(
      [&](const auto &Each) {
        return same(Each, std::get<std::decay_t<decltype(Each)>>(B.Body_));
      },
      A.Body_);
  return SameBody && A.Number_ == B.Number_ && A.To_.Id_ == B.To_.Id_ &&
         A.To_.Address_ == B.To_.Address_ && A.NotAfterMs_ == B.NotAfterMs_;
}

bool same(const RunStatus &A, const RunStatus &B) {
  return same(A.Task_, B.Task_) && A.Run_ == B.Run_ &&
         A.Checkpoint_ == B.Checkpoint_ &&
         A.ProgressPercent_ == B.ProgressPercent_ && A.Load_ == B.Load_;
}

bool same(const RunResult &A, const RunResult &B) {
  return A.SequenceNumber_ == B.SequenceNumber_ && same(A.Task_, B.Task_) &&
         A.Run_ == B.Run_ && A.Outcome_ == B.Outcome_ &&
         A.Checkpoint_ == B.Checkpoint_;
}

bool same(const WorkerReport &A, const WorkerReport &B);
bool same(const RelayedReply &A, const RelayedReply &B);
bool same(const RelayInfo &A, const RelayInfo &B);

template <typename T>
bool same(const std::vector<T> &A, const std::vector<T> &B) {
  return std::equal(
      A.begin(), A.end(), B.begin(), B.end(),
      [](const T &Left, const T &Right) { return same(Left, Right); });
}

template <typename T>
bool same(const std::optional<T> &A, const std::optional<T> &B) {
  return A && B ? same(*A, *B) : !A && !B;
}

bool same(const WorkerReport &A, const WorkerReport &B) {
  return A.ClockMs_ == B.ClockMs_ && A.StartTimeMs_ == B.StartTimeMs_ &&
         same(A.Running_, B.Running_) && same(A.Ended_, B.Ended_) &&
         A.Truncated_ == B.Truncated_;
}

bool same(const RelayedReply &A, const RelayedReply &B) {
  return A.Number_ == B.Number_ && A.Status_ == B.Status_ &&
         A.ClockMs_ == B.ClockMs_ && same(A.Report_, B.Report_) &&
         A.PayloadWait_ == B.PayloadWait_;
}

bool same(const RelayInfo &A, const RelayInfo &B) {
  return A.Address_ == B.Address_ && A.Domain_ == B.Domain_ &&
         A.Region_ == B.Region_ && A.Weight_ == B.Weight_ &&
         A.Leaving_ == B.Leaving_;
}

std::string cborOf(const nlohmann::json &Value) {
  std::string Out;
  nlohmann::json::to_cbor(Value, Out);
  return Out;
}

bool isRefused(const std::string &Bytes) {
  constexpr const char *Refusal = "cannot decode relay message";
  auto Requests = tests::errorText([&] { return decodeRequests(Bytes); });
  auto Replies = tests::errorText([&] { return decodeReplies(Bytes); });
  return Requests.find(Refusal) == 0 && Replies.find(Refusal) == 0;
}

} // namespace

TEST_CASE("A batch of requests is decoded as it was encoded") {
  CHECK(rc::check([](uint64_t Seed) {
    RequestBatch In = Generator(Seed).requests();
    RequestBatch Out = valueOf(decodeRequests(encode(In)));
    RC_ASSERT(Out.Incarnation_ == In.Incarnation_);
    RC_ASSERT(Out.Session_ == In.Session_);
    RC_ASSERT(Out.ReplyTo_ == In.ReplyTo_);
    RC_ASSERT(same(Out.Requests_, In.Requests_));
  }));
}

TEST_CASE("A batch of replies is decoded as it was encoded") {
  CHECK(rc::check([](uint64_t Seed) {
    ReplyBatch In = Generator(Seed).replies();
    ReplyBatch Out = valueOf(decodeReplies(encode(In)));
    RC_ASSERT(Out.Instance_ == In.Instance_);
    RC_ASSERT(Out.Incarnation_ == In.Incarnation_);
    RC_ASSERT(Out.Session_ == In.Session_);
    RC_ASSERT(Out.ClockMs_ == In.ClockMs_);
    RC_ASSERT(same(Out.Info_, In.Info_));
    RC_ASSERT(same(Out.Replies_, In.Replies_));
  }));
}

TEST_CASE("Messages that are cut short are refused") {
  CHECK(rc::check([](uint64_t Seed) {
    Generator Random(Seed);
    for (const std::string &Bytes :
         {encode(Random.requests()), encode(Random.replies())})
      for (std::size_t Size = 0; Size < Bytes.size(); Size += 1 + Size / 8)
        RC_ASSERT(isRefused(Bytes.substr(0, Size)));
  }));
}

TEST_CASE("Messages with changed bytes are refused or read, and nothing else") {
  CHECK(rc::check([](uint64_t Seed) {
    Generator Random(Seed);
    for (std::string Bytes :
         {encode(Random.requests()), encode(Random.replies())}) {
      for (int I = 0; I < 3; ++I)
        Bytes[Random.number() % Bytes.size()] =
            static_cast<char>(Random.number());
      tests::errorText([&] { return decodeRequests(Bytes); });
      tests::errorText([&] { return decodeReplies(Bytes); });
    }
  }));
}

TEST_CASE("Messages of another form are refused") {
  using nlohmann::json;
  json Task = {"j", 0, 0, 0};
  json Row = {1, "w", "a:1", 5, 1, {Task, 1, 1}};
  json Reply = {1, 0, nullptr, nullptr, 0};
  CHECK(decodeRequests(cborOf({"n", "s", "r", json::array({Row})})));
  CHECK(decodeReplies(cborOf({"i", "n", "s", 1, nullptr, {Reply}})));
  auto RequestWith = [&](std::size_t Index, const json &Value) {
    json Changed = Row;
    Changed[Index] = Value;
    return cborOf({"n", "s", "r", json::array({Changed})});
  };
  auto ReplyWith = [&](std::size_t Index, const json &Value) {
    json Changed = Reply;
    Changed[Index] = Value;
    return cborOf({"i", "n", "s", 1, nullptr, {Changed}});
  };
  for (const std::string &Bytes :
       {std::string("text"), cborOf(nullptr), cborOf(json::object()),
        cborOf(json::array()), RequestWith(4, 4), RequestWith(4, -1),
        RequestWith(4, 3), RequestWith(5, nullptr), RequestWith(0, "1"),
        ReplyWith(1, 11), ReplyWith(1, -1), ReplyWith(3, json::array()),
        ReplyWith(4, "1")})
    CHECK(isRefused(Bytes));
}

} // namespace crocuslead::relay::test
