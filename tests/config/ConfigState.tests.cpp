#include "config/ConfigHistory.h"
#include "config/Validate.h"
#include "support/ErrorText.h"

#include <cstdint>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace crocuslead;
using namespace crocuslead::config;
using crocuslead::tests::History;
using crocuslead::tests::Oracle;

namespace {

//! Rules that a broken copy of ConfigState gets wrong.
enum class Fault { None, AppliesLowerRevisions, KeepsDeletedKeys };

//! A ConfigState whose inputs are altered on the way as a broken copy of one
//! rule would take them.
class Subject {
public:
  explicit Subject(Fault Kind) : Fault_(Kind) {}

  void read(store::RangeReply Reply) {
    for (store::KeyValue &Value : Reply.Values_)
      renumber(Value.ModRevision_);
    if (Fault_ == Fault::AppliesLowerRevisions)
      Reply.Revision_ = Arrivals_;
    if (Fault_ != Fault::KeepsDeletedKeys)
      State_.applyRange(Reply);
    else
      for (const store::KeyValue &Value : Reply.Values_)
        State_.applyPeer(
            {{Value.Key_, Value.Value_, Value.ModRevision_, false}});
  }
  void watch(store::WatchBatch Batch) {
    for (store::WatchEvent &Event : Batch.Events_)
      renumber(Event.Value_.ModRevision_);
    State_.applyWatch(Batch);
  }
  void peer(std::vector<VersionedEntry> Entries) {
    for (VersionedEntry &Entry : Entries)
      renumber(Entry.ModRevision_);
    State_.applyPeer(Entries);
  }
  std::map<std::string, std::string> values() const {
    std::map<std::string, std::string> Out;
    for (const VersionedEntry &Entry : State_.changedSince(0, SIZE_MAX))
      if (!Entry.Deleted_)
        Out[Entry.Key_] = Entry.Value_;
    return Out;
  }
  const ConfigState &state() const { return State_; }

private:
  void renumber(int64_t &Revision) {
    if (Fault_ == Fault::AppliesLowerRevisions)
      Revision = ++Arrivals_;
  }

  Fault Fault_;
  int64_t Arrivals_ = 1000;
  ConfigState State_;
};

store::WatchBatch randomBatch(base::Random &Source, const History &Past) {
  store::WatchBatch Batch;
  for (uint64_t I = Source.next() % 4; I > 0; --I)
    Batch.Events_.push_back(Past.eventAt(
        1 + static_cast<int64_t>(Source.next() % Past.changes().size())));
  return Batch;
}

void inform(Oracle &Truth, const store::WatchBatch &Batch) {
  for (const store::WatchEvent &Event : Batch.Events_)
    Truth.sawEntry(Event.Value_.Key_, Event.Value_.ModRevision_);
}

//! Feeds two instances with reads, events and each other's entries in any
//! order, repeated and with losses. Returns whether the first always had in
//! force what the oracle expects.
bool agreesWithOracle(uint64_t Seed, Fault Kind) {
  base::Random Source(Seed);
  History Past(Source, 12);
  Subject First(Kind);
  ConfigState Second;
  Oracle Truth(Past);
  for (int Step = 0; Step < 25; ++Step) {
    auto Revision =
        static_cast<int64_t>(Source.next() % (Past.changes().size() + 1));
    store::WatchBatch Batch = randomBatch(Source, Past);
    switch (Source.next() % 5) {
    case 0:
      First.read(Past.readAt(Revision));
      Truth.sawRead(Revision);
      break;
    case 1:
      First.watch(Batch);
      inform(Truth, Batch);
      break;
    case 2:
      Second.applyRange(Past.readAt(Revision));
      break;
    case 3:
      Second.applyWatch(Batch);
      break;
    default:
      auto Entries = Second.changedSince(Revision);
      First.peer(Entries);
      for (const VersionedEntry &Entry : Entries)
        Truth.sawEntry(Entry.Key_, Entry.ModRevision_);
    }
    if (First.values() != Truth.expected())
      return false;
  }
  auto Newest = static_cast<int64_t>(Past.changes().size());
  First.read(Past.readAt(Newest));
  Truth.sawRead(Newest);
  return First.values() == Truth.expected();
}

bool oracleFinds(Fault Kind) {
  for (uint64_t Seed = 1; Seed <= 200; ++Seed)
    if (!agreesWithOracle(Seed, Kind))
      return true;
  return false;
}

} // namespace

// Guards against P10 broken by late, repeated or lost reads, events and pushes.
TEST_CASE("the configuration never reverts under any order of inputs") {
  CHECK(rc::check("agrees with the oracle", [](uint64_t Seed) {
    RC_ASSERT(agreesWithOracle(Seed, Fault::None));
  }));
}

// Guards against an oracle that accepts everything.
TEST_CASE("the oracle fails for broken copies of the revision rules") {
  CHECK(oracleFinds(Fault::AppliesLowerRevisions));
  CHECK(oracleFinds(Fault::KeepsDeletedKeys));
}

// Guards against a deleted key that an older entry of a lagging peer brings
// back after a full read.
TEST_CASE("a peer cannot bring back a key that was absent in a later read") {
  ConfigState State;
  State.applyRange({{}, 10});
  std::string Key = std::string(TemplatePrefix) + "a";
  CHECK_FALSE(State.applyPeer({{Key, R"({"name":"a"})", 5, false}}));
  CHECK(State.configuration().Templates_.empty());
  CHECK(State.applyPeer({{Key, R"({"name":"a"})", 11, false}}));
  CHECK(State.revision() == 11);
}

TEST_CASE("an invalid value is counted once and the former one stays") {
  ConfigState State;
  std::string Key = std::string(TemplatePrefix) + "a";
  State.applyPeer({{Key, R"({"name":"a","priority":7})", 5, false}});
  for (const char *Value :
       {"", "[", "7", R"({"name":"b"})", R"({"name":"a","priority":101})",
        R"({"name":"a","priority":1.5})", R"({"name":"a","agreed_share":-0.1})",
        R"({"name":"a","default_deadline_ms":18446744073709551615})",
        R"({"name":"a","typo":1})", R"({"priority":1})"}) {
    CAPTURE(Value);
    uint64_t Before = State.refusedEntries();
    int64_t Revision = State.modRevision(Key) + 1;
    CHECK_FALSE(State.applyPeer({{Key, Value, Revision, false}}));
    CHECK_FALSE(State.applyPeer({{Key, Value, Revision, false}}));
    CHECK(State.refusedEntries() == Before + 1);
    CHECK(State.configuration().Templates_.at("a").Priority_ == 7);
  }
}

// Guards against a workspace that depends on the order of arrival.
TEST_CASE("a workspace takes from its template what it does not override") {
  ConfigState State;
  State.applyPeer({{std::string(WorkspacePrefix) + "w",
                    R"({"name":"w","template":"t","priority":9})", 5, false}});
  CHECK(State.configuration().Workspaces_.empty());
  std::string Key = std::string(TemplatePrefix) + "t";
  State.applyPeer(
      {{Key, R"({"name":"t","agreed_share":0.3,"priority":2})", 6, false}});
  CHECK(State.configuration().Workspaces_.at("w").AgreedShare_ == 0.3);
  CHECK(State.configuration().Workspaces_.at("w").Priority_ == 9);
  State.applyPeer({{Key, R"({"name":"t","agreed_share":0.4})", 7, false}});
  CHECK(State.configuration().Workspaces_.at("w").AgreedShare_ == 0.4);
}

TEST_CASE("entries for a peer come in order and whole transactions") {
  ConfigState State;
  std::vector<VersionedEntry> Entries;
  for (const char *Name : {"a", "b", "c"})
    Entries.push_back({std::string(TemplatePrefix) + Name,
                       std::string(R"({"name":")") + Name + R"("})",
                       Name[0] == 'a' ? 9 : 5, false});
  State.applyPeer(Entries);
  auto Part = State.changedSince(0, 1);
  REQUIRE(Part.size() == 2);
  CHECK(Part[0].ModRevision_ == 5);
  CHECK(Part[1].ModRevision_ == 5);
  CHECK(State.changedSince(5).size() == 1);
}

TEST_CASE("a change is checked against the whole configuration") {
  ConfigState State;
  State.applyPeer(
      {{DomainsKey, R"({"ibadan":{"region":"sw","state":"in-service"}})", 1,
        false},
       {std::string(TemplatePrefix) + "t", R"({"name":"t","agreed_share":0.4})",
        2, false},
       {std::string(WorkspacePrefix) + "u", R"({"name":"u","template":"t"})", 3,
        false},
       {std::string(WorkspacePrefix) + "v", R"({"name":"v","template":"t"})", 4,
        false}});
  auto Put = [&](const std::string &Key, const std::string &Value) {
    return tests::errorText(
        [&] { return validatePut(State, ConfigPrefix + Key, Value); });
  };
  CHECK(Put("workspaces/w", R"({"name":"w","template":"x"})") ==
        "field 'template': found 'x', allowed: the name of an existing "
        "template");
  CHECK(Put("workspaces/w", R"({"name":"w","template":"t"})") ==
        "the agreed shares of all workspaces add up to 1.2, allowed: at most "
        "1");
  CHECK(Put("workspaces/w",
            R"({"name":"w","template":"t","agreed_share":0.2})") == "accepted");
  CHECK(Put("templates/t", R"({"name":"t","agreed_share":0.6})") ==
        "the agreed shares of all workspaces add up to 1.2, allowed: at most "
        "1");
  CHECK(Put("templates/t", R"({"name":"s"})") ==
        "field 'name': found 's', allowed: 't', the name in the key");
  CHECK(Put("domains", R"({"sapporo":{"region":"s","state":"out"}})") ==
        "failure domain 'ibadan' is missing; a failure domain is taken out of "
        "service, never removed");
  CHECK(Put("domains", R"({"ibadan":{"region":"sw","state":"gone"}})") ==
        "field 'domains.ibadan.state': found 'gone', allowed: in-service, "
        "out, out-confirmed-dead");
  CHECK(tests::errorText([&] {
          return validateDelete(State, std::string(TemplatePrefix) + "t");
        }) == "template 't' is in use by workspace 'u'");
}

TEST_CASE("written values parse to the same values") {
  auto Workspace = parseWorkspace(
      R"({"name":"w","template":"t","agreed_share":0.25,"deferrable":true})");
  REQUIRE(Workspace.has_value());
  auto Again = parseWorkspace(writeWorkspace(*Workspace));
  REQUIRE(Again.has_value());
  CHECK(Again->AgreedShare_ == 0.25);
  CHECK(Again->Deferrable_);
  auto Domains =
      parseDomains(R"({"a":{"region":"r","state":"out-confirmed-dead"}})");
  REQUIRE(Domains.has_value());
  CHECK(writeDomains(*Domains) ==
        R"({"a":{"region":"r","state":"out-confirmed-dead"}})");
}
