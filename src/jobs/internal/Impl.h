#pragma once

#include "jobs/Coordinator.h"
#include "jobs/internal/Tables.h"

#include <deque>
#include <unordered_map>

namespace crocuslead::jobs {

class Coordinator::Impl : public std::enable_shared_from_this<Impl> {
public:
  using JobEntry = internal::JobEntry;
  using OccurrenceEntry = internal::OccurrenceEntry;
  using RunEntry = internal::RunEntry;
  using RunPhase = internal::RunPhase;
  using StepEntry = internal::StepEntry;
  using TaskEntry = internal::TaskEntry;
  using WorkerEntry = internal::WorkerEntry;

  Impl(const CoordinatorSettings &Settings, WorkerPort &Port,
       const base::Clock &Clock, base::MetricsRegistry &Metrics,
       Commit OnCommit);

  // Jobs.cpp
  void addJob(const std::string &Id, JobRecord Record,
              const std::optional<JobProgress> &Progress, bool Restored);
  void cancelJob(const std::string &Id);
  std::optional<JobState> state(const std::string &Id) const;
  std::size_t waiting(const std::string &Queue) const;
  std::vector<std::string> takeExpired();
  void rebuildReadyQueue();

  // Workers.cpp
  void setWorkers(const std::map<std::string, WorkerInfo> &Workers);
  void restoreUsedWorkers(const std::string &Record);
  void recover();
  void prepareHandover();

  // Commits.cpp
  void commitDone(uint64_t Number, CommitResult Result);
  bool settled() const;

  void tick();
  CoordinatorView view() const;

  CoordinatorSettings Settings_;
  FleetConfig Config_;
  std::set<std::string> DomainsOut_;
  bool Superseded_ = false;
  bool PlacementRequested_ = false;

private:
  base::TimePoint now() const { return Clock_.now(); }
  const QueueConfig *queueOf(const JobEntry &Owner) const;

  // Jobs.cpp: the life of a job.
  void createDueOccurrences(JobEntry &Owner);
  void openOccurrence(JobEntry &Owner, uint32_t Number);
  void restoreProgress(JobEntry &Owner, const JobProgress &Progress);
  void openSteps(OccurrenceEntry &Of);
  void updateTarget(JobEntry &Owner);
  void taskDone(JobEntry &Owner, StepEntry &Step, TaskEntry &Of);
  void stepDone(JobEntry &Owner, uint32_t OccurrenceNumber);
  void finishJob(JobEntry &Owner, JobState State, const char *Reason);
  void markStarted(JobEntry &Owner);
  TaskEntry *findTask(const TaskId &Id);
  JobEntry *findJob(const std::string &Id);
  StepEntry *findStep(JobEntry &Owner, const TaskPosition &At);

  // Runs.cpp: starts, stops and ends of runs.
  RunEntry &makeRun(StepEntry &Step, TaskEntry &Of, WorkerEntry &On,
                    uint64_t Number);
  void startRun(StepEntry &Step, TaskEntry &Of, WorkerEntry &On,
                uint64_t Number);
  void startAnswered(uint64_t Serial, const OrderReply &Reply);
  void requestStop(RunEntry &Which, const char *Reason);
  void sendStop(RunEntry &Which);
  void stopAnswered(uint64_t Serial, const OrderReply &Reply);
  void dropRun(RunEntry &Which);
  //! The run is over without the worker having said so.
  void runVanished(RunEntry &Which, const char *Reason);
  void runEnded(WorkerEntry &On, const EndedRow &Row);
  void taskFailed(JobEntry &Owner, StepEntry &Step, TaskEntry &Of,
                  const EndedRow &Row);
  void noteOutcome(WorkerEntry &On, RunEntry *Which, const EndedRow &Row);
  void fenced(const char *Where, const WorkerEntry &By);
  RunEntry *findRun(uint64_t Serial);
  RunEntry *runOn(WorkerEntry &On, const TaskId &TaskEntry, uint64_t Number);

  // Progress.cpp: what the progress of runs asks for.
  static bool stopDue(const RunEntry &Which, base::TimePoint Now);
  bool isJudged(const RunEntry &Which) const;
  bool standsStill(const RunEntry &Which, base::TimePoint Now) const;
  bool isStraggler(const RunEntry &Which, base::TimePoint Now) const;
  void checkProgress(RunEntry &Which, base::TimePoint Now);
  void checkRuns();

  // Workers.cpp: looks, leases and lives.
  WorkerEntry &makeWorker(const WorkerInfo &Info);
  void pollDueWorkers();
  void look(WorkerEntry &At);
  bool wantsLook(const WorkerEntry &At) const;
  base::Duration lookWait(const WorkerEntry &At) const;
  void lookAnswered(const std::string &Id, int64_t Born, uint64_t Serial,
                    const LookReply &Reply);
  void takeLists(WorkerEntry &At, const WorkerLists &Lists,
                 base::TimePoint SentAt);
  void reconcile(WorkerEntry &At, const WorkerLists &Lists,
                 base::TimePoint SentAt);
  void adopt(WorkerEntry &At, const RunningRow &Row);
  void lookFailed(WorkerEntry &At, OrderStatus Status);
  void endLife(WorkerEntry &Of, const char *Reason);
  void rebirth(WorkerEntry &Of, const WorkerInfo &Next);
  void expireUnreachableWorkers();
  void removeIfOver(const std::string &Id);
  int64_t grantLease(WorkerEntry &To);
  void noteClock(WorkerEntry &Of, int64_t WorkerMs);
  void moveWorkOff(WorkerEntry &Leaving);
  bool isReachable(const WorkerEntry &Of) const;
  void endRecovery(const char *Reason);
  void updateRecovery();
  WorkerAddress addressOf(const WorkerEntry &Of) const {
    return {Of.Info_.Id_, Of.Info_.Address_};
  }

  // Placement.cpp
  enum class Urgency : uint8_t { Serving, OnTime, Late };
  void placeReadySteps();
  static Urgency urgencyOf(const StepEntry &Step, base::TimePoint Now);
  void placeReady(Urgency Which, base::TimePoint Now);
  //! Sizes that found no worker in this pass.
  struct NoRoom;
  bool placeStep(StepEntry &Step);
  bool placeGang(StepEntry &Step);
  bool isReady(const StepEntry &Step, const TaskEntry &Of) const;
  //! A worker that may take tasks of a step, and how well it suits them.
  struct Candidate {
    WorkerEntry *On_ = nullptr;
    double Score_ = 0;
  };
  std::vector<Candidate> rank(const StepEntry &Step,
                              const std::string &WantedRack);
  static Candidate *best(std::vector<Candidate> &Ranked, const TaskEntry &Of);
  WorkerEntry *chooseWorker(const StepEntry &Step, const TaskEntry &Of,
                            const std::string &WantedRack);
  bool fits(const StepEntry &Step, WorkerEntry &On) const;
  bool takesStarts(const WorkerEntry &On) const;
  bool eligible(const StepEntry &Step, WorkerEntry &On) const;
  double placementScore(const StepEntry &Step, WorkerEntry &On,
                        const std::string &WantedRack) const;
  double packingScore(const StepEntry &Step, const WorkerEntry &On) const;
  void startSpeculativeCopies();

  // Pacing.cpp
  void learnPressure(WorkerEntry &At);
  void protectTails(WorkerEntry &At);
  void refreshHeadroom(WorkerEntry &Of) const;
  template <typename Visit>
  void visitHeadroom(const StepEntry &Step, WorkerEntry &On,
                     Visit Function) const;
  double slackBeside(const StepEntry &Step, WorkerEntry &On) const;
  double possiblePace(const StepEntry &Step, WorkerEntry &On) const;
  void setPace(RunEntry &Which, int Percent);
  bool isHeldBack(const RunEntry &Which, base::TimePoint Now) const;
  void moveThrottledRuns();

  // Commits.cpp
  void changed(JobEntry &Owner);
  void commitIfDue();
  JobProgress progressOf(const JobEntry &Owner) const;
  std::string usedWorkersRecord() const;
  void advanceAcknowledgements();

  WorkerPort &Port_;
  const base::Clock &Clock_;
  base::MetricsRegistry &Metrics_;
  Commit Commit_;

  std::unordered_map<std::string, std::unique_ptr<JobEntry>> Jobs_;
  //! Finished jobs in the order of their ends.
  std::deque<std::string> Finished_;
  std::vector<std::string> Expired_;
  struct ReadyKey {
    int Priority_;
    base::TimePoint Target_;
    uint64_t Order_;
    uint32_t Occurrence_;
    uint32_t Step_;
    friend bool operator<(const ReadyKey &A, const ReadyKey &B) {
      return std::tie(A.Priority_, A.Target_, A.Order_, A.Occurrence_,
                      A.Step_) <
             std::tie(B.Priority_, B.Target_, B.Order_, B.Occurrence_, B.Step_);
    }
  };
  ReadyKey keyOf(const StepEntry &Step) const;
  //! Steps that may have tasks to start.
  std::map<ReadyKey, StepEntry *> ReadySteps_;
  void enqueue(StepEntry &Step);

  std::unordered_map<std::string, std::unique_ptr<WorkerEntry>> Workers_;
  std::vector<WorkerEntry *> WorkerOrder_;
  std::unordered_map<uint64_t, std::unique_ptr<RunEntry>> Runs_;
  uint64_t NextSerial_ = 1;
  uint64_t NextOrder_ = 1;

  internal::PressureModel Pressure_;

  bool Recovering_ = false;
  base::TimePoint RecoveryEnd_;
  base::TimePoint NextCheckAt_;
  base::TimePoint NextPlacementAt_;

  std::deque<std::string> Dirty_;
  base::TimePoint DirtySince_;
  bool CommitUrgent_ = false;
  bool UsedWorkersDirty_ = false;
  struct InFlightCommit {
    uint64_t Number_ = 0;
    std::vector<std::pair<std::string, uint64_t>> Versions_;
    std::vector<std::string> Workers_;
  };
  std::optional<InFlightCommit> InFlight_;
  uint64_t NextCommit_ = 1;
  base::TimePoint CommitRetryAt_;
};

} // namespace crocuslead::jobs
