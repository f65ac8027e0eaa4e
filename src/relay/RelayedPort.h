#pragma once

#include "base/Clock.h"
#include "jobs/WorkerPort.h"
#include "relay/Messages.h"
#include "relay/Transport.h"
#include "relay/internal/ClockLead.h"
#include "relay/internal/Outbox.h"

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace crocuslead::relay {

struct RelayedPortCounters {
  //! Relays that take requests at present.
  std::size_t Relays_ = 0;
  uint64_t Requests_ = 0;
  //! Requests that were sent directly because no relay could take them.
  uint64_t Direct_ = 0;
  uint64_t RelayLosses_ = 0;
  uint64_t SlowRelays_ = 0;
  //! Time in which the slowest of the relays usually answers, and the relay.
  base::Duration SlowestAnswer_{};
  std::string SlowestRelay_;
};

//! Sends requests to workers through the other instances, so that one link and
//! one processor need not carry all of them. The instances of a failure domain
//! share its workers; where there are none, those of its region do, and then
//! the requests are sent directly.
class RelayedPort final : public jobs::WorkerPort {
public:
  //! For how long a relay may keep a request before it sends it. With the
  //! time for which a call may take, it stays below
  //! CoordinatorTimings::SilentRequestDelay_; MaxRequestDelay_ includes it.
  static constexpr base::Duration MaxRelayDelay =
      std::chrono::milliseconds(600);

  //! For how long a call of a relay to a worker may take, a poll's wait aside.
  static constexpr base::Duration CallTime = std::chrono::milliseconds(700);

  //! Direct and Out must outlive it. Session differs in every process; Address
  //! is that for replies.
  RelayedPort(jobs::WorkerPort &Direct, Transport &Out,
              const base::Clock &Clock, std::string Session,
              std::string Address);
  ~RelayedPort() override;

  void start(const jobs::WorkerAddress &To, const jobs::StartRequest &Request,
             RequestCallback Done) override;
  void stop(const jobs::WorkerAddress &To, const jobs::StopRequest &Request,
            RequestCallback Done) override;
  void throttle(const jobs::WorkerAddress &To,
                const jobs::ThrottleRequest &Request,
                RequestCallback Done) override;
  void poll(const jobs::WorkerAddress &To, const jobs::PollRequest &Request,
            PollCallback Done) override;
  std::string senderFor(const jobs::WorkerAddress &To) override;

  void receive(const ReplyBatch &Batch);
  //! Gives up requests that get no reply, and relays that are silent.
  void tick();
  RelayedPortCounters counters() const;

private:
  using RequestOutbox = internal::Outbox<RelayedRequest>;

  struct RelayEntry {
    std::string Instance_;
    std::string Incarnation_;
    RelayInfo Info_;
    internal::ClockLead Lead_;
    base::TimePoint HeardAt_;
    //! Smoothed time that it takes to answer a message.
    base::Duration AnswerTime_{};
    //! Requests in a row that got no reply.
    int Unanswered_ = 0;
    std::shared_ptr<RequestOutbox> Outbox_;
    //! Smoothed time until the reply to a start or stop comes.
    base::Duration ReplyTime_{};
    //! It did not answer, or slowly, so it gets no requests before this time.
    std::optional<base::TimePoint> AvoidedUntil_;
  };
  //! A request without a reply yet.
  struct Pending {
    jobs::WorkerAddress To_;
    //! When the coordinator sent it.
    base::TimePoint AcceptedAt_;
    std::string Relay_;
    base::TimePoint GiveUpAt_;
    //! It has left for the relay.
    bool Sent_ = false;
    bool IsStart_ = false;
    RequestCallback Done_;
    PollCallback PollDone_;
  };
  //! The path to a worker.
  struct Route {
    uint64_t Version_ = 0;
    //! Empty for the direct one.
    std::string Relay_;
    //! Relays through which a request failed, until when they are not used.
    std::map<std::string, base::TimePoint> Avoided_;
  };

  RelayEntry *relayFor(const jobs::WorkerAddress &To);
  std::string chooseRelay(const jobs::WorkerAddress &To,
                          const Route &Path) const;
  Pending pending(const jobs::WorkerAddress &To, RequestCallback Done,
                  PollCallback PollDone) const;
  static bool isUsable(const RelayEntry &Relay);
  void enqueue(RelayEntry &Relay, RequestBody Body, Pending Entry);
  std::string encodeBatch(const std::string &Instance,
                          std::vector<RelayedRequest> &Requests);
  void addRelay(const ReplyBatch &Offer);
  //! Takes requests from relays that are much slower than the others.
  void avoidSlowRelays();
  void avoid(RelayEntry &Relay, const char *Reason);
  bool mayAvoidAnother(const std::string &Region) const;
  void noteUnanswered(const std::string &Instance);
  void removeRelay(const std::string &Instance, const char *Reason);
  void exchangeEnded(const std::string &Instance,
                     const std::optional<std::string> &Answer,
                     base::Duration Took);
  void complete(const RelayedReply &Reply);
  void finish(const Pending &Entry, const RelayedReply &Reply);
  //! Ends the requests that it has, or would get.
  void failRequests(const std::string &Instance);

  jobs::WorkerPort &Direct_;
  Transport &Out_;
  const base::Clock &Clock_;
  std::string Session_;
  std::string Address_;
  //! By instance.
  std::map<std::string, RelayEntry> Relays_;
  //! Regions of the domains from which an instance has offered itself.
  std::unordered_map<std::string, std::string> RegionOf_;
  //! Counts the changes of the set of usable relays.
  uint64_t Version_ = 1;
  //! By worker.
  std::unordered_map<std::string, Route> Routes_;
  uint64_t NextNumber_ = 1;
  std::map<uint64_t, Pending> Pending_;
  base::TimePoint NextCheckAt_;
  RelayedPortCounters Counters_;
};

} // namespace crocuslead::relay
