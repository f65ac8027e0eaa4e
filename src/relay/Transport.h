#pragma once

#include "base/Clock.h"

#include <functional>
#include <optional>
#include <string>

namespace crocuslead::relay {

//! Carries messages between instances. Each callback is invoked exactly once,
//! on the event loop and not from within the call.
class Transport {
public:
  //! Body of the answer; unset if there was none, or an error.
  using AnswerCallback = std::function<void(std::optional<std::string>)>;

  Transport() = default;
  Transport(const Transport &) = delete;
  Transport &operator=(const Transport &) = delete;
  virtual ~Transport() = default;

  //! Sends a message at most once. Address is IP:port.
  virtual void post(const std::string &Address, const std::string &Path,
                    std::string Body, base::Duration Timeout,
                    AnswerCallback Done) = 0;
  virtual void get(const std::string &Address, const std::string &Path,
                   base::Duration Timeout, AnswerCallback Done) = 0;
  //! Runs Action soon, after what the event loop is doing.
  virtual void defer(std::function<void()> Action) = 0;
};

} // namespace crocuslead::relay
