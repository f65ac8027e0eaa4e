#include "ListStandin.h"

namespace crocuslead::standins {

using nlohmann::json;

void ListStandin::handle(const http::Request &Request,
                         const std::shared_ptr<http::Responder> &Out) {
  if (Request.Target_ == "/control") {
    control(Request, Out);
    return;
  }
  if (Down_) {
    Out->abort();
    return;
  }
  int64_t Revision = Lagging_ ? LaggedRevision_ : Revision_;
  auto Known = Request.Target_.find("revision=");
  if (Known != std::string::npos &&
      Request.Target_.substr(Known + 9) == std::to_string(Revision)) {
    Out->send({304, {}, ""});
    return;
  }
  Out->send({200,
             {{"Content-Type", "application/json"}},
             Lagging_ ? LaggedBody_ : render()});
}

void ListStandin::control(const http::Request &Request,
                          const std::shared_ptr<http::Responder> &Out) {
  json Body = json::parse(Request.Body_, nullptr, false);
  if (!Body.is_object()) {
    Out->send({400, {}, "{\"error\":\"expected a JSON object\"}"});
    return;
  }
  for (const json &Each : Body.value("upsert", json::array())) {
    Instances_[Each["id"].get<std::string>()].update(Each);
    ++Revision_;
  }
  for (const json &Each : Body.value("remove", json::array())) {
    Instances_.erase(Each.get<std::string>());
    ++Revision_;
  }
  Down_ = Body.value("down", Down_);
  bool Lag = Body.value("lag", Lagging_);
  if (Lag && !Lagging_) {
    LaggedBody_ = render();
    LaggedRevision_ = Revision_;
  }
  Lagging_ = Lag;
  Out->send({200, {}, json{{"revision", Revision_}}.dump()});
}

std::string ListStandin::render() const {
  json Rows = json::array();
  for (const auto &[Id, Value] : Instances_)
    Rows.push_back(Value);
  return json{{"revision", Revision_}, {"instances", Rows}}.dump();
}

} // namespace crocuslead::standins
