#include "jobs/internal/Impl.h"

#include "base/Log.h"

#include <algorithm>

namespace crocuslead::jobs {

namespace {

// Serving tasks reserve for their peak and use about this much of it
// (docs/decisions/best-effort.md).
constexpr double ServingUse = 0.4;
// Weights of a worker's score; the free share of the CPU counts 1. Those of
// best-effort tasks are from docs/decisions/best-effort.md.
constexpr double RackScore = 10;
constexpr double SlownessScore = 1.0;
constexpr double SpeedWeight = 2;
constexpr double SlackScore = 0.5;
constexpr double SameImageScore = 0.4;
constexpr double MaxImageScore = 2.0;
// Workers without serving tasks are used last.
constexpr double NoServingScore = 0.4;
constexpr double NoServingPacking = 0.1;
// Best-effort tasks start where they can work at this share of their speed.
constexpr double MinStartSpeed = 0.8;
constexpr double AvoidedScore = 5;
// A copy is started when a task takes this many times the time expected.
constexpr double CopyFactor = 2.0;
constexpr auto MinCopyAge = std::chrono::milliseconds(700);
// Starts of one pass, so that a large queue does not hold up the event loop.
constexpr int MaxStartsPerPass = 200;

} // namespace

bool Coordinator::Impl::isStartable(const StepEntry &Step,
                                    const TaskEntry &Of) const {
  return !Of.Done_ && Of.Runs_.empty() &&
         !(Recovering_ && Step.Job_->Restored_);
}

bool Coordinator::Impl::fits(const StepEntry &Step, WorkerEntry &On) const {
  const StepSpec &Spec = *Step.Spec_;
  base::Resources Need = Spec.Request_;
  if (Spec.BestEffort_)
    Need.MilliCpu_ = 0;
  if (!(On.Reserved_ + Need).fitsIn(On.Info_.Room_))
    return false;
  if (!Spec.BestEffort_)
    return true;
  if (On.TailOverTarget_)
    return false;
  if (On.BestEffortMilliCpu_ == 0)
    return achievableSpeed(Step, On) >= MinStartSpeed;
  double Idle =
      static_cast<double>(On.Info_.Room_.MilliCpu_ - On.Reserved_.MilliCpu_) +
      (1 - ServingUse) * static_cast<double>(On.ServingMilliCpu_);
  return static_cast<double>(On.BestEffortMilliCpu_ +
                             Spec.Request_.MilliCpu_) <= Idle &&
         achievableSpeed(Step, On) >= MinStartSpeed;
}

bool Coordinator::Impl::acceptsStarts(const WorkerEntry &On) const {
  return On.Polled_ && On.PollFailures_ == 0 && On.InfoConfirmed_ &&
         On.RecordDurable_ && On.Registered_ && !On.Info_.Draining_ &&
         On.Clock_ && DomainsOut_.count(On.Info_.Domain_) == 0;
}

bool Coordinator::Impl::isEligible(const StepEntry &Step,
                                   WorkerEntry &On) const {
  const StepSpec &Spec = *Step.Spec_;
  if (!acceptsStarts(On))
    return false;
  if (!Spec.RequiredLabel_.empty() &&
      std::find(On.Info_.Labels_.begin(), On.Info_.Labels_.end(),
                Spec.RequiredLabel_) == On.Info_.Labels_.end())
    return false;
  if (Spec.MaxPerWorker_ > 0) {
    auto Here =
        std::count_if(On.Runs_.begin(), On.Runs_.end(),
                      [&](const RunEntry *R) { return R->Step_ == &Step; });
    if (Here >= static_cast<int64_t>(Spec.MaxPerWorker_))
      return false;
  }
  return fits(Step, On);
}

// Serving tasks are packed, so that workers without any are left for the
// best-effort images that disturb all of them; and those of one image, which
// bear the same neighbours, are kept together.
double Coordinator::Impl::packingScore(const StepEntry &Step,
                                       const WorkerEntry &On) const {
  double Images = 0;
  for (const RunEntry *Each : On.Runs_)
    if (Each->Step_->Spec_->TailTarget_.count() > 0)
      Images +=
          Each->Step_->Image_ == Step.Image_ ? SameImageScore : -SameImageScore;
  double Room =
      std::max<double>(1, static_cast<double>(On.Info_.Room_.MilliCpu_));
  double Score = static_cast<double>(On.Reserved_.MilliCpu_) / Room +
                 std::clamp(Images, -MaxImageScore, MaxImageScore) -
                 SlownessScore * std::max(0.0, On.Slowdown_ - 1);
  return On.ServingRuns_ == 0 ? Score - NoServingPacking : Score;
}

double Coordinator::Impl::placementScore(const StepEntry &Step, WorkerEntry &On,
                                         const std::string &WantedRack) const {
  const StepSpec &Spec = *Step.Spec_;
  double Room =
      std::max<double>(1, static_cast<double>(On.Info_.Room_.MilliCpu_));
  double Used =
      static_cast<double>(On.Reserved_.MilliCpu_ + On.BestEffortMilliCpu_) -
      (1 - ServingUse) * static_cast<double>(On.ServingMilliCpu_);
  double Score =
      1 - (Used + static_cast<double>(Spec.Request_.MilliCpu_)) / Room;
  Score -= SlownessScore * std::max(0.0, On.Slowdown_ - 1);
  if (Spec.BestEffort_)
    Score += SpeedWeight * achievableSpeed(Step, On) +
             SlackScore * headroomSlack(Step, On) -
             (On.ServingRuns_ == 0 ? NoServingScore : 0);
  if (Spec.TailTarget_.count() > 0)
    Score = packingScore(Step, On);
  if (!WantedRack.empty() && WantedRack == On.Info_.Rack_)
    Score += RackScore;
  return Score;
}

std::vector<Coordinator::Impl::Candidate>
Coordinator::Impl::rankWorkers(const StepEntry &Step,
                               const std::string &WantedRack) {
  std::vector<Candidate> Out;
  const QueueConfig *Queue = queueConfig(*Step.Job_);
  if (Queue == nullptr)
    return Out;
  base::TimePoint Now = now();
  for (WorkerEntry *Each : WorkerOrder_) {
    if (Each->Info_.Service_ != Queue->Service_ || !isEligible(Step, *Each))
      continue;
    double Score = placementScore(Step, *Each, WantedRack);
    Out.push_back(
        {Each, Now < Each->AvoidUntil_ ? Score - AvoidedScore : Score});
  }
  return Out;
}

// The best worker for one task, or none.
Coordinator::Impl::Candidate *
Coordinator::Impl::bestCandidate(std::vector<Candidate> &Ranked,
                                 const TaskEntry &Of) {
  Candidate *Best = nullptr;
  double BestScore = 0;
  for (Candidate &Each : Ranked) {
    // Copies of one task belong on different workers.
    bool Here =
        std::any_of(Of.Runs_.begin(), Of.Runs_.end(), [&](const RunEntry *R) {
          return R->Worker_ == Each.Worker_;
        });
    if (Here)
      continue;
    double Score = Each.Score_;
    if (!Of.AvoidedWorker_.empty() &&
        Of.AvoidedWorker_ == Each.Worker_->Info_.Id_)
      Score -= AvoidedScore;
    if (Best == nullptr || Score > BestScore) {
      Best = &Each;
      BestScore = Score;
    }
  }
  return Best;
}

Coordinator::Impl::WorkerEntry *
Coordinator::Impl::chooseWorker(const StepEntry &Step, const TaskEntry &Of,
                                const std::string &WantedRack) {
  std::vector<Candidate> Ranked = rankWorkers(Step, WantedRack);
  Candidate *Best = bestCandidate(Ranked, Of);
  return Best != nullptr ? Best->Worker_ : nullptr;
}

// Workers are weighed once for all tasks of the step; a start changes only the
// worker that it goes to.
bool Coordinator::Impl::placeStep(StepEntry &Step) {
  if (Step.Spec_->Gang_)
    return placeGang(Step);
  bool Placed = false;
  std::string Rack = Step.Spec_->DataRack_;
  std::optional<std::vector<Candidate>> Ranked;
  for (TaskEntry &Of : Step.Tasks_) {
    if (!isStartable(Step, Of))
      continue;
    if (!Ranked)
      Ranked = rankWorkers(Step, Rack);
    Candidate *Chosen = bestCandidate(*Ranked, Of);
    if (Chosen == nullptr)
      break;
    WorkerEntry &On = *Chosen->Worker_;
    startRun(Step, Of, On, Step.Job_->NextRunNumber_++);
    Placed = true;
    if (Step.Spec_->TightlyCoupled_ && Rack.empty()) {
      Rack = On.Info_.Rack_;
      Ranked.reset();
    } else if (isEligible(Step, On)) {
      Chosen->Score_ = placementScore(Step, On, Rack);
    } else {
      *Chosen = Ranked->back();
      Ranked->pop_back();
    }
  }
  return Placed;
}

bool Coordinator::Impl::placeGang(StepEntry &Step) {
  for (TaskEntry &Of : Step.Tasks_)
    if (!isStartable(Step, Of))
      return false;
  uint64_t Number = Step.Job_->NextRunNumber_++;
  std::string Rack = Step.Spec_->DataRack_;
  std::vector<std::pair<TaskEntry *, WorkerEntry *>> Chosen;
  std::vector<RunEntry *> Reserved;
  for (TaskEntry &Of : Step.Tasks_) {
    WorkerEntry *On = chooseWorker(Step, Of, Rack);
    if (On == nullptr)
      break;
    if (Step.Spec_->TightlyCoupled_ && Rack.empty())
      Rack = On->Info_.Rack_;
    Chosen.emplace_back(&Of, On);
    Reserved.push_back(&addRun(Step, Of, *On, Number));
  }
  for (RunEntry *Each : Reserved)
    removeRun(*Each);
  if (Chosen.size() < Step.Tasks_.size())
    return false;
  // Members resume from the same checkpoint.
  std::string Checkpoint;
  for (const TaskEntry &Of : Step.Tasks_)
    if (!Of.Checkpoint_.empty())
      Checkpoint = Of.Checkpoint_;
  for (auto &[Of, On] : Chosen) {
    Of->Checkpoint_ = Checkpoint;
    startRun(Step, *Of, *On, Number);
  }
  return true;
}

// What found no worker in a pass: best-effort images, for which the size hardly
// matters, and the smallest sizes of steps without a wish for a label.
struct Coordinator::Impl::UnplaceableSteps {
  std::set<internal::ImageNumber> Images_;
  std::map<std::string, std::vector<base::Resources>> Sizes_;

  bool covers(const StepEntry &Step) const {
    if (Step.Spec_->BestEffort_)
      return Images_.count(Step.Image_) > 0;
    auto It = Sizes_.find(Step.Job_->Record_.Queue_);
    return It != Sizes_.end() &&
           std::any_of(It->second.begin(), It->second.end(),
                       [&](const base::Resources &Size) {
                         return Size.fitsIn(Step.Spec_->Request_);
                       });
  }
  void add(const StepEntry &Step) {
    const StepSpec &Spec = *Step.Spec_;
    if (Spec.BestEffort_)
      Images_.insert(Step.Image_);
    else if (Spec.RequiredLabel_.empty() && Spec.MaxPerWorker_ == 0 &&
             !Spec.Gang_)
      Sizes_[Step.Job_->Record_.Queue_].push_back(Spec.Request_);
  }
};

void Coordinator::Impl::placeReadySteps() {
  PlacementRequested_ = false;
  if (Superseded_)
    return;
  base::TimePoint Now = now();
  for (Urgency Which : {Urgency::Serving, Urgency::OnTime, Urgency::Late})
    placeSteps(Which, Now);
}

// Long-running tasks are missed at every moment that they do not run. Jobs that
// can still meet their target go before those that are late.
Coordinator::Impl::Urgency Coordinator::Impl::urgencyOf(const StepEntry &Step,
                                                        base::TimePoint Now) {
  if (Step.Spec_->LongRunning_)
    return Urgency::Serving;
  return Now + Step.Spec_->Estimate_ > Step.Job_->CompletionTarget_
             ? Urgency::Late
             : Urgency::OnTime;
}

void Coordinator::Impl::placeSteps(Urgency Which, base::TimePoint Now) {
  int Starts = 0;
  UnplaceableSteps Failed;
  for (auto It = ReadySteps_.begin(); It != ReadySteps_.end();) {
    StepEntry &Step = *It->second;
    if (Failed.covers(Step)) {
      ++It;
      continue;
    }
    if (urgencyOf(Step, Now) != Which) {
      ++It;
      continue;
    }
    if (placeStep(Step))
      ++Starts;
    bool Waits = std::any_of(
        Step.Tasks_.begin(), Step.Tasks_.end(),
        [](const TaskEntry &Of) { return !Of.Done_ && Of.Runs_.empty(); });
    if (Waits && !(Recovering_ && Step.Job_->Restored_))
      Failed.add(Step);
    It = Waits ? std::next(It) : ReadySteps_.erase(It);
    if (Starts >= MaxStartsPerPass) {
      PlacementRequested_ = true;
      return;
    }
  }
}

void Coordinator::Impl::startSpeculativeCopies() {
  std::vector<RunEntry *> Late;
  for (auto &[Serial, Each] : Runs_) {
    StepEntry &Step = *Each->Step_;
    const TaskEntry &Of = Step.Tasks_[Each->Position_.Index_];
    if (!Step.Spec_->Speculative_ || Each->Phase_ == RunPhase::StartSent ||
        Of.Done_ || isFinal(Each->Job_->State_) || Of.Runs_.size() > 1)
      continue;
    base::Duration Age = now() - Each->StartedAt_;
    double Expected = Step.RunSamples_ > 0
                          ? Step.MeanRunSeconds_
                          : base::toSeconds(Step.Spec_->Estimate_);
    bool Unsure =
        Each->Phase_ != RunPhase::Running || !isReachable(*Each->Worker_);
    if (Unsure ||
        (Age > MinCopyAge && base::toSeconds(Age) > CopyFactor * Expected))
      Late.push_back(Each.get());
  }
  for (RunEntry *Each : Late) {
    TaskEntry &Of = Each->Step_->Tasks_[Each->Position_.Index_];
    if (WorkerEntry *On = chooseWorker(*Each->Step_, Of, "");
        On != nullptr && !Of.Done_)
      startRun(*Each->Step_, Of, *On, Each->Job_->NextRunNumber_++);
  }
}

} // namespace crocuslead::jobs
