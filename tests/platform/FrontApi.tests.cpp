#include "platform/FrontApi.h"

#include "app/FakeStore.h"
#include "jobs/JobKeys.h"
#include "platform/WorkerCalls.h"

#include <asio/io_context.hpp>
#include <doctest/doctest.h>

namespace crocuslead::platform::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int Ok = 200;
constexpr int NotFound = 404;
constexpr int Unavailable = 503;

//! Keeps the answer.
class RecordingResponder final : public http::Responder {
public:
  void send(http::Response Answer) override { Answer_ = std::move(Answer); }
  void begin(int /*Status*/, http::Headers /*AllHeaders*/) override {}
  void write(std::string /*Piece*/) override {}
  void finish() override {}
  void abort() override {}
  void onClosed(std::function<void()> /*Handler*/) override {}

  std::optional<http::Response> Answer_;
};

//! The callers' API of an instance that follows the store.
struct FrontInstance {
  static constexpr base::Duration MaxConfigAge = milliseconds(2750);
  //! How often the store confirms a watch without events.
  static constexpr base::Duration ConfirmInterval = milliseconds(1500);

  FrontInstance() {
    configure(1, {"visits"});
    run(milliseconds(100));
  }

  void configure(int Version, const std::vector<std::string> &Queues) {
    std::string Routes;
    for (const std::string &Queue : Queues)
      Routes += (Routes.empty() ? "" : ",") + std::string(R"({"name":")") +
                Queue + R"(","service":"desk","host":"h","prefix":"/)" + Queue +
                R"(/","timeout_ms":3000})";
    Store_.put("op/config", R"({"version":)" + std::to_string(Version) +
                                R"(,"services":[],"routes":[)" + Routes + "]}");
  }

  void run(base::Duration Time) {
    for (base::TimePoint End = Clock_.now() + Time; Clock_.now() < End;) {
      if (Clock_.now() >= NextConfirm_) {
        Store_.confirmWatches();
        NextConfirm_ = Clock_.now() + ConfirmInterval;
      }
      Store_.run();
      Registry_.tick();
      Service_.tick();
      Clock_.advance(milliseconds(10));
    }
  }

  int status(const std::string &Method, const std::string &Path,
             const std::string &Body = "") {
    auto Out = std::make_shared<RecordingResponder>();
    Front_.handle({Method, Path, {{"Host", "h"}}, Body}, Out);
    run(milliseconds(100));
    return Out->Answer_ ? Out->Answer_->Status_ : 0;
  }

  asio::io_context Loop_;
  std::unique_ptr<http::Client> Client_ = http::makeClient(Loop_, 0);
  std::unique_ptr<jobs::WorkerPort> Workers_ = makeWorkerCalls(*Client_);
  base::ManualClock Clock_;
  base::MetricsRegistry Metrics_;
  base::Random Random_{1};
  tests::FakeStore Store_;
  Registry Registry_{Store_, Clock_};
  jobs::CoordinatorHost Host_{Store_, *Workers_, Registry_,
                              Clock_, Metrics_,  jobs::CoordinatorTimings()};
  jobs::Election Election_{
      Store_,
      Clock_,
      Random_,
      {"a", "a-1", "a:1", std::string(jobs::JobKeys::ElectionPrefix)},
      {[](uint64_t) {}, [](const char *) {}}};
  jobs::PayloadCache Payloads_{1U << 20U};
  jobs::JobService Service_{
      Store_,    *Client_,  Clock_,
      Metrics_,  Election_, Host_,
      Payloads_, "a:1",     jobs::RecordFormat::PayloadsApart};
  FrontApi Front_{Service_, Registry_, Clock_, Metrics_, MaxConfigAge};
  base::TimePoint NextConfirm_;
};

constexpr const char *JobPath = "/visits/5c0e7a21d94b36f8";
constexpr const char *JobBody =
    R"({"task_spec":"t","steps":[{"count":1,"cpu":1000,"memory_limit_mb":1}]})";

} // namespace

TEST_CASE(
    "An unknown route is not found while the configuration is confirmed") {
  FrontInstance Front;
  Front.run(seconds(20));
  CHECK(Front.status("GET", "/other/") == NotFound);
  CHECK(Front.status("POST", JobPath, JobBody) == Ok);
}

// Guards against answers by an older configuration. Found on ishikari-tp
// (CONFIG, mix 980140155596): the store turned the instance away.
TEST_CASE("A route that was added while the store turns the instance away is "
          "not refused as unknown") {
  FrontInstance Front;
  Front.Store_.cutWatches();
  Front.configure(2, {"visits", "added"});
  Front.Store_.Down_ = true;
  Front.run(seconds(3));
  CHECK(Front.status("GET", "/added/") == Unavailable);
  CHECK(Front.status("POST", "/added/5c0e7a21d94b36f8", JobBody) ==
        Unavailable);
}

TEST_CASE("A job is not accepted on a route that may have been removed") {
  FrontInstance Front;
  Front.Store_.cutWatches();
  Front.configure(2, {"added"});
  Front.run(seconds(3));
  // Writes still work; only the watch has gone silent.
  CHECK(Front.status("POST", JobPath, JobBody) == Unavailable);
  CHECK(Front.Store_.find(jobs::JobKeys::spec("5c0e7a21d94b36f8")) == nullptr);
}

TEST_CASE("An accepted job can be asked for and cancelled without a confirmed "
          "configuration") {
  FrontInstance Front;
  REQUIRE(Front.status("POST", JobPath, JobBody) == Ok);
  Front.Store_.cutWatches();
  Front.run(seconds(4));
  CHECK(Front.status("GET", JobPath) == Ok);
  CHECK(Front.status("DELETE", JobPath) == Ok);
}

TEST_CASE("After a pause nothing is decided by the configuration of before") {
  FrontInstance Front;
  Front.Store_.Down_ = true;
  Front.Registry_.reload();
  Front.run(milliseconds(50));
  CHECK(Front.status("GET", "/other/") == Unavailable);
  Front.Store_.Down_ = false;
  Front.run(seconds(1));
  CHECK(Front.status("GET", "/other/") == NotFound);
}

} // namespace crocuslead::platform::test
