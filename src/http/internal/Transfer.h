#pragma once

#include "http/Client.h"

#include <curl/curl.h>

#include <memory>
#include <string>

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
  Transfer(EasyHandle Easy, ClientRequest Request, StreamSink Sink,
           bool Streams, Client::Callback Done);

  CURL *easy() const { return Easy_.get(); }
  EasyHandle takeEasy() { return std::move(Easy_); }
  bool hasPending() const {
    return Streams_ && (HeaderPending_ || !PendingData_.empty());
  }
  //! Passes collected parts of a streamed answer to the receiver.
  void deliver();
  //! Takes libcurl's verdict, while the handle is still there.
  void settle(CURLcode Code);
  //! Reports the end to the receiver.
  void callBack();
  //! Drops the callbacks.
  void cancel();

  uint64_t bytesSent() const { return SentBytes_; }
  uint64_t bytesReceived() const { return HeaderBytes_ + BodyBytes_; }

private:
  static std::size_t onHeaderLine(char *Data, std::size_t Size,
                                  std::size_t Count, void *Self);
  static std::size_t onBody(char *Data, std::size_t Size, std::size_t Count,
                            void *Self);
  static int onRequestStart(void *Self, char *RemoteIp, char *LocalIp,
                            int RemotePort, int LocalPort);
  static int onTrace(CURL *Easy, curl_infotype Type, char *Data,
                     std::size_t Size, void *Self);
  void configure();
  void configureMethod();
  bool takeHeaderLine(std::string_view Line);
  bool takeBody(std::string_view Piece);
  ExchangeFailure classify(CURLcode Code) const;
  bool lengthIsKnown() const;

  EasyHandle Easy_;
  ClientRequest Request_;
  StreamSink Sink_;
  bool Streams_;
  Client::Callback Done_;
  HeaderList SentHeaders_;
  char ErrorText_[CURL_ERROR_SIZE] = {};
  ExchangeResult Result_;
  Response Answer_;
  std::string PendingData_;
  uint64_t SentBytes_ = 0;
  uint64_t HeaderBytes_ = 0;
  uint64_t BodyBytes_ = 0;
  bool HeaderComplete_ = false;
  bool HeaderPending_ = false;
  bool Oversized_ = false;
  //! Set when libcurl is about to write the request to a connection. From then
  //! on the peer may have acted on it.
  bool RequestStarted_ = false;
  bool Ended_ = false;
};

} // namespace crocuslead::http::internal
