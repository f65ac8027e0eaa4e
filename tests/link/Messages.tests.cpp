#include "base/Random.h"
#include "link/internal/Codec.h"
#include "link/internal/Handshake.h"
#include "support/ErrorText.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace crocuslead;
using namespace crocuslead::link;
using base::Random;

namespace {

template <typename Number>
std::enable_if_t<std::is_integral_v<Number>> fill(Random &Source, Number &Out) {
  uint64_t Bits = Source.next() >> Source.below(64);
  Out = Source.below(4) == 0 ? Number{} : static_cast<Number>(Bits);
}

void fill(Random &Source, std::string &Out) {
  for (uint64_t Count = Source.below(4) * Source.below(30); Count > 0; --Count)
    Out += static_cast<char>(Source.next());
}

template <typename Record> void fillRecord(Random &Source, Record &Out);

template <typename Record> void fill(Random &Source, std::vector<Record> &Out) {
  Out.resize(Source.below(4));
  for (Record &Each : Out)
    fillRecord(Source, Each);
}

template <typename Record> void fillRecord(Random &Source, Record &Out) {
  internal::forEachField<Record>(
      [&](const auto &Each) { fill(Source, Out.*Each.Member_); });
}

template <std::size_t Index = 0>
Message randomMessage(Random &Source, std::size_t Kind) {
  if constexpr (Index < std::variant_size_v<Message>) {
    if (Kind != Index)
      return randomMessage<Index + 1>(Source, Kind);
    std::variant_alternative_t<Index, Message> Out;
    fillRecord(Source, Out);
    return Out;
  }
  return Ping();
}

bool sameField(const std::string &A, const std::string &B) { return A == B; }
template <typename Number>
std::enable_if_t<std::is_integral_v<Number>, bool> sameField(Number A,
                                                             Number B) {
  return A == B;
}
template <typename Record> bool sameRecord(const Record &A, const Record &B) {
  bool Same = true;
  internal::forEachField<Record>([&](const auto &Each) {
    const auto &Left = A.*Each.Member_;
    const auto &Right = B.*Each.Member_;
    if constexpr (std::is_integral_v<std::decay_t<decltype(Left)>> ||
                  std::is_same_v<std::decay_t<decltype(Left)>, std::string>) {
      Same = Same && sameField(Left, Right);
    } else {
      Same = Same && Left.size() == Right.size();
      for (std::size_t I = 0; Same && I < Left.size(); ++I)
        Same = sameRecord(Left[I], Right[I]);
    }
  });
  return Same;
}

bool sameMessage(const Message &A, const Message &B) {
  return A.index() == B.index() &&
         std::visit(
             [&](const auto &Left) {
               return sameRecord(Left,
                                 std::get<std::decay_t<decltype(Left)>>(B));
             },
             A);
}

Message anyMessage(Random &Source) {
  return randomMessage(Source, Source.below(std::variant_size_v<Message>));
}

std::string errorOf(const std::string &Frame) {
  return tests::errorText([&] { return decode(Frame); });
}

std::string cbor(const nlohmann::json &Value) {
  std::string Out;
  nlohmann::json::to_cbor(Value, Out);
  return Out;
}

} // namespace

TEST_CASE("every message decodes to what was encoded") {
  CHECK(rc::check("round trip", [](uint64_t Seed) {
    Random Source(Seed);
    for (std::size_t Kind = 0; Kind < std::variant_size_v<Message>; ++Kind) {
      Message Sent = randomMessage(Source, Kind);
      auto Received = decode(encode(Sent));
      RC_ASSERT(Received.has_value());
      RC_ASSERT(sameMessage(Sent, *Received));
    }
  }));
}

// Guards against a crash, a hang or a huge allocation by a damaged or hostile
// frame.
TEST_CASE("decoding random and mutated frames never crashes") {
  CHECK(rc::check("mutated", [](uint64_t Seed) {
    Random Source(Seed);
    std::string Frame = encode(anyMessage(Source));
    for (uint64_t Count = 1 + Source.below(6); Count > 0; --Count) {
      std::size_t At = Source.below(Frame.size() + 1);
      switch (Source.below(3)) {
      case 0:
        Frame.insert(At, 1, static_cast<char>(Source.next()));
        break;
      case 1:
        Frame.resize(std::max<std::size_t>(At, 1));
        break;
      default:
        Frame[At % Frame.size()] = static_cast<char>(Source.next());
      }
    }
    if (auto Received = decode(Frame)) {
      auto Again = decode(encode(*Received));
      RC_ASSERT(Again.has_value());
      RC_ASSERT(sameMessage(*Received, *Again));
    }
  }));
  CHECK(rc::check("random", [](const std::string &Frame) {
    auto Received = decode(Frame);
    RC_TAG(Received.has_value() ? "accepted" : "refused");
  }));
}

// Guards against stack exhaustion in the recursive CBOR reader and against
// allocations by declared lengths.
TEST_CASE("nested, endless and oversized frames are refused") {
  CHECK(errorOf(std::string(1'000'000, '\x81')) == "malformed frame");
  CHECK(errorOf(std::string(1'000'000, '\x9f')) == "malformed frame");
  CHECK(errorOf("\x82\x0a\xbb\x7f\xff\xff\xff\xff\xff\xff\xff") ==
        "malformed frame");
  CHECK(errorOf("\x82\x0a\x9b\xff\xff\xff\xff\xff\xff\xff\xff") ==
        "malformed frame");
  CHECK(errorOf("\x5b\x7f\xff\xff\xff\xff\xff\xff\xff") == "malformed frame");
  CHECK(errorOf("") == "malformed frame");
  CHECK(errorOf(std::string((1U << 20U) + 1, '\0')) == "malformed frame");
}

TEST_CASE("defaults take no bytes and unknown fields are skipped") {
  CHECK(encode(Ping()) == "\x82\x0a\xa0");
  auto WithMore = decode(cbor({10, {{"1", 7}, {"99", {{"x", {1, 2}}}}}}));
  REQUIRE(WithMore.has_value());
  CHECK(std::get<Ping>(*WithMore).Sequence_ == 7);
  CHECK(errorOf(cbor({99, nlohmann::json::object()})) ==
        "unknown message number");
}

// Guards against a value that wraps or is taken with another type.
TEST_CASE("fields of a wrong type or range are refused") {
  using nlohmann::json;
  for (const json &Fields :
       {json{{"1", -1}}, json{{"1", "7"}}, json{{"4", 1}},
        json{{"5", 4294967296}}, json{{"2", 9223372036854775808U}},
        json{{"1", true}}, json{{"1", json::array()}}}) {
    CAPTURE(Fields.dump());
    CHECK(errorOf(cbor({10, Fields})) == "message with a malformed field");
  }
  CHECK(errorOf(cbor({16, {{"2", 256}}})) == "message with a malformed field");
  std::string LongKey = encode(AnswerFetch{1, std::string(513, 'k')});
  CHECK(errorOf(LongKey) == "message with a malformed field");
  CHECK(errorOf(cbor({10, 7})) == "malformed frame");
  CHECK(errorOf(cbor({"10", json::object()})) == "malformed frame");
  CHECK(errorOf(encode(Ping()) + "\x01") == "malformed frame");
}

TEST_CASE("a ping and a claim stay within their share of the control budget") {
  Ping Sent{100'000, 5'000'000, 1'500, false, 3};
  CHECK(encode(Sent).size() <= 30);
  ClaimRequest Claim{100'000, "south-west-ibadan-1",
                     "01890f3e-7b1c-7cc0-98c4-dc0c0c07398f", 1ULL << 63U};
  CHECK(encode(Claim).size() <= 100);
}
