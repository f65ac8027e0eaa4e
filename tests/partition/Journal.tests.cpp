#include "World.h"
#include "partition/internal/Codec.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace crocuslead;
using namespace crocuslead::partition;
using namespace crocuslead::partition::test;

namespace {

const std::string Prefix = "/crocuslead/partitions/p1/";

//! A partition whose store calls are answered by hand.
struct Hand {
  explicit Hand(uint32_t SnapshotAfterBatches = 256) {
    Store_.Revision_ = 100;
    Store_.put(Prefix + "owner", "x");
    Store_.put("d", "in");
    Settings_.Id_ = "p1";
    Settings_.Epoch_ = 100;
    Settings_.OwnerKey_ = Prefix + "owner";
    Settings_.DomainsKey_ = "d";
    Settings_.SnapshotAfterBatches_ = SnapshotAfterBatches;
    Partition_ = std::make_unique<Partition>(Settings_);
    REQUIRE(Partition_->recover({}, now(), wall()));
    configure();
  }
  void configure() {
    config::Configuration Config;
    Config.Workspaces_["guild"].AgreedShare_ = 1;
    Config.DomainsRevision_ = Store_.Data_["d"].ModRevision_;
    Partition_->configure(Config, {1000, 1000, 0}, now());
  }
  base::TimePoint now() const {
    return base::TimePoint(std::chrono::milliseconds(NowMs_));
  }
  base::WallTime wall() const {
    return base::WallTime(std::chrono::milliseconds(WallMs_ + NowMs_));
  }
  void submit(const std::string &Id) {
    Partition_->submit(1, batchJob(Id, 1), now(), wall());
  }
  //! Actions of one kind since the last call.
  template <typename T> std::vector<T> tick() {
    NowMs_ += 100;
    Partition_->recordStoreContact(now());
    Partition_->tick(now(), wall());
    return take<T>();
  }
  template <typename T> std::vector<T> take() {
    std::vector<T> Out;
    for (Action &Value : Partition_->takeActions())
      if (auto *One = std::get_if<T>(&Value))
        Out.push_back(std::move(*One));
    return Out;
  }
  //! Commits what is staged; the applied transactions.
  std::vector<store::Txn> commitAll() {
    std::vector<store::Txn> Out;
    for (int I = 0; I < 4; ++I)
      for (const CommitAction &One : tick<CommitAction>()) {
        REQUIRE(Store_.txn(One.Txn_));
        Partition_->commitDone(One.Sequence_, CommitStatus::Committed, now());
        Out.push_back(One.Txn_);
      }
    return Out;
  }
  std::optional<store::KeyValue> read(const std::string &Key) const {
    auto Found = Store_.Data_.find(Key);
    if (Found == Store_.Data_.end())
      return std::nullopt;
    return Found->second;
  }

  FakeStore Store_;
  PartitionSettings Settings_;
  std::unique_ptr<Partition> Partition_;
  int64_t NowMs_ = 1000;
  int64_t WallMs_ = 1'780'000'000'000;
};

} // namespace

TEST_CASE("a commit whose answer is lost is read back and applied once") {
  Hand H;
  H.submit("a");
  auto First = H.tick<CommitAction>();
  REQUIRE(First.size() == 1);
  H.Partition_->commitDone(First[0].Sequence_, CommitStatus::Uncertain,
                           H.now());
  auto Read = H.take<ReadBackAction>();
  REQUIRE(Read.size() == 1);
  SUBCASE("absent: the same batch is written again") {
    H.Partition_->readBackDone(Read[0].Sequence_, std::nullopt, H.now());
    auto Again = H.tick<CommitAction>();
    REQUIRE(Again.size() == 1);
    CHECK(Again[0].Txn_.Puts_[0].Value_ == First[0].Txn_.Puts_[0].Value_);
    // The delayed first one arrives before the second.
    CHECK(H.Store_.txn(First[0].Txn_));
    CHECK_FALSE(H.Store_.txn(Again[0].Txn_));
    H.Partition_->commitDone(Again[0].Sequence_, CommitStatus::CompareFailed,
                             H.now());
    Read = H.take<ReadBackAction>();
    REQUIRE(Read.size() == 1);
  }
  SUBCASE("present: it was committed") { CHECK(H.Store_.txn(First[0].Txn_)); }
  H.Partition_->readBackDone(Read[0].Sequence_, H.read(Read[0].Key_), H.now());
  CHECK(H.take<AnswerAction>().size() == 1);
  CHECK(H.Partition_->isQuiescent());
}

// Guards against an owner that goes on after another one has taken over.
TEST_CASE("a batch refused by the owner key ends the epoch") {
  Hand H;
  H.submit("a");
  auto First = H.tick<CommitAction>();
  H.Store_.Data_.erase(Prefix + "owner");
  CHECK_FALSE(H.Store_.txn(First[0].Txn_));
  H.Partition_->commitDone(First[0].Sequence_, CommitStatus::CompareFailed,
                           H.now());
  auto Read = H.take<ReadBackAction>();
  REQUIRE(Read.size() == 1);
  H.Partition_->readBackDone(Read[0].Sequence_, std::nullopt, H.now());
  CHECK(H.take<FencedAction>().size() == 1);
  CHECK(H.tick<CommitAction>().empty());
}

// Fault found in review: compaction deletes the journal key that the batch
// compares, so a duplicate that the network delayed could bring back an old
// snapshot. Every batch also compares the version of the snapshot key.
TEST_CASE("a delayed duplicate of an old batch does not apply after "
          "compaction") {
  Hand H(2);
  std::vector<store::Txn> Sent;
  for (int I = 0; I < 12; ++I) {
    H.submit("j" + std::to_string(I));
    for (const store::Txn &One : H.commitAll())
      Sent.push_back(One);
  }
  CHECK(Sent.size() >= 12);
  for (const store::Txn &One : Sent)
    CHECK_FALSE(H.Store_.txn(One));
  Partition Copy(H.Settings_);
  REQUIRE(Copy.recover(H.Store_.range(Prefix), H.now(), H.wall()));
  CHECK(Copy.jobs().size() == 12);
}

TEST_CASE("a snapshot above the value limit is split and recovered whole") {
  Hand H(2);
  for (int Round = 0; Round < 4; ++Round) {
    for (int I = 0; I < 2000; ++I)
      H.submit(std::string(180, 'x') + std::to_string(Round * 10'000 + I));
    H.commitAll();
  }
  H.submit("last");
  H.commitAll();
  std::size_t Parts = 0;
  for (const store::KeyValue &One : H.Store_.range(Prefix + "snapshot")) {
    CHECK(One.Value_.size() <= 900'000);
    ++Parts;
  }
  CHECK(Parts > 1);
  Partition Copy(H.Settings_);
  REQUIRE(Copy.recover(H.Store_.range(Prefix), H.now(), H.wall()));
  CHECK(Copy.jobs().size() == 8001);
}

TEST_CASE("a missing or damaged journal key fails the recovery") {
  Hand H;
  for (int I = 0; I < 3; ++I) {
    H.submit("j" + std::to_string(I));
    H.commitAll();
  }
  auto Keys = H.Store_.range(Prefix + "journal/");
  REQUIRE(Keys.size() > 2);
  SUBCASE("missing") { Keys.erase(Keys.begin() + 1); }
  SUBCASE("damaged") { Keys[1].Value_.resize(Keys[1].Value_.size() / 2); }
  Partition Copy(H.Settings_);
  CHECK_FALSE(Copy.recover(Keys, H.now(), H.wall()));
}

TEST_CASE("ended jobs are kept for 24 hours") {
  Hand H;
  H.submit("a");
  H.commitAll();
  H.Partition_->cancel(2, "a", H.now());
  H.commitAll();
  CHECK(H.Partition_->job("a")->State_ == JobState::Cancelled);
  H.NowMs_ += 23 * 3'600'000;
  H.Partition_->setWorkers({}, H.now());
  H.commitAll();
  CHECK(H.Partition_->job("a").has_value());
  H.NowMs_ += 2 * 3'600'000;
  H.commitAll();
  CHECK_FALSE(H.Partition_->job("a").has_value());
}

// Guards against settlement that books work on the wrong month.
TEST_CASE("usage is divided at the month's end") {
  CHECK(periodOf(1'798'761'599'999) == "2026-12");
  CHECK(nextPeriodStart(1'798'761'599'999) == 1'798'761'600'000);
  CHECK(periodOf(1'798'761'600'000) == "2027-01");
  Hand H;
  H.WallMs_ = 1'798'761'600'000 - 3'600'000;
  cluster::InstanceEntry Worker;
  Worker.Id_ = Worker.AgentAddress_ = "w0";
  Worker.Capacity_ = {1000, 1000, 0};
  H.Partition_->setWorkers({Worker}, H.now());
  H.commitAll();
  H.NowMs_ += 2 * 3'600'000;
  H.commitAll();
  auto Rows = H.Partition_->usage();
  REQUIRE(Rows.size() == 2);
  CHECK(Rows[0].Period_ == "2026-12");
  CHECK(Rows[0].GrantedCpuMillis_ > 3'590'000);
  CHECK(Rows[0].GrantedCpuMillis_ < 3'600'001);
  CHECK(Rows[1].GrantedCpuMillis_ >= 3'600'000);
}

TEST_CASE("entries and job records keep their values through CBOR") {
  rc::check([] {
    auto Text = rc::gen::container<std::string>(rc::gen::inRange('a', 'z'));
    JournalEntry Value;
    Value.Kind_ = static_cast<EntryKind>(*rc::gen::inRange(3, 14));
    if (Value.Kind_ == EntryKind::Accepted)
      Value.Kind_ = EntryKind::Start;
    Value.Job_ = *Text;
    Value.Task_ = *rc::gen::arbitrary<uint32_t>();
    Value.Attempt_ = *rc::gen::arbitrary<uint32_t>();
    Value.TimeMs_ = *rc::gen::arbitrary<int64_t>();
    Value.Text_ = *Text;
    Value.Number_ = *rc::gen::arbitrary<int64_t>();
    Value.EstimatedCpuMillis_ = *rc::gen::arbitrary<int64_t>();
    Value.GrantedByWorkspace_ = {{*Text, 3}};
    std::string Bytes = encodeBatch(7, {encodeEntry(Value)});
    auto Back = decodeBatch(Bytes);
    RC_ASSERT(Back && Back->Nonce_ == 7U && Back->Entries_.size() == 1U);
    RC_ASSERT(encodeEntry(Back->Entries_[0]) == encodeEntry(Value));
    JobRecord Job;
    Job.Spec_ = batchJob(*Text, 3);
    Job.TransferNumber_ = *rc::gen::arbitrary<uint64_t>();
    Job.Tasks_.resize(*rc::gen::inRange(0, 5));
    for (TaskRecord &Task : Job.Tasks_)
      Task.Attempt_ = *rc::gen::inRange(0U, 2U);
    auto Record = decodeJob(encodeJob(Job));
    RC_ASSERT(Record && encodeJob(*Record) == encodeJob(Job));
    RC_ASSERT(Record->Tasks_.size() == Job.Tasks_.size());
    // Damaged bytes are refused or decoded, and never end the process.
    Bytes[*rc::gen::inRange<std::size_t>(0, Bytes.size())] =
        *rc::gen::arbitrary<char>();
    (void)decodeBatch(Bytes);
    (void)decodeJob(Bytes);
  });
}
