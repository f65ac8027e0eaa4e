#include "Observer.h"

namespace crocuslead::standins {

void Observer::taskStarted(const std::string &Task, const std::string &Worker,
                           const std::string &Domain, int64_t CheckpointMs,
                           int64_t NowMs) {
  std::set<std::string> &Places = RunningOn_[Task];
  if (!Places.empty())
    ++TwoPlaces_;
  Places.insert(Worker);
  Starts_.push_back({NowMs, Domain});
  if (CheckpointMs > 0)
    ++Resumed_;
  if (CheckpointMs < LastCheckpoint_[Task])
    ++CheckpointsLost_;
}

void Observer::taskStopped(const std::string &Task, const std::string &Worker,
                           int64_t CheckpointMs) {
  RunningOn_[Task].erase(Worker);
  if (CheckpointMs > 0)
    LastCheckpoint_[Task] = CheckpointMs;
}

void Observer::taskFinished(const std::string &Task,
                            const std::string &Worker) {
  RunningOn_[Task].erase(Worker);
  if (++Finished_[Task] > 1) {
    // A worker that is lost for longer than its lease can finish a task that
    // nobody hears of; the task must then run again.
    auto &Target =
        Reported_.count(Task) != 0 ? FinishedTwice_ : FinishedUnreported_;
    Target.push_back(Task + " on " + FinishedOn_[Task] + " and " + Worker);
  }
  FinishedOn_[Task] = Worker;
}

void Observer::requestRan(const std::string &Key) { ++RequestRuns_[Key]; }

uint32_t Observer::runsOf(const std::string &Key) const {
  auto Found = RequestRuns_.find(Key);
  return Found == RequestRuns_.end() ? 0 : Found->second;
}

nlohmann::json Observer::report() const {
  uint64_t RanTwice = 0;
  for (const auto &[Key, Count] : RequestRuns_)
    RanTwice += Count > 1 ? 1 : 0;
  uint64_t Running = 0;
  for (const auto &[Task, Places] : RunningOn_)
    Running += Places.size();
  return {{"starts", Starts_.size()},
          {"running", Running},
          {"finished", Finished_.size()},
          {"finished_twice", FinishedTwice_.size()},
          {"finished_twice_tasks", FinishedTwice_},
          {"finished_again_unreported", FinishedUnreported_},
          {"two_places", TwoPlaces_},
          {"capacity_exceeded", CapacityExceeded_},
          {"slots_exceeded", SlotsExceeded_},
          {"checkpoints_lost", CheckpointsLost_},
          {"resumed", Resumed_},
          {"cpu_ms", static_cast<int64_t>(CpuMillis_)},
          {"keyed_requests", RequestRuns_.size()},
          {"keyed_requests_run_twice", RanTwice}};
}

uint64_t Observer::startsSince(const std::string &Domain,
                               int64_t SinceMs) const {
  uint64_t Count = 0;
  for (const Start &Each : Starts_)
    if (Each.Domain_ == Domain && Each.AtMs_ >= SinceMs)
      ++Count;
  return Count;
}

} // namespace crocuslead::standins
