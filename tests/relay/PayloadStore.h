#pragma once

#include "store/KeyValueStore.h"

#include <functional>
#include <string>
#include <utility>

namespace crocuslead::relay::test {

//! A store from which payloads are read; all other calls fail.
class PayloadStore final : public store::KeyValueStore {
public:
  using Reader = std::function<void(const std::string &Key,
                                    store::Callback<store::RangeReply> Done)>;

  explicit PayloadStore(Reader Read) : Read_(std::move(Read)) {}

  static store::StoreError failure() { return {false, "store is down"}; }
  static store::RangeReply found(const std::string &Key,
                                 const std::string &Value) {
    return {{{Key, Value, 1, 1, 1}}, 1};
  }

  void range(std::string Key, std::string /*RangeEnd*/,
             store::Callback<store::RangeReply> Done) override {
    Read_(Key, std::move(Done));
  }
  void txn(store::Txn /*Request*/,
           store::Callback<store::TxnReply> Done) override {
    Done(failure());
  }
  std::unique_ptr<store::WatchHandle>
  watch(std::string /*Key*/, std::string /*RangeEnd*/,
        int64_t /*StartRevision*/,
        store::Callback<store::WatchBatch> /*OnBatch*/) override {
    return nullptr;
  }
  void leaseGrant(std::chrono::seconds /*TimeToLive*/,
                  store::Callback<int64_t> Done) override {
    Done(failure());
  }
  void leaseKeepAlive(int64_t /*Lease*/,
                      store::Callback<int64_t> Done) override {
    Done(failure());
  }
  void leaseRevoke(int64_t /*Lease*/, store::Callback<int64_t> Done) override {
    Done(failure());
  }

private:
  Reader Read_;
};

} // namespace crocuslead::relay::test
