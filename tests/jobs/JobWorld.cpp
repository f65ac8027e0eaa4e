#include "jobs/JobWorld.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <stdexcept>

namespace crocuslead::jobs::test {

namespace {

constexpr auto Hop = std::chrono::milliseconds(2);
constexpr auto CallTimeout = std::chrono::milliseconds(700);
constexpr auto StepTime = std::chrono::milliseconds(10);
constexpr const char *Queue = "visits";

template <typename T> T valueOf(base::Result<T> Result) {
  if (!Result)
    throw std::runtime_error("stored record unreadable");
  return std::move(*Result);
}

} // namespace

JobSpec chain(uint32_t Steps, uint32_t Count, int64_t MilliCpu) {
  JobSpec Out;
  Out.Payload_ = "p";
  for (uint32_t S = 0; S < Steps; ++S) {
    StepSpec Step;
    Step.Count_ = Count;
    Step.Request_ = {MilliCpu, 100, 0};
    Step.Estimate_ = std::chrono::milliseconds(600);
    if (S > 0)
      Step.After_ = {S - 1};
    Out.Steps_.push_back(Step);
  }
  return Out;
}

JobWorld::JobWorld(uint64_t Seed) : Random_(Seed) {
  QueueConfig Visits;
  Visits.Name_ = Queue;
  Visits.Service_ = "desk";
  Visits.MaxAttempts_ = 3;
  Visits.Target_ = std::chrono::milliseconds(600);
  Visits.Stretch_ = 1.5;
  Config_.Queues_[Queue] = Visits;
}

JobWorld::~JobWorld() = default;

void JobWorld::addWorker(const std::string &Id, int64_t MilliCpu,
                         const std::string &Domain) {
  FakeWorker &Made = Workers_[Id];
  Made.Info_.Id_ = Id;
  Made.Info_.Address_ = Id + ":1";
  Made.Info_.Domain_ = Domain;
  Made.Info_.Service_ = "desk";
  Made.Info_.Rack_ = "r1";
  Made.Info_.Room_ = {MilliCpu, 64'000, 0};
  Made.Info_.Born_ = Clock_.wallNow().time_since_epoch().count();
  Made.Born_ = now();
  publishWorkers();
}

void JobWorld::publishWorkers() {
  if (!Coordinator_)
    return;
  std::map<std::string, WorkerInfo> All;
  for (const auto &[Id, Each] : Workers_)
    if (!Each.Info_.Id_.empty())
      All[Id] = Each.Info_;
  Coordinator_->setWorkers(All);
}

void JobWorld::crashWorker(const std::string &Id) {
  FakeWorker &Of = worker(Id);
  Of.Deaf_ = true;
  for (auto &[Name, Each] : Of.Runs_)
    Oracle_.RunsOn_[Name].erase(Id);
  Of.Runs_.clear();
  forgetEnds(Of);
  Of.Ended_.clear();
}

// Ends that nobody took note of do not bind once their worker's lease is over:
// the work may be done again.
void JobWorld::forgetEnds(const FakeWorker &Of) {
  for (const EndedRow &Row : Of.Ended_)
    if (Row.How_ == RunEnd::Done)
      Oracle_.Done_.erase(taskName(Row.Task_));
    else if (Row.How_ == RunEnd::Failed)
      --Oracle_.Failures_[taskName(Row.Task_)];
}

void JobWorld::removeFromRegistry(const std::string &Id) {
  std::map<std::string, WorkerInfo> All;
  for (const auto &[Other, Each] : Workers_)
    if (Other != Id)
      All[Other] = Each.Info_;
  if (Coordinator_)
    Coordinator_->setWorkers(All);
}

void JobWorld::rebirth(const std::string &Id) {
  rebirthUnannounced(Id);
  publishWorkers();
}

void JobWorld::publishStale(const std::string &Id) {
  std::map<std::string, WorkerInfo> All;
  for (const auto &[Other, Each] : Workers_)
    All[Other] = Each.Info_;
  All[Id].Born_ -= 1'000;
  All[Id].Room_ = {64'000, 64'000, 0};
  Coordinator_->setWorkers(All);
}

void JobWorld::rebirthUnannounced(const std::string &Id) {
  crashWorker(Id);
  FakeWorker &Of = worker(Id);
  Of.Deaf_ = Of.Mute_ = false;
  Of.HighestRun_.clear();
  Of.NextEnd_ = 1;
  Of.Token_ = 0;
  Of.LeaseEnd_ = {};
  Of.Born_ = now();
  Of.Info_.Born_ = Clock_.wallNow().time_since_epoch().count();
}

void JobWorld::submit(const std::string &Id, JobSpec Spec) {
  JobRecord Record{Queue, std::move(Spec), Clock_.wallNow()};
  Jobs_[Id] = Record;
  if (Coordinator_)
    Coordinator_->addJob(Id, Record);
}

void JobWorld::cancel(const std::string &Id) {
  Cancelled_.insert(Id);
  if (Coordinator_)
    Coordinator_->cancelJob(Id);
}

void JobWorld::takeOver() {
  kill();
  CoordinatorSettings Settings;
  Settings.Term_ = ++Term_;
  Coordinator_ = std::make_unique<Coordinator>(
      Settings, *this, Clock_, Metrics_, [this](const CommitBatch &Batch) {
        uint64_t Term = Term_;
        after(Hop * 2, [this, Batch, Term] {
          if (!Coordinator_ || Term != Term_)
            return;
          if (StoreDown_) {
            Coordinator_->commitDone(Batch.Number_, CommitResult::Unconfirmed);
            return;
          }
          for (const auto &[Key, Value] : Batch.Writes_)
            Stored_[Key] = Value;
          Coordinator_->commitDone(Batch.Number_, CommitResult::Durable);
        });
      });
  Coordinator_->setConfig(Config_);
  publishWorkers();
  if (auto It = Stored_.find(Coordinator::UsedWorkersKey); It != Stored_.end())
    Coordinator_->restoreUsedWorkers(It->second);
  for (const auto &[Id, Record] : Jobs_) {
    auto It = Stored_.find(Coordinator::ProgressPrefix + Id);
    std::optional<JobProgress> Progress;
    if (It != Stored_.end())
      Progress = valueOf(decodeJobProgress(It->second));
    Coordinator_->restoreJob(Id, valueOf(decodeJobRecord(encode(Record))),
                             Progress);
    if (Cancelled_.count(Id) > 0)
      Coordinator_->cancelJob(Id);
  }
  Coordinator_->recover();
}

void JobWorld::after(base::Duration Delay, std::function<void()> Action) {
  Events_.emplace(now() + Delay, std::move(Action));
}

void JobWorld::run(base::Duration Time) {
  base::TimePoint End = now() + Time;
  while (now() < End) {
    while (!Events_.empty() && Events_.begin()->first <= now()) {
      auto Action = std::move(Events_.begin()->second);
      Events_.erase(Events_.begin());
      Action();
    }
    advanceWorkers();
    if (Coordinator_)
      Coordinator_->tick();
    Clock_.advance(StepTime);
  }
}

int64_t JobWorld::clockMs(const FakeWorker &Of) const {
  return base::toMillis(now() - Of.Born_);
}

int JobWorld::percent(const FakeRun &Of) const {
  if (Of.Length_.count() == 0)
    return 100;
  auto Worked = Of.Stands_ ? base::Duration{} : now() - Of.Started_;
  return static_cast<int>(
      std::min<int64_t>(99, 100 * (Worked + Of.Before_) / Of.Length_));
}

void JobWorld::endRun(FakeWorker &At, const std::string &Name, RunEnd How) {
  FakeRun Ended = At.Runs_.at(Name);
  At.Runs_.erase(Name);
  At.Ended_.push_back({At.NextEnd_++, Ended.Task_, Ended.Number_, How, ""});
  Oracle_.RunsOn_[Name].erase(At.Info_.Id_);
  if (How == RunEnd::Done) {
    Oracle_.EverDone_.insert(Name);
    Oracle_.Done_.insert(Name);
  }
  if (How == RunEnd::Failed)
    ++Oracle_.Failures_[Name];
}

void JobWorld::advanceWorkers() {
  for (auto &[Id, At] : Workers_) {
    std::vector<std::pair<std::string, RunEnd>> Ends;
    for (auto &[Name, Each] : At.Runs_) {
      if (now() >= At.LeaseEnd_)
        Ends.emplace_back(Name, RunEnd::LeaseExpired);
      else if (Each.StopAt_ && now() >= *Each.StopAt_)
        Ends.emplace_back(Name, RunEnd::Stopped);
      else if (Each.Length_.count() > 0 && !Each.Stands_ &&
               now() >= Each.Started_ + Each.Length_ - Each.Before_)
        Ends.emplace_back(Name, Each.Fails_ ? RunEnd::Failed : RunEnd::Done);
    }
    for (const auto &[Name, How] : Ends)
      endRun(At, Name, How);
    if (now() >= At.LeaseEnd_ && !At.Lapsed_) {
      At.Lapsed_ = true;
      forgetEnds(At);
    }
    if (now() < At.LeaseEnd_)
      At.Lapsed_ = false;
  }
}

void JobWorld::breach(const std::string &Text) {
  Oracle_.Breaches_.push_back(
      std::to_string(base::toMillis(now().time_since_epoch())) +
      " ms: " + Text);
}

OrderStatus JobWorld::execute(FakeWorker &At, const StartOrder &Order) {
  std::string Name = taskName(Order.Task_);
  if (Order.Token_ < At.Token_)
    return OrderStatus::Fenced;
  At.Token_ = Order.Token_;
  if (Order.LeaseUntilMs_ <= clockMs(At))
    return OrderStatus::TooLate;
  At.LeaseEnd_ = std::max(
      At.LeaseEnd_, At.Born_ + std::chrono::milliseconds(Order.LeaseUntilMs_));
  auto Present = At.Runs_.find(Name);
  if (Present != At.Runs_.end() && Present->second.Number_ == Order.Run_)
    return OrderStatus::Accepted;
  if (Order.Run_ <= At.HighestRun_[Name])
    return OrderStatus::RunTooOld;
  At.HighestRun_[Name] = Order.Run_;
  const StepSpec &Spec =
      Jobs_.at(Order.Task_.Job_).Spec_.Steps_.at(Order.Task_.At_.Step_);
  ++Oracle_.Starts_[Name];
  if (!Spec.Speculative_ && !Oracle_.RunsOn_[Name].empty())
    breach(Name + " runs on " + At.Info_.Id_ + " and " +
           *Oracle_.RunsOn_[Name].begin());
  if (!Spec.LongRunning_ && Oracle_.Done_.count(Name) > 0 && !Spec.Speculative_)
    breach(Name + " starts after it was done");
  if (!Spec.LongRunning_ && Oracle_.Failures_[Name] >= 3)
    breach(Name + " starts after its attempts were used up");
  for (uint32_t Before : Spec.After_)
    for (uint32_t I = 0;
         I < Jobs_.at(Order.Task_.Job_).Spec_.Steps_[Before].Count_; ++I)
      if (Oracle_.EverDone_.count(taskName(
              {Order.Task_.Job_, {Order.Task_.At_.Occurrence_, Before, I}})) ==
          0)
        breach(Name + " starts before step " + std::to_string(Before));
  int64_t Reserved = Spec.BestEffort_ ? 0 : Spec.Request_.MilliCpu_;
  for (const auto &[Other, Each] : At.Runs_) {
    const StepSpec &Running =
        Jobs_.at(Each.Task_.Job_).Spec_.Steps_.at(Each.Task_.At_.Step_);
    Reserved += Running.BestEffort_ ? 0 : Running.Request_.MilliCpu_;
  }
  if (Reserved > At.Info_.Room_.MilliCpu_)
    breach(At.Info_.Id_ + " is committed beyond its processors");
  FakeRun &Made = At.Runs_[Name];
  Made = {Order.Task_,  Order.Run_,      now(),        RunLength_, {},
          At.FailsAll_, At.StandsStill_, std::nullopt, 100};
  if (Spec.LongRunning_)
    Made.Length_ = {};
  Oracle_.RunsOn_[Name].insert(At.Info_.Id_);
  return OrderStatus::Accepted;
}

void JobWorld::deliver(const std::string &Id, OrderDone Done,
                       std::function<OrderStatus(FakeWorker &)> Action) {
  bool Lost = Random_.unit() < LostAnswers_;
  // A connection does not outlive the process that it leads to.
  base::TimePoint Born = Workers_.at(Id).Born_;
  after(Hop, [=] {
    FakeWorker &At = Workers_.at(Id);
    OrderReply Reply;
    bool Reached = !At.Deaf_ && (OrdersReachNextLife_ || At.Born_ == Born);
    if (Reached) {
      Reply.Status_ = Action(At);
      Reply.ClockMs_ = clockMs(At);
    }
    if (!Reached || At.Mute_ || Lost) {
      after(CallTimeout, [Done] { Done({OrderStatus::Unknown, {}}); });
      return;
    }
    after(Hop, [Done, Reply] { Done(Reply); });
  });
}

void JobWorld::start(const WorkerAddress &To, const StartOrder &Order,
                     OrderDone Done) {
  std::string Id = To.Id_;
  if (Random_.unit() < LateStarts_) {
    constexpr uint64_t MaxLateMs = 10'000;
    auto Late = std::chrono::milliseconds(2'000 + Random_.below(MaxLateMs));
    base::TimePoint Born = Workers_.at(Id).Born_;
    after(Late, [this, Id, Order, Born] {
      FakeWorker &At = Workers_.at(Id);
      if (!At.Deaf_ && At.Born_ == Born)
        execute(At, Order);
    });
    after(CallTimeout, [Done] { Done({OrderStatus::Unknown, {}}); });
    return;
  }
  deliver(Id, std::move(Done),
          [this, Order](FakeWorker &At) { return execute(At, Order); });
}

void JobWorld::stop(const WorkerAddress &To, const StopOrder &Order,
                    OrderDone Done) {
  deliver(To.Id_, std::move(Done), [this, Order](FakeWorker &At) {
    if (Order.Token_ < At.Token_)
      return OrderStatus::Fenced;
    At.Token_ = Order.Token_;
    std::string Name = taskName(Order.Task_);
    uint64_t &Highest = At.HighestRun_[Name];
    Highest = std::max(Highest, Order.Run_);
    auto It = At.Runs_.find(Name);
    if (It != At.Runs_.end() && It->second.Number_ == Order.Run_ &&
        !It->second.StopAt_)
      It->second.StopAt_ = now() + StopTime_;
    return OrderStatus::Accepted;
  });
}

void JobWorld::pace(const WorkerAddress &To, const PaceOrder &Order,
                    OrderDone Done) {
  deliver(To.Id_, std::move(Done), [Order](FakeWorker &At) {
    auto It = At.Runs_.find(taskName(Order.Task_));
    if (It != At.Runs_.end())
      It->second.Pace_ = Order.Percent_;
    return Order.Token_ < At.Token_ ? OrderStatus::Fenced
                                    : OrderStatus::Accepted;
  });
}

void JobWorld::look(const WorkerAddress &To, const LookOrder &Order,
                    LookDone Done) {
  // A short wait stands for the worker's wait for an end.
  base::Duration Wait =
      std::min<base::Duration>(Order.Wait_, std::chrono::milliseconds(50));
  auto Lists = std::make_shared<WorkerLists>();
  std::string Id = To.Id_;
  after(Wait, [=] {
    deliver(
        Id,
        [Done, Lists](const OrderReply &Reply) {
          Done({Reply.Status_, *Lists});
        },
        [this, Order, Lists](FakeWorker &At) {
          if (Order.Token_ < At.Token_)
            return OrderStatus::Fenced;
          At.Token_ = Order.Token_;
          if (Order.LeaseUntilMs_)
            At.LeaseEnd_ = std::max(
                At.LeaseEnd_,
                At.Born_ + std::chrono::milliseconds(*Order.LeaseUntilMs_));
          At.Ended_.erase(std::remove_if(At.Ended_.begin(), At.Ended_.end(),
                                         [&](const EndedRow &Row) {
                                           return Row.Number_ <=
                                                  Order.AcknowledgedEnd_;
                                         }),
                          At.Ended_.end());
          Lists->ClockMs_ = clockMs(At);
          Lists->Born_ = At.Info_.Born_;
          Lists->Ended_ = At.Ended_;
          for (const auto &[Name, Each] : At.Runs_) {
            const StepSpec &Spec =
                Jobs_.at(Each.Task_.Job_).Spec_.Steps_.at(Each.Task_.At_.Step_);
            double Load = Spec.TailTarget_.count() > 0
                              ? At.TailMs_
                              : static_cast<double>(Spec.Request_.MilliCpu_);
            Lists->Running_.push_back(
                {Each.Task_, Each.Number_, "", percent(Each), Load});
          }
          return OrderStatus::Accepted;
        });
  });
}

JobState JobWorld::state(const std::string &Id) const {
  return Coordinator_->state(Id).value_or(JobState::Queued);
}

int JobWorld::startsOf(const std::string &Task) const {
  auto It = Oracle_.Starts_.find(Task);
  return It == Oracle_.Starts_.end() ? 0 : It->second;
}

} // namespace crocuslead::jobs::test
