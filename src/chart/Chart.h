#pragma once

#include "base/Error.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace crocuslead::chart {

//! A state chart: states, events, and for each state the events that it answers
//! or refuses.
class Chart {
public:
  //! Parses the YAML form; fails on unknown states or events, and when a state
  //! neither answers nor refuses an event.
  static base::Result<Chart> parse(const std::string &Yaml);

  const std::string &name() const { return Name_; }
  const std::vector<std::string> &states() const { return States_; }
  const std::vector<std::string> &events() const { return Events_; }
  std::size_t initial() const { return Initial_; }
  bool isFinal(std::size_t State) const { return Final_.count(State) != 0; }

  std::optional<std::size_t> stateIndex(std::string_view Name) const;
  std::optional<std::size_t> eventIndex(std::string_view Name) const;

  //! Next state, or none when the state refuses the event.
  std::optional<std::size_t> next(std::size_t State, std::size_t Event) const;

  //! States that cannot be reached from the initial state.
  std::vector<std::string> unreachableStates() const;
  //! States that are not final and from which no final state can be reached.
  //! For a chart without final states: states without a transition to another
  //! state.
  std::vector<std::string> trappedStates() const;

private:
  std::set<std::size_t> reachableFrom(std::size_t Start) const;

  std::string Name_;
  std::vector<std::string> States_;
  std::vector<std::string> Events_;
  std::size_t Initial_ = 0;
  std::set<std::size_t> Final_;
  //! Next state by [state][event]; none for a refusal.
  std::vector<std::vector<std::optional<std::size_t>>> Next_;
};

//! Text of a chart file that was built into the binary, by its name without
//! ending
//! ("task", "partition_lease", "request", "upstream"); empty when there is
//! none.
std::string_view embeddedChart(std::string_view Name);

//! A chart bound to an enum of states and an enum of events through their name
//! tables. Every name in the chart must be in the tables and the other way
//! round.
template <typename State, typename Event> class BoundChart {
public:
  template <typename StateNames, typename EventNames>
  BoundChart(std::string_view ChartName, const StateNames &StatesTable,
             const EventNames &EventsTable) {
    base::Result<Chart> Parsed =
        Chart::parse(std::string(embeddedChart(ChartName)));
    if (!Parsed)
      return;
    Chart Source = std::move(Parsed.value());
    if (Source.states().size() != StatesTable.rows().size() ||
        Source.events().size() != EventsTable.rows().size())
      return;
    for (const auto &[FromValue, FromName] : StatesTable.rows())
      for (const auto &[EventValue, EventName] : EventsTable.rows()) {
        auto From = Source.stateIndex(FromName);
        auto On = Source.eventIndex(EventName);
        if (!From || !On)
          return;
        if (auto To = Source.next(*From, *On))
          Transitions_[{FromValue, EventValue}] =
              *StatesTable.parse(Source.states()[*To]);
      }
    Initial_ = *StatesTable.parse(Source.states()[Source.initial()]);
    Valid_ = true;
  }

  //! False when the chart and the tables do not match.
  bool valid() const { return Valid_; }
  State initial() const { return Initial_; }

  //! Next state, or none when the state refuses the event.
  std::optional<State> next(State From, Event On) const {
    auto Found = Transitions_.find({From, On});
    if (Found == Transitions_.end())
      return std::nullopt;
    return Found->second;
  }

private:
  bool Valid_ = false;
  State Initial_{};
  std::map<std::pair<State, Event>, State> Transitions_;
};

} // namespace crocuslead::chart
