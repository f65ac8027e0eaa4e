#include "app/ClaimService.h"

#include "base/Log.h"

#include <algorithm>

namespace crocuslead::app {

namespace {

constexpr auto CallTimeout = std::chrono::milliseconds(2000);
constexpr auto RepeatAfter = std::chrono::milliseconds(300);
constexpr auto ExpiryInterval = std::chrono::seconds(60);
// A call is repeated only until it times out, so a grant needs its call for
// little longer.
constexpr auto RememberCall = std::chrono::seconds(10);
// An owner change takes the store lease (15 s) and an acquisition.
constexpr auto RepeatReportsFor = std::chrono::seconds(30);
constexpr auto ReportInterval = std::chrono::seconds(1);
constexpr std::size_t MaxReports = 20'000;

} // namespace

ClaimService::ClaimService(const Context &Shared, ClaimHooks Hooks)
    : Shared_(Shared), Hooks_(std::move(Hooks)), Sender_(Hooks_.Send_),
      // Numbers of successive processes differ: an answer or a grant to the
      // former process must not count for a call of this one.
      NextCall_(Shared.Random_.next() >> 1U) {}

void ClaimService::setPartitions(
    std::vector<partition::PartitionInfo> Partitions) {
  Partitions_ = std::move(Partitions);
}

std::string ClaimService::home(const std::string &Key) const {
  return Partitions_.empty() ? std::string()
                             : partition::homePartition(Key, Partitions_);
}

route::ClaimReply ClaimService::claimLocally(Owned &Target, uint64_t Call,
                                             const std::string &Key,
                                             uint64_t Fingerprint,
                                             const std::string &Executor) {
  base::TimePoint Now = Shared_.Clock_.now();
  route::ClaimReply Reply = Target.Table_.claim(Key, Fingerprint, Executor,
                                                Hooks_.OwnershipConfirmed_(),
                                                Shared_.Clock_.wallNow());
  if (Reply.Verdict_ == route::ClaimVerdict::Granted) {
    Target.GrantedCalls_[Key] = Call;
    Target.GrantOrder_.emplace_back(Now, Key);
    return Reply;
  }
  // The executor repeats its call when an answer was lost: the grant stands for
  // this call. Another call of the same executor is another request, and the
  // first may have run.
  auto Granted = Target.GrantedCalls_.find(Key);
  if (Reply.Verdict_ == route::ClaimVerdict::InProgress &&
      Reply.Executor_ == Executor && Granted != Target.GrantedCalls_.end() &&
      Granted->second == Call)
    Reply.Verdict_ = route::ClaimVerdict::Granted;
  return Reply;
}

void ClaimService::claim(const std::string &Key, uint64_t Fingerprint,
                         Callback Done) {
  const std::string &Self = Shared_.Settings_.InstanceId_;
  if (auto Known = Executed_.find(Key, Fingerprint, Self)) {
    Done(*Known);
    return;
  }
  bool Active =
      std::any_of(Calls_.begin(), Calls_.end(),
                  [&Key](const auto &Each) { return Each.second.Key_ == Key; });
  if (Active) {
    Done({route::ClaimVerdict::InProgress, Self});
    return;
  }
  base::TimePoint Now = Shared_.Clock_.now();
  uint64_t Number = NextCall_++;
  Call &Added = Calls_[Number];
  Added = {Key, Fingerprint, std::move(Done), Now + CallTimeout, Now};
  tryCall(Number, Added);
}

void ClaimService::endCall(uint64_t Number, const route::ClaimReply &Reply) {
  auto Found = Calls_.find(Number);
  if (Found == Calls_.end())
    return;
  Call Ended = std::move(Found->second);
  Calls_.erase(Found);
  if (Reply.Verdict_ == route::ClaimVerdict::Granted)
    Executed_.granted(Ended.Key_, Ended.Fingerprint_);
  Ended.Done_(Reply);
}

void ClaimService::tryCall(uint64_t Number, Call &Target) {
  Target.NextTry_ = Shared_.Clock_.now() + RepeatAfter;
  std::string Partition = home(Target.Key_);
  std::string Owner = Hooks_.OwnerOf_(Partition);
  if (Owner == Shared_.Settings_.InstanceId_) {
    // Without a table the partition is being handed over.
    auto Table = Tables_.find(Partition);
    if (Table != Tables_.end())
      endCall(Number, claimLocally(Table->second, Number, Target.Key_,
                                   Target.Fingerprint_, Owner));
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
    // An unanswered claim may have been granted: spend the key, since this
    // caller is told that the outcome is unknown.
    finish(Calls_[Number].Key_, route::ClaimEnd::Unknown);
    endCall(Number, {route::ClaimVerdict::Unknown, ""});
  }
  for (uint64_t Number : Due) {
    auto Found = Calls_.find(Number);
    if (Found != Calls_.end())
      tryCall(Number, Found->second);
  }
  Sender_.tick(Now);
  if (Now >= NextReports_) {
    NextReports_ = Now + ReportInterval;
    repeatReports();
    forgetOldCalls();
    Receiver_.expire(Now);
  }
  if (Now < NextExpiry_)
    return;
  NextExpiry_ = Now + ExpiryInterval;
  for (auto &[Partition, Each] : Tables_)
    Each.Table_.expire(Shared_.Clock_.wallNow());
}

void ClaimService::forgetOldCalls() {
  base::TimePoint Oldest = Shared_.Clock_.now() - RememberCall;
  for (auto &[Partition, Each] : Tables_)
    while (!Each.GrantOrder_.empty() &&
           Each.GrantOrder_.front().first < Oldest) {
      Each.GrantedCalls_.erase(Each.GrantOrder_.front().second);
      Each.GrantOrder_.pop_front();
    }
}

void ClaimService::finish(const std::string &Key, route::ClaimEnd End) {
  Executed_.ended(Key, End);
  Reports_.push_back({Key, End, sendReport(Key, End),
                      Shared_.Clock_.now() + RepeatReportsFor});
  if (Reports_.size() > MaxReports)
    Reports_.pop_front();
}

std::string ClaimService::sendReport(const std::string &Key,
                                     route::ClaimEnd End) {
  std::string Partition = home(Key);
  std::string Owner = Hooks_.OwnerOf_(Partition);
  auto Table = Tables_.find(Partition);
  if (Table != Tables_.end()) {
    Table->second.Table_.finish(Key, Shared_.Settings_.InstanceId_, End);
    return Shared_.Settings_.InstanceId_;
  }
  bool Sent = !Owner.empty() && Owner != Shared_.Settings_.InstanceId_ &&
              Hooks_.Send_(Owner, link::ClaimDone{Partition, Key,
                                                  static_cast<uint8_t>(End)});
  return Sent ? Owner : std::string();
}

// A table that was handed over may lack the ends that were reported to the
// former owner meanwhile.
void ClaimService::repeatReports() {
  base::TimePoint Now = Shared_.Clock_.now();
  while (!Reports_.empty() && Now >= Reports_.front().Until_)
    Reports_.pop_front();
  for (Report &Each : Reports_)
    if (Each.SentTo_.empty() ||
        Hooks_.OwnerOf_(home(Each.Key_)) != Each.SentTo_)
      Each.SentTo_ = sendReport(Each.Key_, Each.End_);
}

void ClaimService::takeHandedTable(const std::string &Partition,
                                   Owned &Target) {
  auto Handed = Receiver_.take(Partition, Target.PriorEpoch_);
  if (!Handed)
    return;
  base::logEvent(base::LogLevel::Info, "claims-taken-over",
                 {{"partition", Partition},
                  {"claims", static_cast<int64_t>(Handed->Entries_.size())}});
  Target.Table_.takeOver(std::move(Handed->Entries_), Handed->KnownSince_);
}

void ClaimService::partitionAcquired(const std::string &Partition,
                                     int64_t PriorEpoch) {
  Tables_.erase(Partition);
  base::WallTime Start = Shared_.Clock_.wallNow();
  // Before the first term of a partition its keys had another home. An instance
  // that is cut off with the former list of partitions may grant them there
  // until its store lease has ended.
  if (PriorEpoch == 0)
    Start += std::chrono::seconds(Shared_.Settings_.StoreLeaseSeconds_);
  auto Added = Tables_.try_emplace(Partition, Start, PriorEpoch);
  takeHandedTable(Partition, Added.first->second);
}

void ClaimService::partitionLost(const std::string &Partition) {
  Tables_.erase(Partition);
}

void ClaimService::handOver(const std::string &Partition, int64_t Epoch,
                            const std::string &NextOwner) {
  auto Found = Tables_.find(Partition);
  if (Found == Tables_.end())
    return;
  HandedTable Table;
  Table.KnownSince_ = Found->second.Table_.knownSince();
  Table.Entries_ = Found->second.Table_.handOver();
  Tables_.erase(Found);
  if (!NextOwner.empty() && NextOwner != Shared_.Settings_.InstanceId_)
    Sender_.start(Partition, Epoch, NextOwner, std::move(Table),
                  Shared_.Clock_.now());
}

void ClaimService::received(const std::string &Peer,
                            const link::ClaimRequest &Message) {
  auto Found = Tables_.find(Message.Partition_);
  if (Found == Tables_.end())
    return;
  route::ClaimReply Reply = claimLocally(
      Found->second, Message.Call_, Message.Key_, Message.Fingerprint_, Peer);
  Hooks_.Send_(Peer, link::ClaimAnswer{Message.Call_,
                                       static_cast<uint8_t>(Reply.Verdict_),
                                       Reply.Executor_});
}

void ClaimService::received(const std::string & /*Peer*/,
                            const link::ClaimAnswer &Message) {
  constexpr auto LastVerdict =
      static_cast<uint8_t>(route::ClaimVerdict::BadIssueTime);
  if (Message.Verdict_ <= LastVerdict)
    endCall(Message.Call_, {static_cast<route::ClaimVerdict>(Message.Verdict_),
                            Message.Executor_});
}

void ClaimService::received(const std::string &Peer,
                            const link::ClaimDone &Message) {
  auto Found = Tables_.find(Message.Partition_);
  constexpr auto LastEnd = static_cast<uint8_t>(route::ClaimEnd::Unknown);
  if (Found != Tables_.end() && Message.End_ <= LastEnd)
    Found->second.Table_.finish(Message.Key_, Peer,
                                static_cast<route::ClaimEnd>(Message.End_));
}

void ClaimService::received(const std::string & /*Peer*/,
                            const link::ClaimTransfer &Message) {
  Receiver_.received(Message, Shared_.Clock_.now());
  // The store may be faster than the link: the table can arrive after the
  // acquisition.
  auto Found = Tables_.find(Message.Partition_);
  if (Found != Tables_.end())
    takeHandedTable(Message.Partition_, Found->second);
}

std::size_t ClaimService::tableSize() const {
  std::size_t Sum = 0;
  for (const auto &[Partition, Each] : Tables_)
    Sum += Each.Table_.size();
  return Sum;
}

} // namespace crocuslead::app
