#include "chart/Chart.h"

#include <algorithm>
#include <yaml-cpp/yaml.h>

namespace crocuslead::chart {

namespace {

std::optional<std::size_t> indexOf(const std::vector<std::string> &Names,
                                   std::string_view Name) {
  auto Found = std::find(Names.begin(), Names.end(), Name);
  if (Found == Names.end())
    return std::nullopt;
  return static_cast<std::size_t>(Found - Names.begin());
}

boost::leaf::error_id chartError(const std::string &Chart,
                                 const std::string &What) {
  return base::fail(base::ErrorKind::InvalidRequest,
                    "state chart '" + Chart + "': " + What);
}

} // namespace

base::Result<Chart> Chart::parse(const std::string &Yaml) {
  Chart Out;
  try {
    YAML::Node Root = YAML::Load(Yaml);
    Out.Name_ = Root["name"].as<std::string>();
    Out.Events_ = Root["events"].as<std::vector<std::string>>();
    for (const auto &Entry : Root["states"])
      Out.States_.push_back(Entry.first.as<std::string>());
    auto Initial = Out.stateIndex(Root["initial"].as<std::string>());
    if (!Initial)
      return chartError(Out.Name_, "the initial state is not a state");
    Out.Initial_ = *Initial;
    for (const auto &Entry : Root["final"]) {
      auto State = Out.stateIndex(Entry.as<std::string>());
      if (!State)
        return chartError(Out.Name_, "a final state is not a state");
      Out.Final_.insert(*State);
    }
    Out.Next_.resize(Out.States_.size());
    for (const auto &Entry : Root["states"]) {
      auto From = *Out.stateIndex(Entry.first.as<std::string>());
      std::set<std::size_t> Named;
      Out.Next_[From].resize(Out.Events_.size());
      for (const auto &Rule : Entry.second["on"]) {
        auto Event = Out.eventIndex(Rule.first.as<std::string>());
        auto To = Out.stateIndex(Rule.second.as<std::string>());
        if (!Event || !To)
          return chartError(Out.Name_, "state '" + Out.States_[From] +
                                           "' names an unknown event or state");
        Out.Next_[From][*Event] = *To;
        Named.insert(*Event);
      }
      for (const auto &Refused : Entry.second["refuse"]) {
        auto Event = Out.eventIndex(Refused.as<std::string>());
        if (!Event || !Named.insert(*Event).second)
          return chartError(
              Out.Name_, "state '" + Out.States_[From] +
                             "' refuses an event that is unknown or answered");
      }
      if (Named.size() != Out.Events_.size())
        return chartError(Out.Name_,
                          "state '" + Out.States_[From] +
                              "' neither answers nor refuses some event");
    }
  } catch (const YAML::Exception &Failure) {
    return chartError(Out.Name_, Failure.what());
  }
  return Out;
}

std::optional<std::size_t> Chart::stateIndex(std::string_view Name) const {
  return indexOf(States_, Name);
}

std::optional<std::size_t> Chart::eventIndex(std::string_view Name) const {
  return indexOf(Events_, Name);
}

std::optional<std::size_t> Chart::next(std::size_t State,
                                       std::size_t Event) const {
  return Next_.at(State).at(Event);
}

std::set<std::size_t> Chart::reachableFrom(std::size_t Start) const {
  std::set<std::size_t> Seen{Start};
  std::vector<std::size_t> Open{Start};
  while (!Open.empty()) {
    std::size_t State = Open.back();
    Open.pop_back();
    for (const auto &To : Next_[State])
      if (To && Seen.insert(*To).second)
        Open.push_back(*To);
  }
  return Seen;
}

std::vector<std::string> Chart::unreachableStates() const {
  std::set<std::size_t> Reached = reachableFrom(Initial_);
  std::vector<std::string> Out;
  for (std::size_t I = 0; I < States_.size(); ++I)
    if (Reached.count(I) == 0)
      Out.push_back(States_[I]);
  return Out;
}

std::vector<std::string> Chart::trappedStates() const {
  std::vector<std::string> Out;
  for (std::size_t I = 0; I < States_.size(); ++I) {
    std::set<std::size_t> Reached = reachableFrom(I);
    bool Escapes = Final_.empty()
                       ? Reached.size() > 1
                       : std::any_of(Final_.begin(), Final_.end(),
                                     [&Reached](std::size_t State) {
                                       return Reached.count(State) != 0;
                                     });
    if (!Escapes)
      Out.push_back(States_[I]);
  }
  return Out;
}

} // namespace crocuslead::chart
