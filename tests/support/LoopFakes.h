#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>
#include <doctest/doctest.h>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace crocuslead::tests {

//! Runs the loop until Holds; the limit only ends a test that would hang.
template <typename Predicate>
void runUntil(asio::io_context &Loop, Predicate Holds) {
  auto Limit = std::chrono::steady_clock::now() + std::chrono::seconds(20);
  while (!Holds() && std::chrono::steady_clock::now() < Limit) {
    Loop.restart();
    Loop.run_one_for(std::chrono::milliseconds(100));
  }
  REQUIRE(Holds());
}

enum class Then { KeepOpen, Close, Reset, CloseAll };

//! What the raw server does with one request: sends Bytes_, then Then_.
struct Step {
  std::string Bytes_;
  Then Then_ = Then::KeepOpen;
};

//! A TCP server that answers each request with the next step, byte for byte;
//! the last step repeats.
class RawServer {
public:
  RawServer(asio::io_context &Loop, std::vector<Step> Steps)
      : Acceptor_(Loop, {asio::ip::address_v4::loopback(), 0}),
        Steps_(std::move(Steps)) {
    accept();
  }

  uint16_t port() const { return Port_; }
  std::string url(const std::string &Path = "/") const {
    return "http://127.0.0.1:" + std::to_string(Port_) + Path;
  }

  //! Requests with their bodies, in order of arrival.
  std::vector<std::string> Requests_;
  int Connections_ = 0;

private:
  struct Peer {
    explicit Peer(asio::ip::tcp::socket S) : Socket_(std::move(S)) {}
    asio::ip::tcp::socket Socket_;
    std::string Buffer_;
  };

  void accept() {
    Acceptor_.async_accept([this](auto Error, asio::ip::tcp::socket S) {
      if (Error)
        return;
      ++Connections_;
      read(std::make_shared<Peer>(std::move(S)));
      accept();
    });
  }

  static std::size_t requestBytes(const std::string &Text) {
    auto End = Text.find("\r\n\r\n");
    if (End == std::string::npos)
      return std::string::npos;
    auto Length = Text.find("Content-Length: ");
    std::size_t Body = Length == std::string::npos || Length > End
                           ? 0
                           : std::stoul(Text.substr(Length + 16));
    return End + 4 + Body;
  }

  void read(const std::shared_ptr<Peer> &From) {
    std::size_t Whole = requestBytes(From->Buffer_);
    if (Whole <= From->Buffer_.size()) {
      Requests_.push_back(From->Buffer_.substr(0, Whole));
      From->Buffer_.erase(0, Whole);
      answer(From);
      return;
    }
    auto Chunk = std::make_shared<std::string>(65536, '\0');
    From->Socket_.async_read_some(
        asio::buffer(*Chunk), [this, From, Chunk](auto Error, std::size_t N) {
          if (Error)
            return;
          From->Buffer_.append(*Chunk, 0, N);
          read(From);
        });
  }

  void answer(const std::shared_ptr<Peer> &To) {
    const Step &Now = Steps_[std::min(Next_, Steps_.size() - 1)];
    ++Next_;
    if (Now.Then_ == Then::CloseAll)
      Acceptor_.close();
    asio::async_write(To->Socket_, asio::buffer(Now.Bytes_),
                      [this, To, After = Now.Then_](auto, std::size_t) {
                        if (After == Then::KeepOpen)
                          read(To);
                        else
                          close(*To, After == Then::Reset);
                      });
  }

  static void close(Peer &Of, bool WithReset) {
    if (WithReset)
      Of.Socket_.set_option(asio::socket_base::linger(true, 0));
    Of.Socket_.close();
  }

  asio::ip::tcp::acceptor Acceptor_;
  uint16_t Port_ = Acceptor_.local_endpoint().port();
  std::vector<Step> Steps_;
  std::size_t Next_ = 0;
};

inline std::string okAnswer(const std::string &Body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(Body.size()) +
         "\r\n\r\n" + Body;
}

} // namespace crocuslead::tests
