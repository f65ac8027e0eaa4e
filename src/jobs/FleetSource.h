#pragma once

#include "jobs/Fleet.h"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace crocuslead::jobs {

//! Source of the operator configuration and of the worker registry.
class FleetSource {
public:
  struct Hooks {
    std::function<void()> ConfigChanged_;
    std::function<void()> DomainsChanged_;
    std::function<void()> WorkersChanged_;
  };

  FleetSource() = default;
  FleetSource(const FleetSource &) = delete;
  FleetSource &operator=(const FleetSource &) = delete;
  virtual ~FleetSource() = default;

  virtual void setHooks(Hooks OnChange) = 0;
  virtual void tick() = 0;
  //! Reads everything again; called after the process was paused.
  virtual void reload() = 0;
  virtual bool configLoaded() const = 0;
  virtual const FleetConfig &config() const = 0;
  //! Failure domains that are out of service.
  virtual const std::set<std::string> &unavailableDomains() const = 0;
  //! Starts or stops watching the worker registry. It is watched only while
  //! this is enabled.
  virtual void watchWorkers(bool Enabled) = 0;
  virtual bool workersLoaded() const = 0;
  virtual const std::map<std::string, WorkerInfo> &workers() const = 0;
};

} // namespace crocuslead::jobs
