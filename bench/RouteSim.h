#pragma once

#include "base/Random.h"
#include "route/Router.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

namespace crocuslead::bench {

//! What a simulated run of the routers is like.
struct RouteScenario {
  route::PickPolicy Pick_ = route::PickPolicy::Scored;
  int Routers_ = 8;
  //! Requests a second of the whole fleet over what its slots can serve.
  double Load_ = 0.6;
  double Seconds_ = 20;
  double IdempotentShare_ = 0.8;
  base::Duration Deadline_ = std::chrono::seconds(2);
  //! Factor on the service time of an upstream at an instant.
  std::function<double(int Upstream, double Second)> Slowness_;
  //! All upstreams fail between these instants.
  double OutageFrom_ = -1;
  double OutageTo_ = -1;
  //! In the outage attempts get no answer instead of no connection.
  bool OutageHangs_ = false;
  //! Failure domain that is out from the start; empty for none.
  std::string DomainOut_;
  //! Gives the routers the regions of the instances for the order of slots.
  bool SlotsByRegion_ = true;
  //! Hides the regions from the routers.
  bool RegionBlind_ = false;
};

struct RouteOutcome {
  uint64_t Requests_ = 0;
  //! Answers within the deadline.
  uint64_t Good_ = 0;
  //! Latencies of delivered answers, ascending, in milliseconds.
  std::vector<double> LatenciesMs_;
  uint64_t Sends_ = 0;
  //! Counted from the start of the outage to 30 s after its end.
  uint64_t OutageRequests_ = 0;
  uint64_t OutageRetries_ = 0;
  //! Requests begun after the outage, and those that were answered in time.
  uint64_t AfterRequests_ = 0;
  uint64_t AfterGood_ = 0;
  uint64_t CrossBytes_ = 0;
  double RouterSeconds_ = 0;
  //! Most attempts at the same time on one upstream.
  int MostInFlight_ = 0;

  double quantileMs(double Share) const;
};

//! Requests a second that all slots serve at full load.
double routeCapacity();

//! Simulates the routers of a fleet over 65 upstreams of 8 slots in seeded
//! simulated time.
class RouteSim {
public:
  explicit RouteSim(const RouteScenario &Scenario);
  RouteOutcome run();

private:
  enum class Kind : uint8_t { Arrival, End, Tick, Lend };
  struct Event {
    int64_t At_;
    uint64_t Order_;
    Kind Kind_;
    int Router_;
    uint64_t Request_;
    uint32_t Attempt_;
    route::AttemptEnd End_;

    friend bool operator<(const Event &A, const Event &B) {
      return A.At_ != B.At_ ? A.At_ > B.At_ : A.Order_ > B.Order_;
    }
  };
  struct Open {
    int64_t Began_ = 0;
    bool Ended_ = false;
    //! Upstream and answer bytes by attempt; -1 once ended.
    std::vector<int> Upstream_;
  };

  void buildFleet();
  int pickRouter();
  //! Index of the failure domain of a router.
  int domainOf(int Router) const;
  const char *regionOf(int Domain) const;
  void push(int64_t At, Kind What, int Router, uint64_t Request = 0,
            uint32_t Attempt = 0,
            route::AttemptEnd End = route::AttemptEnd::Answered);
  void handle(const Event &E);
  void arrive();
  void endAttempt(const Event &E);
  void lend();
  int lendFrom(std::size_t Lender, std::size_t Borrower, int Wanted, bool Near);
  void drain(int Router);
  void onSend(int Router, const route::SendAction &Send);
  int64_t serviceMicros(int Upstream);
  bool inOutage() const;
  //! True for an instant after the outage in which no request is cut off by
  //! the end of the run.
  bool afterOutage(int64_t Micros) const;
  void timed(int Router, const std::function<void(route::Router &)> &Call);
  base::TimePoint now() const;

  RouteScenario Scenario_;
  base::Random Rng_;
  std::vector<std::unique_ptr<route::Router>> Routers_;
  std::vector<std::string> RouterRegion_;
  std::vector<route::UpstreamInfo> Upstreams_;
  std::vector<int> InFlight_;
  std::priority_queue<Event> Events_;
  std::unordered_map<uint64_t, Open> Requests_;
  int64_t Now_ = 0;
  uint64_t Order_ = 0;
  uint64_t NextRequest_ = 0;
  RouteOutcome Out_;
};

} // namespace crocuslead::bench
