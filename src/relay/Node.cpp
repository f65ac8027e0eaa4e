#include "relay/Node.h"

#include "base/Log.h"

#include <boost/leaf/handle_errors.hpp>

#include <utility>

namespace crocuslead::relay {

namespace {

constexpr int StatusOk = 200;
constexpr int StatusBadRequest = 400;
constexpr int StatusNotFound = 404;
// Payloads have up to 4 kB, and an instance as little as 160 MB of memory.
constexpr std::size_t MaxPayloadBytes = 8U << 20U;

//! Runs Use with the decoded message, or logs why it can't be read.
template <typename Decoded, typename Action>
bool useDecoded(Decoded Message, const Action &Use) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<bool> {
        BOOST_LEAF_AUTO(Batch, std::move(Message));
        Use(std::move(Batch));
        return true;
      },
      [](const base::Error &Failure) {
        base::logEvent(base::LogLevel::Error, "relay-message-unreadable",
                       {{"reason", Failure.Message_}});
        return false;
      },
      [] { return false; });
}

} // namespace

Node::Node(asio::io_context &Loop, jobs::WorkerPort &Workers,
           store::KeyValueStore &Store, const base::Clock &Clock,
           const std::string &Instance, const std::string &Incarnation,
           const RelayInfo &Info)
    : Clock_(Clock), Address_(Info.Address_),
      Client_(http::makePooledClient(Loop)), Transport_(Loop, *Client_),
      Payloads_(MaxPayloadBytes),
      Workers_(Workers, Payloads_, Transport_, Store, Clock),
      Port_(Workers_, Transport_, Clock, Incarnation, Info.Address_),
      Relay_(Workers_, Transport_, Clock, Instance, Incarnation, Info) {}

void Node::tick(const jobs::Election &Leaders) {
  auto Leader = Leaders.leader();
  bool Elsewhere =
      Leader && !Leaders.isLeader() && Leader->Address_ != Address_;
  Relay_.setCoordinator(Elsewhere ? Leader->Address_ : "");
  Relay_.tick();
  Port_.tick();
}

std::optional<http::Response> Node::handle(const http::Request &Request) {
  const std::string &Path = Request.Target_;
  std::string_view Payloads = PayloadsPath;
  MessageBytes_ += Request.Body_.size();
  if (Path == RequestsPath)
    return takeRequests(Request.Body_);
  if (Path == RepliesPath)
    return takeReplies(Request.Body_);
  if (Path.compare(0, Payloads.size(), Payloads) == 0)
    return findPayload(Path.substr(Payloads.size()));
  return std::nullopt;
}

http::ClientCounters Node::traffic() const {
  http::ClientCounters Out = Client_->counters();
  Out.BytesReceived_ += MessageBytes_;
  return Out;
}

http::Response Node::clockAnswer() const {
  return {StatusOk,
          {},
          std::to_string(base::toMillis(Clock_.now().time_since_epoch()))};
}

http::Response Node::takeRequests(const std::string &Body) {
  bool Read = useDecoded(decodeRequests(Body), [this](RequestBatch Batch) {
    Relay_.receive(std::move(Batch));
  });
  return Read ? clockAnswer() : http::Response{StatusBadRequest, {}, ""};
}

http::Response Node::takeReplies(const std::string &Body) {
  bool Read = useDecoded(decodeReplies(Body), [this](const ReplyBatch &Batch) {
    Port_.receive(Batch);
  });
  return {Read ? StatusOk : StatusBadRequest, {}, ""};
}

http::Response Node::findPayload(const std::string &Job) const {
  const std::string *Payload = Payloads_.find(Job);
  return Payload != nullptr ? http::Response{StatusOk, {}, *Payload}
                            : http::Response{StatusNotFound, {}, ""};
}

} // namespace crocuslead::relay
