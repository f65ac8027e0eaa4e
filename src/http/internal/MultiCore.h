#pragma once

#include "http/internal/Transfer.h"

#include <asio/io_context.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/steady_timer.hpp>
#include <curl/curl.h>

#include <memory>
#include <unordered_map>
#include <vector>

namespace crocuslead::http::internal {

//! libcurl's multi handle on an Asio loop. Shared with the handlers that wait
//! for sockets, so that it outlives them.
class MultiCore : public std::enable_shared_from_this<MultiCore> {
public:
  MultiCore(asio::io_context &Loop, long MaxPerHost, long MaxKeptConnections);
  ~MultiCore();
  MultiCore(const MultiCore &) = delete;
  MultiCore &operator=(const MultiCore &) = delete;

  std::shared_ptr<Transfer> start(ClientRequest Request, StreamSink Sink,
                                  bool Streams, Client::Callback Done);
  void cancel(const std::shared_ptr<Transfer> &Target);
  //! Drops all exchanges without calling back.
  void shutdown();
  ClientCounters counters() const;

private:
  //! One socket of libcurl's. It stays registered with the event loop until
  //! it is closed, also while no exchange uses it.
  struct Watch {
    explicit Watch(asio::io_context &Loop) : Descriptor_(Loop) {}
    asio::posix::stream_descriptor Descriptor_;
    int Wanted_ = 0;
    //! Directions that a wait is running for.
    int Waiting_ = 0;
  };

  static int onSocket(CURL *Easy, curl_socket_t Socket, int What, void *Self,
                      void *PerSocket);
  static int onClose(void *Self, curl_socket_t Socket);
  static int onTimer(CURLM *Multi, long TimeoutMs, void *Self);
  void watchSocket(curl_socket_t Socket, int What);
  void setTimer(long TimeoutMs);
  void wait(curl_socket_t Socket, const std::shared_ptr<Watch> &On,
            int Direction);
  //! Lets libcurl act on a socket or a timeout, then calls receivers back.
  void act(curl_socket_t Socket, int Events);
  void deliverAll();
  void collectFinished();
  void remove(const std::shared_ptr<Transfer> &Target);
  void end(const std::shared_ptr<Transfer> &Target, CURLcode Code);
  void limitWaiting(const std::shared_ptr<Transfer> &Target);
  EasyHandle takeEasy();

  asio::io_context &Loop_;
  asio::steady_timer Timer_;
  CURLM *Multi_;
  bool TimeoutPosted_ = false;
  std::unordered_map<curl_socket_t, std::shared_ptr<Watch>> Watches_;
  std::unordered_map<CURL *, std::shared_ptr<Transfer>> Running_;
  //! End the exchanges that still wait for a connection at their timeout.
  std::unordered_map<CURL *, asio::steady_timer> Deadlines_;
  bool LimitsConnections_;
  std::vector<EasyHandle> IdleEasy_;
  //! Handles of streamed exchanges with parts to deliver.
  std::vector<CURL *> Ready_;
  ClientCounters Total_;
  bool Down_ = false;
};

} // namespace crocuslead::http::internal
