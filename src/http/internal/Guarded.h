#pragma once

#include "base/Log.h"

#include <exception>

namespace crocuslead::http::internal {

//! Runs a callback of the client's user; its exceptions are logged.
template <typename Action> void guarded(Action Run) noexcept {
  try {
    Run();
  } catch (const std::exception &E) {
    base::logEvent(base::LogLevel::Error, "http-callback-failed",
                   {{"reason", E.what()}});
  }
}

} // namespace crocuslead::http::internal
