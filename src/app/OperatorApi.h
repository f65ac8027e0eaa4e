#pragma once

#include "app/ConfigWriter.h"
#include "app/Context.h"
#include "app/PartitionCalls.h"
#include "http/Server.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace crocuslead::app {

struct OperatorHooks {
  //! Why this instance is not ready; empty when it is.
  std::function<std::vector<std::string>()> NotReady_;
  std::function<std::string()> Metrics_;
  std::function<std::string()> Dump_;
};

//! The operators' HTTP interface.
class OperatorApi {
public:
  OperatorApi(const Context &Shared, StoreSession &Session, PartitionHost &Host,
              PartitionCalls &Calls, OperatorHooks Hooks);

  void handle(const http::Request &Request,
              const std::shared_ptr<http::Responder> &Out);

private:
  struct Call {
    const http::Request &Request_;
    //! Part of the path after the route's prefix.
    std::string Name_;
    std::string Query_;
    std::shared_ptr<http::Responder> Out_;
  };
  using Handler = void (OperatorApi::*)(const Call &);
  struct Route {
    const char *Method_;
    const char *Path_;
    //! Whether a name follows the path.
    bool Named_;
    bool NeedsToken_;
    Handler Handler_;
  };

  static const std::vector<Route> &routes();
  bool isAuthorized(const http::Request &Request) const;

  void health(const Call &Received);
  void ready(const Call &Received);
  void metrics(const Call &Received);
  void dump(const Call &Received);
  void listTemplates(const Call &Received);
  void putTemplate(const Call &Received);
  void deleteTemplate(const Call &Received);
  void listWorkspaces(const Call &Received);
  void putWorkspace(const Call &Received);
  void deleteWorkspace(const Call &Received);
  void listDomains(const Call &Received);
  void putDomain(const Call &Received);
  void listJobs(const Call &Received);
  void submitJob(const Call &Received);
  void showJob(const Call &Received);
  void cancelJob(const Call &Received);
  void explain(const Call &Received);
  void explainRequest(const Call &Received);
  void settlement(const Call &Received);

  void listEntries(const Call &Received, const char *Prefix);
  //! Partition that is home to a job id.
  std::string homeOf(const std::string &JobId) const;
  //! The job id and the ids of its parts by failure domain.
  std::vector<std::string> partsOf(const std::string &JobId) const;
  void submitParts(const std::shared_ptr<http::Responder> &Out,
                   const partition::JobSpec &Job);

  const Context &Shared_;
  StoreSession &Session_;
  PartitionHost &Host_;
  PartitionCalls &Calls_;
  ConfigWriter Writer_;
  OperatorHooks Hooks_;
};

} // namespace crocuslead::app
