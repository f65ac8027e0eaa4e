#pragma once

#include "base/Clock.h"
#include "base/Random.h"
#include "http/Server.h"
#include "jobs/Fleet.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace crocuslead::bench {

//! Tasks of jobs whose ids begin with this run until they are stopped.
inline constexpr std::string_view LongRunningJobPrefix = "service";

//! Stand-ins of the platform's workers that speak its protocol over loopback,
//! on a thread of their own: they run what they are told for a fixed time.
class PlatformWorkers {
public:
  //! LostRequests is the share of requests that are neither carried out nor
  //! answered, from 0 to 1.
  PlatformWorkers(int Count, base::Duration RunLength, double LostRequests);
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
  base::Random Random_;
  std::vector<std::unique_ptr<Worker>> Workers_;
  std::map<std::string, jobs::WorkerInfo> Entries_;
  std::thread Thread_;
};

} // namespace crocuslead::bench
