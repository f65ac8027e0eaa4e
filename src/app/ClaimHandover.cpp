#include "app/ClaimHandover.h"

#include <algorithm>

namespace crocuslead::app {

namespace {

// About 80 KB, a part of the link's queue of 1 MiB.
constexpr std::size_t RowsPerMessage = 1000;
// 200,000 claims of about 80 B cross the narrow link in about 5 s.
constexpr auto SendLimit = std::chrono::seconds(10);
constexpr auto KeepReceived = std::chrono::minutes(1);

link::ClaimRow toRow(const route::ClaimEntry &Entry) {
  link::ClaimRow Row;
  Row.Key_ = Entry.Key_;
  Row.Fingerprint_ = Entry.Fingerprint_;
  Row.Executor_ = Entry.Executor_;
  Row.IssuedMs_ = Entry.Issued_.time_since_epoch().count();
  Row.End_ =
      Entry.End_ ? static_cast<uint8_t>(static_cast<int>(*Entry.End_) + 1) : 0;
  return Row;
}

route::ClaimEntry fromRow(const link::ClaimRow &Row) {
  route::ClaimEntry Entry;
  Entry.Key_ = Row.Key_;
  Entry.Fingerprint_ = Row.Fingerprint_;
  Entry.Executor_ = Row.Executor_;
  Entry.Issued_ = base::WallTime(std::chrono::milliseconds(Row.IssuedMs_));
  if (Row.End_ > 0)
    Entry.End_ = static_cast<route::ClaimEnd>(std::min(Row.End_ - 1, 2));
  return Entry;
}

} // namespace

void ClaimSender::start(const std::string &Partition, int64_t Epoch,
                        const std::string &NextOwner, HandedTable Table,
                        base::TimePoint Now) {
  Tables_[Partition] = {Epoch, NextOwner, std::move(Table), 0, Now + SendLimit};
  tick(Now);
}

bool ClaimSender::sendMore(const std::string &Partition, Sending &Target) {
  const std::vector<route::ClaimEntry> &Rows = Target.Table_.Entries_;
  for (;;) {
    link::ClaimTransfer Message;
    Message.Partition_ = Partition;
    Message.FormerEpoch_ = Target.Epoch_;
    Message.KnownSinceMs_ =
        Target.Table_.KnownSince_.time_since_epoch().count();
    Message.FirstRow_ = static_cast<uint32_t>(Target.Sent_);
    std::size_t End = std::min(Target.Sent_ + RowsPerMessage, Rows.size());
    for (std::size_t I = Target.Sent_; I < End; ++I)
      Message.Rows_.push_back(toRow(Rows[I]));
    Message.Last_ = End == Rows.size();
    if (!Send_(Target.NextOwner_, Message))
      return false;
    Target.Sent_ = End;
    if (End == Rows.size())
      return true;
  }
}

void ClaimSender::tick(base::TimePoint Now) {
  for (auto It = Tables_.begin(); It != Tables_.end();) {
    bool Ended = sendMore(It->first, It->second) || Now >= It->second.Deadline_;
    It = Ended ? Tables_.erase(It) : std::next(It);
  }
}

void ClaimReceiver::received(const link::ClaimTransfer &Message,
                             base::TimePoint Now) {
  Receiving &Target = Tables_[Message.Partition_];
  if (Target.Epoch_ != Message.FormerEpoch_) {
    Target = {};
    Target.Epoch_ = Message.FormerEpoch_;
    Target.Table_.KnownSince_ =
        base::WallTime(std::chrono::milliseconds(Message.KnownSinceMs_));
  }
  Target.At_ = Now;
  std::vector<route::ClaimEntry> &Rows = Target.Table_.Entries_;
  if (Target.Complete_ || Message.FirstRow_ != Rows.size())
    Target.Broken_ = true;
  for (const link::ClaimRow &Row : Message.Rows_)
    Rows.push_back(fromRow(Row));
  Target.Complete_ = Message.Last_;
}

std::optional<HandedTable> ClaimReceiver::take(const std::string &Partition,
                                               int64_t Epoch) {
  auto Found = Tables_.find(Partition);
  if (Found == Tables_.end() || Found->second.Epoch_ != Epoch ||
      Found->second.Broken_ || !Found->second.Complete_)
    return std::nullopt;
  HandedTable Out = std::move(Found->second.Table_);
  Tables_.erase(Found);
  return Out;
}

void ClaimReceiver::expire(base::TimePoint Now) {
  for (auto It = Tables_.begin(); It != Tables_.end();)
    It =
        Now - It->second.At_ > KeepReceived ? Tables_.erase(It) : std::next(It);
}

} // namespace crocuslead::app
