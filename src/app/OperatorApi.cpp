#include "app/OperatorApi.h"

#include "app/JobJson.h"
#include "app/internal/OperatorParse.h"
#include "config/ConfigState.h"

#include <nlohmann/json.hpp>

namespace crocuslead::app {

namespace {

using nlohmann::json;

std::function<void(CallAnswer)>
answering(const std::shared_ptr<http::Responder> &Out) {
  return [Out](CallAnswer Answer) { sendJson(Out, std::move(Answer)); };
}

} // namespace

OperatorApi::OperatorApi(const Context &Shared, StoreSession &Session,
                         PartitionHost &Host, PartitionCalls &Calls,
                         OperatorHooks Hooks)
    : Shared_(Shared), Session_(Session), Host_(Host), Calls_(Calls),
      Writer_(Session), Hooks_(std::move(Hooks)) {}

const std::vector<OperatorApi::Route> &OperatorApi::routes() {
  using Api = OperatorApi;
  static const std::vector<Route> Table = {
      {"GET", "/healthz", false, false, &Api::health},
      {"GET", "/readyz", false, false, &Api::ready},
      {"GET", "/metrics", false, false, &Api::metrics},
      {"GET", "/v1/dump", false, true, &Api::dump},
      {"GET", "/v1/templates", false, true, &Api::listTemplates},
      {"PUT", "/v1/templates/", true, true, &Api::putTemplate},
      {"DELETE", "/v1/templates/", true, true, &Api::deleteTemplate},
      {"GET", "/v1/workspaces", false, true, &Api::listWorkspaces},
      {"PUT", "/v1/workspaces/", true, true, &Api::putWorkspace},
      {"DELETE", "/v1/workspaces/", true, true, &Api::deleteWorkspace},
      {"GET", "/v1/domains", false, true, &Api::listDomains},
      {"PUT", "/v1/domains/", true, true, &Api::putDomain},
      {"GET", "/v1/jobs", false, true, &Api::listJobs},
      {"POST", "/v1/jobs", false, true, &Api::submitJob},
      {"GET", "/v1/jobs/", true, true, &Api::showJob},
      {"DELETE", "/v1/jobs/", true, true, &Api::cancelJob},
      {"GET", "/v1/explain/", true, true, &Api::explain},
      {"GET", "/v1/settlement", false, true, &Api::settlement},
  };
  return Table;
}

bool OperatorApi::isAuthorized(const http::Request &Request) const {
  const std::string *Given =
      http::findHeader(Request.Headers_, "Authorization");
  return Given != nullptr &&
         equalSecrets(*Given, "Bearer " + Shared_.Settings_.OperatorToken_);
}

void OperatorApi::handle(const http::Request &Request,
                         const std::shared_ptr<http::Responder> &Out) {
  auto [Path, Query] = splitQuery(Request.Target_);
  bool PathKnown = false;
  for (const Route &Each : routes()) {
    std::string_view Prefix = Each.Path_;
    bool Matches =
        Each.Named_ ? Path.rfind(Prefix, 0) == 0 && Path.size() > Prefix.size()
                    : Path == Prefix;
    PathKnown = PathKnown || Matches;
    if (!Matches || Request.Method_ != Each.Method_)
      continue;
    if (Each.NeedsToken_ && !isAuthorized(Request)) {
      sendJson(Out, errorCallAnswer(base::ErrorKind::Unauthorized,
                                    "a bearer token is required"));
      return;
    }
    std::string Name =
        Each.Named_ ? decodePercent(Path.substr(Prefix.size())) : "";
    (this->*Each.Handler_)({Request, Name, Query, Out});
    return;
  }
  sendJson(Out, errorCallAnswer(base::ErrorKind::NotFound,
                                PathKnown ? "the path does not take " +
                                                Request.Method_
                                          : "no such path"));
}

void OperatorApi::health(const Call &Received) {
  sendJson(Received.Out_, {200, "{\"status\":\"ok\"}"});
}

void OperatorApi::ready(const Call &Received) {
  std::vector<std::string> Reasons = Hooks_.NotReady_();
  constexpr int Unavailable = 503;
  sendJson(Received.Out_,
           {Reasons.empty() ? 200 : Unavailable,
            json{{"ready", Reasons.empty()}, {"reasons", Reasons}}.dump()});
}

void OperatorApi::metrics(const Call &Received) {
  Received.Out_->send({200,
                       {{"Content-Type", "text/plain; version=0.0.4"}},
                       Hooks_.Metrics_()});
}

void OperatorApi::dump(const Call &Received) {
  std::string Wanted = queryValue(Received.Query_, "instance");
  if (Wanted.empty() || Wanted == Shared_.Settings_.InstanceId_)
    sendJson(Received.Out_, {200, Hooks_.Dump_()});
  else
    Calls_.callInstance(Wanted, "dump", "", answering(Received.Out_));
}

void OperatorApi::listEntries(const Call &Received, const char *Prefix) {
  json Out = json::array();
  std::string_view Start = Prefix;
  for (const config::VersionedEntry &Entry :
       Session_.config().changedSince(0)) {
    if (Entry.Deleted_ || Entry.Key_.rfind(Start, 0) != 0)
      continue;
    json Row = json::parse(Entry.Value_, nullptr, false);
    Row["revision"] = Entry.ModRevision_;
    Out.push_back(std::move(Row));
  }
  sendJson(Received.Out_, {200, Out.dump()});
}

void OperatorApi::listTemplates(const Call &Received) {
  listEntries(Received, config::TemplatePrefix);
}

void OperatorApi::putTemplate(const Call &Received) {
  Writer_.put(config::TemplatePrefix + Received.Name_,
              withName(Received.Request_.Body_, Received.Name_),
              expectedRevision(Received.Query_), answering(Received.Out_));
}

void OperatorApi::deleteTemplate(const Call &Received) {
  Writer_.remove(config::TemplatePrefix + Received.Name_,
                 expectedRevision(Received.Query_), answering(Received.Out_));
}

void OperatorApi::listWorkspaces(const Call &Received) {
  listEntries(Received, config::WorkspacePrefix);
}

void OperatorApi::putWorkspace(const Call &Received) {
  Writer_.put(config::WorkspacePrefix + Received.Name_,
              withName(Received.Request_.Body_, Received.Name_),
              expectedRevision(Received.Query_), answering(Received.Out_));
}

void OperatorApi::deleteWorkspace(const Call &Received) {
  Writer_.remove(config::WorkspacePrefix + Received.Name_,
                 expectedRevision(Received.Query_), answering(Received.Out_));
}

void OperatorApi::listDomains(const Call &Received) {
  const config::Configuration &Config = Session_.config().configuration();
  json Out = json::parse(config::writeDomains(Config.Domains_), nullptr, false);
  sendJson(
      Received.Out_,
      {200,
       json{{"revision", Config.DomainsRevision_}, {"domains", Out}}.dump()});
}

void OperatorApi::putDomain(const Call &Received) {
  Writer_.putDomain(Received.Name_, Received.Request_.Body_,
                    expectedRevision(Received.Query_),
                    answering(Received.Out_));
}

void OperatorApi::explain(const Call &Received) {
  if (isRequestId(Received.Name_)) {
    explainRequest(Received);
    return;
  }
  Calls_.callAll(
      "explain", Received.Name_,
      [Out = Received.Out_](const std::map<std::string, CallAnswer> &Answers) {
        sendJson(Out, mergeRows(Answers, "at_unix_ms"));
      });
}

void OperatorApi::explainRequest(const Call &Received) {
  std::string Instance = Received.Name_.substr(0, Received.Name_.find('.'));
  Calls_.callInstance(Instance, "explain-request", Received.Name_,
                      answering(Received.Out_));
}

void OperatorApi::settlement(const Call &Received) {
  std::string Period = queryValue(Received.Query_, "period");
  Calls_.callAll("usage", "",
                 [Out = Received.Out_,
                  Period](const std::map<std::string, CallAnswer> &Answers) {
                   sendJson(Out, settle(Answers, Period));
                 });
}

} // namespace crocuslead::app
