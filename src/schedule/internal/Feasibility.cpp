#include "schedule/internal/Feasibility.h"

#include <algorithm>

namespace crocuslead::schedule::internal {

namespace {

base::Resources resourcesOf(const Fleet::CapacityKey &Key) {
  return {Key[0], Key[1], Key[2]};
}

// Number of tasks with this request that fit on an empty worker.
int64_t tasksPerWorker(const base::Resources &Capacity,
                       const base::Resources &Request) {
  int64_t Result = INT32_MAX;
  auto Limit = [&](int64_t Available, int64_t Requested) {
    if (Requested > 0)
      Result = std::min(Result, std::max<int64_t>(Available, 0) / Requested);
  };
  Limit(Capacity.MilliCpu_, Request.MilliCpu_);
  Limit(Capacity.MemoryMb_, Request.MemoryMb_);
  Limit(Capacity.Accelerators_, Request.Accelerators_);
  return Result;
}

int64_t tasksInFleet(const Fleet &Workers, const base::Resources &Request) {
  int64_t Sum = 0;
  for (const auto &[Key, Count] : Workers.capacities())
    Sum += tasksPerWorker(resourcesOf(Key), Request) * Count.Peak_;
  return Sum;
}

// The request reduced to the capacity of the worker that requires the least
// reduction.
base::Resources nearestTaskRequest(const Fleet &Workers,
                                   const base::Resources &Request) {
  base::Resources Best;
  double BestLoss = 0;
  bool Found = false;
  for (const auto &[Key, Count] : Workers.capacities()) {
    base::Resources Reduced = minOf(Request, resourcesOf(Key));
    auto Loss = [](int64_t Requested, int64_t Available) {
      return Requested > 0 ? 1 - static_cast<double>(Available) /
                                     static_cast<double>(Requested)
                           : 0.0;
    };
    double Sum = Loss(Request.MilliCpu_, Reduced.MilliCpu_) +
                 Loss(Request.MemoryMb_, Reduced.MemoryMb_) +
                 Loss(Request.Accelerators_, Reduced.Accelerators_);
    if (Found && Sum >= BestLoss)
      continue;
    Found = true;
    Best = Reduced;
    BestLoss = Sum;
  }
  return Best;
}

base::Resources scaled(const base::Resources &Request, int64_t Numerator,
                       int64_t Denominator) {
  return {Request.MilliCpu_ * Numerator / Denominator,
          Request.MemoryMb_ * Numerator / Denominator,
          Request.Accelerators_ * Numerator / Denominator};
}

// The largest fraction of the request, in steps of 1/1024, at which Count tasks
// fit in the fleet.
base::Resources nearestGangRequest(const Fleet &Workers,
                                   const base::Resources &Request,
                                   int64_t Count) {
  constexpr int64_t Steps = 1024;
  int64_t Low = 0;
  int64_t High = Steps;
  while (High - Low > 1) {
    int64_t Middle = (Low + High) / 2;
    bool Fits = tasksInFleet(Workers, scaled(Request, Middle, Steps)) >= Count;
    (Fits ? Low : High) = Middle;
  }
  return scaled(Request, Low, Steps);
}

} // namespace

std::optional<base::Resources> nearestFit(const Fleet &Workers,
                                          const EquivalenceClass &Class) {
  // Feasibility is unknown until the first worker is known.
  if (Workers.capacities().empty())
    return std::nullopt;
  base::Resources Smallest = Class.first().Request_;
  for (const PendingEntry *Entry = Class.Head_; Entry != nullptr;
       Entry = Entry->Next_) {
    if (tasksInFleet(Workers, Entry->Task_.Request_) == 0)
      return nearestTaskRequest(Workers, Entry->Task_.Request_);
    Smallest = minOf(Smallest, Entry->Task_.Request_);
    if (!Class.isGang())
      return std::nullopt;
  }
  // The gang is infeasible when the fleet does not fit as many tasks of its
  // smallest request as the gang has members.
  auto Count = static_cast<int64_t>(Class.groupSize());
  if (tasksInFleet(Workers, Smallest) >= Count)
    return std::nullopt;
  return nearestGangRequest(Workers, Smallest, Count);
}

} // namespace crocuslead::schedule::internal
