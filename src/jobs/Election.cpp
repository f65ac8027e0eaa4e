#include "jobs/Election.h"

#include "base/Log.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace crocuslead::jobs {

namespace {

using nlohmann::json;

// The delay before a campaign grows with the round trip to the store, so that
// instances close to the store campaign first.
constexpr int CampaignDelayPerRoundTrip = 6;
constexpr auto MaxCampaignDelay = std::chrono::milliseconds(500);
constexpr uint64_t CampaignJitterMs = 40;
constexpr auto ReclaimRetryDelay = std::chrono::milliseconds(150);
constexpr auto ReleaseRetryDelay = std::chrono::milliseconds(250);

std::optional<LeaderInfo> parseLeader(const std::string &Text) {
  json In = json::parse(Text, nullptr, false);
  auto IsText = [&](const char *Name) {
    return In.contains(Name) && In[Name].is_string();
  };
  if (!In.is_object() || !IsText("instance") || !IsText("incarnation") ||
      !IsText("address") || !In.contains("term") ||
      !In["term"].is_number_unsigned())
    return std::nullopt;
  return LeaderInfo{In["instance"], In["incarnation"], In["address"],
                    In["term"]};
}

uint64_t parseTerm(const store::KeyValue *Key) {
  if (Key == nullptr)
    return 0;
  json In = json::parse(Key->Value_, nullptr, false);
  return In.is_number_unsigned() ? In.get<uint64_t>() : 0;
}

struct TermRange {
  uint64_t First_ = 0;
  uint64_t Last_ = 0;
};

std::optional<TermRange> parseTermRange(const store::KeyValue *Key) {
  if (Key == nullptr)
    return std::nullopt;
  json In = json::parse(Key->Value_, nullptr, false);
  if (!In.is_array() || In.size() != 2 || !In[0].is_number_unsigned() ||
      !In[1].is_number_unsigned())
    return std::nullopt;
  TermRange Out{In[0].get<uint64_t>(), In[1].get<uint64_t>()};
  if (Out.First_ == 0 || Out.First_ > Out.Last_)
    return std::nullopt;
  return Out;
}

} // namespace

Election::Election(store::KeyValueStore &Store, const base::Clock &Clock,
                   base::Random &Random, ElectionSettings Settings,
                   Hooks OnChange)
    : Store_(Store), Clock_(Clock), Random_(Random),
      Settings_(std::move(Settings)), Hooks_(std::move(OnChange)),
      Keys_(Store, Clock, Settings_.KeyPrefix_,
            {[this](const store::KeyValue &Value, bool Deleted) {
               keyChanged(Value, Deleted);
             },
             [this] {
               LastStoreContact_ = Clock_.now();
               evaluateKeys();
             }}),
      LastStoreContact_(Clock.now()) {}

Election::~Election() = default;

std::string Election::leaderKey() const {
  return Settings_.KeyPrefix_ + "holder";
}

std::string Election::termKey() const { return Settings_.KeyPrefix_ + "term"; }

std::string Election::unusedTermsKey() const {
  return Settings_.KeyPrefix_ + "unused-terms";
}

// A record that the watch has not brought yet makes a term count as used, which
// is safe.
uint64_t Election::lastUsedTermBefore(uint64_t Term) const {
  auto Unused = parseTermRange(Keys_.find(unusedTermsKey()));
  uint64_t First = firstTokenOf(Term);
  return (Unused && Unused->Last_ + 1 == First ? Unused->First_ : First) - 1;
}

store::Put Election::unusedTermsRecord(uint64_t Term) const {
  return {unusedTermsKey(), json{lastUsedTermBefore(Term) + 1, Term}.dump(), 0};
}

base::Duration Election::timeSinceStoreContact() const {
  return Clock_.now() - LastStoreContact_;
}

std::optional<LeaderInfo> Election::leader() const {
  const store::KeyValue *Key = Keys_.find(leaderKey());
  return Key != nullptr ? parseLeader(Key->Value_) : std::nullopt;
}

void Election::keyChanged(const store::KeyValue & /*Value*/, bool /*Deleted*/) {
  LastStoreContact_ = Clock_.now();
  if (Keys_.loaded())
    evaluateKeys();
}

void Election::evaluateKeys() {
  uint64_t LatestTerm = parseTerm(Keys_.find(termKey()));
  auto Leader = leader();
  if (Term_ != 0) {
    if (LatestTerm > Term_)
      loseLeadership("later-term-in-store");
    else if (!Leader && !TxnInFlight_)
      reclaimLeadership();
    return;
  }
  // This instance won, but the reply to its transaction was lost.
  bool Won = Leader && Leader->Incarnation_ == Settings_.Incarnation_ &&
             Leader->Term_ == LatestTerm;
  if (Resigned_) {
    if (Won && LatestTerm > LastTerm_ && !TxnInFlight_ && !Release_)
      releaseLeaderKey(LatestTerm, Keys_.find(termKey())->ModRevision_,
                       {unusedTermsRecord(LatestTerm)}, [] {});
    return;
  }
  if (Won) {
    becomeLeader(LatestTerm, Keys_.find(termKey())->ModRevision_);
    return;
  }
  bool Vacant = !Leader || Leader->Instance_ == Settings_.Instance_;
  if (!Vacant) {
    CampaignAt_.reset();
    return;
  }
  if (CampaignAt_)
    return;
  base::Duration Delay = std::min<base::Duration>(
      MaxCampaignDelay,
      RoundTrip_ * CampaignDelayPerRoundTrip +
          std::chrono::milliseconds(Random_.below(CampaignJitterMs)));
  CampaignAt_ = Clock_.now() + Delay + Settings_.CampaignDelay_;
}

void Election::tick() {
  Keys_.tick();
  if (Clock_.now() >= NextRenewal_ && !LeaseCallInFlight_)
    renewLease();
  if (CampaignAt_ && Clock_.now() >= *CampaignAt_ && LeaseId_ != 0 &&
      !TxnInFlight_ && Term_ == 0 && Keys_.current())
    campaign();
  if (Release_ && !Release_->InFlight_ &&
      Clock_.now() >= Release_->NextAttempt_)
    sendRelease();
}

void Election::reloadKeys() { Keys_.reload(); }

void Election::renewLease() {
  NextRenewal_ = Clock_.now() + Settings_.RenewInterval_;
  if (LeaseId_ == 0) {
    grantLease();
    return;
  }
  LeaseCallInFlight_ = true;
  Store_.leaseKeepAlive(
      LeaseId_,
      [this, Weak = std::weak_ptr<int>(Alive_),
       SentAt = Clock_.now()](const store::StoreResult<int64_t> &Result) {
        if (Weak.expired())
          return;
        LeaseCallInFlight_ = false;
        const auto *RemainingTtl = std::get_if<int64_t>(&Result);
        if (RemainingTtl == nullptr)
          return;
        LastStoreContact_ = Clock_.now();
        RoundTrip_ = (RoundTrip_ * 3 + (Clock_.now() - SentAt)) / 4;
        if (*RemainingTtl > 0)
          return;
        base::logEvent(base::LogLevel::Warn, "store-lease-ended",
                       {{"lease", LeaseId_}, {"term", Term_}});
        LeaseId_ = 0;
        grantLease();
      });
}

void Election::grantLease() {
  LeaseCallInFlight_ = true;
  Store_.leaseGrant(
      Settings_.LeaseTime_,
      [this, Weak = std::weak_ptr<int>(Alive_),
       SentAt = Clock_.now()](const store::StoreResult<int64_t> &Result) {
        if (Weak.expired())
          return;
        LeaseCallInFlight_ = false;
        const auto *GrantedLease = std::get_if<int64_t>(&Result);
        if (GrantedLease == nullptr)
          return;
        LastStoreContact_ = Clock_.now();
        RoundTrip_ = Clock_.now() - SentAt;
        LeaseId_ = *GrantedLease;
        if (Term_ != 0)
          reclaimLeadership();
      });
}

std::string Election::leaderValue(uint64_t Term) const {
  return json{{"instance", Settings_.Instance_},
              {"incarnation", Settings_.Incarnation_},
              {"address", Settings_.Address_},
              {"term", Term}}
      .dump();
}

void Election::campaign() {
  TxnInFlight_ = true;
  CampaignAt_.reset();
  const store::KeyValue *Leader = Keys_.find(leaderKey());
  const store::KeyValue *TermValue = Keys_.find(termKey());
  uint64_t Term = parseTerm(TermValue) + Settings_.TokensPerTerm_;
  store::Txn Request;
  Request.Compares_ = {{leaderKey(), store::CompareTarget::ModRevision,
                        Leader != nullptr ? Leader->ModRevision_ : 0},
                       {termKey(), store::CompareTarget::ModRevision,
                        TermValue != nullptr ? TermValue->ModRevision_ : 0}};
  Request.Puts_ = {{leaderKey(), leaderValue(Term), LeaseId_},
                   {termKey(), std::to_string(Term), 0}};
  Store_.txn(std::move(Request),
             [this, Weak = std::weak_ptr<int>(Alive_),
              Term](const store::StoreResult<store::TxnReply> &Result) {
               if (Weak.expired())
                 return;
               TxnInFlight_ = false;
               const auto *Reply = std::get_if<store::TxnReply>(&Result);
               bool Won = Reply != nullptr && Reply->Succeeded_;
               if (Won && Resigned_)
                 releaseLeaderKey(Term, Reply->Revision_,
                                  {unusedTermsRecord(Term)}, [] {});
               else if (Won && Term_ == 0)
                 becomeLeader(Term, Reply->Revision_);
               else if (Term_ == 0)
                 Keys_.reload();
             });
}

// Writes the leader key again. Succeeds only if no later term has begun.
void Election::reclaimLeadership() {
  if (LeaseId_ == 0 || TxnInFlight_ || Resigned_)
    return;
  TxnInFlight_ = true;
  const store::KeyValue *Leader = Keys_.find(leaderKey());
  store::Txn Request;
  Request.Compares_ = {
      {leaderKey(), store::CompareTarget::ModRevision,
       Leader != nullptr ? Leader->ModRevision_ : 0},
      {termKey(), store::CompareTarget::ModRevision, TermRevision_}};
  Request.Puts_ = {{leaderKey(), leaderValue(Term_), LeaseId_}};
  Store_.txn(std::move(Request),
             [this, Weak = std::weak_ptr<int>(Alive_)](
                 const store::StoreResult<store::TxnReply> &Result) {
               if (Weak.expired())
                 return;
               TxnInFlight_ = false;
               const auto *Reply = std::get_if<store::TxnReply>(&Result);
               bool Reclaimed = Reply != nullptr && Reply->Succeeded_;
               base::logEvent(base::LogLevel::Warn, "office-held-again",
                              {{"term", Term_}, {"succeeded", Reclaimed}});
               if (!Reclaimed && Reply != nullptr)
                 Keys_.reload();
               else if (Reply == nullptr)
                 NextRenewal_ =
                     std::min(NextRenewal_, Clock_.now() + ReclaimRetryDelay);
             });
}

void Election::becomeLeader(uint64_t Term, int64_t Revision) {
  Term_ = LastTerm_ = Term;
  TermRevision_ = Revision;
  CampaignAt_.reset();
  base::logEvent(base::LogLevel::Info, "office-won",
                 {{"term", Term},
                  {"revision", Revision},
                  {"round_trip_ms", base::toMillis(RoundTrip_)}});
  Hooks_.Elected_(Term);
}

void Election::loseLeadership(const char *Reason) {
  if (Term_ == 0)
    return;
  base::logEvent(base::LogLevel::Warn, "office-lost",
                 {{"term", Term_}, {"reason", Reason}});
  Term_ = 0;
  Hooks_.Lost_(Reason);
}

void Election::stepDown() {
  loseLeadership("later-term-seen-by-a-worker-or-commit");
  Keys_.reload();
}

void Election::resign(std::function<void()> Done, Resignation Left) {
  Resigned_ = true;
  CampaignAt_.reset();
  if (Term_ == 0) {
    Done();
    return;
  }
  if (!Left.TermUsed_)
    Left.Records_.push_back(unusedTermsRecord(Term_));
  uint64_t Term = Term_;
  loseLeadership("resigned");
  releaseLeaderKey(Term, TermRevision_, std::move(Left.Records_),
                   std::move(Done));
}

// Only while the term is the latest, so that no later leader's key is removed.
// The term's key is written again, unchanged: no request of this term that is
// executed late, such as a reclaim of the leader key, finds its revision.
void Election::releaseLeaderKey(uint64_t Term, int64_t TermRevision,
                                std::vector<store::Put> Records,
                                std::function<void()> Done) {
  Release_ = Release();
  Release_->Term_ = Term;
  Release_->Done_ = std::move(Done);
  store::Txn &Request = Release_->Request_;
  Request.Compares_ = {
      {termKey(), store::CompareTarget::ModRevision, TermRevision}};
  Request.Deletes_ = {{leaderKey(), ""}};
  Request.Puts_ = std::move(Records);
  Request.Puts_.push_back({termKey(), std::to_string(Term), 0});
  sendRelease();
}

// A repeated request carries the same records. What they say holds for longer
// the later they are read.
void Election::sendRelease() {
  Release_->InFlight_ = true;
  ++Release_->Attempts_;
  Store_.txn(Release_->Request_,
             [this, Weak = std::weak_ptr<int>(Alive_)](
                 const store::StoreResult<store::TxnReply> &Result) {
               if (Weak.expired())
                 return;
               const auto *Failure = std::get_if<store::StoreError>(&Result);
               if (Failure != nullptr) {
                 Release_->InFlight_ = false;
                 Release_->NextAttempt_ = Clock_.now() + ReleaseRetryDelay;
                 base::logEvent(base::LogLevel::Warn, "resignation-unanswered",
                                {{"term", Release_->Term_},
                                 {"attempts", Release_->Attempts_},
                                 {"reason", Failure->Message_}});
                 return;
               }
               // A condition that does not hold shows that a former attempt
               // took effect, or that a later term has begun.
               auto Done = std::move(Release_->Done_);
               Release_.reset();
               Done();
             });
}

} // namespace crocuslead::jobs
