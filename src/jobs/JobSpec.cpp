#include "jobs/JobSpec.h"

#include <algorithm>

namespace crocuslead::jobs {

namespace {

base::Result<void> validateStep(const StepSpec &Step, std::size_t StepNumber) {
  auto Reject = [&](const std::string &Reason) {
    return base::fail(base::ErrorKind::InvalidRequest,
                      "step " + std::to_string(StepNumber) + ": " + Reason);
  };
  if (Step.Count_ == 0 || Step.Count_ > MaxTasksPerStep)
    return Reject("task count is " + std::to_string(Step.Count_) +
                  ", must be 1 to " + std::to_string(MaxTasksPerStep));
  const base::Resources &Request = Step.Request_;
  if (Request.MilliCpu_ < 0 || Request.MemoryMb_ < 0 ||
      Request.Accelerators_ < 0 || Step.EstimatedDuration_.count() < 0)
    return Reject(
        "resource request and estimated duration must not be negative");
  for (uint32_t Dependency : Step.Dependencies_)
    if (Dependency >= StepNumber)
      return Reject("depends on step " + std::to_string(Dependency) +
                    ", which is not an earlier step");
  return {};
}

} // namespace

base::Result<void> validate(const JobSpec &Spec) {
  if (Spec.Steps_.empty() || Spec.Steps_.size() > MaxStepsPerJob)
    return base::fail(base::ErrorKind::InvalidRequest,
                      "job has " + std::to_string(Spec.Steps_.size()) +
                          " steps, must have 1 to " +
                          std::to_string(MaxStepsPerJob));
  if (Spec.Repetitions_ > 1 && Spec.Interval_.count() <= 0)
    return base::fail(base::ErrorKind::InvalidRequest,
                      "interval of a recurring job must be positive");
  for (std::size_t I = 0; I < Spec.Steps_.size(); ++I)
    BOOST_LEAF_CHECK(validateStep(Spec.Steps_[I], I));
  return {};
}

std::string taskName(const TaskId &Id) {
  return Id.Job_ + "." + std::to_string(Id.Position_.Occurrence_) + "." +
         std::to_string(Id.Position_.Step_) + "." +
         std::to_string(Id.Position_.Index_);
}

base::Duration criticalPath(const JobSpec &Spec) {
  std::vector<base::Duration> Ends(Spec.Steps_.size());
  base::Duration Longest{};
  for (std::size_t I = 0; I < Spec.Steps_.size(); ++I) {
    base::Duration Start{};
    for (uint32_t Dependency : Spec.Steps_[I].Dependencies_)
      Start = std::max(Start, Ends[Dependency]);
    Ends[I] = Start + Spec.Steps_[I].EstimatedDuration_;
    Longest = std::max(Longest, Ends[I]);
  }
  return Longest;
}

} // namespace crocuslead::jobs
