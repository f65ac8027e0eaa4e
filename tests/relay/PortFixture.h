#pragma once

#include "relay/RelayFakes.h"
#include "relay/RelayedPort.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace crocuslead::relay::test {

//! A RelayedPort whose relays the test plays. Their clocks are ahead of that of
//! the coordinator by RelayLead.
struct PortFixture {
  static constexpr base::Duration RelayLead = std::chrono::minutes(7);

  //! The end of a request, as its caller learns it.
  struct End {
    RequestStatus Status_ = RequestStatus::Unknown;
    std::optional<int64_t> ClockMs_;
    base::Duration PayloadWait_{};
  };

  ReplyBatch batch(const std::string &Instance,
                   const std::string &Incarnation = "1") const {
    ReplyBatch Out;
    Out.Instance_ = Instance;
    Out.Incarnation_ = Instance + "-" + Incarnation;
    Out.ClockMs_ = clockMs(Clock_) + base::toMillis(RelayLead);
    return Out;
  }

  void offer(const std::string &Instance, const std::string &Domain = "d1",
             const std::string &Region = "r1", double Weight = 1,
             bool Leaving = false, const std::string &Incarnation = "1") {
    ReplyBatch Batch = batch(Instance, Incarnation);
    Batch.Info_ = RelayInfo{Instance, Domain, Region, Weight, Leaving};
    Port_.receive(Batch);
  }

  static jobs::WorkerAddress worker(const std::string &Id,
                                    const std::string &Domain = "d1") {
    return {Id, Id + ":80", Domain};
  }

  //! Sends a start and records its ends under Name.
  void start(const std::string &Name, const std::string &Worker = "w1",
             const std::string &Domain = "d1") {
    send(Name, startOf(Name), Worker, Domain);
  }

  void send(const std::string &Name, const jobs::StartRequest &Request,
            const std::string &Worker = "w1",
            const std::string &Domain = "d1") {
    Port_.start(worker(Worker, Domain), Request,
                [this, Name](const jobs::RequestReply &Reply) {
                  Ends_[Name].push_back(
                      {Reply.Status_, Reply.ClockMs_, Reply.PayloadWait_});
                });
  }

  //! The messages that were sent since the last call.
  std::vector<std::pair<Exchange *, RequestBatch>> sent() {
    Out_.settle();
    std::vector<std::pair<Exchange *, RequestBatch>> Out;
    for (; Seen_ < Out_.Posts_.size(); ++Seen_)
      Out.emplace_back(&Out_.Posts_[Seen_],
                       valueOf(decodeRequests(Out_.Posts_[Seen_].Body_)));
    return Out;
  }

  //! The only message since the last call, with a single request.
  RelayedRequest onlyRequest() {
    auto Messages = sent();
    REQUIRE(Messages.size() == 1);
    REQUIRE(Messages[0].second.Requests_.size() == 1);
    return Messages[0].second.Requests_[0];
  }

  //! Address of the relay that got the last message.
  std::string lastAddress() const { return Out_.Posts_.back().Address_; }

  void answerLast() {
    Out_.Posts_.back().answer(
        std::to_string(clockMs(Clock_) + base::toMillis(RelayLead)));
  }

  void reply(const std::string &Instance, RelayedReply Reply,
             const std::string &Session = "s1",
             const std::string &Incarnation = "1") {
    ReplyBatch Batch = batch(Instance, Incarnation);
    Batch.Session_ = Session;
    Batch.Replies_ = {std::move(Reply)};
    Port_.receive(Batch);
  }

  //! Lets Time pass, in which Offering go on offering themselves.
  void run(base::Duration Time, const std::set<std::string> &Offering = {}) {
    base::TimePoint End = Clock_.now() + Time;
    while (Clock_.now() < End) {
      Clock_.advance(milliseconds(50));
      for (const std::string &Each : Offering)
        offer(Each);
      Port_.tick();
      Out_.settle();
    }
  }

  //! The only end of a request; fails if there is none or more than one.
  End end(const std::string &Name) {
    REQUIRE_MESSAGE(Ends_[Name].size() == 1, Name);
    return Ends_[Name][0];
  }

  base::ManualClock Clock_;
  FakeTransport Out_;
  FakeWorkers Direct_;
  RelayedPort Port_{Direct_, Out_, Clock_, "s1", "10.0.0.1:7720"};
  std::map<std::string, std::vector<End>> Ends_;
  std::size_t Seen_ = 0;
};

} // namespace crocuslead::relay::test
