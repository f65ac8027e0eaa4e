#include "partition/internal/Journal.h"

#include "base/Hash.h"
#include "partition/internal/Codec.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <map>

namespace crocuslead::partition {

namespace {

//! Less than the store's limit of 1 MB per value.
constexpr std::size_t MaxValueBytes = 900'000;
//! Size limit of one batch. When the queue is larger, urgent entries are sent
//! first.
constexpr std::size_t MaxBatchBytes = 256 << 10;
constexpr base::Duration RetryDelay = std::chrono::milliseconds(200);

//! Entries that affect all jobs must not be reordered with any other entry.
bool isBarrier(const JournalEntry &Entry) {
  return Entry.Kind_ == EntryKind::Accrue || Entry.Kind_ == EntryKind::Prune;
}

bool isStart(const StagedEntry &Entry) {
  return Entry.Entry_.Kind_ == EntryKind::Start;
}

std::string numberedKey(const std::string &Prefix, uint64_t Number) {
  char Buffer[24];
  std::snprintf(Buffer, sizeof(Buffer), "%012llu",
                static_cast<unsigned long long>(Number));
  return Prefix + Buffer;
}

std::string directoryOf(const std::string &OwnerKey) {
  return OwnerKey.substr(0, OwnerKey.rfind('/') + 1);
}

} // namespace

Journal::Journal(const PartitionSettings &Settings, DurableState &State,
                 Callbacks Handlers)
    : Settings_(Settings), State_(State), Callbacks_(std::move(Handlers)),
      Prefix_(Settings.KeyPrefix_.empty() ? directoryOf(Settings.OwnerKey_)
                                          : Settings.KeyPrefix_),
      Random_(Settings.Seed_ ^
              base::stableHash(Settings.Id_,
                               static_cast<uint64_t>(Settings.Epoch_))) {}

std::string Journal::journalKey(uint64_t Number) const {
  return numberedKey(Prefix_ + "journal/", Number);
}

bool Journal::recover(const std::vector<store::KeyValue> &Stored) {
  if (!recoverSnapshot(Stored))
    return false;
  std::map<std::string, const store::KeyValue *> Batches;
  std::string FirstKey = journalKey(NextBatchNumber_);
  std::string JournalPrefix = Prefix_ + "journal/";
  for (const store::KeyValue &Value : Stored)
    if (Value.Key_.compare(0, JournalPrefix.size(), JournalPrefix) == 0 &&
        Value.Key_ >= FirstKey)
      Batches[Value.Key_] = &Value;
  for (const auto &[Key, Value] : Batches) {
    // A gap in the numbers means that a committed batch is missing.
    if (Key != journalKey(NextBatchNumber_) || !replay(*Value))
      return false;
    ++NextBatchNumber_;
  }
  return true;
}

bool Journal::recoverSnapshot(const std::vector<store::KeyValue> &Stored) {
  std::map<std::string, const store::KeyValue *> Parts;
  std::string SnapshotKey = Prefix_ + "snapshot";
  for (const store::KeyValue &Value : Stored)
    if (Value.Key_ == SnapshotKey ||
        Value.Key_.compare(0, SnapshotKey.size() + 1, SnapshotKey + "/") == 0)
      Parts[Value.Key_] = &Value;
  auto FirstPart = Parts.find(SnapshotKey);
  if (FirstPart == Parts.end())
    return Parts.empty();
  SnapshotVersion_ = FirstPart->second->Version_;
  std::string Bytes;
  for (const auto &[Key, Value] : Parts)
    Bytes += Value->Value_;
  return decodeSnapshot(Bytes, State_, NextBatchNumber_);
}

bool Journal::replay(const store::KeyValue &Stored) {
  auto Decoded = decodeBatch(Stored.Value_);
  if (!Decoded)
    return false;
  for (const JournalEntry &Entry : Decoded->Entries_)
    if (!State_.apply(Entry))
      return false;
  ++BatchesSinceSnapshot_;
  BytesSinceSnapshot_ += Stored.Value_.size();
  return true;
}

void Journal::stage(StagedEntry Entry) {
  Entry.Bytes_ = encodeEntry(Entry.Entry_);
  QueueBytes_ += Entry.Bytes_.size();
  Queue_.push_back(std::move(Entry));
}

void Journal::setDomainsRevision(int64_t Revision) {
  if (Revision == DomainsRevision_)
    return;
  DomainsRevision_ = Revision;
  StartsBlocked_ = false;
  withdrawStarts(Queue_);
  QueueBytes_ = 0;
  for (const StagedEntry &Entry : Queue_)
    QueueBytes_ += Entry.Bytes_.size();
}

void Journal::withdrawStarts(std::deque<StagedEntry> &Entries) {
  for (const StagedEntry &Entry : Entries)
    if (isStart(Entry))
      Callbacks_.OnStartWithdrawn_(Entry.Entry_);
  Entries.erase(std::remove_if(Entries.begin(), Entries.end(), isStart),
                Entries.end());
}

bool Journal::hasStarts() const {
  return std::any_of(Batch_.begin(), Batch_.end(), isStart);
}

void Journal::tick(base::TimePoint Now) {
  if (Fenced_)
    return;
  if (Phase_ == Phase::Retry && Now >= RetryAt_)
    send(Now);
  if (Phase_ != Phase::Idle || Queue_.empty() || Now < NextSendAt_)
    return;
  takeBatch();
  NextSendAt_ = Now + Settings_.Times_.CommitInterval_;
  Nonce_ = Random_.next();
  buildTxn();
  send(Now);
}

void Journal::takeBatch() {
  IncludesSnapshot_ =
      BatchesSinceSnapshot_ >= Settings_.SnapshotAfterBatches_ ||
      BytesSinceSnapshot_ >= Settings_.SnapshotAfterBytes_;
  // A snapshot contains the effect of all staged entries, so it commits the
  // whole queue.
  if (!IncludesSnapshot_ && QueueBytes_ > MaxBatchBytes) {
    takeLimitedBatch();
    return;
  }
  Batch_.swap(Queue_);
  QueueBytes_ = 0;
}

// Either all entries of a job are urgent or none is, so taking urgent entries
// first preserves the order within each job.
void Journal::takeLimitedBatch() {
  std::size_t End = 0;
  while (End < Queue_.size() && !isBarrier(Queue_[End].Entry_))
    ++End;
  End = std::max<std::size_t>(End, 1);
  std::vector<bool> Taken(Queue_.size(), false);
  std::size_t Bytes = 0;
  for (bool Urgent : {true, false})
    for (std::size_t I = 0; I < End && Bytes < MaxBatchBytes; ++I)
      if (Queue_[I].Urgent_ == Urgent) {
        Bytes += Queue_[I].Bytes_.size();
        Taken[I] = true;
        Batch_.push_back(std::move(Queue_[I]));
      }
  std::deque<StagedEntry> Remaining;
  for (std::size_t I = 0; I < Queue_.size(); ++I)
    if (!Taken[I])
      Remaining.push_back(std::move(Queue_[I]));
  Queue_.swap(Remaining);
  QueueBytes_ -= Bytes;
}

void Journal::buildTxn() {
  Txn_ = {};
  Txn_.Compares_ = {
      {Settings_.OwnerKey_, store::CompareTarget::CreateRevision,
       Settings_.Epoch_},
      {journalKey(NextBatchNumber_), store::CompareTarget::CreateRevision, 0},
      {Prefix_ + "snapshot", store::CompareTarget::Version, SnapshotVersion_}};
  BatchDomainsRevision_ = DomainsRevision_;
  if (hasStarts())
    Txn_.Compares_.push_back({Settings_.DomainsKey_,
                              store::CompareTarget::ModRevision,
                              DomainsRevision_});
  std::vector<std::string> Entries;
  if (IncludesSnapshot_)
    addSnapshot();
  else
    for (const StagedEntry &Entry : Batch_)
      Entries.push_back(Entry.Bytes_);
  Txn_.Puts_.push_back(
      {journalKey(NextBatchNumber_), encodeBatch(Nonce_, Entries), 0});
}

void Journal::addSnapshot() {
  std::string Bytes = encodeSnapshot(State_, NextBatchNumber_ + 1);
  std::string PartsPrefix = Prefix_ + "snapshot/";
  Txn_.Puts_.push_back(
      {Prefix_ + "snapshot", Bytes.substr(0, MaxValueBytes), 0});
  uint64_t Part = 1;
  for (std::size_t Offset = MaxValueBytes; Offset < Bytes.size();
       Offset += MaxValueBytes, ++Part)
    Txn_.Puts_.push_back({numberedKey(PartsPrefix, Part),
                          Bytes.substr(Offset, MaxValueBytes), 0});
  // The deleted ranges exclude the keys that this transaction puts.
  Txn_.Deletes_.push_back(
      {numberedKey(PartsPrefix, Part), store::prefixEnd(PartsPrefix)});
  Txn_.Deletes_.push_back({journalKey(0), journalKey(NextBatchNumber_)});
}

void Journal::send(base::TimePoint Now) {
  Phase_ = Phase::Sent;
  SentAt_ = Now;
  Callbacks_.EmitAction_(CommitAction{++Sequence_, Txn_});
}

void Journal::commitDone(uint64_t Sequence, CommitStatus Status,
                         base::TimePoint Now) {
  if (Fenced_ || Phase_ != Phase::Sent || Sequence != Sequence_)
    return;
  switch (Status) {
  case CommitStatus::Committed:
    Callbacks_.OnStoreContact_(SentAt_);
    batchCommitted(Now);
    return;
  case CommitStatus::CompareFailed:
    Callbacks_.OnStoreContact_(SentAt_);
    CompareFailed_ = true;
    readBack();
    return;
  case CommitStatus::Uncertain:
    readBack();
    return;
  case CommitStatus::NotApplied:
    Phase_ = Phase::Retry;
    RetryAt_ = Now + RetryDelay;
    return;
  }
}

void Journal::readBack() {
  Phase_ = Phase::ReadingBack;
  Callbacks_.EmitAction_(
      ReadBackAction{++Sequence_, journalKey(NextBatchNumber_)});
}

void Journal::readBackDone(uint64_t Sequence,
                           const std::optional<store::KeyValue> &Found,
                           base::TimePoint Now) {
  if (Fenced_ || Phase_ != Phase::ReadingBack || Sequence != Sequence_)
    return;
  if (Found) {
    auto Decoded = decodeBatch(Found->Value_);
    if (Decoded && Decoded->Nonce_ == Nonce_)
      batchCommitted(Now);
    else
      fence();
    return;
  }
  if (!CompareFailed_) {
    // The commit may still be in transit. Sending the same batch with the same
    // compares again is safe: at most one of the two can be applied.
    Phase_ = Phase::Retry;
    RetryAt_ = Now;
    return;
  }
  if (!hasStarts()) {
    fence();
    return;
  }
  withdrawBatchStarts();
  send(Now);
}

// A compare failed and the journal key does not exist, so either the domain
// states have changed or the epoch has ended. Neither can be reverted, so the
// refused batch can never be applied later. Committing the remaining batch,
// even an empty one, shows which of the two happened.
void Journal::withdrawBatchStarts() {
  CompareFailed_ = false;
  // A newer revision may have been set while the batch was in flight.
  StartsBlocked_ = BatchDomainsRevision_ == DomainsRevision_;
  withdrawStarts(Batch_);
  if (IncludesSnapshot_) {
    withdrawStarts(Queue_);
    for (StagedEntry &Entry : Queue_)
      Batch_.push_back(std::move(Entry));
    Queue_.clear();
    QueueBytes_ = 0;
  }
  Nonce_ = Random_.next();
  buildTxn();
  if (StartsBlocked_)
    Callbacks_.EmitAction_(RefreshConfigAction{});
}

void Journal::batchCommitted(base::TimePoint Now) {
  ++NextBatchNumber_;
  ++BatchesSinceSnapshot_;
  if (IncludesSnapshot_) {
    ++SnapshotVersion_;
    BatchesSinceSnapshot_ = 0;
    BytesSinceSnapshot_ = 0;
  } else {
    BytesSinceSnapshot_ += Txn_.Puts_.back().Value_.size();
  }
  Phase_ = Phase::Idle;
  CompareFailed_ = false;
  std::deque<StagedEntry> CommittedEntries;
  CommittedEntries.swap(Batch_);
  for (const StagedEntry &Entry : CommittedEntries)
    if (Entry.OnDurable_)
      Entry.OnDurable_(Now);
}

void Journal::fence() {
  if (Fenced_)
    return;
  Fenced_ = true;
  Callbacks_.EmitAction_(FencedAction{});
}

} // namespace crocuslead::partition
