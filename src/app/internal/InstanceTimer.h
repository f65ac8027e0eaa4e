#pragma once

#include "app/Instance.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

namespace crocuslead::app {

//! Runs a task again and again, with a pause of one interval between runs.
struct Instance::Timer {
  Timer(asio::io_context &Loop, base::Duration Interval,
        std::function<void()> Task)
      : Timer_(Loop), Interval_(Interval), Task_(std::move(Task)) {}

  void arm() {
    Timer_.expires_after(Interval_);
    Timer_.async_wait([this](const asio::error_code &Failure) {
      if (Failure)
        return;
      Task_();
      arm();
    });
  }

  asio::steady_timer Timer_;
  base::Duration Interval_;
  std::function<void()> Task_;
};

} // namespace crocuslead::app
