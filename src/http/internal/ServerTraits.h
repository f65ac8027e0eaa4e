#pragma once

#include <cstddef>
#include <memory>
#include <unordered_map>
#include <vector>

#include <restinio/all.hpp>

namespace crocuslead::http::internal {

class ServerResponder;

//! Open connections of one server. RESTinio keeps no list of its own, and the
//! server needs one to count connections, to close them and to tell
//! responders that their caller has gone.
class ConnectionRegistry {
public:
  explicit ConnectionRegistry(std::size_t MaxConnections)
      : MaxConnections_(MaxConnections) {}

  bool full() const { return Entries_.size() >= MaxConnections_; }
  std::size_t size() const { return Entries_.size(); }

  void opened(restinio::connection_id_t Id) { Entries_[Id]; }
  void attach(restinio::tcp_connection_ctx_handle_t Handle);
  void addResponder(restinio::connection_id_t Id,
                    std::weak_ptr<ServerResponder> Responder);
  void removeResponder(restinio::connection_id_t Id);
  void closed(restinio::connection_id_t Id) noexcept;
  //! Closes every connection at once and lets go of it.
  void closeAll();

  //! Set when the server accepts no more connections: answers then ask callers
  //! to close theirs.
  bool Draining_ = false;
  //! Set when the server is closed: responders do nothing any more.
  bool Closed_ = false;

private:
  struct Entry {
    //! Keeps the connection alive while RESTinio neither reads nor writes, as
    //! with a full pipeline. Responders have weak references, because they may
    //! outlive the event loop.
    restinio::tcp_connection_ctx_handle_t Handle_;
    std::vector<std::weak_ptr<ServerResponder>> Responders_;
  };

  std::size_t MaxConnections_;
  std::unordered_map<restinio::connection_id_t, Entry> Entries_;
};

// The names of the following types' members are set by RESTinio.
// NOLINTBEGIN(readability-identifier-naming)

//! Feeds accepted and closed connections to the registry.
class StateListener {
public:
  explicit StateListener(std::shared_ptr<ConnectionRegistry> Registry)
      : Registry_(std::move(Registry)) {}

  void
  state_changed(const restinio::connection_state::notice_t &Notice) noexcept {
    if (restinio::holds_alternative<restinio::connection_state::accepted_t>(
            Notice.cause()))
      Registry_->opened(Notice.connection_id());
    else
      Registry_->closed(Notice.connection_id());
  }

private:
  std::shared_ptr<ConnectionRegistry> Registry_;
};

//! Refuses connections above the limit. RESTinio's own limiter is not used: its
//! connections point into the acceptor, which dies with the server before them.
class ConnectionLimit {
public:
  explicit ConnectionLimit(std::shared_ptr<ConnectionRegistry> Registry)
      : Registry_(std::move(Registry)) {}

  restinio::ip_blocker::inspection_result_t
  inspect(const restinio::ip_blocker::incoming_info_t & /*Info*/) noexcept {
    return Registry_->full() ? restinio::ip_blocker::deny()
                             : restinio::ip_blocker::allow();
  }

private:
  std::shared_ptr<ConnectionRegistry> Registry_;
};

//! RESTinio's timer manager, which also gives the registry a handle of each
//! connection: the only hook where RESTinio shows it.
class TimerManager {
public:
  TimerManager(asio::io_context &Loop,
               std::shared_ptr<ConnectionRegistry> Registry)
      : Loop_(Loop), Registry_(std::move(Registry)) {}

  class timer_guard_t {
  public:
    timer_guard_t(asio::io_context &Loop,
                  std::shared_ptr<ConnectionRegistry> Registry)
        : Inner_(Loop, CheckPeriod), Registry_(std::move(Registry)) {}

    void schedule(restinio::tcp_connection_ctx_weak_handle_t Handle) {
      if (Registry_) {
        Registry_->attach(Handle.lock());
        Registry_.reset();
      }
      Inner_.schedule(std::move(Handle));
    }
    void cancel() noexcept { Inner_.cancel(); }

  private:
    static constexpr std::chrono::milliseconds CheckPeriod{500};

    restinio::asio_timer_manager_t::timer_guard_t Inner_;
    std::shared_ptr<ConnectionRegistry> Registry_;
  };

  timer_guard_t create_timer_guard() const { return {Loop_, Registry_}; }
  void start() const noexcept {}
  void stop() const noexcept {}

  class factory_t {
  public:
    explicit factory_t(std::shared_ptr<ConnectionRegistry> Registry)
        : Registry_(std::move(Registry)) {}
    std::shared_ptr<TimerManager> create(asio::io_context &Loop) const {
      return std::make_shared<TimerManager>(Loop, Registry_);
    }

  private:
    std::shared_ptr<ConnectionRegistry> Registry_;
  };

private:
  asio::io_context &Loop_;
  std::shared_ptr<ConnectionRegistry> Registry_;
};

struct ServerTraits
    : restinio::single_thread_traits_t<TimerManager, restinio::null_logger_t> {
  using connection_state_listener_t = StateListener;
  using ip_blocker_t = ConnectionLimit;
};

// NOLINTEND(readability-identifier-naming)

} // namespace crocuslead::http::internal
