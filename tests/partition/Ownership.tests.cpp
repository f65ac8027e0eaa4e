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

//! Instances against one store of owner keys.
struct Fleet {
  std::map<std::string, OwnerRecord> Owners_;
  std::vector<std::unique_ptr<Ownership>> All_;
  std::vector<LiveInstance> Live_;
  int64_t NowMs_ = 100'000;

  explicit Fleet(int Count) : Live_(instances(Count)) {
    for (const LiveInstance &One : Live_)
      All_.push_back(std::make_unique<Ownership>(One.Id_, "x", partitions(16),
                                                 at(NowMs_)));
  }
  std::vector<OwnershipActionKind> round(bool Store = true) {
    std::vector<OwnershipActionKind> Out;
    NowMs_ += 500;
    for (std::size_t I = 0; I < All_.size(); ++I) {
      Ownership &One = *All_[I];
      One.setLiveInstances(Live_);
      if (Store) {
        One.setOwners(Owners_);
        One.leaseRenewed(at(NowMs_), seconds(15));
      }
      for (const OwnershipAction &Step : One.step(at(NowMs_))) {
        Out.push_back(Step.Kind_);
        if (Step.Kind_ == OwnershipActionKind::Acquire)
          One.acquireFinished(
              Step.Partition_,
              Owners_
                  .try_emplace(Step.Partition_,
                               OwnerRecord{Live_[I].Id_, "x", 1})
                  .second,
              at(NowMs_));
        if (Step.Kind_ == OwnershipActionKind::Yield) {
          Owners_.erase(Step.Partition_);
          One.yieldFinished(Step.Partition_);
        }
      }
    }
    return Out;
  }
  std::size_t rounds(int Count) {
    std::size_t Steps = 0;
    for (int I = 0; I < Count; ++I)
      Steps += round().size();
    return Steps;
  }
};

} // namespace

// Guards against partitions without an owner, an overloaded instance, and
// owners that renew their workers over the link between regions.
TEST_CASE("live instances share all partitions within the cap") {
  rc::check([] {
    int Count = *rc::gen::inRange(1, 9);
    Fleet F(Count);
    F.rounds(40);
    RC_ASSERT(F.Owners_.size() == 16U);
    std::map<std::string, int> Load;
    for (const auto &[Id, Owner] : F.Owners_)
      ++Load[Owner.Instance_];
    int Cap = (16 + Count - 1) / Count + 1;
    for (const auto &[Id, Owned] : Load)
      RC_ASSERT(Owned <= Cap);
    RC_ASSERT(F.rounds(40) == 0U);
  });
}

TEST_CASE("partitions stay in their region while it has instances") {
  Fleet F(8);
  F.rounds(40);
  for (const PartitionInfo &One : partitions(16)) {
    std::string Owner = F.Owners_[One.Id_].Instance_;
    CHECK(F.Live_[std::stoul(Owner.substr(1))].Region_ == One.Region_);
  }
}

TEST_CASE("nothing is acquired within 4 s of start and of the store's return") {
  Fleet F(1);
  for (int I = 0; I < 7; ++I)
    CHECK(F.round().empty());
  CHECK(F.round().size() == 16);
  CHECK(F.round().empty());
  F.Owners_.clear();
  CHECK(F.round().size() == 16);
  F.All_[0]->storeRegained(at(F.NowMs_));
  for (int I = 0; I < 7; ++I)
    CHECK(F.round().empty());
  CHECK(F.round().size() == 16);
}

TEST_CASE("an owner yields at most one partition in 10 s") {
  Fleet F(1);
  F.rounds(10);
  F.Live_ = instances(2);
  F.All_.push_back(
      std::make_unique<Ownership>("i1", "x", partitions(16), at(F.NowMs_)));
  F.rounds(8);
  for (int Window = 0; Window < 4; ++Window) {
    int Yields = 0;
    for (int I = 0; I < 20; ++I) {
      auto Steps = F.round();
      Yields += static_cast<int>(
          std::count(Steps.begin(), Steps.end(), OwnershipActionKind::Yield));
    }
    CHECK(Yields == 1);
  }
}

TEST_CASE("a draining instance gives everything away and acquires nothing") {
  Fleet F(2);
  F.rounds(20);
  F.Live_[0].Accepting_ = false;
  F.All_[0]->beginDrain();
  F.rounds(20);
  CHECK(F.Owners_.size() == 16);
  for (const auto &[Id, Owner] : F.Owners_)
    CHECK(Owner.Instance_ == "i1");
}

// Guards against an owner that goes on after its epoch, and against one that
// gives up in an outage, which would end its tasks after 60 s.
TEST_CASE("an owner abandons on the store's word and not in an outage") {
  Fleet F(1);
  F.rounds(10);
  for (int I = 0; I < 200; ++I)
    CHECK(F.round(false).empty());
  CHECK_FALSE(F.All_[0]->leaseConfirmed(at(F.NowMs_)));
  F.Owners_["p3"] = {"i9", "y", 7};
  CHECK(F.round() ==
        std::vector<OwnershipActionKind>{OwnershipActionKind::Abandon});
  F.All_[0]->leaseRenewed(at(F.NowMs_), seconds(0));
  CHECK(F.All_[0]->step(at(F.NowMs_)).size() == 15);
}

TEST_CASE("the lease is confirmed until 2 s before its end") {
  Ownership One("i0", "x", partitions(1), at(0));
  One.leaseRenewed(at(1000), seconds(15));
  CHECK(One.leaseConfirmed(at(13'999)));
  CHECK_FALSE(One.leaseConfirmed(at(14'000)));
}

TEST_CASE("a home partition moves only when its own partition goes") {
  auto All = partitions(16);
  auto Fewer = All;
  Fewer.pop_back();
  for (int I = 0; I < 200; ++I) {
    std::string Key = "job-" + std::to_string(I);
    std::string Home = homePartition(Key, All);
    if (Home != All.back().Id_)
      CHECK(homePartition(Key, Fewer) == Home);
  }
  CHECK(homePartition("x", {}).empty());
}
