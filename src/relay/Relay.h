#pragma once

#include "base/Clock.h"
#include "jobs/WorkerPort.h"
#include "relay/Messages.h"
#include "relay/Transport.h"
#include "relay/internal/Outbox.h"

#include <cstddef>
#include <map>
#include <memory>
#include <string>

namespace crocuslead::relay {

//! Sends the requests of a coordinator that leads on another instance to
//! workers, and the replies back. It decides nothing and repeats nothing. A
//! request that comes too late, or from a term that is known to be over, is not
//! sent.
class Relay {
public:
  Relay(jobs::WorkerPort &Workers, Transport &Out, const base::Clock &Clock,
        std::string Instance, std::string Incarnation, RelayInfo Info);
  Relay(const Relay &) = delete;
  Relay &operator=(const Relay &) = delete;
  ~Relay();

  //! Address of the coordinator's instance; empty if there is none, or if it is
  //! this one.
  void setCoordinator(const std::string &Address);
  //! Offers this instance to the coordinator from time to time.
  void tick();
  //! Takes no further requests.
  void leave();
  void receive(RequestBatch Batch);
  //! Requests without a reply yet.
  std::size_t active() const { return Active_; }

private:
  using ReplyOutbox = internal::Outbox<RelayedReply>;

  //! Where the replies to requests go.
  struct Origin {
    std::string Session_;
    std::string Address_;
  };
  void offer();
  void process(const Origin &From, RelayedRequest Request);
  base::Duration timeLeft(const RelayedRequest &Request) const;
  void refuse(const Origin &From, const RelayedRequest &Request,
              jobs::RequestStatus Status);
  void send(const Origin &From, const RelayedRequest &Request);
  void reply(const Origin &From, RelayedReply Answer);
  ReplyOutbox &outboxOf(const Origin &To);
  ReplyBatch batchFor(const std::string &Session) const;

  jobs::WorkerPort &Workers_;
  Transport &Out_;
  const base::Clock &Clock_;
  std::string Instance_;
  std::string Incarnation_;
  RelayInfo Info_;
  std::string Coordinator_;
  base::TimePoint NextOffer_;
  //! Lowest token of the latest term that is known here. Within a term, tokens
  //! differ between workers.
  uint64_t LatestFirstToken_ = 0;
  std::size_t Active_ = 0;
  //! By session. Of former coordinators as well, until none is in use.
  std::map<std::string, std::shared_ptr<ReplyOutbox>> Outboxes_;
  std::shared_ptr<int> Alive_ = std::make_shared<int>(0);
};

} // namespace crocuslead::relay
