#pragma once

#include "base/Error.h"
#include "base/Log.h"

#include <asio/io_context.hpp>
#include <asio/post.hpp>

#include <memory>

namespace crocuslead::cluster::internal {

//! Reports an error from the event loop unless Alive has ended by then. Callers
//! of send() and fetch() rely on not being called back from within.
template <typename Callback>
void postError(asio::io_context &Loop, std::weak_ptr<void> Alive, Callback Done,
               base::Error Failure) {
  asio::post(Loop, [Alive = std::move(Alive), Done = std::move(Done),
                    Failure = std::move(Failure)] {
    if (Alive.expired())
      return;
    try {
      Done(Failure);
    } catch (const std::exception &E) {
      base::logEvent(base::LogLevel::Error, "platform-callback-failed",
                     {{"reason", E.what()}});
    }
  });
}

} // namespace crocuslead::cluster::internal
