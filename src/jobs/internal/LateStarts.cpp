#include "jobs/internal/Impl.h"

#include "base/Log.h"

#include <algorithm>
#include <utility>

// A start without an answer may be executed seconds later, by any incarnation
// of its worker: one that begins meanwhile knows neither of a stop nor of an
// end. Until then its task starts nowhere else, and an end of that run is not
// acknowledged, so it counts for nothing if the worker restarts. A worker that
// lacks the run gets the same start again: whichever copy is executed first
// makes the run, and the others make none. See docs/decisions/late-starts.md.

namespace crocuslead::jobs {

namespace {

// A worker that leaves as many copies of a start unanswered is taken for
// faulty, and the task starts elsewhere later.
constexpr int MaxStartCopies = 4;
// Limits the lines of one takeover.
constexpr std::size_t MaxAwaitedLines = 20;

} // namespace

internal::LateStartEntry *
Coordinator::Impl::findLateStart(const std::string &WorkerId,
                                 const TaskId &Id) {
  return const_cast<internal::LateStartEntry *>(
      std::as_const(*this).findLateStart(WorkerId, Id));
}

const internal::LateStartEntry *
Coordinator::Impl::findLateStart(const std::string &WorkerId,
                                 const TaskId &Id) const {
  auto It = LateStarts_.find(WorkerId);
  if (It == LateStarts_.end())
    return nullptr;
  for (const internal::LateStartEntry &Late : It->second)
    if (Late.Task_.Position_ == Id.Position_ && Late.Task_.Job_ == Id.Job_)
      return &Late;
  return nullptr;
}

const internal::LateStartEntry *
Coordinator::Impl::lateStartOf(const RunEntry &Run) const {
  if (LateStarts_.empty())
    return nullptr;
  const internal::LateStartEntry *Late =
      findLateStart(Run.Worker_->Info_.Id_, {Run.Job_->Id_, Run.Position_});
  bool IsKnown = Late != nullptr && Late->Run_ == Run.Number_ && !Late->Unseen_;
  return IsKnown ? Late : nullptr;
}

void Coordinator::Impl::noteLateStart(const RunEntry &Run) {
  if (Run.Step_->Spec_->Speculative_)
    return;
  JobEntry &Job = *Run.Job_;
  TaskEntry &Task = Run.Step_->Tasks_[Run.Position_.Index_];
  const std::string &WorkerId = Run.Worker_->Info_.Id_;
  TaskId Id{Job.Id_, Run.Position_};
  base::TimePoint Until = Run.StartedAt_ + Settings_.Times_.MaxRequestDelay_;
  if (now() >= Until)
    return;
  LateStartState State = Run.StartsSent_ > 1 || isRepeatable(Run)
                             ? LateStartState::Repeated
                             : LateStartState::Missing;
  internal::LateStartEntry *Late = findLateStart(WorkerId, Id);
  if (Late != nullptr && Late->Run_ == Run.Number_) {
    Late->Until_ = std::max(Late->Until_, Until);
    if (Late->State_ >= State)
      return;
    Late->State_ = State;
  } else if (Late != nullptr) {
    *Late = {std::move(Id), Run.Number_, State, Until};
  } else {
    LateStarts_[WorkerId].push_back({std::move(Id), Run.Number_, State, Until});
    Metrics_
        .counter("crocuslead_late_starts_total",
                 "Starts without an answer that their workers did not have.")
        .add();
  }
  Task.LateStartOn_ = WorkerId;
  base::logEvent(base::LogLevel::Warn, "start-late",
                 {{"task", taskName({Job.Id_, Run.Position_})},
                  {"run", Run.Number_},
                  {"worker", WorkerId},
                  {"born_ms", Run.Worker_->Info_.StartTimeMs_},
                  {"state", LateStartStateNames.name(State)},
                  {"sent_ms_ago", base::toMillis(now() - Run.StartedAt_)},
                  {"until_ms", base::toMillis(Until - now())}});
  if (Task.Done_ || isFinal(Job.State_))
    return;
  // From now on the record names another worker before a start is sent there.
  if (!Task.Location_)
    setLocation(Task, TaskLocation{WorkerId, false});
  markDirty(Job);
  Task.LocationVersion_ = Job.Version_;
}

void Coordinator::Impl::logLateStartOver(const std::string &WorkerId,
                                         const internal::LateStartEntry &Late,
                                         const char *Reason) const {
  base::logEvent(base::LogLevel::Info, "late-start-over",
                 {{"task", taskName(Late.Task_)},
                  {"run", Late.Run_},
                  {"worker", WorkerId},
                  {"state", LateStartStateNames.name(Late.State_)},
                  {"reason", Reason},
                  {"left_ms", base::toMillis(Late.Until_ - now())},
                  {"term", Settings_.Term_}});
}

void Coordinator::Impl::forgetLateStart(const TaskId &Id, TaskEntry &Task,
                                        const char *Reason) {
  std::string WorkerId = std::exchange(Task.LateStartOn_, {});
  auto It = LateStarts_.find(WorkerId);
  if (It == LateStarts_.end())
    return;
  std::vector<internal::LateStartEntry> &Entries = It->second;
  for (std::size_t I = 0; I < Entries.size();) {
    const internal::LateStartEntry &Late = Entries[I];
    if (!(Late.Task_.Position_ == Id.Position_ && Late.Task_.Job_ == Id.Job_)) {
      ++I;
      continue;
    }
    logLateStartOver(WorkerId, Late, Reason);
    Entries.erase(Entries.begin() + static_cast<std::ptrdiff_t>(I));
  }
  if (Entries.empty())
    LateStarts_.erase(It);
}

void Coordinator::Impl::noteExecuted(const WorkerEntry &Worker,
                                     const TaskId &Id, uint64_t Number) {
  if (LateStarts_.empty())
    return;
  const internal::LateStartEntry *Late = findLateStart(Worker.Info_.Id_, Id);
  if (Late == nullptr || Late->Run_ != Number ||
      Late->State_ == LateStartState::Repeated)
    return;
  TaskEntry *Task = findTask(Id);
  if (Task == nullptr)
    return;
  forgetLateStart(Id, *Task, "run-listed");
  // A successor would expect it anew.
  if (isUnfinished(Id))
    markLocationDirty(*findJob(Id.Job_));
}

// An incarnation that was asked after the last arrival has ended those before
// it, and would list the run. One that nobody sees may hold its longest lease.
bool Coordinator::Impl::isOver(const std::string &WorkerId,
                               const internal::LateStartEntry &Late) const {
  if (now() < Late.Until_)
    return false;
  auto It = Workers_.find(WorkerId);
  bool Answered = It != Workers_.end() && It->second->AnsweredPollSentAt_ &&
                  *It->second->AnsweredPollSentAt_ >= Late.Until_;
  return Answered || wasLatestTermAt(Late.Until_ + longestLeaseTime({}));
}

bool Coordinator::Impl::mayStartLate(const StepEntry &Step,
                                     const TaskEntry &Task) const {
  if (Task.LateStartOn_.empty())
    return false;
  const internal::LateStartEntry *Late =
      findLateStart(Task.LateStartOn_, {Step.Job_->Id_, Task.Position_});
  if (Late == nullptr)
    return false;
  if (!Late->Unseen_)
    return !isOver(Task.LateStartOn_, *Late);
  // If it may not have been sent, hasRecovered() decides.
  return Late->State_ != LateStartState::InFlight &&
         now() < RecoveryStartedAt_ +
                     longestLeaseTime(Settings_.Times_.SilentRequestDelay_);
}

bool Coordinator::Impl::isUnfinished(const TaskId &Id) const {
  const JobEntry *Job = findJob(Id.Job_);
  const TaskEntry *Task = findTask(Id);
  return Job != nullptr && !isFinal(Job->State_) && Task != nullptr &&
         !Task->Done_;
}

// An acknowledgement that is executed after it, at a later incarnation, would
// discard the end of its run unread.
bool Coordinator::Impl::mayStartLateAt(const WorkerEntry &Worker) const {
  auto It = LateStarts_.find(Worker.Info_.Id_);
  return It != LateStarts_.end() &&
         std::any_of(It->second.begin(), It->second.end(),
                     [&](const internal::LateStartEntry &Late) {
                       return !Late.Unseen_ && isUnfinished(Late.Task_);
                     });
}

bool Coordinator::Impl::isAwaitedWithoutRun(const WorkerEntry &Worker) const {
  auto It = LateStarts_.find(Worker.Info_.Id_);
  return It != LateStarts_.end() &&
         std::any_of(It->second.begin(), It->second.end(),
                     [&](const internal::LateStartEntry &Late) {
                       return isUnfinished(Late.Task_) &&
                              findTask(Late.Task_)->Runs_.empty();
                     });
}

base::TimePoint
Coordinator::Impl::acknowledgeableFrom(const WorkerEntry &Worker,
                                       const RunResult &Result) const {
  const internal::LateStartEntry *Late =
      findLateStart(Worker.Info_.Id_, Result.Task_);
  bool Counts = Result.Outcome_ == RunOutcome::Done ||
                Result.Outcome_ == RunOutcome::Failed;
  return Counts && Late != nullptr && Late->Run_ == Result.Run_
             ? Late->Until_
             : base::TimePoint();
}

void Coordinator::Impl::forgetEndedLateStarts() {
  for (auto It = LateStarts_.begin(); It != LateStarts_.end();) {
    std::vector<internal::LateStartEntry> &Entries = It->second;
    for (std::size_t I = 0; I < Entries.size();) {
      const internal::LateStartEntry &Late = Entries[I];
      bool Ended = isUnfinished(Late.Task_) ? isOver(It->first, Late)
                                            : now() >= Late.Until_;
      if (!Ended) {
        ++I;
        continue;
      }
      logLateStartOver(It->first, Late, "last-arrival-passed");
      if (TaskEntry *Task = findTask(Late.Task_);
          Task != nullptr && Task->LateStartOn_ == It->first) {
        Task->LateStartOn_.clear();
        // A successor would expect it anew.
        if (isUnfinished(Late.Task_))
          markLocationDirty(*findJob(Late.Task_.Job_));
      }
      Entries.erase(Entries.begin() + static_cast<std::ptrdiff_t>(I));
      PlacementRequested_ = true;
    }
    It = Entries.empty() ? LateStarts_.erase(It) : std::next(It);
  }
  advanceAcknowledgements();
}

bool Coordinator::Impl::isRepeatable(const RunEntry &Run) const {
  const WorkerEntry &Worker = *Run.Worker_;
  const TaskEntry &Task = Run.Step_->Tasks_[Run.Position_.Index_];
  const QueueConfig *Queue = queueConfig(*Run.Job_);
  if (Task.Done_ || isFinal(Run.Job_->State_) || Run.RefusedAsOutdated_ ||
      Run.StartsSent_ >= MaxStartCopies || now() >= lastArrival(Run))
    return false;
  // Another crash has to have one suspect.
  bool MustMove = mustIsolate(Task) && !Run.Isolated_;
  // The members of a gang start together.
  bool IsAlone = Run.Step_->Spec_->Gang_ &&
                 std::any_of(Run.Step_->Tasks_.begin(), Run.Step_->Tasks_.end(),
                             [&](const TaskEntry &Member) {
                               return std::none_of(
                                   Member.Runs_.begin(), Member.Runs_.end(),
                                   [&](const RunEntry *Each) {
                                     return Each->Number_ == Run.Number_;
                                   });
                             });
  return !MustMove && !IsAlone && Queue != nullptr &&
         Worker.Info_.Service_ == Queue->Service_ &&
         hasRequiredLabel(*Run.Step_->Spec_, Worker) &&
         Worker.HeldBackSequence_ == 0 && !Worker.Info_.Draining_ &&
         DomainsOut_.count(Worker.Info_.Domain_) == 0;
}

bool Coordinator::Impl::mayRepeatNow(const RunEntry &Run) {
  const TaskEntry &Task = Run.Step_->Tasks_[Run.Position_.Index_];
  return isAvailable(*Run.Worker_) && mayStartRuns() && maySendStart() &&
         hasRecovered(*Run.Step_, Task) &&
         Confirmation_.coversRevision(Run.Job_->Revision_);
}

void Coordinator::Impl::repeatStart(RunEntry &Run) {
  Run.Accepted_ = Run.Located_ = Run.Proven_ = false;
  Run.ExistsSinceMs_.reset();
  countUnproven(Run);
  announceIfSuspected(*Run.Job_, Run.Step_->Tasks_[Run.Position_.Index_]);
  ++StartsInFlight_;
  sendStart(Run);
  noteLateStart(Run);
}

// The worker's next report lacks the run as well.
void Coordinator::Impl::onRepeatRefused(RunEntry &Run) {
  --Run.StartsSent_;
  if (Run.Phase_ != RunPhase::StartSent)
    return;
  Run.Phase_ = RunPhase::StartUnconfirmed;
  Run.PhaseSince_ = now();
}

std::optional<LateStart>
Coordinator::Impl::recordedLateStart(const TaskEntry &Task,
                                     const TaskId &Id) const {
  if (!Task.LateStartOn_.empty())
    if (const auto *Late = findLateStart(Task.LateStartOn_, Id);
        Late != nullptr && !isOver(Task.LateStartOn_, *Late))
      return LateStart{Task.LateStartOn_, Late->Run_, Late->State_};
  if (Task.Done_ || Task.Runs_.size() != 1 || !Task.Location_ ||
      Task.Location_->Located_)
    return std::nullopt;
  const RunEntry &Run = *Task.Runs_.front();
  if (Run.Located_ || areStartsRefused(Run) ||
      Run.Worker_->Info_.Id_ != Task.Location_->Worker_)
    return std::nullopt;
  return LateStart{Task.Location_->Worker_, Run.Number_,
                   LateStartState::InFlight};
}

void Coordinator::Impl::restoreLateStart(const TaskId &Id,
                                         const LateStart &Late,
                                         bool HandedOver) {
  if (internal::LateStartEntry *Known = findLateStart(Late.Worker_, Id)) {
    Known->State_ = std::max(Known->State_, Late.State_);
    Known->HandedOver_ = Known->HandedOver_ || HandedOver;
    return;
  }
  LateStarts_[Late.Worker_].push_back(
      {Id, Late.Run_, Late.State_, {}, true, HandedOver});
}

// A record may be older than the last start of its task, but not than one at
// another worker.
void Coordinator::Impl::restoreLateStarts(JobEntry &Job,
                                          const JobProgress &Progress) {
  for (const auto &[Position, Late] : Progress.LateStarts_) {
    createStartedOccurrence(Job, Position.Occurrence_);
    auto Location = Progress.Locations_.find(Position);
    if (Location == Progress.Locations_.end() ||
        Location->second.Worker_ == Late.Worker_)
      restoreLateStart({Job.Id_, Position}, Late, false);
  }
}

// The progress of a job may be older than the handover.
void Coordinator::Impl::forgetLateStartsNotHandedOver() {
  for (auto It = LateStarts_.begin(); It != LateStarts_.end();) {
    auto Over = std::partition(
        It->second.begin(), It->second.end(),
        [](const internal::LateStartEntry &Late) { return Late.HandedOver_; });
    for (auto Each = Over; Each != It->second.end(); ++Each)
      logLateStartOver(It->first, *Each, "not-handed-over");
    It->second.erase(Over, It->second.end());
    It = It->second.empty() ? LateStarts_.erase(It) : std::next(It);
  }
}

void Coordinator::Impl::expectRestoredLateStarts() {
  if (HandoverNamesLateStarts_)
    forgetLateStartsNotHandedOver();
  std::size_t Logged = 0;
  for (auto &[WorkerId, Entries] : LateStarts_)
    for (internal::LateStartEntry &Late : Entries) {
      Late.Until_ = now() + Settings_.Times_.MaxRequestDelay_;
      if (++Logged <= MaxAwaitedLines)
        base::logEvent(base::LogLevel::Info, "start-awaited",
                       {{"task", taskName(Late.Task_)},
                        {"run", Late.Run_},
                        {"worker", WorkerId},
                        {"state", LateStartStateNames.name(Late.State_)},
                        {"handed_over", Late.HandedOver_},
                        {"until_ms", base::toMillis(Late.Until_ - now())},
                        {"term", Settings_.Term_}});
      TaskEntry *Task = findTask(Late.Task_);
      // It has been given up since.
      bool IsElsewhere = Task != nullptr && Task->Location_ &&
                         Task->Location_->Worker_ != WorkerId;
      if (Task == nullptr || IsElsewhere)
        continue;
      Task->LateStartOn_ = WorkerId;
      if (!isUnfinished(Late.Task_) || Task->Location_)
        continue;
      setLocation(*Task, TaskLocation{WorkerId, false});
      JobEntry &Job = *findJob(Late.Task_.Job_);
      markDirty(Job);
      Task->LocationVersion_ = Job.Version_;
    }
}

void Coordinator::Impl::resumeLateStarts(WorkerEntry &Worker,
                                         const WorkerReport &Report,
                                         base::TimePoint SentAt) {
  auto It = LateStarts_.find(Worker.Info_.Id_);
  if (It == LateStarts_.end())
    return;
  for (internal::LateStartEntry &Late : It->second) {
    Late.Unseen_ = false;
    TaskEntry *Task = findTask(Late.Task_);
    if (Task == nullptr || Task->LateStartOn_ != It->first ||
        !isUnfinished(Late.Task_) || !Task->Runs_.empty())
      continue;
    // This incarnation refuses the start.
    if (std::any_of(Report.Ended_.begin(), Report.Ended_.end(),
                    [&](const RunResult &Result) {
                      return Result.Run_ == Late.Run_ &&
                             Result.Task_.Position_ == Late.Task_.Position_ &&
                             Result.Task_.Job_ == Late.Task_.Job_;
                    }))
      continue;
    JobEntry &Job = *findJob(Late.Task_.Job_);
    StepEntry &Step = *findStep(Job, Late.Task_.Position_);
    if (!Step.Released_)
      continue;
    RunEntry &Run = addRun(Step, *Task, Worker, Late.Run_);
    Run.Phase_ = RunPhase::StartUnconfirmed;
    Run.PhaseSince_ = SentAt;
    Run.StartedAt_ = Late.Until_ - Settings_.Times_.MaxRequestDelay_;
    Run.StartsSent_ = static_cast<int>(Late.State_);
    Task->LastRun_ = std::max(Task->LastRun_, Late.Run_);
  }
  // Those that may not have been sent are no reason to wait any longer.
  auto InFlight =
      std::partition(It->second.begin(), It->second.end(),
                     [](const internal::LateStartEntry &Late) {
                       return Late.State_ != LateStartState::InFlight;
                     });
  for (auto Each = InFlight; Each != It->second.end(); ++Each)
    if (TaskEntry *Task = findTask(Each->Task_))
      Task->LateStartOn_.clear();
  It->second.erase(InFlight, It->second.end());
  if (It->second.empty())
    LateStarts_.erase(It);
}

} // namespace crocuslead::jobs
