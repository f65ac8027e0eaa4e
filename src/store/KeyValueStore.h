#pragma once

#include "base/Clock.h"
#include "base/Error.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace crocuslead::store {

//! A stored value with the store's revisions. Revisions grow over the whole
//! store.
struct KeyValue {
  std::string Key_;
  std::string Value_;
  int64_t CreateRevision_ = 0;
  int64_t ModRevision_ = 0;
  int64_t Version_ = 0;
};

enum class CompareTarget : uint8_t { CreateRevision, ModRevision, Version };

//! Holds when the target of Key_ equals Value_. An absent key has 0 in every
//! target.
struct Compare {
  std::string Key_;
  CompareTarget Target_ = CompareTarget::ModRevision;
  int64_t Value_ = 0;
};

struct Put {
  std::string Key_;
  std::string Value_;
  //! Lease that the key is attached to; 0 for none.
  int64_t Lease_ = 0;
};

//! Deletes Key_, or every key in [Key_, RangeEnd_) when RangeEnd_ is not empty.
struct Delete {
  std::string Key_;
  std::string RangeEnd_;
};

//! Puts and deletes that take effect together if every compare holds.
struct Txn {
  std::vector<Compare> Compares_;
  std::vector<Put> Puts_;
  std::vector<Delete> Deletes_;
};

struct TxnReply {
  bool Succeeded_ = false;
  int64_t Revision_ = 0;
};

struct RangeReply {
  std::vector<KeyValue> Values_;
  //! Revision of the whole store at the time of the read.
  int64_t Revision_ = 0;
};

//! A failed store call.
struct StoreError {
  //! True when the change may have taken effect: the caller must read back.
  bool MayHaveApplied_ = false;
  std::string Message_;
};

template <typename T> using StoreResult = std::variant<T, StoreError>;
template <typename T> using Callback = std::function<void(StoreResult<T>)>;

//! One event of a watch; an empty Values_ with Deleted_ set is a deletion.
struct WatchEvent {
  KeyValue Value_;
  bool Deleted_ = false;
};

//! Without events, it only confirms that nothing changed up to Revision_.
struct WatchBatch {
  std::vector<WatchEvent> Events_;
  int64_t Revision_ = 0;
  //! For how long the answer was on its way after it began to arrive.
  base::Duration Age_{};
};

//! Keeps a watch open; destroying it cancels the watch.
class WatchHandle {
public:
  WatchHandle() = default;
  WatchHandle(const WatchHandle &) = delete;
  WatchHandle &operator=(const WatchHandle &) = delete;
  virtual ~WatchHandle() = default;
};

//! The platform's key-value service. All calls are asynchronous; callbacks run
//! on the event loop. A call fails by itself after the adapter's timeout.
class KeyValueStore {
public:
  KeyValueStore() = default;
  KeyValueStore(const KeyValueStore &) = delete;
  KeyValueStore &operator=(const KeyValueStore &) = delete;
  virtual ~KeyValueStore() = default;

  //! Reads Key, or all keys in [Key, RangeEnd) when RangeEnd is not empty.
  virtual void range(std::string Key, std::string RangeEnd,
                     Callback<RangeReply> Done) = 0;
  virtual void txn(Txn Request, Callback<TxnReply> Done) = 0;
  //! Streams changes in [Key, RangeEnd) from StartRevision on. OnBatch gets an
  //! error once when the stream ends; the caller then reads the range and
  //! watches again.
  virtual std::unique_ptr<WatchHandle> watch(std::string Key,
                                             std::string RangeEnd,
                                             int64_t StartRevision,
                                             Callback<WatchBatch> OnBatch) = 0;
  //! Grants a lease; the reply is its id.
  virtual void leaseGrant(std::chrono::seconds TimeToLive,
                          Callback<int64_t> Done) = 0;
  //! Renews a lease; the reply is the remaining time in seconds, 0 when the
  //! lease has ended.
  virtual void leaseKeepAlive(int64_t Lease, Callback<int64_t> Done) = 0;
  virtual void leaseRevoke(int64_t Lease, Callback<int64_t> Done) = 0;
};

//! End of the range that holds every key with this prefix.
std::string prefixEnd(std::string Prefix);

} // namespace crocuslead::store
