#pragma once

#include "link/Link.h"
#include "link/internal/Handshake.h"
#include "link/internal/Transport.h"

#include <asio/io_context.hpp>
#include <chrono>
#include <doctest/doctest.h>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unistd.h>
#include <vector>

namespace crocuslead::tests {

inline const std::string SharedKey = "0123456789abcdef";

//! A loopback address that no other test process uses: the host part comes from
//! the process id, and the ports are below the ephemeral ones.
inline std::string addressOf(const std::string &Id) {
  auto Pid = static_cast<unsigned>(getpid());
  return "127." + std::to_string(1 + (Pid >> 14U) % 250) + "." +
         std::to_string((Pid >> 7U) % 128) + "." +
         std::to_string(1 + Pid % 128) + ":" + std::to_string(20'000 + Id[0]);
}

//! Runs the loop until Done holds; fails the test after a generous limit.
inline void runUntil(asio::io_context &Loop,
                     const std::function<bool()> &Done) {
  auto Limit = std::chrono::steady_clock::now() + std::chrono::seconds(60);
  while (!Done()) {
    REQUIRE(std::chrono::steady_clock::now() < Limit);
    if (Loop.stopped())
      Loop.restart();
    Loop.run_one_for(std::chrono::milliseconds(20));
  }
}

//! An instance's link and what it reported.
struct Node {
  Node(asio::io_context &Loop, const std::string &Id,
       const std::string &Incarnation = "i1",
       const std::string &Key = SharedKey) {
    link::LinkSettings Settings;
    Settings.Self_ = Id;
    Settings.Incarnation_ = Incarnation;
    Settings.ListenAddress_ = addressOf(Id);
    Settings.SharedKey_ = Key;
    for (const char *Peer : {"a", "b", "c"})
      Settings.Peers_.push_back({Peer, addressOf(Peer)});
    auto Opened = link::openLink(
        Loop, Settings,
        [this](const std::string &Peer, const std::string &PeerIncarnation,
               link::Message Value) {
          Incarnations_[Peer] = PeerIncarnation;
          Received_.push_back(std::move(Value));
        },
        [this](const std::string &Peer, bool Connected) {
          Changes_.push_back(Peer + (Connected ? "+" : "-"));
        });
    REQUIRE(Opened.has_value());
    Link_ = std::move(*Opened);
  }

  std::unique_ptr<link::Link> Link_;
  std::vector<link::Message> Received_;
  std::vector<std::string> Changes_;
  std::map<std::string, std::string> Incarnations_;
};

//! A client that writes any frame it wants, as an attacker or a faulty peer
//! would.
class RawClient {
public:
  RawClient(asio::io_context &Loop, const std::string &To) : Loop_(Loop) {
    link::internal::TransportEvents Events;
    Events.OnOpen_ = [this](link::internal::ConnectionId, bool) {
      Open_ = true;
    };
    Events.OnFrame_ = [this](link::internal::ConnectionId,
                             const std::string &Frame,
                             bool) { Received_.push_back(Frame); };
    Events.OnClosed_ = [this](link::internal::ConnectionId, bool) {
      Closed_ = true;
    };
    static char NextPort = 'A';
    auto Opened = link::internal::openTransport(
        Loop, addressOf(std::string(1, NextPort++)), Events);
    REQUIRE(Opened.has_value());
    Transport_ = *Opened;
    Connection_ = Transport_->connect(addressOf(To));
    runUntil(Loop, [this] { return Open_; });
  }
  RawClient(const RawClient &) = delete;
  RawClient &operator=(const RawClient &) = delete;
  ~RawClient() { Transport_->closeAll(); }

  void send(const std::string &Frame) { Transport_->send(Connection_, Frame); }
  bool closed() const { return Closed_; }

  //! Verifies as instance a, with the right key. Returns the frames sent.
  std::vector<std::string> verify() {
    using link::internal::Handshake;
    Handshake Shake(link::internal::Role::Connector, {"a", "raw", SharedKey},
                    *link::internal::makeNonce(),
                    [](const std::string &) { return true; });
    std::vector<std::string> Sent{*Shake.open()};
    send(Sent.back());
    while (Shake.state() == Handshake::State::Running) {
      runUntil(Loop_, [this] { return !Received_.empty(); });
      auto Reply = Shake.receive(Received_.front());
      Received_.erase(Received_.begin());
      if (Reply)
        send(Sent.emplace_back(*Reply));
    }
    REQUIRE(Shake.state() == Handshake::State::Verified);
    return Sent;
  }

private:
  asio::io_context &Loop_;
  std::shared_ptr<link::internal::Transport> Transport_;
  link::internal::ConnectionId Connection_ = 0;
  std::vector<std::string> Received_;
  bool Open_ = false;
  bool Closed_ = false;
};

} // namespace crocuslead::tests
