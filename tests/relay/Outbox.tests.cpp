#include "relay/internal/Outbox.h"
#include "base/Random.h"
#include "relay/RelayFakes.h"
#include "relay/internal/ClockLead.h"

#include <rapidcheck.h>

#include <memory>

namespace crocuslead::relay::test {

namespace {

using Box = internal::Outbox<std::string>;

//! An Outbox of words; a message is their concatenation.
struct Fixture {
  Fixture() {
    Outbox_ = std::make_shared<Box>(
        Out_, Clock_, "10.0.0.1:7720", "/path",
        [this](std::vector<std::string> &Words) {
          std::string Body;
          for (auto It = Words.begin(); It != Words.end();)
            if (*It == Dropped_) {
              It = Words.erase(It);
            } else {
              Body += *It++;
            }
          return Body;
        },
        [this](const std::optional<std::string> &Answer, base::Duration Took) {
          Ended_.push_back({Answer, Took});
        });
  }

  struct End {
    std::optional<std::string> Answer_;
    base::Duration Took_{};
  };

  base::ManualClock Clock_;
  FakeTransport Out_;
  std::string Dropped_ = "-";
  std::vector<End> Ended_;
  std::shared_ptr<Box> Outbox_;
};

} // namespace

TEST_CASE("Messages of a lower rank go first, those of one rank in order") {
  Fixture F;
  for (auto [Rank, Word] : {std::pair{2, "start1 "},
                            {1, "poll1 "},
                            {2, "start2 "},
                            {0, "stop1 "},
                            {1, "poll2 "},
                            {0, "stop2 "}})
    F.Outbox_->add(Rank, 1, Word);
  F.Out_.settle();
  REQUIRE(F.Out_.Posts_.size() == 1);
  CHECK(F.Out_.Posts_[0].Body_ == "stop1 stop2 poll1 poll2 start1 start2 ");
  CHECK(F.Out_.Posts_[0].Address_ == "10.0.0.1:7720");
  CHECK(F.Out_.Posts_[0].Path_ == "/path");
}

TEST_CASE("Messages that are added together share one deferred flush") {
  Fixture F;
  for (int I = 0; I < 10; ++I)
    F.Outbox_->add(0, 1, "x");
  CHECK(F.Out_.Posts_.empty());
  CHECK(F.Out_.Deferred_.size() == 1);
  F.Out_.settle();
  CHECK(F.Out_.Posts_.size() == 1);
  F.Outbox_->add(0, 1, "y");
  CHECK(F.Out_.Deferred_.size() == 1);
  F.Out_.settle();
  CHECK(F.Out_.Posts_.size() == 2);
}

TEST_CASE("Messages wait for a free exchange and then leave together") {
  Fixture F;
  for (std::size_t I = 0; I < Box::MaxExchanges; ++I) {
    F.Outbox_->add(1, 1, "x");
    F.Out_.settle();
  }
  F.Outbox_->add(2, 1, "start");
  F.Out_.settle();
  F.Outbox_->add(0, 1, "stop ");
  F.Out_.settle();
  REQUIRE(F.Out_.Posts_.size() == Box::MaxExchanges);
  F.Clock_.advance(milliseconds(30));
  F.Out_.Posts_[2].answer("ok");
  REQUIRE(F.Out_.Posts_.size() == Box::MaxExchanges + 1);
  CHECK(F.Out_.Posts_.back().Body_ == "stop start");
  REQUIRE(F.Ended_.size() == 1);
  CHECK(F.Ended_[0].Answer_ == "ok");
  CHECK(F.Ended_[0].Took_ == milliseconds(30));
}

TEST_CASE("An exchange that failed makes room for the next one") {
  Fixture F;
  for (std::size_t I = 0; I < Box::MaxExchanges + 1; ++I) {
    F.Outbox_->add(0, 1, "x");
    F.Out_.settle();
  }
  F.Out_.Posts_[0].answer(std::nullopt);
  CHECK(F.Out_.Posts_.size() == Box::MaxExchanges + 1);
  CHECK(!F.Ended_.at(0).Answer_);
}

TEST_CASE(
    "A batch has no more than the maximum number of bytes, or one message") {
  Fixture F;
  constexpr std::size_t Half = Box::MaxBytesPerExchange / 2;
  F.Outbox_->add(0, Half, "a");
  F.Outbox_->add(0, Half, "b");
  F.Outbox_->add(0, 1, "c");
  F.Outbox_->add(0, 3 * Half, "d");
  F.Out_.settle();
  REQUIRE(F.Out_.Posts_.size() == 3);
  CHECK(F.Out_.Posts_[0].Body_ == "ab");
  CHECK(F.Out_.Posts_[1].Body_ == "c");
  CHECK(F.Out_.Posts_[2].Body_ == "d");
}

TEST_CASE("A larger message has more time") {
  Fixture F;
  F.Outbox_->setTimeout(milliseconds(400));
  F.Outbox_->add(0, 1, std::string(Box::SlowestBytesPerSecond / 2, 'x'));
  F.Out_.settle();
  CHECK(F.Out_.Posts_.at(0).Timeout_ == milliseconds(900));
}

TEST_CASE("Nothing is sent if the encoder drops all messages") {
  Fixture F;
  F.Outbox_->add(0, 1, "-");
  F.Out_.settle();
  CHECK(F.Out_.Posts_.empty());
  CHECK(F.Outbox_->idle());
  F.Outbox_->add(0, 1, "-");
  F.Outbox_->add(0, 1, "x");
  F.Out_.settle();
  REQUIRE(F.Out_.Posts_.size() == 1);
  CHECK(F.Out_.Posts_[0].Body_ == "x");
  F.Out_.Posts_[0].answer("");
  CHECK(F.Ended_.size() == 1);
}

TEST_CASE("A closed outbox sends nothing and calls back no more") {
  Fixture F;
  F.Outbox_->add(0, 1, "x");
  F.Out_.settle();
  F.Outbox_->add(0, 1, "y");
  F.Outbox_->close();
  F.Out_.settle();
  F.Out_.Posts_[0].answer("ok");
  CHECK(F.Out_.Posts_.size() == 1);
  CHECK(F.Ended_.empty());
}

TEST_CASE("An outbox that is gone before its flush sends nothing") {
  Fixture F;
  F.Outbox_->add(0, 1, "x");
  F.Outbox_.reset();
  F.Out_.settle();
  CHECK(F.Out_.Posts_.empty());
}

TEST_CASE("Without a reading the other clock is unknown") {
  internal::ClockLead Lead;
  CHECK(!Lead.toOther(base::TimePoint(seconds(1))));
}

TEST_CASE("The reading that took the shortest time counts") {
  internal::ClockLead Lead;
  base::TimePoint Start{seconds(100)};
  for (int Delay : {40, 5, 200}) {
    Lead.record(7'000, Start + milliseconds(Delay));
    Start += milliseconds(1);
  }
  CHECK(Lead.toOther(base::TimePoint(seconds(101))) == 7'993);
}

TEST_CASE("A reading is dropped after two periods, so that a clock that falls "
          "behind is followed") {
  internal::ClockLead Lead;
  auto At = [](int S) { return base::TimePoint(seconds(S)); };
  Lead.record(1'000'500, At(1'000));
  Lead.record(1'003'000, At(1'003));
  CHECK(Lead.toOther(At(1'004)) == 1'004'499);
  Lead.record(1'006'000, At(1'006));
  CHECK(Lead.toOther(At(1'007)) == 1'007'499);
  Lead.record(1'012'000, At(1'012));
  CHECK(Lead.toOther(At(1'013)) == 1'012'999);
}

TEST_CASE("A time on the other clock is never later than the true one") {
  CHECK(rc::check([](uint64_t Seed, int64_t OffsetMs) {
    base::Random Random(Seed);
    base::Duration Offset = milliseconds(OffsetMs % 1'000'000'000) +
                            base::Duration(Random.below(1'000));
    internal::ClockLead Lead;
    base::TimePoint Now{std::chrono::hours(1'000)};
    for (int I = 0; I < 50; ++I) {
      Now += base::Duration(Random.below(900'000));
      base::Duration Delay(
          Random.below(Random.below(10) == 0 ? 3'000'000 : 60'000));
      auto Taken = (Now - Delay + Offset).time_since_epoch();
      Lead.record(base::toMillis(Taken), Now);
      base::TimePoint At = Now + base::Duration(Random.below(600'000));
      auto True = (At + Offset).time_since_epoch();
      RC_ASSERT(milliseconds(*Lead.toOther(At)) <= True);
    }
  }));
}

} // namespace crocuslead::relay::test
