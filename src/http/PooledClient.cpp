#include "http/Client.h"

#include "http/internal/ConnectionPool.h"

namespace crocuslead::http {

namespace {

using internal::ConnectionPool;
using internal::PendingExchange;

class RunningExchange final : public Exchange {
public:
  RunningExchange(std::weak_ptr<ConnectionPool> Pool,
                  std::shared_ptr<PendingExchange> Target)
      : Pool_(std::move(Pool)), Target_(std::move(Target)) {}
  ~RunningExchange() override {
    if (auto Pool = Pool_.lock())
      Pool->cancel(*Target_);
  }

private:
  std::weak_ptr<ConnectionPool> Pool_;
  std::shared_ptr<PendingExchange> Target_;
};

class PooledClient final : public RequestClient {
public:
  explicit PooledClient(asio::io_context &Loop)
      : Pool_(std::make_shared<ConnectionPool>(Loop)) {}
  ~PooledClient() override { Pool_->shutdown(); }

  std::unique_ptr<Exchange> send(ClientRequest Request,
                                 Callback Done) override {
    return std::make_unique<RunningExchange>(
        Pool_, Pool_->start(Request, std::move(Done)));
  }
  ClientCounters counters() const override { return Pool_->counters(); }

private:
  std::shared_ptr<ConnectionPool> Pool_;
};

} // namespace

std::unique_ptr<RequestClient> makePooledClient(asio::io_context &Loop) {
  return std::make_unique<PooledClient>(Loop);
}

} // namespace crocuslead::http
