#pragma once

#include "base/Error.h"

#include <cstdint>
#include <string>
#include <vector>

namespace crocuslead::config {

//! Another instance of the system, or this one.
struct PeerSettings {
  std::string Id_;
  std::string Region_;
  std::string Domain_;
  //! IP and port of the link between instances.
  std::string LinkAddress_;
};

//! Settings of one process, from a YAML file.
struct Settings {
  std::string InstanceId_;
  std::string Region_;
  std::string Domain_;
  //! IP and port for callers' requests, for operators, and for the link between
  //! instances.
  std::string CallerAddress_;
  std::string OperatorAddress_;
  std::string LinkAddress_;
  //! Base URLs of the platform's services, http://IP:port.
  std::string StoreUrl_;
  std::string InstanceListUrl_;
  //! Key that peers prove to know. A secret: never logged or dumped.
  std::string SharedKey_;
  //! Bearer token of operator calls. A secret: never logged or dumped.
  std::string OperatorToken_;
  //! All instances of the system, this one included.
  std::vector<PeerSettings> Instances_;
  int PartitionsPerDomain_ = 2;
  int64_t StoreLeaseSeconds_ = 15;
  int64_t WorkerLeaseSeconds_ = 72;
  int64_t RenewIntervalSeconds_ = 24;
  int64_t ReportIntervalSeconds_ = 96;
  int64_t LongLeaseMinutes_ = 15;
  int64_t CommitIntervalMs_ = 100;
  int64_t QueueLimitMs_ = 500;
  double RetryShare_ = 0.1;
  double CrossRegionBytesPerSecond_ = 500'000;
  int64_t MaxBodyBytes_ = 8 << 20;
  std::string LogLevel_ = "info";
};

//! Reads and checks a settings file. An error names file, line, field and what
//! is allowed.
base::Result<Settings> loadSettings(const std::string &Path);

//! Parses settings from text; Name stands for the file in errors.
base::Result<Settings> parseSettings(const std::string &Text,
                                     const std::string &Name);

} // namespace crocuslead::config
