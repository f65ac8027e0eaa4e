#pragma once

#include "base/Error.h"
#include "config/Model.h"
#include "store/KeyValueStore.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace crocuslead::config {

//! Keys of the configuration in the store.
inline constexpr const char *ConfigPrefix = "/crocuslead/config/";
inline constexpr const char *TemplatePrefix = "/crocuslead/config/templates/";
inline constexpr const char *WorkspacePrefix = "/crocuslead/config/workspaces/";
//! One key holds the states of all failure domains, so that one compare covers
//! them.
inline constexpr const char *DomainsKey = "/crocuslead/config/domains";

//! Value of one configuration key at a revision; a deleted key keeps its
//! revision.
struct VersionedEntry {
  std::string Key_;
  std::string Value_;
  int64_t ModRevision_ = 0;
  bool Deleted_ = false;
};

//! The configuration as this instance knows it. Applies each key only at a
//! higher mod revision, so nothing that arrives late can revert it.
class ConfigState {
public:
  //! Applies a full read of the prefix at Revision: absent keys older than it
  //! are deleted. Returns whether anything changed.
  //! A value that cannot be parsed is refused, and the former value of its key
  //! stays in force.
  bool applyRange(const store::RangeReply &Reply);
  bool applyWatch(const store::WatchBatch &Batch);
  bool applyPeer(const std::vector<VersionedEntry> &Entries);

  //! Entries changed after Revision in the order of their revisions, for a peer
  //! that is behind. Ends early at MaxBytes, but holds one entry if any
  //! changed; the peer then pulls again from its new revision.
  std::vector<VersionedEntry>
  changedSince(int64_t Revision, std::size_t MaxBytes = 256U << 10U) const;

  //! Highest mod revision applied.
  int64_t revision() const { return Revision_; }
  const Configuration &configuration() const { return Config_; }
  //! Mod revision that the store is known to hold for Key, for a compare: that
  //! of a refused value included, 0 for an absent or deleted key.
  int64_t modRevision(const std::string &Key) const;
  //! Entries that were refused because they could not be parsed. A value that
  //! is read again counts once.
  uint64_t refusedEntries() const { return Refused_; }

private:
  bool apply(const VersionedEntry &Entry);
  bool applyIfUnread(const VersionedEntry &Entry);
  bool finish(bool Changed);
  void rebuild();

  std::map<std::string, VersionedEntry> Entries_;
  //! Highest refused revision of each key.
  std::map<std::string, int64_t> RefusedRevisions_;
  Configuration Config_;
  int64_t Revision_ = 0;
  //! Store revision of the newest full read.
  int64_t ReadRevision_ = 0;
  uint64_t Refused_ = 0;
};

//! Parse and write the JSON values of the configuration keys. Parsing checks
//! every field; an error names the field and what is allowed.
base::Result<Template> parseTemplate(const std::string &Json);
//! A workspace without its template: parameters that it does not override have
//! their defaults.
base::Result<Workspace> parseWorkspace(const std::string &Json);
//! A workspace whose other parameters come from its template.
base::Result<Workspace> resolveWorkspace(const std::string &Json,
                                         const Template &Base);
base::Result<std::map<std::string, FailureDomain>>
parseDomains(const std::string &Json);
std::string writeTemplate(const Template &Value);
//! Writes every parameter as an override.
std::string writeWorkspace(const Workspace &Value);
std::string writeDomains(const std::map<std::string, FailureDomain> &Value);

} // namespace crocuslead::config
