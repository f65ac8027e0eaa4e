#pragma once

#include "jobs/RelayedWorld.h"
#include "relay/PayloadPort.h"
#include "relay/PayloadStore.h"

#include <utility>

// The parts of an instance in a RelayedWorld.

namespace crocuslead::jobs::test {

//! A clock that is ahead of the world's.
class RelayedWorld::InstanceClock final : public base::Clock {
public:
  InstanceClock(const base::Clock &World, base::Duration Lead)
      : World_(World), Lead_(Lead) {}
  void setLead(base::Duration Lead) { Lead_ = Lead; }
  base::TimePoint now() const override { return World_.now() + Lead_; }
  base::WallTime wallNow() const override { return World_.wallNow(); }

private:
  const base::Clock &World_;
  base::Duration Lead_;
};

//! Requests that an instance sends to workers itself.
class RelayedWorld::InstanceWorkers final : public WorkerPort {
public:
  InstanceWorkers(RelayedWorld &World, std::string Name, uint64_t Incarnation)
      : World_(World), Name_(std::move(Name)), Incarnation_(Incarnation) {}

  void start(const WorkerAddress &To, const StartRequest &Request,
             RequestCallback Done) override {
    send(&JobWorld::start, To, Request, arrival<RequestReply>(Done));
  }
  void stop(const WorkerAddress &To, const StopRequest &Request,
            RequestCallback Done) override {
    send(&JobWorld::stop, To, Request, arrival<RequestReply>(Done));
  }
  void throttle(const WorkerAddress &To, const ThrottleRequest &Request,
                RequestCallback Done) override {
    send(&JobWorld::throttle, To, Request, arrival<RequestReply>(Done));
  }
  void poll(const WorkerAddress &To, const PollRequest &Request,
            PollCallback Done) override {
    send(&JobWorld::poll, To, Request, arrival<PollReply>(Done));
  }

private:
  template <typename Method, typename Request, typename Callback>
  void send(Method Call, const WorkerAddress &To, const Request &What,
            Callback Done) {
    std::string Before = std::exchange(World_.World_.SendingInstance_, Name_);
    (World_.World_.*Call)(To, What, std::move(Done));
    World_.World_.SendingInstance_ = Before;
  }
  template <typename Reply>
  std::function<void(const Reply &)>
  arrival(std::function<void(const Reply &)> Done) {
    return [&World = World_, Name = Name_, Incarnation = Incarnation_,
            Done = std::move(Done)](const Reply &Got) {
      World.arrive(Name, Incarnation, [Done, Got] { Done(Got); });
    };
  }

  RelayedWorld &World_;
  std::string Name_;
  uint64_t Incarnation_;
};

class RelayedWorld::InstanceTransport final : public relay::Transport {
public:
  InstanceTransport(RelayedWorld &World, std::string Name, uint64_t Incarnation)
      : World_(World), Name_(std::move(Name)), Incarnation_(Incarnation) {}

  void post(const std::string &Address, const std::string &Path,
            std::string Body, base::Duration Timeout,
            AnswerCallback Done) override {
    World_.exchange(World_.at(Name_), Address, Path, Body, Timeout,
                    std::move(Done));
  }
  void get(const std::string &Address, const std::string &Path,
           base::Duration Timeout, AnswerCallback Done) override {
    World_.exchange(World_.at(Name_), Address, Path, "", Timeout,
                    std::move(Done));
  }
  void defer(std::function<void()> Action) override {
    World_.World_.schedule({}, [&World = World_, Name = Name_,
                                Incarnation = Incarnation_,
                                Action = std::move(Action)] {
      World.arrive(Name, Incarnation, Action);
    });
  }

private:
  RelayedWorld &World_;
  std::string Name_;
  uint64_t Incarnation_;
};

//! An instance; its parts are those of its present incarnation.
struct RelayedWorld::Instance {
  Instance(std::string Name, std::string Domain, const base::Clock &Clock,
           base::Duration Lead)
      : Name_(std::move(Name)), Domain_(std::move(Domain)),
        Clock_(Clock, Lead) {}

  void end() {
    Up_ = false;
    ++Incarnation_;
    PausedUntil_ = {};
    Inbox_.clear();
    Relay_.reset();
    Port_.reset();
    Workers_.reset();
    Store_.reset();
    Payloads_.reset();
    Transport_.reset();
    Calls_.reset();
    Coordinator_.clear();
  }

  std::string Name_;
  std::string Domain_;
  InstanceClock Clock_;
  uint64_t Incarnation_ = 0;
  bool Up_ = false;
  base::TimePoint PausedUntil_;
  std::vector<std::function<void()>> Inbox_;
  //! Messages that it has not read yet.
  std::vector<std::function<void()>> Backlog_;
  //! The leader that it has read of.
  std::string Coordinator_;
  std::unique_ptr<InstanceWorkers> Calls_;
  std::unique_ptr<InstanceTransport> Transport_;
  std::unique_ptr<PayloadCache> Payloads_;
  std::unique_ptr<relay::test::PayloadStore> Store_;
  //! Completes the requests in Calls_.
  std::unique_ptr<relay::PayloadPort> Workers_;
  std::unique_ptr<relay::RelayedPort> Port_;
  std::unique_ptr<relay::Relay> Relay_;
};

//! Records requests with more than one callback, or none.
class RelayedWorld::CountingPort final : public WorkerPort {
public:
  CountingPort(RelayedWorld &World, uint64_t Term, const Instance &On)
      : World_(World), Term_(Term), Name_(On.Name_),
        Incarnation_(On.Incarnation_) {}

  void start(const WorkerAddress &To, const StartRequest &Request,
             RequestCallback Done) override {
    port().start(To, Request, counted<RequestReply>("start", std::move(Done)));
  }
  void stop(const WorkerAddress &To, const StopRequest &Request,
            RequestCallback Done) override {
    port().stop(To, Request, counted<RequestReply>("stop", std::move(Done)));
  }
  void throttle(const WorkerAddress &To, const ThrottleRequest &Request,
                RequestCallback Done) override {
    port().throttle(To, Request,
                    counted<RequestReply>("throttle", std::move(Done)));
  }
  void poll(const WorkerAddress &To, const PollRequest &Request,
            PollCallback Done) override {
    port().poll(To, Request, counted<PollReply>("poll", std::move(Done)));
  }
  std::string senderFor(const WorkerAddress &To) override {
    return port().senderFor(To);
  }

  bool isOn(const std::string &Name) const { return Name_ == Name; }
  void check(base::TimePoint Before) {
    const Instance &On = World_.at(Name_);
    if (!On.Up_ || On.Incarnation_ != Incarnation_)
      return;
    for (const auto &[Number, Each] : Open_)
      if (Each.second < Before)
        World_.World_.recordViolation("a " + Each.first + " of term " +
                                      std::to_string(Term_) +
                                      " has no callback");
  }

private:
  WorkerPort &port() {
    Instance &On = World_.at(Name_);
    if (World_.Relaying_)
      return *On.Port_;
    return *On.Workers_;
  }
  template <typename Reply>
  std::function<void(const Reply &)>
  counted(const char *Kind, std::function<void(const Reply &)> Done) {
    uint64_t Number = Next_++;
    Open_[Number] = {Kind, World_.World_.now()};
    return [this, Kind, Number, Done = std::move(Done)](const Reply &Got) {
      if (Open_.erase(Number) == 0)
        World_.World_.recordViolation(std::string("a ") + Kind +
                                      " has two callbacks");
      Done(Got);
    };
  }

  RelayedWorld &World_;
  uint64_t Term_;
  std::string Name_;
  uint64_t Incarnation_;
  uint64_t Next_ = 0;
  std::map<uint64_t, std::pair<std::string, base::TimePoint>> Open_;
};

} // namespace crocuslead::jobs::test
