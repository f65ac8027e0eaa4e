#include "app/internal/HostedPartition.h"

#include "base/Log.h"
#include "config/ConfigState.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

namespace crocuslead::app {

namespace {

constexpr auto ReadBackRetry = std::chrono::milliseconds(200);

template <typename T> const T *success(const store::StoreResult<T> &Result) {
  return std::get_if<T>(&Result);
}

partition::CommitStatus
commitStatus(const store::StoreResult<store::TxnReply> &Result) {
  if (const auto *Reply = success(Result))
    return Reply->Succeeded_ ? partition::CommitStatus::Committed
                             : partition::CommitStatus::CompareFailed;
  return std::get<store::StoreError>(Result).MayHaveApplied_
             ? partition::CommitStatus::Uncertain
             : partition::CommitStatus::NotApplied;
}

} // namespace

partition::PartitionSettings
makePartitionSettings(const config::Settings &Settings, const std::string &Id,
                      int64_t Epoch, int64_t PriorEpoch) {
  partition::PartitionSettings Out;
  Out.Id_ = Id;
  Out.Epoch_ = Epoch;
  Out.PriorEpoch_ = PriorEpoch;
  Out.OwnerKey_ = OwnerPrefix + Id;
  Out.KeyPrefix_ = PartitionPrefix + Id + "/";
  Out.DomainsKey_ = config::DomainsKey;
  // Partition ids are "<domain>-<number>".
  Out.Domain_ = Id.substr(0, Id.rfind('-'));
  Out.Times_.CommitInterval_ =
      std::chrono::milliseconds(Settings.CommitIntervalMs_);
  Out.Times_.WorkerLease_ = std::chrono::seconds(Settings.WorkerLeaseSeconds_);
  Out.Times_.RenewInterval_ =
      std::chrono::seconds(Settings.RenewIntervalSeconds_);
  Out.Times_.ReportInterval_ =
      std::chrono::seconds(Settings.ReportIntervalSeconds_);
  Out.Times_.LongLeaseHorizon_ =
      std::chrono::minutes(Settings.LongLeaseMinutes_);
  Out.Seed_ = static_cast<uint64_t>(Epoch);
  return Out;
}

void PartitionHost::ActionPerformer::operator()(
    partition::CommitAction &Action) const {
  base::TimePoint SentAt = Host_.Shared_.Clock_.now();
  Host_.Session_.store().txn(std::move(Action.Txn_),
                             [Host = &Host_, Id = Id_, Epoch = Epoch_, SentAt,
                              Sequence = Action.Sequence_](const auto &Result) {
                               if (success(Result) != nullptr)
                                 Host->Session_.noteContact(SentAt);
                               Hosted *Target = Host->find(Id, Epoch);
                               if (Target == nullptr)
                                 return;
                               Target->Partition_.commitDone(
                                   Sequence, commitStatus(Result),
                                   Host->Shared_.Clock_.now());
                               Host->perform(*Target);
                             });
}

void PartitionHost::ActionPerformer::operator()(
    partition::ReadBackAction &Action) const {
  Host_.Session_.store().range(
      Action.Key_, "",
      [Host = &Host_, Id = Id_, Epoch = Epoch_,
       Action](const auto &Result) mutable {
        Hosted *Target = Host->find(Id, Epoch);
        if (Target == nullptr)
          return;
        const auto *Reply = success(Result);
        if (Reply == nullptr) {
          auto Timer = std::make_shared<asio::steady_timer>(Host->Shared_.Loop_,
                                                            ReadBackRetry);
          Timer->async_wait([Host, Id, Epoch, Action, Timer](auto) mutable {
            if (Host->find(Id, Epoch) != nullptr)
              ActionPerformer{*Host, Id, Epoch}(Action);
          });
          return;
        }
        std::optional<store::KeyValue> Found;
        if (!Reply->Values_.empty())
          Found = Reply->Values_.front();
        Target->Partition_.readBackDone(Action.Sequence_, Found,
                                        Host->Shared_.Clock_.now());
        Host->perform(*Target);
      });
}

void PartitionHost::ActionPerformer::operator()(
    partition::WorkerAction &Action) const {
  std::string Worker = Action.Request_.Worker_;
  Host_.Workers_.send(std::move(Action.Request_), [Host = &Host_, Id = Id_,
                                                   Epoch = Epoch_,
                                                   Token = Action.Token_,
                                                   Worker](const auto &Reply) {
    if (const auto *Failure = std::get_if<base::Error>(&Reply))
      base::logEvent(base::LogLevel::Warn, "worker-call-failed",
                     {{"worker", Worker},
                      {"error", base::errorName(Failure->Kind_)},
                      {"reason", Failure->Message_}});
    Hosted *Target = Host->find(Id, Epoch);
    if (Target == nullptr)
      return;
    Target->Partition_.workerReply(Token, Reply, Host->Shared_.Clock_.now());
    Host->perform(*Target);
  });
}

void PartitionHost::ActionPerformer::operator()(
    partition::AnswerAction &Action) const {
  Hosted *Target = Host_.find(Id_, Epoch_);
  auto Found = Target->Calls_.find(Action.Call_);
  if (Found == Target->Calls_.end())
    return;
  AnswerCallback Done = std::move(Found->second);
  Target->Calls_.erase(Found);
  Done(Action);
}

void PartitionHost::ActionPerformer::operator()(
    partition::TransferAction &Action) const {
  link::TransferOffer Message{Id_, Action.ToPartition_, Action.JobId_,
                              Action.Number_, std::move(Action.Record_)};
  std::string Owner = Host_.ownerOf(Message.ToPartition_);
  if (Owner == Host_.Shared_.Settings_.InstanceId_)
    Host_.received(Owner, Message);
  else if (!Owner.empty())
    Host_.Send_(Owner, Message);
}

void PartitionHost::ActionPerformer::operator()(
    partition::TransferAckAction &Action) const {
  link::TransferAccept Message{Action.ToPartition_, Action.JobId_,
                               Action.Number_};
  std::string Owner = Host_.ownerOf(Message.FromPartition_);
  if (Owner == Host_.Shared_.Settings_.InstanceId_)
    Host_.received(Owner, Message);
  else if (!Owner.empty())
    Host_.Send_(Owner, Message);
}

void PartitionHost::ActionPerformer::operator()(
    partition::FencedAction & /*Action*/) const {
  base::logEvent(base::LogLevel::Warn, "partition-fenced",
                 {{"partition", Id_}, {"epoch", Epoch_}});
  Host_.endFenced(std::string(Id_), Epoch_);
}

void PartitionHost::ActionPerformer::operator()(
    partition::RefreshConfigAction & /*Action*/) const {
  base::TimePoint SentAt = Host_.Shared_.Clock_.now();
  Host_.Session_.store().range(
      config::DomainsKey, "",
      [Host = &Host_, Id = Id_, Epoch = Epoch_, SentAt](const auto &Result) {
        if (const auto *Reply = success(Result)) {
          Host->Session_.noteContact(SentAt);
          Host->Session_.applyKey(*Reply, config::DomainsKey);
        }
        if (Hosted *Target = Host->find(Id, Epoch))
          Host->feed(*Target);
      });
}

} // namespace crocuslead::app
