#pragma once

#include "jobs/Fleet.h"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace crocuslead::jobs {

//! What operators and the platform say about the fleet.
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
  //! Reads everything again, after a pause of the process.
  virtual void reload() = 0;
  virtual bool configLoaded() const = 0;
  virtual const FleetConfig &config() const = 0;
  //! Failure domains that are out of service.
  virtual const std::set<std::string> &domainsOut() const = 0;
  //! The registry of workers is followed only while it is wanted.
  virtual void followWorkers(bool Wanted) = 0;
  virtual bool workersLoaded() const = 0;
  virtual const std::map<std::string, WorkerInfo> &workers() const = 0;
};

} // namespace crocuslead::jobs
