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

//! An entry that waits for its commit. OnDurable_ is called once the entry is
//! in the store; worker commands and answers must be issued only from there.
struct StagedEntry {
  JournalEntry Entry_;
  //! Encoded entry; set by Journal::stage().
  std::string Bytes_;
  bool Urgent_ = false;
  std::function<void(base::TimePoint)> OnDurable_;
};

//! Write-ahead journal of one epoch with group commit: at most one batch is in
//! flight, and at most one is started per commit interval.
class Journal {
public:
  struct Callbacks {
    //! Called for a start that did not become durable. The state still contains
    //! the start.
    std::function<void(const JournalEntry &)> OnStartWithdrawn_;
    std::function<void(Action)> EmitAction_;
    //! Called with the send time of a commit that is known to have reached the
    //! store.
    std::function<void(base::TimePoint)> OnStoreContact_;
  };

  Journal(const PartitionSettings &Settings, DurableState &State,
          Callbacks Handlers);

  //! Rebuilds the state. Returns false when a batch is missing or a key cannot
  //! be decoded or applied.
  bool recover(const std::vector<store::KeyValue> &Stored);

  //! Queues an entry for commit. It must already be applied to the state.
  void stage(StagedEntry Entry);
  //! Sends the next batch when one is due. A batch with starts is committed
  //! only if the domains key still has the revision set by
  //! setDomainsRevision().
  void tick(base::TimePoint Now);
  void commitDone(uint64_t Sequence, CommitStatus Status, base::TimePoint Now);
  void readBackDone(uint64_t Sequence,
                    const std::optional<store::KeyValue> &Found,
                    base::TimePoint Now);
  //! Sets the revision of the domain states on which further starts are based.
  //! Staged starts that were based on another revision are withdrawn.
  void setDomainsRevision(int64_t Revision);
  int64_t domainsRevision() const { return DomainsRevision_; }

  //! Prefix of the partition's keys.
  const std::string &keyPrefix() const { return Prefix_; }
  bool idle() const { return Queue_.empty() && Phase_ == Phase::Idle; }
  bool fenced() const { return Fenced_; }
  //! True after starts were refused because the domain states had changed. No
  //! task may start until setDomainsRevision() sets a newer revision.
  bool startsBlocked() const { return StartsBlocked_; }
  //! Ends the epoch: no further batch is sent.
  void fence();
  std::size_t queuedEntries() const { return Queue_.size(); }

private:
  enum class Phase : uint8_t { Idle, Sent, ReadingBack, Retry };

  void takeBatch();
  void takeLimitedBatch();
  void buildTxn();
  void addSnapshot();
  void send(base::TimePoint Now);
  void readBack();
  void batchCommitted(base::TimePoint Now);
  void withdrawBatchStarts();
  void withdrawStarts(std::deque<StagedEntry> &Entries);
  bool hasStarts() const;
  std::string journalKey(uint64_t Number) const;
  bool replay(const store::KeyValue &Stored);
  bool recoverSnapshot(const std::vector<store::KeyValue> &Stored);

  const PartitionSettings &Settings_;
  DurableState &State_;
  Callbacks Callbacks_;
  std::string Prefix_;
  base::Random Random_;

  std::deque<StagedEntry> Queue_;
  std::size_t QueueBytes_ = 0;
  std::deque<StagedEntry> Batch_;
  store::Txn Txn_;
  Phase Phase_ = Phase::Idle;
  uint64_t Sequence_ = 0;
  uint64_t Nonce_ = 0;
  bool CompareFailed_ = false;
  bool IncludesSnapshot_ = false;
  base::TimePoint SentAt_;
  base::TimePoint NextSendAt_;
  base::TimePoint RetryAt_;

  uint64_t NextBatchNumber_ = 0;
  //! Version of the snapshot key. Each batch compares it, because compaction
  //! deletes the journal keys that old batches compare: without it a delayed
  //! duplicate of an old batch could be applied.
  int64_t SnapshotVersion_ = 0;
  uint32_t BatchesSinceSnapshot_ = 0;
  std::size_t BytesSinceSnapshot_ = 0;
  int64_t DomainsRevision_ = 0;
  //! Domains revision that the batch in flight compares.
  int64_t BatchDomainsRevision_ = 0;
  bool StartsBlocked_ = false;
  bool Fenced_ = false;
};

} // namespace crocuslead::partition
