#include "schedule/Planner.h"

#include <map>
#include <unordered_map>
#include <utility>

namespace crocuslead::schedule {

namespace {

struct WorkerState {
  WorkerInfo Info_;
  base::Resources Committed_;

  base::Resources free() const { return Info_.Capacity_ - Committed_; }
};

} // namespace

class Planner::Impl {
public:
  bool usable(const WorkerState &Worker) const {
    auto Found = Domains_.find(Worker.Info_.Domain_);
    return Worker.Info_.Schedulable_ &&
           (Found == Domains_.end() || Found->second);
  }

  void occupy(const RunningTask &Task) {
    release(Task.Task_.Task_);
    Pending_.erase(Task.Task_.Task_);
    Workers_[Task.Worker_].Committed_ += Task.Task_.Request_;
    Running_[Task.Task_.Task_] = Task;
  }

  void release(TaskNumber Task) {
    auto Found = Running_.find(Task);
    if (Found == Running_.end())
      return;
    Workers_[Found->second.Worker_].Committed_ -= Found->second.Task_.Request_;
    Running_.erase(Found);
  }

  //! First worker with room, in order of worker numbers.
  std::optional<WorkerNumber> firstFit(const base::Resources &Request) const {
    for (const auto &[Number, Worker] : Workers_)
      if (usable(Worker) && Request.fitsIn(Worker.free()))
        return Number;
    return std::nullopt;
  }

  std::map<WorkerNumber, WorkerState> Workers_;
  std::map<DomainNumber, bool> Domains_;
  std::vector<WorkspaceShare> Shares_;
  std::map<TaskNumber, PendingTask> Pending_;
  std::unordered_map<TaskNumber, RunningTask> Running_;
};

Planner::Planner(PlannerPolicy /*Policy*/) : Impl_(std::make_unique<Impl>()) {}
Planner::~Planner() = default;

void Planner::upsertWorker(const WorkerInfo &Info) {
  Impl_->Workers_[Info.Worker_].Info_ = Info;
}

void Planner::removeWorker(WorkerNumber Worker) {
  Impl_->Workers_.erase(Worker);
}

void Planner::setWorkspaces(std::vector<WorkspaceShare> Shares,
                            const base::Resources & /*FleetCapacity*/) {
  Impl_->Shares_ = std::move(Shares);
}

void Planner::setDomainAvailable(DomainNumber Domain, bool Available) {
  Impl_->Domains_[Domain] = Available;
}

void Planner::addPending(const PendingTask &Task) {
  Impl_->Pending_[Task.Task_] = Task;
}

void Planner::removePending(TaskNumber Task) { Impl_->Pending_.erase(Task); }

void Planner::occupy(const RunningTask &Task) { Impl_->occupy(Task); }

void Planner::release(TaskNumber Task) { Impl_->release(Task); }

void Planner::noteCheckpoint(TaskNumber Task, base::TimePoint At) {
  auto Found = Impl_->Running_.find(Task);
  if (Found != Impl_->Running_.end())
    Found->second.CheckpointAt_ = At;
}

void Planner::reportUsage(const TaskUsage & /*Usage*/) {}

void Planner::reportStart(WorkerNumber /*Worker*/, JobNumber /*Job*/,
                          bool /*Succeeded*/, base::TimePoint /*Now*/) {}

std::vector<Decision> Planner::plan(base::TimePoint Now, std::size_t Limit) {
  std::vector<Decision> Result;
  for (bool Urgent : {true, false}) {
    for (auto It = Impl_->Pending_.begin();
         It != Impl_->Pending_.end() && Result.size() < Limit;) {
      PendingTask Task = It->second;
      ++It;
      if (Task.Urgent_ != Urgent || Task.Gang_ != 0)
        continue;
      auto Worker = Impl_->firstFit(Task.Request_);
      if (!Worker)
        continue;
      Impl_->occupy({Task, *Worker, Now, Now});
      Result.push_back({DecisionKind::Start, Task.Task_, *Worker,
                        Urgent ? Reason::UrgentFirst : Reason::BestFit, 0,
                        base::Resources{}});
    }
  }
  return Result;
}

base::Resources Planner::committed(WorkerNumber Worker) const {
  auto Found = Impl_->Workers_.find(Worker);
  return Found == Impl_->Workers_.end() ? base::Resources{}
                                        : Found->second.Committed_;
}

base::Resources Planner::freeCapacity() const {
  base::Resources Free;
  for (const auto &[Number, Worker] : Impl_->Workers_)
    if (Impl_->usable(Worker))
      Free += Worker.free();
  return Free;
}

std::size_t Planner::pendingCount() const { return Impl_->Pending_.size(); }

std::optional<Reason> Planner::whyPending(TaskNumber Task) const {
  if (Impl_->Pending_.count(Task) == 0)
    return std::nullopt;
  return Reason::NoRoom;
}

} // namespace crocuslead::schedule
