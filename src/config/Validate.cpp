#include "config/Validate.h"

#include <cstdint>
#include <cstdio>
#include <string_view>

namespace crocuslead::config {

namespace {

//! Shares are decimal fractions, whose binary sum can exceed 1 by rounding.
constexpr double ShareTolerance = 1e-9;

bool startsWith(std::string_view Text, std::string_view Prefix) {
  return Text.substr(0, Prefix.size()) == Prefix;
}

boost::leaf::error_id refuse(std::string Message) {
  return base::fail(base::ErrorKind::InvalidRequest, std::move(Message));
}

base::Result<void> checkName(const std::string &Key, std::string_view Prefix,
                             const std::string &Name) {
  std::string Wanted = Key.substr(Prefix.size());
  if (Name != Wanted)
    return refuse("field 'name': found '" + Name + "', allowed: '" + Wanted +
                  "', the name in the key");
  return {};
}

base::Result<void> checkDomains(const Configuration &Current,
                                const std::string &Value) {
  BOOST_LEAF_AUTO(Domains, parseDomains(Value));
  for (const auto &[Name, Domain] : Current.Domains_)
    if (Domains.count(Name) == 0)
      return refuse("failure domain '" + Name +
                    "' is missing; a failure domain is taken out of service, "
                    "never removed");
  return {};
}

double shareSum(const Configuration &Config) {
  double Sum = 0;
  for (const auto &[Name, Workspace] : Config.Workspaces_)
    Sum += Workspace.AgreedShare_;
  return Sum;
}

base::Result<void> checkShares(const Configuration &Before,
                               const Configuration &After) {
  double Sum = shareSum(After);
  // When operators raced past the limit, a change that lowers the sum is a
  // repair.
  if (Sum <= 1 + ShareTolerance || Sum < shareSum(Before))
    return {};
  char Text[32];
  std::snprintf(Text, sizeof(Text), "%.6g", Sum);
  return refuse(std::string("the agreed shares of all workspaces add up to ") +
                Text + ", allowed: at most 1");
}

base::Result<void> checkWorkspace(const Configuration &Current,
                                  const std::string &Key,
                                  const std::string &Value) {
  BOOST_LEAF_AUTO(Parsed, parseWorkspace(Value));
  BOOST_LEAF_CHECK(checkName(Key, WorkspacePrefix, Parsed.Name_));
  if (Current.Templates_.count(Parsed.Template_) == 0)
    return refuse("field 'template': found '" + Parsed.Template_ +
                  "', allowed: the name of an existing template");
  return {};
}

base::Result<void> checkTemplate(const std::string &Key,
                                 const std::string &Value) {
  BOOST_LEAF_AUTO(Parsed, parseTemplate(Value));
  return checkName(Key, TemplatePrefix, Parsed.Name_);
}

} // namespace

base::Result<void> validatePut(const ConfigState &Current,
                               const std::string &Key,
                               const std::string &Value) {
  const Configuration &Config = Current.configuration();
  if (Key == DomainsKey)
    return checkDomains(Config, Value);
  if (startsWith(Key, WorkspacePrefix)) {
    BOOST_LEAF_CHECK(checkWorkspace(Config, Key, Value));
  } else if (startsWith(Key, TemplatePrefix)) {
    BOOST_LEAF_CHECK(checkTemplate(Key, Value));
  } else {
    return refuse("'" + Key + "' is not a key of the configuration");
  }
  // A template changes every workspace that inherits from it, so the sum is
  // taken of the configuration as it would be.
  ConfigState Trial = Current;
  Trial.applyPeer({{Key, Value, INT64_MAX, false}});
  return checkShares(Config, Trial.configuration());
}

base::Result<void> validateDelete(const ConfigState &Current,
                                  const std::string &Key) {
  if (Key == DomainsKey)
    return refuse("the failure domains cannot be deleted; take a failure "
                  "domain out of service instead");
  if (startsWith(Key, WorkspacePrefix))
    return {};
  if (!startsWith(Key, TemplatePrefix))
    return refuse("'" + Key + "' is not a key of the configuration");
  std::string Name = Key.substr(std::string_view(TemplatePrefix).size());
  for (const auto &[Id, Workspace] : Current.configuration().Workspaces_)
    if (Workspace.Template_ == Name)
      return refuse(std::string("template '")
                        .append(Name)
                        .append("' is in use by workspace '")
                        .append(Id)
                        .append("'"));
  return {};
}

} // namespace crocuslead::config
