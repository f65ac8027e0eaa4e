#pragma once

#include "base/Random.h"
#include "jobs/Coordinator.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace crocuslead::jobs::test {

//! A task that a fake worker runs.
struct FakeRun {
  TaskId Task_;
  uint64_t Number_ = 0;
  base::TimePoint Started_;
  base::Duration Length_{};
  base::Duration Before_{};
  bool Fails_ = false;
  bool Stands_ = false;
  //! Set once a stop was ordered.
  std::optional<base::TimePoint> StopAt_;
  int Pace_ = 100;
};

//! A worker that keeps the platform's rules: fencing, leases, run numbers, and
//! ends that are listed until they are acknowledged.
struct FakeWorker {
  WorkerInfo Info_;
  std::map<std::string, FakeRun> Runs_;
  std::vector<EndedRow> Ended_;
  std::map<std::string, uint64_t> HighestRun_;
  uint64_t NextEnd_ = 1;
  uint64_t Token_ = 0;
  base::TimePoint LeaseEnd_;
  bool Lapsed_ = false;
  base::TimePoint Born_;
  //! Requests get lost on the way there.
  bool Deaf_ = false;
  //! Answers get lost on the way back.
  bool Mute_ = false;
  bool FailsAll_ = false;
  bool StandsStill_ = false;
  //! Headroom taken from its serving tasks, see Tail.
  double TailMs_ = 10;
};

//! Rules of the fleet as callers and workers see them; breaches as text.
struct FleetOracle {
  std::vector<std::string> Breaches_;
  std::map<std::string, std::set<std::string>> RunsOn_;
  //! Ends done that bind: listed by a live worker or taken note of.
  std::set<std::string> Done_;
  std::set<std::string> EverDone_;
  std::map<std::string, int> Failures_;
  std::map<std::string, int> Starts_;
};

//! Workers, store and a succession of coordinators on a paused clock.
class JobWorld final : public WorkerPort {
public:
  explicit JobWorld(uint64_t Seed = 1);
  ~JobWorld() override;

  void addWorker(const std::string &Id, int64_t MilliCpu = 16'000,
                 const std::string &Domain = "d1");
  void crashWorker(const std::string &Id);
  void removeFromRegistry(const std::string &Id);
  //! The worker starts anew under its id.
  void rebirth(const std::string &Id);
  //! The same, while the registry still shows the earlier life.
  void rebirthUnannounced(const std::string &Id);
  //! Publishes the entry of an earlier life.
  void publishStale(const std::string &Id);
  void submit(const std::string &Id, JobSpec Spec);
  void cancel(const std::string &Id);
  //! The coordinator vanishes without a word.
  void kill() { Coordinator_.reset(); }
  //! A new coordinator in the next term, restored from what is stored.
  void takeOver();
  void run(base::Duration Time);
  void publishWorkers();

  void start(const WorkerAddress &To, const StartOrder &Order,
             OrderDone Done) override;
  void stop(const WorkerAddress &To, const StopOrder &Order,
            OrderDone Done) override;
  void pace(const WorkerAddress &To, const PaceOrder &Order,
            OrderDone Done) override;
  void look(const WorkerAddress &To, const LookOrder &Order,
            LookDone Done) override;

  JobState state(const std::string &Id) const;
  int startsOf(const std::string &Task) const;
  FakeWorker &worker(const std::string &Id) { return Workers_.at(Id); }
  base::TimePoint now() const { return Clock_.now(); }

  base::ManualClock Clock_;
  base::Random Random_;
  base::MetricsRegistry Metrics_;
  FleetConfig Config_;
  FleetOracle Oracle_;
  std::map<std::string, FakeWorker> Workers_;
  std::map<std::string, JobRecord> Jobs_;
  std::set<std::string> Cancelled_;
  std::map<std::string, std::string> Stored_;
  std::unique_ptr<Coordinator> Coordinator_;
  uint64_t Term_ = 0;
  //! The store answers nothing.
  bool StoreDown_ = false;
  //! Share of starts that get no answer and are executed seconds later.
  double LateStarts_ = 0;
  //! Share of orders whose answer is lost.
  double LostAnswers_ = 0;
  //! Orders that are on their way when a worker is reborn reach its next life,
  //! as they do on a new connection.
  bool OrdersReachNextLife_ = false;
  //! Time that a worker takes to stop a task.
  base::Duration StopTime_{};
  base::Duration RunLength_ = std::chrono::milliseconds(600);

private:
  //! One way between coordinator, store and workers.
  static constexpr base::Duration Hop = std::chrono::milliseconds(2);

  void after(base::Duration Delay, std::function<void()> Action);
  void advanceWorkers();
  void forgetEnds(const FakeWorker &Of);
  void endRun(FakeWorker &At, const std::string &Name, RunEnd How);
  OrderStatus execute(FakeWorker &At, const StartOrder &Order);
  int64_t clockMs(const FakeWorker &Of) const;
  int percent(const FakeRun &Of) const;
  void deliver(const std::string &Id, OrderDone Done,
               std::function<OrderStatus(FakeWorker &)> Action);
  void breach(const std::string &Text);

  std::multimap<base::TimePoint, std::function<void()>> Events_;
};

//! Steps of Count tasks each, one after the other.
JobSpec chain(uint32_t Steps, uint32_t Count, int64_t MilliCpu = 1'000);

} // namespace crocuslead::jobs::test
