#include "config/ConfigState.h"

#include "base/NameTable.h"
#include "config/internal/FieldCheck.h"
#include <nlohmann/json.hpp>
#include <variant>

namespace crocuslead::config {

namespace {

using namespace internal;
using nlohmann::json;

using MaybeProblem = std::optional<FieldProblem>;

//! Far above any value in use; keeps a damaged entry from costing memory.
constexpr std::size_t MaxValueBytes = 64U << 10U;
constexpr std::size_t MaxDomains = 256;

template <typename Record> struct TextMember {
  std::string Record::*Member_;
  const TextRule *Rule_;
};
template <typename Record> struct IntMember {
  int64_t Record::*Member_;
  Limits<int64_t> Range_;
};
template <typename Record> struct SmallIntMember {
  int Record::*Member_;
  Limits<int64_t> Range_;
};
template <typename Record> struct RealMember {
  double Record::*Member_;
  Limits<double> Range_;
};
template <typename Record> struct BoolMember { bool Record::*Member_; };

template <typename Record> struct JsonField {
  const char *Name_;
  std::variant<TextMember<Record>, IntMember<Record>, SmallIntMember<Record>,
               RealMember<Record>, BoolMember<Record>>
      Target_;
  bool Required_ = false;
};

//! Parameters that templates and workspaces share.
template <typename Record> std::vector<JsonField<Record>> parameterTable() {
  using R = Record;
  return {
      {"agreed_share", RealMember<R>{&R::AgreedShare_, {0, 1}}},
      {"priority", SmallIntMember<R>{&R::Priority_, {0, 100}}},
      {"deferrable", BoolMember<R>{&R::Deferrable_}},
      {"service", TextMember<R>{&R::Service_, &NameOrEmptyRule}},
      {"max_concurrent_requests",
       IntMember<R>{&R::MaxConcurrentRequests_, {0, 1'000'000}}},
      {"default_deadline_ms",
       IntMember<R>{&R::DefaultDeadlineMs_, {1, 600'000}}},
  };
}

const std::vector<JsonField<Template>> &templateTable() {
  static const auto Table = [] {
    auto Rows = parameterTable<Template>();
    Rows.push_back(
        {"name", TextMember<Template>{&Template::Name_, &NameRule}, true});
    return Rows;
  }();
  return Table;
}

const std::vector<JsonField<Workspace>> &workspaceTable() {
  static const auto Table = [] {
    auto Rows = parameterTable<Workspace>();
    Rows.push_back(
        {"name", TextMember<Workspace>{&Workspace::Name_, &NameRule}, true});
    Rows.push_back({"template",
                    TextMember<Workspace>{&Workspace::Template_, &NameRule},
                    true});
    return Rows;
  }();
  return Table;
}

constexpr auto StateNames = base::makeNameTable<DomainState>(
    {{DomainState::InService, "in-service"},
     {DomainState::Out, "out"},
     {DomainState::OutConfirmedDead, "out-confirmed-dead"}});

std::string shown(const json &Value) {
  constexpr auto Replace = json::error_handler_t::replace;
  if (Value.is_structured())
    return Value.is_array() ? "a list" : "an object";
  return excerpt(Value.is_string() ? Value.get_ref<const std::string &>()
                                   : Value.dump(-1, ' ', false, Replace));
}

//! Reads one JSON value into its member.
template <typename Record> struct JsonReader {
  const json &Value_;
  const char *Name_;
  Record &Out_;

  MaybeProblem operator()(const TextMember<Record> &Target) const {
    if (!Value_.is_string())
      return refuse(Target.Rule_->Allowed_);
    const auto &Text = Value_.get_ref<const std::string &>();
    auto Problem = checkText(Name_, Text, *Target.Rule_);
    if (!Problem)
      Out_.*Target.Member_ = Text;
    return Problem;
  }
  MaybeProblem operator()(const IntMember<Record> &Target) const {
    return readInteger(Target);
  }
  MaybeProblem operator()(const SmallIntMember<Record> &Target) const {
    return readInteger(Target);
  }
  MaybeProblem operator()(const RealMember<Record> &Target) const {
    double Number = Value_.is_number() ? Value_.get<double>() : -1;
    if (!Value_.is_number() || !(Number >= Target.Range_.Min_) ||
        !(Number <= Target.Range_.Max_))
      return refuse(limitsText(Target.Range_));
    Out_.*Target.Member_ = Number;
    return std::nullopt;
  }
  MaybeProblem operator()(const BoolMember<Record> &Target) const {
    if (!Value_.is_boolean())
      return refuse("true or false");
    Out_.*Target.Member_ = Value_.get<bool>();
    return std::nullopt;
  }

private:
  MaybeProblem refuse(std::string Allowed) const {
    return FieldProblem{Name_, shown(Value_), std::move(Allowed)};
  }
  template <typename MemberRow>
  MaybeProblem readInteger(const MemberRow &Target) const {
    // An unsigned number above the signed range would wrap to a negative one.
    bool Fits = Value_.is_number_integer() &&
                (!Value_.is_number_unsigned() ||
                 Value_.get<uint64_t>() <= uint64_t{INT64_MAX});
    int64_t Number = Fits ? Value_.get<int64_t>() : 0;
    if (!Fits || Number < Target.Range_.Min_ || Number > Target.Range_.Max_)
      return refuse(limitsText(Target.Range_));
    auto &Member = Out_.*Target.Member_;
    Member = static_cast<std::decay_t<decltype(Member)>>(Number);
    return std::nullopt;
  }
};

template <typename Record>
MaybeProblem readRecord(const json &Object,
                        const std::vector<JsonField<Record>> &Table,
                        Record &Out) {
  if (!Object.is_object())
    return FieldProblem{"(value)", shown(Object), "an object"};
  for (const auto &[Name, Value] : Object.items()) {
    const JsonField<Record> *Row = nullptr;
    std::string Known;
    for (const JsonField<Record> &Candidate : Table) {
      Known += (Known.empty() ? "" : ", ") + std::string(Candidate.Name_);
      if (Name == Candidate.Name_)
        Row = &Candidate;
    }
    if (!Row)
      return FieldProblem{excerpt(Name), "an unknown field", Known};
    if (auto Problem = std::visit(JsonReader<Record>{Value, Row->Name_, Out},
                                  Row->Target_))
      return Problem;
  }
  for (const JsonField<Record> &Row : Table)
    if (Row.Required_ && !Object.contains(Row.Name_))
      return FieldProblem{Row.Name_, "", "a value (the field is required)"};
  return std::nullopt;
}

//! Writes every field of a record.
template <typename Record>
std::string writeRecord(const Record &Value,
                        const std::vector<JsonField<Record>> &Table) {
  json Object = json::object();
  for (const JsonField<Record> &Row : Table)
    std::visit(
        [&](const auto &Target) { Object[Row.Name_] = Value.*Target.Member_; },
        Row.Target_);
  return Object.dump();
}

base::Result<json> parseJson(const std::string &Text) {
  if (Text.size() > MaxValueBytes)
    return base::fail(base::ErrorKind::TooLarge,
                      "the value has " + std::to_string(Text.size()) +
                          " bytes, allowed: at most 65536");
  json Value = json::parse(Text, nullptr, /*allow_exceptions=*/false);
  if (Value.is_discarded())
    return base::fail(base::ErrorKind::InvalidRequest,
                      "the value is not valid JSON");
  return Value;
}

boost::leaf::error_id refuse(const FieldProblem &Problem) {
  return base::fail(base::ErrorKind::InvalidRequest, describe(Problem));
}

template <typename Record>
base::Result<Record> parseRecord(const std::string &Text,
                                 const std::vector<JsonField<Record>> &Table,
                                 Record Out) {
  BOOST_LEAF_AUTO(Value, parseJson(Text));
  if (auto Problem = readRecord(Value, Table, Out))
    return refuse(*Problem);
  return Out;
}

MaybeProblem readDomain(const std::string &Name, const json &Object,
                        FailureDomain &Out) {
  std::string Path = "domains." + excerpt(Name);
  if (!isName(Name))
    return FieldProblem{"domains", excerpt(Name), NameRule.Allowed_};
  if (!Object.is_object())
    return FieldProblem{Path, shown(Object), "an object"};
  for (const auto &[Field, Value] : Object.items()) {
    std::string Text = Value.is_string() ? Value.get<std::string>() : "";
    auto State = StateNames.parse(Text);
    if (Field == "region" && isName(Text))
      Out.Region_ = Text;
    else if (Field == "state" && State)
      Out.State_ = *State;
    else if (Field == "region")
      return FieldProblem{Path + ".region", shown(Value), NameRule.Allowed_};
    else if (Field == "state")
      return FieldProblem{Path + ".state", shown(Value),
                          "in-service, out, out-confirmed-dead"};
    else
      return FieldProblem{Path, "unknown field " + excerpt(Field),
                          "region, state"};
  }
  if (!Object.contains("region") || !Object.contains("state"))
    return FieldProblem{Path, "a missing field", "region and state"};
  Out.Name_ = Name;
  return std::nullopt;
}

} // namespace

base::Result<Template> parseTemplate(const std::string &Json) {
  return parseRecord<Template>(Json, templateTable(), {});
}

base::Result<Workspace> parseWorkspace(const std::string &Json) {
  return parseRecord<Workspace>(Json, workspaceTable(), {});
}

base::Result<Workspace> resolveWorkspace(const std::string &Json,
                                         const Template &Base) {
  Workspace Start;
  Start.AgreedShare_ = Base.AgreedShare_;
  Start.Priority_ = Base.Priority_;
  Start.Deferrable_ = Base.Deferrable_;
  Start.Service_ = Base.Service_;
  Start.MaxConcurrentRequests_ = Base.MaxConcurrentRequests_;
  Start.DefaultDeadlineMs_ = Base.DefaultDeadlineMs_;
  return parseRecord<Workspace>(Json, workspaceTable(), Start);
}

base::Result<std::map<std::string, FailureDomain>>
parseDomains(const std::string &Json) {
  BOOST_LEAF_AUTO(Value, parseJson(Json));
  if (!Value.is_object() || Value.size() > MaxDomains)
    return refuse(
        {"domains", shown(Value), "an object of at most 256 domains"});
  std::map<std::string, FailureDomain> Out;
  for (const auto &[Name, Object] : Value.items())
    if (auto Problem = readDomain(Name, Object, Out[Name]))
      return refuse(*Problem);
  return Out;
}

std::string writeTemplate(const Template &Value) {
  return writeRecord(Value, templateTable());
}

std::string writeWorkspace(const Workspace &Value) {
  return writeRecord(Value, workspaceTable());
}

std::string writeDomains(const std::map<std::string, FailureDomain> &Value) {
  json Object = json::object();
  for (const auto &[Name, Domain] : Value)
    Object[Name] = {{"region", Domain.Region_},
                    {"state", StateNames.name(Domain.State_)}};
  return Object.dump();
}

} // namespace crocuslead::config
