#include "jobs/FullFleet.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <vector>

namespace crocuslead::jobs::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

//! The platform's bound: 6 s after the last run of a long-running task, there
//! may be room for it twice over for 3 s at most before it runs again. Room is
//! what long-running tasks leave of a worker.
constexpr auto RestartTime = seconds(6);
constexpr auto LongestUnusedRoom = seconds(3);
constexpr int64_t RequiredPlaces = 2;
constexpr auto CheckInterval = milliseconds(250);

//! Of each 50 workers, 20 are lost for good and 4 drain, so what is left is too
//! small for the long-running tasks that ran before.
constexpr int WorkersPerGroup = 50;
constexpr int LostPerGroup = 20;
constexpr int DrainingPerGroup = 4;

class ShrunkFleet : public FullFleet {
public:
  explicit ShrunkFleet(uint64_t Seed) : FullFleet(Seed) {
    World_.StopTime_ = milliseconds(700);
    run(seconds(4));
    checkTasks();
    int Number = 0;
    for (auto &[Id, Worker] : World_.Workers_) {
      int Draw = Number++ % WorkersPerGroup;
      if (Draw < LostPerGroup) {
        World_.crashWorker(Id);
        Worker.Listed_ = false;
      } else if (Draw < LostPerGroup + DrainingPerGroup) {
        Worker.Info_.Draining_ = true;
        Worker.Info_.DrainTimeLeft_ = seconds(3);
      }
    }
    World_.publishWorkers();
  }

  void observe(base::Duration Time) {
    base::TimePoint End = World_.now() + Time;
    while (World_.now() < End) {
      run(CheckInterval);
      checkTasks();
    }
  }

  //! Callers end the oldest long-running jobs.
  void cancelOldest(int Count) {
    for (const auto &[Id, Record] : World_.Jobs_) {
      if (Count == 0)
        return;
      if (!Record.Spec_.Steps_[0].LongRunning_ ||
          World_.Cancelled_.count(Id) > 0)
        continue;
      World_.cancel(Id);
      --Count;
    }
  }

  //! Tasks over the platform's bound.
  std::size_t starvedTasks() const {
    return static_cast<std::size_t>(
        std::count_if(Tasks_.begin(), Tasks_.end(),
                      [](const auto &Each) { return Each.second.Starved_; }));
  }
  std::size_t restartedTasks() const { return Restarted_; }

private:
  struct LongRunningTask {
    base::TimePoint LastSeenRunning_;
    std::optional<base::TimePoint> RoomSince_;
    bool Starved_ = false;
  };

  const StepSpec &stepOf(const FakeRun &Run) const {
    const TaskId &Task = Run.Task_;
    return World_.Jobs_.at(Task.Job_).Spec_.Steps_[Task.Position_.Step_];
  }

  std::vector<base::Resources> roomBesideLongRunningTasks() const {
    std::vector<base::Resources> Out;
    for (const auto &[Id, Worker] : World_.Workers_) {
      if (!Worker.Listed_ || Worker.Info_.Draining_)
        continue;
      base::Resources Room = Worker.Info_.Capacity_;
      for (const auto &[Name, Run] : Worker.Runs_)
        if (stepOf(Run).LongRunning_)
          Room -= stepOf(Run).Request_;
      Out.push_back(Room);
    }
    return Out;
  }

  static bool hasRoom(const std::vector<base::Resources> &Rooms,
                      const base::Resources &Request) {
    int64_t Places = 0;
    for (const base::Resources &Room : Rooms)
      Places += std::min(Room.MilliCpu_ / Request.MilliCpu_,
                         Room.MemoryMb_ / Request.MemoryMb_);
    return Places >= RequiredPlaces;
  }

  void checkTasks() {
    auto Rooms = roomBesideLongRunningTasks();
    for (const auto &[Id, Record] : World_.Jobs_) {
      const StepSpec &Step = Record.Spec_.Steps_[0];
      if (!Step.LongRunning_ || World_.Cancelled_.count(Id) > 0)
        continue;
      bool HasRoom = hasRoom(Rooms, Step.Request_);
      for (uint32_t Index = 0; Index < Step.Count_; ++Index)
        checkTask(Id + ".0.0." + std::to_string(Index), HasRoom);
    }
  }

  void checkTask(const std::string &Name, bool HasRoom) {
    base::TimePoint Now = World_.now();
    auto It = Tasks_.find(Name);
    auto Running = World_.Oracle_.RunningOn_.find(Name);
    if (Running != World_.Oracle_.RunningOn_.end() &&
        !Running->second.empty()) {
      if (It == Tasks_.end())
        It = Tasks_.emplace(Name, LongRunningTask{}).first;
      else if (Now - It->second.LastSeenRunning_ > RestartTime)
        ++Restarted_;
      It->second.LastSeenRunning_ = Now;
      It->second.RoomSince_.reset();
      return;
    }
    if (It == Tasks_.end())
      return;
    LongRunningTask &Task = It->second;
    if (!HasRoom || Now - Task.LastSeenRunning_ < RestartTime)
      Task.RoomSince_.reset();
    else if (!Task.RoomSince_)
      Task.RoomSince_ = Now;
    else if (Now - *Task.RoomSince_ >= LongestUnusedRoom)
      Task.Starved_ = true;
  }

  std::map<std::string, LongRunningTask> Tasks_;
  std::size_t Restarted_ = 0;
};

} // namespace

// Guards against finite tasks that keep the room which ended long-running jobs
// leave on a fleet that is full of long-running tasks, while those that lost
// their runs wait for it.
TEST_CASE("Long-running tasks that lost their runs get the room that others "
          "leave on a fleet that has shrunk") {
  constexpr int CancelledAtOnce = 4;
  for (uint64_t Seed : {3, 4}) {
    CAPTURE(Seed);
    ShrunkFleet Fleet(Seed);
    Fleet.observe(seconds(10));
    for (int I = 0; I < 15; ++I) {
      Fleet.cancelOldest(CancelledAtOnce);
      Fleet.observe(milliseconds(500));
    }
    Fleet.observe(seconds(8));
    CHECK(Fleet.starvedTasks() == 0);
    CHECK(Fleet.restartedTasks() > 100);
    for (const std::string &Violation : Fleet.World_.Oracle_.Violations_)
      FAIL_CHECK(Violation);
  }
}

} // namespace crocuslead::jobs::test
