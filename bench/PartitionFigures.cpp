#include "Figures.h"
#include "PartitionRig.h"

#include "base/Random.h"
#include "cluster/WorkerCodec.h"

#include <algorithm>
#include <chrono>
#include <malloc.h>
#include <memory>

namespace crocuslead::bench {

namespace {

using partition::Partition;

constexpr int Partitions = 16;
constexpr int WorkersEach = 69;
constexpr double StartsPerSecond = 350.0;
//! Running tasks of the design size, 12,900, over the start rate.
constexpr int64_t RunMs = 37'000;
//! Calls of 8 instances: a revision poll per 2 s and a lease renewal per 5 s;
//! the watch is one waiting call each.
constexpr double InstanceReadsPerSecond = 8.0 / 2 + 8.0 / 5;

double percentile(std::vector<double> Values, double Part) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  return Values[static_cast<std::size_t>(
      Part * static_cast<double>(Values.size() - 1))];
}

//! Submits jobs at a steady rate.
class Load {
public:
  explicit Load(double PerSecond) : PerStep_(PerSecond / 20) {}
  void step(PartitionRig &Rig) {
    for (Due_ += PerStep_; Due_ >= 1; Due_ -= 1) {
      int64_t Run = RunMs / 2 + static_cast<int64_t>(Random_.below(RunMs));
      Rig.submit("job-" + std::to_string(Next_++), Run, Random_.below(10) == 0);
    }
    Rig.step();
  }

private:
  double PerStep_;
  double Due_ = 0;
  uint64_t Next_ = 0;
  base::Random Random_{Seed};
};

void storeFigures() {
  PartitionRig Rig(WorkersEach);
  Load Jobs(StartsPerSecond / Partitions);
  for (int I = 0; I < 20 * 60; ++I)
    Jobs.step(Rig);
  uint64_t Writes = Rig.Writes_;
  uint64_t Reads = Rig.Reads_;
  uint64_t Bytes = Rig.WrittenBytes_;
  uint64_t Starts = Rig.Starts_;
  double Cpu = Rig.CpuSeconds_;
  constexpr int Seconds = 120;
  for (int I = 0; I < 20 * Seconds; ++I)
    Jobs.step(Rig);
  auto Rate = [](uint64_t After, uint64_t Before) {
    return Partitions * static_cast<double>(After - Before) / Seconds;
  };
  double Started = Rate(Rig.Starts_, Starts);
  emit({"partition.starts_per_s",
        Started,
        "1/s",
        StartsPerSecond,
        Better::Higher,
        {},
        {}});
  emit({"partition.store_writes_per_s", Rate(Rig.Writes_, Writes), "1/s", 200,
        Better::Lower, Started, "one write per start"});
  emit({"partition.store_reads_per_s",
        Rate(Rig.Reads_, Reads) + InstanceReadsPerSecond,
        "1/s",
        500,
        Better::Lower,
        {},
        {}});
  emit({"partition.store_bytes_per_start",
        static_cast<double>(Rig.WrittenBytes_ - Bytes) /
            static_cast<double>(Rig.Starts_ - Starts),
        "B",
        {},
        Better::Lower,
        {},
        {}});
  emit({"partition.fleet_cpu_percent",
        100 * Partitions * (Rig.CpuSeconds_ - Cpu) / Seconds,
        "% of a core",
        {},
        Better::Lower,
        {},
        {}});
  emit({"partition.urgent_start_p99_ms",
        percentile(Rig.UrgentDelaysMs_, 0.99),
        "ms",
        1500,
        Better::Lower,
        {},
        {}});
}

//! A partition with this many long tasks, all running.
std::unique_ptr<PartitionRig> filled(int Workers, int Tasks) {
  auto Rig = std::make_unique<PartitionRig>(Workers);
  for (int I = 0; I < Tasks; ++I)
    Rig->submit("job-" + std::to_string(I), 3'600'000, false);
  for (int I = 0; I < 20 * 70; ++I)
    Rig->step();
  return Rig;
}

void recoveryFigures() {
  for (int Size : {1, 2, 4}) {
    int Workers = WorkersEach * Size;
    int Tasks = 810 * Size;
    auto Rig = filled(Workers, Tasks);
    auto Keys = Rig->stored();
    std::size_t Bytes = 0;
    for (const store::KeyValue &One : Keys)
      Bytes += One.Value_.size();
    std::vector<double> Times;
    for (int Round = 0; Round < 15; ++Round) {
      auto Began = std::chrono::steady_clock::now();
      Partition Copy(Rig->settings());
      if (!Copy.recover(Keys, Rig->now(), Rig->wall()))
        return;
      Times.push_back(std::chrono::duration<double, std::milli>(
                          std::chrono::steady_clock::now() - Began)
                          .count());
    }
    std::string Suffix = std::to_string(Tasks) + "_tasks";
    emit({"partition.recovery_ms." + Suffix,
          percentile(Times, 0.5),
          "ms",
          {},
          Better::Lower,
          {},
          {}});
    emit({"partition.store_bytes_per_task." + Suffix,
          static_cast<double>(Bytes) / Tasks,
          "B",
          {},
          Better::Lower,
          {},
          {}});
  }
}

void memoryFigure() {
  auto Rig = filled(WorkersEach, 810);
  auto Keys = Rig->stored();
  constexpr int Copies = 8;
  std::vector<std::unique_ptr<Partition>> Kept;
  malloc_trim(0);
  std::size_t Before = mallinfo2().uordblks;
  for (int I = 0; I < Copies; ++I) {
    Kept.push_back(std::make_unique<Partition>(Rig->settings()));
    (void)Kept.back()->recover(Keys, Rig->now(), Rig->wall());
  }
  std::size_t After = mallinfo2().uordblks;
  emit({"partition.memory_per_1000_tasks_kb",
        static_cast<double>(After - Before) / Copies / 810 * 1000 / 1024,
        "KB",
        {},
        Better::Lower,
        {},
        {}});
}

void renewalFigure() {
  auto Rig = filled(WorkersEach, 810);
  for (int I = 0; I < 20 * 40; ++I)
    Rig->step();
  auto Request = cluster::encodeRequest(Rig->LastRequest_).size();
  auto Reply = cluster::encodeReply(Rig->LastReply_).size();
  auto Tasks = static_cast<double>(Rig->LastReply_.Attempts_.size());
  emit({"partition.renewal_tasks", Tasks, "tasks", {}, Better::Higher, {}, {}});
  emit({"partition.full_report_bytes",
        static_cast<double>(Request + Reply),
        "B without HTTP framing",
        {},
        Better::Lower,
        {},
        {}});
}

//! Work that a partition completes while its domain is out for 60 s of 300 s,
//! against the same load without the change. Nothing moves to other partitions.
void domainFigure() {
  double Work[2] = {0, 0};
  for (int Case : {0, 1}) {
    PartitionRig Rig(WorkersEach);
    Load Jobs(StartsPerSecond / Partitions);
    for (int I = 0; I < 20 * 300; ++I) {
      if (Case == 1 && I == 20 * 100)
        Rig.setDomain(config::DomainState::Out);
      if (Case == 1 && I == 20 * 160)
        Rig.setDomain(config::DomainState::InService);
      Jobs.step(Rig);
    }
    Work[Case] = static_cast<double>(Rig.Finished_);
  }
  emit({"partition.work_completed_with_domain_out",
        Work[1],
        "tasks in 300 s, domain out for 60 s",
        {},
        Better::Higher,
        Work[0],
        "the domain stays in service"});
}

void waveFigure() {
  PartitionRig Rig(WorkersEach);
  Load Jobs(2);
  for (int I = 0; I < 50; ++I)
    Rig.submit("wave-" + std::to_string(I), 3'600'000, false, 100);
  for (int I = 0; I < 20 * 30; ++I)
    Jobs.step(Rig);
  Rig.UrgentDelaysMs_.clear();
  for (int I = 0; I < 50; ++I)
    Rig.Partition_.cancel(1, "wave-" + std::to_string(I), Rig.now());
  for (int I = 0; I < 50; ++I)
    Rig.submit("urgent-" + std::to_string(I), 5000, true);
  for (int I = 0; I < 20 * 30; ++I)
    Jobs.step(Rig);
  emit({"partition.urgent_start_p99_ms.cancel_wave_5000",
        percentile(Rig.UrgentDelaysMs_, 0.99),
        "ms",
        1500,
        Better::Lower,
        {},
        {}});
}

} // namespace

void partitionFigures() {
  storeFigures();
  recoveryFigures();
  memoryFigure();
  renewalFigure();
  domainFigure();
  waveFigure();
}

} // namespace crocuslead::bench
