#include "PlatformWorkers.h"

#include "Figures.h"

#include <asio/post.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <deque>
#include <nlohmann/json.hpp>

namespace crocuslead::bench {

using nlohmann::json;

namespace {

constexpr int64_t StartTimeMs = 1;
constexpr int64_t MilliCpu = 16'000;
constexpr int64_t MemoryMb = 64'000;
constexpr int WorkersPerRack = 8;

} // namespace

struct PlatformWorkers::Worker {
  struct Run {
    uint64_t Number_ = 0;
    std::chrono::steady_clock::time_point Start_;
    std::unique_ptr<asio::steady_timer> Timer_;
  };

  Worker(asio::io_context &Loop, base::Random &Random, base::Duration RunLength,
         double LostRequests)
      : Loop_(Loop), Random_(Random), RunLength_(RunLength),
        LostRequests_(LostRequests), LookTimer_(Loop),
        Born_(std::chrono::steady_clock::now()) {}

  int64_t clockMs() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now() - Born_)
        .count();
  }

  void handle(const http::Request &Request,
              const std::shared_ptr<http::Responder> &Out) {
    if (Random_.unit() < LostRequests_) {
      Unanswered_.push_back(Out);
      return;
    }
    json Body = json::parse(Request.Body_, nullptr, false);
    if (Request.Target_ == "/crocuslead/run-start")
      start(Body);
    else if (Request.Target_ == "/crocuslead/run-stop")
      end(Body["task"].get<std::string>(), "stopped");
    else if (Request.Target_ == "/crocuslead/hold")
      return look(Body, Out);
    answer(Out, {{"clock_ms", clockMs()}});
  }

  void start(const json &Body) {
    auto Name = Body["task"].get<std::string>();
    Run &Made = Runs_[Name];
    Made.Number_ = Body["run"].get<uint64_t>();
    Made.Start_ = std::chrono::steady_clock::now();
    if (Name.compare(0, LongRunningJobPrefix.size(), LongRunningJobPrefix) == 0)
      return;
    Made.Timer_ = std::make_unique<asio::steady_timer>(Loop_, RunLength_);
    Made.Timer_->async_wait([this, Name](const asio::error_code &Failure) {
      if (!Failure)
        end(Name, "done");
    });
  }

  void end(const std::string &Name, const char *How) {
    auto It = Runs_.find(Name);
    if (It == Runs_.end())
      return;
    Ended_.push_back({++LastEnd_, Name, It->second.Number_, How, ""});
    Runs_.erase(It);
    answerLook();
  }

  void look(const json &Body, const std::shared_ptr<http::Responder> &Out) {
    auto Seen = Body["last_seen"].get<uint64_t>();
    while (!Ended_.empty() && Ended_.front()[0].get<uint64_t>() <= Seen)
      Ended_.pop_front();
    Looking_ = Out;
    if (!Ended_.empty() || !Body.contains("wait_ms"))
      return answerLook();
    LookTimer_.expires_after(
        std::chrono::milliseconds(Body["wait_ms"].get<int>()));
    LookTimer_.async_wait([this](const asio::error_code &Failure) {
      if (!Failure)
        answerLook();
    });
  }

  void answerLook() {
    if (!Looking_)
      return;
    json Running = json::array();
    auto Now = std::chrono::steady_clock::now();
    for (const auto &[Name, Each] : Runs_) {
      auto Percent = static_cast<int>(99 * (Now - Each.Start_) / RunLength_);
      Percent = Each.Timer_ ? std::min(99, Percent) : 100;
      Running.push_back(json::array({Name, Each.Number_, "", Percent, 500}));
    }
    answer(std::exchange(Looking_, nullptr), {{"clock_ms", clockMs()},
                                              {"born", StartTimeMs},
                                              {"running", std::move(Running)},
                                              {"ended", json(Ended_)}});
  }

  static void answer(const std::shared_ptr<http::Responder> &Out,
                     const json &Body) {
    Out->send({200, {{"Content-Type", "application/json"}}, Body.dump()});
  }

  asio::io_context &Loop_;
  base::Random &Random_;
  base::Duration RunLength_;
  double LostRequests_;
  asio::steady_timer LookTimer_;
  std::chrono::steady_clock::time_point Born_;
  std::unique_ptr<http::Server> Server_;
  std::map<std::string, Run> Runs_;
  std::deque<json> Ended_;
  uint64_t LastEnd_ = 0;
  std::shared_ptr<http::Responder> Looking_;
  std::vector<std::shared_ptr<http::Responder>> Unanswered_;
};

PlatformWorkers::PlatformWorkers(int Count, base::Duration RunLength,
                                 double LostRequests)
    : Random_(Seed) {
  for (int I = 0; I < Count; ++I) {
    Workers_.push_back(
        std::make_unique<Worker>(Loop_, Random_, RunLength, LostRequests));
    Worker &Made = *Workers_.back();
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void> {
          BOOST_LEAF_ASSIGN(
              Made.Server_,
              http::openServer(
                  Loop_, "127.0.0.1", 0, {},
                  [&Made](const http::Request &Request,
                          const std::shared_ptr<http::Responder> &Out) {
                    Made.handle(Request, Out);
                  }));
          return {};
        },
        [] { throw std::runtime_error("a stand-in worker cannot listen"); });
    jobs::WorkerInfo Info;
    Info.Id_ = "w" + std::to_string(I);
    Info.Address_ = "127.0.0.1:" + std::to_string(Made.Server_->port());
    Info.Domain_ = "d" + std::to_string(I % 6);
    Info.Service_ = "service";
    Info.Rack_ = "r" + std::to_string(I / WorkersPerRack);
    Info.Labels_ = {"a", Info.Rack_};
    Info.Capacity_ = {MilliCpu, MemoryMb, 0};
    Info.StartTimeMs_ = StartTimeMs;
    Entries_[Info.Id_] = Info;
  }
  Thread_ = std::thread([this] {
    auto Work = asio::make_work_guard(Loop_);
    Loop_.run();
  });
}

PlatformWorkers::~PlatformWorkers() {
  Loop_.stop();
  Thread_.join();
}

} // namespace crocuslead::bench
