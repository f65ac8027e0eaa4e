#include "base/EventLoop.h"

#include "base/Log.h"

#include <asio/io_context.hpp>
#include <exception>

namespace crocuslead::base {

void runLoop(asio::io_context &Loop) {
  for (;;) {
    try {
      Loop.run();
      return;
    } catch (const std::exception &E) {
      logEvent(LogLevel::Error, "handler-failed", {{"reason", E.what()}});
    }
  }
}

} // namespace crocuslead::base
