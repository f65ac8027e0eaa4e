#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/steady_timer.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>

namespace crocuslead::tests {

//! A TCP server that answers each request with the same bytes, as a slow link
//! delivers them: a piece in each interval. It stops after StallAfter_ pieces.
class TrickleServer {
public:
  TrickleServer(asio::io_context &Loop, std::string Answer,
                std::size_t PieceBytes, std::chrono::milliseconds Interval)
      : Loop_(Loop), Acceptor_(Loop, {asio::ip::address_v4::loopback(), 0}),
        Answer_(std::move(Answer)), PieceBytes_(PieceBytes),
        Interval_(Interval) {
    accept();
  }

  std::string address() const { return "127.0.0.1:" + std::to_string(Port_); }

  std::size_t StallAfter_ = static_cast<std::size_t>(-1);
  int Requests_ = 0;

private:
  struct Peer {
    Peer(asio::ip::tcp::socket S, asio::io_context &Loop)
        : Socket_(std::move(S)), Timer_(Loop) {}
    asio::ip::tcp::socket Socket_;
    asio::steady_timer Timer_;
    asio::streambuf Request_;
    std::size_t Sent_ = 0;
    std::size_t Pieces_ = 0;
  };

  void accept() {
    Acceptor_.async_accept([this](auto Error, asio::ip::tcp::socket S) {
      if (Error)
        return;
      serve(std::make_shared<Peer>(std::move(S), Loop_));
      accept();
    });
  }

  void serve(const std::shared_ptr<Peer> &To) {
    asio::async_read_until(To->Socket_, To->Request_, "\r\n\r\n",
                           [this, To](auto Error, std::size_t Size) {
                             if (Error)
                               return;
                             To->Request_.consume(Size);
                             ++Requests_;
                             To->Sent_ = To->Pieces_ = 0;
                             sendPiece(To);
                           });
  }

  void sendPiece(const std::shared_ptr<Peer> &To) {
    if (To->Sent_ == Answer_.size()) {
      serve(To);
      return;
    }
    if (To->Pieces_++ == StallAfter_)
      return;
    std::size_t Size = std::min(PieceBytes_, Answer_.size() - To->Sent_);
    asio::async_write(To->Socket_,
                      asio::buffer(Answer_.data() + To->Sent_, Size),
                      [this, To, Size](auto Error, std::size_t) {
                        if (Error)
                          return;
                        To->Sent_ += Size;
                        To->Timer_.expires_after(Interval_);
                        To->Timer_.async_wait([this, To](auto Failure) {
                          if (!Failure)
                            sendPiece(To);
                        });
                      });
  }

  asio::io_context &Loop_;
  asio::ip::tcp::acceptor Acceptor_;
  uint16_t Port_ = Acceptor_.local_endpoint().port();
  std::string Answer_;
  std::size_t PieceBytes_;
  std::chrono::milliseconds Interval_;
};

} // namespace crocuslead::tests
