#pragma once

#include "base/Error.h"
#include "config/Model.h"
#include "store/KeyValueStore.h"

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
  bool applyRange(const store::RangeReply &Reply);
  bool applyWatch(const store::WatchBatch &Batch);
  bool applyPeer(const std::vector<VersionedEntry> &Entries);

  //! Entries changed after Revision, for a peer that is behind.
  std::vector<VersionedEntry> changedSince(int64_t Revision) const;

  //! Highest mod revision applied.
  int64_t revision() const { return Revision_; }
  const Configuration &configuration() const { return Config_; }
  int64_t modRevision(const std::string &Key) const;
  //! Entries that were refused because they could not be parsed.
  uint64_t refusedEntries() const { return Refused_; }

private:
  bool apply(const VersionedEntry &Entry);
  void rebuild();

  std::map<std::string, VersionedEntry> Entries_;
  Configuration Config_;
  int64_t Revision_ = 0;
  uint64_t Refused_ = 0;
};

//! Parse and write the JSON values of the configuration keys. Parsing checks
//! every field; an error names the field and what is allowed.
base::Result<Template> parseTemplate(const std::string &Json);
base::Result<Workspace> parseWorkspace(const std::string &Json);
base::Result<std::map<std::string, FailureDomain>>
parseDomains(const std::string &Json);
std::string writeTemplate(const Template &Value);
std::string writeWorkspace(const Workspace &Value);
std::string writeDomains(const std::map<std::string, FailureDomain> &Value);

} // namespace crocuslead::config
