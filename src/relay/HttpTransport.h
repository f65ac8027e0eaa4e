#pragma once

#include "http/Client.h"
#include "relay/Transport.h"

#include <asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <unordered_map>

namespace crocuslead::relay {

//! Messages as HTTP requests; any answer but 200 counts as none.
class HttpTransport final : public Transport {
public:
  //! Client must outlive it.
  HttpTransport(asio::io_context &Loop, http::RequestClient &Client)
      : Loop_(Loop), Client_(Client) {}

  void post(const std::string &Address, const std::string &Path,
            std::string Body, base::Duration Timeout,
            AnswerCallback Done) override;
  void get(const std::string &Address, const std::string &Path,
           base::Duration Timeout, AnswerCallback Done) override;
  void defer(std::function<void()> Action) override;

private:
  void send(const char *Method, const std::string &Address,
            const std::string &Path, std::string Body, base::Duration Timeout,
            AnswerCallback Done);

  asio::io_context &Loop_;
  http::RequestClient &Client_;
  uint64_t NextCall_ = 1;
  std::unordered_map<uint64_t, std::unique_ptr<http::Exchange>> Calls_;
  std::shared_ptr<int> Alive_ = std::make_shared<int>(0);
};

} // namespace crocuslead::relay
