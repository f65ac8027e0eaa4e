#include "app/LogStory.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <vector>

namespace crocuslead::app {

namespace {

using nlohmann::json;

// Events that change who decides or what can be reached.
const std::set<std::string> &contextEvents() {
  static const std::set<std::string> Names = {
      "office-won",          "office-lost",       "office-held-again",
      "recovery-started",    "recovery-finished", "coordinator-superseded",
      "store-mirror-lost",   "domain-out",        "store-mirror-regained",
      "process-stood-still", "domain-back",       "commit-unconfirmed"};
  return Names;
}

struct Line {
  int64_t At_ = 0;
  json Fields_;
};

std::vector<Line> readLines(std::istream &Logs) {
  std::vector<Line> Out;
  for (std::string Text; std::getline(Logs, Text);) {
    // Collectors put time stamps or names before the line.
    std::size_t Begin = Text.find('{');
    if (Begin == std::string::npos)
      continue;
    json Fields = json::parse(Text.substr(Begin), nullptr, false);
    if (!Fields.is_object() || !Fields.contains("event") ||
        !Fields.contains("ts_ms") || !Fields["ts_ms"].is_number_integer())
      continue;
    int64_t At = Fields["ts_ms"].get<int64_t>();
    Out.push_back({At, std::move(Fields)});
  }
  std::stable_sort(Out.begin(), Out.end(),
                   [](const Line &A, const Line &B) { return A.At_ < B.At_; });
  return Out;
}

std::string text(const json &Fields, const char *Name) {
  auto It = Fields.find(Name);
  return It != Fields.end() && It->is_string() ? It->get<std::string>() : "";
}

//! True for the job or task itself and, for a job, all its tasks.
bool names(const json &Fields, const std::string &Id) {
  std::string Task = text(Fields, "task");
  return text(Fields, "job") == Id || Task == Id ||
         Task.compare(0, Id.size() + 1, Id + ".") == 0;
}

std::string render(const Line &Each) {
  std::string Out = std::to_string(Each.At_) + " " +
                    text(Each.Fields_, "instance") + " " +
                    text(Each.Fields_, "event");
  for (const auto &[Name, Value] : Each.Fields_.items())
    if (Name != "ts_ms" && Name != "instance" && Name != "event" &&
        Name != "level")
      Out += " " + Name + "=" +
             (Value.is_string() ? Value.get<std::string>() : Value.dump());
  return Out + "\n";
}

} // namespace

std::string logStory(std::istream &Logs, const std::string &Id) {
  std::vector<Line> Lines = readLines(Logs);
  std::set<std::string> Workers;
  int64_t First = 0;
  int64_t Last = 0;
  for (const Line &Each : Lines) {
    if (!names(Each.Fields_, Id))
      continue;
    if (First == 0)
      First = Each.At_;
    Last = Each.At_;
    Workers.insert(text(Each.Fields_, "worker"));
  }
  if (First == 0)
    return "";
  Workers.erase("");
  std::string Out;
  for (const Line &Each : Lines) {
    if (Each.At_ < First || Each.At_ > Last)
      continue;
    bool OfTask = !text(Each.Fields_, "task").empty();
    bool OfWorker = !OfTask && Workers.count(text(Each.Fields_, "worker")) > 0;
    if (names(Each.Fields_, Id) || OfWorker ||
        contextEvents().count(text(Each.Fields_, "event")) > 0)
      Out += render(Each);
  }
  return Out;
}

} // namespace crocuslead::app
