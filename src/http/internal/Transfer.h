#pragma once

#include "http/Client.h"

#include <curl/curl.h>

#include <memory>
#include <string>
#include <vector>

namespace crocuslead::http::internal {

struct EasyDeleter {
  void operator()(CURL *Easy) const { curl_easy_cleanup(Easy); }
};
using EasyHandle = std::unique_ptr<CURL, EasyDeleter>;

struct ListDeleter {
  void operator()(curl_slist *List) const { curl_slist_free_all(List); }
};
using HeaderList = std::unique_ptr<curl_slist, ListDeleter>;

//! One exchange on a libcurl handle. libcurl's callbacks only collect what
//! arrives; deliver() hands it on afterwards, because libcurl must not be
//! called from within its callbacks and the receiver may start or cancel
//! exchanges.
class Transfer {
public:
  //! The handle is added to Ready when parts of a streamed answer wait for
  //! deliver().
  Transfer(EasyHandle Easy, ClientRequest Request, StreamSink Sink,
           bool Streams, Client::Callback Done, std::vector<CURL *> &Ready);

  CURL *easy() const { return Easy_.get(); }
  EasyHandle takeEasy() { return std::move(Easy_); }
  //! Passes collected parts of a streamed answer to the receiver.
  void deliver();
  //! Takes libcurl's verdict, while the handle is still there.
  void settle(CURLcode Code);
  //! Reports the end to the receiver.
  void callBack();
  //! Drops the callbacks.
  void cancel();

  //! From then on the peer may have acted on the request.
  bool requestStarted() const { return Sendings_ > 0; }
  base::Duration timeout() const { return Request_.Timeout_; }
  uint64_t bytesSent() const;
  uint64_t bytesReceived() const { return HeaderBytes_ + BodyBytes_; }

private:
  static std::size_t onHeaderLine(char *Data, std::size_t Size,
                                  std::size_t Count, void *Self);
  static std::size_t onBody(char *Data, std::size_t Size, std::size_t Count,
                            void *Self);
  static int onRequestStart(void *Self, char *RemoteIp, char *LocalIp,
                            int RemotePort, int LocalPort);
  void configure();
  void configureMethod();
  bool takeHeaderLine(std::string_view Line);
  bool takeBody(std::string_view Piece);
  void markReady();
  ExchangeFailure classify(CURLcode Code) const;
  bool lengthIsKnown() const;
  uint64_t requestHeaderBytes(bool HasBody) const;

  EasyHandle Easy_;
  ClientRequest Request_;
  StreamSink Sink_;
  bool Streams_;
  Client::Callback Done_;
  std::vector<CURL *> &Ready_;
  HeaderList SentHeaders_;
  char ErrorText_[CURL_ERROR_SIZE] = {};
  ExchangeResult Result_;
  Response Answer_;
  std::string PendingData_;
  //! Size of the request header and how often it was sent.
  uint64_t RequestHeaderBytes_ = 0;
  uint64_t Sendings_ = 0;
  uint64_t HeaderBytes_ = 0;
  uint64_t BodyBytes_ = 0;
  bool HeaderComplete_ = false;
  bool HeaderPending_ = false;
  bool MarkedReady_ = false;
  bool Oversized_ = false;
  bool Ended_ = false;
};

} // namespace crocuslead::http::internal
