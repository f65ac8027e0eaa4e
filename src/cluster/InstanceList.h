#pragma once

#include "base/Error.h"
#include "base/Resources.h"

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace crocuslead::cluster {

enum class InstanceState : uint8_t { Live, Leaving };

//! One instance as the platform lists it.
struct InstanceEntry {
  std::string Id_;
  InstanceState State_ = InstanceState::Live;
  std::string Domain_;
  std::string Region_;
  std::string Rack_;
  //! IP and port of the worker agent; empty when the instance runs no tasks.
  std::string AgentAddress_;
  //! IP and port where the instance serves callers' requests; empty when it is
  //! no upstream.
  std::string UpstreamAddress_;
  //! Names of the services that the upstream serves.
  std::vector<std::string> Services_;
  base::Resources Capacity_;
  int Slots_ = 8;
  int Connections_ = 64;
};

struct InstanceSnapshot {
  int64_t Revision_ = 0;
  std::vector<InstanceEntry> Entries_;
};

//! The platform's list of live and leaving instances. It lags.
class InstanceList {
public:
  using Callback =
      std::function<void(std::variant<InstanceSnapshot, base::Error>)>;

  InstanceList() = default;
  InstanceList(const InstanceList &) = delete;
  InstanceList &operator=(const InstanceList &) = delete;
  virtual ~InstanceList() = default;

  //! Fetches the list. Done gets an empty snapshot with KnownRevision when
  //! nothing has changed.
  virtual void fetch(int64_t KnownRevision, Callback Done) = 0;
};

} // namespace crocuslead::cluster
