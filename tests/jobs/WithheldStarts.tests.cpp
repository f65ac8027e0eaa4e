#include "jobs/JobWorld.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace crocuslead::jobs::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

//! Does not send the starts of one job, as a sender that can't get its payload,
//! and says so.
class WithholdingPort final : public WorkerPort {
public:
  explicit WithholdingPort(JobWorld &World) : World_(World) {}
  void start(const WorkerAddress &To, const StartRequest &Request,
             RequestCallback Done) override {
    if (Request.Task_.Job_ != Job_) {
      World_.start(To, Request, std::move(Done));
      return;
    }
    ++Withheld_;
    World_.schedule(Wait_, [this, Done] {
      Done({RequestStatus::Withheld, {}, Wait_});
    });
  }
  void stop(const WorkerAddress &To, const StopRequest &Request,
            RequestCallback Done) override {
    World_.stop(To, Request, std::move(Done));
  }
  void throttle(const WorkerAddress &To, const ThrottleRequest &Request,
                RequestCallback Done) override {
    World_.throttle(To, Request, std::move(Done));
  }
  void poll(const WorkerAddress &To, const PollRequest &Request,
            PollCallback Done) override {
    if (LosePolls_) {
      World_.schedule(milliseconds(400), [Done] { Done({}); });
      return;
    }
    World_.poll(To, Request, std::move(Done));
  }

  JobWorld &World_;
  std::string Job_;
  int Withheld_ = 0;
  bool LosePolls_ = false;
  base::Duration Wait_ = milliseconds(600);
};

void play(bool StoreFails) {
  JobWorld World;
  WithholdingPort Port(World);
  World.PortOf_ = [&](uint64_t) -> WorkerPort & { return Port; };
  World.MaxPollWait_ = milliseconds(1000);
  World.RunPlan_ = [](const TaskId &Id) {
    return std::make_pair(Id.Job_ == "a" ? base::Duration(seconds(40))
                                         : base::Duration(seconds(2)),
                          false);
  };
  for (const char *Id : {"w0", "w1", "w2"})
    World.addWorker(Id);
  World.startSuccessor();
  World.run(seconds(8));
  World.submit("a", chainJob(1, 3, 4'000));
  World.submit("b", chainJob(2, 12, 1'000));
  World.run(milliseconds(1'500));
  Port.Job_ = "b";
  World.StoreDown_ = StoreFails;
  std::size_t Reachable = 3;
  for (int I = 0; I < 2'500; ++I) {
    World.run(milliseconds(10));
    Reachable =
        std::min(Reachable, World.Coordinator_->stats().ReachableWorkers_);
  }
  int Starts = 0;
  for (int I = 0; I < 3; ++I)
    Starts += World.startsOf("a.0.0." + std::to_string(I));
  CHECK(Reachable == 3);
  CHECK(Starts == 3);
}

//! A relay is lost in an outage of the store: each worker loses the poll that
//! is under way, and with Withheld the starts that have not left for the relay.
void loseRelay(bool Withheld) {
  JobWorld World;
  WithholdingPort Port(World);
  Port.Wait_ = milliseconds(50);
  World.PortOf_ = [&](uint64_t) -> WorkerPort & { return Port; };
  World.RunPlan_ = [](const TaskId &Id) {
    return std::make_pair(Id.Job_ == "a" ? base::Duration(seconds(40))
                                         : base::Duration(seconds(2)),
                          false);
  };
  for (const char *Id : {"w0", "w1", "w2"})
    World.addWorker(Id);
  World.startSuccessor();
  World.run(seconds(8));
  World.submit("a", chainJob(1, 3, 4'000));
  World.submit("b", chainJob(2, 12, 1'000));
  World.run(milliseconds(1'000));
  World.StoreDown_ = true;
  // The second step of b is released 2 s after the first one.
  World.run(milliseconds(950));
  Port.Job_ = Withheld ? "b" : "";
  std::size_t Reachable = 3;
  for (int I = 0; I < 1'500; ++I) {
    Port.LosePolls_ = I >= 25 && I < 40;
    if (I >= 40)
      Port.Job_.clear();
    World.run(milliseconds(10));
    Reachable =
        std::min(Reachable, World.Coordinator_->stats().ReachableWorkers_);
  }
  int Starts = 0;
  for (int I = 0; I < 3; ++I)
    Starts += World.startsOf("a.0.0." + std::to_string(I));
  int Lapsed = 0;
  for (auto &[Id, Each] : World.Workers_)
    Lapsed += Each.Runs_.empty();
  CHECK(Reachable == 3);
  CHECK(Starts == 3);
  CHECK(Lapsed == 0);
}

} // namespace

TEST_CASE("A lost poll in an outage ends no run") { loseRelay(false); }
TEST_CASE("A lost poll and withheld starts in an outage end no run") {
  loseRelay(true);
}

// Guards against starts that their sender withholds counting as lost polls of
// their workers, which answer all the while.
TEST_CASE("Workers whose starts are withheld stay reachable") { play(false); }
TEST_CASE("Workers whose starts are withheld keep their other runs in "
          "an outage of the store") {
  play(true);
}

namespace {

//! Time until a job of 600 tasks is complete beside one whose payload can't be
//! read, and the number of starts that were withheld meanwhile.
std::pair<base::Duration, int> playBeside(const char *WithheldJob,
                                          base::Duration Wait) {
  JobWorld World;
  WithholdingPort Port(World);
  Port.Wait_ = Wait;
  Port.Job_ = WithheldJob;
  World.PortOf_ = [&](uint64_t) -> WorkerPort & { return Port; };
  for (int I = 0; I < 6; ++I)
    World.addWorker("w" + std::to_string(I));
  World.startSuccessor();
  World.run(seconds(1));
  World.submit("b", chainJob(1, 40, 1'000));
  World.submit("c", chainJob(1, 600, 1'000));
  base::TimePoint Begin = World.now();
  while (World.state("c") != JobState::Completed &&
         World.now() - Begin < seconds(60))
    World.run(milliseconds(50));
  return {World.now() - Begin, Port.Withheld_};
}

} // namespace

// Guards against a job whose payload can't be read taking the places of the
// starts of all others, again and again.
TEST_CASE("A job whose starts are withheld doesn't hold up others") {
  for (base::Duration Wait : {milliseconds(5), milliseconds(600)}) {
    auto [Plain, None] = playBeside("", Wait);
    auto [Beside, Withheld] = playBeside("b", Wait);
    MESSAGE("a start is withheld after ", base::toMillis(Wait), " ms; c takes ",
            base::toMillis(Plain), " ms, beside b ", base::toMillis(Beside),
            " ms, ", Withheld, " starts withheld");
    CHECK(Beside < Plain * 3 / 2);
  }
}

} // namespace crocuslead::jobs::test
