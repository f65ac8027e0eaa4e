#pragma once

#include "jobs/Coordinator.h"
#include "jobs/internal/Tables.h"

#include <deque>
#include <unordered_map>

namespace crocuslead::jobs {

class Coordinator::Impl : public std::enable_shared_from_this<Impl> {
public:
  using Job = internal::Job;
  using Occurrence = internal::Occurrence;
  using Run = internal::Run;
  using RunPhase = internal::RunPhase;
  using StepWork = internal::StepWork;
  using Task = internal::Task;
  using Worker = internal::Worker;

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
  void retarget();

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
  bool PassWanted_ = false;

private:
  base::TimePoint now() const { return Clock_.now(); }
  const QueueConfig *queueOf(const Job &Owner) const;

  // Jobs.cpp: the life of a job.
  void openOccurrences(Job &Owner);
  void openOccurrence(Job &Owner, uint32_t Number);
  void restoreProgress(Job &Owner, const JobProgress &Progress);
  void openSteps(Occurrence &Of);
  void updateTarget(Job &Owner);
  void taskDone(Job &Owner, StepWork &Step, Task &Of);
  void stepDone(Job &Owner, uint32_t OccurrenceNumber);
  void finishJob(Job &Owner, JobState State, const char *Reason);
  void markStarted(Job &Owner);
  Task *findTask(const TaskId &Id);
  Job *findJob(const std::string &Id);
  StepWork *findStep(Job &Owner, const TaskPosition &At);

  // Runs.cpp: starts, stops and ends of runs.
  Run &makeRun(StepWork &Step, Task &Of, Worker &On, uint64_t Number);
  void startRun(StepWork &Step, Task &Of, Worker &On, uint64_t Number);
  void startAnswered(uint64_t Serial, const OrderReply &Reply);
  void requestStop(Run &Which, const char *Reason);
  void sendStop(Run &Which);
  void stopAnswered(uint64_t Serial, const OrderReply &Reply);
  void dropRun(Run &Which);
  //! The run is over without the worker having said so.
  void runVanished(Run &Which, const char *Reason);
  void runEnded(Worker &On, const EndedRow &Row);
  void taskFailed(Job &Owner, StepWork &Step, Task &Of, const EndedRow &Row);
  void noteOutcome(Worker &On, Run *Which, const EndedRow &Row);
  void fenced(const char *Where, const Worker &By);
  Run *findRun(uint64_t Serial);
  Run *runOn(Worker &On, const TaskId &Task, uint64_t Number);

  // Progress.cpp: what the progress of runs asks for.
  static bool stopDue(const Run &Which, base::TimePoint Now);
  bool isJudged(const Run &Which) const;
  bool standsStill(const Run &Which, base::TimePoint Now) const;
  bool isStraggler(const Run &Which, base::TimePoint Now) const;
  void checkProgress(Run &Which, base::TimePoint Now);
  void driveRuns();

  // Workers.cpp: looks, leases and lives.
  Worker &makeWorker(const WorkerInfo &Info);
  void driveWorkers();
  void look(Worker &At);
  bool wantsLook(const Worker &At) const;
  base::Duration lookWait(const Worker &At) const;
  void lookAnswered(const std::string &Id, int64_t Born, uint64_t Serial,
                    const LookReply &Reply);
  void takeLists(Worker &At, const WorkerLists &Lists, base::TimePoint SentAt);
  void reconcile(Worker &At, const WorkerLists &Lists, base::TimePoint SentAt);
  void adopt(Worker &At, const RunningRow &Row);
  void lookFailed(Worker &At, OrderStatus Status);
  void endLife(Worker &Of, const char *Reason);
  void rebirth(Worker &Of, const WorkerInfo &Next);
  void removeEnded();
  void removeIfOver(const std::string &Id);
  int64_t grantLease(Worker &To);
  void noteClock(Worker &Of, int64_t WorkerMs);
  void moveWorkOff(Worker &Leaving);
  bool reachable(const Worker &Of) const;
  void endRecovery(const char *Reason);
  void checkRecovery();
  WorkerAddress addressOf(const Worker &Of) const {
    return {Of.Info_.Id_, Of.Info_.Address_};
  }

  // Placement.cpp
  enum class Urgency : uint8_t { Serving, OnTime, Late };
  void place();
  static Urgency urgencyOf(const StepWork &Step, base::TimePoint Now);
  void placeReady(Urgency Which, base::TimePoint Now);
  //! Sizes that found no worker in this pass.
  struct NoRoom;
  bool placeStep(StepWork &Step);
  bool placeGang(StepWork &Step);
  bool isReady(const StepWork &Step, const Task &Of) const;
  //! A worker that may take tasks of a step, and how well it suits them.
  struct Candidate {
    Worker *On_ = nullptr;
    double Score_ = 0;
  };
  std::vector<Candidate> rank(const StepWork &Step,
                              const std::string &WantedRack);
  static Candidate *best(std::vector<Candidate> &Ranked, const Task &Of);
  Worker *chooseWorker(const StepWork &Step, const Task &Of,
                       const std::string &WantedRack);
  bool fits(const StepWork &Step, Worker &On) const;
  bool takesStarts(const Worker &On) const;
  bool eligible(const StepWork &Step, Worker &On) const;
  double placementScore(const StepWork &Step, Worker &On,
                        const std::string &WantedRack) const;
  double packingScore(const StepWork &Step, const Worker &On) const;
  void placeCopies();

  // Pacing.cpp
  void learnPressure(Worker &At);
  void protectTails(Worker &At);
  void refreshHeadroom(Worker &Of) const;
  template <typename Visit>
  void visitHeadroom(const StepWork &Step, Worker &On, Visit Function) const;
  double slackBeside(const StepWork &Step, Worker &On) const;
  double possiblePace(const StepWork &Step, Worker &On) const;
  void setPace(Run &Which, int Percent);
  bool isHeldBack(const Run &Which, base::TimePoint Now) const;
  void moveHeldBack();

  // Commits.cpp
  void changed(Job &Owner);
  void driveCommits();
  JobProgress progressOf(const Job &Owner) const;
  std::string usedWorkersRecord() const;
  void advanceAcknowledgements();

  WorkerPort &Port_;
  const base::Clock &Clock_;
  base::MetricsRegistry &Metrics_;
  Commit Commit_;

  std::unordered_map<std::string, std::unique_ptr<Job>> Jobs_;
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
  ReadyKey keyOf(const StepWork &Step) const;
  //! Steps that may have tasks to start.
  std::map<ReadyKey, StepWork *> Ready_;
  void enqueue(StepWork &Step);

  std::unordered_map<std::string, std::unique_ptr<Worker>> Workers_;
  std::vector<Worker *> WorkerOrder_;
  std::unordered_map<uint64_t, std::unique_ptr<Run>> Runs_;
  uint64_t NextSerial_ = 1;
  uint64_t NextOrder_ = 1;

  internal::PressureModel Pressure_;

  bool Recovering_ = false;
  base::TimePoint RecoveryEnd_;
  base::TimePoint NextCheck_;
  base::TimePoint NextPass_;

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
