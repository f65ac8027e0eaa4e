#pragma once

#include "http/Server.h"

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace crocuslead::standins {

//! The platform's instance list in memory. GET /v1/instances reads it; POST
//! /control changes it:
//! {"upsert":[...]}, {"remove":["id"]}, {"down":true}, {"lag":true} (serves the
//! list as it was when the lag began).
class ListStandin {
public:
  void handle(const http::Request &Request,
              const std::shared_ptr<http::Responder> &Out);

private:
  void control(const http::Request &Request,
               const std::shared_ptr<http::Responder> &Out);
  std::string render() const;

  std::map<std::string, nlohmann::json> Instances_;
  int64_t Revision_ = 1;
  bool Down_ = false;
  bool Lagging_ = false;
  std::string LaggedBody_;
  int64_t LaggedRevision_ = 0;
};

} // namespace crocuslead::standins
