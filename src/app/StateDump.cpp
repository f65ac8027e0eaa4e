#include "app/Instance.h"

#include "app/JobJson.h"

#include <nlohmann/json.hpp>

namespace crocuslead::app {

namespace {

using nlohmann::json;

struct GaugeRow {
  const char *Name_;
  const char *Help_;
  double Value_;
};

struct CounterRow {
  const char *Name_;
  const char *Help_;
  uint64_t Value_;
};

json resources(const base::Resources &Value) {
  return {{"cpu_milli", Value.MilliCpu_},
          {"memory_mb", Value.MemoryMb_},
          {"accelerators", Value.Accelerators_}};
}

json peerRow(const member::PeerView &Peer) {
  return {{"id", Peer.Id_},
          {"region", Peer.Region_},
          {"alive", Peer.Alive_},
          {"draining", Peer.Draining_},
          {"config_revision", Peer.ConfigRevision_},
          {"store_contact_age_ms", Peer.StoreContactAgeMs_},
          {"slot_demand", Peer.SlotDemand_}};
}

json partitionRow(const partition::PartitionSummary &Summary) {
  return {{"id", Summary.Id_},
          {"free", resources(Summary.Free_)},
          {"capacity", resources(Summary.Capacity_)},
          {"pending", Summary.Pending_},
          {"pending_urgent", Summary.PendingUrgent_}};
}

json upstreamRow(const route::UpstreamView &Each) {
  return {{"id", Each.Id_},
          {"state", Each.State_},
          {"slots_held", Each.SlotsHeld_},
          {"in_flight", Each.InFlight_},
          {"latency_ms", Each.LatencyMs_},
          {"weight", Each.Weight_}};
}

json routerRow(const route::RouterCounters &Counters, uint64_t Queued,
               uint64_t InProgress) {
  return {{"requests", Counters.Requests_},
          {"delivered", Counters.Delivered_},
          {"refused", Counters.Refused_},
          {"retries", Counters.Retries_},
          {"hedges", Counters.Hedges_},
          {"ejections", Counters.Ejections_},
          {"cross_region_requests", Counters.CrossRegionRequests_},
          {"cross_region_bytes", Counters.CrossRegionBytes_},
          {"queued", Queued},
          {"in_progress", InProgress}};
}

json linkRow(const link::LinkCounters &Counters) {
  return {{"frames_sent", Counters.FramesSent_},
          {"frames_received", Counters.FramesReceived_},
          {"bytes_sent", Counters.BytesSent_},
          {"bytes_received", Counters.BytesReceived_},
          {"frames_malformed", Counters.FramesMalformed_},
          {"frames_refused", Counters.FramesRefused_},
          {"handshakes_failed", Counters.HandshakesFailed_}};
}

} // namespace

std::string Instance::dump() {
  base::TimePoint Now = Shared_.Clock_.now();
  json Out;
  Out["instance"] = Shared_.Settings_.InstanceId_;
  Out["incarnation"] = Shared_.Incarnation_;
  Out["region"] = Shared_.Settings_.Region_;
  Out["domain"] = Shared_.Settings_.Domain_;
  Out["uptime_ms"] = base::toMillis(Now - Started_);
  Out["not_ready"] = notReady();
  Out["store"] = {{"lease", Session_.lease()},
                  {"contact_age_ms", Session_.contactAgeMs(Now)},
                  {"ownership_confirmed", Host_.ownershipConfirmed()}};
  Out["config"] = {{"revision", Session_.config().revision()},
                   {"fresh", Session_.configFresh(Now)},
                   {"refused_entries", Session_.config().refusedEntries()}};
  Out["peers"] = json::array();
  for (const member::PeerView &Peer : Peers_.peers())
    Out["peers"].push_back(peerRow(Peer));
  Out["partitions"] = json::array();
  for (const std::string &Id : Host_.ownedIds())
    Out["partitions"].push_back(partitionRow(Host_.owned(Id)->summary()));
  Out["owners"] = json::object();
  for (const auto &[Id, Owner] : Session_.owners())
    Out["owners"][Id] = {{"instance", Owner.Instance_},
                         {"epoch", Owner.Epoch_}};
  Out["router"] =
      routerRow(Requests_.router().counters(), Requests_.router().queued(),
                Requests_.router().inProgress());
  Out["upstreams"] = json::array();
  for (const route::UpstreamView &Each : Requests_.router().upstreams())
    Out["upstreams"].push_back(upstreamRow(Each));
  Out["claims"] = {{"entries", Claims_.tableSize()},
                   {"kept_answer_bytes", Requests_.keptBytes()}};
  Out["link"] = linkRow(Peers_.counters());
  Out["control_bytes"] = json::object();
  for (const ControlRow &Row : controlRows(Traffic_, Peers_.counters()))
    Out["control_bytes"][Row.Kind_] = {
        {"control", Row.Control_}, {"work", Row.Work_}, {"calls", Row.Calls_}};
  http::ClientCounters Control = ControlClient_->counters();
  Out["control_client"] = {{"bytes_sent", Control.BytesSent_},
                           {"bytes_received", Control.BytesReceived_},
                           {"exchanges", Control.Exchanges_}};
  return Out.dump();
}

std::string Instance::metricsText() {
  base::TimePoint Now = Shared_.Clock_.now();
  route::RouterCounters Counters = Requests_.router().counters();
  link::LinkCounters Link = Peers_.counters();
  http::ClientCounters Control = ControlClient_->counters();
  const GaugeRow Gauges[] = {
      {"crocuslead_store_contact_age_seconds",
       "Time since the last call that reached the store.",
       static_cast<double>(Session_.contactAgeMs(Now)) / 1000},
      {"crocuslead_config_revision", "Configuration revision in force.",
       static_cast<double>(Session_.config().revision())},
      {"crocuslead_config_fresh",
       "1 when the configuration was confirmed within 5 s.",
       Session_.configFresh(Now) ? 1.0 : 0.0},
      {"crocuslead_partitions_owned", "Partitions that this instance owns.",
       static_cast<double>(Host_.ownedIds().size())},
      {"crocuslead_peers_alive", "Other instances seen alive.",
       static_cast<double>(Peers_.liveIds().size() - 1)},
      {"crocuslead_requests_queued", "Requests that wait for a slot.",
       static_cast<double>(Requests_.router().queued())},
      {"crocuslead_claims", "Claims on request keys in memory.",
       static_cast<double>(Claims_.tableSize())},
  };
  const CounterRow Totals[] = {
      {"crocuslead_requests_total", "Requests of callers.", Counters.Requests_},
      {"crocuslead_requests_refused_total", "Requests that were refused.",
       Counters.Refused_},
      {"crocuslead_retries_total", "Attempts after a failed one.",
       Counters.Retries_},
      {"crocuslead_hedges_total", "Second attempts of slow requests.",
       Counters.Hedges_},
      {"crocuslead_ejections_total", "Upstreams taken out for failures.",
       Counters.Ejections_},
      {"crocuslead_cross_region_bytes_total",
       "Bytes of requests and answers across regions.",
       Counters.CrossRegionBytes_},
      {"crocuslead_link_bytes_total", "Bytes on the links between instances.",
       Link.BytesSent_ + Link.BytesReceived_},
      {"crocuslead_link_frames_malformed_total",
       "Frames from peers that could not be decoded.", Link.FramesMalformed_},
      {"crocuslead_control_client_bytes_total",
       "Bytes to and from store, instance list and workers.",
       Control.BytesSent_ + Control.BytesReceived_},
  };
  for (const ControlRow &Row : controlRows(Traffic_, Link)) {
    Metrics_
        .counter("crocuslead_control_bytes_total",
                 "Bytes sent and received that flow without work.",
                 {{"kind", Row.Kind_}})
        .set(Row.Control_);
    Metrics_
        .counter("crocuslead_work_bytes_total",
                 "Bytes of commits, commands, claims and operator calls.",
                 {{"kind", Row.Kind_}})
        .set(Row.Work_);
  }
  for (const GaugeRow &Row : Gauges)
    Metrics_.gauge(Row.Name_, Row.Help_).set(Row.Value_);
  for (const CounterRow &Row : Totals)
    Metrics_.counter(Row.Name_, Row.Help_).set(Row.Value_);
  for (const std::string &Id : Host_.ownedIds()) {
    partition::PartitionSummary Summary = Host_.owned(Id)->summary();
    Metrics_
        .gauge("crocuslead_pending_tasks", "Tasks that wait for a worker.",
               {{"partition", Id}})
        .set(Summary.Pending_);
    Metrics_
        .gauge("crocuslead_pending_urgent_tasks",
               "Urgent tasks that wait for a worker.", {{"partition", Id}})
        .set(Summary.PendingUrgent_);
  }
  return Metrics_.dump();
}

CallAnswer Instance::answerCall(const std::string &Operation,
                                const std::string &Body) {
  if (Operation == "dump")
    return {200, dump()};
  if (Operation != "explain-request")
    return errorCallAnswer(base::ErrorKind::InvalidRequest,
                           "unknown operation '" + Operation + "'");
  auto Record = Requests_.log().find(Body);
  if (!Record)
    return errorCallAnswer(base::ErrorKind::NotFound,
                           "request '" + Body +
                               "' is not among the latest 2000");
  json Out = {{"id", Record->Id_},         {"workspace", Record->Workspace_},
              {"target", Record->Target_}, {"key", Record->Key_},
              {"claim", Record->Claim_},   {"result", Record->Result_},
              {"took_ms", Record->TookMs_}};
  Out["attempts"] = json::array();
  for (const AttemptRecord &Each : Record->Attempts_)
    Out["attempts"].push_back({{"upstream", Each.Upstream_},
                               {"end", Each.End_},
                               {"took_ms", Each.TookMs_}});
  return {200, Out.dump()};
}

} // namespace crocuslead::app
