#pragma once

#include "app/FakeStore.h"
#include "jobs/CoordinatorHost.h"
#include "jobs/JobKeys.h"
#include "jobs/JobWorld.h"

#include <boost/leaf/handle_errors.hpp>
#include <deque>
#include <doctest/doctest.h>
#include <functional>
#include <optional>
#include <string_view>

namespace crocuslead::jobs::test {

//! Serves the configuration and the workers of a JobWorld.
class FixedFleet final : public FleetSource {
public:
  explicit FixedFleet(JobWorld &World) : World_(World) {}

  void setHooks(Hooks OnChange) override { Hooks_ = std::move(OnChange); }
  void tick() override {}
  void reload() override {}
  bool configLoaded() const override { return true; }
  const FleetConfig &config() const override { return World_.Config_; }
  const std::set<std::string> &unavailableDomains() const override {
    return Out_;
  }
  void watchWorkers(bool /*Enabled*/) override { readWorkers(); }
  //! Reads the registry again; workers without an id are not listed.
  void update() {
    readWorkers();
    Hooks_.WorkersChanged_();
  }
  bool workersLoaded() const override { return true; }
  const std::map<std::string, WorkerInfo> &workers() const override {
    return Workers_;
  }

private:
  void readWorkers() {
    Workers_.clear();
    for (const auto &[Id, Each] : World_.Workers_)
      if (!Each.Info_.Id_.empty())
        Workers_[Id] = Each.Info_;
  }

  JobWorld &World_;
  Hooks Hooks_;
  std::set<std::string> Out_;
  std::map<std::string, WorkerInfo> Workers_;
};

//! The path of one instance to a store that is shared with others.
class StorePath final : public store::KeyValueStore {
public:
  explicit StorePath(store::KeyValueStore &Store) : Store_(Store) {}

  //! Cuts the path. Watches of the prefix that are open go on; calls fail and
  //! other watches are silent.
  void cutExceptWatches(std::string_view Prefix) { OpenPrefix_ = Prefix; }
  //! Delivers the failures of calls.
  void run() {
    for (; !Failures_.empty(); Failures_.pop_front())
      Failures_.front()();
  }

  void range(std::string Key, std::string RangeEnd,
             store::Callback<store::RangeReply> Done) override {
    if (!fail(Done))
      Store_.range(std::move(Key), std::move(RangeEnd), std::move(Done));
  }
  void txn(store::Txn Request, store::Callback<store::TxnReply> Done) override {
    if (!fail(Done))
      Store_.txn(std::move(Request), std::move(Done));
  }
  std::unique_ptr<store::WatchHandle>
  watch(std::string Key, std::string RangeEnd, int64_t StartRevision,
        store::Callback<store::WatchBatch> OnBatch) override {
    return Store_.watch(
        Key, std::move(RangeEnd), StartRevision,
        [this, Key, OnBatch = std::move(OnBatch)](
            const store::StoreResult<store::WatchBatch> &Result) {
          if (!OpenPrefix_ || *OpenPrefix_ == Key)
            OnBatch(Result);
        });
  }
  void leaseGrant(std::chrono::seconds TimeToLive,
                  store::Callback<int64_t> Done) override {
    if (!fail(Done))
      Store_.leaseGrant(TimeToLive, std::move(Done));
  }
  void leaseKeepAlive(int64_t Lease, store::Callback<int64_t> Done) override {
    if (!fail(Done))
      Store_.leaseKeepAlive(Lease, std::move(Done));
  }
  void leaseRevoke(int64_t Lease, store::Callback<int64_t> Done) override {
    if (!fail(Done))
      Store_.leaseRevoke(Lease, std::move(Done));
  }

private:
  template <typename T> bool fail(const store::Callback<T> &Done) {
    if (OpenPrefix_)
      Failures_.push_back([Done] {
        Done(store::StoreError{true, "the path to the store is cut"});
      });
    return OpenPrefix_.has_value();
  }

  store::KeyValueStore &Store_;
  std::optional<std::string> OpenPrefix_;
  std::deque<std::function<void()>> Failures_;
};

//! One instance with its election and coordinator host on a fake store.
struct TestInstance {
  TestInstance(JobWorld &World, store::KeyValueStore &Store,
               const std::string &Name, uint64_t TokensPerTerm = 1)
      : Fleet_(World), Host_(Store, World, Fleet_, World.Clock_, World.Metrics_,
                             CoordinatorTimings()),
        Election_(Store, World.Clock_, World.Random_,
                  settings(Name, TokensPerTerm),
                  {[this](uint64_t Term) { Host_.startTerm(Term); },
                   [this](const char *) { Host_.endTerm(); }}) {
    Host_.setElection(Election_);
  }
  static ElectionSettings settings(const std::string &Name,
                                   uint64_t TokensPerTerm) {
    ElectionSettings Out{Name, Name + "-1", Name + ":1",
                         std::string(JobKeys::ElectionPrefix)};
    Out.TokensPerTerm_ = TokensPerTerm;
    return Out;
  }
  void tick() {
    Election_.tick();
    Host_.tick();
  }
  //! Resigns as a process does that is stopped as planned.
  void resign() {
    Election_.resign([] {}, Host_.prepareHandover());
  }

  FixedFleet Fleet_;
  CoordinatorHost Host_;
  Election Election_;
};

//! Workers and a fake store that the instances of a test share.
struct TestCluster {
  TestCluster() { World_.addWorker("w0"); }

  void run(TestInstance &Instance, base::Duration Time) {
    for (base::TimePoint End = World_.now() + Time; World_.now() < End;) {
      Instance.tick();
      Store_.run();
      World_.run(std::chrono::milliseconds(10));
    }
  }
  void submit(const std::string &Id, const JobSpec &Spec) {
    World_.Jobs_[Id] = {"visits", Spec, World_.Clock_.wallNow()};
    Store_.put(JobKeys::spec(Id), encode(World_.Jobs_[Id]));
  }
  JobProgress progress(const std::string &Id) {
    JobProgress Out;
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void> {
          BOOST_LEAF_ASSIGN(
              Out,
              decodeJobProgress(Store_.find(JobKeys::progress(Id))->Value_));
          return {};
        },
        [] { FAIL("cannot decode the stored job progress"); });
    return Out;
  }

  JobWorld World_;
  tests::FakeStore Store_;
};

} // namespace crocuslead::jobs::test
