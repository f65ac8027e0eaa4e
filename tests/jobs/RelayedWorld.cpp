#include "jobs/JobKeys.h"
#include "jobs/RelayedInstance.h"

#include <utility>

namespace crocuslead::jobs::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A start with its headers and a usual payload; other messages take their
// share of the link by their size.
constexpr double BytesPerRequest = 1'000;
constexpr std::size_t PayloadBytes = std::size_t{1} << 20U;

} // namespace

RelayedWorld::RelayedWorld(uint64_t Seed, int Instances) : World_(Seed) {
  constexpr int Domains = 3;
  for (int I = 0; I < Instances; ++I) {
    std::string Name = "i" + std::to_string(I);
    Instances_[Name] = std::make_unique<Instance>(
        Name, "d" + std::to_string(I % Domains), World_.Clock_, randomLead());
    boot(at(Name));
  }
  World_.PortOf_ = [this](uint64_t Term) -> WorkerPort & {
    Ports_[Term] = std::make_unique<CountingPort>(*this, Term, at(Leader_));
    return *Ports_[Term];
  };
  World_.IsPathCut_ = [this](const std::string &From, const std::string &To) {
    return isPathCut(From, To);
  };
  World_.OnStep_ = [this] { step(); };
}

RelayedWorld::~RelayedWorld() {
  World_.crashCoordinator();
  World_.Former_.clear();
}

void RelayedWorld::boot(Instance &Each) {
  Each.Up_ = true;
  std::string Incarnation =
      Each.Name_ + "-" + std::to_string(Each.Incarnation_);
  // The next incarnation may be on another machine.
  if (Each.Incarnation_ > 0 && World_.Random_.below(2) == 0)
    Each.Clock_.setLead(randomLead());
  Each.Calls_ =
      std::make_unique<InstanceWorkers>(*this, Each.Name_, Each.Incarnation_);
  Each.Transport_ =
      std::make_unique<InstanceTransport>(*this, Each.Name_, Each.Incarnation_);
  Each.Payloads_ = std::make_unique<PayloadCache>(PayloadBytes);
  Each.Store_ = std::make_unique<relay::test::PayloadStore>(
      [this, Name = Each.Name_,
       Incarnation = Each.Incarnation_](const std::string &Key, auto Done) {
        readStore(Name, Incarnation, Key, std::move(Done));
      });
  Each.Workers_ = std::make_unique<relay::PayloadPort>(
      *Each.Calls_, *Each.Payloads_, *Each.Transport_, *Each.Store_,
      Each.Clock_);
  Each.Port_ = std::make_unique<relay::RelayedPort>(
      *Each.Workers_, *Each.Transport_, Each.Clock_, Incarnation, Each.Name_);
  Each.Relay_ = std::make_unique<relay::Relay>(
      *Each.Workers_, *Each.Transport_, Each.Clock_, Each.Name_, Incarnation,
      relay::RelayInfo{Each.Name_, Each.Domain_, "r1", 1, false});
}

void RelayedWorld::arrive(const std::string &Name, uint64_t Incarnation,
                          std::function<void()> Action) {
  Instance &Each = at(Name);
  if (!Each.Up_ || Each.Incarnation_ != Incarnation)
    return;
  if (isPaused(Name) || !Each.Inbox_.empty())
    Each.Inbox_.push_back(std::move(Action));
  else
    Action();
}

// What waits in a socket that outlives its process reaches the next one.
void RelayedWorld::arriveFromOutside(const std::string &Name,
                                     std::function<void()> Action) {
  Instance &Each = at(Name);
  if (isPaused(Name) || !Each.Backlog_.empty())
    Each.Backlog_.push_back(std::move(Action));
  else
    Action();
}

bool RelayedWorld::isPathCut(const std::string &From,
                             const std::string &To) const {
  return Broken_.count({From, To}) > 0 ||
         (IsCut_ && Far_.count(From) != Far_.count(To));
}

base::Duration RelayedWorld::randomLead() {
  return base::Duration(World_.Random_.below(100'000'000'000));
}

void RelayedWorld::readStore(const std::string &Name, uint64_t Incarnation,
                             const std::string &Key,
                             store::Callback<store::RangeReply> Done) {
  constexpr auto ReadTime = milliseconds(6);
  constexpr auto Timeout = seconds(2);
  std::string Job = Key.substr(JobKeys::PayloadsPrefix.size());
  bool Fails = World_.StoreDown_ || (IsCut_ && Far_.count(Name) > 0);
  World_.schedule(Fails ? base::Duration(Timeout) : ReadTime,
                  [this, Name, Incarnation, Fails, Key, Job, Done] {
                    arrive(Name, Incarnation, [=] {
                      if (Fails)
                        Done(relay::test::PayloadStore::failure());
                      else
                        Done(relay::test::PayloadStore::found(
                            Key, World_.Payloads_.at(Job)));
                    });
                  });
}

base::Duration RelayedWorld::randomDelay() {
  if (World_.Random_.unit() < SlowShare_)
    return milliseconds(200 + World_.Random_.below(5'000));
  return base::Duration(World_.Random_.below(MaxDelay_.count() + 1));
}

std::optional<std::string> RelayedWorld::receive(Instance &At,
                                                 const std::string &Path,
                                                 const std::string &Body) {
  std::string Payloads = relay::PayloadsPath;
  if (Path == relay::RequestsPath) {
    if (auto Batch = relay::decodeRequests(Body))
      At.Relay_->receive(std::move(*Batch));
    return std::to_string(base::toMillis(At.Clock_.now().time_since_epoch()));
  }
  if (Path == relay::RepliesPath) {
    if (auto Batch = relay::decodeReplies(Body))
      At.Port_->receive(*Batch);
    return "";
  }
  const std::string *Found = At.Payloads_->find(Path.substr(Payloads.size()));
  return Found == nullptr ? std::nullopt : std::make_optional(*Found);
}

// A message may arrive after its sender has given it up, as it waits in the
// socket of a process that is paused.
void RelayedWorld::exchange(const Instance &From, const std::string &To,
                            const std::string &Path, const std::string &Body,
                            base::Duration Timeout,
                            relay::Transport::AnswerCallback Done) {
  std::string Sender = From.Name_;
  uint64_t Incarnation = From.Incarnation_;
  auto Ended = std::make_shared<bool>(false);
  auto End = [=](const std::optional<std::string> &Answer) {
    arrive(Sender, Incarnation, [Ended, Done, Answer] {
      if (!std::exchange(*Ended, true))
        Done(Answer);
    });
  };
  World_.schedule(Timeout, [End] { End(std::nullopt); });
  if (World_.Random_.unit() < LostShare_)
    return;
  auto Bytes = static_cast<double>(Body.size() + 100);
  base::Duration Queued = World_.queueOnLink(Sender, Bytes / BytesPerRequest);
  World_.schedule(Queued + randomDelay(), [=] {
    if (isPathCut(Sender, To))
      return;
    if (!at(To).Up_) {
      World_.schedule(randomDelay(), [End] { End(std::nullopt); });
      return;
    }
    arriveFromOutside(To, [=] {
      auto Answer = receive(at(To), Path, Body);
      World_.schedule(randomDelay(), [=] {
        if (!isPathCut(To, Sender))
          End(Answer);
      });
    });
  });
}

void RelayedWorld::step() {
  for (auto &[Name, Each] : Instances_) {
    if (!Each->Up_ || isPaused(Name))
      continue;
    for (auto &Action : std::exchange(Each->Inbox_, {}))
      Action();
    for (auto &Action : std::exchange(Each->Backlog_, {}))
      Action();
    // Instances on the far side of a cut do not learn of a new leader.
    constexpr double ReadsPerStep = 0.05;
    if ((!IsCut_ || Far_.count(Name) == 0) &&
        World_.Random_.unit() < ReadsPerStep)
      Each->Coordinator_ = Leader_;
    Each->Relay_->setCoordinator(
        Each->Coordinator_ == Name ? std::string() : Each->Coordinator_);
    Each->Relay_->tick();
    Each->Port_->tick();
  }
}

std::string RelayedWorld::randomInstance() {
  auto It = Instances_.begin();
  std::advance(It, World_.Random_.below(Instances_.size()));
  return It->first;
}

std::string RelayedWorld::fitInstance() {
  std::vector<std::string> Fit;
  for (const auto &[Name, Each] : Instances_)
    if (Each->Up_ && !isPaused(Name) && (!IsCut_ || Far_.count(Name) == 0))
      Fit.push_back(Name);
  if (!Fit.empty())
    return Fit[World_.Random_.below(Fit.size())];
  std::string Name = Instances_.begin()->first;
  restart(Name);
  Far_.erase(Name);
  return Name;
}

void RelayedWorld::startSuccessor(const std::string &Name) {
  Leader_ = Name.empty() ? fitInstance() : Name;
  at(Leader_).Coordinator_ = Leader_;
  World_.startSuccessor();
}

void RelayedWorld::handOver(base::Duration Time) {
  World_.resign(Time);
  startSuccessor();
}

void RelayedWorld::crash(const std::string &Name) {
  if (Name == Leader_)
    World_.crashCoordinator();
  for (auto It = World_.Former_.begin(); It != World_.Former_.end();)
    It = Ports_.at(It->first)->isOn(Name) ? World_.Former_.erase(It)
                                          : std::next(It);
  at(Name).end();
  if (!World_.RequestsReachNextIncarnation_)
    at(Name).Backlog_.clear();
}

void RelayedWorld::restart(const std::string &Name) {
  if (at(Name).Up_)
    crash(Name);
  boot(at(Name));
}

void RelayedWorld::pause(const std::string &Name, base::Duration Time) {
  at(Name).PausedUntil_ = World_.now() + Time;
}

void RelayedWorld::cutOff(std::set<std::string> Instances,
                          const std::set<std::string> &Workers) {
  World_.cutOff(Workers);
  Far_ = std::move(Instances);
  Far_.insert(Leader_);
  Far_.insert(Workers.begin(), Workers.end());
  IsCut_ = true;
}

void RelayedWorld::endCut() {
  World_.endCut();
  IsCut_ = false;
}

void RelayedWorld::submit(const std::string &Id, JobSpec Spec) {
  World_.AcceptedBy_ = randomInstance();
  if (isUp(World_.AcceptedBy_))
    at(World_.AcceptedBy_).Payloads_->add(Id, Spec.Payload_);
  World_.submit(Id, std::move(Spec));
  World_.AcceptedBy_.clear();
}

bool RelayedWorld::isUp(const std::string &Name) const {
  return Instances_.at(Name)->Up_;
}

bool RelayedWorld::isPaused(const std::string &Name) const {
  return World_.now() < Instances_.at(Name)->PausedUntil_;
}

relay::RelayedPortCounters RelayedWorld::counters() const {
  return Instances_.at(Leader_)->Port_->counters();
}

void RelayedWorld::checkCallbacks() {
  constexpr auto LongestRequest = seconds(5);
  for (auto &[Term, Port] : Ports_)
    Port->check(World_.now() - LongestRequest);
}

} // namespace crocuslead::jobs::test
