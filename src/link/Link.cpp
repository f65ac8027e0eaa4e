#include "link/Link.h"

#include "link/internal/LinkCore.h"
#include <utility>

namespace crocuslead::link {

namespace {

//! Closes the link when its owner lets go of it.
class OpenLink final : public Link {
public:
  explicit OpenLink(std::shared_ptr<internal::LinkCore> Core)
      : Core_(std::move(Core)) {}
  ~OpenLink() override { Core_->close(); }

  bool send(const std::string &Peer, const Message &Value) override {
    return Core_->send(Peer, Value);
  }
  bool isConnected(const std::string &Peer) const override {
    return Core_->isConnected(Peer);
  }
  LinkCounters counters() const override { return Core_->counters(); }
  void close() override { Core_->close(); }

private:
  std::shared_ptr<internal::LinkCore> Core_;
};

base::Result<void> check(const LinkSettings &Settings) {
  constexpr std::size_t MinKeyLength = 16;
  auto Refuse = [](std::string Message) {
    return base::fail(base::ErrorKind::InvalidRequest, std::move(Message));
  };
  if (Settings.Self_.empty() || Settings.Incarnation_.empty())
    return Refuse("a link needs the id and the incarnation of its instance");
  if (Settings.Self_.size() > internal::MaxNameBytes ||
      Settings.Incarnation_.size() > internal::MaxNameBytes)
    return Refuse("the id or the incarnation exceeds 512 bytes");
  if (Settings.SharedKey_.size() < MinKeyLength)
    return Refuse("the shared key has fewer than 16 characters");
  for (const LinkPeer &Peer : Settings.Peers_)
    if (Peer.Id_ != Settings.Self_ && !internal::isSocketAddress(Peer.Address_))
      return Refuse("peer " + Peer.Id_ + ": found address '" + Peer.Address_ +
                    "', allowed: IP:port");
  return {};
}

} // namespace

base::Result<std::unique_ptr<Link>> openLink(asio::io_context &Loop,
                                             LinkSettings Settings,
                                             Link::OnMessage HandleMessage,
                                             Link::OnPeerChange HandleChange) {
  BOOST_LEAF_CHECK(check(Settings));
  auto Core = std::make_shared<internal::LinkCore>(Loop, std::move(Settings),
                                                   std::move(HandleMessage),
                                                   std::move(HandleChange));
  BOOST_LEAF_CHECK(Core->start());
  return std::unique_ptr<Link>(std::make_unique<OpenLink>(std::move(Core)));
}

} // namespace crocuslead::link
