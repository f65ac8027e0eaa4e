#include "CoordinatorRig.h"
#include "Figures.h"

namespace crocuslead::bench {

namespace {

using std::chrono::seconds;

constexpr auto WarmUp = seconds(3);
constexpr auto Measured = seconds(8);

} // namespace

void coordinatorFigures() {
  for (int Workers : {66, 245, 490, 890}) {
    CoordinatorRig Rig(Workers);
    Rig.run(WarmUp);
    uint64_t CallsBefore = Rig.exchanges();
    uint64_t StartsBefore = Rig.starts();
    double Cpu = threadCpuSeconds();
    Rig.run(Measured);
    double Used = threadCpuSeconds() - Cpu;
    auto Calls = static_cast<double>(Rig.exchanges() - CallsBefore);
    auto Starts = static_cast<double>(Rig.starts() - StartsBefore);
    std::string Name = "coordinator_" + std::to_string(Workers) + "_workers_";
    double Time = base::toSeconds(Measured);
    emit({Name + "cpu", 100 * Used / Time, "% of a core", {}, {}, {}, {}});
    emit({Name + "calls", Calls / Time, "calls/s", {}, {}, {}, {}});
    emit({Name + "cpu_per_call", 1e6 * Used / Calls, "us", {}, {}, {}, {}});
    emit({Name + "starts", Starts / Time, "starts/s", {}, {}, {}, {}});
    emit({Name + "cpu_per_start", 1e6 * Used / Starts, "us", {}, {}, {}, {}});
  }
}

} // namespace crocuslead::bench
