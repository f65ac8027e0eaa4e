#include "app/ClaimService.h"

#include "base/Log.h"

#include <algorithm>

namespace crocuslead::app {

namespace {

constexpr auto CallTimeout = std::chrono::milliseconds(2000);
constexpr auto RepeatAfter = std::chrono::milliseconds(300);
constexpr auto ExpiryInterval = std::chrono::seconds(60);
constexpr std::size_t RowsPerMessage = 1000;

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

ClaimService::ClaimService(const Context &Shared, ClaimHooks Hooks)
    : Shared_(Shared), Hooks_(std::move(Hooks)) {}

void ClaimService::setPartitions(
    std::vector<partition::PartitionInfo> Partitions) {
  Partitions_ = std::move(Partitions);
}

std::string ClaimService::home(const std::string &Key) const {
  return Partitions_.empty() ? std::string()
                             : partition::homePartition(Key, Partitions_);
}

route::ClaimReply ClaimService::claimLocally(const std::string &Partition,
                                             const std::string &Key,
                                             uint64_t Fingerprint,
                                             const std::string &Executor) {
  auto Found = Tables_.find(Partition);
  if (Found == Tables_.end())
    return {};
  route::ClaimReply Reply = Found->second->claim(Key, Fingerprint, Executor,
                                                 Hooks_.OwnershipConfirmed_(),
                                                 Shared_.Clock_.wallNow());
  // The executor repeats its call when an answer was lost; it has not sent the
  // request yet, so the grant stands.
  if (Reply.Verdict_ == route::ClaimVerdict::InProgress &&
      Reply.Executor_ == Executor)
    Reply.Verdict_ = route::ClaimVerdict::Granted;
  return Reply;
}

void ClaimService::claim(const std::string &Key, uint64_t Fingerprint,
                         Callback Done) {
  bool Active =
      std::any_of(Calls_.begin(), Calls_.end(),
                  [&Key](const auto &Each) { return Each.second.Key_ == Key; });
  if (Active) {
    Done({route::ClaimVerdict::InProgress, Shared_.Settings_.InstanceId_});
    return;
  }
  base::TimePoint Now = Shared_.Clock_.now();
  uint64_t Number = NextCall_++;
  Call &Added = Calls_[Number];
  Added = {Key, Fingerprint, std::move(Done), Now + CallTimeout, Now};
  tryCall(Number, Added);
}

void ClaimService::tryCall(uint64_t Number, Call &Target) {
  Target.NextTry_ = Shared_.Clock_.now() + RepeatAfter;
  std::string Partition = home(Target.Key_);
  std::string Owner = Hooks_.OwnerOf_(Partition);
  if (Owner == Shared_.Settings_.InstanceId_ && Tables_.count(Partition) != 0) {
    route::ClaimReply Reply =
        claimLocally(Partition, Target.Key_, Target.Fingerprint_, Owner);
    Callback Done = std::move(Target.Done_);
    Calls_.erase(Number);
    Done(Reply);
    return;
  }
  if (!Owner.empty())
    Hooks_.Send_(Owner, link::ClaimRequest{Number, Partition, Target.Key_,
                                           Target.Fingerprint_});
}

void ClaimService::tick() {
  base::TimePoint Now = Shared_.Clock_.now();
  std::vector<uint64_t> Due;
  std::vector<uint64_t> Late;
  for (auto &[Number, Each] : Calls_) {
    if (Now >= Each.Deadline_)
      Late.push_back(Number);
    else if (Now >= Each.NextTry_)
      Due.push_back(Number);
  }
  for (uint64_t Number : Late) {
    Call Ended = std::move(Calls_[Number]);
    Calls_.erase(Number);
    // An unanswered claim may have been granted: spend the key, since this
    // caller is told that the outcome is unknown.
    finish(Ended.Key_, route::ClaimEnd::Unknown);
    Ended.Done_({route::ClaimVerdict::Unknown, ""});
  }
  for (uint64_t Number : Due) {
    auto Found = Calls_.find(Number);
    if (Found != Calls_.end())
      tryCall(Number, Found->second);
  }
  if (Now < NextExpiry_)
    return;
  NextExpiry_ = Now + ExpiryInterval;
  for (auto &[Partition, Table] : Tables_)
    Table->expire(Shared_.Clock_.wallNow());
}

void ClaimService::finish(const std::string &Key, route::ClaimEnd End) {
  std::string Partition = home(Key);
  std::string Owner = Hooks_.OwnerOf_(Partition);
  auto Table = Tables_.find(Partition);
  if (Table != Tables_.end())
    Table->second->finish(Key, Shared_.Settings_.InstanceId_, End);
  else if (!Owner.empty())
    Hooks_.Send_(Owner,
                 link::ClaimDone{Partition, Key, static_cast<uint8_t>(End)});
}

void ClaimService::partitionAcquired(const std::string &Partition,
                                     int64_t PriorEpoch) {
  auto Table = std::make_unique<route::ClaimTable>(Shared_.Clock_.wallNow());
  auto Found = Incoming_.find(Partition);
  if (Found != Incoming_.end() && Found->second.Complete_ &&
      Found->second.FormerEpoch_ == PriorEpoch) {
    base::logEvent(
        base::LogLevel::Info, "claims-taken-over",
        {{"partition", Partition},
         {"claims", static_cast<int64_t>(Found->second.Rows_.size())}});
    Table->takeOver(std::move(Found->second.Rows_), Found->second.KnownSince_);
  }
  Incoming_.erase(Partition);
  Tables_[Partition] = std::move(Table);
}

void ClaimService::partitionLost(const std::string &Partition) {
  Tables_.erase(Partition);
}

void ClaimService::handOver(const std::string &Partition, int64_t Epoch,
                            const std::string &NextOwner) {
  auto Found = Tables_.find(Partition);
  if (Found == Tables_.end())
    return;
  int64_t KnownSince = Found->second->knownSince().time_since_epoch().count();
  std::vector<route::ClaimEntry> Rows = Found->second->handOver();
  if (NextOwner.empty())
    return;
  std::size_t Sent = 0;
  do {
    link::ClaimTransfer Message{Partition, Epoch, KnownSince, {}, false};
    for (; Sent < Rows.size() && Message.Rows_.size() < RowsPerMessage; ++Sent)
      Message.Rows_.push_back(toRow(Rows[Sent]));
    Message.Last_ = Sent == Rows.size();
    if (!Hooks_.Send_(NextOwner, Message))
      return;
  } while (Sent < Rows.size());
}

void ClaimService::received(const std::string &Peer,
                            const link::ClaimRequest &Message) {
  if (Tables_.count(Message.Partition_) == 0)
    return;
  route::ClaimReply Reply = claimLocally(Message.Partition_, Message.Key_,
                                         Message.Fingerprint_, Peer);
  Hooks_.Send_(Peer, link::ClaimAnswer{Message.Call_,
                                       static_cast<uint8_t>(Reply.Verdict_),
                                       Reply.Executor_});
}

void ClaimService::received(const std::string & /*Peer*/,
                            const link::ClaimAnswer &Message) {
  constexpr auto LastVerdict =
      static_cast<uint8_t>(route::ClaimVerdict::BadIssueTime);
  auto Found = Calls_.find(Message.Call_);
  if (Found == Calls_.end() || Message.Verdict_ > LastVerdict)
    return;
  Callback Done = std::move(Found->second.Done_);
  Calls_.erase(Found);
  Done({static_cast<route::ClaimVerdict>(Message.Verdict_), Message.Executor_});
}

void ClaimService::received(const std::string &Peer,
                            const link::ClaimDone &Message) {
  auto Found = Tables_.find(Message.Partition_);
  constexpr auto LastEnd = static_cast<uint8_t>(route::ClaimEnd::Unknown);
  if (Found != Tables_.end() && Message.End_ <= LastEnd)
    Found->second->finish(Message.Key_, Peer,
                          static_cast<route::ClaimEnd>(Message.End_));
}

void ClaimService::received(const std::string & /*Peer*/,
                            const link::ClaimTransfer &Message) {
  Incoming &Target = Incoming_[Message.Partition_];
  if (Target.FormerEpoch_ != Message.FormerEpoch_)
    Target = {Message.FormerEpoch_,
              base::WallTime(std::chrono::milliseconds(Message.KnownSinceMs_)),
              {},
              false};
  for (const link::ClaimRow &Row : Message.Rows_)
    Target.Rows_.push_back(fromRow(Row));
  Target.Complete_ = Message.Last_;
}

std::size_t ClaimService::tableSize() const {
  std::size_t Sum = 0;
  for (const auto &[Partition, Table] : Tables_)
    Sum += Table->size();
  return Sum;
}

} // namespace crocuslead::app
