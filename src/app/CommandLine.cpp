#include "app/CommandLine.h"

#include "app/LogStory.h"
#include "app/OperatorClient.h"
#include "app/Serve.h"
#include "app/internal/CommandOutput.h"
#include "config/Settings.h"

#include <boost/leaf/handle_errors.hpp>
#include <cstdlib>
#include <docopt/docopt.h>
#include <fstream>
#include <iostream>
#include <iterator>
#include <map>
#include <nlohmann/json.hpp>

namespace crocuslead::app {

namespace {

using nlohmann::json;

constexpr const char *Version = "crocuslead 0.1.0";

constexpr const char *Usage =
    R"(crocuslead: places latency-critical and batch work together on shared machines
and carries callers' requests to them.

Usage:
  crocuslead serve --config FILE
  crocuslead entry
  crocuslead check-config FILE
  crocuslead template list [options]
  crocuslead template set NAME [PARAMETER...] [options]
  crocuslead template delete NAME [options]
  crocuslead workspace list [options]
  crocuslead workspace set NAME [PARAMETER...] [options]
  crocuslead workspace delete NAME [options]
  crocuslead domain list [options]
  crocuslead domain add NAME REGION [options]
  crocuslead domain out NAME [--confirmed-dead] [options]
  crocuslead domain back NAME [options]
  crocuslead job submit FILE [options]
  crocuslead job list [options]
  crocuslead job show ID [options]
  crocuslead job cancel ID [options]
  crocuslead explain ID [--log FILE] [options]
  crocuslead settle [--period MONTH] [options]
  crocuslead dump [--instance ID] [options]
  crocuslead --help
  crocuslead --version

A PARAMETER is name=value, as in agreed_share=0.4 priority=10 deferrable=true;
parameters that are not named keep their value. FILE holds a job as JSON, - stands
for standard input. explain takes a job, a task (JOB/INDEX) or a request id.
entry runs an entry instance with the settings that the platform hands out.

Options:
  --config FILE      Settings of the instance, in YAML.
  --operator URL     Operator API of any instance; default is the environment
                     variable CROCUSLEAD_OPERATOR, else http://127.0.0.1:7200.
  --token-file FILE  File with the operator token; default is the environment
                     variable CROCUSLEAD_TOKEN.
  --confirmed-dead   Operators confirm that nothing in the domain runs any more:
                     its tasks are restarted elsewhere without waiting for their
                     leases to end.
  --log FILE         Logs of one or more instances, - for standard input:
                     explain reads them instead of asking an instance.
  --period MONTH     Settlement period as YYYY-MM; default is all periods.
  --instance ID      Instance whose state is dumped; default is the one asked.
  --json             Print JSON instead of a table.
  -h --help          Show this help.
  --version          Show the version.

Exit codes: 0 done; 1 the call was refused; 2 wrong command line or file;
3 no instance answered, or the instance could not start.
)";

using Options = std::map<std::string, docopt::value>;

struct Command {
  const Options &Args_;
  const OperatorClient &Client_;

  bool is(const char *Word) const { return Args_.at(Word).asBool(); }
  std::string text(const char *Name) const {
    const docopt::value &Value = Args_.at(Name);
    return Value.isString() ? Value.asString() : std::string();
  }
};

int usageError(const std::string &Message) {
  std::cerr << "crocuslead: " << Message << "\n";
  return static_cast<int>(ExitCode::Usage);
}

std::optional<std::string> readFile(const std::string &Path) {
  if (Path == "-")
    return std::string(std::istreambuf_iterator<char>(std::cin), {});
  std::ifstream In(Path);
  if (!In)
    return std::nullopt;
  return std::string(std::istreambuf_iterator<char>(In), {});
}

//! Reads a settings file; prints the error and gives nothing when it is bad.
std::optional<config::Settings> settingsOf(const std::string &Path) {
  std::optional<config::Settings> Out;
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_ASSIGN(Out, config::loadSettings(Path));
        return {};
      },
      [](const base::Error &Failure) {
        std::cerr << "crocuslead: " << Failure.Message_ << "\n";
      },
      [] { std::cerr << "crocuslead: cannot read the settings\n"; });
  return Out;
}

int runServe(const Command &Run) {
  auto Settings = settingsOf(Run.text("--config"));
  return Settings ? serve(*Settings) : static_cast<int>(ExitCode::Usage);
}

int runCheck(const Command &Run) {
  if (!settingsOf(Run.text("FILE")))
    return static_cast<int>(ExitCode::Usage);
  std::cout << Run.text("FILE") << ": valid\n";
  return static_cast<int>(ExitCode::Success);
}

//! Merges name=value words into the entry as it is now and writes it back at
//! the revision that was read, so that a race with another operator is seen.
int setEntry(const Command &Run, const std::string &Collection) {
  CallAnswer Listed = Run.Client_.call("GET", Collection);
  if (Listed.Status_ != 200)
    return printAnswer(Listed);
  json Entry = json::object();
  for (const json &Row : json::parse(Listed.Body_, nullptr, false))
    if (Row.is_object() && Row.value("name", "") == Run.text("NAME"))
      Entry = Row;
  auto Revision = Entry.value("revision", int64_t{0});
  Entry.erase("revision");
  for (const std::string &Word : Run.Args_.at("PARAMETER").asStringList()) {
    std::size_t Equals = Word.find('=');
    if (Equals == std::string::npos)
      return usageError("'" + Word + "': expected name=value");
    json Value = json::parse(Word.substr(Equals + 1), nullptr, false);
    if (Value.is_discarded())
      Value = Word.substr(Equals + 1);
    Entry[Word.substr(0, Equals)] = Value;
  }
  return printAnswer(
      Run.Client_.call("PUT",
                       Collection + "/" + Run.text("NAME") +
                           "?revision=" + std::to_string(Revision),
                       Entry.dump()));
}

int runCollection(const Command &Run, const std::string &Collection) {
  if (Run.is("list"))
    return printAnswer(Run.Client_.call("GET", Collection));
  if (Run.is("set"))
    return setEntry(Run, Collection);
  return printAnswer(
      Run.Client_.call("DELETE", Collection + "/" + Run.text("NAME")));
}

int runTemplate(const Command &Run) {
  return runCollection(Run, "/v1/templates");
}

int runWorkspace(const Command &Run) {
  return runCollection(Run, "/v1/workspaces");
}

int runDomain(const Command &Run) {
  if (Run.is("list"))
    return printAnswer(Run.Client_.call("GET", "/v1/domains"));
  json Change;
  if (Run.is("add"))
    Change = {{"region", Run.text("REGION")}, {"state", "in-service"}};
  else if (Run.is("back"))
    Change = {{"state", "in-service"}};
  else
    Change = {{"state", Run.Args_.at("--confirmed-dead").asBool()
                            ? "out-confirmed-dead"
                            : "out"}};
  return printAnswer(Run.Client_.call("PUT", "/v1/domains/" + Run.text("NAME"),
                                      Change.dump()));
}

int runJob(const Command &Run) {
  if (Run.is("list"))
    return printAnswer(Run.Client_.call("GET", "/v1/jobs"));
  if (Run.is("show"))
    return printAnswer(Run.Client_.call("GET", "/v1/jobs/" + Run.text("ID")));
  if (Run.is("cancel"))
    return printAnswer(
        Run.Client_.call("DELETE", "/v1/jobs/" + Run.text("ID")));
  auto Job = readFile(Run.text("FILE"));
  if (!Job)
    return usageError("cannot read '" + Run.text("FILE") + "'");
  return printAnswer(Run.Client_.call("POST", "/v1/jobs", *Job));
}

//! Tells the story of an id from the logs of the instances.
int explainFromLog(const std::string &Id, const std::string &Path) {
  std::ifstream File;
  if (Path != "-") {
    File.open(Path);
    if (!File)
      return usageError("cannot read '" + Path + "'");
  }
  std::string Story = logStory(Path == "-" ? std::cin : File, Id);
  if (Story.empty()) {
    std::cerr << "crocuslead: no log line names '" << Id << "'\n";
    return static_cast<int>(ExitCode::Refused);
  }
  std::cout << Story;
  return static_cast<int>(ExitCode::Success);
}

int runExplain(const Command &Run) {
  if (std::string Path = Run.text("--log"); !Path.empty())
    return explainFromLog(Run.text("ID"), Path);
  std::string Id = Run.text("ID");
  std::size_t Slash = Id.find('/');
  // The task separator would end the path segment.
  if (Slash != std::string::npos)
    Id.replace(Slash, 1, "%2F");
  return printAnswer(Run.Client_.call("GET", "/v1/explain/" + Id));
}

int runSettle(const Command &Run) {
  CallAnswer Answer =
      Run.Client_.call("GET", "/v1/settlement?period=" + Run.text("--period"));
  if (Answer.Status_ != 200 || Run.Args_.at("--json").asBool())
    return printAnswer(Answer);
  return printSettlement(Answer.Body_);
}

int runDump(const Command &Run) {
  return printAnswer(
      Run.Client_.call("GET", "/v1/dump?instance=" + Run.text("--instance")));
}

struct CommandRow {
  const char *Word_;
  int (*Run_)(const Command &);
};

constexpr CommandRow Commands[] = {
    {"serve", runServe},       {"check-config", runCheck},
    {"template", runTemplate}, {"workspace", runWorkspace},
    {"domain", runDomain},     {"job", runJob},
    {"explain", runExplain},   {"settle", runSettle},
    {"dump", runDump},
};

std::string environment(const char *Name, const char *Default) {
  const char *Value = std::getenv(Name);
  return Value != nullptr ? Value : Default;
}

std::string tokenOf(const Options &Args) {
  const docopt::value &File = Args.at("--token-file");
  if (!File.isString())
    return environment("CROCUSLEAD_TOKEN", "");
  std::string Text = readFile(File.asString()).value_or("");
  while (!Text.empty() && (Text.back() == '\n' || Text.back() == '\r'))
    Text.pop_back();
  return Text;
}

} // namespace

int runCommandLine(int Argc, char **Argv, const ServeMode &Entry) {
  Options Args;
  try {
    Args = docopt::docopt_parse(Usage, {Argv + 1, Argv + Argc}, true, true);
  } catch (const docopt::DocoptExitHelp &) {
    std::cout << Usage;
    return static_cast<int>(ExitCode::Success);
  } catch (const docopt::DocoptExitVersion &) {
    std::cout << Version << "\n";
    return static_cast<int>(ExitCode::Success);
  } catch (const std::exception &) {
    return usageError("unknown command line; see crocuslead --help");
  }
  if (Args.at(Entry.Word_).asBool())
    return Entry.Run_();
  const docopt::value &Url = Args.at("--operator");
  OperatorClient Client(Url.isString() ? Url.asString()
                                       : environment("CROCUSLEAD_OPERATOR",
                                                     "http://127.0.0.1:7200"),
                        tokenOf(Args));
  for (const CommandRow &Row : Commands)
    if (Args.at(Row.Word_).asBool())
      return Row.Run_({Args, Client});
  return usageError("unknown command line; see crocuslead --help");
}

} // namespace crocuslead::app
