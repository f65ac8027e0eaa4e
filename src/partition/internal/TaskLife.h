#pragma once

#include "base/NameTable.h"
#include "chart/Chart.h"

#include <cstdint>

namespace crocuslead::partition {

enum class TaskState : uint8_t {
  Pending,
  Starting,
  Running,
  Evicting,
  Stopping,
  Finished,
  Cancelled,
  Rejected,
  Moved
};

enum class TaskEvent : uint8_t {
  Start,
  Withdraw,
  Started,
  Evict,
  Cancel,
  End,
  Finish,
  Reject,
  Move
};

inline constexpr auto TaskStateNames =
    base::makeNameTable<TaskState>({{TaskState::Pending, "pending"},
                                    {TaskState::Starting, "starting"},
                                    {TaskState::Running, "running"},
                                    {TaskState::Evicting, "evicting"},
                                    {TaskState::Stopping, "stopping"},
                                    {TaskState::Finished, "finished"},
                                    {TaskState::Cancelled, "cancelled"},
                                    {TaskState::Rejected, "rejected"},
                                    {TaskState::Moved, "moved"}});

inline constexpr auto TaskEventNames =
    base::makeNameTable<TaskEvent>({{TaskEvent::Start, "start"},
                                    {TaskEvent::Withdraw, "withdraw"},
                                    {TaskEvent::Started, "started"},
                                    {TaskEvent::Evict, "evict"},
                                    {TaskEvent::Cancel, "cancel"},
                                    {TaskEvent::End, "end"},
                                    {TaskEvent::Finish, "finish"},
                                    {TaskEvent::Reject, "reject"},
                                    {TaskEvent::Move, "move"}});

//! State machine of a task, as specified in charts/task.yaml.
const chart::BoundChart<TaskState, TaskEvent> &taskChart();

//! True while the task holds resources on a worker.
inline bool holdsWorker(TaskState State) {
  return State == TaskState::Starting || State == TaskState::Running ||
         State == TaskState::Evicting || State == TaskState::Stopping;
}

} // namespace crocuslead::partition
