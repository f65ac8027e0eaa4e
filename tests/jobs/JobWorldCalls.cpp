#include "jobs/JobWorld.h"

#include <algorithm>

namespace crocuslead::jobs::test {

namespace {

constexpr auto CallTimeout = std::chrono::milliseconds(700);

} // namespace

OrderStatus JobWorld::executeStart(FakeWorker &At, const StartOrder &Order) {
  std::string Name = taskName(Order.Task_);
  if (Order.Token_ < At.Token_)
    return OrderStatus::Fenced;
  At.Token_ = Order.Token_;
  if (Order.LeaseUntilMs_ <= workerClockMs(At))
    return OrderStatus::TooLate;
  At.LeaseEnd_ =
      std::max(At.LeaseEnd_,
               At.StartedAt_ + std::chrono::milliseconds(Order.LeaseUntilMs_));
  auto Present = At.Runs_.find(Name);
  if (Present != At.Runs_.end() && Present->second.Number_ == Order.Run_)
    return OrderStatus::Accepted;
  if (Order.Run_ <= At.HighestRun_[Name])
    return OrderStatus::RunTooOld;
  At.HighestRun_[Name] = Order.Run_;
  const StepSpec &Spec =
      Jobs_.at(Order.Task_.Job_).Spec_.Steps_.at(Order.Task_.At_.Step_);
  ++Oracle_.Starts_[Name];
  if (!Spec.Speculative_ && !Oracle_.RunningOn_[Name].empty())
    recordViolation(Name + " runs on " + At.Info_.Id_ + " and " +
                    *Oracle_.RunningOn_[Name].begin());
  if (!Spec.LongRunning_ && Oracle_.Done_.count(Name) > 0 && !Spec.Speculative_)
    recordViolation(Name + " starts after it was done");
  if (!Spec.LongRunning_ && Oracle_.Failures_[Name] >= 3)
    recordViolation(Name + " starts after its attempts were used up");
  for (uint32_t Before : Spec.After_)
    for (uint32_t I = 0;
         I < Jobs_.at(Order.Task_.Job_).Spec_.Steps_[Before].Count_; ++I)
      if (Oracle_.EverDone_.count(taskName(
              {Order.Task_.Job_, {Order.Task_.At_.Occurrence_, Before, I}})) ==
          0)
        recordViolation(Name + " starts before step " + std::to_string(Before));
  int64_t Reserved = Spec.BestEffort_ ? 0 : Spec.Request_.MilliCpu_;
  for (const auto &[Other, Each] : At.Runs_) {
    const StepSpec &Running =
        Jobs_.at(Each.Task_.Job_).Spec_.Steps_.at(Each.Task_.At_.Step_);
    Reserved += Running.BestEffort_ ? 0 : Running.Request_.MilliCpu_;
  }
  if (Reserved > At.Info_.Room_.MilliCpu_)
    recordViolation(At.Info_.Id_ + " is committed beyond its processors");
  FakeRun &Made = At.Runs_[Name];
  Made = {Order.Task_,      Order.Run_,     now(),        RunDuration_, {},
          At.FailsAllRuns_, At.StallsRuns_, std::nullopt, 100};
  if (Spec.LongRunning_)
    Made.RunTime_ = {};
  Oracle_.RunningOn_[Name].insert(At.Info_.Id_);
  return OrderStatus::Accepted;
}

void JobWorld::deliver(const std::string &Id, OrderDone Done,
                       std::function<OrderStatus(FakeWorker &)> Action) {
  bool Lost = Random_.unit() < LostReplyShare_;
  // A connection does not outlive the process that it leads to.
  base::TimePoint StartedAt = Workers_.at(Id).StartedAt_;
  schedule(OneWayDelay, [=] {
    FakeWorker &At = Workers_.at(Id);
    OrderReply Reply;
    bool Reached = !At.DropsRequests_ && (RequestsReachNextIncarnation_ ||
                                          At.StartedAt_ == StartedAt);
    if (Reached) {
      Reply.Status_ = Action(At);
      Reply.ClockMs_ = workerClockMs(At);
    }
    if (!Reached || At.DropsReplies_ || Lost) {
      schedule(CallTimeout, [Done] { Done({OrderStatus::Unknown, {}}); });
      return;
    }
    schedule(OneWayDelay, [Done, Reply] { Done(Reply); });
  });
}

void JobWorld::start(const WorkerAddress &To, const StartOrder &Order,
                     OrderDone Done) {
  std::string Id = To.Id_;
  if (Random_.unit() < DelayedStartShare_) {
    constexpr uint64_t MaxLateMs = 10'000;
    auto Late = std::chrono::milliseconds(2'000 + Random_.below(MaxLateMs));
    base::TimePoint StartedAt = Workers_.at(Id).StartedAt_;
    schedule(Late, [this, Id, Order, StartedAt] {
      FakeWorker &At = Workers_.at(Id);
      if (!At.DropsRequests_ && At.StartedAt_ == StartedAt)
        executeStart(At, Order);
    });
    schedule(CallTimeout, [Done] { Done({OrderStatus::Unknown, {}}); });
    return;
  }
  deliver(Id, std::move(Done),
          [this, Order](FakeWorker &At) { return executeStart(At, Order); });
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
      It->second.SpeedPercent_ = Order.Percent_;
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
  schedule(Wait, [=] {
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
            At.LeaseEnd_ = std::max(At.LeaseEnd_,
                                    At.StartedAt_ + std::chrono::milliseconds(
                                                        *Order.LeaseUntilMs_));
          At.Ended_.erase(std::remove_if(At.Ended_.begin(), At.Ended_.end(),
                                         [&](const EndedRow &Row) {
                                           return Row.Number_ <=
                                                  Order.AcknowledgedEnd_;
                                         }),
                          At.Ended_.end());
          Lists->ClockMs_ = workerClockMs(At);
          Lists->Born_ = At.Info_.Born_;
          Lists->Ended_ = At.Ended_;
          for (const auto &[Name, Each] : At.Runs_) {
            const StepSpec &Spec =
                Jobs_.at(Each.Task_.Job_).Spec_.Steps_.at(Each.Task_.At_.Step_);
            double Load = Spec.TailTarget_.count() > 0
                              ? At.TailLatencyMs_
                              : static_cast<double>(Spec.Request_.MilliCpu_);
            Lists->Running_.push_back(
                {Each.Task_, Each.Number_, "", percent(Each), Load});
          }
          return OrderStatus::Accepted;
        });
  });
}

} // namespace crocuslead::jobs::test
