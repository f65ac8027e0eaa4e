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

std::string keyOf(const std::string &Task, uint32_t Attempt) {
  return Task + "#" + std::to_string(Attempt);
}

} // namespace

void World::perform(FakeOwner &Owner, const Action &Value) {
  if (const auto *Commit = std::get_if<CommitAction>(&Value))
    commit(Owner, *Commit);
  else if (const auto *Read = std::get_if<ReadBackAction>(&Value))
    readBack(Owner, *Read);
  else if (const auto *Message = std::get_if<WorkerAction>(&Value))
    message(Owner, *Message);
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
  ++Commits_;
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
    at(CallTimeoutMs, [Answer] { Answer(CommitStatus::NotApplied); });
    return;
  }
  bool Lost = StoreDown_ || lose();
  // A lost request may still take effect much later than its answer is given
  // up.
  int64_t Arrives =
      Lost ? delay() + static_cast<int64_t>(Random_.below(8000)) : delay();
  at(Arrives, [this, Answer, Lost, Txn = Commit.Txn_] {
    if (StoreDown_) {
      if (!Lost)
        at(CallTimeoutMs, [Answer] { Answer(CommitStatus::Uncertain); });
      return;
    }
    bool Applied = Store_.txn(Txn);
    if (auto Batch = decodeBatch(Txn.Puts_.back().Value_); Applied && Batch)
      for (const JournalEntry &One : Batch->Entries_)
        if (One.Kind_ == EntryKind::Evict)
          Oracle_.Evicted_.insert(
              keyOf(One.Job_ + "/" + std::to_string(One.Task_), One.Attempt_));
    if (!Lost)
      at(delay(), [Answer, Applied] {
        Answer(Applied ? CommitStatus::Committed : CommitStatus::CompareFailed);
      });
  });
  if (Lost)
    at(CallTimeoutMs, [Answer] { Answer(CommitStatus::Uncertain); });
}

void World::readBack(FakeOwner &Owner, const ReadBackAction &Read) {
  ++ReadBacks_;
  int64_t Epoch = Owner.Epoch_;
  at(delay(), [this, Epoch, Read] {
    if (StoreDown_) {
      at(500, [this, Epoch, Read] {
        for (FakeOwner &One : Owners_)
          if (One.Epoch_ == Epoch && One.Partition_)
            readBack(One, Read);
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

// An owner that gave an attempt up runs its task again, whatever the worker
// reports of it later.
void World::noteForget(const FakeOwner &Owner,
                       const cluster::WorkerRequest &To) {
  for (const cluster::WorkerCommand &Command : To.Commands_) {
    if (Command.Kind_ != CommandKind::Forget)
      continue;
    auto Log = Owner.Partition_->explain(Command.Task_);
    auto Last =
        std::find_if(Log.rbegin(), Log.rend(), [&](const DecisionRecord &Line) {
          return Line.Worker_ == To.Worker_ &&
                 (Line.Event_ == "end" || Line.Event_ == "finish");
        });
    if (Last == Log.rend() || Last->Reason_ != "worker report")
      Oracle_.Unreported_.insert(keyOf(Command.Task_, Command.Attempt_));
  }
}

void World::message(FakeOwner &Owner, const WorkerAction &Message) {
  noteForget(Owner, Message.Request_);
  auto Wire = cluster::decodeRequest(cluster::encodeRequest(Message.Request_));
  if (!Wire ||
      Wire.value().Commands_.size() != Message.Request_.Commands_.size())
    Oracle_.fault("a worker refuses a request as malformed");
  if (!Message.Request_.ExpectedIncarnation_.empty())
    LastStart_ = Wire.value();
  int64_t Epoch = Owner.Epoch_;
  auto Fail = [this, Epoch, Token = Message.Token_] {
    deliver(Epoch, [this, Token](Partition &P) {
      P.workerReply(Token, base::Error{}, now());
    });
  };
  bool LoseRequest = lose();
  bool LoseReply = lose();
  // Some messages take longer than a start's deadline; the answer then waits.
  int64_t Way = LoseAnswers_ > 0 && Random_.below(50) == 0
                    ? static_cast<int64_t>(Random_.below(8000))
                    : delay();
  if (DelayStartsMs_ > 0 && !Message.Request_.ExpectedIncarnation_.empty()) {
    Way = std::exchange(DelayStartsMs_, 0);
    LoseReply = true;
    at(0, Fail);
  }
  at(Way, [this, Epoch, Message, Fail, LoseRequest, LoseReply] {
    auto Found = std::find_if(Workers_.begin(), Workers_.end(),
                              [&Message](const FakeWorker &W) {
                                return W.Id_ == Message.Request_.Worker_;
                              });
    if (Found->CutOff_ || LoseRequest) {
      at(CallTimeoutMs, Fail);
      return;
    }
    uint32_t Before = Oracle_.Starts_;
    cluster::WorkerReply Reply =
        Found->handle(Message.Request_, NowMs_, Oracle_);
    if (Oracle_.Starts_ != Before && DomainOutAt_ != 0 &&
        NowMs_ - DomainOutAt_ > 3000)
      Oracle_.fault("start after the domain was out for 3 s");
    if (ForgeStops_)
      for (cluster::AttemptReport &Report : Reply.Attempts_)
        if (Report.State_ == AttemptState::Checkpointing)
          Report.State_ = AttemptState::Stopped;
    auto Wire = cluster::decodeReply(cluster::encodeReply(Reply));
    if (!Wire)
      Oracle_.fault("an owner refuses a reply as malformed");
    if (LoseReply || Found->LoseReplies_ || !Wire)
      at(CallTimeoutMs, Fail);
    else
      at(delay(), [this, Epoch, Reply, Token = Message.Token_] {
        deliver(Epoch, [this, Reply, Token](Partition &P) {
          P.workerReply(Token, Reply, now());
        });
      });
  });
}

} // namespace crocuslead::partition::test
