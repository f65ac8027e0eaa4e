#include "World.h"

#include "cluster/WorkerCodec.h"
#include "partition/internal/Codec.h"

#include <algorithm>

namespace crocuslead::partition::test {

using cluster::AttemptState;
using cluster::CommandKind;
using cluster::CommandStatus;

namespace {

constexpr int64_t CallTimeoutMs = 3'000;
//! Maximum delay of a message whose sender has given up waiting.
constexpr uint64_t MaxLateDeliveryMs = 8000;
constexpr int64_t ReadBackRetryMs = 500;
//! Time after a domain went out during which a start already sent may execute.
constexpr int64_t MaxStartAfterDomainOutMs = 3000;

std::string attemptKey(const std::string &Task, uint32_t Attempt) {
  return Task + "#" + std::to_string(Attempt);
}

} // namespace

void World::performAction(FakeOwner &Owner, const Action &Value) {
  if (const auto *Commit = std::get_if<CommitAction>(&Value))
    commit(Owner, *Commit);
  else if (const auto *Read = std::get_if<ReadBackAction>(&Value))
    readBack(Owner, *Read);
  else if (const auto *Message = std::get_if<WorkerAction>(&Value))
    sendToWorker(Owner, *Message);
  else if (const auto *Answer = std::get_if<AnswerAction>(&Value))
    Answers_[Answer->Call_] = Answer->Error_;
  else if (const auto *Offer = std::get_if<TransferAction>(&Value))
    Offers_.push_back(*Offer);
  else if (const auto *Ack = std::get_if<TransferAckAction>(&Value))
    Acks_.push_back(*Ack);
  else if (std::holds_alternative<FencedAction>(Value))
    Owner.Fenced_ = true;
  else
    Owner.Partition_->configure(configuration(), {80'000, 320'000, 0}, now());
}

void World::commit(FakeOwner &Owner, const CommitAction &Commit) {
  ++CommitCount_;
  for (const store::Put &Put : Commit.Txn_.Puts_)
    CommitBytes_ += Put.Value_.size();
  int64_t Epoch = Owner.Epoch_;
  auto Answer = [this, Epoch,
                 Sequence = Commit.Sequence_](CommitStatus Status) {
    deliver(Epoch, [this, Sequence, Status](Partition &P) {
      P.commitDone(Sequence, Status, now());
    });
  };
  if (StoreDown_ && Random_.below(2) == 0) {
    scheduleEvent(CallTimeoutMs,
                  [Answer] { Answer(CommitStatus::NotApplied); });
    return;
  }
  bool Lost = StoreDown_ || losesMessage();
  // A lost request may still take effect long after its sender has stopped
  // waiting for the answer.
  int64_t DeliveryDelayMs =
      Lost ? randomDelayMs() +
                 static_cast<int64_t>(Random_.below(MaxLateDeliveryMs))
           : randomDelayMs();
  scheduleEvent(DeliveryDelayMs, [this, Answer, Lost, Txn = Commit.Txn_] {
    if (StoreDown_) {
      if (!Lost)
        scheduleEvent(CallTimeoutMs,
                      [Answer] { Answer(CommitStatus::Uncertain); });
      return;
    }
    bool Applied = Store_.txn(Txn);
    if (auto Batch = decodeBatch(Txn.Puts_.back().Value_); Applied && Batch)
      for (const JournalEntry &Committed : Batch->Entries_)
        if (Committed.Kind_ == EntryKind::Evict)
          Oracle_.EvictedAttempts_.insert(
              attemptKey(Committed.Job_ + "/" + std::to_string(Committed.Task_),
                         Committed.Attempt_));
    if (!Lost)
      scheduleEvent(randomDelayMs(), [Answer, Applied] {
        Answer(Applied ? CommitStatus::Committed : CommitStatus::CompareFailed);
      });
  });
  if (Lost)
    scheduleEvent(CallTimeoutMs, [Answer] { Answer(CommitStatus::Uncertain); });
}

void World::readBack(FakeOwner &Owner, const ReadBackAction &Read) {
  ++ReadBackCount_;
  int64_t Epoch = Owner.Epoch_;
  scheduleEvent(randomDelayMs(), [this, Epoch, Read] {
    if (StoreDown_) {
      scheduleEvent(ReadBackRetryMs, [this, Epoch, Read] {
        for (FakeOwner &Other : Owners_)
          if (Other.Epoch_ == Epoch && Other.Partition_)
            readBack(Other, Read);
      });
      return;
    }
    std::optional<store::KeyValue> Found;
    if (auto It = Store_.Data_.find(Read.Key_); It != Store_.Data_.end())
      Found = It->second;
    deliver(Epoch, [this, Read, Found](Partition &P) {
      P.readBackDone(Read.Sequence_, Found, now());
    });
  });
}

// An owner that ended an attempt without the worker's report runs the task
// again, regardless of what the worker reports later.
void World::recordForgets(const FakeOwner &Owner,
                          const cluster::WorkerRequest &Request) {
  for (const cluster::WorkerCommand &Command : Request.Commands_) {
    if (Command.Kind_ != CommandKind::Forget)
      continue;
    auto Log = Owner.Partition_->explain(Command.Task_);
    auto Last = std::find_if(
        Log.rbegin(), Log.rend(), [&](const DecisionRecord &Record) {
          return Record.Worker_ == Request.Worker_ &&
                 (Record.Event_ == "end" || Record.Event_ == "finish");
        });
    if (Last == Log.rend() || Last->Reason_ != "worker report")
      Oracle_.UnreportedAttempts_.insert(
          attemptKey(Command.Task_, Command.Attempt_));
  }
}

void World::sendToWorker(FakeOwner &Owner, const WorkerAction &Message) {
  recordForgets(Owner, Message.Request_);
  auto Wire = cluster::decodeRequest(cluster::encodeRequest(Message.Request_));
  if (!Wire ||
      Wire.value().Commands_.size() != Message.Request_.Commands_.size())
    Oracle_.addViolation("a worker cannot decode a request");
  if (!Message.Request_.ExpectedIncarnation_.empty())
    LastStartRequest_ = Wire.value();
  int64_t Epoch = Owner.Epoch_;
  auto Fail = [this, Epoch, Token = Message.Token_] {
    deliver(Epoch, [this, Token](Partition &P) {
      P.workerReply(Token, base::Error{}, now());
    });
  };
  bool LoseRequest = losesMessage();
  bool LoseReply = losesMessage();
  // Some messages take longer than the start deadline, and their replies are
  // delayed accordingly.
  int64_t DeliveryDelayMs =
      LostMessagePercent_ > 0 && Random_.below(50) == 0
          ? static_cast<int64_t>(Random_.below(MaxLateDeliveryMs))
          : randomDelayMs();
  if (StartMessageDelayMs_ > 0 &&
      !Message.Request_.ExpectedIncarnation_.empty()) {
    DeliveryDelayMs = std::exchange(StartMessageDelayMs_, 0);
    LoseReply = true;
    scheduleEvent(0, Fail);
  }
  scheduleEvent(DeliveryDelayMs, [this, Epoch, Message, Fail, LoseRequest,
                                  LoseReply] {
    auto Found = std::find_if(Workers_.begin(), Workers_.end(),
                              [&Message](const FakeWorker &W) {
                                return W.Id_ == Message.Request_.Worker_;
                              });
    if (Found->DropsRequests_ || LoseRequest) {
      scheduleEvent(CallTimeoutMs, Fail);
      return;
    }
    uint32_t StartsBefore = Oracle_.StartCount_;
    cluster::WorkerReply Reply =
        Found->handle(Message.Request_, NowMs_, Oracle_);
    if (Oracle_.StartCount_ != StartsBefore && DomainOutAt_ != 0 &&
        NowMs_ - DomainOutAt_ > MaxStartAfterDomainOutMs)
      Oracle_.addViolation(
          "a task started more than 3 s after its domain went out of service");
    if (ReportsStopsEarly_)
      for (cluster::AttemptReport &Report : Reply.Attempts_)
        if (Report.State_ == AttemptState::Checkpointing)
          Report.State_ = AttemptState::Stopped;
    auto Wire = cluster::decodeReply(cluster::encodeReply(Reply));
    if (!Wire)
      Oracle_.addViolation("an owner cannot decode a reply");
    if (LoseReply || Found->DropsReplies_ || !Wire)
      scheduleEvent(CallTimeoutMs, Fail);
    else
      scheduleEvent(randomDelayMs(),
                    [this, Epoch, Reply, Token = Message.Token_] {
                      deliver(Epoch, [this, Reply, Token](Partition &P) {
                        P.workerReply(Token, Reply, now());
                      });
                    });
  });
}

} // namespace crocuslead::partition::test
