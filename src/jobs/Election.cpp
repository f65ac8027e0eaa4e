#include "jobs/Election.h"

#include "base/Log.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace crocuslead::jobs {

namespace {

using nlohmann::json;

// Instances near the store run first: the delay grows with the round trip.
constexpr int DelayPerRoundTrip = 6;
constexpr auto MaxDelay = std::chrono::milliseconds(500);
constexpr uint64_t JitterMs = 40;
constexpr auto CampaignRetry = std::chrono::milliseconds(150);

std::optional<OfficeHolder> parseHolder(const std::string &Text) {
  json In = json::parse(Text, nullptr, false);
  if (!In.is_object())
    return std::nullopt;
  OfficeHolder Out;
  Out.Instance_ = In.value("instance", "");
  Out.Incarnation_ = In.value("incarnation", "");
  Out.Address_ = In.value("address", "");
  Out.Term_ = In.value("term", uint64_t{0});
  return Out;
}

uint64_t parseTerm(const store::KeyValue *Key) {
  if (Key == nullptr)
    return 0;
  json In = json::parse(Key->Value_, nullptr, false);
  return In.is_number_unsigned() ? In.get<uint64_t>() : 0;
}

} // namespace

Election::Election(store::KeyValueStore &Store, const base::Clock &Clock,
                   base::Random &Random, ElectionSettings Settings,
                   Hooks OnChange)
    : Store_(Store), Clock_(Clock), Random_(Random),
      Settings_(std::move(Settings)), Hooks_(std::move(OnChange)),
      Keys_(Store, Clock, Settings_.KeyPrefix_,
            {[this](const store::KeyValue &Value, bool Deleted) {
               changed(Value, Deleted);
             },
             [this] {
               LastContact_ = Clock_.now();
               considerKeys();
             }}),
      LastContact_(Clock.now()) {}

Election::~Election() = default;

std::string Election::holderKey() const {
  return Settings_.KeyPrefix_ + "holder";
}

std::string Election::termKey() const { return Settings_.KeyPrefix_ + "term"; }

base::Duration Election::contactAge() const {
  return Clock_.now() - LastContact_;
}

std::optional<OfficeHolder> Election::holder() const {
  const store::KeyValue *Key = Keys_.find(holderKey());
  return Key != nullptr ? parseHolder(Key->Value_) : std::nullopt;
}

void Election::changed(const store::KeyValue & /*Value*/, bool /*Deleted*/) {
  LastContact_ = Clock_.now();
  if (Keys_.loaded())
    considerKeys();
}

void Election::considerKeys() {
  uint64_t Latest = parseTerm(Keys_.find(termKey()));
  auto Holder = holder();
  if (Term_ != 0) {
    if (Latest > Term_)
      lose("later-term-in-store");
    else if (!Holder && !Campaigning_)
      holdAgain();
    return;
  }
  if (Resigned_)
    return;
  if (Holder && Holder->Incarnation_ == Settings_.Incarnation_ &&
      Holder->Term_ == Latest) {
    // The answer to the winning transaction was lost.
    won(Latest, Keys_.find(termKey())->ModRevision_);
    return;
  }
  bool Free = !Holder || Holder->Instance_ == Settings_.Instance_;
  if (!Free) {
    CampaignAt_.reset();
    return;
  }
  if (CampaignAt_)
    return;
  base::Duration Delay = std::min<base::Duration>(
      MaxDelay, RoundTrip_ * DelayPerRoundTrip +
                    std::chrono::milliseconds(Random_.below(JitterMs)));
  CampaignAt_ = Clock_.now() + Delay + Settings_.Handicap_;
}

void Election::tick() {
  Keys_.tick();
  if (Clock_.now() >= NextRenewal_ && !LeaseCall_)
    renew();
  if (CampaignAt_ && Clock_.now() >= *CampaignAt_ && Lease_ != 0 &&
      !Campaigning_ && Term_ == 0 && Keys_.current())
    campaign();
}

void Election::recheck() { Keys_.reload(); }

void Election::renew() {
  NextRenewal_ = Clock_.now() + Settings_.RenewInterval_;
  if (Lease_ == 0) {
    grantLease();
    return;
  }
  LeaseCall_ = true;
  Store_.leaseKeepAlive(
      Lease_, [this, Weak = std::weak_ptr<int>(Alive_),
               Sent = Clock_.now()](const store::StoreResult<int64_t> &Result) {
        if (Weak.expired())
          return;
        LeaseCall_ = false;
        const auto *Left = std::get_if<int64_t>(&Result);
        if (Left == nullptr)
          return;
        LastContact_ = Clock_.now();
        RoundTrip_ = (RoundTrip_ * 3 + (Clock_.now() - Sent)) / 4;
        if (*Left > 0)
          return;
        base::logEvent(base::LogLevel::Warn, "store-lease-ended",
                       {{"lease", Lease_}, {"term", Term_}});
        Lease_ = 0;
        grantLease();
      });
}

void Election::grantLease() {
  LeaseCall_ = true;
  Store_.leaseGrant(
      Settings_.LeaseTime_,
      [this, Weak = std::weak_ptr<int>(Alive_),
       Sent = Clock_.now()](const store::StoreResult<int64_t> &Result) {
        if (Weak.expired())
          return;
        LeaseCall_ = false;
        const auto *Lease = std::get_if<int64_t>(&Result);
        if (Lease == nullptr)
          return;
        LastContact_ = Clock_.now();
        RoundTrip_ = Clock_.now() - Sent;
        Lease_ = *Lease;
        if (Term_ != 0)
          holdAgain();
      });
}

std::string Election::holderValue(uint64_t Term) const {
  return json{{"instance", Settings_.Instance_},
              {"incarnation", Settings_.Incarnation_},
              {"address", Settings_.Address_},
              {"term", Term}}
      .dump();
}

void Election::campaign() {
  Campaigning_ = true;
  CampaignAt_.reset();
  const store::KeyValue *Holder = Keys_.find(holderKey());
  const store::KeyValue *TermValue = Keys_.find(termKey());
  uint64_t Term = parseTerm(TermValue) + 1;
  store::Txn Request;
  Request.Compares_ = {{holderKey(), store::CompareTarget::ModRevision,
                        Holder != nullptr ? Holder->ModRevision_ : 0},
                       {termKey(), store::CompareTarget::ModRevision,
                        TermValue != nullptr ? TermValue->ModRevision_ : 0}};
  Request.Puts_ = {{holderKey(), holderValue(Term), Lease_},
                   {termKey(), std::to_string(Term), 0}};
  Store_.txn(std::move(Request),
             [this, Weak = std::weak_ptr<int>(Alive_),
              Term](const store::StoreResult<store::TxnReply> &Result) {
               if (Weak.expired())
                 return;
               Campaigning_ = false;
               const auto *Reply = std::get_if<store::TxnReply>(&Result);
               if (Reply != nullptr && Reply->Succeeded_ && Term_ == 0)
                 won(Term, Reply->Revision_);
               else if (Term_ == 0)
                 Keys_.reload();
             });
}

// The office is kept as long as nobody began a later term.
void Election::holdAgain() {
  if (Lease_ == 0 || Campaigning_ || Resigned_)
    return;
  Campaigning_ = true;
  const store::KeyValue *Holder = Keys_.find(holderKey());
  store::Txn Request;
  Request.Compares_ = {
      {holderKey(), store::CompareTarget::ModRevision,
       Holder != nullptr ? Holder->ModRevision_ : 0},
      {termKey(), store::CompareTarget::ModRevision, TermRevision_}};
  Request.Puts_ = {{holderKey(), holderValue(Term_), Lease_}};
  Store_.txn(std::move(Request),
             [this, Weak = std::weak_ptr<int>(Alive_)](
                 const store::StoreResult<store::TxnReply> &Result) {
               if (Weak.expired())
                 return;
               Campaigning_ = false;
               const auto *Reply = std::get_if<store::TxnReply>(&Result);
               bool Held = Reply != nullptr && Reply->Succeeded_;
               base::logEvent(base::LogLevel::Warn, "office-held-again",
                              {{"term", Term_}, {"succeeded", Held}});
               if (!Held && Reply != nullptr)
                 Keys_.reload();
               else if (Reply == nullptr)
                 NextRenewal_ =
                     std::min(NextRenewal_, Clock_.now() + CampaignRetry);
             });
}

void Election::won(uint64_t Term, int64_t Revision) {
  Term_ = Term;
  TermRevision_ = Revision;
  CampaignAt_.reset();
  base::logEvent(base::LogLevel::Info, "office-won",
                 {{"term", Term},
                  {"revision", Revision},
                  {"round_trip_ms", base::toMillis(RoundTrip_)}});
  Hooks_.Elected_(Term);
}

void Election::lose(const char *Reason) {
  if (Term_ == 0)
    return;
  base::logEvent(base::LogLevel::Warn, "office-lost",
                 {{"term", Term_}, {"reason", Reason}});
  Term_ = 0;
  Hooks_.Lost_(Reason);
}

void Election::superseded() {
  lose("later-term-seen-by-a-worker-or-commit");
  Keys_.reload();
}

void Election::resign(std::function<void()> Done) {
  Resigned_ = true;
  CampaignAt_.reset();
  if (Term_ == 0) {
    Done();
    return;
  }
  const store::KeyValue *Holder = Keys_.find(holderKey());
  lose("resigned");
  store::Txn Request;
  Request.Compares_ = {
      {termKey(), store::CompareTarget::ModRevision, TermRevision_}};
  if (Holder != nullptr)
    Request.Deletes_ = {{holderKey(), ""}};
  Store_.txn(
      std::move(Request),
      [Done = std::move(Done)](const store::StoreResult<store::TxnReply> &) {
        // Without an answer the lease ends the office.
        Done();
      });
}

} // namespace crocuslead::jobs
