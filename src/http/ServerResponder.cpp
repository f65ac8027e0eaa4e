#include "http/internal/ServerResponder.h"

#include "base/Log.h"
#include "http/internal/HeaderRules.h"

#include <charconv>

namespace crocuslead::http::internal {

namespace {

constexpr int StatusNoContent = 204;
constexpr int StatusNotModified = 304;
constexpr int StatusInternalError = 500;

std::string reasonPhrase(int Status) {
  switch (Status / 100) {
  case 2:
    return Status == StatusNoContent ? "No Content" : "OK";
  case 3:
    return "Redirect";
  case 4:
    return "Request Refused";
  default:
    return "Server Error";
  }
}

//! An answer to HEAD may name the length of the body that GET would have.
std::size_t headLength(const Response &Answer) {
  std::size_t Length = Answer.Body_.size();
  if (const std::string *Text = findHeader(Answer.Headers_, "Content-Length"))
    std::from_chars(Text->data(), Text->data() + Text->size(), Length);
  return Length;
}

} // namespace

ServerResponder::ServerResponder(std::shared_ptr<ConnectionRegistry> Registry,
                                 const restinio::request_handle_t &Request)
    : Registry_(std::move(Registry)),
      Connection_(restinio::impl::access_req_connection(*Request)),
      ConnectionId_(Request->connection_id()),
      RequestId_(Request->request_id()),
      KeepAlive_(Request->header().should_keep_alive()),
      IsHead_(Request->header().method() == restinio::http_method_head()) {}

ServerResponder::~ServerResponder() {
  if (!usable())
    return;
  guarded([this] {
    if (Begun_) {
      closeConnection();
      return;
    }
    Response Answer;
    Answer.Status_ = StatusInternalError;
    sendWhole(std::move(Answer));
  });
}

template <typename Action> void ServerResponder::guarded(Action Run) noexcept {
  try {
    Run();
  } catch (const std::exception &E) {
    Ended_ = true;
    base::logEvent(base::LogLevel::Error, "http-answer-failed",
                   {{"reason", E.what()}});
  }
}

bool ServerResponder::keepAlive(const Headers &AllHeaders) const {
  const std::string *Wanted = findHeader(AllHeaders, "Connection");
  return KeepAlive_ && !Registry_->Draining_ &&
         !(Wanted && equalsIgnoringCase(*Wanted, "close"));
}

template <typename Builder>
Builder ServerResponder::makeBuilder(int Status, const Headers &AllHeaders) {
  auto Code = restinio::http_status_code_t(static_cast<uint16_t>(Status));
  Builder Made({Code, reasonPhrase(Status)}, Connection_.lock(), RequestId_,
               keepAlive(AllHeaders));
  for (const auto &[Name, Value] : AllHeaders)
    if (!isFramingHeader(Name) && isValidHeader(Name, Value))
      Made.append_header(Name, Value);
  return Made;
}

void ServerResponder::end() {
  Ended_ = true;
  Connection_.reset();
  ClosedHandler_ = nullptr;
  Registry_->removeResponder(ConnectionId_);
}

void ServerResponder::sendWhole(Response Answer) {
  auto Builder = makeBuilder<FixedBuilder>(Answer.Status_, Answer.Headers_);
  bool HasBody = !IsHead_ && Answer.Status_ != StatusNoContent &&
                 Answer.Status_ != StatusNotModified;
  Builder.set_content_length(IsHead_ ? headLength(Answer)
                                     : (HasBody ? Answer.Body_.size() : 0));
  if (HasBody)
    Builder.set_body(std::move(Answer.Body_));
  end();
  Builder.done();
}

void ServerResponder::send(Response Answer) {
  if (usable() && !Begun_)
    guarded([&] { sendWhole(std::move(Answer)); });
}

void ServerResponder::begin(int Status, Headers AllHeaders) {
  if (!usable() || Begun_)
    return;
  guarded([&] {
    Begun_ = true;
    // A HEAD answer has no body, so its pieces are dropped.
    if (IsHead_) {
      Response Answer;
      Answer.Status_ = Status;
      Answer.Headers_ = std::move(AllHeaders);
      sendWhole(std::move(Answer));
      return;
    }
    KeepAlive_ = keepAlive(AllHeaders);
    makeBuilder<ChunkedBuilder>(Status, AllHeaders).flush();
  });
}

// A builder kept for the whole stream would keep the connection, which must not
// outlive the event loop; the chunks are therefore framed here.
void ServerResponder::write(std::string Piece) {
  if (!usable() || !Begun_ || Piece.empty())
    return;
  guarded([&] {
    restinio::writable_items_container_t Items;
    Items.emplace_back(fmt::format("{:X}\r\n", Piece.size()));
    Items.emplace_back(std::move(Piece));
    Items.emplace_back(restinio::const_buffer("\r\n"));
    writePart(std::move(Items),
              restinio::response_parts_attr_t::not_final_parts, KeepAlive_);
  });
}

void ServerResponder::finish() {
  if (!usable() || !Begun_)
    return;
  guarded([this] {
    restinio::writable_items_container_t Items;
    Items.emplace_back(restinio::const_buffer("0\r\n\r\n"));
    bool KeepAlive = KeepAlive_ && !Registry_->Draining_;
    writePart(std::move(Items), restinio::response_parts_attr_t::final_parts,
              KeepAlive);
  });
}

void ServerResponder::writePart(restinio::writable_items_container_t Items,
                                restinio::response_parts_attr_t Part,
                                bool KeepAlive) {
  using restinio::response_connection_attr_t;
  auto Connection = Connection_.lock();
  if (Part == restinio::response_parts_attr_t::final_parts)
    end();
  auto Attribute = KeepAlive ? response_connection_attr_t::connection_keepalive
                             : response_connection_attr_t::connection_close;
  Connection->write_response_parts(
      RequestId_, restinio::response_output_flags_t{Part, Attribute},
      restinio::write_group_t{std::move(Items)});
}

void ServerResponder::abort() {
  if (usable())
    guarded([this] { closeConnection(); });
}

// An empty last part with the close attribute makes RESTinio write what is
// queued and close the connection; without the last chunk the caller sees a
// truncated answer.
void ServerResponder::closeConnection() {
  writePart({}, restinio::response_parts_attr_t::final_parts, false);
}

void ServerResponder::onClosed(std::function<void()> Handler) {
  if (CallerGone_) {
    CallerGone_ = false;
    Handler();
    return;
  }
  if (!Ended_)
    ClosedHandler_ = std::move(Handler);
}

void ServerResponder::connectionClosed() noexcept {
  if (Ended_)
    return;
  auto Handler = std::move(ClosedHandler_);
  Ended_ = true;
  CallerGone_ = !Handler;
  Connection_.reset();
  ClosedHandler_ = nullptr;
  if (Handler)
    guarded([&] { Handler(); });
}

} // namespace crocuslead::http::internal
