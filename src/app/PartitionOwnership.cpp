#include "app/PartitionHost.h"

#include "app/internal/HostedPartition.h"
#include "base/Log.h"

#include <nlohmann/json.hpp>
#include <utility>

// How partitions are acquired, handed over and given up.
namespace crocuslead::app {

namespace {

constexpr auto ReleaseInterval = std::chrono::seconds(1);
constexpr auto RecoverRetry = std::chrono::milliseconds(300);

template <typename T> const T *success(const store::StoreResult<T> &Result) {
  return std::get_if<T>(&Result);
}

} // namespace

void PartitionHost::acquire(const std::string &Id) {
  if (Session_.lease() == 0 || !Acquiring_.insert(Id).second) {
    Ownership_->acquireFinished(Id, /*Won=*/false, Shared_.Clock_.now());
    return;
  }
  base::TimePoint SentAt = Shared_.Clock_.now();
  Acquisition Wanted{Id, Session_.lease(), 0, 0};
  Session_.store().range(
      TermPrefix + Id, "", [this, Wanted, SentAt](const auto &Result) mutable {
        const auto *Reply = success(Result);
        if (Reply == nullptr) {
          acquireFailed(Wanted.Id_);
          return;
        }
        Session_.noteContact(SentAt);
        if (!Reply->Values_.empty())
          Wanted.PriorEpoch_ = Reply->Values_.front().ModRevision_;
        writeOwner(Wanted);
      });
}

void PartitionHost::writeOwner(const Acquisition &Wanted) {
  std::string OwnerKey = OwnerPrefix + Wanted.Id_;
  std::string TermKey = TermPrefix + Wanted.Id_;
  std::string Owner =
      nlohmann::json{{"instance", Shared_.Settings_.InstanceId_},
                     {"incarnation", Shared_.Incarnation_}}
          .dump();
  store::Txn Txn;
  Txn.Compares_ = {
      {OwnerKey, store::CompareTarget::Version, 0},
      {TermKey, store::CompareTarget::ModRevision, Wanted.PriorEpoch_}};
  Txn.Puts_ = {{OwnerKey, Owner, Wanted.Lease_}, {TermKey, Owner, 0}};
  Session_.store().txn(std::move(Txn), [this, Wanted](const auto &Result) {
    const auto *Reply = success(Result);
    if (Reply == nullptr) {
      confirmOwner(Wanted);
      return;
    }
    Acquisition Won = Wanted;
    Won.Epoch_ = Reply->Revision_;
    if (Reply->Succeeded_)
      recover(Won);
    else
      acquireFailed(Wanted.Id_);
  });
}

void PartitionHost::confirmOwner(Acquisition Wanted) {
  Session_.store().range(
      OwnerPrefix + Wanted.Id_, "", [this, Wanted](const auto &Result) mutable {
        const auto *Reply = success(Result);
        // A key of an earlier epoch of this process has no term after the
        // former one: its commits may still be on their way.
        bool Mine =
            Reply != nullptr && !Reply->Values_.empty() &&
            Reply->Values_.front().CreateRevision_ > Wanted.PriorEpoch_ &&
            Reply->Values_.front().Value_.find(Shared_.Incarnation_) !=
                std::string::npos;
        if (!Mine) {
          acquireFailed(Wanted.Id_);
          return;
        }
        Wanted.Epoch_ = Reply->Values_.front().CreateRevision_;
        recover(Wanted);
      });
}

void PartitionHost::recover(const Acquisition &Won) {
  std::string Prefix = PartitionPrefix + Won.Id_ + "/";
  Session_.store().range(
      Prefix, store::prefixEnd(Prefix), [this, Won](const auto &Result) {
        // With the lease the owner key is gone, also when there is a new lease.
        if (Session_.lease() != Won.Lease_) {
          acquireFailed(Won.Id_);
          return;
        }
        if (const auto *Reply = success(Result)) {
          host(Won, *Reply);
          return;
        }
        // The owner key is ours already: read again until it succeeds or the
        // lease ends.
        Recoveries_.emplace_back(Shared_.Clock_.now() + RecoverRetry, Won);
      });
}

void PartitionHost::retryRecoveries(base::TimePoint Now) {
  auto Waiting = std::exchange(Recoveries_, {});
  for (auto &[When, Won] : Waiting) {
    if (Now >= When)
      recover(Won);
    else
      Recoveries_.emplace_back(When, Won);
  }
}

void PartitionHost::host(const Acquisition &Won,
                         const store::RangeReply &Stored) {
  auto Added = std::make_unique<Hosted>(
      Won.Id_, Won.Epoch_,
      makePartitionSettings(Shared_.Settings_, Won.Id_, Won.Epoch_,
                            Won.PriorEpoch_));
  base::TimePoint Now = Shared_.Clock_.now();
  auto Outcome =
      Added->Partition_.recover(Stored.Values_, Now, Shared_.Clock_.wallNow());
  if (!Outcome) {
    base::logEvent(base::LogLevel::Error, "partition-recovery-failed",
                   {{"partition", Won.Id_}});
    deleteOwner(Won.Id_, Won.Epoch_, {},
                [this, Id = Won.Id_] { acquireFailed(Id); });
    return;
  }
  base::logEvent(base::LogLevel::Info, "partition-acquired",
                 {{"partition", Won.Id_}, {"epoch", Won.Epoch_}});
  Acquiring_.erase(Won.Id_);
  Claims_.partitionAcquired(Won.Id_, Won.PriorEpoch_);
  Hosted &Target = *(Hosted_[Won.Id_] = std::move(Added));
  Ownership_->acquireFinished(Won.Id_, /*Won=*/true, Now);
  feed(Target);
}

void PartitionHost::acquireFailed(const std::string &Id) {
  Acquiring_.erase(Id);
  Ownership_->acquireFinished(Id, /*Won=*/false, Shared_.Clock_.now());
  Session_.refresh();
}

void PartitionHost::yield(const std::string &Id) {
  auto Found = Hosted_.find(Id);
  if (Found == Hosted_.end()) {
    Ownership_->yieldFinished(Id);
    return;
  }
  Found->second->Yielding_ = true;
  Found->second->Partition_.beginHandover();
}

void PartitionHost::continueYield(Hosted &Target) {
  if (!Target.Partition_.isQuiescent())
    return;
  std::string Id = Target.Id_;
  int64_t Epoch = Target.Epoch_;
  if (!Target.ClaimsSent_) {
    Target.ClaimsSent_ = true;
    Claims_.handOver(Id, Epoch, Ownership_->preferredOwner(Id).value_or(""));
  }
  // The next owner needs the claims before it can acquire the partition.
  if (Target.YieldSent_ || Claims_.isHandingOver(Id))
    return;
  Target.YieldSent_ = true;
  // Whatever the answer, this epoch is over: releaseOrphans() deletes the key
  // if it is still there.
  deleteOwner(Id, Epoch, {Target.Partition_.prepareHandover()},
              [this, Id, Epoch] {
                if (find(Id, Epoch) == nullptr)
                  return;
                base::logEvent(base::LogLevel::Info, "partition-yielded",
                               {{"partition", Id}});
                abandon(Id);
                Ownership_->yieldFinished(Id);
              });
}

void PartitionHost::deleteOwner(const std::string &Id, int64_t Epoch,
                                std::vector<store::Put> Records,
                                std::function<void()> Done) {
  store::Txn Txn;
  std::string OwnerKey = OwnerPrefix + Id;
  Txn.Compares_ = {{OwnerKey, store::CompareTarget::CreateRevision, Epoch}};
  Txn.Deletes_ = {{OwnerKey, ""}};
  Txn.Puts_ = std::move(Records);
  Session_.store().txn(std::move(Txn),
                       [Done = std::move(Done)](const auto &) { Done(); });
}

void PartitionHost::releaseOrphans(base::TimePoint Now) {
  if (Now < NextRelease_)
    return;
  NextRelease_ = Now + ReleaseInterval;
  for (const auto &[Id, Owner] : Session_.owners()) {
    bool Mine = Owner.Instance_ == Shared_.Settings_.InstanceId_ &&
                Owner.Incarnation_ == Shared_.Incarnation_;
    if (!Mine || Hosted_.count(Id) != 0 || Acquiring_.count(Id) != 0)
      continue;
    base::logEvent(base::LogLevel::Warn, "owner-key-released",
                   {{"partition", Id}, {"epoch", Owner.Epoch_}});
    deleteOwner(Id, Owner.Epoch_, {}, [] {});
  }
}

void PartitionHost::endFenced(const std::string &Id, int64_t Epoch) {
  abandon(Id);
  Ownership_->epochEnded(Id, Shared_.Clock_.now());
  deleteOwner(Id, Epoch, {}, [this] { Session_.refresh(); });
}

} // namespace crocuslead::app
