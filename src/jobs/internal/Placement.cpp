#include "jobs/internal/Impl.h"

#include "base/Log.h"

#include <algorithm>

namespace crocuslead::jobs {

namespace {

// Serving tasks reserve CPU for their peak load and use about this share of it
// (docs/decisions/best-effort.md).
constexpr double ServingUtilization = 0.4;
// Weights in the score of a worker, relative to its free share of the CPU,
// which has weight 1. docs/decisions/best-effort.md gives the reasons for those
// of best-effort tasks.
constexpr double RackBonus = 10;
constexpr double SlowdownWeight = 1.0;
constexpr double SpeedWeight = 2;
constexpr double SlackWeight = 0.5;
constexpr double SameImageBonus = 0.4;
constexpr double MaxImageBonus = 2.0;
// Makes workers without serving tasks the last choice.
constexpr double NoServingPenalty = 0.4;
constexpr double NoServingPackingPenalty = 0.1;
// Best-effort tasks start only on workers that allow this share of full speed.
constexpr double MinStartSpeed = 0.8;
constexpr double AvoidedPenalty = 5;
// Tasks that have waited for this long also start on workers on probation: on a
// full fleet, a longer wait would cost more than a run on a lost worker.
constexpr auto ProbationPatience = std::chrono::milliseconds(300);

} // namespace

bool Coordinator::Impl::isStartable(const StepEntry &Step,
                                    const TaskEntry &Task) const {
  return !Task.Done_ && Task.Runs_.empty() && hasRecovered(Step, Task) &&
         !mayStartLate(Step, Task) &&
         Confirmation_.coversRevision(Step.Job_->Revision_) &&
         (Task.Crashes_.empty() ||
          Step.Job_->DurableVersion_ >= Task.CrashesVersion_);
}

bool Coordinator::Impl::fits(const StepEntry &Step, WorkerEntry &Worker) const {
  const StepSpec &Spec = *Step.Spec_;
  base::Resources Required = Spec.Request_;
  if (Spec.BestEffort_)
    Required.MilliCpu_ = 0;
  if (!(Worker.Reserved_ + Required).fitsIn(Worker.Info_.Capacity_))
    return false;
  if (!Spec.BestEffort_)
    return true;
  if (Worker.TailOverTarget_)
    return false;
  if (Worker.BestEffortMilliCpu_ == 0)
    return achievableSpeed(Step, Worker) >= MinStartSpeed;
  double Idle =
      static_cast<double>(Worker.Info_.Capacity_.MilliCpu_ -
                          Worker.Reserved_.MilliCpu_) +
      (1 - ServingUtilization) * static_cast<double>(Worker.ServingMilliCpu_);
  return static_cast<double>(Worker.BestEffortMilliCpu_ +
                             Spec.Request_.MilliCpu_) <= Idle &&
         achievableSpeed(Step, Worker) >= MinStartSpeed;
}

bool Coordinator::Impl::acceptsStarts(const WorkerEntry &Worker) const {
  return isAvailable(Worker) &&
         (Worker.HeldBackSequence_ == 0 || mayTryHeldBackWorker(Worker));
}

bool Coordinator::Impl::isAvailable(const WorkerEntry &Worker) const {
  return Worker.Polled_ && Worker.PollFailures_ == 0 && Worker.InfoConfirmed_ &&
         !mustAwaitAcknowledgement(Worker) && Worker.RecordDurable_ &&
         Worker.Registered_ && !Worker.Info_.Draining_ &&
         !Worker.StartsExcluded_ && Worker.Clock_ &&
         DomainsOut_.count(Worker.Info_.Domain_) == 0;
}

bool Coordinator::Impl::hasRequiredLabel(const StepSpec &Spec,
                                         const WorkerEntry &Worker) {
  const std::vector<std::string> &Labels = Worker.Info_.Labels_;
  return Spec.RequiredLabel_.empty() ||
         std::find(Labels.begin(), Labels.end(), Spec.RequiredLabel_) !=
             Labels.end();
}

bool Coordinator::Impl::isAtStepLimit(const StepEntry &Step,
                                      const WorkerEntry &Worker) {
  if (Step.Spec_->MaxPerWorker_ == 0)
    return false;
  auto RunsHere =
      std::count_if(Worker.Runs_.begin(), Worker.Runs_.end(),
                    [&](const RunEntry *Run) { return Run->Step_ == &Step; });
  return RunsHere >= static_cast<int64_t>(Step.Spec_->MaxPerWorker_);
}

bool Coordinator::Impl::isEligible(const StepEntry &Step,
                                   WorkerEntry &Worker) const {
  const StepSpec &Spec = *Step.Spec_;
  if (!acceptsStarts(Worker))
    return false;
  if (!hasRequiredLabel(Spec, Worker) || Worker.IsolatedRuns_ > 0)
    return false;
  // The members of a gang start together.
  if (Spec.Gang_ && Worker.isAcknowledging())
    return false;
  return !isAtStepLimit(Step, Worker) && !isHeldForOther(Step, Worker) &&
         fits(Step, Worker);
}

// Packs serving tasks on few workers. That leaves workers without serving tasks
// for best-effort images that would disturb every serving image. Tasks of the
// same serving image are kept together because they tolerate the same
// best-effort images.
double Coordinator::Impl::packingScore(const StepEntry &Step,
                                       const WorkerEntry &Worker) const {
  double ImageAffinity = 0;
  for (const RunEntry *Run : Worker.Runs_)
    if (Run->Step_->Spec_->TailLatencyTarget_.count() > 0)
      ImageAffinity +=
          Run->Step_->Image_ == Step.Image_ ? SameImageBonus : -SameImageBonus;
  double CapacityMilliCpu = std::max<double>(
      1, static_cast<double>(Worker.Info_.Capacity_.MilliCpu_));
  double Score =
      static_cast<double>(Worker.Reserved_.MilliCpu_) / CapacityMilliCpu +
      std::clamp(ImageAffinity, -MaxImageBonus, MaxImageBonus) -
      SlowdownWeight * std::max(0.0, Worker.Slowdown_ - 1);
  return Worker.ServingRuns_ == 0 ? Score - NoServingPackingPenalty : Score;
}

double
Coordinator::Impl::placementScore(const StepEntry &Step, WorkerEntry &Worker,
                                  const std::string &PreferredRack) const {
  const StepSpec &Spec = *Step.Spec_;
  double CapacityMilliCpu = std::max<double>(
      1, static_cast<double>(Worker.Info_.Capacity_.MilliCpu_));
  double UsedMilliCpu =
      static_cast<double>(Worker.Reserved_.MilliCpu_ +
                          Worker.BestEffortMilliCpu_) -
      (1 - ServingUtilization) * static_cast<double>(Worker.ServingMilliCpu_);
  double Score =
      1 - (UsedMilliCpu + static_cast<double>(Spec.Request_.MilliCpu_)) /
              CapacityMilliCpu;
  Score -= SlowdownWeight * std::max(0.0, Worker.Slowdown_ - 1);
  if (Spec.BestEffort_)
    Score += SpeedWeight * achievableSpeed(Step, Worker) +
             SlackWeight * headroomSlack(Step, Worker) -
             (Worker.ServingRuns_ == 0 ? NoServingPenalty : 0);
  if (Spec.TailLatencyTarget_.count() > 0)
    Score = packingScore(Step, Worker);
  if (!PreferredRack.empty() && PreferredRack == Worker.Info_.Rack_)
    Score += RackBonus;
  return Score;
}

// Runs go on while their worker is out of reach. That costs a short task more
// than its run time, but little where the task is long or never ends.
bool Coordinator::Impl::acceptsProbation(const StepEntry &Step) const {
  return internal::workKind(*Step.Spec_) != internal::WorkKind::Batch ||
         longestWait(Step) >= ProbationPatience;
}

std::vector<Coordinator::Impl::Candidate>
Coordinator::Impl::rankWorkers(const StepEntry &Step,
                               const std::string &PreferredRack) {
  std::vector<Candidate> Out;
  const QueueConfig *Queue = queueConfig(*Step.Job_);
  if (Queue == nullptr)
    return Out;
  base::TimePoint Now = now();
  bool AcceptsProbation = acceptsProbation(Step);
  for (WorkerEntry *Worker : WorkerOrder_) {
    if (Worker->Info_.Service_ != Queue->Service_ || !isEligible(Step, *Worker))
      continue;
    bool OnProbation = Now < Worker->ProbationUntil_;
    if (OnProbation && !AcceptsProbation)
      continue;
    double Score = placementScore(Step, *Worker, PreferredRack);
    bool Avoided = OnProbation || Now < Worker->AvoidUntil_;
    Out.push_back({Worker, Avoided ? Score - AvoidedPenalty : Score});
  }
  return Out;
}

// Returns the candidate with the highest score for a task, or null.
Coordinator::Impl::Candidate *
Coordinator::Impl::bestCandidate(std::vector<Candidate> &Ranked,
                                 const TaskEntry &Task) const {
  bool Isolate = mustIsolate(Task);
  Candidate *Best = nullptr;
  double BestScore = 0;
  for (Candidate &Ranking : Ranked) {
    // Copies of a task must run on different workers.
    bool RunsTask = std::any_of(
        Task.Runs_.begin(), Task.Runs_.end(),
        [&](const RunEntry *Run) { return Run->Worker_ == Ranking.Worker_; });
    if (RunsTask || (Isolate && !isIsolatingWorker(*Ranking.Worker_)))
      continue;
    double Score = Ranking.Score_;
    if (!Task.AvoidedWorker_.empty() &&
        Task.AvoidedWorker_ == Ranking.Worker_->Info_.Id_)
      Score -= AvoidedPenalty;
    if (Best == nullptr || Score > BestScore) {
      Best = &Ranking;
      BestScore = Score;
    }
  }
  return Best;
}

Coordinator::Impl::WorkerEntry *
Coordinator::Impl::chooseWorker(const StepEntry &Step, const TaskEntry &Task,
                                const std::string &PreferredRack) {
  std::vector<Candidate> Ranked = rankWorkers(Step, PreferredRack);
  Candidate *Best = bestCandidate(Ranked, Task);
  return Best != nullptr ? Best->Worker_ : nullptr;
}

// Scores all workers once for all tasks of the step, because a start changes
// only the score of the worker that it goes to. The exception is the first
// start of a tightly coupled step, which sets the preferred rack.
bool Coordinator::Impl::placeStep(StepEntry &Step) {
  if (Step.Spec_->Gang_)
    return placeGang(Step);
  bool Placed = false;
  std::string Rack = Step.Spec_->DataRack_;
  std::optional<std::vector<Candidate>> Ranked;
  for (TaskEntry &Task : Step.Tasks_) {
    if (!isStartable(Step, Task))
      continue;
    if (!maySendStart())
      break;
    if (!Ranked)
      Ranked = rankWorkers(Step, Rack);
    Candidate *Chosen = bestCandidate(*Ranked, Task);
    // An isolated task may lack a worker where others don't.
    if (Chosen == nullptr && mustIsolate(Task))
      continue;
    if (Chosen == nullptr)
      break;
    if (announceIfSuspected(*Step.Job_, Task))
      continue;
    WorkerEntry &Worker = *Chosen->Worker_;
    startRun(Step, Task, Worker, Step.Job_->NextRunNumber_++,
             mustRecordStart(Step, Task));
    Placed = true;
    if (Step.Spec_->TightlyCoupled_ && Rack.empty()) {
      Rack = Worker.Info_.Rack_;
      Ranked.reset();
    } else if (isEligible(Step, Worker)) {
      Chosen->Score_ = placementScore(Step, Worker, Rack);
    } else {
      *Chosen = Ranked->back();
      Ranked->pop_back();
    }
  }
  return Placed;
}

bool Coordinator::Impl::placeGang(StepEntry &Step) {
  for (TaskEntry &Task : Step.Tasks_)
    if (!isStartable(Step, Task))
      return false;
  uint64_t Number = Step.Job_->NextRunNumber_++;
  std::string Rack = Step.Spec_->DataRack_;
  std::vector<std::pair<TaskEntry *, WorkerEntry *>> Assignments;
  std::vector<RunEntry *> Reservations;
  for (TaskEntry &Task : Step.Tasks_) {
    WorkerEntry *Worker = chooseWorker(Step, Task, Rack);
    if (Worker == nullptr)
      break;
    if (Step.Spec_->TightlyCoupled_ && Rack.empty())
      Rack = Worker->Info_.Rack_;
    Assignments.emplace_back(&Task, Worker);
    Reservations.push_back(&addRun(Step, Task, *Worker, Number));
  }
  for (RunEntry *Run : Reservations)
    removeRun(*Run, internal::TimeUse::Capacity);
  if (Assignments.size() < Step.Tasks_.size())
    return false;
  bool Announces = false;
  for (TaskEntry &Task : Step.Tasks_)
    Announces = announceIfSuspected(*Step.Job_, Task) || Announces;
  if (Announces)
    return false;
  // All members of a gang start at the same time, from the same checkpoint.
  std::string Checkpoint;
  bool RecordFirst = false;
  for (const TaskEntry &Task : Step.Tasks_) {
    if (!Task.Checkpoint_.empty())
      Checkpoint = Task.Checkpoint_;
    RecordFirst = RecordFirst || mustRecordStart(Step, Task);
  }
  for (auto &[Task, Worker] : Assignments) {
    Task->Checkpoint_ = Checkpoint;
    startRun(Step, *Task, *Worker, Number, RecordFirst);
  }
  return true;
}

internal::PlacementNeeds
Coordinator::Impl::placementNeeds(const StepEntry &Step) const {
  const StepSpec &Spec = *Step.Spec_;
  internal::PlacementNeeds Out;
  if (const QueueConfig *Queue = queueConfig(*Step.Job_))
    Out.Service_ = Queue->Service_;
  Out.RequiredLabel_ = Spec.RequiredLabel_;
  Out.Request_ = Spec.Request_;
  if (Spec.BestEffort_)
    Out.BestEffortImage_ = Step.Image_;
  Out.AcceptsProbation_ = acceptsProbation(Step);
  Out.Limited_ = Spec.Gang_ || Spec.MaxPerWorker_ > 0;
  return Out;
}

// Whether the fleet could not run the step even without other tasks. Such steps
// stay in the queue, as a suitable worker may join, but must cost no time.
bool Coordinator::Impl::isUnsatisfiable(StepEntry &Step) const {
  if (Step.CheckedFleetVersion_ == FleetVersion_)
    return Step.Unsatisfiable_;
  Step.CheckedFleetVersion_ = FleetVersion_;
  const QueueConfig *Queue = queueConfig(*Step.Job_);
  const StepSpec &Spec = *Step.Spec_;
  base::Resources Request = Spec.Request_;
  if (Spec.BestEffort_)
    Request.MilliCpu_ = 0;
  uint32_t Wanted = Spec.Gang_ ? Spec.Count_ : 1;
  uint32_t Places = 0;
  for (const WorkerEntry *Worker : WorkerOrder_) {
    if (Queue == nullptr || Worker->Info_.Service_ != Queue->Service_ ||
        !hasRequiredLabel(Spec, *Worker))
      continue;
    uint32_t Limit =
        Spec.MaxPerWorker_ > 0 ? std::min(Spec.MaxPerWorker_, Wanted) : Wanted;
    base::Resources Used = Request;
    for (uint32_t Here = 0;
         Here < Limit && Used.fitsIn(Worker->Info_.Capacity_); ++Here) {
      ++Places;
      Used += Request;
    }
    if (Places >= Wanted)
      break;
  }
  Step.Unsatisfiable_ = Places < Wanted;
  return Step.Unsatisfiable_;
}

} // namespace crocuslead::jobs
