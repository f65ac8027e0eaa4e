#include "schedule/internal/Feasibility.h"

#include <algorithm>

namespace crocuslead::schedule::internal {

namespace {

base::Resources resourcesOf(const Fleet::CapacityKey &Key) {
  return {Key[0], Key[1], Key[2]};
}

// Tasks of this request that an empty worker holds.
int64_t tasksIn(const base::Resources &Capacity,
                const base::Resources &Request) {
  int64_t Result = INT32_MAX;
  auto Limit = [&](int64_t Have, int64_t Want) {
    if (Want > 0)
      Result = std::min(Result, std::max<int64_t>(Have, 0) / Want);
  };
  Limit(Capacity.MilliCpu_, Request.MilliCpu_);
  Limit(Capacity.MemoryMb_, Request.MemoryMb_);
  Limit(Capacity.Accelerators_, Request.Accelerators_);
  return Result;
}

int64_t tasksInFleet(const Fleet &Workers, const base::Resources &Request) {
  int64_t Sum = 0;
  for (const auto &[Key, Count] : Workers.capacities())
    Sum += tasksIn(resourcesOf(Key), Request) * Count.Peak_;
  return Sum;
}

// The request cut to the worker that cuts least of it.
base::Resources nearestSingle(const Fleet &Workers,
                              const base::Resources &Request) {
  base::Resources Best;
  double BestLoss = 0;
  bool Found = false;
  for (const auto &[Key, Count] : Workers.capacities()) {
    base::Resources Cut = minOf(Request, resourcesOf(Key));
    auto Loss = [](int64_t Want, int64_t Have) {
      return Want > 0
                 ? 1 - static_cast<double>(Have) / static_cast<double>(Want)
                 : 0.0;
    };
    double Sum = Loss(Request.MilliCpu_, Cut.MilliCpu_) +
                 Loss(Request.MemoryMb_, Cut.MemoryMb_) +
                 Loss(Request.Accelerators_, Cut.Accelerators_);
    if (Found && Sum >= BestLoss)
      continue;
    Found = true;
    Best = Cut;
    BestLoss = Sum;
  }
  return Best;
}

base::Resources scaled(const base::Resources &Request, int64_t Part,
                       int64_t Whole) {
  return {Request.MilliCpu_ * Part / Whole, Request.MemoryMb_ * Part / Whole,
          Request.Accelerators_ * Part / Whole};
}

// The largest part of the request, in steps of 1/1024, at which Count fit.
base::Resources nearestGang(const Fleet &Workers,
                            const base::Resources &Request, int64_t Count) {
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
                                          const EquivalenceClass &Target) {
  // Before any worker is known, nothing can be said.
  if (Workers.capacities().empty())
    return std::nullopt;
  base::Resources Smallest = Target.first().Request_;
  for (const PendingEntry *Each = Target.Head_; Each != nullptr;
       Each = Each->Next_) {
    if (tasksInFleet(Workers, Each->Task_.Request_) == 0)
      return nearestSingle(Workers, Each->Task_.Request_);
    Smallest = minOf(Smallest, Each->Task_.Request_);
    if (!Target.isGang())
      return std::nullopt;
  }
  // Even the smallest member as often as the gang has members is too much.
  auto Count = static_cast<int64_t>(Target.groupSize());
  if (tasksInFleet(Workers, Smallest) >= Count)
    return std::nullopt;
  return nearestGang(Workers, Smallest, Count);
}

} // namespace crocuslead::schedule::internal
