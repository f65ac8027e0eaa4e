#pragma once

#include "http/internal/ServerTraits.h"

#include "http/Server.h"

namespace crocuslead::http::internal {

//! The answer to one request of a RESTinio connection.
class ServerResponder final
    : public Responder,
      public std::enable_shared_from_this<ServerResponder> {
public:
  ServerResponder(std::shared_ptr<ConnectionRegistry> Registry,
                  const restinio::request_handle_t &Request);
  //! A request that nobody answers gets status 500, or a truncated answer if
  //! the answer was begun.
  ~ServerResponder() override;

  void send(Response Answer) override;
  void begin(int Status, Headers AllHeaders) override;
  void write(std::string Piece) override;
  void finish() override;
  void abort() override;
  void onClosed(std::function<void()> Handler) override;

  bool ended() const { return Ended_; }
  //! The connection has closed.
  void connectionClosed() noexcept;

private:
  using FixedBuilder =
      restinio::response_builder_t<restinio::user_controlled_output_t>;
  using ChunkedBuilder =
      restinio::response_builder_t<restinio::chunked_output_t>;

  template <typename Builder>
  Builder makeBuilder(int Status, const Headers &AllHeaders);
  bool keepAlive(const Headers &AllHeaders) const;
  bool usable() const {
    return !Ended_ && !Registry_->Closed_ && !Connection_.expired();
  }
  template <typename Action> void guarded(Action Run) noexcept;
  void end();
  void sendWhole(Response Answer);
  void closeConnection();
  void writePart(restinio::writable_items_container_t Items,
                 restinio::response_parts_attr_t Part, bool KeepAlive);

  std::shared_ptr<ConnectionRegistry> Registry_;
  std::weak_ptr<restinio::impl::connection_base_t> Connection_;
  restinio::connection_id_t ConnectionId_;
  restinio::request_id_t RequestId_;
  bool KeepAlive_;
  bool IsHead_;
  bool Begun_ = false;
  bool Ended_ = false;
  bool CallerGone_ = false;
  std::function<void()> ClosedHandler_;
};

} // namespace crocuslead::http::internal
