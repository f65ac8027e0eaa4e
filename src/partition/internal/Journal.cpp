#include "partition/internal/Journal.h"

#include "base/Hash.h"
#include "partition/internal/Codec.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <map>

namespace crocuslead::partition {

namespace {

//! The store refuses values above 1 MB.
constexpr std::size_t MaxValueBytes = 900'000;
//! Bound of one batch; a longer queue is sent urgent entries first.
constexpr std::size_t MaxBatchBytes = 256 << 10;
constexpr base::Duration RetryDelay = std::chrono::milliseconds(200);

//! Entries that touch all jobs keep their place among all others.
bool isBarrier(const JournalEntry &Value) {
  return Value.Kind_ == EntryKind::Accrue || Value.Kind_ == EntryKind::Prune;
}

bool isStart(const StagedEntry &Value) {
  return Value.Entry_.Kind_ == EntryKind::Start;
}

std::string numbered(const std::string &Prefix, uint64_t Number) {
  char Buffer[24];
  std::snprintf(Buffer, sizeof(Buffer), "%012llu",
                static_cast<unsigned long long>(Number));
  return Prefix + Buffer;
}

std::string prefixOf(const std::string &OwnerKey) {
  return OwnerKey.substr(0, OwnerKey.rfind('/') + 1);
}

} // namespace

Journal::Journal(const PartitionSettings &Settings, DurableState &Durable,
                 Hooks Calls)
    : Settings_(Settings), State_(Durable), Hooks_(std::move(Calls)),
      Prefix_(Settings.KeyPrefix_.empty() ? prefixOf(Settings.OwnerKey_)
                                          : Settings.KeyPrefix_),
      Random_(Settings.Seed_ ^
              base::stableHash(Settings.Id_,
                               static_cast<uint64_t>(Settings.Epoch_))) {}

std::string Journal::journalKey(uint64_t Number) const {
  return numbered(Prefix_ + "journal/", Number);
}

bool Journal::recover(const std::vector<store::KeyValue> &Stored) {
  if (!recoverSnapshot(Stored))
    return false;
  std::map<std::string, const store::KeyValue *> Journals;
  std::string First = journalKey(NextJournal_);
  std::string Folder = Prefix_ + "journal/";
  for (const store::KeyValue &Value : Stored)
    if (Value.Key_.compare(0, Folder.size(), Folder) == 0 &&
        Value.Key_ >= First)
      Journals[Value.Key_] = &Value;
  for (const auto &[Key, Value] : Journals) {
    // A gap would mean that a committed batch is missing.
    if (Key != journalKey(NextJournal_) || !replay(*Value))
      return false;
    ++NextJournal_;
  }
  return true;
}

bool Journal::recoverSnapshot(const std::vector<store::KeyValue> &Stored) {
  std::map<std::string, const store::KeyValue *> Parts;
  std::string First = Prefix_ + "snapshot";
  for (const store::KeyValue &Value : Stored)
    if (Value.Key_ == First ||
        Value.Key_.compare(0, First.size() + 1, First + "/") == 0)
      Parts[Value.Key_] = &Value;
  auto Head = Parts.find(First);
  if (Head == Parts.end())
    return Parts.empty();
  SnapshotVersion_ = Head->second->Version_;
  std::string Bytes;
  for (const auto &[Key, Value] : Parts)
    Bytes += Value->Value_;
  return decodeSnapshot(Bytes, State_, NextJournal_);
}

bool Journal::replay(const store::KeyValue &Stored) {
  auto Decoded = decodeBatch(Stored.Value_);
  if (!Decoded)
    return false;
  for (const JournalEntry &Change : Decoded->Entries_)
    if (!State_.apply(Change))
      return false;
  ++BatchesSinceSnapshot_;
  BytesSinceSnapshot_ += Stored.Value_.size();
  return true;
}

void Journal::stage(StagedEntry Value) {
  Value.Bytes_ = encodeEntry(Value.Entry_);
  QueueBytes_ += Value.Bytes_.size();
  Queue_.push_back(std::move(Value));
}

void Journal::setDomainsRevision(int64_t Revision) {
  if (Revision == DomainsRevision_)
    return;
  DomainsRevision_ = Revision;
  StartsBlocked_ = false;
  withdraw(Queue_);
  QueueBytes_ = 0;
  for (const StagedEntry &Value : Queue_)
    QueueBytes_ += Value.Bytes_.size();
}

void Journal::withdraw(std::deque<StagedEntry> &From) {
  for (const StagedEntry &Value : From)
    if (isStart(Value))
      Hooks_.Withdraw_(Value.Entry_);
  From.erase(std::remove_if(From.begin(), From.end(), isStart), From.end());
}

bool Journal::hasStarts() const {
  return std::any_of(Batch_.begin(), Batch_.end(), isStart);
}

void Journal::tick(base::TimePoint Now) {
  if (Fenced_)
    return;
  if (Phase_ == Phase::Retry && Now >= RetryAt_)
    send(Now);
  if (Phase_ != Phase::None || Queue_.empty() || Now < NextSendAt_)
    return;
  takeBatch();
  NextSendAt_ = Now + Settings_.Times_.CommitInterval_;
  Nonce_ = Random_.next();
  buildTxn();
  send(Now);
}

void Journal::takeBatch() {
  Snapshot_ = BatchesSinceSnapshot_ >= Settings_.SnapshotAfterBatches_ ||
              BytesSinceSnapshot_ >= Settings_.SnapshotAfterBytes_;
  // A snapshot holds the state with all staged entries, so it takes them all.
  if (!Snapshot_ && QueueBytes_ > MaxBatchBytes) {
    takeOverflowing();
    return;
  }
  Batch_.swap(Queue_);
  QueueBytes_ = 0;
}

// Entries of one job are all urgent or all not, so taking the urgent ones first
// keeps the order within each job.
void Journal::takeOverflowing() {
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
  std::deque<StagedEntry> Rest;
  for (std::size_t I = 0; I < Queue_.size(); ++I)
    if (!Taken[I])
      Rest.push_back(std::move(Queue_[I]));
  Queue_.swap(Rest);
  QueueBytes_ -= Bytes;
}

void Journal::buildTxn() {
  Txn_ = {};
  Txn_.Compares_ = {
      {Settings_.OwnerKey_, store::CompareTarget::CreateRevision,
       Settings_.Epoch_},
      {journalKey(NextJournal_), store::CompareTarget::CreateRevision, 0},
      {Prefix_ + "snapshot", store::CompareTarget::Version, SnapshotVersion_}};
  BatchDomainsRevision_ = DomainsRevision_;
  if (hasStarts())
    Txn_.Compares_.push_back({Settings_.DomainsKey_,
                              store::CompareTarget::ModRevision,
                              DomainsRevision_});
  std::vector<std::string> Entries;
  if (Snapshot_)
    addSnapshot();
  else
    for (const StagedEntry &Value : Batch_)
      Entries.push_back(Value.Bytes_);
  Txn_.Puts_.push_back(
      {journalKey(NextJournal_), encodeBatch(Nonce_, Entries), 0});
}

void Journal::addSnapshot() {
  std::string Bytes = encodeSnapshot(State_, NextJournal_ + 1);
  std::string Parts = Prefix_ + "snapshot/";
  Txn_.Puts_.push_back(
      {Prefix_ + "snapshot", Bytes.substr(0, MaxValueBytes), 0});
  uint64_t Part = 1;
  for (std::size_t At = MaxValueBytes; At < Bytes.size();
       At += MaxValueBytes, ++Part)
    Txn_.Puts_.push_back(
        {numbered(Parts, Part), Bytes.substr(At, MaxValueBytes), 0});
  // The ranges end before the keys that this transaction puts.
  Txn_.Deletes_.push_back({numbered(Parts, Part), store::prefixEnd(Parts)});
  Txn_.Deletes_.push_back({journalKey(0), journalKey(NextJournal_)});
}

void Journal::send(base::TimePoint Now) {
  Phase_ = Phase::Sent;
  SentAt_ = Now;
  Hooks_.Emit_(CommitAction{++Sequence_, Txn_});
}

void Journal::commitDone(uint64_t Sequence, CommitStatus Status,
                         base::TimePoint Now) {
  if (Fenced_ || Phase_ != Phase::Sent || Sequence != Sequence_)
    return;
  switch (Status) {
  case CommitStatus::Committed:
    Hooks_.Contact_(SentAt_);
    committed(Now);
    return;
  case CommitStatus::CompareFailed:
    Hooks_.Contact_(SentAt_);
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
  Hooks_.Emit_(ReadBackAction{++Sequence_, journalKey(NextJournal_)});
}

void Journal::readBackDone(uint64_t Sequence,
                           const std::optional<store::KeyValue> &Found,
                           base::TimePoint Now) {
  if (Fenced_ || Phase_ != Phase::ReadingBack || Sequence != Sequence_)
    return;
  if (Found) {
    auto Decoded = decodeBatch(Found->Value_);
    if (Decoded && Decoded->Nonce_ == Nonce_)
      committed(Now);
    else
      fence();
    return;
  }
  if (!CompareFailed_) {
    // The change may still be on its way; the same batch under the same
    // compare takes effect once.
    Phase_ = Phase::Retry;
    RetryAt_ = Now;
    return;
  }
  if (!hasStarts()) {
    fence();
    return;
  }
  withdrawFromBatch();
  send(Now);
}

// The compare failed and the journal key is absent, so the domain states have
// changed or the epoch has ended. Neither goes back, so the refused batch can
// never apply later. The rest of the batch, even if empty, tells which it was.
void Journal::withdrawFromBatch() {
  CompareFailed_ = false;
  // A newer revision may have come in while the batch was in flight.
  StartsBlocked_ = BatchDomainsRevision_ == DomainsRevision_;
  withdraw(Batch_);
  if (Snapshot_) {
    withdraw(Queue_);
    for (StagedEntry &Value : Queue_)
      Batch_.push_back(std::move(Value));
    Queue_.clear();
    QueueBytes_ = 0;
  }
  Nonce_ = Random_.next();
  buildTxn();
  if (StartsBlocked_)
    Hooks_.Emit_(RefreshConfigAction{});
}

void Journal::committed(base::TimePoint Now) {
  ++NextJournal_;
  ++BatchesSinceSnapshot_;
  if (Snapshot_) {
    ++SnapshotVersion_;
    BatchesSinceSnapshot_ = 0;
    BytesSinceSnapshot_ = 0;
  } else {
    BytesSinceSnapshot_ += Txn_.Puts_.back().Value_.size();
  }
  Phase_ = Phase::None;
  CompareFailed_ = false;
  std::deque<StagedEntry> Done;
  Done.swap(Batch_);
  for (const StagedEntry &Value : Done)
    if (Value.OnDurable_)
      Value.OnDurable_(Now);
}

void Journal::fence() {
  if (Fenced_)
    return;
  Fenced_ = true;
  Hooks_.Emit_(FencedAction{});
}

} // namespace crocuslead::partition
