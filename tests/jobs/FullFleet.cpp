#include "jobs/FullFleet.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace crocuslead::jobs::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int WorkerCount = 490;
constexpr int WorkersPerRack = 8;
constexpr int InitialWatchers = 163;
constexpr int InitialPlans = 43;
constexpr auto TickTime = milliseconds(50);
constexpr int ServedFactor = 3;
constexpr double MaxWorkFactor = 4;

std::vector<WorkProfile> profiles() {
  WorkProfile Confirmation;
  Confirmation.Queue_ = FullFleet::Confirmations;
  Confirmation.JobsPerSecond_ = 17.4;
  Confirmation.MeanSteps_ = 1.6;
  Confirmation.MeanTasks_ = 9.5;
  Confirmation.TaskSpread_ = 0.8;
  Confirmation.MaxTasks_ = 57;
  Confirmation.MeanMilliCpu_ = 2'700;
  Confirmation.MaxMilliCpu_ = 8'100;
  Confirmation.CpuSpread_ = 0.45;
  Confirmation.MeanMemoryMb_ = 5'400;
  Confirmation.MaxMemoryMb_ = 11'000;
  Confirmation.MeanRunSeconds_ = 0.64;
  Confirmation.MaxRunSeconds_ = 1.6;
  Confirmation.FailureShare_ = 0.02;
  Confirmation.HopelessShare_ = 0.01;
  Confirmation.SpeculativeShare_ = 0.3;
  Confirmation.TargetFactor_ = 1.5;
  Confirmation.TargetOffset_ = milliseconds(600);
  Confirmation.Worth_ = 0.334;
  Confirmation.LateWorth_ = 0.0502;

  WorkProfile Plan;
  Plan.Queue_ = FullFleet::Plans;
  Plan.Priority_ = 2;
  Plan.JobsPerSecond_ = 16;
  Plan.MeanSteps_ = 2;
  Plan.MeanTasks_ = 20;
  Plan.TaskSpread_ = 0.6;
  Plan.MaxTasks_ = 80;
  Plan.MeanMilliCpu_ = 1'800;
  Plan.MaxMilliCpu_ = 3'500;
  Plan.CpuSpread_ = 0.3;
  Plan.MeanMemoryMb_ = 3'200;
  Plan.MaxMemoryMb_ = 6'400;
  Plan.MeanRunSeconds_ = 2.7;
  Plan.MaxRunSeconds_ = 6.8;
  Plan.FailureShare_ = 0.05;
  Plan.TargetFactor_ = 2;
  Plan.TargetOffset_ = seconds(1);
  Plan.Worth_ = 1.82;
  Plan.LateWorth_ = 0.273;
  Plan.BestEffort_ = true;

  WorkProfile Watcher;
  Watcher.Queue_ = FullFleet::Watchers;
  Watcher.JobsPerSecond_ = 0.9;
  Watcher.MeanTasks_ = 14;
  Watcher.TaskSpread_ = 0.4;
  Watcher.MaxTasks_ = 28;
  Watcher.MeanMilliCpu_ = 3'200;
  Watcher.MaxMilliCpu_ = 5'100;
  Watcher.CpuSpread_ = 0.25;
  Watcher.MeanMemoryMb_ = 6'400;
  Watcher.MaxMemoryMb_ = 13'000;
  Watcher.MeanStaySeconds_ = 70;
  Watcher.LongRunning_ = true;
  return {Confirmation, Plan, Watcher};
}

} // namespace

FullFleet::FullFleet(uint64_t Seed)
    : World_(Seed), Random_(Seed ^ 0x5eed), Profiles_(profiles()) {
  for (const WorkProfile &Profile : Profiles_) {
    QueueConfig Queue;
    Queue.Name_ = Profile.Queue_;
    Queue.Service_ = "desk";
    Queue.Priority_ = Profile.Priority_;
    Queue.MaxAttempts_ = 4;
    Queue.TargetFactor_ = Profile.TargetFactor_;
    Queue.TargetOffset_ = Profile.TargetOffset_;
    World_.Config_.Queues_[Queue.Name_] = Queue;
  }
  World_.MaxAttempts_ = 4;
  World_.MaxPollWait_ = seconds(1);
  World_.RunPlan_ = [this](const TaskId &Task) { return planRun(Task); };
  for (int I = 0; I < WorkerCount; ++I) {
    std::string Id = "w" + std::to_string(I);
    int64_t Size = I % 3 == 2 ? 3 : 2;
    World_.addWorker(Id, 8'000 * Size, "d" + std::to_string(I % 6));
    World_.worker(Id).Info_.Capacity_.MemoryMb_ = 32'000 * Size;
    World_.worker(Id).Info_.Rack_ = "r" + std::to_string(I / WorkersPerRack);
  }
  World_.startSuccessor();
  World_.run(seconds(1));
  for (int I = 0; I < InitialWatchers; ++I)
    submit(Profiles_[2]);
  World_.run(seconds(4));
  for (int I = 0; I < InitialPlans; ++I)
    submit(Profiles_[1]);
  World_.run(seconds(1));
  Jobs_.clear();
  JobIndex_.clear();
}

// Log-normal around the mean, cut off at Max.
double FullFleet::spread(double Mean, double Spread, double Max) {
  constexpr double Pi = 3.14159265358979;
  double Normal = std::sqrt(-2 * std::log(1 - Random_.unit())) *
                  std::cos(2 * Pi * Random_.unit());
  double Sigma = std::sqrt(std::log(1 + Spread * Spread));
  return std::min(Max, Mean * std::exp(Sigma * Normal - Sigma * Sigma / 2));
}

void FullFleet::submit(const WorkProfile &Profile) {
  auto Steps = static_cast<uint32_t>(Profile.MeanSteps_ +
                                     (Random_.unit() < 0.5 ? 0.0 : 0.9999));
  JobSpec Spec = chainJob(std::max(1U, Steps), 1);
  Job Entry;
  double Slowest = 0;
  for (StepSpec &Step : Spec.Steps_) {
    Step.Count_ = static_cast<uint32_t>(
        std::max(1.0, spread(Profile.MeanTasks_, Profile.TaskSpread_,
                             Profile.MaxTasks_)));
    Step.Request_ = {
        static_cast<int64_t>(spread(Profile.MeanMilliCpu_, Profile.CpuSpread_,
                                    Profile.MaxMilliCpu_)),
        static_cast<int64_t>(
            spread(Profile.MeanMemoryMb_, 0.3, Profile.MaxMemoryMb_)),
        0};
    double RunSeconds =
        spread(Profile.MeanRunSeconds_, 0.5, Profile.MaxRunSeconds_);
    Step.EstimatedDuration_ = std::chrono::duration_cast<base::Duration>(
        std::chrono::duration<double>(RunSeconds));
    Step.LongRunning_ = Profile.LongRunning_;
    Step.BestEffort_ = Step.Checkpoints_ = Profile.BestEffort_;
    Step.Speculative_ = Random_.unit() < Profile.SpeculativeShare_;
    if (Profile.LongRunning_)
      Step.TailLatencyTarget_ = milliseconds(50);
    if (Profile.LongRunning_ || Profile.BestEffort_)
      Step.Image_ = Profile.Queue_ + std::to_string(Random_.below(10));
    Slowest += RunSeconds;
    Entry.Work_ +=
        Step.Count_ * static_cast<double>(Step.Request_.MilliCpu_) * RunSeconds;
  }
  Entry.Id_ = Profile.Queue_ + "-" + std::to_string(World_.Jobs_.size());
  Entry.Profile_ = &Profile;
  Entry.AcceptedAt_ = World_.now();
  Entry.Target_ =
      Profile.TargetOffset_ +
      std::chrono::duration_cast<base::Duration>(
          std::chrono::duration<double>(Profile.TargetFactor_ * Slowest));
  Entry.Hopeless_ = Random_.unit() < Profile.HopelessShare_;
  if (Profile.LongRunning_) {
    constexpr double MaxStayFactor = 3;
    double Stay = spread(Profile.MeanStaySeconds_, 0.5,
                         MaxStayFactor * Profile.MeanStaySeconds_);
    Cancellations_.emplace(World_.now() +
                               std::chrono::duration_cast<base::Duration>(
                                   std::chrono::duration<double>(Stay)),
                           Entry.Id_);
  }
  JobIndex_[Entry.Id_] = Jobs_.size();
  World_.submit(Entry.Id_, std::move(Spec), Profile.Queue_);
  Jobs_.push_back(std::move(Entry));
}

// Tasks of a step take between 0.85 and 1.15 times its declared time.
std::pair<base::Duration, bool> FullFleet::planRun(const TaskId &Task) {
  const JobRecord &Record = World_.Jobs_.at(Task.Job_);
  const StepSpec &Step = Record.Spec_.Steps_[Task.Position_.Step_];
  auto RunTime = std::chrono::duration_cast<base::Duration>(
      Step.EstimatedDuration_ * (0.85 + 0.3 * Random_.unit()));
  double FailureShare = 0;
  for (const WorkProfile &Profile : Profiles_)
    if (Profile.Queue_ == Record.Queue_)
      FailureShare = Profile.FailureShare_;
  auto It = JobIndex_.find(Task.Job_);
  bool Hopeless = It != JobIndex_.end() && Jobs_[It->second].Hopeless_;
  return {RunTime, Hopeless || Random_.unit() < FailureShare};
}

void FullFleet::startFlapping(double Share, base::Duration Period) {
  FlapPeriod_ = Period;
  for (int I = 0; I < static_cast<int>(Share * WorkerCount); ++I) {
    std::string Id = "w" + std::to_string(Random_.below(WorkerCount));
    NextFlip_[Id] = World_.now() + std::chrono::duration_cast<base::Duration>(
                                       Period * Random_.unit());
  }
}

void FullFleet::stopFlapping() {
  for (const auto &[Id, At] : NextFlip_)
    World_.worker(Id).DropsRequests_ = false;
  NextFlip_.clear();
}

void FullFleet::flip(const std::string &Id) {
  FakeWorker &Worker = World_.worker(Id);
  Worker.DropsRequests_ = !Worker.DropsRequests_;
  NextFlip_[Id] =
      World_.now() + std::chrono::duration_cast<base::Duration>(
                         FlapPeriod_ * (0.7 + 0.6 * Random_.unit()));
}

void FullFleet::run(base::Duration Time, double Factor) {
  base::TimePoint End = World_.now() + Time;
  while (World_.now() < End) {
    for (const WorkProfile &Profile : Profiles_) {
      double Expected =
          Factor * Profile.JobsPerSecond_ * base::toSeconds(TickTime);
      while (Random_.unit() < Expected) {
        submit(Profile);
        Expected -= 1;
      }
    }
    for (const auto &[Id, At] : std::map(NextFlip_))
      if (World_.now() >= At)
        flip(Id);
    while (!Cancellations_.empty() &&
           Cancellations_.begin()->first <= World_.now()) {
      World_.cancel(Cancellations_.begin()->second);
      Cancellations_.erase(Cancellations_.begin());
    }
    World_.run(TickTime);
    recordEnds();
  }
}

void FullFleet::settle(base::Duration Time) { run(Time, 0); }

void FullFleet::recordEnds() {
  for (Job &Each : Jobs_)
    if (!Each.DoneAt_ && World_.state(Each.Id_) == JobState::Completed)
      Each.DoneAt_ = World_.now();
}

void FullFleet::add(ClassOutcome &Class, const Job &Each, double MeanWork) {
  const WorkProfile &Profile = *Each.Profile_;
  double Weight = std::min(MaxWorkFactor, 0.3 + 0.7 * Each.Work_ / MeanWork);
  ++Class.Jobs_;
  Class.Owed_ += Weight * Profile.Worth_;
  if (!Each.DoneAt_)
    return;
  base::Duration Age = *Each.DoneAt_ - Each.AcceptedAt_;
  if (Age > ServedFactor * Each.Target_)
    return;
  ++Class.Served_;
  bool Met = Age <= Each.Target_;
  Class.Met_ += Met ? 1 : 0;
  Class.Worth_ += Weight * (Met ? Profile.Worth_ : Profile.LateWorth_);
}

Outcome FullFleet::outcome(const std::string &Queue) const {
  std::vector<const Job *> Owed;
  double MeanWork = 0;
  for (const Job &Each : Jobs_)
    if (Each.Profile_->Queue_ == Queue && !Each.Hopeless_) {
      Owed.push_back(&Each);
      MeanWork += Each.Work_;
    }
  MeanWork /= std::max<double>(1, static_cast<double>(Owed.size()));
  std::sort(Owed.begin(), Owed.end(),
            [](const Job *A, const Job *B) { return A->Work_ > B->Work_; });
  Outcome Out;
  for (std::size_t I = 0; I < Owed.size(); ++I) {
    ClassOutcome &Class = I < Owed.size() / 10       ? Out.LargestTenth_
                          : I < 3 * Owed.size() / 10 ? Out.NextFifth_
                                                     : Out.Rest_;
    add(Class, *Owed[I], MeanWork);
    add(Out.All_, *Owed[I], MeanWork);
  }
  return Out;
}

double FullFleet::totalWorth() const {
  Outcome Short = outcome(Confirmations);
  Outcome Long = outcome(Plans);
  return (Short.All_.Worth_ + Long.All_.Worth_) /
         (Short.All_.Owed_ + Long.All_.Owed_);
}

std::string FullFleet::report() const {
  std::string Out;
  char Line[200];
  for (const char *Queue : {Confirmations, Plans}) {
    Outcome Result = outcome(Queue);
    for (const auto &[Name, Class] :
         {std::make_pair("all", Result.All_),
          std::make_pair("largest tenth", Result.LargestTenth_),
          std::make_pair("next fifth", Result.NextFifth_),
          std::make_pair("rest", Result.Rest_)}) {
      std::snprintf(Line, sizeof(Line),
                    "%-14s %-14s jobs %4d met %.3f served %.3f\n", Queue, Name,
                    Class.Jobs_, Class.metShare(), Class.servedShare());
      Out += Line;
    }
  }
  std::snprintf(Line, sizeof(Line), "total worth %.3f\n", totalWorth());
  return Out + Line;
}

} // namespace crocuslead::jobs::test
