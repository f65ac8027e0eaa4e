#pragma once

#include "base/Resources.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace crocuslead::config {

//! Parameters that workspaces start from.
struct Template {
  std::string Name_;
  double AgreedShare_ = 0;
  int Priority_ = 0;
  bool Deferrable_ = false;
  //! Name of the upstream service that the workspace's requests go to; empty
  //! for none.
  std::string Service_;
  //! Requests of the workspace that one instance admits at the same time.
  int64_t MaxConcurrentRequests_ = 0;
  int64_t DefaultDeadlineMs_ = 5000;
};

//! A workspace: its template with its own values in place.
struct Workspace {
  std::string Name_;
  std::string Template_;
  double AgreedShare_ = 0;
  int Priority_ = 0;
  bool Deferrable_ = false;
  std::string Service_;
  int64_t MaxConcurrentRequests_ = 0;
  int64_t DefaultDeadlineMs_ = 5000;
};

enum class DomainState : uint8_t {
  InService,
  Out,
  //! Out, and operators confirm that nothing in it runs any more.
  OutConfirmedDead,
};

struct FailureDomain {
  std::string Name_;
  std::string Region_;
  DomainState State_ = DomainState::InService;
};

//! The operators' configuration at one revision.
struct Configuration {
  std::map<std::string, Template> Templates_;
  std::map<std::string, Workspace> Workspaces_;
  std::map<std::string, FailureDomain> Domains_;
  //! Mod revision of the key that holds all domain states; starts compare it.
  int64_t DomainsRevision_ = 0;
  //! Highest mod revision applied.
  int64_t Revision_ = 0;
};

} // namespace crocuslead::config
