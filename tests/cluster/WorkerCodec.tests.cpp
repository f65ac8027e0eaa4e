#include "cluster/WorkerCodec.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace crocuslead;
using namespace crocuslead::cluster;

namespace {

int64_t anyCount() {
  return *rc::gen::oneOf(rc::gen::just<int64_t>(0),
                         rc::gen::just<int64_t>(INT64_MAX),
                         rc::gen::nonNegative<int64_t>());
}
std::string anyText() { return *rc::gen::string<std::string>(); }
std::string anyId() {
  return *rc::gen::nonEmpty(rc::gen::string<std::string>());
}
int anyPercent() { return *rc::gen::inRange(0, 101); }

WorkerCommand anyCommand() {
  WorkerCommand Made;
  Made.Kind_ = *rc::gen::element(CommandKind::Start, CommandKind::Stop,
                                 CommandKind::CheckpointStop,
                                 CommandKind::Throttle, CommandKind::Forget);
  Made.Task_ = anyId();
  Made.Attempt_ = *rc::gen::arbitrary<uint32_t>();
  Made.Granted_ = {anyCount(), anyCount(), anyCount()};
  Made.WorkKind_ = anyText();
  Made.Workspace_ = anyText();
  Made.RunTimeMs_ = anyCount();
  Made.Checkpoint_ = anyText();
  Made.DeadlineWorkerMs_ = *rc::gen::arbitrary<int64_t>();
  Made.ThrottlePercent_ = anyPercent();
  return Made;
}

WorkerRequest anyRequest() {
  WorkerRequest Made;
  Made.Epoch_ = anyCount();
  Made.LeaseMs_ = anyCount();
  Made.WantReport_ = *rc::gen::arbitrary<bool>();
  for (int I = *rc::gen::inRange(0, 4); I > 0; --I)
    Made.Commands_.push_back(anyCommand());
  return Made;
}

AttemptReport anyAttempt() {
  AttemptReport Made;
  Made.Task_ = anyId();
  Made.Attempt_ = *rc::gen::arbitrary<uint32_t>();
  Made.State_ =
      *rc::gen::element(AttemptState::Starting, AttemptState::Running,
                        AttemptState::Checkpointing, AttemptState::Finished,
                        AttemptState::Failed, AttemptState::Stopped);
  Made.CpuMillis_ = anyCount();
  Made.MemoryMbMillis_ = anyCount();
  Made.AcceleratorMillis_ = anyCount();
  Made.RunMillis_ = anyCount();
  Made.ProgressPercent_ = *rc::gen::inRange(0, 1000);
  Made.SpeedPercent_ = *rc::gen::nonNegative<int>();
  Made.Checkpoint_ = anyText();
  return Made;
}

WorkerReply anyReply() {
  WorkerReply Made;
  Made.WorkerClockMs_ = *rc::gen::arbitrary<int64_t>();
  Made.HighestEpoch_ = anyCount();
  Made.EpochRefused_ = *rc::gen::arbitrary<bool>();
  Made.ReportSequence_ = anyCount();
  Made.Incarnation_ = anyText();
  Made.HasReport_ = *rc::gen::arbitrary<bool>();
  for (int I = *rc::gen::inRange(0, 4); I > 0; --I)
    Made.Commands_.push_back(
        {*rc::gen::element(CommandStatus::Done, CommandStatus::Refused,
                           CommandStatus::Failed),
         anyText()});
  for (int I = *rc::gen::inRange(0, 4); I > 0; --I)
    Made.Attempts_.push_back(anyAttempt());
  return Made;
}

auto tie(const WorkerCommand &C) {
  return std::tie(C.Kind_, C.Task_, C.Attempt_, C.Granted_, C.WorkKind_,
                  C.Workspace_, C.RunTimeMs_, C.Checkpoint_,
                  C.DeadlineWorkerMs_, C.ThrottlePercent_);
}
auto tie(const AttemptReport &A) {
  return std::tie(A.Task_, A.Attempt_, A.State_, A.CpuMillis_,
                  A.MemoryMbMillis_, A.AcceleratorMillis_, A.RunMillis_,
                  A.ProgressPercent_, A.SpeedPercent_, A.Checkpoint_);
}
auto tie(const CommandReply &R) { return std::tie(R.Status_, R.Reason_); }

template <typename T>
bool same(const std::vector<T> &A, const std::vector<T> &B) {
  return std::equal(A.begin(), A.end(), B.begin(), B.end(),
                    [](auto &X, auto &Y) { return tie(X) == tie(Y); });
}

std::string bytes(std::initializer_list<int> All) {
  return {All.begin(), All.end()};
}

} // namespace

TEST_CASE("messages survive encoding and decoding") {
  CHECK(rc::check("request", [] {
    WorkerRequest Sent = anyRequest();
    auto Got = decodeRequest(encodeRequest(Sent));
    RC_ASSERT(Got.has_value());
    RC_ASSERT(Got->Epoch_ == Sent.Epoch_ && Got->LeaseMs_ == Sent.LeaseMs_ &&
              Got->WantReport_ == Sent.WantReport_);
    RC_ASSERT(same(Got->Commands_, Sent.Commands_));
  }));
  CHECK(rc::check("reply", [] {
    WorkerReply Sent = anyReply();
    auto Got = decodeReply(encodeReply(Sent));
    RC_ASSERT(Got.has_value());
    RC_ASSERT(
        std::tie(Got->WorkerClockMs_, Got->HighestEpoch_, Got->EpochRefused_,
                 Got->ReportSequence_, Got->Incarnation_, Got->HasReport_) ==
        std::tie(Sent.WorkerClockMs_, Sent.HighestEpoch_, Sent.EpochRefused_,
                 Sent.ReportSequence_, Sent.Incarnation_, Sent.HasReport_));
    RC_ASSERT(same(Got->Commands_, Sent.Commands_));
    RC_ASSERT(same(Got->Attempts_, Sent.Attempts_));
  }));
}

// Guards against two versions that write different bytes for one message.
TEST_CASE("the encoding is fixed and leaves out defaults") {
  CHECK(encodeRequest({}) == bytes({0xA0}));
  WorkerRequest Request;
  Request.Worker_ = "not sent";
  Request.Epoch_ = 500;
  Request.WantReport_ = true;
  WorkerCommand Throttle;
  Throttle.Kind_ = CommandKind::Throttle;
  Throttle.Task_ = "t";
  Throttle.DeadlineWorkerMs_ = -1;
  Request.Commands_ = {Throttle};
  CHECK(encodeRequest(Request) ==
        bytes({0xA3, 1, 0x19, 0x01, 0xF4, 3, 0xF5, 4, 0x81, //
               0xA3, 1, 3, 2, 0x61, 't', 9, 0x20}));
}

TEST_CASE("unknown fields are skipped") {
  auto Got = decodeRequest(
      bytes({0xA5, 0x18, 99,   0x82, 0xA1, 0x61, 'k', 0xF6, 0xC1, 0x00,    //
             0x18, 98,   0xFB, 1,    2,    3,    4,   5,    6,    7,    8, //
             0x18, 97,   0x42, 1,    2,    0x18, 96,  0x29, 1,    7}));
  REQUIRE(Got.has_value());
  CHECK(Got->Epoch_ == 7);
}

TEST_CASE("malformed messages are refused") {
  for (const auto &Bad :
       {bytes({}), bytes({0x80}), bytes({0xA1}), bytes({0xA1, 1}),
        bytes({0xA0, 0}),                   // bytes after the message
        bytes({0xA1, 1, 0x20}),             // negative epoch
        bytes({0xA1, 0x61, '1', 7}),        // key is text
        bytes({0xA1, 3, 1}),                // number for a truth value
        bytes({0xA1, 4, 0x81, 0xA1, 1, 3}), // command without a task
        bytes({0xA1, 4, 0x81, 0xA2, 1, 9, 2, 0x61, 't'}), // unknown kind
        bytes({0xA1, 4, 0x81, 0xA2, 2, 0x61, 't', 10, 0x18, 101}), // percent
        bytes({0xA1, 4, 0x81, 0xA2, 2, 0x61, 't', 3, 0x20}),       // attempt -1
        bytes({0xA1, 4, 0x9B, 255, 255, 255, 255, 255, 255, 255, 255}),
        bytes({0xBF, 0xFF}), bytes({0xA1, 1, 0x1B, 255, 0, 0, 0, 0, 0, 0, 0})})
    CHECK_FALSE(decodeRequest(Bad).has_value());
}

// Guards against recursion that exhausts the stack.
TEST_CASE("deep nesting is refused") {
  CHECK_FALSE(decodeRequest(bytes({0xA1, 50}) + std::string(1'000'000, '\x81'))
                  .has_value());
  CHECK_FALSE(decodeReply(bytes({0xA1, 50}) + std::string(1'000'000, '\xC1'))
                  .has_value());
}

TEST_CASE("no bytes crash the decoder") {
  CHECK(rc::check("random bytes", [](const std::string &Bytes) {
    decodeRequest(Bytes);
    decodeReply(Bytes);
  }));
  CHECK(rc::check("changed messages", [] {
    std::string Body = *rc::gen::arbitrary<bool>() ? encodeRequest(anyRequest())
                                                   : encodeReply(anyReply());
    for (int I = *rc::gen::inRange(1, 5); I > 0 && !Body.empty(); --I)
      Body[*rc::gen::inRange<std::size_t>(0, Body.size())] =
          *rc::gen::arbitrary<char>();
    Body.resize(Body.size() -
                *rc::gen::inRange<std::size_t>(0, 3) % (Body.size() + 1));
    // What is accepted can be written again.
    if (auto Request = decodeRequest(Body))
      RC_ASSERT(decodeRequest(encodeRequest(*Request)).has_value());
    if (auto Reply = decodeReply(Body))
      RC_ASSERT(decodeReply(encodeReply(*Reply)).has_value());
  }));
}
