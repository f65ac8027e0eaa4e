#include "jobs/internal/Impl.h"

#include "base/Log.h"

#include <algorithm>
#include <functional>
#include <utility>

// A coordinator learns late that a successor was elected, or never, if it is
// cut off from the store and from the workers that the successor reaches. What
// it may do until then depends on when its term was last confirmed; how long
// its successor waits depends on the same bounds. See
// docs/decisions/term-confirmation.md.

namespace crocuslead::jobs {

namespace {

// The store confirms a term about twice a second. After this time workers have
// to, and each is polled this often.
constexpr auto ConfirmationInterval = std::chrono::seconds(1);
// A run starts only with a lease of at least this part of the usual one.
constexpr int MinLeaseDivisor = 2;
// Starts wait for their record until the store has been silent for this long. A
// successor relies on the record if it fenced the term before: an election
// after a crash takes less, and so does a restart of all instances.
constexpr auto UnrecordedStartSilence = std::chrono::milliseconds(4250);
constexpr auto UnrecordedServiceSilence = std::chrono::seconds(10);
// Workers whose entries lapsed while the store was out have written them anew
// by then.
constexpr auto EntryReturnTime = std::chrono::seconds(3);
// A longer pause between ticks may span an election.
constexpr auto MaxTickGap = std::chrono::milliseconds(500);
// Within this time no successor is elected and has a worker restarted under it.
// It lets a coordinator start tasks whose every tick is late.
constexpr auto RecentConfirmation = std::chrono::milliseconds(1000);

} // namespace

internal::LeaseBounds
Coordinator::Impl::leaseBounds(const CoordinatorTimings &Times) {
  return {Times.LeaseDuration_ + Times.ConfirmationSlack_,
          Times.MaxStoreSilence_};
}

void Coordinator::Impl::confirmTerm(base::TimePoint SentAt, int64_t Revision) {
  bool Awaited = awaitsConfirmation();
  Confirmation_.confirmByStore(SentAt, Revision);
  if (Awaited && !awaitsConfirmation())
    PlacementRequested_ = true;
}

// A job that was written after the election of a successor is new to that one,
// so a term must not start it unless it was still the latest at that revision.
bool Coordinator::Impl::awaitsConfirmation() const {
  return !Confirmation_.coversRevision(NewestJobRevision_) || isResuming();
}

void Coordinator::Impl::endTerm(const char *SeenAt) {
  if (std::exchange(Superseded_, true))
    return;
  base::logEvent(base::LogLevel::Warn, "coordinator-superseded",
                 {{"term", Settings_.Term_}, {"seen_at", SeenAt}});
}

bool Coordinator::Impl::mustConfirmTerm(const WorkerEntry &Worker) const {
  return StoreSilent_ && Worker.MayHoldLease_ && Worker.RecordDurable_ &&
         now() >= Worker.AnsweredPollSentAt_.value_or(base::TimePoint()) +
                      ConfirmationInterval;
}

// A worker that has seen a later term refuses polls, so one that answers shows
// that no successor had reached it before the poll was sent.
void Coordinator::Impl::confirmTermByWorkers() {
  auto ByStore = Confirmation_.confirmedByStoreAt();
  bool Silent = !ByStore || now() - *ByStore > ConfirmationInterval;
  if (Silent && ByStore)
    StoreSilentUntil_ = now();
  if (std::exchange(StoreSilent_, Silent) != Silent)
    base::logEvent(
        base::LogLevel::Info,
        Silent ? "term-confirmed-by-workers" : "term-confirmed-by-store",
        {{"term", Settings_.Term_},
         {"recorded_workers", static_cast<int64_t>(MaxRecordedHolders_)}});
  if (!Silent)
    return;
  std::vector<base::TimePoint> Answers;
  for (const WorkerEntry *Worker : WorkerOrder_)
    if (Worker->MayHoldLease_ && Worker->RecordDurable_ &&
        Worker->AnsweredPollSentAt_)
      Answers.push_back(*Worker->AnsweredPollSentAt_);
  std::sort(Answers.begin(), Answers.end(), std::greater<>());
  for (std::size_t I = 0; I < Answers.size(); ++I)
    if (internal::confirmsTerm(I + 1, MaxRecordedHolders_)) {
      Confirmation_.confirmByWorkers(Answers[I]);
      return;
    }
}

bool Coordinator::Impl::mayEntriesHaveLapsed() const {
  return StoreSilentUntil_ && now() - *StoreSilentUntil_ < EntryReturnTime;
}

base::Duration Coordinator::Impl::leaseTimeLeft() const {
  auto Limit = Confirmation_.leaseLimit();
  return Limit ? *Limit - now() : base::Duration{};
}

// In a pause a successor may have been elected, and a worker that it had polled
// may have restarted, so that it refuses nothing that this term sends.
void Coordinator::Impl::noteTick() {
  base::TimePoint Now = now();
  base::TimePoint Last = std::exchange(LastTickAt_, Now);
  if (Last == base::TimePoint() || Now - Last <= MaxTickGap)
    return;
  ResumedAt_ = Now;
  base::logEvent(
      base::LogLevel::Warn, "coordinator-paused",
      {{"term", Settings_.Term_}, {"pause_ms", base::toMillis(Now - Last)}});
}

bool Coordinator::Impl::isResuming() const {
  auto Confirmed = Confirmation_.confirmedAt();
  return Confirmed < ResumedAt_ &&
         (!Confirmed || now() - *Confirmed > RecentConfirmation);
}

bool Coordinator::Impl::mayStartRuns() {
  base::Duration Left = leaseTimeLeft();
  bool Suspended =
      Left < Settings_.Times_.LeaseDuration_ / MinLeaseDivisor || isResuming();
  if (std::exchange(StartsSuspended_, Suspended) != Suspended)
    base::logEvent(base::LogLevel::Warn,
                   Suspended ? "starts-suspended" : "starts-resumed",
                   {{"term", Settings_.Term_},
                    {"lease_time_left_ms", base::toMillis(Left)},
                    {"store_silent", StoreSilent_}});
  return !Suspended;
}

base::Duration Coordinator::Impl::longestRecordedSilence(bool LongRunning) {
  return LongRunning ? UnrecordedServiceSilence : UnrecordedStartSilence;
}

// Workers must have confirmed the term after that silence, so a successor that
// fenced it before knows that this has not been the case.
bool Coordinator::Impl::isStoreOut(bool LongRunning) const {
  auto ByStore = Confirmation_.confirmedByStoreAt();
  auto Confirmed = Confirmation_.confirmedAt();
  return ByStore && Confirmed &&
         *Confirmed - *ByStore > longestRecordedSilence(LongRunning);
}

// The end of its own lease is no proof that a worker runs nothing: a successor
// may have renewed it, unless none was elected before that end.
bool Coordinator::Impl::hasLeaseEnded(const WorkerEntry &Worker) const {
  return wasLatestTermAt(leaseEnd(Worker));
}

bool Coordinator::Impl::wasLatestTermAt(base::TimePoint Time) const {
  auto ByStore = Confirmation_.confirmedByStoreAt();
  return ByStore && *ByStore > Time;
}

// The record decides how many workers have to confirm an earlier term, so it
// may not grow before that term can't be confirmed any more.
bool Coordinator::Impl::mayRecordUsedWorkers() const {
  return !Recovering_ || PredecessorLeases_.fenced() ||
         now() >= PredecessorLeases_.end();
}

} // namespace crocuslead::jobs
