#include "RelayStandin.h"

#include <array>
#include <asio/buffer.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <nlohmann/json.hpp>

namespace crocuslead::standins {

namespace {

using asio::ip::tcp;

constexpr auto CutPoll = std::chrono::milliseconds(20);

//! Copies one direction of a connection.
class Pump : public std::enable_shared_from_this<Pump> {
public:
  Pump(std::shared_ptr<RelayState> State, std::shared_ptr<tcp::socket> From,
       std::shared_ptr<tcp::socket> To)
      : State_(std::move(State)), From_(std::move(From)), To_(std::move(To)),
        Timer_(From_->get_executor()) {}

  void read() {
    auto Self = shared_from_this();
    From_->async_read_some(
        asio::buffer(Buffer_),
        [Self](const asio::error_code &Failure, std::size_t Size) {
          if (Failure) {
            Self->close();
            return;
          }
          Self->Size_ = Size;
          Self->pass(std::chrono::milliseconds(Self->State_->DelayMs_));
        });
  }

private:
  void pass(std::chrono::milliseconds Delay) {
    auto Self = shared_from_this();
    Timer_.expires_after(Delay);
    Timer_.async_wait([Self](const asio::error_code &) {
      if (Self->State_->Cut_) {
        Self->pass(CutPoll);
        return;
      }
      Self->State_->Bytes_ += Self->Size_;
      asio::async_write(*Self->To_, asio::buffer(Self->Buffer_, Self->Size_),
                        [Self](const asio::error_code &Failure, std::size_t) {
                          if (Failure)
                            Self->close();
                          else
                            Self->read();
                        });
    });
  }

  void close() {
    asio::error_code Ignored;
    From_->close(Ignored);
    To_->close(Ignored);
  }

  std::shared_ptr<RelayState> State_;
  std::shared_ptr<tcp::socket> From_;
  std::shared_ptr<tcp::socket> To_;
  asio::steady_timer Timer_;
  std::array<char, 16384> Buffer_{};
  std::size_t Size_ = 0;
};

//! Connects once the link is up.
void connectLater(const std::shared_ptr<RelayState> &State,
                  const std::shared_ptr<tcp::socket> &Near,
                  const std::shared_ptr<tcp::socket> &Far, uint16_t Port) {
  auto Timer = std::make_shared<asio::steady_timer>(Near->get_executor());
  Timer->expires_after(State->Cut_ ? CutPoll : std::chrono::milliseconds(0));
  Timer->async_wait([=](const asio::error_code &) {
    if (State->Cut_) {
      connectLater(State, Near, Far, Port);
      return;
    }
    Far->async_connect({asio::ip::address_v4::loopback(), Port},
                       [=](const asio::error_code &Failure) {
                         asio::error_code Ignored;
                         if (Failure) {
                           Near->close(Ignored);
                           return;
                         }
                         std::make_shared<Pump>(State, Near, Far)->read();
                         std::make_shared<Pump>(State, Far, Near)->read();
                       });
  });
}

} // namespace

void RelayStandin::open(uint16_t ListenPort, uint16_t TargetPort) {
  tcp::endpoint Address(asio::ip::address_v4::loopback(), ListenPort);
  Listeners_.push_back(std::make_unique<Listener>(
      Listener{tcp::acceptor(Loop_, Address), TargetPort}));
  accept(*Listeners_.back());
}

void RelayStandin::accept(Listener &From) {
  From.Acceptor_.async_accept([this, &From](const asio::error_code &Failure,
                                            tcp::socket Accepted) {
    if (!Failure)
      connectLater(State_, std::make_shared<tcp::socket>(std::move(Accepted)),
                   std::make_shared<tcp::socket>(Loop_), From.TargetPort_);
    accept(From);
  });
}

void RelayStandin::handle(const http::Request &Request,
                          const std::shared_ptr<http::Responder> &Out) {
  nlohmann::json Body = nlohmann::json::parse(Request.Body_, nullptr, false);
  if (Body.is_object()) {
    State_->Cut_ = Body.value("cut", State_->Cut_);
    State_->DelayMs_ = Body.value("delay_ms", State_->DelayMs_);
  }
  Out->send({200,
             {},
             nlohmann::json{{"cut", State_->Cut_}, {"bytes", State_->Bytes_}}
                 .dump()});
}

} // namespace crocuslead::standins
