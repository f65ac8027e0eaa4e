#include "jobs/CoordinatorHost.h"

#include "base/Log.h"
#include "jobs/JobKeys.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <sstream>

namespace crocuslead::jobs {

namespace {

constexpr auto ReadRetryDelay = std::chrono::milliseconds(100);
constexpr auto CleanupInterval = std::chrono::seconds(5);
// A commit confirms the term as well, so it is only read without commits.
constexpr auto TermConfirmationInterval = std::chrono::milliseconds(500);
constexpr auto ConfirmationRetryDelay = std::chrono::milliseconds(250);
// A store transaction takes 32 entries; removing an expired job takes four.
constexpr std::size_t JobsPerCleanup = 7;

struct JobKey {
  std::string Id_;
  std::string Part_;
};

JobKey parseJobKey(const std::string &Key) {
  std::string Rest =
      Key.substr(std::min(JobKeys::JobsPrefix.size(), Key.size()));
  std::size_t Slash = Rest.find('/');
  if (Slash == std::string::npos)
    return {};
  return {Rest.substr(0, Slash), Rest.substr(Slash + 1)};
}

//! Term and number of a commit, from the value of the sequence key.
std::pair<uint64_t, uint64_t> parseSequence(const std::string &Value) {
  std::pair<uint64_t, uint64_t> Out;
  char Colon = 0;
  std::istringstream In(Value);
  In >> Out.first >> Colon >> Out.second;
  return Out;
}

template <typename T, typename Decode>
std::optional<T> decodeOrLog(const store::KeyValue &Value,
                             const Decode &Function) {
  std::optional<T> Out;
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_ASSIGN(Out, Function(Value.Value_));
        return {};
      },
      [&](const base::Error &Failure) {
        base::logEvent(base::LogLevel::Error, "stored-record-unreadable",
                       {{"key", Value.Key_},
                        {"revision", Value.ModRevision_},
                        {"reason", Failure.Message_}});
      },
      [] {});
  return Out;
}

} // namespace

CoordinatorHost::CoordinatorHost(store::KeyValueStore &Store, WorkerPort &Port,
                                 FleetSource &Fleet, const base::Clock &Clock,
                                 base::MetricsRegistry &Metrics,
                                 CoordinatorTimings Times)
    : Store_(Store), Port_(Port), Fleet_(Fleet), Clock_(Clock),
      Metrics_(Metrics), Times_(Times) {
  Fleet_.setHooks({[this] {
                     if (Restored_)
                       Coordinator_->setConfig(Fleet_.config());
                   },
                   [this] {
                     if (Restored_)
                       Coordinator_->setUnavailableDomains(
                           Fleet_.unavailableDomains());
                   },
                   [this] {
                     if (Restored_)
                       Coordinator_->setWorkers(Fleet_.workers());
                   }});
}

CoordinatorHost::~CoordinatorHost() = default;

Coordinator *CoordinatorHost::active() {
  return Restored_ ? Coordinator_.get() : nullptr;
}

const Coordinator *CoordinatorHost::active() const {
  return Restored_ ? Coordinator_.get() : nullptr;
}

void CoordinatorHost::startTerm(uint64_t Term) {
  endTerm();
  TermStartedAt_ = NextConfirmation_ = Clock_.now();
  Alive_ = std::make_shared<int>(0);
  CoordinatorSettings Settings;
  Settings.Term_ = Term;
  Settings.FirstToken_ = Election_->firstTokenOf(Term);
  Settings.PreviousTerm_ = Election_->lastUsedTermBefore(Term);
  Settings.Times_ = Times_;
  Coordinator_ = std::make_unique<Coordinator>(
      Settings, Port_, Clock_, Metrics_,
      [this](const CommitBatch &Batch) { commit(Batch); });
  Fleet_.watchWorkers(true);
  JobMirror_ = std::make_unique<store::Mirror>(
      Store_, Clock_, std::string(JobKeys::JobsPrefix),
      store::Mirror::Hooks{[this](const store::KeyValue &Value, bool Deleted) {
                             jobKeyChanged(Value, Deleted);
                           },
                           nullptr});
  JobMirror_->tick();
}

void CoordinatorHost::endTerm() {
  Restored_ = false;
  ReadingProgress_ = ConfirmingTerm_ = false;
  Alive_.reset();
  JobMirror_.reset();
  Coordinator_.reset();
  Fleet_.watchWorkers(false);
}

void CoordinatorHost::reloadJobs() {
  if (JobMirror_)
    JobMirror_->reload();
}

Resignation CoordinatorHost::prepareHandover() {
  if (!Restored_)
    return {LastRestoredTerm_ == Election_->term(), {}};
  return {true, {{JobKeys::handover(), Coordinator_->prepareHandover(), 0}}};
}

void CoordinatorHost::tick() {
  if (!Coordinator_)
    return;
  JobMirror_->tick();
  if (Restored_)
    Coordinator_->tick();
  else
    restoreWhenLoaded();
  confirmTermIfDue();
  if (Coordinator_->superseded())
    Election_->stepDown();
  else if (Restored_ && Clock_.now() >= NextCleanup_)
    removeExpiredJobs();
}

void CoordinatorHost::restoreWhenLoaded() {
  if (ReadingProgress_ || !JobMirror_->loaded() || !Fleet_.configLoaded() ||
      !Fleet_.workersLoaded() || Clock_.now() < RetryAt_)
    return;
  readProgress();
}

void CoordinatorHost::readProgress() {
  ReadingProgress_ = true;
  std::string Prefix(JobKeys::StatePrefix);
  Store_.range(
      Prefix, store::prefixEnd(Prefix),
      [this, Weak = std::weak_ptr<int>(Alive_)](
          const store::StoreResult<store::RangeReply> &Result) {
        if (Weak.expired())
          return;
        ReadingProgress_ = false;
        if (const auto *Reply = std::get_if<store::RangeReply>(&Result)) {
          restoreAll(*Reply);
          return;
        }
        RetryAt_ = Clock_.now() + ReadRetryDelay;
        base::logEvent(
            base::LogLevel::Warn, "progress-read-failed",
            {{"reason", std::get<store::StoreError>(Result).Message_}});
      });
}

void CoordinatorHost::restoreAll(const store::RangeReply &StateEntries) {
  Coordinator_->setConfig(Fleet_.config());
  Coordinator_->setUnavailableDomains(Fleet_.unavailableDomains());
  Coordinator_->setWorkers(Fleet_.workers());
  SequenceRevision_ = 0;
  std::map<std::string, JobProgress> Progress;
  std::string Prefix = JobKeys::progress("");
  std::string UsedKey =
      std::string(JobKeys::StatePrefix) + Coordinator::UsedWorkersKey;
  std::string LastCommitKey =
      std::string(JobKeys::StatePrefix) + Coordinator::LastCommitKey;
  const std::string *Handover = nullptr;
  const std::string *UsedWorkers = nullptr;
  const std::string *LastCommit = nullptr;
  std::string Sequence;
  for (const store::KeyValue &Entry : StateEntries.Values_) {
    if (Entry.Key_ == JobKeys::sequence()) {
      SequenceRevision_ = Entry.ModRevision_;
      Sequence = Entry.Value_;
    } else if (Entry.Key_ == UsedKey)
      UsedWorkers = &Entry.Value_;
    else if (Entry.Key_ == LastCommitKey)
      LastCommit = &Entry.Value_;
    else if (Entry.Key_ == JobKeys::handover())
      Handover = &Entry.Value_;
    else if (Entry.Key_.compare(0, Prefix.size(), Prefix) == 0)
      if (auto Decoded = decodeOrLog<JobProgress>(Entry, decodeJobProgress))
        Progress[Entry.Key_.substr(Prefix.size())] = std::move(*Decoded);
  }
  if (LastCommit != nullptr)
    Coordinator_->restoreLastCommit(*LastCommit, parseSequence(Sequence));
  if (UsedWorkers != nullptr)
    Coordinator_->restoreUsedWorkers(*UsedWorkers);
  if (Handover != nullptr)
    Coordinator_->restoreHandover(*Handover);
  for (const auto &[Key, Value] : JobMirror_->values()) {
    JobKey Parsed = parseJobKey(Key);
    if (Parsed.Part_ != "spec")
      continue;
    auto Record = decodeOrLog<JobRecord>(Value, decodeJobRecord);
    if (!Record)
      continue;
    auto It = Progress.find(Parsed.Id_);
    Coordinator_->restoreJob(Parsed.Id_, std::move(*Record), Value.ModRevision_,
                             It == Progress.end()
                                 ? std::nullopt
                                 : std::optional<JobProgress>(It->second));
    if (JobMirror_->find(JobKeys::cancel(Parsed.Id_)) != nullptr)
      Coordinator_->cancelJob(Parsed.Id_);
  }
  Restored_ = true;
  LastRestoredTerm_ = Election_->term();
  Coordinator_->recover();
  base::logEvent(
      base::LogLevel::Info, "coordinator-restored",
      {{"took_ms", base::toMillis(Clock_.now() - TermStartedAt_)},
       {"records", static_cast<int64_t>(StateEntries.Values_.size())},
       {"revision", StateEntries.Revision_}});
}

void CoordinatorHost::jobKeyChanged(const store::KeyValue &Value,
                                    bool Deleted) {
  if (!Restored_ || Deleted)
    return;
  JobKey Parsed = parseJobKey(Value.Key_);
  if (Parsed.Part_ == "spec") {
    if (auto Record = decodeOrLog<JobRecord>(Value, decodeJobRecord))
      Coordinator_->addJob(Parsed.Id_, std::move(*Record), Value.ModRevision_);
    if (JobMirror_->find(JobKeys::cancel(Parsed.Id_)) != nullptr)
      Coordinator_->cancelJob(Parsed.Id_);
  } else if (Parsed.Part_ == "cancel") {
    Coordinator_->cancelJob(Parsed.Id_);
  }
  Coordinator_->tick();
  confirmTermIfDue();
}

store::Txn CoordinatorHost::termGuardedTxn() const {
  store::Txn Out;
  Out.Compares_ = {{Election_->termKey(), store::CompareTarget::ModRevision,
                    Election_->termRevision()}};
  return Out;
}

std::string CoordinatorHost::sequenceValue(uint64_t Number) const {
  return std::to_string(Election_->term()) + ":" + std::to_string(Number);
}

// Each commit changes the sequence key and is conditional on the revision that
// the previous commit gave it. A commit that the store executes late, after
// other commits, is therefore rejected instead of restoring older progress.
void CoordinatorHost::commit(const CommitBatch &Batch) {
  store::Txn Request = termGuardedTxn();
  Request.Compares_.push_back({JobKeys::sequence(),
                               store::CompareTarget::ModRevision,
                               SequenceRevision_});
  Request.Puts_.push_back(
      {JobKeys::sequence(), sequenceValue(Batch.Number_), 0});
  for (const auto &[Key, Value] : Batch.Writes_)
    Request.Puts_.push_back(
        {std::string(JobKeys::StatePrefix) + Key, Value, 0});
  Store_.txn(
      std::move(Request),
      [this, Weak = std::weak_ptr<int>(Alive_), Number = Batch.Number_,
       SentAt =
           Clock_.now()](const store::StoreResult<store::TxnReply> &Result) {
        if (Weak.expired())
          return;
        Metrics_
            .histogram("crocuslead_commit_seconds",
                       "Duration of progress commits.")
            .record(Clock_.now() - SentAt);
        const auto *Reply = std::get_if<store::TxnReply>(&Result);
        if (Reply != nullptr && Reply->Succeeded_) {
          SequenceRevision_ = Reply->Revision_;
          Coordinator_->confirmTerm(SentAt, Reply->Revision_);
          NextConfirmation_ =
              std::max(NextConfirmation_, SentAt + TermConfirmationInterval);
          Coordinator_->commitDone(Number, CommitResult::Durable);
          return;
        }
        base::logEvent(
            base::LogLevel::Warn, "commit-unconfirmed",
            {{"commit", Number},
             {"reason", Reply != nullptr
                            ? "a condition does not hold"
                            : std::get<store::StoreError>(Result).Message_}});
        verifyCommit(Number);
      });
}

// Reads the sequence key to find out whether a commit took effect and on which
// revision the next one is conditional.
void CoordinatorHost::verifyCommit(uint64_t Number) {
  Store_.range(JobKeys::sequence(), "",
               [this, Weak = std::weak_ptr<int>(Alive_),
                Number](const store::StoreResult<store::RangeReply> &Result) {
                 if (Weak.expired())
                   return;
                 const auto *Reply = std::get_if<store::RangeReply>(&Result);
                 if (Reply == nullptr) {
                   Coordinator_->commitDone(Number, CommitResult::Unconfirmed);
                   return;
                 }
                 std::string Value;
                 SequenceRevision_ = 0;
                 if (!Reply->Values_.empty()) {
                   Value = Reply->Values_.front().Value_;
                   SequenceRevision_ = Reply->Values_.front().ModRevision_;
                 }
                 if (Value == sequenceValue(Number)) {
                   Coordinator_->commitDone(Number, CommitResult::Durable);
                   return;
                 }
                 checkTerm(Number);
               });
}

void CoordinatorHost::checkTerm(uint64_t Number) {
  Store_.range(Election_->termKey(), "",
               [this, Weak = std::weak_ptr<int>(Alive_),
                Number](const store::StoreResult<store::RangeReply> &Result) {
                 if (Weak.expired())
                   return;
                 const auto *Reply = std::get_if<store::RangeReply>(&Result);
                 bool TermEnded = Reply != nullptr && !isTermLatest(*Reply);
                 Coordinator_->commitDone(
                     Number, TermEnded ? CommitResult::Superseded
                                       : CommitResult::Unconfirmed);
               });
}

bool CoordinatorHost::isTermLatest(const store::RangeReply &TermEntry) const {
  return !TermEntry.Values_.empty() &&
         TermEntry.Values_.front().ModRevision_ == Election_->termRevision();
}

// The watch of the election's keys tells nothing while it is silent, and a
// renewed store lease does not show that the leader key still exists.
void CoordinatorHost::confirmTermIfDue() {
  bool Due = Clock_.now() >= NextConfirmation_ ||
             (Coordinator_->awaitsConfirmation() &&
              Clock_.now() >= ConfirmationRetryAt_);
  if (ConfirmingTerm_ || !Due)
    return;
  ConfirmingTerm_ = true;
  NextConfirmation_ = Clock_.now() + TermConfirmationInterval;
  Store_.range(Election_->termKey(), "",
               [this, Weak = std::weak_ptr<int>(Alive_), SentAt = Clock_.now()](
                   const store::StoreResult<store::RangeReply> &Result) {
                 if (Weak.expired())
                   return;
                 ConfirmingTerm_ = false;
                 const auto *Reply = std::get_if<store::RangeReply>(&Result);
                 if (Reply == nullptr) {
                   ConfirmationRetryAt_ = Clock_.now() + ConfirmationRetryDelay;
                   // The store may refuse reads and still take a commit.
                   if (Coordinator_->awaitsConfirmation())
                     Coordinator_->requestCommit();
                   return;
                 }
                 if (!isTermLatest(*Reply)) {
                   Coordinator_->endTerm();
                   return;
                 }
                 Coordinator_->confirmTerm(SentAt, Reply->Revision_);
                 if (Restored_)
                   Coordinator_->tick();
                 confirmTermIfDue();
               });
}

void CoordinatorHost::removeExpiredJobs() {
  NextCleanup_ = Clock_.now() + CleanupInterval;
  std::vector<std::string> Ids = Coordinator_->takeExpiredJobs();
  for (std::size_t From = 0; From < Ids.size(); From += JobsPerCleanup) {
    store::Txn Request = termGuardedTxn();
    std::size_t To = std::min(Ids.size(), From + JobsPerCleanup);
    for (std::size_t I = From; I < To; ++I)
      Request.Deletes_.insert(Request.Deletes_.end(),
                              {{JobKeys::spec(Ids[I]), ""},
                               {JobKeys::payload(Ids[I]), ""},
                               {JobKeys::cancel(Ids[I]), ""},
                               {JobKeys::progress(Ids[I]), ""}});
    Store_.txn(
        std::move(Request),
        [Count = To - From](const store::StoreResult<store::TxnReply> &Result) {
          // Records that were not removed are found again in the next term.
          base::logEvent(
              base::LogLevel::Info, "expired-jobs-removed",
              {{"jobs", static_cast<int64_t>(Count)},
               {"answered", std::holds_alternative<store::TxnReply>(Result)}});
        });
  }
}

} // namespace crocuslead::jobs
