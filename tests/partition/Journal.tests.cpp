#include "World.h"
#include "partition/internal/Codec.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace crocuslead;
using namespace crocuslead::partition;
using namespace crocuslead::partition::test;

namespace {

const std::string Prefix = "/crocuslead/partitions/p1/";

//! A partition whose store calls the test answers explicitly.
struct PartitionFixture {
  explicit PartitionFixture(uint32_t SnapshotAfterBatches = 256) {
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
  //! Advances the clock by 100 ms, ticks the partition and returns its actions
  //! of type T. Actions of other types are discarded.
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
  //! Commits all staged entries; returns the applied transactions.
  std::vector<store::Txn> commitStaged() {
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

TEST_CASE("a commit whose answer is lost is read back and applied only once") {
  PartitionFixture Fixture;
  Fixture.submit("a");
  auto Commits = Fixture.tick<CommitAction>();
  REQUIRE(Commits.size() == 1);
  Fixture.Partition_->commitDone(Commits[0].Sequence_, CommitStatus::Uncertain,
                                 Fixture.now());
  auto Reads = Fixture.take<ReadBackAction>();
  REQUIRE(Reads.size() == 1);
  SUBCASE("absent: the same batch is written again") {
    Fixture.Partition_->readBackDone(Reads[0].Sequence_, std::nullopt,
                                     Fixture.now());
    auto Retries = Fixture.tick<CommitAction>();
    REQUIRE(Retries.size() == 1);
    CHECK(Retries[0].Txn_.Puts_[0].Value_ == Commits[0].Txn_.Puts_[0].Value_);
    // The delayed first transaction arrives before the second one.
    CHECK(Fixture.Store_.txn(Commits[0].Txn_));
    CHECK_FALSE(Fixture.Store_.txn(Retries[0].Txn_));
    Fixture.Partition_->commitDone(Retries[0].Sequence_,
                                   CommitStatus::CompareFailed, Fixture.now());
    Reads = Fixture.take<ReadBackAction>();
    REQUIRE(Reads.size() == 1);
  }
  SUBCASE("present: it was committed") {
    CHECK(Fixture.Store_.txn(Commits[0].Txn_));
  }
  Fixture.Partition_->readBackDone(Reads[0].Sequence_,
                                   Fixture.read(Reads[0].Key_), Fixture.now());
  CHECK(Fixture.take<AnswerAction>().size() == 1);
  CHECK(Fixture.Partition_->isQuiescent());
}

// Guards against an owner that keeps making decisions after another instance
// has taken the partition over.
TEST_CASE("a batch refused because the owner key is gone ends the epoch") {
  PartitionFixture Fixture;
  Fixture.submit("a");
  auto Commits = Fixture.tick<CommitAction>();
  Fixture.Store_.Data_.erase(Prefix + "owner");
  CHECK_FALSE(Fixture.Store_.txn(Commits[0].Txn_));
  Fixture.Partition_->commitDone(Commits[0].Sequence_,
                                 CommitStatus::CompareFailed, Fixture.now());
  auto Reads = Fixture.take<ReadBackAction>();
  REQUIRE(Reads.size() == 1);
  Fixture.Partition_->readBackDone(Reads[0].Sequence_, std::nullopt,
                                   Fixture.now());
  CHECK(Fixture.take<FencedAction>().size() == 1);
  CHECK(Fixture.tick<CommitAction>().empty());
}

// Guards against a fault found in review: compaction deletes the journal key
// that a batch compares, so a duplicate delayed by the network could restore an
// old snapshot. Every batch therefore also compares the version of the snapshot
// key.
TEST_CASE("a delayed duplicate of an old batch is not applied after "
          "compaction") {
  PartitionFixture Fixture(2);
  std::vector<store::Txn> Sent;
  for (int I = 0; I < 12; ++I) {
    Fixture.submit("j" + std::to_string(I));
    for (const store::Txn &One : Fixture.commitStaged())
      Sent.push_back(One);
  }
  CHECK(Sent.size() >= 12);
  for (const store::Txn &One : Sent)
    CHECK_FALSE(Fixture.Store_.txn(One));
  Partition Recovered(Fixture.Settings_);
  REQUIRE(Recovered.recover(Fixture.Store_.range(Prefix), Fixture.now(),
                            Fixture.wall()));
  CHECK(Recovered.jobs().size() == 12);
}

TEST_CASE(
    "a snapshot above the value size limit is split and recovered completely") {
  PartitionFixture Fixture(2);
  for (int Round = 0; Round < 4; ++Round) {
    for (int I = 0; I < 2000; ++I)
      Fixture.submit(std::string(180, 'x') +
                     std::to_string(Round * 10'000 + I));
    Fixture.commitStaged();
  }
  Fixture.submit("last");
  Fixture.commitStaged();
  std::size_t PartCount = 0;
  for (const store::KeyValue &One : Fixture.Store_.range(Prefix + "snapshot")) {
    CHECK(One.Value_.size() <= 900'000);
    ++PartCount;
  }
  CHECK(PartCount > 1);
  Partition Recovered(Fixture.Settings_);
  REQUIRE(Recovered.recover(Fixture.Store_.range(Prefix), Fixture.now(),
                            Fixture.wall()));
  CHECK(Recovered.jobs().size() == 8001);
}

TEST_CASE("recovery fails when a journal key is missing or damaged") {
  PartitionFixture Fixture;
  for (int I = 0; I < 3; ++I) {
    Fixture.submit("j" + std::to_string(I));
    Fixture.commitStaged();
  }
  auto Keys = Fixture.Store_.range(Prefix + "journal/");
  REQUIRE(Keys.size() > 2);
  SUBCASE("missing") { Keys.erase(Keys.begin() + 1); }
  SUBCASE("damaged") { Keys[1].Value_.resize(Keys[1].Value_.size() / 2); }
  Partition Recovered(Fixture.Settings_);
  CHECK_FALSE(Recovered.recover(Keys, Fixture.now(), Fixture.wall()));
}

TEST_CASE("ended jobs are kept for 24 hours") {
  PartitionFixture Fixture;
  Fixture.submit("a");
  Fixture.commitStaged();
  Fixture.Partition_->cancel(2, "a", Fixture.now());
  Fixture.commitStaged();
  CHECK(Fixture.Partition_->job("a")->State_ == JobState::Cancelled);
  Fixture.NowMs_ += 23 * 3'600'000;
  Fixture.Partition_->setWorkers({}, Fixture.now());
  Fixture.commitStaged();
  CHECK(Fixture.Partition_->job("a").has_value());
  Fixture.NowMs_ += 2 * 3'600'000;
  Fixture.commitStaged();
  CHECK_FALSE(Fixture.Partition_->job("a").has_value());
}

// Guards against a settlement that assigns usage to the wrong month.
TEST_CASE("usage is split between periods at the end of a month") {
  CHECK(periodOf(1'798'761'599'999) == "2026-12");
  CHECK(nextPeriodStart(1'798'761'599'999) == 1'798'761'600'000);
  CHECK(periodOf(1'798'761'600'000) == "2027-01");
  PartitionFixture Fixture;
  Fixture.WallMs_ = 1'798'761'600'000 - 3'600'000;
  cluster::InstanceEntry Worker;
  Worker.Id_ = Worker.AgentAddress_ = "w0";
  Worker.Capacity_ = {1000, 1000, 0};
  Fixture.Partition_->setWorkers({Worker}, Fixture.now());
  Fixture.commitStaged();
  Fixture.NowMs_ += 2 * 3'600'000;
  Fixture.commitStaged();
  auto Rows = Fixture.Partition_->usage();
  REQUIRE(Rows.size() == 2);
  CHECK(Rows[0].Period_ == "2026-12");
  CHECK(Rows[0].GrantedCpuMillis_ > 3'590'000);
  CHECK(Rows[0].GrantedCpuMillis_ < 3'600'001);
  CHECK(Rows[1].GrantedCpuMillis_ >= 3'600'000);
}

TEST_CASE("entries and job records survive a CBOR round trip") {
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
    auto Decoded = decodeBatch(Bytes);
    RC_ASSERT(Decoded && Decoded->Nonce_ == 7U &&
              Decoded->Entries_.size() == 1U);
    RC_ASSERT(encodeEntry(Decoded->Entries_[0]) == encodeEntry(Value));
    JobRecord Job;
    Job.Spec_ = batchJob(*Text, 3);
    Job.TransferNumber_ = *rc::gen::arbitrary<uint64_t>();
    Job.Tasks_.resize(*rc::gen::inRange(0, 5));
    for (TaskRecord &Task : Job.Tasks_)
      Task.Attempt_ = *rc::gen::inRange(0U, 2U);
    auto DecodedJob = decodeJob(encodeJob(Job));
    RC_ASSERT(DecodedJob && encodeJob(*DecodedJob) == encodeJob(Job));
    RC_ASSERT(DecodedJob->Tasks_.size() == Job.Tasks_.size());
    // Damaged bytes may be rejected or decoded, but must not crash the process.
    Bytes[*rc::gen::inRange<std::size_t>(0, Bytes.size())] =
        *rc::gen::arbitrary<char>();
    (void)decodeBatch(Bytes);
    (void)decodeJob(Bytes);
  });
}
