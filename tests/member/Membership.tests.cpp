#include "member/Membership.h"
#include "base/Random.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace crocuslead;
using member::Membership;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int64_t LossAge = 10'000;
const base::TimePoint Start(std::chrono::hours(1));

//! A ping on its way, and the pong that answers it.
struct Exchange {
  std::string Peer_;
  uint64_t Sequence_;
  base::TimePoint SentAt_;
};

std::vector<Exchange> pingsOf(Membership &Subject, base::TimePoint Now) {
  std::vector<Exchange> Out;
  for (const auto &[Peer, Message] : Subject.tick(Now))
    if (const auto *Ping = std::get_if<link::Ping>(&Message))
      Out.push_back({Peer, Ping->Sequence_, Now});
  return Out;
}

void answer(Membership &Subject, const Exchange &Ping, int64_t AgeMs,
            base::TimePoint Now, int64_t Revision = 0) {
  link::Pong Reply;
  Reply.Sequence_ = Ping.Sequence_;
  Reply.StoreContactAgeMs_ = AgeMs;
  Reply.ConfigRevision_ = Revision;
  Subject.received(Ping.Peer_, "i1", Reply, Now);
}

Membership makeConnected() {
  Membership Made("a", {{"a", "r1"}, {"b", "r1"}, {"c", "r2"}});
  Made.peerConnected("b", true, Start);
  Made.peerConnected("c", true, Start);
  return Made;
}

//! Answers pings late, twice, out of order or never. Returns whether a claimed
//! loss of the store always rests on a pong whose ping is at most 2 s old.
bool evidenceIsFresh(uint64_t Seed, member::MembershipTimes Times,
                     uint64_t &Claims) {
  base::Random Source(Seed);
  Membership Subject("a", {{"b", "r1"}, {"c", "r2"}}, Times);
  base::TimePoint Now = Start;
  Subject.peerConnected("b", true, Now);
  Subject.peerConnected("c", true, Now);
  Subject.setOwnState(0, LossAge, false, 0);
  std::vector<Exchange> Sent;
  std::map<std::string, base::TimePoint> NewestLost;
  for (int Step = 0; Step < 200; ++Step) {
    Now += milliseconds(Source.below(400));
    auto New = pingsOf(Subject, Now);
    Sent.insert(Sent.end(), New.begin(), New.end());
    for (uint64_t Count = Source.below(4); Count > 0 && !Sent.empty();
         --Count) {
      uint64_t Back = Source.below(std::min<uint64_t>(6, Sent.size()));
      const Exchange &Ping = Sent[Sent.size() - 1 - Back];
      int64_t Age = Source.below(8) == 0 ? 0 : LossAge;
      answer(Subject, Ping, Age, Now);
      if (Age >= LossAge)
        NewestLost[Ping.Peer_] = std::max(NewestLost[Ping.Peer_], Ping.SentAt_);
    }
    if (Source.below(60) == 0)
      Subject.peerConnected("b", Source.below(2) == 0, Now);
    if (Source.below(10) == 0)
      Subject.peerConnected("b", true, Now);
    if (!Subject.storeLostEverywhere(Now, LossAge))
      continue;
    ++Claims;
    for (const char *Peer : {"b", "c"})
      if (Now - NewestLost[Peer] > seconds(2))
        return false;
  }
  return true;
}

} // namespace

// Guards against claims granted on old evidence (P7): a peer could have
// regained the store and acquired the partition meanwhile.
TEST_CASE("evidence of a store loss is never older than 2 s") {
  uint64_t Claims = 0;
  CHECK(rc::check("fresh evidence", [&](uint64_t Seed) {
    RC_ASSERT(evidenceIsFresh(Seed, {}, Claims));
  }));
  CHECK(Claims > 100);
}

// Guards against a property that cannot fail.
TEST_CASE("the property of fresh evidence fails with a longer evidence time") {
  member::MembershipTimes Broken;
  Broken.OutageEvidence_ = seconds(4);
  bool Found = false;
  uint64_t Claims = 0;
  for (uint64_t Seed = 1; Seed <= 50 && !Found; ++Seed)
    Found = !evidenceIsFresh(Seed, Broken, Claims);
  CHECK(Found);
}

TEST_CASE("a store loss everywhere holds without gaps while all peers answer") {
  Membership Subject = makeConnected();
  Subject.setOwnState(0, LossAge, false, 0);
  std::vector<std::pair<base::TimePoint, Exchange>> Replies;
  for (base::TimePoint Now = Start; Now < Start + seconds(20);
       Now += milliseconds(100)) {
    for (const auto &[Due, Ping] : Replies)
      if (Due == Now)
        answer(Subject, Ping, LossAge, Now);
    for (const Exchange &Ping : pingsOf(Subject, Now))
      Replies.emplace_back(Now + milliseconds(200), Ping);
    if (Now >= Start + milliseconds(200))
      CHECK(Subject.storeLostEverywhere(Now, LossAge));
  }
}

TEST_CASE("one peer with store contact, or silent, ends the store loss") {
  Membership Subject = makeConnected();
  auto Pings = pingsOf(Subject, Start);
  REQUIRE(Pings.size() == 2);
  answer(Subject, Pings[0], LossAge, Start);
  CHECK_FALSE(Subject.storeLostEverywhere(Start, LossAge));
  answer(Subject, Pings[1], LossAge, Start);
  CHECK(Subject.storeLostEverywhere(Start, LossAge));
  CHECK(Subject.storeLostEverywhere(Start + seconds(2), LossAge));
  CHECK_FALSE(Subject.storeLostEverywhere(
      Start + seconds(2) + base::Duration(1), LossAge));

  // A ping of the peer itself tells sooner than its next pong.
  link::Ping InContact;
  InContact.Sequence_ = 1;
  Subject.received("c", "i1", InContact, Start);
  CHECK_FALSE(Subject.storeLostEverywhere(Start, LossAge));
}

// Guards against evidence of a process that no longer exists.
TEST_CASE("a new incarnation or a lost connection drops the evidence") {
  for (bool Restart : {true, false}) {
    Membership Subject = makeConnected();
    for (const Exchange &Ping : pingsOf(Subject, Start))
      answer(Subject, Ping, LossAge, Start);
    link::Ping FromNext;
    FromNext.Sequence_ = 1;
    FromNext.StoreContactAgeMs_ = LossAge;
    if (Restart)
      Subject.received("b", "i2", FromNext, Start);
    else
      Subject.peerConnected("b", false, Start);
    CHECK_FALSE(Subject.storeLostEverywhere(Start, LossAge));
  }
}

TEST_CASE("a silent peer stops being alive and a ping is answered once") {
  Membership Subject = makeConnected();
  Subject.setOwnState(7, 3, true, 2);
  pingsOf(Subject, Start);
  link::Ping Ping;
  Ping.Sequence_ = 5;
  CHECK_FALSE(Subject.isAlive("b", Start));
  Subject.received("b", "i1", Ping, Start);
  auto Out = Subject.tick(Start);
  REQUIRE(Out.size() == 1);
  CHECK(Out[0].first == "b");
  const auto &Pong = std::get<link::Pong>(Out[0].second);
  CHECK(Pong.Sequence_ == 5);
  CHECK(Pong.ConfigRevision_ == 7);
  CHECK(Pong.Draining_);
  CHECK(Subject.tick(Start).empty());
  CHECK(Subject.isAlive("b", Start + seconds(5)));
  CHECK_FALSE(Subject.isAlive("b", Start + seconds(6)));
  CHECK_FALSE(Subject.isAlive("unknown", Start));
}

TEST_CASE("the configuration is pulled from the newest connected peer") {
  Membership Subject = makeConnected();
  auto Pings = pingsOf(Subject, Start);
  answer(Subject, Pings[0], 0, Start, 9);
  answer(Subject, Pings[1], 0, Start, 12);
  CHECK(Subject.newerConfigPeer(9, Start) == "c");
  CHECK(Subject.newerConfigPeer(12, Start).empty());
  CHECK(Subject.newerConfigPeer(8, Start + seconds(6)).empty());
  Subject.peerConnected("c", false, Start);
  CHECK(Subject.newerConfigPeer(8, Start) == "b");
}
