#pragma once

#include "jobs/JobWorld.h"

#include <string>
#include <vector>

namespace crocuslead::jobs::test {

//! A kind of job that callers submit, and its distributions.
struct WorkProfile {
  std::string Queue_;
  int Priority_ = 0;
  double JobsPerSecond_ = 0;
  double MeanSteps_ = 1;
  double MeanTasks_ = 1;
  double TaskSpread_ = 0;
  uint32_t MaxTasks_ = 1;
  double MeanMilliCpu_ = 1'000;
  double MaxMilliCpu_ = 16'000;
  double CpuSpread_ = 0;
  double MeanMemoryMb_ = 1'000;
  double MaxMemoryMb_ = 16'000;
  double MeanRunSeconds_ = 1;
  double MaxRunSeconds_ = 10;
  //! Share of failed runs, and of jobs that can never be done.
  double FailureShare_ = 0;
  double HopelessShare_ = 0;
  double SpeculativeShare_ = 0;
  double TargetFactor_ = 1;
  base::Duration TargetOffset_{};
  //! Worth of a job of mean work that meets its target; a job that takes up to
  //! three times its target is worth LateWorth_.
  double Worth_ = 1;
  double LateWorth_ = 0;
  //! Long-running jobs are cancelled after about this time.
  double MeanStaySeconds_ = 0;
  bool LongRunning_ = false;
  bool BestEffort_ = false;
};

//! Outcome of the jobs of one size class of a kind.
struct ClassOutcome {
  int Jobs_ = 0;
  int Met_ = 0;
  //! Done within three times the target, whether it was met or not.
  int Served_ = 0;
  double Worth_ = 0;
  double Owed_ = 0;

  double servedShare() const {
    return Jobs_ == 0 ? 1 : static_cast<double>(Served_) / Jobs_;
  }
  double metShare() const {
    return Jobs_ == 0 ? 1 : static_cast<double>(Met_) / Jobs_;
  }
};

struct Outcome {
  ClassOutcome All_;
  ClassOutcome LargestTenth_;
  ClassOutcome NextFifth_;
  ClassOutcome Rest_;
};

//! A fleet of 490 workers that long-running work fills to four fifths, beside
//! latency-critical and best-effort jobs that keep coming.
class FullFleet {
public:
  explicit FullFleet(uint64_t Seed);

  //! Submits jobs at Factor times the usual rates for a time.
  void run(base::Duration Time, double Factor = 1);
  //! Workers that go down and come back by turns, each for about Period.
  void startFlapping(double Share, base::Duration Period);
  void stopFlapping();
  //! Lets the open jobs finish for at most a time, without new ones.
  void settle(base::Duration Time);
  //! Outcome of the jobs of a queue that were accepted so far.
  Outcome outcome(const std::string &Queue) const;
  //! Worth of all jobs that end, as a share of what could be earned.
  double totalWorth() const;
  std::string report() const;

  JobWorld World_;

  static constexpr const char *Confirmations = "confirmations";
  static constexpr const char *Plans = "plans";
  static constexpr const char *Watchers = "watchers";

private:
  struct Job {
    std::string Id_;
    const WorkProfile *Profile_ = nullptr;
    double Work_ = 0;
    base::TimePoint AcceptedAt_;
    base::Duration Target_{};
    bool Hopeless_ = false;
    std::optional<base::TimePoint> DoneAt_;
  };

  double spread(double Mean, double Spread, double Max);
  void submit(const WorkProfile &Profile);
  std::pair<base::Duration, bool> planRun(const TaskId &Task);
  void flip(const std::string &Id);
  void recordEnds();
  static void add(ClassOutcome &Class, const Job &Each, double MeanWork);

  base::Random Random_;
  std::vector<WorkProfile> Profiles_;
  std::vector<Job> Jobs_;
  std::map<std::string, std::size_t> JobIndex_;
  std::multimap<base::TimePoint, std::string> Cancellations_;
  std::map<std::string, base::TimePoint> NextFlip_;
  base::Duration FlapPeriod_{};
};

} // namespace crocuslead::jobs::test
