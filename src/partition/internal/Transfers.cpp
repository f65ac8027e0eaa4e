#include "partition/internal/Impl.h"

#include "partition/internal/Codec.h"

#include <algorithm>

namespace crocuslead::partition {

namespace {

//! A job that finds no free capacity here waits this long before its first
//! transfer. The delay doubles with each further transfer, so that jobs do not
//! oscillate between partitions. Urgent work must start within 1.5 s, of which
//! a transfer and an eviction take about 1 s.
constexpr base::Duration UrgentTransferDelay = std::chrono::milliseconds(200);
constexpr base::Duration BatchTransferDelay = std::chrono::seconds(3);
constexpr uint64_t MaxDelayDoublings = 6;
//! A job that its partition cannot run at all is transferred without delay up
//! to this many times. The limit is needed because peers report only the sum of
//! their free capacity, so the next partition may not be able to run it either.
constexpr uint64_t MaxImmediateTransfers = 3;
constexpr base::Duration ScanInterval = std::chrono::milliseconds(50);
constexpr base::Duration MinOfferDelay = std::chrono::seconds(1);
constexpr base::Duration MaxOfferDelay = std::chrono::seconds(30);
//! Longest interval between two summaries of a peer.
constexpr base::Duration SummaryInterval = std::chrono::seconds(10);
constexpr int MaxOffersPerScan = 20;
constexpr base::Duration AccrueInterval = std::chrono::minutes(5);
constexpr int64_t EndedJobRetentionMs = 24LL * 3600 * 1000;
constexpr std::size_t MaxEndedJobs = 20'000;

} // namespace

bool Partition::Impl::isMovable(const JobRecord &Job) const {
  if (Job.EndedMs_ != 0 || Job.Cancelled_ ||
      Job.TransferPhase_ != TransferPhase::None)
    return false;
  return std::none_of(
      Job.Tasks_.begin(), Job.Tasks_.end(),
      [](const TaskRecord &T) { return holdsWorker(T.State_); });
}

base::Resources
Partition::Impl::requestedResources(const JobRecord &Job) const {
  base::Resources Need = Job.Spec_.PerTask_;
  if (Job.Spec_.Gang_)
    for (std::size_t I = 1; I < Job.Tasks_.size(); ++I)
      Need += Job.Spec_.PerTask_;
  return Need;
}

// Returns false when no worker of this partition could run the task even if the
// worker were idle. A worker that has not been contacted yet counts as able,
// because right after a takeover no worker has answered.
bool Partition::Impl::canStartHere(const base::Resources &Request) const {
  return std::any_of(
      Workers_.begin(), Workers_.end(), [&](const WorkerState &Worker) {
        return Worker.Listed_ && !Worker.Leaving_ &&
               (Worker.Reachable_ || !Worker.AnsweredThisEpoch_) &&
               Request.fitsIn(Worker.Info_.Capacity_);
      });
}

base::Duration Partition::Impl::transferDelay(const JobRecord &Job) const {
  base::Duration Delay =
      Job.Spec_.Urgent_ ? UrgentTransferDelay : BatchTransferDelay;
  bool CannotRunHere =
      domainState(ownDomain()) != config::DomainState::InService ||
      !canStartHere(Job.Spec_.PerTask_);
  if (CannotRunHere && Job.TransferNumber_ < MaxImmediateTransfers)
    return base::Duration(0);
  return Delay * (1 << std::min(Job.TransferNumber_, MaxDelayDoublings));
}

base::Resources
Partition::Impl::availableCapacityAt(const PartitionSummary &Peer) const {
  base::Resources Room = Peer.Free_;
  auto Taken = OfferedCapacity_.find(Peer.Id_);
  if (Taken != OfferedCapacity_.end() && Now_ < Taken->second.ExpiresAt_)
    Room -= Taken->second.Reserved_;
  return Room;
}

bool Partition::Impl::canRunElsewhere(const JobRecord &Job) const {
  return Job.TransferNumber_ < MaxImmediateTransfers && isMovable(Job) &&
         chooseReceiver(Job);
}

std::optional<std::string>
Partition::Impl::chooseReceiver(const JobRecord &Job) const {
  base::Resources Need = requestedResources(Job);
  std::optional<std::string> Best;
  double BestShare = 0;
  for (const PartitionSummary &Peer : Peers_) {
    base::Resources Room = availableCapacityAt(Peer);
    if (Peer.Id_ == Settings_.Id_ || !Need.fitsIn(Room))
      continue;
    // Share of the peer's free capacity that the job would take up; the peer
    // with the smallest share is chosen.
    double Share = base::dominantShare(Need, Room);
    if (Best && Share >= BestShare)
      continue;
    Best = Peer.Id_;
    BestShare = Share;
  }
  return Best;
}

void Partition::Impl::runTransfers(base::TimePoint Now) {
  if (HandingOver_ || Now < NextTransferScanAt_ ||
      !hasRecentStoreContact(Now) || !Configured_ || !WorkersKnown_)
    return;
  NextTransferScanAt_ = Now + ScanInterval;
  int OffersLeft = MaxOffersPerScan;
  for (auto &[Id, Live] : LiveJobs_) {
    const JobRecord &Job = *State_.find(Id);
    if (Job.TransferPhase_ == TransferPhase::Offered) {
      if (Now >= Live.NextOfferAt_)
        sendOffer(Job, Live, Now);
      continue;
    }
    if (OffersLeft == 0 || Live.CancelRequested_ || !isMovable(Job) ||
        Now - Live.PendingSince_ < transferDelay(Job))
      continue;
    if (auto To = chooseReceiver(Job)) {
      --OffersLeft;
      stageOffer(Id, Live, *To, Now);
    }
  }
}

void Partition::Impl::stageOffer(const std::string &Id, LiveJob &Live,
                                 const std::string &To, base::TimePoint Now) {
  const JobRecord &Job = *State_.find(Id);
  OfferedCapacity &Room = OfferedCapacity_[To];
  if (Now >= Room.ExpiresAt_)
    Room = {{}, Now + SummaryInterval};
  for (uint32_t I = 0; I < Job.Tasks_.size(); ++I) {
    LiveTask &Task = Tasks_[Live.FirstTask_ + I];
    if (Job.Tasks_[I].State_ == TaskState::Pending)
      Room.Reserved_ += Job.Spec_.PerTask_;
    if (Task.InPlanner_)
      Planner_.removePending(Live.FirstTask_ + I);
    Task.InPlanner_ = false;
  }
  JournalEntry Entry;
  Entry.Kind_ = EntryKind::Offered;
  Entry.Job_ = Id;
  Entry.Text_ = To;
  Entry.Number_ = static_cast<int64_t>(Job.TransferNumber_ + 1);
  Live.OfferDelay_ = MinOfferDelay;
  // The first offer is sent when its entry is durable.
  Live.NextOfferAt_ = base::TimePoint::max();
  logDecision(Id, "offer", "no-room", To);
  stage(std::move(Entry), Job.Spec_.Urgent_,
        [this, JobId = Id](base::TimePoint At) {
          auto Found = LiveJobs_.find(JobId);
          if (Found != LiveJobs_.end())
            sendOffer(*State_.find(JobId), Found->second, At);
        });
}

void Partition::Impl::sendOffer(const JobRecord &Job, LiveJob &Live,
                                base::TimePoint Now) {
  Live.OfferDelay_ =
      std::min(MaxOfferDelay,
               std::max<base::Duration>(MinOfferDelay, Live.OfferDelay_ * 2));
  Live.NextOfferAt_ = Now + Live.OfferDelay_;
  Actions_.push_back(TransferAction{Job.TransferTo_, Job.Spec_.Id_,
                                    Job.TransferNumber_, encodeJob(Job)});
}

void Partition::Impl::transferAccepted(const std::string &JobId,
                                       uint64_t Number) {
  const JobRecord *Job = State_.find(JobId);
  if (Job == nullptr || Job->TransferPhase_ != TransferPhase::Offered ||
      Job->TransferNumber_ != Number || Journal_.fenced())
    return;
  JournalEntry Entry;
  Entry.Kind_ = EntryKind::Moved;
  Entry.Job_ = JobId;
  Entry.TimeMs_ = wallClockMs();
  logDecision(JobId, "moved", "accepted", Job->TransferTo_);
  if (stage(std::move(Entry), Job->Spec_.Urgent_))
    removeLiveJob(JobId);
}

void Partition::Impl::transferOffered(const std::string &From,
                                      const std::string &Record,
                                      uint64_t Number, base::TimePoint Now) {
  if (Journal_.fenced() || HandingOver_ || !hasRecentStoreContact(Now))
    return;
  auto Job = decodeJob(Record);
  if (!Job)
    return;
  std::string Id = Job->Spec_.Id_;
  const JobRecord *Existing = State_.find(Id);
  if (Existing != nullptr && Existing->TransferNumber_ >= Number) {
    if (AcceptingJobs_.count(Id) == 0)
      Actions_.push_back(TransferAckAction{From, Id, Number});
    return;
  }
  // A job of this id that has not moved away from here must be a separate
  // submission under the same id. The offer is ignored, and the sender keeps
  // its job.
  if (Existing != nullptr && Existing->TransferPhase_ != TransferPhase::Moved)
    return;
  Job->TransferPhase_ = TransferPhase::None;
  Job->TransferTo_.clear();
  Job->TransferNumber_ = Number;
  JournalEntry Entry;
  Entry.Kind_ = EntryKind::Accepted;
  Entry.Text_ = encodeJob(*Job);
  AcceptingJobs_.insert(Id);
  logDecision(Id, "accept", "transfer", From);
  stage(std::move(Entry), Job->Spec_.Urgent_,
        [this, From, Id, Number](base::TimePoint) {
          AcceptingJobs_.erase(Id);
          Actions_.push_back(TransferAckAction{From, Id, Number});
        });
  addLiveJob(*State_.find(Id), Now);
}

void Partition::Impl::accrueShares(base::TimePoint Now) {
  if (HandingOver_ || !Configured_ || !WorkersKnown_ || Now < NextAccrualAt_)
    return;
  int64_t ToMs = wallClockMs();
  if (State_.AccruedUntilMs_ == 0)
    State_.AccruedUntilMs_ = ToMs;
  for (int64_t PeriodStart = nextPeriodStart(State_.AccruedUntilMs_);
       PeriodStart <= ToMs; PeriodStart = nextPeriodStart(PeriodStart))
    stageAccrual(PeriodStart - 1);
  stageAccrual(ToMs);
  NextAccrualAt_ = Now + AccrueInterval;
  pruneEndedJobs();
}

void Partition::Impl::stageAccrual(int64_t ToMs) {
  int64_t SpanMs = ToMs - State_.AccruedUntilMs_;
  if (SpanMs < 0)
    return;
  base::Resources Capacity;
  for (const WorkerState &Worker : Workers_)
    if (Worker.Listed_)
      Capacity += Worker.Info_.Capacity_;
  JournalEntry Entry;
  Entry.Kind_ = EntryKind::Accrue;
  Entry.TimeMs_ = ToMs;
  for (const auto &[Name, Workspace] : Config_.Workspaces_) {
    auto Granted = static_cast<int64_t>(
        Workspace.AgreedShare_ * static_cast<double>(Capacity.MilliCpu_) *
        static_cast<double>(SpanMs) / 1000.0);
    if (Granted > 0)
      Entry.GrantedByWorkspace_.emplace_back(Name, Granted);
  }
  stage(std::move(Entry), false);
}

void Partition::Impl::pruneEndedJobs() {
  const auto &Ended = State_.ended();
  int64_t DropUntilMs = wallClockMs() - EndedJobRetentionMs;
  if (Ended.size() > MaxEndedJobs) {
    auto Last = Ended.begin();
    std::advance(Last, Ended.size() - MaxEndedJobs - 1);
    DropUntilMs = std::max(DropUntilMs, Last->first);
  }
  if (Ended.empty() || Ended.begin()->first > DropUntilMs)
    return;
  JournalEntry Entry;
  Entry.Kind_ = EntryKind::Prune;
  Entry.Number_ = DropUntilMs;
  stage(std::move(Entry), false);
}

} // namespace crocuslead::partition
