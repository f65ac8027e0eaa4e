#include "ScheduleWork.h"

#include <algorithm>
#include <cmath>

namespace crocuslead::bench {

using schedule::Decision;
using schedule::DecisionKind;
using schedule::PendingTask;
using schedule::TaskClass;
using schedule::TaskNumber;

namespace {

constexpr std::size_t Workspaces = 140;
constexpr std::size_t Domains = 8;
constexpr std::size_t RackSize = 10;
constexpr double ServicesPerWorker = 5300.0 / 1100;
constexpr double BatchPerWorker = 7600.0 / 1100;
constexpr std::size_t KindsPerClass = 12;
constexpr std::size_t SlowdownBuckets = 1000;
constexpr double SlowdownStep = 0.01;
constexpr std::chrono::seconds EvictionTime(2);
constexpr std::chrono::seconds ReportLag(10);
constexpr uint64_t RoundsPerReport = 10;
constexpr double CheckpointSeconds = 300;
constexpr int TurnSteps = 300;

} // namespace

Work::Work(schedule::PlannerPolicy Policy, std::size_t Workers, uint64_t Seed)
    : Source_(Seed), Plan_(Policy), Workers_(Workers), OnWorker_(Workers),
      WaitingOf_(Workspaces + 2), Slowdowns_(SlowdownBuckets) {
  for (std::size_t I = 0; I < Workers; ++I) {
    schedule::WorkerInfo Info;
    Info.Worker_ = static_cast<schedule::WorkerNumber>(I);
    Info.Rack_ = static_cast<schedule::RackNumber>(I / RackSize);
    Info.Domain_ = static_cast<schedule::DomainNumber>(Info.Rack_ % Domains);
    Info.Capacity_ = I % 2 == 0 ? base::Resources{16000, 60000, 0}
                                : base::Resources{32000, 125000, 0};
    Fleet_ += Info.Capacity_;
    Plan_.upsertWorker(Info);
    Infos_.push_back(Info);
  }
  // One batch kind in four disturbs services.
  Truth_.assign(2 * KindsPerClass, std::vector<double>(2 * KindsPerClass));
  for (std::size_t From = 0; From < 2 * KindsPerClass; ++From)
    for (double &Each : Truth_[From])
      Each = From >= KindsPerClass && From % 4 == 0
                 ? 0.05 + 0.25 * Source_.unit()
                 : 0.01 * Source_.unit();
  std::vector<schedule::WorkspaceShare> Shares;
  double Sum = 0;
  for (std::size_t I = 0; I < Workspaces; ++I)
    Sum += Shares_.emplace_back(0.2 + Source_.unit());
  for (std::size_t I = 0; I < Workspaces; ++I) {
    Shares_[I] *= 0.95 / Sum;
    schedule::WorkspaceShare Share;
    Share.Workspace_ = static_cast<schedule::WorkspaceNumber>(I + 1);
    Share.AgreedShare_ = Shares_[I];
    Share.Priority_ = static_cast<int>(Source_.below(10));
    Shares.push_back(Share);
  }
  Plan_.setWorkspaces(Shares, Fleet_);
}

PendingTask Work::makeTask(TaskClass Class) {
  PendingTask Task;
  Task.Task_ = Next_++;
  bool Batch = Class == TaskClass::Batch;
  Task.Workspace_ =
      static_cast<schedule::WorkspaceNumber>(1 + Source_.below(Workspaces));
  Task.Job_ = Batch ? Task.Task_ : Task.Task_ / 8;
  Task.Class_ = Class;
  Task.Deferrable_ = Batch && Source_.below(4) != 0;
  Task.Kind_ = static_cast<schedule::KindNumber>(Source_.below(KindsPerClass) +
                                                 (Batch ? KindsPerClass : 0));
  auto Cpu = static_cast<int64_t>(250 * (2 + Source_.below(11)));
  auto Memory = static_cast<int64_t>(512 * (2 + Source_.below(16)));
  Task.Request_ = {Cpu, Memory, 0};
  Task.Submitted_ = Now_;
  return Task;
}

void Work::submit(const PendingTask &Task) {
  Waiting_[Task.Task_] = Task;
  WaitingOrder_.push_back(Task.Task_);
  ++WaitingOf_[Task.Workspace_];
  UrgentWaiting_ += Task.Urgent_ ? 1 : 0;
  Plan_.addPending(Task);
}

void Work::fill() {
  auto Part = [&](double PerWorker) {
    return static_cast<std::size_t>(PerWorker * static_cast<double>(Workers_));
  };
  for (std::size_t I = 0; I < Part(ServicesPerWorker); ++I)
    submit(makeTask(TaskClass::LatencyCritical));
  for (std::size_t I = 0; I < Part(BatchPerWorker); ++I)
    submit(makeTask(TaskClass::Batch));
  for (int I = 0; I < 200 && !Waiting_.empty(); ++I) {
    settle(plan());
    advance(std::chrono::seconds(1));
  }
}

void Work::addUrgent(std::size_t Count) {
  for (std::size_t I = 0; I < Count; ++I) {
    PendingTask Task = makeTask(TaskClass::Batch);
    Task.Urgent_ = true;
    Task.Deferrable_ = false;
    // It arrived at some time since the last tick.
    Task.Submitted_ -= std::chrono::milliseconds(Source_.below(100));
    submit(Task);
  }
}

void Work::addWaiting(std::size_t Count) {
  for (std::size_t I = 0; I < Count; ++I)
    submit(makeTask(TaskClass::Batch));
}

void Work::addOversized(std::size_t Count, std::size_t Shapes) {
  for (std::size_t I = 0; I < Count; ++I) {
    PendingTask Task = makeTask(TaskClass::Batch);
    Task.Workspace_ = Workspaces + 1;
    auto Shape = static_cast<int64_t>(I % Shapes);
    Task.Request_ = {28000 + 5 * Shape, 100000 - 100 * Shape, 0};
    submit(Task);
  }
}

// Gives the planner estimates, as a fleet in service has them.
void Work::learn() {
  for (int Round = 0; Round < 5; ++Round) {
    for (std::size_t I = 0; I < OnWorker_.size(); ++I)
      for (TaskNumber Each : OnWorker_[I])
        Plan_.reportUsage({Each, Now_, base::Resources{},
                           std::min(1.0, 1 / slowdownOf(Running_.at(Each)))});
    settle(plan());
    advance(std::chrono::seconds(20));
  }
}

void Work::churn(std::size_t Count) {
  for (std::size_t I = 0; I < Count && !BatchOrder_.empty(); ++I)
    finish(BatchOrder_[Source_.below(BatchOrder_.size())]);
  addUrgent(Count / 10);
  addWaiting(Count - Count / 10);
}

void Work::cancel(std::size_t Count) {
  for (std::size_t I = 0; I < Count / 2 && !BatchOrder_.empty(); ++I)
    finish(BatchOrder_[Source_.below(BatchOrder_.size())]);
  for (std::size_t Left = Count / 2; Left > 0 && !WaitingOrder_.empty();) {
    TaskNumber Task = WaitingOrder_.back();
    WaitingOrder_.pop_back();
    auto Found = Waiting_.find(Task);
    if (Found == Waiting_.end() || Found->second.Urgent_)
      continue;
    --WaitingOf_[Found->second.Workspace_];
    Waiting_.erase(Found);
    Plan_.removePending(Task);
    --Left;
  }
}

void Work::begin(const Decision &Made) {
  PendingTask Task = Waiting_.at(Made.Task_);
  Waiting_.erase(Made.Task_);
  --WaitingOf_[Task.Workspace_];
  if (Task.Urgent_) {
    --UrgentWaiting_;
    Delays_.push_back(base::toSeconds(Now_ - Task.Submitted_));
  }
  Running &Added = Running_[Made.Task_];
  Added.Task_ = Task;
  Added.Worker_ = Made.Worker_;
  OnWorker_[Made.Worker_].push_back(Made.Task_);
  if (Task.Class_ != TaskClass::Batch)
    return;
  Added.Slot_ = BatchOrder_.size();
  BatchOrder_.push_back(Made.Task_);
  Progress &State = Progress_[Made.Task_];
  if (State.Total_ <= 0)
    State.Total_ = -1200 * std::log(1 - Source_.unit()) + 10;
  State.SavedAt_ = Now_;
}

void Work::finish(TaskNumber Task) {
  auto Found = Running_.find(Task);
  if (Found == Running_.end())
    return;
  Running Gone = Found->second;
  auto &Here = OnWorker_[Gone.Worker_];
  Here.erase(std::find(Here.begin(), Here.end(), Task));
  if (Gone.Task_.Class_ == TaskClass::Batch) {
    BatchOrder_[Gone.Slot_] = BatchOrder_.back();
    Running_[BatchOrder_[Gone.Slot_]].Slot_ = Gone.Slot_;
    BatchOrder_.pop_back();
  }
  Running_.erase(Task);
  Plan_.release(Task);
  if (!Gone.Ending_) {
    Progress_.erase(Task);
    return;
  }
  // What was done since the last checkpoint is lost.
  Progress &State = Progress_[Task];
  LostSeconds_ += (State.Done_ - State.Saved_) *
                  static_cast<double>(Gone.Task_.Request_.MilliCpu_) / 1000;
  State.Done_ = State.Saved_;
  ++Gone.Task_.Restarts_;
  submit(Gone.Task_);
}

void Work::settle(const std::vector<Decision> &Made) {
  for (const Decision &Each : Made) {
    if (Each.Kind_ == DecisionKind::Start) {
      begin(Each);
    } else if (Each.Kind_ == DecisionKind::Evict) {
      ++Evictions_;
      ++EvictionsFor_[static_cast<std::size_t>(Each.Reason_)];
      Running_.at(Each.Task_).Ending_ = true;
      Ends_.emplace_back(Now_ + EvictionTime, Each.Task_);
    } else if (Each.Kind_ == DecisionKind::Throttle) {
      Running_.at(Each.Task_).Throttle_ = Each.ThrottlePercent_ / 100.0;
    } else if (Waiting_.erase(Each.Task_) > 0) {
      // Only single tasks are rejected here.
    }
  }
}

void Work::advance(base::Duration Step) {
  Now_ += Step;
  while (!Ends_.empty() && Ends_.front().first <= Now_) {
    finish(Ends_.front().second);
    Ends_.pop_front();
  }
  while (!Reports_.empty() && Reports_.front().At_ <= Now_) {
    Plan_.reportUsage(Reports_.front().Usage_);
    Reports_.pop_front();
  }
}

void Work::shiftDemand(int Step) {
  // A third of the workspaces ask for more than their share at any time.
  for (std::size_t I = 0; I < Workspaces; ++I) {
    bool Active = (static_cast<std::size_t>(Step / TurnSteps) + I) % 3 == 0;
    for (std::size_t Added = 0; Active && WaitingOf_[I + 1] < 20 && Added < 5;
         ++Added) {
      PendingTask Task = makeTask(TaskClass::Batch);
      Task.Workspace_ = static_cast<schedule::WorkspaceNumber>(I + 1);
      submit(Task);
    }
  }
}

double Work::slowdownOf(const Running &Task) const {
  double Sum = 1;
  for (TaskNumber Each : OnWorker_[Task.Worker_]) {
    const Running &Other = Running_.at(Each);
    if (Each != Task.Task_.Task_)
      Sum +=
          (1 - Other.Throttle_) * Truth_[Other.Task_.Kind_][Task.Task_.Kind_];
  }
  return Sum;
}

void Work::progress(Running &Task, double Seconds, double Slowdown) {
  if (Task.Task_.Class_ == TaskClass::LatencyCritical) {
    SlowdownSum_ += Slowdown;
    auto Bucket = static_cast<std::size_t>((Slowdown - 1) / SlowdownStep);
    ++Slowdowns_[std::min(Bucket, SlowdownBuckets - 1)];
    return;
  }
  Progress &State = Progress_[Task.Task_.Task_];
  State.Done_ += Seconds * (1 - Task.Throttle_) / Slowdown;
  if (base::toSeconds(Now_ - State.SavedAt_) < CheckpointSeconds)
    return;
  State.Saved_ = State.Done_;
  State.SavedAt_ = Now_;
  Plan_.reportCheckpoint(Task.Task_.Task_, Now_);
}

void Work::work(base::Duration Step) {
  ++Round_;
  std::vector<TaskNumber> Done;
  for (std::size_t I = 0; I < OnWorker_.size(); ++I) {
    bool Reports = (Round_ + I) % RoundsPerReport == 0;
    for (TaskNumber Each : OnWorker_[I]) {
      Running &Task = Running_.at(Each);
      double Slowdown = slowdownOf(Task);
      progress(Task, base::toSeconds(Step), Slowdown);
      if (Reports) {
        double Noise = 1 + 0.05 * (Source_.unit() - 0.5);
        double Speed = std::min(1.0, Noise / Slowdown);
        Reports_.push_back(
            {Now_ + ReportLag, {Each, Now_, base::Resources{}, Speed}});
      }
      auto State = Progress_.find(Each);
      if (!Task.Ending_ && State != Progress_.end() &&
          State->second.Done_ >= State->second.Total_)
        Done.push_back(Each);
    }
  }
  for (TaskNumber Each : Done) {
    BatchSeconds_ +=
        Progress_[Each].Total_ *
        static_cast<double>(Running_.at(Each).Task_.Request_.MilliCpu_) / 1000;
    finish(Each);
  }
}

std::vector<schedule::RunningTask> Work::running() const {
  std::vector<schedule::RunningTask> Result;
  for (const auto &Here : OnWorker_)
    for (TaskNumber Each : Here) {
      const Running &Task = Running_.at(Each);
      Result.push_back({Task.Task_, Task.Worker_, Now_, Now_});
    }
  return Result;
}

double Work::urgentDelay(double Quantile) const {
  if (Delays_.empty())
    return 0;
  std::vector<double> Sorted = Delays_;
  std::sort(Sorted.begin(), Sorted.end());
  return Sorted[static_cast<std::size_t>(
      Quantile * static_cast<double>(Sorted.size() - 1))];
}

double Work::meanSlowdown() const {
  std::size_t Count = 0;
  for (std::size_t Each : Slowdowns_)
    Count += Each;
  return Count == 0 ? 0 : SlowdownSum_ / static_cast<double>(Count);
}

double Work::slowdownQuantile(double Quantile) const {
  std::size_t Count = 0;
  for (std::size_t Each : Slowdowns_)
    Count += Each;
  auto Rank = static_cast<std::size_t>(Quantile * static_cast<double>(Count));
  for (std::size_t I = 0; I < Slowdowns_.size(); ++I) {
    if (Rank < Slowdowns_[I])
      return 1 + SlowdownStep * (static_cast<double>(I) + 0.5);
    Rank -= Slowdowns_[I];
  }
  return 0;
}

} // namespace crocuslead::bench
