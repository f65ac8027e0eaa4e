#pragma once

#include "base/Clock.h"
#include "store/KeyValueStore.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace crocuslead::store {

//! Follows all keys under a prefix: reads them once, watches for changes and
//! reads again whenever the watch ends or its history is gone.
class Mirror {
public:
  struct Hooks {
    //! A key was written or, with Deleted, removed.
    std::function<void(const KeyValue &Value, bool Deleted)> Changed_;
    //! A reading is complete; changes since the last one were reported.
    std::function<void()> Loaded_;
  };

  Mirror(KeyValueStore &Store, const base::Clock &Clock, std::string Prefix,
         Hooks OnChange);
  Mirror(const Mirror &) = delete;
  Mirror &operator=(const Mirror &) = delete;
  ~Mirror();

  //! Starts or goes on after failures; call it every few ten milliseconds.
  void tick();
  //! Reads everything again, for instance after a pause of the process.
  void reload();
  bool loaded() const { return Loaded_; }
  //! False from the end of a watch until the next complete reading.
  bool current() const { return Loaded_ && Watch_ != nullptr; }
  //! When the store last showed that the values are current; unset before the
  //! first reading and from reload() until its reading is complete.
  std::optional<base::TimePoint> confirmedAt() const { return ConfirmedAt_; }
  const std::map<std::string, KeyValue> &values() const { return Values_; }
  const KeyValue *find(const std::string &Key) const;

private:
  void read();
  void take(const RangeReply &Reply);
  void watch(int64_t AfterRevision);
  void apply(const WatchEvent &Event);
  void failed(const char *What, const std::string &Why);

  KeyValueStore &Store_;
  const base::Clock &Clock_;
  std::string Prefix_;
  Hooks Hooks_;
  std::map<std::string, KeyValue> Values_;
  std::unique_ptr<WatchHandle> Watch_;
  //! Invalidates the answers of calls that were given up.
  std::shared_ptr<int> Alive_ = std::make_shared<int>(0);
  bool Loaded_ = false;
  bool Reading_ = false;
  bool FailureLogged_ = false;
  int Failures_ = 0;
  base::TimePoint NextRead_;
  base::TimePoint ReadSentAt_;
  std::optional<base::TimePoint> ConfirmedAt_;
};

} // namespace crocuslead::store
