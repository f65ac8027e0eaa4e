#pragma once

#include "app/Context.h"
#include "base/Log.h"

#include <asio/io_context.hpp>
#include <cstdio>
#include <string>

namespace crocuslead::tests {

//! A UUIDv7 that was issued at a wall time; Number makes it unique.
inline std::string makeKey(base::WallTime Issued, unsigned Number) {
  auto Millis =
      static_cast<unsigned long long>(Issued.time_since_epoch().count());
  char Text[64];
  std::snprintf(Text, sizeof(Text), "%08llx-%04llx-7000-8000-%012x",
                Millis >> 16U, Millis & 0xFFFFU, Number);
  return Text;
}

//! Context of an instance in a test: paused clock, fixed seed.
struct Parts {
  explicit Parts(const std::string &Id, uint64_t Seed = 7) : Random_(Seed) {
    Settings_.InstanceId_ = Id;
    Settings_.Region_ = "r";
    Settings_.Domain_ = "d";
    Settings_.Instances_ = {{Id, "r", "d", ""}};
  }

  asio::io_context Loop_;
  base::ManualClock Clock_;
  config::Settings Settings_;
  base::Random Random_;
  app::Context Shared_{Loop_, Clock_, Settings_, Random_, "0123456789abcdef"};
};

} // namespace crocuslead::tests
