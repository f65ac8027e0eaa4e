#include "Oracle.h"

namespace crocuslead::schedule::testing {

using std::chrono::hours;
using std::chrono::minutes;
using std::chrono::seconds;

base::Resources Oracle::allocated(WorkerNumber Worker) const {
  base::Resources Sum;
  for (const auto &[Number, Each] : Running_)
    if (Each.Run_.Worker_ == Worker)
      Sum += Each.Run_.Task_.Request_;
  return Sum;
}

bool Oracle::isDraining(const Running &Task) const {
  const WorkerInfo &Info = Workers_.at(Task.Run_.Worker_);
  return Info.Leaving_ || Out_.count(Info.Domain_) > 0;
}

// A job that failed on three workers and succeeded nowhere counts against none.
void Oracle::recordStart(WorkerNumber Worker, JobNumber Job, bool Succeeded,
                         base::TimePoint Now) {
  if (Succeeded) {
    Streaks_.erase(Worker);
    Quarantined_.erase(Worker);
    Probes_.erase(Worker);
    FailedOn_.erase(Job);
    return;
  }
  if (Removed_.count(Worker) > 0)
    return;
  FailedOn_[Job].insert(Worker);
  auto &Streak = Streaks_[Worker];
  Streak.push_back(Job);
  if (Quarantined_.count(Worker) > 0) {
    if (Probes_[Worker] != 0)
      Quarantined_[Worker] = Now + seconds(30);
    Probes_[Worker] = 0;
    return;
  }
  std::size_t Count = 0;
  std::set<JobNumber> Jobs;
  for (JobNumber Each : Streak)
    if (FailedOn_[Each].size() < 3) {
      ++Count;
      Jobs.insert(Each);
    }
  if (Count < 3 || Jobs.size() < 2)
    return;
  Quarantined_[Worker] = Now + seconds(30);
  for (JobNumber Each : Streak)
    FailedOn_[Each].erase(Worker);
}

Oracle::Broken Oracle::applyStart(const Decision &Made, base::TimePoint Now) {
  auto Waiting = Pending_.find(Made.Task_);
  if (Waiting == Pending_.end() || Running_.count(Made.Task_) > 0)
    return "started a task that does not wait";
  auto Target = Workers_.find(Made.Worker_);
  if (Target == Workers_.end() || !Target->second.Schedulable_ ||
      Target->second.Leaving_)
    return "started on an unschedulable worker";
  if (Out_.count(Target->second.Domain_) > 0)
    return "started in a domain that is out";
  auto Quarantine = Quarantined_.find(Made.Worker_);
  if (Quarantine != Quarantined_.end()) {
    if (Now < Quarantine->second || Probes_[Made.Worker_] != 0)
      return "started on a quarantined worker";
    Probes_[Made.Worker_] = Made.Task_;
  }
  Running_[Made.Task_] = {{Waiting->second, Made.Worker_, Now, Now}, false};
  Pending_.erase(Waiting);
  if (!allocated(Made.Worker_).fitsIn(Target->second.Capacity_))
    return "committed a worker beyond its capacity";
  return std::nullopt;
}

Oracle::Broken Oracle::applyEvict(const Decision &Made, base::TimePoint Now) {
  auto Found = Running_.find(Made.Task_);
  if (Found == Running_.end() || Found->second.Evicting_ ||
      Found->second.Run_.Worker_ != Made.Worker_)
    return "evicted a task that does not run there or ends already";
  Running &Task = Found->second;
  Task.Evicting_ = true;
  auto &Before = Evictions_[Made.Task_];
  auto Today = std::count_if(Before.begin(), Before.end(),
                             [&](auto At) { return Now < At + hours(24); });
  bool Restarted = Today > 0 || Task.Run_.Task_.Restarts_ > 0;
  Before.push_back(Now);
  if (Made.Reason_ == Reason::DomainOut ||
      Made.Reason_ == Reason::WorkerLeaving) {
    bool Forced = isDraining(Task);
    for (const auto &[Number, Each] : Running_)
      Forced = Forced || (Task.Run_.Task_.Gang_ != 0 && isDraining(Each) &&
                          Each.Run_.Task_.Gang_ == Task.Run_.Task_.Gang_);
    if (!Forced)
      return "evicted for a departure that does not happen";
    return std::nullopt;
  }
  if (Today >= 3 || (Restarted && Now < Task.Run_.Started_ + minutes(10)))
    return "evicted a protected task";
  if (Task.Run_.Task_.Urgent_ && Made.Reason_ != Reason::Interference)
    return "evicted an urgent task to make room";
  if (Made.Reason_ != Reason::Interference && Pending_.empty())
    return "evicted although nothing waits";
  return std::nullopt;
}

Oracle::Broken Oracle::applyReject(const Decision &Made) {
  auto Waiting = Pending_.find(Made.Task_);
  if (Waiting == Pending_.end())
    return "rejected a task that does not wait";
  PendingTask Task = Waiting->second;
  Pending_.erase(Waiting);
  bool Fits = Task.Gang_ == 0;
  for (const auto &[Number, Info] : Workers_)
    if (Fits && Removed_.count(Number) == 0 &&
        Task.Request_.fitsIn(Info.Capacity_))
      return "rejected a task that a worker could hold";
  return std::nullopt;
}

Oracle::Broken Oracle::checkGangs(const std::vector<Decision> &Made) const {
  std::map<JobNumber, std::pair<std::size_t, std::size_t>> Started;
  for (const Decision &Each : Made) {
    if (Each.Kind_ != DecisionKind::Start)
      continue;
    const PendingTask &Task = Running_.at(Each.Task_).Run_.Task_;
    auto &Count = Started[Task.Gang_];
    ++Count.first;
    Count.second = Task.GangSize_;
  }
  for (const auto &[Gang, Count] : Started)
    if (Gang != 0 && Count.first % Count.second != 0)
      return "started part of a gang";
  std::map<JobNumber, std::set<bool>> Ending;
  for (const auto &[Number, Each] : Running_)
    Ending[Each.Run_.Task_.Gang_].insert(Each.Evicting_);
  for (const auto &[Gang, States] : Ending)
    if (Gang != 0 && States.size() > 1)
      return "evicted part of a gang";
  return std::nullopt;
}

Oracle::Broken Oracle::apply(const std::vector<Decision> &Made,
                             base::TimePoint Now, std::size_t Limit) {
  if (Made.size() > Limit)
    return "gave more decisions than the limit";
  bool OthersBegan = false;
  for (const Decision &Each : Made) {
    Broken Rule;
    if (Each.Kind_ == DecisionKind::Start) {
      bool Urgent = Each.Reason_ == Reason::UrgentFirst;
      if (Urgent && OthersBegan)
        return "started an urgent task after others";
      OthersBegan = OthersBegan || !Urgent;
      Rule = applyStart(Each, Now);
    } else if (Each.Kind_ == DecisionKind::Evict) {
      Rule = applyEvict(Each, Now);
    } else if (Each.Kind_ == DecisionKind::Reject) {
      Rule = applyReject(Each);
    } else if (Running_.count(Each.Task_) == 0) {
      Rule = "throttled a task that does not run";
    }
    if (Rule)
      return Rule;
  }
  return checkGangs(Made);
}

} // namespace crocuslead::schedule::testing
