#pragma once

#include "jobs/JobWorld.h"
#include "jobs/PayloadCache.h"
#include "relay/Relay.h"
#include "relay/RelayedPort.h"
#include "store/KeyValueStore.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace crocuslead::jobs::test {

//! A JobWorld whose coordinators run on instances that relay each other's
//! requests to workers.
class RelayedWorld {
public:
  //! Instances "i0", "i1" ... in the domains "d0" to "d2" by turns.
  RelayedWorld(uint64_t Seed, int Instances);
  ~RelayedWorld();

  void run(base::Duration Time) { World_.run(Time); }
  //! Starts a coordinator on an instance, or on any one that is fit for it.
  void startSuccessor(const std::string &Name = "");
  void handOver(base::Duration Time);
  //! Ends an instance with the coordinators on it.
  void crash(const std::string &Name);
  void restart(const std::string &Name);
  //! What arrives at an instance, and what it does by itself, waits for Time.
  void pause(const std::string &Name, base::Duration Time);
  //! Cuts the coordinator, these instances and these workers off from the
  //! store and from everybody else.
  void cutOff(std::set<std::string> Instances,
              const std::set<std::string> &Workers);
  void endCut();
  //! Has an instance accept the job.
  void submit(const std::string &Id, JobSpec Spec);
  std::string randomInstance();
  //! The instance of the present coordinator, or of the last one.
  const std::string &leader() const { return Leader_; }
  bool isUp(const std::string &Name) const;
  bool isPaused(const std::string &Name) const;
  relay::RelayedPortCounters counters() const;
  //! Records requests that still have no callback.
  void checkCallbacks();

  JobWorld World_;
  //! If not set, coordinators send all requests themselves.
  bool Relaying_ = true;
  //! Largest one-way delay between instances.
  base::Duration MaxDelay_ = std::chrono::milliseconds(60);
  //! Shares of messages between instances that are lost, and that take seconds.
  double LostShare_ = 0;
  double SlowShare_ = 0;
  //! Pairs of an instance and an instance or worker that it does not reach.
  std::set<std::pair<std::string, std::string>> Broken_;

private:
  class InstanceClock;
  class InstanceWorkers;
  class InstanceTransport;
  class CountingPort;
  struct Instance;

  void boot(Instance &Each);
  //! Lets an instance act, unless that incarnation of it has ended.
  void arrive(const std::string &Name, uint64_t Incarnation,
              std::function<void()> Action);
  //! The same for a message of another instance.
  void arriveFromOutside(const std::string &Name, std::function<void()> Action);
  bool isPathCut(const std::string &From, const std::string &To) const;
  std::optional<std::string> receive(Instance &At, const std::string &Path,
                                     const std::string &Body);
  void exchange(const Instance &From, const std::string &To,
                const std::string &Path, const std::string &Body,
                base::Duration Timeout, relay::Transport::AnswerCallback Done);
  base::Duration randomDelay();
  base::Duration randomLead();
  void readStore(const std::string &Name, uint64_t Incarnation,
                 const std::string &Key,
                 store::Callback<store::RangeReply> Done);
  void step();
  std::string fitInstance();
  Instance &at(const std::string &Name) { return *Instances_.at(Name); }

  std::map<std::string, std::unique_ptr<Instance>> Instances_;
  std::string Leader_;
  //! Instances and workers on the far side of a cut.
  std::set<std::string> Far_;
  bool IsCut_ = false;
  //! By term.
  std::map<uint64_t, std::unique_ptr<CountingPort>> Ports_;
};

} // namespace crocuslead::jobs::test
