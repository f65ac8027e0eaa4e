#pragma once

#include "http/Server.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace crocuslead::standins {

//! State that all connections of a relay share.
struct RelayState {
  //! Bytes are held back, as on a link that is down; nothing is reset.
  bool Cut_ = false;
  int DelayMs_ = 0;
  uint64_t Bytes_ = 0;
};

//! Passes TCP connections on, as the link between two regions does.
class RelayStandin {
public:
  explicit RelayStandin(asio::io_context &Loop)
      : Loop_(Loop), State_(std::make_shared<RelayState>()) {}

  //! Passes connections to 127.0.0.1:ListenPort on to 127.0.0.1:TargetPort.
  void open(uint16_t ListenPort, uint16_t TargetPort);
  //! POST {"cut":bool,"delay_ms":n} changes the state; every call answers it.
  void handle(const http::Request &Request,
              const std::shared_ptr<http::Responder> &Out);

private:
  struct Listener {
    asio::ip::tcp::acceptor Acceptor_;
    uint16_t TargetPort_;
  };

  void accept(Listener &From);

  asio::io_context &Loop_;
  std::shared_ptr<RelayState> State_;
  std::vector<std::unique_ptr<Listener>> Listeners_;
};

} // namespace crocuslead::standins
