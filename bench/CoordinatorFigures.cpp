#include "CoordinatorRig.h"
#include "Figures.h"

namespace crocuslead::bench {

namespace {

using std::chrono::seconds;

constexpr auto WarmUp = seconds(5);
constexpr auto Measured = seconds(8);

void measure(const std::string &Name, CoordinatorRig &Rig) {
  Rig.run(WarmUp);
  uint64_t CallsBefore = Rig.exchanges();
  jobs::CoordinatorStats Before = Rig.stats();
  double Cpu = threadCpuSeconds();
  Rig.run(Measured);
  double Used = threadCpuSeconds() - Cpu;
  jobs::CoordinatorStats After = Rig.stats();
  auto Calls = static_cast<double>(Rig.exchanges() - CallsBefore);
  auto Starts = static_cast<double>(After.Starts_ - Before.Starts_);
  auto Polls = static_cast<double>(After.Polls_ - Before.Polls_);
  double Time = base::toSeconds(Measured);
  double Reports = base::toSeconds(After.ReportTime_ - Before.ReportTime_);
  double Checks = base::toSeconds(After.CheckTime_ - Before.CheckTime_);
  double Placement =
      base::toSeconds(After.PlacementTime_ - Before.PlacementTime_);
  emit({Name + "cpu", 100 * Used / Time, "% of a core", {}, {}, {}, {}});
  emit({Name + "calls", Calls / Time, "calls/s", {}, {}, {}, {}});
  emit({Name + "cpu_per_call", 1e6 * Used / Calls, "us", {}, {}, {}, {}});
  emit({Name + "starts", Starts / Time, "starts/s", {}, {}, {}, {}});
  emit({Name + "cpu_per_start", 1e6 * Used / Starts, "us", {}, {}, {}, {}});
  emit({Name + "polls", Polls / Time, "polls/s", {}, {}, {}, {}});
  emit({Name + "report_per_poll", 1e6 * Reports / Polls, "us", {}, {}, {}, {}});
  emit({Name + "checks", 1e3 * Checks / Time, "ms/s", {}, {}, {}, {}});
  emit({Name + "placement", 1e3 * Placement / Time, "ms/s", {}, {}, {}, {}});
}

} // namespace

void coordinatorFigures() {
  for (int Workers : {66, 245, 490, 890}) {
    std::string Name = "coordinator_" + std::to_string(Workers) + "_workers_";
    CoordinatorRig Rig(Workers);
    measure(Name, Rig);
    CoordinatorRig Busy(Workers, BusyDay);
    measure(Name + "busy_", Busy);
  }
}

} // namespace crocuslead::bench
