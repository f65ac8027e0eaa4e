#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

namespace crocuslead::standins {

//! Counts what the workers of one process see, independently of the system
//! under test.
class Observer {
public:
  void taskStarted(const std::string &Task, const std::string &Worker,
                   const std::string &Domain, int64_t CheckpointMs,
                   int64_t NowMs);
  void taskStopped(const std::string &Task, const std::string &Worker,
                   int64_t CheckpointMs);
  void taskFinished(const std::string &Task, const std::string &Worker);
  //! The end of a finished task was part of an answer to its owner.
  void finishReported(const std::string &Task) { Reported_.insert(Task); }
  void capacityExceeded() { ++CapacityExceeded_; }
  void slotsExceeded() { ++SlotsExceeded_; }
  void requestRan(const std::string &Key);
  //! How often the request of a key ran.
  uint32_t runsOf(const std::string &Key) const;
  //! CPU time that an attempt has used, core-milliseconds.
  void cpuUsed(double Millis) { CpuMillis_ += Millis; }

  nlohmann::json report() const;
  //! Starts in a domain at or after a time.
  uint64_t startsSince(const std::string &Domain, int64_t SinceMs) const;

private:
  struct Start {
    int64_t AtMs_;
    std::string Domain_;
  };

  std::map<std::string, std::set<std::string>> RunningOn_;
  std::map<std::string, int64_t> LastCheckpoint_;
  std::map<std::string, uint32_t> Finished_;
  std::set<std::string> Reported_;
  //! Tasks that finished again, with the workers of both ends.
  std::vector<std::string> FinishedTwice_;
  std::vector<std::string> FinishedUnreported_;
  std::map<std::string, std::string> FinishedOn_;
  std::map<std::string, uint32_t> RequestRuns_;
  std::vector<Start> Starts_;
  uint64_t TwoPlaces_ = 0;
  uint64_t CapacityExceeded_ = 0;
  uint64_t SlotsExceeded_ = 0;
  uint64_t CheckpointsLost_ = 0;
  uint64_t Resumed_ = 0;
  double CpuMillis_ = 0;
};

} // namespace crocuslead::standins
