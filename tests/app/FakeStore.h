#pragma once

#include "store/KeyValueStore.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace crocuslead::tests {

//! A key-value service in memory. Calls take effect at once; their answers and
//! watch events are delivered by run().
class FakeStore final : public store::KeyValueStore {
public:
  //! No call takes effect.
  bool Down_ = false;
  //! Next transactions or lease grants whose answers are lost after they took
  //! effect.
  int LoseAnswers_ = 0;
  //! Next transactions that never reach the store, which the caller cannot
  //! know.
  int LoseRequests_ = 0;
  //! Next transactions whose requests are held back: the caller is told that
  //! the answer is lost, and applyLate() executes them later.
  int DelayRequests_ = 0;
  //! Watch events are lost, without an end of the stream.
  bool LoseEvents_ = false;
  //! Reads of these prefixes fail.
  std::string FailReadsOf_;
  int Reads_ = 0;

  void run() {
    while (!Answers_.empty())
      runOne();
  }
  void runOne() {
    auto Next = std::move(Answers_.front());
    Answers_.pop_front();
    Next();
  }
  //! Takes the oldest answer out, to be delivered later.
  std::function<void()> takeAnswer() {
    auto Next = std::move(Answers_.front());
    Answers_.pop_front();
    return Next;
  }
  //! Executes what was held back, if its conditions still hold.
  void applyLate() {
    for (const store::Txn &Each : Late_) {
      bool Holds = true;
      for (const store::Compare &One : Each.Compares_)
        Holds = Holds && valueOf(One) == One.Value_;
      if (Holds)
        apply(Each);
    }
    Late_.clear();
  }
  std::size_t waiting() const { return Answers_.size(); }

  void put(const std::string &Key, const std::string &Value) {
    apply({{}, {{Key, Value, 0}}, {}});
  }
  //! Tells the open watches that there were no other changes.
  void confirmWatches() {
    if (Down_)
      return;
    for (const auto &Each : Watchers_)
      Answers_.push_back([Each = Each, Revision = Revision_] {
        if (Each->Open_)
          Each->OnBatch_(store::WatchBatch{{}, Revision});
      });
  }
  //! The open watches stay silent from now on.
  void cutWatches() {
    for (const auto &Each : Watchers_)
      Each->Open_ = false;
  }
  void endLease(int64_t Lease) {
    store::Txn Ended;
    for (const auto &[Key, Holder] : Holders_)
      if (Holder == Lease)
        Ended.Deletes_.push_back({Key, ""});
    apply(Ended);
    Leases_.erase(Lease);
  }
  const store::KeyValue *find(const std::string &Key) const {
    auto Found = Data_.find(Key);
    return Found == Data_.end() ? nullptr : &Found->second;
  }

  void range(std::string Key, std::string End,
             store::Callback<store::RangeReply> Done) override {
    ++Reads_;
    if (Down_ || (!FailReadsOf_.empty() && Key.rfind(FailReadsOf_, 0) == 0)) {
      answer(Done, store::StoreError{false, "down"});
      return;
    }
    store::RangeReply Reply;
    Reply.Revision_ = Revision_;
    for (const auto &[Each, Value] : Data_)
      if (covers(Key, End, Each))
        Reply.Values_.push_back(Value);
    answer(Done, Reply);
  }
  void txn(store::Txn Request, store::Callback<store::TxnReply> Done) override {
    if (Down_) {
      answer(Done, store::StoreError{false, "down"});
      return;
    }
    if (DelayRequests_ > 0) {
      --DelayRequests_;
      Late_.push_back(std::move(Request));
      answer(Done, store::StoreError{true, "lost"});
      return;
    }
    if (LoseRequests_ > 0) {
      --LoseRequests_;
      answer(Done, store::StoreError{true, "lost"});
      return;
    }
    bool Holds = true;
    for (const store::Compare &Each : Request.Compares_)
      Holds = Holds && valueOf(Each) == Each.Value_;
    if (Holds)
      apply(Request);
    if (LoseAnswers_ > 0) {
      --LoseAnswers_;
      answer(Done, store::StoreError{true, "lost"});
      return;
    }
    answer(Done, store::TxnReply{Holds, Revision_});
  }
  std::unique_ptr<store::WatchHandle>
  watch(std::string Key, std::string End, int64_t /*Start*/,
        store::Callback<store::WatchBatch> OnBatch) override {
    auto Made = std::make_shared<Watcher>(Watcher{Key, End, OnBatch, true});
    Watchers_.push_back(Made);
    return std::make_unique<Handle>(Made);
  }
  void leaseGrant(std::chrono::seconds /*Ttl*/,
                  store::Callback<int64_t> Done) override {
    if (!Down_)
      Leases_[++LastLease_] = true;
    if (Down_ || LoseAnswers_ > 0) {
      LoseAnswers_ -= Down_ ? 0 : 1;
      answer(Done, store::StoreError{!Down_, "lost"});
      return;
    }
    answer(Done, LastLease_);
  }
  void leaseKeepAlive(int64_t Lease, store::Callback<int64_t> Done) override {
    if (Down_)
      answer(Done, store::StoreError{false, "down"});
    else
      answer(Done, int64_t{Leases_.count(Lease) != 0 ? 15 : 0});
  }
  void leaseRevoke(int64_t Lease, store::Callback<int64_t> Done) override {
    endLease(Lease);
    answer(Done, int64_t{0});
  }

private:
  std::vector<store::Txn> Late_;

  struct Watcher {
    std::string Key_;
    std::string End_;
    store::Callback<store::WatchBatch> OnBatch_;
    bool Open_;
  };
  struct Handle final : store::WatchHandle {
    explicit Handle(std::shared_ptr<Watcher> Of) : Of_(std::move(Of)) {}
    ~Handle() override { Of_->Open_ = false; }
    std::shared_ptr<Watcher> Of_;
  };

  static bool covers(const std::string &Key, const std::string &End,
                     const std::string &Each) {
    return End.empty() ? Each == Key : Each >= Key && Each < End;
  }
  template <typename T, typename V>
  void answer(const store::Callback<T> &Done, V Value) {
    Answers_.push_back([Done, Value] { Done(store::StoreResult<T>(Value)); });
  }
  int64_t valueOf(const store::Compare &Each) const {
    const store::KeyValue *Found = find(Each.Key_);
    if (Found == nullptr)
      return 0;
    if (Each.Target_ == store::CompareTarget::Version)
      return Found->Version_;
    return Each.Target_ == store::CompareTarget::ModRevision
               ? Found->ModRevision_
               : Found->CreateRevision_;
  }
  void apply(const store::Txn &Changes) {
    ++Revision_;
    store::WatchBatch Batch;
    Batch.Revision_ = Revision_;
    for (const store::Put &Each : Changes.Puts_) {
      store::KeyValue &Value = Data_[Each.Key_];
      Value.Key_ = Each.Key_;
      Value.Value_ = Each.Value_;
      Value.ModRevision_ = Revision_;
      if (++Value.Version_ == 1)
        Value.CreateRevision_ = Revision_;
      Holders_[Each.Key_] = Each.Lease_;
      Batch.Events_.push_back({Value, false});
    }
    for (const store::Delete &Each : Changes.Deletes_) {
      auto Begin = Data_.lower_bound(Each.Key_);
      while (Begin != Data_.end() &&
             covers(Each.Key_, Each.RangeEnd_, Begin->first)) {
        store::KeyValue Gone;
        Gone.Key_ = Begin->first;
        Gone.ModRevision_ = Revision_;
        Batch.Events_.push_back({Gone, true});
        Begin = Data_.erase(Begin);
      }
    }
    if (!LoseEvents_)
      for (const auto &Each : Watchers_)
        notify(Each, Batch);
  }
  void notify(const std::shared_ptr<Watcher> &To,
              const store::WatchBatch &Batch) {
    store::WatchBatch Part;
    Part.Revision_ = Batch.Revision_;
    for (const store::WatchEvent &Event : Batch.Events_)
      if (covers(To->Key_, To->End_, Event.Value_.Key_))
        Part.Events_.push_back(Event);
    if (!Part.Events_.empty())
      Answers_.push_back([To, Part] {
        if (To->Open_)
          To->OnBatch_(store::StoreResult<store::WatchBatch>(Part));
      });
  }

  std::map<std::string, store::KeyValue> Data_;
  std::map<std::string, int64_t> Holders_;
  std::map<int64_t, bool> Leases_;
  std::vector<std::shared_ptr<Watcher>> Watchers_;
  std::deque<std::function<void()>> Answers_;
  int64_t Revision_ = 1;
  int64_t LastLease_ = 0;
};

} // namespace crocuslead::tests
