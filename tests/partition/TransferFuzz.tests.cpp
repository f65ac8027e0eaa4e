#include "World.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace crocuslead;
using namespace crocuslead::partition;
using namespace crocuslead::partition::test;

namespace {

//! Two partitions that pass jobs to each other over a link that loses, delays
//! and repeats messages, with one oracle for both.
class Pair {
public:
  explicit Pair(uint64_t Seed)
      : Worlds_{{Seed, 2, "p1", &Rules_}, {Seed + 1000, 2, "p2", &Rules_}},
        Random_(Seed) {
    for (World &One : Worlds_)
      One.LoseAnswers_ = static_cast<int>(Random_.below(6));
  }

  void run(int Rounds) {
    advance(3000);
    for (int I = 0; I < Rounds && Rules_.Faults_.empty(); ++I) {
      round();
      advance(static_cast<int64_t>(500 + Random_.below(4000)));
    }
    settle();
  }

  Oracle Rules_;
  uint64_t Moves_ = 0;
  uint64_t HandOvers_ = 0;
  //! Breaks the rule that a job is let go only once its receiver has it.
  bool ForgeAcks_ = false;

private:
  void advance(int64_t Ms) {
    for (int64_t I = 0; I < Ms; I += 50) {
      for (int Side : {0, 1}) {
        Worlds_[Side].step();
        exchange(Side);
      }
    }
  }

  bool chance(uint64_t Percent) { return Random_.below(100) < Percent; }

  //! Delivers what one side has sent; lost offers are repeated by their owner.
  void exchange(int Side) {
    World &From = Worlds_[Side];
    World &To = Worlds_[1 - Side];
    for (const TransferAction &Offer : std::exchange(From.Offers_, {})) {
      if (ForgeAcks_ && From.current() != nullptr)
        From.current()->transferAccepted(Offer.JobId_, Offer.Number_,
                                         From.now());
      else
        Late_.push_back({1 - Side, Offer});
    }
    for (std::size_t I = 0; I < Late_.size();) {
      if (Late_[I].first != 1 - Side || chance(60)) {
        ++I;
        continue;
      }
      TransferAction Offer = Late_[I].second;
      if (!Faults_ || !chance(30))
        Late_.erase(Late_.begin() + static_cast<std::ptrdiff_t>(I));
      Partition *Owner = To.current();
      if (Owner != nullptr && !(Faults_ && chance(20)))
        Owner->transferOffered(From.Id_, Offer.Record_, Offer.Number_,
                               To.now());
      break;
    }
    for (const TransferAckAction &Ack : std::exchange(From.Acks_, {})) {
      Partition *Owner = To.current();
      if (Owner == nullptr || (Faults_ && chance(30)))
        continue;
      Owner->transferAccepted(Ack.JobId_, Ack.Number_, To.now());
      ++Moves_;
    }
  }

  void summarise() {
    for (int Side : {0, 1}) {
      Partition *Owner = Worlds_[Side].current();
      Partition *Other = Worlds_[1 - Side].current();
      if (Owner == nullptr || Other == nullptr)
        continue;
      PartitionSummary Room = Other->summary();
      // Summaries are late, so they often claim room that is gone.
      if (Faults_ && chance(40))
        Room.Free_ = {8000, 32'000, 0};
      Worlds_[Side].Peers_ = {Room};
      Owner->setPeerSummaries(Worlds_[Side].Peers_);
    }
  }

  void round() {
    summarise();
    World &One = Worlds_[Random_.below(2)];
    for (uint64_t I = Random_.below(4); I > 0; --I) {
      JobSpec Job =
          batchJob("j" + std::to_string(Jobs_++),
                   1 + static_cast<uint32_t>(Random_.below(6)),
                   1000 + static_cast<int64_t>(Random_.below(30'000)));
      Job.Urgent_ = chance(25);
      Job.Gang_ = chance(10);
      if (uint64_t Call = One.submit(Job))
        Calls_[Job.Id_] = {&One, Call};
    }
    if (chance(8))
      One.setDomain(chance(60) ? config::DomainState::InService
                               : config::DomainState::Out);
    if (chance(8)) {
      One.handOver();
      ++HandOvers_;
    }
    if (chance(6))
      One.kill();
    if (chance(5))
      One.pause(static_cast<int64_t>(Random_.below(40'000)));
    if (chance(5))
      One.StoreDown_ = !One.StoreDown_;
    if (chance(5))
      One.Workers_[Random_.below(2)].CutOff_ ^= true;
    if (chance(4))
      One.Workers_[Random_.below(2)].restart(Rules_);
    if (chance(5) && Jobs_ > 0)
      One.cancel("j" + std::to_string(Random_.below(Jobs_)));
    for (World &Each : Worlds_)
      if (chance(30))
        Each.takeOver();
    One.checkReplay();
  }

  void settle() {
    Faults_ = false;
    for (World &One : Worlds_) {
      One.StoreDown_ = false;
      One.LoseAnswers_ = 0;
      One.setDomain(config::DomainState::InService);
      for (FakeWorker &Each : One.Workers_)
        Each.CutOff_ = false;
    }
    for (int I = 0, Quiet = 0; I < 2000 && Quiet < 60; ++I) {
      for (World &One : Worlds_)
        One.takeOver();
      summarise();
      advance(1000);
      Quiet = done() ? Quiet + 1 : 0;
    }
    for (const auto &[Id, Call] : Calls_)
      if (Call.first->answered(Call.second))
        checkEnd(Id);
  }

  bool done() {
    for (World &One : Worlds_) {
      Partition *Owner = One.current();
      if (Owner == nullptr)
        return false;
      for (const JobView &Job : Owner->jobs())
        if (Job.State_ == JobState::Pending || Job.State_ == JobState::Running)
          return false;
    }
    return true;
  }

  //! An accepted job ends in exactly one partition.
  void checkEnd(const std::string &Id) {
    int Ends = 0;
    for (World &One : Worlds_) {
      Partition *Owner = One.current();
      auto Job = Owner == nullptr ? std::nullopt : Owner->job(Id);
      Ends += Job && (Job->State_ == JobState::Finished ||
                      Job->State_ == JobState::Cancelled ||
                      Job->State_ == JobState::Rejected);
    }
    if (Ends != 1)
      Rules_.fault(Id + " ended " + std::to_string(Ends) + " times");
  }

  World Worlds_[2];
  base::Random Random_;
  bool Faults_ = true;
  uint64_t Jobs_ = 0;
  std::vector<std::pair<int, TransferAction>> Late_;
  std::map<std::string, std::pair<World *, uint64_t>> Calls_;
};

} // namespace

// Guards against jobs that are lost, run twice or stay offered for ever when
// owners die, pause or hand over in the middle of a move.
TEST_CASE("no rule breaks while jobs move between two partitions") {
  uint64_t Moves = 0;
  uint64_t HandOvers = 0;
  for (uint64_t Seed = 1; Seed <= 40; ++Seed) {
    CAPTURE(Seed);
    Pair Both(Seed);
    Both.run(40);
    Moves += Both.Moves_;
    HandOvers += Both.HandOvers_;
    CHECK(Both.Rules_.text() == "");
  }
  CHECK(Moves > 400);
  CHECK(HandOvers > 40);
}

// Guards against an oracle that cannot fail: here a job is let go when it is
// offered, before its receiver has it.
TEST_CASE("the oracle finds a job that is let go too early") {
  uint64_t Found = 0;
  for (uint64_t Seed = 1; Seed <= 10 && Found == 0; ++Seed) {
    Pair Both(Seed);
    Both.ForgeAcks_ = true;
    Both.run(20);
    Found += Both.Rules_.Faults_.empty() ? 0 : 1;
  }
  CHECK(Found > 0);
}
