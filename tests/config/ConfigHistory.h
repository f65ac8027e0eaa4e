#pragma once

#include "base/Random.h"
#include "config/ConfigState.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace crocuslead::tests {

using namespace config;

//! One change in the store. Its revision is its index + 1.
struct Change {
  std::string Key_;
  std::string Value_;
  bool Deleted_ = false;
  bool Valid_ = true;
};

//! What the store did, and the inputs that can be made of it.
class History {
public:
  History(base::Random &Source, std::size_t Length);

  const std::vector<Change> &changes() const { return Changes_; }
  //! Revision of the last change of Key up to Revision, or 0.
  int64_t lastChange(const std::string &Key, int64_t Revision) const;
  store::RangeReply readAt(int64_t Revision) const;
  store::WatchEvent eventAt(int64_t Revision) const;
  const std::vector<std::string> &keys() const { return Keys_; }

private:
  std::vector<std::string> Keys_;
  std::vector<Change> Changes_;
};

//! Which change of each key must be in force after the inputs so far. It knows
//! the whole history, and so needs no rule about revisions of single entries.
class Oracle {
public:
  explicit Oracle(const History &Past) : Past_(Past) {}

  void sawRead(int64_t Revision);
  void sawEntry(const std::string &Key, int64_t Revision);
  //! Values in force by key.
  std::map<std::string, std::string> expected() const;

private:
  void raise(const std::string &Key, int64_t Change);

  const History &Past_;
  std::map<std::string, int64_t> InForce_;
  //! Change of each key that the newest read showed.
  std::map<std::string, int64_t> ReadFloor_;
};

inline History::History(base::Random &Source, std::size_t Length) {
  for (const char *Name : {"a", "b", "c"})
    Keys_.push_back(std::string(TemplatePrefix) + Name);
  for (std::size_t I = 0; I < Length; ++I) {
    Change Next;
    Next.Key_ = Keys_[Source.next() % Keys_.size()];
    bool Present = false;
    for (const Change &Former : Changes_)
      if (Former.Key_ == Next.Key_)
        Present = !Former.Deleted_;
    uint64_t Kind = Source.next() % 6;
    Next.Deleted_ = Present && Kind < 2;
    Next.Valid_ = Kind != 5;
    std::string Deadline = Next.Valid_ ? std::to_string(I + 1) : "0";
    if (!Next.Deleted_)
      Next.Value_ = R"({"name":")" + Next.Key_.substr(Next.Key_.size() - 1) +
                    R"(","default_deadline_ms":)" + Deadline + "}";
    Changes_.push_back(Next);
  }
}

inline int64_t History::lastChange(const std::string &Key,
                                   int64_t Revision) const {
  for (int64_t R = Revision; R > 0; --R)
    if (Changes_[static_cast<std::size_t>(R - 1)].Key_ == Key)
      return R;
  return 0;
}

inline store::RangeReply History::readAt(int64_t Revision) const {
  store::RangeReply Reply;
  Reply.Revision_ = Revision;
  for (const std::string &Key : Keys_) {
    int64_t Last = lastChange(Key, Revision);
    if (Last == 0 || Changes_[static_cast<std::size_t>(Last - 1)].Deleted_)
      continue;
    store::KeyValue Value;
    Value.Key_ = Key;
    Value.Value_ = Changes_[static_cast<std::size_t>(Last - 1)].Value_;
    Value.ModRevision_ = Last;
    Reply.Values_.push_back(Value);
  }
  return Reply;
}

inline store::WatchEvent History::eventAt(int64_t Revision) const {
  const Change &At = Changes_[static_cast<std::size_t>(Revision - 1)];
  store::WatchEvent Event;
  Event.Value_.Key_ = At.Key_;
  Event.Value_.Value_ = At.Value_;
  Event.Value_.ModRevision_ = Revision;
  Event.Deleted_ = At.Deleted_;
  return Event;
}

inline void Oracle::raise(const std::string &Key, int64_t Change) {
  if (Change == 0 || Change <= InForce_[Key] || Change < ReadFloor_[Key])
    return;
  const auto &At = Past_.changes()[static_cast<std::size_t>(Change - 1)];
  if (At.Valid_ || At.Deleted_)
    InForce_[Key] = Change;
}

inline void Oracle::sawRead(int64_t Revision) {
  for (const std::string &Key : Past_.keys()) {
    int64_t Last = Past_.lastChange(Key, Revision);
    ReadFloor_[Key] = std::max(ReadFloor_[Key], Last);
    raise(Key, Last);
  }
}

inline void Oracle::sawEntry(const std::string &Key, int64_t Revision) {
  raise(Key, Past_.lastChange(Key, Revision));
}

inline std::map<std::string, std::string> Oracle::expected() const {
  std::map<std::string, std::string> Out;
  for (const auto &[Key, Change] : InForce_)
    if (Change > 0 &&
        !Past_.changes()[static_cast<std::size_t>(Change - 1)].Deleted_)
      Out[Key] = Past_.changes()[static_cast<std::size_t>(Change - 1)].Value_;
  return Out;
}

} // namespace crocuslead::tests
