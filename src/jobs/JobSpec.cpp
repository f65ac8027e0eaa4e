#include "jobs/JobSpec.h"

#include <algorithm>

namespace crocuslead::jobs {

namespace {

base::Result<void> validateStep(const StepSpec &Step, std::size_t Number) {
  auto Refuse = [&](const std::string &Why) {
    return base::fail(base::ErrorKind::InvalidRequest,
                      "step " + std::to_string(Number) + ": " + Why);
  };
  if (Step.Count_ == 0 || Step.Count_ > MaxTasksPerStep)
    return Refuse("count must be 1 to " + std::to_string(MaxTasksPerStep));
  const base::Resources &Request = Step.Request_;
  if (Request.MilliCpu_ < 0 || Request.MemoryMb_ < 0 ||
      Request.Accelerators_ < 0 || Step.Estimate_.count() < 0)
    return Refuse("a size or time is negative");
  for (uint32_t Before : Step.After_)
    if (Before >= Number)
      return Refuse("depends on step " + std::to_string(Before) +
                    ", which is not an earlier one");
  return {};
}

} // namespace

base::Result<void> validate(const JobSpec &Spec) {
  if (Spec.Steps_.empty() || Spec.Steps_.size() > MaxStepsPerJob)
    return base::fail(base::ErrorKind::InvalidRequest,
                      "a job needs 1 to " + std::to_string(MaxStepsPerJob) +
                          " steps");
  if (Spec.Repetitions_ > 1 && Spec.Interval_.count() <= 0)
    return base::fail(base::ErrorKind::InvalidRequest,
                      "a recurring job needs a positive interval");
  for (std::size_t I = 0; I < Spec.Steps_.size(); ++I)
    BOOST_LEAF_CHECK(validateStep(Spec.Steps_[I], I));
  return {};
}

std::string taskName(const TaskId &Id) {
  return Id.Job_ + "." + std::to_string(Id.At_.Occurrence_) + "." +
         std::to_string(Id.At_.Step_) + "." + std::to_string(Id.At_.Index_);
}

base::Duration longestChain(const JobSpec &Spec) {
  std::vector<base::Duration> Ends(Spec.Steps_.size());
  base::Duration Longest{};
  for (std::size_t I = 0; I < Spec.Steps_.size(); ++I) {
    base::Duration Begin{};
    for (uint32_t Before : Spec.Steps_[I].After_)
      Begin = std::max(Begin, Ends[Before]);
    Ends[I] = Begin + Spec.Steps_[I].Estimate_;
    Longest = std::max(Longest, Ends[I]);
  }
  return Longest;
}

} // namespace crocuslead::jobs
