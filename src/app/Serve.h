#pragma once

#include "config/Settings.h"

namespace crocuslead::app {

//! Runs an instance until SIGTERM or SIGINT, then drains it. A second signal
//! stops at once. Returns the exit code of the process.
int serve(const config::Settings &Settings);

} // namespace crocuslead::app
