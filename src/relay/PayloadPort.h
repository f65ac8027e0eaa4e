#pragma once

#include "base/Clock.h"
#include "jobs/PayloadCache.h"
#include "jobs/WorkerPort.h"
#include "relay/Transport.h"
#include "store/KeyValueStore.h"

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace crocuslead::relay {

//! Completes starts whose payload is stored apart: from the cache, else from
//! the instance that accepted the job, else from the store.
class PayloadPort final : public jobs::WorkerPort {
public:
  PayloadPort(jobs::WorkerPort &Workers, jobs::PayloadCache &Payloads,
              Transport &Out, store::KeyValueStore &Store,
              const base::Clock &Clock);

  void start(const jobs::WorkerAddress &To, const jobs::StartRequest &Request,
             RequestCallback Done) override;
  void stop(const jobs::WorkerAddress &To, const jobs::StopRequest &Request,
            RequestCallback Done) override;
  void throttle(const jobs::WorkerAddress &To,
                const jobs::ThrottleRequest &Request,
                RequestCallback Done) override;
  void poll(const jobs::WorkerAddress &To, const jobs::PollRequest &Request,
            PollCallback Done) override;

private:
  struct WaitingStart {
    jobs::WorkerAddress To_;
    jobs::StartRequest Request_;
    RequestCallback Done_;
    base::TimePoint Since_;
  };

  static bool isPayloadOf(const jobs::StartRequest &Request,
                          const std::string &Payload);
  void fetch(const std::string &Job, const std::string &Source);
  void readStored(const std::string &Job);
  void fetched(const std::string &Job,
               const std::optional<std::string> &Payload);
  void send(const jobs::WorkerAddress &To, jobs::StartRequest Request,
            const std::string &Payload, base::Duration Waited,
            RequestCallback Done);

  jobs::WorkerPort &Workers_;
  jobs::PayloadCache &Payloads_;
  Transport &Out_;
  store::KeyValueStore &Store_;
  const base::Clock &Clock_;
  //! By job.
  std::unordered_map<std::string, std::vector<WaitingStart>> Waiting_;
  std::shared_ptr<int> Alive_ = std::make_shared<int>(0);
};

} // namespace crocuslead::relay
