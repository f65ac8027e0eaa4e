#include "ListStandin.h"
#include "RelayStandin.h"
#include "StoreStandin.h"
#include "WorkerStandin.h"

#include <asio/signal_set.hpp>
#include <csignal>
#include <docopt/docopt.h>
#include <iostream>
#include <sstream>

using namespace crocuslead;
using namespace crocuslead::standins;
using nlohmann::json;

namespace {

constexpr const char *Usage =
    R"(Stand-ins for the platform's services, for tests and the demo.

Usage:
  crocuslead-standin store --port PORT
  crocuslead-standin list --port PORT
  crocuslead-standin relay --port PORT PAIR...
  crocuslead-standin workers --port PORT --first-port PORT --service NAME DOMAIN...
                     [--cpu-milli N] [--memory-mb N] [--accelerators N]
                     [--per-rack N] [--service-ms N]

Each PAIR is LISTEN_PORT:TARGET_PORT; POST /control {"cut":..,"delay_ms":..}.
Each DOMAIN is NAME:REGION:WORKERS. Worker I listens on first-port + I; PORT serves /control.
POST /control takes {"match":"PREFIX OF WORKER ID", "down":.., "cut":.., "fail_starts":..,
"slow_factor":..}; GET /control gives the observations, GET /entries the instance list entries,
GET /tasks what runs where, POST /ran with a list of
idempotency keys how often each ran, GET /starts?domain=NAME&since=UNIX_MS a count of starts.

Options:
  --port PORT       Port to listen on.
  --first-port PORT  Port of the first worker.
  --service NAME    Service that the workers serve.
  --cpu-milli N     Thousandths of a core [default: 16000].
  --memory-mb N     Megabytes of memory [default: 60000].
  --accelerators N  Accelerators [default: 0].
  --per-rack N      Workers to a rack [default: 11].
  --service-ms N    Service time of a request [default: 10].
)";

using Options = std::map<std::string, docopt::value>;

long number(const Options &Args, const char *Name) {
  return std::stol(Args.at(Name).asString());
}

std::unique_ptr<http::Server> open(asio::io_context &Loop, long Port,
                                   http::Server::Handler OnRequest) {
  auto Opened = http::openServer(Loop, "127.0.0.1", static_cast<uint16_t>(Port),
                                 http::ServerLimits{}, std::move(OnRequest));
  if (Opened)
    return std::move(Opened.value());
  std::cerr << "crocuslead-standin: cannot listen on port " << Port << "\n";
  std::exit(2);
}

class Fleet {
public:
  Fleet(asio::io_context &Loop, const Options &Args)
      : Loop_(Loop), Timer_(Loop) {
    long Port = number(Args, "--first-port");
    for (const std::string &Domain : Args.at("DOMAIN").asStringList())
      addDomain(Domain, Args, Port);
    Servers_.push_back(
        open(Loop, number(Args, "--port"),
             [this](const http::Request &Request,
                    const std::shared_ptr<http::Responder> &Out) {
               control(Request, Out);
             }));
    advance();
  }

private:
  void addDomain(const std::string &Text, const Options &Args, long &Port) {
    std::istringstream Parts(Text);
    std::string Name;
    std::string Region;
    std::string Count;
    std::getline(Parts, Name, ':');
    std::getline(Parts, Region, ':');
    std::getline(Parts, Count, ':');
    for (long I = 0; I < std::stol(Count); ++I) {
      WorkerSpec Spec;
      Spec.Id_ = Name + "-w" + std::to_string(I);
      Spec.Domain_ = Name;
      Spec.Region_ = Region;
      Spec.Rack_ =
          Name + "-rack" + std::to_string(I / number(Args, "--per-rack"));
      Spec.Service_ = Args.at("--service").asString();
      Spec.Capacity_ = {number(Args, "--cpu-milli"),
                        number(Args, "--memory-mb"),
                        number(Args, "--accelerators")};
      Spec.ServiceMs_ = static_cast<int>(number(Args, "--service-ms"));
      Spec.Port_ = static_cast<uint16_t>(Port);
      Workers_.push_back(std::make_unique<WorkerStandin>(Loop_, Spec, Watch_));
      Servers_.push_back(open(Loop_, Port++,
                              [Target = Workers_.back().get()](
                                  http::Request Request,
                                  const std::shared_ptr<http::Responder> &Out) {
                                Target->handle(std::move(Request), Out);
                              }));
    }
  }

  void advance() {
    for (auto &Each : Workers_)
      Each->advance();
    Timer_.expires_after(std::chrono::milliseconds(20));
    Timer_.async_wait([this](const auto &Failure) {
      if (!Failure)
        advance();
    });
  }

  void control(const http::Request &Request,
               const std::shared_ptr<http::Responder> &Out) {
    if (Request.Method_ == "POST" && Request.Target_ == "/control") {
      json Change = json::parse(Request.Body_, nullptr, false);
      for (auto &Each : Workers_)
        if (Change.is_object() &&
            Each->spec().Id_.rfind(Change.value("match", ""), 0) == 0)
          Each->setFaults(Change);
    }
    Out->send({200, {}, answer(Request.Target_, Request.Body_).dump()});
  }

  json answer(const std::string &Target, const std::string &Body) {
    json Rows = json::array();
    if (Target == "/entries") {
      for (auto &Each : Workers_)
        Rows.push_back(Each->listEntry());
      return Rows;
    }
    if (Target == "/tasks") {
      json ByWorker = json::object();
      for (auto &Each : Workers_)
        ByWorker[Each->spec().Id_] = Each->tasks();
      return ByWorker;
    }
    if (Target == "/ran")
      return runs(Body);
    auto Domain = Target.find("domain=");
    auto Since = Target.find("&since=");
    if (Domain != std::string::npos && Since != std::string::npos)
      return {{"starts",
               Watch_.startsSince(Target.substr(Domain + 7, Since - Domain - 7),
                                  std::stoll(Target.substr(Since + 7)))}};
    return Watch_.report();
  }

  json runs(const std::string &Body) const {
    json Out = json::object();
    json Keys = json::parse(Body, nullptr, false);
    for (const json &Key : Keys)
      Out[Key.get<std::string>()] = Watch_.runsOf(Key.get<std::string>());
    return Out;
  }

  asio::io_context &Loop_;
  asio::steady_timer Timer_;
  Observer Watch_;
  std::vector<std::unique_ptr<WorkerStandin>> Workers_;
  std::vector<std::unique_ptr<http::Server>> Servers_;
};

std::unique_ptr<http::Server>
openRelay(asio::io_context &Loop, RelayStandin &Relay, const Options &Args) {
  for (const std::string &Pair : Args.at("PAIR").asStringList()) {
    std::size_t Colon = Pair.find(':');
    Relay.open(static_cast<uint16_t>(std::stoi(Pair.substr(0, Colon))),
               static_cast<uint16_t>(std::stoi(Pair.substr(Colon + 1))));
  }
  return open(Loop, number(Args, "--port"),
              [&Relay](const http::Request &Request,
                       const std::shared_ptr<http::Responder> &Out) {
                Relay.handle(Request, Out);
              });
}

} // namespace

int main(int Argc, char **Argv) {
  Options Args = docopt::docopt(Usage, {Argv + 1, Argv + Argc}, true, "");
  asio::io_context Loop;
  asio::signal_set Signals(Loop, SIGINT, SIGTERM);
  Signals.async_wait([&Loop](const auto &, int) { Loop.stop(); });
  StoreStandin Store(Loop);
  ListStandin List;
  RelayStandin Relay(Loop);
  std::unique_ptr<http::Server> Server;
  std::unique_ptr<Fleet> Workers;
  if (Args["store"].asBool())
    Server = open(Loop, number(Args, "--port"),
                  [&Store](http::Request Request,
                           const std::shared_ptr<http::Responder> &Out) {
                    Store.handle(std::move(Request), Out);
                  });
  else if (Args["list"].asBool())
    Server = open(Loop, number(Args, "--port"),
                  [&List](const http::Request &Request,
                          const std::shared_ptr<http::Responder> &Out) {
                    List.handle(Request, Out);
                  });
  else if (Args["relay"].asBool())
    Server = openRelay(Loop, Relay, Args);
  else
    Workers = std::make_unique<Fleet>(Loop, Args);
  Loop.run();
  return 0;
}
