#include "cluster/ReportDelta.h"

#include "base/Hash.h"

#include <algorithm>
#include <limits>
#include <map>
#include <tuple>
#include <utility>

namespace crocuslead::cluster {

namespace {

constexpr int64_t AttemptReport::*const Counters[] = {
    &AttemptReport::CpuMillis_, &AttemptReport::MemoryMbMillis_,
    &AttemptReport::AcceleratorMillis_, &AttemptReport::RunMillis_};
constexpr int AttemptReport::*const Levels[] = {
    &AttemptReport::ProgressPercent_, &AttemptReport::SpeedPercent_};

// A running task's run time grows with the worker's clock, so only the
// deviation is carried.
int64_t clockGrowth(const WorkerReply &Reply, const ReportBase &Base) {
  return Reply.WorkerClockMs_ - Base.ClockMs_;
}

void packAttempt(AttemptReport &Attempt, const AttemptReport &From,
                 int64_t Growth) {
  Attempt.Task_.clear();
  Attempt.Attempt_ = 0;
  for (auto Member : Counters)
    Attempt.*Member -= From.*Member;
  Attempt.RunMillis_ -= Growth;
  for (auto Member : Levels)
    Attempt.*Member -= From.*Member;
  if (Attempt.Checkpoint_ == From.Checkpoint_)
    Attempt.Checkpoint_.clear();
}

// The differences come from outside, so their sums are checked.
template <typename T> bool addChecked(T &Value, const T &From) {
  if ((From > 0 && Value > std::numeric_limits<T>::max() - From) ||
      Value + From < 0)
    return false;
  Value += From;
  return true;
}

bool unpackAttempt(AttemptReport &Attempt, const AttemptReport &From,
                   int64_t Growth) {
  Attempt.Task_ = From.Task_;
  Attempt.Attempt_ = From.Attempt_;
  if (Attempt.RunMillis_ > std::numeric_limits<int64_t>::max() - Growth)
    return false;
  Attempt.RunMillis_ += Growth;
  for (auto Member : Counters)
    if (!addChecked(Attempt.*Member, From.*Member))
      return false;
  for (auto Member : Levels)
    if (!addChecked(Attempt.*Member, From.*Member))
      return false;
  if (Attempt.Checkpoint_.empty())
    Attempt.Checkpoint_ = From.Checkpoint_;
  Attempt.KnownAs_ = 0;
  return Attempt.ProgressPercent_ <= 100;
}

} // namespace

uint32_t ReportBase::token() const {
  if (Sequence_ == 0)
    return 0;
  auto Hash = static_cast<uint32_t>(
      base::stableHash(Incarnation_, static_cast<uint64_t>(Sequence_)));
  return Hash == 0 ? 1 : Hash;
}

ReportBase makeReportBase(const WorkerReply &Reply, int64_t Epoch) {
  return {Reply.Incarnation_, Epoch, Reply.ReportSequence_,
          Reply.WorkerClockMs_, Reply.Attempts_};
}

bool hasChanged(const ReportBase &Base, const std::vector<AttemptReport> &Now) {
  auto SameState = [](const AttemptReport &A, const AttemptReport &B) {
    return std::tie(A.Task_, A.Attempt_, A.State_, A.Checkpoint_) ==
           std::tie(B.Task_, B.Attempt_, B.State_, B.Checkpoint_);
  };
  return !std::equal(Base.Attempts_.begin(), Base.Attempts_.end(), Now.begin(),
                     Now.end(), SameState);
}

void packReply(WorkerReply &Reply, const ReportBase &Base) {
  Reply.Packed_ = true;
  Reply.Incarnation_.clear();
  if (Reply.HighestEpoch_ == Base.Epoch_)
    Reply.HighestEpoch_ = 0;
  std::map<std::pair<std::string_view, uint32_t>, uint32_t> Known;
  for (uint32_t I = 0; I < Base.Attempts_.size(); ++I)
    Known[{Base.Attempts_[I].Task_, Base.Attempts_[I].Attempt_}] = I + 1;
  for (AttemptReport &Each : Reply.Attempts_) {
    auto Found = Known.find({Each.Task_, Each.Attempt_});
    if (Found == Known.end())
      continue;
    Each.KnownAs_ = Found->second;
    packAttempt(Each, Base.Attempts_[Found->second - 1],
                clockGrowth(Reply, Base));
  }
}

bool unpackReply(WorkerReply &Reply, const ReportBase &Base) {
  if (Base.Sequence_ == 0 || Reply.WorkerClockMs_ < Base.ClockMs_)
    return false;
  Reply.Packed_ = false;
  Reply.Incarnation_ = Base.Incarnation_;
  if (Reply.HighestEpoch_ == 0)
    Reply.HighestEpoch_ = Base.Epoch_;
  for (AttemptReport &Each : Reply.Attempts_) {
    if (Each.KnownAs_ == 0)
      continue;
    if (Each.KnownAs_ > Base.Attempts_.size() ||
        !unpackAttempt(Each, Base.Attempts_[Each.KnownAs_ - 1],
                       clockGrowth(Reply, Base)))
      return false;
  }
  return true;
}

} // namespace crocuslead::cluster
