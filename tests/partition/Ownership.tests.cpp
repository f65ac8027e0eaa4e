#include "partition/Ownership.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <memory>
#include <rapidcheck.h>

using namespace crocuslead;
using namespace crocuslead::partition;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

base::TimePoint at(int64_t Ms) { return base::TimePoint(milliseconds(Ms)); }

std::vector<PartitionInfo> partitions(int Count) {
  std::vector<PartitionInfo> Out;
  for (int I = 0; I < Count; ++I)
    Out.push_back({"p" + std::to_string(I), "d", I % 2 == 0 ? "r1" : "r2"});
  return Out;
}

std::vector<LiveInstance> instances(int Count) {
  std::vector<LiveInstance> Out;
  for (int I = 0; I < Count; ++I)
    Out.push_back({"i" + std::to_string(I), I % 2 == 0 ? "r1" : "r2", true});
  return Out;
}

//! Instances that compete for the owner keys of one store.
struct InstanceFleet {
  std::map<std::string, OwnerRecord> Owners_;
  std::vector<std::unique_ptr<Ownership>> Instances_;
  std::vector<LiveInstance> Live_;
  int64_t NowMs_ = 100'000;

  explicit InstanceFleet(int Count) : Live_(instances(Count)) {
    for (const LiveInstance &One : Live_)
      Instances_.push_back(std::make_unique<Ownership>(
          One.Id_, "x", partitions(16), at(NowMs_)));
  }
  std::vector<OwnershipActionKind> runRound(bool StoreReachable = true) {
    std::vector<OwnershipActionKind> Out;
    NowMs_ += 500;
    for (std::size_t I = 0; I < Instances_.size(); ++I) {
      Ownership &One = *Instances_[I];
      One.setLiveInstances(Live_);
      if (StoreReachable) {
        One.setOwners(Owners_);
        One.leaseRenewed(at(NowMs_), seconds(15));
      }
      for (const OwnershipAction &Action : One.step(at(NowMs_))) {
        Out.push_back(Action.Kind_);
        if (Action.Kind_ == OwnershipActionKind::Acquire)
          One.acquireFinished(
              Action.Partition_,
              Owners_
                  .try_emplace(Action.Partition_,
                               OwnerRecord{Live_[I].Id_, "x", 1})
                  .second,
              at(NowMs_));
        if (Action.Kind_ == OwnershipActionKind::Yield) {
          Owners_.erase(Action.Partition_);
          One.yieldFinished(Action.Partition_);
        }
      }
    }
    return Out;
  }
  std::size_t runRounds(int Count) {
    std::size_t Steps = 0;
    for (int I = 0; I < Count; ++I)
      Steps += runRound().size();
    return Steps;
  }
};

} // namespace

// Guards against partitions that stay without an owner and against an
// overloaded instance.
TEST_CASE("live instances own all partitions, each at most its maximum") {
  rc::check([] {
    int Count = *rc::gen::inRange(1, 9);
    InstanceFleet Fleet(Count);
    Fleet.runRounds(40);
    RC_ASSERT(Fleet.Owners_.size() == 16U);
    std::map<std::string, int> Load;
    for (const auto &[Id, Owner] : Fleet.Owners_)
      ++Load[Owner.Instance_];
    int MaxOwned = (16 + Count - 1) / Count + 1;
    for (const auto &[Id, Owned] : Load)
      RC_ASSERT(Owned <= MaxOwned);
    RC_ASSERT(Fleet.runRounds(40) == 0U);
  });
}

// Guards against owners that renew worker leases over the link between regions.
TEST_CASE("partitions are owned within their region while it has instances") {
  InstanceFleet Fleet(8);
  Fleet.runRounds(40);
  for (const PartitionInfo &One : partitions(16)) {
    std::string Owner = Fleet.Owners_[One.Id_].Instance_;
    CHECK(Fleet.Live_[std::stoul(Owner.substr(1))].Region_ == One.Region_);
  }
}

TEST_CASE("no partition is acquired within 4 s of a start or a store outage") {
  InstanceFleet Fleet(1);
  for (int I = 0; I < 7; ++I)
    CHECK(Fleet.runRound().empty());
  CHECK(Fleet.runRound().size() == 16);
  CHECK(Fleet.runRound().empty());
  Fleet.Owners_.clear();
  CHECK(Fleet.runRound().size() == 16);
  Fleet.Instances_[0]->storeRegained(at(Fleet.NowMs_));
  for (int I = 0; I < 7; ++I)
    CHECK(Fleet.runRound().empty());
  CHECK(Fleet.runRound().size() == 16);
}

TEST_CASE("an owner yields at most one partition per 10 s") {
  InstanceFleet Fleet(1);
  Fleet.runRounds(10);
  Fleet.Live_ = instances(2);
  Fleet.Instances_.push_back(
      std::make_unique<Ownership>("i1", "x", partitions(16), at(Fleet.NowMs_)));
  Fleet.runRounds(8);
  for (int Window = 0; Window < 4; ++Window) {
    int Yields = 0;
    for (int I = 0; I < 20; ++I) {
      auto Steps = Fleet.runRound();
      Yields += static_cast<int>(
          std::count(Steps.begin(), Steps.end(), OwnershipActionKind::Yield));
    }
    CHECK(Yields == 1);
  }
}

TEST_CASE("a draining instance yields all partitions and acquires none") {
  InstanceFleet Fleet(2);
  Fleet.runRounds(20);
  Fleet.Live_[0].Accepting_ = false;
  Fleet.Instances_[0]->beginDrain();
  Fleet.runRounds(20);
  CHECK(Fleet.Owners_.size() == 16);
  for (const auto &[Id, Owner] : Fleet.Owners_)
    CHECK(Owner.Instance_ == "i1");
}

// Guards against an owner that continues after its epoch has ended, and against
// one that abandons its partitions during a store outage, which would end their
// tasks after 60 s.
TEST_CASE("an owner abandons when the store reports a loss, not in an outage") {
  InstanceFleet Fleet(1);
  Fleet.runRounds(10);
  for (int I = 0; I < 200; ++I)
    CHECK(Fleet.runRound(false).empty());
  CHECK_FALSE(Fleet.Instances_[0]->leaseConfirmed(at(Fleet.NowMs_)));
  Fleet.Owners_["p3"] = {"i9", "y", 7};
  CHECK(Fleet.runRound() ==
        std::vector<OwnershipActionKind>{OwnershipActionKind::Abandon});
  Fleet.Instances_[0]->leaseRenewed(at(Fleet.NowMs_), seconds(0));
  CHECK(Fleet.Instances_[0]->step(at(Fleet.NowMs_)).size() == 15);
}

TEST_CASE("the store lease counts as valid until 2 s before its end") {
  Ownership One("i0", "x", partitions(1), at(0));
  One.leaseRenewed(at(1000), seconds(15));
  CHECK(One.leaseConfirmed(at(13'999)));
  CHECK_FALSE(One.leaseConfirmed(at(14'000)));
}

TEST_CASE("a home partition changes only when that partition is removed") {
  auto All = partitions(16);
  auto AllButLast = All;
  AllButLast.pop_back();
  for (int I = 0; I < 200; ++I) {
    std::string Key = "job-" + std::to_string(I);
    std::string Home = homePartition(Key, All);
    if (Home != All.back().Id_)
      CHECK(homePartition(Key, AllButLast) == Home);
  }
  CHECK(homePartition("x", {}).empty());
}
