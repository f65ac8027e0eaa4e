#pragma once

#include "jobs/Coordinator.h"
#include "jobs/Election.h"
#include "jobs/FleetSource.h"

#include <memory>
#include <string>

namespace crocuslead::jobs {

//! Runs a coordinator while this instance holds the office: restores it from
//! the store, feeds it changes and writes its commits.
class CoordinatorHost {
public:
  CoordinatorHost(store::KeyValueStore &Store, WorkerPort &Port,
                  FleetSource &Source, const base::Clock &Clock,
                  base::MetricsRegistry &Metrics, CoordinatorTimings Times);
  CoordinatorHost(const CoordinatorHost &) = delete;
  CoordinatorHost &operator=(const CoordinatorHost &) = delete;
  ~CoordinatorHost();

  //! Office must outlive the host.
  void attach(Election &Office) { Office_ = &Office; }
  void begin(uint64_t Term);
  void end();
  void tick();
  //! Reads what changed during a pause of the process.
  void resume();
  void prepareHandover();

  //! The coordinator, once it is restored; null otherwise.
  Coordinator *active();
  const Coordinator *active() const;

private:
  void restoreWhenComplete();
  void readProgress();
  void restoreAll(const store::RangeReply &Work);
  void jobKeyChanged(const store::KeyValue &Value, bool Deleted);
  void commit(const CommitBatch &Batch);
  void readBack(uint64_t Number);
  void checkTerm(uint64_t Number);
  std::string sequenceValue(uint64_t Number) const;
  store::Txn conditionalTxn() const;
  void removeExpired();

  store::KeyValueStore &Store_;
  WorkerPort &Port_;
  FleetSource &Source_;
  const base::Clock &Clock_;
  base::MetricsRegistry &Metrics_;
  CoordinatorTimings Times_;
  Election *Office_ = nullptr;
  std::unique_ptr<Coordinator> Coordinator_;
  std::unique_ptr<store::Mirror> Jobs_;
  //! Invalidates the answers of calls made in an earlier term.
  std::shared_ptr<int> Alive_;
  bool ReadingProgress_ = false;
  bool Restored_ = false;
  //! Revision of the sequence key that the next commit must find.
  int64_t SequenceRevision_ = 0;
  base::TimePoint RetryAt_;
  base::TimePoint NextCleanup_;
  base::TimePoint BegunAt_;
};

} // namespace crocuslead::jobs
