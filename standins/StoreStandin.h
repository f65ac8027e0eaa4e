#pragma once

#include "base/Clock.h"
#include "http/Server.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace crocuslead::standins {

//! Faults that a test switches on through POST /control.
struct StoreFaults {
  //! Connections are closed without an answer and without effect.
  bool Down_ = false;
  int SlowMs_ = 0;
  //! This many next writes take effect, but their answer is lost.
  int DropAnswers_ = 0;
  //! This many next watch events are not delivered.
  int LoseWatchEvents_ = 0;
};

//! A key-value service in memory that speaks the part of the etcd v3 JSON
//! gateway that crocuslead uses.
class StoreStandin {
public:
  explicit StoreStandin(asio::io_context &Loop);

  void handle(http::Request Request,
              const std::shared_ptr<http::Responder> &Out);

private:
  struct Entry {
    std::string Value_;
    int64_t Create_ = 0;
    int64_t Mod_ = 0;
    int64_t Version_ = 0;
    int64_t Lease_ = 0;
  };
  struct Lease {
    int64_t TtlSeconds_ = 0;
    base::TimePoint End_;
  };
  struct Watcher {
    std::string Key_;
    std::string RangeEnd_;
    std::shared_ptr<http::Responder> Out_;
  };

  using Handler = nlohmann::json (StoreStandin::*)(const nlohmann::json &);

  void serve(const http::Request &Request,
             const std::shared_ptr<http::Responder> &Out);
  void control(const http::Request &Request,
               const std::shared_ptr<http::Responder> &Out);
  void watch(const nlohmann::json &Body,
             const std::shared_ptr<http::Responder> &Out);
  nlohmann::json range(const nlohmann::json &Body);
  nlohmann::json txn(const nlohmann::json &Body);
  nlohmann::json leaseGrant(const nlohmann::json &Body);
  nlohmann::json leaseKeepAlive(const nlohmann::json &Body);
  nlohmann::json leaseRevoke(const nlohmann::json &Body);

  bool holds(const nlohmann::json &Compare) const;
  nlohmann::json keyValue(const std::string &Key, const Entry &Value) const;
  nlohmann::json header() const;
  void put(const std::string &Key, std::string Value, int64_t LeaseId,
           nlohmann::json &Events);
  void erase(const std::string &Key, const std::string &RangeEnd,
             nlohmann::json &Events);
  void publish(const nlohmann::json &Events);
  void endLease(int64_t Id);
  void expireLeases();

  asio::io_context &Loop_;
  base::SystemClock Clock_;
  asio::steady_timer Timer_;
  StoreFaults Faults_;
  std::map<std::string, Entry> Entries_;
  std::map<int64_t, Lease> Leases_;
  std::list<Watcher> Watchers_;
  //! Deletions and puts since start, so that a watch can begin at an earlier
  //! revision.
  std::vector<std::pair<int64_t, nlohmann::json>> History_;
  std::map<std::string, uint64_t> Calls_;
  int64_t Revision_ = 1;
  int64_t NextLease_ = 1000;
};

} // namespace crocuslead::standins
