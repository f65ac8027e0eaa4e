#pragma once

#include "relay/Transport.h"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <iterator>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace crocuslead::relay::internal {

//! Collects messages to one address while earlier ones are on their way: the
//! slower the path, the more messages share an exchange.
template <typename Message>
class Outbox : public std::enable_shared_from_this<Outbox<Message>> {
public:
  //! Encodes the messages. May drop some of them.
  using Encoder = std::function<std::string(std::vector<Message> &)>;
  //! The answer to an exchange that has ended, and the time that it took.
  using Listener =
      std::function<void(const std::optional<std::string> &, base::Duration)>;

  // More exchanges at a time, because one takes a round trip.
  static constexpr std::size_t MaxExchanges = 4;
  // A larger one would delay what is more urgent and comes next.
  static constexpr std::size_t MaxBytesPerExchange = 16U << 10U;
  // Each exchange gets the time that its bytes take on a link of this rate.
  static constexpr std::size_t SlowestBytesPerSecond = 64U << 10U;

  Outbox(Transport &Out, const base::Clock &Clock, std::string Address,
         std::string Path, Encoder Encode, Listener OnEnd)
      : Out_(Out), Clock_(Clock), Address_(std::move(Address)),
        Path_(std::move(Path)), Encode_(std::move(Encode)),
        OnEnd_(std::move(OnEnd)) {}

  //! Messages of a lower rank go first. Bytes is the approximate size.
  void add(int Rank, std::size_t Bytes, Message Each) {
    auto At = std::upper_bound(
        Waiting_.begin(), Waiting_.end(), Rank,
        [](int Value, const Entry &Row) { return Value < Row.Rank_; });
    Waiting_.insert(At, {Rank, Bytes, std::move(Each)});
    if (std::exchange(FlushDeferred_, true))
      return;
    Out_.defer([Weak = this->weak_from_this()] {
      if (auto Self = Weak.lock()) {
        Self->FlushDeferred_ = false;
        Self->flush();
      }
    });
  }

  void setTimeout(base::Duration Timeout) { Timeout_ = Timeout; }
  const std::string &address() const { return Address_; }
  bool idle() const { return Waiting_.empty() && Exchanges_ == 0; }
  //! Calls back no more.
  void close() {
    Waiting_.clear();
    OnEnd_ = nullptr;
  }

private:
  struct Entry {
    int Rank_;
    std::size_t Bytes_;
    Message Message_;
  };

  std::vector<Message> takeBatch() {
    std::vector<Message> Out;
    std::size_t Bytes = 0;
    auto It = Waiting_.begin();
    for (; It != Waiting_.end(); ++It) {
      Bytes += It->Bytes_;
      if (!Out.empty() && Bytes > MaxBytesPerExchange)
        break;
      Out.push_back(std::move(It->Message_));
    }
    Waiting_.erase(Waiting_.begin(), It);
    return Out;
  }

  base::Duration timeoutFor(std::size_t Bytes) const {
    return Timeout_ + base::Duration(std::chrono::seconds(1)) *
                          static_cast<int64_t>(Bytes) /
                          static_cast<int64_t>(SlowestBytesPerSecond);
  }

  void flush() {
    while (OnEnd_ && Exchanges_ < MaxExchanges && !Waiting_.empty()) {
      std::vector<Message> Batch = takeBatch();
      std::string Body = Encode_(Batch);
      if (Batch.empty())
        continue;
      ++Exchanges_;
      base::Duration Timeout = timeoutFor(Body.size());
      Out_.post(Address_, Path_, std::move(Body), Timeout,
                [Self = this->shared_from_this(), SentAt = Clock_.now()](
                    const std::optional<std::string> &Answer) {
                  --Self->Exchanges_;
                  if (Self->OnEnd_)
                    Self->OnEnd_(Answer, Self->Clock_.now() - SentAt);
                  Self->flush();
                });
    }
  }

  Transport &Out_;
  const base::Clock &Clock_;
  std::string Address_;
  std::string Path_;
  Encoder Encode_;
  Listener OnEnd_;
  base::Duration Timeout_ = std::chrono::seconds(1);
  //! By rank, then in the order of add().
  std::vector<Entry> Waiting_;
  std::size_t Exchanges_ = 0;
  bool FlushDeferred_ = false;
};

} // namespace crocuslead::relay::internal
