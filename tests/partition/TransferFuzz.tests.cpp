#include "World.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace crocuslead;
using namespace crocuslead::partition;
using namespace crocuslead::partition::test;

namespace {

//! Two partitions that transfer jobs to each other over a link that loses,
//! delays and duplicates messages, checked by one shared oracle.
class PartitionPair {
public:
  explicit PartitionPair(uint64_t Seed)
      : Worlds_{{Seed, 2, "p1", &Rules_}, {Seed + 1000, 2, "p2", &Rules_}},
        Random_(Seed) {
    for (World &Sim : Worlds_)
      Sim.LostMessagePercent_ = static_cast<int>(Random_.below(6));
  }

  void run(int Rounds) {
    advance(3000);
    for (int I = 0; I < Rounds && Rules_.Violations_.empty(); ++I) {
      runRound();
      advance(static_cast<int64_t>(500 + Random_.below(4000)));
    }
    settle();
  }

  Oracle Rules_;
  uint64_t Moves_ = 0;
  uint64_t Handovers_ = 0;
  //! Acknowledges offers before the receiver has the job, which violates the
  //! rule that the sender keeps a job until the receiver has it.
  bool ForgeAcks_ = false;

private:
  void advance(int64_t Ms) {
    for (int64_t I = 0; I < Ms; I += 50) {
      for (int Side : {0, 1}) {
        Worlds_[Side].step();
        deliverMessages(Side);
      }
    }
  }

  bool chance(uint64_t Percent) { return Random_.below(100) < Percent; }

  //! Delivers the messages that one side has sent. Lost offers are sent again
  //! by their owner.
  void deliverMessages(int Side) {
    World &From = Worlds_[Side];
    World &To = Worlds_[1 - Side];
    for (const TransferAction &Offer : std::exchange(From.Offers_, {})) {
      if (ForgeAcks_ && From.currentOwner() != nullptr)
        From.currentOwner()->transferAccepted(Offer.JobId_, Offer.Number_,
                                              From.now());
      else
        DelayedOffers_.push_back({1 - Side, Offer});
    }
    for (std::size_t I = 0; I < DelayedOffers_.size();) {
      if (DelayedOffers_[I].first != 1 - Side || chance(60)) {
        ++I;
        continue;
      }
      TransferAction Offer = DelayedOffers_[I].second;
      if (!FaultsEnabled_ || !chance(30))
        DelayedOffers_.erase(DelayedOffers_.begin() +
                             static_cast<std::ptrdiff_t>(I));
      Partition *Owner = To.currentOwner();
      if (Owner != nullptr && !(FaultsEnabled_ && chance(20)))
        Owner->transferOffered(From.Id_, Offer.Record_, Offer.Number_,
                               To.now());
      break;
    }
    for (const TransferAckAction &Ack : std::exchange(From.Acks_, {})) {
      Partition *Owner = To.currentOwner();
      if (Owner == nullptr || (FaultsEnabled_ && chance(30)))
        continue;
      Owner->transferAccepted(Ack.JobId_, Ack.Number_, To.now());
      ++Moves_;
    }
  }

  void exchangeSummaries() {
    for (int Side : {0, 1}) {
      Partition *Owner = Worlds_[Side].currentOwner();
      Partition *Other = Worlds_[1 - Side].currentOwner();
      if (Owner == nullptr || Other == nullptr)
        continue;
      PartitionSummary Summary = Other->summary();
      // Summaries are outdated on arrival, so they often report free capacity
      // that is no longer available.
      if (FaultsEnabled_ && chance(40))
        Summary.Free_ = {8000, 32'000, 0};
      Worlds_[Side].Peers_ = {Summary};
      Owner->setPeerSummaries(Worlds_[Side].Peers_);
    }
  }

  void runRound() {
    exchangeSummaries();
    World &Sim = Worlds_[Random_.below(2)];
    for (uint64_t I = Random_.below(4); I > 0; --I) {
      JobSpec Job =
          batchJob("j" + std::to_string(Jobs_++),
                   1 + static_cast<uint32_t>(Random_.below(6)),
                   1000 + static_cast<int64_t>(Random_.below(30'000)));
      Job.Urgent_ = chance(25);
      Job.Gang_ = chance(10);
      if (uint64_t Call = Sim.submit(Job))
        Calls_[Job.Id_] = {&Sim, Call};
    }
    if (chance(8))
      Sim.setDomainState(chance(60) ? config::DomainState::InService
                                    : config::DomainState::Out);
    if (chance(8)) {
      Sim.handOver();
      ++Handovers_;
    }
    if (chance(6))
      Sim.killOwner();
    if (chance(5))
      Sim.pauseOwner(static_cast<int64_t>(Random_.below(40'000)));
    if (chance(5))
      Sim.StoreDown_ = !Sim.StoreDown_;
    if (chance(5))
      Sim.Workers_[Random_.below(2)].DropsRequests_ ^= true;
    if (chance(4))
      Sim.Workers_[Random_.below(2)].restart(Rules_);
    if (chance(5) && Jobs_ > 0)
      Sim.cancel("j" + std::to_string(Random_.below(Jobs_)));
    for (World &Each : Worlds_)
      if (chance(30))
        Each.takeOver();
    Sim.checkReplay();
  }

  void settle() {
    FaultsEnabled_ = false;
    for (World &Sim : Worlds_) {
      Sim.StoreDown_ = false;
      Sim.LostMessagePercent_ = 0;
      Sim.setDomainState(config::DomainState::InService);
      for (FakeWorker &Worker : Sim.Workers_)
        Worker.DropsRequests_ = false;
    }
    for (int I = 0, QuietRounds = 0; I < 2000 && QuietRounds < 60; ++I) {
      for (World &Sim : Worlds_)
        Sim.takeOver();
      exchangeSummaries();
      advance(1000);
      QuietRounds = allJobsEnded() ? QuietRounds + 1 : 0;
    }
    for (const auto &[Id, Call] : Calls_)
      if (Call.first->succeeded(Call.second))
        checkEndsOnce(Id);
  }

  bool allJobsEnded() {
    for (World &Sim : Worlds_) {
      Partition *Owner = Sim.currentOwner();
      if (Owner == nullptr)
        return false;
      for (const JobView &Job : Owner->jobs())
        if (Job.State_ == JobState::Pending || Job.State_ == JobState::Running)
          return false;
    }
    return true;
  }

  //! Checks that an accepted job ends in exactly one partition.
  void checkEndsOnce(const std::string &Id) {
    int Ends = 0;
    for (World &Sim : Worlds_) {
      Partition *Owner = Sim.currentOwner();
      auto Job = Owner == nullptr ? std::nullopt : Owner->job(Id);
      Ends += Job && (Job->State_ == JobState::Finished ||
                      Job->State_ == JobState::Cancelled ||
                      Job->State_ == JobState::Rejected);
    }
    if (Ends != 1)
      Rules_.addViolation(Id + " ended " + std::to_string(Ends) + " times");
  }

  World Worlds_[2];
  base::Random Random_;
  bool FaultsEnabled_ = true;
  uint64_t Jobs_ = 0;
  std::vector<std::pair<int, TransferAction>> DelayedOffers_;
  std::map<std::string, std::pair<World *, uint64_t>> Calls_;
};

} // namespace

// Guards against jobs that are lost, run twice or stay offered forever when an
// owner crashes, pauses or hands over during a transfer.
TEST_CASE("no invariant is violated while jobs move between two partitions") {
  uint64_t Moves = 0;
  uint64_t Handovers = 0;
  for (uint64_t Seed = 1; Seed <= 40; ++Seed) {
    CAPTURE(Seed);
    PartitionPair Pair(Seed);
    Pair.run(40);
    Moves += Pair.Moves_;
    Handovers += Pair.Handovers_;
    CHECK(Pair.Rules_.firstViolation() == "");
  }
  CHECK(Moves > 400);
  CHECK(Handovers > 40);
}

// Guards against an oracle that cannot fail: here the sender gives a job up as
// soon as it offers it, before the receiver has it.
TEST_CASE("the oracle detects a job that its sender gives up too early") {
  uint64_t Detected = 0;
  for (uint64_t Seed = 1; Seed <= 10 && Detected == 0; ++Seed) {
    PartitionPair Pair(Seed);
    Pair.ForgeAcks_ = true;
    Pair.run(20);
    Detected += Pair.Rules_.Violations_.empty() ? 0 : 1;
  }
  CHECK(Detected > 0);
}
