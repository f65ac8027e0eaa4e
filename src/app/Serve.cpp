#include "app/Serve.h"

#include "app/CommandLine.h"
#include "app/Instance.h"
#include "base/EventLoop.h"
#include "base/Log.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <csignal>
#include <random>

namespace crocuslead::app {

namespace {

base::LogLevel logLevel(const std::string &Name) {
  if (Name == "debug")
    return base::LogLevel::Debug;
  if (Name == "warn")
    return base::LogLevel::Warn;
  return Name == "error" ? base::LogLevel::Error : base::LogLevel::Info;
}

uint64_t randomSeed() {
  std::random_device Device;
  return (uint64_t{Device()} << 32U) | Device();
}

} // namespace

int serve(const config::Settings &Settings) {
  base::configureLog(logLevel(Settings.LogLevel_), Settings.InstanceId_);
  std::signal(SIGPIPE, SIG_IGN);
  asio::io_context Loop(1);
  base::SystemClock Clock;
  Instance Process(Loop, Settings, Clock, randomSeed());
  int Code = static_cast<int>(ExitCode::Success);
  bool Opened = boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<bool> {
        BOOST_LEAF_CHECK(Process.open());
        return true;
      },
      [](const base::Error &Failure) {
        base::logEvent(base::LogLevel::Error, "start-failed",
                       {{"reason", Failure.Message_}});
        return false;
      },
      [] { return false; });
  if (!Opened)
    return static_cast<int>(ExitCode::Unreachable);
  base::logEvent(base::LogLevel::Info, "started",
                 {{"callers", Settings.CallerAddress_},
                  {"operators", Settings.OperatorAddress_}});
  asio::signal_set Signals(Loop, SIGTERM, SIGINT);
  Signals.async_wait([&](const asio::error_code &Failure, int) {
    if (Failure)
      return;
    Signals.async_wait([&Loop](const asio::error_code &Again, int) {
      if (!Again)
        Loop.stop();
    });
    Process.drain([&Loop] { Loop.stop(); });
  });
  base::runLoop(Loop);
  base::logEvent(base::LogLevel::Info, "stopped");
  return Code;
}

} // namespace crocuslead::app
