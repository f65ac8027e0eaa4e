#include "store/EtcdStore.h"

#include "base/NameTable.h"
#include "http/Client.h"
#include "store/internal/EtcdCodec.h"
#include "store/internal/EtcdWatch.h"

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <unordered_map>

namespace crocuslead::store {

namespace {

using http::ExchangeFailure;
using http::ExchangeResult;

constexpr auto KindNames = base::makeNameTable<CallKind>(
    {{CallKind::Range, "range"},
     {CallKind::Txn, "txn"},
     {CallKind::Watch, "watch"},
     {CallKind::LeaseGrant, "lease-grant"},
     {CallKind::LeaseKeepAlive, "lease-keep-alive"},
     {CallKind::LeaseRevoke, "lease-revoke"}});

constexpr int StatusOk = 200;
constexpr int StatusRequestTimeout = 408;
constexpr int FirstServerError = 500;

//! Whether a change may have taken effect although the call failed. Statuses
//! from 500 on include the store's own timeouts, after which a change can still
//! take effect.
bool mayHaveApplied(const ExchangeResult &Result) {
  if (Result.Failure_ != ExchangeFailure::None)
    return Result.Failure_ != ExchangeFailure::ConnectFailed;
  int Status = Result.Answer_.Status_;
  return Status < 400 || Status == StatusRequestTimeout ||
         Status >= FirstServerError;
}

std::string describe(const ExchangeResult &Result) {
  if (Result.Failure_ != ExchangeFailure::None)
    return "store call failed: " + Result.Detail_;
  return "store answered " + std::to_string(Result.Answer_.Status_) + ": " +
         internal::decodeErrorMessage(Result.Answer_.Body_);
}

template <typename T>
StoreResult<T> interpret(const ExchangeResult &Result, bool IsWrite,
                         internal::Decoded<T> (*Decode)(std::string_view)) {
  if (Result.Failure_ != ExchangeFailure::None ||
      Result.Answer_.Status_ != StatusOk)
    return StoreError{IsWrite && mayHaveApplied(Result), describe(Result)};
  auto Decoded = Decode(Result.Answer_.Body_);
  if (Decoded.index() == 0)
    return std::move(std::get<0>(Decoded));
  return StoreError{IsWrite,
                    "store answer is malformed: " + std::get<1>(Decoded)};
}

class EtcdStore final : public KeyValueStore {
public:
  EtcdStore(http::Client &Client, std::string BaseUrl,
            std::shared_ptr<StoreCounters> Counters, base::Duration Timeout)
      : Client_(Client), BaseUrl_(std::move(BaseUrl)),
        Counters_(std::move(Counters)), Timeout_(Timeout) {
    while (!BaseUrl_.empty() && BaseUrl_.back() == '/')
      BaseUrl_.pop_back();
    if (!Counters_)
      Counters_ = std::make_shared<StoreCounters>();
  }

  void range(std::string Key, std::string RangeEnd,
             Callback<RangeReply> Done) override {
    call(CallKind::Range, "/v3/kv/range", internal::encodeRange(Key, RangeEnd),
         &internal::decodeRange, std::move(Done));
  }
  void txn(Txn Request, Callback<TxnReply> Done) override {
    call(CallKind::Txn, "/v3/kv/txn", internal::encodeTxn(Request),
         &internal::decodeTxn, std::move(Done));
  }
  std::unique_ptr<WatchHandle> watch(std::string Key, std::string RangeEnd,
                                     int64_t StartRevision,
                                     Callback<WatchBatch> OnBatch) override {
    ++Counters_->of(CallKind::Watch).Calls_;
    return internal::openWatch(
        Client_,
        request("/v3/watch",
                internal::encodeWatch(Key, RangeEnd, StartRevision)),
        Counters_, std::move(OnBatch));
  }
  void leaseGrant(std::chrono::seconds TimeToLive,
                  Callback<int64_t> Done) override {
    call(CallKind::LeaseGrant, "/v3/lease/grant",
         internal::encodeLeaseGrant(TimeToLive.count()),
         &internal::decodeLeaseGrant, std::move(Done));
  }
  void leaseKeepAlive(int64_t Lease, Callback<int64_t> Done) override {
    call(CallKind::LeaseKeepAlive, "/v3/lease/keepalive",
         internal::encodeLeaseId(Lease), &internal::decodeLeaseKeepAlive,
         std::move(Done));
  }
  void leaseRevoke(int64_t Lease, Callback<int64_t> Done) override {
    call(CallKind::LeaseRevoke, "/v3/lease/revoke",
         internal::encodeLeaseId(Lease), &internal::decodeLeaseRevoke,
         std::move(Done));
  }

private:
  http::ClientRequest request(const char *Path, std::string Body) const {
    http::ClientRequest Made;
    Made.Method_ = "POST";
    Made.Url_ = BaseUrl_ + Path;
    Made.Headers_ = {{"Content-Type", "application/json"}};
    Made.Body_ = std::move(Body);
    Made.Timeout_ = Timeout_;
    Made.ConnectTimeout_ = std::min(Made.ConnectTimeout_, Timeout_);
    return Made;
  }

  template <typename T>
  void call(CallKind Kind, const char *Path, std::string Body,
            internal::Decoded<T> (*Decode)(std::string_view),
            Callback<T> Done) {
    ++Counters_->of(Kind).Calls_;
    uint64_t Number = ++LastCall_;
    Running_[Number] = Client_.send(
        request(Path, std::move(Body)),
        [this, Kind, Number, Decode,
         Done = std::move(Done)](const ExchangeResult &Result) {
          auto Reply = interpret<T>(Result, Kind != CallKind::Range, Decode);
          CallCounters &Count = Counters_->of(Kind);
          Count.BytesSent_ += Result.BytesSent_;
          Count.BytesReceived_ += Result.BytesReceived_;
          Count.Failures_ += Reply.index() == 1 ? 1 : 0;
          Running_.erase(Number);
          // The receiver may destroy this store.
          Done(std::move(Reply));
        });
  }

  http::Client &Client_;
  std::string BaseUrl_;
  std::shared_ptr<StoreCounters> Counters_;
  base::Duration Timeout_;
  uint64_t LastCall_ = 0;
  std::unordered_map<uint64_t, std::unique_ptr<http::Exchange>> Running_;
};

} // namespace

std::string_view callKindName(CallKind Kind) { return KindNames.name(Kind); }

std::unique_ptr<KeyValueStore>
makeEtcdStore(http::Client &Client, asio::io_context & /*Loop*/,
              std::string BaseUrl, std::shared_ptr<StoreCounters> Counters,
              base::Duration CallTimeout) {
  return std::make_unique<EtcdStore>(Client, std::move(BaseUrl),
                                     std::move(Counters), CallTimeout);
}

} // namespace crocuslead::store
