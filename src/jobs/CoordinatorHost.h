#pragma once

#include "jobs/Coordinator.h"
#include "jobs/Election.h"
#include "jobs/FleetSource.h"

#include <memory>
#include <string>
#include <vector>

namespace crocuslead::jobs {

//! Runs a coordinator while this instance is the elected leader: restores it
//! from the store, forwards changes to it and writes its commits.
class CoordinatorHost {
public:
  CoordinatorHost(store::KeyValueStore &Store, WorkerPort &Port,
                  FleetSource &Fleet, const base::Clock &Clock,
                  base::MetricsRegistry &Metrics, CoordinatorTimings Times);
  CoordinatorHost(const CoordinatorHost &) = delete;
  CoordinatorHost &operator=(const CoordinatorHost &) = delete;
  ~CoordinatorHost();

  //! LeaderElection must outlive the host.
  void setElection(Election &LeaderElection) { Election_ = &LeaderElection; }
  void startTerm(uint64_t Term);
  void endTerm();
  void tick();
  //! Reads the job keys again; called after the process was paused.
  void reloadJobs();
  //! Ends the work of the coordinator. Returns what the resignation has to
  //! record for the next term.
  Resignation prepareHandover();

  //! The coordinator once it has been restored, null otherwise.
  Coordinator *active();
  const Coordinator *active() const;

private:
  void restoreWhenLoaded();
  void readProgress();
  void restoreAll(const store::RangeReply &StateEntries);
  void jobKeyChanged(const store::KeyValue &Value, bool Deleted);
  void commit(const CommitBatch &Batch);
  void verifyCommit(uint64_t Number);
  void checkTerm(uint64_t Number);
  void confirmTermIfDue();
  bool isTermLatest(const store::RangeReply &TermEntry) const;
  std::string sequenceValue(uint64_t Number) const;
  store::Txn termGuardedTxn() const;
  void removeExpiredJobs();

  store::KeyValueStore &Store_;
  WorkerPort &Port_;
  FleetSource &Fleet_;
  const base::Clock &Clock_;
  base::MetricsRegistry &Metrics_;
  CoordinatorTimings Times_;
  Election *Election_ = nullptr;
  std::unique_ptr<Coordinator> Coordinator_;
  std::unique_ptr<store::Mirror> JobMirror_;
  //! Replaced in each term, so that replies to store calls of an earlier term
  //! are ignored.
  std::shared_ptr<int> Alive_;
  bool ReadingProgress_ = false;
  bool ConfirmingTerm_ = false;
  base::TimePoint NextConfirmation_;
  base::TimePoint ConfirmationRetryAt_;
  bool Restored_ = false;
  //! The last term in which a coordinator was restored here, and so may have
  //! sent requests to workers.
  uint64_t LastRestoredTerm_ = 0;
  //! Mod revision of the sequence key on which the next commit is conditional.
  int64_t SequenceRevision_ = 0;
  base::TimePoint RetryAt_;
  base::TimePoint NextCleanup_;
  base::TimePoint TermStartedAt_;
};

} // namespace crocuslead::jobs
