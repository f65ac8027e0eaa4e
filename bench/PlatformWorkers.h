#pragma once

#include "base/Clock.h"
#include "http/Server.h"
#include "jobs/Fleet.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace crocuslead::bench {

//! Stand-ins of the platform's workers that speak its protocol over loopback,
//! on a thread of their own: they run what they are told for a fixed time.
class PlatformWorkers {
public:
  PlatformWorkers(int Count, base::Duration RunLength);
  ~PlatformWorkers();
  PlatformWorkers(const PlatformWorkers &) = delete;
  PlatformWorkers &operator=(const PlatformWorkers &) = delete;

  //! The registry's view of them.
  const std::map<std::string, jobs::WorkerInfo> &entries() const {
    return Entries_;
  }

private:
  struct Worker;

  asio::io_context Loop_;
  std::vector<std::unique_ptr<Worker>> Workers_;
  std::map<std::string, jobs::WorkerInfo> Entries_;
  std::thread Thread_;
};

} // namespace crocuslead::bench
