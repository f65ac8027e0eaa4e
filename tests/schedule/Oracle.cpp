#include "Oracle.h"

namespace crocuslead::schedule::testing {

using std::chrono::hours;
using std::chrono::minutes;
using std::chrono::seconds;

base::Resources Oracle::allocated(WorkerNumber Worker) const {
  base::Resources Sum;
  for (const auto &[Number, Task] : Running_)
    if (Task.Run_.Worker_ == Worker)
      Sum += Task.Run_.Task_.Request_;
  return Sum;
}

bool Oracle::isDraining(const Running &Task) const {
  const WorkerInfo &Info = Workers_.at(Task.Run_.Worker_);
  return Info.Leaving_ || UnavailableDomains_.count(Info.Domain_) > 0;
}

// The failures of a job that failed on three workers and succeeded on none do
// not count against workers.
void Oracle::recordStart(WorkerNumber Worker, JobNumber Job, bool Succeeded,
                         base::TimePoint Now) {
  if (Succeeded) {
    Failures_.erase(Worker);
    Quarantined_.erase(Worker);
    Probes_.erase(Worker);
    FailedOn_.erase(Job);
    return;
  }
  if (Removed_.count(Worker) > 0)
    return;
  FailedOn_[Job].insert(Worker);
  auto &Failures = Failures_[Worker];
  Failures.push_back(Job);
  if (Quarantined_.count(Worker) > 0) {
    if (Probes_[Worker] != 0)
      Quarantined_[Worker] = Now + seconds(30);
    Probes_[Worker] = 0;
    return;
  }
  std::size_t Count = 0;
  std::set<JobNumber> Jobs;
  for (JobNumber FailedJob : Failures)
    if (FailedOn_[FailedJob].size() < 3) {
      ++Count;
      Jobs.insert(FailedJob);
    }
  if (Count < 3 || Jobs.size() < 2)
    return;
  Quarantined_[Worker] = Now + seconds(30);
  for (JobNumber FailedJob : Failures)
    FailedOn_[FailedJob].erase(Worker);
}

Oracle::Violation Oracle::applyStart(const Decision &D, base::TimePoint Now) {
  auto Entry = Pending_.find(D.Task_);
  if (Entry == Pending_.end() || Running_.count(D.Task_) > 0)
    return "started a task that is not pending";
  auto Target = Workers_.find(D.Worker_);
  if (Target == Workers_.end() || !Target->second.Schedulable_ ||
      Target->second.Leaving_)
    return "started on an unschedulable worker";
  if (UnavailableDomains_.count(Target->second.Domain_) > 0)
    return "started in an unavailable domain";
  auto Quarantine = Quarantined_.find(D.Worker_);
  if (Quarantine != Quarantined_.end()) {
    if (Now < Quarantine->second || Probes_[D.Worker_] != 0)
      return "started on a quarantined worker";
    Probes_[D.Worker_] = D.Task_;
  }
  Running_[D.Task_] = {{Entry->second, D.Worker_, Now, Now}, false};
  Pending_.erase(Entry);
  if (!allocated(D.Worker_).fitsIn(Target->second.Capacity_))
    return "allocated more than the capacity of a worker";
  return std::nullopt;
}

Oracle::Violation Oracle::applyEvict(const Decision &D, base::TimePoint Now) {
  auto It = Running_.find(D.Task_);
  if (It == Running_.end() || It->second.Evicting_ ||
      It->second.Run_.Worker_ != D.Worker_)
    return "evicted a task that does not run there or is being evicted already";
  Running &Task = It->second;
  Task.Evicting_ = true;
  auto &Earlier = Evictions_[D.Task_];
  auto LastDay = std::count_if(Earlier.begin(), Earlier.end(),
                               [&](auto At) { return Now < At + hours(24); });
  bool Restarted = LastDay > 0 || Task.Run_.Task_.Restarts_ > 0;
  Earlier.push_back(Now);
  if (D.Reason_ == Reason::DomainOut || D.Reason_ == Reason::WorkerLeaving) {
    bool Forced = isDraining(Task);
    for (const auto &[Number, Other] : Running_)
      Forced = Forced || (Task.Run_.Task_.Gang_ != 0 && isDraining(Other) &&
                          Other.Run_.Task_.Gang_ == Task.Run_.Task_.Gang_);
    if (!Forced)
      return "evicted as if draining, but neither worker nor domain is drained";
    return std::nullopt;
  }
  if (LastDay >= 3 || (Restarted && Now < Task.Run_.Started_ + minutes(10)))
    return "evicted a protected task";
  if (Task.Run_.Task_.Urgent_ && D.Reason_ != Reason::Interference)
    return "evicted an urgent task to free capacity";
  if (D.Reason_ != Reason::Interference && Pending_.empty())
    return "evicted although no task is pending";
  return std::nullopt;
}

Oracle::Violation Oracle::applyReject(const Decision &D) {
  auto Entry = Pending_.find(D.Task_);
  if (Entry == Pending_.end())
    return "rejected a task that is not pending";
  PendingTask Task = Entry->second;
  Pending_.erase(Entry);
  bool Fits = Task.Gang_ == 0;
  for (const auto &[Number, Info] : Workers_)
    if (Fits && Removed_.count(Number) == 0 &&
        Task.Request_.fitsIn(Info.Capacity_))
      return "rejected a task that fits an empty worker";
  return std::nullopt;
}

Oracle::Violation
Oracle::checkGangs(const std::vector<Decision> &Decisions) const {
  std::map<JobNumber, std::pair<std::size_t, std::size_t>> Started;
  for (const Decision &D : Decisions) {
    if (D.Kind_ != DecisionKind::Start)
      continue;
    const PendingTask &Task = Running_.at(D.Task_).Run_.Task_;
    auto &Count = Started[Task.Gang_];
    ++Count.first;
    Count.second = Task.GangSize_;
  }
  for (const auto &[Gang, Count] : Started)
    if (Gang != 0 && Count.first % Count.second != 0)
      return "started part of a gang";
  std::map<JobNumber, std::set<bool>> Evicting;
  for (const auto &[Number, Task] : Running_)
    Evicting[Task.Run_.Task_.Gang_].insert(Task.Evicting_);
  for (const auto &[Gang, States] : Evicting)
    if (Gang != 0 && States.size() > 1)
      return "evicted part of a gang";
  return std::nullopt;
}

Oracle::Violation Oracle::apply(const std::vector<Decision> &Decisions,
                                base::TimePoint Now, std::size_t Limit) {
  if (Decisions.size() > Limit)
    return "returned more decisions than the limit";
  bool OthersStarted = false;
  for (const Decision &D : Decisions) {
    Violation Result;
    if (D.Kind_ == DecisionKind::Start) {
      bool Urgent = D.Reason_ == Reason::UrgentFirst;
      if (Urgent && OthersStarted)
        return "started an urgent task after others";
      OthersStarted = OthersStarted || !Urgent;
      Result = applyStart(D, Now);
    } else if (D.Kind_ == DecisionKind::Evict) {
      Result = applyEvict(D, Now);
    } else if (D.Kind_ == DecisionKind::Reject) {
      Result = applyReject(D);
    } else if (Running_.count(D.Task_) == 0) {
      Result = "throttled a task that does not run";
    }
    if (Result)
      return Result;
  }
  return checkGangs(Decisions);
}

} // namespace crocuslead::schedule::testing
