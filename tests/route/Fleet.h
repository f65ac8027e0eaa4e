#pragma once

#include "base/Random.h"
#include "route/Router.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

//! Several real routers over simulated upstreams, with an oracle that knows
//! what ran where. Broken_ spoils one rule, to show that the oracle notices.
namespace fleet {

using namespace crocuslead;
using route::AttemptEnd;

enum class Broken {
  None,
  RetryAfterReset,
  IgnoreLeaving,
  ClaimNotRun,
  Greedy,
  MixAnswers
};

//! One step of a generated history; Arg_ selects its details.
struct Step {
  uint8_t Kind_ = 0;
  uint32_t Arg_ = 0;
};

class Fleet {
public:
  explicit Fleet(uint64_t Seed, Broken Rule = Broken::None);

  void apply(const Step &S);
  //! Ends everything and checks what must hold at the end.
  void finish();
  //! Rules that were violated.
  const std::set<std::string> &violations() const { return Violations_; }
  uint64_t sends() const { return Sends_; }

private:
  struct Attempt {
    std::size_t Router_;
    route::SendAction Send_;
    base::TimePoint EndsBy_;
  };
  struct Known {
    route::RequestInfo Info_;
    std::size_t Router_;
    int Runs_ = 0;
    bool MayRun_ = false;
    bool Ended_ = false;
    bool ToldNotRun_ = false;
    bool Orphan_ = false;
    std::set<uint32_t> Answered_;
  };

  void begin(uint32_t Arg);
  void advance(base::Duration Step);
  void endAttempt(std::size_t Index, AttemptEnd End, int Status, bool Ran);
  void endSome(uint32_t Arg);
  void leave(uint32_t Arg);
  void changeListing(uint32_t Arg);
  void changeDomain(uint32_t Arg);
  void lend(uint32_t Arg);
  void killOrReturn(uint32_t Arg);
  void drain();
  void onSend(std::size_t Router, const route::SendAction &Send);
  void onEnd(uint64_t Request, bool Delivered);
  void onRefuse(const route::RefuseAction &Refuse);
  void onDeliver(const route::DeliverAction &Deliver);
  void check(bool Holds, const std::string &Rule);
  void checkSlots();
  void publish();
  std::vector<route::UpstreamInfo> listed() const;
  std::vector<std::string> live() const;
  std::unique_ptr<route::Router> makeRouter(std::size_t I) const;

  Broken Rule_;
  uint64_t Seed_;
  base::TimePoint Now_{std::chrono::hours(1)};
  std::vector<std::unique_ptr<route::Router>> Routers_;
  std::vector<route::UpstreamInfo> Upstreams_;
  std::set<std::string> Delisted_;
  std::set<std::string> DomainsOut_;
  std::vector<Attempt> Running_;
  std::map<uint64_t, Known> Requests_;
  std::vector<uint64_t> SendsOf_;
  std::vector<uint64_t> BegunOf_;
  base::TimePoint SlotsTrusted_;
  uint64_t NextId_ = 0;
  uint64_t Sends_ = 0;
  std::set<std::string> Violations_;
};

} // namespace fleet
