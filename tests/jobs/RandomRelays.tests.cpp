#include "jobs/RelayedWorld.h"
#include "support/SeedRange.h"

#include <doctest/doctest.h>

namespace crocuslead::jobs::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int Instances = 6;
constexpr uint32_t Workers = 6;
// Bounds the wait for workers that have all left with their coordinator.
constexpr auto MaxStoreSilence = seconds(30);
constexpr auto ElectionTime = milliseconds(2300);

//! Pauses, crashes and restarts of relays, cuts and losses between instances,
//! and between them and workers, while coordinators and workers come and go.
class RandomRelays {
public:
  explicit RandomRelays(uint64_t Seed, bool LongPauses = false)
      : Fleet_(Seed, Instances), LongPauses_(LongPauses) {
    World_.drawClockOrigins();
    for (uint32_t I = 0; I < Workers; ++I)
      World_.addWorker("w" + std::to_string(I), 16'000,
                       "d" + std::to_string(I % 3));
    World_.RequestsReachNextIncarnation_ = Seed % 2 == 0;
    World_.FormerTermsLearnJobs_ = true;
    World_.Times_.MaxStoreSilence_ = MaxStoreSilence;
    Fleet_.startSuccessor();
    Fleet_.run(seconds(1));
  }

  void run() {
    constexpr int Rounds = 40;
    for (int Round = 0; Round < Rounds; ++Round) {
      if (LongPauses_)
        actLate();
      else
        act();
      Fleet_.run(milliseconds(50 + random(2'500)));
    }
    heal();
    Fleet_.run(MaxStoreSilence + seconds(60));
    Fleet_.checkCallbacks();
    for (int I = 0; I < Finite_; ++I)
      CHECK(World_.state("j" + std::to_string(I)) == JobState::Completed);
    for (const std::string &Task : Lasting_)
      CHECK_MESSAGE(World_.Oracle_.RunningOn_[Task].size() == 1, Task);
    for (const std::string &Violation : World_.Oracle_.Violations_)
      FAIL_CHECK(Violation);
    CHECK(Fleet_.counters().Relays_ == Instances - 1);
    Relayed_ = Fleet_.counters().Requests_;
  }

  //! Requests that the last coordinator's instance had relayed.
  uint64_t Relayed_ = 0;

private:
  using Action = void (RandomRelays::*)();

  uint64_t random(uint64_t Bound) { return World_.Random_.below(Bound); }
  uint32_t count() { return static_cast<uint32_t>(1 + random(Workers)); }
  std::string randomWorker() { return "w" + std::to_string(random(Workers)); }

  void act() {
    static constexpr Action Actions[] = {
        &RandomRelays::pauseRelay,   &RandomRelays::pauseRelay,
        &RandomRelays::crashRelay,   &RandomRelays::crashRelay,
        &RandomRelays::bootRelay,    &RandomRelays::breakPath,
        &RandomRelays::breakPath,    &RandomRelays::mendPaths,
        &RandomRelays::slowMessages, &RandomRelays::loseMessages,
        &RandomRelays::handOver,     &RandomRelays::takeOver,
        &RandomRelays::crashLeader,  &RandomRelays::cutOff,
        &RandomRelays::endCut,       &RandomRelays::loseWorker,
        &RandomRelays::loseWorker,   &RandomRelays::delayRequests,
        &RandomRelays::failStore,    &RandomRelays::submitLasting,
        &RandomRelays::submitFinite, &RandomRelays::submitFinite,
        &RandomRelays::submitFinite};
    (this->*Actions[random(std::size(Actions))])();
  }

  //! Requests that wait at a relay for longer than it may keep them, while
  //! workers begin new incarnations, which know no run and no lease.
  void actLate() {
    static constexpr Action Actions[] = {
        &RandomRelays::pauseForLong,  &RandomRelays::pauseForLong,
        &RandomRelays::restartWorker, &RandomRelays::restartWorker,
        &RandomRelays::restartWorker, &RandomRelays::submitLasting,
        &RandomRelays::submitFinite,  &RandomRelays::submitFinite,
        &RandomRelays::handOver,      &RandomRelays::crashRelay,
        &RandomRelays::bootRelay};
    (this->*Actions[random(std::size(Actions))])();
  }
  void pauseForLong() {
    for (int I = 0; I < Instances; ++I) {
      std::string Name = "i" + std::to_string(I);
      if (Name != Fleet_.leader() && Fleet_.isUp(Name) && random(2) == 0)
        Fleet_.pause(Name, milliseconds(4'000 + random(10'000)));
    }
  }
  void restartWorker() { World_.restartWorker(randomWorker()); }

  void pauseRelay() {
    std::string Name = Fleet_.randomInstance();
    if (Name != Fleet_.leader() && Fleet_.isUp(Name))
      Fleet_.pause(Name, milliseconds(100 + random(6'000)));
  }
  void crashRelay() {
    std::string Name = Fleet_.randomInstance();
    if (Name == Fleet_.leader())
      return;
    Fleet_.crash(Name);
    Fleet_.run(milliseconds(random(1'000)));
    if (random(2) == 0)
      Fleet_.restart(Name);
  }
  void bootRelay() {
    for (int I = 0; I < Instances; ++I)
      if (!Fleet_.isUp("i" + std::to_string(I)))
        Fleet_.restart("i" + std::to_string(I));
  }
  void breakPath() {
    std::string From =
        random(2) == 0 ? Fleet_.leader() : Fleet_.randomInstance();
    std::string To = random(2) == 0 ? Fleet_.randomInstance() : randomWorker();
    Fleet_.Broken_.emplace(From, To);
    if (random(2) == 0)
      Fleet_.Broken_.emplace(To, From);
  }
  void mendPaths() { Fleet_.Broken_.clear(); }
  void slowMessages() { Fleet_.SlowShare_ = random(2) == 0 ? 0.1 : 0; }
  void loseMessages() { Fleet_.LostShare_ = random(2) == 0 ? 0.1 : 0; }
  void handOver() { Fleet_.handOver(milliseconds(20 + random(400))); }
  void takeOver() { Fleet_.startSuccessor(); }
  void crashLeader() {
    std::string Name = Fleet_.leader();
    Fleet_.crash(Name);
    Fleet_.run(milliseconds(random(2'500)));
    Fleet_.startSuccessor();
    if (!Fleet_.isUp(Name))
      Fleet_.restart(Name);
  }
  void cutOff() {
    std::set<std::string> Far;
    std::set<std::string> FarWorkers;
    for (int I = 0; I < Instances; ++I)
      if (random(3) == 0)
        Far.insert("i" + std::to_string(I));
    for (uint32_t I = 0, Most = count(); I < Workers; ++I)
      if (random(Workers) < Most)
        FarWorkers.insert("w" + std::to_string(I));
    Fleet_.cutOff(Far, FarWorkers);
    Fleet_.run(ElectionTime);
    Fleet_.startSuccessor();
  }
  void endCut() { Fleet_.endCut(); }
  void loseWorker() {
    std::string Id = randomWorker();
    FakeWorker &Worker = World_.worker(Id);
    switch (random(4)) {
    case 0:
      World_.restartWorker(Id);
      break;
    case 1:
      World_.restartWorkerAfter(Id, milliseconds(100 + random(900)));
      World_.run(milliseconds(1'100));
      World_.registerWorker(Id);
      break;
    case 2:
      Worker.DropsReplies_ = !Worker.DropsReplies_;
      break;
    default:
      Worker.DropsRequests_ = Worker.DropsReplies_ = !Worker.DropsRequests_;
    }
  }
  void delayRequests() {
    constexpr double Shares[] = {0, 0.05, 0.2};
    World_.DelayedRequestShare_ = Shares[random(3)];
    World_.LostReplyShare_ = Shares[random(2)];
  }
  void failStore() { World_.StoreDown_ = !World_.StoreDown_; }

  void submit(const std::string &Id, JobSpec Spec) {
    Spec.Payload_ = std::string(random(2) == 0 ? 100 : 1'000, 'p') + Id;
    Fleet_.submit(Id, Spec);
  }
  void submitLasting() {
    constexpr std::size_t MostLasting = 12;
    if (Lasting_.size() >= MostLasting)
      return;
    std::string Id = "s" + std::to_string(Lasting_.size());
    JobSpec Spec = chainJob(1, count(), 300);
    Spec.Steps_[0].LongRunning_ = true;
    for (uint32_t I = 0; I < Spec.Steps_[0].Count_; ++I)
      Lasting_.push_back(taskName({Id, {0, 0, I}}));
    submit(Id, Spec);
  }
  void submitFinite() {
    World_.RunDuration_ = milliseconds(200 + random(8'000));
    submit("j" + std::to_string(Finite_++), chainJob(2, count()));
  }

  void heal() {
    mendPaths();
    Fleet_.SlowShare_ = Fleet_.LostShare_ = 0;
    World_.StoreDown_ = false;
    World_.DelayedRequestShare_ = World_.LostReplyShare_ = 0;
    Fleet_.endCut();
    bootRelay();
    for (auto &[Id, Worker] : World_.Workers_)
      Worker.DropsReplies_ = Worker.DropsRequests_ = false;
  }

  RelayedWorld Fleet_;
  bool LongPauses_ = false;
  JobWorld &World_ = Fleet_.World_;
  int Finite_ = 0;
  std::vector<std::string> Lasting_;
};

} // namespace

TEST_CASE(
    "Random failures of relays, paths and coordinators cause no violation "
    "and leave no request without an end") {
  auto Seeds = tests::seedRange({1, 150});
  uint64_t Relayed = 0;
  for (uint64_t Seed = Seeds.First_; Seed <= Seeds.Last_; ++Seed) {
    CAPTURE(Seed);
    RandomRelays History(Seed);
    History.run();
    Relayed += History.Relayed_;
  }
  CHECK(Relayed > 0);
}

TEST_CASE(
    "Requests that wait for long at relays while workers restart cause no "
    "violation") {
  auto Seeds = tests::seedRange({101, 200});
  for (uint64_t Seed = Seeds.First_; Seed <= Seeds.Last_; ++Seed) {
    CAPTURE(Seed);
    RandomRelays(Seed, true).run();
  }
}

} // namespace crocuslead::jobs::test
