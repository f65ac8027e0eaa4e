#include "config/Settings.h"

#include "config/internal/YamlFields.h"
#include <filesystem>
#include <fstream>
#include <sstream>

namespace crocuslead::config {

namespace {

using namespace internal;

using MaybeProblem = std::optional<FieldProblem>;

constexpr std::size_t MaxSettingsBytes = 256U << 10U;
constexpr std::size_t MaxSecretFileBytes = 4096 + 2;
constexpr std::size_t MaxInstances = 64;

const std::vector<YamlField<PeerSettings>> &peerTable() {
  using P = PeerSettings;
  using Text = TextMember<P>;
  static const std::vector<YamlField<P>> Table = {
      {"id", Text{&P::Id_, &NameRule}, true},
      {"region", Text{&P::Region_, &NameRule}, true},
      {"domain", Text{&P::Domain_, &NameRule}, true},
      {"link_address", Text{&P::LinkAddress_, &AddressRule}, true},
  };
  return Table;
}

const std::vector<YamlField<Settings>> &settingsTable() {
  using S = Settings;
  using Text = TextMember<S>;
  using Int = NumberMember<S, int64_t>;
  using Real = NumberMember<S, double>;
  static const std::vector<YamlField<S>> Table = {
      {"instance_id", Text{&S::InstanceId_, &NameRule}, true},
      {"region", Text{&S::Region_, &NameRule}, true},
      {"domain", Text{&S::Domain_, &NameRule}, true},
      {"caller_address", Text{&S::CallerAddress_, &AddressRule}, true},
      {"operator_address", Text{&S::OperatorAddress_, &AddressRule}, true},
      {"link_address", Text{&S::LinkAddress_, &AddressRule}, true},
      {"store_url", Text{&S::StoreUrl_, &UrlRule}, true},
      {"instance_list_url", Text{&S::InstanceListUrl_, &UrlRule}, true},
      {"shared_key", Text{&S::SharedKey_, &SharedKeyRule}},
      {"operator_token", Text{&S::OperatorToken_, &OperatorTokenRule}},
      {"partitions_per_domain",
       NumberMember<S, int>{&S::PartitionsPerDomain_, {1, 64}}},
      // Claims are granted only until 2 s before the lease ends, so a lease of
      // 2 s would grant none.
      {"store_lease_seconds", Int{&S::StoreLeaseSeconds_, {3, 300}}},
      {"worker_lease_seconds", Int{&S::WorkerLeaseSeconds_, {3, 3600}}},
      {"renew_interval_seconds", Int{&S::RenewIntervalSeconds_, {1, 300}}},
      {"report_interval_seconds", Int{&S::ReportIntervalSeconds_, {1, 3600}}},
      {"long_lease_minutes", Int{&S::LongLeaseMinutes_, {1, 1440}}},
      {"commit_interval_ms", Int{&S::CommitIntervalMs_, {10, 5000}}},
      {"queue_limit_ms", Int{&S::QueueLimitMs_, {1, 60'000}}},
      {"retry_share", Real{&S::RetryShare_, {0, 1}}},
      {"cross_region_bytes_per_second",
       Real{&S::CrossRegionBytesPerSecond_, {0, 1e9}}},
      {"max_body_bytes", Int{&S::MaxBodyBytes_, {1024, 1 << 30}}},
      {"log_level", Text{&S::LogLevel_, &LogLevelRule}},
  };
  return Table;
}

//! A secret that stands in the settings or in a file of its own.
struct SecretField {
  const char *Name_;
  const char *FileName_;
  std::string Settings::*Member_;
  const TextRule *Rule_;
};

constexpr SecretField Secrets[] = {
    {"shared_key", "shared_key_file", &Settings::SharedKey_, &SharedKeyRule},
    {"operator_token", "operator_token_file", &Settings::OperatorToken_,
     &OperatorTokenRule},
};

//! Reads at most Limit bytes of a regular file; a device could block or never
//! end.
std::optional<std::string> readFile(const std::filesystem::path &Path,
                                    std::size_t Limit) {
  std::error_code Ignored;
  if (!std::filesystem::is_regular_file(Path, Ignored))
    return std::nullopt;
  std::ifstream In(Path, std::ios::binary);
  if (!In)
    return std::nullopt;
  std::string Text(Limit + 1, '\0');
  In.read(Text.data(), static_cast<std::streamsize>(Text.size()));
  Text.resize(static_cast<std::size_t>(In.gcount()));
  if (Text.size() > Limit)
    return std::nullopt;
  return Text;
}

MaybeProblem readSecret(const YAML::Node &Root, const SecretField &Secret,
                        const std::filesystem::path &Folder, Settings &Out) {
  YAML::Node File = Root[Secret.FileName_];
  bool Inline = Root[Secret.Name_].IsDefined();
  if (!File.IsDefined() && Inline)
    return std::nullopt;
  std::string Either =
      std::string("either ") + Secret.Name_ + " or " + Secret.FileName_;
  if (!File.IsDefined())
    return FieldProblem{Secret.Name_, "", Either, lineOf(Root)};
  if (Inline)
    return FieldProblem{Secret.FileName_, "both", Either, lineOf(File)};
  std::string Path = foundText(File);
  auto Text = File.IsScalar() && !Path.empty()
                  ? readFile(Folder / File.Scalar(), MaxSecretFileBytes)
                  : std::nullopt;
  if (!Text)
    return FieldProblem{Secret.FileName_, Path,
                        "path of a readable file of at most 4096 bytes",
                        lineOf(File)};
  while (!Text->empty() && (Text->back() == '\n' || Text->back() == '\r'))
    Text->pop_back();
  auto Problem = checkText(Secret.FileName_, *Text, *Secret.Rule_);
  if (Problem)
    Problem->Line_ = lineOf(File);
  else
    Out.*Secret.Member_ = *Text;
  return Problem;
}

MaybeProblem readInstances(const YAML::Node &Root, Settings &Out) {
  YAML::Node List = Root["instances"];
  if (!List.IsDefined() || !List.IsSequence() || List.size() == 0 ||
      List.size() > MaxInstances)
    return FieldProblem{
        "instances", List.IsDefined() ? foundText(List) : std::string(),
        "a list of 1 to 64 instances", lineOf(List.IsDefined() ? List : Root)};
  std::set<std::string> Ids;
  for (const YAML::Node &Item : List) {
    if (!Item.IsMap())
      return FieldProblem{"instances", foundText(Item),
                          "maps with id, region, domain and link_address",
                          lineOf(Item)};
    PeerSettings Peer;
    if (auto Problem = readMap<PeerSettings>(Item, peerTable(), {}, Peer)) {
      Problem->Field_ = "instances." + Problem->Field_;
      return Problem;
    }
    if (!Ids.insert(Peer.Id_).second)
      return FieldProblem{"instances.id", Peer.Id_, "each id once",
                          lineOf(Item)};
    bool Self = Peer.Id_ == Out.InstanceId_;
    if (Self && (Peer.Region_ != Out.Region_ || Peer.Domain_ != Out.Domain_))
      return FieldProblem{"instances", Peer.Region_ + "/" + Peer.Domain_,
                          "region and domain of this instance, " + Out.Region_ +
                              "/" + Out.Domain_,
                          lineOf(Item)};
    Out.Instances_.push_back(std::move(Peer));
  }
  if (Ids.count(Out.InstanceId_) == 0)
    return FieldProblem{"instances", "no entry with id " + Out.InstanceId_,
                        "exactly one entry with the id of this instance",
                        lineOf(List)};
  return std::nullopt;
}

//! Checks between fields.
MaybeProblem checkTogether(const YAML::Node &Root, const Settings &Out) {
  auto Line = [&Root](const char *Name) {
    YAML::Node Node = Root[Name];
    return lineOf(Node.IsDefined() ? Node : Root);
  };
  // One lost renewal must not end the lease.
  int64_t MaxRenew = Out.WorkerLeaseSeconds_ / 2;
  if (Out.RenewIntervalSeconds_ > MaxRenew)
    return FieldProblem{
        "renew_interval_seconds", std::to_string(Out.RenewIntervalSeconds_),
        "1 to " + std::to_string(MaxRenew) + " (half of worker_lease_seconds)",
        Line("renew_interval_seconds")};
  if (Out.LongLeaseMinutes_ * 60 < Out.WorkerLeaseSeconds_)
    return FieldProblem{
        "long_lease_minutes", std::to_string(Out.LongLeaseMinutes_),
        "at least worker_lease_seconds, " +
            std::to_string(Out.WorkerLeaseSeconds_) + " seconds",
        Line("long_lease_minutes")};
  return std::nullopt;
}

MaybeProblem readSettings(const YAML::Node &Root,
                          const std::filesystem::path &Folder, Settings &Out) {
  if (!Root.IsMap())
    return FieldProblem{"(file)", foundText(Root), "a map of fields", 1};
  if (auto Problem = readMap<Settings>(
          Root, settingsTable(),
          {"instances", "shared_key_file", "operator_token_file"}, Out))
    return Problem;
  for (const SecretField &Secret : Secrets)
    if (auto Problem = readSecret(Root, Secret, Folder, Out))
      return Problem;
  if (auto Problem = readInstances(Root, Out))
    return Problem;
  return checkTogether(Root, Out);
}

} // namespace

base::Result<Settings> parseSettings(const std::string &Text,
                                     const std::string &Name) {
  auto Refuse = [&Name](int Line, const std::string &What) {
    return base::fail(base::ErrorKind::InvalidRequest,
                      Name + ":" + std::to_string(Line) + ": " + What);
  };
  if (Text.size() > MaxSettingsBytes)
    return Refuse(1, "the file is larger than 256 KiB");
  try {
    Settings Out;
    YAML::Node Root = YAML::Load(Text);
    if (auto Problem =
            readSettings(Root, std::filesystem::path(Name).parent_path(), Out))
      return Refuse(Problem->Line_, describe(*Problem));
    return Out;
  } catch (const YAML::Exception &Failure) {
    return Refuse(Failure.mark.line + 1, "not valid YAML: " + Failure.msg);
  }
}

base::Result<Settings> loadSettings(const std::string &Path) {
  auto Text = readFile(Path, MaxSettingsBytes);
  if (!Text)
    return base::fail(base::ErrorKind::NotFound,
                      Path + ": cannot be read, or larger than 256 KiB");
  return parseSettings(*Text, Path);
}

} // namespace crocuslead::config
