#include "config/ConfigState.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <string_view>

namespace crocuslead::config {

namespace {

bool startsWith(std::string_view Text, std::string_view Prefix) {
  return Text.substr(0, Prefix.size()) == Prefix;
}

//! Whether the value can be parsed and has the name that its key has.
bool isValid(const std::string &Key, const std::string &Value) {
  auto NameIn = [&Key](const char *Prefix) {
    return std::string_view(Key).substr(std::string_view(Prefix).size());
  };
  if (Key == DomainsKey)
    return parseDomains(Value).has_value();
  if (startsWith(Key, TemplatePrefix)) {
    auto Parsed = parseTemplate(Value);
    return Parsed && Parsed->Name_ == NameIn(TemplatePrefix);
  }
  if (startsWith(Key, WorkspacePrefix)) {
    auto Parsed = parseWorkspace(Value);
    return Parsed && Parsed->Name_ == NameIn(WorkspacePrefix);
  }
  return false;
}

bool isConfigKey(const std::string &Key) {
  return Key == DomainsKey || startsWith(Key, TemplatePrefix) ||
         startsWith(Key, WorkspacePrefix);
}

} // namespace

bool ConfigState::apply(const VersionedEntry &Entry) {
  auto Known = Entries_.find(Entry.Key_);
  int64_t KnownRevision =
      Known == Entries_.end() ? 0 : Known->second.ModRevision_;
  if (Entry.ModRevision_ <= KnownRevision)
    return false;
  bool Valid = Entry.Deleted_ ? isConfigKey(Entry.Key_)
                              : isValid(Entry.Key_, Entry.Value_);
  if (!Valid) {
    int64_t &RefusedRevision = RefusedRevisions_[Entry.Key_];
    if (Entry.ModRevision_ > RefusedRevision)
      ++Refused_;
    RefusedRevision = std::max(RefusedRevision, Entry.ModRevision_);
    return false;
  }
  VersionedEntry &Stored = Entries_[Entry.Key_];
  Stored = Entry;
  if (Entry.Deleted_)
    Stored.Value_.clear();
  Revision_ = std::max(Revision_, Entry.ModRevision_);
  return true;
}

bool ConfigState::applyIfUnread(const VersionedEntry &Entry) {
  // The last full read showed the state of every key up to its revision. An
  // older entry of a key that was absent there must not bring it back.
  return Entry.ModRevision_ > ReadRevision_ && apply(Entry);
}

bool ConfigState::finish(bool Changed) {
  if (Changed)
    rebuild();
  return Changed;
}

bool ConfigState::applyRange(const store::RangeReply &Reply) {
  // A later read has already shown everything that this one could.
  if (Reply.Revision_ < ReadRevision_)
    return false;
  ReadRevision_ = Reply.Revision_;
  bool Changed = false;
  std::set<std::string_view> Present;
  for (const store::KeyValue &Value : Reply.Values_) {
    Present.insert(Value.Key_);
    Changed |= apply({Value.Key_, Value.Value_, Value.ModRevision_, false});
  }
  std::vector<VersionedEntry> Deletions;
  for (const auto &[Key, Entry] : Entries_)
    if (!Entry.Deleted_ && Present.count(Key) == 0 &&
        Entry.ModRevision_ <= Reply.Revision_)
      Deletions.push_back({Key, "", Reply.Revision_, true});
  for (const VersionedEntry &Deletion : Deletions) {
    // The tombstone has the revision of the read: the store proved that the key
    // is absent there, so nothing older may bring it back.
    Entries_[Deletion.Key_] = Deletion;
    Revision_ = std::max(Revision_, Deletion.ModRevision_);
    Changed = true;
  }
  for (auto It = RefusedRevisions_.begin(); It != RefusedRevisions_.end();) {
    bool Gone = Present.count(It->first) == 0 && It->second <= Reply.Revision_;
    It = Gone ? RefusedRevisions_.erase(It) : std::next(It);
  }
  return finish(Changed);
}

bool ConfigState::applyWatch(const store::WatchBatch &Batch) {
  bool Changed = false;
  for (const store::WatchEvent &Event : Batch.Events_) {
    const store::KeyValue &Value = Event.Value_;
    Changed |= applyIfUnread(
        {Value.Key_, Value.Value_, Value.ModRevision_, Event.Deleted_});
  }
  return finish(Changed);
}

bool ConfigState::applyPeer(const std::vector<VersionedEntry> &Entries) {
  bool Changed = false;
  for (const VersionedEntry &Entry : Entries)
    Changed |= applyIfUnread(Entry);
  return finish(Changed);
}

std::vector<VersionedEntry>
ConfigState::changedSince(int64_t Revision, std::size_t MaxBytes) const {
  std::vector<VersionedEntry> Out;
  for (const auto &[Key, Entry] : Entries_)
    if (Entry.ModRevision_ > Revision)
      Out.push_back(Entry);
  auto ByRevision = [](const VersionedEntry &A, const VersionedEntry &B) {
    return A.ModRevision_ < B.ModRevision_;
  };
  std::stable_sort(Out.begin(), Out.end(), ByRevision);
  std::size_t Bytes = 0;
  std::size_t Count = 0;
  // Entries of one transaction share a revision and must not be parted: the
  // peer would pull only what is newer than the first of them.
  while (Count < Out.size() &&
         (Bytes < MaxBytes ||
          Out[Count].ModRevision_ == Out[Count - 1].ModRevision_)) {
    Bytes += Out[Count].Key_.size() + Out[Count].Value_.size();
    ++Count;
  }
  Out.resize(Count);
  return Out;
}

int64_t ConfigState::modRevision(const std::string &Key) const {
  auto Known = Entries_.find(Key);
  auto RefusedAt = RefusedRevisions_.find(Key);
  int64_t Applied = Known == Entries_.end() ? 0 : Known->second.ModRevision_;
  if (RefusedAt != RefusedRevisions_.end() && RefusedAt->second > Applied)
    return RefusedAt->second;
  return Known == Entries_.end() || Known->second.Deleted_ ? 0 : Applied;
}

void ConfigState::rebuild() {
  Configuration Next;
  for (const auto &[Key, Entry] : Entries_) {
    if (Entry.Deleted_)
      continue;
    if (Key == DomainsKey) {
      if (auto Parsed = parseDomains(Entry.Value_)) {
        Next.Domains_ = *Parsed;
        Next.DomainsRevision_ = Entry.ModRevision_;
      }
    } else if (startsWith(Key, TemplatePrefix)) {
      if (auto Parsed = parseTemplate(Entry.Value_))
        Next.Templates_[Parsed->Name_] = *Parsed;
    }
  }
  // A workspace may arrive before its template; it is in force once both are
  // there, so that the result does not depend on the order of arrival.
  for (const auto &[Key, Entry] : Entries_) {
    if (Entry.Deleted_ || !startsWith(Key, WorkspacePrefix))
      continue;
    auto Own = parseWorkspace(Entry.Value_);
    auto Base =
        Own ? Next.Templates_.find(Own->Template_) : Next.Templates_.end();
    if (Base == Next.Templates_.end())
      continue;
    if (auto Resolved = resolveWorkspace(Entry.Value_, Base->second))
      Next.Workspaces_[Resolved->Name_] = *Resolved;
  }
  Next.Revision_ = Revision_;
  Config_ = std::move(Next);
}

} // namespace crocuslead::config
