#include "store/Mirror.h"

#include "base/Log.h"

#include <algorithm>

namespace crocuslead::store {

namespace {

// A store that is down is asked again after these times.
constexpr auto FirstRetry = std::chrono::milliseconds(50);
constexpr auto LongestRetry = std::chrono::milliseconds(400);

} // namespace

Mirror::Mirror(KeyValueStore &Store, const base::Clock &Clock,
               std::string Prefix, Hooks OnChange)
    : Store_(Store), Clock_(Clock), Prefix_(std::move(Prefix)),
      Hooks_(std::move(OnChange)) {}

Mirror::~Mirror() = default;

const KeyValue *Mirror::find(const std::string &Key) const {
  auto It = Values_.find(Key);
  return It == Values_.end() ? nullptr : &It->second;
}

void Mirror::tick() {
  if (!Watch_ && !Reading_ && Clock_.now() >= NextRead_)
    read();
}

void Mirror::reload() {
  Watch_.reset();
  Alive_ = std::make_shared<int>(0);
  Reading_ = false;
  ConfirmedAt_.reset();
  NextRead_ = Clock_.now();
  read();
}

void Mirror::read() {
  Reading_ = true;
  ReadSentAt_ = Clock_.now();
  Store_.range(Prefix_, prefixEnd(Prefix_),
               [this, Weak = std::weak_ptr<int>(Alive_)](
                   const StoreResult<RangeReply> &Result) {
                 if (Weak.expired())
                   return;
                 Reading_ = false;
                 if (const auto *Reply = std::get_if<RangeReply>(&Result))
                   take(*Reply);
                 else
                   failed("read", std::get<StoreError>(Result).Message_);
               });
}

void Mirror::failed(const char *What, const std::string &Why) {
  ++Failures_;
  NextRead_ = Clock_.now() +
              std::min<base::Duration>(LongestRetry, FirstRetry * Failures_);
  if (!FailureLogged_)
    base::logEvent(base::LogLevel::Warn, "store-mirror-lost",
                   {{"prefix", Prefix_}, {"call", What}, {"reason", Why}});
  FailureLogged_ = true;
}

void Mirror::take(const RangeReply &Reply) {
  Failures_ = 0;
  if (FailureLogged_)
    base::logEvent(base::LogLevel::Info, "store-mirror-regained",
                   {{"prefix", Prefix_},
                    {"keys", static_cast<int64_t>(Reply.Values_.size())},
                    {"revision", Reply.Revision_}});
  FailureLogged_ = false;
  std::map<std::string, KeyValue> Before;
  Before.swap(Values_);
  for (const KeyValue &Each : Reply.Values_)
    Values_[Each.Key_] = Each;
  for (const auto &[Key, Old] : Before)
    if (Values_.count(Key) == 0)
      Hooks_.Changed_(Old, true);
  for (const KeyValue &Each : Reply.Values_) {
    auto It = Before.find(Each.Key_);
    if (It == Before.end() || It->second.ModRevision_ != Each.ModRevision_)
      Hooks_.Changed_(Each, false);
  }
  Loaded_ = true;
  ConfirmedAt_ = ReadSentAt_;
  watch(Reply.Revision_ + 1);
  if (Hooks_.Loaded_)
    Hooks_.Loaded_();
}

void Mirror::watch(int64_t FromRevision) {
  Watch_ =
      Store_.watch(Prefix_, prefixEnd(Prefix_), FromRevision,
                   [this, Weak = std::weak_ptr<int>(Alive_)](
                       const StoreResult<WatchBatch> &Result) {
                     if (Weak.expired())
                       return;
                     if (const auto *Batch = std::get_if<WatchBatch>(&Result)) {
                       ConfirmedAt_ = Clock_.now() - Batch->Age_;
                       for (const WatchEvent &Event : Batch->Events_)
                         apply(Event);
                       return;
                     }
                     Watch_.reset();
                     failed("watch", std::get<StoreError>(Result).Message_);
                     NextRead_ = Clock_.now();
                   });
}

void Mirror::apply(const WatchEvent &Event) {
  const KeyValue &Value = Event.Value_;
  auto It = Values_.find(Value.Key_);
  if (It != Values_.end() && It->second.ModRevision_ >= Value.ModRevision_)
    return;
  if (!Event.Deleted_) {
    Values_[Value.Key_] = Value;
    Hooks_.Changed_(Value, false);
    return;
  }
  if (It == Values_.end())
    return;
  KeyValue Old = It->second;
  Values_.erase(It);
  Hooks_.Changed_(Old, true);
}

} // namespace crocuslead::store
