#pragma once

#include "app/AnswerCache.h"
#include "app/ClaimService.h"
#include "app/Context.h"
#include "app/RequestLog.h"
#include "cluster/InstanceList.h"
#include "config/Model.h"
#include "http/Client.h"
#include "http/Server.h"
#include "link/Messages.h"
#include "route/Router.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace crocuslead::app {

struct RequestPathHooks {
  std::function<const config::Configuration &()> Configuration_;
  //! Asks a peer for a kept answer; Done gets nothing when there is none.
  std::function<void(const std::string &Peer, const std::string &Key,
                     std::function<void(const http::Response *)> Done)>
      FetchAnswer_;
  //! Notes the duration of a caller's request.
  std::function<void(const std::string &Workspace, base::Duration Took,
                     int Status)>
      Observe_;
};

//! Callers' requests: claim, route, stream the answer back. Performs the
//! router's actions.
class RequestPath {
public:
  RequestPath(const Context &Shared, http::Client &Client, ClaimService &Claims,
              RequestPathHooks Hooks);
  ~RequestPath();
  RequestPath(const RequestPath &) = delete;
  RequestPath &operator=(const RequestPath &) = delete;

  void handle(http::Request Request, std::shared_ptr<http::Responder> Out);
  //! Call about every 10 ms.
  void tick();
  void setInstances(const cluster::InstanceSnapshot &Snapshot);
  void configChanged();
  void setLive(std::vector<std::string> Live);
  //! From now on answers ask the caller to close its connection.
  void beginDrain() { Draining_ = true; }

  route::Router &router() { return Router_; }
  const RequestLog &log() const { return Log_; }
  //! Kept answer of a key, for a peer.
  const http::Response *keptAnswer(const std::string &Key);
  std::size_t active() const { return Active_.size(); }
  std::size_t keptBytes() const { return Answers_.bytes(); }

private:
  struct Active;
  struct Attempt;
  struct ActionPerformer;

  void admit(Active &Target);
  void claimThenRoute(Active &Target);
  void claimAnswered(uint64_t Id, const route::ClaimReply &Reply);
  void replay(Active &Target, const std::string &Executor);
  void route(Active &Target);
  void pump();
  void send(const route::SendAction &Action);
  void headerArrived(uint64_t Id, uint32_t Number, int Status,
                     const http::Headers &All);
  void dataArrived(uint64_t Id, uint32_t Number, std::string_view Piece);
  void commitTo(Active &Target, Attempt &Chosen);
  void attemptDone(uint64_t Id, uint32_t Number,
                   const http::ExchangeResult &Result);
  void deliver(Active &Target, Attempt &Chosen);
  void refuse(Active &Target, base::ErrorKind Kind, base::Outcome Outcome,
              const std::string &Message);
  void end(Active &Target, const std::string &Result, int Status);
  http::Headers answerHeaders(const Active &Target,
                              const http::Headers &Upstream) const;
  Active *find(uint64_t Id);

  const Context &Shared_;
  http::Client &Client_;
  ClaimService &Claims_;
  RequestPathHooks Hooks_;
  route::Router Router_;
  AnswerCache Answers_;
  RequestLog Log_;
  std::map<uint64_t, std::unique_ptr<Active>> Active_;
  uint64_t NextId_ = 1;
  bool Draining_ = false;
  bool Pumping_ = false;
};

} // namespace crocuslead::app
