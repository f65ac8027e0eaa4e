#include "jobs/internal/Impl.h"

#include "base/Log.h"

#include <algorithm>
#include <map>
#include <utility>

// The records of earlier terms tell for how long something may last from when
// they were written. No two instances have a common clock, but a worker that
// answers this term was read by the writer as well: its clock tells what passed
// in between. It may be slow, so it shows at least what has passed.

namespace crocuslead::jobs {

namespace {

// Some of them may be gone when the record is read.
constexpr std::size_t MaxClocks = 6;
constexpr int MaxClocksPerDomain = 2;

constexpr std::array<const char *, 2> RecordNames = {"used-workers",
                                                     "handover"};

} // namespace

// Workers of one domain are often lost together, and those that drain leave
// soon.
std::vector<const Coordinator::Impl::WorkerEntry *>
Coordinator::Impl::clockWorkers() const {
  std::vector<const WorkerEntry *> Out;
  std::vector<const WorkerEntry *> Others;
  std::map<std::string, int> PerDomain;
  for (const WorkerEntry *Worker : WorkerOrder_) {
    if (Out.size() >= MaxClocks)
      break;
    if (!Worker->Polled_ || Worker->PollFailures_ > 0 || !Worker->Clock_ ||
        Worker->Info_.StartTimeMs_ == 0)
      continue;
    int &OfDomain = PerDomain[Worker->Info_.Domain_];
    if (Worker->Info_.Draining_ || OfDomain >= MaxClocksPerDomain) {
      Others.push_back(Worker);
      continue;
    }
    ++OfDomain;
    Out.push_back(Worker);
  }
  for (std::size_t I = 0; I < Others.size() && Out.size() < MaxClocks; ++I)
    Out.push_back(Others[I]);
  return Out;
}

std::vector<internal::ClockReading> Coordinator::Impl::clockReadings() const {
  std::vector<internal::ClockReading> Out;
  for (const WorkerEntry *Worker : clockWorkers()) {
    const internal::ClockSample &Read = *Worker->Clock_;
    base::Duration AtLeast = leastOnWorkerClock(now() - Read.TakenAt_);
    Out.push_back({Worker->Info_.Id_, Worker->Info_.StartTimeMs_,
                   Read.WorkerMs_ + base::toMillis(AtLeast),
                   Read.WorkerMs_ + base::toMillis(now() - Read.SentAt_) + 1});
  }
  return Out;
}

internal::RecordedStarts Coordinator::Impl::recordedStarts() {
  bool NoneIsWaitedFor = !Recovering_ && UnlocatedSize_ == UnseenJobs().size();
  auto AreRecorded = [&](bool LongRunning) {
    return areOwnStartsRecorded(LongRunning) &&
           (NoneIsWaitedFor || areEarlierStartsRecorded(LongRunning));
  };
  return {AreRecorded(false), AreRecorded(true)};
}

std::string Coordinator::Impl::lastCommitRecord(uint64_t Number) {
  auto Confirmed = Confirmation_.confirmedByStoreAt();
  internal::LastCommit Out;
  Out.Term_ = Settings_.Term_;
  Out.Number_ = Number;
  if (Confirmed)
    Out.Starts_ = recordedStarts();
  Out.UsedWorkersAge_ = now() - UsedWorkersWrittenBefore_;
  Out.StoreSilence_ = Confirmed ? now() - *Confirmed : base::Duration{};
  Out.Clocks_ = clockReadings();
  Out.Leaving_ = leavingWorkers();
  return internal::encodeLastCommit(Out);
}

// A commit of an earlier version of the program leaves the record of one before
// it.
void Coordinator::Impl::restoreLastCommit(
    const std::string &Record, std::pair<uint64_t, uint64_t> TermAndNumber) {
  LastCommit_ = internal::decodeLastCommit(Record);
  if (!LastCommit_ || std::make_pair(LastCommit_->Term_,
                                     LastCommit_->Number_) != TermAndNumber) {
    LastCommit_.reset();
    return;
  }
  LastCommitAge_ = RecordAge{LastCommit_->Clocks_, std::nullopt, now()};
  base::logEvent(
      base::LogLevel::Info, "last-commit-read",
      {{"term", Settings_.Term_},
       {"from_term", LastCommit_->Term_},
       {"starts_recorded", LastCommit_->Starts_.Finite_},
       {"long_running_starts_recorded", LastCommit_->Starts_.LongRunning_},
       {"store_silence_ms", base::toMillis(LastCommit_->StoreSilence_)},
       {"clocks", static_cast<int64_t>(LastCommit_->Clocks_.size())}});
  UsedWorkersWrittenBefore_ = now() - LastCommit_->UsedWorkersAge_;
}

void Coordinator::Impl::noteClock(const WorkerEntry &Worker, int64_t ClockMs,
                                  base::TimePoint SentAt) {
  auto Narrow = [&](std::optional<RecordAge> &Age, internal::RecordKind In) {
    if (!Age)
      return;
    for (const internal::ClockReading &Each : Age->Clocks_) {
      if (Each.Worker_ != Worker.Info_.Id_ ||
          Each.StartTimeMs_ != Worker.Info_.StartTimeMs_)
        continue;
      base::Duration AtLeast =
          std::chrono::milliseconds(ClockMs - Each.LatestMs_);
      base::Duration AtMost = boundOnWorkerClock(
          std::chrono::milliseconds(ClockMs - Each.EarliestMs_));
      base::TimePoint After = SentAt - AtMost;
      Age->WrittenAfter_ = std::max(Age->WrittenAfter_.value_or(After), After);
      base::Duration Earlier = Age->WrittenBefore_ - (now() - AtLeast);
      if (Earlier.count() <= 0)
        continue;
      Age->WrittenBefore_ -= Earlier;
      shiftRecordedEnds(In, Earlier);
      base::logEvent(base::LogLevel::Info, "record-age",
                     {{"term", Settings_.Term_},
                      {"record", RecordNames[static_cast<std::size_t>(In)]},
                      {"worker", Worker.Info_.Id_},
                      {"age_ms", base::toMillis(now() - Age->WrittenBefore_)},
                      {"starts_recorded", areEarlierStartsRecorded(true)}});
    }
  };
  Narrow(LastCommitAge_, internal::RecordKind::UsedWorkers);
  Narrow(HandoverAge_, internal::RecordKind::Handover);
}

void Coordinator::Impl::shiftRecordedEnds(internal::RecordKind In,
                                          base::Duration By) {
  for (WorkerEntry *Worker : WorkerOrder_) {
    if (Worker->Polled_ || !Worker->RecordedLeaseEnd_ ||
        Worker->RecordedLeaseIn_ != In)
      continue;
    base::TimePoint End = *Worker->RecordedLeaseEnd_ -= By;
    Worker->LatestLeaseEnd_ = std::min(Worker->LatestLeaseEnd_, End);
    Worker->LongestLeaseUntil_ = std::min(Worker->LongestLeaseUntil_, End);
  }
  for (auto &[Id, Unlocated] : UnlocatedRuns_)
    if (Unlocated.In_ == In)
      Unlocated.End_ -= By;
  bool IsRewritten = UsedWorkersWrittenBefore_ > RecoveryStartedAt_;
  if (In == internal::RecordKind::UsedWorkers && !IsRewritten)
    UsedWorkersWrittenBefore_ -= By;
}

// A coordinator starts tasks without a record only after the store has been
// silent for long, and none of an earlier term starts any once the workers
// refuse it.
bool Coordinator::Impl::areEarlierStartsRecorded(bool LongRunning) const {
  if (!UsedWorkersComplete_)
    return false;
  if (HandoverStarts_)
    return HandoverStarts_->of(LongRunning) && PredecessorResigned_;
  auto Fenced = PredecessorLeases_.fencedAt();
  if (!LastCommit_ || !LastCommit_->Starts_.of(LongRunning) || !Fenced ||
      !LastCommitAge_->WrittenAfter_)
    return false;
  base::TimePoint Confirmed =
      *LastCommitAge_->WrittenAfter_ - LastCommit_->StoreSilence_;
  return *Fenced - Confirmed <= longestRecordedSilence(LongRunning);
}

} // namespace crocuslead::jobs
