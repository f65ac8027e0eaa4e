#include "http/internal/MultiCore.h"

#include "base/Log.h"

#include <asio/post.hpp>

#include <stdexcept>
#include <unistd.h>

namespace crocuslead::http::internal {

namespace {

constexpr std::size_t MaxIdleEasyHandles = 64;

void initCurl() {
  static const CURLcode Code = curl_global_init(CURL_GLOBAL_DEFAULT);
  if (Code != CURLE_OK)
    throw std::runtime_error(curl_easy_strerror(Code));
}

} // namespace

MultiCore::MultiCore(asio::io_context &Loop, long MaxPerHost,
                     long MaxKeptConnections)
    : Loop_(Loop), Timer_(Loop), Multi_(nullptr),
      LimitsConnections_(MaxPerHost > 0) {
  initCurl();
  Multi_ = curl_multi_init();
  if (!Multi_)
    throw std::bad_alloc();
  curl_multi_setopt(Multi_, CURLMOPT_SOCKETFUNCTION, &MultiCore::onSocket);
  curl_multi_setopt(Multi_, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(Multi_, CURLMOPT_TIMERFUNCTION, &MultiCore::onTimer);
  curl_multi_setopt(Multi_, CURLMOPT_TIMERDATA, this);
  curl_multi_setopt(Multi_, CURLMOPT_MAX_HOST_CONNECTIONS, MaxPerHost);
  curl_multi_setopt(Multi_, CURLMOPT_MAXCONNECTS, MaxKeptConnections);
  curl_multi_setopt(Multi_, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
}

MultiCore::~MultiCore() { shutdown(); }

void MultiCore::shutdown() {
  if (std::exchange(Down_, true))
    return;
  for (auto &[Easy, One] : Running_) {
    One->cancel();
    curl_multi_remove_handle(Multi_, Easy);
  }
  Running_.clear();
  Deadlines_.clear();
  IdleEasy_.clear();
  // Closes the idle connections; the socket callback drops their watches.
  curl_multi_cleanup(Multi_);
  Multi_ = nullptr;
  for (auto &[Socket, One] : Watches_)
    One->Descriptor_.release();
  Watches_.clear();
  Timer_.cancel();
}

EasyHandle MultiCore::takeEasy() {
  if (!IdleEasy_.empty()) {
    EasyHandle Easy = std::move(IdleEasy_.back());
    IdleEasy_.pop_back();
    return Easy;
  }
  EasyHandle Easy(curl_easy_init());
  if (!Easy)
    throw std::bad_alloc();
  return Easy;
}

std::shared_ptr<Transfer> MultiCore::start(ClientRequest Request,
                                           StreamSink Sink, bool Streams,
                                           Client::Callback Done) {
  auto Made = std::make_shared<Transfer>(takeEasy(), std::move(Request),
                                         std::move(Sink), Streams,
                                         std::move(Done), Ready_);
  curl_easy_setopt(Made->easy(), CURLOPT_CLOSESOCKETFUNCTION,
                   &MultiCore::onClose);
  curl_easy_setopt(Made->easy(), CURLOPT_CLOSESOCKETDATA, this);
  ++Total_.Exchanges_;
  Running_[Made->easy()] = Made;
  CURLMcode Code = curl_multi_add_handle(Multi_, Made->easy());
  if (Code != CURLM_OK) {
    Running_.erase(Made->easy());
    Made->settle(CURLE_FAILED_INIT);
    asio::post(Loop_, [Made] { Made->callBack(); });
  } else if (LimitsConnections_) {
    limitWaiting(Made);
  }
  return Made;
}

// libcurl's own timeout does not run while an exchange waits for one of the
// limited connections.
void MultiCore::limitWaiting(const std::shared_ptr<Transfer> &Target) {
  auto [It, Added] = Deadlines_.try_emplace(Target->easy(), Loop_);
  It->second.expires_after(Target->timeout());
  It->second.async_wait(
      [Core = weak_from_this(),
       Waiting = std::weak_ptr<Transfer>(Target)](auto Error) {
        auto Self = Core.lock();
        auto One = Waiting.lock();
        if (!Error && Self && One && !One->requestStarted() &&
            Self->Running_.count(One->easy()) != 0)
          Self->end(One, CURLE_OPERATION_TIMEDOUT);
      });
}

void MultiCore::cancel(const std::shared_ptr<Transfer> &Target) {
  Target->cancel();
  if (!Down_ && Running_.count(Target->easy()) != 0)
    remove(Target);
}

void MultiCore::remove(const std::shared_ptr<Transfer> &Target) {
  Total_.BytesSent_ += Target->bytesSent();
  Total_.BytesReceived_ += Target->bytesReceived();
  long Opened = 0;
  curl_easy_getinfo(Target->easy(), CURLINFO_NUM_CONNECTS, &Opened);
  Total_.Connections_ += static_cast<uint64_t>(Opened);
  curl_multi_remove_handle(Multi_, Target->easy());
  Running_.erase(Target->easy());
  Deadlines_.erase(Target->easy());
  EasyHandle Easy = Target->takeEasy();
  if (IdleEasy_.size() < MaxIdleEasyHandles) {
    curl_easy_reset(Easy.get());
    IdleEasy_.push_back(std::move(Easy));
  }
}

ClientCounters MultiCore::counters() const {
  ClientCounters Sum = Total_;
  for (const auto &[Easy, One] : Running_) {
    Sum.BytesSent_ += One->bytesSent();
    Sum.BytesReceived_ += One->bytesReceived();
  }
  return Sum;
}

int MultiCore::onSocket(CURL * /*Easy*/, curl_socket_t Socket, int What,
                        void *Self, void * /*PerSocket*/) {
  try {
    static_cast<MultiCore *>(Self)->watchSocket(Socket, What);
    return 0;
  } catch (const std::exception &E) {
    base::logEvent(base::LogLevel::Error, "http-watch-failed",
                   {{"reason", E.what()}});
    return -1;
  }
}

void MultiCore::watchSocket(curl_socket_t Socket, int What) {
  auto It = Watches_.find(Socket);
  if (What == CURL_POLL_REMOVE) {
    if (It != Watches_.end())
      It->second->Wanted_ = 0;
    return;
  }
  if (It == Watches_.end()) {
    auto Made = std::make_shared<Watch>(Loop_);
    Made->Descriptor_.assign(Socket);
    It = Watches_.emplace(Socket, std::move(Made)).first;
  }
  It->second->Wanted_ = What;
  auto On = It->second;
  for (int Direction : {CURL_POLL_IN, CURL_POLL_OUT})
    wait(Socket, On, Direction);
}

int MultiCore::onClose(void *Self, curl_socket_t Socket) {
  auto &Watches = static_cast<MultiCore *>(Self)->Watches_;
  if (auto It = Watches.find(Socket); It != Watches.end()) {
    It->second->Wanted_ = 0;
    It->second->Descriptor_.release();
    Watches.erase(It);
  }
  return ::close(Socket);
}

void MultiCore::wait(curl_socket_t Socket, const std::shared_ptr<Watch> &On,
                     int Direction) {
  if ((On->Wanted_ & Direction) == 0 || (On->Waiting_ & Direction) != 0)
    return;
  On->Waiting_ |= Direction;
  auto Kind = Direction == CURL_POLL_IN
                  ? asio::posix::stream_descriptor::wait_read
                  : asio::posix::stream_descriptor::wait_write;
  On->Descriptor_.async_wait(Kind, [Core = weak_from_this(), Socket, On,
                                    Direction](auto Error) {
    On->Waiting_ &= ~Direction;
    auto Self = Core.lock();
    // The watch of a closed socket wants nothing; its number may belong to
    // another socket by now.
    if (!Self || (On->Wanted_ & Direction) == 0)
      return;
    int Ready = Direction == CURL_POLL_IN ? CURL_CSELECT_IN : CURL_CSELECT_OUT;
    Self->act(Socket, Error ? CURL_CSELECT_ERR : Ready);
    if (!Error && On->Wanted_ != 0)
      Self->wait(Socket, On, Direction);
  });
}

int MultiCore::onTimer(CURLM * /*Multi*/, long TimeoutMs, void *Self) {
  try {
    static_cast<MultiCore *>(Self)->setTimer(TimeoutMs);
    return 0;
  } catch (const std::exception &E) {
    base::logEvent(base::LogLevel::Error, "http-timer-failed",
                   {{"reason", E.what()}});
    return -1;
  }
}

void MultiCore::setTimer(long TimeoutMs) {
  if (TimeoutMs == 0) {
    // Each start of an exchange asks for this; it needs no system call.
    if (!std::exchange(TimeoutPosted_, true))
      asio::post(Loop_, [Core = weak_from_this()] {
        if (auto Self = Core.lock()) {
          Self->TimeoutPosted_ = false;
          Self->act(CURL_SOCKET_TIMEOUT, 0);
        }
      });
    return;
  }
  if (TimeoutMs < 0) {
    Timer_.cancel();
    return;
  }
  Timer_.expires_after(std::chrono::milliseconds(TimeoutMs));
  Timer_.async_wait([Core = weak_from_this()](auto Error) {
    auto Self = Core.lock();
    if (!Error && Self)
      Self->act(CURL_SOCKET_TIMEOUT, 0);
  });
}

void MultiCore::act(curl_socket_t Socket, int Events) {
  if (Down_)
    return;
  int StillRunning = 0;
  curl_multi_socket_action(Multi_, Socket, Events, &StillRunning);
  deliverAll();
  collectFinished();
}

void MultiCore::deliverAll() {
  std::vector<CURL *> Handles;
  Handles.swap(Ready_);
  std::vector<std::shared_ptr<Transfer>> Targets;
  for (CURL *Easy : Handles) {
    auto It = Running_.find(Easy);
    if (It != Running_.end())
      Targets.push_back(It->second);
  }
  for (auto &One : Targets)
    One->deliver();
}

void MultiCore::collectFinished() {
  int Left = 0;
  while (!Down_) {
    CURLMsg *Message = curl_multi_info_read(Multi_, &Left);
    if (!Message)
      return;
    if (Message->msg != CURLMSG_DONE)
      continue;
    CURLcode Code = Message->data.result;
    auto It = Running_.find(Message->easy_handle);
    if (It == Running_.end())
      continue;
    auto Finished = It->second;
    end(Finished, Code);
  }
}

void MultiCore::end(const std::shared_ptr<Transfer> &Target, CURLcode Code) {
  Target->settle(Code);
  remove(Target);
  Target->callBack();
}

} // namespace crocuslead::http::internal
