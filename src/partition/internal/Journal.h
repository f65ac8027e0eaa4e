#pragma once

#include "base/Random.h"
#include "partition/Partition.h"
#include "partition/internal/State.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <vector>

namespace crocuslead::partition {

//! An entry that waits for its commit. OnDurable_ runs once the entry is in the
//! store; commands and answers leave from there and nowhere else.
struct StagedEntry {
  JournalEntry Entry_;
  std::string Bytes_;
  bool Urgent_ = false;
  std::function<void(base::TimePoint)> OnDurable_;
};

//! Group commits of one epoch: one batch in flight, one batch per interval.
class Journal {
public:
  struct Hooks {
    //! A start that did not become durable; the state is not changed yet.
    std::function<void(const JournalEntry &)> Withdraw_;
    std::function<void(Action)> Emit_;
    //! Store contact proved by a commit that was sent at this time.
    std::function<void(base::TimePoint)> Contact_;
  };

  Journal(const PartitionSettings &Settings, DurableState &Durable,
          Hooks Calls);

  //! Rebuilds the state; false when a key cannot be decoded.
  bool recover(const std::vector<store::KeyValue> &Stored);

  //! The entry must already be applied to the state.
  void stage(StagedEntry Value);
  //! Sends the next batch when one is due. Starts compare DomainsRevision with
  //! the domains key.
  void tick(base::TimePoint Now);
  void commitDone(uint64_t Sequence, CommitStatus Status, base::TimePoint Now);
  void readBackDone(uint64_t Sequence,
                    const std::optional<store::KeyValue> &Found,
                    base::TimePoint Now);
  //! Sets the revision that later starts are decided with. Staged starts of an
  //! older revision are withdrawn.
  void setDomainsRevision(int64_t Revision);
  int64_t domainsRevision() const { return DomainsRevision_; }

  bool idle() const { return Queue_.empty() && Phase_ == Phase::None; }
  bool fenced() const { return Fenced_; }
  //! Starts were refused because the domain states changed: nothing starts
  //! until setDomainsRevision() brings a newer revision.
  bool startsBlocked() const { return StartsBlocked_; }
  void fence();
  std::size_t queued() const { return Queue_.size(); }

private:
  enum class Phase : uint8_t { None, Sent, ReadingBack, Retry };

  void takeBatch();
  void takeOverflowing();
  void buildTxn();
  void addSnapshot();
  void send(base::TimePoint Now);
  void readBack();
  void committed(base::TimePoint Now);
  void withdrawFromBatch();
  void withdraw(std::deque<StagedEntry> &From);
  bool hasStarts() const;
  std::string journalKey(uint64_t Number) const;
  bool replay(const store::KeyValue &Stored);
  bool recoverSnapshot(const std::vector<store::KeyValue> &Stored);

  const PartitionSettings &Settings_;
  DurableState &State_;
  Hooks Hooks_;
  std::string Prefix_;
  base::Random Random_;

  std::deque<StagedEntry> Queue_;
  std::size_t QueueBytes_ = 0;
  std::deque<StagedEntry> Batch_;
  store::Txn Txn_;
  Phase Phase_ = Phase::None;
  uint64_t Sequence_ = 0;
  uint64_t Nonce_ = 0;
  bool CompareFailed_ = false;
  bool Snapshot_ = false;
  base::TimePoint SentAt_;
  base::TimePoint NextSendAt_;
  base::TimePoint RetryAt_;

  uint64_t NextJournal_ = 0;
  //! Version of the snapshot key. Each batch compares it, so that a delayed
  //! duplicate of an old batch cannot apply after compaction has deleted the
  //! journal key that it compares.
  int64_t SnapshotVersion_ = 0;
  uint32_t BatchesSinceSnapshot_ = 0;
  std::size_t BytesSinceSnapshot_ = 0;
  int64_t DomainsRevision_ = 0;
  //! Revision that the batch in flight compares.
  int64_t BatchDomainsRevision_ = 0;
  bool StartsBlocked_ = false;
  bool Fenced_ = false;
};

} // namespace crocuslead::partition
