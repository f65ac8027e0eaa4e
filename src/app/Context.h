#pragma once

#include "base/Clock.h"
#include "base/Random.h"
#include "config/Settings.h"

#include <string>

namespace asio {
class io_context;
}

namespace crocuslead::app {

//! What every part of a serving process shares.
struct Context {
  asio::io_context &Loop_;
  const base::Clock &Clock_;
  const config::Settings &Settings_;
  base::Random &Random_;
  //! Differs in every process.
  std::string Incarnation_;
};

} // namespace crocuslead::app
