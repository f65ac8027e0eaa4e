#include "jobs/internal/Impl.h"

#include "base/Log.h"

#include <algorithm>
#include <utility>

// A successor can't see the runs on workers that don't answer it, nor starts
// that were on their way. The progress of a job therefore names the one worker
// that may be running a task: for a long-running task before its first start,
// for others once a run is located. From then on the record names
// another worker before a start is sent to that one.
//
// A request may be taken by a later incarnation of its worker, which has the
// same id and address, and its answer does not name the incarnation. A run is
// located once a report, which does, lists it: it then ends with that
// incarnation or its lease.

namespace crocuslead::jobs {

namespace {

// A long-running task that finds no worker for this long is recorded without
// a run.
constexpr auto LostRunDelay = std::chrono::milliseconds(500);

} // namespace

void Coordinator::Impl::noteLocated(RunEntry &Run) {
  if (std::exchange(Run.Located_, true))
    return;
  recordLocation(Run);
  WorkerEntry &Worker = *Run.Worker_;
  if (unsentAcknowledgement(Worker) != 0)
    Worker.NextPollAt_ =
        std::min(Worker.NextPollAt_, now() + Congestion_.pollPause());
}

void Coordinator::Impl::requestLocations(WorkerEntry &Worker) {
  bool MoreOnTheirWay = std::any_of(
      Worker.Runs_.begin(), Worker.Runs_.end(),
      [](const RunEntry *Run) { return Run->Phase_ == RunPhase::StartSent; });
  if (!MoreOnTheirWay)
    Worker.NextPollAt_ = std::min(Worker.NextPollAt_, now());
}

void Coordinator::Impl::recordLocations(const WorkerEntry &Worker) {
  for (const RunEntry *Run : Worker.Runs_)
    recordLocation(*Run);
}

// The incarnation must be on record first: a successor bounds the leases of the
// one that the record names.
void Coordinator::Impl::recordLocation(const RunEntry &Run) {
  TaskEntry &Task = Run.Step_->Tasks_[Run.Position_.Index_];
  const StepSpec &Spec = *Run.Step_->Spec_;
  const std::string &Worker = Run.Worker_->Info_.Id_;
  if (Task.Done_ || isFinal(Run.Job_->State_) || Spec.Speculative_ ||
      Task.Runs_.size() != 1 || !Run.Located_ || !Run.Worker_->RecordDurable_)
    return;
  if (Task.Location_ && Task.Location_->Located_ &&
      Task.Location_->Worker_ == Worker)
    return;
  setLocation(Task, TaskLocation{Worker, true});
  markLocationDirty(*Run.Job_);
  Task.LocationVersion_ = Run.Job_->Version_;
}

void Coordinator::Impl::setLocation(TaskEntry &Task,
                                    std::optional<TaskLocation> Location) {
  Task.Location_ = std::move(Location);
  Task.LocationStale_ = false;
}

// Its record goes with the next change of the job, or once it has waited.
void Coordinator::Impl::forgetLocation(const RunEntry &Run, TaskEntry &Task) {
  if (!isStartRecorded(*Run.Step_->Spec_) || !Task.Location_ ||
      Task.Location_->Worker_ != Run.Worker_->Info_.Id_)
    return;
  Task.Location_.reset();
  Task.LocationStale_ = true;
}

void Coordinator::Impl::recordLostRuns() {
  for (auto &[Key, Step] : ReadySteps_) {
    if (!isStartRecorded(*Step->Spec_))
      continue;
    for (TaskEntry &Task : Step->Tasks_)
      if ((Task.Location_ || Task.LocationStale_) && Task.Runs_.empty() &&
          now() - Task.AccountedUntil_ >= LostRunDelay &&
          hasRecovered(*Step, Task)) {
        Task.Recovered_ = true;
        setLocation(Task, std::nullopt);
        markLocationDirty(*Step->Job_);
        Task.LocationVersion_ = Step->Job_->Version_;
      }
  }
}

bool Coordinator::Impl::mustRecordStart(const StepEntry &Step,
                                        const TaskEntry &Task) {
  return isStartRecorded(*Step.Spec_) || Task.Location_;
}

void Coordinator::Impl::announceStart(RunEntry &Run) {
  JobEntry &Job = *Run.Job_;
  TaskEntry &Task = Run.Step_->Tasks_[Run.Position_.Index_];
  Run.Phase_ = RunPhase::Announced;
  setLocation(Task, TaskLocation{Run.Worker_->Info_.Id_, false});
  markDirty(Job);
  Run.AnnouncedVersion_ = Task.LocationVersion_ = Job.Version_;
  AnnouncedRuns_.push_back(Run.Serial_);
}

// A later incarnation that took the start could take an acknowledgement that
// was sent before, and discard the result.
void Coordinator::Impl::delayStart(RunEntry &Run) {
  Run.Phase_ = RunPhase::Announced;
  AnnouncedRuns_.push_back(Run.Serial_);
}

void Coordinator::Impl::cancelStart(RunEntry &Run) {
  --StartsInFlight_;
  removeRun(Run, internal::TimeUse::Capacity);
}

// The members of a gang start together.
void Coordinator::Impl::cancelAnnounced(RunEntry &Run) {
  if (!Run.Step_->Spec_->Gang_) {
    cancelStart(Run);
    return;
  }
  uint64_t Number = Run.Number_;
  for (TaskEntry &Task : Run.Step_->Tasks_)
    for (RunEntry *Each : std::vector<RunEntry *>(Task.Runs_))
      if (Each->Phase_ == RunPhase::Announced && Each->Number_ == Number)
        cancelStart(*Each);
}

void Coordinator::Impl::cancelStarts(WorkerEntry &Worker) {
  for (RunEntry *Run : std::vector<RunEntry *>(Worker.Runs_))
    if (Run->Phase_ == RunPhase::Announced)
      cancelStart(*Run);
}

// While the store fails, a task that waited for the record would be down for as
// long. A successor doubts the record of a finite task if it learns of an end
// that is listed until it is durable, and any record if the store was silent
// for long.
bool Coordinator::Impl::mayStartUnrecorded(const RunEntry &Run) const {
  const TaskEntry &Task = Run.Step_->Tasks_[Run.Position_.Index_];
  bool EndListed = !isStartRecorded(*Run.Step_->Spec_) && Task.Previous_ &&
                   Task.Previous_->Listed_ &&
                   Run.Job_->DurableVersion_ < Task.Previous_->EndVersion_;
  return isStoreOut(Run.Step_->Spec_->LongRunning_) ||
         (isStoreFailing() && EndListed);
}

// The members of a gang start together.
bool Coordinator::Impl::mustDelay(const RunEntry &Run) {
  if (!Run.Step_->Spec_->Gang_)
    return Run.Worker_->isAcknowledging();
  for (const TaskEntry &Task : Run.Step_->Tasks_)
    for (const RunEntry *Each : Task.Runs_)
      if (Each->Phase_ == RunPhase::Announced && Each->Number_ == Run.Number_ &&
          Each->Worker_->isAcknowledging())
        return true;
  return false;
}

void Coordinator::Impl::sendAnnouncedStarts() {
  if (AnnouncedRuns_.empty() || Superseded_)
    return;
  bool MaySend = mayStartRuns();
  for (uint64_t Serial : std::exchange(AnnouncedRuns_, {})) {
    RunEntry *Run = findRun(Serial);
    if (Run == nullptr)
      continue;
    if (!isAvailable(*Run->Worker_)) {
      cancelAnnounced(*Run);
      continue;
    }
    bool Recorded = Run->Job_->DurableVersion_ >= Run->AnnouncedVersion_;
    if (!MaySend || mustDelay(*Run) ||
        (!Recorded && !mayStartUnrecorded(*Run))) {
      AnnouncedRuns_.push_back(Serial);
      continue;
    }
    if (!Recorded)
      UnrecordedRuns_.push_back(Serial);
    sendStart(*Run);
  }
}

bool Coordinator::Impl::isRecorded(const RunEntry &Run) {
  const TaskEntry &Task = Run.Step_->Tasks_[Run.Position_.Index_];
  return Task.Location_ && Task.Location_->Worker_ == Run.Worker_->Info_.Id_ &&
         Run.Job_->DurableVersion_ >= Task.LocationVersion_;
}

bool Coordinator::Impl::areOwnStartsRecorded(bool LongRunning) {
  UnrecordedRuns_.erase(
      std::remove_if(UnrecordedRuns_.begin(), UnrecordedRuns_.end(),
                     [this](uint64_t Serial) {
                       const RunEntry *Run = findRun(Serial);
                       return Run == nullptr || isRecorded(*Run);
                     }),
      UnrecordedRuns_.end());
  return std::none_of(
      UnrecordedRuns_.begin(), UnrecordedRuns_.end(), [&](uint64_t Serial) {
        return findRun(Serial)->Step_->Spec_->LongRunning_ == LongRunning;
      });
}

bool Coordinator::Impl::UnlocatedRuns::mayBeOf(const std::string &Job) const {
  return !Jobs_ || std::find(Jobs_->begin(), Jobs_->end(), Job) != Jobs_->end();
}

bool Coordinator::Impl::mayRunUnlocated(const std::string &WorkerId) const {
  auto It = UnlocatedRuns_.find(WorkerId);
  if (It == UnlocatedRuns_.end() ||
      (It->second.Jobs_ && It->second.Jobs_->empty()))
    return false;
  return now() < It->second.End_ || mustRecordUnlocated(WorkerId);
}

bool Coordinator::Impl::mustRecordUnlocated(const std::string &WorkerId) const {
  auto It = Workers_.find(WorkerId);
  return It != Workers_.end() && !It->second->Polled_ &&
         !(It->second->UnseenAbandoned_ && It->second->AbandonmentDurable_);
}

std::vector<std::string>
Coordinator::Impl::unlocatedJobs(const WorkerEntry &Worker) const {
  std::set<std::string> Jobs;
  for (const RunEntry *Run : Worker.Runs_)
    if (isUnlocated(*Run))
      Jobs.insert(Run->Job_->Id_);
  if (auto It = LateStarts_.find(Worker.Info_.Id_); It != LateStarts_.end())
    for (const internal::LateStartEntry &Late : It->second)
      if (isUnfinished(Late.Task_))
        Jobs.insert(Late.Task_.Job_);
  return {Jobs.begin(), Jobs.end()};
}

} // namespace crocuslead::jobs
